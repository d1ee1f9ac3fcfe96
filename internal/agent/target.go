package agent

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/google/uuid"

	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	defaultSlots = 16
	// maxReportedDeaths and deathRetention bound the deaths in AgentState. Entries count each
	// ID once, and suspects expire after 10 min.
	maxReportedDeaths = 16
	deathRetention    = 10 * time.Minute
	// deathProbes is the number of health probes that must be refused before the engine
	// counts as dead; a single refusal may come from an overflowing accept queue.
	deathProbes     = 2
	deathProbeDelay = 20 * time.Millisecond
)

// targetState is the observed state of the target. Agent.mu guards it.
type targetState struct {
	up bool
	// frozen is set while the process runs but sends neither health responses nor tokens.
	frozen bool
	// epoch is the number of deaths. It identifies the attempts that a dead process ran.
	epoch    uint64
	instance string
	versions []string
	// lastSeen is the time of the last health response or token.
	lastSeen            time.Time
	consecutiveRefusals int
	load                engineapi.Load
	deaths              []*wire.TargetDeath
}

func (s *targetState) hasVersion(version string) bool { return slices.Contains(s.versions, version) }

func (s *targetState) ready() bool { return s.up && !s.frozen }

func (s *targetState) markSeen(now time.Time) {
	s.lastSeen = now
}

// responsive reports whether the target is up and was last seen within the duration.
func (s *targetState) responsive(now time.Time, within time.Duration) bool {
	return s.up && now.Sub(s.lastSeen) <= within
}

func (a *Agent) watchHealth(ctx context.Context) {
	go runPeriodically(ctx, a.timing.HealthInterval/2, a.checkFrozen)
	a.probeHealth(ctx)
	runPeriodically(ctx, a.timing.HealthInterval, func(time.Time) { a.probeHealth(ctx) })
}

func (a *Agent) probeHealth(ctx context.Context) {
	health, err := a.probe(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.recordHealth(time.Now(), health)
	case engineapi.IsConnectionError(err):
		a.target.consecutiveRefusals++
		if a.target.consecutiveRefusals >= deathProbes {
			a.declareDeath(time.Now(), a.target.epoch, "health probes refused")
		}
	}
}

func (a *Agent) probe(ctx context.Context) (engineapi.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HealthTimeout)
	defer cancel()
	return a.engine.Health(ctx)
}

// recordHealth must be called with a.mu held.
func (a *Agent) recordHealth(now time.Time, health engineapi.Health) {
	t := &a.target
	if t.up && health.Instance != t.instance {
		a.declareDeath(now, t.epoch, "engine process was replaced")
	}
	changed := !t.up
	t.up, t.instance, t.consecutiveRefusals = true, health.Instance, 0
	t.markSeen(now)
	if health.Versions != nil && !slices.Equal(health.Versions, t.versions) {
		t.versions = health.Versions
		changed = true
	}
	if changed {
		a.logger.Info().Strs("versions", t.versions).Str("instance", t.instance).Msg("engine is up")
		a.publishTargetState()
	}
}

// publishTargetState updates the readiness and notifies the entries. a.mu must be held.
func (a *Agent) publishTargetState() {
	switch {
	case a.leaving:
	case !a.target.up:
		a.options.Readiness.SetNotReady("target is not running")
	case a.target.frozen:
		a.options.Readiness.SetNotReady("target does not respond")
	default:
		a.options.Readiness.SetReady()
	}
	a.notifyWatchers()
}

func (a *Agent) checkFrozen(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	frozen := a.target.up && !a.target.responsive(now, a.timing.FrozenAfter)
	if frozen == a.target.frozen {
		return
	}
	a.target.frozen = frozen
	a.logger.Warn().Bool("frozen", frozen).Msg("engine responsiveness changed")
	a.publishTargetState()
}

// confirmDeath probes the engine after a request failed in the given target epoch. It
// declares the engine dead if all probes are refused or a different process responds.
func (a *Agent) confirmDeath(ctx context.Context, epoch uint64) {
	for n := 0; n < deathProbes; n++ {
		if n > 0 {
			time.Sleep(deathProbeDelay)
		}
		health, err := a.probe(ctx)
		if err == nil {
			a.mu.Lock()
			a.recordHealth(time.Now(), health)
			a.mu.Unlock()
			return
		}
		if !engineapi.IsConnectionError(err) {
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.declareDeath(time.Now(), epoch, "request failed and health probes refused")
}

// declareDeath marks the target as down and fails the attempts that it ran in the epoch. a.mu
// must be held.
func (a *Agent) declareDeath(now time.Time, epoch uint64, reason string) {
	if !a.target.up || a.target.epoch != epoch {
		return
	}
	a.target.up = false
	a.target.frozen = false
	a.target.epoch++
	var lost []*attempt
	var fingerprints []uint64
	version := ""
	for _, t := range a.jobs {
		if !t.dispatched || t.targetEpoch != epoch {
			continue
		}
		lost = append(lost, t)
		fingerprints = append(fingerprints, t.log.Spec.GetFingerprint())
		version = t.log.Spec.GetVersion()
	}
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	death := &wire.TargetDeath{DeathId: uuid.NewString(), UnixMs: now.UnixMilli(), RunningFingerprints: fingerprints, Version: version}
	a.recordDeath(now, death)
	for _, t := range lost {
		a.endLocked(now, t, tokenlog.End{
			Code: uint32(result.TargetDied), Message: reason, TargetDied: true,
			Fingerprints: fingerprints, DeathID: death.DeathId,
		})
	}
	a.metrics.deaths.Inc()
	a.logger.Error().Str("death", death.DeathId).Int("running", len(lost)).Msg("engine died: " + reason)
	a.publishTargetState()
}

// recordDeath must be called with a.mu held.
func (a *Agent) recordDeath(now time.Time, death *wire.TargetDeath) {
	oldest := now.Add(-deathRetention).UnixMilli()
	deaths := slices.Clone(a.target.deaths)
	deaths = append(slices.DeleteFunc(deaths, func(d *wire.TargetDeath) bool { return d.UnixMs < oldest }), death)
	if len(deaths) > maxReportedDeaths {
		deaths = deaths[len(deaths)-maxReportedDeaths:]
	}
	a.target.deaths = deaths
}

// watchApplication probes an application engine by connecting to it.
func (a *Agent) watchApplication(ctx context.Context) {
	a.probeTCP(ctx)
	runPeriodically(ctx, a.timing.HealthInterval, func(time.Time) { a.probeTCP(ctx) })
}

func (a *Agent) probeTCP(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HealthTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.targetHost)
	if err == nil {
		_ = conn.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target.up == (err == nil) {
		return
	}
	a.target.up = err == nil
	a.logger.Info().Bool("up", a.target.up).Msg("application engine availability changed")
	a.publishTargetState()
}
