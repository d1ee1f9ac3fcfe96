package agent

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/standin/engine"
	"bramleygap/internal/wire"
)

// Waits in these tests have no timeout of their own: a condition that never becomes true
// fails the test by the timeout of the test binary.
const (
	pollInterval = 5 * time.Millisecond
	loadInterval = 100 // ms, of the engine stand-in
)

type harness struct {
	c             *qt.C
	engine        *engine.Engine
	address       string
	client        wire.AgentClient
	stop          context.CancelFunc
	stopped       chan struct{}
	engineAddress string
}

func startEngine(c *qt.C, options engine.Options, address string) (*engine.Engine, string) {
	options.Model, options.Versions = "m", []string{"v1", "v2"}
	if options.TokenInterval == 0 {
		options.TokenInterval = 2 * time.Millisecond
	}
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	e := engine.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); _ = e.Serve(ctx, listener) }()
	c.Cleanup(func() { cancel(); <-served })
	return e, listener.Addr().String()
}

func startHarness(c *qt.C, engineOptions engine.Options, change func(*Options)) *harness {
	e, engineAddress := startEngine(c, engineOptions, "127.0.0.1:0")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	options := Options{
		Settings: settings.Agent{Name: "a1", Zone: "z1", TargetURL: "http://" + engineAddress, TargetKind: kindModel, Service: "letters"},
		Logger:   zerolog.Nop(), Listener: listener, Timing: Timing{LeaveDelay: time.Millisecond, HeartbeatInterval: 50 * time.Millisecond},
	}
	if change != nil {
		change(&options)
	}
	h := &harness{c: c, engine: e, address: listener.Addr().String(), stopped: make(chan struct{}), engineAddress: engineAddress}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		defer close(h.stopped)
		c.Check(Run(ctx, options), qt.IsNil)
	}()
	conn, err := rpc.Dial(h.address)
	c.Assert(err, qt.IsNil)
	h.client = wire.NewAgentClient(conn)
	c.Cleanup(func() { stop(); _ = conn.Close(); e.SetFaults(engine.Faults{Crash: true}); <-h.stopped })
	watch := h.watch(&wire.EntryState{Entry: "e1"})
	awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetReady() && s.GetSlots() > 0 })
	_ = watch.CloseSend()
	return h
}

func (h *harness) context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	h.c.Cleanup(cancel)
	return ctx
}

type watchStream = interface {
	Send(*wire.EntryState) error
	Recv() (*wire.AgentState, error)
	CloseSend() error
}

func (h *harness) watch(state *wire.EntryState) watchStream {
	stream, err := h.client.Watch(h.context())
	h.c.Assert(err, qt.IsNil)
	h.c.Assert(stream.Send(state), qt.IsNil)
	return stream
}

func awaitState(c *qt.C, stream watchStream, done func(*wire.AgentState) bool) *wire.AgentState {
	for {
		state, err := stream.Recv()
		c.Assert(err, qt.IsNil)
		if done(state) {
			return state
		}
	}
}

func generationSpec(id string, tokens uint32) *wire.GenerationSpec {
	return &wire.GenerationSpec{
		Generation: id, Service: "letters", Model: "m", Version: "v1", Prompt: "river lanterns " + id,
		Sampling: &wire.Sampling{MaxTokens: tokens, Seed: 7}, Fingerprint: uint64(len(id)) + 100, Member: "otaru",
	}
}

func expectedTokens(s *wire.GenerationSpec) (ids []uint32, texts [][]byte) {
	tokens, _ := engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: s.GetModel(), Version: s.GetVersion(), Prompt: s.GetPrompt(),
		MaxTokens: s.GetSampling().GetMaxTokens(), Seed: s.GetSampling().GetSeed(),
	})
	for _, token := range tokens {
		ids, texts = append(ids, token.ID), append(texts, token.Bytes)
	}
	return ids, texts
}

type eventReceiver interface {
	Recv() (*wire.GenerateEvent, error)
}

func (h *harness) generate(ctx context.Context, request *wire.GenerateRequest) eventReceiver {
	if request.Attempt == 0 {
		request.Attempt = 1
	}
	stream, err := h.client.Generate(ctx, request)
	h.c.Assert(err, qt.IsNil)
	return stream
}

// transcript holds the events that a follower received.
type transcript struct {
	accepted *wire.Accepted
	ids      []uint32
	finished *wire.Finished
	failed   *wire.Failed
}

// read receives events until the final one or, unless limit is negative, until the transcript
// has limit tokens. first is the index of the first token.
func (t *transcript) read(c *qt.C, stream eventReceiver, first uint64, limit int) *transcript {
	for limit < 0 || len(t.ids) < limit {
		event, err := stream.Recv()
		c.Assert(err, qt.IsNil)
		if a := event.GetAccepted(); a != nil {
			t.accepted = a
		}
		if tokens := event.GetTokens(); tokens != nil {
			c.Assert(tokens.GetFirstIndex(), qt.Equals, first+uint64(len(t.ids)))
			t.ids = append(t.ids, tokens.GetIds()...)
		}
		t.finished, t.failed = event.GetFinished(), event.GetFailed()
		if t.finished != nil || t.failed != nil {
			return t
		}
	}
	return t
}

// Guards against lost or repeated tokens when an attempt continues from a prefix of delivered
// tokens (invariant I1).
func TestGenerateContinuesFromPrefix(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, nil)
	s := generationSpec("g1", 60)
	ids, texts := expectedTokens(s)
	got := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{
		Spec: s, Attempt: 2, AttachEpoch: 5, PrefixTokenIds: ids[:21], PrefixBytes: texts[:21], Resume: true,
	}), 21, -1)
	c.Assert(got.ids, qt.DeepEquals, ids[21:])
	c.Assert(got.accepted.GetAttachEpoch(), qt.Equals, uint64(5))
	c.Assert(got.finished.GetTokens(), qt.Equals, uint64(60))
	full := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g1x", 60)}), 0, -1)
	c.Assert(full.finished.GetReason(), qt.Equals, engineapi.FinishLength)
}

// Guards against an attempt that ends with its entry's stream, and against a superseded
// follower that continues to receive tokens or cancels the generation. The engine is slowed
// and then frozen, so that the generation cannot end during the checks.
func TestAttachSupersedesAndContinues(t *testing.T) {
	c := qt.New(t)
	slow := engine.Faults{SlowFactor: map[string]float64{"v1": 20}}
	h := startHarness(c, engine.Options{Faults: slow}, nil)
	s := generationSpec("g2", 400)
	ids, _ := expectedTokens(s)
	ctx, disconnect := context.WithCancel(h.context())
	first := new(transcript).read(c, h.generate(ctx, &wire.GenerateRequest{Spec: s}), 0, 3)
	h.engine.SetFaults(engine.Faults{Freeze: true})
	disconnect()
	attach := func(from uint64) eventReceiver {
		stream, err := h.client.Attach(h.context(), &wire.AttachRequest{
			Generation: "g2", Incarnation: first.accepted.GetIncarnation(), FromIndex: from, Entry: "e2",
		})
		c.Assert(err, qt.IsNil)
		return stream
	}
	secondStream := attach(2)
	second := new(transcript).read(c, secondStream, 2, 1)
	c.Assert(second.accepted.GetPrefixTokenIds(), qt.DeepEquals, ids[:2])
	c.Assert(second.accepted.GetSpec().GetPrompt(), qt.Equals, s.GetPrompt())
	c.Assert(second.accepted.GetAttachEpoch(), qt.Equals, first.accepted.GetAttachEpoch()+1)
	thirdStream := attach(1)
	third := new(transcript).read(c, thirdStream, 1, 1)
	c.Assert(second.read(c, secondStream, 2, -1).failed.GetCode(), qt.Equals, uint32(result.Superseded))
	cancelled, err := h.client.Cancel(h.context(), &wire.CancelRequest{Generation: "g2", Attempt: 1, AttachEpoch: second.accepted.GetAttachEpoch()})
	c.Assert(err, qt.IsNil)
	c.Assert(cancelled.GetCancelled(), qt.IsFalse)
	h.engine.SetFaults(engine.Faults{})
	third.read(c, thirdStream, 1, -1)
	c.Assert(third.ids, qt.DeepEquals, ids[1:])
	c.Assert(third.finished.GetTokens(), qt.Equals, uint64(400))
	otherIncarnation, err := h.client.Attach(h.context(), &wire.AttachRequest{Generation: "g2", Incarnation: first.accepted.GetIncarnation() + 1})
	c.Assert(err, qt.IsNil)
	c.Assert(new(transcript).read(c, otherIncarnation, 0, -1).failed.GetCode(), qt.Equals, uint32(result.ResumeLost))
}

// Guards against an attempt without followers that occupies a slot forever.
func TestOrphanIsCancelled(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, func(o *Options) { o.Timing.OrphanGrace = 20 * time.Millisecond })
	ctx, disconnect := context.WithCancel(h.context())
	new(transcript).read(c, h.generate(ctx, &wire.GenerateRequest{Spec: generationSpec("g3", 1_000_000)}), 0, 3)
	disconnected := time.Now()
	disconnect()
	// An Attach would end the grace period, so the engine's load shows the cancellation.
	for {
		load, err := engineapi.New("http://" + h.engineAddress).Load(h.context())
		c.Assert(err, qt.IsNil)
		if load.Running == 0 && load.MeasuredUnixMS > disconnected.UnixMilli()+2*loadInterval {
			break
		}
		time.Sleep(pollInterval)
	}
	stream, err := h.client.Attach(h.context(), &wire.AttachRequest{Generation: "g3"})
	c.Assert(err, qt.IsNil)
	c.Assert(new(transcript).read(c, stream, 0, -1).failed.GetCode(), qt.Equals, uint32(result.Cancelled))
}

// Guards against an engine crash that is reported late, under a different ID for each
// generation, or without the fingerprints of the running requests.
func TestEngineDeathIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, nil)
	watch := h.watch(&wire.EntryState{Entry: "e1"})
	firstStream := h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g4", 1_000_000)})
	secondStream := h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g4-2", 1_000_000)})
	first, second := new(transcript).read(c, firstStream, 0, 3), new(transcript).read(c, secondStream, 0, 3)
	h.engine.SetFaults(engine.Faults{Crash: true})
	first.read(c, firstStream, 0, -1)
	second.read(c, secondStream, 0, -1)
	c.Assert(first.failed.GetTargetDied(), qt.IsTrue)
	c.Assert(first.failed.GetCode(), qt.Equals, uint32(result.TargetDied))
	c.Assert(first.failed.GetRunningFingerprints(), qt.DeepEquals, []uint64{102, 104})
	c.Assert(second.failed.GetDeathId(), qt.Equals, first.failed.GetDeathId())
	state := awaitState(c, watch, func(s *wire.AgentState) bool { return !s.GetReady() && len(s.GetDeaths()) > 0 })
	c.Assert(state.GetDeaths(), qt.HasLen, 1)
	c.Assert(state.GetDeaths()[0].GetDeathId(), qt.Equals, first.failed.GetDeathId())
	refused := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g5", 5)}), 0, -1)
	c.Assert(refused.failed.GetCode(), qt.Equals, uint32(result.TargetUnreachable))
}

// Guards against a missed death when a new engine process responds to the probe after the
// crash, and against an agent that does not recover with its engine.
func TestEngineReplacementCountsAsDeath(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, nil)
	stream := h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g6-0", 1_000_000)})
	got := new(transcript).read(c, stream, 0, 3)
	watch := h.watch(&wire.EntryState{Entry: "e1"})
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	a.recordHealth(time.Now(), engineapi.Health{Instance: "old"})
	a.recordHealth(time.Now(), engineapi.Health{Instance: "new"})
	c.Assert(a.target.deaths, qt.HasLen, 1)
	c.Assert(a.target.ready(), qt.IsTrue)
	h.engine.SetFaults(engine.Faults{Crash: true})
	c.Assert(got.read(c, stream, 0, -1).failed.GetTargetDied(), qt.IsTrue)
	h.engine, _ = startEngine(c, engine.Options{}, h.engineAddress)
	awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetReady() && len(s.GetDeaths()) == 1 })
	recovered := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g6-1", 5)}), 0, -1)
	c.Assert(recovered.finished, qt.IsNotNil)
}

// Guards against a drained VM that accepts new work (invariant I7), and against a drain that
// ends because of an entry that has not read the drains yet.
func TestDrainedVMRefusesWork(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel, VM: "vm1"}, Logger: zerolog.Nop()}, "x", "y")
	a.applyEntryState(time.Now(), &wire.EntryState{Entry: "e1", LeavingVms: []string{"vm1"}})
	a.applyEntryState(time.Now(), &wire.EntryState{Entry: "e2"})
	c.Assert(a.refusal(&wire.GenerateRequest{Spec: generationSpec("g", 1), Attempt: 1}).Code, qt.Equals, result.UnknownService)
	a.options.Settings.Service = "letters"
	c.Assert(a.refusal(&wire.GenerateRequest{Spec: generationSpec("g", 1), Attempt: 1}).Code, qt.Equals, result.Leaving)
	state, _ := a.nextState(&watcher{agent: a})
	c.Assert(state.GetLeaving(), qt.IsTrue)
	a.applyEntryState(time.Now(), &wire.EntryState{Entry: "e1"})
	state, _ = a.nextState(&watcher{agent: a})
	c.Assert(state.GetLeaving(), qt.IsTrue, qt.Commentf("the restarted entry has not read the drains yet"))
	a.applyEntryState(time.Now(), &wire.EntryState{Entry: "e1", LeavingVmsKnown: true})
	state, _ = a.nextState(&watcher{agent: a})
	c.Assert(state.GetLeaving(), qt.IsFalse)
}

// Guards against a broken stream of a live engine that counts as a death and makes its
// requests suspects.
func TestBrokenStreamDoesNotCountAsDeath(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{Faults: engine.Faults{CutAfter: 4}}, nil)
	got := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g6", 50)}), 0, -1)
	c.Assert(got.failed.GetCode(), qt.Equals, uint32(result.GenerationFailed))
	c.Assert(got.failed.GetTargetDied(), qt.IsFalse)
	c.Assert(got.ids, qt.HasLen, 4)
}

// Guards against a frozen engine that stays ready or counts as dead.
func TestFrozenEngineIsNotReady(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, nil)
	watch := h.watch(&wire.EntryState{Entry: "e1"})
	awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetReady() })
	h.engine.SetFaults(engine.Faults{Freeze: true})
	state := awaitState(c, watch, func(s *wire.AgentState) bool { return !s.GetReady() })
	c.Assert(state.GetDeaths(), qt.HasLen, 0)
	h.engine.SetFaults(engine.Faults{})
	awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetReady() })
}

// Guards against Progress events for an unresponsive engine, which would keep an entry from
// starting a speculative attempt.
func TestNoProgressForUnresponsiveEngine(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	now := time.Now()
	a.target.up, a.target.lastSeen = true, now
	queued := &attempt{queued: true}
	c.Assert(a.progressEvent(now.Add(a.timing.FrozenAfter), queued, 3).GetProgress().GetQueued(), qt.IsTrue)
	c.Assert(a.progressEvent(now.Add(a.timing.FrozenAfter+1), queued, 3) == nil, qt.IsTrue)
}

// Guards against replacing the adopted configuration by a lower revision or an invalid one
// (invariant I9).
func TestAdoptsOnlyHigherRevisions(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	for _, step := range []struct {
		revision uint64
		text     string
		adopted  uint64
	}{
		{8, "note = \"eight\"" + serviceText, 8}, {7, "note = \"seven\"" + serviceText, 8}, {9, "note = ", 8},
		{9, "note = \"no service\"", 8}, {9, "", 8}, {10, "note = \"ten\"" + serviceText, 10},
	} {
		a.applyEntryState(time.Now(), &wire.EntryState{ConfigRevision: step.revision, ConfigText: step.text})
		c.Assert(a.adopted.Revision, qt.Equals, step.adopted)
	}
	c.Assert(a.adopted.Config.Note, qt.Equals, "ten")
}

// serviceText makes an operator configuration valid, since agents adopt only valid ones.
const serviceText = "\n[[service]]\nname=\"letters\"\nkind=\"model\"\nmodel=\"letters\"\n[[service.version]]\nname=\"v1\"\nshare=100\n"

// Guards against new work on a withdrawn version (invariant I3), and against an agent that
// does not report the adopted revision.
func TestWatchCollectsWithdrawnVersions(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, nil)
	watch := h.watch(&wire.EntryState{Entry: "e7", ConfigRevision: 8, ConfigText: "note = \"eight\"" + serviceText,
		Withdrawn: []*wire.WithdrawnVersion{{Service: "letters", Version: "v1"}}})
	state := awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetConfigRevision() == 8 })
	c.Assert(state.GetEntries(), qt.Contains, "e7")
	s := generationSpec("g8", 5)
	got := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: s}), 0, -1)
	c.Assert(got.failed.GetCode(), qt.Equals, uint32(result.VersionUnavailable))
	ids, texts := expectedTokens(s)
	resumed := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{
		Spec: s, Attempt: 2, PrefixTokenIds: ids[:1], PrefixBytes: texts[:1], Resume: true,
	}), 1, -1)
	c.Assert(resumed.finished, qt.IsNotNil)
}

// Guards against executing an order with a stale fencing token, even if the engine ignores
// fencing or the agent has restarted.
func TestOrderFencing(t *testing.T) {
	for _, ignores := range []bool{true, false} {
		t.Run(fmt.Sprintf("ignores fencing %v", ignores), func(t *testing.T) { checkOrderFencing(t, ignores) })
	}
}

func checkOrderFencing(t *testing.T, ignores bool) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{IgnoresFencing: ignores}, nil)
	order := func(fence uint64, version string) *wire.OrderResponse {
		response, err := h.client.Order(h.context(), &wire.OrderRequest{
			Fence: fence, Owner: "e1", Kind: wire.OrderKind_ORDER_KIND_LOAD, Model: "m", Version: version,
		})
		c.Assert(err, qt.IsNil)
		return response
	}
	watch := h.watch(&wire.EntryState{Entry: "e1", HighestFence: proto.Uint64(5)})
	awaitState(c, watch, func(s *wire.AgentState) bool {
		return s.GetHighestFence() == 5 || watch.Send(&wire.EntryState{Entry: "e1"}) != nil
	})
	c.Assert(order(4, "v9").GetCode(), qt.Equals, uint32(result.FenceTooOld))
	c.Assert(order(6, "v3").GetCode(), qt.Equals, uint32(0))
	c.Assert(order(5, "v9").GetCode(), qt.Equals, uint32(result.FenceTooOld))
	state := awaitState(c, watch, func(s *wire.AgentState) bool { return len(s.GetVersions()) == 3 })
	c.Assert(state.GetVersions(), qt.DeepEquals, []string{"v1", "v2", "v3"})
	c.Assert(state.GetHighestFence(), qt.Equals, uint64(6))
}

// Guards against a restarted agent that executes an order before it has received the highest
// fencing token.
func TestOrderIsRefusedBeforeFenceIsKnown(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	request := &wire.OrderRequest{Fence: 3, Kind: wire.OrderKind_ORDER_KIND_LOAD}
	c.Assert(a.admitOrder(request).Code, qt.Equals, result.NotReady)
	a.applyEntryState(time.Now(), &wire.EntryState{Entry: "e1"})
	c.Assert(a.admitOrder(request).Code, qt.Equals, result.NotReady)
	a.applyEntryState(time.Now(), &wire.EntryState{HighestFence: proto.Uint64(2)})
	c.Assert(a.admitOrder(request) == nil, qt.IsTrue)
}

// Guards against a graceful shutdown that interrupts a running generation (invariant I8),
// accepts new work (invariant I7), or loses a log that has no replica.
func TestLeavingAgentFinishesRunningGenerations(t *testing.T) {
	c := qt.New(t)
	replica := startHarness(c, engine.Options{}, func(o *Options) { o.Settings.Name, o.Settings.Zone = "a2", "z2" })
	h := startHarness(c, engine.Options{Faults: engine.Faults{SlowFactor: map[string]float64{"v1": 20}}}, func(o *Options) {
		// Only the flush at shutdown replicates.
		o.Timing.ReplicationDelay, o.Timing.FlushTimeout = time.Hour, time.Hour
	})
	watch := h.watch(&wire.EntryState{Entry: "e1", Agents: []*wire.AgentAddress{{Address: replica.address, Zone: "z2"}}})
	s := generationSpec("g9", 100)
	ids, _ := expectedTokens(s)
	stream := h.generate(h.context(), &wire.GenerateRequest{Spec: s})
	got := new(transcript).read(c, stream, 0, 3)
	// The generation must not end before the refusal is observed.
	h.engine.SetFaults(engine.Faults{Freeze: true})
	h.stop()
	awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetLeaving() && !s.GetReady() })
	refused := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("g10", 5)}), 0, -1)
	c.Assert(refused.failed.GetCode(), qt.Equals, uint32(result.Leaving))
	h.engine.SetFaults(engine.Faults{})
	got.read(c, stream, 0, -1)
	c.Assert(got.ids, qt.DeepEquals, ids)
	c.Assert(got.finished, qt.IsNotNil)
	<-h.stopped
	fetched, err := replica.client.FetchLog(h.context(), &wire.FetchLogRequest{Generation: "g9", Attempt: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(fetched.GetIds(), qt.DeepEquals, ids)
	c.Assert(fetched.GetFinished(), qt.IsNotNil)
}

// Guards against a replica that is missing or differs from the log.
func TestLogIsReplicated(t *testing.T) {
	c := qt.New(t)
	replica := startHarness(c, engine.Options{}, func(o *Options) { o.Settings.Name, o.Settings.Zone = "a2", "z2" })
	h := startHarness(c, engine.Options{}, func(o *Options) { o.Timing.ReplicationDelay = time.Millisecond })
	h.watch(&wire.EntryState{Entry: "e1", Agents: []*wire.AgentAddress{
		{Address: h.address, Zone: "z1"}, {Address: replica.address, Zone: "z2"},
	}})
	s := generationSpec("g11", 200)
	ids, _ := expectedTokens(s)
	new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: s}), 0, -1)
	for {
		fetched, err := replica.client.FetchLog(h.context(), &wire.FetchLogRequest{Generation: "g11"})
		c.Assert(err, qt.IsNil)
		c.Assert(len(fetched.GetIds()) <= len(ids), qt.IsTrue)
		c.Assert(fetched.GetIds(), qt.DeepEquals, append([]uint32(nil), ids[:len(fetched.GetIds())]...))
		if fetched.GetFinished() != nil {
			c.Assert(fetched.GetIds(), qt.HasLen, 200)
			c.Assert(fetched.GetSpec().GetPrompt(), qt.Equals, s.GetPrompt())
			return
		}
		time.Sleep(pollInterval)
	}
}

// Guards against a replica that stays incomplete after its agent restarted with an empty
// store.
func TestReplicaRestartGetsWholeLog(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	now := time.Now()
	log, err := a.store.Start(now, tokenlog.StartOptions[spec]{Generation: "g", Attempt: 1, Spec: generationSpec("g", 9)})
	c.Assert(err, qt.IsNil)
	att := &attempt{log: log, replicaAddress: "r", changed: make(chan struct{})}
	send := func(replica *Agent) {
		record := nextRecord(att)
		next, err := replica.storeRecord(record)
		c.Assert(err, qt.IsNil)
		handleAck(now, "r", pendingRecord{att, record}, &wire.LogAck{NextIndex: next})
	}
	newReplica := func() *Agent {
		return newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "r", "y")
	}
	oldReplica, restarted := newReplica(), newReplica()
	c.Assert(a.store.Append(now, log, 0, tokenlog.Token{ID: 5}), qt.IsNil)
	send(oldReplica)
	c.Assert(a.store.Append(now, log, 1, tokenlog.Token{ID: 6}), qt.IsNil)
	c.Assert(a.store.Finish(now, log, tokenlog.End{Tokens: 2}), qt.IsNil)
	send(restarted)
	c.Assert(att.endAcked, qt.IsFalse)
	send(restarted)
	c.Assert(restarted.store.Find("g", 1).Next(), qt.Equals, uint64(2))
	c.Assert(restarted.store.Find("g", 1).End(), qt.IsNotNil)
	c.Assert(att.endAcked, qt.IsTrue)
	c.Assert(nextRecord(att) == nil, qt.IsTrue)
}

// Guards against a member that keeps all slots while another member waits: an attempt of the
// member over its share must end with PREEMPTED, and the waiting attempt must run.
func TestMemberBelowShareIsAdmittedByPreemption(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{Slots: 2}, nil)
	watch := h.watch(&wire.EntryState{Entry: "e1", ConfigRevision: 1,
		ConfigText: "[[member]]\nname=\"otaru\"\nshare=50\n[[member]]\nname=\"vatelin\"\nshare=50\n" + serviceText})
	awaitState(c, watch, func(s *wire.AgentState) bool { return s.GetConfigRevision() == 1 })
	older := h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("old", 1_000_000)})
	new(transcript).read(c, older, 0, 2)
	newer := h.generate(h.context(), &wire.GenerateRequest{Spec: generationSpec("newer", 1_000_000)})
	first := new(transcript).read(c, newer, 0, 2)
	other := generationSpec("other", 20)
	other.Member = "vatelin"
	got := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: other}), 0, -1)
	c.Assert(got.finished, qt.IsNotNil)
	c.Assert(first.read(c, newer, 0, -1).failed.GetCode(), qt.Equals, uint32(result.Preempted))
}

// Guards against an undetected gap in the cache events, which makes the hints unreliable.
func TestCacheSummaryDetectsGaps(t *testing.T) {
	c := qt.New(t)
	cache := newCacheSummary()
	event := func(seq uint64, kind string, block uint64) engineapi.CacheEvent {
		return engineapi.CacheEvent{Seq: seq, Kind: kind, BlockHash: block}
	}
	apply := func(list ...engineapi.CacheEvent) bool { return cache.applyEvents(engineapi.CacheEvents{Events: list}) }
	c.Assert(apply(event(1, engineapi.CacheStored, 10), event(2, engineapi.CacheStored, 11)), qt.IsTrue)
	c.Assert(apply(event(3, engineapi.CacheEvicted, 10)), qt.IsTrue)
	c.Assert(apply(event(5, engineapi.CacheStored, 12)), qt.IsFalse)
	c.Assert(cache.sample(), qt.DeepEquals, []uint64{11, 12})
}

// Guards against logs that exceed the memory limit because of the prompt.
func TestGenerateIsRefusedWhenLogsAreFull(t *testing.T) {
	c := qt.New(t)
	h := startHarness(c, engine.Options{}, func(o *Options) { o.LogLimits = tokenlog.Limits{Bytes: 4096, Retention: time.Hour} })
	s := generationSpec("g12", 5)
	s.Prompt = string(make([]byte, 8192))
	got := new(transcript).read(c, h.generate(h.context(), &wire.GenerateRequest{Spec: s}), 0, -1)
	c.Assert(got.failed.GetCode(), qt.Equals, uint32(result.Overloaded))
}
