package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
)

const (
	// defaultMaxBodyBytes limits request bodies if the desired state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// readHeaderTimeout limits reading a request header. It exceeds the specified limit of 3 s.
	readHeaderTimeout = 5 * time.Second
	// clientIdleTimeout is how long an idle client connection stays open. It exceeds the
	// specified limit, so that clients do not send requests on a connection that is being closed.
	clientIdleTimeout = time.Minute
	// loadBalancerDrainTime is how long the load balancer may send new connections to a
	// process that is not ready: it checks readiness every second and acts on two failures.
	loadBalancerDrainTime = 2500 * time.Millisecond
	// shutdownMargin is reserved at the end of the grace period for closing connections.
	shutdownMargin = 400 * time.Millisecond
	// restartTime is how long a restart takes, from process exit to readiness.
	restartTime = 900 * time.Millisecond
	// stopPollInterval is how often a stopping process checks for active requests.
	stopPollInterval = 50 * time.Millisecond
)

// Options configures a gateway.
type Options struct {
	Settings   settings.Gateway
	Protocol   Protocol
	Store      Store
	Logger     zerolog.Logger
	Registerer *prometheus.Registry
	// Reload delivers changed settings. It is nil if settings cannot be reloaded.
	Reload <-chan settings.Gateway
}

// Gateway serves client requests by forwarding them to targets.
type Gateway struct {
	options *Options
	log     zerolog.Logger
	metrics *metrics
	loop    *eventLoop
	peers   *peers
	pool    *target.Pool
	// probes shares the probes of a target among the requests that wait for it, and ledgerReads the reads of the
	// stored runs.
	probes, ledgerReads singleflight.Group
	runSaver            *runSaver
	// memory is what responses in progress may occupy together, and bodies what client requests may.
	memory, bodies *target.Memory
	maxRequests    int64
	capacity       capacityMonitor
	ctx            context.Context
	startedAt      time.Time
	tasks          sync.WaitGroup
	stopping       atomic.Bool
	// sendsDesiredState is set while serveDesiredState answers a request.
	sendsDesiredState atomic.Bool
	activeRequests    atomic.Int64
	// stopDeadline is the end of the grace period, nil until a stop is requested. It keeps
	// its monotonic clock reading.
	stopDeadline atomic.Pointer[time.Time]
	// answersEnd is closed when the requests that are still unanswered must be answered, shutdownMargin before
	// stopDeadline. Connections are closed after that.
	answersEnd chan struct{}
	// shutdown waits until all client connections are idle, and closeClients closes them.
	shutdown     func(context.Context) error
	closeClients func()
}

// Run serves requests until ctx is canceled, then shuts down within the configured grace period.
func Run(ctx context.Context, options Options) error {
	g := &Gateway{startedAt: time.Now(), options: &options, log: options.Logger, metrics: newMetrics(options.Registerer), answersEnd: make(chan struct{})}
	g.loop = newEventLoop(&options, g.metrics)
	limits := limitsFor(options.Settings.MemoryLimitMB)
	g.memory, g.bodies, g.maxRequests = target.NewMemory(limits.responses), target.NewMemory(limits.bodies), limits.requests
	g.metrics.observeMemory(options.Registerer, g.memory, g.bodies)
	g.pool = target.NewPool(g.metrics.connections.Inc, g.loop.traffic.targets.add, g.memory)
	g.capacity.g = g
	g.runSaver = newRunSaver(g)
	g.metrics.observeHeld(options.Registerer, g.heldForClients, g.heldForTargets)
	// Background tasks outlive ctx, because active requests need them during shutdown.
	tasksCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.ctx = tasksCtx
	g.loop.probe = func(reg membership.Registration) { g.background(func() { g.probeTarget(reg) }) }
	g.loop.probeAll = func(targets []membership.Registration, then func(*state)) {
		g.background(func() {
			var probes sync.WaitGroup
			for _, reg := range targets {
				probes.Go(func() { g.probeTarget(reg) })
			}
			probes.Wait()
			g.loop.post(g.ctx, then)
		})
	}
	group, groupCtx := errgroup.WithContext(tasksCtx)
	group.Go(func() error { return g.loop.run(groupCtx) })
	for i := range numReplicatedTables {
		table := Table(i)
		watcher := &tableWatcher{loop: g.loop, store: options.Store, table: table}
		group.Go(func() error { return watcher.run(groupCtx) })
	}
	if knowsCapacity(&options.Settings) {
		g.capacity.boundsWriters = true
		group.Go(func() error { return g.capacity.run(groupCtx, limits.capacity(&options.Settings)) })
	}
	g.peers = newPeers(g)
	group.Go(func() error { return g.peers.run(groupCtx) })
	group.Go(func() error { return g.recheckTargets(groupCtx) })
	group.Go(func() error { return g.runSaver.run(groupCtx) })
	rolloutTask := &rolloutController{g: g}
	group.Go(func() error { return rolloutTask.run(groupCtx) })
	if err := g.serve(group, groupCtx); err != nil {
		return err
	}
	g.log.Info().Str("zone", options.Settings.Zone).Msg("gateway started")
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-groupCtx.Done():
			return group.Wait()
		case changed := <-options.Reload:
			g.loop.post(groupCtx, func(st *state) { g.loop.reload(st, changed) })
		}
	}
	g.log.Info().Msg("stop requested")
	g.stop(cancel)
	err := group.Wait()
	g.log.Info().AnErr("error", err).Msg("gateway stopped")
	return err
}

// serve starts the HTTP servers.
func (g *Gateway) serve(group *errgroup.Group, ctx context.Context) error {
	s := g.options.Settings
	clients := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxClientHeaderBytes, IdleTimeout: clientIdleTimeout, ErrorLog: g.httpErrorLog("clients"),
	}
	if err := listen(group, s.ClientListen, clients, &g.loop.traffic.clients); err != nil {
		return err
	}
	readiness := &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: g.httpErrorLog("readiness")}
	if err := listen(group, s.ReadinessListen, readiness, nil); err != nil {
		return err
	}
	if s.AdminListen != "" {
		handler := obs.AdminHandler(g.options.Registerer, g.unreadyReason)
		handler.Get(DesiredStatePath, g.serveDesiredState)
		admin := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: g.httpErrorLog("admin")}
		if err := listen(group, s.AdminListen, admin, nil); err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = admin.Close() })
	}
	g.shutdown, g.closeClients = clients.Shutdown, func() { _ = clients.Close() }
	context.AfterFunc(ctx, func() { _ = clients.Close() })
	context.AfterFunc(ctx, func() { _ = readiness.Close() })
	return nil
}

// listen starts a server. counter counts the bytes of its connections, nil for none.
func listen(group *errgroup.Group, address string, server *http.Server, counter *linkCounter) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if counter != nil {
		listener = &countingListener{listener, counter}
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// unreadyReason returns why the gateway is not ready, or "" if it is.
func (g *Gateway) unreadyReason() string {
	switch p := g.loop.published.Load(); {
	case g.stopping.Load():
		return "stopping"
	case p == nil || p.desired.Config == nil:
		return "no desired state"
	}
	return ""
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.options.Protocol.ReadinessPath() {
		http.NotFound(w, r)
		return
	}
	if reason := g.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop reports the gateway as not ready, waits for the load balancer to react and for active
// requests to end, and shuts the servers down before the grace period ends. New connections
// are served until then: if several gateways stop at the same time, the load balancer may
// have no other gateway to send them to.
func (g *Gateway) stop(cancel context.CancelFunc) {
	start := time.Now()
	deadline := start.Add(g.options.Settings.Grace.Duration)
	g.stopDeadline.Store(&deadline)
	g.stopping.Store(true)
	waitCtx, cancelWait := context.WithDeadline(context.Background(), deadline.Add(-shutdownMargin))
	defer cancelWait()
	sleep(waitCtx, loadBalancerDrainTime)
	for g.activeRequests.Load() > 0 && waitCtx.Err() == nil {
		sleep(waitCtx, stopPollInterval)
	}
	close(g.answersEnd)
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), deadline.Add(-shutdownMargin/2))
	defer cancelShutdown()
	if err := g.shutdown(shutdownCtx); err != nil {
		g.log.Warn().Int64("running", g.activeRequests.Load()).Err(err).Msg("grace period ended with requests still active; closing their connections")
	}
	g.closeClients()
	close(g.runSaver.finish)
	select {
	case <-g.runSaver.finished:
	case <-time.After(finalSaveTimeout):
	}
	cancel()
}

// streamOutlastsGrace reports whether the gateway is stopping and a stream that begins at
// the given time is likely to last longer than the rest of the grace period.
func (g *Gateway) streamOutlastsGrace(begins time.Time) bool {
	if !g.stopping.Load() {
		return false
	}
	return g.stopDeadline.Load().Sub(begins) < minStreamGrace
}

// mustAnswer reports whether the requests that are still unanswered must be answered now.
func (g *Gateway) mustAnswer() bool {
	select {
	case <-g.answersEnd:
		return true
	default:
		return false
	}
}

// callOutlastsGrace reports whether the gateway is stopping and a call may last longer than the rest of the
// grace period. Its client learns that it has not run and can send it elsewhere.
func (g *Gateway) callOutlastsGrace(c *clientRequest) bool {
	if !g.stopping.Load() {
		return false
	}
	left := g.stopDeadline.Load().Add(-shutdownMargin).Sub(c.arrived)
	return left < min(c.deadline.Sub(c.arrived), minCallGrace)
}

// retryAfterStopping returns the retry delay for a request that a stopping gateway refuses:
// minimal if another gateway is not stopping, otherwise until the first gateway has restarted.
func (g *Gateway) retryAfterStopping(ctx context.Context) time.Duration {
	return query(ctx, g.loop, func(st *state) time.Duration {
		now := time.Now()
		earliest := *g.stopDeadline.Load()
		for _, name := range st.liveGateways {
			stop, known := st.stopTimes[name]
			switch {
			case !known:
			case stop.IsZero():
				return notReadyRetryAfter
			case stop.Before(earliest):
				earliest = stop
			}
		}
		return max(0, earliest.Sub(now)) + restartTime
	})
}
