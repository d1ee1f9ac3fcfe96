package precedence_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/precedence"
)

var queueStart = time.Unix(1_800_000_000, 0)

func newQueue() *precedence.Queue { return precedence.NewQueue(rand.New(rand.NewPCG(1, 2))) }

// waitingWork returns a work that arrives at a time, with an objective of 10 s.
func waitingWork(id uint64, rank precedence.Rank, at time.Time, tokens int) precedence.Waiting {
	return precedence.Waiting{ID: id, Work: precedence.Work{
		Rank: rank, Arrived: at, Objective: 10 * time.Second, Deadline: at.Add(25 * time.Second), PromptTokens: tokens,
	}}
}

// Guards against a new stream that is never offered since more streams that cannot be placed go before it: ones that
// wait for a retry token, and ones without a class of which each one finds no room.
func TestUnplaceableWorksHoldUpNoOther(t *testing.T) {
	for _, result := range []precedence.Placing{precedence.Blocked, precedence.NoRoom} {
		c := qt.New(t)
		q, at := newQueue(), queueStart
		for id := range uint64(150) {
			w := waitingWork(id, urgentRank, at, 5000)
			w.Work.Ran = true
			q.Enqueue(at, w, 1000)
		}
		q.Enqueue(at, waitingWork(1000, urgentRank, at, 5000), 1000)
		placed, offered := false, map[uint64]bool{}
		for range 6 {
			at = at.Add(tick)
			offers := 0
			q.Dispatch(at, func(w *precedence.Waiting, _ precedence.Offer) precedence.Placing {
				offers++
				offered[w.ID] = true
				if w.ID == 1000 {
					placed = true
					return precedence.Placed
				}
				return result
			})
			c.Check(offers <= 64, qt.IsTrue)
		}
		c.Check(placed, qt.IsTrue)
		c.Check(offered, qt.HasLen, 151)
	}
}

// Guards against streams that have run and end as too late while they wait, although their clients would get some more
// events before the deadline.
func TestOnlyNewWorkIsTooLate(t *testing.T) {
	c := qt.New(t)
	for _, ran := range []bool{false, true} {
		q := newQueue()
		w := waitingWork(1, urgentRank, queueStart, 5000)
		w.Work.Ran, w.Work.Events, w.Work.Rest = ran, 10, 26*time.Second
		q.Enqueue(queueStart, w, 10)
		refusals := q.Expire(queueStart.Add(tick))
		if !ran {
			c.Assert(refusals, qt.HasLen, 1)
			c.Check(refusals[0].Reason, qt.Equals, precedence.TooLate)
			continue
		}
		c.Check(refusals, qt.HasLen, 0)
		c.Check(q.NextCheck(queueStart).After(queueStart), qt.IsTrue)
		c.Check(q.Expire(queueStart.Add(3 * time.Second))[0].Reason, qt.Equals, precedence.WaitedTooLong)
	}
}

// Scenario: streams lost their engine before their clients had an event. Guards against ones that are sent without room
// after 3 s, although their clients lose nothing until the latest start, and against ones that are kept until their
// deadline although they cannot end before it.
func TestWorkWithoutResultWaitsForRoom(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	w := waitingWork(1, urgentRank, queueStart, 5000)
	w.Work.Ran, w.Work.ToFirst, w.Work.Rest = true, time.Second, 5*time.Second
	q.Enqueue(queueStart, w, 10)
	// The latest start is 19 s after the arrival.
	c.Check(q.Expire(queueStart.Add(18*time.Second)), qt.HasLen, 0)
	due := q.NextCheck(queueStart.Add(18 * time.Second))
	c.Check(due.After(queueStart.Add(18*time.Second)) && due.Before(queueStart.Add(19*time.Second)), qt.IsTrue)
	c.Check(q.Expire(due)[0].Reason, qt.Equals, precedence.WaitedTooLong)
	q.Enqueue(queueStart, w, 10)
	c.Check(q.Expire(queueStart.Add(19*time.Second + tick))[0].Reason, qt.Equals, precedence.TooLate)
}

// Guards against new work of a rank that goes before work of that rank which has run and has no event, and against such
// work that goes before a higher rank.
func TestWorkWithoutResultKeepsItsRank(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	for id, rank := range []precedence.Rank{patientRank, patientRank, urgentRank} {
		w := waitingWork(uint64(id), rank, queueStart, 5000)
		w.Work.Ran = id == 1
		q.Enqueue(queueStart, w, 10)
	}
	var order []uint64
	q.Dispatch(queueStart.Add(tick), func(w *precedence.Waiting, _ precedence.Offer) precedence.Placing {
		order = append(order, w.ID)
		return precedence.Placed
	})
	c.Check(order, qt.DeepEquals, []uint64{2, 1, 0})
}
