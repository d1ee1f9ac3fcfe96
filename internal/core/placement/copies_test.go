package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load pattern: a route has moved to another service, or an order has withdrawn a version, while the copy of a
// generation is at an engine that accepts work. Guards against continuing there, since the request is for another service
// or version, and against prompts that are read again because new work goes to another version.
func TestCopyOfAnotherServiceOrWithdrawnVersionIsNotUsed(t *testing.T) {
	at := now.Add(time.Minute)
	const holder = "e00"
	for _, tc := range []struct {
		name     string
		change   func(q *FleetQuery)
		fromCopy bool
	}{
		{"same service", func(*FleetQuery) {}, true},
		{"same version", func(q *FleetQuery) { q.Version = "v1" }, true},
		{"another service", func(q *FleetQuery) { q.Service = "other" }, false},
		{"new work goes to another version", func(q *FleetQuery) { q.Version = "v2" }, true},
		{"version withdrawn", func(q *FleetQuery) { q.ExcludeVersion = "v1" }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			list := engines(6)
			for i := range list {
				list[i].Service, list[i].Version = "s", "v1"
				if i >= 2 {
					list[i].Version = "v2"
				}
				if i >= 4 {
					list[i].Service = "other"
				}
			}
			f := newFleet("g", list)
			q := FleetQuery{Service: "s"}
			tc.change(&q)
			placed, ok := f.Place(at, q, holder, typicalSize, false)
			c.Assert(ok, qt.IsTrue)
			c.Check(placed.FromCopy, qt.Equals, tc.fromCopy)
			c.Check(q.allows(f.targets[placed.Target.ID]), qt.IsTrue, qt.Commentf("placed at %s", placed.Target.ID))
			inRoom, room := f.PlaceInRoom(at, RoomQuery{FleetQuery: q, Gateways: 1}, holder, typicalSize, false)
			c.Check(room, qt.Equals, HasRoom)
			c.Check(inRoom.FromCopy, qt.Equals, tc.fromCopy)
			successor, ok := f.PlaceSuccessor(at, q, holder, typicalSize, false, time.Minute)
			c.Assert(ok, qt.IsTrue)
			c.Check(successor.FromCopy, qt.Equals, tc.fromCopy)
			end, ok := f.EarliestEnd(at, q, typicalSize, holder, time.Second)
			c.Assert(ok, qt.IsTrue)
			c.Check(end.Equal(at), qt.Equals, tc.fromCopy)
		})
	}
}
