package agent

import (
	"slices"
	"time"
)

// suspectTimeSlice is how long a suspect may block others from the engine. The entries clear
// a suspect that runs this much longer than its longest run that ended in a crash.
const suspectTimeSlice = 10 * time.Second

// suspectQueue delays other suspects while an isolated one runs. Entries do not know each
// other's suspects; if another one ran concurrently, a crash would count against both, and a
// harmless request could be rejected.
type suspectQueue struct {
	isolated      *attempt
	isolatedSince time.Time
	// shared holds the start times of the running suspects that are not isolated.
	shared  map[*attempt]time.Time
	waiting []*attempt // oldest first
}

// startOrQueue reports whether the attempt may use the engine now; otherwise it is queued. The
// queue is FIFO, so that an isolated attempt cannot starve.
func (s *suspectQueue) startOrQueue(now time.Time, t *attempt) bool {
	if len(s.waiting) > 0 || !s.canStart(t) {
		s.waiting = append(s.waiting, t)
		return false
	}
	s.start(now, t)
	return true
}

func (s *suspectQueue) canStart(t *attempt) bool {
	return s.isolated == nil && (!t.request.GetIsolated() || len(s.shared) == 0)
}

func (s *suspectQueue) start(now time.Time, t *attempt) {
	if t.request.GetIsolated() {
		s.isolated, s.isolatedSince = t, now
		return
	}
	if s.shared == nil {
		s.shared = make(map[*attempt]time.Time)
	}
	s.shared[t] = now
}

// remove removes an attempt and returns those that may use the engine now.
func (s *suspectQueue) remove(now time.Time, t *attempt) []*attempt {
	s.waiting = slices.DeleteFunc(s.waiting, func(other *attempt) bool { return other == t })
	delete(s.shared, t)
	if s.isolated == t {
		s.isolated = nil
	}
	return s.startWaiting(now)
}

// expire ends the time slices that have passed and returns the attempts that may use the
// engine now. The expired suspects keep running.
func (s *suspectQueue) expire(now time.Time) []*attempt {
	if s.isolated != nil && now.Sub(s.isolatedSince) >= suspectTimeSlice {
		s.isolated = nil
	}
	for t, start := range s.shared {
		if now.Sub(start) >= suspectTimeSlice {
			delete(s.shared, t)
		}
	}
	return s.startWaiting(now)
}

func (s *suspectQueue) startWaiting(now time.Time) []*attempt {
	var started []*attempt
	for len(s.waiting) > 0 && s.canStart(s.waiting[0]) {
		s.start(now, s.waiting[0])
		started = append(started, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	return started
}
