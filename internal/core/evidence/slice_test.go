package evidence

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// trial is a stream of results of two versions in virtual time, 80 per second, of which the new
// version gets a share.
type trial struct {
	share    float64
	rng      *rand.Rand
	now      time.Time
	counters *Counters
	*Evaluator
}

func newTrial(seed uint64, share float64) *trial {
	return &trial{
		share: share, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		counters: NewCounters("e", 1), Evaluator: NewEvaluator("s", "v2", "v1"),
	}
}

// serve records results for a time with the given rates of slow requests, and reports whether the
// new version is withdrawn.
func (t *trial) serve(d time.Duration, oldRate, newRate float64) bool {
	const step = 100 * time.Millisecond
	for end := t.now.Add(d); t.now.Before(end); {
		t.now = t.now.Add(step)
		for range 8 {
			version, rate := "v1", oldRate
			if t.rng.Float64() < t.share {
				version, rate = "v2", newRate
			}
			key := Key{Service: "s", Version: version, Route: []string{"a", "b"}[t.rng.IntN(2)], Zone: "a", Level: t.rng.IntN(2)}
			t.counters.Add(key, false, t.rng.Float64() < rate, false)
		}
		if t.Evaluate(t.now, t.counters).Withdraw {
			return true
		}
	}
	return false
}

const usualSlow = 0.03

const runs = 6

// withdrawnOf returns in how many of the runs the new version is withdrawn.
func withdrawnOf(share float64, run func(*trial) bool) (n int) {
	for seed := range uint64(runs) {
		if run(newTrial(seed, share)) {
			n++
		}
	}
	return n
}

// Scenario: a busy machine stalls several times, so that nearly all requests of both versions that
// are running are slow. Guards against withdrawing a good version because the old version's rate
// over 10 s is far below its rate during the stall.
func TestStallOfBothVersionsIsNotEvidence(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		stall time.Duration
		share float64
	}{{200 * time.Millisecond, 0.5}, {500 * time.Millisecond, 0.2}, {3 * time.Second, 0.05}, {3 * time.Second, 0.5}} {
		n := withdrawnOf(test.share, func(t *trial) bool {
			withdrawn := t.serve(10*time.Second, usualSlow, usualSlow)
			for range 3 {
				withdrawn = withdrawn || t.serve(test.stall, 0.9, 0.9) || t.serve(10*time.Second, usualSlow, usualSlow)
			}
			return withdrawn
		})
		c.Check(n, qt.Equals, 0, qt.Commentf("stall of %v at a share of %g", test.stall, test.share))
	}
}

// Scenario: the machine gets busy after a calm start and stays so, and all requests of both versions
// are slow. Guards against a bad hypothesis that such results fit better than the good one.
func TestLastingSlowdownOfBothVersionsIsNotEvidence(t *testing.T) {
	c := qt.New(t)
	for _, share := range []float64{0.05, 0.2, 0.5} {
		n := withdrawnOf(share, func(t *trial) bool {
			return t.serve(30*time.Second, usualSlow, usualSlow) || t.serve(30*time.Second, 0.98, 0.98)
		})
		c.Check(n, qt.Equals, 0, qt.Commentf("share %g", share))
	}
}

// Scenario: for less than a second one of the two targets with the new version stalls. Guards against
// a withdrawal because of it.
func TestStallOfNewVersionsTargetIsNotEvidence(t *testing.T) {
	c := qt.New(t)
	n := withdrawnOf(0.05, func(t *trial) bool {
		return t.serve(30*time.Second, usualSlow, usualSlow) || t.serve(700*time.Millisecond, usualSlow, 0.5) ||
			t.serve(30*time.Second, usualSlow, usualSlow)
	})
	c.Check(n, qt.Equals, 0)
}

// Guards against taking lasting slowness of the new version alone for disturbances, also between
// stalls of both versions, and against a withdrawal that does not name the results that decided.
func TestSlowVersionBetweenStallsIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	for _, share := range []float64{0.05, 0.2, 0.5} {
		n := withdrawnOf(share, func(t *trial) bool {
			withdrawn := t.serve(30*time.Second, usualSlow, usualSlow)
			for range 6 {
				withdrawn = withdrawn || t.serve(500*time.Millisecond, 0.9, 0.9) || t.serve(5*time.Second, usualSlow, 0.5)
			}
			if withdrawn {
				c.Check(len(t.Decisive()) > 0, qt.IsTrue)
			}
			return withdrawn
		})
		c.Check(n, qt.Equals, runs, qt.Commentf("share %g", share))
	}
}
