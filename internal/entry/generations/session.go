package generations

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/stream"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// messageQueue holds events of attempts before readers stop reading; the
	// caller's buffer is the larger part of the bound.
	messageQueue = 8
	// cancelTimeout bounds one Cancel call.
	cancelTimeout = 2 * time.Second
	// attachGrace is how long an attempt without a caller stays attachable before it is
	// cancelled. The cancel carries this entry's attach epoch, so that it is rejected
	// if another entry attached meanwhile.
	attachGrace = 10 * time.Second
	// progressInterval is how often the router learns that a request runs without a crash.
	progressInterval = time.Second
)

// placed is the router's answer to a RequestTarget.
type placed struct {
	request    uint32
	assignment *router.Assignment
	err        error
}

// running is an attempt or a reserved target.
type running struct {
	assignment *router.Assignment // nil for an attempt attached to
	client     wire.AgentClient
	cancel     context.CancelFunc
}

// attached is an open Attach stream whose first event was read.
type attached struct {
	number uint32
	events wire.Agent_AttachClient
	running
}

// session serves one request. Its task serve owns the state machine; other tasks
// send it messages.
type session struct {
	h        *Handler
	log      zerolog.Logger
	request  *http.Request
	spec     *wire.GenerationSpec
	streamed bool
	machine  *stream.Machine
	output   *output

	events   chan stream.Message // from attempts; not read while the caller's buffer is full
	answers  chan placed
	control  chan stream.Message // from the output
	ended    chan struct{}
	targets  map[uint32]*router.Assignment // by request
	attempts map[uint32]*running           // by attempt
	placing  map[uint32]context.CancelFunc // by request
}

func (h *Handler) newSession(r *http.Request, spec *wire.GenerationSpec, streamed bool) *session {
	return &session{
		h: h,
		log: h.options.Logger.With().
			Str("request", uuid.NewString()).
			Str("generation", spec.GetGeneration()).
			Str("account", spec.GetAccount()).Logger(),
		request:  r,
		spec:     spec,
		streamed: streamed,
		machine: stream.New(stream.Options{
			DisableResume: h.options.DisableResume,
			Deadline:      unixMilli(spec.GetDeadlineUnixMs()),
		}),
		events:   make(chan stream.Message, messageQueue),
		answers:  make(chan placed),
		control:  make(chan stream.Message, outputQueue),
		ended:    make(chan struct{}),
		targets:  make(map[uint32]*router.Assignment),
		attempts: make(map[uint32]*running),
		placing:  make(map[uint32]context.CancelFunc),
	}
}

func unixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// serve runs the request to its end. live is the stream of an attached log, or nil.
func (s *session) serve(first stream.Message, live *attached) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.output.run(
			func() { s.sendControl(stream.Consumed{Events: 1}) },
			func() { s.sendControl(stream.CallerDisconnected{Resumable: s.output.resumable.Load()}) },
		)
	}()
	if live != nil {
		s.attempts[live.number] = &live.running
		go s.read(live.number, s.spec.GetVersion(), live.events)
	}
	finish := s.loop(first)
	close(s.ended)
	close(s.output.queue)
	if finish.Code == result.SlowCaller || finish.Code == result.Cancelled {
		s.output.abort()
	}
	<-written
	s.log.Info().Stringer("code", finish.Code).Uint64("tokens", finish.Tokens).Msg("generation request ended")
}

func (s *session) loop(first stream.Message) stream.Finish {
	ticker := time.NewTicker(stream.TickInterval)
	defer ticker.Stop()
	finish, done := s.step(first)
	reported := time.Now()
	for !done {
		events := s.events
		if s.machine.Blocked() {
			events = nil
		}
		select {
		case message := <-events:
			finish, done = s.step(message)
		case answer := <-s.answers:
			finish, done = s.step(s.onAnswer(answer))
		case message := <-s.control:
			finish, done = s.step(message)
		case <-s.request.Context().Done():
			finish, done = s.step(stream.CallerDisconnected{Resumable: s.output.resumable.Load()})
		case <-ticker.C:
			finish, done = s.tick()
		}
		if len(s.attempts) > 0 && time.Since(reported) >= progressInterval {
			reported = time.Now()
			s.h.options.Router.ReportProgress(s.spec.GetFingerprint(), false)
		}
	}
	return finish
}

// tick handles the events that have arrived before it checks inactivity.
func (s *session) tick() (stream.Finish, bool) {
	for !s.machine.Blocked() {
		select {
		case message := <-s.events:
			if finish, done := s.step(message); done {
				return finish, done
			}
			continue
		default:
		}
		break
	}
	return s.step(stream.Tick{})
}

func (s *session) step(message stream.Message) (finish stream.Finish, done bool) {
	for _, effect := range s.machine.Step(time.Now(), message) {
		if end, ok := effect.(stream.Finish); ok {
			finish, done = end, true
			s.onFinish(end)
			continue
		}
		s.apply(effect)
	}
	return finish, done
}

func (s *session) apply(effect stream.Effect) {
	switch e := effect.(type) {
	case stream.RequestTarget:
		s.requestTarget(e)
	case stream.CancelRequest:
		s.placing[e.Request]()
	case stream.ReleaseTarget:
		s.targets[e.Request].Done(placement.Outcome{Cancelled: true})
		delete(s.targets, e.Request)
	case stream.StartAttempt:
		s.startAttempt(e)
	case stream.EndAttempt:
		s.endAttempt(e)
	case stream.Deliver:
		s.output.queue <- e
	case stream.TickDelayed:
		s.h.metrics.lateTicks.Inc()
		s.log.Warn().Dur("late", e.Delay).Msg("own tick was late, inactivity timers restarted")
	case stream.Count:
		s.h.metrics.count(e)
	case stream.Resumed:
		s.h.metrics.resumes.WithLabelValues(e.Reason).Inc()
		s.h.metrics.latency.Observe(e.Latency.Seconds())
		s.log.Info().Str("reason", e.Reason).Dur("latency", e.Latency).Msg("generation resumed")
	}
}

func (s *session) onFinish(f stream.Finish) {
	if f.Code == result.OK {
		s.h.options.Router.ReportProgress(s.spec.GetFingerprint(), true)
	}
	s.output.queue <- f
}

func (s *session) sendControl(message stream.Message) {
	select {
	case s.control <- message:
	case <-s.ended:
	}
}

func (s *session) requestTarget(e stream.RequestTarget) {
	ctx, cancel := context.WithTimeout(s.request.Context(), e.Wait)
	s.placing[e.Request] = cancel
	request := placement.Request{
		Service:     s.spec.GetService(),
		Version:     e.Version,
		Route:       s.spec.GetRoute(),
		Account:     s.spec.GetAccount(),
		Member:      s.spec.GetMember(),
		Blocks:      s.blocks(e.Version),
		Fingerprint: s.spec.GetFingerprint(),
		Resume:      e.Resume,
		Retry:       e.Retry,
		Preempted:   e.Preempted,
		Exclude:     e.Exclude,
		Started:     unixMilli(s.spec.GetStartedUnixMs()),
		Deadline:    unixMilli(s.spec.GetDeadlineUnixMs()),
	}
	go func() {
		defer cancel()
		assignment, err := s.h.options.Router.Place(ctx, request)
		select {
		case s.answers <- placed{request: e.Request, assignment: assignment, err: err}:
		case <-s.ended:
			if assignment != nil {
				assignment.Done(placement.Outcome{Cancelled: true})
			}
		}
	}()
}

// blocks hashes the prompt for the given version, or for the version with the
// largest share while none is chosen.
func (s *session) blocks(version string) []uint64 {
	config := s.h.config()
	if s.h.options.PromptBlocks == nil || config == nil || s.spec.GetPrompt() == "" {
		return nil
	}
	service := config.Service(s.spec.GetService())
	if service == nil {
		return nil
	}
	var chosen *opconfig.Version
	for i := range service.Versions {
		v := &service.Versions[i]
		if version == v.Name {
			chosen = v
			break
		}
		if version == "" && (chosen == nil || v.Share > chosen.Share) {
			chosen = v
		}
	}
	if chosen == nil {
		return nil
	}
	return s.h.options.PromptBlocks(service.Model, chosen.Name, chosen.Adapter, s.spec.GetPrompt())
}

func (s *session) onAnswer(answer placed) stream.Message {
	delete(s.placing, answer.request)
	if answer.err != nil {
		code := caller.AsError(answer.err).Code
		if errors.Is(answer.err, context.DeadlineExceeded) || errors.Is(answer.err, context.Canceled) {
			code = result.NoTarget
		}
		s.log.Debug().Err(answer.err).Stringer("code", code).Msg("no target")
		return stream.PlacementFailed{Request: answer.request, Code: code}
	}
	s.targets[answer.request] = answer.assignment
	return stream.Assigned{
		Request:     answer.request,
		Target:      answer.assignment.Target.Name,
		Address:     answer.assignment.Target.Address,
		Incarnation: answer.assignment.Target.Incarnation,
		Version:     answer.assignment.Version,
		Adapter:     s.adapter(answer.assignment.Version),
	}
}

func (s *session) adapter(version string) string {
	config := s.h.config()
	if config == nil {
		return ""
	}
	if service := config.Service(s.spec.GetService()); service != nil {
		for _, v := range service.Versions {
			if v.Name == version {
				return v.Adapter
			}
		}
	}
	return ""
}

func (s *session) startAttempt(e stream.StartAttempt) {
	assignment := s.targets[e.Request]
	delete(s.targets, e.Request)
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.request.Context()))
	attempt := &running{assignment: assignment, cancel: cancel}
	s.attempts[e.Attempt] = attempt
	s.log.Info().Uint32("attempt", e.Attempt).Str("target", assignment.Target.Name).
		Str("version", e.Version).Int("prefix_tokens", len(e.PrefixIDs)).Msg("attempt started")
	client, err := s.h.options.Agent(assignment.Target.Address)
	if err != nil {
		s.log.Warn().Err(err).Uint32("attempt", e.Attempt).Msg("no client for the agent")
		go s.sendEvent(stream.Failed{Attempt: e.Attempt, Code: result.TargetUnreachable})
		return
	}
	attempt.client = client
	request := &wire.GenerateRequest{
		Spec:           s.specFor(e),
		Attempt:        e.Attempt,
		AttachEpoch:    e.Epoch,
		PrefixTokenIds: e.PrefixIDs,
		PrefixBytes:    e.PrefixBytes,
		Resume:         e.Resume,
		Suspect:        assignment.Suspicion != placement.NotSuspected,
		Isolated:       assignment.Suspicion == placement.Isolated,
	}
	go func() {
		events, err := client.Generate(ctx, request)
		if err != nil {
			s.log.Warn().Err(err).Uint32("attempt", e.Attempt).Msg("agent cannot be reached")
			s.sendEvent(stream.StreamBroken{Attempt: e.Attempt})
			return
		}
		s.read(e.Attempt, e.Version, events)
	}()
}

// specFor returns the generation's specification for one attempt.
func (s *session) specFor(e stream.StartAttempt) *wire.GenerationSpec {
	return &wire.GenerationSpec{
		Generation:     s.spec.GetGeneration(),
		Service:        s.spec.GetService(),
		Model:          s.spec.GetModel(),
		Version:        e.Version,
		Adapter:        e.Adapter,
		PrefixTokens:   uint64(len(e.PrefixIDs)),
		Prompt:         s.spec.GetPrompt(),
		PromptTokenIds: s.spec.GetPromptTokenIds(),
		Sampling:       s.spec.GetSampling(),
		Account:        s.spec.GetAccount(),
		Member:         s.spec.GetMember(),
		Fingerprint:    s.spec.GetFingerprint(),
		StartedUnixMs:  s.spec.GetStartedUnixMs(),
		DeadlineUnixMs: s.spec.GetDeadlineUnixMs(),
		Route:          s.spec.GetRoute(),
	}
}

// read sends the events of one attempt to the session until the stream ends.
func (s *session) read(attempt uint32, version string, events wire.Agent_GenerateClient) {
	for {
		event, err := events.Recv()
		if err != nil {
			s.log.Debug().Err(err).Uint32("attempt", attempt).Msg("attempt stream ended")
			s.sendEvent(stream.StreamBroken{Attempt: attempt})
			return
		}
		message, terminal := s.decode(attempt, version, event)
		if message != nil && !s.sendEvent(message) || terminal {
			return
		}
	}
}

func (s *session) sendEvent(message stream.Message) bool {
	select {
	case s.events <- message:
		return true
	case <-s.ended:
		return false
	}
}

func (s *session) decode(attempt uint32, version string, event *wire.GenerateEvent) (message stream.Message, terminal bool) {
	switch e := event.GetEvent().(type) {
	case *wire.GenerateEvent_Accepted:
		return stream.Accepted{Attempt: attempt, Epoch: e.Accepted.GetAttachEpoch(), Incarnation: e.Accepted.GetIncarnation()}, false
	case *wire.GenerateEvent_Tokens:
		return stream.Tokens{Attempt: attempt, First: e.Tokens.GetFirstIndex(), IDs: e.Tokens.GetIds(), Bytes: e.Tokens.GetBytes()}, false
	case *wire.GenerateEvent_Progress:
		return stream.Progress{Attempt: attempt}, false
	case *wire.GenerateEvent_Finished:
		return finished(attempt, e.Finished), true
	case *wire.GenerateEvent_Failed:
		return s.failed(attempt, version, e.Failed), true
	}
	return nil, false
}

func finished(attempt uint32, f *wire.Finished) stream.Finished {
	return stream.Finished{Attempt: attempt, Reason: f.GetReason(), Tokens: f.GetTokens(), Checksum: f.GetChecksum()}
}

func (s *session) failed(attempt uint32, version string, f *wire.Failed) stream.Message {
	code := result.Code(f.GetCode())
	s.log.Warn().Uint32("attempt", attempt).Stringer("code", code).Str("reason", f.GetMessage()).
		Bool("target_died", f.GetTargetDied()).Msg("attempt failed")
	if f.GetTargetDied() {
		s.h.options.Router.ReportDeath(f.GetDeathId(), f.GetRunningFingerprints(), version)
	}
	return stream.Failed{Attempt: attempt, Code: code, TargetDied: f.GetTargetDied()}
}

func (s *session) endAttempt(e stream.EndAttempt) {
	attempt := s.attempts[e.Attempt]
	delete(s.attempts, e.Attempt)
	attempt.cancel()
	if attempt.assignment != nil {
		attempt.assignment.Done(e.Outcome)
	}
	s.log.Debug().Uint32("attempt", e.Attempt).Int("tokens", e.Outcome.Tokens).Msg("attempt ended")
	if e.Cancel == stream.CancelNone || attempt.client == nil {
		return
	}
	delay := time.Duration(0)
	if e.Cancel == stream.CancelLater {
		delay = attachGrace
	}
	request := &wire.CancelRequest{Generation: s.spec.GetGeneration(), Attempt: e.Attempt, AttachEpoch: e.Epoch}
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if _, err := attempt.client.Cancel(ctx, request); err != nil {
			s.log.Debug().Err(err).Uint32("attempt", e.Attempt).Msg("cancel not delivered")
		}
	})
}
