// Command bramleygap is the single binary of the serving system; its first argument selects
// the role.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"bramleygap/internal/benchcheck"
	"bramleygap/internal/demo"
	"bramleygap/internal/emulator"
	"bramleygap/internal/explain"
	"bramleygap/internal/load"
	"bramleygap/internal/operator"
	"bramleygap/platform"
)

type commandLine struct {
	Entry      entryCommand     `cmd:"" help:"Run an entry: terminate callers' HTTP and route requests to agents."`
	Gateway    gatewayCommand   `cmd:"" help:"Run a gateway: send clients' requests to targets directly, on a platform with a load balancer and a store."`
	Agent      agentCommand     `cmd:"" help:"Run an agent beside one target."`
	Check      checkCommand     `cmd:"" help:"Check settings files and configurations before they are sent."`
	Apply      applyCommand     `cmd:"" help:"Submit an operator configuration and wait until it is in force on all live nodes."`
	Status     statusCommand    `cmd:"" help:"Show the configuration revision, nodes, targets, leaving VMs, versions and members."`
	Drain      drainCommand     `cmd:"" help:"Give the targets of a VM no new work; running requests finish."`
	Version    versionCommand   `cmd:"" help:"Start, withdraw or show versions."`
	Load       load.Command     `cmd:"" help:"Replay a trace against running entries and report the measures."`
	Demo       demo.Command     `cmd:"" help:"Run all roles and stand-ins on loopback and kill an engine during a generation."`
	Explain    explain.Command  `cmd:"" help:"Tell the story of one request from the logs of several gateways."`
	Experiment emulator.Command `cmd:"" help:"Play a load pattern on emulated engines and compare placement policies."`
	Standin    standinCommand   `cmd:"" hidden:"" help:"Run a stand-in of the platform, a model engine or an application engine."`

	BenchCheck benchCheckCommand `cmd:"" hidden:"" help:"Compare a run of the benchmarks with the bounds and an earlier run."`
}

// Aliases of commands defined in other packages, so that commandLine is complete in one place.
type (
	checkCommand   = operator.CheckCommand
	applyCommand   = operator.ApplyCommand
	statusCommand  = operator.StatusCommand
	drainCommand   = operator.DrainCommand
	versionCommand = operator.VersionCommand

	benchCheckCommand = benchcheck.Command
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var command commandLine
	parsed := kong.Parse(&command,
		kong.Name("bramleygap"),
		kong.Description("Serving system for long model generations on engines that fail."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(platform.Protocol{}, (*operator.PlatformFormat)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
