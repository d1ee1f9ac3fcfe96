package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/obs"
)

// Scenario: a target has reported a queue, and the next probe has no report, since the target is paused
// or resets the connection. Guards against a queued stream that seeks a successor as if nothing waited
// there.
func TestProbeWithoutReportKeepsQueue(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g := &Gateway{log: zerolog.Nop(), metrics: newMetrics(obs.NewRegistry()), options: &Options{Logger: zerolog.Nop()}, ctx: ctx}
	g.loop = newEventLoop(g.options, g.metrics)
	now := time.Now()
	// The limit for the first event is 2.7 s, and 5.4 s with a queue.
	placed := now.Add(-5 * time.Second)
	request := &clientRequest{g: g, ctx: ctx, route: &catalog.Route{Resumable: true}, service: "s", log: zerolog.Nop()}
	s := &stream{g: g, req: request, machine: relay.New(relay.Options{
		Resumable: true, MaxAttempts: 5, Arrived: placed, Deadline: now.Add(time.Minute), FirstEventObjective: 4500 * time.Millisecond,
	})}
	s.machine.Start()
	s.machine.Placed(placed, relay.Placement{Target: "t"})
	s.current = &attempt{s: s, copies: &copyManager{}}
	s.handle(attemptMessage{attempt: s.current, kind: attemptProbed, alive: true, report: relay.TargetReport{Queued: 5}, reported: true})
	s.handle(attemptMessage{attempt: s.current, kind: attemptProbed, alive: true})
	c.Check(s.machine.NextCheck().Sub(now) < time.Second, qt.IsTrue, qt.Commentf("next check in %v, limit of a queued stream in 0.4 s", s.machine.NextCheck().Sub(now)))
}
