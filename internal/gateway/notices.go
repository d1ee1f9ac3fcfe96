package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/gateway/target"
)

// heldTargets holds the notices that hold requests back by instance. It is immutable.
type heldTargets map[placement.Instance]placement.Notice

func instanceOf(reg membership.Registration) placement.Instance {
	return placement.Instance{ID: reg.ID, StartUnixMS: reg.StartUnixMS}
}

// held returns the notice by which no new request may be sent to a target now, and false if there is
// none. It does not wait for the event loop, so that it can be called right before a request is sent.
func (l *eventLoop) held(reg membership.Registration, now time.Time) (placement.Notice, bool) {
	published := l.heldTargets.Load()
	if published == nil {
		return placement.Notice{}, false
	}
	notice, ok := (*published)[instanceOf(reg)]
	return notice, ok && notice.Holds(now)
}

// publishNotices publishes the notices that hold requests back.
func (l *eventLoop) publishNotices(st *state, now time.Time) {
	held := heldTargets(st.fleet.Notices(now))
	l.heldTargets.Store(&held)
}

// expireNotices drops notices that have no effect any more.
func (l *eventLoop) expireNotices(st *state, now time.Time) {
	st.fleet.ExpireNotices(now)
	if published := l.heldTargets.Load(); published != nil && len(*published) > 0 {
		l.publishNotices(st, now)
	}
}

// observeResponse records what the response to a client's request says about its target. A response
// to another request or of another instance says nothing; reused is set if its connection carried
// other requests before. It returns once the notice is in force, so
// that no response is passed on before.
func (g *Gateway) observeResponse(reg membership.Registration, r *TargetResponse, requestID string, reused bool) {
	if !r.answers(requestID, reused) || r.InstanceID != "" && r.InstanceID != reg.ID {
		return
	}
	g.observe(reg, r, placement.FromResponse)
}

// observeUnbound is observeResponse for a request that does not name the instance that it expects,
// such as a probe: the response must name the instance, since another one may have the address.
func (g *Gateway) observeUnbound(reg membership.Registration, response target.Response, source placement.NoticeSource) {
	r := g.options.Protocol.DecodeResponse(response.Status, response.Header)
	if r.InstanceID == reg.ID {
		g.observe(reg, &r, source)
	}
}

func (g *Gateway) observe(reg membership.Registration, r *TargetResponse, source placement.NoticeSource) {
	if r.InstanceMismatch || !r.Leaving && r.Pause <= 0 {
		return
	}
	query(g.ctx, g.loop, func(st *state) struct{} {
		now := time.Now()
		instance := instanceOf(reg)
		// The store may have listed the instance since the request was placed.
		if current, ok := st.fleet.Target(reg.ID); ok && reg.StartEstimated && current.Address == reg.Address {
			instance = instanceOf(current)
		}
		change := st.fleet.Observe(now, instance, placement.Response{Leaving: r.Leaving, Pause: r.Pause}, source)
		g.loop.publishNotices(st, now)
		g.loop.reportNotice(now, reg, change, source)
		return struct{}{}
	})
}

func (l *eventLoop) reportNotice(now time.Time, reg membership.Registration, change placement.NoticeChange, source placement.NoticeSource) {
	if change.Leaving {
		l.metrics.notices.WithLabelValues("leaving", source.String()).Inc()
		l.log.Info().Str("target", reg.ID).Uint64("started", reg.StartUnixMS).Str("service", reg.Service).Stringer("source", source).
			Bool("registered_leaving", reg.Leaving).Msg("target says that it leaves; sending it no new requests")
	}
	if change.Pause {
		l.metrics.notices.WithLabelValues("pause", source.String()).Inc()
		l.log.Info().Str("target", reg.ID).Uint64("started", reg.StartUnixMS).Str("service", reg.Service).Stringer("source", source).
			Dur("pause", change.Notice.PausedUntil.Sub(now)).Msg("target asks for a pause; sending it no requests until it ends")
	}
}

// sendPermit returns the check that is made right before a client's request is sent to a target.
func (g *Gateway) sendPermit(reg membership.Registration, c *clientRequest) func() bool {
	return func() bool {
		_, held := g.loop.held(reg, time.Now())
		return !held && g.loop.condemned(c) == nil
	}
}

// condemned returns the verdict by which a request must not be sent, nil for none. It does not wait for the
// event loop, so that it can be called right before a request is sent.
func (l *eventLoop) condemned(c *clientRequest) *suspect.Verdict {
	verdicts := l.verdicts.Load()
	if verdicts == nil || c.trial.Load() {
		return nil
	}
	return verdicts.Rejects(c.parts)
}

// pausePermit is sendPermit for requests of the gateway's own, which a leaving target may still get.
func (g *Gateway) pausePermit(reg membership.Registration) func() bool {
	return func() bool {
		now := time.Now()
		notice, _ := g.loop.held(reg, now)
		return !notice.Paused(now)
	}
}

// withheld reports whether a request was not sent because of the target's notice, and logs it.
func (c *clientRequest) withheld(reg membership.Registration, err error) bool {
	if !errors.Is(err, target.ErrNotPermitted) {
		return false
	}
	now := time.Now()
	c.g.metrics.withheld.WithLabelValues(c.route.Kind.String()).Inc()
	notice, held := c.g.loop.held(reg, now)
	if !held {
		c.log.Info().Str("target", reg.ID).Msg("request not sent to the chosen target: a part of its prompt crashes targets")
		return true
	}
	event := c.log.Info().Str("target", reg.ID).Bool("leaving", notice.Leaving())
	if notice.Leaving() {
		event = event.Stringer("source", notice.LeavingSource).Dur("age", now.Sub(notice.LeavingSince))
	} else {
		event = event.Stringer("source", notice.PauseSource).Dur("age", now.Sub(notice.PausedAt)).Dur("pause", max(0, notice.PausedUntil.Sub(now)))
	}
	event.Msg("request not sent to the chosen target, which leaves or asked for a pause")
	return true
}

// mayProbe reports whether a target may be probed now, and counts the probe if it is paused.
func (g *Gateway) mayProbe(reg membership.Registration) bool {
	if g.pausePermit(reg)() {
		return true
	}
	return query(g.ctx, g.loop, func(st *state) bool { return st.fleet.TakeProbe(time.Now(), reg.ID) })
}

// heldPlacement is why a request cannot be placed: all targets leave or are paused.
type heldPlacement struct {
	all  bool
	held placement.HeldTargets
	// delay is the delay to state to the client.
	delay time.Duration
}

// heldPlacement returns whether a query has no target only because of notices. Of the targets that
// the request has tried, those of q.LastResort may still take it; the client may return to all.
func (st *state) heldPlacement(now time.Time, q placement.FleetQuery, otherwise time.Duration) heldPlacement {
	q.Exclude = slices.DeleteFunc(slices.Clone(q.Exclude), func(id string) bool { return slices.Contains(q.LastResort, id) })
	rest, allRest := st.fleet.AllHeld(now, q)
	q.Exclude = nil
	held, all := st.fleet.AllHeld(now, q)
	if !all {
		if !allRest {
			return heldPlacement{}
		}
		return heldPlacement{all: true, held: rest, delay: st.fleet.RetryDelay(now, placement.HeldTargets{}, otherwise)}
	}
	return heldPlacement{all: true, held: held, delay: st.fleet.RetryDelay(now, held, otherwise)}
}

// hopeless reports whether no target returns before a time.
func (h *heldPlacement) hopeless(waitUntil time.Time) bool {
	return h.all && (h.held.Return.IsZero() || h.held.Return.After(waitUntil))
}

// logHeld logs that a request is refused at once because of notices.
func (c *clientRequest) logHeld(h *heldPlacement) {
	event := c.log.Info().Str("service", c.service).Int("leaving", h.held.Leaving).Int("paused", h.held.Paused)
	if !h.held.Return.IsZero() {
		event = event.Str("earliest", h.held.Earliest).Dur("returns_in", time.Until(h.held.Return))
	}
	event.Dur("retry_after", h.delay).Msg("no target accepts the request: all leave or asked for a pause")
}

// retryDelay returns the delay to state in a refusal for lack of a target.
func (c *clientRequest) retryDelay(otherwise time.Duration) time.Duration {
	if c.heldDelay > 0 {
		return c.heldDelay
	}
	return otherwise
}

// probeOnce is pool.Probe for a check of the gateway's own choice: it is not sent to a paused target.
func (g *Gateway) probeOnce(ctx context.Context, reg membership.Registration, path string) (target.Response, error) {
	if !g.pausePermit(reg)() {
		return target.Response{}, target.ErrNotPermitted
	}
	return g.pool.Probe(ctx, reg.Address, path, probeTimeout)
}
