package gateway

import (
	"errors"
	"net/http"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/result"
)

const (
	// placementRetryInterval is the pause between attempts to place a stream.
	placementRetryInterval = 40 * time.Millisecond
	// placementWaitFraction is the fraction of the latency objective that a request waits for a
	// target before it is refused. Most of the objective is left for another gateway.
	placementWaitFraction = 0.12
	// slowRunSave is the wait of a first event for the save of its run from which on it is logged.
	slowRunSave = 20 * time.Millisecond
	// resumePlacementWait is how long a stream that has already run waits for a target on which
	// to continue.
	resumePlacementWait = 3 * time.Second
)

// errStopping means that this gateway stops before the first event of a stream may be sent.
var errStopping = errors.New("gateway stops before the run of the stream is saved")

// stream relays one streaming request, in one or more attempts at different targets. Its task owns
// the state; the tasks of its attempts send it messages.
type stream struct {
	g          *Gateway
	w          http.ResponseWriter
	controller *http.ResponseController
	req        *clientRequest
	machine    *relay.Machine
	messages   chan attemptMessage
	// current is the attempt whose events go to the client, nil for none, and successor the one that
	// was opened beside it.
	current, successor *attempt
	// response is the response header of the first attempt that produced events, or of the
	// attempt that failed with the body failureBody.
	response    TargetResponse
	failureBody []byte
	headerSent  bool
	outcome     relay.Outcome
	finished    bool
	prompt      placement.GenerationSize
	// placed is the target that the last placement chose, and lastTarget that of the last current
	// attempt.
	placed     chosenTarget
	lastTarget string
	// cacheCopy is the KV cache copy left by the previous attempt, nil for none.
	cacheCopy *CacheCopy
	// previousTarget is the target that ran the stream for an earlier attempt of the client,
	// empty if unknown.
	previousTarget string
	// budgetSpent is set if the last placement failed because the retry budget had no token.
	budgetSpent bool
	// held is set if the last placement failed because all targets leave or are paused.
	held heldPlacement
	// runBegun is set once the run is among those that are saved, and savedRun is closed when a stored row has it.
	runBegun bool
	savedRun chan struct{}
}

// serveStream relays a stream until it ends.
func (g *Gateway) serveStream(w http.ResponseWriter, c *clientRequest) {
	s := &stream{
		g: g, w: w, req: c, controller: http.NewResponseController(w), prompt: c.head.Prompt, messages: make(chan attemptMessage),
		savedRun: make(chan struct{}),
	}
	if c.head.LastEventID > 0 && c.route.Resumable {
		s.previousTarget, s.cacheCopy = g.findRun(c)
	}
	g.loop.post(c.ctx, func(st *state) { g.loop.budget(st, time.Now(), c.service).OnRequest() })
	s.machine = relay.New(relay.Options{
		Resumable: c.route.Resumable, MaxAttempts: c.route.MaxAttempts, Arrived: c.arrived, Deadline: c.deadline,
		MaxEventGap: c.route.MaxEventGap, FirstEventObjective: c.route.TargetLatency, After: c.head.LastEventID, HasCopy: s.cacheCopy != nil,
	})
	s.run()
	// An attempt that completed, or that was open when the client left, counts as run and not as arrived.
	if !s.machine.Arrived() && !s.machine.Ran() {
		g.loop.post(g.ctx, func(st *state) { g.loop.returnTrials(st, c) })
	}
	g.endRun(c, s.outcome == relay.Complete)
	s.recordCompletion()
	s.respond()
}

// run handles messages, checks and the client's disconnection until the stream ends.
func (s *stream) run() {
	defer s.endAttempts()
	s.apply(s.machine.Start(), nil)
	armed := s.machine.NextCheck()
	timer := time.NewTimer(time.Until(armed))
	defer timer.Stop()
	answersEnd := s.g.answersEnd
	for !s.finished {
		// Most checks are postponed by an event before they are due. The timer is left to expire
		// then, which costs less than a reset for each event.
		if next := s.machine.NextCheck(); next.Before(armed) {
			armed = next
			timer.Reset(time.Until(armed))
		}
		select {
		case m := <-s.messages:
			s.handle(m)
		case <-timer.C:
			s.apply(s.machine.Check(time.Now()), nil)
			armed = s.machine.NextCheck()
			timer.Reset(time.Until(armed))
		case <-s.req.ctx.Done():
			s.apply(s.machine.CallerDisconnected(), nil)
		case <-answersEnd:
			answersEnd = nil
			s.endUnanswered()
		}
	}
}

// endUnanswered ends a stream that has sent nothing to its client as if its deadline had passed. A response tells the
// client whether the request may have run; a closed connection would not.
func (s *stream) endUnanswered() {
	if !s.headerSent {
		s.apply(s.machine.Check(s.req.deadline), nil)
	}
}

// endAttempts ends the attempts that are still open, as after a panic.
func (s *stream) endAttempts() {
	for _, a := range []*attempt{s.successor, s.current} {
		if a != nil {
			a.end(0)
		}
	}
}

// apply applies effects and those that follow from them. event is the event that Deliver passes on.
func (s *stream) apply(queue []relay.Effect, event []byte) {
	for len(queue) > 0 && !s.finished {
		effect := queue[0]
		queue = append(queue[1:], s.applyEffect(effect, event)...)
	}
}

func (s *stream) applyEffect(effect relay.Effect, event []byte) []relay.Effect {
	switch e := effect.(type) {
	case relay.ChooseTarget:
		return s.chooseTarget(e)
	case relay.StartAttempt:
		s.current = s.startAttempt(e)
		s.becomeCurrent()
	case relay.EndAttempt:
		s.logLoss(s.current, e.Loss)
		s.endCurrent(e.Loss)
	case relay.Probe:
		s.current.probe()
	case relay.SeekSuccessor:
		return s.seekSuccessor(e)
	case relay.StartSuccessor:
		s.successor = s.startAttempt(e.Start)
	case relay.EndSuccessor:
		s.req.log.Info().Str("target", s.successor.reg.ID).Str("stays", s.current.reg.ID).Stringer("loss", e.Loss).Msg("stream stays at its target; its successor is canceled")
		if from := s.successor.resumeFrom; from != nil && !s.successor.handle.sent.Load() {
			s.current.copies.restore(from)
		}
		s.successor.end(e.Loss)
		s.successor = nil
	case relay.Switch:
		s.logLoss(s.current, e.Loss)
		s.endCurrent(e.Loss)
		s.current, s.successor = s.successor, nil
		s.becomeCurrent()
	case relay.Deliver:
		if err := s.deliver(event); err != nil {
			if errors.Is(err, errStopping) {
				return s.machine.Check(s.req.deadline)
			}
			return s.machine.CallerDisconnected()
		}
		s.recordDelivery(time.Now())
	case relay.Finish:
		s.outcome, s.finished = e.Outcome, true
	}
	return nil
}

// becomeCurrent is called when current is another attempt.
func (s *stream) becomeCurrent() {
	s.lastTarget = s.current.reg.ID
	s.current.copies = s.current.manageCopy()
}

// endCurrent ends the current attempt and keeps the copy that it leaves.
func (s *stream) endCurrent(loss relay.Loss) {
	s.cacheCopy = s.current.copies.stop()
	s.current.end(loss)
	s.current = nil
}

func (s *stream) logLoss(a *attempt, loss relay.Loss) {
	if loss == 0 {
		return
	}
	s.g.metrics.losses.WithLabelValues(loss.String()).Inc()
	s.req.log.Info().Str("target", a.reg.ID).Stringer("loss", loss).Int("attempt", a.number).
		Uint64("last_event", s.machine.LastEvent()).Msg("stream attempt failed")
}

// handle handles a message of an attempt. Messages of attempts that have ended are dropped.
func (s *stream) handle(m attemptMessage) {
	m.attempt.withheld = m.withheld
	switch m.attempt {
	case s.current:
		s.handleCurrent(m)
	case s.successor:
		s.handleSuccessor(m)
	}
}

func (s *stream) handleCurrent(m attemptMessage) {
	switch m.kind {
	case attemptEvent:
		s.handleEvent(m)
	case attemptCompleted:
		if !s.headerSent {
			s.response = m.attempt.response
		}
		s.apply(s.machine.AttemptCompleted(time.Now()), nil)
	case attemptFailed:
		if m.loss == relay.Failed && !s.headerSent {
			s.response, s.failureBody = m.attempt.response, m.failureBody
		}
		s.apply(s.machine.AttemptFailed(time.Now(), m.loss), nil)
	case attemptProbed:
		if m.reported {
			s.machine.TargetReported(m.report)
		} else {
			s.machine.ReportMissing()
		}
		s.apply(s.machine.Probed(time.Now(), m.alive, m.attempt.copies.current.Load() != nil), nil)
	case attemptSilent:
		s.apply(s.machine.TargetSilent(time.Now(), m.attempt.copies.current.Load() != nil), nil)
	}
}

// handleEvent passes on an event of the current attempt, or drops it if it does not continue the
// stream.
func (s *stream) handleEvent(m attemptMessage) {
	a := m.attempt
	a.recordFirstEvent(m.at)
	a.recordFlowing(m.at)
	a.copies.markStarted()
	if !s.headerSent {
		s.response = a.response
	}
	if effects := s.machine.Event(m.at, m.event.ID); len(effects) > 0 {
		a.dropped.Reset(m.at)
		s.apply(effects, m.event.Raw)
	} else if !a.dropped.Permits(m.at, len(m.event.Raw)) {
		s.req.log.Info().Str("target", a.reg.ID).Msg("target sends only events that do not continue the stream")
		s.apply(s.machine.AttemptFailed(m.at, relay.Interrupted), nil)
	}
	a.acknowledge()
}

func (s *stream) handleSuccessor(m attemptMessage) {
	a := m.attempt
	switch m.kind {
	case attemptSent:
		s.machine.SuccessorSent(m.at)
	case attemptEvent:
		if !s.headerSent {
			s.response = a.response
		}
		s.apply(s.machine.SuccessorEvent(m.at, m.event.ID), m.event.Raw)
		if s.current == a {
			a.recordFirstEvent(m.at)
			a.copies.markStarted()
		}
		a.acknowledge()
	case attemptCompleted:
		if !s.headerSent {
			s.response = a.response
		}
		s.apply(s.machine.SuccessorCompleted(m.at), nil)
	case attemptFailed:
		s.logLoss(a, m.loss)
		s.machine.SuccessorFailed(m.loss)
		if m.loss == relay.Unsent && a.resumeFrom != nil {
			s.current.copies.restore(a.resumeFrom)
		}
		a.end(m.loss)
		s.successor = nil
	}
}

// chooseTarget waits a limited time for a target and returns the effects.
func (s *stream) chooseTarget(e relay.ChooseTarget) []relay.Effect {
	if s.g.loop.ranked(s.req.service) {
		return s.awaitPlace(e)
	}
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
		case ok:
			return s.machine.Placed(time.Now(), placed)
		case s.req.ctx.Err() != nil:
			return s.machine.CallerDisconnected()
		case s.held.hopeless(waitUntil):
			s.req.logHeld(&s.held)
			return s.machine.PlacementFailed()
		case s.req.rejected, s.req.deadlineTooShort:
			return s.machine.PlacementFailed()
		case s.leaves():
			s.req.leaving = true
			return s.machine.PlacementFailed()
		case !time.Now().Before(waitUntil):
			return s.machine.PlacementFailed()
		}
		sleep(s.req.ctx, placementRetryInterval)
	}
}

// leaves reports whether this gateway stops before a stream that waits for a target could end: one that has not run needs
// minStreamGrace, any other one has to be answered when all are.
func (s *stream) leaves() bool {
	return s.g.mustAnswer() || !s.machine.Ran() && s.req.head.LastEventID == 0 && s.g.streamOutlastsGrace(time.Now())
}

// chosenTarget is the target of an attempt that is about to start.
type chosenTarget struct {
	reg membership.Registration
	// resumeFrom is the KV cache copy from which the attempt continues, nil for none.
	resumeFrom *CacheCopy
	// tookRepeat is set if the attempt took a token of the retry budget.
	tookRepeat bool
	// reserved is the id of the stream in the fleet if its place is reserved already, 0 if not. asHighest is set if it
	// has the rights of the highest rank.
	reserved  uint64
	asHighest bool
}

type placementResult struct {
	placement relay.Placement
	reg       membership.Registration
	ok        bool
	rejected  bool
	// deadlineTooShort is set if no target can produce the last event before the deadline, but only after
	// earliestEnd.
	deadlineTooShort bool
	earliestEnd      time.Duration
	// tookRepeat is set if a token of the retry budget was taken, and budgetSpent if there was none.
	tookRepeat, budgetSpent bool
	held                    heldPlacement
	// leaving is set if this gateway stops before the stream could end.
	leaving bool
	// reserved and asHighest are those of chosenTarget, and retryAfter is the delay to state to the client, 0 for the
	// usual one.
	reserved   uint64
	asHighest  bool
	retryAfter time.Duration
}

// requestPlacement requests a target from the event loop: the holder of the KV cache copy if it
// is usable, otherwise the best target. The placement includes an engine for the next copy.
func (s *stream) requestPlacement(e relay.ChooseTarget) (relay.Placement, bool) {
	var resumeFrom *CacheCopy
	holder := ""
	if e.MayHaveCopy && s.cacheCopy != nil {
		resumeFrom, holder = s.cacheCopy, s.cacheCopy.Holder
	}
	// As in callForwarder.chooseTarget, the result is needed also if the client leaves meanwhile.
	p := query(s.g.ctx, s.g.loop, func(st *state) placementResult {
		if s.req.ctx.Err() != nil {
			return placementResult{}
		}
		now := time.Now()
		if s.g.loop.rejects(st, now, s.req, s.machine.Arrived()) {
			return placementResult{rejected: true}
		}
		fleetQuery := placement.FleetQuery{Service: s.req.service, Exclude: e.Exclude, LastResort: s.machine.LastResort(), WarmTarget: s.previousTarget}
		if !s.machine.Ran() {
			if end, ok := st.earliestEnd(now, s.req, fleetQuery, s.prompt, holder); ok && end.After(s.req.deadline) {
				return placementResult{deadlineTooShort: true, earliestEnd: end.Sub(now)}
			}
		}
		placed := st.placeStream(now, fleetQuery, s.req.versionDraw, holder, s.prompt)
		if !placed.ok {
			placed.held = st.heldPlacement(now, fleetQuery, streamRetryAfter)
		}
		if placed.ok && s.machine.Arrived() {
			placed.tookRepeat = s.takeRepeat(st, now)
			placed.ok, placed.budgetSpent = placed.tookRepeat, !placed.tookRepeat
		}
		return placed
	})
	if p.budgetSpent && !s.budgetSpent {
		s.req.log.Info().Bool("ran", s.machine.Ran()).Int("attempts", s.machine.Attempts()).Msg("retry budget is spent; stream waits for it")
	}
	if p.deadlineTooShort {
		s.req.log.Info().Dur("earliest_end", p.earliestEnd).Dur("left", time.Until(s.req.deadline)).Uint64("after", s.machine.LastEvent()).
			Msg("stream cannot end before its deadline")
	}
	s.budgetSpent = p.budgetSpent
	s.req.deadlineTooShort = p.deadlineTooShort
	s.held, s.req.heldDelay = p.held, p.held.delay
	if p.rejected {
		s.req.logRejection(s.machine.Arrived())
		s.req.rejected = true
		return relay.Placement{}, false
	}
	s.recordPlacement(&p, resumeFrom)
	return p.placement, p.ok
}

// recordPlacement keeps the chosen target for the attempt that is about to start there.
func (s *stream) recordPlacement(p *placementResult, resumeFrom *CacheCopy) {
	if !p.ok {
		return
	}
	s.placed = chosenTarget{reg: p.reg, tookRepeat: p.tookRepeat, reserved: p.reserved, asHighest: p.asHighest}
	if p.placement.Resume {
		s.placed.resumeFrom = resumeFrom
	}
	s.req.log.Info().Str("target", p.reg.ID).Str("zone", p.reg.Zone).Str("copy", p.placement.CopyTarget).Bool("from_copy", p.placement.Resume).
		Uint64("after", s.machine.LastEvent()).Msg("stream placed")
}

// seekSuccessor looks for a target to which the stream can move from one that is live or only silent.
// The move takes a token of the retry budget, but none that is kept for streams that have lost their
// target unless the stream's target does not work on it, which is such a loss.
func (s *stream) seekSuccessor(e relay.SeekSuccessor) []relay.Effect {
	var resumeFrom *CacheCopy
	holder := ""
	if current := s.current.copies.current.Load(); e.MayHaveCopy && current != nil {
		resumeFrom, holder = current, current.Holder
	}
	reg, silence := s.current.reg, s.machine.Silence(time.Now())
	p := query(s.g.ctx, s.g.loop, func(st *state) placementResult {
		now := time.Now()
		if s.req.ctx.Err() != nil || st.suspects.Rejects(s.req.identity, now) || st.suspects.CondemnedParts(s.req.parts) != nil {
			return placementResult{}
		}
		fleetQuery := placement.FleetQuery{Service: s.req.service, Exclude: e.Exclude}
		var found placementResult
		if e.Loss.NotWorking() {
			fleetQuery.LastResort = e.LastResort
			found = st.placeStream(now, fleetQuery, s.req.versionDraw, holder, s.prompt)
		} else {
			found = st.placeSuccessor(now, fleetQuery, s.req.versionDraw, holder, s.prompt, e.MaxExpected)
		}
		switch {
		case found.ok && e.Loss.NotWorking():
			found.tookRepeat = s.takeRepeat(st, now)
		case found.ok:
			found.tookRepeat = s.takeBudget(s.g.loop.budget(st, now, s.req.service).TakeRetry(st.inflightStreams[s.req.service]))
		}
		found.budgetSpent = found.ok && !found.tookRepeat
		found.ok = found.tookRepeat
		s.logDeparture(st, now, e, reg, silence, &found)
		return found
	})
	if !p.ok {
		s.machine.NoSuccessor()
		return nil
	}
	s.recordPlacement(&p, resumeFrom)
	if p.placement.Resume {
		// A copy can be used once.
		s.current.copies.markUsed()
	}
	return s.machine.SuccessorPlaced(time.Now(), e.Loss, p.placement)
}

// logDeparture logs what was known when a stream sought a successor: the loads of
// that target and of the best other one, the state of the retry budget and the choice.
func (s *stream) logDeparture(st *state, now time.Time, e relay.SeekSuccessor, reg membership.Registration, silence time.Duration, found *placementResult) {
	fleetQuery := placement.FleetQuery{Service: s.req.service, Exclude: e.Exclude}
	here := st.fleet.Load(now, reg.ID)
	event := s.req.log.Info().Str("target", reg.ID).Stringer("loss", e.Loss).Dur("silence", silence).Int("streams", here.Streams).Int("memory", here.Memory).Dur("backlog", here.Backlog).
		Float64("retry_tokens", s.g.loop.budget(st, now, s.req.service).Tokens()).Dur("max_expected", e.MaxExpected).
		Str("candidate", found.reg.ID).Bool("moves", found.ok).Bool("from_copy", found.placement.Resume).Bool("budget_spent", found.budgetSpent)
	if best, ok := st.fleet.ChooseEngine(now, fleetQuery, s.prompt); ok {
		there := st.fleet.Load(now, best.ID)
		event = event.Str("best", best.ID).Int("best_streams", there.Streams).Int("best_memory", there.Memory).Dur("best_backlog", there.Backlog)
	}
	event.Msg("stream seeks a successor")
}

// takeRepeat takes a token for an attempt after one that reached a target, whether or not that
// target ran the request: rejecting attempts costs targets too.
func (s *stream) takeRepeat(st *state, now time.Time) bool {
	budget := s.g.loop.budget(st, now, s.req.service)
	if s.machine.Ran() && s.machine.InTime(now) {
		taken := budget.TakeResume()
		if !taken && st.settings.Bounds.ShareRetries {
			budget.OnShortage(now, s.req.head.ID)
		}
		return s.takeBudget(taken)
	}
	return s.takeBudget(budget.TakeRetry(st.inflightStreams[s.req.service]))
}

// takeBudget counts an attempt for which the retry budget had no token.
func (s *stream) takeBudget(taken bool) bool {
	if !taken {
		s.g.metrics.retriesRefused.WithLabelValues(s.req.service).Inc()
	}
	return taken
}

// earliestEnd returns when a stream can get its last event at the earliest, at the holder of its copy or else
// anywhere. If that is after its deadline, processing its prompt would only delay other streams.
func (st *state) earliestEnd(now time.Time, c *clientRequest, fleetQuery placement.FleetQuery, prompt placement.GenerationSize, holder string) (time.Time, bool) {
	rest := st.completions[c.service].Least(c.head.Prompt.OutputTokens, c.head.LastEventID)
	return st.fleet.EarliestEnd(now, fleetQuery, prompt, holder, rest)
}

// recordCompletion records how long a stream took that one target generated from its first event on.
func (s *stream) recordCompletion() {
	if s.outcome != relay.Complete || s.machine.Attempts() != 1 || s.req.head.LastEventID > 0 {
		return
	}
	took, events := time.Since(s.req.arrived)-s.req.firstEvent, s.machine.Delivered()
	s.g.loop.post(s.g.ctx, func(st *state) {
		estimate := st.completions[s.req.service]
		if estimate == nil {
			estimate = &placement.Completion{}
			st.completions[s.req.service] = estimate
		}
		estimate.Observe(s.req.head.Prompt.OutputTokens, events, st.fleet.NominalTime(s.lastTarget, took))
	})
}

func (st *state) placeStream(now time.Time, fleetQuery placement.FleetQuery, draw uint64, holder string, prompt placement.GenerationSize) placementResult {
	st.restrictVersion(now, &fleetQuery, draw)
	chosen, ok := st.fleet.Place(now, fleetQuery, holder, prompt, st.mayCopy(now, fleetQuery.Service))
	return newPlacementResult(&chosen, ok)
}

func (st *state) placeSuccessor(now time.Time, fleetQuery placement.FleetQuery, draw uint64, holder string, prompt placement.GenerationSize, maxExpected time.Duration) placementResult {
	st.restrictVersion(now, &fleetQuery, draw)
	chosen, ok := st.fleet.PlaceSuccessor(now, fleetQuery, holder, prompt, st.mayCopy(now, fleetQuery.Service), maxExpected)
	return newPlacementResult(&chosen, ok)
}

func newPlacementResult(chosen *placement.Placement, ok bool) placementResult {
	if !ok {
		return placementResult{}
	}
	return placementResult{placement: relay.Placement{Target: chosen.Target.ID, CopyTarget: chosen.Copy, Resume: chosen.FromCopy, ExpectedFirstEvent: chosen.Expected}, reg: chosen.Target, ok: true}
}

// mayCopy reports whether a run of a service may get a copy of its KV cache.
func (st *state) mayCopy(now time.Time, service string) bool {
	return st.supportsCopies(service) && st.fleet.CopiesFit(now, service)
}

func (st *state) supportsCopies(service string) bool {
	if st.desired.Config == nil {
		return false
	}
	svc, ok := st.desired.Config.Service(service)
	return ok && svc.Engine != nil && svc.Engine.KeepsCopies
}

// deliver writes one event to the client.
func (s *stream) deliver(raw []byte) error {
	// The client of a run that has taken over another one is found by that one until this one is saved.
	if !s.headerSent && s.req.route.Resumable && s.req.continues == "" {
		if err := s.awaitRunRecorded(); err != nil {
			return err
		}
	}
	s.writeHeaderOnce()
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

// awaitRunRecorded waits until the stored row has the run, or readers do not take that for granted any more. A client that
// has received an event may return at another gateway: if the row lacked the run, that one could take the run of a client
// that asked for the same for this one. It returns an error if the event must not be sent: the client has left, perhaps only
// with its sending side, or this gateway stops.
func (s *stream) awaitRunRecorded() error {
	start := time.Now()
	outcome := s.g.runSaver.awaitRecorded(s.req.ctx, s.runRecord(), s.savedRun)
	if waited := time.Since(start); outcome != runSaved || waited > slowRunSave {
		s.req.log.Info().Stringer("outcome", outcome).Dur("waited", waited).Msg("first event waited for its run to be saved")
	}
	switch outcome {
	case runStopping:
		return errStopping
	case runClientLeft:
		return s.req.ctx.Err()
	}
	return nil
}

func (s *stream) writeHeaderOnce() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.g.writeResponseHeader(s.w, s.response)
}

// respond ends the response to the client. If the response has begun but is incomplete, or if the
// client has left, the connection is aborted, so that the client cannot mistake the response for a
// complete one. A client that has left may have closed only its sending side.
func (s *stream) respond() {
	s.req.logEnd(s.outcomeName(), s.machine.Attempts(), s.lastTarget, s.machine)
	switch s.outcome {
	case relay.Complete:
		s.writeHeaderOnce()
		return
	case relay.CallerLeft:
		panic(http.ErrAbortHandler)
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
	case s.req.leaving:
		s.g.refuse(s.w, s.req, result.Leaving, s.g.retryAfterStopping(s.req.ctx))
	case s.budgetSpent:
		s.g.refuse(s.w, s.req, result.RetryBudgetSpent, streamRetryAfter)
	case s.req.deadlineTooShort:
		s.g.refuse(s.w, s.req, result.DeadlineTooShort, s.req.retryDelay(streamRetryAfter))
	default:
		s.g.refuse(s.w, s.req, result.NoTarget, s.req.retryDelay(streamRetryAfter))
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
