package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
)

// lose lets the engine of a stream end before the client has an event.
func lose(now time.Time, s *stream, w *queuedStream) {
	s.machine.Placed(now, relay.Placement{Target: "other"})
	s.machine.AttemptFailed(now, relay.Interrupted)
	w.ran = true
}

// Scenario: a stream lost its engine before its first event while the only engine is full. Guards against one that is
// sent there after 3 s, against one that misses its latest start, and against one that is sent to an engine that cannot
// finish it, kept until its deadline, or refused as not run.
func TestStreamWithoutResultWaitsUntilLatestStart(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		st.fleet.RecordFirstEvent(now, "e", st.fleet.BeginStream(now, "e", "", placement.GenerationSize{PromptTokens: 9000}))
		s, w := g.queued(now, "/patient", 10*time.Second)
		lose(now, s, w)
		g.loop.enqueueStream(st, now, w)
		g.loop.tickQueues(st, now.Add(20*time.Second))
		c.Check(w.result, qt.HasLen, 0)
		// Reading the prompt takes 0.86 s of the 25 s.
		g.loop.tickQueues(st, now.Add(23900*time.Millisecond))
		c.Check((<-w.result).ok, qt.IsTrue)

		// Its unread prompt and the next one take 1.7 s.
		s, w = g.queued(now, "/patient", 10*time.Second)
		lose(now, s, w)
		g.loop.enqueueStream(st, now, w)
		g.loop.tickQueues(st, now.Add(23920*time.Millisecond))
		p := <-w.result
		c.Check(p.ok, qt.IsFalse)
		c.Check(p.deadlineTooShort, qt.IsFalse)
		c.Check(s.machine.PlacementFailed(), qt.DeepEquals, []relay.Effect{relay.Finish{Outcome: relay.Lost}})
		return true
	})
}

// Scenario: an engine with memory for more streams has prompts to read. Guards against streams below the highest rank
// that are sent behind them, and against ones that are held and not counted.
func TestStreamsAreHeldForUnreadPrompts(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		routes := []catalog.Route{{Name: "/urgent", Host: "h", Prefix: "/urgent", Kind: catalog.Stream, TargetLatency: 2 * time.Second, Shares: []catalog.Share{{Service: "s", Weight: 1}}},
			{Name: "/patient", Host: "h", Prefix: "/patient", Kind: catalog.Stream, Priority: 2, TargetLatency: 10 * time.Second, Shares: []catalog.Share{{Service: "s", Weight: 1}}}}
		st.desired.Config = catalog.New(2, routes, []catalog.Service{{Name: "s"}}, nil, catalog.Limits{})
		_, first := g.queued(now, "/patient", 10*time.Second)
		g.loop.enqueueStream(st, now, first)
		c.Check((<-first.result).ok, qt.IsTrue)
		_, second := g.queued(now, "/patient", 10*time.Second)
		g.loop.enqueueStream(st, now, second)
		g.loop.tickQueues(st, now.Add(100*time.Millisecond))
		c.Check(second.result, qt.HasLen, 0)
		c.Check(counted(c, g.metrics.queueHeld), qt.Equals, 1.0)
		g.loop.tickQueues(st, now.Add(800*time.Millisecond))
		c.Check((<-second.result).ok, qt.IsTrue)
		return true
	})
}
