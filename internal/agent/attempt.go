package agent

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/share"
	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// prefillWeight is the cost of one prefill token in generated tokens.
	prefillWeight = 1.0 / 8
	cancelTimeout = time.Second
)

// attempt is one run of a generation on the engine. Agent.mu guards it.
type attempt struct {
	log     *tokenlog.Log[spec]
	request *wire.GenerateRequest
	// startEpoch is the attach epoch of the stream that started the attempt.
	startEpoch uint64
	cancel     context.CancelCauseFunc
	changed    chan struct{} // closed and replaced on each change of the log
	// admitted is closed when the attempt may use the engine.
	admitted  chan struct{}
	queued    bool
	followers int
	// detaches counts the ends of followers, so that a timer of an earlier one has no effect.
	detaches uint64
	// dispatched is set while the engine runs the attempt, in the given life.
	dispatched bool
	life       uint64

	replica string
	// replicaList is the version of the list of agents that replica was chosen from.
	replicaList uint64
	replicated  uint64
	// endReplicated is set when the replica acknowledged the end.
	endReplicated bool
	held          hold
}

func (t *attempt) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func requestID(generation string, number uint32) string {
	return generation + "/" + strconv.FormatUint(uint64(number), 10)
}

func (t *attempt) id() string { return requestID(t.log.Generation, t.log.Attempt) }

// startAttempt begins an attempt that runs independently of the caller's stream.
func (a *Agent) startAttempt(request *wire.GenerateRequest) (*attempt, *result.Error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refusal(request); refusal != nil {
		return nil, refusal
	}
	a.endEarlierAttempt(now, request)
	prefix := tokensOf(request.GetPrefixTokenIds(), request.GetPrefixBytes())
	generation := request.GetSpec().GetGeneration()
	log, err := a.store.Start(now, tokenlog.StartOptions[spec]{
		Generation: generation, Attempt: request.GetAttempt(), Epoch: request.GetAttachEpoch(),
		Spec: request.GetSpec(), SpecBytes: proto.Size(request.GetSpec()), Prefix: prefix,
	})
	if err != nil {
		return nil, startError(err)
	}
	ctx, cancel := a.attemptContext(request.GetSpec())
	t := &attempt{
		log: log, request: request, startEpoch: log.Epoch(), cancel: cancel, queued: true, followers: 1,
		changed: make(chan struct{}), admitted: make(chan struct{}),
	}
	a.attempts[generation] = t
	a.count(1, 1)
	a.arrive(now, t)
	go a.run(ctx, t)
	return t, nil
}

func (a *Agent) attemptContext(s spec) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(a.life)
	if s.GetDeadlineUnixMs() == 0 {
		return ctx, cancel
	}
	expired := result.New(result.DeadlineExceeded, "the deadline passed")
	ctx, stop := context.WithDeadlineCause(ctx, time.UnixMilli(s.GetDeadlineUnixMs()), expired)
	context.AfterFunc(ctx, stop)
	return ctx, cancel
}

// refusal requires a.mu. It returns why a new attempt must not start here.
func (a *Agent) refusal(request *wire.GenerateRequest) *result.Error {
	s := request.GetSpec()
	switch {
	case s.GetGeneration() == "" || request.GetAttempt() == 0:
		return result.New(result.MalformedRequest, "generation and attempt are required")
	case len(request.GetPrefixTokenIds()) != len(request.GetPrefixBytes()):
		return result.New(result.MalformedRequest, "prefix ids and bytes differ in number")
	case a.options.Settings.TargetKind != kindModel || s.GetService() != a.options.Settings.Service:
		return result.New(result.UnknownService, "this agent does not serve %q", s.GetService())
	case a.refusesWork():
		return result.New(result.Leaving, "the agent is leaving")
	case !a.target.up:
		return result.New(result.TargetUnreachable, "the engine does not run")
	case !a.target.hasVersion(s.GetVersion()):
		return result.New(result.VersionUnavailable, "version %q is not loaded", s.GetVersion())
	}
	key := versionKey{s.GetService(), s.GetVersion()}
	if a.withdrawn[key] != nil && len(request.GetPrefixTokenIds()) == 0 {
		return result.New(result.VersionUnavailable, "version %q is withdrawn", s.GetVersion())
	}
	return nil
}

// endEarlierAttempt requires a.mu. A later attempt with a current epoch replaces one that runs.
func (a *Agent) endEarlierAttempt(now time.Time, request *wire.GenerateRequest) {
	earlier := a.attempts[request.GetSpec().GetGeneration()]
	if earlier == nil || earlier.log.End() != nil || request.GetAttempt() <= earlier.log.Attempt {
		return
	}
	if epoch := request.GetAttachEpoch(); epoch != 0 && epoch < earlier.log.Epoch() {
		return
	}
	replaced := result.New(result.Superseded, "a later attempt replaced this one")
	a.endLocked(now, earlier, failedEnd(replaced))
}

func startError(err error) *result.Error {
	if errors.Is(err, tokenlog.ErrFull) {
		return result.New(result.Overloaded, "the token logs fill their memory")
	}
	return result.New(result.Superseded, "%v", err)
}

// run waits for admission, runs the attempt on the engine and records its end.
func (a *Agent) run(ctx context.Context, t *attempt) {
	defer t.cancel(nil)
	end := a.runAdmitted(ctx, t)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked(time.Now(), t, end)
	a.depart(time.Now(), t)
	// The log outlives the attempt by its retention and holds the prefix too.
	t.request = nil
	a.count(-1, 0)
}

func (a *Agent) runAdmitted(ctx context.Context, t *attempt) tokenlog.End {
	select {
	case <-t.admitted:
	case <-ctx.Done():
		return failedEnd(causeOf(ctx))
	}
	a.mu.Lock()
	up := a.target.up
	t.queued = false
	t.dispatched = up
	t.life = a.target.life
	a.mu.Unlock()
	if !up {
		return failedEnd(result.New(result.TargetUnreachable, "the engine does not run"))
	}
	a.chargePrefill(t)
	end, err := a.generate(ctx, t)
	if err == nil {
		return end
	}
	if ctx.Err() != nil {
		go a.cancelOnEngine(t.id())
		return failedEnd(causeOf(ctx))
	}
	return a.explain(ctx, t, err)
}

// generate copies the engine's stream into the log.
func (a *Agent) generate(ctx context.Context, t *attempt) (tokenlog.End, error) {
	stream, err := a.engine.Generate(ctx, engineRequest(t))
	if err != nil {
		return tokenlog.End{}, err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return tokenlog.End{}, err
		}
		if event.FinishReason != "" {
			return a.finishedEnd(t, event)
		}
		if err := a.appendToken(t, event); err != nil {
			return tokenlog.End{}, err
		}
	}
}

func (a *Agent) finishedEnd(t *attempt, event engineapi.StreamEvent) (tokenlog.End, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if event.Tokens != t.log.Next() {
		return tokenlog.End{}, result.New(result.GenerationFailed, "engine ended at %d tokens, the log has %d", event.Tokens, t.log.Next())
	}
	return tokenlog.End{Reason: event.FinishReason, Tokens: event.Tokens, Checksum: t.log.Checksum()}, nil
}

func (a *Agent) appendToken(t *attempt, event engineapi.StreamEvent) error {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.store.Append(now, t.log, event.Index, tokenlog.Token{ID: event.ID, Bytes: event.Bytes}); err != nil {
		return result.New(result.GenerationFailed, "token %d: %v", event.Index, err)
	}
	a.target.seen(now)
	a.shares.Charge(now, t.id(), 1)
	a.metrics.tokens.Inc()
	t.held.appended(now, t.log.Next())
	t.wake()
	return nil
}

// explain finds out whether a broken stream means that the engine died.
func (a *Agent) explain(ctx context.Context, t *attempt, cause error) tokenlog.End {
	var status *engineapi.StatusError
	if errors.As(cause, &status) {
		return failedEnd(statusError(status))
	}
	if engineapi.IsDialError(cause) {
		a.mu.Lock()
		// The request cannot have contributed to the death.
		t.dispatched = false
		a.mu.Unlock()
		a.confirmDeath(ctx, t.life)
		return failedEnd(result.New(result.TargetUnreachable, "no connection to the engine: %v", cause))
	}
	var coded *result.Error
	if errors.As(cause, &coded) {
		return failedEnd(coded)
	}
	a.confirmDeath(ctx, t.life)
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return failedEnd(result.New(result.GenerationFailed, "the engine broke the stream: %v", cause))
}

func statusError(status *engineapi.StatusError) *result.Error {
	switch status.StatusCode {
	case 404:
		return result.New(result.VersionUnavailable, "%v", status)
	case 429, 503:
		return result.New(result.Overloaded, "%v", status)
	}
	return result.New(result.GenerationFailed, "%v", status)
}

func (a *Agent) cancelOnEngine(id string) {
	ctx, cancel := context.WithTimeout(a.life, cancelTimeout)
	defer cancel()
	// Closing the stream ends the generation too; this reaches engines that notice that late.
	_ = a.engine.Cancel(ctx, id)
}

// endLocked requires a.mu. The first end of an attempt stands.
func (a *Agent) endLocked(now time.Time, t *attempt, end tokenlog.End) {
	if a.store.Finish(now, t.log, end) != nil {
		return
	}
	t.dispatched = false
	t.queued = false
	t.wake()
	t.cancel(nil)
	a.metrics.attempts.WithLabelValues(result.Code(end.Code).String()).Inc()
}

func failedEnd(err *result.Error) tokenlog.End {
	return tokenlog.End{Code: uint32(err.Code), Message: err.Message}
}

func causeOf(ctx context.Context) *result.Error {
	var coded *result.Error
	if errors.As(context.Cause(ctx), &coded) {
		return coded
	}
	return result.New(result.Cancelled, "the attempt was cancelled")
}

func engineRequest(t *attempt) engineapi.GenerateRequest {
	s := t.request.GetSpec()
	return engineapi.GenerateRequest{
		RequestID:      t.id(),
		Model:          s.GetModel(),
		Version:        s.GetVersion(),
		Adapter:        s.GetAdapter(),
		Prompt:         s.GetPrompt(),
		PromptTokenIDs: s.GetPromptTokenIds(),
		PrefixTokenIDs: t.request.GetPrefixTokenIds(),
		MaxTokens:      s.GetSampling().GetMaxTokens(),
		Temperature:    s.GetSampling().GetTemperature(),
		TopP:           s.GetSampling().GetTopP(),
		Seed:           s.GetSampling().GetSeed(),
		Stop:           s.GetSampling().GetStop(),
		Priority:       t.request.GetPriority(),
	}
}

func tokensOf(ids []uint32, texts [][]byte) []tokenlog.Token {
	tokens := make([]tokenlog.Token, len(ids))
	for i, id := range ids {
		tokens[i] = tokenlog.Token{ID: id, Bytes: texts[i]}
	}
	return tokens
}

// arrive requires a.mu.
func (a *Agent) arrive(now time.Time, t *attempt) {
	a.jobs[t.id()] = t
	if !t.request.GetSuspect() || a.suspects.enter(now, t) {
		a.schedule(now, t)
	}
}

// schedule requires a.mu.
func (a *Agent) schedule(now time.Time, t *attempt) {
	s := t.request.GetSpec()
	a.apply(a.shares.Arrive(now, share.Job{
		ID:         t.id(),
		Generation: s.GetGeneration(),
		Member:     s.GetMember(),
		Priority:   t.request.GetPriority(),
		Resume:     t.request.GetResume(),
		Started:    time.UnixMilli(s.GetStartedUnixMs()),
	}))
}

// depart requires a.mu.
func (a *Agent) depart(now time.Time, t *attempt) {
	delete(a.jobs, t.id())
	a.apply(a.shares.Depart(now, t.id()))
	for _, next := range a.suspects.leave(now, t) {
		a.schedule(now, next)
	}
}

func (a *Agent) chargePrefill(t *attempt) {
	s := t.request.GetSpec()
	prompt := engineapi.PromptTokenCount(s.GetPrompt(), s.GetPromptTokenIds()) + len(t.request.GetPrefixTokenIds())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares.Charge(time.Now(), t.id(), float64(prompt)*prefillWeight)
}

// apply requires a.mu. It carries out the scheduler's decisions.
func (a *Agent) apply(effects share.Effects) {
	for _, id := range effects.Admit {
		if t := a.jobs[id]; t != nil {
			close(t.admitted)
		}
	}
	for _, id := range effects.Preempt {
		if t := a.jobs[id]; t != nil {
			a.metrics.preempted.WithLabelValues(t.request.GetSpec().GetMember()).Inc()
			t.cancel(result.New(result.Preempted, "a member below its share waits"))
		}
	}
	for _, id := range effects.Shed {
		if t := a.jobs[id]; t != nil {
			t.cancel(result.New(result.Overloaded, "too many attempts wait and the member is the most over its share"))
		}
	}
}
