package placement

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullMesh is the number of gateways up to which each of them uses all targets and hears the
	// loads of all others. The cost of that grows with gateways times targets.
	maxFullMesh = 32
	// minSubset is the least number of targets of a service that a gateway uses in a larger
	// installation: enough that a zone or some engines can be lost without leaving the subset.
	minSubset = 12
	// ringReach is how many gateways on each side in the ring a gateway exchanges loads with, and
	// the least number of gateways that use a target.
	ringReach = 4
)

// In an installation of more than maxFullMesh gateways, gateways and the targets of each service lie on
// rings, in an order that all gateways agree on. A gateway uses the targets that follow its own position:
// its subset. Subsets of gateways that are close to each other overlap, so that load that is uneven
// spreads along the ring, and a gateway needs to know only the loads of those few that are close.

// ringOrder returns the names of gateways in the order of the ring. The order of two gateways does not
// depend on the others.
func ringOrder(names []string) []string {
	type hashed struct {
		name string
		hash uint64
	}
	list := make([]hashed, len(names))
	for i, name := range names {
		list[i] = hashed{name, xxhash.Sum64String("ring\x00" + name)}
	}
	slices.SortFunc(list, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	ordered := make([]string, len(names))
	for i := range list {
		ordered[i] = list[i].name
	}
	return ordered
}

// SharesAll reports whether gateways of this number use all targets, each hearing the loads of all others.
func SharesAll(gateways int) bool { return gateways <= maxFullMesh }

// RingNeighbors returns the gateways that follow a gateway in the ring of the named ones, which include
// it, and with which it starts exchanges of loads. Those that precede it start them from their side.
func RingNeighbors(names []string, self string) []string {
	ring := ringOrder(names)
	at := slices.Index(ring, self)
	if at < 0 || len(ring) < 2 {
		return nil
	}
	neighbors := make([]string, 0, ringReach)
	for i := range min(ringReach, len(ring)-1) {
		neighbors = append(neighbors, ring[(at+1+i)%len(ring)])
	}
	return neighbors
}

// rings holds the order of the targets of each service and this gateway's place among the gateways.
type rings struct {
	// rank is the place of this gateway among count gateways.
	rank, count int
	byService   map[string][]*targetState
}

// newRings returns the rings of a fleet.
func newRings(f *Fleet) *rings {
	r := &rings{rank: max(0, slices.Index(ringOrder(f.gateways), f.name)), count: len(f.gateways), byService: map[string][]*targetState{}}
	for _, t := range f.order {
		r.byService[t.reg.Service] = append(r.byService[t.reg.Service], t)
	}
	for service, targets := range r.byService {
		r.byService[service] = interleaveZones(targets)
		for i, t := range r.byService[service] {
			t.firstInRing = i*r.count/len(targets) == r.rank
		}
	}
	return r
}

// interleaveZones returns targets in the order of their ring: in any stretch of it, each zone has about
// its share of all targets, so that each subset spans the zones.
func interleaveZones(targets []*targetState) []*targetState {
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.reg.ID, b.reg.ID))
	})
	size, seen := map[string]int{}, map[string]int{}
	for _, t := range ordered {
		size[t.reg.Zone]++
	}
	place := make(map[*targetState]float64, len(ordered))
	for _, t := range ordered {
		place[t] = (float64(seen[t.reg.Zone]) + 0.5) / float64(size[t.reg.Zone])
		seen[t.reg.Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(place[a], place[b]), cmp.Compare(a.reg.Zone, b.reg.Zone))
	})
	return ordered
}

// subsetSize returns how many of the targets of a service a gateway uses.
func (r *rings) subsetSize(targets int) int { return max(minSubset, ringReach*targets/r.count) }

// from returns the targets of a service in the order of the ring, beginning at this gateway's place, and
// the size of the subset.
func (r *rings) from(service string) (targets iter.Seq[*targetState], subset int) {
	ring := r.byService[service]
	targets = func(yield func(*targetState) bool) {
		// The least i with i*count/len(ring) >= rank, as for firstInRing.
		start := (r.rank*len(ring) + r.count - 1) / r.count
		for i := range ring {
			if !yield(ring[(start+i)%len(ring)]) {
				return
			}
		}
	}
	return targets, r.subsetSize(len(ring))
}

// nearby returns the targets among which work of a service is placed, those to be used first at the
// beginning, and how many of them this gateway uses as long as they accept work.
func (f *Fleet) nearby(service string) (targets iter.Seq[*targetState], subset int) {
	if SharesAll(len(f.gateways)) {
		return slices.Values(f.order), len(f.order)
	}
	if f.rings == nil {
		f.rings = newRings(f)
	}
	return f.rings.from(service)
}

// prefers reports whether this gateway is to fill a target before others do.
func (f *Fleet) prefers(t *targetState) bool {
	if SharesAll(len(f.gateways)) {
		return t.preferred
	}
	return t.firstInRing
}
