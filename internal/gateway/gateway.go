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
	headerTimeout = 5 * time.Second
	// clientIdleTimeout is how long an unused connection of a client is kept. It is above
	// the users' limit, so that a client never sends on a connection that is being closed.
	clientIdleTimeout = time.Minute
	// balancerNotice is the time in which the load balancer, which asks once a second and
	// needs two misses, stops sending new connections to a process that is not ready.
	balancerNotice = 2500 * time.Millisecond
	// exitMargin is left before the end of the grace for closing what still runs.
	exitMargin = 400 * time.Millisecond
	// restartTime is how long the platform and a new process take until it is ready.
	restartTime = 900 * time.Millisecond
	// stopPoll is the interval at which a stopping process looks whether requests run.
	stopPoll = 50 * time.Millisecond
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
	options  *Options
	log      zerolog.Logger
	metrics  *metrics
	director *director
	peers    *peers
	pool     *target.Pool
	ctx      context.Context
	started  time.Time
	tasks    sync.WaitGroup
	stopping atomic.Bool
	// active is the number of requests of clients that are being handled.
	active atomic.Int64
	// stopEnd is when the grace of a requested stop ends, with its monotonic reading.
	stopEnd  atomic.Pointer[time.Time]
	shutdown func(context.Context) error
}

// Run serves until ctx ends, then stops within the grace of the settings.
func Run(ctx context.Context, options Options) error {
	g := &Gateway{started: time.Now(), options: &options, log: options.Logger, metrics: newMetrics(options.Registerer)}
	g.pool = target.NewPool(g.metrics.connections.Inc)
	g.director = newDirector(&options, g.metrics)
	// Tasks outlive ctx: running requests end before them.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.ctx = work
	g.director.probe = func(reg membership.Registration) { g.background(func() { g.alive(reg) }) }
	group, groupCtx := errgroup.WithContext(work)
	group.Go(func() error { return g.director.run(groupCtx) })
	for i := range followed {
		table := Table(i)
		f := &follower{director: g.director, store: options.Store, table: table}
		group.Go(func() error { return f.run(groupCtx) })
	}
	g.peers = newPeers(g)
	group.Go(func() error { return g.peers.run(groupCtx) })
	group.Go(func() error { return g.recheck(groupCtx) })
	group.Go(func() error { return g.keepRuns(groupCtx) })
	orders := &rollouts{g: g}
	group.Go(func() error { return orders.run(groupCtx) })
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
			g.director.tell(groupCtx, func(s *state) { g.director.reload(s, changed) })
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
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout,
	}
	if err := listen(group, s.ClientListen, clients); err != nil {
		return err
	}
	readiness := &http.Server{Handler: http.HandlerFunc(g.readiness), ReadHeaderTimeout: headerTimeout}
	if err := listen(group, s.ReadinessListen, readiness); err != nil {
		return err
	}
	if s.AdminListen != "" {
		handler := obs.AdminHandler(g.options.Registerer, g.unready)
		admin := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
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
func (g *Gateway) unready() string {
	switch p := g.director.published.Load(); {
	case g.stopping.Load():
		return "stopping"
	case p == nil || p.desired.Config == nil:
		return "no desired state"
	}
	return ""
}

func (g *Gateway) readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.options.Protocol.ReadinessPath() {
		http.NotFound(w, r)
		return
	}
	if reason := g.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop lets the load balancer notice, then lets running requests end within the grace.
// Until they have ended, new connections are still served: when several gateways stop at
// the same time, the load balancer has no better one to send them to.
func (g *Gateway) stop(cancel context.CancelFunc) {
	begun := time.Now()
	end := begun.Add(g.options.Settings.Grace.Duration)
	g.stopEnd.Store(&end)
	g.stopping.Store(true)
	ctx, done := context.WithDeadline(context.Background(), end.Add(-exitMargin))
	defer done()
	sleep(ctx, balancerNotice)
	for g.active.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, stopPoll)
	}
	last, release := context.WithDeadline(context.Background(), end.Add(-exitMargin/2))
	defer release()
	if err := g.shutdown(last); err != nil {
		g.log.Warn().Int64("running", g.active.Load()).Err(err).Msg("requests were still running at the end of the grace")
	}
	cancel()
}

// tooLateForStream reports whether a stream that arrives now is likely to outlast the
// grace of a process that is stopping.
func (g *Gateway) tooLateForStream(arrived time.Time) bool {
	if !g.stopping.Load() {
		return false
	}
	return g.stopEnd.Load().Sub(arrived) < stopMargin
}

// otherGatewayIn returns when a client that is refused here is likely to find a gateway
// that takes a stream: at once if another one goes on, or else when the first of those
// that stop has started again.
func (g *Gateway) otherGatewayIn(ctx context.Context) time.Duration {
	return ask(ctx, g.director, func(st *state) time.Duration {
		now := time.Now()
		first := *g.stopEnd.Load()
		for _, name := range st.gateways {
			end, known := st.stops[name]
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
