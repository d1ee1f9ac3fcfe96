package cluster

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/obs"
	"bramleygap/internal/platform"
	"bramleygap/internal/platform/platformtest"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const configText = `
[[member]]
name = "m"
share = 100
[[service]]
name = "chat"
kind = "model"
model = "large"
[[service.version]]
name = "v1"
share = 100
[[service.version]]
name = "v2"
`

// until waits for a condition. It has no deadline of its own, so that a slow machine
// fails no test; go test's timeout ends a condition that never holds.
func until(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

// process is a gRPC server on loopback that a test can stop.
type process struct {
	address string
	stop    func()
}

func serve(t *testing.T, listener net.Listener, register func(*grpc.Server), run func(context.Context)) *process {
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer()
	register(server)
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(listener) })
	tasks.Go(func() { run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		server.Stop()
		tasks.Wait()
	})
	t.Cleanup(stop)
	return &process{address: listener.Addr().String(), stop: stop}
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

type testEntry struct {
	*Manager
	*process
	operator wire.OperatorClient
}

func startEntry(t *testing.T, name string, table platform.Table, vms platform.VMList, seeds ...settings.Seed) *testEntry {
	return startEntryWith(t, name, nil, table, vms, seeds...)
}

func startEntryWith(t *testing.T, name string, parts []Delegate, table platform.Table, vms platform.VMList, seeds ...settings.Seed) *testEntry {
	listener := listen(t)
	manager := New(Options{
		Settings:    settings.Entry{Name: name, Zone: "a", PeerListen: listener.Addr().String(), Seeds: seeds},
		Incarnation: uint64(time.Now().UnixNano()),
		Table:       table,
		VMs:         vms,
		Delegates:   parts,
		Logger:      zerolog.New(io.Discard),
		Registerer:  obs.NewRegistry(),
		Readiness:   obs.NewReadiness("starting"),
	})
	p := serve(t, listener, manager.RegisterServers, func(ctx context.Context) { _ = manager.Run(ctx) })
	conn, err := rpc.Dial(p.address)
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &testEntry{Manager: manager, process: p, operator: wire.NewOperatorClient(conn)}
}

func peer(e *testEntry) settings.Seed { return settings.Seed{Address: e.address, Role: "entry"} }

// fakeAgent serves Watch: it adopts what it is sent and follows leaving_vms.
type fakeAgent struct {
	wire.UnimplementedAgentServer
	mu       sync.Mutex
	state    *wire.AgentState
	received *wire.EntryState
}

func startAgent(t *testing.T, name string) (*fakeAgent, *process) {
	listener := listen(t)
	agent := &fakeAgent{state: &wire.AgentState{
		Target: name, Vm: "vm-" + name, Zone: "a", Address: listener.Addr().String(), Incarnation: 1, Service: "chat",
		Kind: wire.TargetKind_TARGET_KIND_MODEL, Versions: []string{"v1"}, Ready: true, Slots: 4,
	}}
	p := serve(t, listener, func(s *grpc.Server) { wire.RegisterAgentServer(s, agent) }, func(context.Context) {})
	return agent, p
}

func (a *fakeAgent) Watch(stream grpc.BidiStreamingServer[wire.EntryState, wire.AgentState]) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(a.answer(message)); err != nil {
			return err
		}
	}
}

func (a *fakeAgent) answer(message *wire.EntryState) *wire.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received = message
	a.state.Sequence++
	if message.GetConfigText() != "" {
		a.state.ConfigRevision = max(a.state.ConfigRevision, message.GetConfigRevision())
	}
	for _, vm := range message.GetLeavingVms() {
		a.state.Leaving = a.state.Leaving || vm == a.state.Vm
	}
	return &wire.AgentState{
		Target: a.state.Target, Vm: a.state.Vm, Zone: a.state.Zone, Address: a.state.Address, Incarnation: a.state.Incarnation,
		Sequence: a.state.Sequence, Kind: a.state.Kind, Service: a.state.Service, Versions: a.state.Versions, Ready: true,
		Leaving: a.state.Leaving, Slots: a.state.Slots, ConfigRevision: a.state.ConfigRevision, HighestFence: a.state.HighestFence,
	}
}

func (a *fakeAgent) seen(f func(*wire.EntryState) bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received != nil && f(a.received)
}

func vmOf(a *fakeAgent) platform.VM {
	return platform.VM{ID: a.state.Vm, Address: a.state.Address, Role: "agent", State: platform.VMLive}
}

func apply(t *testing.T, e *testEntry, id, text string, base uint64) *wire.ApplyResponse {
	response, err := e.operator.Apply(context.Background(), &wire.ApplyRequest{ChangeId: id, Operator: "op-" + id, Text: text, BaseRevision: base})
	qt.New(t).Assert(err, qt.IsNil)
	return response
}

func codeIn(r interface{ GetCode() uint32 }) result.Code { return result.Code(r.GetCode()) }

// Guards against two operators who both believe that their change is in force.
func TestRacingOperatorsGetOneWinner(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	first := startEntry(t, "e1", table, nil)
	second := startEntry(t, "e2", table, nil, peer(first))
	base := apply(t, first, "base", configText, 0)
	c.Assert(codeIn(base), qt.Equals, result.OK)
	// The second operator's write lands between the first one's read and write.
	var inner *wire.ApplyResponse
	table.BeforeWrite(func() { inner = apply(t, second, "b", "note = \"b\"\n"+configText, base.Revision) })
	outer := apply(t, first, "a", "note = \"a\"\n"+configText, base.Revision)
	c.Assert(codeIn(inner), qt.Equals, result.OK)
	c.Assert(codeIn(outer), qt.Equals, result.Conflict)
	c.Assert(outer.Winner, qt.Equals, "op-b (change b)")
	for _, e := range []*testEntry{first, second} {
		until(func() bool { return e.Config() != nil && e.Config().Revision == inner.Revision })
		c.Assert(e.Config().Config.Note, qt.Equals, "b")
	}
}

// Guards against an accepted change that is reported as lost, a lost one that is
// reported as accepted, and a repeated one that runs twice.
func TestLostAnswersAreReadBack(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	e := startEntry(t, "e1", table, nil)
	table.DropAnswers(1)
	one := apply(t, e, "1", configText, 0)
	c.Assert(codeIn(one), qt.Equals, result.OK)
	table.DropWrites(2)
	two := apply(t, e, "2", "note = \"2\"\n"+configText, one.Revision)
	c.Assert(codeIn(two), qt.Equals, result.OK)
	table.DropWrites(applyAttempts)
	lost := apply(t, e, "lost", "note = \"lost\"\n"+configText, two.Revision)
	c.Assert(codeIn(lost), qt.Equals, result.OutcomeUnknown)
	three := apply(t, e, "3", configText, two.Revision)
	c.Assert(codeIn(three), qt.Equals, result.OK)
	// The operators repeat changes that have been replaced since, and one that never took effect.
	again := apply(t, e, "1", configText, 0)
	c.Assert(codeIn(again), qt.Equals, result.OK)
	c.Assert(again.Revision, qt.Equals, one.Revision)
	c.Assert(codeIn(apply(t, e, "lost", "note = \"lost\"\n"+configText, two.Revision)), qt.Equals, result.Conflict)
	c.Assert(e.Config().Revision, qt.Equals, three.Revision)
}

// Guards against an entry that cannot start while the store is down although a peer
// has the configuration, and against one that serves without any configuration.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	old := startEntry(t, "e1", table, nil)
	accepted := apply(t, old, "1", configText, 0)
	old.Withdraw("chat", "v2", "slow")
	table.SetDown(true)
	fresh := startEntry(t, "e2", table, nil, peer(old))
	until(func() bool { return fresh.Config() != nil && fresh.Withdrawn("chat", "v2") })
	c.Assert(fresh.Config().Revision, qt.Equals, accepted.Revision)
	c.Assert(fresh.Config().Operator, qt.Equals, "op-1")
	until(func() bool { return fresh.options.Readiness.Reason() == "" })
	refused := apply(t, fresh, "2", configText, accepted.Revision)
	c.Assert(codeIn(refused), qt.Equals, result.StoreUnavailable)
	c.Assert(result.StoreUnavailable.Class(), qt.Equals, result.ClassNotRun)

	alone := startEntry(t, "e3", table, nil)
	status, err := alone.operator.Status(context.Background(), &wire.StatusRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(status.StoreReachable, qt.IsFalse)
	c.Assert(alone.Config(), qt.IsNil)
	c.Assert(alone.options.Readiness.Reason(), qt.Matches, "no operator configuration adopted.*")
	table.SetDown(false)
	until(func() bool { return alone.options.Readiness.Reason() == "" })
	alone.SetLeaving()
	c.Assert(alone.options.Readiness.Reason(), qt.Equals, "leaving")
}

// Guards I9: neither a peer nor the table can take an entry back to a lower
// revision, and an invalid text changes nothing.
func TestRevisionNeverReverts(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	e := startEntry(t, "e1", table, nil)
	first := apply(t, e, "1", configText, 0)
	second := apply(t, e, "2", "note = \"2\"\n"+configText, first.Revision)
	conn, err := e.Conn(e.address)
	c.Assert(err, qt.IsNil)
	for _, offer := range []*wire.PeerState{
		{Entry: "old", Address: "127.0.0.1:1", Incarnation: 1, ConfigRevision: first.Revision, ConfigText: configText},
		{Entry: "bad", Address: "127.0.0.1:1", Incarnation: 1, ConfigRevision: second.Revision + 10, ConfigText: "service = 1"},
	} {
		_, err = wire.NewPeerClient(conn).Exchange(context.Background(), offer)
		c.Assert(err, qt.IsNil)
		c.Assert(e.Config().Revision, qt.Equals, second.Revision)
	}
	// A store restored from a backup shows lower revisions.
	restored := startEntry(t, "e2", platformtest.NewTable(), nil, peer(e))
	until(func() bool { return restored.Config() != nil && len(e.Nodes()) == 2 })
	c.Assert(codeIn(apply(t, restored, "3", configText, 0)), qt.Equals, result.StoreUnavailable)
	c.Assert(restored.Config().Revision, qt.Equals, second.Revision)
	c.Assert(e.Config().Config.Note, qt.Equals, "2")
}

// Guards I7: an agent that reports itself as leaving gets no new work although the
// VM list still shows it as live, and a drain reaches agents and all entries.
func TestLeavingAgentsGetNoNewWork(t *testing.T) {
	c := qt.New(t)
	table, vms := platformtest.NewTable(), &platformtest.VMs{}
	stale, _ := startAgent(t, "t1")
	other, otherProcess := startAgent(t, "t2")
	vms.Set(vmOf(stale), vmOf(other))
	first := startEntry(t, "e1", table, vms)
	second := startEntry(t, "e2", table, vms, peer(first))
	apply(t, first, "1", configText, 0)
	usable := func(e *testEntry, name string) bool {
		for _, target := range e.Snapshot().Targets {
			if target.Name == name {
				return target.Usable()
			}
		}
		return false
	}
	both := func(name string, want bool) {
		until(func() bool { return usable(first, name) == want && usable(second, name) == want })
	}
	both("t1", true)
	both("t2", true)
	stale.mu.Lock()
	stale.state.Leaving = true
	stale.mu.Unlock()
	both("t1", false)
	drain := func(vm string, undo bool) result.Code {
		response, err := first.operator.Drain(context.Background(), &wire.DrainRequest{Vm: vm, Undo: undo})
		c.Assert(err, qt.IsNil)
		return codeIn(response)
	}
	c.Assert(drain("vm-none", false), qt.Equals, result.UnknownVM)
	table.DropAnswers(1)
	c.Assert(drain("vm-t2", false), qt.Equals, result.OK)
	both("t2", false)
	until(func() bool { other.mu.Lock(); defer other.mu.Unlock(); return other.state.Leaving })
	// An entry that starts in an outage learns the drain from a peer.
	table.SetDown(true)
	late := startEntry(t, "e3", table, vms, peer(first))
	until(func() bool {
		var drained []string
		_ = late.do(context.Background(), func(s *state) { drained = s.drained })
		return len(drained) == 1
	})
	c.Assert(drain("vm-t1", false), qt.Equals, result.OutcomeUnknown)
	table.SetDown(false)
	c.Assert(drain("vm-t2", true), qt.Equals, result.OK)
	until(func() bool { return other.seen(func(s *wire.EntryState) bool { return len(s.LeavingVms) == 0 }) })
	otherProcess.stop()
	vms.Set(vmOf(stale))
	until(func() bool { return len(first.Snapshot().Targets) == 1 })
}

// Guards against a change that is reported as in force although a live node has
// not acknowledged it, and against a withdrawal that waits for the store.
func TestAcknowledgementsAndWithdrawals(t *testing.T) {
	c := qt.New(t)
	table, vms := platformtest.NewTable(), &platformtest.VMs{}
	agent, _ := startAgent(t, "t1")
	silent := platform.VM{ID: "vm-silent", Address: listen(t).Addr().String(), Role: "agent", State: platform.VMLive}
	vms.Set(vmOf(agent), silent)
	first := startEntry(t, "e1", table, vms)
	second := startEntry(t, "e2", table, vms, peer(first))
	third := startEntry(t, "e3", table, vms, peer(first))
	accepted := apply(t, first, "1", configText, 0)
	status := func() *wire.StatusResponse {
		response, err := third.operator.Status(context.Background(), &wire.StatusRequest{})
		c.Assert(err, qt.IsNil)
		return response
	}
	until(func() bool {
		s := status()
		return s.ConfigRevision == accepted.Revision && len(s.Nodes) == 4 && len(s.Missing) == 1
	})
	c.Assert(status().Missing, qt.DeepEquals, []string{"vm/vm-silent"})
	c.Assert(status().ConfigOperator, qt.Equals, "op-1")

	table.SetDown(true)
	withdraw := func(version string) result.Code {
		response, err := first.operator.VersionWithdraw(context.Background(), &wire.VersionWithdrawRequest{Service: "chat", Version: version, Operator: "op"})
		c.Assert(err, qt.IsNil)
		return codeIn(response)
	}
	c.Assert(withdraw("v9"), qt.Equals, result.UnknownVersion)
	c.Assert(withdraw("v2"), qt.Equals, result.OK)
	until(func() bool { return second.Withdrawn("chat", "v2") && third.Withdrawn("chat", "v2") })
	until(func() bool { return agent.seen(func(s *wire.EntryState) bool { return len(s.Withdrawn) == 1 }) })
	table.SetDown(false)
	until(func() bool {
		row, err := table.Get(context.Background(), "withdrawn/chat/v2")
		return err == nil && row.Revision > 0
	})
	start := func(version string) result.Code {
		response, err := second.operator.VersionStart(context.Background(), &wire.VersionStartRequest{
			Service: "chat", Version: version, DeadlineUnixMs: time.Now().Add(time.Hour).UnixMilli(), Operator: "op",
		})
		c.Assert(err, qt.IsNil)
		return codeIn(response)
	}
	c.Assert(start("v2"), qt.Equals, result.VersionUnavailable)
	c.Assert(start("v9"), qt.Equals, result.UnknownVersion)
	c.Assert(start("v1"), qt.Equals, result.OK)
	c.Assert(second.Config().Config.Service("chat").Version("v1").Deadline.IsZero(), qt.IsFalse)

	// A restarted agent is told the fencing number that its predecessor reported.
	setFence := func(incarnation, fence uint64) {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		agent.state.Incarnation, agent.state.HighestFence = incarnation, fence
		agent.received = nil
	}
	told := func() bool { return agent.seen(func(s *wire.EntryState) bool { return s.GetHighestFence() == 7 }) }
	setFence(1, 7)
	until(told)
	// The third message after the restart was certainly built from the new report.
	for range 3 {
		setFence(2, 0)
		until(func() bool { return agent.seen(func(*wire.EntryState) bool { return true }) })
	}
	// The entry states no number until it has read the table after the restart.
	until(told)
	c.Assert(agent.seen(func(s *wire.EntryState) bool { return s.HighestFence != nil && s.GetHighestFence() < 7 }), qt.IsFalse)
}

// Guards against a fencing number that is stated to a restarted agent before the table
// was read after its start, here with the table down and with a restarted entry.
func TestFenceIsStatedOnceTheTableWasRead(t *testing.T) {
	c := qt.New(t)
	table, vms := platformtest.NewTable(), &platformtest.VMs{}
	_, err := table.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: rollout.FenceKey("chat"), Value: rollout.EncodeFence(9)}}})
	c.Assert(err, qt.IsNil)
	agent, _ := startAgent(t, "t1")
	vms.Set(vmOf(agent))
	table.SetDown(true)
	startEntry(t, "e1", table, vms)
	messages := func(until func(*wire.EntryState) bool) {
		for seen := uint64(0); ; {
			agent.mu.Lock()
			state, sequence := agent.received, agent.received.GetSequence()
			agent.mu.Unlock()
			if sequence > seen {
				seen = sequence
				if until(state) {
					return
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	n := 0
	messages(func(s *wire.EntryState) bool {
		c.Assert(s.HighestFence, qt.IsNil)
		n++
		return n == 4
	})
	table.SetDown(false)
	messages(func(s *wire.EntryState) bool { return s.HighestFence != nil && s.GetHighestFence() == 9 })
}

// Guards against an old process's relayed acknowledgement that counts for the new one.
func TestRelayedAcknowledgementOfOldIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newState(New(Options{Settings: settings.Entry{Name: "self", PeerListen: "127.0.0.1:1"}}), context.Background(), time.Now())
	node := Node{Name: "entry/x", Address: "127.0.0.1:2", Role: roleEntry, Incarnation: 2, Revision: 0}
	s.observeEntry(node, 10, true)
	node.Incarnation, node.Revision = 1, 9
	s.observeEntry(node, 99, false)
	c.Assert(s.missing(9), qt.DeepEquals, []string{"entry/self", "entry/x"})
	c.Assert(s.entries["entry/x"].clock, qt.Equals, int64(10))
}

// Guards against an agent that corrects its weights by its own usage, and against
// the text being sent again to an agent that has it.
func TestEntryStateForAgent(t *testing.T) {
	c := qt.New(t)
	s := newState(New(Options{Settings: settings.Entry{Name: "self", PeerListen: "127.0.0.1:1"}}), context.Background(), time.Now())
	for i, name := range []string{"t1", "t2", "t3"} {
		s.observeAgent(membership.Report{Stream: 1, State: &wire.AgentState{
			Target: name, Incarnation: 1, Sequence: 1, ConfigRevision: uint64(i),
			UseHere: []*wire.MemberUse{{Member: "m", TokensPerSecond: float64(10 * (i + 1))}},
		}})
	}
	s.adopt(adoption.Candidate{Revision: 2, Text: configText})
	message := s.entryState(s.view.State("t1"), false)
	c.Assert(message.UseElsewhere[0].TokensPerSecond, qt.Equals, 50.0)
	c.Assert(message.Agents, qt.HasLen, 3)
	c.Assert(message.ConfigText, qt.Equals, configText)
	c.Assert(s.entryState(s.view.State("t3"), false).ConfigText, qt.Equals, "")
	c.Assert(s.entryState(nil, false).ConfigText, qt.Equals, "")
}

// countingPart is a Part that keeps the highest sequence number it has merged.
type countingPart struct {
	mu     sync.Mutex
	merged map[string]uint64
}

func (p *countingPart) Contribute(message *wire.PeerState) {
	message.Use = append(message.Use, &wire.OriginUse{Origin: message.Entry, Sequence: 7})
}

func (p *countingPart) Merge(message *wire.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, use := range message.Use {
		p.merged[use.Origin] = use.Sequence
	}
}

// passivePeer answers exchanges and starts none.
type passivePeer struct {
	wire.UnimplementedPeerServer
	part *countingPart
}

func (p *passivePeer) Exchange(_ context.Context, message *wire.PeerState) (*wire.PeerState, error) {
	p.part.Merge(message)
	answer := &wire.PeerState{Entry: "passive"}
	p.part.Contribute(answer)
	return answer, nil
}

// Guards against parts that are left out of the request, the answer, or the merge
// of either.
func TestPartsExchangeInBothDirections(t *testing.T) {
	c := qt.New(t)
	own, other := &countingPart{merged: make(map[string]uint64)}, &countingPart{merged: make(map[string]uint64)}
	p := serve(t, listen(t), func(s *grpc.Server) { wire.RegisterPeerServer(s, &passivePeer{part: other}) }, func(context.Context) {})
	e := startEntryWith(t, "e1", []Delegate{own}, nil, nil, settings.Seed{Address: p.address, Role: "entry"})
	holds := func(p *countingPart, origin string) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.merged[origin] == 7
	}
	until(func() bool { return holds(other, "e1") && holds(own, "passive") })
	conn, err := e.Conn(e.address)
	c.Assert(err, qt.IsNil)
	request := &wire.PeerState{Entry: "caller"}
	other.Contribute(request)
	answer, err := wire.NewPeerClient(conn).Exchange(context.Background(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(holds(own, "caller"), qt.IsTrue)
	c.Assert(answer.Use, qt.HasLen, 1)
}
