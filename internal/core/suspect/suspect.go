// Package suspect attributes crashes of targets to the requests that ran on them. The
// state of several trackers merges in any order and any number of times.
package suspect

import (
	"sort"
	"time"
)

const (
	// CrashLimit is the number of crashes at which a request is rejected.
	CrashLimit = 3
	// lifetime is how long a crash counts.
	lifetime = 10 * time.Minute
	// maxEntries bounds the fingerprints and, separately, the remembered deaths.
	maxEntries = 10000
	// evictBatch is the number of entries dropped at once when the bound is reached, so
	// that the cost of choosing them is spread over many insertions.
	evictBatch = 500
	// correlationWindow is the time within which crashes of several targets of a zone
	// are taken for a failure of the zone.
	correlationWindow = 5 * time.Second
	// clearMargin is how much longer than its longest run that ended in a crash a
	// suspect must run to be cleared.
	clearMargin = 10 * time.Second
)

// Death is one crash of a target.
type Death struct {
	ID string
	// Target, VM and Zone are empty if the reporter does not know them.
	Target string
	VM     string
	Zone   string
	At     time.Time
	// Fingerprints are the requests that ran on the target.
	Fingerprints []uint64
}

// Record is the mergeable state of one fingerprint.
type Record struct {
	Fingerprint uint64
	Deaths      []string
	// Cleared are deaths that no longer count; a death in both lists does not count.
	Cleared []string
	Expires time.Time
}

type entry struct {
	// deaths maps a death id to whether it counts. False is final.
	deaths     map[string]bool
	active     int
	expires    time.Time
	zone       string
	longestRun time.Duration
}

// Tracker holds the suspects known to one entry. It is not safe for concurrent use.
type Tracker struct {
	entries map[uint64]*entry
	deaths  map[string]*Death
	version uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{entries: map[uint64]*entry{}, deaths: map[string]*Death{}}
}

// Version changes whenever the exported state changes.
func (t *Tracker) Version() uint64 { return t.version }

// Len returns the number of fingerprints held.
func (t *Tracker) Len() int { return len(t.entries) }

// Crashes returns how many crashes count against a fingerprint.
func (t *Tracker) Crashes(fingerprint uint64, now time.Time) int {
	e := t.entries[fingerprint]
	if e == nil || !now.Before(e.expires) {
		return 0
	}
	return e.active
}

// Rejected reports whether requests with the fingerprint must be rejected.
func (t *Tracker) Rejected(fingerprint uint64, now time.Time) bool {
	return t.Crashes(fingerprint, now) >= CrashLimit
}

// CrashZone returns the zone of the fingerprint's last crash, empty if unknown.
func (t *Tracker) CrashZone(fingerprint uint64) string {
	if e := t.entries[fingerprint]; e != nil {
		return e.zone
	}
	return ""
}

// Report counts a death once and returns whether it was new. A later report of the same
// death may add the target, VM and zone that the first one lacked.
func (t *Tracker) Report(d Death, now time.Time) bool {
	if d.At.After(now) {
		d.At = now
	}
	if now.Sub(d.At) >= lifetime {
		return false
	}
	known, seen := t.deaths[d.ID]
	if seen {
		if known.Zone != "" || d.Zone == "" {
			return false
		}
		known.Target, known.VM, known.Zone = d.Target, d.VM, d.Zone
	} else {
		t.remember(&d)
		known = &d
	}
	for _, f := range d.Fingerprints {
		t.add(f, d.ID, true, d.At.Add(lifetime))
		if e := t.entries[f]; e != nil && d.Zone != "" {
			e.zone = d.Zone
		}
	}
	t.correlate(known)
	t.bound()
	return !seen
}

func (t *Tracker) remember(d *Death) {
	if len(t.deaths) >= maxEntries {
		t.evictDeaths()
	}
	t.deaths[d.ID] = d
}

// correlate discounts deaths of several targets of one zone within the window. A
// fingerprint that ran on more than one of these targets keeps its crashes: it moved
// from one to the next, which is how a request that crashes targets at once appears.
func (t *Tracker) correlate(d *Death) {
	if d.Zone == "" {
		return
	}
	group := t.group(d)
	if len(group) == 1 {
		return
	}
	ran := map[uint64]int{}
	for _, g := range group {
		for _, f := range g.Fingerprints {
			ran[f]++
		}
	}
	for _, g := range group {
		for _, f := range g.Fingerprints {
			if ran[f] == 1 {
				t.add(f, g.ID, false, time.Time{})
			}
		}
	}
}

// group returns the death and those of other targets of its zone within the window.
func (t *Tracker) group(d *Death) []*Death {
	group := []*Death{d}
	for _, other := range t.deaths {
		if other.Zone != d.Zone || other.Target == d.Target {
			continue
		}
		if other.At.Sub(d.At).Abs() <= correlationWindow {
			group = append(group, other)
		}
	}
	return group
}

// VMLost discounts the deaths of the VM's targets that came within the window before its
// loss: the VM failed, not the requests.
func (t *Tracker) VMLost(vm string, now time.Time) {
	for _, d := range t.deaths {
		if d.VM == "" || d.VM != vm || now.Sub(d.At) > correlationWindow {
			continue
		}
		for _, f := range d.Fingerprints {
			t.add(f, d.ID, false, time.Time{})
		}
	}
}

// VMsWithRecentDeaths returns the VMs with a death within the window that VMLost looks at.
func (t *Tracker) VMsWithRecentDeaths(now time.Time) []string {
	var vms []string
	for _, d := range t.deaths {
		if d.VM != "" && now.Sub(d.At) <= correlationWindow {
			vms = append(vms, d.VM)
		}
	}
	return vms
}

// RecordCrashedRun records how long the request had run when its target crashed.
func (t *Tracker) RecordCrashedRun(fingerprint uint64, run time.Duration) {
	if e := t.entries[fingerprint]; e != nil {
		e.longestRun = max(e.longestRun, run)
	}
}

// ClearIfSafe clears a suspect that completed, or that runs clearMargin longer than its longest
// run that ended in a crash. It reports whether the fingerprint was cleared now.
func (t *Tracker) ClearIfSafe(fingerprint uint64, run time.Duration, completed bool) bool {
	e := t.entries[fingerprint]
	if e == nil || e.active == 0 {
		return false
	}
	if !completed && run <= e.longestRun+clearMargin {
		return false
	}
	for id := range e.deaths {
		t.add(fingerprint, id, false, time.Time{})
	}
	return true
}

// add merges one death of a fingerprint; counts=false is final for the pair.
func (t *Tracker) add(fingerprint uint64, death string, counts bool, expires time.Time) {
	e := t.entries[fingerprint]
	if e == nil {
		e = &entry{deaths: map[string]bool{}}
		t.entries[fingerprint] = e
		t.version++
	}
	if expires.After(e.expires) {
		e.expires = expires
		t.version++
	}
	current, known := e.deaths[death]
	if known && (current == counts || !current) {
		return
	}
	e.deaths[death] = counts
	t.version++
	if counts {
		e.active++
	} else if known {
		e.active--
	}
}

// Expire drops what no longer counts.
func (t *Tracker) Expire(now time.Time) {
	for f, e := range t.entries {
		if !now.Before(e.expires) {
			delete(t.entries, f)
			t.version++
		}
	}
	for id, d := range t.deaths {
		if now.Sub(d.At) >= lifetime {
			delete(t.deaths, id)
		}
	}
}

// Export returns the state in order of fingerprint.
func (t *Tracker) Export(now time.Time) []Record {
	records := make([]Record, 0, len(t.entries))
	for f, e := range t.entries {
		if !now.Before(e.expires) {
			continue
		}
		r := Record{Fingerprint: f, Expires: e.expires}
		for id, counts := range e.deaths {
			if counts {
				r.Deaths = append(r.Deaths, id)
			} else {
				r.Cleared = append(r.Cleared, id)
			}
		}
		sort.Strings(r.Deaths)
		sort.Strings(r.Cleared)
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Fingerprint < records[j].Fingerprint })
	return records
}

// Merge takes in exported state of another tracker. The result does not depend on the
// order or the number of merges, within the bound on entries.
func (t *Tracker) Merge(records []Record, now time.Time) {
	for _, r := range records {
		// A sender whose clock is ahead must not make a record outlive its time.
		expires := r.Expires
		if latest := now.Add(lifetime); expires.After(latest) {
			expires = latest
		}
		if !now.Before(expires) {
			continue
		}
		for _, id := range r.Deaths {
			t.add(r.Fingerprint, id, true, expires)
		}
		for _, id := range r.Cleared {
			t.add(r.Fingerprint, id, false, expires)
		}
	}
	t.bound()
}

// bound drops the entries with the fewest crashes, then those that expire first.
func (t *Tracker) bound() {
	if len(t.entries) <= maxEntries {
		return
	}
	fingerprints := make([]uint64, 0, len(t.entries))
	for f := range t.entries {
		fingerprints = append(fingerprints, f)
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		a, b := t.entries[fingerprints[i]], t.entries[fingerprints[j]]
		if a.active != b.active {
			return a.active < b.active
		}
		if !a.expires.Equal(b.expires) {
			return a.expires.Before(b.expires)
		}
		return fingerprints[i] < fingerprints[j]
	})
	for _, f := range fingerprints[:len(fingerprints)-maxEntries+evictBatch] {
		delete(t.entries, f)
	}
	t.version++
}

func (t *Tracker) evictDeaths() {
	ids := make([]string, 0, len(t.deaths))
	for id := range t.deaths {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return t.deaths[ids[i]].At.Before(t.deaths[ids[j]].At) })
	for _, id := range ids[:min(len(ids), evictBatch)] {
		delete(t.deaths, id)
	}
}
