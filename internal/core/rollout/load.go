package rollout

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/membership"
)

const (
	// maxConcurrentLoads bounds the loads in progress in a small installation, because
	// the weight store is rate-limited. In a large one, one in concurrentLoadsDivisor
	// targets may load at the same time.
	maxConcurrentLoads     = 2
	concurrentLoadsDivisor = 20
	// loadTimeout is how long an ordered load counts as in progress.
	loadTimeout = 2 * time.Minute
	// loadHeadroom is the ratio of the share of targets that load the version to its share
	// of traffic.
	loadHeadroom = 1.25
	// loadedPercent is the percentage of targets that is enough for any step, so that a
	// target that cannot load a good version does not block its rollout.
	loadedPercent = 90
	// minLoadedTargets is the minimum number of targets, so that one crash does not block
	// a step.
	minLoadedTargets = 2
)

// NeededTargets returns how many of n targets must have loaded the version for the step
// after the row's current one. A completed version is needed on all, also if it was completed
// at the deadline before the last step.
func NeededTargets(r *Row, n int) int {
	if r.State == Done {
		return n
	}
	next := 100.0
	if r.Step+1 < len(steps) {
		next = steps[r.Step+1]
	}
	needed := int(math.Ceil(loadHeadroom * next / 100 * float64(n)))
	return min(n, max(minLoadedTargets, needed))
}

// Loaded reports whether enough of the service's usable targets have loaded the version
// for the next step.
func Loaded(r *Row, targets []membership.Target) bool {
	usable, loaded := 0, 0
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service || !t.Usable() {
			continue
		}
		usable++
		if t.HasVersion(r.Version) {
			loaded++
		}
	}
	return usable > 0 && loaded >= min(NeededTargets(r, usable), max(1, usable*loadedPercent/100))
}

// Missing reports whether a usable target of the service lacks the version, for example because
// it restarted after the rollout.
func Missing(r *Row, targets []membership.Target) bool {
	for i := range targets {
		if t := &targets[i]; t.Service == r.Service && t.Usable() && !t.HasVersion(r.Version) {
			return true
		}
	}
	return false
}

// NextLoads returns the targets on which to order a load now. ordered maps target names to
// the time of the last order. Loads are spread over the zones, so that a version does not
// depend on a single one.
func NextLoads(r *Row, targets []membership.Target, ordered map[string]time.Time, now time.Time) []membership.Target {
	var candidates []membership.Target
	usable, loaded, loading := 0, 0, 0
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
			loaded++
			perZone[t.Zone]++
		case inProgress:
			loading++
			perZone[t.Zone]++
		default:
			candidates = append(candidates, *t)
		}
	}
	room := max(maxConcurrentLoads, usable/concurrentLoadsDivisor) - loading
	missing := NeededTargets(r, usable) - loaded - loading
	return pickByZone(candidates, perZone, r.Version, min(room, missing))
}

func pickByZone(candidates []membership.Target, perZone map[string]int, version string, n int) []membership.Target {
	rank := func(t *membership.Target) uint64 { return xxhash.Sum64String(t.Name + "\x00" + version) }
	sort.Slice(candidates, func(i, j int) bool { return rank(&candidates[i]) < rank(&candidates[j]) })
	var picked []membership.Target
	for len(picked) < n && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if perZone[candidates[i].Zone] < perZone[candidates[best].Zone] {
				best = i
			}
		}
		perZone[candidates[best].Zone]++
		picked = append(picked, candidates[best])
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return picked
}

// NextUnloads returns the usable targets on which to order an unload of the previous version
// now. ordered maps target names to the time of the last order.
func NextUnloads(r *Row, targets []membership.Target, ordered map[string]time.Time, now time.Time) []membership.Target {
	var next []membership.Target
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service || !t.Usable() || !t.HasVersion(r.Previous) || !t.HasVersion(r.Version) {
			continue
		}
		if orderedAt, ok := ordered[t.Name]; !ok || now.Sub(orderedAt) >= loadTimeout {
			next = append(next, *t)
		}
	}
	return next
}
