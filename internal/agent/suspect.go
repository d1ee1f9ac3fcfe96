package agent

import (
	"slices"
	"time"
)

// suspectTurn is how long one suspect keeps others from the engine. It is as long as the
// run without a crash after which the entries clear a suspect.
const suspectTurn = 10 * time.Second

// suspects keeps other suspects from the engine while an isolated one runs. Entries do not
// see each other's suspects; a crash beside an isolated one would be charged to both and
// lead to the rejection of an innocent request.
type suspects struct {
	isolated *attempt
	since    time.Time
	// shared holds the other suspects that run, with their starts.
	shared map[*attempt]time.Time
	held   []*attempt // oldest first
}

// enter reports whether the attempt may use the engine now; if not, it is held. Nothing
// overtakes a held attempt, so that an isolated one gets its turn.
func (s *suspects) enter(now time.Time, t *attempt) bool {
	if len(s.held) > 0 || !s.admits(t) {
		s.held = append(s.held, t)
		return false
	}
	s.start(now, t)
	return true
}

func (s *suspects) admits(t *attempt) bool {
	return s.isolated == nil && (!t.request.GetIsolated() || len(s.shared) == 0)
}

func (s *suspects) start(now time.Time, t *attempt) {
	if t.request.GetIsolated() {
		s.isolated, s.since = t, now
		return
	}
	if s.shared == nil {
		s.shared = make(map[*attempt]time.Time)
	}
	s.shared[t] = now
}

// leave removes an attempt and returns those that may use the engine now.
func (s *suspects) leave(now time.Time, t *attempt) []*attempt {
	s.held = slices.DeleteFunc(s.held, func(other *attempt) bool { return other == t })
	delete(s.shared, t)
	if s.isolated == t {
		s.isolated = nil
	}
	return s.advance(now)
}

// expire ends the turns of suspects that had their time and returns the attempts that may
// use the engine now.
func (s *suspects) expire(now time.Time) []*attempt {
	if s.isolated != nil && now.Sub(s.since) >= suspectTurn {
		s.isolated = nil
	}
	for t, start := range s.shared {
		if now.Sub(start) >= suspectTurn {
			delete(s.shared, t)
		}
	}
	return s.advance(now)
}

func (s *suspects) advance(now time.Time) []*attempt {
	var started []*attempt
	for len(s.held) > 0 && s.admits(s.held[0]) {
		s.start(now, s.held[0])
		started = append(started, s.held[0])
		s.held = s.held[1:]
	}
	return started
}
