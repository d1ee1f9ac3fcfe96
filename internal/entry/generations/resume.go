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
	// attachTimeout bounds the wait for the log's agent; as long as the inactivity
	// after which an attempt has failed.
	attachTimeout = time.Second
	// fetchTimeout bounds the wait for copies of a log.
	fetchTimeout = time.Second
	// fetchAgents is the number of agents asked for a copy. The agent that chose the
	// replica may have seen fewer agents than this entry, so the first in rendezvous
	// order need not hold it.
	fetchAgents = 4
)

// resume continues a generation after the caller lost its connection. The response
// is always streamed, as only streamed responses have event ids.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	since := time.Now()
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
	if err := h.mayResume(r, spec); err != nil {
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
	s.log.Info().Uint64("from_index", log.From).Bool("live", log.Live).Msg("caller resumes a generation")
	log.RequestedAt = since
	s.serve(*log, live)
}

// mayResume checks that the generation belongs to the caller's account. A foreign
// generation looks like a lost one.
func (h *Handler) mayResume(r *http.Request, spec *wire.GenerationSpec) error {
	identity, _, err := h.authenticate(r, spec.GetService())
	if err != nil {
		return err
	}
	if identity.Account.Name != spec.GetAccount() {
		return resumeLost()
	}
	return nil
}

func resumeLost() error {
	return result.New(result.ResumeLost, "no copy of the token log reaches the given index")
}

// findLog attaches to the log that the event id names, or reads a copy.
func (h *Handler) findLog(r *http.Request, id stream.EventID) (*stream.AttachedLog, *wire.GenerationSpec, *attached, error) {
	log, spec, live := h.attach(r, id)
	if log == nil {
		log, spec = h.fetch(r.Context(), id)
	}
	if log == nil {
		return nil, nil, nil, resumeLost()
	}
	return log, spec, live, nil
}

// zoneOf returns the zone of a known agent. Event ids come from outside, so an entry
// connects only to addresses in its own view.
func (h *Handler) zoneOf(address string) (zone, target string, known bool) {
	for _, t := range h.options.Snapshot().Targets {
		if t.Address == address {
			return t.Zone, t.Name, true
		}
	}
	return "", "", false
}

func (h *Handler) attach(r *http.Request, id stream.EventID) (*stream.AttachedLog, *wire.GenerationSpec, *attached) {
	_, target, known := h.zoneOf(id.Agent)
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
	live := &attached{number: log.Attempt, events: events, running: running{client: client, cancel: cancel}}
	return log, spec, live
}

// openAttach returns the Attach stream and its first event; accepted is nil if the
// agent cannot be reached or its log does not reach the caller's index.
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
		!holdsDelivered(accepted.GetAttempt(), accepted.GetSpec(), id) ||
		len(accepted.GetPrefixBytes()) != len(accepted.GetPrefixTokenIds()) {
		return nil, nil
	}
	return events, accepted
}

// fetch asks the possible replicas and takes the longest copy that reaches the index.
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
	return logOfCopy(best, epoch+1, id), best.GetSpec()
}

// holdsDelivered reports whether a log has the tokens that the caller received up to
// the event id: the id is from the same attempt, or the entry had accepted these
// tokens before it started the attempt. Logs of other attempts may differ after their prefix.
func holdsDelivered(attempt uint32, spec *wire.GenerationSpec, id stream.EventID) bool {
	return attempt == id.Attempt || id.Index < spec.GetPrefixTokens()
}

// replicas returns the agents that may hold the copy, without the log's own agent.
func (h *Handler) replicas(id stream.EventID) []stream.Agent {
	zone, _, _ := h.zoneOf(id.Agent)
	targets := h.options.Snapshot().Targets
	agents := make([]stream.Agent, 0, len(targets))
	for _, t := range targets {
		if t.Address != id.Agent {
			agents = append(agents, stream.Agent{Address: t.Address, Zone: t.Zone})
		}
	}
	ranked := stream.RankReplicas(id.Generation, zone, agents)
	return ranked[:min(len(ranked), fetchAgents)]
}

// fetchFrom returns an agent's copy, or nil if it has none that reaches the index. The
// copy of the attempt in the event id may end before the index while that of a later
// attempt, which began with the delivered tokens, does not.
func (h *Handler) fetchFrom(ctx context.Context, address string, id stream.EventID) *wire.FetchLogResponse {
	client, err := h.options.Agent(address)
	if err != nil {
		return nil
	}
	for _, attempt := range []uint32{id.Attempt, latestAttempt} {
		found, err := client.FetchLog(ctx, &wire.FetchLogRequest{Generation: id.Generation, Attempt: attempt})
		if err != nil || !found.GetFound() {
			return nil
		}
		if usableCopy(found, id) {
			return found
		}
	}
	return nil
}

// latestAttempt asks for the log of a generation that changed last.
const latestAttempt = 0

func usableCopy(found *wire.FetchLogResponse, id stream.EventID) bool {
	return found.GetSpec().GetGeneration() == id.Generation &&
		holdsDelivered(found.GetAttempt(), found.GetSpec(), id) &&
		uint64(len(found.GetIds())) > id.Index && len(found.GetBytes()) == len(found.GetIds())
}

func logOfCopy(c *wire.FetchLogResponse, epoch uint64, id stream.EventID) *stream.AttachedLog {
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
		end := finished(c.GetAttempt(), c.GetFinished())
		log.End = &end
	}
	return log
}
