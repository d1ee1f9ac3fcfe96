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
	// placeRetry is the pause between two tries to place a stream.
	placeRetry = 40 * time.Millisecond
	// patienceShare is the part of the latency objective that a request waits for a target
	// before it is refused: most of the objective is left for another gateway.
	patienceShare = 0.12
	// resumePatience is how long a stream that ran waits for a target to continue on.
	resumePatience = 3 * time.Second
)

// errMoved ends the reading of an attempt that the machine has left.
var errMoved = errors.New("the attempt was left")

// running is an attempt at a target as the director knows it.
type running struct {
	fingerprint uint64
	// sent is set once a byte of the request may have left: before, the request cannot be
	// what crashes the target.
	sent        atomic.Bool
	interrupted atomic.Bool
	close       context.CancelFunc
}

// interrupt ends the attempt because its target is down.
func (h *running) interrupt() {
	h.interrupted.Store(true)
	h.close()
}

// stream is one client's stream.
type stream struct {
	g       *Gateway
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	machine *relay.Machine
	// pending holds effects of a check that ended the attempt's reading.
	pending []relay.Effect
	// answer is the header of the attempt that delivers or failed.
	answer     TargetResponse
	failure    []byte
	headerSent bool
	outcome    relay.Outcome
	finished   bool
	reg        membership.Registration
	prompt     placement.GenerationSize
	// copy is where the memory of the attempt that ended is kept; nil for none.
	copy *CacheCopy
	// from is the copy that the current attempt continues from.
	from *CacheCopy
	// earlier is the target that ran the stream for another attempt of the client, empty if
	// that is not known.
	earlier string
	keeper  *copyKeeper
	// firstEventAt is when the current attempt produced its first event, zero before.
	firstEventAt time.Time
}

// serveStream relays a stream to its end.
func (g *Gateway) serveStream(w http.ResponseWriter, c *call) {
	s := &stream{
		g: g, w: w, call: c, control: http.NewResponseController(w), prompt: c.request.Prompt,
	}
	if c.request.LastEventID > 0 && c.route.Resumable {
		s.earlier, s.copy = g.findRun(c)
	}
	s.machine = relay.New(relay.Options{
		Resumable: c.route.Resumable, MaxAttempts: c.route.MaxAttempts, Deadline: c.deadline,
		MaxEventGap: c.route.MaxEventGap, FirstEventObjective: c.route.TargetLatency, After: c.request.LastEventID, HasCopy: s.copy != nil,
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
		return s.choose(e)
	case relay.StartAttempt:
		return s.attempt(e)
	case relay.Finish:
		s.outcome, s.finished = e.Outcome, true
	case relay.EndAttempt:
		if e.Loss != 0 {
			s.g.metrics.losses.WithLabelValues(e.Loss.String()).Inc()
			s.call.log.Info().Str("target", s.reg.ID).Stringer("loss", e.Loss).Int("attempt", s.machine.Attempts()).
				Uint64("last_event", s.machine.LastEvent()).Msg("attempt lost")
		}
	}
	return nil
}

// choose waits for a target within the patience of the stream.
func (s *stream) choose(e relay.ChooseTarget) []relay.Effect {
	patience := time.Duration(patienceShare * float64(s.call.route.TargetLatency))
	if s.machine.Ran() {
		patience = resumePatience
	}
	until := time.Now().Add(patience)
	if s.call.deadline.Before(until) {
		until = s.call.deadline
	}
	for {
		place, ok := s.place(e)
		switch {
		case s.call.ctx.Err() != nil:
			return s.machine.CallerDisconnected()
		case ok:
			return s.machine.Placed(time.Now(), place)
		case s.call.rejected, s.call.hopeless:
			return s.machine.PlacementFailed()
		case !time.Now().Before(until):
			return s.machine.PlacementFailed()
		}
		sleep(s.call.ctx, placeRetry)
	}
}

// placed is the director's answer to a stream that needs a target.
type placed struct {
	place    relay.Placement
	reg      membership.Registration
	ok       bool
	rejected bool
	// hopeless is set if no target can produce anything useful before the deadline.
	hopeless bool
}

// place asks the director for a target: the holder of the copy if it may be used, or else
// the best one, with another engine for the next copy.
func (s *stream) place(e relay.ChooseTarget) (relay.Placement, bool) {
	resume := len(e.Exclude) > 0
	holder := ""
	if e.MayHaveCopy && s.copy != nil {
		holder = s.copy.Holder
	}
	p := ask(s.call.ctx, s.g.director, func(st *state) placed {
		now := time.Now()
		if st.suspects.Rejected(s.call.fingerprint, now) {
			return placed{rejected: true}
		}
		if resume && s.machine.Ran() && !s.g.director.budget(st, now, s.call.service).TakeResume() {
			return placed{}
		}
		query := placement.FleetQuery{Service: s.call.service, Exclude: e.Exclude, WarmTarget: s.earlier}
		if !s.machine.Ran() && holder == "" && st.hopeless(now, s.call, query, s.prompt) {
			return placed{hopeless: true}
		}
		return st.placeStream(now, query, s.call.draw, holder, s.prompt)
	})
	s.call.hopeless = p.hopeless
	if p.rejected {
		s.call.log.Warn().Msg("request is rejected: it crashed too many targets")
		s.call.rejected = true
		return relay.Placement{}, false
	}
	if p.ok {
		s.reg = p.reg
		s.from = nil
		if p.place.Resume {
			s.from = s.copy
		}
		s.call.log.Info().Str("target", p.reg.ID).Str("zone", p.reg.Zone).Str("copy", p.place.CopyTarget).Bool("from_copy", p.place.Resume).
			Uint64("after", s.machine.LastEvent()).Msg("stream placed")
	}
	return p.place, p.ok
}

// hopeless reports whether a stream that has not run cannot get its first event before its
// caller gives up. Reading its prompt would only delay the others.
func (st *state) hopeless(now time.Time, c *call, query placement.FleetQuery, prompt placement.GenerationSize) bool {
	expected, ok := st.fleet.TimeToFirstEvent(now, query, prompt)
	return ok && now.Add(expected).After(c.deadline)
}

func (st *state) placeStream(now time.Time, query placement.FleetQuery, draw uint64, holder string, prompt placement.GenerationSize) placed {
	st.restrictVersion(now, &query, draw)
	chosen, ok := st.fleet.Place(now, query, holder, prompt, st.keepsCopies(query.Service))
	if !ok {
		return placed{}
	}
	return placed{place: relay.Placement{Target: chosen.Target.ID, CopyTarget: chosen.Copy, Resume: chosen.FromCopy, ExpectedFirstEvent: chosen.Expected}, reg: chosen.Target, ok: true}
}

func (st *state) keepsCopies(service string) bool {
	if st.desired.Config == nil {
		return false
	}
	svc, ok := st.desired.Config.Service(service)
	return ok && svc.Engine != nil && svc.Engine.KeepsCopies
}

// started is what the director returns when an attempt begins.
type started struct {
	run         uint64
	copyAddress string
}

// attempt runs one attempt to its end and returns what follows.
func (s *stream) attempt(e relay.StartAttempt) []relay.Effect {
	s.pending = nil
	ctx, cancel := context.WithCancel(s.call.ctx)
	defer cancel()
	handle := &running{fingerprint: s.call.fingerprint, close: cancel}
	prompt := s.prompt
	if e.CopyHolder != "" {
		// The copy has nearly everything that was read.
		prompt = placement.GenerationSize{OutputTokens: s.prompt.PromptTokens + s.prompt.OutputTokens}
	}
	begin := s.begin(e, handle, prompt)
	begun, reg := time.Now(), s.reg
	s.firstEventAt = time.Time{}
	effects, failed := s.exchange(ctx, e, handle, begin)
	latency := time.Duration(0)
	if !s.firstEventAt.IsZero() {
		latency = s.firstEventAt.Sub(begun)
	}
	s.g.director.tell(s.g.ctx, func(st *state) {
		// A lost zone or a resumption from a copy says nothing about the version.
		if e.CopyHolder == "" && !handle.interrupted.Load() && (failed || latency > 0) {
			st.observe(time.Now(), reg, s.call.route.Name, latency, failed)
		}
		st.fleet.EndStream(time.Now(), e.Placement.Target, e.Placement.CopyTarget, begin.run, prompt, failed)
		st.removeHandle(e.Placement.Target, handle)
		st.inflight[s.call.service]--
	})
	return effects
}

func (s *stream) begin(e relay.StartAttempt, handle *running, prompt placement.GenerationSize) started {
	return ask(s.g.ctx, s.g.director, func(st *state) started {
		now := time.Now()
		b := started{run: st.fleet.BeginStream(now, e.Placement.Target, e.Placement.CopyTarget, prompt)}
		if keeper, ok := st.fleet.Target(e.Placement.CopyTarget); ok {
			b.copyAddress = keeper.Address
		}
		st.addHandle(e.Placement.Target, handle)
		st.inflight[s.call.service]++
		return b
	})
}

// exchange sends the request and passes the events on. Failed tells whether the target is
// to blame for the end.
func (s *stream) exchange(ctx context.Context, e relay.StartAttempt, handle *running, begin started) (effects []relay.Effect, failed bool) {
	conn, err := s.g.pool.Dial(ctx, s.reg.Address)
	if err != nil {
		if s.call.ctx.Err() != nil {
			return s.machine.CallerDisconnected(), false
		}
		s.g.unreachable(s.reg, err)
		return s.machine.AttemptFailed(time.Now(), relay.Unsent), true
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	conn.IdleDeadline = s.machine.NextCheck
	conn.OnIdle = s.idle
	attempt := Attempt{
		Request: &s.call.request, Target: s.reg, Account: s.call.account, Timeout: time.Until(s.call.deadline),
		LastEventID: e.After, Priority: -1, CopyTo: begin.copyAddress,
	}
	if e.CopyHolder != "" {
		attempt.CopyFrom = s.from
	}
	defer s.keepCopy(e.Placement, begin.copyAddress).stop()
	handle.sent.Store(true)
	sent, err := conn.Send(s.call.message(s.g.options.Protocol.EncodeAttempt(&attempt)))
	if err != nil && !sent {
		return s.machine.AttemptFailed(time.Now(), relay.Unsent), true
	}
	if err != nil {
		return s.broken(handle, err)
	}
	response, err := conn.Receive(s.call.request.Method)
	if err != nil {
		return s.broken(handle, err)
	}
	answer := s.g.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
	if loss := s.check(&answer, response); loss != 0 {
		if loss == relay.Replaced {
			s.g.director.tell(s.g.ctx, func(st *state) { st.fleet.MarkReplaced(s.reg.ID) })
		}
		return s.machine.AttemptFailed(time.Now(), loss), loss != relay.Refused
	}
	if !s.headerSent {
		s.answer = answer
	}
	return s.relayEvents(e, handle, response.Body, begin.run)
}

// check returns how the attempt failed by the header of its answer, or 0.
func (s *stream) check(answer *TargetResponse, response *http.Response) relay.Loss {
	switch {
	case answer.InstanceMismatch:
		return relay.Replaced
	case answer.NotRun:
		return relay.Refused
	case answer.RequestID != s.call.request.ID:
		return relay.Interrupted
	case answer.Status != http.StatusOK:
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		if err != nil {
			return relay.Interrupted
		}
		s.answer, s.failure = *answer, body
		return relay.Failed
	case !answer.Signed:
		return relay.Interrupted
	}
	return 0
}

// relayEvents passes events on until the stream or the attempt ends.
func (s *stream) relayEvents(e relay.StartAttempt, handle *running, body io.Reader, run uint64) ([]relay.Effect, bool) {
	reader := target.NewEventReader(body)
	first := true
	for {
		event, err := reader.Read()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			return s.machine.AttemptCompleted(), false
		}
		if err != nil {
			return s.broken(handle, err)
		}
		if first {
			first = false
			s.g.director.tell(s.g.ctx, func(st *state) { st.fleet.RecordFirstEvent(now, e.Placement.Target, run) })
			s.firstEventAt = now
			s.call.observeFirstEvent(now)
			s.keeper.delivering()
		}
		effects := s.machine.Event(now, event.ID)
		if len(effects) == 1 {
			if _, deliver := effects[0].(relay.Deliver); deliver {
				if err := s.deliver(event.Raw); err != nil {
					return s.machine.CallerDisconnected(), false
				}
				continue
			}
		}
		if len(effects) > 0 {
			return effects, true
		}
	}
}

// broken reports the end of an attempt by an error of its connection.
func (s *stream) broken(handle *running, err error) ([]relay.Effect, bool) {
	switch {
	case s.call.ctx.Err() != nil:
		return s.machine.CallerDisconnected(), false
	case errors.Is(err, errMoved):
		return s.pending, true
	case handle.interrupted.Load():
		return s.machine.AttemptFailed(time.Now(), relay.TargetDown), true
	}
	s.call.log.Debug().Str("target", s.reg.ID).Err(err).Msg("connection to target broke")
	s.g.alive(s.reg)
	return s.machine.AttemptFailed(time.Now(), relay.Interrupted), true
}

// idle is called when the target was silent until the machine's next check.
func (s *stream) idle() error {
	effects := s.machine.Check(time.Now())
	for _, effect := range effects {
		if _, ok := effect.(relay.Probe); ok {
			alive := s.g.alive(s.reg)
			s.call.log.Info().Str("target", s.reg.ID).Bool("alive", alive).Uint64("last_event", s.machine.LastEvent()).
				Msg("silent target probed")
			effects = s.machine.Probed(time.Now(), alive, s.keeper.copy.Load() != nil)
			break
		}
	}
	if len(effects) > 0 {
		s.pending = effects
		return errMoved
	}
	return nil
}

// deliver writes one event to the client.
func (s *stream) deliver(raw []byte) error {
	s.sendHeader()
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *stream) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.g.writeHeader(s.w, s.answer)
}

// respond ends the client's response. A response that was begun and is not complete is
// cut, so that it cannot look whole.
func (s *stream) respond() {
	s.call.finished(s.outcomeName(), s.machine.Attempts(), s.reg.ID, s.machine)
	switch s.outcome {
	case relay.Complete:
		s.sendHeader()
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
		s.g.passFailure(s.w, s.answer, s.failure)
	case s.call.rejected:
		s.g.refuse(s.w, s.call, result.CrashesTargets, 0)
	case s.outcome == relay.TimedOut && ran:
		s.g.refuse(s.w, s.call, result.DeadlineExceeded, 0)
	case ran:
		s.g.refuse(s.w, s.call, result.TargetDied, 0)
	case s.call.hopeless:
		s.g.refuse(s.w, s.call, result.DeadlineTooShort, streamRetryAfter)
	default:
		s.g.refuse(s.w, s.call, result.NoTarget, streamRetryAfter)
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
