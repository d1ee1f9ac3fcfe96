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

// table is a stand-in of the table service that can be down or lose responses.
type table struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64
	down     bool
	lose     bool
	polls    chan struct{}
}

func newTable() *table {
	return &table{rows: map[string]platform.Row{}, polls: make(chan struct{}, 1000)}
}

func (t *table) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *table) Commit(_ context.Context, txn platform.Txn) (res platform.TxnResult, err error) {
	t.set(func() {
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
		if t.lose {
			res, err = platform.TxnResult{}, platform.ErrUnavailable
		}
	})
	return res, err
}

func (t *table) Get(_ context.Context, key string) (row platform.Row, err error) {
	t.set(func() {
		row = t.rows[key]
		if t.down {
			err = platform.ErrUnavailable
		}
	})
	return row, err
}

func (t *table) List(context.Context, string, int) (rows []platform.Row, err error) {
	t.set(func() {
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

// agent is a stand-in of an agent that records orders.
type agent struct {
	wire.AgentClient
	orders chan *wire.OrderRequest
	obeyed atomic.Uint64
}

func (a *agent) Order(_ context.Context, r *wire.OrderRequest, _ ...grpc.CallOption) (*wire.OrderResponse, error) {
	a.orders <- r
	if r.GetFence() < a.obeyed.Load() {
		return &wire.OrderResponse{Code: uint32(result.FenceTooOld)}, nil
	}
	return &wire.OrderResponse{}, nil
}

type fixture struct {
	*Manager
	table     *table
	agent     *agent
	withdrawn sync.Map
	withdraws chan string
}

func start(t *testing.T, name string, store *table) *fixture {
	f := &fixture{table: store, agent: &agent{orders: make(chan *wire.OrderRequest, 10)}, withdraws: make(chan string, 100)}
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
			f.withdraws <- reason
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-f.done })
	return f
}

// Guards against a second operator replacing a rollout, and against a start whose
// response was lost being reported as a conflict with itself.
func TestRacingStarts(t *testing.T) {
	c := qt.New(t)
	store := newTable()
	f := start(t, "e1", store)
	ctx := context.Background()
	deadline := time.Now().Add(time.Hour)
	store.set(func() { store.lose = true })
	c.Assert(f.Start(ctx, "s", "v2", deadline, "first"), qt.IsNil)
	store.set(func() { store.lose = false })
	err := f.Start(ctx, "s", "v2", deadline, "second")
	c.Assert(codeOf(err), qt.Equals, result.Conflict)
	c.Assert(err, qt.ErrorMatches, `.*"first".*`)
	store.set(func() { store.down = true })
	c.Assert(codeOf(f.Start(ctx, "s", "v2", deadline, "third")), qt.Equals, result.StoreUnavailable)
	c.Assert(codeOf(f.Start(ctx, "s", "v9", deadline, "third")), qt.Equals, result.UnknownVersion)
}

// Guards against orders without the fencing number of the lease, and against a halt that
// waits for the table service.
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
	store.set(func() { store.down = true })
	for range 50 {
		f.Observe("s", "v1", "r", "a", 0, placement.Outcome{}, false)
		f.Observe("s", "v2", "r", "a", 0, placement.Outcome{Failed: true}, false)
	}
	c.Assert(<-f.withdraws, qt.Equals, "failures of all requests")
	for seed := range uint64(100) {
		c.Assert(f.Split("s", "r", seed), qt.Equals, "v1")
	}
	// The counts are published after the tick that withdrew; without them this never ends.
	for peer := new(wire.PeerState); len(peer.Evidence) == 0; time.Sleep(time.Millisecond) {
		f.Contribute(peer)
	}
}

// Guards against orders of a second rollout of a service that its targets refuse because
// they obeyed a higher number of the first one, and against an owner that repeats a
// refused number.
func TestRolloutsOfAServiceShareFencingNumbers(t *testing.T) {
	c := qt.New(t)
	f := start(t, "e1", newTable())
	deadline := time.Now().Add(time.Hour)
	begin := func(version string) uint64 {
		c.Assert(f.Start(context.Background(), "s", version, deadline, "op"), qt.IsNil)
		for {
			if order := <-f.agent.orders; order.Version == version {
				return order.Fence
			}
		}
	}
	c.Assert(begin("v2"), qt.Equals, uint64(1))
	f.withdrawn.Store("v2", "by operator")
	f.agent.obeyed.Store(4)
	fence := begin("v3")
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

func (t *table) rowOf(key string) (value []byte) {
	t.set(func() { value = t.rows[key].Value })
	return value
}

// Guards against a version that is left between versions when the store is down at its
// deadline.
func TestStoreDownAtDeadline(t *testing.T) {
	c := qt.New(t)
	store := newTable()
	f := start(t, "e1", store)
	c.Assert(f.Start(context.Background(), "s", "v2", time.Now().Add(2500*time.Millisecond), "op"), qt.IsNil)
	for len(f.VersionStatus()) == 0 {
		<-store.polls
	}
	store.set(func() { store.down = true })
	c.Assert(<-f.withdraws, qt.Equals, "not complete at the deadline")
}
