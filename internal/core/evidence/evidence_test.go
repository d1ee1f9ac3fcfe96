package evidence

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

func all(string) bool { return true }

// Guards against counts that depend on the order or the number of merges, and against an
// entry that overwrites its own counts with an old copy.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []*Counters{NewCounters("a", 1), NewCounters("b", 1), NewCounters("b", 2)}
		x, y := NewCounters("x", 1), NewCounters("y", 1)
		total := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			from := sources[rapid.IntRange(0, 2).Draw(t, "from")]
			from.Add(Key{Service: "s", Version: "v"}, rapid.Bool().Draw(t, "failed"), false, false)
			total++
			x.Merge(from.Export(all), all)
		}
		for i := range sources {
			y.Merge(x.Export(all), all)
			y.Merge(sources[len(sources)-1-i].Export(all), all)
			sources[i].Merge(y.Export(all), all)
		}
		if got, want := fmt.Sprint(y.Totals("s", "v")), fmt.Sprint(x.Totals("s", "v")); got != want {
			t.Fatalf("totals %s, want %s", got, want)
		}
		if got := x.Totals("s", "v")[Key{Service: "s", Version: "v"}].Requests; got != total {
			t.Fatalf("%d requests, want %d", got, total)
		}
	})
}

// Guards against own counts that restart from 0 after a rollout, so that other entries ignore
// them in favour of their larger copies.
func TestRetainKeepsOwnCounts(t *testing.T) {
	c := qt.New(t)
	a, b := NewCounters("a", 1), NewCounters("b", 1)
	key := Key{Service: "s", Version: "v1"}
	for range 5 {
		a.Add(key, false, false, false)
	}
	b.Merge(a.Export(all), all)
	a.Retain(func(string) bool { return false })
	a.Add(key, false, false, false)
	b.Merge(a.Export(all), all)
	c.Check(b.Totals("s", "v1")[key].Requests, qt.Equals, uint64(6))
}

// evaluate records 10 requests per second of each version for 60 s, with the given numbers of
// failures per 100 requests, and returns the last verdict.
func evaluate(oldFailures, newFailures int, suspect bool) Verdict {
	c, e := NewCounters("e", 1), NewEvaluator("s", "v2", "v1")
	now := time.Unix(1000, 0)
	var v Verdict
	for i := range 600 {
		c.Add(Key{Service: "s", Version: "v1", Zone: "a"}, i%100 < oldFailures, false, false)
		c.Add(Key{Service: "s", Version: "v2", Zone: "a"}, (i*37)%100 < newFailures, false, suspect)
		v = e.Evaluate(now.Add(time.Duration(i)*100*time.Millisecond), c)
	}
	return v
}

// Guards against withdrawing a version because of failures that the old one has as well or
// that occurred while a suspect request was on the target, and against passing a version
// that fails more.
func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	c.Check(evaluate(0, 0, false).Passed, qt.IsTrue)
	c.Check(evaluate(0, 20, false).Withdraw, qt.IsTrue)
	c.Check(evaluate(0, 20, false).Reason, qt.Equals, "failures of all requests")
	c.Check(evaluate(0, 20, true).Withdraw, qt.IsFalse)
	c.Check(evaluate(20, 20, false).Withdraw, qt.IsFalse)
	c.Check(evaluate(5, 60, false).Passed, qt.IsFalse)
}

// Scenario: failures rise when the old version has just lost its traffic. Guards against counting
// them against the new version as if the old one had failed less at the same time, and against
// keeping a version that fails far more.
func TestCompletedVersionNeedsLargeDegradation(t *testing.T) {
	c := qt.New(t)
	withdrawn := func(failures int) bool {
		counters, e := NewCounters("e", 1), NewEvaluator("s", "v2", "v1")
		now := time.Unix(1000, 0)
		serve := func(version string, failed bool) Verdict {
			now = now.Add(50 * time.Millisecond)
			counters.Add(Key{Service: "s", Version: version, Zone: "a"}, failed, false, false)
			return e.Evaluate(now, counters)
		}
		for range 600 {
			serve("v1", false)
			serve("v2", false)
		}
		e.Complete()
		for i := range 600 {
			if serve("v2", (i*37)%100 < failures).Withdraw {
				return true
			}
		}
		return false
	}
	c.Check(withdrawn(7), qt.IsFalse)
	c.Check(withdrawn(40), qt.IsTrue)
}

// Guards against completing a version that got no requests on a route that carries much of
// the traffic.
func TestUncoveredRouteIsNotPassed(t *testing.T) {
	c := qt.New(t)
	counters, e := NewCounters("e", 1), NewEvaluator("s", "v2", "v1")
	var v Verdict
	for i := range 400 {
		counters.Add(Key{Service: "s", Version: "v1", Route: fmt.Sprint(i % 2)}, false, false, false)
		counters.Add(Key{Service: "s", Version: "v2", Route: "0"}, false, false, false)
		v = e.Evaluate(time.Unix(int64(i), 0), counters)
	}
	c.Check(v.StepPassed, qt.IsTrue)
	c.Check(v.Passed, qt.IsFalse)
}

// Guards against counting requests as slow without a reference, and against losing the
// reference while the old version has no traffic.
func TestBaseline(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewBaseline(now)
	c.Check(b.Slow(now, time.Hour, time.Hour), qt.IsFalse)
	for range minBaselineSamples {
		b.Observe(now, 100*time.Millisecond, 10*time.Millisecond)
	}
	for _, at := range []time.Time{now, now.Add(baselineWindow), now.Add(5 * baselineWindow)} {
		c.Check(b.Slow(at, 140*time.Millisecond, 14*time.Millisecond), qt.IsFalse)
		c.Check(b.Slow(at, 160*time.Millisecond, 0), qt.IsTrue)
		c.Check(b.Slow(at, 0, 16*time.Millisecond), qt.IsTrue)
		c.Check(b.MuchSlower(at, 390*time.Millisecond, 39*time.Millisecond), qt.IsFalse)
		c.Check(b.MuchSlower(at, 0, 41*time.Millisecond), qt.IsTrue)
	}
}
