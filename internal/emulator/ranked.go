package emulator

import (
	"math/rand/v2"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/precedence"
	"bramleygap/internal/core/relay"
)

const (
	// queueInterval is the interval at which gateways check their queues besides.
	queueInterval = 100 * time.Millisecond
	// urgentObjective and patientObjective are the objectives of the first event of the two routes of a ranked service.
	urgentObjective, patientObjective = 4 * time.Second, 10 * time.Second
	// queueLimit is more than the patterns let wait.
	queueLimit = 1000
)

// urgent and patient are the ranks of the two routes.
var urgent, patient = precedence.Rank{}, precedence.Rank{Route: 2}

// rank makes the service ranked: requests are patient, and a fraction of them urgent, changed by the given functions,
// which may be nil.
func (sim *simulation) rank(urgentFraction float64, changeUrgent, changePatient func(*client)) {
	if !sim.ranked {
		sim.ranked = true
		for _, g := range sim.gateways {
			sim.clock.every(queueInterval, sim.start.Add(loadDuration+2*requestTimeout), g.tickQueue)
		}
	}
	sim.modifyRequest = func(c *client) {
		change := changePatient
		c.rank, c.objective = patient, patientObjective
		if sim.loadRNG.Float64() < urgentFraction {
			c.rank, c.objective, change = urgent, urgentObjective, changeUrgent
		}
		if change != nil {
			change(c)
		}
	}
}

// queuedStream is a stream that waits for a place.
type queuedStream struct {
	s      *stream
	choose relay.ChooseTarget
	ran    bool
	work   precedence.Work
}

func (w *queuedStream) holder() string {
	if w.choose.MayHaveCopy && w.s.copy != nil && w.s.gateway.sim.policy.CopyCaches {
		return w.s.copy.holder
	}
	return ""
}

// streamQueue is the queue of a gateway.
type streamQueue struct {
	*precedence.Queue
	streams map[uint64]*queuedStream
	last    uint64
	busy    bool
}

func newStreamQueue(rng *rand.Rand) *streamQueue {
	return &streamQueue{Queue: precedence.NewQueue(rng), streams: map[uint64]*queuedStream{}}
}

// awaitPlace queues a stream for a place, as gateways do in ranked services.
func (s *stream) awaitPlace(e relay.ChooseTarget) {
	g, c, now := s.gateway, s.client, s.gateway.sim.clock.now
	w := &queuedStream{s: s, choose: e, ran: s.machine.Ran() || c.received > 0}
	work := precedence.Work{
		Rank: c.rank, Arrived: c.arrived, Objective: c.objective, Deadline: c.deadline, PromptTokens: s.size.PromptTokens, OutputTokens: s.size.OutputTokens,
		ToFirst: placement.ReadTime(s.size.PromptTokens), Rest: g.completion.Least(maxOutputTokens, s.machine.LastEvent()),
		Ran: w.ran, Events: max(s.machine.LastEvent(), uint64(c.received)),
	}
	if w.holder() != "" {
		work.ToFirst = 0
	}
	w.work = work
	g.queue.last++
	g.queue.streams[g.queue.last] = w
	g.queue.Enqueue(now, precedence.Waiting{ID: g.queue.last, Work: work}, queueLimit)
	g.dispatch()
}

// dispatch offers the waiting streams places.
func (g *gateway) dispatch() {
	if g.queue.busy || !g.up {
		return
	}
	g.queue.busy = true
	g.queue.Dispatch(g.sim.clock.now, func(waiting *precedence.Waiting, offer precedence.Offer) precedence.Placing {
		w := g.queue.streams[waiting.ID]
		placing := w.s.tryPlace(w, offer)
		if placing != precedence.NoRoom {
			delete(g.queue.streams, waiting.ID)
		}
		return placing
	})
	g.queue.busy = false
}

// tryPlace starts an attempt of a waiting stream if there is room for it.
func (s *stream) tryPlace(w *queuedStream, offer precedence.Offer) precedence.Placing {
	g, now := s.gateway, s.gateway.sim.clock.now
	if s.done {
		return precedence.Dropped
	}
	q := placement.FleetQuery{Service: service, Exclude: w.choose.Exclude, LastResort: s.machine.LastResort(), WarmTarget: s.warmTarget}
	var end time.Time
	if !w.work.Continues() {
		rest := g.completion.Least(maxOutputTokens, uint64(s.client.received))
		var ok bool
		if end, ok = g.fleet.EarliestEnd(now, q, s.size, w.holder(), rest); ok && end.After(s.client.deadline) {
			s.apply(s.machine.PlacementFailed())
			return precedence.Dropped
		}
	}
	query := placement.RoomQuery{
		FleetQuery: q, Highest: offer.AsHighest, Reserved: offer.Higher, Gateways: len(g.sim.gateways),
		Shares: placement.NewPromptShares(g.name, g.queue.TokensByGateway(now, g.name)),
	}
	query.LimitUnread(now, s.client.arrived, s.client.objective, urgentObjective, w.work.Rank.Route == 0)
	chosen, room := g.fleet.PlaceInRoom(now, query, w.holder(), s.size, g.mayCopy(now))
	if room != placement.HasRoom {
		if w.ran && !w.work.Continues() && w.work.AtLatestStart(end) && w.startLate(q) {
			return precedence.Placed
		}
		return precedence.NoRoom
	}
	s.begin(chosen, offer.AsHighest)
	return precedence.Placed
}

// startLate starts an attempt of a stream that has run at the best engine, although that has no room, unless the stream
// cannot end there before its deadline and its client has no event.
func (w *queuedStream) startLate(q placement.FleetQuery) bool {
	g, now := w.s.gateway, w.s.gateway.sim.clock.now
	chosen, ok := g.fleet.Place(now, q, w.holder(), w.s.size, g.mayCopy(now))
	if !ok || !w.work.Continues() && now.Add(chosen.Expected+w.work.Rest).After(w.work.Deadline) {
		return false
	}
	w.s.begin(chosen, false)
	return true
}

// begin starts the attempt at a chosen target.
func (s *stream) begin(chosen placement.Placement, asHighest bool) {
	s.placed, s.asHighest = chosen.Target, asHighest
	s.apply(s.machine.Placed(s.gateway.sim.clock.now, relayPlacement(&chosen)))
}

// tickQueue refuses the streams that have waited too long and offers places to the others.
func (g *gateway) tickQueue() {
	if !g.up || !g.sim.policy.Rank {
		return
	}
	now := g.sim.clock.now
	for _, refusal := range g.queue.Expire(now) {
		w := g.queue.streams[refusal.ID]
		delete(g.queue.streams, refusal.ID)
		if w.s.done {
			continue
		}
		if w.ran && refusal.Reason == precedence.WaitedTooLong {
			q := placement.FleetQuery{Service: service, Exclude: w.choose.Exclude, LastResort: w.s.machine.LastResort(), WarmTarget: w.s.warmTarget}
			if w.startLate(q) {
				continue
			}
		}
		w.s.client.retryAfter = min(refusal.Delay, w.s.client.deadline.Sub(now)/3)
		w.s.apply(w.s.machine.PlacementFailed())
	}
	g.dispatch()
}

// priority returns what an engine is told of an attempt.
func (s *stream) priority() int {
	if !s.gateway.sim.ranked || !s.gateway.sim.policy.Rank {
		return 0
	}
	rank := s.client.rank
	if s.asHighest {
		rank = urgent
	}
	return precedence.EnginePriority(rank, []precedence.Rank{urgent, patient})
}
