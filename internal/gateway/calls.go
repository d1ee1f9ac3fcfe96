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
	callPlaceRetry = 5 * time.Millisecond
	// maxAnswerBytes bounds one answer of a target that is kept in memory.
	maxAnswerBytes = 4 << 20
	// maxIdle and maxIdleOnce are how long ago a connection must have been used to be used
	// again. A request that may run once is lost if the target closed the connection
	// meanwhile, so that it takes only connections used lately.
	maxIdle     = 4 * time.Second
	maxIdleOnce = 1500 * time.Millisecond
)

// attemptEnd is how one attempt of a call ended.
type attemptEnd struct {
	attempt int
	result  forward.Result
	answer  TargetResponse
	body    []byte
	target  string
}

// exchange runs one short request.
type exchange struct {
	g       *Gateway
	call    *call
	machine *forward.Machine
	ends    chan attemptEnd
	kept    map[int]attemptEnd
	// attempts runs until the deadline also after the client was answered, so that a
	// target that is at work is not interrupted.
	attempts context.Context
	cancel   context.CancelFunc
	sends    int
}

// serveCall forwards a short request.
func (g *Gateway) serveCall(w http.ResponseWriter, c *call) {
	usual := ask(c.ctx, g.director, func(st *state) time.Duration {
		g.director.budget(st, time.Now(), c.service).OnRequest()
		return st.latency(c.service).Mean()
	})
	x := &exchange{
		g: g, call: c, ends: make(chan attemptEnd, 8), kept: map[int]attemptEnd{},
		machine: forward.New(forward.Options{
			Idempotent: c.route.Repeatable(), MaxAttempts: c.route.MaxAttempts, Deadline: c.deadline,
			TypicalLatency: usual, TargetLatency: c.route.TargetLatency,
		}),
	}
	x.attempts, x.cancel = context.WithDeadline(g.ctx, c.deadline)
	finish := x.run()
	if finish.Outcome == forward.CallerLeft {
		x.cancel()
	} else {
		// The context ends by its deadline; attempts that are still open run until then.
		context.AfterFunc(x.attempts, x.cancel)
	}
	x.respond(w, finish)
}

// run drives the machine to its end.
func (x *exchange) run() forward.Finish {
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
func (x *exchange) wait() []forward.Effect {
	timer := time.NewTimer(time.Until(x.machine.NextCheck()))
	defer timer.Stop()
	select {
	case <-x.call.ctx.Done():
		return x.machine.CallerDisconnected()
	case end := <-x.ends:
		x.kept[end.attempt] = end
		return x.machine.AttemptEnded(time.Now(), end.attempt, end.result)
	case <-timer.C:
		return x.machine.Check(time.Now())
	}
}

// send starts one attempt at the target that the director chooses.
func (x *exchange) send(e forward.Send) []forward.Effect {
	ctx, cancel := context.WithCancel(x.attempts)
	handle := &running{fingerprint: x.call.fingerprint, close: cancel}
	until := time.Now().Add(time.Duration(patienceShare * float64(x.call.route.TargetLatency)))
	for {
		reg, ok := x.choose(e, handle)
		if ok {
			x.sends++
			x.machine.TargetChosen(reg.ID)
			go func() {
				defer cancel()
				x.attempt(ctx, e.Attempt, reg, handle)
			}()
			return nil
		}
		if e.Retry || x.call.rejected || !time.Now().Before(until) || x.call.ctx.Err() != nil {
			cancel()
			return x.machine.NoTarget(e.Attempt)
		}
		sleep(x.call.ctx, callPlaceRetry)
	}
}

func (x *exchange) choose(e forward.Send, handle *running) (membership.Registration, bool) {
	type choice struct {
		reg membership.Registration
		ok  bool
	}
	c := ask(x.call.ctx, x.g.director, func(st *state) choice {
		now := time.Now()
		if st.suspects.Rejected(x.call.fingerprint, now) {
			x.call.rejected = true
			return choice{}
		}
		if e.Retry && !x.g.director.budget(st, now, x.call.service).TakeRetry() {
			x.g.metrics.budgetSpent.WithLabelValues(x.call.service).Inc()
			return choice{}
		}
		query := placement.FleetQuery{Service: x.call.service, Exclude: e.Exclude}
		st.restrictVersion(now, &query, x.call.draw)
		reg, ok := st.fleet.ChooseCall(now, query)
		if ok {
			st.fleet.BeginCall(reg.ID)
			st.addHandle(reg.ID, handle)
		}
		return choice{reg, ok}
	})
	if c.ok && e.Retry {
		x.call.log.Info().Str("target", c.reg.ID).Bool("hedge", e.Hedge).Int("attempt", e.Attempt).Msg("call sent again")
	}
	return c.reg, c.ok
}

// attempt sends the request to one target and reports the end.
func (x *exchange) attempt(ctx context.Context, n int, reg membership.Registration, handle *running) {
	begun := time.Now()
	end := x.once(ctx, reg, handle)
	end.attempt, end.target = n, reg.ID
	took := time.Since(begun)
	latency := took
	failed := end.result == forward.TargetError || end.result == forward.Unknown || end.result == forward.Unsent
	x.g.director.tell(x.g.ctx, func(st *state) {
		now := time.Now()
		st.removeHandle(reg.ID, handle)
		if end.result == forward.Success {
			st.latency(x.call.service).Observe(latency)
			st.suspects.ClearIfSafe(x.call.fingerprint, took, true)
		} else {
			latency = 0
		}
		if x.call.ctx.Err() != nil {
			failed = false
		}
		if end.result.Ran() {
			st.observe(now, reg, x.call.route.Name, took, failed)
		}
		st.fleet.EndCall(now, reg.ID, latency, failed)
		if end.result == forward.Replaced {
			st.fleet.MarkReplaced(reg.ID)
		}
	})
	x.g.metrics.attempts.WithLabelValues(end.result.String()).Inc()
	if end.result != forward.Success && ctx.Err() == nil {
		x.call.log.Info().Str("target", reg.ID).Int("attempt", n).Stringer("result", end.result).Int("status", end.answer.Status).
			Dur("took", took).Msg("call attempt failed")
	}
	x.ends <- end
}

// once makes one exchange with a target.
func (x *exchange) once(ctx context.Context, reg membership.Registration, handle *running) attemptEnd {
	idle := maxIdle
	if !x.call.route.Repeatable() {
		idle = maxIdleOnce
	}
	conn, err := x.g.pool.Get(ctx, reg.Address, idle)
	if err != nil {
		x.g.unreachable(reg, err)
		return attemptEnd{result: forward.Unsent}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	message := x.call.message(x.g.options.Protocol.EncodeAttempt(&Attempt{
		Request: &x.call.request, Target: reg, Account: x.call.account, Timeout: time.Until(x.call.deadline), Priority: -1,
	}))
	handle.sent.Store(true)
	sent, err := conn.Send(message)
	if err != nil {
		_ = conn.Close()
		if !sent {
			return attemptEnd{result: forward.Unsent}
		}
		return x.lost(ctx, reg, err)
	}
	end, reusable, err := x.receive(conn)
	if err != nil {
		_ = conn.Close()
		return x.lost(ctx, reg, err)
	}
	if reusable && stop() {
		x.g.pool.Put(conn)
	} else {
		_ = conn.Close()
	}
	return end
}

// lost handles a connection that broke after the request was sent.
func (x *exchange) lost(ctx context.Context, reg membership.Registration, err error) attemptEnd {
	x.call.log.Info().Str("target", reg.ID).Err(err).Msg("connection to target broke")
	if ctx.Err() == nil {
		x.g.alive(reg)
	}
	return attemptEnd{result: forward.Unknown}
}

// receive reads answers until the one to this request. A late answer to an earlier
// request of the connection is dropped.
func (x *exchange) receive(conn *target.Conn) (attemptEnd, bool, error) {
	for {
		response, err := conn.Receive(x.call.request.Method)
		if err != nil {
			return attemptEnd{}, false, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
		if err != nil {
			return attemptEnd{}, false, err
		}
		if len(body) > maxAnswerBytes {
			return attemptEnd{}, false, errors.New("the answer is longer than 4 MiB")
		}
		answer := x.g.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
		if answer.RequestID != x.call.request.ID && (answer.RequestID != "" || !answer.NotRun) {
			x.g.metrics.strayAnswers.Inc()
			x.call.log.Info().Str("answered_id", answer.RequestID).Int("status", answer.Status).Msg("answer to another request dropped")
			if response.Close {
				return attemptEnd{}, false, io.ErrUnexpectedEOF
			}
			continue
		}
		return attemptEnd{result: classify(&answer), answer: answer, body: body}, !response.Close && !answer.Close, nil
	}
}

// classify maps an answer to the result of its attempt.
func classify(a *TargetResponse) forward.Result {
	switch {
	case a.InstanceMismatch:
		return forward.Replaced
	case a.NotRun:
		return forward.Refused
	case a.Status >= 200 && a.Status < 300:
		if a.Signed {
			return forward.Success
		}
		return forward.Unknown
	case a.Status >= 500, promisesNotRun(a.Status):
		return forward.TargetError
	}
	return forward.ClientError
}

// promisesNotRun reports whether clients take a status for a promise that the request
// did not and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respond answers the client.
func (x *exchange) respond(w http.ResponseWriter, f forward.Finish) {
	end, kept := x.kept[f.Attempt]
	names := map[forward.Outcome]string{
		forward.Answered: "answered", forward.NotRun: "not_run", forward.Uncertain: "uncertain",
		forward.TimedOut: "timed_out", forward.CallerLeft: "caller_left",
	}
	name := names[f.Outcome]
	if f.Outcome == forward.Answered {
		name = end.result.String()
	}
	x.call.finished(name, x.sends, end.target, nil)
	switch {
	case f.Outcome == forward.CallerLeft:
	case f.Outcome == forward.Answered && end.result == forward.TargetError,
		f.Outcome == forward.TimedOut && kept:
		x.g.passFailure(w, end.answer, end.body)
	case f.Outcome == forward.Answered:
		x.g.writeWhole(w, end.answer, end.body)
	case x.call.rejected:
		x.g.refuse(w, x.call, result.CrashesTargets, 0)
	case f.Outcome == forward.NotRun:
		x.g.refuse(w, x.call, result.NoTarget, callRetryAfter)
	case f.Outcome == forward.TimedOut:
		x.g.refuse(w, x.call, result.TargetSilent, 0)
	default:
		x.g.refuse(w, x.call, result.OutcomeUnknown, 0)
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
