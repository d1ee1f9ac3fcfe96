package agent

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

// maxTokensPerEvent bounds one Tokens message, so that attaching to a long log does not
// exceed the message limit.
const maxTokensPerEvent = 1024

type eventStream = grpc.ServerStreamingServer[wire.GenerateEvent]

// Generate implements wire.AgentServer. A refusal is sent as a Failed event, since a gRPC
// status carries no result code.
func (a *Agent) Generate(request *wire.GenerateRequest, stream eventStream) error {
	now := time.Now()
	preemptedAt := time.Time{}
	if age, ok := rpc.PreemptionAge(stream.Context()); ok {
		preemptedAt = now.Add(-age)
	}
	t, refusal := a.startAttempt(now, request, preemptedAt)
	if refusal != nil {
		a.metrics.refused.WithLabelValues(refusal.Code.String()).Inc()
		return stream.Send(failedEvent(failedEnd(refusal)))
	}
	// An Attach may have increased the log's epoch since the attempt started.
	epoch := t.startEpoch
	accepted := &wire.Accepted{Attempt: t.log.Attempt, AttachEpoch: epoch, Incarnation: a.incarnation}
	return a.follow(stream, t, epoch, uint64(len(request.GetPrefixTokenIds())), accepted)
}

// Attach implements wire.AgentServer.
func (a *Agent) Attach(request *wire.AttachRequest, stream eventStream) error {
	t, accepted, refusal := a.attach(request)
	if refusal != nil {
		a.metrics.refused.WithLabelValues(refusal.Code.String()).Inc()
		return stream.Send(failedEvent(failedEnd(refusal)))
	}
	a.logger.Info().Str("generation", request.GetGeneration()).Str("entry", request.GetEntry()).
		Uint64("epoch", accepted.GetAttachEpoch()).Uint64("from", request.GetFromIndex()).Msg("attached")
	return a.follow(stream, t, accepted.GetAttachEpoch(), request.GetFromIndex(), accepted)
}

func (a *Agent) attach(request *wire.AttachRequest) (*attempt, *wire.Accepted, *result.Error) {
	if request.GetIncarnation() != 0 && request.GetIncarnation() != a.incarnation {
		return nil, nil, result.New(result.ResumeLost, "the agent has restarted since the attempt started")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	log, epoch, err := a.store.Attach(request.GetGeneration(), request.GetFromIndex())
	t := a.attempts[request.GetGeneration()]
	if err != nil || t == nil || t.log != log {
		return nil, nil, result.New(result.ResumeLost, "the agent has no log that reaches token index %d", request.GetFromIndex())
	}
	t.followers++
	a.addActivity(0, 1)
	t.wakeFollowers()
	ids, texts := splitTokens(log.Read(0)[:request.GetFromIndex()])
	return t, &wire.Accepted{
		Attempt: log.Attempt, AttachEpoch: epoch, Incarnation: a.incarnation,
		Spec: log.Spec, PrefixTokenIds: ids, PrefixBytes: texts,
	}, nil
}

// follow sends the log from index next until the log or the stream ends, or an Attach
// increases the epoch.
func (a *Agent) follow(stream eventStream, t *attempt, epoch, next uint64, accepted *wire.Accepted) error {
	defer a.detach(t)
	if err := stream.Send(&wire.GenerateEvent{Event: &wire.GenerateEvent_Accepted{Accepted: accepted}}); err != nil {
		return err
	}
	progressTimer := time.NewTimer(a.timing.ProgressInterval)
	defer progressTimer.Stop()
	holdTimer := time.NewTimer(maxHoldTime)
	defer holdTimer.Stop()
	for {
		event, last, changed, held := a.nextEvent(t, epoch, next)
		if event != nil {
			if err := stream.Send(event); err != nil || last {
				return err
			}
			next += uint64(len(event.GetTokens().GetIds()))
			progressTimer.Reset(a.timing.ProgressInterval)
			continue
		}
		if held > 0 {
			holdTimer.Reset(held)
		}
		select {
		case <-changed:
		case <-holdTimer.C:
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-progressTimer.C:
			if progress := a.progressEvent(time.Now(), t, next); progress != nil {
				if err := stream.Send(progress); err != nil {
					return err
				}
			}
			progressTimer.Reset(a.timing.ProgressInterval)
		}
	}
}

// nextEvent returns the next event for a follower, or a channel that is closed when there
// may be one. held is the remaining time for which unreplicated tokens may be held back.
func (a *Agent) nextEvent(t *attempt, epoch, next uint64) (event *wire.GenerateEvent, last bool, changed <-chan struct{}, held time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.log.Epoch() != epoch {
		return failedEvent(failedEnd(result.New(result.Superseded, "another entry attached to the generation"))), true, nil, 0
	}
	end := t.log.End()
	limit := t.log.Next()
	if end == nil || end.Code == 0 {
		limit, held = t.gate.limit(time.Now(), limit)
	}
	tokens := t.log.Read(next)
	tokens = tokens[:min(uint64(len(tokens)), max(limit, next)-next, maxTokensPerEvent)]
	switch {
	case len(tokens) > 0:
		return tokensEvent(next, tokens), false, nil, 0
	case held > 0 || end == nil:
		return nil, false, t.changed, held
	}
	return endEvent(*end), true, nil, 0
}

// progressEvent returns the keep-alive event for a follower. It returns nil while the engine
// does not respond, so that the entry's inactivity timeout can expire.
func (a *Agent) progressEvent(now time.Time, t *attempt, next uint64) *wire.GenerateEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.target.responsive(now, a.timing.FrozenAfter) {
		return nil
	}
	return &wire.GenerateEvent{Event: &wire.GenerateEvent_Progress{
		Progress: &wire.Progress{NextIndex: next, Queued: t.queued},
	}}
}

// detach removes a follower. An attempt without followers is cancelled after OrphanGrace.
func (a *Agent) detach(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.followers--
	a.addActivity(0, -1)
	t.detachCount++
	if t.followers > 0 || t.log.End() != nil {
		return
	}
	detachCount := t.detachCount
	time.AfterFunc(a.timing.OrphanGrace, func() { a.cancelOrphan(t, detachCount) })
}

func (a *Agent) cancelOrphan(t *attempt, detachCount uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.followers > 0 || t.detachCount != detachCount || t.log.End() != nil {
		return
	}
	a.metrics.orphans.Inc()
	a.endLocked(time.Now(), t, failedEnd(result.New(result.Cancelled, "the attempt had no follower within the grace period")))
}

// Cancel implements wire.AgentServer.
func (a *Agent) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.attempts[request.GetGeneration()]
	if t == nil || t.log.End() != nil || t.log.Attempt != request.GetAttempt() || request.GetAttachEpoch() < t.log.Epoch() {
		return &wire.CancelResponse{}, nil
	}
	a.endLocked(time.Now(), t, failedEnd(result.New(result.Cancelled, "an entry cancelled the attempt")))
	return &wire.CancelResponse{Cancelled: true}, nil
}

func splitTokens(tokens []tokenlog.Token) (ids []uint32, texts [][]byte) {
	ids = make([]uint32, len(tokens))
	texts = make([][]byte, len(tokens))
	for i, token := range tokens {
		ids[i], texts[i] = token.ID, token.Bytes
	}
	return ids, texts
}

func tokensMessage(first uint64, tokens []tokenlog.Token) *wire.Tokens {
	ids, texts := splitTokens(tokens)
	return &wire.Tokens{FirstIndex: first, Ids: ids, Bytes: texts}
}

func tokensEvent(first uint64, tokens []tokenlog.Token) *wire.GenerateEvent {
	return &wire.GenerateEvent{Event: &wire.GenerateEvent_Tokens{Tokens: tokensMessage(first, tokens)}}
}

func endEvent(end tokenlog.End) *wire.GenerateEvent {
	if end.Code != 0 {
		return failedEvent(end)
	}
	return &wire.GenerateEvent{Event: &wire.GenerateEvent_Finished{Finished: finishedMessage(end)}}
}

func finishedMessage(end tokenlog.End) *wire.Finished {
	return &wire.Finished{Reason: end.Reason, Tokens: end.Tokens, Checksum: end.Checksum}
}

func failedEvent(end tokenlog.End) *wire.GenerateEvent {
	return &wire.GenerateEvent{Event: &wire.GenerateEvent_Failed{Failed: &wire.Failed{
		Code: end.Code, Message: end.Message, TargetDied: end.TargetDied,
		RunningFingerprints: end.Fingerprints, DeathId: end.DeathID,
	}}}
}

func noHandlerResponse() *wire.CallResponse {
	return &wire.CallResponse{Code: uint32(result.UnknownService), Message: "this agent does not serve calls"}
}
