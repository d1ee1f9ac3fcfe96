package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
	"bramleygap/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

func report(incarnation, stream, sequence uint64) Report {
	return Report{Stream: stream, State: &wire.AgentState{
		Target: "t", Vm: "vm", Incarnation: incarnation, Sequence: sequence, Ready: true,
		Running: uint32(sequence), // lets a test see which report was accepted last
	}}
}

func onlyTarget(c *qt.C, v *View, now time.Time) Target {
	c.Helper()
	s := v.Snapshot(now)
	c.Assert(s.Targets, qt.HasLen, 1)
	return s.Targets[0]
}

// Guards against replacing newer state by a delayed report, that is, one of an earlier process
// or connection or with a lower sequence number, in any order of arrival and after a removal.
func TestStaleReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		v := New(now)
		type position struct{ incarnation, stream, sequence uint64 }
		var newest position
		higher := func(a, b position) bool {
			if a.incarnation != b.incarnation {
				return a.incarnation > b.incarnation
			}
			if a.stream != b.stream {
				return a.stream > b.stream
			}
			return a.sequence > b.sequence
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				for range 31 {
					now = now.Add(MaxTickGap)
					v.Tick(now)
				}
				// Only the incarnation of a removed target is retained.
				newest = position{incarnation: newest.incarnation}
				continue
			}
			p := position{
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				rapid.Uint64Range(1, 3).Draw(t, "stream"),
				rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			}
			accepted := v.Heartbeat(now, report(p.incarnation, p.stream, p.sequence))
			if accepted != higher(p, newest) {
				t.Fatalf("report %v accepted=%v after %v", p, accepted, newest)
			}
			if accepted {
				newest = p
			}
			if s := v.Snapshot(now); len(s.Targets) == 1 && s.Targets[0].Incarnation != newest.incarnation {
				t.Fatalf("incarnation %d in the view, want %d", s.Targets[0].Incarnation, newest.incarnation)
			}
		}
	})
}

// Guards against using targets whose heartbeats are missing, and against removing targets
// that still send them.
func TestMissingHeartbeatsSuspectThenRemove(t *testing.T) {
	c := qt.New(t)
	v := New(start)
	v.Heartbeat(start, report(1, 1, 1))
	now := start
	for now.Before(start.Add(RemoveAfter - MaxTickGap)) {
		now = now.Add(MaxTickGap)
		removed, late := v.Tick(now)
		c.Assert(removed, qt.HasLen, 0)
		c.Assert(late, qt.IsFalse)
		c.Assert(onlyTarget(c, v, now).Suspected, qt.Equals, now.Sub(start) >= SuspectAfter)
	}
	v.Heartbeat(now, report(1, 1, 2))
	target := onlyTarget(c, v, now)
	c.Assert(target.Usable(), qt.IsTrue)
	for range int(RemoveAfter / MaxTickGap) {
		now = now.Add(MaxTickGap)
		v.Tick(now)
	}
	c.Assert(v.Snapshot(now).Targets, qt.HasLen, 0)
}

// Guards against an entry that suspects all targets after it was itself paused.
func TestPausedEntryDoesNotSuspectTargets(t *testing.T) {
	c := qt.New(t)
	v := New(start)
	v.Heartbeat(start, report(1, 1, 1))
	v.Tick(start.Add(MaxTickGap))
	resumed := start.Add(time.Minute)
	c.Assert(onlyTarget(c, v, resumed).Suspected, qt.IsFalse)
	_, late := v.Tick(resumed)
	c.Assert(late, qt.IsTrue)
	c.Assert(onlyTarget(c, v, resumed).Suspected, qt.IsFalse)
}

// Guards against work for a VM that any one source reports as leaving, against removing a
// target that still sends heartbeats because of the VM list alone, and against a drained VM
// that cannot be used again.
func TestAnySourceMarksTargetLeaving(t *testing.T) {
	c := qt.New(t)
	v := New(start)
	leaving := func() bool { target := onlyTarget(c, v, start); return target.Leaving }
	v.Heartbeat(start, report(1, 1, 1))
	v.SetVMs([]VM{{ID: "vm", Leaving: true}})
	c.Assert(leaving(), qt.IsTrue)
	v.SetVMs([]VM{{ID: "vm"}})
	c.Assert(leaving(), qt.IsFalse)
	v.SetRetired([]string{"vm"})
	c.Assert(leaving(), qt.IsTrue)
	v.SetRetired(nil)
	v.SetDrained([]string{"vm"})
	c.Assert(leaving(), qt.IsTrue)
	v.SetDrained(nil)
	own := report(1, 1, 2)
	own.State.Leaving = true
	v.Heartbeat(start, own)
	c.Assert(leaving(), qt.IsTrue)
	v.SetVMs(nil)
	now := start
	for now.Sub(start) < SuspectAfter {
		c.Assert(v.Snapshot(now).Targets, qt.HasLen, 1)
		now = now.Add(MaxTickGap / 2)
		v.Tick(now)
	}
	c.Assert(v.Snapshot(now).Targets, qt.HasLen, 0)
}
