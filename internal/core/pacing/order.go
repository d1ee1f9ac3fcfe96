package pacing

import (
	"cmp"
	"time"

	"bramleygap/internal/core/precedence"
)

// Call is a call that waits for its turn.
type Call struct {
	// ID identifies the call at its gateway.
	ID   uint64
	Rank precedence.Rank
	// Once is set if the call may run at most once. Its client cannot repeat it as freely as a read.
	Once    bool
	Arrived time.Time
	// Objective is when the answer is due, and Deadline when the client gives up.
	Objective, Deadline time.Time
	// Again is set if a target has rejected the call without running it.
	Again bool
}

// class is what decides between two calls that can both meet their objective, or both cannot.
type class struct {
	rank precedence.Rank
	once bool
}

func (c *Call) class() class { return class{c.Rank, c.Once} }

// compare orders by rank, then calls that may run once before reads.
func (a class) compare(b class) int {
	kind := func(once bool) int {
		if once {
			return 0
		}
		return 1
	}
	return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(kind(a.once), kind(b.once)))
}

// effectiveClass is the class of a call with its effective rank, so that no rank starves another one.
func (c *Call) effectiveClass(now time.Time) class {
	return class{precedence.EffectiveRank(now, c.Rank, c.Arrived, c.Objective.Sub(c.Arrived)), c.Once}
}

// inTime reports whether a call that is sent now can meet its objective.
func (c *Call) inTime(now time.Time, latency time.Duration) bool {
	return !now.Add(latencyMargin * latency / 2).After(c.Objective)
}

// before orders waiting calls: by rank and kind, those that can meet their objective first, then by arrival.
func before(now time.Time, latency time.Duration, a, b *Call) bool {
	late := func(c *Call) int {
		if c.inTime(now, latency) {
			return 0
		}
		return 1
	}
	return cmp.Or(a.effectiveClass(now).compare(b.effectiveClass(now)), cmp.Compare(late(a), late(b)), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID)) < 0
}
