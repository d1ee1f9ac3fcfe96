package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/suspect"
)

const (
	// probeTimeout bounds one probe. Targets answer within a few ms.
	probeTimeout = 110 * time.Millisecond
	// probeTries is the number of probes without an answer after which a target is down; a
	// single one may have lost its first packet.
	maxProbeAttempts = 2
	// recheckInterval is the pause between probes of targets that are avoided.
	recheckInterval = 700 * time.Millisecond
)

// alive probes a target and marks it down if it does not answer.
func (g *Gateway) probeTarget(reg membership.Registration) bool {
	var err error
	for range maxProbeAttempts {
		_, err = g.pool.Probe(g.ctx, reg.Address, g.options.Protocol.ProbePath(), probeTimeout)
		if err == nil {
			g.metrics.probes.WithLabelValues("alive").Inc()
			return true
		}
		if connRefused(err) {
			break
		}
	}
	g.metrics.probes.WithLabelValues("no_answer").Inc()
	g.reportDown(reg, err)
	return false
}

// reportDown tells the director that a target is unreachable. A target whose port is
// closed has crashed; one that is silent may be cut off, so that no request is blamed.
func (g *Gateway) reportDown(reg membership.Registration, err error) {
	reason := "no answer"
	if connRefused(err) {
		reason = "connection refused"
	}
	g.loop.post(g.ctx, func(st *state) {
		now := time.Now()
		if connRefused(err) {
			g.loop.reportCrash(st, now, reg)
		}
		g.loop.markTargetDown(st, now, reg.ID, reason)
	})
}

// countCrash blames the requests that ran on a crashed target.
func (d *eventLoop) reportCrash(st *state, now time.Time, reg membership.Registration) {
	death := suspect.Death{ID: reg.ID + "@" + reg.Address, Target: reg.ID, Zone: reg.Zone, At: now}
	for handle := range st.attempts[reg.ID] {
		if handle.sent.Load() {
			death.Fingerprints = append(death.Fingerprints, handle.fingerprint)
		}
	}
	if len(death.Fingerprints) == 0 {
		return
	}
	if st.suspects.Report(death, now) {
		d.metrics.targetCrashes.Inc()
		d.log.Warn().Str("target", reg.ID).Str("zone", reg.Zone).Int("running", len(death.Fingerprints)).Msg("target crashed; running requests are suspected")
	}
}

// unreachable handles a connection that could not be made.
func (g *Gateway) handleDialError(reg membership.Registration, err error) {
	switch {
	case connRefused(err):
		g.reportDown(reg, err)
	case errors.Is(err, context.Canceled), g.ctx.Err() != nil:
	default:
		// The target is avoided at once; the probe takes that back if it answers.
		g.loop.post(g.ctx, func(st *state) { st.fleet.MarkDown(time.Now(), reg.ID) })
		g.background(func() {
			if g.probeTarget(reg) {
				g.loop.post(g.ctx, func(st *state) { st.fleet.MarkUp(reg.ID) })
			}
		})
	}
}

func connRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// recheck asks avoided targets for their health until ctx ends, so that they get work
// again soon. While the store does not answer, it also asks the targets that this gateway
// prefers whether they are leaving, and meets targets that started again.
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

// storeSilent reports whether the store has not told of targets for so long that they
// are asked themselves.
func (st *state) targetsUnconfirmed() bool { return st.unconfirmed[TableTargets] }

// toAsk returns the targets to be asked for their health.
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

// checkHealth asks one target for its health.
func (g *Gateway) checkHealth(reg membership.Registration) {
	path := g.healthPath(reg.Service)
	if path == "" {
		return
	}
	health, err := g.pool.Probe(g.ctx, reg.Address, path, probeTimeout)
	if err != nil {
		g.metrics.probes.WithLabelValues("no_answer").Inc()
		return
	}
	resp := g.options.Protocol.DecodeResponse(health.Status, health.Header)
	g.metrics.probes.WithLabelValues("health").Inc()
	if resp.InstanceID != "" && resp.InstanceID != reg.ID {
		g.handleRestartedTarget(reg, resp.InstanceID)
		return
	}
	g.loop.post(g.ctx, func(st *state) {
		now := time.Now()
		switch {
		case resp.InstanceID == reg.ID && health.Status == http.StatusServiceUnavailable:
			g.log.Info().Str("target", reg.ID).Msg("target says that it is leaving or unhealthy")
			st.fleet.MarkLeaving(now, reg.ID)
			st.fleet.MarkUp(reg.ID)
		case resp.InstanceID == reg.ID && !st.fleet.Usable(now, reg.ID):
			g.log.Info().Str("target", reg.ID).Msg("avoided target answers again")
			st.fleet.MarkUp(reg.ID)
		}
	})
}

// meet handles another start of a target than the registered one. Addresses are used again
// by other services, so that only an engine whose models belong to the same service takes
// the place of the old one, and only while the store cannot tell.
func (g *Gateway) handleRestartedTarget(reg membership.Registration, id string) {
	g.loop.post(g.ctx, func(st *state) { st.fleet.MarkReplaced(reg.ID) })
	if !reg.Model || !query(g.ctx, g.loop, func(st *state) bool { return st.targetsUnconfirmed() }) {
		return
	}
	p := g.loop.published.Load()
	probe, err := g.pool.Probe(g.ctx, reg.Address, g.options.Protocol.ProbePath(), probeTimeout)
	if err != nil || probe.Status != http.StatusOK || p == nil || p.desired.Config == nil {
		return
	}
	report, err := g.options.Protocol.DecodeReport(probe.Body)
	if err != nil {
		g.log.Debug().Str("target", id).Err(err).Msg("report cannot be read")
		return
	}
	if service, ok := p.desired.Config.ModelService(report.Models); !ok || service != reg.Service {
		return
	}
	g.loop.post(g.ctx, func(st *state) { g.loop.addRestartedTarget(st, id, reg.ID) })
}

// meet takes a start that was met directly into use.
func (d *eventLoop) addRestartedTarget(st *state, id, replaces string) {
	if !st.targetsUnconfirmed() || !st.registry.AddReplacement(id, replaces) {
		return
	}
	d.log.Info().Str("target", id).Str("replaces", replaces).Msg("target met that started again while the store is silent")
	d.updateFleet(st)
}

func (g *Gateway) healthPath(service string) string {
	p := g.loop.published.Load()
	if p == nil || p.desired.Config == nil {
		return ""
	}
	s, _ := p.desired.Config.Service(service)
	return s.HealthPath
}

// background runs a short task that ends with the gateway.
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
