package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/membership"
)

// Guards against a target that stays excluded because of another registration at its address, after that registration has
// gone or the target itself has answered; and against requests to one whose address another instance has taken over.
func TestDisplacedTargets(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	old := membership.Registration{ID: "old", Address: "10.0.0.1:80", Service: "s", StartUnixMS: 5}
	claim := membership.Registration{ID: "claim", Address: "10.0.0.1:80", Service: "s", StartUnixMS: 9}
	noCapacity := func(string) int { return 0 }
	f := newFleet("g", []membership.Registration{old})
	update := func(list ...membership.Registration) { f.Update(list, noCapacity) }
	update(old, claim)
	c.Check(f.Usable(now, "old"), qt.IsFalse)
	c.Check(f.DownTargets(now), qt.DeepEquals, []membership.Registration{old}, qt.Commentf("it is asked"))
	update(old)
	c.Check(f.Usable(now, "old"), qt.IsTrue, qt.Commentf("the other registration has gone"))
	update(old, claim)
	f.Confirm("old")
	c.Check(f.Usable(now, "old"), qt.IsTrue, qt.Commentf("the target itself has answered"))
	update(old, claim)
	c.Check(f.Usable(now, "old"), qt.IsTrue)
	c.Check(f.DownTargets(now), qt.HasLen, 0)
	newer := claim
	newer.ID, newer.StartUnixMS = "newer", 10
	update(old, newer)
	c.Check(f.Usable(now, "old"), qt.IsFalse, qt.Commentf("another instance registers"))
	f.MarkReplaced(now, "old")
	f.Confirm("old")
	update(old)
	c.Check(f.Usable(now, "old"), qt.IsFalse, qt.Commentf("another instance has answered"))
	c.Check(f.DownTargets(now), qt.HasLen, 0)
}
