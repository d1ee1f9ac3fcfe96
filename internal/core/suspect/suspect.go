// Package suspect attributes crashes of targets to the requests that ran on them, and to the parts of
// prompts that these requests share. Trackers exchange their state; merging it is commutative and
// idempotent.
package suspect

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashLimit is the number of crashes at which a request is rejected.
	CrashLimit = 3
	// knownLimit takes its place for requests that have completed, and for prompt parts with which responses have
	// begun. It is the users' bound on crashes before a part must be known.
	knownLimit = 5
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
	// Runs holds how long each of them had been at the target. It is empty if that is not known.
	Runs []time.Duration
	// Flows holds how long the response to each of them had gone on since its first event, 0 if it had none. If it is
	// empty, it is taken to be as long as Runs.
	Flows []time.Duration
	// contents identifies the content of the requests that may have caused the crash by a part of their prompts.
	contents []uint64
}

// Record is the mergeable state of one fingerprint.
type Record struct {
	Fingerprint uint64
	Deaths      []string
	// At holds when each of Deaths occurred, Runs how long the request had been at the target then, and Flows how long
	// its response had gone on. They are empty if that is not known.
	At    []time.Time
	Runs  []time.Duration
	Flows []time.Duration
	// Explained lists those of Deaths for which there is another explanation.
	Explained []string
	// Cleared lists deaths that no longer count; a death in both lists does not count.
	Cleared []string
	Expires time.Time
	// Known is set if a request with the fingerprint has ever completed.
	Known bool
}

// requestDeath is a death of a target on which a request ran.
type requestDeath struct {
	// counts is set while the death counts against the request. Once false, it does not change.
	counts bool
	at     time.Time
	// began is when the request was first sent to the target.
	began time.Time
	// flowed is how long the response to the request had gone on, the longest one of several.
	flowed time.Duration
	// explained is set if targets without the request ended at the same moment.
	explained bool
}

type suspectState struct {
	deaths map[string]*requestDeath
	// crashes is the number of deaths that count. Of those, successive counts only the ones to whose targets the
	// request was sent after the one before: targets that end at one moment while a popular request runs on each of
	// them have a common cause.
	crashes, successive int
	// known is set if a request with the fingerprint has completed.
	known bool
	// triedAt is when this tracker last let a rejected request through, zero for never.
	triedAt time.Time
	// choice is the choice of the request that makes the next trial.
	choice trialChoice
	// changed is the tracker's version at which deaths or known last changed.
	changed           uint64
	expires           time.Time
	zone              string
	longestCrashedRun time.Duration
}

// left returns how many more crashes lead to the rejection of the request. What has completed before does not crash
// each target, so that the crashes may have another cause that several of its requests have in common, such as a
// part of their prompts or the loss of all targets.
func (s *suspectState) left() int {
	if s.known {
		return max(0, knownLimit-s.successive)
	}
	return max(0, CrashLimit-s.crashes)
}

// countSuccessive updates successive.
func (s *suspectState) countSuccessive() {
	counting := make([]*requestDeath, 0, len(s.deaths))
	for _, d := range s.deaths {
		if d.counts {
			counting = append(counting, d)
		}
	}
	slices.SortFunc(counting, func(a, b *requestDeath) int { return cmp.Or(a.at.Compare(b.at), a.began.Compare(b.began)) })
	s.successive = 0
	var last time.Time
	for _, d := range counting {
		if s.successive == 0 || d.began.After(last) {
			s.successive++
			last = d.at
		}
	}
}

// lastCrash returns when the last of the deaths that count occurred.
func (s *suspectState) lastCrash() time.Time {
	var last time.Time
	for _, d := range s.deaths {
		if d.counts && d.at.After(last) {
			last = d.at
		}
	}
	return last
}

// Tracker tracks crashes and suspected requests. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*suspectState
	deaths   map[string]*Death
	// parts holds the prompt parts that were present at crashes, and partsAt the parts by crash.
	parts   map[uint64]*partState
	partsAt map[string][]uint64
	// known holds parts with which responses have begun, and knownRequests fingerprints that have completed.
	known         knownSet
	knownRequests knownSet
	// verdicts is replaced when the crashes of parts change.
	verdicts Verdicts
	// rejections holds whether fingerprints are rejected that are or were since TakeRejections, and reported those that
	// it has returned.
	rejections, reported map[uint64]bool
	// explainedDeaths holds the deaths for which Explain was called.
	explainedDeaths map[string]bool
	version         uint64
	// partVersion counts the changes of parts.
	partVersion uint64
	digest      uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: map[uint64]*suspectState{}, deaths: map[string]*Death{},
		parts: map[uint64]*partState{}, partsAt: map[string][]uint64{},
		rejections: map[uint64]bool{}, reported: map[uint64]bool{}, explainedDeaths: map[string]bool{},
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

// knownHash is the part of a known suspect in the digest.
func knownHash(fingerprint uint64) uint64 { return deathHash(^fingerprint, "", true) }

// explainedHash is the part of one explained death of a suspect in the digest.
func explainedHash(fingerprint uint64, deathID string) uint64 {
	return deathHash(^fingerprint, deathID, false)
}

// remove drops a fingerprint.
func (t *Tracker) remove(fingerprint uint64) {
	s := t.suspects[fingerprint]
	for id, d := range s.deaths {
		t.digest ^= deathHash(fingerprint, id, d.counts)
		if d.explained {
			t.digest ^= explainedHash(fingerprint, id)
		}
	}
	if s.known {
		t.digest ^= knownHash(fingerprint)
	}
	delete(t.suspects, fingerprint)
	t.noteRejection(fingerprint)
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

// CrashesLeft returns how many more crashes of a request lead to its rejection, 0 if it is rejected.
func (t *Tracker) CrashesLeft(fingerprint uint64, now time.Time) int {
	if s := t.suspects[fingerprint]; s != nil && now.Before(s.expires) {
		return s.left()
	}
	return CrashLimit
}

// Rejected reports whether requests with the fingerprint must be rejected.
func (t *Tracker) Rejected(fingerprint uint64, now time.Time) bool {
	return t.CrashesLeft(fingerprint, now) == 0
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
	for i, f := range d.Fingerprints {
		t.mergeDeath(f, d.ID, newRequestDeath(d.At, i, d.Runs, d.Flows), d.At.Add(crashTTL))
		if s := t.suspects[f]; s != nil && d.Zone != "" {
			s.zone = d.Zone
		}
	}
	t.correlate(known)
	t.enforceLimit()
	return !seen
}

// newRequestDeath returns the i-th death of a list.
func newRequestDeath(at time.Time, i int, runs, flows []time.Duration) requestDeath {
	d := requestDeath{counts: true, at: at, began: at}
	if i < len(runs) {
		d.began, d.flowed = at.Add(-runs[i]), runs[i]
	}
	if i < len(flows) {
		d.flowed = flows[i]
	}
	return d
}

// Explain records that targets without the requests on trial ended at the same moment as a target.
func (t *Tracker) Explain(deathID string) {
	d := t.deaths[deathID]
	if d == nil {
		return
	}
	t.explainedDeaths[deathID] = true
	for _, f := range d.Fingerprints {
		if s := t.suspects[f]; s != nil && s.deaths[deathID] != nil {
			t.explain(f, s, deathID)
		}
	}
}

func (t *Tracker) explain(fingerprint uint64, s *suspectState, deathID string) {
	d := s.deaths[deathID]
	if d.explained || !d.counts {
		return
	}
	d.explained = true
	t.digest ^= explainedHash(fingerprint, deathID)
	t.version++
	s.changed = t.version
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
				t.clearDeath(f, death.ID)
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
			t.clearDeath(f, d.ID)
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
	if completed {
		t.knownRequests.add(fingerprint)
	}
	s := t.suspects[fingerprint]
	if s != nil && completed {
		t.markKnownRequest(fingerprint, s)
	}
	if s == nil || s.crashes == 0 {
		return false
	}
	if !completed && run <= s.longestCrashedRun+clearMargin {
		return false
	}
	for id := range s.deaths {
		t.clearDeath(fingerprint, id)
	}
	return true
}

func (t *Tracker) markKnownRequest(fingerprint uint64, s *suspectState) {
	if !s.known {
		s.known = true
		t.digest ^= knownHash(fingerprint)
		t.version++
		s.changed = t.version
		t.noteRejection(fingerprint)
	}
}

// clearDeath records that a death does not count against a fingerprint.
func (t *Tracker) clearDeath(fingerprint uint64, deathID string) {
	t.mergeDeath(fingerprint, deathID, requestDeath{}, time.Time{})
}

// mergeDeath records a death of a target on which a request ran. Once it does not count against the request, later
// calls do not change that.
func (t *Tracker) mergeDeath(fingerprint uint64, deathID string, death requestDeath, expires time.Time) {
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspectState{deaths: map[string]*requestDeath{}}
		t.suspects[fingerprint] = s
		t.version++
		if t.knownRequests.has(fingerprint) {
			t.markKnownRequest(fingerprint, s)
		}
	}
	if expires.After(s.expires) {
		s.expires = expires
		t.version++
	}
	d, known := s.deaths[deathID]
	if known && death.counts && d.counts && d.mergeTimes(death) {
		s.countSuccessive()
		t.noteRejection(fingerprint)
	}
	if known && (d.counts == death.counts || !d.counts) {
		return
	}
	if known {
		t.digest ^= deathHash(fingerprint, deathID, d.counts)
		if d.explained {
			t.digest ^= explainedHash(fingerprint, deathID)
		}
		d.counts, d.explained = death.counts, false
	} else {
		s.deaths[deathID] = &death
	}
	t.digest ^= deathHash(fingerprint, deathID, death.counts)
	t.version++
	s.changed = t.version
	if death.counts {
		s.crashes++
	} else if known {
		s.crashes--
	}
	s.countSuccessive()
	t.noteRejection(fingerprint)
}

// mergeTimes keeps the earlier times of two reports of one death. It reports whether they changed.
func (d *requestDeath) mergeTimes(other requestDeath) bool {
	before := *d
	if other.at.Before(d.at) {
		d.at = other.at
	}
	if other.began.Before(d.began) {
		d.began = other.began
	}
	d.flowed = max(d.flowed, other.flowed)
	return *d != before
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
			t.dropDeath(id)
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
		r := Record{Fingerprint: f, Expires: s.expires, Known: s.known}
		for id, d := range s.deaths {
			if d.counts {
				r.Deaths = append(r.Deaths, id)
			} else {
				r.Cleared = append(r.Cleared, id)
			}
		}
		sort.Strings(r.Deaths)
		sort.Strings(r.Cleared)
		for _, id := range r.Deaths {
			d := s.deaths[id]
			r.At, r.Runs, r.Flows = append(r.At, d.at), append(r.Runs, d.at.Sub(d.began)), append(r.Flows, d.flowed)
			if d.explained {
				r.Explained = append(r.Explained, id)
			}
		}
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
		for i, id := range r.Deaths {
			t.mergeDeath(r.Fingerprint, id, r.death(i, now, expires), expires)
		}
		for _, id := range r.Cleared {
			t.mergeDeath(r.Fingerprint, id, requestDeath{}, expires)
		}
		for _, id := range r.Explained {
			if s := t.suspects[r.Fingerprint]; s != nil && s.deaths[id] != nil {
				t.explain(r.Fingerprint, s, id)
			}
		}
		if r.Known {
			t.knownRequests.add(r.Fingerprint)
			if s := t.suspects[r.Fingerprint]; s != nil {
				t.markKnownRequest(r.Fingerprint, s)
			}
		}
	}
	t.enforceLimit()
}

// death returns one of the record's Deaths. Without its time, it counts as the latest one of the record.
func (r *Record) death(i int, now, expires time.Time) requestDeath {
	at := expires.Add(-crashTTL)
	if i < len(r.At) {
		at = r.At[i]
	}
	if at.After(now) {
		at = now
	}
	return newRequestDeath(at, i, r.Runs, r.Flows)
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
		t.dropDeath(id)
	}
}

func (t *Tracker) dropDeath(id string) {
	delete(t.deaths, id)
	delete(t.explainedDeaths, id)
}
