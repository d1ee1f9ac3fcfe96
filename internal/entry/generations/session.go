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
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	// eventQueueSize is the number of queued attempt events beyond which readers block. The
	// caller's output buffer is larger and holds most of the pending events.
	eventQueueSize = 8
	// cancelTimeout bounds one Cancel call.
	cancelTimeout = 2 * time.Second
	// attachGrace is how long an attempt without a caller stays attachable before it is
	// cancelled. The Cancel call carries this entry's attach epoch, so that the agent
	// rejects it if another entry has attached in the meantime.
	attachGrace = 10 * time.Second
	// progressInterval is the time between progress reports to the router.
	progressInterval = time.Second
)

// placementResult is the router's reply to a RequestTarget.
type placementResult struct {
	request    uint32
	assignment *router.Assignment
	err        error
}

type runningAttempt struct {
	assignment *router.Assignment // nil if the entry attached to the attempt
	client     wire.AgentClient
	cancel     context.CancelFunc
}

// attachedStream is an open Attach stream whose first event was read.
type attachedStream struct {
	attempt uint32
	events  wire.Agent_AttachClient
	runningAttempt
}

// session serves one request. The goroutine of serve owns the state machine; other
// goroutines send it messages.
type session struct {
	h        *Handler
	log      zerolog.Logger
	request  *http.Request
	spec     *wire.GenerationSpec
	streamed bool
	machine  *stream.Machine
	output   *output

	events           chan stream.Message // from attempts; not read while the caller's buffer is full
	placements       chan placementResult
	outputMessages   chan stream.Message // from the goroutine of output.run
	ended            chan struct{}
	targets          map[uint32]*router.Assignment // by request
	attempts         map[uint32]*runningAttempt    // by attempt
	placementCancels map[uint32]context.CancelFunc // by request
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
		events:           make(chan stream.Message, eventQueueSize),
		placements:       make(chan placementResult),
		outputMessages:   make(chan stream.Message, outputQueueSize),
		ended:            make(chan struct{}),
		targets:          make(map[uint32]*router.Assignment),
		attempts:         make(map[uint32]*runningAttempt),
		placementCancels: make(map[uint32]context.CancelFunc),
	}
}

func unixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// serve processes the request until it ends. live is the stream of a running attempt that
// the entry attached to, or nil.
func (s *session) serve(message stream.Message, live *attachedStream) {
	outputDone := make(chan struct{})
	go func() {
		defer close(outputDone)
		s.output.run(
			func() { s.sendOutputMessage(stream.Consumed{Events: 1}) },
			func() { s.sendOutputMessage(stream.CallerDisconnected{Resumable: s.output.resumable.Load()}) },
		)
	}()
	if live != nil {
		s.attempts[live.attempt] = &live.runningAttempt
		go s.readEvents(live.attempt, s.spec.GetVersion(), live.events)
	}
	finish := s.loop(message)
	close(s.ended)
	close(s.output.queue)
	if finish.Code == result.SlowCaller || finish.Code == result.Cancelled {
		s.output.abort()
	}
	<-outputDone
	s.log.Info().Stringer("code", finish.Code).Uint64("tokens", finish.Tokens).Msg("generation request ended")
}

func (s *session) loop(message stream.Message) stream.Finish {
	ticker := time.NewTicker(stream.TickInterval)
	defer ticker.Stop()
	finish, done := s.step(message)
	reportedAt := time.Now()
	for !done {
		events := s.events
		if s.machine.Blocked() {
			events = nil
		}
		select {
		case message := <-events:
			finish, done = s.step(message)
		case placed := <-s.placements:
			finish, done = s.step(s.onPlacement(placed))
		case message := <-s.outputMessages:
			finish, done = s.step(message)
		case <-s.request.Context().Done():
			finish, done = s.step(stream.CallerDisconnected{Resumable: s.output.resumable.Load()})
		case <-ticker.C:
			finish, done = s.tick()
		}
		if len(s.attempts) > 0 && time.Since(reportedAt) >= progressInterval {
			reportedAt = time.Now()
			s.h.options.Router.ReportProgress(s.spec.GetFingerprint(), false)
		}
	}
	return finish
}

// tick handles all queued events before the state machine checks for inactivity.
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
		if finished, ok := effect.(stream.Finish); ok {
			finish, done = finished, true
			s.onFinish(finished)
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
		s.placementCancels[e.Request]()
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
		s.log.Warn().Dur("late", e.Delay).Msg("session tick was late; inactivity timers restarted")
	case stream.Count:
		s.h.metrics.count(e)
	case stream.Resumed:
		s.h.metrics.resumes.WithLabelValues(e.Reason).Inc()
		s.h.metrics.resumeLatency.Observe(e.Latency.Seconds())
		s.log.Info().Str("reason", e.Reason).Dur("latency", e.Latency).Msg("generation resumed")
	}
}

func (s *session) onFinish(finish stream.Finish) {
	if finish.Code == result.OK {
		s.h.options.Router.ReportProgress(s.spec.GetFingerprint(), true)
	}
	s.output.queue <- finish
}

func (s *session) sendOutputMessage(message stream.Message) {
	select {
	case s.outputMessages <- message:
	case <-s.ended:
	}
}

func (s *session) requestTarget(e stream.RequestTarget) {
	ctx, cancel := context.WithTimeout(s.request.Context(), e.Wait)
	s.placementCancels[e.Request] = cancel
	request := placement.Request{
		Service:     s.spec.GetService(),
		Version:     e.Version,
		Route:       s.spec.GetRoute(),
		Account:     s.spec.GetAccount(),
		Member:      s.spec.GetMember(),
		Blocks:      s.promptBlocks(e.Version),
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
		case s.placements <- placementResult{request: e.Request, assignment: assignment, err: err}:
		case <-s.ended:
			if assignment != nil {
				assignment.Done(placement.Outcome{Cancelled: true})
			}
		}
	}()
}

// promptBlocks returns the block hashes of the prompt for a version, or for the version
// with the largest share if version is empty.
func (s *session) promptBlocks(version string) []uint64 {
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

func (s *session) onPlacement(placed placementResult) stream.Message {
	delete(s.placementCancels, placed.request)
	if placed.err != nil {
		code := caller.AsError(placed.err).Code
		if errors.Is(placed.err, context.DeadlineExceeded) || errors.Is(placed.err, context.Canceled) {
			code = result.NoTarget
		}
		s.log.Debug().Err(placed.err).Stringer("code", code).Msg("placement failed")
		return stream.PlacementFailed{Request: placed.request, Code: code}
	}
	s.targets[placed.request] = placed.assignment
	return stream.Assigned{
		Request:     placed.request,
		Target:      placed.assignment.Target.Name,
		Address:     placed.assignment.Target.Address,
		Incarnation: placed.assignment.Target.Incarnation,
		Version:     placed.assignment.Version,
		Adapter:     s.adapter(placed.assignment.Version),
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
	attempt := &runningAttempt{assignment: assignment, cancel: cancel}
	s.attempts[e.Attempt] = attempt
	s.log.Info().Uint32("attempt", e.Attempt).Str("target", assignment.Target.Name).
		Str("version", e.Version).Int("prefix_tokens", len(e.PrefixIDs)).Msg("attempt started")
	client, err := s.h.options.Agent(assignment.Target.Address)
	if err != nil {
		s.log.Warn().Err(err).Uint32("attempt", e.Attempt).Msg("cannot create a client for the agent; attempt failed")
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
	if !e.PreemptedAt.IsZero() {
		ctx = rpc.WithPreemptionAge(ctx, time.Since(e.PreemptedAt))
	}
	go func() {
		events, err := client.Generate(ctx, request)
		if err != nil {
			s.log.Warn().Err(err).Uint32("attempt", e.Attempt).Msg("cannot start the attempt at the agent")
			s.sendEvent(stream.StreamBroken{Attempt: e.Attempt})
			return
		}
		s.readEvents(e.Attempt, e.Version, events)
	}()
}

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

// readEvents sends the events of one attempt to the session until the stream ends.
func (s *session) readEvents(attempt uint32, version string, events wire.Agent_GenerateClient) {
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

// sendEvent returns false if the session has ended.
func (s *session) sendEvent(message stream.Message) bool {
	select {
	case s.events <- message:
		return true
	case <-s.ended:
		return false
	}
}

func (s *session) decode(attempt uint32, version string, streamEvent *wire.GenerateEvent) (message stream.Message, terminal bool) {
	switch e := streamEvent.GetEvent().(type) {
	case *wire.GenerateEvent_Accepted:
		return stream.Accepted{Attempt: attempt, Epoch: e.Accepted.GetAttachEpoch(), Incarnation: e.Accepted.GetIncarnation()}, false
	case *wire.GenerateEvent_Tokens:
		return stream.Tokens{Attempt: attempt, First: e.Tokens.GetFirstIndex(), IDs: e.Tokens.GetIds(), Bytes: e.Tokens.GetBytes()}, false
	case *wire.GenerateEvent_Progress:
		return stream.Progress{Attempt: attempt}, false
	case *wire.GenerateEvent_Finished:
		return finishedMessage(attempt, e.Finished), true
	case *wire.GenerateEvent_Failed:
		return s.handleFailed(attempt, version, e.Failed), true
	}
	return nil, false
}

func finishedMessage(attempt uint32, event *wire.Finished) stream.Finished {
	return stream.Finished{Attempt: attempt, Reason: event.GetReason(), Tokens: event.GetTokens(), Checksum: event.GetChecksum()}
}

// handleFailed reports a crash of the target to the router and returns the message for the
// state machine.
func (s *session) handleFailed(attempt uint32, version string, event *wire.Failed) stream.Message {
	code := result.Code(event.GetCode())
	s.log.Warn().Uint32("attempt", attempt).Stringer("code", code).Str("reason", event.GetMessage()).
		Bool("target_died", event.GetTargetDied()).Msg("attempt failed")
	if event.GetTargetDied() {
		s.h.options.Router.ReportDeath(event.GetDeathId(), event.GetRunningFingerprints(), version)
	}
	return stream.Failed{Attempt: attempt, Code: code, TargetDied: event.GetTargetDied()}
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
			s.log.Debug().Err(err).Uint32("attempt", e.Attempt).Msg("cannot cancel the attempt at the agent")
		}
	})
}
