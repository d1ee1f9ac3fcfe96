package main

import (
	"context"
	"os"
	"time"

	"bramleygap/internal/standin"
	"bramleygap/internal/standin/app"
	"bramleygap/internal/standin/engine"
	"bramleygap/internal/standin/platform"
)

// crashStatus is the exit status of a model engine stand-in after an injected crash.
const crashStatus = 137

type standinCommand struct {
	Engine   engineCommand   `cmd:"" help:"Run a model engine stand-in."`
	App      appCommand      `cmd:"" help:"Run an application engine stand-in."`
	Platform platformCommand `cmd:"" help:"Run a stand-in of the table service, object store and VM list."`
}

type engineCommand struct {
	Listen          string        `required:"" help:"host:port to listen on."`
	Model           string        `required:"" help:"Model name."`
	Versions        []string      `required:"" help:"Versions loaded at the start."`
	TokenRate       float64       `default:"50" help:"Tokens per second of a sequence that runs alone."`
	Slots           int           `default:"16" help:"Largest batch."`
	PrefillPerToken time.Duration `default:"50us" help:"Prefill time for each prompt token that is not cached."`
	LoadTime        time.Duration `default:"500ms" help:"Time to load a version."`
	LoadInterval    time.Duration `default:"100ms" help:"Interval of load measurements."`
	CacheEventDelay time.Duration `default:"200ms" help:"Delay of cache events."`
	CacheGapEvery   int           `default:"0" help:"Drop each n-th cache event; 0 drops none."`
	IgnoresFencing  bool          `help:"Obey orders with old fencing numbers."`
	CrashMarker     string        `help:"Crash when a prompt contains this text."`
	CrashToken      int           `default:"5" help:"Token at which the marker crashes the engine."`
}

// Run serves until SIGTERM or an injected crash.
func (c *engineCommand) Run(ctx context.Context) error {
	standIn := engine.New(engine.Options{
		Model:           c.Model,
		Versions:        c.Versions,
		Slots:           c.Slots,
		TokenInterval:   time.Duration(float64(time.Second) / c.TokenRate),
		PrefillPerToken: c.PrefillPerToken,
		LoadTime:        c.LoadTime,
		LoadInterval:    c.LoadInterval,
		CacheEventDelay: c.CacheEventDelay,
		CacheGapEvery:   c.CacheGapEvery,
		IgnoresFencing:  c.IgnoresFencing,
		Faults:          engine.Faults{CrashMarker: c.CrashMarker, CrashToken: c.CrashToken},
		OnCrash:         func() { os.Exit(crashStatus) },
	})
	go standIn.Run(ctx)
	return standin.Serve(ctx, c.Listen, standIn.Handler())
}

type appCommand struct {
	Listen string `required:"" help:"host:port to listen on."`
	Name   string `default:"app" help:"Name returned in responses."`
}

// Run serves until SIGTERM.
func (c *appCommand) Run(ctx context.Context) error {
	return standin.Serve(ctx, c.Listen, app.New(app.Options{Name: c.Name}).Handler())
}

type platformCommand struct {
	Listen          string        `required:"" help:"host:port to listen on."`
	WritesPerSecond float64       `default:"400" help:"Limit of writes."`
	ReadsPerSecond  float64       `default:"2000" help:"Limit of reads."`
	VMLag           time.Duration `default:"0s" help:"Delay of the VM list."`
}

// Run serves until SIGTERM.
func (c *platformCommand) Run(ctx context.Context) error {
	standIn := platform.New(platform.Options{
		WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond:  c.ReadsPerSecond,
		VMLag:           c.VMLag,
	})
	return standin.Serve(ctx, c.Listen, standIn.Handler())
}
