package agent

import (
	"slices"
	"time"
)

// suspectTurn is how long one suspect keeps others from the engine. It is as long as the
// run without a crash after which the entries clear a suspect.
const suspectTurn = 10 * time.Second

// suspects lets one suspect at a time use the engine. Entries do not see each other's
// suspects; two on one engine would both be charged with a crash that one of them caused.
type suspects struct {
	current *attempt
	since   time.Time
	held    []*attempt // oldest first
}

// enter reports whether the attempt may use the engine now; if not, it is held.
func (s *suspects) enter(now time.Time, t *attempt) bool {
	if s.current != nil {
		s.held = append(s.held, t)
		return false
	}
	s.current, s.since = t, now
	return true
}

// leave removes an attempt and returns the one whose turn begins, or nil.
func (s *suspects) leave(now time.Time, t *attempt) *attempt {
	s.held = slices.DeleteFunc(s.held, func(other *attempt) bool { return other == t })
	if s.current != t {
		return nil
	}
	return s.advance(now)
}

// expire returns the attempt whose turn begins because the current one had its time.
func (s *suspects) expire(now time.Time) *attempt {
	if s.current == nil || now.Sub(s.since) < suspectTurn {
		return nil
	}
	return s.advance(now)
}

func (s *suspects) advance(now time.Time) *attempt {
	s.current, s.since = nil, now
	if len(s.held) > 0 {
		s.current, s.held = s.held[0], s.held[1:]
	}
	return s.current
}
