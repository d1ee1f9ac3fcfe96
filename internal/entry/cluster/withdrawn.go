package cluster

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"

	"bramleygap/internal/wire"
)

type versionKey struct{ service, version string }

// withdrawnSet is a grow-only set; merging is commutative and idempotent. Readers
// do not lock.
type withdrawnSet struct {
	mu    sync.Mutex
	marks atomic.Pointer[map[versionKey]*wire.WithdrawnVersion]
}

func newWithdrawnSet() *withdrawnSet {
	w := &withdrawnSet{}
	w.marks.Store(&map[versionKey]*wire.WithdrawnVersion{})
	return w
}

// merge adds marks and returns how many were new. Of two marks of a version the
// earlier one is kept, so that all entries show the same reason.
func (w *withdrawnSet) merge(marks []*wire.WithdrawnVersion) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := maps.Clone(*w.marks.Load())
	added := 0
	for _, mark := range marks {
		key := versionKey{mark.GetService(), mark.GetVersion()}
		old, ok := next[key]
		if !ok {
			added++
		}
		if !ok || earlier(mark, old) {
			next[key] = mark
		}
	}
	w.marks.Store(&next)
	return added
}

func earlier(a, b *wire.WithdrawnVersion) bool {
	if a.GetUnixMs() != b.GetUnixMs() {
		return a.GetUnixMs() < b.GetUnixMs()
	}
	return a.GetReason() < b.GetReason()
}

func (w *withdrawnSet) contains(service, version string) bool {
	_, ok := (*w.marks.Load())[versionKey{service, version}]
	return ok
}

func (w *withdrawnSet) size() int { return len(*w.marks.Load()) }

// list returns the marks sorted by service and version.
func (w *withdrawnSet) list() []*wire.WithdrawnVersion {
	current := *w.marks.Load()
	list := make([]*wire.WithdrawnVersion, 0, len(current))
	for _, mark := range current {
		list = append(list, mark)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Service != list[j].Service {
			return list[i].Service < list[j].Service
		}
		return list[i].Version < list[j].Version
	})
	return list
}
