package replica

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func rankedGateways(n int) []string {
	ranked := make([]string, n)
	for i := range ranked {
		ranked[i] = fmt.Sprint("g", i)
	}
	return ranked
}

// Guards against a gateway that many follow, which then exceeds its share of bytes and delays them, and
// against tables that pass through so many gateways that they arrive too late.
func TestSourcesFormAShallowTree(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{33, 100, 370} {
		ranked := rankedGateways(n)
		followers, depth := map[string]int{}, map[string]int{}
		for at, name := range ranked {
			sources := Sources(ranked, 2, name)
			if at == 0 {
				c.Check(sources, qt.HasLen, 0)
				continue
			}
			followers[sources[0]]++
			depth[name] = depth[sources[0]] + 1
			if at < 2 {
				depth[name] = 0
			}
			c.Check(depth[name] <= 3, qt.IsTrue, qt.Commentf("%s of %d is %d steps from the readers", name, n, depth[name]))
		}
		for name, count := range followers {
			c.Check(count <= Followers+1, qt.IsTrue, qt.Commentf("%s of %d has %d followers", name, n, count))
		}
	}
}

// Guards against gateways that follow each other in a circle while all of them are cut off from the
// readers, and against one that follows itself or has no alternative.
func TestSourcesRankBeforeTheirFollowers(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 2, 3, 33, 370} {
		ranked := rankedGateways(n)
		for at, name := range ranked {
			sources := Sources(ranked, 2, name)
			for _, source := range sources {
				c.Check(slices.Index(ranked, source) < at, qt.IsTrue, qt.Commentf("%s follows %s", name, source))
			}
			if at >= 2 {
				c.Check(len(sources), qt.Equals, min(sourceAlternatives, at))
			}
			seen := map[string]bool{}
			for _, source := range sources {
				c.Check(seen[source], qt.IsFalse, qt.Commentf("%s has %s twice", name, source))
				seen[source] = true
			}
		}
	}
	c.Check(Sources(rankedGateways(5), 2, "unknown"), qt.HasLen, 0)
	c.Check(Sources(nil, 2, "g0"), qt.HasLen, 0)
}
