package cluster

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/platform"
	"bramleygap/internal/wire"
)

const (
	roleEntry = "entry"
	roleAgent = "agent"
	// entryTimeout is the time without a heartbeat after which another entry is removed.
	entryTimeout = 30 * time.Second
	// leavingEntryTimeout applies to entries that are leaving or are neither in the VM list
	// nor in the seeds. It covers several exchange intervals.
	leavingEntryTimeout = 5 * time.Second
)

// Node is a live entry or agent.
type Node struct {
	// Name is "entry/NAME" or "agent/TARGET".
	Name        string
	Address     string // host:port of its gRPC server
	Zone        string
	Role        string // "entry" or "agent"
	Incarnation uint64
	Leaving     bool
	// Revision is the highest configuration revision that the node acknowledged.
	Revision uint64
}

// entryInfo is the last known state of another entry.
type entryInfo struct {
	node     Node
	lastSeen time.Time
	// clock is the Unix time in ms on the entry's own clock at its newest known message. A
	// higher value counts as a heartbeat.
	clock int64
}

// state is owned by the event loop of a Manager.
type state struct {
	manager *Manager
	// ctx is the context of Manager.Run, from which the watchers derive theirs.
	ctx      context.Context
	view     *membership.View
	acks     *adoption.Acks
	vms      []platform.VM
	seenVMs  map[string]bool
	entries  map[string]*entryInfo
	peers    map[string]bool // addresses of other entries
	watchers map[string]*watcher
	drained  []string
	// drainedKnown is set once the drain rows were read from the table.
	drainedKnown bool
	// drainChanges counts the operator's changes of drained on this entry, so that a list
	// read before such a change does not undo it.
	drainChanges uint64
	// reportedFences is the highest fencing token that each target reported, over all
	// incarnations of its agent.
	reportedFences map[string]uint64
	// storedFences is the highest fencing token issued for each service, as last read from
	// the table.
	storedFences map[string]uint64
	// fencesReadFor is the latest incarnation of each target's agent that had reported
	// before the fencing tokens were read from the table.
	fencesReadFor map[string]uint64
	// agents, agentsVersion and usage go into the messages to agents; see summariseAgents.
	agents        []*wire.AgentAddress
	agentsVersion uint64
	usage         map[string]float64
	// rejectedRevision is the last revision whose rejection was logged.
	rejectedRevision uint64
}

func newState(m *Manager, ctx context.Context, now time.Time) *state {
	return &state{
		manager:        m,
		ctx:            ctx,
		view:           membership.New(now),
		acks:           adoption.NewAcks(),
		seenVMs:        make(map[string]bool),
		entries:        make(map[string]*entryInfo),
		peers:          make(map[string]bool),
		watchers:       make(map[string]*watcher),
		reportedFences: make(map[string]uint64),
		storedFences:   make(map[string]uint64),
		fencesReadFor:  make(map[string]uint64),
	}
}

func (s *state) self() Node {
	settings := s.manager.options.Settings
	return Node{
		Name:        roleEntry + "/" + settings.Name,
		Address:     settings.PeerListen,
		Zone:        settings.Zone,
		Role:        roleEntry,
		Incarnation: s.manager.options.Incarnation,
		Leaving:     s.manager.leaving.Load(),
		Revision:    adoption.RevisionOf(s.manager.Config()),
	}
}

func (s *state) tick(now time.Time) {
	removed, late := s.view.Tick(now)
	if late {
		s.manager.metrics.lateTicks.Inc()
		for _, entry := range s.entries {
			entry.lastSeen = now
		}
	}
	for _, name := range removed {
		s.acks.Remove(roleAgent + "/" + name)
		s.manager.options.Logger.Warn().Str("target", name).Msg("target removed, no heartbeat within the time-out")
	}
	s.removeExpiredEntries(now)
	s.reconcile()
	s.publish(now)
}

func (s *state) removeExpiredEntries(now time.Time) {
	for name, entry := range s.entries {
		limit := entryTimeout
		if entry.node.Leaving || !s.listed(entry.node.Address) {
			limit = leavingEntryTimeout
		}
		if now.Sub(entry.lastSeen) >= limit {
			delete(s.entries, name)
			s.acks.Remove(name)
		}
	}
}

// listed reports whether the VM list or the seeds contain the address.
func (s *state) listed(address string) bool {
	for _, vm := range s.vms {
		if vm.Address == address {
			return true
		}
	}
	for _, seed := range s.manager.options.Settings.Seeds {
		if seed.Address == address {
			return true
		}
	}
	return false
}

func (s *state) setVMs(vms []platform.VM) {
	s.vms = vms
	list := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, membership.VM{ID: vm.ID, Leaving: vm.State == platform.VMLeaving})
	}
	s.view.SetVMs(list)
	maps.DeleteFunc(s.seenVMs, func(id string, _ bool) bool {
		return !slices.ContainsFunc(vms, func(vm platform.VM) bool { return vm.ID == id })
	})
	s.reconcile()
	s.publish(time.Now())
}

// observeAgent applies a heartbeat of an agent and reports whether it was newer than the
// earlier ones.
func (s *state) observeAgent(report membership.Report) bool {
	now := time.Now()
	s.adoptFromAgent(report.State)
	before := s.view.State(report.State.GetTarget())
	if !s.view.Heartbeat(now, report) {
		s.manager.metrics.heartbeats.WithLabelValues("stale").Inc()
		return false
	}
	s.manager.metrics.heartbeats.WithLabelValues("ok").Inc()
	s.seenVMs[report.State.GetVm()] = true
	target := report.State.GetTarget()
	s.reportedFences[target] = max(s.reportedFences[target], report.State.GetHighestFence())
	s.acks.Observe(adoption.Ack{
		Node:        roleAgent + "/" + report.State.GetTarget(),
		Incarnation: report.State.GetIncarnation(),
		Revision:    report.State.GetConfigRevision(),
	})
	for _, observer := range s.manager.options.AgentObservers {
		observer.ObserveAgent(report.State)
	}
	// A change of load is published at the next tick, since building a snapshot takes time
	// proportional to the number of targets.
	if before == nil || routingStateOf(before) != routingStateOf(report.State) || !slices.Equal(before.GetVersions(), report.State.GetVersions()) {
		s.publish(now)
	}
	return true
}

// adoptFromAgent adopts the configuration and the withdrawals that an agent sends with it,
// and removes both from the report, which the view retains.
func (s *state) adoptFromAgent(report *wire.AgentState) {
	if report.GetConfigText() == "" {
		return
	}
	s.adopt(adoption.Candidate{
		Revision: report.GetConfigRevision(),
		Text:     report.GetConfigText(),
		Operator: report.GetConfigOperator(),
		ChangeID: report.GetConfigChangeId(),
	})
	s.manager.mergeWithdrawn(report.GetWithdrawn())
	report.ConfigText, report.ConfigOperator, report.ConfigChangeId, report.Withdrawn = "", "", "", nil
}

// routingState holds the fields that decide whether a target gets new work, apart from its
// versions.
type routingState struct {
	incarnation    uint64
	ready, leaving bool
	vm, address    string
}

func routingStateOf(state *wire.AgentState) routingState {
	return routingState{
		incarnation: state.GetIncarnation(),
		ready:       state.GetReady(),
		leaving:     state.GetLeaving(),
		vm:          state.GetVm(),
		address:     state.GetAddress(),
	}
}

// observeEntry applies a heartbeat of another entry, received directly or relayed by a peer.
func (s *state) observeEntry(node Node, clock int64, direct bool) {
	if node.Name == s.self().Name || node.Name == "" {
		return
	}
	old := s.entries[node.Name]
	if old != nil && node.Incarnation < old.node.Incarnation {
		return
	}
	if old != nil && node.Incarnation == old.node.Incarnation && clock <= old.clock {
		return
	}
	if !direct && old != nil {
		// Relayed acknowledgements carry neither zone nor leaving flag.
		node.Zone, node.Leaving = old.node.Zone, old.node.Leaving && node.Incarnation == old.node.Incarnation
	}
	s.entries[node.Name] = &entryInfo{node: node, lastSeen: time.Now(), clock: clock}
	s.acks.Observe(adoption.Ack{Node: node.Name, Incarnation: node.Incarnation, Revision: node.Revision})
}

// adopt puts the candidate in force if it is valid and newer, and reports whether it did.
func (s *state) adopt(candidate adoption.Candidate) bool {
	m := s.manager
	current := m.Config()
	next, err := adoption.Decide(current, candidate)
	if err != nil && candidate.Revision != s.rejectedRevision {
		s.rejectedRevision = candidate.Revision
		m.metrics.rejectedConfigs.Inc()
		m.options.Logger.Error().Err(err).Uint64("revision", candidate.Revision).Msg("operator configuration rejected, the previous one stays in force")
	}
	if next == current {
		return false
	}
	m.adopted.Store(next)
	m.metrics.revision.Set(float64(next.Revision))
	m.options.Logger.Info().Uint64("revision", next.Revision).Str("operator", next.Operator).Msg("operator configuration adopted")
	s.view.SetRetired(next.Config.RetireVMs)
	m.setReadyUnlessLeaving()
	s.publish(time.Now())
	s.notifyWatchers()
	signal(m.pushSome)
	return true
}

func (s *state) setDrained(vms []string) {
	if slices.Equal(s.drained, vms) {
		return
	}
	s.drained = vms
	s.view.SetDrained(vms)
	s.publish(time.Now())
	s.notifyWatchers()
}

// reconcile updates the watchers and peers to the currently known addresses.
func (s *state) reconcile() {
	agents, peers := s.addresses()
	for address := range agents {
		if s.watchers[address] == nil {
			s.watchers[address] = s.manager.startWatcher(s.ctx, address)
		}
	}
	for address, w := range s.watchers {
		if !agents[address] {
			w.stop()
			delete(s.watchers, address)
		}
	}
	for address := range s.peers {
		if !peers[address] && !agents[address] {
			s.manager.pool.Remove(address)
		}
	}
	s.peers = peers
}

// addresses collects the addresses from the VM list, the seeds, the live targets and the
// entries that agents and peers report.
func (s *state) addresses() (agents, peers map[string]bool) {
	agents, peers = make(map[string]bool), make(map[string]bool)
	add := func(role, address string) {
		switch {
		case address == "" || address == s.manager.options.Settings.PeerListen:
		case role == roleAgent:
			agents[address] = true
		case role == roleEntry:
			peers[address] = true
		}
	}
	for _, vm := range s.vms {
		add(vm.Role, vm.Address)
	}
	for _, seed := range s.manager.options.Settings.Seeds {
		add(seed.Role, seed.Address)
	}
	for _, state := range s.view.States() {
		add(roleAgent, state.GetAddress())
		for _, address := range state.GetEntries() {
			add(roleEntry, address)
		}
	}
	for _, entry := range s.entries {
		add(roleEntry, entry.node.Address)
	}
	return agents, peers
}

func (s *state) notifyWatchers() {
	for _, w := range s.watchers {
		signal(w.wake)
	}
}

// publish updates the snapshot, the node list, the summaries for agents and the metrics.
func (s *state) publish(now time.Time) {
	snapshot := s.view.Snapshot(now)
	s.manager.snapshot.Store(snapshot)
	s.publishNodes(snapshot)
	s.summariseAgents()
	counts := map[string]int{"usable": 0, "leaving": 0, "suspected": 0, "not_ready": 0}
	for i := range snapshot.Targets {
		counts[targetState(&snapshot.Targets[i])]++
	}
	for name, count := range counts {
		s.manager.metrics.targets.WithLabelValues(name).Set(float64(count))
	}
}

func targetState(t *membership.Target) string {
	switch {
	case t.Leaving:
		return "leaving"
	case t.Suspected:
		return "suspected"
	case !t.Ready:
		return "not_ready"
	}
	return "usable"
}

func (s *state) publishNodes(snapshot *membership.Snapshot) {
	nodes := []Node{s.self()}
	for _, entry := range s.entries {
		nodes = append(nodes, entry.node)
	}
	for _, t := range snapshot.Targets {
		nodes = append(nodes, Node{
			Name:        roleAgent + "/" + t.Name,
			Address:     t.Address,
			Zone:        t.Zone,
			Role:        roleAgent,
			Incarnation: t.Incarnation,
			Leaving:     t.Leaving,
		})
	}
	for i := range nodes {
		if ack, ok := s.acks.Get(nodes[i].Name); ok {
			nodes[i].Revision = ack.Revision
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	s.manager.nodes.Store(&nodes)
}

// unacknowledged returns the live nodes that have not acknowledged the revision. A live VM
// from which this entry has never received a heartbeat is named "vm/ID".
func (s *state) unacknowledged(revision uint64) []string {
	s.publish(time.Now())
	var missing []string
	addresses := make(map[string]bool)
	for _, node := range s.manager.Nodes() {
		addresses[node.Address] = true
		if node.Revision < revision {
			missing = append(missing, node.Name)
		}
	}
	for _, vm := range s.vms {
		if vm.State == platform.VMLive && !addresses[vm.Address] && !s.seenVMs[vm.ID] {
			missing = append(missing, "vm/"+vm.ID)
		}
	}
	slices.Sort(missing)
	return missing
}

// summariseAgents sums the usage per member that the live targets reported, in token units
// per second, and lists their agents.
func (s *state) summariseAgents() {
	s.agents, s.usage = nil, make(map[string]float64)
	for _, agent := range s.view.States() {
		s.agents = append(s.agents, &wire.AgentAddress{Address: agent.GetAddress(), Zone: agent.GetZone(), Service: agent.GetService()})
		for _, use := range agent.GetUseHere() {
			s.usage[use.GetMember()] += use.GetTokensPerSecond()
		}
	}
	s.agentsVersion = membership.AgentsVersion(s.agents)
}

// entryState builds the message for an agent from the agent's last report, which is nil
// before the first one. The message includes the list of agents if lacksAgents is set.
func (s *state) entryState(last *wire.AgentState, lacksAgents bool) *wire.EntryState {
	m := s.manager
	message := &wire.EntryState{
		Entry:       m.options.Settings.PeerListen,
		Incarnation: m.options.Incarnation,
		Sequence:    m.sequence.Add(1),
		Withdrawn:   m.withdrawn.list(),
		LeavingVms:  s.drained,

		LeavingVmsKnown: s.drainedKnown,
		AgentsVersion:   s.agentsVersion,
	}
	// An agent that reports no version has no list, or its release predates this field.
	if lacksAgents || (last != nil && last.GetAgentsVersion() == 0) {
		message.Agents = s.agents
	}
	if config := m.Config(); config != nil {
		message.ConfigRevision = config.Revision
		if last != nil && last.GetConfigRevision() < config.Revision {
			message.ConfigText = config.Text
			message.ConfigOperator = config.Operator
			message.ConfigChangeId = config.ChangeID
		}
	}
	// The reports of the agent's previous incarnation may lack its last order, so the token
	// is sent only once the table was read after the first report of this incarnation.
	if last != nil && s.fencesReadFor[last.GetTarget()] == last.GetIncarnation() {
		message.HighestFence = proto.Uint64(max(s.reportedFences[last.GetTarget()], s.storedFences[last.GetService()]))
	}
	elsewhere := maps.Clone(s.usage)
	if current := s.view.State(last.GetTarget()); current != nil {
		for _, use := range current.GetUseHere() {
			elsewhere[use.GetMember()] -= use.GetTokensPerSecond()
		}
	}
	for _, member := range slices.Sorted(maps.Keys(elsewhere)) {
		message.UseElsewhere = append(message.UseElsewhere, &wire.MemberUse{Member: member, TokensPerSecond: max(0, elsewhere[member])})
	}
	return message
}
