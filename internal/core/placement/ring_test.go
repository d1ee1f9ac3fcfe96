package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ringGateways returns the names of n gateways.
func ringGateways(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("edge-%c-%d", 'a'+i%3, i)
	}
	return names
}

// subsetOf returns the ids of the targets that a gateway uses, as seen by a fleet of any gateway.
func subsetOf(f *Fleet, at time.Time, names []string, name string) []string {
	f.name, f.gateways, f.rings = name, names, nil
	return usedTargets(f, at)
}

// usedTargets returns the ids of the targets that the fleet's gateway uses.
func usedTargets(f *Fleet, at time.Time) []string {
	var ids []string
	targets, subset := f.nearby("s")
	for t := range targets {
		if len(ids) == subset {
			break
		}
		if fleetQuery.admits(t, at) {
			ids = append(ids, t.reg.ID)
		}
	}
	return ids
}

// users returns for each target how many gateways have it in their subsets, and the size of the
// subsets.
func users(f *Fleet, at time.Time, names []string) (users map[string]int, subset int) {
	users = map[string]int{}
	f.gateways, f.rings = names, nil
	for rank := range names {
		if rank > 0 && f.rings != nil {
			f.rings.rank = rank
		} else {
			f.name = ringOrder(names)[0]
		}
		ids := usedTargets(f, at)
		subset = len(ids)
		for _, id := range ids {
			users[id]++
		}
	}
	return users, subset
}

// spread returns the least and the largest number of users of the targets that are usable.
func spread(f *Fleet, at time.Time, users map[string]int) (least, most int) {
	least = len(users) + len(f.targets)
	for id, t := range f.targets {
		if t.usable(at) {
			least, most = min(least, users[id]), max(most, users[id])
		}
	}
	return least, most
}

// Guards against subsets that leave targets idle or send several times the usual work to others, and
// against subsets that a lost zone empties: gateways start, are lost by zone or at random, and come.
func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	for _, size := range []struct{ gateways, targets int }{{3, 21}, {23, 86}, {33, 100}, {100, 400}, {300, 3000}, {370, 1100}} {
		t.Run(fmt.Sprintf("%dx%d", size.gateways, size.targets), func(t *testing.T) {
			c := qt.New(t)
			names := ringGateways(size.gateways)
			f := newFleet(names[0], engines(size.targets))
			f.SetGateways(names)
			check := func(what string, at time.Time, names []string, tolerance int) {
				count, subset := users(f, at, names)
				least, most := spread(f, at, count)
				usable := f.UsableCount(at, "s")
				mean := float64(len(names)*subset) / float64(usable)
				c.Check(float64(most) <= mean+float64(tolerance), qt.IsTrue, qt.Commentf("%s: a target has %d users, mean %.1f", what, most, mean))
				c.Check(float64(least) >= mean-float64(tolerance), qt.IsTrue, qt.Commentf("%s: a target has %d users, mean %.1f", what, least, mean))
				if SharesAll(len(names)) {
					c.Check(subset, qt.Equals, usable, qt.Commentf("%s: few gateways use all targets", what))
				}
			}
			check("all", now, names, 1)

			var rest []string
			for i, name := range names {
				if i%3 != 1 {
					rest = append(rest, name)
				}
			}
			at := now.Add(time.Minute)
			for id, target := range f.targets {
				if target.reg.Zone == "b" {
					f.MarkDown(at, id)
				}
			}
			check("zone lost, gateways not noticed", at, names, 3)
			check("zone lost", at, rest, 3)

			at = at.Add(time.Minute)
			half := slices.Clone(names)
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(half), func(i, j int) { half[i], half[j] = half[j], half[i] })
			half = half[:(len(half)+1)/2]
			slices.Sort(half)
			check("half of the gateways", at, half, 1)
		})
	}
}

// Guards against subsets within one zone, whose loss would leave a gateway without targets that it knows.
func TestSubsetsSpanZones(t *testing.T) {
	c := qt.New(t)
	names := ringGateways(100)
	f := newFleet(names[0], engines(400))
	for _, name := range names {
		zones := map[string]int{}
		ids := subsetOf(f, now, names, name)
		for _, id := range ids {
			zones[f.targets[id].reg.Zone]++
		}
		for _, zone := range []string{"a", "b", "c"} {
			c.Check(zones[zone] >= len(ids)/3-1, qt.IsTrue, qt.Commentf("%s: %v", name, zones))
		}
	}
}

// Guards against a gateway or target that comes or goes and moves the work of all gateways to targets
// at which they have no streams, and whose loads they do not know.
func TestGrowthMovesFewTargets(t *testing.T) {
	c := qt.New(t)
	kept := func(before, after []string) int {
		n := 0
		for _, id := range after {
			if slices.Contains(before, id) {
				n++
			}
		}
		return n
	}
	names := ringGateways(371)
	list := engines(1101)
	f := newFleet(names[0], list[:1100])
	before := map[string][]string{}
	for _, name := range names[:370] {
		before[name] = subsetOf(f, now, names[:370], name)
	}
	changes := map[string]func(name string) []string{
		"a gateway joins": func(name string) []string { return subsetOf(f, now, names, name) },
	}
	grown := newFleet(names[0], list)
	changes["a target joins"] = func(name string) []string { return subsetOf(grown, now, names[:370], name) }
	for what, after := range changes {
		total, all := 0, 0
		for _, name := range names[:370] {
			n := kept(before[name], after(name))
			c.Check(n >= minSubset*2/3, qt.IsTrue, qt.Commentf("%s: %s keeps %d of %d targets", what, name, n, len(before[name])))
			total, all = total+n, all+len(before[name])
		}
		c.Check(float64(total) >= 0.9*float64(all), qt.IsTrue, qt.Commentf("%s: %d of %d targets of subsets are kept", what, total, all))
	}
}

// Guards against a gateway that uses a target without hearing the loads of the others that use it.
func TestNeighborsUseTheSameTargets(t *testing.T) {
	c := qt.New(t)
	names := ringGateways(370)
	f := newFleet(names[0], engines(1100))
	starts := map[string]map[string]bool{}
	for _, name := range names {
		for _, other := range RingNeighbors(names, name) {
			if starts[name] == nil {
				starts[name] = map[string]bool{}
			}
			starts[name][other] = true
		}
	}
	using := map[string][]string{}
	for _, name := range names {
		for _, id := range subsetOf(f, now, names, name) {
			using[id] = append(using[id], name)
		}
	}
	for id, gateways := range using {
		for i, a := range gateways {
			for _, b := range gateways[:i] {
				c.Check(starts[a][b] || starts[b][a], qt.IsTrue, qt.Commentf("%s and %s use %s and do not exchange loads", a, b, id))
			}
		}
	}
	c.Check(RingNeighbors([]string{"g"}, "g"), qt.HasLen, 0)
	c.Check(RingNeighbors([]string{"g", "h"}, "g"), qt.DeepEquals, []string{"h"})
	c.Check(RingNeighbors([]string{"h"}, "g"), qt.HasLen, 0)
}

// Guards against requests that fail or go to a full engine because all of the subset has left or failed,
// while other targets are idle.
func TestPlacesBeyondTheSubset(t *testing.T) {
	c := qt.New(t)
	names := ringGateways(100)
	f := newFleet(names[0], engines(400))
	subset := subsetOf(f, now, names, names[0])
	chosen, ok := f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Assert(ok, qt.IsTrue)
	c.Check(slices.Contains(subset, chosen.ID), qt.IsTrue)
	for _, id := range subset {
		f.SetPeerLoads(id, now, []ReportedLoad{{KeyOf(id), PeerLoad{Memory: 55000, Streams: 9}}})
	}
	chosen, ok = f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Assert(ok, qt.IsTrue)
	c.Check(slices.Contains(subset, chosen.ID), qt.IsFalse, qt.Commentf("all engines of the subset are full"))
	for _, id := range subset {
		f.MarkDown(now, id)
	}
	chosen, ok = f.ChooseEngine(now, fleetQuery, typicalSize)
	c.Assert(ok, qt.IsTrue)
	c.Check(slices.Contains(subset, chosen.ID), qt.IsFalse, qt.Commentf("all engines of the subset are down"))
}
