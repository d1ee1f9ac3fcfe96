package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// maxPause bounds the pause that one answer of a target can ask for, so that a wrong value does
	// not exclude it for good. A target that still wants a pause then repeats it in its next answer.
	maxPause = 60 * time.Second
	// pauseJitter is the largest part of a pause, and maxPauseJitter the longest time, by which a
	// gateway returns later than the target asked, so that gateways do not all return at once.
	pauseJitter    = 0.25
	maxPauseJitter = time.Second
	// pauseChangeStep is the least extension of a pause that is reported as a change: the answers to
	// requests that were already on their way extend it by a few ms each.
	pauseChangeStep = 500 * time.Millisecond
	// probesPerPause limits the probes of a paused target. The platform accepts two requests within
	// a pause, and a probe without an answer is sent twice.
	probesPerPause = 1
	// absenceRetention is how long the notices of an instance are kept after its registration has
	// disappeared: rows expire during outages of the store and live instances register again.
	absenceRetention = 10 * time.Minute
	// leavingShareTime is how long a target's word that it leaves is passed on to other gateways. It
	// exceeds the drain time, after which the target has usually gone.
	leavingShareTime = 10 * time.Second
)

// NoticeSource says in which kind of answer a target gave a notice.
type NoticeSource int

// Sources.
const (
	// FromResponse is an answer to a client's request.
	FromResponse NoticeSource = iota + 1
	// FromProbe is an answer to a probe or a health check.
	FromProbe
	// FromCopyOrder is an answer to an order to make or release a KV cache copy.
	FromCopyOrder
)

// String returns the source as a log field and metric label.
func (s NoticeSource) String() string {
	switch s {
	case FromResponse:
		return "response"
	case FromProbe:
		return "probe"
	case FromCopyOrder:
		return "copy_order"
	}
	return "unknown"
}

// Notice is what one instance of a target has said about itself in its answers to this gateway.
type Notice struct {
	// LeavingSince is when the instance first said that it leaves, zero if it has not. It has no end:
	// an instance that leaves does not come back.
	LeavingSince time.Time
	// LeavingSource is the kind of answer in which it said so.
	LeavingSource NoticeSource
	// PausedAt is when the instance last asked for a pause, and PausedUntil the end of the pause with
	// this gateway's jitter. Both are zero if it has not asked for one.
	PausedAt, PausedUntil time.Time
	// PauseSource is the kind of answer in which it last asked for a pause.
	PauseSource NoticeSource
}

// Leaving reports whether the instance has said that it leaves.
func (n *Notice) Leaving() bool { return n != nil && !n.LeavingSince.IsZero() }

// Paused reports whether the instance wants no requests from this gateway now.
func (n *Notice) Paused(now time.Time) bool { return n != nil && now.Before(n.PausedUntil) }

// Holds reports whether no new request may be sent to the instance now.
func (n *Notice) Holds(now time.Time) bool { return n.Leaving() || n.Paused(now) }

// notices holds the notices by instance. They outlive gaps in the registration of an instance.
type notices struct {
	byInstance map[Instance]*noticeState
}

type noticeState struct {
	Notice
	// probes is the number of probes made in the current pause.
	probes int
	// absentSince is when the registration was found missing, zero while there is one.
	absentSince time.Time
}

func newNotices() *notices { return &notices{byInstance: map[Instance]*noticeState{}} }

// state returns the notices of an instance, with none if they are new.
func (n *notices) state(instance Instance) *noticeState {
	s := n.byInstance[instance]
	if s == nil {
		s = &noticeState{}
		n.byInstance[instance] = s
	}
	return s
}

// setLeaving records that an instance leaves, and reports whether that is new.
func (s *noticeState) setLeaving(now time.Time, source NoticeSource) bool {
	if s.Leaving() {
		return false
	}
	s.LeavingSince, s.LeavingSource = now, source
	return true
}

// extendPause records that an instance asked for a pause, and reports whether that is a change. A
// pause is never shortened: each answer holds for its own time.
func (s *noticeState) extendPause(now time.Time, length time.Duration, source NoticeSource, rng *rand.Rand) bool {
	if length <= 0 {
		return false
	}
	length = min(length, maxPause)
	spread := min(maxPauseJitter, time.Duration(pauseJitter*float64(length)))
	until := now.Add(length + time.Duration(rng.Int64N(int64(spread)+1)))
	// The jitter is drawn once in a pause: many answers would otherwise all draw near its maximum.
	if s.Paused(now) {
		until = now.Add(length)
	}
	if !until.After(s.PausedUntil) {
		return false
	}
	changed := !s.Paused(now) || until.Sub(s.PausedUntil) >= pauseChangeStep
	if !s.Paused(now) {
		s.probes = 0
	}
	s.PausedAt, s.PausedUntil, s.PauseSource = now, until, source
	return changed
}

// Response is what one answer of a target says about the target.
type Response struct {
	// Leaving is set if the target says that it leaves.
	Leaving bool
	// Pause is how long the target wants no requests from this gateway, 0 if it does not say so.
	Pause time.Duration
}

// NoticeChange says which notices an answer has changed.
type NoticeChange struct {
	Leaving, Pause bool
	Notice         Notice
}

// Observe records what an answer of an instance says about the instance. The answer must belong to a
// request to this instance: an instance that is not registered any more is recorded too, since it
// may register again. Answers never take a notice back.
func (f *Fleet) Observe(now time.Time, instance Instance, r Response, source NoticeSource) NoticeChange {
	if !r.Leaving && r.Pause <= 0 {
		return NoticeChange{}
	}
	t := f.targets[instance.ID]
	registered := t != nil && t.instance() == instance
	var s *noticeState
	if registered && t.notice != nil {
		s = t.notice
	} else {
		s = f.notices.state(instance)
	}
	if registered {
		t.notice = s
	} else if s.absentSince.IsZero() {
		s.absentSince = now
	}
	change := NoticeChange{}
	if r.Leaving {
		change.Leaving = s.setLeaving(now, source)
	}
	change.Pause = s.extendPause(now, r.Pause, source, f.rng)
	change.Notice = s.Notice
	return change
}

// attachNotices connects the registered targets with the notices of their instances. A registration
// of the same instance as ready does not clear a notice, since the row may have been written by
// something else than the process that answers. Another start or another id has no notices. A row
// without a start, which another writer may have left, says nothing about a restart.
func (f *Fleet) attachNotices(previous map[string]*targetState) {
	for id, t := range f.targets {
		old := previous[id]
		// The start time of an instance that was found while the store was unavailable is estimated.
		// When the store then lists the instance, it keeps its notices.
		if old != nil && old.reg.StartEstimated && old.reg.Address == t.reg.Address && old.instance() != t.instance() {
			if s := f.notices.byInstance[old.instance()]; s != nil {
				f.notices.byInstance[t.instance()] = s
				delete(f.notices.byInstance, old.instance())
			}
		}
		notice := f.notices.byInstance[t.instance()]
		if notice == nil && t.reg.StartUnixMS == 0 && old != nil && old.reg.Address == t.reg.Address {
			notice = old.notice
		}
		t.notice = notice
		if t.notice != nil {
			t.notice.absentSince = time.Time{}
		}
	}
}

// ExpireNotices drops the notices of instances without a registration: after absenceRetention, or at
// once if the instance has no start time, since another start at the same id could not be told from
// it.
func (f *Fleet) ExpireNotices(now time.Time) {
	for instance, s := range f.notices.byInstance {
		if t := f.targets[instance.ID]; t != nil && t.notice == s {
			continue
		}
		if s.absentSince.IsZero() {
			s.absentSince = now
		}
		if instance.StartUnixMS == 0 || now.Sub(s.absentSince) >= absenceRetention {
			delete(f.notices.byInstance, instance)
		}
	}
}

// Notices returns the notices that hold requests back now, by instance.
func (f *Fleet) Notices(now time.Time) map[Instance]Notice {
	held := map[Instance]Notice{}
	for instance, s := range f.notices.byInstance {
		if s.Holds(now) {
			held[instance] = s.Notice
		}
	}
	// A row without a start has the notices of another instance.
	for _, t := range f.order {
		if t.notice != nil && t.notice.Holds(now) {
			held[t.instance()] = t.notice.Notice
		}
	}
	return held
}

// Notice returns the notice of a registered target, zero if there is none.
func (f *Fleet) Notice(id string) Notice {
	if t := f.targets[id]; t != nil && t.notice != nil {
		return t.notice.Notice
	}
	return Notice{}
}

// TakeProbe reports whether a target may be probed, and counts the probe. Leaving targets may: the
// drain rule exempts liveness checks. A paused target may be probed probesPerPause times, and only
// for requests that it runs.
func (f *Fleet) TakeProbe(now time.Time, id string) bool {
	t := f.targets[id]
	if t == nil || t.notice == nil || !t.notice.Paused(now) {
		return true
	}
	if t.notice.probes >= probesPerPause {
		return false
	}
	t.notice.probes++
	return true
}

// HeldTargets describes the targets of a query that only their notices keep from being chosen.
type HeldTargets struct {
	Leaving, Paused int
	// Earliest is the target whose pause ends first, and Return the end of its pause. They are zero
	// if no target is paused.
	Earliest string
	Return   time.Time
}

// AllHeld reports whether all targets that could serve a query leave or are paused, so that waiting
// for one until before HeldTargets.Return is in vain. It is false if there is no such target, or if
// another one may come back at any time because it is only marked down.
func (f *Fleet) AllHeld(now time.Time, q FleetQuery) (HeldTargets, bool) {
	var held HeldTargets
	for _, t := range f.order {
		if !q.matches(t) || t.reg.Leaving || t.isReplaced() {
			continue
		}
		switch {
		case t.leaving():
			held.Leaving++
		case t.notice != nil && t.notice.Paused(now):
			held.Paused++
			if held.Return.IsZero() || t.notice.PausedUntil.Before(held.Return) {
				held.Earliest, held.Return = t.reg.ID, t.notice.PausedUntil
			}
		default:
			return HeldTargets{}, false
		}
	}
	return held, held.Leaving+held.Paused > 0
}

// RetryDelay returns the delay to state to a client whose request is refused because of held
// targets: until the first of them returns, plus a jitter, so that clients do not all return at
// once. It returns otherwise if no target is expected to return.
func (f *Fleet) RetryDelay(now time.Time, held HeldTargets, otherwise time.Duration) time.Duration {
	delay := otherwise
	if !held.Return.IsZero() {
		delay = max(0, held.Return.Sub(now))
	}
	spread := max(minClientJitter, min(maxPauseJitter, time.Duration(pauseJitter*float64(delay))))
	return delay + time.Duration(f.rng.Int64N(int64(spread)+1))
}

// minClientJitter is the least range of the jitter of clients' delays: some 10 calls fit into it.
const minClientJitter = 50 * time.Millisecond
