package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/obs"
	"bramleygap/internal/platform"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const (
	// viewInterval is the interval between evaluations of the membership view; it limits
	// the delay in detecting a target whose heartbeats are missing.
	viewInterval = 250 * time.Millisecond
	vmInterval   = time.Second
	// platformTimeout limits one request to the platform, so that an outage in which
	// requests get no response is detected.
	platformTimeout = 2 * time.Second
	// jitterFraction spreads out the polls of entries that started at the same time.
	jitterFraction = 0.2
)

// errStopped makes operator commands try the next entry.
var errStopped = status.Error(codes.Unavailable, "the entry is stopping")

// VersionReporter provides the rollouts for Status; rollouts.Manager implements it.
type VersionReporter interface {
	VersionStatus() []*wire.VersionStatus
}

// Options configures a Manager. Table, VMs, Versions, Registerer and Readiness may be nil.
type Options struct {
	Settings settings.Entry
	// Incarnation increases with each start of the process.
	Incarnation    uint64
	Table          platform.Table
	VMs            platform.VMList
	Delegates      []Delegate
	AgentObservers []AgentObserver
	Versions       VersionReporter
	Logger         zerolog.Logger
	Registerer     prometheus.Registerer
	Readiness      *obs.Readiness
}

// Manager runs the cluster tasks of one entry. All accessors are safe for
// concurrent use and do not block; delegates and observers may call them.
type Manager struct {
	options   Options
	pool      *rpc.Pool
	metrics   *metrics
	withdrawn *withdrawnSet
	changes   *changeTracker

	adopted  atomic.Pointer[adoption.Adopted]
	snapshot atomic.Pointer[membership.Snapshot]
	nodes    atomic.Pointer[[]Node]
	leaving  atomic.Bool
	// readinessMu serialises changes of the readiness by SetLeaving and by adoptions.
	readinessMu    sync.Mutex
	storeReachable atomic.Bool
	sequence       atomic.Uint64
	streams        atomic.Uint64
	// staleTableRevision is the last table revision that was logged as lower than the one in
	// force. It is used only by the goroutine that polls the table.
	staleTableRevision uint64
	// delegatesMu serialises the calls to the delegates.
	delegatesMu sync.Mutex

	requests         chan func(*state)
	pushAll          chan struct{}
	pushSome         chan struct{}
	withdrawnChanged chan struct{}
	// wakeWatchers makes all watchers send the entry's state at once.
	wakeWatchers chan struct{}
	stopped      chan struct{}
	tasks        sync.WaitGroup
}

// New returns a Manager. It is idle until Run is called.
func New(options Options) *Manager {
	if options.Readiness == nil {
		options.Readiness = obs.NewReadiness("")
	}
	m := &Manager{
		options:          options,
		pool:             rpc.NewPool(),
		metrics:          newMetrics(options.Registerer),
		withdrawn:        newWithdrawnSet(),
		changes:          newChangeTracker(options.Incarnation),
		requests:         make(chan func(*state)),
		pushAll:          make(chan struct{}, 1),
		pushSome:         make(chan struct{}, 1),
		withdrawnChanged: make(chan struct{}, 1),
		wakeWatchers:     make(chan struct{}, 1),
		stopped:          make(chan struct{}),
	}
	m.snapshot.Store(&membership.Snapshot{})
	m.nodes.Store(&[]Node{})
	options.Readiness.SetNotReady("no operator configuration adopted; neither the table service nor a peer has provided one")
	return m
}

// Run runs the manager until ctx ends and returns ctx.Err(). It must be called once.
func (m *Manager) Run(ctx context.Context) error {
	s := newState(m, ctx, time.Now())
	s.reconcile()
	m.tasks.Go(func() { m.pollVMs(ctx) })
	m.tasks.Go(func() { m.pollTable(ctx) })
	m.tasks.Go(func() { m.writeWithdrawnRows(ctx) })
	m.tasks.Go(func() { m.exchangeLoop(ctx) })
	m.runEventLoop(ctx, s)
	close(m.stopped)
	m.tasks.Wait()
	m.pool.Close()
	return ctx.Err()
}

// runEventLoop runs in the goroutine that owns s and runs the functions that other
// goroutines send.
func (m *Manager) runEventLoop(ctx context.Context, s *state) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-m.requests:
			request(s)
		case <-m.wakeWatchers:
			s.notifyWatchers()
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

// do runs f in the event loop and waits for it to return. It must not be called from the
// event loop.
func (m *Manager) do(ctx context.Context, f func(*state)) error {
	done := make(chan struct{})
	request := func(s *state) {
		defer close(done)
		f(s)
	}
	select {
	case m.requests <- request:
		<-done
		return nil
	case <-m.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Config returns the operator configuration in force, nil until one is adopted.
func (m *Manager) Config() *adoption.Adopted { return m.adopted.Load() }

// Snapshot returns the latest view of the targets; it is never nil.
func (m *Manager) Snapshot() *membership.Snapshot { return m.snapshot.Load() }

// Nodes returns the live entries and agents known to this entry, sorted by name.
func (m *Manager) Nodes() []Node { return *m.nodes.Load() }

// Conn returns the shared connection to an agent or entry at host:port.
func (m *Manager) Conn(address string) (*grpc.ClientConn, error) { return m.pool.Conn(address) }

// RegisterServers registers the Peer and Operator services.
func (m *Manager) RegisterServers(server *grpc.Server) {
	wire.RegisterPeerServer(server, &peerServer{manager: m})
	wire.RegisterOperatorServer(server, &operatorServer{manager: m})
}

// SetLeaving marks this entry as not ready and announces its shutdown to the other entries.
func (m *Manager) SetLeaving() {
	m.readinessMu.Lock()
	m.leaving.Store(true)
	m.options.Readiness.SetNotReady("leaving")
	m.readinessMu.Unlock()
	signal(m.pushSome)
}

func (m *Manager) setReadyUnlessLeaving() {
	m.readinessMu.Lock()
	defer m.readinessMu.Unlock()
	if !m.leaving.Load() {
		m.options.Readiness.SetReady()
	}
}

// Withdraw withdraws a version permanently and notifies all peers and agents at once. It
// does not wait for the table service; the row is written once the table is reachable.
func (m *Manager) Withdraw(service, version, reason string) {
	withdrawal := &wire.WithdrawnVersion{Service: service, Version: version, Reason: reason, UnixMs: time.Now().UnixMilli()}
	if m.withdrawn.merge([]*wire.WithdrawnVersion{withdrawal}) == 0 {
		return
	}
	m.options.Logger.Warn().Str("service", service).Str("version", version).Str("reason", reason).Msg("version withdrawn")
	m.metrics.withdrawn.Set(float64(m.withdrawn.size()))
	signal(m.pushAll)
	signal(m.withdrawnChanged)
	signal(m.wakeWatchers)
}

// Withdrawn reports whether a version is withdrawn.
func (m *Manager) Withdrawn(service, version string) bool {
	return m.withdrawn.contains(service, version)
}

// mergeWithdrawn merges withdrawals received from another node or read from the table.
func (m *Manager) mergeWithdrawn(withdrawals []*wire.WithdrawnVersion) {
	if m.withdrawn.merge(withdrawals) == 0 {
		return
	}
	m.metrics.withdrawn.Set(float64(m.withdrawn.size()))
	signal(m.pushSome)
	signal(m.withdrawnChanged)
	signal(m.wakeWatchers)
}

// signal wakes the receiver of a channel with capacity 1; pending signals coalesce.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jittered returns d plus or minus jitterFraction.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*rand.Float64()-1)))
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) pollVMs(ctx context.Context) {
	if m.options.VMs == nil {
		return
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		vms, err := m.options.VMs.VMs(callCtx)
		cancel()
		m.metrics.countPlatformRequest("vms", err)
		if err == nil {
			_ = m.do(ctx, func(s *state) { s.setVMs(vms) })
		}
		if !sleep(ctx, jittered(vmInterval)) {
			return
		}
	}
}
