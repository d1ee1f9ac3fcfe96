package generations

import (
	"context"
	"net/http"
	"slices"
	"time"

	"bramleygap/internal/core/stream"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// lastEventIDHeader is the standard header of a reconnecting event stream client.
	lastEventIDHeader = "Last-Event-ID"
	// attachTimeout bounds the wait for the agent that keeps the log. It equals the
	// inactivity after which an attempt has failed.
	attachTimeout = time.Second
	// fetchTimeout bounds the wait for copies of a log.
	fetchTimeout = time.Second
	// maxFetchAgents is the number of agents asked for a copy. The agent that chose the
	// replica may have known fewer agents than this entry, so the first agent in rendezvous
	// order may not hold it.
	maxFetchAgents = 4
)

// resume continues a generation after the caller lost its connection. The response
// is always streamed, since only streamed responses have event ids.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	requestedAt := time.Now()
	if err := h.authenticateKey(r); err != nil {
		h.options.Refusals.Write(w, err)
		return
	}
	id, err := stream.ParseEventID(r.Header.Get(lastEventIDHeader))
	if err != nil {
		h.options.Refusals.Write(w, result.New(result.InvalidResumeID, "header %s: %v", lastEventIDHeader, err))
		return
	}
	log, spec, live, err := h.findLog(r, id)
	if err != nil {
		h.options.Refusals.Write(w, err)
		return
	}
	if err := h.checkOwner(r, spec); err != nil {
		// Closing the stream leaves the log attachable for its owner.
		if live != nil {
			live.cancel()
		}
		h.options.Refusals.Write(w, err)
		return
	}
	s := h.newSession(r, spec, true)
	s.output = h.newOutput(w, spec, true, log.From)
	s.output.continueAfter(id, log.Bytes[:log.From])
	s.log.Info().Uint64("from_index", log.From).Bool("live", log.Live).Msg("resuming generation after reconnect")
	log.RequestedAt = requestedAt
	s.serve(*log, live)
}

// checkOwner checks that the generation belongs to the caller's account. For a generation
// of another account it returns the same error as for a lost one.
func (h *Handler) checkOwner(r *http.Request, spec *wire.GenerationSpec) error {
	identity, _, err := h.authenticate(r, spec.GetService())
	if err != nil {
		return err
	}
	if identity.Account.Name != spec.GetAccount() {
		return resumeLostError()
	}
	return nil
}

func resumeLostError() error {
	return result.New(result.ResumeLost, "no copy of the token log contains the index of the event id")
}

// findLog attaches to the log that the event id names, or fetches a copy if it cannot.
func (h *Handler) findLog(r *http.Request, id stream.EventID) (*stream.AttachedLog, *wire.GenerationSpec, *attachedStream, error) {
	log, spec, live := h.attach(r, id)
	if log == nil {
		log, spec = h.fetch(r.Context(), id)
	}
	if log == nil {
		return nil, nil, nil, resumeLostError()
	}
	return log, spec, live, nil
}

// lookUpAgent returns the zone and target name of a known agent. Event ids come from
// callers, so the entry connects only to addresses in its own view.
func (h *Handler) lookUpAgent(address string) (zone, target string, known bool) {
	for _, t := range h.options.Snapshot().Targets {
		if t.Address == address {
			return t.Zone, t.Name, true
		}
	}
	return "", "", false
}

func (h *Handler) attach(r *http.Request, id stream.EventID) (*stream.AttachedLog, *wire.GenerationSpec, *attachedStream) {
	_, target, known := h.lookUpAgent(id.Agent)
	if !known {
		return nil, nil, nil
	}
	client, err := h.options.Agent(id.Agent)
	if err != nil {
		return nil, nil, nil
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	timeout := time.AfterFunc(attachTimeout, cancel)
	events, accepted := h.openAttach(ctx, client, id)
	if !timeout.Stop() || accepted == nil {
		cancel()
		return nil, nil, nil
	}
	spec := accepted.GetSpec()
	log := &stream.AttachedLog{
		Attempt:     accepted.GetAttempt(),
		Epoch:       accepted.GetAttachEpoch(),
		Version:     spec.GetVersion(),
		Adapter:     spec.GetAdapter(),
		IDs:         accepted.GetPrefixTokenIds(),
		Bytes:       accepted.GetPrefixBytes(),
		From:        id.Index + 1,
		Live:        true,
		Target:      target,
		Address:     id.Agent,
		Incarnation: accepted.GetIncarnation(),
	}
	live := &attachedStream{attempt: log.Attempt, events: events, runningAttempt: runningAttempt{client: client, cancel: cancel}}
	return log, spec, live
}

// openAttach returns the Attach stream and its first event, or nil if the agent cannot be
// reached or its log does not contain the tokens that the caller received.
func (h *Handler) openAttach(ctx context.Context, client wire.AgentClient, id stream.EventID) (wire.Agent_AttachClient, *wire.Accepted) {
	events, err := client.Attach(ctx, &wire.AttachRequest{
		Generation:  id.Generation,
		Incarnation: id.Incarnation,
		FromIndex:   id.Index + 1,
		Entry:       h.options.EntryName,
	})
	if err != nil {
		return nil, nil
	}
	first, err := events.Recv()
	if err != nil {
		return nil, nil
	}
	accepted := first.GetAccepted()
	if accepted.GetSpec() == nil || accepted.GetSpec().GetGeneration() != id.Generation ||
		uint64(len(accepted.GetPrefixTokenIds())) != id.Index+1 ||
		!containsDelivered(accepted.GetAttempt(), accepted.GetSpec(), id) ||
		len(accepted.GetPrefixBytes()) != len(accepted.GetPrefixTokenIds()) {
		return nil, nil
	}
	return events, accepted
}

// fetch asks the possible replicas and returns the longest copy that contains the index.
func (h *Handler) fetch(parent context.Context, id stream.EventID) (*stream.AttachedLog, *wire.GenerationSpec) {
	ctx, cancel := context.WithTimeout(parent, fetchTimeout)
	defer cancel()
	candidates := h.replicas(id)
	copies := make(chan *wire.FetchLogResponse, len(candidates))
	for _, agent := range candidates {
		go func() { copies <- h.fetchFrom(ctx, agent.Address, id) }()
	}
	var best *wire.FetchLogResponse
	epoch := uint64(0)
	for range candidates {
		c := <-copies
		epoch = max(epoch, c.GetAttachEpoch())
		if c != nil && (best == nil || len(c.GetIds()) > len(best.GetIds())) {
			best = c
		}
	}
	if best == nil {
		return nil, nil
	}
	return logFromCopy(best, epoch+1, id), best.GetSpec()
}

// containsDelivered reports whether a log has the tokens that the caller received up to
// the event id: the id is from the same attempt, or the entry had accepted these tokens
// before it started the attempt. Logs of different attempts may differ after the prefix.
func containsDelivered(attempt uint32, spec *wire.GenerationSpec, id stream.EventID) bool {
	return attempt == id.Attempt || id.Index < spec.GetPrefixTokens()
}

// replicas returns the agents that may hold the copy, excluding the agent of the event id.
func (h *Handler) replicas(id stream.EventID) []stream.Agent {
	zone, _, _ := h.lookUpAgent(id.Agent)
	targets := h.options.Snapshot().Targets
	agents := make([]stream.Agent, 0, len(targets))
	for _, t := range targets {
		if t.Address != id.Agent {
			agents = append(agents, stream.Agent{Address: t.Address, Zone: t.Zone})
		}
	}
	ranked := stream.RankReplicas(id.Generation, zone, agents)
	return ranked[:min(len(ranked), maxFetchAgents)]
}

// fetchFrom returns an agent's copy, or nil if it has none that contains the index. The
// copy of the attempt in the event id may end before the index while that of a later
// attempt, which began with the delivered tokens, contains it.
func (h *Handler) fetchFrom(ctx context.Context, address string, id stream.EventID) *wire.FetchLogResponse {
	client, err := h.options.Agent(address)
	if err != nil {
		return nil
	}
	for _, attempt := range []uint32{id.Attempt, latestAttempt} {
		response, err := client.FetchLog(ctx, &wire.FetchLogRequest{Generation: id.Generation, Attempt: attempt})
		if err != nil || !response.GetFound() {
			return nil
		}
		if usableCopy(response, id) {
			return response
		}
	}
	return nil
}

// latestAttempt requests the most recently changed log of a generation.
const latestAttempt = 0

func usableCopy(response *wire.FetchLogResponse, id stream.EventID) bool {
	return response.GetSpec().GetGeneration() == id.Generation &&
		containsDelivered(response.GetAttempt(), response.GetSpec(), id) &&
		uint64(len(response.GetIds())) > id.Index && len(response.GetBytes()) == len(response.GetIds())
}

func logFromCopy(c *wire.FetchLogResponse, epoch uint64, id stream.EventID) *stream.AttachedLog {
	log := &stream.AttachedLog{
		Attempt:     c.GetAttempt(),
		Epoch:       epoch,
		Version:     c.GetSpec().GetVersion(),
		Adapter:     c.GetSpec().GetAdapter(),
		IDs:         slices.Clone(c.GetIds()),
		Bytes:       slices.Clone(c.GetBytes()),
		From:        id.Index + 1,
		Address:     id.Agent,
		Incarnation: id.Incarnation,
	}
	if c.GetFinished() != nil {
		end := finishedMessage(c.GetAttempt(), c.GetFinished())
		log.End = &end
	}
	return log
}
