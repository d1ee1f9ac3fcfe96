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

// Watch implements wire.AgentServer. It ends when the entry ends it or the agent has left.
func (a *Agent) Watch(stream grpc.BidiStreamingServer[wire.EntryState, wire.AgentState]) error {
	received := make(chan error, 1)
	watcher := &watcher{agent: a}
	defer watcher.close()
	go func() { received <- watcher.receive(stream) }()
	heartbeat := time.NewTicker(a.timing.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		state, changed := a.nextState(watcher)
		watcher.handOver(state)
		if err := stream.Send(watcher.outgoing(state)); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case err := <-received:
			return err
		case <-a.watchEnd:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// watcher is the receiving side of one Watch stream.
type watcher struct {
	agent *Agent
	// entry is the name in the first message; agent.mu guards it.
	entry  string
	closed bool
	// agents is the version of the list that the entry named last, 0 if unknown here.
	agents uint64
	// linkMu guards link, which the sending and the receiving task use.
	linkMu sync.Mutex
	link   delta.Codec[*wire.AgentState, *wire.EntryState]
	// lowerReports counts the entry's consecutive messages with a revision below the
	// adopted one; handedOver is the revision last sent to it. agent.mu guards both.
	lowerReports int
	handedOver   uint64
}

func (w *watcher) outgoing(state *wire.AgentState) *wire.AgentState {
	w.linkMu.Lock()
	defer w.linkMu.Unlock()
	return w.link.Encode(state)
}

func (w *watcher) incoming(state *wire.EntryState) (*wire.EntryState, error) {
	w.linkMu.Lock()
	defer w.linkMu.Unlock()
	return w.link.Decode(state)
}

// handOverAfter is the number of consecutive lower reports after which an entry gets the
// configuration from the agent. The first report is left to the table and the other
// entries, so that not all agents send the text to an entry that just started.
const handOverAfter = 2

func (w *watcher) receive(stream grpc.BidiStreamingServer[wire.EntryState, wire.AgentState]) error {
	for {
		state, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if state, err = w.incoming(state); err != nil {
			return err
		}
		w.register(state.GetEntry())
		w.agent.learn(time.Now(), state)
		w.takeAgents(state)
		w.compare(state.GetConfigRevision())
	}
}

// compare notes whether the entry is behind the agent.
func (w *watcher) compare(revision uint64) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if revision >= w.agent.adopted.Revision {
		w.lowerReports = 0
		return
	}
	w.lowerReports++
	if w.lowerReports == handOverAfter && w.handedOver < w.agent.adopted.Revision {
		w.agent.notify()
	}
}

// handOver adds the configuration and the withdrawn versions to a message for an entry
// that stays behind. It serves entries that were all replaced during a store outage.
func (w *watcher) handOver(state *wire.AgentState) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.lowerReports < handOverAfter || w.handedOver >= a.adopted.Revision || state.GetConfigRevision() != a.adopted.Revision {
		return
	}
	w.handedOver = a.adopted.Revision
	state.ConfigText = a.adopted.Text
	state.ConfigOperator = a.adopted.Operator
	state.ConfigChangeId = a.adopted.ChangeID
	state.Withdrawn = slices.Collect(maps.Values(a.withdrawn))
	a.logger.Info().Uint64("revision", w.handedOver).Str("entry", w.entry).Msg("operator configuration handed to an entry")
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
	w.agent.lists.hold(&w.agents, 0)
	if w.entry == "" {
		return
	}
	w.agent.entries[w.entry]--
	if w.agent.entries[w.entry] <= 0 {
		// The entry's drain mark stays until another entry knows better.
		delete(w.agent.entries, w.entry)
	}
}

// takeAgents notes the list of agents that the entry names, if this agent has it.
func (w *watcher) takeAgents(state *wire.EntryState) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	version := state.GetAgentsVersion()
	if agents := state.GetAgents(); len(agents) > 0 {
		version = a.lists.add(agents)
	}
	if !w.closed {
		a.lists.hold(&w.agents, version)
	}
}

// learn takes in what an entry knows.
func (a *Agent) learn(now time.Time, state *wire.EntryState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.GetHighestFence() > a.fence {
		a.fence = state.GetHighestFence()
	}
	a.fenceKnown = a.fenceKnown || state.HighestFence != nil
	a.learnDrain(state)
	a.mergeWithdrawn(state.GetWithdrawn())
	if state.GetUseElsewhere() != nil {
		elsewhere := make(map[string]float64)
		for _, use := range state.GetUseElsewhere() {
			elsewhere[use.GetMember()] = use.GetTokensPerSecond()
		}
		a.shares.SetRemoteUsage(now, elsewhere)
	}
	if state.GetConfigRevision() <= a.adopted.Revision {
		return
	}
	if state.GetConfigText() == "" {
		// Tells the entry at once that this agent is behind, so that it sends the text.
		a.notify()
		return
	}
	a.adopt(adoption.Candidate{
		Revision: state.GetConfigRevision(),
		Text:     state.GetConfigText(),
		Operator: state.GetConfigOperator(),
		ChangeID: state.GetConfigChangeId(),
	})
}

// refusesWork requires a.mu. It reports whether the process stops or its VM is drained or
// retired; an entry with an older configuration may still send work.
func (a *Agent) refusesWork() bool {
	config := a.adopted.Config
	return a.leaving || len(a.drainedBy) > 0 ||
		(config != nil && slices.Contains(config.RetireVMs, a.options.Settings.VM))
}

// learnDrain requires a.mu. The VM is drained while any watching entry says so, since
// entries read the list at different times. An entry that does not know the list takes
// nothing back; one that does also takes back the marks of entries that are gone.
func (a *Agent) learnDrain(state *wire.EntryState) {
	before := a.refusesWork()
	if slices.Contains(state.GetLeavingVms(), a.options.Settings.VM) {
		a.drainedBy[state.GetEntry()] = true
	} else if state.GetLeavingVmsKnown() {
		maps.DeleteFunc(a.drainedBy, func(entry string, _ bool) bool {
			return entry == state.GetEntry() || a.entries[entry] == 0
		})
	}
	if before != a.refusesWork() {
		a.logger.Info().Bool("drained", !before).Msg("drain changed")
		a.notify()
	}
}

// mergeWithdrawn requires a.mu. The set only grows.
func (a *Agent) mergeWithdrawn(versions []*wire.WithdrawnVersion) {
	for _, version := range versions {
		key := versionKey{version.GetService(), version.GetVersion()}
		if a.withdrawn[key] == nil {
			a.withdrawn[key] = version
			a.logger.Warn().Str("version", key.version).Str("reason", version.GetReason()).Msg("version withdrawn")
		}
	}
}

// adopt requires a.mu. An invalid text changes nothing.
func (a *Agent) adopt(candidate adoption.Candidate) {
	next, err := adoption.Decide(&a.adopted, candidate)
	if err != nil {
		a.metrics.badConfigs.Inc()
		a.logger.Error().Err(err).Uint64("revision", candidate.Revision).Msg("operator configuration rejected, the previous one stays in force")
		return
	}
	a.adopted = *next
	weights := make(map[string]float64, len(next.Config.Members))
	for _, member := range next.Config.Members {
		weights[member.Name] = member.Share
	}
	a.shares.SetWeights(weights)
	a.logger.Info().Uint64("revision", next.Revision).Msg("operator configuration adopted")
	a.notify()
}

// nextState returns the state to send and a channel that is closed at the next change.
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
		Ready:          a.target.ready() && !a.refusesWork(),
		Leaving:        a.refusesWork(),
		Running:        uint32(a.running),
		ConfigRevision: a.adopted.Revision,
		HighestFence:   a.fence,
		Entries:        slices.Sorted(maps.Keys(a.entries)),
		AgentsVersion:  cmp.Or(w.agents, a.lists.used),
	}
	if a.options.Settings.TargetKind == kindModel {
		a.addModelState(now, state)
	}
	return state, a.changed
}

// addModelState requires a.mu.
func (a *Agent) addModelState(now time.Time, state *wire.AgentState) {
	state.Kind = wire.TargetKind_TARGET_KIND_MODEL
	state.Versions = a.target.versions
	state.Running = a.target.load.Running
	state.Waiting = a.target.load.Waiting + uint32(a.shares.Waiting()+len(a.suspects.held))
	state.Slots = a.target.load.Slots
	if a.target.load.MeasuredUnixMS > 0 {
		state.LoadAgeMs = uint32(max(0, now.UnixMilli()-a.target.load.MeasuredUnixMS))
	}
	use := a.shares.Usage(now)
	for _, member := range slices.Sorted(maps.Keys(use)) {
		state.UseHere = append(state.UseHere, &wire.MemberUse{Member: member, TokensPerSecond: use[member]})
	}
	state.CachedBlocks = a.cache.sample()
	for _, death := range a.target.deaths {
		state.Deaths = append(state.Deaths, proto.CloneOf(death))
	}
}

const shareTick = 50 * time.Millisecond

// scheduleShares lets the scheduler preempt after a member waited long enough.
func (a *Agent) scheduleShares(ctx context.Context) {
	every(ctx, shareTick, func(now time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.apply(a.shares.Tick(now))
		for _, next := range a.suspects.expire(now) {
			a.schedule(now, next)
		}
	})
}
