// Package agent implements the process that runs next to one target. It runs attempts of
// generations on a model engine, stores their token logs, and reports the target's state to
// the entries.
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

// Values of the setting target_kind.
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
	// OrphanGrace is how long an attempt may run without a follower; default 10 s, enough
	// for a caller to reconnect through another entry.
	OrphanGrace time.Duration
	// HealthInterval is the time between health probes; default 200 ms.
	HealthInterval time.Duration
	// HealthTimeout bounds one probe; default 400 ms.
	HealthTimeout time.Duration
	// FrozenAfter is the time without a health response or token after which the engine
	// counts as frozen and Progress events stop; default 600 ms, three health probes.
	FrozenAfter time.Duration
	// LoadInterval is the time between polls of load and cache events; default 500 ms.
	LoadInterval time.Duration
	// HeartbeatInterval is the time between AgentState messages; default 1 s.
	HeartbeatInterval time.Duration
	// ReplicationDelay is the age of a generation at which the replication of its log
	// starts; default 2 s.
	ReplicationDelay time.Duration
	// ReplicationInterval is the time between batches of log records; default 10 ms. It
	// delays the tokens of replicated generations, so it is far below the 60 ms allowed for
	// the 95th percentile of inter-token latency.
	ReplicationInterval time.Duration
	// LeaveDelay is how long a leaving agent waits for the entries to stop routing to it;
	// default 1 s.
	LeaveDelay time.Duration
	// FlushTimeout bounds the replication of the last log records at shutdown; default 3 s.
	FlushTimeout time.Duration
}

func (t Timing) withDefaults() Timing {
	setDefault := func(value *time.Duration, defaultValue time.Duration) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&t.ProgressInterval, 150*time.Millisecond)
	setDefault(&t.OrphanGrace, 10*time.Second)
	setDefault(&t.HealthInterval, 200*time.Millisecond)
	setDefault(&t.HealthTimeout, 400*time.Millisecond)
	setDefault(&t.FrozenAfter, 600*time.Millisecond)
	setDefault(&t.LoadInterval, 500*time.Millisecond)
	setDefault(&t.HeartbeatInterval, time.Second)
	setDefault(&t.ReplicationDelay, 2*time.Second)
	setDefault(&t.ReplicationInterval, 10*time.Millisecond)
	setDefault(&t.LeaveDelay, time.Second)
	setDefault(&t.FlushTimeout, 3*time.Second)
	return t
}

// Options configures an agent.
type Options struct {
	Settings settings.Agent
	Logger   zerolog.Logger
	// Registerer receives the metrics. If it is a *prometheus.Registry and the settings
	// name an admin address, Run serves them there.
	Registerer prometheus.Registerer
	// CallHandler serves Call requests; if nil, they are refused.
	CallHandler CallHandler
	// Listener overrides Settings.Listen if set.
	Listener net.Listener
	// Readiness is updated with the target's state; if nil, a new one is created.
	Readiness *obs.Readiness
	Timing    Timing
	LogLimits tokenlog.Limits
}

type spec = *wire.GenerationSpec

// Agent is one running agent. mu guards the state that the gRPC handlers and the
// periodic tasks share; it is never held across a blocking call.
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
	// baseCtx is the parent of all attempt contexts; it is cancelled after the shutdown.
	baseCtx context.Context
	done    chan struct{} // closed to end the Watch and Replicate streams
	orderMu sync.Mutex    // serializes orders to the target

	mu       sync.Mutex
	store    *tokenlog.Store[spec]
	attempts map[string]*attempt // latest attempt by generation
	jobs     map[string]*attempt // by request ID, until removed from the scheduler
	suspects suspectQueue
	running  int
	// followers is the number of Generate and Attach streams that read a log.
	followers       int
	activityChanged chan struct{} // closed and replaced when running or followers changes
	target          targetState
	cache           cacheSummary
	scheduler       *share.Scheduler
	stateChanged    chan struct{} // closed and replaced to send AgentState on the Watch streams
	leaving         bool
	adopted         adoption.Adopted
	// entries holds the number of Watch streams of each entry.
	entries map[string]int
	// drainedBy is the set of entries that list this VM as drained.
	drainedBy    map[string]bool
	withdrawn    map[versionKey]*wire.WithdrawnVersion
	agentLists   agentLists
	highestFence uint64
	fenceKnown   bool
	links        map[string]*replicaLink
	sequence     uint64
}

type versionKey struct{ service, version string }

// Run serves entries until ctx is done and then shuts down gracefully: it refuses new
// generations and returns when the running ones have finished. It returns an error if the
// settings are invalid or the listener fails.
func Run(ctx context.Context, options Options) error {
	a, listener, err := prepare(options)
	if err != nil {
		return err
	}
	defer a.pool.Close()
	baseCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.baseCtx = baseCtx
	wire.RegisterAgentServer(a.server, a)
	serveErr := make(chan error, 1)
	go func() { serveErr <- a.server.Serve(listener) }()
	var tasks sync.WaitGroup
	for _, task := range a.tasks() {
		tasks.Go(func() { task(baseCtx) })
	}
	defer tasks.Wait()
	defer cancel()
	a.logger.Info().Str("address", a.address).Uint64("incarnation", a.incarnation).Msg("agent started")
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve gRPC")
	case <-ctx.Done():
	}
	a.shutdown()
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
		options:         options,
		timing:          options.Timing.withDefaults(),
		logger:          options.Logger.With().Str("agent", options.Settings.Name).Logger(),
		incarnation:     uint64(time.Now().UnixNano()),
		address:         address,
		engine:          engineapi.New(options.Settings.TargetURL),
		targetHost:      targetHost,
		server:          rpc.NewServer(),
		pool:            rpc.NewPool(),
		done:            make(chan struct{}),
		store:           tokenlog.NewStore[spec](options.LogLimits),
		attempts:        make(map[string]*attempt),
		jobs:            make(map[string]*attempt),
		activityChanged: make(chan struct{}),
		target:          targetState{versions: options.Settings.Versions},
		cache:           newCacheSummary(),
		scheduler:       share.New(share.DefaultParams, defaultSlots),
		stateChanged:    make(chan struct{}),
		entries:         make(map[string]int),
		drainedBy:       make(map[string]bool),
		withdrawn:       make(map[versionKey]*wire.WithdrawnVersion),
		links:           make(map[string]*replicaLink),
	}
	a.metrics = newMetrics(prometheus.WrapRegistererWith(prometheus.Labels{"agent": options.Settings.Name}, options.Registerer), a)
	return a
}

func (a *Agent) tasks() []func(context.Context) {
	tasks := []func(context.Context){a.sweep, a.serveAdmin}
	if a.options.Settings.TargetKind == kindModel {
		return append(tasks, a.watchHealth, a.pollLoad, a.replicateLogs, a.runScheduler)
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

// shutdown announces that the agent is leaving, waits for running work and flushes replicas.
func (a *Agent) shutdown() {
	a.logger.Info().Msg("leaving")
	a.mu.Lock()
	a.leaving = true
	a.notifyWatchers()
	a.mu.Unlock()
	a.options.Readiness.SetNotReady("leaving")
	time.Sleep(a.timing.LeaveDelay)
	a.drain()
	a.flushReplicas()
	close(a.done)
	a.server.GracefulStop()
	a.logger.Info().Msg("left")
}

// drain waits until no attempt or call runs and no follower reads a log.
func (a *Agent) drain() {
	for {
		a.mu.Lock()
		active, changed := a.running > 0 || a.followers > 0, a.activityChanged
		a.mu.Unlock()
		if !active {
			return
		}
		<-changed
	}
}

// addActivity changes the counts that drain waits for. a.mu must be held.
func (a *Agent) addActivity(running, followers int) {
	a.running += running
	a.followers += followers
	close(a.activityChanged)
	a.activityChanged = make(chan struct{})
}

// notifyWatchers sends AgentState on all Watch streams. a.mu must be held.
func (a *Agent) notifyWatchers() {
	close(a.stateChanged)
	a.stateChanged = make(chan struct{})
}

const sweepInterval = time.Second

// sweep removes logs whose retention has passed.
func (a *Agent) sweep(ctx context.Context) {
	runPeriodically(ctx, sweepInterval, func(now time.Time) {
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

// runPeriodically calls fn at each interval until ctx is done.
func runPeriodically(ctx context.Context, interval time.Duration, fn func(time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn(time.Now())
		}
	}
}

// Call implements wire.AgentServer.
func (a *Agent) Call(ctx context.Context, request *wire.CallRequest) (*wire.CallResponse, error) {
	if a.options.CallHandler == nil {
		return noHandlerResponse(), nil
	}
	if !a.beginCall() {
		return &wire.CallResponse{Code: uint32(result.Leaving), Message: "the agent is leaving"}, nil
	}
	defer a.endCall()
	return a.options.CallHandler.Call(ctx, request), nil
}

// beginCall counts a call, so that the shutdown waits for it. It returns false if the agent
// refuses new work.
func (a *Agent) beginCall() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusesNewWork() {
		a.metrics.refused.WithLabelValues(result.Leaving.String()).Inc()
		return false
	}
	a.addActivity(1, 0)
	return true
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addActivity(-1, 0)
}
