package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/membership"
)

// longPrompt is the usual size of the users' generations.
var longPrompt = GenerationSize{PromptTokens: 5200, OutputTokens: 800}

// engines returns n engines in three zones.
func engines(n int) []membership.Registration {
	var list []membership.Registration
	for i := range n {
		list = append(list, membership.Registration{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: string(rune('a' + i%3)), Service: "s", Slots: 64, Model: true,
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

// Pattern: burst of new streams. Guards against a herd on the engine that looked idle: no
// engine gets a second prompt while another has none.
func TestBurstSpreads(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(18))
	count := map[string]int{}
	for range 36 {
		reg, ok := f.ChooseEngine(now, fleetQuery, longPrompt)
		c.Assert(ok, qt.IsTrue)
		count[reg.ID]++
		f.BeginStream(now, reg.ID, "", longPrompt)
	}
	for id, n := range count {
		c.Check(n, qt.Equals, 2, qt.Commentf(id))
	}
}

// Pattern: several gateways choose before they hear of each other. Guards against two
// prompts on one engine while others are idle; the plain choice by load alone collides.
func TestGatewaysPreferOwnTargets(t *testing.T) {
	c := qt.New(t)
	names := []string{"g1", "g2", "g3", "g4"}
	count := map[string]int{}
	for i, name := range names {
		f := newFleet(name, engines(20))
		f.SetGateways(names)
		f.rng = rand.New(rand.NewPCG(uint64(i), 3))
		for range 2 {
			reg, _ := f.ChooseEngine(now, fleetQuery, longPrompt)
			f.BeginStream(now, reg.ID, "", longPrompt)
			count[reg.ID]++
		}
	}
	c.Check(count, qt.HasLen, 8)
}

// Pattern: zone of engines lost at once. Guards against copies of one zone's streams that
// lie on few engines, which then carry the whole zone.
func TestCopiesOfAZoneSpread(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(18))
	keepers := map[string]int{}
	for i := range 24 {
		source := fmt.Sprintf("e%02d", 3*(i%6))
		q := FleetQuery{Service: "s", Exclude: []string{source}, AvoidZone: "a"}
		keeper, ok := f.ChooseCopy(now, q, longPrompt)
		c.Assert(ok, qt.IsTrue)
		c.Assert(keeper.Zone, qt.Not(qt.Equals), "a")
		f.BeginStream(now, source, keeper.ID, longPrompt)
		keepers[keeper.ID]++
	}
	for id, n := range keepers {
		c.Check(n <= 3, qt.IsTrue, qt.Commentf("%s keeps %d of 24", id, n))
	}
	c.Check(keepers, qt.HasLen, 12)
}

// Pattern: engines full of long prompts. Guards against preemption by a prompt or a copy
// that does not fit while another engine has room.
func TestMemoryBounds(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	for range 9 {
		f.BeginStream(now.Add(-time.Minute), "e00", "", longPrompt)
	}
	for id := range f.members["e00"].streams {
		f.RecordFirstEvent(now, "e00", id)
	}
	reg, _ := f.ChooseEngine(now, fleetQuery, longPrompt)
	c.Check(reg.ID, qt.Equals, "e01")
	_, ok := f.ChooseCopy(now, FleetQuery{Service: "s", Exclude: []string{"e01"}}, longPrompt)
	c.Check(ok, qt.IsFalse)
}

// Pattern: engines turn slow. Guards against an engine that keeps getting prompts though
// those it has are overdue.
func TestOverduePromptsRepel(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	f.SetGateways([]string{"g"})
	f.BeginStream(now, "e00", "", longPrompt)
	later := now.Add(4 * time.Second)
	for range 5 {
		reg, _ := f.ChooseEngine(later, fleetQuery, longPrompt)
		c.Check(reg.ID, qt.Equals, "e01")
	}
}

// Pattern: engines fail part of their requests while their health is good. Guards against
// a counter call at a failing engine, and against one failure that shuts a target out.
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
	c.Check(ok, qt.IsTrue, qt.Commentf("it is the only one left"))
	reg, _ := f.ChooseCall(now.Add(10*failureDecay), fleetQuery)
	c.Check(reg.ID, qt.Equals, "e00", qt.Commentf("forgotten; its zone is the own one"))
}

// Pattern: engines emptied and taken away while the store is down. Guards against prompts
// on an engine that said it is leaving, and against trusting that word for ever.
func TestWordOfLeavingCountsForAWhile(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	f.MarkLeaving(now, "e00")
	reg, _ := f.ChooseEngine(now, fleetQuery, longPrompt)
	c.Check(reg.ID, qt.Equals, "e01")
	_, ok := f.ChooseEngine(now, FleetQuery{Service: "s", Exclude: []string{"e01"}}, longPrompt)
	c.Check(ok, qt.IsTrue)
	c.Check(f.CanHoldCopy(now, "e00"), qt.IsFalse, qt.Commentf("a copy there is of no use"))
	c.Check(f.CanHoldCopy(now, "e01"), qt.IsTrue)
	c.Check(f.ReportedLeaving(now), qt.DeepEquals, []string{"e00"})
	c.Check(f.ReportedLeaving(now.Add(leavingFor)), qt.HasLen, 0)
}

// Pattern: zone that comes back under new ids. Guards against work for the start before
// the present one at an address.
func TestOlderStartOfAnAddressIsGone(t *testing.T) {
	c := qt.New(t)
	old, young := engines(1)[0], engines(1)[0]
	old.StartUnixMS, young.ID, young.StartUnixMS = 1, "e00b", 2
	f := newFleet("g", []membership.Registration{old, young})
	c.Check(f.Usable(now, "e00"), qt.IsFalse)
	c.Check(f.Usable(now, "e00b"), qt.IsTrue)
}

// Guards against loads of other gateways that count for ever.
func TestPeerLoads(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	f.SetGateways([]string{"g"})
	f.SetPeerLoads("other", now, map[string]PeerLoad{"e00": {Backlog: 3 * time.Second, Memory: 5000, Streams: 2}})
	reg, _ := f.ChooseEngine(now, fleetQuery, longPrompt)
	c.Check(reg.ID, qt.Equals, "e01")
	_, streams, _ := f.load(now.Add(peerLoadMaxAge+1), f.members["e00"])
	c.Check(streams, qt.Equals, 0)
}

// Guards against reservations that outlive their streams.
func TestStreamsAreReleased(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	id := f.BeginStream(now, "e00", "e01", longPrompt)
	c.Check(f.LocalLoads(now), qt.HasLen, 2)
	f.EndStream(now, "e00", "e01", id, longPrompt, false)
	f.EndStream(now, "e00", "e01", id, longPrompt, false)
	c.Check(f.LocalLoads(now), qt.HasLen, 0)
}
