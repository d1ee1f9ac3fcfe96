package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/membership"
)

// typicalSize is the usual size of the users' generations.
var typicalSize = GenerationSize{PromptTokens: 5200, OutputTokens: 800}

func engineID(i int) string { return fmt.Sprintf("e%02d", i) }

// engines returns n engines spread over three zones.
func engines(n int) []membership.Registration {
	var list []membership.Registration
	for i := range n {
		list = append(list, membership.Registration{
			ID: engineID(i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: string(rune('a' + i%3)), Service: "s", Slots: 64, Model: true,
		})
	}
	return list
}

func newFleet(name string, list []membership.Registration) *Fleet {
	f := NewFleet(name, "a", rand.New(rand.NewPCG(1, 2)))
	f.Update(list, func(string) int { return 55000 })
	return f
}

var fleetQuery = FleetQuery{Service: "s"}

// Load pattern: a burst of new streams. Guards against a thundering herd on the engine that
// looked idle: no engine gets a second prompt while another has none.
func TestBurstIsSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(18))
	count := map[string]int{}
	for range 36 {
		reg, ok := f.ChooseEngine(now, fleetQuery, typicalSize)
		c.Assert(ok, qt.IsTrue)
		count[reg.ID]++
		f.BeginStream(now, reg.ID, "", typicalSize)
	}
	for id, n := range count {
		c.Check(n, qt.Equals, 2, qt.Commentf(id))
	}
}

// Load pattern: 40 gateways with a few streams each; one has three on each engine that it is to fill first, while the
// others that it uses have none. Guards against prompts that join running streams, which delays each of them by
// nearly the time to read the prompt, and against short prompts that leave the preferred engines for that.
func TestPromptsAvoidRunningStreams(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("g", i))
	}
	f := newFleet(names[0], engines(90))
	f.SetGateways(names)
	busy := map[string]bool{}
	targets, _ := f.nearby(fleetQuery.Service)
	for target := range targets {
		if id := target.reg.ID; f.prefers(target) {
			busy[id] = true
			for k := range 3 {
				began := now.Add(time.Duration(k-4) * 2 * time.Second)
				stream := f.BeginStream(began, id, "", typicalSize)
				f.RecordFirstEvent(began.Add(f.timeToFirstEvent(began, target, typicalSize)/2), id, stream)
			}
		}
	}
	c.Assert(len(busy) > 0 && len(busy) < 12, qt.IsTrue, qt.Commentf("%d engines preferred", len(busy)))
	reg, ok := f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Assert(ok, qt.IsTrue)
	c.Check(busy[reg.ID], qt.IsFalse, qt.Commentf("%s has three streams", reg.ID))
	reg, ok = f.ChooseEngine(now, fleetQuery, GenerationSize{PromptTokens: 100, OutputTokens: 100})
	c.Assert(ok, qt.IsTrue)
	c.Check(busy[reg.ID], qt.IsTrue, qt.Commentf("%s is preferred by another gateway", reg.ID))
}

// Load pattern: several gateways choose before they receive each other's loads. Guards
// against two prompts on one engine while others are idle; a choice by load alone collides.
func TestGatewaysPreferOwnTargets(t *testing.T) {
	c := qt.New(t)
	names := []string{"g1", "g2", "g3", "g4"}
	count := map[string]int{}
	for i, name := range names {
		f := newFleet(name, engines(20))
		f.SetGateways(names)
		f.rng = rand.New(rand.NewPCG(uint64(i), 3))
		for range 2 {
			reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
			f.BeginStream(now, reg.ID, "", typicalSize)
			count[reg.ID]++
		}
	}
	c.Check(count, qt.HasLen, 8)
}

// Load pattern: all engines of a zone are lost at once. Guards against placing the copies of
// one zone's streams on few engines, which then have to resume all of them.
func TestCopiesOfZoneAreSpread(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(18))
	holders := map[string]int{}
	for i := range 24 {
		source := fmt.Sprintf("e%02d", 3*(i%6))
		q := FleetQuery{Service: "s", Exclude: []string{source}, AvoidZone: "a"}
		copyTarget, ok := f.ChooseCopy(now, q, typicalSize)
		c.Assert(ok, qt.IsTrue)
		c.Assert(copyTarget.Zone, qt.Not(qt.Equals), "a")
		f.BeginStream(now, source, copyTarget.ID, typicalSize)
		holders[copyTarget.ID]++
	}
	for id, n := range holders {
		c.Check(n <= 3, qt.IsTrue, qt.Commentf("%s holds %d of 24 copies", id, n))
	}
	c.Check(holders, qt.HasLen, 12)
}

// Load pattern: engines full of long prompts. Guards against placing a prompt or a copy where
// it does not fit, which preempts generations, while another engine has room.
func TestMemoryBounds(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	for range 9 {
		f.BeginStream(now.Add(-time.Minute), "e00", "", typicalSize)
	}
	for id := range f.targets["e00"].streams {
		f.RecordFirstEvent(now, "e00", id)
	}
	reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Check(reg.ID, qt.Equals, "e01")
	_, ok := f.ChooseCopy(now, FleetQuery{Service: "s", Exclude: []string{"e01"}}, typicalSize)
	c.Check(ok, qt.IsFalse)
}

// Load pattern: engines become slow. Guards against sending further prompts to an engine
// whose pending prompts are overdue.
func TestEngineWithOverduePromptsIsAvoided(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	f.SetGateways([]string{"g"})
	f.BeginStream(now, "e00", "", typicalSize)
	later := now.Add(4 * time.Second)
	for range 5 {
		reg, _ := f.ChooseEngine(later, fleetQuery, typicalSize)
		c.Check(reg.ID, qt.Equals, "e01")
	}
}

// Load pattern: engines fail some requests while their health checks pass. Guards against
// short calls to a failing target, and against excluding a target after a single failure.
func TestFailingTargetIsLastResort(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(3))
	chosen := func() map[string]bool {
		seen := map[string]bool{}
		for range 50 {
			reg, _ := f.ChooseCall(now, fleetQuery)
			seen[reg.ID] = true
		}
		return seen
	}
	f.BeginCall("e00")
	f.EndCall(now, "e00", 0, true)
	c.Check(chosen()["e00"], qt.IsTrue)
	for range 8 {
		f.BeginCall("e00")
		f.EndCall(now, "e00", 0, true)
	}
	c.Check(chosen()["e00"], qt.IsFalse)
	_, ok := f.ChooseCall(now, FleetQuery{Service: "s", Exclude: []string{"e01", "e02"}})
	c.Check(ok, qt.IsTrue, qt.Commentf("only target left"))
	reg, _ := f.ChooseCall(now.Add(10*failureHalfLife), fleetQuery)
	c.Check(reg.ID, qt.Equals, "e00", qt.Commentf("failures decayed, target is in the gateway's zone"))
}

// Load pattern: engines are drained and removed while the store is down. Guards against
// prompts on an engine that reported itself as leaving, and against a report that never
// expires.
func TestLeavingReportExpires(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	f.MarkLeaving(now, "e00")
	reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Check(reg.ID, qt.Equals, "e01")
	_, ok := f.ChooseEngine(now, FleetQuery{Service: "s", Exclude: []string{"e01"}}, typicalSize)
	c.Check(ok, qt.IsTrue)
	c.Check(f.CanHoldCopy(now, "e00"), qt.IsFalse, qt.Commentf("a leaving engine does not resume from a copy"))
	c.Check(f.CanHoldCopy(now, "e01"), qt.IsTrue)
	c.Check(f.ReportedLeaving(now), qt.DeepEquals, []string{"e00"})
	c.Check(f.ReportedLeaving(now.Add(leavingReportTTL)), qt.HasLen, 0)
}

// Load pattern: a zone comes back with new target ids. Guards against placing work on the
// earlier of two instances registered with the same address.
func TestEarlierInstanceAtSameAddressIsUnusable(t *testing.T) {
	c := qt.New(t)
	earlier, current := engines(1)[0], engines(1)[0]
	earlier.StartUnixMS, current.ID, current.StartUnixMS = 1, "e00b", 2
	f := newFleet("g", []membership.Registration{earlier, current})
	c.Check(f.Usable(now, "e00"), qt.IsFalse)
	c.Check(f.Usable(now, "e00b"), qt.IsTrue)
}

// Guards against ignoring the loads of other gateways, and against loads that never expire.
func TestPeerLoads(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	f.SetGateways([]string{"g"})
	f.SetPeerLoads("other", now, []ReportedLoad{{KeyOf("e00"), PeerLoad{Backlog: 3 * time.Second, Memory: 5000, Streams: 2}}})
	reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Check(reg.ID, qt.Equals, "e01")
	_, streams, _ := f.totalLoad(now.Add(peerLoadMaxAge+1), f.targets["e00"])
	c.Check(streams, qt.Equals, 0)
}

// Guards against reservations that outlive their streams.
func TestStreamsAreReleased(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	id := f.BeginStream(now, "e00", "e01", typicalSize)
	c.Check(f.LocalLoads(now), qt.HasLen, 2)
	f.EndStream(now, "e00", "e01", id, typicalSize, false)
	f.EndStream(now, "e00", "e01", id, typicalSize, false)
	c.Check(f.LocalLoads(now), qt.HasLen, 0)
}

// Pattern: engines crash and restart under new ids, and each gateway meets the old instances one
// after the other. Guards against sending to an instance that another gateway found gone, against
// reports that gateways prolong for each other, and against excluding a restarted engine that
// kept its id.
func TestReportedGoneInstanceIsAvoided(t *testing.T) {
	c := qt.New(t)
	list := engines(2)
	finder, other := newFleet("g1", list), newFleet("g2", list)
	finder.MarkGone(now, "e00")
	gone := finder.GoneInstances(now)
	c.Assert(gone, qt.DeepEquals, []Instance{{ID: "e00", StartUnixMS: list[0].StartUnixMS}})
	other.ReportGone(now, gone[0])
	c.Check(other.Usable(now, "e00"), qt.IsFalse)
	c.Check(other.Usable(now, "e01"), qt.IsTrue)
	c.Check(other.GoneInstances(now), qt.HasLen, 0, qt.Commentf("only the finder reports it"))
	later := now.Add(downDuration)
	other.ReportGone(later.Add(-time.Millisecond), gone[0])
	c.Check(other.Usable(later, "e00"), qt.IsTrue)
	c.Check(finder.GoneInstances(later), qt.HasLen, 0)
	restarted := engines(2)
	restarted[0].StartUnixMS++
	other.Update(restarted, func(string) int { return 0 })
	other.ReportGone(later, gone[0])
	c.Check(other.Usable(later, "e00"), qt.IsTrue)
}

// Scenario: every other engine is full, leaving or failing. Guards against a stream that moves from a
// live engine to one where it has to wait, or that refuses it.
func TestSuccessorNeedsRoom(t *testing.T) {
	const soon = 1500 * time.Millisecond
	fill := func(f *Fleet, id string, n int) {
		for range n {
			f.BeginStream(now, id, "", typicalSize)
		}
	}
	at := now.Add(20 * time.Second) // the prompts have been prefilled
	q := FleetQuery{Service: "s", Exclude: []string{"e00"}}
	for name, test := range map[string]struct {
		prepare     func(f *Fleet)
		holder      string
		maxExpected time.Duration
		ok          bool
	}{
		"room":                 {func(*Fleet) {}, "", soon, true},
		"not in time":          {func(*Fleet) {}, "", soon / 2, false},
		"full":                 {func(f *Fleet) { fill(f, "e01", 9) }, "", soon, false},
		"leaving":              {func(f *Fleet) { f.MarkLeaving(at, "e01") }, "", soon, false},
		"down":                 {func(f *Fleet) { f.MarkDown(at, "e01") }, "", soon, false},
		"failing":              {func(f *Fleet) { fill(f, "e01", 1); failStreams(f, at, "e01") }, "", soon, false},
		"copy":                 {func(*Fleet) {}, "e01", 0, true},
		"copy at full holder":  {func(f *Fleet) { fill(f, "e01", 10) }, "e01", 0, false},
		"copy at lost holder":  {func(f *Fleet) { f.MarkDown(at, "e01") }, "e01", soon, false},
		"copy at leaving hold": {func(f *Fleet) { f.MarkLeaving(at, "e01") }, "e01", soon, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet("g", engines(2))
			test.prepare(f)
			for _, target := range f.targets {
				for _, s := range target.streams {
					s.prefilling = false
				}
			}
			placed, ok := f.PlaceSuccessor(at, q, test.holder, typicalSize, false, test.maxExpected)
			c.Check(ok, qt.Equals, test.ok)
			if ok {
				c.Check(placed.Target.ID, qt.Equals, "e01")
				c.Check(placed.FromCopy, qt.Equals, test.holder != "")
			}
		})
	}
}

func failStreams(f *Fleet, at time.Time, id string) {
	for range 8 {
		f.EndStream(at, id, "", f.BeginStream(at, id, "", typicalSize), typicalSize, true)
	}
}

// Scenario: the holder of a copy is lost and another engine gets a new one. Guards against memory that
// is occupied there and not counted, so that the engine is filled beyond its memory.
func TestMovedCopyIsCounted(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(3))
	id := f.BeginStream(now, "e00", "e01", typicalSize)
	f.MoveCopy("e00", "e01", "e02", typicalSize)
	c.Check(f.Load(now, "e01"), qt.Equals, Load{})
	c.Check(f.Load(now, "e02"), qt.Equals, Load{Memory: typicalSize.memory(), Copies: 1})
	c.Check(f.LocalLoads(now), qt.Contains, ReportedLoad{KeyOf("e02"), PeerLoad{Memory: typicalSize.memory(), Copies: 1}})
	f.EndStream(now, "e00", "e02", id, typicalSize, false)
	c.Check(f.LocalLoads(now), qt.HasLen, 0)
	f.MoveCopy("e00", "", "e01", typicalSize)
	c.Check(f.Load(now, "e01").Copies, qt.Equals, 1)
}

// Load pattern: half of the engines have left under full load. Guards against copies that take the
// memory of the runs: streams waited for memory, moved and read their prompts again.
func TestNoCopiesWhileMemoryIsShort(t *testing.T) {
	c := qt.New(t)
	list := engines(4)
	f := newFleet("g", list)
	c.Check(f.CopiesFit(now, "s"), qt.IsTrue)
	for i := range 16 {
		f.BeginStream(now, list[i%4].ID, list[(i+1)%4].ID, GenerationSize{PromptTokens: 2000, OutputTokens: 500})
	}
	c.Check(f.CopiesFit(now, "s"), qt.IsTrue, qt.Commentf("80,000 of 220,000 tokens"))
	for i := range list[:2] {
		list[i].Leaving = true
	}
	f.Update(list, func(string) int { return 55000 })
	c.Check(f.CopiesFit(now, "s"), qt.IsTrue, qt.Commentf("40,000 of 110,000 tokens"))
	f.SetPeerLoads("h", now, []ReportedLoad{{KeyOf("e02"), PeerLoad{Memory: 25000}}, {KeyOf("e03"), PeerLoad{Memory: 20000}}})
	c.Check(f.CopiesFit(now, "s"), qt.IsFalse, qt.Commentf("85,000 of 110,000 tokens"))
	c.Check(f.CopiesFit(now, "other"), qt.IsTrue)
}

// Guards against gateways that renew each other's reports that a target leaves: the target would
// be avoided for as long as the gateways run.
func TestLeavingReportsAreNotRenewedByPeers(t *testing.T) {
	c := qt.New(t)
	a, b := newFleet("a", engines(3)), newFleet("b", engines(3))
	a.MarkLeaving(now, "e00")
	end := now.Add(3 * leavingReportTTL)
	for at := now.Add(150 * time.Millisecond); at.Before(end); at = at.Add(200 * time.Millisecond) {
		for _, id := range a.ReportedLeaving(at) {
			b.ReportLeaving(at, id)
		}
		later := at.Add(100 * time.Millisecond)
		for _, id := range b.ReportedLeaving(later) {
			a.ReportLeaving(later, id)
		}
	}
	c.Check(a.CanHoldCopy(end, "e00"), qt.IsTrue)
	c.Check(b.CanHoldCopy(end, "e00"), qt.IsTrue)
}

// Guards against a stream that finds no target because the only usable one failed it before, and
// against one that returns to such a target while another one is usable.
func TestExcludedTargetIsLastResort(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(3))
	q := FleetQuery{Service: "s", Exclude: []string{"e00", "e01"}, LastResort: []string{"e01"}}
	placed, ok := f.Place(now, q, "", typicalSize, true)
	c.Check(ok, qt.IsTrue)
	c.Check(placed.Target.ID, qt.Equals, "e02")
	c.Check(placed.Copy, qt.Equals, "", qt.Commentf("a copy needs an engine that did not fail the stream"))
	f.MarkDown(now, "e02")
	placed, ok = f.Place(now, q, "", typicalSize, true)
	c.Check(ok, qt.IsTrue)
	c.Check(placed.Target.ID, qt.Equals, "e01")
	f.MarkDown(now, "e01")
	_, ok = f.Place(now, q, "", typicalSize, true)
	c.Check(ok, qt.IsFalse, qt.Commentf("e00 rejected the request, the others are down"))
}
