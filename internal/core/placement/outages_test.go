package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/membership"
)

// Load pattern: the engines of a zone become unreachable together. The first loss must lead
// to probes of the engines with work, the second to probes of all, and a loss in another zone
// to no probes in this one.
func TestSecondLossInZoneProbesWholeZone(t *testing.T) {
	c := qt.New(t)
	var targets []membership.Registration
	for _, id := range []string{"a1", "a2", "a3", "a4", "b1", "b2"} {
		targets = append(targets, membership.Registration{ID: id, Zone: id[:1]})
	}
	busy := func(id string) bool { return id == "a3" }
	usable := func(id string) bool { return id != "a4" }
	now := time.Unix(1000, 0)
	o := NewOutages()
	probed := func(i int) []string {
		var ids []string
		for _, reg := range o.TargetsToProbe(targets[i], targets, usable, busy) {
			ids = append(ids, reg.ID)
		}
		return ids
	}
	c.Check(o.Record(now, targets[0]), qt.IsTrue)
	c.Check(probed(0), qt.DeepEquals, []string{"a3"})
	c.Check(o.Record(now, targets[0]), qt.IsFalse)
	c.Check(o.Record(now, targets[4]), qt.IsTrue)
	c.Check(probed(4), qt.IsNil)
	c.Check(o.Record(now.Add(100*time.Millisecond), targets[2]), qt.IsTrue)
	c.Check(probed(2), qt.DeepEquals, []string{"a2"})
	o.Expire(now.Add(outageWindow + 50*time.Millisecond))
	c.Check(o.Targets(), qt.DeepEquals, []string{"a3"})
}
