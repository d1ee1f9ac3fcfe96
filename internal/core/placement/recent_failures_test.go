package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playFailingTargets sends a call at each interval, each to up to the given number of targets, to four targets in the
// gateway's zone that fail and a sound one with a latency of 25 ms in another zone. It returns which calls were served.
func playFailingTargets(t *testing.T, interval time.Duration, attempts, calls int) []bool {
	list := engines(5)
	for i := range list {
		list[i].Zone = "a"
	}
	list[4].Zone = "b"
	f := newFleet("g", list)
	at := now
	f.BeginCall(list[4].ID)
	f.EndCall(at, list[4].ID, 25*time.Millisecond, false)
	served := make([]bool, calls)
	for i := range calls {
		var tried []string
		for len(tried) < attempts && !served[i] {
			reg, ok := f.ChooseCall(at, FleetQuery{Service: "s", Exclude: tried})
			qt.Assert(t, ok, qt.IsTrue)
			tried = append(tried, reg.ID)
			f.BeginCall(reg.ID)
			served[i] = reg.ID == list[4].ID
			took := 10 * time.Millisecond
			if served[i] {
				took = 25 * time.Millisecond
			}
			at = at.Add(took)
			latency := took
			if !served[i] {
				latency = 0
			}
			f.EndCall(at, reg.ID, latency, !served[i])
		}
		at = at.Add(interval)
	}
	return served
}

// Load pattern: calls at a low rate while four of five targets fail; the sound one is in another zone. Guards against
// failures that are forgotten before the next call, so that no call is served, and against trials that take the last
// attempt of a call or most calls that may run once.
func TestCallsAtLowRateLeaveFailingTargets(t *testing.T) {
	for _, interval := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, attempts := range []int{1, 2} {
			t.Run(fmt.Sprint(interval, attempts), func(t *testing.T) {
				c := qt.New(t)
				count := 0
				// Each failing target has to fail a few times before it is known to fail.
				for _, ok := range playFailingTargets(t, interval, attempts, 72)[12:] {
					if ok {
						count++
					}
				}
				t.Logf("%d of 60 calls served", count)
				if attempts == 1 {
					c.Check(count >= 45, qt.IsTrue)
				} else {
					c.Check(count, qt.Equals, 60)
				}
			})
		}
	}
}

// Load pattern: all targets have failed for a time and one has recovered. Guards against a sound target that is not
// found because the failing ones seem faster.
func TestRecoveredTargetIsFoundAmongFailingOnes(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(5))
	f.EndCall(now, "e04", 25*time.Millisecond, false)
	for _, reg := range engines(5) {
		for range 12 {
			f.EndCall(now, reg.ID, 0, true)
		}
	}
	tried := map[string]bool{}
	for i := range 5 {
		at := now.Add(time.Duration(20+i) * 500 * time.Millisecond)
		reg, _ := f.ChooseCall(at, fleetQuery)
		f.EndCall(at, reg.ID, 0, true)
		tried[reg.ID] = true
	}
	c.Check(tried, qt.HasLen, 5)
}

// Guards against a failing target that counts as sound after a call that was refused, withheld or abandoned.
func TestCallWithoutVerdictKeepsTargetFailing(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	endCalls(f, "e00", 4, 0, true)
	at := now.Add(time.Minute)
	f.BeginCall("e00")
	f.EndCallWithoutVerdict(at, "e00")
	c.Check(f.CallTargets(at, "s"), qt.HasLen, 1)
	c.Check(f.targets["e00"].activeCalls, qt.Equals, 0)
	f.EndCall(at, "e00", time.Millisecond, false)
	c.Check(f.CallTargets(at, "s"), qt.HasLen, 2)
}

// BenchmarkCallTargets measures the list of the targets whose room is shared, with one choice among them.
func BenchmarkCallTargets(b *testing.B) {
	f := newFleet("g", engines(1100))
	limits := map[string]int{}
	for _, reg := range engines(1100) {
		limits[reg.ID] = 1
	}
	for b.Loop() {
		f.CallTargets(now, "s")
		f.ChooseCall(now, FleetQuery{Service: "s", CallLimits: limits})
	}
}
