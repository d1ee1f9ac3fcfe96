package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against streams that are held although an engine has room, or placed where none is: beyond the limit of their
// rank, or in the room that higher ranks wait for.
func TestRoomOfRanks(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(2))
	place := func(highest bool, reserved int) Room {
		q := RoomQuery{FleetQuery: fleetQuery, Highest: highest, Reserved: reserved, Gateways: 1}
		placed, room := f.PlaceInRoom(now, q, "", typicalSize, false)
		if room == HasRoom {
			f.BeginStream(now, placed.Target.ID, "", typicalSize)
		}
		return room
	}
	// 9 streams of 6,000 tokens fit into each memory of 55,000.
	for range 17 {
		c.Check(place(false, 0), qt.Equals, HasRoom)
	}
	c.Check(place(false, 6000), qt.Equals, Full, qt.Commentf("the last place is kept for a higher rank"))
	c.Check(place(false, 0), qt.Equals, HasRoom)
	c.Check(place(false, 0), qt.Equals, Full)
	c.Check(place(true, 0), qt.Equals, HasRoom)
	c.Check(place(true, 0), qt.Equals, HasRoom)
	c.Check(place(true, 0), qt.Equals, Full)
	q := RoomQuery{FleetQuery: fleetQuery, Gateways: 1}
	placed, room := f.PlaceInRoom(now, q, engineID(1), typicalSize, true)
	c.Check(room, qt.Equals, HasRoom, qt.Commentf("the holder of the copy needs no room"))
	c.Check(placed.FromCopy, qt.IsTrue)
	q.Exclude = []string{engineID(0), engineID(1)}
	_, room = f.PlaceInRoom(now, q, "", typicalSize, true)
	c.Check(room, qt.Equals, NoTarget)
}

// Scenario: a gateway starts while it reaches no other one. Guards against a gateway that fills engines as if they were
// its own, and against one that places nothing since no part of an engine holds a stream.
func TestGatewayStartsAlone(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g0", engines(40))
	names := []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8", "g9"}
	q := RoomQuery{FleetQuery: fleetQuery, Gateways: len(names), Known: func() []string { return names }}
	places := 0
	for placed, room := f.PlaceInRoom(now, q, "", typicalSize, false); room == HasRoom; placed, room = f.PlaceInRoom(now, q, "", typicalSize, false) {
		f.BeginStream(now, placed.Target.ID, "", typicalSize)
		places++
	}
	// All engines together hold 360.
	c.Check(places > 0 && places < 100 && places%9 == 0, qt.IsTrue, qt.Commentf("%d places", places))
}

// Guards against streams larger than the limit of any engine that wait until they are refused although an engine is
// idle.
func TestIdleEngineHasRoomForLargeStreams(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(1))
	q, large := RoomQuery{FleetQuery: fleetQuery, Gateways: 1}, GenerationSize{PromptTokens: 70_000, OutputTokens: 600}
	placed, room := f.PlaceInRoom(now, q, "", large, false)
	c.Assert(room, qt.Equals, HasRoom)
	f.BeginStream(now, placed.Target.ID, "", large)
	_, room = f.PlaceInRoom(now, q, "", large, false)
	c.Check(room, qt.Equals, Full)
}

// Scenario: 21 gateways with 28 idle engines reach no other one. Guards against gateways that place nothing since they
// are first for no engine, and against engines that many of these take as their own.
func TestEveryGatewayPlacesDuringCut(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range 21 {
		names = append(names, fmt.Sprint("g", i))
	}
	promised, most := map[string]int{}, 0
	for _, name := range names {
		f := newFleet(name, engines(28))
		q := RoomQuery{FleetQuery: fleetQuery, Gateways: len(names), Known: func() []string { return names }}
		places := 0
		for placed, room := f.PlaceInRoom(now, q, "", typicalSize, false); room == HasRoom; placed, room = f.PlaceInRoom(now, q, "", typicalSize, false) {
			f.BeginStream(now, placed.Target.ID, "", typicalSize)
			promised[placed.Target.ID] += typicalSize.memory()
			most = max(most, promised[placed.Target.ID])
			places++
		}
		c.Check(places > 0, qt.IsTrue, qt.Commentf("%s", name))
	}
	t.Logf("at most %d tokens promised", most)
	c.Check(most <= 55_000+2*typicalSize.memory(), qt.IsTrue)
}
