package gateway

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/pacing"
	"bramleygap/internal/core/precedence"
	"bramleygap/internal/wire"
)

// callQueues holds the pacing of calls at plain services. It is part of the event loop's state.
type callQueues struct {
	byService map[string]*callQueue
	reports   *pacing.Reports
	rng       *rand.Rand
	nextID    uint64
}

func newCallQueues(rng *rand.Rand) *callQueues {
	return &callQueues{byService: map[string]*callQueue{}, reports: pacing.NewReports(), rng: rng}
}

// callQueue holds the calls of one service that wait for their turn.
type callQueue struct {
	service string
	pacer   *pacing.Pacer
	waiting map[uint64]*waitingCall
}

// waitingCall is a call whose request goroutine waits for placed.
type waitingCall struct {
	call   pacing.Call
	f      *callForwarder
	send   forward.Send
	handle *attemptHandle
	// waited is set if the call's turn did not come at once.
	waited  bool
	service string
	// placed has room for the one result, so that the event loop never waits for the request.
	placed chan callPlacement
}

// callPlacement is the result of the choice of a target for an attempt of a call.
type callPlacement struct {
	reg  membership.Registration
	held heldPlacement
	ok   bool
	// noTarget is set if no target may be chosen now.
	noTarget bool
	// refusedFor is the delay to state to the client of a call that cannot be answered in time, 0 for others.
	refusedFor time.Duration
	// waiting is set if the call waits for its turn.
	waiting *waitingCall
}

// plainService reports whether the calls of a service may be paced.
func (st *state) plainService(service string) bool {
	if !st.settings.Calls.Pace || st.desired.Config == nil {
		return false
	}
	svc, ok := st.desired.Config.Service(service)
	return ok && svc.Engine == nil
}

// pacedQueue returns the queue of a service whose calls are paced, nil for others.
func (st *state) pacedQueue(now time.Time, service string) *callQueue {
	q := st.calls.byService[service]
	// Without any target, a call waits as one that is not paced: for a part of its objective.
	if q == nil || !q.pacer.Paced() || len(st.fleet.CallTargets(now, service)) == 0 {
		return nil
	}
	return q
}

// callRank returns the rank of a call, which is that of all others unless the service's routes state different
// priorities.
func (c *clientRequest) callRank(config *catalog.Config) precedence.Rank {
	if config == nil || config.CallRanks(c.service) == nil {
		return precedence.Rank{}
	}
	return config.Rank(c.service, c.route, config.Account(c.head.Key))
}

// callPriority returns the priority that a target is told for a call, negative if the calls of the service have none.
func (c *clientRequest) callPriority() int {
	p := c.g.loop.published.Load()
	if p == nil || p.desired.Config == nil {
		return -1
	}
	ranks := p.desired.Config.CallRanks(c.service)
	if ranks == nil {
		return -1
	}
	return precedence.EnginePriority(c.callRank(p.desired.Config), ranks)
}

// enqueueCall adds a call to those that wait for their turn, which may have come at once. A hedged request does not
// wait: it is sent if there is room and no call waits.
func (l *eventLoop) enqueueCall(st *state, now time.Time, q *callQueue, f *callForwarder, e forward.Send, handle *attemptHandle) callPlacement {
	if e.Hedge {
		l.updatePacer(st, now, q)
		if len(q.waiting) > 0 || !q.pacer.HasRoom() {
			return callPlacement{noTarget: true}
		}
		return l.placeCall(st, now, f, e, handle, q.pacer.Limits())
	}
	if e.Repeat && l.budget(st, now, q.service).Tokens() < 1 {
		l.metrics.retriesRefused.WithLabelValues(q.service).Inc()
		return callPlacement{noTarget: true}
	}
	st.calls.nextID++
	w := &waitingCall{f: f, send: e, handle: handle, service: q.service, placed: make(chan callPlacement, 1)}
	objective := f.req.deadline
	if f.req.route.TargetLatency > 0 {
		objective = f.req.arrived.Add(f.req.route.TargetLatency)
	}
	w.call = pacing.Call{
		ID: st.calls.nextID, Rank: f.req.callRank(st.desired.Config), Once: !f.req.route.Repeatable(), Arrived: f.req.arrived,
		Objective: objective, Deadline: f.req.deadline, Again: e.Retry,
	}
	q.waiting[w.call.ID] = w
	q.pacer.Add(now, &w.call)
	l.serveCallQueue(st, now, q)
	w.waited = true
	return callPlacement{waiting: w}
}

func (l *eventLoop) updatePacer(st *state, now time.Time, q *callQueue) {
	q.pacer.Update(now, st.fleet.CallTargets(now, q.service), st.liveGateways, st.calls.reports, st.latency(q.service).Mean())
}

// serveCallQueue refuses the waiting calls that cannot be answered in time, and places those whose turn has come.
func (l *eventLoop) serveCallQueue(st *state, now time.Time, q *callQueue) {
	l.updatePacer(st, now, q)
	for _, refusal := range q.pacer.Refusals(now) {
		w := q.waiting[refusal.Call.ID]
		delay := q.pacer.RetryAfter(now, st.calls.rng)
		w.f.req.log.Info().Str("service", q.service).Str("reason", "deadline").Dur("expected_wait", refusal.Wait).Int("waiting", len(q.waiting)).
			Dur("retry_after", delay).Msg("call is not sent: it cannot be answered before its deadline")
		l.endWait(q, w, "refused", callPlacement{refusedFor: delay})
	}
	limits, trialLimits := q.pacer.Limits(), q.pacer.Limits()
	if trials := st.fleet.CallTrials(now, q.service); len(trials) > 0 && len(limits) > 0 {
		trialLimits = maps.Clone(limits)
		maps.Copy(trialLimits, trials)
	}
	for _, call := range slices.Clone(q.pacer.Order(now)) {
		w := q.waiting[call.ID]
		if w.f.req.ctx.Err() != nil {
			l.endWait(q, w, "left", callPlacement{noTarget: true})
			continue
		}
		// A call that may have run at a target needs another one, where this gateway may have no share.
		needsOther := len(limits) > 0 && len(w.send.Exclude) > 0 && w.f.machine.MayHaveRun()
		if !q.pacer.HasRoom() && !needsOther {
			continue
		}
		callLimits := trialLimits
		if len(w.send.Exclude) > 0 {
			// A further attempt may be the last one of its call and is no trial.
			callLimits = limits
		}
		placed := l.placeCall(st, now, w.f, w.send, w.handle, callLimits)
		if placed.noTarget && len(limits) > 0 {
			continue
		}
		if placed.ok {
			q.pacer.Sent()
		}
		l.endWait(q, w, w.decision(placed.ok), placed)
	}
}

// singleCallLimits returns limits of one call at each target that accepts calls now.
func (st *state) singleCallLimits(now time.Time, service string) map[string]int {
	limits := map[string]int{}
	for _, t := range st.fleet.CallTargets(now, service) {
		if !now.Before(t.HeldUntil) {
			limits[t.ID] = 1
		}
	}
	return limits
}

// decision returns the label of the metric for a call that waits no more.
func (w *waitingCall) decision(sent bool) string {
	switch {
	case !sent:
		return "unplaced"
	case w.waited:
		return "sent_after_wait"
	}
	return "sent_at_once"
}

func (l *eventLoop) endWait(q *callQueue, w *waitingCall, decision string, placed callPlacement) {
	q.pacer.Remove(w.call.ID)
	delete(q.waiting, w.call.ID)
	l.metrics.pacedCalls.WithLabelValues(decision).Inc()
	w.placed <- placed
}

// awaitTurn waits until the event loop has placed or refused a call. It removes the call at once if its client leaves,
// its deadline passes or the gateway must answer all calls.
func (f *callForwarder) awaitTurn(w *waitingCall) callPlacement {
	select {
	case placed := <-w.placed:
		return placed
	case <-f.attemptsCtx.Done():
	case <-f.req.ctx.Done():
	case <-f.g.answersEnd:
	}
	return query(f.g.ctx, f.g.loop, func(st *state) callPlacement {
		if q := st.calls.byService[w.service]; q.waiting[w.call.ID] != nil {
			f.g.loop.endWait(q, w, "left", callPlacement{noTarget: true})
		}
		return <-w.placed
	})
}

// callEnded records the answer of a target to a call and serves the queue of its service.
func (l *eventLoop) callEnded(st *state, now time.Time, service string, reg membership.Registration, r *attemptResult) {
	if !st.plainService(service) {
		return
	}
	q := st.calls.byService[service]
	if q == nil {
		q = &callQueue{service: service, pacer: pacing.New(l.options.Settings.Name, service), waiting: map[uint64]*waitingCall{}}
		st.calls.byService[service] = q
	}
	if r.result != forward.Unsent {
		rejected := r.result == forward.Refused && r.response.Status == http.StatusServiceUnavailable && !r.response.Leaving
		if q.pacer.Observe(now, reg.ID, rejected) {
			l.metrics.pacedServices.Inc()
			l.log.Info().Str("service", service).Str("target", reg.ID).Msg("targets reject calls for lack of room; calls wait for this gateway's share")
		}
	}
	if q.pacer.Paced() {
		l.serveCallQueue(st, now, q)
	}
}

// tickCallQueues serves the queues and ends the pacing of services whose targets have room again.
func (l *eventLoop) tickCallQueues(st *state, now time.Time) {
	st.calls.reports.Expire(now)
	waiting := 0
	for _, q := range st.calls.byService {
		if !q.pacer.Paced() {
			continue
		}
		l.serveCallQueue(st, now, q)
		waiting += len(q.waiting)
		if !q.pacer.Tick(now) && st.pacedQueue(now, q.service) != nil {
			continue
		}
		for _, call := range slices.Clone(q.pacer.Order(now)) {
			w := q.waiting[call.ID]
			placed := l.placeCall(st, now, w.f, w.send, w.handle, nil)
			l.endWait(q, w, w.decision(placed.ok), placed)
		}
		if !q.pacer.Paced() {
			l.metrics.pacedServices.Dec()
			l.log.Info().Str("service", q.service).Msg("targets have room again; calls are sent as they come")
		}
	}
	l.metrics.callsWaiting.Set(float64(waiting))
}

// exportCallLoads returns the calls of the services that this gateway paces.
func (st *state) exportCallLoads() []*wire.CallLoad {
	var loads []*wire.CallLoad
	for service, q := range st.calls.byService {
		if q.pacer.Paced() && len(loads) < pacing.MaxReportedServices {
			load := q.pacer.Load()
			loads = append(loads, &wire.CallLoad{Service: uint32(pacing.KeyOf(service)), Active: uint32(load.Active), Waiting: uint32(load.Waiting)})
		}
	}
	return loads
}

// mergeCallLoads merges the calls at another gateway from a message that has its loads.
func (l *eventLoop) mergeCallLoads(st *state, now time.Time, remote *wire.GatewayState) {
	if !st.settings.Calls.Pace || remote.PackedLoads == nil {
		return
	}
	loads := make(map[pacing.ServiceKey]pacing.Load, min(len(remote.CallLoads), pacing.MaxReportedServices))
	for i, load := range remote.CallLoads {
		if i <= pacing.MaxReportedServices {
			loads[pacing.ServiceKey(load.Service)] = pacing.Load{Active: int(load.Active), Waiting: int(load.Waiting)}
		}
	}
	if !st.calls.reports.Set(now, remote.Name, loads) {
		l.ignoreInvalid(st, now, remote.Name, "calls", 1)
	}
}
