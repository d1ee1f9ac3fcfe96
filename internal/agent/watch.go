package agent

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/delta"
	"bramleygap/internal/wire"
)

// Watch implements wire.AgentServer. It returns when the entry closes the stream or the agent
// shuts down.
func (a *Agent) Watch(stream grpc.BidiStreamingServer[wire.EntryState, wire.AgentState]) error {
	receiveErr := make(chan error, 1)
	watcher := &watcher{agent: a}
	defer watcher.close()
	go func() { receiveErr <- watcher.receive(stream) }()
	heartbeat := time.NewTicker(a.timing.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		state, changed := a.nextState(watcher)
		watcher.attachConfig(state)
		if err := stream.Send(watcher.encode(state)); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case err := <-receiveErr:
			return err
		case <-a.done:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// watcher is the agent's side of one Watch stream.
type watcher struct {
	agent *Agent
	// entry is the entry's name from its first message; agent.mu guards it.
	entry  string
	closed bool
	// agentsVersion is the version of the agent list that the entry references, 0 if none.
	agentsVersion uint64
	// codecMu guards codec, which the sending and the receiving goroutine share.
	codecMu sync.Mutex
	codec   delta.Codec[*wire.AgentState, *wire.EntryState]
	// staleReports counts the entry's consecutive messages with a revision below the
	// adopted one; sentRevision is the revision last sent to it. agent.mu guards both.
	staleReports int
	sentRevision uint64
}

func (w *watcher) encode(state *wire.AgentState) *wire.AgentState {
	w.codecMu.Lock()
	defer w.codecMu.Unlock()
	return w.codec.Encode(state)
}

func (w *watcher) decode(state *wire.EntryState) (*wire.EntryState, error) {
	w.codecMu.Lock()
	defer w.codecMu.Unlock()
	return w.codec.Decode(state)
}

// staleReportLimit is the number of consecutive stale reports after which the agent sends
// the configuration to the entry. An entry that just started usually gets it from the table
// or another entry before its second report, so that not all agents send it.
const staleReportLimit = 2

func (w *watcher) receive(stream grpc.BidiStreamingServer[wire.EntryState, wire.AgentState]) error {
	for {
		state, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if state, err = w.decode(state); err != nil {
			return err
		}
		w.register(state.GetEntry())
		w.agent.applyEntryState(time.Now(), state)
		w.applyAgentList(state)
		w.trackRevision(state.GetConfigRevision())
	}
}

// trackRevision records whether the entry's configuration is older than the agent's.
func (w *watcher) trackRevision(revision uint64) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if revision >= w.agent.adopted.Revision {
		w.staleReports = 0
		return
	}
	w.staleReports++
	if w.staleReports == staleReportLimit && w.sentRevision < w.agent.adopted.Revision {
		w.agent.notifyWatchers()
	}
}

// attachConfig adds the configuration and the withdrawn versions to a message for an entry
// whose configuration remains stale. It restores the configuration if all entries were
// replaced during a store outage.
func (w *watcher) attachConfig(state *wire.AgentState) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.staleReports < staleReportLimit || w.sentRevision >= a.adopted.Revision || state.GetConfigRevision() != a.adopted.Revision {
		return
	}
	w.sentRevision = a.adopted.Revision
	state.ConfigText = a.adopted.Text
	state.ConfigOperator = a.adopted.Operator
	state.ConfigChangeId = a.adopted.ChangeID
	state.Withdrawn = slices.Collect(maps.Values(a.withdrawn))
	a.logger.Info().Uint64("revision", w.sentRevision).Str("entry", w.entry).Msg("sending operator configuration to an entry with an older one")
}

func (w *watcher) register(entry string) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if w.entry != "" || w.closed || entry == "" {
		return
	}
	w.entry = entry
	w.agent.entries[entry]++
}

func (w *watcher) close() {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	w.closed = true
	w.agent.agentLists.setReference(&w.agentsVersion, 0)
	if w.entry == "" {
		return
	}
	w.agent.entries[w.entry]--
	if w.agent.entries[w.entry] <= 0 {
		// The entry's mark in drainedBy stays until an entry that has read the drains
		// removes it.
		delete(w.agent.entries, w.entry)
	}
}

// applyAgentList stores the agent list in the message, if any, and references the list of the
// given version if the agent has it.
func (w *watcher) applyAgentList(state *wire.EntryState) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	version := state.GetAgentsVersion()
	if agents := state.GetAgents(); len(agents) > 0 {
		version = a.agentLists.add(agents)
	}
	if !w.closed {
		a.agentLists.setReference(&w.agentsVersion, version)
	}
}

// applyEntryState merges the state of an entry into the agent's.
func (a *Agent) applyEntryState(now time.Time, state *wire.EntryState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.GetHighestFence() > a.highestFence {
		a.highestFence = state.GetHighestFence()
	}
	a.fenceKnown = a.fenceKnown || state.HighestFence != nil
	a.applyDrains(state)
	a.mergeWithdrawn(state.GetWithdrawn())
	if state.GetUseElsewhere() != nil {
		remoteUsage := make(map[string]float64)
		for _, use := range state.GetUseElsewhere() {
			remoteUsage[use.GetMember()] = use.GetTokensPerSecond()
		}
		a.scheduler.SetRemoteUsage(now, remoteUsage)
	}
	if state.GetConfigRevision() <= a.adopted.Revision {
		return
	}
	if state.GetConfigText() == "" {
		// Report the older revision at once, so that the entry sends the text.
		a.notifyWatchers()
		return
	}
	a.adopt(adoption.Candidate{
		Revision: state.GetConfigRevision(),
		Text:     state.GetConfigText(),
		Operator: state.GetConfigOperator(),
		ChangeID: state.GetConfigChangeId(),
	})
}

// refusesNewWork reports whether the agent is shutting down or its VM is drained or retired;
// an entry with an older configuration may still send work. a.mu must be held.
func (a *Agent) refusesNewWork() bool {
	config := a.adopted.Config
	return a.leaving || len(a.drainedBy) > 0 ||
		(config != nil && slices.Contains(config.RetireVMs, a.options.Settings.VM))
}

// applyDrains updates drainedBy. The VM is drained while any entry lists it, since entries
// read the drains at different times. Only an entry that has read them removes its own mark
// and those of disconnected entries. a.mu must be held.
func (a *Agent) applyDrains(state *wire.EntryState) {
	wasRefusing := a.refusesNewWork()
	if slices.Contains(state.GetLeavingVms(), a.options.Settings.VM) {
		a.drainedBy[state.GetEntry()] = true
	} else if state.GetLeavingVmsKnown() {
		maps.DeleteFunc(a.drainedBy, func(entry string, _ bool) bool {
			return entry == state.GetEntry() || a.entries[entry] == 0
		})
	}
	if wasRefusing != a.refusesNewWork() {
		a.logger.Info().Bool("drained", !wasRefusing).Msg("drain state changed")
		a.notifyWatchers()
	}
}

// mergeWithdrawn adds withdrawn versions; none is ever removed. a.mu must be held.
func (a *Agent) mergeWithdrawn(versions []*wire.WithdrawnVersion) {
	for _, version := range versions {
		key := versionKey{version.GetService(), version.GetVersion()}
		if a.withdrawn[key] == nil {
			a.withdrawn[key] = version
			a.logger.Warn().Str("version", key.version).Str("reason", version.GetReason()).Msg("version withdrawn")
		}
	}
}

// adopt makes the candidate the active configuration if it is newer and valid. a.mu must be
// held.
func (a *Agent) adopt(candidate adoption.Candidate) {
	next, err := adoption.Decide(&a.adopted, candidate)
	if err != nil {
		a.metrics.rejectedConfigs.Inc()
		a.logger.Error().Err(err).Uint64("revision", candidate.Revision).Msg("operator configuration rejected; the previous one stays active")
		return
	}
	a.adopted = *next
	weights := make(map[string]float64, len(next.Config.Members))
	for _, member := range next.Config.Members {
		weights[member.Name] = member.Share
	}
	a.scheduler.SetWeights(weights)
	a.logger.Info().Uint64("revision", next.Revision).Msg("operator configuration adopted")
	a.notifyWatchers()
}

// nextState returns the state to send and a channel that is closed on the next change.
func (a *Agent) nextState(w *watcher) (*wire.AgentState, <-chan struct{}) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	state := &wire.AgentState{
		Target:         a.options.Settings.Name,
		Vm:             a.options.Settings.VM,
		Zone:           a.options.Settings.Zone,
		Address:        a.address,
		Incarnation:    a.incarnation,
		Sequence:       a.sequence,
		Kind:           wire.TargetKind_TARGET_KIND_APPLICATION,
		Service:        a.options.Settings.Service,
		Ready:          a.target.ready() && !a.refusesNewWork(),
		Leaving:        a.refusesNewWork(),
		Running:        uint32(a.running),
		ConfigRevision: a.adopted.Revision,
		HighestFence:   a.highestFence,
		Entries:        slices.Sorted(maps.Keys(a.entries)),
		AgentsVersion:  cmp.Or(w.agentsVersion, a.agentLists.current),
	}
	if a.options.Settings.TargetKind == kindModel {
		a.addModelState(now, state)
	}
	return state, a.stateChanged
}

// addModelState must be called with a.mu held.
func (a *Agent) addModelState(now time.Time, state *wire.AgentState) {
	state.Kind = wire.TargetKind_TARGET_KIND_MODEL
	state.Versions = a.target.versions
	state.Running = a.target.load.Running
	state.Waiting = a.target.load.Waiting + uint32(a.scheduler.Waiting()+len(a.suspects.waiting))
	state.Slots = a.target.load.Slots
	if a.target.load.MeasuredUnixMS > 0 {
		state.LoadAgeMs = uint32(max(0, now.UnixMilli()-a.target.load.MeasuredUnixMS))
	}
	usage := a.scheduler.Usage(now)
	for _, member := range slices.Sorted(maps.Keys(usage)) {
		state.UseHere = append(state.UseHere, &wire.MemberUse{Member: member, TokensPerSecond: usage[member]})
	}
	state.CachedBlocks = a.cache.sample()
	for _, death := range a.target.deaths {
		state.Deaths = append(state.Deaths, proto.CloneOf(death))
	}
}

const schedulerInterval = 50 * time.Millisecond

// runScheduler runs the time-dependent decisions of the scheduler and the suspect queue.
func (a *Agent) runScheduler(ctx context.Context) {
	runPeriodically(ctx, schedulerInterval, func(now time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.applyEffects(a.scheduler.Tick(now))
		for _, next := range a.suspects.expire(now) {
			a.schedule(now, next)
		}
	})
}
