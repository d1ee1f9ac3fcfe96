package rollouts

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/entry/cluster"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

var _ cluster.Delegate = (*Manager)(nil)

// fakeTable is an in-memory table service that can be down or drop responses.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]platform.Row
	revision      uint64
	down          bool
	dropResponses bool
	polls         chan struct{}
}

func newTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, polls: make(chan struct{}, 1000)}
}

func (t *fakeTable) withLock(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) (res platform.TxnResult, err error) {
	t.withLock(func() {
		if t.down {
			err = platform.ErrUnavailable
			return
		}
		for _, check := range txn.Checks {
			if t.rows[check.Key].Revision != check.Revision {
				res.ConflictKey = check.Key
				return
			}
		}
		t.revision++
		for _, put := range txn.Puts {
			t.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Revision: t.revision}
		}
		res = platform.TxnResult{Committed: true, Revision: t.revision}
		if t.dropResponses {
			res, err = platform.TxnResult{}, platform.ErrUnavailable
		}
	})
	return res, err
}

func (t *fakeTable) Get(_ context.Context, key string) (row platform.Row, err error) {
	t.withLock(func() {
		row = t.rows[key]
		if t.down {
			err = platform.ErrUnavailable
		}
	})
	return row, err
}

func (t *fakeTable) List(context.Context, string, int) (rows []platform.Row, err error) {
	t.withLock(func() {
		for _, row := range t.rows {
			rows = append(rows, row)
		}
		if t.down {
			rows, err = nil, platform.ErrUnavailable
		}
	})
	t.polls <- struct{}{}
	return rows, err
}

// fakeAgent is an agent client that records orders.
type fakeAgent struct {
	wire.AgentClient
	orders       chan *wire.OrderRequest
	highestFence atomic.Uint64
}

func (a *fakeAgent) Order(_ context.Context, r *wire.OrderRequest, _ ...grpc.CallOption) (*wire.OrderResponse, error) {
	a.orders <- r
	if r.GetFence() < a.highestFence.Load() {
		return &wire.OrderResponse{Code: uint32(result.FenceTooOld)}, nil
	}
	return &wire.OrderResponse{}, nil
}

type fixture struct {
	*Manager
	table           *fakeTable
	agent           *fakeAgent
	withdrawn       sync.Map
	withdrawReasons chan string
}

func start(t *testing.T, name string, store *fakeTable) *fixture {
	f := &fixture{table: store, agent: &fakeAgent{orders: make(chan *wire.OrderRequest, 10)}, withdrawReasons: make(chan string, 100)}
	config := &opconfig.Config{Services: []opconfig.Service{{
		Name: "s", Kind: opconfig.KindModel, Model: "m", Versions: []opconfig.Version{{Name: "v1", Share: 100}, {Name: "v2"}, {Name: "v3"}},
	}}}
	f.Manager = New(Options{
		EntryName: name, Incarnation: 1, Table: store, Logger: zerolog.Nop(),
		Config: func() *adoption.Adopted { return &adoption.Adopted{Config: config} },
		Snapshot: func() *membership.Snapshot {
			return &membership.Snapshot{Targets: []membership.Target{{Name: "t1", Service: "s", Ready: true, Versions: []string{"v1"}}}}
		},
		Agent:     func(string) (wire.AgentClient, error) { return f.agent, nil },
		Withdrawn: func(_, version string) bool { _, ok := f.withdrawn.Load(version); return ok },
		Withdraw: func(_, version, reason string) {
			f.withdrawn.Store(version, reason)
			f.withdrawReasons <- reason
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-f.done })
	return f
}

// Guards against a second operator who replaces a rollout, and against a start whose response
// was lost that is reported as a conflict with itself.
func TestConcurrentStarts(t *testing.T) {
	c := qt.New(t)
	store := newTable()
	f := start(t, "e1", store)
	ctx := context.Background()
	deadline := time.Now().Add(time.Hour)
	store.withLock(func() { store.dropResponses = true })
	c.Assert(f.Start(ctx, "s", "v2", deadline, "first"), qt.IsNil)
	store.withLock(func() { store.dropResponses = false })
	err := f.Start(ctx, "s", "v2", deadline, "second")
	c.Assert(codeOf(err), qt.Equals, result.Conflict)
	c.Assert(err, qt.ErrorMatches, `.*"first".*`)
	store.withLock(func() { store.down = true })
	c.Assert(codeOf(f.Start(ctx, "s", "v2", deadline, "third")), qt.Equals, result.StoreUnavailable)
	c.Assert(codeOf(f.Start(ctx, "s", "v9", deadline, "third")), qt.Equals, result.UnknownVersion)
}

// Guards against orders without the fencing token of the lease, and against a halt that waits
// for the table service.
func TestOrdersCarryFenceAndHaltNeedsNoStore(t *testing.T) {
	c := qt.New(t)
	store := newTable()
	f := start(t, "e1", store)
	c.Assert(f.Start(context.Background(), "s", "v2", time.Now().Add(time.Hour), "op"), qt.IsNil)
	order := <-f.agent.orders
	row, err := rollout.Parse(store.rowOf("rollout/s/v2"))
	c.Assert(err, qt.IsNil)
	c.Assert([]any{order.Fence, order.Owner, order.Model, order.Version}, qt.DeepEquals, []any{row.Fence, "e1", "m", "v2"})
	c.Assert(row.Fence, qt.Equals, uint64(1))
	store.withLock(func() { store.down = true })
	for range 50 {
		f.Observe("s", "v1", "r", "a", 0, placement.Outcome{}, false)
		f.Observe("s", "v2", "r", "a", 0, placement.Outcome{Failed: true}, false)
	}
	c.Assert(<-f.withdrawReasons, qt.Equals, "failures of all requests")
	for seed := range uint64(100) {
		c.Assert(f.Split("s", "r", seed), qt.Equals, "v1")
	}
	// The counters are published at the end of the tick that withdrew the version; without them
	// this loop does not end.
	for peer := new(wire.PeerState); len(peer.Evidence) == 0; time.Sleep(time.Millisecond) {
		f.Contribute(peer)
	}
}

// Guards against orders of a service's second rollout that targets refuse because they have
// seen a higher fencing token from the first one, and against an owner that keeps sending a
// refused token.
func TestRolloutsOfServiceShareFencingTokens(t *testing.T) {
	c := qt.New(t)
	f := start(t, "e1", newTable())
	deadline := time.Now().Add(time.Hour)
	startRollout := func(version string) uint64 {
		c.Assert(f.Start(context.Background(), "s", version, deadline, "op"), qt.IsNil)
		for {
			if order := <-f.agent.orders; order.Version == version {
				return order.Fence
			}
		}
	}
	c.Assert(startRollout("v2"), qt.Equals, uint64(1))
	f.withdrawn.Store("v2", "by operator")
	f.agent.highestFence.Store(4)
	fence := startRollout("v3")
	c.Assert(fence, qt.Equals, uint64(2))
	for fence < 4 {
		next := (<-f.agent.orders).Fence
		c.Assert(next == fence || next == fence+1, qt.IsTrue)
		fence = next
	}
	highest, err := rollout.ParseFence(f.table.rowOf("fence/s"))
	c.Assert(err, qt.IsNil)
	c.Assert(highest, qt.Equals, uint64(4))
}

// Scenario: an engine restarts without the version of a rollout that completed earlier. Guards
// against an engine that gets no order to load it, since no rollout runs, and against an order
// without a fencing token of a lease.
func TestRestartedTargetLoadsCompletedVersion(t *testing.T) {
	c := qt.New(t)
	store := newTable()
	row := rollout.Row{Service: "s", Version: "v2", Previous: "v1", State: rollout.Done, Step: 4, Started: 1, Ended: 2, Fence: 7}
	_, err := store.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "rollout/s/v2", Value: row.Encode()}}})
	c.Assert(err, qt.IsNil)
	f := start(t, "e1", store)
	order := <-f.agent.orders
	c.Check(order.Kind, qt.Equals, wire.OrderKind_ORDER_KIND_LOAD)
	c.Check([]any{order.Fence, order.Owner, order.Version}, qt.DeepEquals, []any{uint64(8), "e1", "v2"})
	stored, err := rollout.Parse(store.rowOf("rollout/s/v2"))
	c.Assert(err, qt.IsNil)
	c.Check([]any{stored.State, stored.Owner, stored.Fence}, qt.DeepEquals, []any{rollout.Done, "e1", uint64(8)})
}

func (t *fakeTable) rowOf(key string) (value []byte) {
	t.withLock(func() { value = t.rows[key].Value })
	return value
}

// Guards against a rollout that stays unfinished when the table service is down at its
// deadline.
func TestStoreDownAtDeadline(t *testing.T) {
	c := qt.New(t)
	store := newTable()
	f := start(t, "e1", store)
	c.Assert(f.Start(context.Background(), "s", "v2", time.Now().Add(2500*time.Millisecond), "op"), qt.IsNil)
	for len(f.VersionStatus()) == 0 {
		<-store.polls
	}
	store.withLock(func() { store.down = true })
	c.Assert(<-f.withdrawReasons, qt.Equals, "not complete at the deadline")
}
