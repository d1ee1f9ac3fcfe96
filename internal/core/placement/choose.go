package placement

import (
	"math"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
)

// FleetQuery restricts the targets that may be chosen.
type FleetQuery struct {
	Service string
	// Version is the required version; empty accepts any.
	Version string
	// ExcludeVersion is a version that must not be chosen; empty excludes none.
	ExcludeVersion string
	// Exclude lists the ids of targets that must not be chosen.
	Exclude []string
	// LastResort lists the ids in Exclude that Place may choose if there is no other target.
	LastResort []string
	// AvoidZone is a zone to avoid as long as another zone has an admitted target.
	AvoidZone string
	// WarmTarget is the id of a target that may still have the prompt cached; empty for none.
	WarmTarget string
	// room holds the targets that have room, nil if it does not matter.
	room roomSet
	// CallLimits holds the number of this gateway's calls below which each target may be chosen; nil means no limits.
	CallLimits map[string]int
}

func (q *FleetQuery) admits(t *targetState, now time.Time) bool {
	return t.accepts(now) && q.matches(t) && q.room.admits(t) && (q.CallLimits == nil || t.activeCalls < q.CallLimits[t.reg.ID])
}

// allows reports whether a target is of the service of the query and not of the version that it excludes.
func (q *FleetQuery) allows(t *targetState) bool {
	return t.reg.Service == q.Service && (q.ExcludeVersion == "" || t.reg.Version != q.ExcludeVersion)
}

// matches is admits without regard to whether the target is usable now.
func (q *FleetQuery) matches(t *targetState) bool {
	if !q.allows(t) || q.Version != "" && t.reg.Version != q.Version {
		return false
	}
	for _, id := range q.Exclude {
		if id == t.reg.ID {
			return false
		}
	}
	return true
}

// HasTarget reports whether any target matches the query.
func (f *Fleet) HasTarget(now time.Time, q FleetQuery) bool {
	for _, t := range f.order {
		if q.admits(t, now) {
			return true
		}
	}
	return false
}

// choice is the target with the lowest cost so far. Targets in the query's AvoidZone are a fallback.
type choice struct {
	chosen, fallback         *targetState
	chosenCost, fallbackCost time.Duration
	// compared is the number of targets compared.
	compared int
}

func (c *choice) compare(q *FleetQuery, t *targetState, cost time.Duration) {
	c.compared++
	switch {
	case q.AvoidZone != "" && t.reg.Zone == q.AvoidZone:
		if c.fallback == nil || cost < c.fallbackCost {
			c.fallback, c.fallbackCost = t, cost
		}
	case c.chosen == nil || cost < c.chosenCost:
		c.chosen, c.chosenCost = t, cost
	}
}

// sufficient reports whether targets beyond those of the subset need not be compared. If all of the
// subset are a last resort, as many again are: the loads of those further away are not known, and
// they would seem idle while all are full.
func (c *choice) sufficient(subset int) bool {
	return c.compared >= subset && c.chosen != nil && (c.chosenCost < lastResortCost || c.compared >= 2*subset)
}

func (c *choice) best() *targetState {
	if c.chosen == nil {
		return c.fallback
	}
	return c.chosen
}

// best returns the admitted target with the lowest cost, nil if there is none.
func (f *Fleet) best(now time.Time, q *FleetQuery, cost func(*targetState) time.Duration) *targetState {
	var c choice
	for _, t := range f.order {
		if q.admits(t, now) {
			c.compare(q, t, cost(t))
		}
	}
	return c.best()
}

// bestNearby is best among the targets of this gateway's subset that are admitted, and further ones if
// they do not suffice.
func (f *Fleet) bestNearby(now time.Time, q *FleetQuery, cost func(*targetState) time.Duration) *targetState {
	var c choice
	targets, subset := f.nearby(q.Service)
	for t := range targets {
		if c.sufficient(subset) {
			break
		}
		if q.admits(t, now) {
			c.compare(q, t, cost(t))
		}
	}
	return c.best()
}

// ChooseCall returns the target for a short call: the one with the lowest expected latency,
// estimated from its calls in flight and its observed latency and failure rate.
func (f *Fleet) ChooseCall(now time.Time, q FleetQuery) (membership.Registration, bool) {
	usual := f.lowestLatency(now, &q)
	t := f.best(now, &q, func(t *targetState) time.Duration { return f.callCost(now, &q, t, usual) })
	if t == nil {
		return membership.Registration{}, false
	}
	f.countCall(now, &q, t)
	f.recordZone(t)
	return t.reg, true
}

// lowestLatency returns the lowest observed latency of the admitted targets, 0 if none is known.
func (f *Fleet) lowestLatency(now time.Time, q *FleetQuery) time.Duration {
	lowest := time.Duration(0)
	for _, t := range f.order {
		if t.latency > 0 && (lowest == 0 || t.latency < lowest) && q.admits(t, now) {
			lowest = t.latency
		}
	}
	return lowest
}

// callCost returns the expected latency of a call. A target that fails most of its calls is the last resort:
// its failures come faster than the answers of a sound target that has a queue. The excess of a target's
// latency over the usual one decays, since only calls would show that its queue has ended.
func (f *Fleet) callCost(now time.Time, q *FleetQuery, t *targetState, usual time.Duration) time.Duration {
	slots, usual := max(1, t.reg.Slots), t.usualLatency(usual)
	latency := max(t.latency, time.Millisecond)
	if latency > usual && !t.latencyAt.IsZero() {
		halfLives := float64(now.Sub(t.latencyAt)) / float64(latencyHalfLife)
		latency = usual + time.Duration(float64(latency-usual)/math.Exp2(halfLives))
	}
	cost := latency + latency*time.Duration(t.activeCalls)/time.Duration(slots)*2
	cost += t.leavingPenalty(now)
	if t.reg.Zone != f.zone {
		cost += otherZoneCost + f.transferCost(t)
	}
	cost += f.failureCost(now, q, t)
	return cost + time.Duration(f.rng.Int64N(int64(2*time.Millisecond)))
}

// TimeToFirstEvent returns the shortest expected time to the first event of a generation, and
// false if there is no admitted target.
func (f *Fleet) TimeToFirstEvent(now time.Time, q FleetQuery, size GenerationSize) (time.Duration, bool) {
	t := f.bestNearby(now, &q, func(t *targetState) time.Duration { return f.timeToFirstEvent(now, t, q.uncached(t, size)) })
	if t == nil {
		return 0, false
	}
	return f.timeToFirstEvent(now, t, q.uncached(t, size)), true
}

// EarliestEnd returns when a generation can end at the earliest whose events take rest from the first to the last:
// at the target that holds its copy, or else at the best one. If that one has no work, rest does not count: trying
// delays nobody, and the caller gets some more events. It returns false if there is no admitted target.
func (f *Fleet) EarliestEnd(now time.Time, q FleetQuery, size GenerationSize, holder string, rest time.Duration) (time.Time, bool) {
	if f.continuesFrom(now, &q, holder) {
		return now, true
	}
	t := f.bestNearby(now, &q, func(t *targetState) time.Duration {
		_, streams, _ := f.totalLoad(now, t)
		return f.timeToFirstEvent(now, t, q.uncached(t, size)) + time.Duration(streams)*t.takes(now, 0, streamCost) + t.takes(now, 0, rest) - rest
	})
	if t == nil {
		return time.Time{}, false
	}
	first := now.Add(f.timeToFirstEvent(now, t, q.uncached(t, size)))
	if _, streams, _ := f.totalLoad(now, t); streams == 0 {
		return first, true
	}
	return first.Add(t.takes(now, 0, rest)), true
}

// uncached returns the size with the prompt tokens that the target must prefill.
func (q *FleetQuery) uncached(t *targetState, size GenerationSize) GenerationSize {
	if t.reg.ID == q.WarmTarget {
		size.PromptTokens = 0
	}
	return size
}

func (f *Fleet) timeToFirstEvent(now time.Time, t *targetState, size GenerationSize) time.Duration {
	return f.backlog(now, t) + t.takes(now, size.PromptTokens, 0) + firstEventOverhead
}

func prefillTime(tokens int, slowness float64) time.Duration {
	return time.Duration(float64(tokens) / defaultPrefillRate * slowness * float64(time.Millisecond))
}

// backlog returns the time that a target needs to prefill its pending prompts from all
// gateways.
func (f *Fleet) backlog(now time.Time, t *targetState) time.Duration {
	f.expireReports(now)
	if f.prompts[t.reg.Service] {
		return f.unread(now, t)
	}
	return f.localBacklog(now, t) + t.reported.backlog(now)
}

// localBacklog returns the part of the backlog that this gateway caused. It is at least the
// time by which a prompt is overdue: what delays that prompt also delays those after it. A target that
// hangs looks idle and would attract streams.
func (f *Fleet) localBacklog(now time.Time, t *targetState) time.Duration {
	if f.prompts[t.reg.Service] {
		own, _ := f.ownUnread(now, t)
		return own
	}
	remaining := max(0, t.prefillEnd.Sub(now))
	if t.hangs(now) {
		remaining = max(remaining, hungBacklog)
	}
	for _, s := range t.streams {
		if s.prefilling {
			remaining = max(remaining, now.Sub(s.started)-s.expected)
		}
	}
	return remaining
}

// totalLoad returns a target's reserved memory in tokens, its streams and its copies, summed
// over this gateway and the recent reports of others.
func (f *Fleet) totalLoad(now time.Time, t *targetState) (memory, streams, copies int) {
	f.expireReports(now)
	r := t.reported
	return t.streamMemory + t.copyMemory + r.memory, len(t.streams) + r.streams, t.copies + r.copies
}

// Reports returns the number of other gateways whose reports of loads are valid.
func (f *Fleet) Reports(now time.Time) int {
	f.expireReports(now)
	return len(f.peers)
}

// StreamsBesides returns the number of streams at the targets of a service that have another version than the given one.
func (f *Fleet) StreamsBesides(now time.Time, service, version string) int {
	total := 0
	for _, t := range f.order {
		if t.reg.Service == service && t.reg.Version != version {
			_, streams, _ := f.totalLoad(now, t)
			total += streams
		}
	}
	return total
}

// Load is the load of a target from all gateways, as far as this one knows.
type Load struct {
	// Backlog is the time that the target needs to prefill its pending prompts.
	Backlog time.Duration
	// Memory is the number of reserved tokens, Streams the number of running generations and
	// Copies the number of KV cache copies.
	Memory, Streams, Copies int
}

// Load returns the load of a target, zero if it is unknown.
func (f *Fleet) Load(now time.Time, id string) Load {
	t := f.targets[id]
	if t == nil {
		return Load{}
	}
	load := Load{Backlog: f.backlog(now, t)}
	load.Memory, load.Streams, load.Copies = f.totalLoad(now, t)
	return load
}

// ChooseEngine returns the engine for a generation. Its cost combines the expected time to
// the first event with the delay that the prompt causes to streams on the engine.
func (f *Fleet) ChooseEngine(now time.Time, q FleetQuery, size GenerationSize) (membership.Registration, bool) {
	t := f.bestNearby(now, &q, func(t *targetState) time.Duration {
		memory, streams, copies := f.totalLoad(now, t)
		uncached := q.uncached(t, size)
		cost := f.timeToFirstEvent(now, t, uncached) + time.Duration(streams)*f.joiningCost(now, t, uncached) + time.Duration(copies)*copyCost
		if t.memoryCapacity > 0 && memory+size.memory() > t.streamCapacity() || t.untried() {
			cost += lastResortCost
		}
		if rate := t.failures.get(now); rate > failureThreshold {
			cost += lastResortCost
		}
		if !f.prefers(t) {
			cost += f.nonPreferredCost(t, uncached)
		}
		return cost + t.leavingPenalty(now) + f.transferCost(t) + time.Duration(f.rng.Int64N(int64(choiceJitter)))
	})
	if t == nil {
		return membership.Registration{}, false
	}
	f.recordZone(t)
	return t.reg, true
}

// joiningCost returns what each running stream at a target costs that a prompt would join: its events are late while
// the prompt is read. Where all gateways choose among all targets, those with the fewest streams would attract the
// prompts of all of them, so that it is small there.
func (f *Fleet) joiningCost(now time.Time, t *targetState, uncached GenerationSize) time.Duration {
	if SharesAll(len(f.gateways)) {
		return t.takes(now, 0, streamCost)
	}
	reading := t.takes(now, uncached.PromptTokens, 0)
	return max(t.takes(now, 0, streamCost), time.Duration(joinedShare*float64(reading)))
}

// ChooseCopy returns the engine for the KV cache copy of a generation. q.AvoidZone is the
// zone of the engine that runs the generation; the copy is placed in another zone if possible.
// The copies of one zone's streams are spread over many engines, because all of them resume
// if the zone is lost. ChooseCopy returns false if no engine has room.
func (f *Fleet) ChooseCopy(now time.Time, q FleetQuery, size GenerationSize) (membership.Registration, bool) {
	t := f.bestNearby(now, &q, func(t *targetState) time.Duration {
		memory, streams, copies := f.totalLoad(now, t)
		cost := f.backlog(now, t)/4 + time.Duration(streams)*t.takes(now, 0, streamCost) + time.Duration(copies)*copyCost
		cost += time.Duration(t.copiesBySourceZone[q.AvoidZone])*sameZoneCopyCost + t.leavingPenalty(now)
		if t.memoryCapacity > 0 && memory+size.memory() > t.memoryCapacity {
			cost += lastResortCost
		}
		return cost + time.Duration(f.rng.Int64N(int64(choiceJitter)))
	})
	if t == nil {
		return membership.Registration{}, false
	}
	if memory, _, _ := f.totalLoad(now, t); t.memoryCapacity > 0 && memory+size.memory() > t.memoryCapacity {
		return membership.Registration{}, false
	}
	return t.reg, true
}

// Placement is the chosen target of a generation and of its KV cache copy.
type Placement struct {
	Target membership.Registration
	// FromCopy is set if the target holds the generation's copy from an earlier attempt.
	FromCopy bool
	// Copy is the id of the target that is to hold the next copy; empty for none.
	Copy string
	// Expected is the expected time to the first event; 0 for a target that holds the copy.
	Expected time.Duration
}

// continuesFrom reports whether a generation may continue from the copy that a target holds, empty for none: the target
// accepts work and is of the service of the query and not of an excluded version. The record of a run outlives the
// desired state by which it was placed. q.Version does not count: targets of the previous version serve what they hold
// while they drain. Nor does Exclude: a target that failed an earlier attempt may have got the copy since.
func (f *Fleet) continuesFrom(now time.Time, q *FleetQuery, holder string) bool {
	t := f.targets[holder]
	return t != nil && t.accepts(now) && q.allows(t)
}

// Place chooses where a generation runs: at the holder of its copy if that target accepts work for the query,
// otherwise at the best engine, or at the best of q.LastResort if there is no other. With keepCopy
// it also chooses an engine for the next copy. It returns false if there is no target.
func (f *Fleet) Place(now time.Time, q FleetQuery, holder string, size GenerationSize, keepCopy bool) (Placement, bool) {
	var chosen Placement
	if f.continuesFrom(now, &q, holder) {
		chosen.Target, chosen.FromCopy = f.Target(holder)
	}
	if !chosen.FromCopy {
		var ok bool
		chosen.Target, ok = f.ChooseEngine(now, q, size)
		if !ok && len(q.LastResort) > 0 {
			q.Exclude = slices.DeleteFunc(slices.Clone(q.Exclude), func(id string) bool { return slices.Contains(q.LastResort, id) })
			chosen.Target, ok = f.ChooseEngine(now, q, size)
		}
		if !ok {
			return Placement{}, false
		}
		t := f.targets[chosen.Target.ID]
		chosen.Expected = f.timeToFirstEvent(now, t, q.uncached(t, size))
	}
	if keepCopy {
		q.Exclude = append(slices.Clone(q.Exclude), chosen.Target.ID)
		q.AvoidZone = chosen.Target.Zone
		// A generation cannot resume under another version.
		q.Version = chosen.Target.Version
		if copyTarget, ok := f.ChooseCopy(now, q, size); ok {
			chosen.Copy = copyTarget.ID
		}
	}
	return chosen, true
}

// PlaceSuccessor chooses where a generation continues that runs on a live target: at the holder of
// its copy, or at an engine whose expected time to the first event is at most maxExpected. It
// returns false unless the target has room for the generation and is neither leaving nor failing:
// a generation that has to wait there is better off where it is.
func (f *Fleet) PlaceSuccessor(now time.Time, q FleetQuery, holder string, size GenerationSize, keepCopy bool, maxExpected time.Duration) (Placement, bool) {
	if t := f.targets[holder]; t == nil || !f.hasRoom(now, t, 0) {
		holder = ""
	}
	chosen, ok := f.Place(now, q, holder, size, keepCopy)
	if !ok || chosen.FromCopy {
		return chosen, ok
	}
	if chosen.Expected > maxExpected || !f.hasRoom(now, f.targets[chosen.Target.ID], size.memory()) {
		return Placement{}, false
	}
	return chosen, true
}

// hasRoom reports whether a target is sound and its memory holds the given number of tokens beyond
// what is reserved there.
func (f *Fleet) hasRoom(now time.Time, t *targetState, tokens int) bool {
	if !t.usable(now) || t.leavingPenalty(now) > 0 || t.failures.get(now) > failureThreshold {
		return false
	}
	memory, _, _ := f.totalLoad(now, t)
	return t.memoryCapacity == 0 || tokens == 0 && memory <= t.memoryCapacity || memory+tokens <= t.streamCapacity()
}

// CopiesFit reports whether the engines of a service that this gateway uses have memory for KV cache
// copies beside the runs that are to be expected. A copy occupies as much memory as a run until the run
// ends, and cannot be evicted.
func (f *Fleet) CopiesFit(now time.Time, service string) bool {
	reserved, capacity := 0, 0
	targets, subset := f.nearby(service)
	for t := range targets {
		if t.reg.Service != service || !t.usable(now) {
			continue
		}
		if subset == 0 {
			break
		}
		subset--
		memory, _, _ := f.totalLoad(now, t)
		reserved, capacity = reserved+memory, capacity+t.memoryCapacity
	}
	return float64(reserved) <= copyMemoryFraction*float64(capacity) || capacity == 0
}
