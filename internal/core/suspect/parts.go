package suspect

import (
	"cmp"
	"slices"
	"time"
)

// A part of a prompt that many requests share may crash each target that begins to answer one of them.
// No such request need come twice, so that crashes are also counted by part. A part is condemned on the
// crashes of several requests; what exonerates it is a response to a request with it that began and went
// on. Of the parts that were present at a crash, the one with most weight explains it, and the crash does
// not count against the others: nearly all requests may share a part that is harmless.

const (
	// newPartLimit is the number of crashes at which a part is condemned that no response has begun with yet.
	// For others it is knownLimit.
	newPartLimit = CrashLimit
	// crashesPerRequest is how many crashes of one request count against a part of it. A request that
	// crashes targets by what only itself contains is rejected after CrashLimit of them.
	crashesPerRequest = 2
	// partCrashSpacing is the least time between two crashes that count against a part, unless the
	// later request was sent after the earlier crash. Targets that end at once may have a common cause,
	// such as their power.
	partCrashSpacing = 400 * time.Millisecond
	// knownPartDiscount divides the weight of a part with which responses have begun.
	knownPartDiscount = 4
	// maxParts bounds the parts with crashes, maxPartCrashes the crashes of one and maxCrashRequests the
	// requests of one crash: at most 1 MB, and 10 ms to judge all parts after a crash. An engine with ten
	// streams adds some 20 parts when it ends.
	maxParts         = 400
	maxPartCrashes   = 12
	maxCrashRequests = 8
)

// PartCrash is one crash that counts against a part.
type PartCrash struct {
	Death string
	At    time.Time
	// Run is how long the request that was sent last had been at the target.
	Run time.Duration
	// Requests holds the fingerprints of the requests with the part that may have caused the crash.
	Requests []uint64
	// Cleared is set if a response to a request with the part has begun since.
	Cleared bool
	// Proven is set if the part alone was condemned by the crash. It counts until it is cleared, whatever explains
	// it better later on: another crashing part may have been present.
	Proven bool
}

// PartRecord is the mergeable state of one part.
type PartRecord struct {
	Part    uint64
	Crashes []PartCrash
	// Known is set if a response to a request with the part has ever begun.
	Known bool
}

// Candidate is a request that may have caused a crash.
type Candidate struct {
	// Request identifies the request. Only a few crashes of one count against a part, because it may crash targets by
	// what only itself contains.
	Request
	Parts []uint64
	// Run is how long the request had been at the target.
	Run time.Duration
}

// Verdict is why requests with a part are rejected.
type Verdict struct {
	// Parts holds the parts that were present at the same crashes: a request is rejected if it has all.
	Parts []uint64
	// Crashes is the number of crashes, Requests that of the requests that may have caused them.
	Crashes, Requests int
	// Since is the time of the crash that led to the verdict.
	Since time.Time
	Known bool
}

type partCrash struct {
	at       time.Time
	run      time.Duration
	requests []uint64
	cleared  bool
	proven   bool
}

type partState struct {
	crashes map[string]*partCrash
	known   bool
	changed uint64
	// active is the number of crashes that are not cleared.
	active int
	// credited is the number of them with at most crashesPerRequest of each request, as of the last judgment.
	credited    int
	verdict     *Verdict
	condemnedAt time.Time
	// tried is the number of trials whose time has come and that were made, here or elsewhere. firstTriedAt and triedAt
	// are when this tracker made the first and the last one, and triedSoon is set if it made one before its time.
	tried                 int
	firstTriedAt, triedAt time.Time
	triedSoon             bool
	choice                trialChoice
}

// expires returns when the crashes stop to count, measured from the latest of them.
func (s *partState) expires() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last.Add(crashTTL)
}

// weight is how well the part explains the crashes that it was present at.
func (s *partState) weight() int {
	if s.known {
		return s.credited
	}
	return s.credited * knownPartDiscount
}

// knownSet remembers the identities of what is known to be harmless, the most recent ones at least.
type knownSet struct{ recent, older map[uint64]struct{} }

// maxKnown is the number of identities after which the older half is forgotten, about 100 KB.
const maxKnown = 4000

func (k *knownSet) add(id uint64) {
	if len(k.recent) >= maxKnown/2 || k.recent == nil {
		k.recent, k.older = map[uint64]struct{}{}, k.recent
	}
	k.recent[id] = struct{}{}
}

func (k *knownSet) has(id uint64) bool {
	_, recent := k.recent[id]
	_, older := k.older[id]
	return recent || older
}

// ReportPartCrash counts a crash against the parts of the requests that may have caused it. The first
// report of a crash counts.
func (t *Tracker) ReportPartCrash(death string, at time.Time, candidates []Candidate, now time.Time) {
	if at.After(now) {
		at = now
	}
	if now.Sub(at) >= crashTTL {
		return
	}
	for _, c := range candidates {
		for _, part := range c.Parts {
			t.mergePartCrash(part, &PartCrash{Death: death, At: at, Run: c.Run, Requests: []uint64{c.Whole}})
		}
		if d := t.deaths[death]; d != nil {
			d.contents = append(d.contents, c.Content)
		}
	}
	t.judge(now)
}

// PartsBegun records that the response to a request with the parts has begun and gone on. It clears
// them of the crashes so far.
func (t *Tracker) PartsBegun(parts []uint64, now time.Time) {
	cleared := false
	for _, part := range parts {
		t.known.add(part)
		s := t.parts[part]
		if s == nil {
			continue
		}
		t.markKnown(part, s)
		for death, c := range s.crashes {
			if !c.cleared {
				t.clearPartCrash(part, s, death, c)
				cleared = true
			}
		}
	}
	if cleared {
		t.judge(now)
	}
}

// CondemnedParts returns the verdict by which a request with the parts is rejected, nil for none.
func (t *Tracker) CondemnedParts(parts []uint64) *Verdict {
	return t.verdicts.Rejects(parts)
}

// Verdicts holds the verdicts by part. It is immutable.
type Verdicts map[uint64]*Verdict

// Rejects returns the verdict by which a request with the parts is rejected, nil for none.
func (v Verdicts) Rejects(parts []uint64) *Verdict {
	for _, part := range parts {
		if verdict := v[part]; verdict != nil && containsAll(parts, verdict.Parts) {
			return verdict
		}
	}
	return nil
}

// Verdicts returns the verdicts in force.
func (t *Tracker) Verdicts() Verdicts { return t.verdicts }

func containsAll(list, wanted []uint64) bool {
	for _, w := range wanted {
		if !slices.Contains(list, w) {
			return false
		}
	}
	return true
}

// PartVersion returns a number that changes whenever the exported state of the parts changes.
func (t *Tracker) PartVersion() uint64 { return t.partVersion }

// PartChanges returns the parts whose crashes changed after a version of the tracker.
func (t *Tracker) PartChanges(since uint64) []PartRecord {
	if since >= t.version {
		return nil
	}
	var records []PartRecord
	for part, s := range t.parts {
		if s.changed > since {
			records = append(records, exportPart(part, s))
		}
	}
	return sortedParts(records)
}

// CondemnedRecords returns the records of the condemned parts and of the requests that are rejected.
func (t *Tracker) CondemnedRecords(now time.Time) ([]PartRecord, []Record) {
	var parts []PartRecord
	for part, s := range t.parts {
		if s.verdict != nil {
			parts = append(parts, exportPart(part, s))
		}
	}
	var requests []Record
	for _, r := range t.Export(now) {
		if t.Rejected(r.Fingerprint, now) {
			requests = append(requests, r)
		}
	}
	return sortedParts(parts), requests
}

func exportPart(part uint64, s *partState) PartRecord {
	r := PartRecord{Part: part, Known: s.known}
	for death, c := range s.crashes {
		r.Crashes = append(r.Crashes, PartCrash{Death: death, At: c.at, Run: c.run, Requests: slices.Clone(c.requests), Cleared: c.cleared, Proven: c.proven})
	}
	slices.SortFunc(r.Crashes, func(a, b PartCrash) int { return cmp.Compare(a.Death, b.Death) })
	return r
}

func sortedParts(records []PartRecord) []PartRecord {
	slices.SortFunc(records, func(a, b PartRecord) int { return cmp.Compare(a.Part, b.Part) })
	return records
}

// MergeParts merges the records of another tracker. The result does not depend on the order or number
// of merges, as long as no bound is reached.
func (t *Tracker) MergeParts(records []PartRecord, now time.Time) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		if !slices.ContainsFunc(r.Crashes, func(c PartCrash) bool { return now.Sub(c.At) < crashTTL }) {
			continue
		}
		for _, c := range r.Crashes {
			if c.At.After(now) {
				c.At = now
			}
			t.mergePartCrash(r.Part, &c)
		}
		if s := t.parts[r.Part]; s != nil && r.Known {
			t.markKnown(r.Part, s)
		}
	}
	t.judge(now)
}

// The digest combines one hash for each fact of a part: that it is known, each request of each crash, and
// that a crash is cleared or proven.
const (
	factKnown = iota + 1
	factRequest
	factCleared
	factProven
)

func partFact(part uint64, fact int, death string, request uint64) uint64 {
	return deathHash(part^uint64(fact)<<56, death, false) ^ deathHash(request, death, true)*uint64(fact)
}

func (t *Tracker) changePart(s *partState, fact uint64) {
	t.digest ^= fact
	t.version++
	t.partVersion++
	s.changed = t.version
}

func (t *Tracker) markKnown(part uint64, s *partState) {
	if !s.known {
		s.known = true
		t.changePart(s, partFact(part, factKnown, "", 0))
	}
}

func (t *Tracker) clearPartCrash(part uint64, s *partState, death string, c *partCrash) {
	c.cleared = true
	s.active--
	t.changePart(s, partFact(part, factCleared, death, 0))
}

func (t *Tracker) mergePartCrash(part uint64, m *PartCrash) {
	s := t.parts[part]
	if s == nil {
		if len(t.parts) >= maxParts {
			t.evictParts()
		}
		s = &partState{crashes: map[string]*partCrash{}}
		t.parts[part] = s
		if t.known.has(part) {
			t.markKnown(part, s)
		}
	}
	c := s.crashes[m.Death]
	if c == nil {
		if len(s.crashes) >= maxPartCrashes && !t.makeRoom(part, s, m.At) {
			return
		}
		c = &partCrash{at: m.At, run: m.Run}
		s.crashes[m.Death] = c
		s.active++
		t.partsAt[m.Death] = append(t.partsAt[m.Death], part)
	}
	if m.At.Before(c.at) {
		c.at = m.At
	}
	c.run = min(c.run, m.Run)
	for _, request := range m.Requests {
		if len(c.requests) < maxCrashRequests && !slices.Contains(c.requests, request) {
			c.requests = append(c.requests, request)
			t.changePart(s, partFact(part, factRequest, m.Death, request))
		}
	}
	if m.Cleared && !c.cleared {
		t.clearPartCrash(part, s, m.Death, c)
	}
	if m.Proven {
		t.prove(part, s, m.Death, c)
	}
}

func (t *Tracker) prove(part uint64, s *partState, death string, c *partCrash) {
	if !c.proven {
		c.proven = true
		t.changePart(s, partFact(part, factProven, death, 0))
	}
}

// makeRoom removes the oldest crash of a part. It reports false if that is newer than the given time.
func (t *Tracker) makeRoom(part uint64, s *partState, at time.Time) bool {
	oldest := ""
	for death, c := range s.crashes {
		if oldest == "" || c.at.Before(s.crashes[oldest].at) {
			oldest = death
		}
	}
	if s.crashes[oldest].at.After(at) {
		return false
	}
	t.removePartCrash(part, s, oldest)
	return true
}

func (t *Tracker) removePartCrash(part uint64, s *partState, death string) {
	c := s.crashes[death]
	delete(s.crashes, death)
	for _, request := range c.requests {
		t.digest ^= partFact(part, factRequest, death, request)
	}
	if c.cleared {
		t.digest ^= partFact(part, factCleared, death, 0)
	} else {
		s.active--
	}
	if c.proven {
		t.digest ^= partFact(part, factProven, death, 0)
	}
	t.version++
	t.partVersion++
	list := t.partsAt[death]
	if i := slices.Index(list, part); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if t.partsAt[death] = list; len(list) == 0 {
		delete(t.partsAt, death)
	}
}

func (t *Tracker) removePart(part uint64) {
	s := t.parts[part]
	for death := range s.crashes {
		t.removePartCrash(part, s, death)
	}
	if s.known {
		t.digest ^= partFact(part, factKnown, "", 0)
	}
	delete(t.parts, part)
}

// evictParts removes the parts with the fewest crashes, among these those that expire first.
func (t *Tracker) evictParts() {
	type evictable struct {
		part    uint64
		active  int
		expires time.Time
	}
	list := make([]evictable, 0, len(t.parts))
	for part, s := range t.parts {
		list = append(list, evictable{part, s.active, s.expires()})
	}
	slices.SortFunc(list, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.active, b.active), a.expires.Compare(b.expires), cmp.Compare(a.part, b.part))
	})
	for _, e := range list[:min(len(list), maxParts/evictFraction)] {
		t.removePart(e.part)
	}
}

// evictFraction is the part of the records, as 1/n, that are evicted at once.
const evictFraction = 20

// expireParts removes the parts that have expired.
func (t *Tracker) expireParts(now time.Time) {
	expired := false
	for part, s := range t.parts {
		if !now.Before(s.expires()) {
			t.removePart(part)
			expired = true
		}
	}
	if expired {
		t.judge(now)
	}
}

// judge decides which parts are condemned. It is called after each change of their crashes.
func (t *Tracker) judge(now time.Time) {
	t.verdicts = Verdicts{}
	for _, s := range t.parts {
		s.credited = t.creditedCrashes(s)
	}
	for part, s := range t.parts {
		v := t.judgePart(part, s)
		if v != nil && s.verdict == nil {
			s.condemnedAt, s.firstTriedAt, s.triedAt, s.triedSoon, s.choice = v.Since, time.Time{}, time.Time{}, false, trialChoice{}
			// The tracker that had to make the trials may be gone. Those that it made and lost are known by their crashes.
			s.tried = min(s.trialsDue(now), s.lostTrials())
		}
		if s.verdict = v; v != nil {
			t.verdicts[part] = v
		}
	}
	for _, s := range t.parts {
		if s.verdict != nil && len(s.verdict.Parts) == 1 {
			t.discountExplained(s)
		}
	}
}

// judgePart returns the verdict on a part, nil if it is not condemned.
func (t *Tracker) judgePart(part uint64, s *partState) *Verdict {
	limit := newPartLimit
	if s.known {
		limit = knownLimit
	}
	if s.active < limit {
		return nil
	}
	type crash struct {
		death string
		*partCrash
	}
	var list []crash
	for death, c := range s.crashes {
		if !c.cleared && (c.proven || !t.explainedElsewhere(part, s, death, c)) {
			list = append(list, crash{death, c})
		}
	}
	slices.SortFunc(list, func(a, b crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.death, b.death)) })
	var counted []crash
	credit := map[uint64]int{}
	var last time.Time
	for _, c := range list {
		request := t.likeliest(c.requests)
		sentAfter := c.at.Add(-c.run).After(last)
		apart := len(counted) == 0 || sentAfter || c.at.Sub(last) >= partCrashSpacing
		if !c.proven && (!apart || credit[request] >= crashesPerRequest) {
			continue
		}
		credit[request]++
		counted = append(counted, c)
		last = c.at
	}
	if len(counted) < limit {
		return nil
	}
	together := t.indistinguishable(part, s)
	if len(together) == 1 {
		for _, c := range counted {
			t.prove(part, s, c.death, c.partCrash)
		}
	}
	return &Verdict{Parts: together, Crashes: len(list), Requests: len(credit), Since: counted[limit-1].at, Known: s.known}
}

// creditedCrashes returns the number of crashes of a part with at most crashesPerRequest of each request.
func (t *Tracker) creditedCrashes(s *partState) (n int) {
	if s.active == 1 {
		return 1
	}
	credit := map[uint64]int{}
	for _, c := range s.crashes {
		if c.cleared {
			continue
		}
		if request := t.likeliest(c.requests); credit[request] < crashesPerRequest {
			credit[request]++
			n++
		}
	}
	return n
}

// explainedElsewhere reports whether a crash that a part was present at is better explained by another
// part, or by a request without the part that has crashed more targets than the part.
func (t *Tracker) explainedElsewhere(part uint64, s *partState, death string, c *partCrash) bool {
	for _, other := range t.partsAt[death] {
		o := t.parts[other]
		if other == part || o.crashes[death].cleared {
			continue
		}
		if o.weight() > s.weight() {
			return true
		}
		for _, request := range o.crashes[death].requests {
			if !slices.Contains(c.requests, request) && t.crashesOf(request) > s.active {
				return true
			}
		}
	}
	return false
}

// crashesOf returns the number of crashes that count against a request.
func (t *Tracker) crashesOf(request uint64) int {
	if s := t.suspects[request]; s != nil {
		return s.crashes
	}
	return 0
}

// likeliest returns the request with the most crashes, the lowest of several.
func (t *Tracker) likeliest(requests []uint64) uint64 {
	return slices.MaxFunc(requests, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.crashesOf(a), t.crashesOf(b)), cmp.Compare(b, a))
	})
}

// indistinguishable returns the parts that were present at the same crashes as a part that is as well
// known, including it, sorted.
func (t *Tracker) indistinguishable(part uint64, s *partState) []uint64 {
	parts := []uint64{part}
	for death, c := range s.crashes {
		if c.cleared {
			continue
		}
		for _, other := range t.partsAt[death] {
			if o := t.parts[other]; other != part && o.active == s.active && o.known == s.known && sameCrashes(s, o) {
				parts = append(parts, other)
			}
		}
		// The others were present at each of the crashes.
		break
	}
	slices.Sort(parts)
	return parts
}

func sameCrashes(a, b *partState) bool {
	for death, c := range a.crashes {
		if other := b.crashes[death]; !c.cleared && (other == nil || other.cleared) {
			return false
		}
	}
	return true
}

// discountExplained clears the requests that ran beside those with a condemned part of the crashes that
// the part explains, and what these have in common with others if that is known to be harmless.
func (t *Tracker) discountExplained(s *partState) {
	for id, c := range s.crashes {
		d := t.deaths[id]
		if d == nil || c.cleared {
			continue
		}
		for _, f := range d.Fingerprints {
			if !slices.Contains(c.requests, f) && (t.isKnown(f) || !slices.Contains(d.contents, f)) {
				t.clearDeath(f, id)
			}
		}
	}
}
