package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against retries that multiply the load of a failing service, and against starving
// resumes by retries of new work.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget(now)
	taken := func(take func() bool) (n int) {
		for take() {
			n++
		}
		return n
	}
	c.Check(taken(b.TakeRetry), qt.Equals, int(burst))
	for range 100 {
		b.OnRequest()
	}
	c.Check(taken(b.TakeRetry) <= 10, qt.IsTrue)
	b.Refill(now.Add(2*time.Second), 0)
	c.Check(taken(b.TakeRetry), qt.Equals, 6)
	c.Check(taken(b.TakeResume), qt.Equals, int(minReserve))
	b.Refill(now.Add(2*time.Second), 300)
	c.Check(taken(b.TakeResume), qt.Equals, 300, qt.Commentf("each generation in flight once"))
}

// Guards against starting an attempt that cannot deliver a token before its deadline.
func TestCanMeetDeadline(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	c.Check(CanMeetDeadline(now, time.Time{}, time.Hour), qt.IsTrue)
	c.Check(CanMeetDeadline(now, now.Add(time.Second), time.Second), qt.IsFalse)
	c.Check(CanMeetDeadline(now, now.Add(time.Second), time.Second-1), qt.IsTrue)
}

// Guards against a backoff above its bound and against one without jitter.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	distinct := map[time.Duration]bool{}
	for range 100 {
		first, late := Backoff(1, rng), Backoff(1000, rng)
		c.Assert(first >= 0 && first <= backoffBase, qt.IsTrue)
		c.Assert(late >= 0 && late <= backoffMax, qt.IsTrue)
		distinct[first] = true
	}
	c.Check(len(distinct) > 50, qt.IsTrue)
}
