package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/result"
)

const (
	// placementRetryInterval is the pause between attempts to place a stream.
	placementRetryInterval = 40 * time.Millisecond
	// placementWaitFraction is the fraction of the latency objective that a request waits for a
	// target before it is refused. Most of the objective is left for another gateway.
	placementWaitFraction = 0.12
	// maxFailureBytes limits the body of a failure in place of a stream.
	maxFailureBytes = 256 << 10
	// maxDroppedEventBytes limits the events without a new number between two that have one. A
	// target that resumes may repeat some events.
	maxDroppedEventBytes = 128 << 10
	// resumePlacementWait is how long a stream that has already run waits for a target on which
	// to continue.
	resumePlacementWait = 3 * time.Second
)

// errAttemptEnded stops reading the response of an attempt that the state machine has ended.
var errAttemptEnded = errors.New("attempt ended by the state machine")

// errOnlyDroppedEvents ends an attempt whose target sends events, but none that continues the
// stream.
var errOnlyDroppedEvents = errors.New("target sent 128 KiB of events that do not continue the stream")

// attemptHandle is how the event loop identifies and interrupts an open attempt at a target.
type attemptHandle struct {
	fingerprint uint64
	// sent is set before the request is written. Until then, the request cannot have crashed
	// the target.
	sent        atomic.Bool
	interrupted atomic.Bool
	cancel      context.CancelFunc
}

// interrupt cancels the attempt because its target is down.
func (h *attemptHandle) interrupt() {
	h.interrupted.Store(true)
	h.cancel()
}

// stream relays one streaming request, in one or more attempts at different targets.
type stream struct {
	g          *Gateway
	w          http.ResponseWriter
	controller *http.ResponseController
	req        *clientRequest
	machine    *relay.Machine
	// pendingEffects holds the effects of the check that ended the attempt.
	pendingEffects []relay.Effect
	// response is the response header of the first attempt that produced events, or of the
	// attempt that failed with the body failureBody.
	response    TargetResponse
	failureBody []byte
	headerSent  bool
	outcome     relay.Outcome
	finished    bool
	reg         membership.Registration
	prompt      placement.GenerationSize
	// cacheCopy is the KV cache copy left by the previous attempt, nil for none.
	cacheCopy *CacheCopy
	// resumeFrom is the copy from which the current attempt continues, nil for none.
	resumeFrom *CacheCopy
	// previousTarget is the target that ran the stream for an earlier attempt of the client,
	// empty if unknown.
	previousTarget string
	copies         *copyManager
	// unsent is set if no byte of the current attempt was sent.
	unsent bool
	// tookRepeat is set if the current attempt took a token of the retry budget, and budgetSpent if
	// the last placement failed because there was none.
	tookRepeat, budgetSpent bool
	// firstEventAt is when the current attempt produced its first event, zero if it has not.
	firstEventAt time.Time
}

// serveStream relays a stream until it ends.
func (g *Gateway) serveStream(w http.ResponseWriter, c *clientRequest) {
	s := &stream{
		g: g, w: w, req: c, controller: http.NewResponseController(w), prompt: c.head.Prompt,
	}
	if c.head.LastEventID > 0 && c.route.Resumable {
		s.previousTarget, s.cacheCopy = g.findRun(c)
	}
	g.loop.post(c.ctx, func(st *state) { g.loop.budget(st, time.Now(), c.service).OnRequest() })
	s.machine = relay.New(relay.Options{
		Resumable: c.route.Resumable, MaxAttempts: c.route.MaxAttempts, Arrived: c.arrived, Deadline: c.deadline,
		MaxEventGap: c.route.MaxEventGap, FirstEventObjective: c.route.TargetLatency, After: c.head.LastEventID, HasCopy: s.cacheCopy != nil,
	})
	queue := s.machine.Start()
	for len(queue) > 0 && !s.finished {
		effect := queue[0]
		queue = append(queue[1:], s.apply(effect)...)
	}
	g.endRun(c, s.outcome == relay.Complete)
	s.respond()
}

func (s *stream) apply(effect relay.Effect) []relay.Effect {
	switch e := effect.(type) {
	case relay.ChooseTarget:
		return s.chooseTarget(e)
	case relay.StartAttempt:
		return s.attempt(e)
	case relay.Finish:
		s.outcome, s.finished = e.Outcome, true
	case relay.EndAttempt:
		if e.Loss != 0 {
			s.g.metrics.losses.WithLabelValues(e.Loss.String()).Inc()
			s.req.log.Info().Str("target", s.reg.ID).Stringer("loss", e.Loss).Int("attempt", s.machine.Attempts()).
				Uint64("last_event", s.machine.LastEvent()).Msg("stream attempt failed")
		}
	}
	return nil
}

// chooseTarget waits a limited time for a target and returns the effects.
func (s *stream) chooseTarget(e relay.ChooseTarget) []relay.Effect {
	maxWait := time.Duration(placementWaitFraction * float64(s.req.route.TargetLatency))
	if s.machine.Ran() {
		maxWait = resumePlacementWait
	}
	waitUntil := time.Now().Add(maxWait)
	if s.req.deadline.Before(waitUntil) {
		waitUntil = s.req.deadline
	}
	for {
		placed, ok := s.requestPlacement(e)
		switch {
		case s.req.ctx.Err() != nil:
			return s.machine.CallerDisconnected()
		case ok:
			return s.machine.Placed(time.Now(), placed)
		case s.req.rejected, s.req.deadlineTooShort:
			return s.machine.PlacementFailed()
		case !time.Now().Before(waitUntil):
			return s.machine.PlacementFailed()
		}
		sleep(s.req.ctx, placementRetryInterval)
	}
}

type placementResult struct {
	placement relay.Placement
	reg       membership.Registration
	ok        bool
	rejected  bool
	// deadlineTooShort is set if no target can produce the first event before the deadline.
	deadlineTooShort bool
	// budgetSpent is set if the retry budget does not permit another attempt now.
	budgetSpent bool
}

// requestPlacement requests a target from the event loop: the holder of the KV cache copy if it
// is usable, otherwise the best target. The placement includes an engine for the next copy.
func (s *stream) requestPlacement(e relay.ChooseTarget) (relay.Placement, bool) {
	holder := ""
	if e.MayHaveCopy && s.cacheCopy != nil {
		holder = s.cacheCopy.Holder
	}
	p := query(s.req.ctx, s.g.loop, func(st *state) placementResult {
		now := time.Now()
		if st.suspects.Rejected(s.req.fingerprint, now) {
			return placementResult{rejected: true}
		}
		fleetQuery := placement.FleetQuery{Service: s.req.service, Exclude: e.Exclude, LastResort: s.machine.LastResort(), WarmTarget: s.previousTarget}
		if !s.machine.Ran() && holder == "" && st.deadlineTooShort(now, s.req, fleetQuery, s.prompt) {
			return placementResult{deadlineTooShort: true}
		}
		placed := st.placeStream(now, fleetQuery, s.req.versionDraw, holder, s.prompt)
		if placed.ok && s.machine.Arrived() {
			placed.ok = s.takeRepeat(st, now)
			placed.budgetSpent = !placed.ok
		}
		return placed
	})
	if p.budgetSpent && !s.budgetSpent {
		s.req.log.Info().Bool("ran", s.machine.Ran()).Int("attempts", s.machine.Attempts()).Msg("retry budget is spent; stream waits for it")
	}
	s.budgetSpent = p.budgetSpent
	s.req.deadlineTooShort = p.deadlineTooShort
	if p.rejected {
		s.req.log.Warn().Msg("request rejected because it crashed too many targets")
		s.req.rejected = true
		return relay.Placement{}, false
	}
	if p.ok {
		s.reg = p.reg
		s.resumeFrom = nil
		if p.placement.Resume {
			s.resumeFrom = s.cacheCopy
		}
		s.req.log.Info().Str("target", p.reg.ID).Str("zone", p.reg.Zone).Str("copy", p.placement.CopyTarget).Bool("from_copy", p.placement.Resume).
			Uint64("after", s.machine.LastEvent()).Msg("stream placed")
	}
	return p.placement, p.ok
}

// takeRepeat takes a token for an attempt after one that reached a target, whether or not that
// target ran the request: rejecting attempts costs targets too.
func (s *stream) takeRepeat(st *state, now time.Time) bool {
	budget := s.g.loop.budget(st, now, s.req.service)
	if s.machine.Ran() && s.machine.InTime(now) {
		s.tookRepeat = budget.TakeResume()
	} else {
		s.tookRepeat = budget.TakeRetry(st.inflightStreams[s.req.service])
	}
	if !s.tookRepeat {
		s.g.metrics.retriesRefused.WithLabelValues(s.req.service).Inc()
	}
	return s.tookRepeat
}

// deadlineTooShort reports whether a stream that has not run cannot get its first event before
// its deadline. Processing its prompt would only delay other streams.
func (st *state) deadlineTooShort(now time.Time, c *clientRequest, fleetQuery placement.FleetQuery, prompt placement.GenerationSize) bool {
	expected, ok := st.fleet.TimeToFirstEvent(now, fleetQuery, prompt)
	return ok && now.Add(expected).After(c.deadline)
}

func (st *state) placeStream(now time.Time, fleetQuery placement.FleetQuery, draw uint64, holder string, prompt placement.GenerationSize) placementResult {
	st.restrictVersion(now, &fleetQuery, draw)
	chosen, ok := st.fleet.Place(now, fleetQuery, holder, prompt, st.supportsCopies(fleetQuery.Service))
	if !ok {
		return placementResult{}
	}
	return placementResult{placement: relay.Placement{Target: chosen.Target.ID, CopyTarget: chosen.Copy, Resume: chosen.FromCopy, ExpectedFirstEvent: chosen.Expected}, reg: chosen.Target, ok: true}
}

func (st *state) supportsCopies(service string) bool {
	if st.desired.Config == nil {
		return false
	}
	svc, ok := st.desired.Config.Service(service)
	return ok && svc.Engine != nil && svc.Engine.KeepsCopies
}

// attemptStart is the result of beginAttempt. copyAddress is the address of the engine that is to
// hold the KV cache copy, empty for none.
type attemptStart struct {
	streamID    uint64
	copyAddress string
}

// attempt runs one attempt until it ends and returns the effects.
func (s *stream) attempt(e relay.StartAttempt) []relay.Effect {
	s.pendingEffects = nil
	ctx, cancel := context.WithCancel(s.req.ctx)
	defer cancel()
	handle := &attemptHandle{fingerprint: s.req.fingerprint, cancel: cancel}
	prompt := s.prompt
	if e.CopyHolder != "" {
		// The copy contains nearly all of the processed prompt.
		prompt = placement.GenerationSize{OutputTokens: s.prompt.PromptTokens + s.prompt.OutputTokens}
	}
	info := s.beginAttempt(e, handle, prompt)
	start, reg := time.Now(), s.reg
	s.firstEventAt, s.unsent = time.Time{}, false
	effects, failed := s.sendAndRelay(ctx, e, handle, info)
	latency := time.Duration(0)
	if !s.firstEventAt.IsZero() {
		latency = s.firstEventAt.Sub(start)
	}
	refund := s.tookRepeat && s.unsent
	s.tookRepeat = false
	s.g.loop.post(s.g.ctx, func(st *state) {
		if refund {
			s.g.loop.budget(st, time.Now(), s.req.service).Refund()
		}
		// The outcome of an attempt says nothing about the version if its target was marked down,
		// for example with its zone, or if it continued from a copy.
		if e.CopyHolder == "" && !handle.interrupted.Load() && (failed || latency > 0) {
			st.observeAttempt(time.Now(), reg, s.req.route.Name, latency, failed)
		}
		st.fleet.EndStream(time.Now(), e.Placement.Target, e.Placement.CopyTarget, info.streamID, prompt, failed)
		st.removeAttempt(e.Placement.Target, handle)
		st.inflightStreams[s.req.service]--
	})
	return effects
}

func (s *stream) beginAttempt(e relay.StartAttempt, handle *attemptHandle, prompt placement.GenerationSize) attemptStart {
	return query(s.g.ctx, s.g.loop, func(st *state) attemptStart {
		now := time.Now()
		attempt := attemptStart{streamID: st.fleet.BeginStream(now, e.Placement.Target, e.Placement.CopyTarget, prompt)}
		if copyTarget, ok := st.fleet.Target(e.Placement.CopyTarget); ok {
			attempt.copyAddress = copyTarget.Address
		}
		st.addAttempt(e.Placement.Target, handle)
		st.inflightStreams[s.req.service]++
		return attempt
	})
}

// sendAndRelay sends the request and relays the events. failed reports whether the attempt ended
// because of the target.
func (s *stream) sendAndRelay(ctx context.Context, e relay.StartAttempt, handle *attemptHandle, info attemptStart) (effects []relay.Effect, failed bool) {
	conn, err := s.g.pool.Dial(ctx, s.reg.Address)
	if err != nil {
		if s.req.ctx.Err() != nil {
			return s.machine.CallerDisconnected(), false
		}
		s.g.handleDialError(s.reg, err)
		s.unsent = true
		return s.machine.AttemptFailed(time.Now(), relay.Unsent), true
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	conn.IdleDeadline = s.machine.NextCheck
	conn.OnIdle = s.onIdle
	attempt := Attempt{
		Request: &s.req.head, Target: s.reg, Account: s.req.account, Timeout: time.Until(s.req.deadline),
		LastEventID: e.After, Priority: -1, CopyTo: info.copyAddress,
	}
	if e.CopyHolder != "" {
		attempt.CopyFrom = s.resumeFrom
	}
	defer s.manageCopy(e.Placement, info.copyAddress).stop()
	handle.sent.Store(true)
	sent, err := conn.Send(s.req.targetRequest(s.g.options.Protocol.EncodeAttempt(&attempt)))
	if err != nil && !sent {
		s.unsent = true
		return s.machine.AttemptFailed(time.Now(), relay.Unsent), true
	}
	if err != nil {
		return s.connectionLost(handle, err)
	}
	response, err := conn.Receive(s.req.head.Method)
	if err != nil {
		return s.connectionLost(handle, err)
	}
	header := s.g.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
	if loss := s.checkResponse(&header, response); loss != 0 {
		if loss == relay.Replaced {
			s.g.loop.post(s.g.ctx, func(st *state) { st.fleet.MarkReplaced(time.Now(), s.reg.ID) })
		}
		return s.machine.AttemptFailed(time.Now(), loss), loss != relay.Refused
	}
	if !s.headerSent {
		s.response = header
	}
	return s.relayEvents(e, handle, response.Body, info.streamID)
}

// checkResponse returns how the attempt failed according to its response, or 0 if it did not.
func (s *stream) checkResponse(header *TargetResponse, response *http.Response) relay.Loss {
	switch {
	case header.InstanceMismatch:
		return relay.Replaced
	case header.NotRun:
		return relay.Refused
	case header.RequestID != s.req.head.ID:
		return relay.Interrupted
	case header.Status != http.StatusOK:
		body, err := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes+1))
		if err != nil || len(body) > maxFailureBytes {
			return relay.Interrupted
		}
		s.response, s.failureBody = *header, body
		return relay.Failed
	case !header.Signed:
		return relay.Interrupted
	}
	return 0
}

// relayEvents relays events to the client until the stream or the attempt ends. The second
// result reports whether the attempt ended because of the target.
func (s *stream) relayEvents(e relay.StartAttempt, handle *attemptHandle, body io.Reader, streamID uint64) ([]relay.Effect, bool) {
	reader := target.NewEventReader(body)
	first := true
	dropped := 0
	for {
		event, err := reader.Read()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			return s.machine.AttemptCompleted(), false
		}
		if err != nil {
			return s.connectionLost(handle, err)
		}
		if first {
			first = false
			s.g.loop.post(s.g.ctx, func(st *state) { st.fleet.RecordFirstEvent(now, e.Placement.Target, streamID) })
			s.firstEventAt = now
			s.req.observeFirstEvent(now)
			s.copies.markStarted()
		}
		effects := s.machine.Event(now, event.ID)
		if len(effects) == 1 {
			if _, deliver := effects[0].(relay.Deliver); deliver {
				if err := s.deliver(event.Raw); err != nil {
					return s.machine.CallerDisconnected(), false
				}
				dropped = 0
				continue
			}
		}
		if len(effects) > 0 {
			return effects, true
		}
		if dropped += len(event.Raw); dropped > maxDroppedEventBytes {
			return s.connectionLost(handle, errOnlyDroppedEvents)
		}
	}
}

// connectionLost handles an attempt that ended because of a connection error.
func (s *stream) connectionLost(handle *attemptHandle, err error) ([]relay.Effect, bool) {
	switch {
	case s.req.ctx.Err() != nil:
		return s.machine.CallerDisconnected(), false
	case errors.Is(err, errAttemptEnded):
		return s.pendingEffects, true
	case handle.interrupted.Load():
		return s.machine.AttemptFailed(time.Now(), relay.TargetDown), true
	}
	s.req.log.Debug().Str("target", s.reg.ID).Err(err).Msg("connection to target failed; probing the target")
	s.g.probeTarget(s.reg)
	return s.machine.AttemptFailed(time.Now(), relay.Interrupted), true
}

// onIdle runs the state machine's check when it is due and the target has sent nothing. It
// returns errAttemptEnded if the check ends the attempt.
func (s *stream) onIdle() error {
	effects := s.machine.Check(time.Now())
	for _, effect := range effects {
		if _, ok := effect.(relay.Probe); ok {
			alive := s.probe()
			effects = s.machine.Probed(time.Now(), alive, s.copies.current.Load() != nil)
			if alive && len(effects) > 0 {
				s.logDeparture()
			}
			break
		}
	}
	if len(effects) > 0 {
		s.pendingEffects = effects
		return errAttemptEnded
	}
	return nil
}

// probe probes the target of the open attempt, logs what its report says of the run, and reports
// whether it responded.
func (s *stream) probe() bool {
	response, alive := s.g.probeTarget(s.reg)
	event := s.req.log.Info().Str("target", s.reg.ID).Bool("alive", alive).Uint64("last_event", s.machine.LastEvent()).
		Dur("silence", s.machine.Silence(time.Now())).Dur("expected", s.machine.ExpectedFirstEvent())
	if alive {
		report, err := s.g.options.Protocol.DecodeReport(response.Body)
		event = event.AnErr("error", err).Int("queued", report.Queued).Int("running", report.Running).
			Int("memory", report.MemoryUsed).Int("capacity", report.Capacity)
		for _, run := range report.Runs {
			if run.RequestID == s.req.head.ID {
				event = event.Uint64("run_event", run.LastEvent)
			}
		}
	}
	event.Msg("target sent no events; probed it")
	return alive
}

// logDeparture logs what was known when the stream left a live target: the loads of that target
// and of the best other one, and the state of the retry budget.
func (s *stream) logDeparture() {
	s.g.loop.post(s.g.ctx, func(st *state) {
		now := time.Now()
		query := placement.FleetQuery{Service: s.req.service, Exclude: []string{s.reg.ID}}
		here := st.fleet.Load(now, s.reg.ID)
		event := s.req.log.Info().Str("target", s.reg.ID).Int("streams", here.Streams).Int("memory", here.Memory).Dur("backlog", here.Backlog).
			Float64("retry_tokens", s.g.loop.budget(st, now, s.req.service).Tokens())
		if expected, ok := st.fleet.TimeToFirstEvent(now, query, s.prompt); ok {
			event = event.Dur("expected_elsewhere", expected)
		}
		if best, ok := st.fleet.ChooseEngine(now, query, s.prompt); ok {
			there := st.fleet.Load(now, best.ID)
			event = event.Str("best", best.ID).Int("best_streams", there.Streams).Int("best_memory", there.Memory).Dur("best_backlog", there.Backlog)
		}
		event.Msg("stream leaves a live target")
	})
}

// deliver writes one event to the client.
func (s *stream) deliver(raw []byte) error {
	s.writeHeaderOnce()
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *stream) writeHeaderOnce() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.g.writeResponseHeader(s.w, s.response)
}

// respond ends the response to the client. If the response has begun but is incomplete, the
// connection is aborted, so that the client cannot mistake the response for a complete one.
func (s *stream) respond() {
	s.req.logEnd(s.outcomeName(), s.machine.Attempts(), s.reg.ID, s.machine)
	switch s.outcome {
	case relay.Complete:
		s.writeHeaderOnce()
		return
	case relay.CallerLeft:
		return
	}
	if s.headerSent {
		panic(http.ErrAbortHandler)
	}
	ran := s.machine.Ran()
	switch {
	case s.outcome == relay.TargetFailed:
		s.g.forwardFailure(s.w, s.response, s.failureBody)
	case s.req.rejected:
		s.g.refuse(s.w, s.req, result.CrashesTargets, 0)
	case s.outcome == relay.TimedOut && ran:
		s.g.refuse(s.w, s.req, result.DeadlineExceeded, 0)
	case ran:
		s.g.refuse(s.w, s.req, result.TargetDied, 0)
	case s.budgetSpent:
		s.g.refuse(s.w, s.req, result.RetryBudgetSpent, streamRetryAfter)
	case s.req.deadlineTooShort:
		s.g.refuse(s.w, s.req, result.DeadlineTooShort, streamRetryAfter)
	default:
		s.g.refuse(s.w, s.req, result.NoTarget, streamRetryAfter)
	}
}

func (s *stream) outcomeName() string {
	switch s.outcome {
	case relay.Complete:
		return "complete"
	case relay.CallerLeft:
		return "caller_left"
	case relay.NoTarget:
		return "no_target"
	case relay.TargetFailed:
		return "target_failed"
	case relay.Lost:
		return "lost"
	case relay.TimedOut:
		return "timed_out"
	}
	return "unknown"
}
