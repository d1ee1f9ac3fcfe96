package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/membership"
)

// started returns registrations with a start time.
func started(n int) []membership.Registration {
	list := engines(n)
	for i := range list {
		list[i].StartUnixMS = 1000
	}
	return list
}

func instanceOf(reg membership.Registration) Instance { return Instance{reg.ID, reg.StartUnixMS} }

func noCapacity(string) int { return 0 }

// Guards against requests, resumes or copies at a target that has said that it leaves, also long
// after it said so and while its registration says that it is ready.
func TestLeavingByOwnWord(t *testing.T) {
	c := qt.New(t)
	list := started(2)
	f := newFleet("g", list)
	change := f.Observe(now, instanceOf(list[0]), Response{Leaving: true}, FromResponse)
	c.Check(change.Leaving, qt.IsTrue)
	c.Check(f.Observe(now, instanceOf(list[0]), Response{Leaving: true}, FromProbe).Leaving, qt.IsFalse)
	for _, at := range []time.Time{now, now.Add(time.Minute), now.Add(24 * time.Hour)} {
		f.Update(list, noCapacity)
		f.ExpireNotices(at)
		call, ok := f.ChooseCall(at, fleetQuery)
		c.Assert(ok, qt.IsTrue)
		c.Check(call.ID, qt.Equals, "e01")
		placed, ok := f.Place(at, fleetQuery, "e00", typicalSize, true)
		c.Assert(ok, qt.IsTrue)
		c.Check(placed.Target.ID, qt.Equals, "e01")
		c.Check(placed.Copy, qt.Equals, "")
		c.Check(f.CanHoldCopy(at, "e00"), qt.IsFalse)
		c.Check(f.TakeProbe(at, "e00"), qt.IsTrue)
	}
	c.Check(f.Notice("e00").LeavingSource, qt.Equals, FromResponse)
	c.Check(f.Notice("e00").LeavingSince, qt.Equals, now)
}

// Guards against notices that pass to another instance, and against notices that are lost although
// the instance lives: its row expires and returns, or it was found while the store was silent.
func TestNoticesBelongToOneInstance(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *Fleet, reg membership.Registration) string
		held   bool
	}{
		{"another id at the address", func(f *Fleet, reg membership.Registration) string {
			next := reg
			next.ID, next.StartUnixMS = "other", reg.StartUnixMS+1
			f.Update([]membership.Registration{reg, next}, noCapacity)
			return "other"
		}, false},
		{"another start of the id", func(f *Fleet, reg membership.Registration) string {
			reg.StartUnixMS++
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, false},
		{"registered again as ready", func(f *Fleet, reg membership.Registration) string {
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, true},
		{"row expired and returned", func(f *Fleet, reg membership.Registration) string {
			f.Update(nil, noCapacity)
			f.ExpireNotices(now.Add(time.Second))
			f.Update([]membership.Registration{reg}, noCapacity)
			f.ExpireNotices(now.Add(2 * time.Second))
			return reg.ID
		}, true},
		{"no start time and row removed", func(f *Fleet, reg membership.Registration) string {
			reg.StartUnixMS = 0
			f.Update([]membership.Registration{reg}, noCapacity)
			f.Observe(now, instanceOf(reg), Response{Leaving: true, Pause: time.Hour}, FromResponse)
			f.Update(nil, noCapacity)
			f.ExpireNotices(now.Add(time.Second))
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, false},
		{"row without a start", func(f *Fleet, reg membership.Registration) string {
			reg.StartUnixMS = 0
			f.Update([]membership.Registration{reg}, noCapacity)
			f.Observe(now, instanceOf(reg), Response{Pause: time.Second}, FromResponse)
			f.ExpireNotices(now.Add(time.Second))
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, true},
		{"row without a start, then with the same", func(f *Fleet, reg membership.Registration) string {
			without := reg
			without.StartUnixMS = 0
			f.Update([]membership.Registration{without}, noCapacity)
			f.ExpireNotices(now.Add(time.Second))
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, true},
		{"row without a start, then with another", func(f *Fleet, reg membership.Registration) string {
			without := reg
			without.StartUnixMS = 0
			f.Update([]membership.Registration{without}, noCapacity)
			reg.StartUnixMS++
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, false},
		{"row without a start at another address", func(f *Fleet, reg membership.Registration) string {
			reg.StartUnixMS, reg.Address = 0, "elsewhere"
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, false},
		{"estimated start, then registered", func(f *Fleet, reg membership.Registration) string {
			reg.ID, reg.StartEstimated = "met", true
			f.Update([]membership.Registration{reg}, noCapacity)
			f.Observe(now, instanceOf(reg), Response{Leaving: true}, FromResponse)
			reg.StartUnixMS, reg.StartEstimated = reg.StartUnixMS+77, false
			f.Update([]membership.Registration{reg}, noCapacity)
			return reg.ID
		}, true},
		{"answer of an instance that is not registered", func(f *Fleet, reg membership.Registration) string {
			reg.ID = "e99"
			f.Update([]membership.Registration{reg}, noCapacity)
			f.Observe(now, Instance{"e99", reg.StartUnixMS - 1}, Response{Leaving: true, Pause: time.Hour}, FromResponse)
			return reg.ID
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			reg := started(1)[0]
			f := newFleet("g", []membership.Registration{reg})
			f.Observe(now, instanceOf(reg), Response{Leaving: true, Pause: time.Hour}, FromResponse)
			id := tc.change(f, reg)
			c.Check(f.Accepts(now.Add(3*time.Second), id), qt.Equals, !tc.held)
			_, published := f.Notices(now.Add(3 * time.Second))[f.targets[id].instance()]
			c.Check(published, qt.Equals, tc.held)
		})
	}
}

// Guards against a pause that is ignored, shortened by a later answer, or longer than maxPause.
func TestPauseLength(t *testing.T) {
	const answerPause = 10 * time.Second
	for _, tc := range []struct {
		name   string
		pauses []time.Duration
		least  time.Duration
		most   time.Duration
	}{
		{"none", []time.Duration{0}, 0, 0},
		{"negative", []time.Duration{-time.Second}, 0, 0},
		{"fraction of a second", []time.Duration{1500 * time.Millisecond}, 1500 * time.Millisecond, 1875 * time.Millisecond},
		{"seconds", []time.Duration{answerPause}, answerPause, answerPause + maxPauseJitter},
		{"absurdly long", []time.Duration{1 << 62}, maxPause, maxPause + maxPauseJitter},
		{"a shorter one later", []time.Duration{answerPause, time.Second}, answerPause, answerPause + maxPauseJitter},
		{"a longer one later", []time.Duration{time.Second, answerPause}, answerPause, answerPause + maxPauseJitter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			list := started(1)
			f := newFleet("g", list)
			for _, pause := range tc.pauses {
				f.Observe(now, instanceOf(list[0]), Response{Pause: pause}, FromResponse)
			}
			if tc.least > 0 {
				c.Check(f.Accepts(now.Add(tc.least-time.Millisecond), "e00"), qt.IsFalse)
				c.Check(f.CanHoldCopy(now, "e00"), qt.IsTrue, qt.Commentf("a pause does not move copies"))
				_, ok := f.Place(now, fleetQuery, "e00", typicalSize, true)
				c.Check(ok, qt.IsFalse)
			}
			c.Check(f.Accepts(now.Add(tc.most), "e00"), qt.IsTrue)
		})
	}
}

// Guards against more than probesPerPause probes of a paused target, and against health checks of
// the gateway's own choice within a pause.
func TestProbesOfPausedTarget(t *testing.T) {
	c := qt.New(t)
	list := started(1)
	f := newFleet("g", list)
	f.MarkDown(now, "e00")
	c.Check(f.DownTargets(now), qt.HasLen, 1)
	f.Observe(now, instanceOf(list[0]), Response{Pause: 2 * time.Second}, FromResponse)
	c.Check(f.DownTargets(now), qt.HasLen, 0)
	c.Check(f.TakeProbe(now, "e00"), qt.IsTrue)
	c.Check(f.TakeProbe(now, "e00"), qt.IsFalse)
	f.Observe(now.Add(time.Second), instanceOf(list[0]), Response{Pause: 4 * time.Second}, FromResponse)
	c.Check(f.TakeProbe(now.Add(time.Second), "e00"), qt.IsFalse, qt.Commentf("an extended pause is one pause"))
	c.Check(f.TakeProbe(now.Add(7*time.Second), "e00"), qt.IsTrue)
}

// Guards against a request that waits although no target can return in time, and against a stated
// delay that ends before the first target returns.
func TestAllTargetsHeld(t *testing.T) {
	c := qt.New(t)
	list := started(3)
	f := newFleet("g", list)
	observe := func(i int, r Response) { f.Observe(now, instanceOf(list[i]), r, FromResponse) }
	_, all := f.AllHeld(now, fleetQuery)
	c.Check(all, qt.IsFalse)
	observe(0, Response{Leaving: true})
	observe(1, Response{Pause: 8 * time.Second})
	_, all = f.AllHeld(now, fleetQuery)
	c.Check(all, qt.IsFalse)
	f.MarkDown(now, "e02")
	_, all = f.AllHeld(now, fleetQuery)
	c.Check(all, qt.IsFalse, qt.Commentf("a target that is down may return at any time"))
	observe(2, Response{Pause: 4 * time.Second})
	held, all := f.AllHeld(now, fleetQuery)
	c.Check(all, qt.IsTrue)
	c.Check(held.Leaving, qt.Equals, 1)
	c.Check(held.Paused, qt.Equals, 2)
	c.Check(held.Earliest, qt.Equals, "e02")
	c.Check(held.Return.Before(now.Add(4*time.Second)), qt.IsFalse)
	delays := map[time.Duration]bool{}
	for range 20 {
		delay := f.RetryDelay(now, held, time.Second)
		c.Check(delay >= held.Return.Sub(now), qt.IsTrue)
		c.Check(delay <= held.Return.Sub(now)+maxPauseJitter, qt.IsTrue)
		delays[delay] = true
	}
	c.Check(len(delays) > 10, qt.IsTrue, qt.Commentf("clients would all return at once"))
	other := FleetQuery{Service: "none"}
	_, all = f.AllHeld(now, other)
	c.Check(all, qt.IsFalse)
	_, all = f.AllHeld(held.Return, fleetQuery)
	c.Check(all, qt.IsFalse)
}

// Guards against gateways that all return to a target in the same moment when its pause ends.
func TestGatewaysReturnAtDifferentTimes(t *testing.T) {
	c := qt.New(t)
	const gateways = 370
	list := started(1)
	perSlot := map[int64]int{}
	for i := range gateways {
		f := newFleet(fmt.Sprint("g", i), list)
		f.rng = rand.New(rand.NewPCG(uint64(i), 7))
		change := f.Observe(now, instanceOf(list[0]), Response{Pause: 4 * time.Second}, FromResponse)
		perSlot[change.Notice.PausedUntil.Sub(now).Milliseconds()/100]++
	}
	for slot, n := range perSlot {
		c.Check(n < gateways/4, qt.IsTrue, qt.Commentf("%d of %d gateways return in the 100 ms from %d ms on", n, gateways, slot*100))
	}
}
