package runindex

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func without(names []string, left ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(left, name) })
}

func gateways(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("gateway-%d", i)
	}
	return names
}

// Load pattern: gateways stop in turn and clients return to the others. Whichever gateway
// relays a generation and whichever single other gateway is lost with it, each remaining
// gateway was told or asks one that was, whether or not it has noticed the losses.
func TestFoundAfterLossOfTwoGateways(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{3, 4, 23} {
		names := gateways(n)
		for fingerprint := range uint64(200) {
			relay := names[fingerprint%uint64(n)]
			told := ReplicasFor(fingerprint, names, relay)
			for _, lost := range names {
				if lost == relay {
					continue
				}
				for _, asker := range names {
					if asker == lost || asker == relay {
						continue
					}
					for _, known := range [][]string{names, without(names, lost, relay)} {
						reached := append(Candidates(fingerprint, known, asker), asker)
						found := slices.ContainsFunc(reached, func(name string) bool { return name != lost && slices.Contains(told, name) })
						c.Assert(found, qt.IsTrue, qt.Commentf("%d gateways, fingerprint %d, relay %s, lost %s, asker %s", n, fingerprint, relay, lost, asker))
					}
				}
			}
		}
	}
}

// Load pattern: a large installation. The records of a second spread evenly, so that no
// gateway is home to much more than its part.
func TestHomesSpread(t *testing.T) {
	c := qt.New(t)
	names := gateways(23)
	count := map[string]int{}
	const generations = 23 * 400
	for fingerprint := range uint64(generations) {
		for _, home := range ReplicasFor(fingerprint*0x9e3779b97f4a7c15, names, names[fingerprint%23]) {
			count[home]++
		}
	}
	for _, name := range names {
		mean := generations * ReplicaCount / len(names)
		c.Check(count[name] > mean*3/4 && count[name] < mean*5/4, qt.IsTrue, qt.Commentf("%s: %d of mean %d", name, count[name], mean))
	}
}

func TestIndexIsBoundedAndForgets(t *testing.T) {
	c := qt.New(t)
	x := New()
	start := time.Unix(1000, 0)
	for i := range uint64(MaxRecords + 10) {
		x.Put(start.Add(time.Duration(i)*time.Millisecond), Record{Fingerprint: i + 1, Holder: "e"})
	}
	c.Check(x.Len(), qt.Equals, MaxRecords)
	now := start.Add(MaxRecords * time.Millisecond)
	_, _, ok := x.Get(now, 1)
	c.Check(ok, qt.IsFalse)
	r, age, ok := x.Get(now, MaxRecords)
	c.Check(ok, qt.IsTrue)
	c.Check(r.Holder, qt.Equals, "e")
	c.Check(age, qt.Equals, time.Millisecond)
	_, _, ok = x.Get(now.Add(2*Lifetime), MaxRecords+1)
	c.Check(ok, qt.IsFalse)
	x.Expire(now.Add(2 * Lifetime))
	c.Check(x.Len(), qt.Equals, 0)
}
