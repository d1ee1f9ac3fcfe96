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

	"bramleygap/internal/core/membership"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
)

const (
	// defaultMaxBodyBytes bounds a body while the desired state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// headerTimeout bounds the reading of a client's header; the users' limit is 3 s.
	readHeaderTimeout = 5 * time.Second
	// clientIdleTimeout is how long an unused connection of a client is kept. It is above
	// the users' limit, so that a client never sends on a connection that is being closed.
	clientIdleTimeout = time.Minute
	// balancerNotice is the time in which the load balancer, which asks once a second and
	// needs two misses, stops sending new connections to a process that is not ready.
	loadBalancerDrainTime = 2500 * time.Millisecond
	// exitMargin is left before the end of the grace for closing what still runs.
	shutdownMargin = 400 * time.Millisecond
	// restartTime is how long the platform and a new process take until it is ready.
	restartTime = 900 * time.Millisecond
	// stopPoll is the interval at which a stopping process looks whether requests run.
	stopPollInterval = 50 * time.Millisecond
)

// Options configure a gateway.
type Options struct {
	Settings   settings.Gateway
	Protocol   Protocol
	Store      Store
	Logger     zerolog.Logger
	Registerer *prometheus.Registry
	// Reload delivers changed settings; nil if they do not change.
	Reload <-chan settings.Gateway
}

// Gateway is one running gateway.
type Gateway struct {
	options   *Options
	log       zerolog.Logger
	metrics   *metrics
	loop      *eventLoop
	peers     *peers
	pool      *target.Pool
	ctx       context.Context
	startedAt time.Time
	tasks     sync.WaitGroup
	stopping  atomic.Bool
	// active is the number of requests of clients that are being handled.
	activeRequests atomic.Int64
	// stopEnd is when the grace of a requested stop ends, with its monotonic reading.
	stopDeadline atomic.Pointer[time.Time]
	shutdown     func(context.Context) error
}

// Run serves until ctx ends, then stops within the grace of the settings.
func Run(ctx context.Context, options Options) error {
	g := &Gateway{startedAt: time.Now(), options: &options, log: options.Logger, metrics: newMetrics(options.Registerer)}
	g.pool = target.NewPool(g.metrics.connections.Inc)
	g.loop = newEventLoop(&options, g.metrics)
	// Tasks outlive ctx: running requests end before them.
	tasksCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.ctx = tasksCtx
	g.loop.probe = func(reg membership.Registration) { g.background(func() { g.probeTarget(reg) }) }
	group, groupCtx := errgroup.WithContext(tasksCtx)
	group.Go(func() error { return g.loop.run(groupCtx) })
	for i := range numReplicatedTables {
		table := Table(i)
		watcher := &tableWatcher{loop: g.loop, store: options.Store, table: table}
		group.Go(func() error { return watcher.run(groupCtx) })
	}
	g.peers = newPeers(g)
	group.Go(func() error { return g.peers.run(groupCtx) })
	group.Go(func() error { return g.recheckTargets(groupCtx) })
	group.Go(func() error { return g.persistRuns(groupCtx) })
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
			g.loop.post(groupCtx, func(s *state) { g.loop.reload(s, changed) })
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
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout,
	}
	if err := listen(group, s.ClientListen, clients); err != nil {
		return err
	}
	readiness := &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: readHeaderTimeout}
	if err := listen(group, s.ReadinessListen, readiness); err != nil {
		return err
	}
	if s.AdminListen != "" {
		handler := obs.AdminHandler(g.options.Registerer, g.unreadyReason)
		admin := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		if err := listen(group, s.AdminListen, admin); err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = admin.Close() })
	}
	g.shutdown = func(grace context.Context) error { return clients.Shutdown(grace) }
	context.AfterFunc(ctx, func() { _ = clients.Close() })
	context.AfterFunc(ctx, func() { _ = readiness.Close() })
	return nil
}

func listen(group *errgroup.Group, address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// unready returns why the gateway takes no new connections, empty if it does.
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

// stop lets the load balancer notice, then lets running requests end within the grace.
// Until they have ended, new connections are still served: when several gateways stop at
// the same time, the load balancer has no better one to send them to.
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
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), deadline.Add(-shutdownMargin/2))
	defer cancelShutdown()
	if err := g.shutdown(shutdownCtx); err != nil {
		g.log.Warn().Int64("running", g.activeRequests.Load()).Err(err).Msg("requests were still running at the end of the grace")
	}
	cancel()
}

// tooLateForStream reports whether a stream that arrives now is likely to outlast the
// grace of a process that is stopping.
func (g *Gateway) streamOutlastsGrace(arrived time.Time) bool {
	if !g.stopping.Load() {
		return false
	}
	return g.stopDeadline.Load().Sub(arrived) < minStreamGrace
}

// otherGatewayIn returns when a client that is refused here is likely to find a gateway
// that takes a stream: at once if another one goes on, or else when the first of those
// that stop has started again.
func (g *Gateway) retryAfterStopping(ctx context.Context) time.Duration {
	return query(ctx, g.loop, func(st *state) time.Duration {
		now := time.Now()
		first := *g.stopDeadline.Load()
		for _, name := range st.liveGateways {
			end, known := st.stopTimes[name]
			switch {
			case !known:
			case end.IsZero():
				return notReadyRetryAfter
			case end.Before(first):
				first = end
			}
		}
		return max(0, first.Sub(now)) + restartTime
	})
}
