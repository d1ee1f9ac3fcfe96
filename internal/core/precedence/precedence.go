// Package precedence orders work that competes for the same resources: which work goes first, and
// which has to yield. It is used wherever some work has to wait for other work.
package precedence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// agingFraction is the fraction of its objective after which waiting work counts as of the highest
	// rank. The other half is left for finding a place and reading the prompt.
	agingFraction = 0.5
	// latestStartMargin is how long before its latest start work that has run is sent without room. It covers two passes
	// over the queue, 100 ms apart, and what the choice of an engine adds for a target that another gateway prefers, 250 ms.
	latestStartMargin = 500 * time.Millisecond
	// highestEnginePriority and lowestEnginePriority bound the priorities that engines are told, and
	// assumedEnginePriority is what an engine assumes for a request without one.
	highestEnginePriority, lowestEnginePriority = 1, 9
	assumedEnginePriority                       = 5
)

// Rank is the importance of work: first that of the client account, then that of the route. 0 is the highest.
type Rank struct{ Account, Route int }

// Compare returns a negative number if r is higher than other, and 0 if both are equal.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Account, other.Account), cmp.Compare(r.Route, other.Route))
}

// Work is a piece of work that waits.
type Work struct {
	Rank    Rank
	Arrived time.Time
	// Objective is the longest acceptable time from the arrival to the first event, 0 for none.
	Objective time.Duration
	Deadline  time.Time
	// PromptTokens are still to be read, and OutputTokens still to be produced.
	PromptTokens, OutputTokens int
	// ToFirst is the time from the start to the next event, and Rest that from there to the last event.
	ToFirst, Rest time.Duration
	// Ran is set if a target has run the work before, and Events is the number of events that the caller has.
	Ran    bool
	Events uint64
}

// Tokens returns the size of the work.
func (w *Work) Tokens() int { return w.PromptTokens + w.OutputTokens }

// EffectiveRank returns the rank that work of a rank has at a time: the highest if it has waited for agingFraction of
// its objective, so that higher ranks cannot keep it waiting for good.
func EffectiveRank(now time.Time, rank Rank, arrived time.Time, objective time.Duration) Rank {
	if objective > 0 && now.Sub(arrived) >= time.Duration(agingFraction*float64(objective)) {
		return Rank{}
	}
	return rank
}

// EffectiveRank returns the effective rank of the work.
func (w *Work) EffectiveRank(now time.Time) Rank {
	return EffectiveRank(now, w.Rank, w.Arrived, w.Objective)
}

// latestStart returns the latest start at which the work meets its objective, or else its deadline, and whether it
// is the objective. Work whose caller has events has its first event behind it.
func (w *Work) latestStart(now time.Time) (time.Time, bool) {
	if start := w.Arrived.Add(w.Objective - w.ToFirst); w.Objective > 0 && w.Events == 0 && !now.After(start) {
		return start, true
	}
	start := w.Deadline.Add(-w.ToFirst - w.Rest)
	return start, (w.Objective <= 0 || w.Events > 0) && !now.After(start)
}

// EarliestEnd returns when the work ends if it starts now.
func (w *Work) EarliestEnd(now time.Time) time.Time { return now.Add(w.ToFirst + w.Rest) }

// Continues reports whether the caller has a part of the result.
func (w *Work) Continues() bool { return w.Ran && w.Events > 0 }

// RanUntil returns until when work that has run waits for room, given when it began to wait. Without an event its caller
// loses nothing until its latest start.
func (w *Work) RanUntil(since time.Time) time.Time {
	if w.Continues() {
		return since.Add(ranWait)
	}
	return w.Deadline.Add(-w.ToFirst - w.Rest - latestStartMargin)
}

// AtLatestStart reports whether work has to start now if it would end at a given time.
func (w *Work) AtLatestStart(end time.Time) bool { return end.Add(latestStartMargin).After(w.Deadline) }

// Before reports whether a goes before b. It is a strict weak ordering for any fixed time.
func Before(now time.Time, a, b *Work) bool { return compare(now, a, b, 0) < 0 }

// compare returns a negative number if a goes before b. turn decides between works of the same urgency, 0 for
// no preference.
func compare(now time.Time, a, b *Work, turn int) int {
	startA, inTimeA := a.latestStart(now)
	startB, inTimeB := b.latestStart(now)
	return cmp.Or(
		// The rank is what the operators ask for.
		a.EffectiveRank(now).Compare(b.EffectiveRank(now)),
		// What has run has cost an engine its prompt, and its caller notices the pause.
		compareBool(a.Ran, b.Ran),
		// Work that is late already loses less by another wait than work that is not.
		compareBool(inTimeA, inTimeB),
		// Accounts of one rank take turns.
		turn,
		// Earliest deadline first serves most works in time if all can be served.
		startA.Compare(startB),
		// If they are equally urgent, a smaller work leaves more room and time for others.
		cmp.Compare(a.Tokens(), b.Tokens()),
		a.Arrived.Compare(b.Arrived),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// EnginePriority returns the priority that an engine is told for work of a rank, from 0 (first) to 9. ranks holds
// the ranks that occur in the service, the highest first. They are spread over 1 to 9; with more than nine,
// neighboring ranks share a priority. Work that has run gets no better one: engines let urgent work preempt running
// work, so that a stream that resumes without a copy would preempt another one of its own rank, and both prompts would
// be read again.
func EnginePriority(rank Rank, ranks []Rank) int {
	const span = lowestEnginePriority - highestEnginePriority
	place, _ := slices.BinarySearchFunc(ranks, rank, Rank.Compare)
	place = min(place, len(ranks)-1)
	switch n := len(ranks); {
	case n > span+1:
		return highestEnginePriority + place*(span+1)/n
	case n > 1:
		return highestEnginePriority + (place*span+(n-1)/2)/(n-1)
	}
	return assumedEnginePriority
}
