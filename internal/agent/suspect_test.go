package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two suspects on one engine, a held suspect that is never run, and one
// that runs after it left.
func TestSuspectsTakeTurns(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s suspects
	first, second, third, fourth := &attempt{}, &attempt{}, &attempt{}, &attempt{}
	c.Assert(s.enter(now, first), qt.IsTrue)
	for _, t := range []*attempt{second, third, fourth} {
		c.Assert(s.enter(now, t), qt.IsFalse)
	}
	c.Assert(s.leave(now, third), qt.IsNil)
	c.Assert(s.expire(now.Add(suspectTurn-1)), qt.IsNil)
	c.Assert(s.leave(now, first), qt.Equals, second)
	c.Assert(s.expire(now.Add(suspectTurn)), qt.Equals, fourth)
	c.Assert(s.leave(now, second), qt.IsNil)
	c.Assert(s.leave(now, fourth), qt.IsNil)
	c.Assert(s.enter(now, third), qt.IsTrue)
}
