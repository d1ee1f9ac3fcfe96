package suspect

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxLateCrashes is the number of late crashes after which a rejected request is not tried again. The users permit
	// three retries later than contactTime after CrashLimit crashes.
	maxLateCrashes = 3
	// contactTime is the users' contactMs.
	contactTime = 3 * time.Second
)

// A rejected request is tried again, since it may be rejected by mistake and only its completion shows that.
// requestTrials holds the times to the next trial after the last crash or trial, by the number of late crashes. If something else may explain the crashes, the first trial comes after doubtedTrial instead, when
// targets that ended for a moment are back.
var requestTrials = []time.Duration{6 * time.Second, 30 * time.Second, 90 * time.Second}

const doubtedTrial = 2 * time.Second

// Request identifies a request in a tracker.
type Request struct {
	// Content identifies the request without the parts of its prompt that are known apart from it. It is the same when
	// the request comes again with another prompt.
	Content uint64
	// Whole identifies the request with its prompt. It is Content if there is none.
	Whole uint64
}

// Identities returns the fingerprints to which a crash of a request's target is charged. Either the content or the
// prompt may crash targets.
func (r Request) Identities() []uint64 {
	if r.Whole == r.Content {
		return []uint64{r.Content}
	}
	return []uint64{r.Content, r.Whole}
}

// Rejects reports whether a request must be rejected.
func (t *Tracker) Rejects(r Request, now time.Time) bool {
	return t.Rejected(r.Content, now) || t.Rejected(r.Whole, now)
}

// Completed records that a request has completed, which clears it of the crashes so far.
func (t *Tracker) Completed(r Request, took time.Duration) {
	t.ClearIfSafe(r.Content, took, true)
	if r.Whole != r.Content {
		t.ClearIfSafe(r.Whole, took, true)
	}
}

// RequestTrialDue reports whether TakeRequestTrial would permit a trial by a request with the given prompt parts.
func (t *Tracker) RequestTrialDue(r Request, parts []uint64, now time.Time) bool {
	waited := time.Duration(math.MaxInt64)
	for _, id := range []uint64{r.Content, r.Whole} {
		if !t.Rejected(id, now) {
			continue
		}
		since, due := t.trialDue(t.suspects[id], now)
		if !due {
			return false
		}
		waited = min(waited, since)
	}
	if !t.mostSuspect(r.Content, parts) {
		return true
	}
	// The time counts from the first such request, since the owner may have been away or without targets when the
	// trial was due.
	s := t.suspects[r.Content]
	if s.heldSince.IsZero() || s.heldSince.Before(now.Add(-waited)) {
		s.heldSince = now
	}
	return now.Sub(s.heldSince) >= trialPatience
}

// TakeRequestTrial reports whether a rejected request may be sent to find out whether it still crashes targets. Of all
// trackers, only one must be asked, so that the number of trials is bounded for all. If a part of the prompts may
// explain the crashes, the request with the parts that were present at most of them makes the trial only if no other
// one comes within trialPatience: a trial that ends in a crash puts off the next one by requestTrials.
func (t *Tracker) TakeRequestTrial(r Request, parts []uint64, now time.Time) bool {
	if !t.RequestTrialDue(r, parts, now) {
		return false
	}
	for _, id := range []uint64{r.Content, r.Whole} {
		if s := t.suspects[id]; s != nil {
			s.triedAt, s.heldSince = now, time.Time{}
		}
	}
	return true
}

// mostSuspect reports whether each of the prompt parts was present at crashes that count against a content, and no other
// set of as many parts at more of them.
func (t *Tracker) mostSuspect(content uint64, parts []uint64) bool {
	s := t.suspects[content]
	if s == nil || len(parts) == 0 {
		return false
	}
	present := map[uint64]int{}
	for id, d := range s.deaths {
		if !d.counts {
			continue
		}
		for _, part := range t.partsAt[id] {
			present[part]++
		}
	}
	own := 0
	for _, part := range parts {
		if present[part] == 0 {
			return false
		}
		own += present[part]
	}
	counts := slices.SortedFunc(maps.Values(present), func(a, b int) int { return cmp.Compare(b, a) })
	most := 0
	for _, n := range counts[:min(len(parts), len(counts))] {
		most += n
	}
	return own >= most
}

// ReturnRequestTrial undoes TakeRequestTrial for a request that has reached no target.
func (t *Tracker) ReturnRequestTrial(r Request) {
	for _, id := range []uint64{r.Content, r.Whole} {
		if s := t.suspects[id]; s != nil {
			s.triedAt = time.Time{}
		}
	}
}

// isKnown reports whether a request with the fingerprint has completed, as far as is remembered.
func (t *Tracker) isKnown(fingerprint uint64) bool {
	s := t.suspects[fingerprint]
	return s != nil && s.known || t.knownRequests.has(fingerprint)
}

// trialDue reports whether a rejected request is to be tried again, and for how long it has been.
func (t *Tracker) trialDue(s *suspectState, now time.Time) (time.Duration, bool) {
	late := s.lateCrashes()
	if late >= maxLateCrashes {
		return 0, false
	}
	since := s.lastCrash()
	if s.triedAt.After(since) {
		since = s.triedAt
	}
	delay := requestTrials[late]
	if late == 0 && t.doubts(s) {
		delay = doubtedTrial
	}
	waited := now.Sub(since) - delay
	return waited, waited >= 0
}

// doubts reports whether something else may explain the crashes of a rejected request: chance, or a part of the prompts
// that came with it.
func (t *Tracker) doubts(s *suspectState) bool {
	if s.known || s.successive < CrashLimit {
		return true
	}
	for id, d := range s.deaths {
		if d.counts && len(t.partsAt[id]) > 0 {
			return true
		}
	}
	return false
}

// lateCrashes returns how many crashes count against the request that came later than contactTime after CrashLimit of
// them: until then, gateways may not know of each other's. All trackers agree on it, also after a restart.
func (s *suspectState) lateCrashes() (late int) {
	var times []time.Time
	for _, d := range s.deaths {
		if d.counts {
			times = append(times, d.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times[min(CrashLimit, len(times)):] {
		if at.Sub(times[CrashLimit-1]) > contactTime {
			late++
		}
	}
	return late
}
