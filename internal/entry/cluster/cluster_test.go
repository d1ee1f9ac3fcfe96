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

// waitUntil waits for a condition. It has no deadline of its own, so that no test fails on a
// slow machine; the timeout of go test ends the wait for a condition that never holds.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

// testServer is a gRPC server on the loopback interface that a test can stop.
type testServer struct {
	address string
	stop    func()
}

func serve(t *testing.T, listener net.Listener, register func(*grpc.Server), run func(context.Context)) *testServer {
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
	return &testServer{address: listener.Addr().String(), stop: stop}
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

type testEntry struct {
	*Manager
	*testServer
	operator wire.OperatorClient
}

func startEntry(t *testing.T, name string, table platform.Table, vms platform.VMList, seeds ...settings.Seed) *testEntry {
	return startEntryWithDelegates(t, name, nil, table, vms, seeds...)
}

func startEntryWithDelegates(t *testing.T, name string, delegates []Delegate, table platform.Table, vms platform.VMList, seeds ...settings.Seed) *testEntry {
	listener := listen(t)
	manager := New(Options{
		Settings:    settings.Entry{Name: name, Zone: "a", PeerListen: listener.Addr().String(), Seeds: seeds},
		Incarnation: uint64(time.Now().UnixNano()),
		Table:       table,
		VMs:         vms,
		Delegates:   delegates,
		Logger:      zerolog.New(io.Discard),
		Registerer:  obs.NewRegistry(),
		Readiness:   obs.NewReadiness("starting"),
	})
	server := serve(t, listener, manager.RegisterServers, func(ctx context.Context) { _ = manager.Run(ctx) })
	conn, err := rpc.Dial(server.address)
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &testEntry{Manager: manager, testServer: server, operator: wire.NewOperatorClient(conn)}
}

func peer(e *testEntry) settings.Seed { return settings.Seed{Address: e.address, Role: "entry"} }

// fakeAgent serves Watch. It acknowledges the configurations that it receives and sets its
// leaving flag if leaving_vms contains its VM.
type fakeAgent struct {
	wire.UnimplementedAgentServer
	mu       sync.Mutex
	state    *wire.AgentState
	received *wire.EntryState
}

func startAgent(t *testing.T, name string) (*fakeAgent, *testServer) {
	listener := listen(t)
	agent := &fakeAgent{state: &wire.AgentState{
		Target: name, Vm: "vm-" + name, Zone: "a", Address: listener.Addr().String(), Incarnation: 1, Service: "chat",
		Kind: wire.TargetKind_TARGET_KIND_MODEL, Versions: []string{"v1"}, Ready: true, Slots: 4,
	}}
	server := serve(t, listener, func(s *grpc.Server) { wire.RegisterAgentServer(s, agent) }, func(context.Context) {})
	return agent, server
}

func (a *fakeAgent) Watch(stream grpc.BidiStreamingServer[wire.EntryState, wire.AgentState]) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(a.reply(message)); err != nil {
			return err
		}
	}
}

func (a *fakeAgent) reply(message *wire.EntryState) *wire.AgentState {
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

func (a *fakeAgent) matches(f func(*wire.EntryState) bool) bool {
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

func responseCode(r interface{ GetCode() uint32 }) result.Code { return result.Code(r.GetCode()) }

// Guards against two concurrent changes based on the same revision that are both accepted.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	first := startEntry(t, "e1", table, nil)
	second := startEntry(t, "e2", table, nil, peer(first))
	base := apply(t, first, "base", configText, 0)
	c.Assert(responseCode(base), qt.Equals, result.OK)
	// The second operator's write happens between the first operator's read and write.
	var inner *wire.ApplyResponse
	table.BeforeWrite(func() { inner = apply(t, second, "b", "note = \"b\"\n"+configText, base.Revision) })
	outer := apply(t, first, "a", "note = \"a\"\n"+configText, base.Revision)
	c.Assert(responseCode(inner), qt.Equals, result.OK)
	c.Assert(responseCode(outer), qt.Equals, result.Conflict)
	c.Assert(outer.Winner, qt.Equals, "op-b (change b)")
	for _, e := range []*testEntry{first, second} {
		waitUntil(func() bool { return e.Config() != nil && e.Config().Revision == inner.Revision })
		c.Assert(e.Config().Config.Note, qt.Equals, "b")
	}
}

// Guards against a committed change that is reported as failed, a lost one that is reported
// as accepted, and a repeated one that is applied twice.
func TestLostResponsesAreReadBack(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	e := startEntry(t, "e1", table, nil)
	table.DropResponses(1)
	one := apply(t, e, "1", configText, 0)
	c.Assert(responseCode(one), qt.Equals, result.OK)
	table.DropWrites(2)
	two := apply(t, e, "2", "note = \"2\"\n"+configText, one.Revision)
	c.Assert(responseCode(two), qt.Equals, result.OK)
	table.DropWrites(applyAttempts)
	lost := apply(t, e, "lost", "note = \"lost\"\n"+configText, two.Revision)
	c.Assert(responseCode(lost), qt.Equals, result.OutcomeUnknown)
	three := apply(t, e, "3", configText, two.Revision)
	c.Assert(responseCode(three), qt.Equals, result.OK)
	// The operators repeat a change that has been replaced since and one that never took effect.
	again := apply(t, e, "1", configText, 0)
	c.Assert(responseCode(again), qt.Equals, result.OK)
	c.Assert(again.Revision, qt.Equals, one.Revision)
	c.Assert(responseCode(apply(t, e, "lost", "note = \"lost\"\n"+configText, two.Revision)), qt.Equals, result.Conflict)
	c.Assert(e.Config().Revision, qt.Equals, three.Revision)
}

// Guards against an entry that cannot start while the table service is down although a peer
// has the configuration, and against one that becomes ready without a configuration.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	old := startEntry(t, "e1", table, nil)
	accepted := apply(t, old, "1", configText, 0)
	old.Withdraw("chat", "v2", "slow")
	table.SetDown(true)
	started := startEntry(t, "e2", table, nil, peer(old))
	waitUntil(func() bool { return started.Config() != nil && started.Withdrawn("chat", "v2") })
	c.Assert(started.Config().Revision, qt.Equals, accepted.Revision)
	c.Assert(started.Config().Operator, qt.Equals, "op-1")
	waitUntil(func() bool { return started.options.Readiness.Reason() == "" })
	refused := apply(t, started, "2", configText, accepted.Revision)
	c.Assert(responseCode(refused), qt.Equals, result.StoreUnavailable)
	c.Assert(result.StoreUnavailable.Class(), qt.Equals, result.ClassNotRun)

	isolated := startEntry(t, "e3", table, nil)
	status, err := isolated.operator.Status(context.Background(), &wire.StatusRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(status.StoreReachable, qt.IsFalse)
	c.Assert(isolated.Config(), qt.IsNil)
	c.Assert(isolated.options.Readiness.Reason(), qt.Matches, "no operator configuration adopted.*")
	table.SetDown(false)
	waitUntil(func() bool { return isolated.options.Readiness.Reason() == "" })
	isolated.SetLeaving()
	c.Assert(isolated.options.Readiness.Reason(), qt.Equals, "leaving")
}

// Guards against an entry that returns to a lower revision because of a peer or the table,
// and against an invalid text that changes the configuration.
func TestRevisionNeverDecreases(t *testing.T) {
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
	// A table that was restored from a backup has lower revisions.
	restored := startEntry(t, "e2", platformtest.NewTable(), nil, peer(e))
	waitUntil(func() bool { return restored.Config() != nil && len(e.Nodes()) == 2 })
	c.Assert(responseCode(apply(t, restored, "3", configText, 0)), qt.Equals, result.StoreUnavailable)
	c.Assert(restored.Config().Revision, qt.Equals, second.Revision)
	c.Assert(e.Config().Config.Note, qt.Equals, "2")
}

// Guards against new work for an agent that reports itself as leaving while the VM list still
// shows it as live, and against a drain that does not reach the agents and all entries.
func TestLeavingAgentsGetNoNewWork(t *testing.T) {
	c := qt.New(t)
	table, vms := platformtest.NewTable(), &platformtest.VMs{}
	leaving, _ := startAgent(t, "t1")
	other, otherServer := startAgent(t, "t2")
	vms.Set(vmOf(leaving), vmOf(other))
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
	waitUsable := func(name string, want bool) {
		waitUntil(func() bool { return usable(first, name) == want && usable(second, name) == want })
	}
	waitUsable("t1", true)
	waitUsable("t2", true)
	leaving.mu.Lock()
	leaving.state.Leaving = true
	leaving.mu.Unlock()
	waitUsable("t1", false)
	drain := func(vm string, undo bool) result.Code {
		response, err := first.operator.Drain(context.Background(), &wire.DrainRequest{Vm: vm, Undo: undo})
		c.Assert(err, qt.IsNil)
		return responseCode(response)
	}
	c.Assert(drain("vm-none", false), qt.Equals, result.UnknownVM)
	table.DropResponses(1)
	c.Assert(drain("vm-t2", false), qt.Equals, result.OK)
	waitUsable("t2", false)
	waitUntil(func() bool { other.mu.Lock(); defer other.mu.Unlock(); return other.state.Leaving })
	// An entry that starts while the table service is down receives the drain from a peer.
	table.SetDown(true)
	late := startEntry(t, "e3", table, vms, peer(first))
	waitUntil(func() bool {
		var drained []string
		_ = late.do(context.Background(), func(s *state) { drained = s.drained })
		return len(drained) == 1
	})
	c.Assert(drain("vm-t1", false), qt.Equals, result.OutcomeUnknown)
	table.SetDown(false)
	c.Assert(drain("vm-t2", true), qt.Equals, result.OK)
	waitUntil(func() bool { return other.matches(func(s *wire.EntryState) bool { return len(s.LeavingVms) == 0 }) })
	otherServer.stop()
	vms.Set(vmOf(leaving))
	waitUntil(func() bool { return len(first.Snapshot().Targets) == 1 })
}

// Guards against a change that is reported as in force although a live node has not
// acknowledged it, and against a withdrawal that waits for the table service.
func TestAcknowledgementsAndWithdrawals(t *testing.T) {
	c := qt.New(t)
	table, vms := platformtest.NewTable(), &platformtest.VMs{}
	agent, _ := startAgent(t, "t1")
	unreachable := platform.VM{ID: "vm-silent", Address: listen(t).Addr().String(), Role: "agent", State: platform.VMLive}
	vms.Set(vmOf(agent), unreachable)
	first := startEntry(t, "e1", table, vms)
	second := startEntry(t, "e2", table, vms, peer(first))
	third := startEntry(t, "e3", table, vms, peer(first))
	accepted := apply(t, first, "1", configText, 0)
	status := func() *wire.StatusResponse {
		response, err := third.operator.Status(context.Background(), &wire.StatusRequest{})
		c.Assert(err, qt.IsNil)
		return response
	}
	waitUntil(func() bool {
		s := status()
		return s.ConfigRevision == accepted.Revision && len(s.Nodes) == 4 && len(s.Missing) == 1
	})
	c.Assert(status().Missing, qt.DeepEquals, []string{"vm/vm-silent"})
	c.Assert(status().ConfigOperator, qt.Equals, "op-1")

	table.SetDown(true)
	withdraw := func(version string) result.Code {
		response, err := first.operator.VersionWithdraw(context.Background(), &wire.VersionWithdrawRequest{Service: "chat", Version: version, Operator: "op"})
		c.Assert(err, qt.IsNil)
		return responseCode(response)
	}
	c.Assert(withdraw("v9"), qt.Equals, result.UnknownVersion)
	c.Assert(withdraw("v2"), qt.Equals, result.OK)
	waitUntil(func() bool { return second.Withdrawn("chat", "v2") && third.Withdrawn("chat", "v2") })
	waitUntil(func() bool { return agent.matches(func(s *wire.EntryState) bool { return len(s.Withdrawn) == 1 }) })
	table.SetDown(false)
	waitUntil(func() bool {
		row, err := table.Get(context.Background(), "withdrawn/chat/v2")
		return err == nil && row.Revision > 0
	})
	start := func(version string) result.Code {
		response, err := second.operator.VersionStart(context.Background(), &wire.VersionStartRequest{
			Service: "chat", Version: version, DeadlineUnixMs: time.Now().Add(time.Hour).UnixMilli(), Operator: "op",
		})
		c.Assert(err, qt.IsNil)
		return responseCode(response)
	}
	c.Assert(start("v2"), qt.Equals, result.VersionUnavailable)
	c.Assert(start("v9"), qt.Equals, result.UnknownVersion)
	c.Assert(start("v1"), qt.Equals, result.OK)
	c.Assert(second.Config().Config.Service("chat").Version("v1").Deadline.IsZero(), qt.IsFalse)

	// A restarted agent is sent the fencing token that its previous incarnation reported.
	setFence := func(incarnation, fence uint64) {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		agent.state.Incarnation, agent.state.HighestFence = incarnation, fence
		agent.received = nil
	}
	fenceSent := func() bool { return agent.matches(func(s *wire.EntryState) bool { return s.GetHighestFence() == 7 }) }
	setFence(1, 7)
	waitUntil(fenceSent)
	// The third message after the restart is certain to be built from the new report.
	for range 3 {
		setFence(2, 0)
		waitUntil(func() bool { return agent.matches(func(*wire.EntryState) bool { return true }) })
	}
	// The entry sends no token until it has read the table after the restart.
	waitUntil(fenceSent)
	c.Assert(agent.matches(func(s *wire.EntryState) bool { return s.HighestFence != nil && s.GetHighestFence() < 7 }), qt.IsFalse)
}

// Guards against a fencing token that is sent to a restarted agent before the table was read
// after its start, here with the table down and a restarted entry.
func TestFenceIsSentOnlyAfterTableRead(t *testing.T) {
	c := qt.New(t)
	table, vms := platformtest.NewTable(), &platformtest.VMs{}
	_, err := table.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: rollout.FenceKey("chat"), Value: rollout.EncodeFence(9)}}})
	c.Assert(err, qt.IsNil)
	agent, _ := startAgent(t, "t1")
	vms.Set(vmOf(agent))
	table.SetDown(true)
	startEntry(t, "e1", table, vms)
	waitForMessage := func(accept func(*wire.EntryState) bool) {
		for seen := uint64(0); ; {
			agent.mu.Lock()
			state, sequence := agent.received, agent.received.GetSequence()
			agent.mu.Unlock()
			if sequence > seen {
				seen = sequence
				if accept(state) {
					return
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	n := 0
	waitForMessage(func(s *wire.EntryState) bool {
		c.Assert(s.HighestFence, qt.IsNil)
		n++
		return n == 4
	})
	table.SetDown(false)
	waitForMessage(func(s *wire.EntryState) bool { return s.HighestFence != nil && s.GetHighestFence() == 9 })
}

// Guards against a relayed acknowledgement of an old incarnation that counts for the new one.
func TestRelayedAcknowledgementOfOldIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newState(New(Options{Settings: settings.Entry{Name: "self", PeerListen: "127.0.0.1:1"}}), context.Background(), time.Now())
	node := Node{Name: "entry/x", Address: "127.0.0.1:2", Role: roleEntry, Incarnation: 2, Revision: 0}
	s.observeEntry(node, 10, true)
	node.Incarnation, node.Revision = 1, 9
	s.observeEntry(node, 99, false)
	c.Assert(s.unacknowledged(9), qt.DeepEquals, []string{"entry/self", "entry/x"})
	c.Assert(s.entries["entry/x"].clock, qt.Equals, int64(10))
}

// Guards against an agent that corrects its weights by its own usage, and against a
// configuration text that is sent again to an agent that has it.
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

// recordingDelegate is a Delegate that records the last sequence number merged per origin.
type recordingDelegate struct {
	mu     sync.Mutex
	merged map[string]uint64
}

func (d *recordingDelegate) Contribute(message *wire.PeerState) {
	message.Use = append(message.Use, &wire.OriginUse{Origin: message.Entry, Sequence: 7})
}

func (d *recordingDelegate) Merge(message *wire.PeerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, use := range message.Use {
		d.merged[use.Origin] = use.Sequence
	}
}

// passivePeer responds to exchanges and starts none.
type passivePeer struct {
	wire.UnimplementedPeerServer
	delegate *recordingDelegate
}

func (p *passivePeer) Exchange(_ context.Context, message *wire.PeerState) (*wire.PeerState, error) {
	p.delegate.Merge(message)
	response := &wire.PeerState{Entry: "passive"}
	p.delegate.Contribute(response)
	return response, nil
}

// Guards against delegates that are left out of the request, the response, or the merge of
// either.
func TestDelegatesExchangeInBothDirections(t *testing.T) {
	c := qt.New(t)
	own, other := &recordingDelegate{merged: make(map[string]uint64)}, &recordingDelegate{merged: make(map[string]uint64)}
	server := serve(t, listen(t), func(s *grpc.Server) { wire.RegisterPeerServer(s, &passivePeer{delegate: other}) }, func(context.Context) {})
	e := startEntryWithDelegates(t, "e1", []Delegate{own}, nil, nil, settings.Seed{Address: server.address, Role: "entry"})
	hasMerged := func(d *recordingDelegate, origin string) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.merged[origin] == 7
	}
	waitUntil(func() bool { return hasMerged(other, "e1") && hasMerged(own, "passive") })
	conn, err := e.Conn(e.address)
	c.Assert(err, qt.IsNil)
	request := &wire.PeerState{Entry: "caller"}
	other.Contribute(request)
	response, err := wire.NewPeerClient(conn).Exchange(context.Background(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(hasMerged(own, "caller"), qt.IsTrue)
	c.Assert(response.Use, qt.HasLen, 1)
}
