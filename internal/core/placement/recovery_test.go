package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endCalls ends calls at a target, one after the other.
func endCalls(f *Fleet, id string, n int, latency time.Duration, failed bool) {
	for range n {
		f.BeginCall(id)
		f.EndCall(now, id, latency, failed)
	}
}

// Load pattern: two of three targets answer at once with what is no answer, and the third one, sound, had a queue
// of seconds because of that. Guards against calls that go on to the failing targets since they are faster.
func TestFastFailuresDoNotAttractCalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(3))
	endCalls(f, "e00", 30, 0, true)
	endCalls(f, "e01", 30, 0, true)
	endCalls(f, "e02", 30, 5*time.Second, false)
	reg, ok := f.ChooseCall(now, fleetQuery)
	c.Assert(ok, qt.IsTrue)
	c.Check(reg.ID, qt.Equals, "e02")
}

// Load pattern: a target was slow for a while and is sound again; its calls go elsewhere meanwhile, so that
// nothing tells. Guards against a target that is never used again at low load, and against one that is used
// while the slowness is recent.
func TestTargetIsUsedAgainAfterSlowness(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(3))
	for _, id := range []string{"e00", "e01", "e02"} {
		endCalls(f, id, 30, 30*time.Millisecond, false)
	}
	endCalls(f, "e00", 30, 200*time.Millisecond, false)
	chosen := func(after time.Duration) bool {
		for range 50 {
			if reg, _ := f.ChooseCall(now.Add(after), fleetQuery); reg.ID == "e00" {
				return true
			}
		}
		return false
	}
	c.Check(chosen(time.Second), qt.IsFalse)
	c.Check(chosen(2*latencyHalfLife), qt.IsFalse)
	c.Check(chosen(8*latencyHalfLife), qt.IsTrue)
}
