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
	// prefillWeight is the cost of prefilling a token relative to generating one.
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
	// preemptedAt is when another agent last preempted the generation, zero if none did.
	preemptedAt time.Time
	// detachCount counts the detached followers. An orphan timer started at a lower count has
	// no effect.
	detachCount uint64
	// dispatched is set while the engine runs the attempt, in targetEpoch.
	dispatched  bool
	targetEpoch uint64

	replicaAddress string
	// replicaListVersion is the version of the agent list from which the replica was chosen.
	replicaListVersion uint64
	ackedIndex         uint64 // next index that the replica needs
	// endAcked is set once the replica acknowledged the end of the log.
	endAcked bool
	gate     replicationGate
}

func (t *attempt) wakeFollowers() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func requestID(generation string, number uint32) string {
	return generation + "/" + strconv.FormatUint(uint64(number), 10)
}

func (t *attempt) id() string { return requestID(t.log.Generation, t.log.Attempt) }

// startAttempt starts an attempt, which runs independently of the caller's stream. preemptedAt is
// when another agent last preempted the generation, zero if none did.
func (a *Agent) startAttempt(now time.Time, request *wire.GenerateRequest, preemptedAt time.Time) (*attempt, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refusal(request); refusal != nil {
		return nil, refusal
	}
	a.endEarlierAttempt(now, request)
	prefix := newTokens(request.GetPrefixTokenIds(), request.GetPrefixBytes())
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
		changed: make(chan struct{}), admitted: make(chan struct{}), preemptedAt: preemptedAt,
	}
	a.attempts[generation] = t
	a.addActivity(1, 1)
	a.addJob(now, t)
	go a.run(ctx, t)
	return t, nil
}

func (a *Agent) attemptContext(s spec) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(a.baseCtx)
	if s.GetDeadlineUnixMs() == 0 {
		return ctx, cancel
	}
	expired := result.New(result.DeadlineExceeded, "the generation's deadline has passed")
	ctx, stop := context.WithDeadlineCause(ctx, time.UnixMilli(s.GetDeadlineUnixMs()), expired)
	context.AfterFunc(ctx, stop)
	return ctx, cancel
}

// refusal returns why a new attempt must not start here, or nil. a.mu must be held.
func (a *Agent) refusal(request *wire.GenerateRequest) *result.Error {
	s := request.GetSpec()
	switch {
	case s.GetGeneration() == "" || request.GetAttempt() == 0:
		return result.New(result.MalformedRequest, "generation and attempt are required")
	case len(request.GetPrefixTokenIds()) != len(request.GetPrefixBytes()):
		return result.New(result.MalformedRequest, "prefix ids and bytes differ in number")
	case a.options.Settings.TargetKind != kindModel || s.GetService() != a.options.Settings.Service:
		return result.New(result.UnknownService, "this agent does not serve %q", s.GetService())
	case a.refusesNewWork():
		return result.New(result.Leaving, "the agent is leaving")
	case !a.target.up:
		return result.New(result.TargetUnreachable, "the engine is not running")
	case !a.target.hasVersion(s.GetVersion()):
		return result.New(result.VersionUnavailable, "version %q is not loaded", s.GetVersion())
	}
	key := versionKey{s.GetService(), s.GetVersion()}
	if a.withdrawn[key] != nil && len(request.GetPrefixTokenIds()) == 0 {
		return result.New(result.VersionUnavailable, "version %q is withdrawn", s.GetVersion())
	}
	return nil
}

// endEarlierAttempt ends a running earlier attempt, unless the request's attach epoch is
// stale. a.mu must be held.
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
		return result.New(result.Overloaded, "the token logs have reached their memory limit")
	}
	return result.New(result.Superseded, "%v", err)
}

// run waits for admission, runs the attempt on the engine and records its end.
func (a *Agent) run(ctx context.Context, t *attempt) {
	defer t.cancel(nil)
	end := a.runWhenAdmitted(ctx, t)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked(time.Now(), t, end)
	a.removeJob(time.Now(), t)
	// The retained log also contains the prefix, so the request can be freed.
	t.request = nil
	a.addActivity(-1, 0)
}

func (a *Agent) runWhenAdmitted(ctx context.Context, t *attempt) tokenlog.End {
	select {
	case <-t.admitted:
	case <-ctx.Done():
		return failedEnd(cancelCause(ctx))
	}
	a.mu.Lock()
	up := a.target.up
	t.queued = false
	t.dispatched = up
	t.targetEpoch = a.target.epoch
	a.mu.Unlock()
	if !up {
		return failedEnd(result.New(result.TargetUnreachable, "the engine is not running"))
	}
	a.chargePrefill(t)
	end, err := a.generate(ctx, t)
	if err == nil {
		return end
	}
	if ctx.Err() != nil {
		go a.cancelOnEngine(t.id())
		return failedEnd(cancelCause(ctx))
	}
	return a.classifyFailure(ctx, t, err)
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
		return tokenlog.End{}, result.New(result.GenerationFailed, "the engine finished at %d tokens, but the log has %d", event.Tokens, t.log.Next())
	}
	return tokenlog.End{Reason: event.FinishReason, Tokens: event.Tokens, Checksum: t.log.Checksum()}, nil
}

func (a *Agent) appendToken(t *attempt, event engineapi.StreamEvent) error {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.store.Append(now, t.log, event.Index, tokenlog.Token{ID: event.ID, Bytes: event.Bytes}); err != nil {
		return result.New(result.GenerationFailed, "append token %d: %v", event.Index, err)
	}
	a.target.markSeen(now)
	a.scheduler.Charge(now, t.id(), 1)
	a.metrics.tokens.Inc()
	t.gate.appended(now, t.log.Next())
	t.wakeFollowers()
	return nil
}

// classifyFailure returns the end of an attempt whose engine request failed. If the engine
// died, confirmDeath has ended the attempt, and the returned end has no effect.
func (a *Agent) classifyFailure(ctx context.Context, t *attempt, cause error) tokenlog.End {
	var status *engineapi.StatusError
	if errors.As(cause, &status) {
		return failedEnd(statusError(status))
	}
	if engineapi.IsDialError(cause) {
		a.mu.Lock()
		// The request did not reach the engine and cannot have caused its death.
		t.dispatched = false
		a.mu.Unlock()
		a.confirmDeath(ctx, t.targetEpoch)
		return failedEnd(result.New(result.TargetUnreachable, "no connection to the engine: %v", cause))
	}
	var coded *result.Error
	if errors.As(cause, &coded) {
		return failedEnd(coded)
	}
	a.confirmDeath(ctx, t.targetEpoch)
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return failedEnd(result.New(result.GenerationFailed, "the engine's stream failed: %v", cause))
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
	ctx, cancel := context.WithTimeout(a.baseCtx, cancelTimeout)
	defer cancel()
	// Closing the stream cancels the generation too, but some engines notice that late.
	_ = a.engine.Cancel(ctx, id)
}

// endLocked ends an attempt; later ends are ignored. a.mu must be held.
func (a *Agent) endLocked(now time.Time, t *attempt, end tokenlog.End) {
	if a.store.Finish(now, t.log, end) != nil {
		return
	}
	t.dispatched = false
	t.queued = false
	t.wakeFollowers()
	t.cancel(nil)
	a.metrics.attempts.WithLabelValues(result.Code(end.Code).String()).Inc()
}

func failedEnd(err *result.Error) tokenlog.End {
	return tokenlog.End{Code: uint32(err.Code), Message: err.Message}
}

func cancelCause(ctx context.Context) *result.Error {
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

func newTokens(ids []uint32, texts [][]byte) []tokenlog.Token {
	tokens := make([]tokenlog.Token, len(ids))
	for i, id := range ids {
		tokens[i] = tokenlog.Token{ID: id, Bytes: texts[i]}
	}
	return tokens
}

// addJob must be called with a.mu held.
func (a *Agent) addJob(now time.Time, t *attempt) {
	a.jobs[t.id()] = t
	if !t.request.GetSuspect() || a.suspects.startOrQueue(now, t) {
		a.schedule(now, t)
	}
}

// schedule must be called with a.mu held.
func (a *Agent) schedule(now time.Time, t *attempt) {
	s := t.request.GetSpec()
	a.applyEffects(a.scheduler.Arrive(now, share.Job{
		ID:          t.id(),
		Generation:  s.GetGeneration(),
		Member:      s.GetMember(),
		Priority:    t.request.GetPriority(),
		Resume:      t.request.GetResume(),
		Started:     time.UnixMilli(s.GetStartedUnixMs()),
		PreemptedAt: t.preemptedAt,
	}))
}

// removeJob must be called with a.mu held.
func (a *Agent) removeJob(now time.Time, t *attempt) {
	delete(a.jobs, t.id())
	a.applyEffects(a.scheduler.Depart(now, t.id()))
	for _, next := range a.suspects.remove(now, t) {
		a.schedule(now, next)
	}
}

func (a *Agent) chargePrefill(t *attempt) {
	s := t.request.GetSpec()
	prompt := engineapi.PromptTokenCount(s.GetPrompt(), s.GetPromptTokenIds()) + len(t.request.GetPrefixTokenIds())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Charge(time.Now(), t.id(), float64(prompt)*prefillWeight)
}

// applyEffects carries out the scheduler's decisions. a.mu must be held.
func (a *Agent) applyEffects(effects share.Effects) {
	for _, id := range effects.Admit {
		if t := a.jobs[id]; t != nil {
			close(t.admitted)
		}
	}
	for _, id := range effects.Preempt {
		if t := a.jobs[id]; t != nil {
			a.metrics.preempted.WithLabelValues(t.request.GetSpec().GetMember()).Inc()
			t.cancel(result.New(result.Preempted, "the attempt was preempted for a member below its share"))
		}
	}
	for _, id := range effects.Shed {
		if t := a.jobs[id]; t != nil {
			t.cancel(result.New(result.Overloaded, "too many attempts are waiting, and the member has the longest queue relative to its share"))
		}
	}
}
