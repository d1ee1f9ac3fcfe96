package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

// highestHash returns the gateway with the highest rendezvous hash for a target.
func highestHash(gateways []string, id string) string {
	best := gateways[0]
	for _, name := range gateways {
		if preferenceHash(name, id) > preferenceHash(best, id) {
			best = name
		}
	}
	return best
}

// Guards against targets that no gateway or two gateways prefer, because one of them has not
// noticed that a gateway or a target came or went.
func TestExactlyOneGatewayPrefersTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const self = "g0"
		f := newFleet(self, engines(3))
		names := []string{self}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "gateways") {
				names = []string{self}
				for i := range 6 {
					if rapid.Bool().Draw(t, "live") {
						names = append(names, fmt.Sprint("g", i+1))
					}
				}
				f.SetGateways(names)
			} else {
				list := engines(rapid.IntRange(0, 12).Draw(t, "targets"))
				for i := range list {
					list[i].StartUnixMS = uint64(rapid.IntRange(1, 2).Draw(t, "start"))
				}
				f.Update(list, func(string) int { return 0 })
			}
			for i := range 12 {
				id := engineID(i)
				want := highestHash(names, id) == self
				if f.Prefers(id) != want || f.targets[id] != nil && f.targets[id].preferred != want {
					t.Fatalf("target %s preferred: %v with gateways %v, want %v", id, f.Prefers(id), names, want)
				}
			}
		}
	})
}
