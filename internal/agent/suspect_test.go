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

// Guards against two isolated suspects on one engine, a held suspect that is never run, and
// one that runs after it left.
func TestIsolatedSuspectsTakeTurns(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s suspects
	first, second, third, fourth := suspectAttempt(true), suspectAttempt(true), suspectAttempt(true), suspectAttempt(true)
	c.Assert(s.enter(now, first), qt.IsTrue)
	for _, t := range []*attempt{second, third, fourth} {
		c.Assert(s.enter(now, t), qt.IsFalse)
	}
	c.Assert(s.leave(now, third), qt.HasLen, 0)
	c.Assert(s.expire(now.Add(suspectTurn-1)), qt.HasLen, 0)
	c.Assert(s.leave(now, first)[0] == second, qt.IsTrue)
	c.Assert(s.expire(now.Add(suspectTurn))[0] == fourth, qt.IsTrue)
	c.Assert(s.leave(now, second), qt.HasLen, 0)
	c.Assert(s.leave(now, fourth), qt.HasLen, 0)
	c.Assert(s.enter(now, third), qt.IsTrue)
}

// Guards against a batch of first suspects that run one after the other, against one
// beside an isolated suspect, and against an isolated one that they keep out for ever.
func TestFirstSuspectsRunTogether(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s suspects
	first, second, isolated, late := suspectAttempt(false), suspectAttempt(false), suspectAttempt(true), suspectAttempt(false)
	c.Assert(s.enter(now, first), qt.IsTrue)
	c.Assert(s.enter(now, second), qt.IsTrue)
	c.Assert(s.enter(now, isolated), qt.IsFalse)
	c.Assert(s.enter(now, late), qt.IsFalse)
	c.Assert(s.leave(now, first), qt.HasLen, 0)
	started := s.expire(now.Add(suspectTurn))
	c.Assert(started, qt.HasLen, 1)
	c.Assert(started[0] == isolated, qt.IsTrue)
	c.Assert(s.leave(now, isolated)[0] == late, qt.IsTrue)
}
