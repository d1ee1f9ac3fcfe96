package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// overcommit is the part of an engine's memory up to which work of the highest rank, or of its service's most
	// important routes, is placed there. Beyond the capacity, engines preempt less urgent work. Other work may use the
	// capacity.
	overcommit = 1.1
	// unlimitedRoom stands for the memory of an engine whose capacity is not known.
	unlimitedRoom = math.MaxInt32
)

// RoomQuery says which engines have room for a generation.
type RoomQuery struct {
	FleetQuery
	// Highest is set for work of the highest rank.
	Highest bool
	// Reserved is the number of tokens of room to be left for other work.
	Reserved int
	// Gateways is the number of gateways that share the targets, with those that were live lately.
	Gateways int
	// Known returns the names of all gateways that the store lists, for a gateway that has not heard from any since its
	// start. It may be nil.
	Known func() []string
	// MaxUnread is the longest time that a target may need for its unread prompts with that of the generation, 0 for no
	// limit.
	MaxUnread time.Duration
	// OwnObjective is set if MaxUnread is the time left until the generation's own objective. The limit then does not
	// apply if no target meets it, and Shares never does.
	OwnObjective bool
	// Shares divides the prompts that may wait at each target among the gateways with waiting work, nil for no division.
	Shares *PromptShares
	// unread is set if a target has memory and too many unread prompts.
	unread bool
}

// limit returns the memory that the work may fill up to.
func (q *RoomQuery) limit(t *targetState) int {
	switch {
	case t.memoryCapacity == 0:
		return unlimitedRoom
	case q.Highest || q.OwnObjective:
		return int(overcommit * float64(t.memoryCapacity))
	}
	return t.streamCapacity()
}

// Room says whether there is room for a generation.
type Room int

// Values of Room.
const (
	// NoTarget means that no target accepts the generation, with or without room.
	NoTarget Room = iota
	// Full means that targets accept it and none has room.
	Full
	// Unread means that targets have memory for it, and all of these have too many prompts to read.
	Unread
	// HasRoom means that a target has room.
	HasRoom
)

// roomSet holds the targets that have room. A nil set admits all.
type roomSet map[*targetState]struct{}

func (s roomSet) admits(t *targetState) bool {
	if s == nil {
		return true
	}
	_, ok := s[t]
	return ok
}

// PlaceInRoom is Place among the engines that have room. The holder of the generation's copy needs none.
func (f *Fleet) PlaceInRoom(now time.Time, q RoomQuery, holder string, size GenerationSize, keepCopy bool) (Placement, Room) {
	room, accepted := f.roomForPrompt(now, &q, size)
	if !accepted && len(q.LastResort) > 0 {
		q.Exclude = slices.DeleteFunc(slices.Clone(q.Exclude), func(id string) bool { return slices.Contains(q.LastResort, id) })
		room, accepted = f.roomForPrompt(now, &q, size)
	}
	q.FleetQuery.room = room
	switch chosen, ok := f.Place(now, q.FleetQuery, holder, size, keepCopy); {
	case ok:
		return chosen, HasRoom
	case q.unread:
		return Placement{}, Unread
	case accepted:
		return Placement{}, Full
	}
	return Placement{}, NoTarget
}

// room returns the engines that have room for a generation beside the reserved tokens. accepted is set if any engine
// accepts work.
func (f *Fleet) room(now time.Time, q *RoomQuery, size GenerationSize) (set roomSet, accepted bool) {
	f.expireReports(now)
	if q.Gateways > 1 && len(f.peers) == 0 {
		return f.ownRoom(now, q, size)
	}
	var free []freeMemory
	seen := 0
	targets, subset := f.nearby(q.Service)
	for t := range targets {
		if !q.admits(t, now) {
			continue
		}
		// The loads of targets further away are not known, see choice.sufficient.
		if seen++; seen > 2*subset || seen > subset && len(free) > 0 {
			break
		}
		if left, ok := f.freeFor(now, q, t, q.limit(t), size); ok {
			free = append(free, freeMemory{t, left})
		}
	}
	return q.beside(free), seen > 0
}

// LargestCapacity returns the most memory that streams may fill at a target of a service, 0 if it is not known.
func (f *Fleet) LargestCapacity(service string) int {
	largest := 0
	for _, t := range f.order {
		if t.reg.Service != service {
			continue
		}
		if t.memoryCapacity == 0 {
			return 0
		}
		largest = max(largest, t.streamCapacity())
	}
	return largest
}

// freeFor returns the memory that is free at a target up to a limit, and whether a generation has room there: memory,
// and time for its prompt. A target at which nothing is reserved has memory for any: engines accept generations beyond
// their limit, which would otherwise have a place nowhere.
func (f *Fleet) freeFor(now time.Time, q *RoomQuery, t *targetState, limit int, size GenerationSize) (left int, ok bool) {
	reserved := f.reservedMemory(t)
	if ok = reserved == 0 || limit-reserved >= size.memory(); ok && !f.readsInTime(now, q, t, size) {
		q.unread, ok = true, false
	}
	return limit - reserved, ok
}

// freeMemory is the memory that is free at an engine.
type freeMemory struct {
	target *targetState
	tokens int
}

// beside returns the engines that are left if those with the most free memory are kept for the reserved tokens. Pieces
// at all engines would be of no use to large generations.
func (q *RoomQuery) beside(free []freeMemory) roomSet {
	if q.Reserved > 0 {
		slices.SortStableFunc(free, func(a, b freeMemory) int { return cmp.Compare(b.tokens, a.tokens) })
	}
	set, kept := roomSet{}, 0
	for _, f := range free {
		if kept < q.Reserved {
			kept += f.tokens
			continue
		}
		set[f.target] = struct{}{}
	}
	return set
}

// ownRoom is room without word from other gateways: the preferred engines count as this gateway's own, and each other
// one may be filled up to an equal part of its capacity once they are full.
func (f *Fleet) ownRoom(now time.Time, q *RoomQuery, size GenerationSize) (set roomSet, accepted bool) {
	if len(f.sharers) <= 1 && q.Known != nil {
		f.sharers = q.Known()
	}
	// What urgent work may use beyond the capacity is left for the gateways of which the target is the nearest.
	ownLimit := *q
	ownLimit.Highest, ownLimit.OwnObjective = false, false
	var own, others []freeMemory
	nearest := f.nearestOwn(now, q)
	for _, t := range f.order {
		if !q.admits(t, now) {
			continue
		}
		accepted = true
		if f.prefersAmong(t) {
			if left, ok := f.freeFor(now, q, t, ownLimit.limit(t), size); ok {
				own = append(own, freeMemory{t, left})
			}
			continue
		}
		part := t.memoryCapacity / q.Gateways
		if t.memoryCapacity == 0 {
			part = unlimitedRoom
		}
		left, ok := f.freeFor(now, q, t, part, size)
		if !ok {
			continue
		}
		if t == nearest || left >= size.memory() {
			others = append(others, freeMemory{t, left})
		}
	}
	if len(own) > 0 {
		return q.beside(own), accepted
	}
	return q.beside(others), accepted
}

// reservedMemory returns the tokens reserved at a target, by this gateway and by the valid reports of others.
func (f *Fleet) reservedMemory(t *targetState) int {
	return t.streamMemory + t.copyMemory + t.reported.memory
}

// ownTargets holds by target id how many of certain gateways come before this one by rendezvous hashing.
type ownTargets struct {
	among  []string
	before map[string]int
}

// prefersAmong is Prefers among the gateways of the last report of another one: those that do not answer leave the
// list of live gateways after seconds, and may go on to fill the engines that they prefer.
func (f *Fleet) prefersAmong(t *targetState) bool {
	if len(f.sharers) <= 1 {
		return t.preferred && len(f.gateways) > 1
	}
	return f.gatewaysBefore(t) == 0
}

// gatewaysBefore returns how many gateways of the last report have a higher rendezvous hash for a target.
func (f *Fleet) gatewaysBefore(t *targetState) int {
	if f.own.before == nil || !slices.Equal(f.own.among, f.sharers) {
		f.own = ownTargets{f.sharers, map[string]int{}}
	}
	before, known := f.own.before[t.reg.ID]
	if !known {
		hash := preferenceHash(f.name, t.reg.ID)
		for _, name := range f.sharers {
			if preferenceHash(name, t.reg.ID) > hash {
				before++
			}
		}
		f.own.before[t.reg.ID] = before
	}
	return before
}

// nearestOwn returns the target at which a gateway may have one stream although its part does not hold it, if it is
// first for none of those that accept work: the one with the fewest gateways before it. Without it, such a gateway would
// place nothing. If it filled the target as its own, with 10 gateways and 14 engines one was promised three times. It
// returns nil if the gateway is first for one or knows of no other gateway.
func (f *Fleet) nearestOwn(now time.Time, q *RoomQuery) *targetState {
	if len(f.sharers) <= 1 {
		return nil
	}
	// A target that a stream excludes is still the gateway's own.
	query := q.FleetQuery
	query.Exclude = nil
	var nearest *targetState
	for _, t := range f.order {
		if !query.admits(t, now) {
			continue
		}
		before := f.gatewaysBefore(t)
		if before == 0 {
			return nil
		}
		if nearest == nil || cmp.Or(cmp.Compare(before, f.gatewaysBefore(nearest)), cmp.Compare(preferenceHash(f.name, nearest.reg.ID), preferenceHash(f.name, t.reg.ID))) < 0 {
			nearest = t
		}
	}
	return nearest
}

// ReadTime returns the time to the first event of a prompt at an engine of nominal speed that has no other work.
func ReadTime(promptTokens int) time.Duration {
	return prefillTime(promptTokens, 1) + firstEventOverhead
}
