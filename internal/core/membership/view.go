package membership

import (
	"sort"
	"time"

	"bramleygap/internal/wire"
)

const (
	// SuspectAfter is the time without a heartbeat after which a target gets no new
	// work. Agents send one heartbeat per second, so two lost ones are tolerated.
	SuspectAfter = 2500 * time.Millisecond
	// RemoveAfter is the time without a heartbeat after which a target is removed.
	RemoveAfter = 30 * time.Second
	// MaxTickGap is the gap between two ticks above which this process counts as
	// having been paused: heartbeats may be missing because it did not read them.
	MaxTickGap = time.Second
	// tombstoneTTL is how long the incarnation of a removed target is retained, so
	// that delayed messages of an older incarnation are still rejected.
	tombstoneTTL = 10 * time.Minute
)

// VM is one item of the platform's VM list.
type VM struct {
	ID      string
	Leaving bool
}

// Report is an agent's state as received over one connection.
type Report struct {
	// Stream is the number of the connection to the agent. A later connection has a
	// higher number; sequence numbers are compared only within one connection.
	Stream uint64
	State  *wire.AgentState
}

type member struct {
	report        Report
	lastHeartbeat time.Time
	// target is built once per report; Snapshot sets Suspected and the VM's Leaving.
	target Target
	// listed is set once the VM list has contained the target's VM.
	listed bool
}

type tombstone struct {
	incarnation uint64
	at          time.Time
}

// View merges heartbeats, the VM list and the operators' requests to retire or drain VMs.
// It is not safe for concurrent use.
type View struct {
	members    map[string]*member
	tombstones map[string]tombstone
	vms        map[string]VM
	haveVMs    bool
	retired    map[string]bool
	drained    map[string]bool
	lastTick   time.Time
}

// New returns an empty View. The first Tick is due within MaxTickGap of now.
func New(now time.Time) *View {
	return &View{
		members:    make(map[string]*member),
		tombstones: make(map[string]tombstone),
		vms:        make(map[string]VM),
		lastTick:   now,
	}
}

// Heartbeat records an agent's report and reports whether it was newer than all earlier
// ones. Reports of an older incarnation or connection are ignored.
func (v *View) Heartbeat(now time.Time, report Report) bool {
	name := report.State.GetTarget()
	if name == "" || report.State.GetIncarnation() < v.tombstones[name].incarnation {
		return false
	}
	old := v.members[name]
	if old != nil && !newer(report, old.report) {
		return false
	}
	delete(v.tombstones, name)
	m := &member{report: report, lastHeartbeat: now, target: targetOf(report.State, now)}
	_, m.listed = v.vms[report.State.GetVm()]
	if old != nil && old.report.State.GetVm() == report.State.GetVm() {
		m.listed = m.listed || old.listed
	}
	v.members[name] = m
	return true
}

func newer(a, b Report) bool {
	if a.State.GetIncarnation() != b.State.GetIncarnation() {
		return a.State.GetIncarnation() > b.State.GetIncarnation()
	}
	if a.Stream != b.Stream {
		return a.Stream > b.Stream
	}
	return a.State.GetSequence() > b.State.GetSequence()
}

// SetVMs replaces the VM list.
func (v *View) SetVMs(vms []VM) {
	v.haveVMs = true
	v.vms = make(map[string]VM, len(vms))
	for _, vm := range vms {
		v.vms[vm.ID] = vm
	}
	for _, m := range v.members {
		if _, ok := v.vms[m.report.State.GetVm()]; ok {
			m.listed = true
		}
	}
}

// SetRetired replaces the set of VMs that the operator configuration retires.
func (v *View) SetRetired(vms []string) { v.retired = toSet(vms) }

// SetDrained replaces the set of VMs that operators drain.
func (v *View) SetDrained(vms []string) { v.drained = toSet(vms) }

func toSet(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// Tick removes targets whose heartbeats have been missing for too long. After a late tick
// the heartbeats may be missing because this process was paused, so all targets get a new
// grace period. It returns the sorted names of the removed targets and whether the tick
// was late.
func (v *View) Tick(now time.Time) (removed []string, late bool) {
	late = now.Sub(v.lastTick) > MaxTickGap
	v.lastTick = now
	for name, m := range v.members {
		if late {
			m.lastHeartbeat = now
		}
		if v.shouldRemove(m, now.Sub(m.lastHeartbeat)) {
			removed = append(removed, name)
			v.tombstones[name] = tombstone{incarnation: m.report.State.GetIncarnation(), at: now}
			delete(v.members, name)
		}
	}
	for name, t := range v.tombstones {
		if now.Sub(t.at) > tombstoneTTL {
			delete(v.tombstones, name)
		}
	}
	sort.Strings(removed)
	return removed, late
}

func (v *View) shouldRemove(m *member, sinceHeartbeat time.Duration) bool {
	if sinceHeartbeat >= RemoveAfter {
		return true
	}
	_, present := v.vms[m.report.State.GetVm()]
	unlisted := v.haveVMs && m.listed && !present
	return unlisted && sinceHeartbeat >= SuspectAfter
}

// State returns the latest report of a target, or nil.
func (v *View) State(target string) *wire.AgentState {
	if m := v.members[target]; m != nil {
		return m.report.State
	}
	return nil
}

// States returns the latest report of each target, sorted by name.
func (v *View) States() []*wire.AgentState {
	states := make([]*wire.AgentState, 0, len(v.members))
	for _, m := range v.members {
		states = append(states, m.report.State)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].GetTarget() < states[j].GetTarget() })
	return states
}

// Snapshot returns the targets as of now, sorted by name. Between a pause of this process
// and the next Tick no further target becomes suspected.
func (v *View) Snapshot(now time.Time) *Snapshot {
	reference := now
	if now.Sub(v.lastTick) > MaxTickGap {
		reference = v.lastTick
	}
	s := &Snapshot{At: now, Targets: make([]Target, 0, len(v.members))}
	for _, m := range v.members {
		target := m.target
		target.Suspected = reference.Sub(m.lastHeartbeat) >= SuspectAfter
		target.Leaving = target.Leaving || v.leaving(target.VM)
		s.Targets = append(s.Targets, target)
	}
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].Name < s.Targets[j].Name })
	return s
}

func (v *View) leaving(vm string) bool {
	return v.vms[vm].Leaving || v.retired[vm] || v.drained[vm]
}

func targetOf(state *wire.AgentState, now time.Time) Target {
	kind := KindModel
	if state.GetKind() == wire.TargetKind_TARGET_KIND_APPLICATION {
		kind = KindApplication
	}
	blocks := make(map[uint64]struct{}, len(state.GetCachedBlocks()))
	for _, block := range state.GetCachedBlocks() {
		blocks[block] = struct{}{}
	}
	return Target{
		Name:         state.GetTarget(),
		VM:           state.GetVm(),
		Zone:         state.GetZone(),
		Address:      state.GetAddress(),
		Incarnation:  state.GetIncarnation(),
		Kind:         kind,
		Service:      state.GetService(),
		Versions:     state.GetVersions(),
		Ready:        state.GetReady(),
		Leaving:      state.GetLeaving(),
		Running:      int(state.GetRunning()),
		Waiting:      int(state.GetWaiting()),
		Slots:        int(state.GetSlots()),
		LoadAt:       now.Add(-time.Duration(state.GetLoadAgeMs()) * time.Millisecond),
		CachedBlocks: blocks,
	}
}
