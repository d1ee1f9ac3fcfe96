package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/precedence"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/wire"
)

const (
	// dispatchInterval is the least time between two passes over a queue. When a zone is lost, hundreds of streams end
	// within a few ms, and each end would cause a pass.
	dispatchInterval = 20 * time.Millisecond
	// plainClass is the class of the streams that may run at any engine of their service.
	plainClass = 1
	// maxWaitingReports bounds the entries of a message of another gateway about its waiting streams, and
	// maxReportedCount what one may state.
	maxWaitingReports = 256
	maxReportedCount  = 1 << 30
)

// streamQueue holds the streams of one ranked service that wait for a place. The event loop owns it.
type streamQueue struct {
	service string
	queue   *precedence.Queue
	streams map[uint64]*queuedStream
	// ctx ends with the gateway.
	ctx          context.Context
	lastDispatch time.Time
	// scheduled is set while a pass is scheduled.
	scheduled bool
	// shares divides the prompts that may wait at engines, as of the last pass.
	shares *placement.PromptShares
}

// queuedStream is a stream that waits. Its task waits for the result meanwhile, so that the event loop may use what
// the task owns.
type queuedStream struct {
	s          *stream
	id         uint64
	choose     relay.ChooseTarget
	resumeFrom *CacheCopy
	since      time.Time
	// ran is set if the stream has run, also for an earlier attempt of its client.
	ran bool
	// heldBy holds the reasons for which the stream has been held and counted.
	heldBy [numHeldReasons]bool
	// result gets one value when the stream leaves the queue.
	result chan placementResult
}

func (w *queuedStream) holder() string {
	if w.resumeFrom == nil {
		return ""
	}
	return w.resumeFrom.Holder
}

// ranked reports whether the streams of a service wait in a queue by rank.
func (l *eventLoop) ranked(service string) bool {
	p := l.published.Load()
	return p != nil && p.desired.Config != nil && p.desired.Config.Ranked(service)
}

// awaitPlace waits in the queue of the service for a target and returns the effects. It is chooseTarget for ranked
// services.
func (s *stream) awaitPlace(e relay.ChooseTarget) []relay.Effect {
	w := &queuedStream{s: s, choose: e, ran: s.machine.Ran() || s.req.head.LastEventID > 0, result: make(chan placementResult, 1)}
	if e.MayHaveCopy {
		w.resumeFrom = s.cacheCopy
	}
	s.g.loop.post(s.g.ctx, func(st *state) { s.g.loop.enqueueStream(st, time.Now(), w) })
	var p placementResult
	select {
	case p = <-w.result:
	case <-s.req.ctx.Done():
		p = query(s.g.ctx, s.g.loop, func(st *state) placementResult { return st.leaveQueue(w) })
	case <-s.g.answersEnd:
		p = query(s.g.ctx, s.g.loop, func(st *state) placementResult { return st.leaveQueue(w) })
		p.leaving = !p.ok
	}
	s.req.leaving = p.leaving
	s.budgetSpent, s.held = p.budgetSpent, p.held
	s.req.deadlineTooShort, s.req.heldDelay = p.deadlineTooShort, max(p.held.delay, p.retryAfter)
	switch {
	case p.ok:
		// If the client has left meanwhile, the attempt ends before it is sent and returns what it took.
		s.recordPlacement(&p, w.resumeFrom)
		return s.machine.Placed(time.Now(), p.placement)
	case s.req.ctx.Err() != nil:
		return s.machine.CallerDisconnected()
	case p.rejected:
		s.req.logRejection(s.machine.Arrived())
		s.req.rejected = true
	case p.held.all:
		s.req.logHeld(&p.held)
	}
	return s.machine.PlacementFailed()
}

// enqueueStream adds a stream to the queue of its service and looks for a place at once.
func (l *eventLoop) enqueueStream(st *state, now time.Time, w *queuedStream) {
	c := w.s.req
	q := st.streamQueues[c.service]
	if q == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		q = &streamQueue{service: c.service, queue: precedence.NewQueue(rng), streams: map[uint64]*queuedStream{}, ctx: w.s.g.ctx}
		st.streamQueues[c.service] = q
	}
	st.lastQueued++
	w.id, w.since = st.lastQueued, now
	waiting := precedence.Waiting{ID: w.id, Account: c.account, Work: st.work(w)}
	if !q.queue.Enqueue(now, waiting, int(w.s.g.maxRequests)) {
		l.refuseQueued(st, now, w, "queue_full", placementResult{retryAfter: q.queue.RetryDelay(now, &waiting.Work)})
		return
	}
	q.streams[w.id] = w
	l.dispatch(st, now, q)
}

// roomClass returns the class of a waiting stream, 0 if it may run only at some engines of its service.
func (st *state) roomClass(w *queuedStream) uint64 {
	if len(w.choose.Exclude) == 0 && w.resumeFrom == nil && st.orders[w.s.req.service] == nil {
		return plainClass
	}
	return 0
}

// work describes a waiting stream to the queue.
func (st *state) work(w *queuedStream) precedence.Work {
	c, m := w.s.req, w.s.machine
	after := max(m.LastEvent(), c.head.LastEventID)
	work := precedence.Work{
		Arrived: c.arrived, Objective: c.route.TargetLatency, Deadline: c.deadline, PromptTokens: w.s.prompt.PromptTokens,
		OutputTokens: w.s.prompt.OutputTokens, Rest: st.completions[c.service].Least(w.s.prompt.OutputTokens, after), Ran: w.ran, Events: after,
	}
	if st.desired.Config != nil {
		work.Rank = c.rank(st.desired.Config)
	}
	if w.resumeFrom == nil {
		work.ToFirst = placement.ReadTime(work.PromptTokens)
	}
	return work
}

// leaveQueue removes the stream of a client that has left. It returns the result if there was one.
func (st *state) leaveQueue(w *queuedStream) placementResult {
	if q := st.streamQueues[w.s.req.service]; q != nil {
		q.queue.Remove(w.id)
		delete(q.streams, w.id)
	}
	select {
	case p := <-w.result:
		return p
	default:
		return placementResult{}
	}
}

// tickQueues looks for places for the waiting streams and refuses those that have waited too long.
func (l *eventLoop) tickQueues(st *state, now time.Time) {
	waiting := 0
	for _, q := range st.streamQueues {
		l.refuseLeaving(st, now, q)
		// Room that has become free since the last pass is for a stream that would be refused now, too.
		if q.queue.Len() > 0 {
			l.dispatch(st, now, q)
		}
		if next := q.queue.NextCheck(now); next.IsZero() || !next.After(now) {
			for _, refusal := range q.queue.Expire(now) {
				l.expireQueued(st, now, q, refusal)
			}
		}
		waiting += q.queue.Len()
	}
	l.metrics.streamsWaiting.Set(float64(waiting))
}

// refuseLeaving ends the wait of the streams that this gateway could not serve to their ends before it stops.
func (l *eventLoop) refuseLeaving(st *state, now time.Time, q *streamQueue) {
	for id, w := range q.streams {
		if w.leaves(now) {
			q.queue.Remove(id)
			delete(q.streams, id)
			l.refuseQueued(st, now, w, "leaving", placementResult{leaving: true})
		}
	}
}

// leaves reports whether this gateway stops before the stream could end if it began now.
func (w *queuedStream) leaves(now time.Time) bool { return !w.ran && w.s.g.streamOutlastsGrace(now) }

// expireQueued ends the wait of a stream. One that has run is sent to the best target although that has no room, if it
// can end there before its deadline or its client has events: it has lost more than another one that waits.
func (l *eventLoop) expireQueued(st *state, now time.Time, q *streamQueue, refusal precedence.Refusal) {
	w := q.streams[refusal.ID]
	delete(q.streams, refusal.ID)
	tooLate, reason := refusal.Reason == precedence.TooLate, w.reason(refusal.Reason)
	refused := placementResult{retryAfter: refusal.Delay, deadlineTooShort: tooLate && !w.s.machine.Ran()}
	if w.ran && !tooLate && w.s.req.ctx.Err() == nil {
		if l.rejects(st, now, w.s.req, w.s.machine.Arrived()) {
			w.result <- placementResult{rejected: true}
			return
		}
		p := st.placeStream(now, st.queuedQuery(w), w.s.req.versionDraw, w.holder(), w.s.prompt)
		switch {
		case p.ok && !st.endsInTime(now, w, &p):
			reason = w.reason(precedence.TooLate)
		case p.ok && st.takeQueuedRepeat(now, w, &p):
			l.placeQueued(st, now, w, p, "last_resort")
			return
		default:
			refused.budgetSpent = p.ok
		}
	}
	l.refuseQueued(st, now, w, reason, refused)
}

// dispatch offers the waiting streams places in their order.
func (l *eventLoop) dispatch(st *state, now time.Time, q *streamQueue) {
	if now.Sub(q.lastDispatch) < dispatchInterval {
		if !q.scheduled {
			q.scheduled = true
			time.AfterFunc(dispatchInterval, func() {
				l.post(q.ctx, func(st *state) {
					q.scheduled = false
					l.dispatch(st, time.Now(), q)
				})
			})
		}
		return
	}
	q.lastDispatch = now
	// A rollout may have begun or ended since the last pass.
	q.queue.Reclass(func(id uint64) uint64 { return st.roomClass(q.streams[id]) })
	q.queue.SetLargest(st.fleet.LargestCapacity(q.service))
	q.shares = placement.NewPromptShares(st.settings.Name, q.queue.TokensByGateway(now, st.settings.Name))
	q.queue.Dispatch(now, func(waiting *precedence.Waiting, offer precedence.Offer) precedence.Placing {
		w := q.streams[waiting.ID]
		placing := l.tryPlace(st, now, w, offer)
		if placing == precedence.Placed || placing == precedence.Dropped {
			delete(q.streams, waiting.ID)
		}
		return placing
	})
}

func (st *state) queuedQuery(w *queuedStream) placement.FleetQuery {
	return placement.FleetQuery{
		Service: w.s.req.service, Exclude: w.choose.Exclude, LastResort: w.s.machine.LastResort(), WarmTarget: w.s.previousTarget,
	}
}

// tryPlace places a waiting stream if there is room for it, or refuses it if none is to be expected.
func (l *eventLoop) tryPlace(st *state, now time.Time, w *queuedStream, offer precedence.Offer) precedence.Placing {
	c, m := w.s.req, w.s.machine
	if c.ctx.Err() != nil {
		w.result <- placementResult{}
		return precedence.Dropped
	}
	if l.rejects(st, now, c, m.Arrived()) {
		w.result <- placementResult{rejected: true}
		return precedence.Dropped
	}
	if w.leaves(now) {
		return l.refuseQueued(st, now, w, "leaving", placementResult{leaving: true})
	}
	fleetQuery := st.queuedQuery(w)
	work := st.work(w)
	var end time.Time
	if !work.Continues() {
		var ok bool
		if end, ok = st.earliestEnd(now, c, fleetQuery, w.s.prompt, w.holder()); ok && end.After(c.deadline) {
			return l.refuseQueued(st, now, w, w.reason(precedence.TooLate), placementResult{deadlineTooShort: !m.Ran(), retryAfter: l.retryDelay(st, now, w)})
		}
	}
	terms := "at_once"
	if now.Sub(w.since) >= dispatchInterval {
		terms = "waited"
	}
	p, room := st.placeInRoom(now, w, fleetQuery, offer)
	if (room == placement.Full || room == placement.Unread) && w.ran && !work.Continues() && work.AtLatestStart(end) {
		if late := st.placeStream(now, fleetQuery, c.versionDraw, w.holder(), w.s.prompt); late.ok && st.endsInTime(now, w, &late) {
			p, room, terms = late, placement.HasRoom, "last_resort"
		}
	}
	// Without a target or a token of the retry budget, new streams wait no longer than those of other services.
	waitUntil := w.since.Add(time.Duration(placementWaitFraction * float64(c.route.TargetLatency)))
	if w.ran {
		waitUntil = work.RanUntil(w.since)
	}
	switch {
	case room == placement.Full || room == placement.Unread:
		l.countHeld(w, room)
		return precedence.NoRoom
	case room == placement.NoTarget:
		held := st.heldPlacement(now, fleetQuery, streamRetryAfter)
		if held.hopeless(waitUntil) {
			return l.refuseQueued(st, now, w, "all_held", placementResult{held: held})
		}
		if !now.Before(waitUntil) && !w.ran {
			return l.refuseQueued(st, now, w, "no_target", placementResult{held: held})
		}
		return precedence.Blocked
	case !st.takeQueuedRepeat(now, w, &p):
		if !now.Before(waitUntil) {
			return l.refuseQueued(st, now, w, "retry_budget", placementResult{budgetSpent: true})
		}
		return precedence.Blocked
	}
	p.asHighest = offer.AsHighest
	l.placeQueued(st, now, w, p, terms)
	return precedence.Placed
}

// placeInRoom chooses an engine that has room, any engine if the service is not ranked any more.
func (st *state) placeInRoom(now time.Time, w *queuedStream, fleetQuery placement.FleetQuery, offer precedence.Offer) (placementResult, placement.Room) {
	c := w.s.req
	if st.desired.Config == nil || !st.desired.Config.Ranked(c.service) {
		p := st.placeStream(now, fleetQuery, c.versionDraw, w.holder(), w.s.prompt)
		if !p.ok {
			return p, placement.NoTarget
		}
		return p, placement.HasRoom
	}
	st.restrictVersion(now, &fleetQuery, c.versionDraw)
	q := placement.RoomQuery{FleetQuery: fleetQuery, Highest: offer.AsHighest, Reserved: offer.Higher, Gateways: st.gatewayCount, Known: st.knownGateways}
	st.limitUnread(now, w, &q)
	chosen, room := st.fleet.PlaceInRoom(now, q, w.holder(), w.s.prompt, st.mayCopy(now, c.service))
	return newPlacementResult(&chosen, room == placement.HasRoom), room
}

// knownGateways returns the sorted names of the gateways that the store lists and of this one.
func (st *state) knownGateways() []string {
	names := append(slices.Collect(maps.Keys(st.listedGateways())), st.settings.Name)
	slices.Sort(names)
	return slices.Compact(names)
}

// takeQueuedRepeat takes a token of the retry budget if the stream needs one, and reports whether it may go on.
func (st *state) takeQueuedRepeat(now time.Time, w *queuedStream, p *placementResult) bool {
	if !w.s.machine.Arrived() {
		return true
	}
	p.tookRepeat = w.s.takeRepeat(st, now)
	return p.tookRepeat
}

// placeQueued reserves the place of a waiting stream at once, so that no other one gets it before the attempt starts.
func (l *eventLoop) placeQueued(st *state, now time.Time, w *queuedStream, p placementResult, terms string) {
	size := w.s.prompt
	if p.placement.Resume {
		size = resumedSize(size)
	}
	p.reserved = st.fleet.BeginStream(now, p.placement.Target, p.placement.CopyTarget, size)
	l.metrics.queuePlaces.WithLabelValues(terms).Inc()
	w.result <- p
}

// refuseQueued ends the wait of a stream without a place, for a reason that is counted and logged.
func (l *eventLoop) refuseQueued(st *state, now time.Time, w *queuedStream, reason string, p placementResult) precedence.Placing {
	l.metrics.queueRefusals.WithLabelValues(reason).Inc()
	event := w.s.req.log.Info().Str("reason", reason).Str("service", w.s.req.service).Bool("ran", w.ran).Dur("waited", now.Sub(w.since)).
		Dur("left", w.s.req.deadline.Sub(now)).Dur("retry_after", p.retryAfter)
	if q := st.streamQueues[w.s.req.service]; q != nil {
		event = event.Int("waiting", q.queue.Len())
	}
	event.Msg("stream leaves the queue without a place")
	w.result <- p
	return precedence.Dropped
}

// retryDelay returns the delay to state to the client of a stream that is refused while it waits.
func (l *eventLoop) retryDelay(st *state, now time.Time, w *queuedStream) time.Duration {
	work := st.work(w)
	return st.streamQueues[w.s.req.service].queue.RetryDelay(now, &work)
}

// streamEnded offers the memory that a stream of this gateway has left to those that wait. Only tokens that became
// free at a live engine count for the delays that refusals state.
func (l *eventLoop) streamEnded(st *state, now time.Time, service string, tokens int) {
	if q := st.streamQueues[service]; q != nil {
		if tokens > 0 {
			q.queue.Freed(now, tokens)
		}
		if q.queue.Len() > 0 {
			l.dispatch(st, now, q)
		}
	}
}

// rerankQueues applies the ranks of a new desired state to the waiting streams.
func (st *state) rerankQueues() {
	st.fleet.KeepPromptsOf(st.desired.Config.Ranked)
	for _, q := range st.streamQueues {
		q.queue.Rerank(func(id uint64) precedence.Rank { return q.streams[id].s.req.rank(st.desired.Config) })
	}
}

// serviceKey stands for a service in messages between gateways.
func serviceKey(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// exportWaiting adds the waiting streams to a message to another gateway.
func (st *state) exportWaiting(msg *wire.GatewayState, now time.Time) {
	for _, q := range st.streamQueues {
		for _, load := range q.queue.Loads(now) {
			if len(msg.Waiting) == maxWaitingReports {
				return
			}
			msg.Waiting = append(msg.Waiting, &wire.WaitingWork{
				Service: serviceKey(q.service), AccountPriority: uint32(load.Rank.Account), RoutePriority: uint32(load.Rank.Route),
				Streams: uint32(load.Streams), Tokens: uint32(load.Tokens), OldestWaitMs: uint32(load.Oldest.Milliseconds()),
			})
		}
	}
}

// mergeWaiting replaces what another gateway reported of its waiting streams. Entries with impossible values are
// ignored.
func (l *eventLoop) mergeWaiting(st *state, now time.Time, remote *wire.GatewayState) {
	loads := map[uint32][]precedence.RankLoad{}
	invalid := max(0, len(remote.Waiting)-maxWaitingReports)
	for _, entry := range remote.Waiting[:min(len(remote.Waiting), maxWaitingReports)] {
		if entry.Streams == 0 || max(entry.Streams, entry.Tokens, entry.OldestWaitMs) > maxReportedCount || max(entry.AccountPriority, entry.RoutePriority) > catalog.MaxPriority {
			invalid++
			continue
		}
		loads[entry.Service] = append(loads[entry.Service], precedence.RankLoad{
			Rank:    precedence.Rank{Account: int(entry.AccountPriority), Route: int(entry.RoutePriority)},
			Streams: int(entry.Streams), Tokens: int(entry.Tokens), Oldest: time.Duration(entry.OldestWaitMs) * time.Millisecond,
		})
	}
	for _, q := range st.streamQueues {
		q.queue.SetPeer(now, remote.Name, loads[serviceKey(q.service)])
	}
	l.ignoreInvalid(st, now, remote.Name, "waiting", invalid)
}

// reportPriorities logs and counts the priorities of a new version of the desired state that are out of range.
func (l *eventLoop) reportPriorities(config *catalog.Config) {
	if invalid := config.InvalidPriorities(); len(invalid) > 0 {
		l.metrics.priorities.Add(float64(len(invalid)))
		l.log.Warn().Uint64("version", config.Version).Strs("of", invalid).Msg("priorities are out of range; they count as the lowest valid one")
	}
}

// rank returns the rank of a stream by a version of the desired state, which may be newer than the one by which it
// was admitted.
func (c *clientRequest) rank(config *catalog.Config) precedence.Rank {
	route := config.Route(c.head.Host, c.head.Path)
	if route == nil || route.Kind != catalog.Stream {
		route = c.route
	}
	return config.Rank(c.service, route, config.Account(c.head.Key))
}

// enginePriority returns the priority that an engine is told for an attempt, negative if the service is not ranked.
// asHighest is set if it has the rights of the highest rank.
func (c *clientRequest) enginePriority(asHighest bool) int {
	p := c.g.loop.published.Load()
	if p == nil || p.desired.Config == nil || !p.desired.Config.Ranked(c.service) {
		return -1
	}
	rank := precedence.Rank{}
	if !asHighest {
		rank = c.rank(p.desired.Config)
	}
	return precedence.EnginePriority(rank, p.desired.Config.Ranks(c.service))
}
