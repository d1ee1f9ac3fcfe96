package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Scenario: an engine with memory whose prompts wait to be read. Guards against prompts below the highest rank that are
// added to those of two thirds of the limit, against work of the highest rank that finds no room since no engine reads
// it in time, and against prompts that count as read while the target works on another one.
func TestUnreadPromptsLeaveNoRoom(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(1))
	q := RoomQuery{FleetQuery: fleetQuery, Gateways: 1, MaxUnread: UnreadLimit(4 * time.Second)}
	room := func(at time.Time, q RoomQuery, size GenerationSize) Room {
		_, room := f.PlaceInRoom(at, q, "", size, false)
		return room
	}
	long := GenerationSize{PromptTokens: 11_000, OutputTokens: 800}
	c.Check(room(now, q, long), qt.Equals, HasRoom, qt.Commentf("an idle engine has room for any prompt"))
	first := f.BeginStream(now, engineID(0), "", long)
	c.Check(room(now, q, typicalSize), qt.Equals, Unread)
	warm := q
	warm.WarmTarget = engineID(0)
	c.Check(room(now, warm, typicalSize), qt.Equals, HasRoom, qt.Commentf("a prompt that is cached is not read"))
	for _, highest := range []bool{false, true} {
		urgent := q
		urgent.Highest = highest
		urgent.LimitUnread(now, now, 4*time.Second, 4*time.Second, true)
		c.Check(room(now, urgent, typicalSize), qt.Equals, HasRoom)
		urgent.LimitUnread(now, now, 2*time.Second, 2*time.Second, true)
		c.Check(room(now, urgent, typicalSize), qt.Equals, HasRoom, qt.Commentf("no engine meets it"))
	}
	second := f.BeginStream(now, engineID(0), "", typicalSize)
	third := f.BeginStream(now, engineID(0), "", typicalSize)
	at := now.Add(2300 * time.Millisecond)
	f.RecordFirstEvent(at, engineID(0), first)
	c.Check(room(at, q, typicalSize), qt.Equals, Unread, qt.Commentf("two prompts wait"))
	at = at.Add(940 * time.Millisecond)
	f.RecordFirstEvent(at, engineID(0), second)
	c.Check(room(at, q, typicalSize), qt.Equals, Unread, qt.Commentf("one waits"))
	c.Check(room(at.Add(200*time.Millisecond), q, typicalSize), qt.Equals, HasRoom, qt.Commentf("a part of it is read"))
	f.EndStream(at, engineID(0), "", third, typicalSize, true)
	c.Check(room(at, q, typicalSize), qt.Equals, HasRoom)
}

// Failure: a gateway ends or its reports state an impossible backlog. Guards against prompts that a gateway is still
// taken to have, and against ones that keep an engine from other work for ever.
func TestUnreadPromptsOfOtherGateways(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(1))
	q := RoomQuery{FleetQuery: fleetQuery, Gateways: 2, MaxUnread: UnreadLimit(4 * time.Second)}
	loads := []ReportedLoad{{KeyOf(engineID(0)), PeerLoad{Backlog: 2 * time.Second, Memory: 6000, Streams: 1}}}
	room := func(at time.Time) Room {
		_, room := f.PlaceInRoom(at, q, "", typicalSize, false)
		return room
	}
	f.SetPeerLoads("other", now, loads)
	c.Check(room(now), qt.Equals, Unread)
	c.Check(room(now.Add(1100*time.Millisecond)), qt.Equals, HasRoom, qt.Commentf("half of them are read"))
	f.SetPeerLoads("other", now, loads)
	f.SetPeerLoads("third", now, loads)
	c.Check(room(now.Add(1500*time.Millisecond)), qt.Equals, Unread, qt.Commentf("the engine reads one prompt at a time"))
	q.Known = func() []string { return []string{"g", "other"} }
	c.Check(room(now.Add(peerLoadMaxAge+time.Millisecond)), qt.Equals, HasRoom, qt.Commentf("a gateway alone counts its own"))
	impossible := []ReportedLoad{{KeyOf(engineID(0)), PeerLoad{Backlog: time.Hour}}, {KeyOf("x"), PeerLoad{Backlog: time.Second}}}
	c.Check(DropImpossible(impossible), qt.Equals, 1)
	f.SetPeerLoads("other", now.Add(3*time.Second), impossible)
	c.Check(room(now.Add(3*time.Second)), qt.Equals, HasRoom)
}

// Guards against engines that two gateways with the same view fill, against ones that none may, and against shares that
// do not follow what waits.
func TestPromptSharesDivideTargets(t *testing.T) {
	c := qt.New(t)
	waiting := map[string]int{"g0": 60_000, "idle": 0}
	for i := 1; i < 21; i++ {
		waiting[fmt.Sprint("g", i)] = 6000
	}
	f, owned := newFleet("g0", engines(1000)), map[string]int{}
	for _, target := range f.order {
		owners := 0
		for name := range waiting {
			if NewPromptShares(name, waiting).owns(target) {
				owners++
				owned[name]++
			}
		}
		c.Check(owners, qt.Equals, 1)
	}
	// 60,000 of 180,000 tokens.
	c.Check(owned["g0"] > 290 && owned["g0"] < 380, qt.IsTrue, qt.Commentf("%d", owned["g0"]))
	c.Check(owned["idle"], qt.Equals, 0)
	c.Check(NewPromptShares("g0", map[string]int{"g0": 5}), qt.IsNil)
}

// BenchmarkRoomForPrompts measures the choice of an engine that has room, while prompts wait at all engines.
func BenchmarkRoomForPrompts(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{21, 80}, {370, 1100}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.targets), func(b *testing.B) {
			f := newFleet("g", engines(size.targets))
			names, waiting := []string{"g"}, map[string]int{"g": 6000}
			for i := range size.gateways - 1 {
				name := fmt.Sprint("g", i)
				names = append(names, name)
				if i >= 31 {
					continue
				}
				var loads []ReportedLoad
				for k := range 32 {
					loads = append(loads, ReportedLoad{KeyOf(engineID((i*7 + k*13) % size.targets)), PeerLoad{Backlog: time.Second, Memory: 6000, Streams: 1}})
				}
				f.SetPeerLoads(name, now, loads)
				waiting[name] = 6000
			}
			f.SetGateways(names)
			for i := range size.targets {
				for range 2 {
					f.BeginStream(now, engineID(i), "", typicalSize)
				}
			}
			q := RoomQuery{FleetQuery: fleetQuery, Gateways: size.gateways, MaxUnread: 4 * time.Second, Shares: NewPromptShares("g", waiting)}
			b.ReportAllocs()
			for b.Loop() {
				f.PlaceInRoom(now, q, "", typicalSize, false)
			}
		})
	}
}

// Scenario: an urgent stream waits at a gateway where little else does, while much patient work waits elsewhere. Its
// account has a usual priority, so that it is not of the highest rank. Guards against one that waits for a target that
// its gateway owns: with scarce room, urgent streams waited for 3 s and were refused.
func TestUrgentStreamNeedsNoOwnedTarget(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(1))
	q := RoomQuery{FleetQuery: fleetQuery, Gateways: 2, Shares: NewPromptShares("g", map[string]int{"g": 6_000, "h": 6_000_000})}
	f.BeginStream(now, engineID(0), "", typicalSize)
	for _, urgent := range []bool{false, true} {
		q.LimitUnread(now, now, 4*time.Second, 4*time.Second, urgent)
		_, room := f.PlaceInRoom(now, q, "", typicalSize, false)
		c.Check(room == HasRoom, qt.Equals, urgent)
	}
}
