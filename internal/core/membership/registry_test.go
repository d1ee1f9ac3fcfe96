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

// Guards against targets that are lost to new work because their registrations lapsed while
// the store was down, and against ones that stay though they are gone.
func TestLapsedRegistrations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRegistry()
	r.Replace(now, []Registration{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}}, false)
	r.Replace(now, []Registration{{ID: "a"}}, true)
	c.Check(ids(r), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("a leaving target is gone"))
	c.Check(r.Expire(now.Add(lapseGrace-1)), qt.IsFalse)
	r.Replace(now, []Registration{{ID: "a"}, {ID: "b"}}, true)
	c.Check(r.Expire(now.Add(lapseGrace)), qt.IsFalse, qt.Commentf("it is back"))
	r.Replace(now, []Registration{{ID: "a"}}, true)
	c.Check(r.Expire(now.Add(lapseGrace)), qt.IsTrue)
	c.Check(ids(r), qt.DeepEquals, []string{"a"})
	r.Replace(now, nil, false)
	c.Check(ids(r), qt.HasLen, 0)
}

// Guards against engines that cannot be used for a whole store outage because they started
// again before it (zone that comes back while the store is down), against leaving ones
// that come back that way, and against a met start beside what the store then says.
func TestMetTargets(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	old := Registration{ID: "a1", Address: "10.0.0.1:80", Zone: "z", Service: "s", StartUnixMS: 5}
	r := NewRegistry()
	r.Replace(now, []Registration{old, {ID: "b1", Address: "10.0.0.2:80", Leaving: true}}, false)
	c.Check(r.AddReplacement("a2", "a1"), qt.IsTrue)
	c.Check(r.AddReplacement("a2", "a1"), qt.IsFalse, qt.Commentf("known"))
	c.Check(r.AddReplacement("b2", "b1"), qt.IsFalse, qt.Commentf("it was leaving"))
	c.Check(r.AddReplacement("x2", "x1"), qt.IsFalse, qt.Commentf("nothing known at the address"))
	c.Check(ids(r), qt.DeepEquals, []string{"a1", "a2", "b1"})
	for _, reg := range r.Targets() {
		if reg.ID == "a2" {
			c.Check(reg.Service, qt.Equals, "s")
			c.Check(reg.StartUnixMS > old.StartUnixMS, qt.IsTrue, qt.Commentf("the younger start of the address goes first"))
		}
	}
	c.Check(r.AddReplacement("a3", "a1"), qt.IsTrue)
	c.Check(ids(r), qt.DeepEquals, []string{"a1", "a3", "b1"}, qt.Commentf("one start at an address"))
	r.Replace(now, []Registration{old}, true)
	c.Check(r.Replacements(), qt.HasLen, 1, qt.Commentf("the store still lists the old start"))
	r.Replace(now, []Registration{{ID: "a4", Address: old.Address, StartUnixMS: 9}}, false)
	c.Check(ids(r), qt.DeepEquals, []string{"a4"})
	r.Replace(now, []Registration{old}, false)
	r.AddReplacement("a2", "a1")
	c.Check(r.DropReplacements(), qt.IsTrue)
	c.Check(r.DropReplacements(), qt.IsFalse)
}
