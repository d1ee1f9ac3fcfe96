package rollout

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/membership"
)

const (
	// loadsAtOnce bounds the loads in progress in a small installation, because the
	// weight store is rate-limited; a large one may load on loadsPart of its targets.
	loadsAtOnce = 2
	loadsPart   = 20
	// loadTimeout is how long an ordered load counts as in progress.
	loadTimeout = 2 * time.Minute
	// loadHeadroom is the excess of targets over the version's share of traffic.
	loadHeadroom = 1.25
	// loadedPercent of the targets are enough for any step: a target that cannot load the
	// version must not stop a good one.
	loadedPercent = 90
	// loadMinimum is the least number of targets, so that one crash does not stop a step.
	loadMinimum = 2
)

// NeededTargets returns how many of n targets must have the version for the step after
// the row's current one.
func NeededTargets(r *Row, n int) int {
	next := 100.0
	if r.Step+1 < len(steps) {
		next = steps[r.Step+1]
	}
	needed := int(math.Ceil(loadHeadroom * next / 100 * float64(n)))
	return min(n, max(loadMinimum, needed))
}

// Loaded reports whether enough of the service's usable targets have the version for
// the next step.
func Loaded(r *Row, targets []membership.Target) bool {
	usable, have := 0, 0
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service || !t.Usable() {
			continue
		}
		usable++
		if t.HasVersion(r.Version) {
			have++
		}
	}
	return usable > 0 && have >= min(NeededTargets(r, usable), max(1, usable*loadedPercent/100))
}

// NextLoads returns the targets to order a load on now. Ordered maps targets to the time
// of an earlier order. The zones take turns, so that a version does not depend on one.
func NextLoads(r *Row, targets []membership.Target, ordered map[string]time.Time, now time.Time) []membership.Target {
	var candidates []membership.Target
	usable, have, busy := 0, 0, 0
	perZone := map[string]int{}
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service || !t.Usable() {
			continue
		}
		usable++
		orderedAt, inProgress := ordered[t.Name]
		inProgress = inProgress && now.Sub(orderedAt) < loadTimeout
		switch {
		case t.HasVersion(r.Version):
			have++
			perZone[t.Zone]++
		case inProgress:
			busy++
			perZone[t.Zone]++
		default:
			candidates = append(candidates, *t)
		}
	}
	room := max(loadsAtOnce, usable/loadsPart) - busy
	missing := NeededTargets(r, usable) - have - busy
	return takeByZone(candidates, perZone, r.Version, min(room, missing))
}

func takeByZone(candidates []membership.Target, perZone map[string]int, version string, n int) []membership.Target {
	rank := func(t *membership.Target) uint64 { return xxhash.Sum64String(t.Name + "\x00" + version) }
	sort.Slice(candidates, func(i, j int) bool { return rank(&candidates[i]) < rank(&candidates[j]) })
	var taken []membership.Target
	for len(taken) < n && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if perZone[candidates[i].Zone] < perZone[candidates[best].Zone] {
				best = i
			}
		}
		perZone[candidates[best].Zone]++
		taken = append(taken, candidates[best])
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return taken
}

// NextUnloads returns the usable targets to order an unload of the previous version on
// now. Ordered maps targets to the time of an earlier order.
func NextUnloads(r *Row, targets []membership.Target, ordered map[string]time.Time, now time.Time) []membership.Target {
	var next []membership.Target
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service || !t.Usable() || !t.HasVersion(r.Previous) || !t.HasVersion(r.Version) {
			continue
		}
		if at, ok := ordered[t.Name]; !ok || now.Sub(at) >= loadTimeout {
			next = append(next, *t)
		}
	}
	return next
}
