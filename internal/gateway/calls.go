package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/retry"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/result"
)

const (
	// callPlacementRetryInterval is the pause between attempts to place a non-streaming request,
	// well below its latency objective of 100 ms.
	callPlacementRetryInterval = 5 * time.Millisecond
	// maxResponseBytes limits the body of a target's response, which is buffered in memory.
	maxResponseBytes = 4 << 20
	// maxIdle and maxIdleNonRepeatable limit the idle time of reused connections for repeatable
	// and non-repeatable requests. A request is lost if the target has closed the connection,
	// and a non-repeatable one cannot be sent again.
	maxIdle              = 4 * time.Second
	maxIdleNonRepeatable = 1500 * time.Millisecond
)

// attemptResult is the result of an attempt of a non-streaming request.
type attemptResult struct {
	attempt  int
	result   forward.Result
	response TargetResponse
	body     []byte
	target   string
	// withheld is set if the request was not sent because the target leaves or asked for a pause, or because of
	// this gateway's own delay.
	withheld bool
}

// judgesTarget reports whether the result tells whether the target fails its calls. After the client has left, only a
// success does.
func (r *attemptResult) judgesTarget(clientLeft bool) bool {
	switch r.result {
	case forward.Success:
		return true
	case forward.TargetError, forward.Unknown:
		return !clientLeft
	case forward.Unsent:
		return !clientLeft && !r.withheld
	}
	return false
}

// callForwarder forwards one non-streaming request.
type callForwarder struct {
	g         *Gateway
	req       *clientRequest
	machine   *forward.Machine
	results   chan attemptResult
	byAttempt map[int]attemptResult
	// attemptsCtx ends at the deadline. It outlasts the response to the client, so that other
	// attempts in progress are not interrupted.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
	sendCount      int
	// waitUntil is until when the call waits for a target, not counting its wait for its turn.
	waitUntil time.Time
	// sentTo holds the addresses to which the request has been sent.
	sentTo map[string]bool
	// refusedFor is the delay to state to the client because the call cannot be answered in time, 0 if it can.
	refusedFor time.Duration
	// responded is closed when the client has got its response, or none will come. Until then the body of
	// each response occupies memory.
	responded chan struct{}
}

// serveCall forwards a non-streaming request and responds to the client.
func (g *Gateway) serveCall(w http.ResponseWriter, c *clientRequest) {
	typicalLatency := query(c.ctx, g.loop, func(st *state) time.Duration {
		g.loop.budget(st, time.Now(), c.service).OnRequest()
		return st.latency(c.service).Mean()
	})
	f := &callForwarder{
		g: g, req: c, results: make(chan attemptResult, 8), byAttempt: map[int]attemptResult{}, sentTo: map[string]bool{},
		responded: make(chan struct{}),
		machine: forward.New(forward.Options{
			Idempotent: c.route.Repeatable(), MaxAttempts: c.route.MaxAttempts, Deadline: c.deadline,
			TypicalLatency: typicalLatency, TargetLatency: c.route.TargetLatency,
		}),
	}
	defer close(f.responded)
	f.attemptsCtx, f.cancelAttempts = context.WithDeadline(g.ctx, c.deadline)
	finish := f.run()
	if f.sendCount == 0 {
		g.loop.post(g.ctx, func(st *state) { g.loop.returnTrials(st, c) })
	}
	if finish.Outcome == forward.CallerLeft {
		f.cancelAttempts()
	} else {
		// Attempts that are still open continue until the deadline ends the context.
		context.AfterFunc(f.attemptsCtx, f.cancelAttempts)
	}
	f.respond(w, finish)
}

// run applies the effects of the state machine until it finishes.
func (f *callForwarder) run() forward.Finish {
	queue := f.machine.Start(time.Now())
	for {
		for len(queue) > 0 {
			effect := queue[0]
			queue = queue[1:]
			switch e := effect.(type) {
			case forward.Finish:
				return e
			case forward.Send:
				queue = append(queue, f.send(e)...)
			}
		}
		queue = f.wait()
	}
}

// wait returns the effects of the next event of the request.
func (f *callForwarder) wait() []forward.Effect {
	timer := time.NewTimer(time.Until(f.machine.NextCheck()))
	defer timer.Stop()
	select {
	case <-f.req.ctx.Done():
		return f.machine.CallerDisconnected()
	case r := <-f.results:
		f.byAttempt[r.attempt] = r
		return f.machine.AttemptEnded(time.Now(), r.attempt, r.result)
	case <-timer.C:
		return f.machine.Check(time.Now())
	case <-f.g.answersEnd:
		// An answer tells the client whether the call may have run; a closed connection would not.
		return f.machine.Check(f.req.deadline)
	}
}

// send starts an attempt at a target that the event loop chooses. It waits a limited time for
// a target unless this is a retry.
func (f *callForwarder) send(e forward.Send) []forward.Effect {
	ctx, cancel := context.WithCancel(f.attemptsCtx)
	handle := &attemptHandle{
		requestID: f.req.head.ID, identity: f.req.identity, promptParts: f.req.head.PromptParts, parts: f.req.parts, onTrial: f.req.onTrial.Load,
		cancel: cancel, startedAt: time.Now(),
	}
	f.limitWait()
	for {
		reg, held, ok := f.chooseTarget(e, handle)
		if f.refusedFor > 0 {
			cancel()
			return f.machine.NoTarget(time.Now(), e.Attempt)
		}
		if ok {
			f.sendCount++
			f.machine.TargetChosen(reg.ID)
			connect := f.connector(reg.Address)
			f.sentTo[reg.Address] = true
			go func() {
				defer cancel()
				f.attempt(ctx, e, reg, handle, connect)
			}()
			return nil
		}
		f.req.heldDelay = held.delay
		if held.hopeless(f.waitUntil) {
			if !e.Hedge {
				f.req.logHeld(&held)
			}
			cancel()
			return f.machine.NoTarget(time.Now(), e.Attempt)
		}
		if e.Retry || f.req.rejected || f.g.mustAnswer() || !time.Now().Before(f.req.deadline) || !time.Now().Before(f.waitUntil) || f.req.ctx.Err() != nil {
			cancel()
			return f.machine.NoTarget(time.Now(), e.Attempt)
		}
		sleep(f.req.ctx, callPlacementRetryInterval)
	}
}

// limitWait sets until when the call waits for a target from now on.
func (f *callForwarder) limitWait() {
	f.waitUntil = time.Now().Add(time.Duration(placementWaitFraction * float64(f.req.route.TargetLatency)))
}

func (f *callForwarder) chooseTarget(e forward.Send, handle *attemptHandle) (membership.Registration, heldPlacement, bool) {
	// The choice is made or not, whether or not the client leaves meanwhile: what it takes is given back
	// only if its result is known here.
	c := query(f.g.ctx, f.g.loop, func(st *state) callPlacement {
		now := time.Now()
		if f.req.ctx.Err() != nil || !now.Before(f.req.deadline) {
			return callPlacement{}
		}
		if q := st.pacedQueue(now, f.req.service); q != nil {
			return f.g.loop.enqueueCall(st, now, q, f, e, handle)
		}
		return f.g.loop.placeCall(st, now, f, e, handle, nil)
	})
	if c.waiting != nil {
		c = f.awaitTurn(c.waiting)
		f.refusedFor = c.refusedFor
		f.machine.Waited(time.Now())
		f.limitWait()
	}
	if c.ok && e.Retry {
		f.req.log.Info().Str("target", c.reg.ID).Bool("hedge", e.Hedge).Int("attempt", e.Attempt).Msg("request sent to another target")
	}
	return c.reg, c.held, c.ok
}

// placeCall chooses a target for an attempt and begins the attempt there. limits holds the number of this gateway's
// calls below which each target may be chosen; nil means no limits.
func (l *eventLoop) placeCall(st *state, now time.Time, f *callForwarder, e forward.Send, handle *attemptHandle, limits map[string]int) callPlacement {
	if l.rejects(st, now, f.req, f.sendCount > 0) {
		f.req.rejected = true
		return callPlacement{}
	}
	fleetQuery := placement.FleetQuery{Service: f.req.service, Exclude: e.Exclude}
	st.restrictVersion(now, &fleetQuery, f.req.versionDraw)
	fleetQuery.CallLimits = limits
	withoutShare := limits != nil && !st.fleet.HasCallShare(now, fleetQuery)
	switch {
	case !withoutShare:
	case e.Hedge:
		return callPlacement{noTarget: true}
	case f.machine.MayHaveRun():
		// It must go to another target. Waiting for a share there may last until the deadline.
		fleetQuery.CallLimits = st.singleCallLimits(now, f.req.service)
	default:
		// The targets with a share have rejected the call without running it. It may go to one of them again.
		fleetQuery.Exclude = nil
	}
	reg, ok := st.fleet.ChooseCall(now, fleetQuery)
	if !ok {
		mayWait := !withoutShare || !f.machine.MayHaveRun()
		return callPlacement{noTarget: mayWait, held: st.heldPlacement(now, fleetQuery, callRetryAfter)}
	}
	if e.Repeat && !l.budget(st, now, f.req.service).TakeRetry(st.inflightStreams[f.req.service]) {
		l.metrics.retriesRefused.WithLabelValues(f.req.service).Inc()
		return callPlacement{reg: reg}
	}
	st.fleet.BeginCall(reg.ID)
	// Crashes that were recorded before are those before which the attempt did not begin.
	handle.startedAt = now
	st.addAttempt(reg.ID, handle)
	return callPlacement{reg: reg, ok: true}
}

// connector returns how an attempt connects to an address. The request uses a kept connection once
// per address: its first attempt may have used any of them, and a late copy of that response would
// carry the ID of this request too. A restarted target has a new ID, so that the same address can
// be chosen again.
func (f *callForwarder) connector(address string) func(context.Context) (*target.Conn, error) {
	if f.sentTo[address] {
		return func(ctx context.Context) (*target.Conn, error) { return f.g.pool.Dial(ctx, address) }
	}
	idleLimit := maxIdle
	if !f.req.route.Repeatable() {
		idleLimit = maxIdleNonRepeatable
	}
	return func(ctx context.Context) (*target.Conn, error) { return f.g.pool.Get(ctx, address, idleLimit) }
}

// attempt sends the request to a target, records the outcome and delivers the result.
func (f *callForwarder) attempt(ctx context.Context, e forward.Send, reg membership.Registration, handle *attemptHandle, connect func(context.Context) (*target.Conn, error)) {
	memory := f.g.memory.Reserve()
	defer memory.Release()
	start := time.Now()
	r := f.sendOnce(ctx, reg, handle, connect, memory)
	r.attempt, r.target = e.Attempt, reg.ID
	took := time.Since(start)
	latency := took
	failed := r.result == forward.TargetError || r.result == forward.Unknown || r.result == forward.Unsent && !r.withheld
	f.g.loop.post(f.g.ctx, func(st *state) {
		now := time.Now()
		st.removeAttempt(reg.ID, handle)
		if e.Repeat && r.result == forward.Unsent {
			f.g.loop.budget(st, now, f.req.service).Refund()
		}
		if r.result == forward.Success {
			st.latency(f.req.service).Observe(latency)
			f.g.loop.requestCompleted(st, now, f.req, took)
		} else {
			latency = 0
		}
		if f.req.ctx.Err() != nil {
			failed = false
		}
		if r.result.Ran() {
			st.observeAttempt(now, reg, f.req.route.Name, took, failed)
		}
		if r.judgesTarget(f.req.ctx.Err() != nil) {
			st.fleet.EndCall(now, reg.ID, latency, failed)
		} else {
			st.fleet.EndCallWithoutVerdict(now, reg.ID)
		}
		if r.result == forward.Replaced {
			st.fleet.MarkReplaced(time.Now(), reg.ID)
		}
		f.g.loop.callEnded(st, now, f.req.service, reg, &r)
	})
	f.g.metrics.attempts.WithLabelValues(r.result.String()).Inc()
	if r.result != forward.Success && ctx.Err() == nil {
		f.req.log.Info().Str("target", reg.ID).Int("attempt", e.Attempt).Stringer("result", r.result).Int("status", r.response.Status).
			Dur("took", took).Msg("attempt failed")
	}
	f.results <- r
	<-f.responded
}

// sendOnce sends the request to a target and reads the response.
func (f *callForwarder) sendOnce(ctx context.Context, reg membership.Registration, handle *attemptHandle, connect func(context.Context) (*target.Conn, error), memory *target.Reservation) attemptResult {
	conn, err := connect(ctx)
	if err != nil {
		f.g.handleDialError(reg, err)
		return attemptResult{result: forward.Unsent, withheld: errors.Is(err, target.ErrAbandoned)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	msg := f.req.targetRequest(f.g.options.Protocol.EncodeAttempt(&Attempt{
		Request: &f.req.head, Target: reg, Account: f.req.account, Timeout: time.Until(f.req.deadline), Priority: f.req.callPriority(),
	}))
	msg.Permit = f.g.sendPermit(reg, f.req)
	handle.sent.Store(true)
	sentAt := time.Now()
	sent, err := conn.Send(msg)
	if f.req.withheld(reg, err) {
		handle.sent.Store(false)
		if stop() {
			f.g.pool.Put(conn)
		}
		return attemptResult{result: forward.Unsent, withheld: true}
	}
	if err != nil {
		_ = conn.Close()
		if !sent {
			return attemptResult{result: forward.Unsent}
		}
		return f.connectionLost(ctx, reg, err)
	}
	r, reusable, err := f.receive(ctx, conn, reg, sentAt, memory)
	if err != nil {
		f.req.observeUndelivered(reg, conn)
		_ = conn.Close()
		return f.connectionLost(ctx, reg, err)
	}
	if reusable && stop() {
		f.g.pool.Put(conn)
	} else {
		_ = conn.Close()
	}
	return r
}

// connectionLost handles a connection that failed after the request was sent.
func (f *callForwarder) connectionLost(ctx context.Context, reg membership.Registration, err error) attemptResult {
	f.req.log.Info().Str("target", reg.ID).Err(err).Msg("connection to target failed; outcome of the request is unknown")
	if ctx.Err() == nil {
		f.g.probeTarget(reg)
	}
	return attemptResult{result: forward.Unknown}
}

// receive reads the response to this request, sent at the given time, and reports whether the connection can be
// reused. It drops late responses to earlier requests.
func (f *callForwarder) receive(ctx context.Context, conn *target.Conn, reg membership.Registration, sentAt time.Time, memory *target.Reservation) (attemptResult, bool, error) {
	for {
		response, err := conn.Receive(f.req.head.Method)
		if err != nil {
			return attemptResult{}, false, err
		}
		header := f.g.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
		f.g.observeResponse(reg, &header, f.req.head.ID, conn.Reused)
		body, err := target.ReadBody(response.Body, maxResponseBytes, memory)
		if err != nil {
			return attemptResult{}, false, err
		}
		if !header.answers(f.req.head.ID, conn.Reused) {
			f.g.metrics.strayResponses.Inc()
			f.req.log.Info().Str("answered_id", header.RequestID).Int("status", header.Status).Msg("response to another request dropped")
			if response.Close {
				return attemptResult{}, false, io.ErrUnexpectedEOF
			}
			continue
		}
		result := classify(&header)
		end := unframedEnd{reg: reg, sentAt: sentAt, conn: conn, final: !f.req.route.Repeatable()}
		if result.Ran() && endsWithConnection(response) && !f.g.checkUnframedEnd(ctx, end) {
			return attemptResult{}, false, errEndUnconfirmed
		}
		return attemptResult{result: result, response: header, body: body}, !response.Close && !header.Close, nil
	}
}

// answers reports whether the response belongs to the request with an ID. A response without an ID
// does only if it says that the request was not run and its connection has carried no other
// request: on a connection used before, a target may repeat an earlier response.
func (r *TargetResponse) answers(requestID string, reused bool) bool {
	return r.RequestID == requestID || r.RequestID == "" && r.NotRun && !reused
}

// classify maps a response to the result of its attempt.
func classify(r *TargetResponse) forward.Result {
	switch {
	case r.InstanceMismatch:
		return forward.Replaced
	case r.NotRun:
		return forward.Refused
	case r.Status >= 200 && r.Status < 300:
		if r.Signed {
			return forward.Success
		}
		return forward.Unknown
	case r.Status >= 500, impliesNotRun(r.Status):
		return forward.TargetError
	}
	return forward.ClientError
}

// impliesNotRun reports whether clients interpret a status as a guarantee that the request was
// not and will not be executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respond sends the final response to the client. If the client has left, it aborts the connection:
// a handler that returns without a response sends an empty success, and the client may have closed
// only its sending side.
func (f *callForwarder) respond(w http.ResponseWriter, finish forward.Finish) {
	r, answered := f.byAttempt[finish.Attempt]
	names := map[forward.Outcome]string{
		forward.Answered: "answered", forward.NotRun: "not_run", forward.Uncertain: "uncertain",
		forward.TimedOut: "timed_out", forward.CallerLeft: "caller_left",
	}
	name := names[finish.Outcome]
	if finish.Outcome == forward.Answered {
		name = r.result.String()
	}
	f.req.logEnd(name, f.sendCount, r.target, nil)
	switch {
	case finish.Outcome == forward.CallerLeft:
		panic(http.ErrAbortHandler)
	case finish.Outcome == forward.Answered && r.result == forward.TargetError,
		finish.Outcome == forward.TimedOut && answered:
		f.g.forwardFailure(w, r.response, r.body)
	case finish.Outcome == forward.Answered:
		f.g.writeResponse(w, r.response, r.body)
	case f.req.rejected:
		f.g.refuse(w, f.req, result.CrashesTargets, 0)
	case finish.Outcome == forward.NotRun && f.refusedFor > 0:
		f.g.refuse(w, f.req, result.Overloaded, f.refusedFor)
	case finish.Outcome == forward.NotRun:
		f.g.refuse(w, f.req, result.NoTarget, f.req.retryDelay(callRetryAfter))
	case finish.Outcome == forward.TimedOut:
		f.g.refuse(w, f.req, result.TargetSilent, 0)
	default:
		f.g.refuse(w, f.req, result.OutcomeUnknown, 0)
	}
}

func (st *state) latency(service string) *retry.Estimate {
	e := st.latencies[service]
	if e == nil {
		e = &retry.Estimate{}
		st.latencies[service] = e
	}
	return e
}
