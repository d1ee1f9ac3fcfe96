package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/precedence"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/retry"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// rankedConfig has a ranked service s and a service t that is not, although its account states a priority.
func rankedConfig(version uint64) *catalog.Config {
	route := func(path, service string, priority int) catalog.Route {
		return catalog.Route{Name: path, Host: "h", Prefix: path, Kind: catalog.Stream, Priority: priority, Shares: []catalog.Share{{Service: service, Weight: 1}}}
	}
	routes := []catalog.Route{route("/urgent", "s", 0), route("/patient", "s", 2), route("/plain", "t", 1)}
	return catalog.New(version, routes, []catalog.Service{{Name: "s"}, {Name: "t"}}, []catalog.Account{{Name: "x", Keys: []string{"k"}, Priority: 1}}, catalog.Limits{})
}

// Guards against engines that are not told which streams can wait, and against streams of services that are not
// ranked whose engines are told anything.
func TestEnginesAreToldPriorities(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{log: zerolog.Nop(), metrics: newMetrics(obs.NewRegistry()), options: &Options{Logger: zerolog.Nop()}}
	g.loop = newEventLoop(g.options, g.metrics)
	config := rankedConfig(1)
	priority := func(path, service string, asHighest bool) int {
		request := &clientRequest{g: g, service: service, head: Request{Host: "h", Path: path, Key: "k"}, route: config.Route("h", path)}
		return request.enginePriority(asHighest)
	}
	c.Check(priority("/urgent", "s", false), qt.Equals, -1, qt.Commentf("without a desired state"))
	g.loop.published.Store(&publishedState{desired: DesiredState{Config: config}})
	c.Check(priority("/urgent", "s", false), qt.Equals, 1)
	c.Check(priority("/urgent", "s", true), qt.Equals, 1)
	c.Check(priority("/patient", "s", false), qt.Equals, 9)
	c.Check(priority("/patient", "s", true), qt.Equals, 1)
	c.Check(priority("/plain", "t", true), qt.Equals, -1)
}

// Guards against calls whose targets are not told which of them can wait, and against targets of a service whose calls
// all have one priority that are told anything.
func TestTargetsAreToldPrioritiesOfCalls(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{log: zerolog.Nop(), metrics: newMetrics(obs.NewRegistry()), options: &Options{Logger: zerolog.Nop()}}
	g.loop = newEventLoop(g.options, g.metrics)
	route := func(path, service string, priority int) catalog.Route {
		return catalog.Route{Name: path, Host: "h", Prefix: path, Kind: catalog.Once, Priority: priority, Shares: []catalog.Share{{Service: service, Weight: 1}}}
	}
	routes := []catalog.Route{route("/order", "s", 0), route("/read", "s", 2), route("/alone", "t", 1)}
	config := catalog.New(1, routes, []catalog.Service{{Name: "s"}, {Name: "t"}}, []catalog.Account{{Name: "x", Keys: []string{"k"}, Priority: 1}}, catalog.Limits{})
	g.loop.published.Store(&publishedState{desired: DesiredState{Config: config}})
	for path, want := range map[string]int{"/order": 1, "/read": 9, "/alone": -1} {
		r := config.Route("h", path)
		request := &clientRequest{g: g, service: r.Shares[0].Service, head: Request{Host: "h", Path: path, Key: "k"}, route: r}
		c.Check(request.callPriority(), qt.Equals, want, qt.Commentf(path))
	}
}

// queueGateway is a gateway whose event loop runs, with one engine of the ranked service that has room for two streams.
func queueGateway(t *testing.T) *Gateway {
	g := &Gateway{log: zerolog.Nop(), metrics: newMetrics(obs.NewRegistry()), options: &Options{Logger: zerolog.Nop()}, ctx: t.Context(), maxRequests: 10}
	g.options.Settings = settings.Gateway{Name: "g", Bounds: settings.Bounds{RetryRatio: 0.8, RetrySlack: 150}}
	g.loop = newEventLoop(g.options, g.metrics)
	config := rankedConfig(1)
	g.loop.published.Store(&publishedState{desired: DesiredState{Config: config}})
	go func() { _ = g.loop.run(t.Context()) }()
	query(g.ctx, g.loop, func(st *state) bool {
		st.desired.Config = config
		st.fleet.Update([]membership.Registration{{ID: "e", Service: "s", Zone: "a", Slots: 9, Model: true}}, func(string) int { return 10_000 })
		return true
	})
	return g
}

// queued returns a stream that arrives at a time, as it waits.
func (g *Gateway) queued(now time.Time, path string, objective time.Duration) (*stream, *queuedStream) {
	request := &clientRequest{
		g: g, ctx: g.ctx, service: "s", head: Request{Host: "h", Path: path, Key: "k"}, log: zerolog.Nop(), arrived: now, deadline: now.Add(25 * time.Second),
		route: &catalog.Route{Name: path, Kind: catalog.Stream, TargetLatency: objective, Resumable: true},
	}
	s := &stream{g: g, req: request, prompt: placement.GenerationSize{PromptTokens: 4000, OutputTokens: 600}}
	s.machine = relay.New(relay.Options{Resumable: true, MaxAttempts: 5, Arrived: now, Deadline: request.deadline})
	s.machine.Start()
	return s, &queuedStream{s: s, result: make(chan placementResult, 1)}
}

// await starts a stream that seeks a place, and returns the end of its wait.
func (g *Gateway) await(ctx context.Context, path string, objective time.Duration) (*stream, <-chan []relay.Effect) {
	s, _ := g.queued(time.Now(), path, objective)
	s.req.ctx = ctx
	done := make(chan []relay.Effect, 1)
	go func() { done <- s.chooseTarget(relay.ChooseTarget{}) }()
	return s, done
}

// counted returns the sum of a counter over its labels.
func counted(c *qt.C, counter prometheus.Collector) float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(counter)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	sum := 0.0
	for _, family := range families {
		for _, metric := range family.Metric {
			sum += metric.Counter.GetValue()
		}
	}
	return sum
}

func (g *Gateway) waiting() int {
	return query(g.ctx, g.loop, func(st *state) int {
		if st.streamQueues["s"] == nil {
			return 0
		}
		return st.streamQueues["s"].queue.Len()
	})
}

// Scenario: more streams than an engine has room for. Guards against memory that is promised twice before the attempts
// start, against clients that leave and stay in the queue, against streams that miss the room that becomes free or
// wait for it beyond 0.75 of their objective, and against a refusal without a delay.
func TestStreamsWaitForRoom(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	first, done := g.await(t.Context(), "/patient", 10*time.Second)
	c.Assert(<-done, qt.HasLen, 1)
	_, done = g.await(t.Context(), "/patient", 10*time.Second)
	<-done
	ctx, leave := context.WithCancel(t.Context())
	_, left := g.await(ctx, "/urgent", 10*time.Second)
	next, placed := g.await(t.Context(), "/urgent", 10*time.Second)
	for g.waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	leave()
	<-left
	c.Check(g.waiting(), qt.Equals, 1)
	refused, ended := g.await(t.Context(), "/patient", 100*time.Millisecond)
	c.Check(<-ended, qt.DeepEquals, []relay.Effect{relay.Finish{Outcome: relay.NoTarget}})
	c.Check(refused.req.retryDelay(0) >= 800*time.Millisecond, qt.IsTrue)
	c.Check(counted(c, g.metrics.queueRefusals), qt.Equals, 1.0)
	g.loop.post(g.ctx, func(st *state) {
		st.fleet.EndStream(time.Now(), "e", "", first.placed.reserved, first.prompt, false)
		g.loop.streamEnded(st, time.Now(), "s", 4600)
	})
	c.Assert(<-placed, qt.HasLen, 1)
	c.Check(next.placed.reserved > 0, qt.IsTrue)
	c.Check(g.waiting(), qt.Equals, 0)
}

// Guards against waiting streams of which other gateways do not learn, and against reports with impossible values that
// are used or by which the rest of the message is lost.
func TestWaitingStreamsReachOtherGateways(t *testing.T) {
	c := qt.New(t)
	g, other := queueGateway(t), queueGateway(t)
	for range 3 {
		_, done := g.await(t.Context(), "/urgent", 10*time.Second)
		select {
		case <-done:
		case <-time.After(30 * time.Millisecond):
		}
	}
	msg := query(g.ctx, g.loop, func(st *state) *wire.GatewayState {
		msg := &wire.GatewayState{Name: "g"}
		st.exportWaiting(msg, time.Now())
		return msg
	})
	c.Assert(msg.Waiting, qt.HasLen, 1)
	c.Check(msg.Waiting[0].Tokens, qt.Equals, uint32(4600))
	msg.Waiting = append(msg.Waiting, &wire.WaitingWork{Service: serviceKey("s"), Streams: 1 << 31, RoutePriority: 7}, &wire.WaitingWork{Service: serviceKey("s")})
	_, done := other.await(t.Context(), "/patient", 10*time.Second)
	<-done
	// The engine has room for one more, which the urgent stream at the first gateway waits for.
	other.loop.post(other.ctx, func(st *state) { other.loop.mergeWaiting(st, time.Now(), msg) })
	_, done = other.await(t.Context(), "/patient", 10*time.Second)
	select {
	case <-done:
		c.Error("patient stream took the room that an urgent one elsewhere waits for")
	case <-time.After(200 * time.Millisecond):
	}
	c.Check(counted(c, other.metrics.invalidReports), qt.Equals, 2.0)
}

// Guards against a stream that is refused at the end of its wait although room became free since the last pass.
func TestRoomIsOfferedBeforeRefusal(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		_, w := g.queued(now, "/patient", 10*time.Second)
		size := placement.GenerationSize{PromptTokens: 9000}
		id := st.fleet.BeginStream(now, "e", "", size)
		g.loop.enqueueStream(st, now, w)
		c.Check(st.streamQueues["s"].queue.Len(), qt.Equals, 1)
		now = now.Add(8 * time.Second)
		st.fleet.EndStream(now, "e", "", id, size, false)
		g.loop.tickQueues(st, now)
		c.Check((<-w.result).ok, qt.IsTrue)
		return true
	})
}

// Guards against a class from the time of the enqueue: streams that a rollout restricts to other versions would be
// taken to find no room where the first one finds none.
func TestRolloutChangesClassOfWaitingStreams(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		st.fleet.BeginStream(now, "e", "", placement.GenerationSize{PromptTokens: 9000})
		for range 2 {
			_, w := g.queued(now, "/patient", 10*time.Second)
			g.loop.enqueueStream(st, now, w)
		}
		q := st.streamQueues["s"]
		offers := func() int {
			n := 0
			q.lastDispatch = time.Time{}
			g.loop.dispatch(st, now, q)
			q.queue.Dispatch(now, func(*precedence.Waiting, precedence.Offer) precedence.Placing {
				n++
				return precedence.NoRoom
			})
			return n
		}
		c.Check(offers(), qt.Equals, 1)
		st.orders["s"] = &trackedOrder{}
		c.Check(offers(), qt.Equals, 2)
		delete(st.orders, "s")
		c.Check(offers(), qt.Equals, 1)
		return true
	})
}

// Guards against streams at the end of their wait whose refusal does not say that the retry budget was spent.
func TestRefusalSaysThatBudgetIsSpent(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		st.budgets["s"] = retry.NewSharedBudget(now, retry.Bounds{Window: time.Minute}, 1)
		st.fleet.BeginStream(now, "e", "", placement.GenerationSize{PromptTokens: 9000})
		s, w := g.queued(now, "/patient", 10*time.Second)
		s.machine.Placed(now, relay.Placement{Target: "other"})
		s.machine.AttemptFailed(now, relay.Interrupted)
		c.Assert(s.machine.Arrived(), qt.IsTrue)
		// Only a stream whose client has events ends its wait after 3 s.
		w.ran, s.req.head.LastEventID = true, 1
		g.loop.enqueueStream(st, now, w)
		g.loop.tickQueues(st, now.Add(4*time.Second))
		p := <-w.result
		c.Check(p.ok, qt.IsFalse)
		c.Check(p.budgetSpent, qt.IsTrue)
		return true
	})
}

// Guards against streams at the end of their wait whose refusal does not say that their request is rejected.
func TestRefusalSaysThatRequestIsRejected(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		st.fleet.BeginStream(now, "e", "", placement.GenerationSize{PromptTokens: 9000})
		s, w := g.queued(now, "/patient", 10*time.Second)
		// Only a stream whose client has events ends its wait after 3 s.
		w.ran, s.req.head.LastEventID = true, 1
		g.loop.enqueueStream(st, now, w)
		crashAll(st, 4, 500*time.Millisecond, now)
		rejected := streamOf(g, 1)
		s.req.identity, s.req.parts = rejected.identity, rejected.parts
		refusals := st.streamQueues["s"].queue.Expire(now.Add(4 * time.Second))
		c.Assert(refusals, qt.HasLen, 1)
		// Trials are due only for requests that have reached no target.
		s.machine.Placed(now, relay.Placement{Target: "other"})
		s.machine.AttemptFailed(now, relay.Interrupted)
		g.loop.expireQueued(st, now.Add(4*time.Second), st.streamQueues["s"], refusals[0])
		p := <-w.result
		c.Check(p.ok, qt.IsFalse)
		c.Check(p.rejected, qt.IsTrue)
		return true
	})
}

// Guards against a Retry-After that is too short after a crash: only attempts that ran at a live engine free memory.
func TestFreedTokensAreOfLiveEngines(t *testing.T) {
	c := qt.New(t)
	g := queueGateway(t)
	query(g.ctx, g.loop, func(st *state) bool {
		now := time.Now()
		freed := func(loss relay.Loss, sent bool) int {
			a := &attempt{size: placement.GenerationSize{PromptTokens: 4000, OutputTokens: 600}, handle: &attemptHandle{}}
			a.start.Placement.Target = "e"
			a.reg.ID = "e"
			a.handle.sent.Store(sent)
			return a.freedTokens(st, now, loss)
		}
		c.Check(freed(0, true), qt.Equals, 4600)
		c.Check(freed(relay.Stalled, true), qt.Equals, 4600)
		c.Check(freed(0, false), qt.Equals, 0)
		for _, loss := range []relay.Loss{relay.Unsent, relay.Refused, relay.Replaced, relay.Interrupted, relay.TargetDown, relay.Failed} {
			c.Check(freed(loss, true), qt.Equals, 0, qt.Commentf("%s", loss))
		}
		st.fleet.MarkDown(now, "e")
		c.Check(freed(0, true), qt.Equals, 0)
		return true
	})
}
