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
	// callPlaceRetry is the pause between two tries to place a short call, well below its
	// objective of 100 ms.
	callPlacementRetryInterval = 5 * time.Millisecond
	// maxAnswerBytes bounds one answer of a target that is kept in memory.
	maxResponseBytes = 4 << 20
	// maxIdle and maxIdleOnce are how long ago a connection must have been used to be used
	// again. A request that may run once is lost if the target closed the connection
	// meanwhile, so that it takes only connections used lately.
	maxIdle              = 4 * time.Second
	maxIdleNonRepeatable = 1500 * time.Millisecond
)

// attemptEnd is how one attempt of a call ended.
type attemptResult struct {
	attempt  int
	result   forward.Result
	response TargetResponse
	body     []byte
	target   string
}

// exchange runs one short request.
type callForwarder struct {
	g         *Gateway
	req       *clientRequest
	machine   *forward.Machine
	results   chan attemptResult
	byAttempt map[int]attemptResult
	// attempts runs until the deadline also after the client was answered, so that a
	// target that is at work is not interrupted.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
	sent           int
}

// serveCall forwards a short request.
func (g *Gateway) serveCall(w http.ResponseWriter, c *clientRequest) {
	usualLatency := query(c.ctx, g.loop, func(st *state) time.Duration {
		g.loop.budget(st, time.Now(), c.service).OnRequest()
		return st.latency(c.service).Mean()
	})
	x := &callForwarder{
		g: g, req: c, results: make(chan attemptResult, 8), byAttempt: map[int]attemptResult{},
		machine: forward.New(forward.Options{
			Idempotent: c.route.Repeatable(), MaxAttempts: c.route.MaxAttempts, Deadline: c.deadline,
			TypicalLatency: usualLatency, TargetLatency: c.route.TargetLatency,
		}),
	}
	x.attemptsCtx, x.cancelAttempts = context.WithDeadline(g.ctx, c.deadline)
	finish := x.run()
	if finish.Outcome == forward.CallerLeft {
		x.cancelAttempts()
	} else {
		// The context ends by its deadline; attempts that are still open run until then.
		context.AfterFunc(x.attemptsCtx, x.cancelAttempts)
	}
	x.respond(w, finish)
}

// run drives the machine to its end.
func (x *callForwarder) run() forward.Finish {
	queue := x.machine.Start(time.Now())
	for {
		for len(queue) > 0 {
			effect := queue[0]
			queue = queue[1:]
			switch e := effect.(type) {
			case forward.Finish:
				return e
			case forward.Send:
				queue = append(queue, x.send(e)...)
			}
		}
		queue = x.wait()
	}
}

// wait returns the effects of whatever comes first.
func (x *callForwarder) wait() []forward.Effect {
	timer := time.NewTimer(time.Until(x.machine.NextCheck()))
	defer timer.Stop()
	select {
	case <-x.req.ctx.Done():
		return x.machine.CallerDisconnected()
	case r := <-x.results:
		x.byAttempt[r.attempt] = r
		return x.machine.AttemptEnded(time.Now(), r.attempt, r.result)
	case <-timer.C:
		return x.machine.Check(time.Now())
	}
}

// send starts one attempt at the target that the director chooses.
func (x *callForwarder) send(e forward.Send) []forward.Effect {
	ctx, cancel := context.WithCancel(x.attemptsCtx)
	handle := &attemptHandle{fingerprint: x.req.fingerprint, cancel: cancel}
	waitUntil := time.Now().Add(time.Duration(placementWaitShare * float64(x.req.route.TargetLatency)))
	for {
		reg, ok := x.choose(e, handle)
		if ok {
			x.sent++
			x.machine.TargetChosen(reg.ID)
			go func() {
				defer cancel()
				x.attempt(ctx, e.Attempt, reg, handle)
			}()
			return nil
		}
		if e.Retry || x.req.rejected || !time.Now().Before(waitUntil) || x.req.ctx.Err() != nil {
			cancel()
			return x.machine.NoTarget(e.Attempt)
		}
		sleep(x.req.ctx, callPlacementRetryInterval)
	}
}

func (x *callForwarder) choose(e forward.Send, handle *attemptHandle) (membership.Registration, bool) {
	type choice struct {
		reg membership.Registration
		ok  bool
	}
	c := query(x.req.ctx, x.g.loop, func(st *state) choice {
		now := time.Now()
		if st.suspects.Rejected(x.req.fingerprint, now) {
			x.req.rejected = true
			return choice{}
		}
		if e.Retry && !x.g.loop.budget(st, now, x.req.service).TakeRetry() {
			x.g.metrics.retriesRefused.WithLabelValues(x.req.service).Inc()
			return choice{}
		}
		query := placement.FleetQuery{Service: x.req.service, Exclude: e.Exclude}
		st.restrictVersion(now, &query, x.req.versionDraw)
		reg, ok := st.fleet.ChooseCall(now, query)
		if ok {
			st.fleet.BeginCall(reg.ID)
			st.addAttempt(reg.ID, handle)
		}
		return choice{reg, ok}
	})
	if c.ok && e.Retry {
		x.req.log.Info().Str("target", c.reg.ID).Bool("hedge", e.Hedge).Int("attempt", e.Attempt).Msg("call sent again")
	}
	return c.reg, c.ok
}

// attempt sends the request to one target and reports the end.
func (x *callForwarder) attempt(ctx context.Context, attempt int, reg membership.Registration, handle *attemptHandle) {
	start := time.Now()
	r := x.sendOnce(ctx, reg, handle)
	r.attempt, r.target = attempt, reg.ID
	took := time.Since(start)
	latency := took
	failed := r.result == forward.TargetError || r.result == forward.Unknown || r.result == forward.Unsent
	x.g.loop.post(x.g.ctx, func(st *state) {
		now := time.Now()
		st.removeAttempt(reg.ID, handle)
		if r.result == forward.Success {
			st.latency(x.req.service).Observe(latency)
			st.suspects.ClearIfSafe(x.req.fingerprint, took, true)
		} else {
			latency = 0
		}
		if x.req.ctx.Err() != nil {
			failed = false
		}
		if r.result.Ran() {
			st.observeAttempt(now, reg, x.req.route.Name, took, failed)
		}
		st.fleet.EndCall(now, reg.ID, latency, failed)
		if r.result == forward.Replaced {
			st.fleet.MarkReplaced(reg.ID)
		}
	})
	x.g.metrics.attempts.WithLabelValues(r.result.String()).Inc()
	if r.result != forward.Success && ctx.Err() == nil {
		x.req.log.Info().Str("target", reg.ID).Int("attempt", attempt).Stringer("result", r.result).Int("status", r.response.Status).
			Dur("took", took).Msg("call attempt failed")
	}
	x.results <- r
}

// once makes one exchange with a target.
func (x *callForwarder) sendOnce(ctx context.Context, reg membership.Registration, handle *attemptHandle) attemptResult {
	idleLimit := maxIdle
	if !x.req.route.Repeatable() {
		idleLimit = maxIdleNonRepeatable
	}
	conn, err := x.g.pool.Get(ctx, reg.Address, idleLimit)
	if err != nil {
		x.g.handleDialError(reg, err)
		return attemptResult{result: forward.Unsent}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	msg := x.req.targetRequest(x.g.options.Protocol.EncodeAttempt(&Attempt{
		Request: &x.req.head, Target: reg, Account: x.req.account, Timeout: time.Until(x.req.deadline), Priority: -1,
	}))
	handle.sent.Store(true)
	sent, err := conn.Send(msg)
	if err != nil {
		_ = conn.Close()
		if !sent {
			return attemptResult{result: forward.Unsent}
		}
		return x.connectionLost(ctx, reg, err)
	}
	r, reusable, err := x.receive(conn)
	if err != nil {
		_ = conn.Close()
		return x.connectionLost(ctx, reg, err)
	}
	if reusable && stop() {
		x.g.pool.Put(conn)
	} else {
		_ = conn.Close()
	}
	return r
}

// lost handles a connection that broke after the request was sent.
func (x *callForwarder) connectionLost(ctx context.Context, reg membership.Registration, err error) attemptResult {
	x.req.log.Info().Str("target", reg.ID).Err(err).Msg("connection to target broke")
	if ctx.Err() == nil {
		x.g.probeTarget(reg)
	}
	return attemptResult{result: forward.Unknown}
}

// receive reads answers until the one to this request. A late answer to an earlier
// request of the connection is dropped.
func (x *callForwarder) receive(conn *target.Conn) (attemptResult, bool, error) {
	for {
		response, err := conn.Receive(x.req.head.Method)
		if err != nil {
			return attemptResult{}, false, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
		if err != nil {
			return attemptResult{}, false, err
		}
		if len(body) > maxResponseBytes {
			return attemptResult{}, false, errors.New("the answer is longer than 4 MiB")
		}
		decoded := x.g.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
		if decoded.RequestID != x.req.head.ID && (decoded.RequestID != "" || !decoded.NotRun) {
			x.g.metrics.strayResponses.Inc()
			x.req.log.Info().Str("answered_id", decoded.RequestID).Int("status", decoded.Status).Msg("answer to another request dropped")
			if response.Close {
				return attemptResult{}, false, io.ErrUnexpectedEOF
			}
			continue
		}
		return attemptResult{result: classify(&decoded), response: decoded, body: body}, !response.Close && !decoded.Close, nil
	}
}

// classify maps an answer to the result of its attempt.
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

// promisesNotRun reports whether clients take a status for a promise that the request
// did not and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respond answers the client.
func (x *callForwarder) respond(w http.ResponseWriter, f forward.Finish) {
	r, answered := x.byAttempt[f.Attempt]
	names := map[forward.Outcome]string{
		forward.Answered: "answered", forward.NotRun: "not_run", forward.Uncertain: "uncertain",
		forward.TimedOut: "timed_out", forward.CallerLeft: "caller_left",
	}
	name := names[f.Outcome]
	if f.Outcome == forward.Answered {
		name = r.result.String()
	}
	x.req.logEnd(name, x.sent, r.target, nil)
	switch {
	case f.Outcome == forward.CallerLeft:
	case f.Outcome == forward.Answered && r.result == forward.TargetError,
		f.Outcome == forward.TimedOut && answered:
		x.g.forwardFailure(w, r.response, r.body)
	case f.Outcome == forward.Answered:
		x.g.writeResponse(w, r.response, r.body)
	case x.req.rejected:
		x.g.refuse(w, x.req, result.CrashesTargets, 0)
	case f.Outcome == forward.NotRun:
		x.g.refuse(w, x.req, result.NoTarget, callRetryAfter)
	case f.Outcome == forward.TimedOut:
		x.g.refuse(w, x.req, result.TargetSilent, 0)
	default:
		x.g.refuse(w, x.req, result.OutcomeUnknown, 0)
	}
}

// latency returns the usual latency of a service.
func (st *state) latency(service string) *retry.Estimate {
	e := st.latencies[service]
	if e == nil {
		e = &retry.Estimate{}
		st.latencies[service] = e
	}
	return e
}
