package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
)

// Scenario: a client leaves while its request waits for the event loop to choose a target. Guards
// against what the choice takes and nothing gives back: the target counts one more call for as long as
// the gateway runs, and the retry budget one token less.
func TestChoiceForClientThatLeft(t *testing.T) {
	route := &catalog.Route{Resumable: true, TargetLatency: time.Second}
	for name, choose := range map[string]func(g *Gateway, c *clientRequest){
		"call": func(g *Gateway, c *clientRequest) {
			f := &callForwarder{g: g, req: c, machine: forward.New(forward.Options{Deadline: c.deadline})}
			f.attemptsCtx, f.cancelAttempts = context.WithCancel(t.Context())
			defer f.cancelAttempts()
			f.send(forward.Send{Repeat: true, Retry: true})
		},
		"stream": func(g *Gateway, c *clientRequest) {
			s := &stream{g: g, req: c, machine: relay.New(relay.Options{Resumable: true, MaxAttempts: 5, Arrived: c.arrived, Deadline: c.deadline})}
			s.machine.Start()
			s.machine.Placed(c.arrived, relay.Placement{Target: "lost"})
			s.machine.AttemptFailed(c.arrived, relay.Interrupted)
			s.chooseTarget(relay.ChooseTarget{})
		},
		"successor": func(g *Gateway, c *clientRequest) {
			s := &stream{g: g, req: c, machine: relay.New(relay.Options{Resumable: true, MaxAttempts: 5, Arrived: c.arrived, Deadline: c.deadline})}
			s.current = &attempt{chosenTarget: chosenTarget{reg: membership.Registration{ID: "here"}}, copies: &copyManager{}}
			s.seekSuccessor(relay.SeekSuccessor{MaxExpected: time.Hour})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := &Gateway{log: zerolog.Nop(), metrics: newMetrics(obs.NewRegistry()), options: &Options{Logger: zerolog.Nop()}}
			g.options.Settings.Bounds = settings.Bounds{RetryRatio: 0.8, RetrySlack: 150}
			g.ctx = t.Context()
			g.loop = newEventLoop(g.options, g.metrics)
			st := g.loop.newState(time.Now())
			st.fleet.Update([]membership.Registration{{ID: "t", Service: "s", Zone: "a", Slots: 1}}, func(string) int { return 0 })
			budget := g.loop.budget(st, time.Now(), "s")
			for range 10 {
				budget.OnRequest()
				budget.Refund()
			}
			before := budget.Tokens()
			c.Assert(before >= 2, qt.IsTrue)
			clientCtx, leave := context.WithCancel(t.Context())
			defer leave()
			now := time.Now()
			request := &clientRequest{g: g, ctx: clientCtx, route: route, service: "s", arrived: now, deadline: now.Add(time.Minute), log: zerolog.Nop()}
			done := make(chan struct{})
			go func() {
				choose(g, request)
				close(done)
			}()
			queued := <-g.loop.queue
			leave()
			time.Sleep(20 * time.Millisecond)
			queued(st)
			for ended := false; !ended; {
				select {
				case queued = <-g.loop.queue:
					queued(st)
				case <-done:
					ended = true
				}
			}
			c.Check(st.attempts, qt.HasLen, 0)
			c.Check(budget.Tokens() >= before, qt.IsTrue, qt.Commentf("%v tokens, before %v", budget.Tokens(), before))
		})
	}
}
