package placement

import (
	"slices"
	"time"

	"bramleygap/internal/core/membership"
)

// FleetQuery restricts a choice.
type FleetQuery struct {
	Service string
	// Version restricts the choice to targets of a version; empty accepts any.
	Version string
	// ExcludeVersion leaves out targets of a version; empty leaves out none.
	ExcludeVersion string
	// Exclude holds ids that must not be chosen.
	Exclude []string
	// AvoidZone is a zone to leave out while another has a usable target.
	AvoidZone string
	// WarmTarget is a target that may still keep the prompt, empty for none.
	WarmTarget string
}

func (q *FleetQuery) admits(m *member, now time.Time) bool {
	if m.reg.Service != q.Service || q.Version != "" && m.reg.Version != q.Version || !m.usable(now) {
		return false
	}
	if q.ExcludeVersion != "" && m.reg.Version == q.ExcludeVersion {
		return false
	}
	for _, id := range q.Exclude {
		if id == m.reg.ID {
			return false
		}
	}
	return true
}

// HasTarget reports whether a query admits any target.
func (f *Fleet) HasTarget(now time.Time, q FleetQuery) bool {
	for _, m := range f.order {
		if q.admits(m, now) {
			return true
		}
	}
	return false
}

// best returns the admitted member with the lowest cost.
func (f *Fleet) best(now time.Time, q *FleetQuery, cost func(*member) time.Duration) *member {
	var chosen, other *member
	var chosenCost, otherCost time.Duration
	for _, m := range f.order {
		if !q.admits(m, now) {
			continue
		}
		c := cost(m)
		if q.AvoidZone != "" && m.reg.Zone == q.AvoidZone {
			if other == nil || c < otherCost {
				other, otherCost = m, c
			}
			continue
		}
		if chosen == nil || c < chosenCost {
			chosen, chosenCost = m, c
		}
	}
	if chosen == nil {
		return other
	}
	return chosen
}

// ChooseCall returns the target for a short call: the one with the lowest expected
// latency, from the calls in flight and the latency and failures seen.
func (f *Fleet) ChooseCall(now time.Time, q FleetQuery) (membership.Registration, bool) {
	m := f.best(now, &q, func(m *member) time.Duration { return f.callCost(now, m) })
	if m == nil {
		return membership.Registration{}, false
	}
	return m.reg, true
}

func (f *Fleet) callCost(now time.Time, m *member) time.Duration {
	slots := max(1, m.reg.Slots)
	latency := max(m.latency, time.Millisecond)
	cost := latency + latency*time.Duration(m.calls)/time.Duration(slots)*2
	cost += m.extraCost(now)
	if m.reg.Zone != f.zone {
		cost += otherZoneCost
	}
	if rate := m.failures.get(now); rate > failureLimit {
		cost += time.Duration(rate * float64(time.Second))
	}
	return cost + time.Duration(f.rng.Int64N(int64(2*time.Millisecond)))
}

// TimeToFirstEvent returns the expected time to the first event of a prompt at the best target,
// and false if there is none.
func (f *Fleet) TimeToFirstEvent(now time.Time, q FleetQuery, p GenerationSize) (time.Duration, bool) {
	m := f.best(now, &q, func(m *member) time.Duration { return f.firstEvent(now, m, q.toRead(m, p)) })
	if m == nil {
		return 0, false
	}
	return f.firstEvent(now, m, q.toRead(m, p)), true
}

// toRead returns what a target must read of a prompt.
func (q *FleetQuery) toRead(m *member, p GenerationSize) GenerationSize {
	if m.reg.ID == q.WarmTarget {
		p.PromptTokens = 0
	}
	return p
}

func (f *Fleet) firstEvent(now time.Time, m *member, p GenerationSize) time.Duration {
	return f.backlog(now, m) + readTime(p.PromptTokens, m.slowness.get(now)) + firstTokenOverhead
}

func readTime(tokens int, slowness float64) time.Duration {
	return time.Duration(float64(tokens) / defaultReadRate * slowness * float64(time.Millisecond))
}

// backlog is the time until the prompts that a target has been given are read.
func (f *Fleet) backlog(now time.Time, m *member) time.Duration {
	total := f.ownBacklog(now, m)
	for _, p := range f.peers {
		age := now.Sub(p.at)
		if age > peerLoadMaxAge {
			continue
		}
		if load, ok := p.loads[m.reg.ID]; ok {
			total += max(0, load.Backlog-age)
		}
	}
	return total
}

// ownBacklog is the part of this gateway. A prompt that is overdue counts as long again
// as it is late, since whatever holds it up holds up its successors.
func (f *Fleet) ownBacklog(now time.Time, m *member) time.Duration {
	left := max(0, m.readBy.Sub(now))
	for _, r := range m.streams {
		if r.reading {
			left = max(left, now.Sub(r.started)-r.expected)
		}
	}
	return left
}

// load sums what is known of a target's memory, streams and copies.
func (f *Fleet) load(now time.Time, m *member) (memory, streams, copies int) {
	memory, streams, copies = m.copyMem, len(m.streams), m.copies
	for _, r := range m.streams {
		memory += r.prompt.memory()
	}
	for _, p := range f.peers {
		if now.Sub(p.at) > peerLoadMaxAge {
			continue
		}
		load := p.loads[m.reg.ID]
		memory, streams, copies = memory+load.Memory, streams+load.Streams, copies+load.Copies
	}
	return memory, streams, copies
}

// ChooseEngine returns the engine for a generation: the one that is expected to produce
// the first event soonest and disturbs the fewest running streams.
func (f *Fleet) ChooseEngine(now time.Time, q FleetQuery, p GenerationSize) (membership.Registration, bool) {
	m := f.best(now, &q, func(m *member) time.Duration {
		memory, streams, copies := f.load(now, m)
		cost := f.firstEvent(now, m, q.toRead(m, p)) + time.Duration(streams)*streamCrowding + time.Duration(copies)*copyCrowding
		if m.capacity > 0 && memory+p.memory() > m.capacity {
			cost += memoryCost
		}
		if rate := m.failures.get(now); rate > failureLimit {
			cost += memoryCost
		}
		if !m.own {
			cost += foreignCost
		}
		return cost + m.extraCost(now) + time.Duration(f.rng.Int64N(int64(choiceNoise)))
	})
	if m == nil {
		return membership.Registration{}, false
	}
	return m.reg, true
}

// ChooseCopy returns the engine for the second copy of a generation's memory, outside the
// zone of the engine that runs it, which is q.AvoidZone, if possible. The streams of a lost
// zone shall spread over many engines. It returns false if none has room.
func (f *Fleet) ChooseCopy(now time.Time, q FleetQuery, p GenerationSize) (membership.Registration, bool) {
	m := f.best(now, &q, func(m *member) time.Duration {
		memory, streams, copies := f.load(now, m)
		cost := f.backlog(now, m)/4 + time.Duration(streams)*streamCrowding + time.Duration(copies)*copyCrowding
		cost += time.Duration(m.copiesFrom[q.AvoidZone])*sameZoneCopy + m.extraCost(now)
		if m.capacity > 0 && memory+p.memory() > m.capacity {
			cost += memoryCost
		}
		return cost + time.Duration(f.rng.Int64N(int64(choiceNoise)))
	})
	if m == nil {
		return membership.Registration{}, false
	}
	if memory, _, _ := f.load(now, m); m.capacity > 0 && memory+p.memory() > m.capacity {
		return membership.Registration{}, false
	}
	return m.reg, true
}

// Placement says where a generation runs next.
type Placement struct {
	Target membership.Registration
	// FromCopy is set if the target has the copy of an earlier run's memory.
	FromCopy bool
	// Copy is the target that keeps the next second copy, empty for none.
	Copy string
	// Expected is the time until the first event; 0 for a target that has the copy.
	Expected time.Duration
}

// Place chooses where a generation runs: at the holder of its copy if that target may get
// work, or else at the best engine. With keepCopy it also chooses an engine for the next
// copy. It returns false if there is no target.
func (f *Fleet) Place(now time.Time, q FleetQuery, holder string, p GenerationSize, keepCopy bool) (Placement, bool) {
	var chosen Placement
	if holder != "" && f.Usable(now, holder) {
		chosen.Target, chosen.FromCopy = f.Target(holder)
	}
	if !chosen.FromCopy {
		var ok bool
		if chosen.Target, ok = f.ChooseEngine(now, q, p); !ok {
			return Placement{}, false
		}
		m := f.members[chosen.Target.ID]
		chosen.Expected = f.firstEvent(now, m, q.toRead(m, p))
	}
	if keepCopy {
		q.Exclude = append(slices.Clone(q.Exclude), chosen.Target.ID)
		q.AvoidZone = chosen.Target.Zone
		// A run does not go on under another version.
		q.Version = chosen.Target.Version
		if keeper, ok := f.ChooseCopy(now, q, p); ok {
			chosen.Copy = keeper.ID
		}
	}
	return chosen, true
}
