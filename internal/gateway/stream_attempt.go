package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/speed"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/gateway/target"
)

// maxFailureBytes limits the body of a failure in place of a stream.
const maxFailureBytes = 256 << 10

// errUnproductive means that a target sends bytes that are no part of an answer.
var errUnproductive = errors.New("target sends comments without end")

// errEndUnconfirmed means that a response ended with its connection and its target may have crashed.
var errEndUnconfirmed = errors.New("response ended with its connection and the target may have crashed")

// attemptHandle is how the event loop identifies and interrupts an open attempt at a target.
type attemptHandle struct {
	requestID string
	identity  suspect.Request
	// promptParts names the parts of the prompt that other requests may share.
	promptParts []string
	// parts identifies promptParts. trial is set if the request is sent although they are condemned.
	parts []uint64
	trial bool
	// onTrial reports whether the request is sent although its content or a part of its prompt is rejected, nil for no.
	onTrial func() bool
	// sent is set before the request is written. Until then, the request cannot have crashed
	// the target.
	sent        atomic.Bool
	interrupted atomic.Bool
	// rejected is set if the attempt was interrupted because of its request, not of its target.
	rejected atomic.Bool
	cancel   context.CancelFunc
	// reportSilent tells the stream that its target has answered no probe. It is set if movable is.
	reportSilent func()
	// movable is set if the request can go on at another target after the attempt has run.
	movable   bool
	startedAt time.Time
	// heard is the time in ns from startedAt to the last data of the response, 0 before.
	heard atomic.Int64
	// begun is the time in ns from startedAt to the first event, 0 before.
	begun atomic.Int64
}

// recordHeard records that data of the response has arrived.
func (h *attemptHandle) recordHeard(at time.Time) { h.heard.Store(int64(at.Sub(h.startedAt))) }

// attemptPhase is how far an attempt has come.
type attemptPhase int

const (
	// phaseUnsent means that the request has not been sent.
	phaseUnsent attemptPhase = iota
	// phaseWaiting means that nothing of the response has arrived.
	phaseWaiting
	// phaseBeginning means that the response has begun, with its first event less than
	// beginningPeriod ago or still to come.
	phaseBeginning
	// phaseFlowing means that events have arrived for beginningPeriod.
	phaseFlowing
)

// String returns the phase as it is logged.
func (p attemptPhase) String() string {
	return [...]string{"unsent", "waiting", "beginning", "flowing"}[p]
}

// beginningPeriod is how long after its first event a response counts as beginning. Engines that a
// request crashed as its response began ended 55 to 110 ms after they had begun to run it.
const beginningPeriod = 500 * time.Millisecond

// phase returns the phase of the attempt at a time.
func (h *attemptHandle) phase(now time.Time) attemptPhase {
	begun := time.Duration(h.begun.Load())
	switch {
	case !h.sent.Load():
		return phaseUnsent
	case h.heard.Load() == 0:
		return phaseWaiting
	case begun == 0 || now.Sub(h.startedAt) < begun+beginningPeriod:
		return phaseBeginning
	}
	return phaseFlowing
}

// flowed returns how long the response has gone on since its first event.
func (h *attemptHandle) flowed() time.Duration {
	begun := time.Duration(h.begun.Load())
	if begun == 0 {
		return 0
	}
	return max(0, time.Duration(h.heard.Load())-begun)
}

// leavesSilent reports whether the request seeks another target because its own did not answer a probe
// that was sent at the given time: it can move, and nothing has arrived since.
func (h *attemptHandle) leavesSilent(probed time.Time) bool {
	heard := time.Duration(h.heard.Load())
	return h.movable && (heard == 0 || !h.startedAt.Add(heard).After(probed))
}

// interrupt cancels the attempt because its target is down.
func (h *attemptHandle) interrupt() {
	h.interrupted.Store(true)
	h.cancel()
}

// attempt is one attempt of a stream at a target. Its task owns the connection and sends messages to
// the task of the stream, which owns the other fields.
type attempt struct {
	chosenTarget
	s         *stream
	start     relay.StartAttempt
	number    int
	handle    *attemptHandle
	startedAt time.Time
	copies    *copyManager
	size      placement.GenerationSize
	streamID  uint64
	// priority is what the target is told, negative for nothing.
	priority int
	// copyHolder is the target at which the fleet counts the copy, empty for none. Its owner is the
	// copy manager while that runs.
	copyHolder string
	copyTarget string // address of the engine that is to hold the next copy, empty for none
	// response is set before the first event or failure is sent.
	response TargetResponse
	// firstEventAt is when the first event arrived, zero before.
	firstEventAt time.Time
	// recordedFlow is how long the response had gone on when that was last recorded.
	recordedFlow time.Duration
	// withheld is set if the attempt says nothing about its target because nothing was sent to it.
	withheld bool
	// dropped counts the events that did not continue the stream since the last that did.
	dropped relay.Unproductive
	// reportingSilent is set while a report of a silent target waits for the stream.
	reportingSilent atomic.Bool
	// processed receives a value when the stream has processed an event, and ended is closed when
	// the stream has ended the attempt.
	processed chan struct{}
	ended     chan struct{}
	// gaps collects the gaps between events, nil if the speeds of targets are not estimated. deliveredAt is when
	// the last event was written to the client.
	gaps        *speed.Gaps
	deliveredAt time.Time
}

type attemptMessageKind int

const (
	attemptSent attemptMessageKind = iota + 1
	attemptEvent
	attemptCompleted
	attemptFailed
	attemptProbed
	attemptSilent
)

// attemptMessage is a message from an attempt to its stream.
type attemptMessage struct {
	attempt *attempt
	kind    attemptMessageKind
	at      time.Time
	// event is valid until the stream acknowledges it.
	event       target.Event
	loss        relay.Loss
	failureBody []byte
	alive       bool
	// report is what the target reported in answer to a probe. It is valid if reported is set.
	report   relay.TargetReport
	reported bool
	// withheld is set if the request was not sent because the target leaves or is paused.
	withheld bool
}

// startAttempt starts an attempt at the target of the last placement.
func (s *stream) startAttempt(e relay.StartAttempt) *attempt {
	ctx, cancel := context.WithCancel(s.req.ctx)
	a := &attempt{
		chosenTarget: s.placed, s: s, start: e, number: s.machine.Attempts(), startedAt: time.Now(), size: s.prompt,
		copyHolder: e.Placement.CopyTarget,
		priority:   s.req.enginePriority(s.placed.asHighest),
		handle: &attemptHandle{
			requestID: s.req.head.ID, identity: s.req.identity, promptParts: s.req.head.PromptParts, parts: s.req.parts, trial: s.req.trial.Load(), onTrial: s.req.onTrial.Load,
			cancel: cancel, movable: s.req.route.Resumable, startedAt: time.Now(),
		},
		processed: make(chan struct{}, 1), ended: make(chan struct{}), gaps: s.g.newGaps(),
	}
	if e.CopyHolder != "" {
		// The copy contains nearly all of the processed prompt.
		a.size = resumedSize(s.prompt)
	}
	a.handle.reportSilent = a.reportSilent
	a.streamID, a.copyTarget = s.beginAttempt(a)
	s.beginRun()
	s.g.background(func() {
		defer cancel()
		a.run(ctx)
	})
	return a
}

// resumedSize returns the size of a generation that resumes from a copy.
func resumedSize(size placement.GenerationSize) placement.GenerationSize {
	return placement.GenerationSize{OutputTokens: size.PromptTokens + size.OutputTokens}
}

// reportSilent tells the stream that its target has answered no probe. A stream that is late gets one report,
// however often its target is found down meanwhile.
func (a *attempt) reportSilent() {
	if !a.reportingSilent.CompareAndSwap(false, true) {
		return
	}
	a.s.g.background(func() {
		a.send(attemptMessage{kind: attemptSilent})
		a.reportingSilent.Store(false)
	})
}

// beginAttempt records an attempt in the event loop. It returns the id of the stream in the fleet and
// the address of the engine that is to hold the copy.
func (s *stream) beginAttempt(a *attempt) (streamID uint64, copyTarget string) {
	type begun struct {
		streamID   uint64
		copyTarget string
	}
	b := query(s.g.ctx, s.g.loop, func(st *state) begun {
		placed := a.start.Placement
		result := begun{streamID: a.reserved}
		if a.reserved == 0 {
			result.streamID = st.fleet.BeginStream(time.Now(), placed.Target, placed.CopyTarget, a.size)
		}
		if copyTarget, ok := st.fleet.Target(placed.CopyTarget); ok {
			result.copyTarget = copyTarget.Address
		}
		st.addAttempt(placed.Target, a.handle)
		st.inflightStreams[s.req.service]++
		return result
	})
	return b.streamID, b.copyTarget
}

// end closes the connection and records the outcome. loss is 0 if the attempt did not fail.
func (a *attempt) end(loss relay.Loss) {
	close(a.ended)
	a.handle.cancel()
	latency := time.Duration(0)
	if !a.firstEventAt.IsZero() {
		latency = a.firstEventAt.Sub(a.startedAt)
	}
	failed := loss != 0 && loss != relay.Refused && !a.withheld && !a.handle.rejected.Load()
	unsent := loss == relay.Unsent || !a.handle.sent.Load()
	s, placed, copyHolder := a.s, a.start.Placement, a.copyHolder
	s.g.loop.post(s.g.ctx, func(st *state) {
		now := time.Now()
		if a.tookRepeat && unsent {
			s.g.loop.budget(st, now, s.req.service).Refund()
		}
		// The outcome of an attempt says nothing about the version if its target was marked down,
		// for example with its zone, or if it continued from a copy.
		if a.start.CopyHolder == "" && loss != relay.TargetDown && !a.handle.interrupted.Load() && (failed || latency > 0) {
			st.observeAttempt(now, a.reg, s.req.route.Name, latency, failed)
		}
		if loss == relay.Replaced {
			st.fleet.MarkReplaced(now, a.reg.ID)
		}
		st.fleet.EndStream(now, placed.Target, copyHolder, a.streamID, a.size, failed)
		st.removeAttempt(placed.Target, a.handle)
		st.inflightStreams[s.req.service]--
		s.g.loop.streamEnded(st, now, s.req.service, a.freedTokens(st, now, loss))
	})
}

// freedTokens returns the tokens that become free with the end of the attempt in the memory of a live engine. Engines
// that were lost with their streams free nothing, and those that did not run the request held nothing for it.
func (a *attempt) freedTokens(st *state, now time.Time, loss relay.Loss) int {
	switch loss {
	case relay.Unsent, relay.Refused, relay.Replaced, relay.Interrupted, relay.TargetDown, relay.Failed:
		return 0
	}
	reg, ok := st.fleet.Target(a.start.Placement.Target)
	if !a.handle.sent.Load() || a.handle.interrupted.Load() || !ok || reg.StartUnixMS != a.reg.StartUnixMS || !st.fleet.Usable(now, reg.ID) {
		return 0
	}
	return a.size.PromptTokens + a.size.OutputTokens
}

// recordFirstEvent records the first event of the attempt.
func (a *attempt) recordFirstEvent(at time.Time) {
	if !a.firstEventAt.IsZero() {
		return
	}
	a.firstEventAt = at
	a.s.g.loop.post(a.s.g.ctx, func(st *state) { st.fleet.RecordFirstEvent(at, a.start.Placement.Target, a.streamID) })
	a.s.req.observeFirstEvent(at)
}

// recordFlowing records that the response has begun and gone on, which shows that its request does not crash the
// target as it begins: first after beginningPeriod, and then each time it has gone on for half as long again.
func (a *attempt) recordFlowing(at time.Time) {
	flowed := at.Sub(a.firstEventAt)
	if flowed < max(beginningPeriod, a.recordedFlow*3/2) {
		return
	}
	a.recordedFlow = flowed
	a.s.g.loop.post(a.s.g.ctx, func(st *state) { a.s.g.loop.responseFlowed(st, at, a.s.req, flowed) })
}

// acknowledge lets the attempt read the next event.
func (a *attempt) acknowledge() { a.processed <- struct{}{} }

// send sends a message to the stream unless the stream has ended the attempt.
func (a *attempt) send(m attemptMessage) {
	m.attempt, m.at = a, time.Now()
	select {
	case a.s.messages <- m:
	case <-a.ended:
	}
}

// run sends the request and relays the response until the attempt ends.
func (a *attempt) run(ctx context.Context) {
	s := a.s
	conn, err := s.g.pool.Dial(ctx, a.reg.Address)
	if err != nil {
		if ctx.Err() == nil {
			s.g.handleDialError(a.reg, err)
		}
		a.send(attemptMessage{kind: attemptFailed, loss: relay.Unsent})
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	msg := s.req.targetRequest(s.g.options.Protocol.EncodeAttempt(&Attempt{
		Request: &s.req.head, Target: a.reg, Account: s.req.account, Timeout: time.Until(s.req.deadline),
		LastEventID: a.start.After, Priority: a.priority, CopyTo: a.copyTarget, CopyFrom: s.req.provenCopy(a.resumeFrom),
	}))
	msg.Permit = s.g.sendPermit(a.reg, s.req)
	a.handle.sent.Store(true)
	sent, err := conn.Send(msg)
	withheld := s.req.withheld(a.reg, err)
	if err != nil && !sent {
		a.handle.sent.Store(false)
		a.send(attemptMessage{kind: attemptFailed, loss: relay.Unsent, withheld: withheld})
		return
	}
	if err == nil {
		a.send(attemptMessage{kind: attemptSent})
		err = a.receive(ctx, conn)
	}
	if err != nil {
		s.req.observeUndelivered(a.reg, conn)
		a.connectionLost(err)
	}
}

// receive reads the response and sends what it means to the stream. It returns an error if the
// connection fails before the end of the response.
func (a *attempt) receive(ctx context.Context, conn *target.Conn) error {
	response, err := conn.Receive(a.s.req.head.Method)
	if err != nil {
		return err
	}
	a.handle.recordHeard(time.Now())
	a.response = a.s.g.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
	a.s.g.observeResponse(a.reg, &a.response, a.s.req.head.ID, false)
	memory := a.s.g.memory.Reserve()
	defer memory.Release()
	if loss, body := a.checkResponse(ctx, conn, response, memory); loss != 0 {
		a.send(attemptMessage{kind: attemptFailed, loss: loss, failureBody: body})
		return nil
	}
	reader := target.NewEventReader(response.Body, memory)
	var comments relay.Unproductive
	for {
		event, err := reader.Read()
		if errors.Is(err, io.EOF) {
			if a.start.After == 0 && a.handle.begun.Load() == 0 {
				// The head of a response without a length ends like a whole one if its engine crashes.
				return io.ErrUnexpectedEOF
			}
			if !a.endConfirmed(ctx, conn, response) {
				return errEndUnconfirmed
			}
			a.reportGaps()
			a.send(attemptMessage{kind: attemptCompleted})
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		a.handle.recordHeard(now)
		if event.Comment {
			if !comments.Permits(now, len(event.Raw)) {
				return errUnproductive
			}
			continue
		}
		comments.Reset(now)
		if a.handle.begun.Load() == 0 {
			a.handle.begun.Store(int64(now.Sub(a.handle.startedAt)))
		}
		a.recordArrival(now)
		a.send(attemptMessage{kind: attemptEvent, event: event})
		select {
		case <-a.processed:
			a.recordProcessed(now)
		case <-a.ended:
			return nil
		}
	}
}

// endConfirmed reports whether a response that has been read to its end is whole.
func (a *attempt) endConfirmed(ctx context.Context, conn *target.Conn, response *http.Response) bool {
	return !endsWithConnection(response) ||
		a.s.g.checkUnframedEnd(ctx, unframedEnd{reg: a.reg, sentAt: a.startedAt, conn: conn, final: !a.s.req.route.Resumable})
}

// checkResponse returns how the attempt failed according to its response, or 0 if it did not, and the
// body of a failure.
func (a *attempt) checkResponse(ctx context.Context, conn *target.Conn, response *http.Response, memory *target.Reservation) (relay.Loss, []byte) {
	switch {
	case !a.response.answers(a.s.req.head.ID, false):
		return relay.Interrupted, nil
	case a.response.InstanceMismatch:
		return relay.Replaced, nil
	case a.response.NotRun:
		return relay.Refused, nil
	case a.response.Status != http.StatusOK:
		body, err := target.ReadBody(response.Body, maxFailureBytes, memory)
		if err != nil || !a.endConfirmed(ctx, conn, response) {
			return relay.Interrupted, nil
		}
		return relay.Failed, body
	case !a.response.Signed, !a.response.EventStream:
		return relay.Interrupted, nil
	}
	return 0, nil
}

// connectionLost handles an attempt that ended because of a connection error.
func (a *attempt) connectionLost(err error) {
	if a.handle.interrupted.Load() {
		a.send(attemptMessage{kind: attemptFailed, loss: relay.TargetDown})
		return
	}
	select {
	case <-a.ended:
		return
	case <-a.s.req.ctx.Done():
		return
	default:
	}
	a.s.req.log.Debug().Str("target", a.reg.ID).Err(err).Msg("connection to target failed; probing the target")
	a.s.g.probeTarget(a.reg)
	a.send(attemptMessage{kind: attemptFailed, loss: relay.Interrupted})
}

// probe probes the target in the background, logs what its report says of the run, and sends the
// result to the stream.
func (a *attempt) probe() {
	lastEvent, expected := a.s.machine.LastEvent(), a.s.machine.ExpectedFirstEvent()
	silence := a.s.machine.Silence(time.Now())
	a.s.g.background(func() {
		result := a.s.g.probeTarget(a.reg)
		event := a.s.req.log.Info().Str("target", a.reg.ID).Bool("alive", result.alive).Uint64("last_event", lastEvent).
			Dur("silence", silence).Dur("expected", expected)
		var report relay.TargetReport
		reported := false
		if result.alive && result.response.Status != 0 {
			decoded, err := result.report()
			event = event.AnErr("error", err).Int("queued", decoded.Queued).Int("running", decoded.Running).
				Int("memory", decoded.MemoryUsed).Int("capacity", decoded.Capacity)
			if err == nil {
				var known int
				report, known = a.evaluate(&decoded)
				reported = true
				event = event.Stringer("progress", report.Progress).Int("streams", known)
			}
			for _, run := range decoded.Runs {
				if run.RequestID == a.s.req.head.ID {
					report.RunListed = true
					event = event.Uint64("run_event", run.LastEvent)
				}
			}
		}
		event.Msg("target sent no events; probed it")
		a.send(attemptMessage{kind: attemptProbed, report: report, reported: reported, alive: result.alive || !a.handle.leavesSilent(result.sentAt)})
	})
}

// evaluate records a target's report and returns what it says about the stream, and the number of
// streams that all gateways have at the target.
func (a *attempt) evaluate(decoded *EngineReport) (report relay.TargetReport, streams int) {
	type result struct {
		progress placement.Progress
		streams  int
	}
	work := placement.WorkReport{Queued: decoded.Queued, Running: decoded.Running, Memory: decoded.MemoryUsed}
	r := query(a.s.g.ctx, a.s.g.loop, func(st *state) result {
		now := time.Now()
		st.fleet.ObserveWork(now, a.reg.ID, work, st.lastHeard(a.reg.ID))
		return result{st.fleet.Progress(now, a.reg.ID), st.fleet.Load(now, a.reg.ID).Streams}
	})
	return relay.TargetReport{Queued: decoded.Queued, Progress: r.progress}, r.streams
}

// lastHeard returns when data of a response last arrived from a target, zero for never.
func (st *state) lastHeard(id string) time.Time {
	var last time.Time
	for h := range st.attempts[id] {
		if heard := h.heard.Load(); heard != 0 {
			if at := h.startedAt.Add(time.Duration(heard)); at.After(last) {
				last = at
			}
		}
	}
	return last
}
