package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/pacing"
)

// pacedGateway returns a gateway that has a share at one of three targets only, and the ID of that target.
func pacedGateway(c *qt.C, now time.Time) (*controlGateway, *callQueue, string) {
	gateway := newControlGateway(controlSize{gateways: 600, targets: 3}, 0)
	q := &callQueue{service: "s", pacer: pacing.New(controlGatewayName(0), "s"), waiting: map[uint64]*waitingCall{}}
	gateway.st.calls.byService["s"] = q
	q.pacer.Observe(now.Add(-time.Second), controlTargetID(0), true)
	gateway.st.settings.Bounds.RetrySlack = 1e6
	gateway.peers.g.loop.updatePacer(gateway.st, now, q)
	c.Assert(q.pacer.Limits(), qt.HasLen, 1)
	for id := range q.pacer.Limits() {
		return gateway, q, id
	}
	return nil, nil, ""
}

// pacedCall returns a call that may be repeated, and its first effect.
func pacedCall(g *Gateway, now time.Time) (*callForwarder, forward.Send) {
	request := &clientRequest{g: g, service: "s", ctx: context.Background(), log: zerolog.Nop(), arrived: now, deadline: now.Add(time.Minute), route: &catalog.Route{}}
	f := &callForwarder{g: g, req: request, machine: forward.New(forward.Options{Idempotent: true, MaxAttempts: 3, Deadline: request.deadline})}
	return f, f.machine.Start(now)[0].(forward.Send)
}

// Guards against a call that waits until its deadline because the only target with a share of this gateway has failed
// or rejected it.
func TestFailedCallNeedsNoShareElsewhere(t *testing.T) {
	for _, test := range []struct {
		name   string
		result forward.Result
		// busy is set if this gateway has a call at each of the other targets.
		busy bool
		// placed is whether the call is sent again, and same whether to the target with the share.
		placed, same bool
	}{
		{"failed", forward.TargetError, false, true, false},
		{"failed, others busy", forward.TargetError, true, false, false},
		{"rejected", forward.Refused, false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			gateway, q, target := pacedGateway(c, now)
			st, g := gateway.st, gateway.peers.g
			for i := range 3 {
				if id := controlTargetID(i); test.busy && id != target {
					st.fleet.BeginCall(id)
				}
			}
			f, first := pacedCall(g, now)
			f.machine.TargetChosen(target)
			again := f.machine.AttemptEnded(now, first.Attempt, test.result)[0].(forward.Send)
			waiting := g.loop.enqueueCall(st, now, q, f, again, &attemptHandle{cancel: func() {}})
			select {
			case placed := <-waiting.waiting.placed:
				c.Assert(placed.ok, qt.Equals, test.placed)
				if test.placed {
					c.Check(placed.reg.ID == target, qt.Equals, test.same)
				}
			default:
				t.Fatal("the call waits")
			}
		})
	}
}
