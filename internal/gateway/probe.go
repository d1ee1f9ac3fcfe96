package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/gateway/target"
)

const (
	// probeTimeout limits a probe. Targets normally respond within a few ms.
	probeTimeout = 110 * time.Millisecond
	// maxProbeAttempts is the number of failed probes after which a target is down. A single
	// probe may fail because its first packet is lost.
	maxProbeAttempts = 2
	// recheckInterval is the pause between two rounds of health checks.
	recheckInterval = 700 * time.Millisecond
)

// probeResult is the result of a probe that several requests share.
type probeResult struct {
	// sentAt is when the probe began.
	sentAt time.Time
	// alive is set if the target responded, also if it had no response to give, and held if its pause permitted no probe.
	alive, held bool
	// response has status 0 if there is none.
	response target.Response
	// refused is set if the target's port is closed.
	refused bool
	// report decodes the response, once.
	report func() (EngineReport, error)
}

// probeTarget probes a target and reports whether it responded. If not, it marks the target down. Requests that
// probe a target at the same time share one probe: all that wait at it fall silent together, and each
// probe costs the target a connection. An event that arrived after the probe began says more than its result.
func (g *Gateway) probeTarget(reg membership.Registration) *probeResult {
	result, _, _ := g.probes.Do(reg.ID+"@"+reg.Address, func() (any, error) { return g.probeNow(reg), nil })
	return result.(*probeResult)
}

// probeNow probes a target. A target whose pause permits no further probe counts as alive: the streams that it
// runs still end by their own limits. So does one that resets the probe's connection: targets reset the
// connections beyond those that they accept and go on with their requests. It gets no new work until it
// answers.
func (g *Gateway) probeNow(reg membership.Registration) *probeResult {
	result := &probeResult{sentAt: time.Now()}
	result.report = sync.OnceValues(func() (EngineReport, error) { return g.options.Protocol.DecodeReport(result.response.Body) })
	if !g.mayProbe(reg) {
		g.metrics.probes.WithLabelValues("held").Inc()
		result.alive, result.held = true, true
		return result
	}
	var err error
	for range maxProbeAttempts {
		var response target.Response
		response, err = g.pool.Probe(g.ctx, reg.Address, g.options.Protocol.ProbePath(), probeTimeout)
		if err == nil {
			g.metrics.probes.WithLabelValues("alive").Inc()
			g.observeUnbound(reg, response, placement.FromProbe)
			result.response, result.alive = response, true
			return result
		}
		if connRefused(err) {
			break
		}
	}
	if errors.Is(err, syscall.ECONNRESET) {
		g.metrics.probes.WithLabelValues("reset").Inc()
		g.log.Info().Str("target", reg.ID).Str("zone", reg.Zone).Msg("target resets new connections; it gets no new requests until it answers")
		g.loop.post(g.ctx, func(st *state) { st.fleet.MarkDown(time.Now(), reg.ID) })
		result.alive = true
		return result
	}
	result.refused = connRefused(err)
	g.metrics.probes.WithLabelValues("no_answer").Inc()
	g.reportDown(reg, result.sentAt, err)
	return result
}

// reportDown marks a target down that did not accept a connection or answer a probe at the given
// time. If its port is closed, it has crashed, and its running requests become suspects. If it does
// not respond, only the network may have failed.
func (g *Gateway) reportDown(reg membership.Registration, probed time.Time, err error) {
	down := targetDown{probed: probed, ended: connRefused(err)}
	g.loop.post(g.ctx, func(st *state) {
		now := time.Now()
		if down.ended {
			g.loop.reportCrash(st, now, reg)
			st.fleet.MarkGone(now, reg.ID)
		}
		g.loop.markTargetDown(st, now, reg.ID, down)
	})
}

// deathID identifies the crash of a target.
func deathID(reg membership.Registration) string { return reg.ID + "@" + reg.Address }

// reportCrash records the requests that this gateway had sent to a crashed target as suspects.
func (l *eventLoop) reportCrash(st *state, now time.Time, reg membership.Registration) {
	death := suspect.Death{ID: deathID(reg), Target: reg.ID, Zone: reg.Zone, At: now}
	running := 0
	var trial *attemptHandle
	for handle := range st.attempts[reg.ID] {
		if handle.sent.Load() {
			running++
			for _, identity := range handle.identity.Identities() {
				death.Fingerprints = append(death.Fingerprints, identity)
				death.Runs = append(death.Runs, now.Sub(handle.startedAt))
				death.Flows = append(death.Flows, handle.flowed())
			}
			if handle.onTrial != nil && handle.onTrial() {
				trial = handle
			}
		}
	}
	if len(death.Fingerprints) == 0 {
		return
	}
	if st.suspects.Report(death, now) {
		l.metrics.targetCrashes.Inc()
		l.log.Warn().Str("target", reg.ID).Str("zone", reg.Zone).Int("running", running).
			Array("requests", st.crashedRequests(reg.ID, now)).Msg("target crashed; its running requests are recorded as suspects")
		st.suspects.ReportPartCrash(death.ID, now, st.mayCauseCrash(reg.ID, now), now)
		rejected := func(f uint64) bool { return st.suspects.Rejected(f, now) }
		st.activeRunsChanged = st.activeRunsChanged || slices.ContainsFunc(death.Fingerprints, rejected)
		l.suspectsChanged(st, now, "own")
		if trial != nil {
			l.trialLost(st, now, reg, death.ID, trial)
		}
	}
}

// maxLoggedRequests bounds the requests in one log line. An engine runs up to 64.
const maxLoggedRequests = 12

// crashedRequests returns what is logged of the requests that ran on a crashed target: the phase that
// each was in, the parts of its prompt, and the crashes that count against it.
func (st *state) crashedRequests(target string, now time.Time) *zerolog.Array {
	list, logged := zerolog.Arr(), 0
	for handle := range st.attempts[target] {
		phase := handle.phase(now)
		if phase == phaseUnsent || logged == maxLoggedRequests {
			continue
		}
		logged++
		list.Dict(zerolog.Dict().Str("request", handle.requestID).Stringer("phase", phase).Strs("parts", handle.promptParts).
			Dur("age", now.Sub(handle.startedAt)).Int("crashes", st.suspects.Crashes(handle.identity.Content, now)))
	}
	return list
}

// handleDialError handles a failed connection attempt to a target.
func (g *Gateway) handleDialError(reg membership.Registration, err error) {
	switch {
	case connRefused(err):
		g.reportDown(reg, time.Now(), err)
	case errors.Is(err, target.ErrAbandoned), g.ctx.Err() != nil:
	case errors.Is(err, target.ErrNoTime):
		// The calls of a service whose deadlines are short would otherwise never find that a target is down.
		g.background(func() { g.probeTarget(reg) })
	default:
		// Avoid the target until a probe succeeds.
		g.loop.post(g.ctx, func(st *state) { st.fleet.MarkDown(time.Now(), reg.ID) })
		g.background(func() {
			// A probe that the target's pause does not permit has no response.
			if result := g.probeTarget(reg); result.alive && result.response.Status != 0 {
				g.loop.post(g.ctx, func(st *state) { st.fleet.MarkUp(reg.ID) })
			}
		})
	}
}

// connRefused reports whether a connection was refused, as by the port of a process that has ended.
func connRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recheckTargets checks the health of targets that are marked down until ctx is canceled, so
// that recovered ones are used again soon. While the registrations are unconfirmed, it checks
// the targets that this gateway prefers instead, to find those that are leaving or restarted.
func (g *Gateway) recheckTargets(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, recheckInterval)
		targets := query(ctx, g.loop, func(st *state) []membership.Registration { return st.targetsToProbe(time.Now()) })
		for _, reg := range targets {
			g.background(func() { g.checkHealth(reg) })
		}
		g.pool.CloseExpired()
	}
	return nil
}

// targetsUnconfirmed reports whether the store has not confirmed the registrations for so long
// that targets are checked directly.
func (st *state) targetsUnconfirmed() bool { return st.unconfirmed[TableTargets] }

// targetsToProbe returns the targets whose health is to be checked.
func (st *state) targetsToProbe(now time.Time) []membership.Registration {
	if !st.targetsUnconfirmed() {
		return st.fleet.DownTargets(now)
	}
	replaced := map[string]bool{}
	for _, old := range st.registry.Replacements() {
		replaced[old] = true
	}
	var list []membership.Registration
	for _, reg := range st.registry.Targets() {
		if !reg.Leaving && !replaced[reg.ID] && st.fleet.Prefers(reg.ID) {
			list = append(list, reg)
		}
	}
	return list
}

// checkHealth requests the health path of a target and updates its state in the fleet.
func (g *Gateway) checkHealth(reg membership.Registration) {
	path := g.healthPath(reg.Service)
	if path == "" {
		return
	}
	health, err := g.probeOnce(g.ctx, reg, path)
	if errors.Is(err, target.ErrNotPermitted) {
		g.metrics.probes.WithLabelValues("held").Inc()
		return
	}
	if err != nil {
		g.metrics.probes.WithLabelValues("no_answer").Inc()
		return
	}
	resp := g.options.Protocol.DecodeResponse(health.Status, health.Header)
	g.metrics.probes.WithLabelValues("health").Inc()
	g.observeUnbound(reg, health, placement.FromProbe)
	if resp.InstanceID != "" && resp.InstanceID != reg.ID {
		g.handleRestartedTarget(reg, resp.InstanceID)
		return
	}
	g.loop.post(g.ctx, func(st *state) {
		now := time.Now()
		if resp.InstanceID == reg.ID {
			st.fleet.Confirm(reg.ID)
		}
		switch {
		case resp.InstanceID == reg.ID && health.Status == http.StatusServiceUnavailable:
			g.log.Info().Str("target", reg.ID).Msg("target reports that it is leaving or unhealthy; avoiding it")
			st.fleet.MarkLeaving(now, reg.ID)
			st.fleet.MarkUp(reg.ID)
		case resp.InstanceID == reg.ID && !st.fleet.Usable(now, reg.ID):
			g.log.Info().Str("target", reg.ID).Msg("target responds again; using it again")
			st.fleet.MarkUp(reg.ID)
		}
	})
}

// handleRestartedTarget handles a response from another instance than the registered one. Other
// services may reuse an address, so the instance replaces the registered one only if it is an
// engine whose models belong to the same service, and only while the registrations are
// unconfirmed.
func (g *Gateway) handleRestartedTarget(reg membership.Registration, id string) {
	g.loop.post(g.ctx, func(st *state) { st.fleet.MarkReplaced(time.Now(), reg.ID) })
	if !reg.Model || !query(g.ctx, g.loop, func(st *state) bool { return st.targetsUnconfirmed() }) {
		return
	}
	p := g.loop.published.Load()
	resp, err := g.pool.Probe(g.ctx, reg.Address, g.options.Protocol.ProbePath(), probeTimeout)
	if err != nil || resp.Status != http.StatusOK || p == nil || p.desired.Config == nil {
		return
	}
	report, err := g.options.Protocol.DecodeReport(resp.Body)
	if err != nil {
		g.log.Debug().Str("target", id).Err(err).Msg("engine report cannot be decoded; instance not used")
		return
	}
	if service, ok := p.desired.Config.ModelService(report.Models); !ok || service != reg.Service {
		return
	}
	g.loop.post(g.ctx, func(st *state) { g.loop.addRestartedTarget(st, id, reg.ID) })
}

// addRestartedTarget adds an instance that was found at the address of a registered one.
func (l *eventLoop) addRestartedTarget(st *state, id, replaces string) {
	if !st.targetsUnconfirmed() || !st.registry.AddReplacement(id, replaces) {
		return
	}
	l.log.Info().Str("target", id).Str("replaces", replaces).Msg("target restarted while registrations are unconfirmed; using the new instance")
	l.updateFleet(st)
}

func (g *Gateway) healthPath(service string) string {
	p := g.loop.published.Load()
	if p == nil || p.desired.Config == nil {
		return ""
	}
	s, _ := p.desired.Config.Service(service)
	return s.HealthPath
}

// background runs a task in its own goroutine. The task must end soon after g.ctx is canceled.
func (g *Gateway) background(task func()) {
	g.tasks.Go(task)
}

func (st *state) addAttempt(id string, h *attemptHandle) {
	if st.attempts[id] == nil {
		st.attempts[id] = map[*attemptHandle]struct{}{}
	}
	st.attempts[id][h] = struct{}{}
}

func (st *state) removeAttempt(id string, h *attemptHandle) {
	delete(st.attempts[id], h)
	if len(st.attempts[id]) == 0 {
		delete(st.attempts, id)
	}
}
