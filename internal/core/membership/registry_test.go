package membership

import (
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func ids(r *Registry) []string {
	var list []string
	for _, reg := range r.Targets() {
		list = append(list, reg.ID)
	}
	sort.Strings(list)
	return list
}

// Guards against dropping live targets whose registrations expired during a store outage,
// and against keeping targets that have stopped.
func TestRegistrationsExpiredInOutage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRegistry()
	r.Replace(now, []Registration{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}}, false)
	r.Replace(now, []Registration{{ID: "a"}}, true)
	c.Check(ids(r), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("a leaving target is dropped"))
	c.Check(r.Expire(now.Add(missingGrace-1)), qt.IsFalse)
	r.Replace(now, []Registration{{ID: "a"}, {ID: "b"}}, true)
	c.Check(r.Expire(now.Add(missingGrace)), qt.IsFalse, qt.Commentf("b is registered again"))
	r.Replace(now, []Registration{{ID: "a"}}, true)
	c.Check(r.Expire(now.Add(missingGrace)), qt.IsTrue)
	c.Check(ids(r), qt.DeepEquals, []string{"a"})
	r.Replace(now, nil, false)
	c.Check(ids(r), qt.HasLen, 0)
}

// Guards against engines that stay unusable for a whole store outage because they restarted
// before it (as in a zone that recovers while the store is down), against replacing a
// leaving engine, and against keeping a replacement that contradicts the store.
func TestReplacements(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	old := Registration{ID: "a1", Address: "10.0.0.1:80", Zone: "z", Service: "s", StartUnixMS: 5}
	r := NewRegistry()
	r.Replace(now, []Registration{old, {ID: "b1", Address: "10.0.0.2:80", Leaving: true}}, false)
	c.Check(r.AddReplacement("a2", "a1"), qt.IsTrue)
	c.Check(r.AddReplacement("a2", "a1"), qt.IsFalse, qt.Commentf("already added"))
	c.Check(r.AddReplacement("b2", "b1"), qt.IsFalse, qt.Commentf("the old instance is leaving"))
	c.Check(r.AddReplacement("x2", "x1"), qt.IsFalse, qt.Commentf("the old instance is not registered"))
	c.Check(ids(r), qt.DeepEquals, []string{"a1", "a2", "b1"})
	for _, reg := range r.Targets() {
		if reg.ID == "a2" {
			c.Check(reg.Service, qt.Equals, "s")
			c.Check(reg.StartUnixMS > old.StartUnixMS, qt.IsTrue, qt.Commentf("the newer instance at the address takes precedence"))
		}
	}
	c.Check(r.AddReplacement("a3", "a1"), qt.IsTrue)
	c.Check(ids(r), qt.DeepEquals, []string{"a1", "a3", "b1"}, qt.Commentf("one replacement per instance"))
	r.Replace(now, []Registration{old}, true)
	c.Check(r.Replacements(), qt.HasLen, 1, qt.Commentf("the store still lists the old instance"))
	r.Replace(now, []Registration{{ID: "a4", Address: old.Address, StartUnixMS: 9}}, false)
	c.Check(ids(r), qt.DeepEquals, []string{"a4"})
	r.Replace(now, []Registration{old}, false)
	r.AddReplacement("a2", "a1")
	c.Check(r.DropReplacements(), qt.IsTrue)
	c.Check(r.DropReplacements(), qt.IsFalse)
}

// Guards against an older copy of the store that brings back targets which were leaving or have left, and against
// excluding those that write their registrations again, or that start again under their IDs.
func TestRestoredRegistrations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	reg := func(id string, heartbeat uint64, leaving bool) Registration {
		return Registration{ID: id, StartUnixMS: 5, Heartbeat: heartbeat, Leaving: leaving}
	}
	usable := func(r *Registry) (list []string) {
		for _, reg := range r.Targets() {
			if !reg.Leaving {
				list = append(list, reg.ID)
			}
		}
		sort.Strings(list)
		return list
	}
	restored := func() *Registry {
		r := NewRegistry()
		r.Replace(now, []Registration{reg("a", 3, false), reg("gone", 3, false), reg("leaving", 3, false)}, false)
		r.Replace(now, []Registration{reg("a", 3, false), reg("leaving", 4, true)}, false)
		r.StoreRestored(now)
		r.Replace(now, []Registration{reg("a", 3, false), reg("gone", 2, false), reg("leaving", 3, false)}, true)
		return r
	}
	r := restored()
	c.Check(usable(r), qt.DeepEquals, []string{"a"})
	r.Replace(now, []Registration{reg("a", 3, false), reg("gone", 5, false), reg("leaving", 6, false)}, true)
	c.Check(usable(r), qt.DeepEquals, []string{"a", "gone", "leaving"}, qt.Commentf("written after the copy"))
	r = restored()
	again := reg("gone", 1, false)
	again.StartUnixMS = 9
	r.Replace(now, []Registration{reg("a", 3, false), again}, true)
	c.Check(usable(r), qt.DeepEquals, []string{"a", "gone"}, qt.Commentf("started again under its ID"))
	r = restored()
	c.Check(r.Expire(now.Add(restoredGrace-1)), qt.IsFalse)
	c.Check(r.Expire(now.Add(restoredGrace)), qt.IsTrue)
	c.Check(usable(r), qt.DeepEquals, []string{"a", "gone", "leaving"}, qt.Commentf("the store's list is current again"))
}
