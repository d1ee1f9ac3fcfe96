// Package entry runs an entry: the process that terminates callers' HTTP and routes
// requests to the agents.
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
	// platform's balancer sees the failed readiness probe first.
	balancerDelay = 2 * time.Second
	// headerTimeout bounds the time that a caller takes to send its request header.
	headerTimeout = 10 * time.Second
	// drainLimit bounds a graceful shutdown; it exceeds the longest generation.
	drainLimit = 15 * time.Minute
)

// Options configure an entry.
type Options struct {
	Settings settings.Entry
	Logger   zerolog.Logger
	Registry *prometheus.Registry
}

// entry holds the parts of one running process.
type entry struct {
	options     Options
	incarnation uint64
	readiness   *obs.Readiness
	cluster     *cluster.Manager
	router      *router.Manager
	rollouts    *rollouts.Manager
	generations *generations.Handler
	calls       *calls.Handler
	peers       *grpc.Server
	callers     *http.Server
}

// Run serves until ctx ends, then finishes the running requests and returns.
// It fails if an address cannot be bound or the settings are incomplete.
func Run(ctx context.Context, options Options) error {
	if options.Registry == nil {
		options.Registry = obs.NewRegistry()
	}
	if options.Settings.MaxBodyBytes == 0 {
		options.Settings.MaxBodyBytes = settings.DefaultMaxBodyBytes
	}
	peerListen := options.Settings.PeerListen
	if options.Settings.PeerAddress != "" {
		// The parts use the setting only as the address that others dial.
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
	e.buildDecisions(client)
	e.buildHandlers(client)
	return e
}

func (e *entry) buildDecisions(client *platform.Client) {
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
	e.callers = &http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout}
	e.peers = rpc.NewServer()
	e.cluster.RegisterServers(e.peers)
}

func (e *entry) agent(address string) (wire.AgentClient, error) {
	conn, err := e.cluster.Conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewAgentClient(conn), nil
}

// serve runs all tasks. Tasks outlive ctx until the running requests have ended.
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
	group.Go(func() error { return e.peers.Serve(peerListener) })
	group.Go(func() error {
		if err := e.callers.Serve(callerListener); !errors.Is(err, http.ErrServerClosed) {
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
		_ = e.callers.Close()
		e.peers.Stop()
		stopTasks()
		return nil
	})
	return group.Wait()
}

// drain fails readiness, keeps accepting until the balancer has noticed, then waits
// for the running requests.
func (e *entry) drain() {
	e.options.Logger.Info().Msg("graceful shutdown started")
	e.readiness.SetNotReady("leaving")
	e.cluster.SetLeaving()
	time.Sleep(balancerDelay)
	limit, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if err := e.callers.Shutdown(limit); err != nil {
		e.options.Logger.Error().Err(err).Msg("graceful shutdown cut off requests")
		return
	}
	if err := errors.Join(e.generations.Drain(limit), e.calls.Drain(limit)); err != nil {
		e.options.Logger.Error().Err(err).Msg("graceful shutdown left work unfinished")
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
