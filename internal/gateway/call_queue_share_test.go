package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/pacing"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
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

// Guards against a trial of a failing target that takes a whole share of calls, and against a failing target that gets
// the further attempt of a call while sound ones are full.
func TestTrialOfPacedTargetTakesNoShare(t *testing.T) {
	for _, again := range []bool{false, true} {
		t.Run(fmt.Sprint("again ", again), func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			gateway := newControlGateway(controlSize{gateways: 1, targets: 3}, 0)
			st, g, failing := gateway.st, gateway.peers.g, controlTargetID(0)
			st.settings.Bounds.RetrySlack = 1e6
			for range 3 {
				st.fleet.BeginCall(failing)
				st.fleet.EndCall(now.Add(-30*time.Second), failing, 0, true)
			}
			for range 10 {
				reg, _ := st.fleet.ChooseCall(now.Add(-29*time.Second), placement.FleetQuery{Service: "s"})
				c.Assert(reg.ID, qt.Not(qt.Equals), failing)
			}
			q := &callQueue{service: "s", pacer: pacing.New(controlGatewayName(0), "s"), waiting: map[uint64]*waitingCall{}}
			st.calls.byService["s"] = q
			q.pacer.Observe(now.Add(-time.Second), controlTargetID(1), true)
			g.loop.updatePacer(st, now, q)
			c.Check(q.pacer.Limits()[failing], qt.Equals, 0, qt.Commentf("share of the failing target"))
			c.Check(st.fleet.CallTrials(now, "s"), qt.DeepEquals, map[string]int{failing: 1})
			counts := map[string]int{}
			for range 400 {
				f, send := pacedCall(g, now)
				if again {
					f.machine.TargetChosen(controlTargetID(1))
					send = f.machine.AttemptEnded(now, send.Attempt, forward.Refused)[0].(forward.Send)
				}
				waiting := g.loop.enqueueCall(st, now, q, f, send, &attemptHandle{cancel: func() {}})
				select {
				case placed := <-waiting.waiting.placed:
					counts[placed.reg.ID]++
				default:
				}
			}
			c.Check(counts[controlTargetID(2)] > 0, qt.IsTrue)
			if again {
				c.Check(counts[failing], qt.Equals, 0)
			} else {
				// One call in five may be a trial.
				sound := counts[controlTargetID(1)] + counts[controlTargetID(2)]
				c.Check(counts[failing] > 0 && counts[failing] <= 1+sound/5, qt.IsTrue, qt.Commentf("%v", counts))
			}
		})
	}
}

// Guards against attempts that count as successes of their target although they say nothing about it.
func TestResultsThatJudgeTarget(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		result               forward.Result
		withheld, clientLeft bool
		want                 bool
	}{
		{forward.Success, false, false, true},
		{forward.Success, false, true, true},
		{forward.TargetError, false, false, true},
		{forward.TargetError, false, true, false},
		{forward.Unknown, false, false, true},
		{forward.Unknown, false, true, false},
		{forward.Unsent, false, false, true},
		{forward.Unsent, true, false, false},
		{forward.Unsent, false, true, false},
		{forward.Refused, false, false, false},
		{forward.Replaced, false, false, false},
		{forward.ClientError, false, false, false},
	} {
		r := attemptResult{result: test.result, withheld: test.withheld}
		c.Check(r.judgesTarget(test.clientLeft), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against a call that is sent although its client left while it waited for its turn.
func TestCallOfLeftClientIsNotPlaced(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	gateway, q, _ := pacedGateway(c, now)
	f, send := pacedCall(gateway.peers.g, now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.req.ctx = ctx
	waiting := gateway.peers.g.loop.enqueueCall(gateway.st, now, q, f, send, &attemptHandle{cancel: func() {}})
	placed := <-waiting.waiting.placed
	c.Check(placed.ok, qt.IsFalse)
	c.Check(q.waiting, qt.HasLen, 0)
}

// Guards against a call that has no time left to seek a target after it has waited for its turn.
func TestWaitForTargetBeginsAfterTurn(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	gateway, q, _ := pacedGateway(c, now)
	st, g := gateway.st, gateway.peers.g
	st.settings.Calls.Pace = true
	g.ctx = context.Background()
	f, send := pacedCall(g, now)
	f.attemptsCtx, f.req.route.TargetLatency = context.Background(), time.Second
	for id, limit := range q.pacer.Limits() {
		for range limit {
			st.fleet.BeginCall(id)
		}
	}
	f.limitWait()
	seeks := f.waitUntil.Sub(now)
	go func() {
		(<-g.loop.queue)(st)
		time.Sleep(2 * seeks)
		for _, w := range q.waiting {
			g.loop.endWait(q, w, "unplaced", callPlacement{noTarget: true})
		}
	}()
	f.chooseTarget(send, &attemptHandle{cancel: func() {}})
	c.Check(f.waitUntil.Sub(now) >= 3*seeks, qt.IsTrue)
}

// refusalProtocol states no delay in refusals.
type refusalProtocol struct{ Protocol }

func (refusalProtocol) SetRetryAfter(http.Header, time.Duration) {}

// Guards against a trial of a rejected request that is lost with a call that was not sent.
func TestTrialOfUnsentCallIsGivenBack(t *testing.T) {
	c := qt.New(t)
	g, _, _ := startNoticeGateway(t)
	g.options.Protocol = refusalProtocol{g.options.Protocol}
	due := time.Now()
	request := func(whole uint64) *clientRequest {
		r := g.testRequest(t)
		r.identity, r.parts = suspect.Request{Content: sharedText, Whole: whole}, []uint64{sharedPart, lastPart}
		return r
	}
	rejects := func(r *clientRequest) bool {
		return query(t.Context(), g.loop, func(st *state) bool { return g.loop.rejects(st, due, r, false) })
	}
	query(t.Context(), g.loop, func(st *state) bool {
		st.setLiveGateways([]string{"g"})
		crashAll(st, 4, 500*time.Millisecond, due.Add(-3*time.Second))
		return true
	})
	unsent := request(1)
	c.Assert(rejects(unsent), qt.IsFalse)
	c.Assert(rejects(request(2)), qt.IsTrue)
	unsent.deadline = due
	g.serveCall(httptest.NewRecorder(), unsent)
	c.Check(rejects(request(3)), qt.IsFalse)
}
