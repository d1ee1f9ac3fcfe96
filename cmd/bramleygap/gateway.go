package main

import (
	"context"
	"os"
	"runtime/debug"

	"bramleygap/internal/gateway"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
	"bramleygap/platform"
)

// memoryShare is the part of the platform's memory limit that the Go runtime may use
// before it collects garbage at any cost; stacks of C, the kernel's buffers and the
// binary itself need the rest.
const memoryShare = 0.7

type gatewayCommand struct {
	Settings string `required:"" type:"existingfile" help:"TOML settings file of the gateway."`
}

// Run serves until SIGTERM, then stops within the grace.
func (c *gatewayCommand) Run(ctx context.Context) error {
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return err
	}
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitMB<<20)))
	}
	logger := obs.NewLogger(s.Log, os.Stdout).With().Str("gateway", s.Name).Logger()
	return gateway.Run(ctx, gateway.Options{
		Settings: s, Protocol: platform.Protocol{}, Store: platform.NewStore(s.StoreAddress),
		Logger: logger, Registerer: obs.NewRegistry(),
	})
}
