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

// Waits in these tests have no bound of their own: a condition that never comes true
// ends the test by the test binary's timeout.
const (
	pollInterval = 5 * time.Millisecond
	loadInterval = 100 // ms, of the engine stand-in
)

type rig struct {
	c       *qt.C
	engine  *engine.Engine
	address string
	client  wire.AgentClient
	leave   context.CancelFunc
	left    chan struct{}
	target  string
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

func startRig(c *qt.C, engineOptions engine.Options, change func(*Options)) *rig {
	e, address := startEngine(c, engineOptions, "127.0.0.1:0")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	options := Options{
		Settings: settings.Agent{Name: "a1", Zone: "z1", TargetURL: "http://" + address, TargetKind: kindModel, Service: "letters"},
		Logger:   zerolog.Nop(), Listener: listener, Timing: Timing{LeaveDelay: time.Millisecond, HeartbeatInterval: 50 * time.Millisecond},
	}
	if change != nil {
		change(&options)
	}
	r := &rig{c: c, engine: e, address: listener.Addr().String(), left: make(chan struct{}), target: address}
	ctx, leave := context.WithCancel(context.Background())
	r.leave = leave
	go func() {
		defer close(r.left)
		c.Check(Run(ctx, options), qt.IsNil)
	}()
	conn, err := rpc.Dial(r.address)
	c.Assert(err, qt.IsNil)
	r.client = wire.NewAgentClient(conn)
	c.Cleanup(func() { leave(); _ = conn.Close(); e.SetFaults(engine.Faults{Crash: true}); <-r.left })
	watch := r.watch(&wire.EntryState{Entry: "e1"})
	await(c, watch, func(s *wire.AgentState) bool { return s.GetReady() && s.GetSlots() > 0 })
	_ = watch.CloseSend()
	return r
}

func (r *rig) context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	r.c.Cleanup(cancel)
	return ctx
}

type watchStream = interface {
	Send(*wire.EntryState) error
	Recv() (*wire.AgentState, error)
	CloseSend() error
}

func (r *rig) watch(state *wire.EntryState) watchStream {
	stream, err := r.client.Watch(r.context())
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(stream.Send(state), qt.IsNil)
	return stream
}

func await(c *qt.C, stream watchStream, done func(*wire.AgentState) bool) *wire.AgentState {
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

func expected(s *wire.GenerationSpec) (ids []uint32, texts [][]byte) {
	tokens, _ := engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: s.GetModel(), Version: s.GetVersion(), Prompt: s.GetPrompt(),
		MaxTokens: s.GetSampling().GetMaxTokens(), Seed: s.GetSampling().GetSeed(),
	})
	for _, token := range tokens {
		ids, texts = append(ids, token.ID), append(texts, token.Bytes)
	}
	return ids, texts
}

type events interface {
	Recv() (*wire.GenerateEvent, error)
}

func (r *rig) generate(ctx context.Context, request *wire.GenerateRequest) events {
	if request.Attempt == 0 {
		request.Attempt = 1
	}
	stream, err := r.client.Generate(ctx, request)
	r.c.Assert(err, qt.IsNil)
	return stream
}

// transcript is what a follower received.
type transcript struct {
	accepted *wire.Accepted
	ids      []uint32
	finished *wire.Finished
	failed   *wire.Failed
}

// read receives until the end, or until the given number of tokens arrived.
func (t *transcript) read(c *qt.C, stream events, first uint64, limit int) *transcript {
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

// Guards against lost or repeated tokens when an attempt continues from delivered ids (I1).
func TestGenerateContinuesFromPrefix(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, nil)
	s := generationSpec("g1", 60)
	ids, texts := expected(s)
	got := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{
		Spec: s, Attempt: 2, AttachEpoch: 5, PrefixTokenIds: ids[:21], PrefixBytes: texts[:21], Resume: true,
	}), 21, -1)
	c.Assert(got.ids, qt.DeepEquals, ids[21:])
	c.Assert(got.accepted.GetAttachEpoch(), qt.Equals, uint64(5))
	c.Assert(got.finished.GetTokens(), qt.Equals, uint64(60))
	full := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g1x", 60)}), 0, -1)
	c.Assert(full.finished.GetReason(), qt.Equals, engineapi.FinishLength)
}

// Guards against an attempt that ends with its entry's stream, and against a superseded
// follower that goes on reading or cancels the generation of the new one. The engine is
// slowed and then frozen, so that the generation cannot end during the checks.
func TestAttachSupersedesAndContinues(t *testing.T) {
	c := qt.New(t)
	slow := engine.Faults{SlowFactor: map[string]float64{"v1": 20}}
	r := startRig(c, engine.Options{Faults: slow}, nil)
	s := generationSpec("g2", 400)
	ids, _ := expected(s)
	lost, cut := context.WithCancel(r.context())
	first := new(transcript).read(c, r.generate(lost, &wire.GenerateRequest{Spec: s}), 0, 3)
	r.engine.SetFaults(engine.Faults{Freeze: true})
	cut()
	attach := func(from uint64) events {
		stream, err := r.client.Attach(r.context(), &wire.AttachRequest{
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
	cancelled, err := r.client.Cancel(r.context(), &wire.CancelRequest{Generation: "g2", Attempt: 1, AttachEpoch: second.accepted.GetAttachEpoch()})
	c.Assert(err, qt.IsNil)
	c.Assert(cancelled.GetCancelled(), qt.IsFalse)
	r.engine.SetFaults(engine.Faults{})
	third.read(c, thirdStream, 1, -1)
	c.Assert(third.ids, qt.DeepEquals, ids[1:])
	c.Assert(third.finished.GetTokens(), qt.Equals, uint64(400))
	gone, err := r.client.Attach(r.context(), &wire.AttachRequest{Generation: "g2", Incarnation: first.accepted.GetIncarnation() + 1})
	c.Assert(err, qt.IsNil)
	c.Assert(new(transcript).read(c, gone, 0, -1).failed.GetCode(), qt.Equals, uint32(result.ResumeLost))
}

// Guards against an attempt that nobody reads and that occupies a slot for ever.
func TestOrphanIsCancelled(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, func(o *Options) { o.Timing.OrphanGrace = 20 * time.Millisecond })
	lost, cut := context.WithCancel(r.context())
	new(transcript).read(c, r.generate(lost, &wire.GenerateRequest{Spec: generationSpec("g3", 1_000_000)}), 0, 3)
	started := time.Now()
	cut()
	// Attaching would end the grace period, so the end is read from the engine's load.
	for {
		load, err := engineapi.New("http://" + r.target).Load(r.context())
		c.Assert(err, qt.IsNil)
		if load.Running == 0 && load.MeasuredUnixMS > started.UnixMilli()+2*loadInterval {
			break
		}
		time.Sleep(pollInterval)
	}
	stream, err := r.client.Attach(r.context(), &wire.AttachRequest{Generation: "g3"})
	c.Assert(err, qt.IsNil)
	c.Assert(new(transcript).read(c, stream, 0, -1).failed.GetCode(), qt.Equals, uint32(result.Cancelled))
}

// Guards against a crash of the engine that is reported late, once for each generation
// under different ids, or without the fingerprints that were running.
func TestEngineDeathIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, nil)
	watch := r.watch(&wire.EntryState{Entry: "e1"})
	one := r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g4", 1_000_000)})
	two := r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g4-2", 1_000_000)})
	first, second := new(transcript).read(c, one, 0, 3), new(transcript).read(c, two, 0, 3)
	r.engine.SetFaults(engine.Faults{Crash: true})
	first.read(c, one, 0, -1)
	second.read(c, two, 0, -1)
	c.Assert(first.failed.GetTargetDied(), qt.IsTrue)
	c.Assert(first.failed.GetCode(), qt.Equals, uint32(result.TargetDied))
	c.Assert(first.failed.GetRunningFingerprints(), qt.DeepEquals, []uint64{102, 104})
	c.Assert(second.failed.GetDeathId(), qt.Equals, first.failed.GetDeathId())
	state := await(c, watch, func(s *wire.AgentState) bool { return !s.GetReady() && len(s.GetDeaths()) > 0 })
	c.Assert(state.GetDeaths(), qt.HasLen, 1)
	c.Assert(state.GetDeaths()[0].GetDeathId(), qt.Equals, first.failed.GetDeathId())
	refused := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g5", 5)}), 0, -1)
	c.Assert(refused.failed.GetCode(), qt.Equals, uint32(result.TargetUnreachable))
}

// Guards against a replaced engine process that passes for the old one because it answers
// the probe after the crash, and against an agent that does not recover with its engine.
func TestReplacedEngineIsADeath(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, nil)
	stream := r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g6-0", 1_000_000)})
	got := new(transcript).read(c, stream, 0, 3)
	watch := r.watch(&wire.EntryState{Entry: "e1"})
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	a.engineAnswered(time.Now(), engineapi.Health{Instance: "old"})
	a.engineAnswered(time.Now(), engineapi.Health{Instance: "new"})
	c.Assert(a.target.deaths, qt.HasLen, 1)
	c.Assert(a.target.ready(), qt.IsTrue)
	r.engine.SetFaults(engine.Faults{Crash: true})
	c.Assert(got.read(c, stream, 0, -1).failed.GetTargetDied(), qt.IsTrue)
	r.engine, _ = startEngine(c, engine.Options{}, r.target)
	await(c, watch, func(s *wire.AgentState) bool { return s.GetReady() && len(s.GetDeaths()) == 1 })
	again := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g6-1", 5)}), 0, -1)
	c.Assert(again.finished, qt.IsNotNil)
}

// Guards against a drained VM that takes new work (I7), and against a drain that one
// entry's older state ends.
func TestDrainedVMRefusesWork(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel, VM: "vm1"}, Logger: zerolog.Nop()}, "x", "y")
	a.learn(time.Now(), &wire.EntryState{Entry: "e1", LeavingVms: []string{"vm1"}})
	a.learn(time.Now(), &wire.EntryState{Entry: "e2"})
	c.Assert(a.refusal(&wire.GenerateRequest{Spec: generationSpec("g", 1), Attempt: 1}).Code, qt.Equals, result.UnknownService)
	a.options.Settings.Service = "letters"
	c.Assert(a.refusal(&wire.GenerateRequest{Spec: generationSpec("g", 1), Attempt: 1}).Code, qt.Equals, result.Leaving)
	state, _ := a.nextState(&watcher{agent: a})
	c.Assert(state.GetLeaving(), qt.IsTrue)
	a.learn(time.Now(), &wire.EntryState{Entry: "e1"})
	state, _ = a.nextState(&watcher{agent: a})
	c.Assert(state.GetLeaving(), qt.IsTrue, qt.Commentf("the restarted entry has not read the drains yet"))
	a.learn(time.Now(), &wire.EntryState{Entry: "e1", LeavingVmsKnown: true})
	state, _ = a.nextState(&watcher{agent: a})
	c.Assert(state.GetLeaving(), qt.IsFalse)
}

// Guards against a broken stream of a live engine that counts as a crash, which would
// turn its requests into suspects.
func TestBrokenStreamIsNoDeath(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{Faults: engine.Faults{CutAfter: 4}}, nil)
	got := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g6", 50)}), 0, -1)
	c.Assert(got.failed.GetCode(), qt.Equals, uint32(result.GenerationFailed))
	c.Assert(got.failed.GetTargetDied(), qt.IsFalse)
	c.Assert(got.ids, qt.HasLen, 4)
}

// Guards against a frozen engine that stays ready or counts as dead.
func TestFrozenEngineIsNotReady(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, nil)
	watch := r.watch(&wire.EntryState{Entry: "e1"})
	await(c, watch, func(s *wire.AgentState) bool { return s.GetReady() })
	r.engine.SetFaults(engine.Faults{Freeze: true})
	state := await(c, watch, func(s *wire.AgentState) bool { return !s.GetReady() })
	c.Assert(state.GetDeaths(), qt.HasLen, 0)
	r.engine.SetFaults(engine.Faults{})
	await(c, watch, func(s *wire.AgentState) bool { return s.GetReady() })
}

// Guards against Progress in the name of an engine that does not answer, which would
// keep an entry from starting a speculative attempt.
func TestNoProgressForSilentEngine(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	now := time.Now()
	a.target.up, a.target.lastSeen = true, now
	waiting := &attempt{queued: true}
	c.Assert(a.progressEvent(now.Add(a.timing.FrozenAfter), waiting, 3).GetProgress().GetQueued(), qt.IsTrue)
	c.Assert(a.progressEvent(now.Add(a.timing.FrozenAfter+1), waiting, 3) == nil, qt.IsTrue)
}

// Guards against an adopted configuration that reverts or is replaced by one that cannot
// be parsed (I9).
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
		a.learn(time.Now(), &wire.EntryState{ConfigRevision: step.revision, ConfigText: step.text})
		c.Assert(a.adopted.Revision, qt.Equals, step.adopted)
	}
	c.Assert(a.adopted.Config.Note, qt.Equals, "ten")
}

// serviceText completes an operator configuration, since agents adopt only valid ones.
const serviceText = "\n[[service]]\nname=\"letters\"\nkind=\"model\"\nmodel=\"letters\"\n[[service.version]]\nname=\"v1\"\nshare=100\n"

// Guards against new work on a withdrawn version (I3), and against an agent that does not
// report what it adopted.
func TestWatchCollectsWithdrawnVersions(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, nil)
	watch := r.watch(&wire.EntryState{Entry: "e7", ConfigRevision: 8, ConfigText: "note = \"eight\"" + serviceText,
		Withdrawn: []*wire.WithdrawnVersion{{Service: "letters", Version: "v1"}}})
	state := await(c, watch, func(s *wire.AgentState) bool { return s.GetConfigRevision() == 8 })
	c.Assert(state.GetEntries(), qt.Contains, "e7")
	s := generationSpec("g8", 5)
	got := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: s}), 0, -1)
	c.Assert(got.failed.GetCode(), qt.Equals, uint32(result.VersionUnavailable))
	ids, texts := expected(s)
	resumed := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{
		Spec: s, Attempt: 2, PrefixTokenIds: ids[:1], PrefixBytes: texts[:1], Resume: true,
	}), 1, -1)
	c.Assert(resumed.finished, qt.IsNotNil)
}

// Guards against obedience to an old fencing number, also where the engine ignores it
// and after a restart of the agent.
func TestOrderFencing(t *testing.T) {
	for _, ignores := range []bool{true, false} {
		t.Run(fmt.Sprintf("ignores fencing %v", ignores), func(t *testing.T) { checkOrderFencing(t, ignores) })
	}
}

func checkOrderFencing(t *testing.T, ignores bool) {
	c := qt.New(t)
	r := startRig(c, engine.Options{IgnoresFencing: ignores}, nil)
	order := func(fence uint64, version string) *wire.OrderResponse {
		response, err := r.client.Order(r.context(), &wire.OrderRequest{
			Fence: fence, Owner: "e1", Kind: wire.OrderKind_ORDER_KIND_LOAD, Model: "m", Version: version,
		})
		c.Assert(err, qt.IsNil)
		return response
	}
	watch := r.watch(&wire.EntryState{Entry: "e1", HighestFence: proto.Uint64(5)})
	await(c, watch, func(s *wire.AgentState) bool {
		return s.GetHighestFence() == 5 || watch.Send(&wire.EntryState{Entry: "e1"}) != nil
	})
	c.Assert(order(4, "v9").GetCode(), qt.Equals, uint32(result.FenceTooOld))
	c.Assert(order(6, "v3").GetCode(), qt.Equals, uint32(0))
	c.Assert(order(5, "v9").GetCode(), qt.Equals, uint32(result.FenceTooOld))
	state := await(c, watch, func(s *wire.AgentState) bool { return len(s.GetVersions()) == 3 })
	c.Assert(state.GetVersions(), qt.DeepEquals, []string{"v1", "v2", "v3"})
	c.Assert(state.GetHighestFence(), qt.Equals, uint64(6))
}

// Guards against an order that a restarted agent obeys before it knows the highest fence.
func TestOrderIsRefusedBeforeFenceIsKnown(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	request := &wire.OrderRequest{Fence: 3, Kind: wire.OrderKind_ORDER_KIND_LOAD}
	c.Assert(a.admitOrder(request).Code, qt.Equals, result.NotReady)
	a.learn(time.Now(), &wire.EntryState{Entry: "e1"})
	c.Assert(a.admitOrder(request).Code, qt.Equals, result.NotReady)
	a.learn(time.Now(), &wire.EntryState{HighestFence: proto.Uint64(2)})
	c.Assert(a.admitOrder(request) == nil, qt.IsTrue)
}

// Guards against a planned stop that interrupts a running generation (I8), lets new work
// in (I7), or takes the only log along.
func TestLeavingFinishesRunningGenerations(t *testing.T) {
	c := qt.New(t)
	replica := startRig(c, engine.Options{}, func(o *Options) { o.Settings.Name, o.Settings.Zone = "a2", "z2" })
	r := startRig(c, engine.Options{Faults: engine.Faults{SlowFactor: map[string]float64{"v1": 20}}}, func(o *Options) {
		// Only the flush at the end replicates.
		o.Timing.ReplicationDelay, o.Timing.FlushTimeout = time.Hour, time.Hour
	})
	watch := r.watch(&wire.EntryState{Entry: "e1", Agents: []*wire.AgentAddress{{Address: replica.address, Zone: "z2"}}})
	s := generationSpec("g9", 100)
	ids, _ := expected(s)
	stream := r.generate(r.context(), &wire.GenerateRequest{Spec: s})
	got := new(transcript).read(c, stream, 0, 3)
	// The generation must not end before the refusal is seen.
	r.engine.SetFaults(engine.Faults{Freeze: true})
	r.leave()
	await(c, watch, func(s *wire.AgentState) bool { return s.GetLeaving() && !s.GetReady() })
	refused := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("g10", 5)}), 0, -1)
	c.Assert(refused.failed.GetCode(), qt.Equals, uint32(result.Leaving))
	r.engine.SetFaults(engine.Faults{})
	got.read(c, stream, 0, -1)
	c.Assert(got.ids, qt.DeepEquals, ids)
	c.Assert(got.finished, qt.IsNotNil)
	<-r.left
	copied, err := replica.client.FetchLog(r.context(), &wire.FetchLogRequest{Generation: "g9", Attempt: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(copied.GetIds(), qt.DeepEquals, ids)
	c.Assert(copied.GetFinished(), qt.IsNotNil)
}

// Guards against a second copy that is missing or differs from the log, also after the
// replica restarts with an empty store.
func TestLogIsReplicated(t *testing.T) {
	c := qt.New(t)
	replica := startRig(c, engine.Options{}, func(o *Options) { o.Settings.Name, o.Settings.Zone = "a2", "z2" })
	r := startRig(c, engine.Options{}, func(o *Options) { o.Timing.ReplicationDelay = time.Millisecond })
	r.watch(&wire.EntryState{Entry: "e1", Agents: []*wire.AgentAddress{
		{Address: r.address, Zone: "z1"}, {Address: replica.address, Zone: "z2"},
	}})
	s := generationSpec("g11", 200)
	ids, _ := expected(s)
	new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: s}), 0, -1)
	for {
		copied, err := replica.client.FetchLog(r.context(), &wire.FetchLogRequest{Generation: "g11"})
		c.Assert(err, qt.IsNil)
		c.Assert(len(copied.GetIds()) <= len(ids), qt.IsTrue)
		c.Assert(copied.GetIds(), qt.DeepEquals, append([]uint32(nil), ids[:len(copied.GetIds())]...))
		if copied.GetFinished() != nil {
			c.Assert(copied.GetIds(), qt.HasLen, 200)
			c.Assert(copied.GetSpec().GetPrompt(), qt.Equals, s.GetPrompt())
			return
		}
		time.Sleep(pollInterval)
	}
}

// Guards against a copy that stays incomplete after the replica lost its state.
func TestReplicaRestartGetsWholeLog(t *testing.T) {
	c := qt.New(t)
	a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "x", "y")
	now := time.Now()
	log, err := a.store.Start(now, tokenlog.StartOptions[spec]{Generation: "g", Attempt: 1, Spec: generationSpec("g", 9)})
	c.Assert(err, qt.IsNil)
	t1 := &attempt{log: log, replica: "r", changed: make(chan struct{})}
	send := func(replica *Agent) {
		record := replicaRecord(t1)
		next, err := replica.takeRecord(record)
		c.Assert(err, qt.IsNil)
		acknowledge(now, "r", pendingRecord{t1, record}, &wire.LogAck{NextIndex: next})
	}
	fresh := func() *Agent {
		return newAgent(Options{Settings: settings.Agent{TargetKind: kindModel}, Logger: zerolog.Nop()}, "r", "y")
	}
	before, after := fresh(), fresh()
	c.Assert(a.store.Append(now, log, 0, tokenlog.Token{ID: 5}), qt.IsNil)
	send(before)
	c.Assert(a.store.Append(now, log, 1, tokenlog.Token{ID: 6}), qt.IsNil)
	c.Assert(a.store.Finish(now, log, tokenlog.End{Tokens: 2}), qt.IsNil)
	send(after)
	c.Assert(t1.endReplicated, qt.IsFalse)
	send(after)
	c.Assert(after.store.Find("g", 1).Next(), qt.Equals, uint64(2))
	c.Assert(after.store.Find("g", 1).End(), qt.IsNotNil)
	c.Assert(t1.endReplicated, qt.IsTrue)
	c.Assert(replicaRecord(t1) == nil, qt.IsTrue)
}

// Guards against two members of which one keeps all slots: the attempt of the member
// over its share ends with PREEMPTED, the waiting one runs.
func TestMemberBelowShareIsAdmittedByPreemption(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{Slots: 2}, nil)
	watch := r.watch(&wire.EntryState{Entry: "e1", ConfigRevision: 1,
		ConfigText: "[[member]]\nname=\"otaru\"\nshare=50\n[[member]]\nname=\"vatelin\"\nshare=50\n" + serviceText})
	await(c, watch, func(s *wire.AgentState) bool { return s.GetConfigRevision() == 1 })
	older := r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("old", 1_000_000)})
	new(transcript).read(c, older, 0, 2)
	newer := r.generate(r.context(), &wire.GenerateRequest{Spec: generationSpec("newer", 1_000_000)})
	first := new(transcript).read(c, newer, 0, 2)
	other := generationSpec("other", 20)
	other.Member = "vatelin"
	got := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: other}), 0, -1)
	c.Assert(got.finished, qt.IsNotNil)
	c.Assert(first.read(c, newer, 0, -1).failed.GetCode(), qt.Equals, uint32(result.Preempted))
}

// Guards against cache hints that are trusted after a gap in the events.
func TestCacheSummaryNoticesGaps(t *testing.T) {
	c := qt.New(t)
	summary := newCacheSummary()
	event := func(seq uint64, kind string, block uint64) engineapi.CacheEvent {
		return engineapi.CacheEvent{Seq: seq, Kind: kind, BlockHash: block}
	}
	apply := func(list ...engineapi.CacheEvent) bool { return summary.apply(engineapi.CacheEvents{Events: list}) }
	c.Assert(apply(event(1, engineapi.CacheStored, 10), event(2, engineapi.CacheStored, 11)), qt.IsTrue)
	c.Assert(apply(event(3, engineapi.CacheEvicted, 10)), qt.IsTrue)
	c.Assert(apply(event(5, engineapi.CacheStored, 12)), qt.IsFalse)
	c.Assert(summary.sample(), qt.DeepEquals, []uint64{11, 12})
}

// Guards against logs that hold more memory than the limit by way of the prompt.
func TestGenerateIsRefusedWhenLogsAreFull(t *testing.T) {
	c := qt.New(t)
	r := startRig(c, engine.Options{}, func(o *Options) { o.LogLimits = tokenlog.Limits{Bytes: 4096, Retention: time.Hour} })
	s := generationSpec("g12", 5)
	s.Prompt = string(make([]byte, 8192))
	got := new(transcript).read(c, r.generate(r.context(), &wire.GenerateRequest{Spec: s}), 0, -1)
	c.Assert(got.failed.GetCode(), qt.Equals, uint32(result.Overloaded))
}
