package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/gateway"
	"bramleygap/internal/obs"
	"bramleygap/internal/result"
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
		return fmt.Errorf("%d %v: %w", result.InvalidText, result.InvalidText, err)
	}
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitMB<<20)))
	}
	registry := obs.NewRegistry()
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramleygap_log_lines_dropped_total", Help: "Log lines dropped for their rate or a slow output.",
	})
	registry.MustRegister(dropped)
	reload := make(chan settings.Gateway)
	log := obs.NewBoundedLog(s.Log, os.Stdout, func(lines int) { dropped.Add(float64(lines)) })
	go c.watch(ctx, log.Logger, reload)
	err = gateway.Run(ctx, gateway.Options{
		Settings: s, Protocol: platform.Protocol{}, Store: platform.NewStore(s.StoreAddress),
		Logger: log.Logger.With().Str("gateway", s.Name).Logger(), Registerer: registry,
		Reload: reload,
	})
	return errors.Join(err, log.Close())
}

// settingsPoll is the interval at which the settings file is read again; the platform may
// change it without a signal.
const settingsPoll = 5 * time.Second

// watch delivers changed settings after SIGHUP, and when the file has changed. A file that
// is not valid changes nothing.
func (c *gatewayCommand) watch(ctx context.Context, log zerolog.Logger, reload chan<- settings.Gateway) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	known, err := os.ReadFile(c.Settings)
	if err != nil {
		log.Error().Err(err).Msg("settings cannot be read again")
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(c.Settings)
		if err != nil {
			log.Error().Err(err).Msg("settings cannot be read again")
			continue
		}
		if !signalled && bytes.Equal(text, known) {
			continue
		}
		known = text
		changed, err := settings.ParseGateway(c.Settings, string(text))
		if err != nil {
			log.Error().Err(err).Msg("changed settings are not valid; the former ones stay")
			continue
		}
		select {
		case reload <- changed:
		case <-ctx.Done():
			return
		}
	}
}
