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
	// replicaTimeout bounds one batch with its acknowledgements.
	replicaTimeout = time.Second
	// replicaBackoff is the pause after a failed batch.
	replicaBackoff = 500 * time.Millisecond
	// idleReplicateInterval is the longest delay of a generation's first record beyond
	// ReplicationDelay.
	idleReplicateInterval = 100 * time.Millisecond
)

// replicaLink is the stream of log records to one other agent. Agent.mu guards it,
// except stream, which belongs to the batch that set busy.
type replicaLink struct {
	address  string
	busy     bool
	notUntil time.Time
	stream   grpc.BidiStreamingClient[wire.LogRecord, wire.LogAck]
	cancel   context.CancelFunc
}

// pendingRecord is one record of a batch with the attempt that it belongs to.
type pendingRecord struct {
	attempt *attempt
	record  *wire.LogRecord
}

// replicateLogs sends the growth of logs to second agents.
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

// replicationPause is longer while no log is replicated: 100 wake-ups a second are a
// large part of an idle agent's processor time.
func (a *Agent) replicationPause(replicating bool) time.Duration {
	if replicating {
		return a.timing.ReplicationInterval
	}
	return max(idleReplicateInterval, a.timing.ReplicationInterval)
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

// dueBatches collects the records due for each replica and marks their links busy.
// replicating tells whether a log that may still grow has a replica.
func (a *Agent) dueBatches(now time.Time, minimumAge time.Duration) (batches map[*replicaLink][]pendingRecord, replicating bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var candidates []stream.Agent
	batches = make(map[*replicaLink][]pendingRecord)
	for generation, t := range a.attempts {
		if now.Sub(generationStart(t)) < minimumAge || a.store.Local(generation) != t.log {
			continue
		}
		if t.replicaList != a.lists.used {
			if candidates == nil {
				candidates = a.replicaCandidates()
			}
			a.chooseReplica(t, candidates)
		}
		if t.replica == "" {
			continue
		}
		replicating = replicating || t.log.End() == nil
		link := a.link(t.replica)
		if link.busy || now.Before(link.notUntil) {
			continue
		}
		if record := replicaRecord(t); record != nil {
			batches[link] = append(batches[link], pendingRecord{attempt: t, record: record})
			replicating = true
		}
	}
	for link := range batches {
		link.busy = true
	}
	return batches, replicating
}

// chooseReplica requires a.mu. A new replica gets the whole log.
func (a *Agent) chooseReplica(t *attempt, candidates []stream.Agent) {
	t.replicaList = a.lists.used
	// Without a candidate the address is empty and nothing is replicated.
	replica, _ := stream.ReplicaFor(t.log.Generation, a.options.Settings.Zone, candidates)
	if replica.Address != t.replica {
		t.replica, t.replicated, t.endReplicated = replica.Address, 0, false
		t.held.release()
	}
}

// generationStart returns when the generation began, on any agent; a resumed one is
// replicated at once.
func generationStart(t *attempt) time.Time {
	if ms := t.log.Spec.GetStartedUnixMs(); ms > 0 {
		return time.UnixMilli(ms)
	}
	return t.log.Started
}

// replicaCandidates requires a.mu.
func (a *Agent) replicaCandidates() []stream.Agent {
	agents := a.lists.agents()
	candidates := make([]stream.Agent, 0, len(agents))
	for _, agent := range agents {
		if agent.GetAddress() != a.address {
			candidates = append(candidates, stream.Agent{Address: agent.GetAddress(), Zone: agent.GetZone()})
		}
	}
	return candidates
}

// link requires a.mu.
func (a *Agent) link(address string) *replicaLink {
	link := a.links[address]
	if link == nil {
		link = &replicaLink{address: address}
		a.links[address] = link
	}
	return link
}

// replicaRecord requires a.mu. It returns nil if the replica has everything.
func replicaRecord(t *attempt) *wire.LogRecord {
	tokens := t.log.Read(t.replicated)
	end := t.log.End()
	if end != nil && end.Code != 0 && end.Code != uint32(result.TargetDied) && end.Code != uint32(result.GenerationFailed) {
		// An entry ended the attempt and goes on with another one.
		return nil
	}
	finished := end != nil && end.Code == 0 && !t.endReplicated
	if len(tokens) == 0 && !finished {
		return nil
	}
	record := &wire.LogRecord{Generation: t.log.Generation, Attempt: t.log.Attempt, AttachEpoch: t.log.Epoch()}
	if t.replicated == 0 {
		record.Spec = t.log.Spec
	}
	if len(tokens) > maxTokensPerEvent {
		tokens, finished = tokens[:maxTokensPerEvent], false
	}
	record.Tokens = tokensMessage(t.replicated, tokens)
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
	link.busy = false
	for i, ack := range acks {
		acknowledge(time.Now(), link.address, batch[i], ack)
	}
	a.metrics.replicated.Add(float64(len(acks)))
	if err == nil {
		return
	}
	for _, t := range a.attempts {
		if t.replica == link.address {
			t.held.release()
			t.wake()
		}
	}
	a.metrics.replicaFailures.Inc()
	link.cancel()
	link.stream, link.cancel = nil, nil
	link.notUntil = time.Now().Add(replicaBackoff)
	a.logger.Debug().Err(err).Str("replica", link.address).Msg("replication failed")
}

func acknowledge(now time.Time, address string, sent pendingRecord, ack *wire.LogAck) {
	t := sent.attempt
	if t.replica != address {
		return
	}
	t.replicated = ack.GetNextIndex()
	full := sent.record.GetTokens().GetFirstIndex() + uint64(len(sent.record.GetTokens().GetIds()))
	t.endReplicated = sent.record.GetFinished() != nil && ack.GetNextIndex() >= full
	if ack.GetNextIndex() >= full {
		t.held.acknowledged(now, full, t.log.Next())
		t.wake()
	}
}

func (a *Agent) exchangeBatch(link *replicaLink, batch []pendingRecord) ([]*wire.LogAck, error) {
	if link.stream == nil {
		if err := a.openLink(link); err != nil {
			return nil, err
		}
	}
	cancel := link.cancel
	timeout := time.AfterFunc(replicaTimeout, cancel)
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
	ctx, cancel := context.WithCancel(a.life)
	a.mu.Lock()
	link.cancel = cancel
	a.mu.Unlock()
	conn, err := a.pool.Conn(link.address)
	if err != nil {
		return err
	}
	// The stream's context also bounds the connection attempt.
	timeout := time.AfterFunc(replicaTimeout, cancel)
	defer timeout.Stop()
	link.stream, err = wire.NewAgentClient(conn).Replicate(ctx)
	return err
}

// flushReplicas replicates all finished logs before the agent exits, so that callers
// that lost their connection can still read the end.
func (a *Agent) flushReplicas() {
	deadline := time.Now().Add(a.timing.FlushTimeout)
	for time.Now().Before(deadline) {
		batches, _ := a.dueBatches(time.Now(), 0)
		if len(batches) == 0 && !a.linksBusy() {
			return
		}
		for link, batch := range batches {
			a.sendBatch(link, batch)
		}
		time.Sleep(a.timing.ReplicationInterval)
	}
}

func (a *Agent) linksBusy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, link := range a.links {
		if link.busy {
			return true
		}
	}
	return false
}

// Replicate implements wire.AgentServer. It ends when the sender ends it or the agent has left.
func (a *Agent) Replicate(stream grpc.BidiStreamingServer[wire.LogRecord, wire.LogAck]) error {
	received := make(chan error, 1)
	go func() { received <- a.takeRecords(stream) }()
	select {
	case err := <-received:
		return err
	case <-a.watchEnd:
		return status.Error(codes.Unavailable, "the agent has left")
	}
}

func (a *Agent) takeRecords(stream grpc.BidiStreamingServer[wire.LogRecord, wire.LogAck]) error {
	for {
		record, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		next, err := a.takeRecord(record)
		if err != nil {
			return err
		}
		if err := stream.Send(&wire.LogAck{Generation: record.GetGeneration(), NextIndex: next}); err != nil {
			return err
		}
	}
}

func (a *Agent) takeRecord(message *wire.LogRecord) (uint64, error) {
	tokens := message.GetTokens()
	if len(tokens.GetIds()) != len(tokens.GetBytes()) {
		return 0, status.Error(codes.InvalidArgument, "ids and bytes differ in number")
	}
	record := tokenlog.Record[spec]{
		Generation: message.GetGeneration(), Attempt: message.GetAttempt(), Epoch: message.GetAttachEpoch(),
		First: tokens.GetFirstIndex(), Tokens: tokensOf(tokens.GetIds(), tokens.GetBytes()),
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
		// Nothing of this attempt is wanted any more.
		return record.First + uint64(len(record.Tokens)), nil
	case err != nil:
		return 0, status.Error(codes.ResourceExhausted, err.Error())
	}
	return next, nil
}

// FetchLog implements wire.AgentServer. The own log or the copy of the wanted attempt
// counts; without one, the log that changed last.
func (a *Agent) FetchLog(_ context.Context, request *wire.FetchLogRequest) (*wire.FetchLogResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	log := a.store.Find(request.GetGeneration(), request.GetAttempt())
	if log == nil {
		return &wire.FetchLogResponse{}, nil
	}
	ids, texts := split(log.Read(0))
	response := &wire.FetchLogResponse{
		Found: true, Spec: log.Spec, Attempt: log.Attempt, Ids: ids, Bytes: texts, AttachEpoch: log.Epoch(),
	}
	if end := log.End(); end != nil && end.Code == 0 {
		response.Finished = finishedMessage(*end)
	}
	return response, nil
}
