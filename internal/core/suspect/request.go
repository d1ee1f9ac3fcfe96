package suspect

import (
	"cmp"
	"slices"
	"time"
)

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
	for _, id := range r.Identities() {
		t.ClearIfSafe(id, took, true)
	}
}

// flowMargin is how long the response to a request must have gone on since its first event to show that the request
// does not crash targets as they begin to run it.
const flowMargin = 500 * time.Millisecond

// Flowed records that the response to a request has gone on for some time since its first event. It clears the request
// of the crashes that came clearly earlier in a response.
func (t *Tracker) Flowed(r Request, flowed time.Duration) {
	for _, id := range r.Identities() {
		t.clearOutlived(id, flowed)
	}
}

// clearOutlived clears a fingerprint of the crashes that a response to it has outlived. If none is left, the fingerprint
// is known to be harmless.
func (t *Tracker) clearOutlived(fingerprint uint64, flowed time.Duration) {
	s := t.suspects[fingerprint]
	if s != nil {
		for id, d := range s.deaths {
			if d.counts && flowed >= flowMargin+d.flowed*3/2 {
				t.clearDeath(fingerprint, id)
			}
		}
	}
	if flowed < flowMargin || s != nil && s.crashes > 0 {
		return
	}
	t.knownRequests.add(fingerprint)
	if s != nil {
		t.markKnownRequest(fingerprint, s)
	}
}

// isKnown reports whether the response to a request with the fingerprint has gone on or completed, as far as is
// remembered.
func (t *Tracker) isKnown(fingerprint uint64) bool {
	s := t.suspects[fingerprint]
	return s != nil && s.known || t.knownRequests.has(fingerprint)
}

// noteRejection records for TakeRejections that the rejection of a fingerprint may have changed.
func (t *Tracker) noteRejection(fingerprint uint64) {
	s := t.suspects[fingerprint]
	switch {
	case s != nil && s.left() == 0:
		t.rejections[fingerprint] = true
	case t.reported[fingerprint]:
		t.rejections[fingerprint] = false
	default:
		delete(t.rejections, fingerprint)
	}
}

// TakeRejections returns the fingerprints that are rejected since the last call and those that are no longer, in
// ascending order.
func (t *Tracker) TakeRejections() (rejected, lifted []uint64) {
	for f, is := range t.rejections {
		switch {
		case is && !t.reported[f]:
			t.reported[f] = true
			rejected = append(rejected, f)
		case !is:
			lifted = append(lifted, f)
			delete(t.reported, f)
			delete(t.rejections, f)
		}
	}
	slices.Sort(rejected)
	slices.Sort(lifted)
	return rejected, lifted
}

// Crash is a crash of a target on which a request ran, as it is judged.
type Crash struct {
	Death     string
	At        time.Time
	Run, Flow time.Duration
	// Counts is set while the crash counts against the request, Late if it came later than it may without a trial, and
	// Explained if targets without the request ended at the same moment.
	Counts, Late, Explained bool
	// Parts holds the prompt parts that may have caused the crash.
	Parts []uint64
}

// CrashesOf returns the crashes of a fingerprint in their order.
func (t *Tracker) CrashesOf(fingerprint uint64) []Crash {
	s := t.suspects[fingerprint]
	if s == nil {
		return nil
	}
	late := s.lateDeaths()
	list := make([]Crash, 0, len(s.deaths))
	for id, d := range s.deaths {
		list = append(list, Crash{
			Death: id, At: d.at, Run: d.at.Sub(d.began), Flow: d.flowed, Counts: d.counts, Late: slices.Contains(late, id),
			Explained: d.explained, Parts: slices.Clone(t.partsAt[id]),
		})
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Death, b.Death)) })
	return list
}
