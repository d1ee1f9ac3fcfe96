// Package pacing decides which calls of a plain service a gateway sends to targets that have rejected calls for lack of
// room: each gateway has its share of each target, other calls wait in order, and those that cannot be answered in time
// are refused at once.
package pacing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// latencyMargin, in halves of the usual latency, is the time that a call needs at a target: its work and a queue of
	// half as many calls as there are slots.
	latencyMargin = 3
	// minLatency is the least latency with which waits are computed.
	minLatency = time.Millisecond
	// arrivalWindow is the time over which the arrivals of calls are counted.
	arrivalWindow = 2 * time.Second
	// minDrainShare is the least share of the rate at which calls end that counts for calls that others overtake. The
	// rates are measured over few calls.
	minDrainShare = 0.1
	// minRejectionPause and maxRejectionPause bound the time for which a target that has rejected a paced call gets no
	// other one from this gateway. It is the usual latency, after which some of the target's slots are free.
	minRejectionPause = 20 * time.Millisecond
	maxRejectionPause = 250 * time.Millisecond
	// minRetryAfter is the least delay to state in a refusal. With its random part, about as much again, clients that
	// were refused together do not return as one wave.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the delay: targets and shares change within seconds.
	maxRetryAfter = 5 * time.Second
	// totalSampleWeight is the weight of a new sample in the average number of all gateways' calls, taken once a tick.
	totalSampleWeight = 0.1
	// maxExchangeCut is the time without news of any other gateway for which the average stays what it was. Without
	// it, pacing ends at a cut of the exchange and the gateways overload the targets.
	maxExchangeCut = 20 * time.Second
)

// Pacer paces the calls of one service at one gateway. It is not safe for concurrent use.
type Pacer struct {
	self     string
	key      ServiceKey
	evidence evidence
	demand   demand
	// active is the number of calls at the targets, and room how many more the limits permit. Calls at targets that
	// are lost count in neither, so that they do not hold up others until they end.
	active, room int
	// latency is the usual time from sending a call to its answer.
	latency  time.Duration
	waiting  []*Call
	arrivals map[class]*window
	// rejectedUntil is the end of the pause of targets that have rejected a call.
	rejectedUntil map[string]time.Time
	targets       []Target
	units         []unit
	limits        map[string]int
	total         int
	// returns is when the first held target accepts calls again, if all are held.
	returns time.Time
	// known is the number of calls at all gateways, without the least share of each, and calls its average over ticks.
	known, calls float64
	// heard is whether another gateway was heard from or there is none, and heardAt when it was last so.
	heard   bool
	heardAt time.Time
	// idleSince is when this gateway's last call of the service ended, zero if it has calls.
	idleSince time.Time
}

// New returns a pacer of a service at a gateway.
func New(self, service string) *Pacer {
	return &Pacer{self: self, key: KeyOf(service), arrivals: map[class]*window{}, rejectedUntil: map[string]time.Time{}}
}

// Observe records the answer of a target to a call: whether it rejected the call for lack of room. It reports whether
// the service is paced from now on and was not before.
func (p *Pacer) Observe(now time.Time, target string, rejected bool) bool {
	before := p.evidence.paced
	p.evidence.observe(now, rejected)
	if rejected && p.evidence.paced {
		p.rejectedUntil[target] = now.Add(min(maxRejectionPause, max(minRejectionPause, p.latency)))
	}
	return p.evidence.paced && !before
}

// Paced reports whether the calls of the service are paced.
func (p *Pacer) Paced() bool { return p.evidence.paced }

// Load returns the average number of this gateway's calls, to be reported to the others.
func (p *Pacer) Load() Load {
	calls := p.demand.get()
	active := min(p.active, calls)
	return Load{Active: active, Waiting: calls - active}
}

// Limits returns the largest number of calls that this gateway may have at each target.
func (p *Pacer) Limits() map[string]int { return p.limits }

// HasRoom reports whether another call may be sent, at some target.
func (p *Pacer) HasRoom() bool { return p.room > 0 }

// Sent records that a call was sent since the last Update.
func (p *Pacer) Sent() { p.active, p.room = p.active+1, p.room-1 }

// Update computes the shares. names holds this gateway and the live others, sorted.
func (p *Pacer) Update(now time.Time, targets []Target, names []string, reports *Reports, latency time.Duration) {
	p.active, p.latency = 0, max(minLatency, latency)
	for i := range targets {
		p.active += targets[i].Active
	}
	p.demand.update(now, p.active+len(p.waiting))
	if !slices.EqualFunc(p.targets, targets, func(a, b Target) bool { return a.ID == b.ID && a.Slots == b.Slots }) {
		p.units = layout(targets)
	}
	p.targets = append(p.targets[:0], targets...)
	p.returns = time.Time{}
	for i := range p.targets {
		t := &p.targets[i]
		if until := p.rejectedUntil[t.ID]; until.After(t.HeldUntil) {
			t.HeldUntil = until
		}
		if now.Before(t.HeldUntil) && (p.returns.IsZero() || t.HeldUntil.Before(p.returns)) {
			p.returns = t.HeldUntil
		}
	}
	from, to := interval(now, names, p.self, max(1, p.demand.get()), reports, p.key)
	p.limits, p.total = limits(now, p.targets, p.units, from, to)
	p.room = 0
	for i := range p.targets {
		p.room += max(0, p.limits[p.targets[i].ID]-p.targets[i].Active)
	}

	if p.known, p.heard = knownCalls(now, names, p.self, p.demand.get(), reports, p.key); p.heard || p.heardAt.IsZero() {
		p.heardAt = now
	}
	if p.demand.get() > 0 {
		p.idleSince = time.Time{}
	} else if p.idleSince.IsZero() {
		p.idleSince = now
	}
}

// Tick ends the pacing, and reports whether it did, if no target has rejected a call for calmTime and the calls of
// all gateways fit into the targets' room, or there is no target, or this gateway has had no calls for calmTime.
// Without the condition on the room, pacing under lasting scarcity would end and begin again with a wave of rejections
// each time.
func (p *Pacer) Tick(now time.Time) bool {
	for target, until := range p.rejectedUntil {
		if !now.Before(until) {
			delete(p.rejectedUntil, target)
		}
	}
	for class, w := range p.arrivals {
		if w.sum(now, arrivalWindow) == 0 {
			delete(p.arrivals, class)
		}
	}
	if p.heard || now.Sub(p.heardAt) > maxExchangeCut {
		p.calls += totalSampleWeight * (p.known - p.calls)
	}
	idle := !p.idleSince.IsZero() && now.Sub(p.idleSince) >= calmTime
	if !p.evidence.paced || !p.evidence.calm(now) || len(p.units) > 0 && !idle && p.calls > float64(len(p.units)) {
		return false
	}
	p.evidence.paced = false
	return true
}

// Add adds a call to those that wait.
func (p *Pacer) Add(now time.Time, call *Call) {
	p.waiting = append(p.waiting, call)
	if call.Again {
		return
	}
	w := p.arrivals[call.class()]
	if w == nil {
		w = &window{}
		p.arrivals[call.class()] = w
	}
	w.add(now, arrivalWindow)
}

// Remove removes a call, and reports whether it was waiting.
func (p *Pacer) Remove(id uint64) bool {
	n := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(c *Call) bool { return c.ID == id })
	return len(p.waiting) < n
}

// Order sorts the waiting calls and returns them, the next one first. The caller must not change the list.
func (p *Pacer) Order(now time.Time) []*Call {
	slices.SortFunc(p.waiting, func(a, b *Call) int {
		switch {
		case before(now, p.latency, a, b):
			return -1
		case before(now, p.latency, b, a):
			return 1
		}
		return 0
	})
	return p.waiting
}

// Refusal is a waiting call that cannot be answered before its deadline.
type Refusal struct {
	Call *Call
	// Wait is the expected time until the call would be sent.
	Wait time.Duration
}

// Refusals returns the waiting calls to be refused now. Those behind them have waits without them.
func (p *Pacer) Refusals(now time.Time) []Refusal {
	var refused []Refusal
	ahead := 0
	for _, call := range p.Order(now) {
		wait := p.wait(now, call, ahead)
		if now.Add(wait + p.latency).After(call.Deadline) {
			refused = append(refused, Refusal{call, wait})
			continue
		}
		ahead++
	}
	return refused
}

// wait returns the expected time until a call is sent with the given number of waiting calls before it.
func (p *Pacer) wait(now time.Time, call *Call, ahead int) time.Duration {
	held := time.Duration(0)
	if p.total == 0 && p.returns.After(now) {
		held = p.returns.Sub(now)
	}
	share := max(1, p.total)
	queued := ahead - p.room + 1
	if queued <= 0 || p.total == 0 && ahead < share {
		return held
	}
	rate := float64(share) / p.latency.Seconds()
	overtaking := p.overtakingRate(now, call)
	return held + time.Duration(float64(queued)/max(minDrainShare*rate, rate-overtaking)*float64(time.Second))
}

// overtakingRate returns the rate at which calls arrive that go before a waiting call: those of a class before its own,
// and those of its own if it cannot meet its objective any more.
func (p *Pacer) overtakingRate(now time.Time, call *Call) float64 {
	arrivals := 0
	own := call.effectiveClass(now)
	late := !call.inTime(now, p.latency)
	for class, w := range p.arrivals {
		if order := class.compare(own); order < 0 || order == 0 && late {
			arrivals += w.sum(now, arrivalWindow)
		}
	}
	return float64(arrivals) / arrivalWindow.Seconds()
}

// RetryAfter returns the delay to state in a refusal: the time in which the waiting calls are sent, and a random part.
func (p *Pacer) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	drain := time.Duration(len(p.waiting)) * p.latency / time.Duration(max(1, p.total))
	if p.total == 0 && p.returns.After(now) {
		drain += p.returns.Sub(now)
	}
	drain = min(maxRetryAfter, max(minRetryAfter, drain))
	return drain + time.Duration(rng.Int64N(int64(drain)))
}
