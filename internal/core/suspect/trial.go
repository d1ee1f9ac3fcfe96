package suspect

import (
	"math"
	"slices"
	"time"
)

// A rejected request and a condemned part are tried again with single requests, since they may be rejected by mistake
// and a refused request says nothing. The users permit a few such requests for one that does crash targets. What a trial
// shows:
//
//   - Its response begins and goes on: the crashes before it in a response had another cause.
//   - Its target ends, and targets without it end at the same moment: nothing. The next trial follows soon.
//   - Its target ends, and its prompt had parts that may be the cause: little. The next trial follows soon, with other
//     parts, but only once.
//   - Its target ends, and there is no other explanation: the request may be the cause. The next trial follows late.

const (
	// maxLateCrashes is the number of late crashes without another explanation after which a rejected request is not
	// tried again. The users permit three retries later than contactTime after CrashLimit crashes.
	maxLateCrashes = 3
	// contactTime is the users' contactMs.
	contactTime = 3 * time.Second
	// soonTrialDelay is the time to a trial if the crash before it may have another explanation. Targets that ended for a
	// moment are back then.
	soonTrialDelay = 2 * time.Second
	// trialPatience is how long a due trial waits for a less suspect request. It is short compared with soonTrialDelay.
	trialPatience = 500 * time.Millisecond
	// partTrialInterval is the time between the trials of a part after the last of partTrials. It is shorter than
	// crashTTL: as long as such requests come, the verdict stands.
	partTrialInterval = 9 * time.Minute
)

// requestTrials holds the times to the next trial of a request after the last crash or trial, by the number of late
// crashes without another explanation.
var requestTrials = []time.Duration{6 * time.Second, 30 * time.Second, 90 * time.Second}

// partTrials holds the times from the verdict on a part to its trials. The first one comes within the time in which a
// verdict must spread.
var partTrials = []time.Duration{2 * time.Second, 6 * time.Second, 90 * time.Second, 6 * time.Minute}

// trialChoice chooses the request that makes a due trial: the least suspect one of those that come within trialPatience.
type trialChoice struct {
	// heldSince is when a request was first held back, zero for never, and least the least suspicion since.
	heldSince time.Time
	least     int
}

// admits reports whether a request makes the trial, which has been due for the time overdue. immediately is set if the
// request need not be compared with others.
func (c *trialChoice) admits(suspicion int, immediately bool, overdue time.Duration, now time.Time) bool {
	if immediately {
		return true
	}
	// The time counts from the first such request, since the owner may have been away or without targets when the trial
	// was due.
	if c.heldSince.IsZero() || c.heldSince.Before(now.Add(-overdue)) {
		c.heldSince, c.least = now, suspicion
	}
	c.least = min(c.least, suspicion)
	held := now.Sub(c.heldSince)
	return held >= 2*trialPatience || held >= trialPatience && suspicion <= c.least
}

// RequestTrialDue reports whether TakeRequestTrial would permit a trial by a request with the given prompt parts.
func (t *Tracker) RequestTrialDue(r Request, parts []uint64, now time.Time) bool {
	overdue := time.Duration(math.MaxInt64)
	for _, id := range r.Identities() {
		if !t.Rejected(id, now) {
			continue
		}
		waited, due := t.trialDue(t.suspects[id], now)
		if !due {
			return false
		}
		overdue = min(overdue, waited)
	}
	s := t.suspects[r.Content]
	if s == nil || len(parts) == 0 {
		return true
	}
	suspicion, immediately := t.suspicion(s, parts)
	return s.choice.admits(suspicion, immediately, overdue, now)
}

// TakeRequestTrial reports whether a rejected request may be sent to find out whether it still crashes targets. Of all
// trackers, only one must be asked, so that the number of trials is bounded for all.
func (t *Tracker) TakeRequestTrial(r Request, parts []uint64, now time.Time) bool {
	if !t.RequestTrialDue(r, parts, now) {
		return false
	}
	for _, id := range r.Identities() {
		if s := t.suspects[id]; s != nil {
			s.triedAt, s.choice = now, trialChoice{}
		}
	}
	return true
}

// ReturnRequestTrial undoes TakeRequestTrial for a request that has reached no target.
func (t *Tracker) ReturnRequestTrial(r Request) {
	for _, id := range r.Identities() {
		if s := t.suspects[id]; s != nil {
			s.triedAt = time.Time{}
		}
	}
}

// lateWeight makes a crash of a trial weigh more than all crashes before.
const lateWeight = 100

// suspicion returns how likely the prompt parts of a request with a rejected content are to be the cause of its crashes.
// immediately is set if the request need not be compared with others: none of its parts is suspect, or one that may be
// part of all requests.
func (t *Tracker) suspicion(s *suspectState, parts []uint64) (suspicion int, immediately bool) {
	present := map[uint64]int{}
	late, anyKnown := s.lateDeaths(), false
	for id, d := range s.deaths {
		if !d.counts {
			continue
		}
		weight := 1
		if slices.Contains(late, id) {
			weight = lateWeight
		}
		for _, part := range t.partsAt[id] {
			present[part] += weight
			anyKnown = anyKnown || t.isKnownPart(part)
		}
	}
	suspects := 0
	for _, part := range parts {
		if present[part] > 0 && !t.isKnownPart(part) {
			suspects++
			suspicion += present[part]
		}
	}
	return suspicion, suspects == 0 || suspects == 1 && !anyKnown && suspicion < lateWeight
}

// trialDue reports whether a rejected request is to be tried again, and for how long it has been.
func (t *Tracker) trialDue(s *suspectState, now time.Time) (time.Duration, bool) {
	late := s.lateDeaths()
	unexplained := 0
	for _, id := range late {
		if !s.deaths[id].explained {
			unexplained++
		}
	}
	if unexplained >= maxLateCrashes {
		return 0, false
	}
	since := s.lastCrash()
	if s.triedAt.After(since) {
		since = s.triedAt
	}
	delay := requestTrials[unexplained]
	if len(late) == 0 && t.doubts(s) || len(late) > 0 && t.explainsTrial(s, late[len(late)-1], unexplained) {
		delay = soonTrialDelay
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

// explainsTrial reports whether something else may explain the late crash of a rejected request: the end of other
// targets, or, for the first such crash, a prompt part that was present.
func (t *Tracker) explainsTrial(s *suspectState, death string, unexplained int) bool {
	return s.deaths[death].explained || unexplained == 1 && slices.ContainsFunc(t.partsAt[death], func(part uint64) bool { return !t.isKnownPart(part) })
}

// lateDeaths returns the deaths that count against the request and came later than contactTime after CrashLimit of them,
// in their order: until then, gateways may not know of each other's. All trackers agree on it, also after a restart.
func (s *suspectState) lateDeaths() []string {
	var ids []string
	for id, d := range s.deaths {
		if d.counts {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return s.deaths[a].at.Compare(s.deaths[b].at) })
	if len(ids) <= CrashLimit {
		return nil
	}
	known := s.deaths[ids[CrashLimit-1]].at.Add(contactTime)
	i := CrashLimit
	for i < len(ids) && !s.deaths[ids[i]].at.After(known) {
		i++
	}
	return ids[i:]
}

// TakeTrial reports whether a request with the parts may be sent although a verdict rejects it, to find out
// whether the verdict still holds. Of all trackers, only the one whose owner calls this makes trials, each at its
// time after the verdict, so that their number is bounded for all. A request with another part that may crash
// targets shows little about the verdict's.
func (t *Tracker) TakeTrial(v *Verdict, parts []uint64, now time.Time) bool {
	s := t.parts[v.Parts[0]]
	if s == nil || s.verdict == nil {
		return false
	}
	due := s.trialsDue(now)
	soon := t.nextTrialSoon(s, v, now)
	if soon != notSoon && due <= s.tried {
		due = s.tried + 1
	}
	if due <= s.tried {
		return false
	}
	overdue := time.Duration(math.MaxInt64)
	if soon == notSoon {
		overdue = now.Sub(s.condemnedAt) - partTrials[min(due, len(partTrials))-1]
	}
	suspicion, immediately := t.suspicionBeside(s, v, parts)
	if !s.choice.admits(suspicion, immediately, overdue, now) {
		return false
	}
	if s.firstTriedAt.IsZero() {
		s.firstTriedAt = now
	}
	s.tried, s.triedAt, s.choice = due, now, trialChoice{}
	s.triedSoon = s.triedSoon || soon == soonAfterOtherPart
	return true
}

// ReturnTrial undoes TakeTrial for a request that has reached no target.
func (t *Tracker) ReturnTrial(v *Verdict) {
	if s := t.parts[v.Parts[0]]; s != nil && s.tried > 0 {
		s.tried--
	}
}

// trialsDue returns the number of trials whose time has come.
func (s *partState) trialsDue(now time.Time) int {
	since := now.Sub(s.condemnedAt)
	for i, after := range partTrials {
		if since < after {
			return i
		}
	}
	return len(partTrials) + int((since-partTrials[len(partTrials)-1])/partTrialInterval)
}

// lostTrials returns the number of crashes that came when only trials of the part were sent.
func (s *partState) lostTrials() (n int) {
	for _, c := range s.crashes {
		if !c.cleared && c.at.Sub(s.condemnedAt) >= partTrials[0] {
			n++
		}
	}
	return n
}

// soonTrial says whether the next trial of a part is to be made before its time.
type soonTrial int

const (
	notSoon soonTrial = iota
	// soonAfterOtherPart means that another part may have caused the crash of the last trial. This counts once, so that
	// the number of trials of a part that does crash targets stays bounded.
	soonAfterOtherPart
	// soonAfterOtherTargets means that other targets ended at the same moment.
	soonAfterOtherTargets
)

// nextTrialSoon returns whether the crash of the last trial of a part may have another explanation.
func (t *Tracker) nextTrialSoon(s *partState, v *Verdict, now time.Time) soonTrial {
	if s.triedAt.IsZero() {
		return notSoon
	}
	for id, c := range s.crashes {
		switch {
		case c.cleared || c.at.Before(s.triedAt) || now.Sub(c.at) < soonTrialDelay:
		case t.explainedDeaths[id]:
			return soonAfterOtherTargets
		case !s.triedSoon && slices.ContainsFunc(t.partsAt[id], func(part uint64) bool { return !t.isKnownPart(part) && !slices.Contains(v.Parts, part) }):
			return soonAfterOtherPart
		}
	}
	return notSoon
}

// suspicionBeside returns how likely the parts of a request besides those of a verdict are to crash targets.
func (t *Tracker) suspicionBeside(s *partState, v *Verdict, parts []uint64) (suspicion int, immediately bool) {
	for _, part := range parts {
		other := t.parts[part]
		if other == nil || slices.Contains(v.Parts, part) || t.isKnownPart(part) {
			continue
		}
		suspicion = max(suspicion, other.credited)
		for id, c := range other.crashes {
			if !c.cleared && !s.firstTriedAt.IsZero() && !c.at.Before(s.firstTriedAt) && s.crashes[id] != nil {
				suspicion += lateWeight
			}
		}
	}
	return suspicion, 2*suspicion <= s.credited
}

// isKnownPart reports whether responses to requests with a part have begun and gone on.
func (t *Tracker) isKnownPart(part uint64) bool {
	s := t.parts[part]
	return s != nil && s.known || t.known.has(part)
}
