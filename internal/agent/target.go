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
	// maxReportedDeaths and deathRetention bound the deaths in AgentState; entries count
	// each id once and suspects expire after 10 min.
	maxReportedDeaths = 16
	deathRetention    = 10 * time.Minute
	// deathProbes must all be refused before a broken stream counts as a death; one
	// refusal can be an overflowing accept queue.
	deathProbes     = 2
	deathProbeDelay = 20 * time.Millisecond
)

// targetState is what the agent knows of its target. Agent.mu guards it.
type targetState struct {
	up bool
	// frozen is set while the process runs but gives no answers and no tokens.
	frozen bool
	// life counts the deaths, so that the runs of one process end together.
	life     uint64
	instance string
	versions []string
	// lastSeen is the time of the last health answer or token.
	lastSeen time.Time
	refusals int
	load     engineapi.Load
	deaths   []*wire.TargetDeath
}

func (s *targetState) hasVersion(version string) bool { return slices.Contains(s.versions, version) }

func (s *targetState) ready() bool { return s.up && !s.frozen }

func (s *targetState) seen(now time.Time) {
	s.lastSeen = now
}

// answers reports whether the target gave a sign of life within the duration.
func (s *targetState) answers(now time.Time, within time.Duration) bool {
	return s.up && now.Sub(s.lastSeen) <= within
}

// watchHealth probes the model engine.
func (a *Agent) watchHealth(ctx context.Context) {
	go every(ctx, a.timing.HealthInterval/2, a.checkFrozen)
	a.probeHealth(ctx)
	every(ctx, a.timing.HealthInterval, func(time.Time) { a.probeHealth(ctx) })
}

func (a *Agent) probeHealth(ctx context.Context) {
	health, err := a.probe(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.engineAnswered(time.Now(), health)
	case engineapi.IsConnectionError(err):
		a.target.refusals++
		if a.target.refusals >= deathProbes {
			a.declareDeath(time.Now(), a.target.life, "health probes are refused")
		}
	}
}

func (a *Agent) probe(ctx context.Context) (engineapi.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HealthTimeout)
	defer cancel()
	return a.engine.Health(ctx)
}

// engineAnswered requires a.mu.
func (a *Agent) engineAnswered(now time.Time, health engineapi.Health) {
	t := &a.target
	if t.up && health.Instance != t.instance {
		a.declareDeath(now, t.life, "another engine process answers")
	}
	changed := !t.up
	t.up, t.instance, t.refusals = true, health.Instance, 0
	t.seen(now)
	if health.Versions != nil && !slices.Equal(health.Versions, t.versions) {
		t.versions = health.Versions
		changed = true
	}
	if changed {
		a.logger.Info().Strs("versions", t.versions).Str("instance", t.instance).Msg("engine runs")
		a.targetChanged()
	}
}

// targetChanged requires a.mu.
func (a *Agent) targetChanged() {
	switch {
	case a.leaving:
	case !a.target.up:
		a.options.Readiness.SetNotReady("target does not run")
	case a.target.frozen:
		a.options.Readiness.SetNotReady("target does not answer")
	default:
		a.options.Readiness.SetReady()
	}
	a.notify()
}

func (a *Agent) checkFrozen(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	frozen := a.target.up && !a.target.answers(now, a.timing.FrozenAfter)
	if frozen == a.target.frozen {
		return
	}
	a.target.frozen = frozen
	a.logger.Warn().Bool("frozen", frozen).Msg("engine responsiveness changed")
	a.targetChanged()
}

// confirmDeath probes the engine after a broken stream of the given life and declares
// its death if no process answers or another one does.
func (a *Agent) confirmDeath(ctx context.Context, life uint64) {
	for n := 0; n < deathProbes; n++ {
		if n > 0 {
			time.Sleep(deathProbeDelay)
		}
		health, err := a.probe(ctx)
		if err == nil {
			a.mu.Lock()
			a.engineAnswered(time.Now(), health)
			a.mu.Unlock()
			return
		}
		if !engineapi.IsConnectionError(err) {
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.declareDeath(time.Now(), life, "stream broken and health probes refused")
}

// declareDeath requires a.mu. It fails each attempt that the engine ran in the life.
func (a *Agent) declareDeath(now time.Time, life uint64, why string) {
	if !a.target.up || a.target.life != life {
		return
	}
	a.target.up = false
	a.target.frozen = false
	a.target.life++
	var dead []*attempt
	var fingerprints []uint64
	version := ""
	for _, t := range a.jobs {
		if !t.dispatched || t.life != life {
			continue
		}
		dead = append(dead, t)
		fingerprints = append(fingerprints, t.log.Spec.GetFingerprint())
		version = t.log.Spec.GetVersion()
	}
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	death := &wire.TargetDeath{DeathId: uuid.NewString(), UnixMs: now.UnixMilli(), RunningFingerprints: fingerprints, Version: version}
	a.recordDeath(now, death)
	for _, t := range dead {
		a.endLocked(now, t, tokenlog.End{
			Code: uint32(result.TargetDied), Message: why, TargetDied: true,
			Fingerprints: fingerprints, DeathID: death.DeathId,
		})
	}
	a.metrics.deaths.Inc()
	a.logger.Error().Str("death", death.DeathId).Int("running", len(dead)).Msg("engine died: " + why)
	a.targetChanged()
}

// recordDeath requires a.mu.
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
	a.probeConnect(ctx)
	every(ctx, a.timing.HealthInterval, func(time.Time) { a.probeConnect(ctx) })
}

func (a *Agent) probeConnect(ctx context.Context) {
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
	a.logger.Info().Bool("up", a.target.up).Msg("application engine changed")
	a.targetChanged()
}
