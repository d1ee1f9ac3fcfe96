package cluster

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"

	"bramleygap/internal/wire"
)

type versionKey struct{ service, version string }

// withdrawnSet is a grow-only set of withdrawn versions; merge is commutative and
// idempotent. Reads are lock-free.
type withdrawnSet struct {
	mu       sync.Mutex
	versions atomic.Pointer[map[versionKey]*wire.WithdrawnVersion]
}

func newWithdrawnSet() *withdrawnSet {
	w := &withdrawnSet{}
	w.versions.Store(&map[versionKey]*wire.WithdrawnVersion{})
	return w
}

// merge adds withdrawals and returns how many versions were new. Of two withdrawals of a
// version the earlier one is kept, so that all entries report the same reason.
func (w *withdrawnSet) merge(withdrawals []*wire.WithdrawnVersion) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := maps.Clone(*w.versions.Load())
	added := 0
	for _, withdrawal := range withdrawals {
		key := versionKey{withdrawal.GetService(), withdrawal.GetVersion()}
		old, ok := next[key]
		if !ok {
			added++
		}
		if !ok || precedes(withdrawal, old) {
			next[key] = withdrawal
		}
	}
	w.versions.Store(&next)
	return added
}

func precedes(a, b *wire.WithdrawnVersion) bool {
	if a.GetUnixMs() != b.GetUnixMs() {
		return a.GetUnixMs() < b.GetUnixMs()
	}
	return a.GetReason() < b.GetReason()
}

func (w *withdrawnSet) contains(service, version string) bool {
	_, ok := (*w.versions.Load())[versionKey{service, version}]
	return ok
}

func (w *withdrawnSet) size() int { return len(*w.versions.Load()) }

// list returns the withdrawals sorted by service and version.
func (w *withdrawnSet) list() []*wire.WithdrawnVersion {
	current := *w.versions.Load()
	list := make([]*wire.WithdrawnVersion, 0, len(current))
	for _, withdrawal := range current {
		list = append(list, withdrawal)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Service != list[j].Service {
			return list[i].Service < list[j].Service
		}
		return list[i].Version < list[j].Version
	})
	return list
}
