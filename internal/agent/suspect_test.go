package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/wire"
)

func suspectAttempt(isolated bool) *attempt {
	return &attempt{request: &wire.GenerateRequest{Suspect: true, Isolated: isolated}}
}

// Guards against two isolated suspects that run concurrently, a queued suspect that is never
// started, and one that is started after its removal.
func TestIsolatedSuspectsRunOneAtATime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s suspectQueue
	first, second, third, fourth := suspectAttempt(true), suspectAttempt(true), suspectAttempt(true), suspectAttempt(true)
	c.Assert(s.startOrQueue(now, first), qt.IsTrue)
	for _, suspect := range []*attempt{second, third, fourth} {
		c.Assert(s.startOrQueue(now, suspect), qt.IsFalse)
	}
	c.Assert(s.remove(now, third), qt.HasLen, 0)
	c.Assert(s.expire(now.Add(suspectTimeSlice-1)), qt.HasLen, 0)
	c.Assert(s.remove(now, first)[0] == second, qt.IsTrue)
	c.Assert(s.expire(now.Add(suspectTimeSlice))[0] == fourth, qt.IsTrue)
	c.Assert(s.remove(now, second), qt.HasLen, 0)
	c.Assert(s.remove(now, fourth), qt.HasLen, 0)
	c.Assert(s.startOrQueue(now, third), qt.IsTrue)
}

// Guards against suspects without isolation that run one at a time, run alongside an
// isolated one, or starve it.
func TestSuspectsWithoutIsolationRunConcurrently(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s suspectQueue
	first, second, isolated, late := suspectAttempt(false), suspectAttempt(false), suspectAttempt(true), suspectAttempt(false)
	c.Assert(s.startOrQueue(now, first), qt.IsTrue)
	c.Assert(s.startOrQueue(now, second), qt.IsTrue)
	c.Assert(s.startOrQueue(now, isolated), qt.IsFalse)
	c.Assert(s.startOrQueue(now, late), qt.IsFalse)
	c.Assert(s.remove(now, first), qt.HasLen, 0)
	started := s.expire(now.Add(suspectTimeSlice))
	c.Assert(started, qt.HasLen, 1)
	c.Assert(started[0] == isolated, qt.IsTrue)
	c.Assert(s.remove(now, isolated)[0] == late, qt.IsTrue)
}
