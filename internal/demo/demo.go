// Package demo runs all roles and stand-ins in one process on loopback and demonstrates
// that a generation survives the crash of its engine.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bramleygap/internal/agent"
	"bramleygap/internal/agent/calls"
	"bramleygap/internal/entry"
	"bramleygap/internal/obs"
	"bramleygap/internal/platform"
	"bramleygap/internal/settings"
	"bramleygap/internal/standin/app"
	"bramleygap/internal/standin/engine"
	standplatform "bramleygap/internal/standin/platform"
	"bramleygap/internal/wire"

	"bramleygap/internal/rpc"
)

const (
	modelService = "letters"
	appService   = "counter"
	version      = "v1"
	accountKey   = "demo-key"
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

const operatorConfiguration = `
note = "demo"
[[member]]
name = "office"
share = 100
[[account]]
name = "clerks"
member = "office"
key_sha256 = "%s"
[[target_class]]
name = "engines"
honours_fencing = true
[[service]]
name = "letters"
kind = "model"
model = "letters"
target_class = "engines"
depends_on = ["counter"]
[[service.version]]
name = "v1"
share = 100
[[service]]
name = "counter"
kind = "application"
[[service.route]]
method = "POST"
path = "/permits"
once = true
[[service.route]]
method = "GET"
path = "/status/*"
`

// Command defines the flags of the demo command.
type Command struct {
	Engines int  `default:"3" help:"Number of model engines."`
	Tokens  int  `default:"200" help:"Tokens of the generation."`
	Verbose bool `help:"Print the log of all roles."`
}

// installation holds the components of a running demo.
type installation struct {
	command  *Command
	logger   zerolog.Logger
	group    *errgroup.Group
	platform *standplatform.Platform
	entry    settings.Entry
	// stopEngine maps the address of an agent to the function that abruptly stops its engine.
	stopEngine map[string]context.CancelFunc
	baseURL    string
}

// Run starts all components, kills the engine of a generation halfway and prints the result.
// It returns an error if the received generation is incomplete or wrong.
func (c *Command) Run(ctx context.Context) error {
	if c.Engines < 2 || c.Tokens < 2 {
		return eris.New("--engines and --tokens must be at least 2")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	in := &installation{
		command:    c,
		logger:     zerolog.Nop(),
		group:      group,
		stopEngine: make(map[string]context.CancelFunc),
	}
	if c.Verbose {
		in.logger = obs.NewLogger(settings.Log{Console: true, Level: "debug"}, os.Stderr)
	}
	if err := in.start(ctx); err != nil {
		return err
	}
	return in.showGeneration(ctx, os.Stdout)
}

func (in *installation) start(ctx context.Context) error {
	in.platform = standplatform.New(standplatform.Options{})
	url, err := in.serve(ctx, in.platform.Handler())
	if err != nil {
		return err
	}
	in.baseURL = url
	for i := range in.command.Engines {
		if err := in.startEngine(ctx, i); err != nil {
			return err
		}
	}
	appURL, err := in.serve(ctx, app.New(app.Options{Name: "permits"}).Handler())
	if err != nil {
		return err
	}
	if _, err := in.startAgent(ctx, "app-0", "zone-0", "application", appService, appURL, nil); err != nil {
		return err
	}
	if err := in.startEntry(ctx); err != nil {
		return err
	}
	if err := in.apply(ctx); err != nil {
		return err
	}
	return in.waitReady(ctx)
}

// serve runs an HTTP handler on a free loopback port and returns its base URL.
func (in *installation) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (in *installation) startEngine(ctx context.Context, i int) error {
	standIn := engine.New(engine.Options{Model: modelService, Versions: []string{version}, TokenInterval: 10 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	engineCtx, stop := context.WithCancel(ctx)
	go func() { _ = standIn.Serve(engineCtx, listener) }()
	name, zone := fmt.Sprintf("engine-%d", i), fmt.Sprintf("zone-%d", i)
	address, err := in.startAgent(ctx, name, zone, "model", modelService, "http://"+listener.Addr().String(), []string{version})
	if err != nil {
		stop()
		return err
	}
	in.stopEngine[address] = stop
	return nil
}

func (in *installation) startAgent(ctx context.Context, name, zone, kind, service, targetURL string, versions []string) (string, error) {
	addresses, err := freeAddresses(2)
	if err != nil {
		return "", err
	}
	s := settings.Agent{
		Name: name, VM: "vm-" + name, Zone: zone, Listen: addresses[0], AdminListen: addresses[1],
		TargetURL: targetURL, TargetKind: kind, Service: service, Versions: versions, PlatformURL: in.baseURL,
	}
	registry := obs.NewRegistry()
	handler, err := calls.New(calls.Options{TargetURL: targetURL, Registerer: registry, Logger: in.logger})
	if err != nil {
		return "", err
	}
	options := agent.Options{
		Settings: s, Logger: in.logger.With().Str("agent", name).Logger(), Registerer: registry, CallHandler: handler,
	}
	in.group.Go(func() error { return agent.Run(ctx, options) })
	in.platform.SetVM(platform.VM{ID: s.VM, Zone: zone, Address: s.Listen, Role: "agent", State: platform.VMLive})
	return s.Listen, nil
}

func (in *installation) startEntry(ctx context.Context) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	in.entry = settings.Entry{
		Name: "entry-0", Zone: "zone-0", CallerListen: addresses[0], PeerListen: addresses[1],
		AdminListen: addresses[2], PlatformURL: in.baseURL,
	}
	in.platform.SetVM(platform.VM{ID: "entry-0", Zone: "zone-0", Address: addresses[1], Role: "entry", State: platform.VMLive})
	in.group.Go(func() error {
		return entry.Run(ctx, entry.Options{Settings: in.entry, Logger: in.logger.With().Str("entry", "entry-0").Logger()})
	})
	return nil
}

// apply submits the operator configuration until the entry accepts it.
func (in *installation) apply(ctx context.Context) error {
	sum := sha256.Sum256([]byte(accountKey))
	conn, err := rpc.Dial(in.entry.PeerListen)
	if err != nil {
		return err
	}
	defer conn.Close()
	request := &wire.ApplyRequest{
		ChangeId: "demo", Operator: "demo", Text: fmt.Sprintf(operatorConfiguration, hex.EncodeToString(sum[:])),
	}
	return poll(ctx, "operator configuration accepted", func() (bool, error) {
		response, err := wire.NewOperatorClient(conn).Apply(ctx, request)
		if err != nil {
			return false, nil
		}
		if response.Code != 0 {
			return false, eris.Errorf("operator configuration rejected: %s", response.Message)
		}
		return true, nil
	})
}

// waitReady waits until the entry reports all model engines and the application engine as ready.
func (in *installation) waitReady(ctx context.Context) error {
	conn, err := rpc.Dial(in.entry.PeerListen)
	if err != nil {
		return err
	}
	defer conn.Close()
	return poll(ctx, "all targets ready", func() (bool, error) {
		status, err := wire.NewOperatorClient(conn).Status(ctx, &wire.StatusRequest{})
		if err != nil {
			return false, nil
		}
		ready := 0
		for _, target := range status.Targets {
			if target.Ready {
				ready++
			}
		}
		return ready == in.command.Engines+1, nil
	})
}

func poll(ctx context.Context, what string, condition func() (bool, error)) error {
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		done, err := condition()
		if done || err != nil {
			return err
		}
		select {
		case <-waitCtx.Done():
			return eris.Errorf("condition not met within %s: %s", readyTimeout, what)
		case <-time.After(pollInterval):
		}
	}
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

func printf(w io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}
