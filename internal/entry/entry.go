// Package entry runs an entry, the process that terminates callers' HTTP connections and
// routes their requests to the agents.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"bramleygap/internal/engineapi"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/calls"
	"bramleygap/internal/entry/cluster"
	"bramleygap/internal/entry/generations"
	"bramleygap/internal/entry/rollouts"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/obs"
	"bramleygap/internal/platform"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const (
	// balancerDelay is how long a leaving entry still accepts requests, so that the
	// platform's load balancer first notices the failed readiness probe.
	balancerDelay = 2 * time.Second
	// readHeaderTimeout bounds the time that a caller takes to send its request header.
	readHeaderTimeout = 10 * time.Second
	// drainTimeout bounds a graceful shutdown; it exceeds the longest generation.
	drainTimeout = 15 * time.Minute
)

// Options configure an entry.
type Options struct {
	Settings settings.Entry
	Logger   zerolog.Logger
	Registry *prometheus.Registry
}

// entry holds the components of one running process.
type entry struct {
	options      Options
	incarnation  uint64
	readiness    *obs.Readiness
	cluster      *cluster.Manager
	router       *router.Manager
	rollouts     *rollouts.Manager
	generations  *generations.Handler
	calls        *calls.Handler
	peerServer   *grpc.Server
	callerServer *http.Server
}

// Run serves until ctx ends, then finishes the running requests and returns. It returns an
// error if an address cannot be bound or a task fails.
func Run(ctx context.Context, options Options) error {
	if options.Registry == nil {
		options.Registry = obs.NewRegistry()
	}
	if options.Settings.MaxBodyBytes == 0 {
		options.Settings.MaxBodyBytes = settings.DefaultMaxBodyBytes
	}
	peerListen := options.Settings.PeerListen
	if options.Settings.PeerAddress != "" {
		// The components use PeerListen only as the address that peers dial.
		options.Settings.PeerListen = options.Settings.PeerAddress
	}
	e := build(options)
	peerListener, err := net.Listen("tcp", peerListen)
	if err != nil {
		return eris.Wrap(err, "peer_listen")
	}
	callerListener, err := net.Listen("tcp", options.Settings.CallerListen)
	if err != nil {
		_ = peerListener.Close()
		return eris.Wrap(err, "caller_listen")
	}
	return e.serve(ctx, peerListener, callerListener)
}

func build(options Options) *entry {
	client := platform.NewClient(platform.ClientOptions{BaseURL: options.Settings.PlatformURL})
	e := &entry{
		options:     options,
		incarnation: uint64(time.Now().UnixNano()),
		readiness:   obs.NewReadiness("starting"),
	}
	e.buildManagers(client)
	e.buildHandlers(client)
	return e
}

func (e *entry) buildManagers(client *platform.Client) {
	s := e.options.Settings
	poll, evaluate := s.Rollout.Intervals()
	e.rollouts = rollouts.New(rollouts.Options{
		EntryName:        s.Name,
		Zone:             s.Zone,
		Incarnation:      e.incarnation,
		Config:           e.config,
		Snapshot:         e.snapshot,
		Table:            client,
		Times:            s.Rollout.Times(),
		PollInterval:     poll,
		EvaluateInterval: evaluate,
		Agent:            e.agent,
		Withdraw:         e.withdraw,
		Withdrawn:        e.withdrawn,
		Registerer:       e.options.Registry,
		Logger:           e.options.Logger,
	})
	e.router = router.New(router.Options{
		EntryName:     s.Name,
		Zone:          s.Zone,
		Incarnation:   e.incarnation,
		Snapshot:      e.snapshot,
		Config:        e.config,
		ChooseVersion: e.rollouts.Split,
		Withdrawn:     e.withdrawn,
		Observe:       e.rollouts.Observe,
		Registerer:    e.options.Registry,
		Logger:        e.options.Logger,
	})
	e.cluster = cluster.New(cluster.Options{
		Settings:       s,
		Incarnation:    e.incarnation,
		Table:          client,
		VMs:            client,
		Delegates:      []cluster.Delegate{e.router, e.rollouts},
		AgentObservers: []cluster.AgentObserver{e.router},
		Versions:       e.rollouts,
		Readiness:      e.readiness,
		Registerer:     e.options.Registry,
		Logger:         e.options.Logger,
	})
}

func (e *entry) buildHandlers(client *platform.Client) {
	s := e.options.Settings
	refusals := caller.NewRefusals(e.options.Registry)
	e.generations = generations.New(generations.Options{
		MaxBodyBytes:  s.MaxBodyBytes,
		DisableResume: s.DisableResume,
		Config:        e.config,
		Snapshot:      e.snapshot,
		Router:        e.router,
		Agent:         e.agent,
		PromptBlocks:  engineapi.PromptBlockHashes,
		EntryName:     s.Name,
		Refusals:      refusals,
		Registerer:    e.options.Registry,
		Logger:        e.options.Logger,
	})
	e.calls = calls.New(calls.Options{
		MaxBodyBytes: s.MaxBodyBytes,
		Config:       e.config,
		Router:       e.router,
		Agent:        e.agent,
		Table:        client,
		EntryName:    s.Name,
		Incarnation:  e.incarnation,
		Refusals:     refusals,
		Registerer:   e.options.Registry,
		Logger:       e.options.Logger,
	})
	routes := chi.NewRouter()
	e.generations.Routes(routes)
	routes.Handle("/*", e.calls)
	e.callerServer = &http.Server{Handler: routes, ReadHeaderTimeout: readHeaderTimeout}
	e.peerServer = rpc.NewServer()
	e.cluster.RegisterServers(e.peerServer)
}

func (e *entry) agent(address string) (wire.AgentClient, error) {
	conn, err := e.cluster.Conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewAgentClient(conn), nil
}

// serve runs all tasks. They continue after ctx ends, until the running requests have ended.
func (e *entry) serve(ctx context.Context, peerListener, callerListener net.Listener) error {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	group, tasks := errgroup.WithContext(tasks)
	group.Go(func() error { return ignoreCancel(e.cluster.Run(tasks)) })
	group.Go(func() error { return ignoreCancel(e.router.Run(tasks)) })
	group.Go(func() error { return ignoreCancel(e.rollouts.Run(tasks)) })
	group.Go(func() error { e.calls.RunSweeper(tasks); return nil })
	group.Go(func() error {
		return obs.ServeAdmin(tasks, e.options.Settings.AdminListen, obs.AdminHandler(e.options.Registry, e.readiness.Reason))
	})
	group.Go(func() error { return e.peerServer.Serve(peerListener) })
	group.Go(func() error {
		if err := e.callerServer.Serve(callerListener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.drain()
		case <-tasks.Done():
		}
		_ = e.callerServer.Close()
		e.peerServer.Stop()
		stopTasks()
		return nil
	})
	return group.Wait()
}

// drain sets the entry to not ready, accepts requests until the load balancer has noticed,
// then waits for the running requests.
func (e *entry) drain() {
	e.options.Logger.Info().Msg("graceful shutdown started")
	e.readiness.SetNotReady("leaving")
	e.cluster.SetLeaving()
	time.Sleep(balancerDelay)
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := e.callerServer.Shutdown(drainCtx); err != nil {
		e.options.Logger.Error().Err(err).Msg("graceful shutdown incomplete; open requests are cut off")
		return
	}
	if err := errors.Join(e.generations.Drain(drainCtx), e.calls.Drain(drainCtx)); err != nil {
		e.options.Logger.Error().Err(err).Msg("graceful shutdown incomplete; running generations or calls are cut off")
		return
	}
	e.options.Logger.Info().Msg("graceful shutdown finished")
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
