// Package agent is the process beside one target. It runs attempts of generations on a
// model engine, keeps their logs, and reports the target's state to the entries.
package agent

import (
	"context"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/share"
	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/obs"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// Target kinds in settings.
const (
	kindModel       = "model"
	kindApplication = "application"
)

// CallHandler runs one HTTP exchange with an application engine.
type CallHandler interface {
	Call(context.Context, *wire.CallRequest) *wire.CallResponse
}

// Timing holds the intervals of an agent. Zero values select the defaults.
type Timing struct {
	// ProgressInterval is the longest time without an event on a stream; default 150 ms.
	ProgressInterval time.Duration
	// OrphanGrace is how long an attempt runs without a follower; default 10 s, enough
	// for a caller to reconnect through another entry.
	OrphanGrace time.Duration
	// HealthInterval is the time between health probes; default 200 ms.
	HealthInterval time.Duration
	// HealthTimeout bounds one probe; default 400 ms.
	HealthTimeout time.Duration
	// FrozenAfter is the time without health answer or token after which the engine
	// counts as frozen, so that Progress stops; default 600 ms, three health probes.
	FrozenAfter time.Duration
	// LoadInterval is the time between polls of load and cache events; default 500 ms.
	LoadInterval time.Duration
	// HeartbeatInterval is the time between AgentState messages; default 1 s.
	HeartbeatInterval time.Duration
	// ReplicationDelay is the age from which a log is replicated; default 2 s.
	ReplicationDelay time.Duration
	// ReplicationInterval is the time between batches of log records; default 10 ms. Tokens
	// of replicated generations wait for it, so it is far below the 60 ms that the 95th
	// percentile of inter-token latency may take.
	ReplicationInterval time.Duration
	// LeaveDelay is how long a leaving agent waits for entries to notice; default 1 s.
	LeaveDelay time.Duration
	// FlushTimeout bounds the replication of the last log records at exit; default 3 s.
	FlushTimeout time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	set(&t.ProgressInterval, 150*time.Millisecond)
	set(&t.OrphanGrace, 10*time.Second)
	set(&t.HealthInterval, 200*time.Millisecond)
	set(&t.HealthTimeout, 400*time.Millisecond)
	set(&t.FrozenAfter, 600*time.Millisecond)
	set(&t.LoadInterval, 500*time.Millisecond)
	set(&t.HeartbeatInterval, time.Second)
	set(&t.ReplicationDelay, 2*time.Second)
	set(&t.ReplicationInterval, 10*time.Millisecond)
	set(&t.LeaveDelay, time.Second)
	set(&t.FlushTimeout, 3*time.Second)
	return t
}

// Options configure an agent.
type Options struct {
	Settings settings.Agent
	Logger   zerolog.Logger
	// Registerer receives the metrics. If it is a *prometheus.Registry and the settings
	// name an admin address, Run serves them there.
	Registerer prometheus.Registerer
	// CallHandler serves Call; nil refuses all calls.
	CallHandler CallHandler
	// Listener replaces Settings.Listen.
	Listener net.Listener
	// Readiness is updated with the target's state; nil creates one.
	Readiness *obs.Readiness
	Timing    Timing
	LogLimits tokenlog.Limits
}

type spec = *wire.GenerationSpec

// Agent is one running agent. mu guards the state that the gRPC handlers and the
// periodic tasks share; no call blocks while holding it.
type Agent struct {
	wire.UnimplementedAgentServer

	options     Options
	timing      Timing
	logger      zerolog.Logger
	metrics     *metrics
	incarnation uint64
	address     string
	engine      *engineapi.Client
	targetHost  string
	server      *grpc.Server
	pool        *rpc.Pool
	// life is the context of attempts; it ends when the agent has left.
	life     context.Context
	watchEnd chan struct{}
	orders   sync.Mutex // serializes orders to the target

	mu       sync.Mutex
	store    *tokenlog.Store[spec]
	attempts map[string]*attempt // latest of each generation
	jobs     map[string]*attempt // by request id, until they left the scheduler
	suspects suspects
	running  int
	// followers is the number of streams that read a log.
	followers int
	idle      chan struct{} // closed and replaced when running or followers change
	target    targetState
	cache     cacheSummary
	shares    *share.Scheduler
	changed   chan struct{} // closed and replaced when AgentState must be sent
	leaving   bool
	adopted   adoption.Adopted
	// entries maps each watching entry to the number of its streams.
	entries map[string]int
	// drainedBy are the watching entries that list this VM as drained.
	drainedBy  map[string]bool
	withdrawn  map[versionKey]*wire.WithdrawnVersion
	lists      agentLists
	fence      uint64
	fenceKnown bool
	links      map[string]*replicaLink
	sequence   uint64
}

type versionKey struct{ service, version string }

// Run serves entries until ctx ends, then leaves: it refuses new generations, lets the
// running ones finish and returns. Errors come from the listener or the settings.
func Run(ctx context.Context, options Options) error {
	a, listener, err := prepare(options)
	if err != nil {
		return err
	}
	defer a.pool.Close()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	a.life = life
	wire.RegisterAgentServer(a.server, a)
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(listener) }()
	var tasks sync.WaitGroup
	for _, task := range a.tasks() {
		tasks.Go(func() { task(life) })
	}
	defer tasks.Wait()
	defer end()
	a.logger.Info().Str("address", a.address).Uint64("incarnation", a.incarnation).Msg("agent started")
	select {
	case err := <-served:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	a.leave()
	return nil
}

func prepare(options Options) (*Agent, net.Listener, error) {
	s := options.Settings
	if s.TargetKind != kindModel && s.TargetKind != kindApplication {
		return nil, nil, eris.Errorf("target_kind %q is neither %q nor %q", s.TargetKind, kindModel, kindApplication)
	}
	target, err := url.Parse(s.TargetURL)
	if err != nil || target.Host == "" {
		return nil, nil, eris.Errorf("target_url %q is not a URL with a host", s.TargetURL)
	}
	listener := options.Listener
	if listener == nil {
		if listener, err = net.Listen("tcp", s.Listen); err != nil {
			return nil, nil, eris.Wrap(err, "listen")
		}
	}
	a := newAgent(options, listener.Addr().String(), target.Host)
	return a, listener, nil
}

func newAgent(options Options, address, targetHost string) *Agent {
	if options.Registerer == nil {
		options.Registerer = prometheus.NewRegistry()
	}
	if options.Readiness == nil {
		options.Readiness = obs.NewReadiness("starting")
	}
	if options.LogLimits == (tokenlog.Limits{}) {
		options.LogLimits = tokenlog.DefaultLimits
	}
	a := &Agent{
		options:     options,
		timing:      options.Timing.withDefaults(),
		logger:      options.Logger.With().Str("agent", options.Settings.Name).Logger(),
		incarnation: uint64(time.Now().UnixNano()),
		address:     address,
		engine:      engineapi.New(options.Settings.TargetURL),
		targetHost:  targetHost,
		server:      rpc.NewServer(),
		pool:        rpc.NewPool(),
		watchEnd:    make(chan struct{}),
		store:       tokenlog.NewStore[spec](options.LogLimits),
		attempts:    make(map[string]*attempt),
		jobs:        make(map[string]*attempt),
		idle:        make(chan struct{}),
		target:      targetState{versions: options.Settings.Versions},
		cache:       newCacheSummary(),
		shares:      share.New(share.DefaultParams, defaultSlots),
		changed:     make(chan struct{}),
		entries:     make(map[string]int),
		drainedBy:   make(map[string]bool),
		withdrawn:   make(map[versionKey]*wire.WithdrawnVersion),
		links:       make(map[string]*replicaLink),
	}
	a.metrics = newMetrics(prometheus.WrapRegistererWith(prometheus.Labels{"agent": options.Settings.Name}, options.Registerer), a)
	return a
}

func (a *Agent) tasks() []func(context.Context) {
	tasks := []func(context.Context){a.sweep, a.serveAdmin}
	if a.options.Settings.TargetKind == kindModel {
		return append(tasks, a.watchHealth, a.pollLoad, a.replicateLogs, a.scheduleShares)
	}
	return append(tasks, a.watchApplication)
}

func (a *Agent) serveAdmin(ctx context.Context) {
	registry, ok := a.options.Registerer.(*prometheus.Registry)
	if !ok || a.options.Settings.AdminListen == "" {
		return
	}
	handler := obs.AdminHandler(registry, a.options.Readiness.Reason)
	if err := obs.ServeAdmin(ctx, a.options.Settings.AdminListen, handler); err != nil {
		a.logger.Error().Err(err).Msg("admin server failed")
	}
}

// leave performs the graceful shutdown.
func (a *Agent) leave() {
	a.logger.Info().Msg("leaving")
	a.mu.Lock()
	a.leaving = true
	a.notify()
	a.mu.Unlock()
	a.options.Readiness.SetNotReady("leaving")
	time.Sleep(a.timing.LeaveDelay)
	a.drain()
	a.flushReplicas()
	close(a.watchEnd)
	a.server.GracefulStop()
	a.logger.Info().Msg("left")
}

// drain waits until no attempt or call runs and no follower still reads.
func (a *Agent) drain() {
	for {
		a.mu.Lock()
		busy, idle := a.running > 0 || a.followers > 0, a.idle
		a.mu.Unlock()
		if !busy {
			return
		}
		<-idle
	}
}

// count requires a.mu. It changes the numbers that drain waits for.
func (a *Agent) count(running, followers int) {
	a.running += running
	a.followers += followers
	close(a.idle)
	a.idle = make(chan struct{})
}

// notify requires a.mu. It wakes the Watch streams.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

const sweepInterval = time.Second

// sweep drops logs after their retention.
func (a *Agent) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func(now time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.store.Expire(now)
		for generation, attempt := range a.attempts {
			if attempt.log.End() != nil && a.store.Local(generation) != attempt.log {
				delete(a.attempts, generation)
			}
		}
	})
}

// every calls the function at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, call func(time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call(time.Now())
		}
	}
}

// Call implements wire.AgentServer.
func (a *Agent) Call(ctx context.Context, request *wire.CallRequest) (*wire.CallResponse, error) {
	if a.options.CallHandler == nil {
		return noCallHandler(), nil
	}
	if !a.beginCall() {
		return &wire.CallResponse{Code: uint32(result.Leaving), Message: "the agent is leaving"}, nil
	}
	defer a.endCall()
	return a.options.CallHandler.Call(ctx, request), nil
}

// beginCall counts a call, so that a graceful shutdown waits for it. It returns false if
// the agent takes no new work.
func (a *Agent) beginCall() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusesWork() {
		a.metrics.refused.WithLabelValues(result.Leaving.String()).Inc()
		return false
	}
	a.count(1, 0)
	return true
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(-1, 0)
}
