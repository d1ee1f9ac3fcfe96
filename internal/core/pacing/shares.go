package pacing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// demandTime is the time over which a gateway's number of calls is averaged. It spans two exchanges, so that what others
// heard of it and what the gateway itself counts with are the same in most rounds.
const demandTime = 500 * time.Millisecond

// minDemand is the least average that counts. A call of 10 ms each 0.5 s has an average of 0.02.
const minDemand = 0.01

// demand is the average number of calls of a gateway.
type demand struct {
	value float64
	calls int
	at    time.Time
}

// update advances the average to now and sets the number of calls from now on.
func (d *demand) update(now time.Time, calls int) {
	if !d.at.IsZero() {
		d.value += (1 - math.Exp(-float64(max(0, now.Sub(d.at)))/float64(demandTime))) * (float64(d.calls) - d.value)
	}
	d.calls, d.at = calls, now
}

// get returns the average as it is reported: a gateway that has calls has at least one. The average decays and is
// never 0 by itself.
func (d *demand) get() int {
	if d.value < minDemand {
		return 0
	}
	return int(math.Ceil(d.value))
}

// Target is a target of a service as this gateway sees it.
type Target struct {
	ID    string
	Slots int
	// Active is the number of this gateway's calls at the target.
	Active int
	// HeldUntil is when the target accepts new calls of this gateway again, zero if it does now.
	HeldUntil time.Time
}

// capacity returns the number of calls that all gateways together may have at a target: those in its slots and a queue
// of half as many, so that slots do not run empty and a call waits there for half of its work's time on average.
func (t *Target) capacity() int { return max(1, t.Slots+t.Slots/2) }

// unit is room for one call at a target.
type unit struct {
	target   int
	position float64
}

// layout returns the room of all targets in an order that all gateways agree on: those of each target are spread
// evenly over it.
func layout(targets []Target) []unit {
	var units []unit
	for i := range targets {
		n := targets[i].capacity()
		// The units of targets of the same size would lie at the same positions.
		offset := float64(xxhash.Sum64String(targets[i].ID)) / math.MaxUint64
		for k := range n {
			units = append(units, unit{i, (float64(k) + offset) / float64(n)})
		}
	}
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.target, b.target))
	})
	return units
}

// knownCalls returns the number of calls of all gateways, and false if there are others and none was heard from. Those
// that were not heard from count with the average of those that were, since most are not in a large installation.
func knownCalls(now time.Time, names []string, self string, own int, reports *Reports, service ServiceKey) (float64, bool) {
	sum, heard, others := 0, 0, 0
	for _, name := range names {
		if name == self {
			continue
		}
		others++
		if calls, ok := reports.calls(now, name, service); ok {
			sum, heard = sum+calls, heard+1
		}
	}
	if heard == 0 {
		return float64(own), others == 0
	}
	return float64(own) + float64(sum)*float64(others)/float64(heard), true
}

// interval returns the part of the whole that a gateway may use, in the order of the names. Gateways that were not
// heard from count with the average demand of those that were; if none was, all count the same.
func interval(now time.Time, names []string, self string, own int, reports *Reports, service ServiceKey) (from, to float64) {
	sum, heard := 0, 0
	for _, name := range names {
		if calls, ok := reports.calls(now, name, service); ok && name != self {
			sum, heard = sum+calls, heard+1
		}
	}
	average := float64(own)
	if heard > 0 {
		average = float64(sum) / float64(heard)
	}
	begin, end, total := 0.0, 0.0, 0.0
	for _, name := range names {
		calls, ok := reports.calls(now, name, service)
		switch {
		case name == self:
			begin, end = total, total+float64(own)
			total = end
		case ok:
			total += float64(calls)
		default:
			total += average
		}
	}
	if total <= 0 {
		return 0, 1
	}
	return begin / total, end / total
}

// limits returns how many calls this gateway may have at each target, given its part of the units. A gateway with less
// than one unit that is not held gets the next one that is not.
func limits(now time.Time, targets []Target, units []unit, from, to float64) (map[string]int, int) {
	result, total := make(map[string]int, len(targets)), 0
	n := float64(len(units))
	add := func(u unit) {
		if t := &targets[u.target]; !now.Before(t.HeldUntil) {
			result[t.ID]++
			total++
		}
	}
	first := int(math.Ceil(from*n - 0.5))
	for i := max(0, first); i < len(units) && float64(i)+0.5 < to*n; i++ {
		add(units[i])
	}
	for i := 0; total == 0 && i < len(units); i++ {
		add(units[(max(0, first)+i)%len(units)])
	}
	return result, total
}
