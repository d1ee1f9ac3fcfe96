// Package suspect attributes crashes of targets to the requests that ran on them, and to the parts of
// prompts that these requests share. Trackers exchange their state; merging it is commutative and
// idempotent.
package suspect

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashLimit is the number of crashes at which a request is rejected.
	CrashLimit = 3
	// crashTTL is how long the crashes of a request count, measured from the latest of them.
	crashTTL = 10 * time.Minute
	// maxRecords bounds the number of fingerprints and, separately, of deaths.
	maxRecords = 10000
	// evictBatch is the number of records evicted at once when maxRecords is reached, so
	// that the cost of selecting them is spread over many insertions.
	evictBatch = 500
	// correlationWindow is the time within which crashes of several targets of a zone are
	// treated as a failure of the zone.
	correlationWindow = 5 * time.Second
	// clearMargin is how much longer than its longest run that ended in a crash a suspect
	// must run to be cleared.
	clearMargin = 10 * time.Second
)

// Death is the record of one crash of a target.
type Death struct {
	ID string
	// Target, VM and Zone are empty if unknown to the reporter.
	Target string
	VM     string
	Zone   string
	At     time.Time
	// Fingerprints identify the requests that ran on the target.
	Fingerprints []uint64
}

// Record is the mergeable state of one fingerprint.
type Record struct {
	Fingerprint uint64
	Deaths      []string
	// Cleared lists deaths that no longer count; a death in both lists does not count.
	Cleared []string
	Expires time.Time
}

type suspectState struct {
	// deaths maps a death id to whether it counts. Once false, a value does not change.
	deaths map[string]bool
	// crashes is the number of deaths that count.
	crashes int
	// changed is the tracker's version at which deaths last changed.
	changed           uint64
	expires           time.Time
	zone              string
	longestCrashedRun time.Duration
}

// Tracker tracks crashes and suspected requests. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*suspectState
	deaths   map[string]*Death
	// parts holds the prompt parts that were present at crashes, and partsAt the parts by crash.
	parts   map[uint64]*partState
	partsAt map[string][]uint64
	known   knownParts
	// verdicts is replaced when the crashes of parts change.
	verdicts Verdicts
	version  uint64
	// partVersion counts the changes of parts.
	partVersion uint64
	digest      uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: map[uint64]*suspectState{}, deaths: map[string]*Death{},
		parts: map[uint64]*partState{}, partsAt: map[string][]uint64{},
	}
}

// Version returns a number that changes whenever the exported state changes.
func (t *Tracker) Version() uint64 { return t.version }

// Digest returns a hash of the suspects and of the deaths that count against them, without the
// times at which they expire. Trackers with the same suspects have the same digest.
func (t *Tracker) Digest() uint64 { return t.digest }

// deathHash is the part of one death of a suspect in the digest. The parts are combined by
// exclusive or, so that their order does not matter and each can be removed again.
func deathHash(fingerprint uint64, deathID string, counts bool) uint64 {
	h := xxhash.Sum64String(deathID) + fingerprint*0x9e3779b97f4a7c15
	if counts {
		h++
	}
	// The finalizer of SplitMix64 spreads differences over all bits.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// remove drops a fingerprint.
func (t *Tracker) remove(fingerprint uint64) {
	for id, counts := range t.suspects[fingerprint].deaths {
		t.digest ^= deathHash(fingerprint, id, counts)
	}
	delete(t.suspects, fingerprint)
	t.version++
}

// Len returns the number of tracked fingerprints.
func (t *Tracker) Len() int { return len(t.suspects) }

// Crashes returns the number of crashes that count against a fingerprint.
func (t *Tracker) Crashes(fingerprint uint64, now time.Time) int {
	s := t.suspects[fingerprint]
	if s == nil || !now.Before(s.expires) {
		return 0
	}
	return s.crashes
}

// Rejected reports whether requests with the fingerprint must be rejected.
func (t *Tracker) Rejected(fingerprint uint64, now time.Time) bool {
	return t.Crashes(fingerprint, now) >= CrashLimit
}

// CrashZone returns the zone of the fingerprint's last crash; empty if unknown.
func (t *Tracker) CrashZone(fingerprint uint64) string {
	if s := t.suspects[fingerprint]; s != nil {
		return s.zone
	}
	return ""
}

// Report counts a crash against its fingerprints and reports whether it was new. A crash is
// counted once; a later report of it may add the target, VM and zone that the first one
// lacked.
func (t *Tracker) Report(d Death, now time.Time) bool {
	if d.At.After(now) {
		d.At = now
	}
	if now.Sub(d.At) >= crashTTL {
		return false
	}
	known, seen := t.deaths[d.ID]
	if seen {
		if known.Zone != "" || d.Zone == "" {
			return false
		}
		known.Target, known.VM, known.Zone = d.Target, d.VM, d.Zone
	} else {
		t.recordDeath(&d)
		known = &d
	}
	for _, f := range d.Fingerprints {
		t.mergeDeath(f, d.ID, true, d.At.Add(crashTTL))
		if s := t.suspects[f]; s != nil && d.Zone != "" {
			s.zone = d.Zone
		}
	}
	t.correlate(known)
	t.enforceLimit()
	return !seen
}

func (t *Tracker) recordDeath(d *Death) {
	if len(t.deaths) >= maxRecords {
		t.evictDeaths()
	}
	t.deaths[d.ID] = d
}

// correlate discounts the crashes of several targets of one zone within correlationWindow.
// The crashes of a fingerprint that ran on more than one of these targets still count: a
// request that crashes its targets immediately is retried from one to the next.
func (t *Tracker) correlate(d *Death) {
	if d.Zone == "" {
		return
	}
	deaths := t.correlatedDeaths(d)
	if len(deaths) == 1 {
		return
	}
	runs := map[uint64]int{}
	for _, death := range deaths {
		for _, f := range death.Fingerprints {
			runs[f]++
		}
	}
	for _, death := range deaths {
		for _, f := range death.Fingerprints {
			if runs[f] == 1 {
				t.mergeDeath(f, death.ID, false, time.Time{})
			}
		}
	}
}

// correlatedDeaths returns d and the deaths of other targets of its zone within
// correlationWindow of it.
func (t *Tracker) correlatedDeaths(d *Death) []*Death {
	deaths := []*Death{d}
	for _, other := range t.deaths {
		if other.Zone != d.Zone || other.Target == d.Target {
			continue
		}
		if other.At.Sub(d.At).Abs() <= correlationWindow {
			deaths = append(deaths, other)
		}
	}
	return deaths
}

// VMLost discounts the crashes of a lost VM's targets that occurred within correlationWindow
// before the loss: they were caused by the VM and not by requests.
func (t *Tracker) VMLost(vm string, now time.Time) {
	for _, d := range t.deaths {
		if d.VM == "" || d.VM != vm || now.Sub(d.At) > correlationWindow {
			continue
		}
		for _, f := range d.Fingerprints {
			t.mergeDeath(f, d.ID, false, time.Time{})
		}
	}
}

// VMsWithRecentDeaths returns the VMs with a crash within the window considered by VMLost. A
// VM is listed once for each crash.
func (t *Tracker) VMsWithRecentDeaths(now time.Time) []string {
	var vms []string
	for _, d := range t.deaths {
		if d.VM != "" && now.Sub(d.At) <= correlationWindow {
			vms = append(vms, d.VM)
		}
	}
	return vms
}

// RecordCrashedRun records how long a request had run when its target crashed.
func (t *Tracker) RecordCrashedRun(fingerprint uint64, run time.Duration) {
	if s := t.suspects[fingerprint]; s != nil {
		s.longestCrashedRun = max(s.longestCrashedRun, run)
	}
}

// ClearIfSafe clears a suspect that completed, or that has run more than clearMargin longer
// than its longest run that ended in a crash. It reports whether it cleared the fingerprint.
func (t *Tracker) ClearIfSafe(fingerprint uint64, run time.Duration, completed bool) bool {
	s := t.suspects[fingerprint]
	if s == nil || s.crashes == 0 {
		return false
	}
	if !completed && run <= s.longestCrashedRun+clearMargin {
		return false
	}
	for id := range s.deaths {
		t.mergeDeath(fingerprint, id, false, time.Time{})
	}
	return true
}

// mergeDeath records whether a death counts against a fingerprint. Once counts is false for
// the pair, later calls with true have no effect.
func (t *Tracker) mergeDeath(fingerprint uint64, deathID string, counts bool, expires time.Time) {
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspectState{deaths: map[string]bool{}}
		t.suspects[fingerprint] = s
		t.version++
	}
	if expires.After(s.expires) {
		s.expires = expires
		t.version++
	}
	current, known := s.deaths[deathID]
	if known && (current == counts || !current) {
		return
	}
	if known {
		t.digest ^= deathHash(fingerprint, deathID, current)
	}
	t.digest ^= deathHash(fingerprint, deathID, counts)
	s.deaths[deathID] = counts
	t.version++
	s.changed = t.version
	if counts {
		s.crashes++
	} else if known {
		s.crashes--
	}
}

// Expire removes fingerprints and deaths that have expired.
func (t *Tracker) Expire(now time.Time) {
	for f, s := range t.suspects {
		if !now.Before(s.expires) {
			t.remove(f)
		}
	}
	for id, d := range t.deaths {
		if now.Sub(d.At) >= crashTTL {
			delete(t.deaths, id)
		}
	}
	t.expireParts(now)
}

// Export returns the unexpired state, sorted by fingerprint.
func (t *Tracker) Export(now time.Time) []Record { return t.Changes(0, now) }

// Changes returns the unexpired suspects whose deaths changed after a version of the tracker,
// sorted by fingerprint. A suspect is returned with all its deaths.
func (t *Tracker) Changes(since uint64, now time.Time) []Record {
	if since >= t.version {
		return nil
	}
	var records []Record
	for f, s := range t.suspects {
		if s.changed <= since || !now.Before(s.expires) {
			continue
		}
		r := Record{Fingerprint: f, Expires: s.expires}
		for id, counts := range s.deaths {
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

// Merge merges the exported state of another tracker. The result does not depend on the
// order or number of merges, as long as maxRecords is not reached.
func (t *Tracker) Merge(records []Record, now time.Time) {
	for _, r := range records {
		// A sender whose clock is ahead must not extend a record beyond crashTTL.
		expires := r.Expires
		if latest := now.Add(crashTTL); expires.After(latest) {
			expires = latest
		}
		if !now.Before(expires) {
			continue
		}
		for _, id := range r.Deaths {
			t.mergeDeath(r.Fingerprint, id, true, expires)
		}
		for _, id := range r.Cleared {
			t.mergeDeath(r.Fingerprint, id, false, expires)
		}
	}
	t.enforceLimit()
}

// enforceLimit evicts fingerprints if there are more than maxRecords: first those with the
// fewest crashes, among these the ones that expire first.
func (t *Tracker) enforceLimit() {
	if len(t.suspects) <= maxRecords {
		return
	}
	fingerprints := make([]uint64, 0, len(t.suspects))
	for f := range t.suspects {
		fingerprints = append(fingerprints, f)
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		a, b := t.suspects[fingerprints[i]], t.suspects[fingerprints[j]]
		if a.crashes != b.crashes {
			return a.crashes < b.crashes
		}
		if !a.expires.Equal(b.expires) {
			return a.expires.Before(b.expires)
		}
		return fingerprints[i] < fingerprints[j]
	})
	for _, f := range fingerprints[:len(fingerprints)-maxRecords+evictBatch] {
		t.remove(f)
	}
}

// evictDeaths evicts the oldest deaths.
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
