package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/stream"
	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// batchTimeout bounds the transfer of one batch including its acknowledgements.
	batchTimeout = time.Second
	// batchBackoff is the pause after a failed batch.
	batchBackoff = 500 * time.Millisecond
	// idleReplicationInterval is the interval while no log is replicated. It is the longest
	// delay of a generation's first record beyond ReplicationDelay.
	idleReplicationInterval = 100 * time.Millisecond
)

// replicaLink is the stream of log records to one other agent. Agent.mu guards it, except
// stream, which is used only by the goroutine that set inFlight.
type replicaLink struct {
	address    string
	inFlight   bool
	retryAfter time.Time
	stream     grpc.BidiStreamingClient[wire.LogRecord, wire.LogAck]
	cancel     context.CancelFunc
}

type pendingRecord struct {
	attempt *attempt
	record  *wire.LogRecord
}

// replicateLogs sends new log records to the replicas.
func (a *Agent) replicateLogs(ctx context.Context) {
	defer a.closeLinks()
	timer := time.NewTimer(a.timing.ReplicationInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			batches, replicating := a.dueBatches(now, a.timing.ReplicationDelay)
			for link, batch := range batches {
				go a.sendBatch(link, batch)
			}
			timer.Reset(a.replicationPause(replicating))
		}
	}
}

// replicationPause returns the time until the next batches. It is longer while no log is
// replicated, since 100 wake-ups per second are a large part of an idle agent's CPU time.
func (a *Agent) replicationPause(replicating bool) time.Duration {
	if replicating {
		return a.timing.ReplicationInterval
	}
	return max(idleReplicationInterval, a.timing.ReplicationInterval)
}

func (a *Agent) closeLinks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, link := range a.links {
		if link.cancel != nil {
			link.cancel()
		}
	}
}

// dueBatches collects the records due for each replica and marks their links in flight.
// replicating reports whether a log that is still growing has a replica or a record is due.
func (a *Agent) dueBatches(now time.Time, minimumAge time.Duration) (batches map[*replicaLink][]pendingRecord, replicating bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var candidates []stream.Agent
	batches = make(map[*replicaLink][]pendingRecord)
	for generation, t := range a.attempts {
		if now.Sub(generationStart(t)) < minimumAge || a.store.Local(generation) != t.log {
			continue
		}
		if t.replicaListVersion != a.agentLists.current {
			if candidates == nil {
				candidates = a.replicaCandidates()
			}
			a.chooseReplica(t, candidates)
		}
		if t.replicaAddress == "" {
			continue
		}
		replicating = replicating || t.log.End() == nil
		link := a.link(t.replicaAddress)
		if link.inFlight || now.Before(link.retryAfter) {
			continue
		}
		if record := nextRecord(t); record != nil {
			batches[link] = append(batches[link], pendingRecord{attempt: t, record: record})
			replicating = true
		}
	}
	for link := range batches {
		link.inFlight = true
	}
	return batches, replicating
}

// chooseReplica selects the replica of a log; a new one gets the whole log. a.mu must be held.
func (a *Agent) chooseReplica(t *attempt, candidates []stream.Agent) {
	t.replicaListVersion = a.agentLists.current
	// Without a candidate the address is empty, and the log is not replicated.
	replica, _ := stream.ReplicaFor(t.log.Generation, a.options.Settings.Zone, candidates)
	if replica.Address != t.replicaAddress {
		t.replicaAddress, t.ackedIndex, t.endAcked = replica.Address, 0, false
		t.gate.release()
	}
}

// generationStart returns when the generation started on its first agent, so that a resumed
// generation is replicated at once.
func generationStart(t *attempt) time.Time {
	if ms := t.log.Spec.GetStartedUnixMs(); ms > 0 {
		return time.UnixMilli(ms)
	}
	return t.log.Started
}

// replicaCandidates must be called with a.mu held.
func (a *Agent) replicaCandidates() []stream.Agent {
	agents := a.agentLists.agents()
	candidates := make([]stream.Agent, 0, len(agents))
	for _, agent := range agents {
		if agent.GetAddress() != a.address {
			candidates = append(candidates, stream.Agent{Address: agent.GetAddress(), Zone: agent.GetZone()})
		}
	}
	return candidates
}

// link must be called with a.mu held.
func (a *Agent) link(address string) *replicaLink {
	link := a.links[address]
	if link == nil {
		link = &replicaLink{address: address}
		a.links[address] = link
	}
	return link
}

// nextRecord returns the next record for the replica, or nil if none is due. a.mu must be
// held.
func nextRecord(t *attempt) *wire.LogRecord {
	tokens := t.log.Read(t.ackedIndex)
	end := t.log.End()
	if end != nil && end.Code != 0 && end.Code != uint32(result.TargetDied) && end.Code != uint32(result.GenerationFailed) {
		// The attempt was cancelled or refused; the replica needs no more records.
		return nil
	}
	finished := end != nil && end.Code == 0 && !t.endAcked
	if len(tokens) == 0 && !finished {
		return nil
	}
	record := &wire.LogRecord{Generation: t.log.Generation, Attempt: t.log.Attempt, AttachEpoch: t.log.Epoch()}
	if t.ackedIndex == 0 {
		record.Spec = t.log.Spec
	}
	if len(tokens) > maxTokensPerEvent {
		tokens, finished = tokens[:maxTokensPerEvent], false
	}
	record.Tokens = tokensMessage(t.ackedIndex, tokens)
	if finished {
		record.Finished = finishedMessage(*end)
	}
	return record
}

// sendBatch sends the records and waits for their acknowledgements.
func (a *Agent) sendBatch(link *replicaLink, batch []pendingRecord) {
	acks, err := a.exchangeBatch(link, batch)
	a.mu.Lock()
	defer a.mu.Unlock()
	link.inFlight = false
	for i, ack := range acks {
		handleAck(time.Now(), link.address, batch[i], ack)
	}
	a.metrics.replicated.Add(float64(len(acks)))
	if err == nil {
		return
	}
	for _, t := range a.attempts {
		if t.replicaAddress == link.address {
			t.gate.release()
			t.wakeFollowers()
		}
	}
	a.metrics.replicaFailures.Inc()
	link.cancel()
	link.stream, link.cancel = nil, nil
	link.retryAfter = time.Now().Add(batchBackoff)
	a.logger.Debug().Err(err).Str("replica", link.address).Msg("replication to agent failed; retrying after back-off")
}

func handleAck(now time.Time, address string, sent pendingRecord, ack *wire.LogAck) {
	t := sent.attempt
	if t.replicaAddress != address {
		return
	}
	t.ackedIndex = ack.GetNextIndex()
	end := sent.record.GetTokens().GetFirstIndex() + uint64(len(sent.record.GetTokens().GetIds()))
	t.endAcked = sent.record.GetFinished() != nil && ack.GetNextIndex() >= end
	if ack.GetNextIndex() >= end {
		t.gate.acknowledged(now, end, t.log.Next())
		t.wakeFollowers()
	}
}

func (a *Agent) exchangeBatch(link *replicaLink, batch []pendingRecord) ([]*wire.LogAck, error) {
	if link.stream == nil {
		if err := a.openLink(link); err != nil {
			return nil, err
		}
	}
	cancel := link.cancel
	timeout := time.AfterFunc(batchTimeout, cancel)
	defer timeout.Stop()
	for _, pending := range batch {
		if err := link.stream.Send(pending.record); err != nil {
			return nil, err
		}
	}
	var acks []*wire.LogAck
	for range batch {
		ack, err := link.stream.Recv()
		if err != nil {
			return acks, err
		}
		acks = append(acks, ack)
	}
	return acks, nil
}

func (a *Agent) openLink(link *replicaLink) error {
	ctx, cancel := context.WithCancel(a.baseCtx)
	a.mu.Lock()
	link.cancel = cancel
	a.mu.Unlock()
	conn, err := a.pool.Conn(link.address)
	if err != nil {
		return err
	}
	// The timeout also covers the connection setup.
	timeout := time.AfterFunc(batchTimeout, cancel)
	defer timeout.Stop()
	link.stream, err = wire.NewAgentClient(conn).Replicate(ctx)
	return err
}

// flushReplicas replicates all finished logs before the agent exits, so that callers that
// lost their connection can still read the rest.
func (a *Agent) flushReplicas() {
	deadline := time.Now().Add(a.timing.FlushTimeout)
	for time.Now().Before(deadline) {
		batches, _ := a.dueBatches(time.Now(), 0)
		if len(batches) == 0 && !a.anyBatchInFlight() {
			return
		}
		for link, batch := range batches {
			a.sendBatch(link, batch)
		}
		time.Sleep(a.timing.ReplicationInterval)
	}
}

func (a *Agent) anyBatchInFlight() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, link := range a.links {
		if link.inFlight {
			return true
		}
	}
	return false
}

// Replicate implements wire.AgentServer. It returns when the sender closes the stream or the
// agent shuts down.
func (a *Agent) Replicate(stream grpc.BidiStreamingServer[wire.LogRecord, wire.LogAck]) error {
	receiveErr := make(chan error, 1)
	go func() { receiveErr <- a.receiveRecords(stream) }()
	select {
	case err := <-receiveErr:
		return err
	case <-a.done:
		return status.Error(codes.Unavailable, "the agent is shutting down")
	}
}

func (a *Agent) receiveRecords(stream grpc.BidiStreamingServer[wire.LogRecord, wire.LogAck]) error {
	for {
		record, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		next, err := a.storeRecord(record)
		if err != nil {
			return err
		}
		if err := stream.Send(&wire.LogAck{Generation: record.GetGeneration(), NextIndex: next}); err != nil {
			return err
		}
	}
}

func (a *Agent) storeRecord(message *wire.LogRecord) (uint64, error) {
	tokens := message.GetTokens()
	if len(tokens.GetIds()) != len(tokens.GetBytes()) {
		return 0, status.Error(codes.InvalidArgument, "token ids and bytes differ in number")
	}
	record := tokenlog.Record[spec]{
		Generation: message.GetGeneration(), Attempt: message.GetAttempt(), Epoch: message.GetAttachEpoch(),
		First: tokens.GetFirstIndex(), Tokens: newTokens(tokens.GetIds(), tokens.GetBytes()),
	}
	if message.GetSpec() != nil {
		record.Spec, record.SpecBytes = &message.Spec, proto.Size(message.GetSpec())
	}
	if end := message.GetFinished(); end != nil {
		record.End = &tokenlog.End{Reason: end.GetReason(), Tokens: end.GetTokens(), Checksum: end.GetChecksum()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next, err := a.store.Replicate(time.Now(), record)
	switch {
	case errors.Is(err, tokenlog.ErrEnded):
		// The replica of an ended attempt needs no more records.
		return record.First + uint64(len(record.Tokens)), nil
	case err != nil:
		return 0, status.Error(codes.ResourceExhausted, err.Error())
	}
	return next, nil
}

// FetchLog implements wire.AgentServer. It returns the local log or replica of the requested
// attempt, or without one the generation's most recently updated log.
func (a *Agent) FetchLog(_ context.Context, request *wire.FetchLogRequest) (*wire.FetchLogResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	log := a.store.Find(request.GetGeneration(), request.GetAttempt())
	if log == nil {
		return &wire.FetchLogResponse{}, nil
	}
	ids, texts := splitTokens(log.Read(0))
	response := &wire.FetchLogResponse{
		Found: true, Spec: log.Spec, Attempt: log.Attempt, Ids: ids, Bytes: texts, AttachEpoch: log.Epoch(),
	}
	if end := log.End(); end != nil && end.Code == 0 {
		response.Finished = finishedMessage(*end)
	}
	return response, nil
}
