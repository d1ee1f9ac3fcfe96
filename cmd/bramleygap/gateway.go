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

// goMemoryFraction is the fraction of the platform's memory limit that is set as the soft
// memory limit of the Go runtime; C stacks, kernel buffers and the binary need the rest.
const goMemoryFraction = 0.7

type gatewayCommand struct {
	Settings string `required:"" type:"existingfile" help:"TOML settings file of the gateway."`
}

// Run serves until SIGTERM, then stops within the grace period.
func (c *gatewayCommand) Run(ctx context.Context) error {
	// Until then, SIGHUP would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return fmt.Errorf("%d %v: %w", result.InvalidText, result.InvalidText, err)
	}
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryFraction * float64(s.MemoryLimitMB<<20)))
	}
	registry := obs.NewRegistry()
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramleygap_log_lines_dropped_total", Help: "Log lines dropped for their rate or a slow output.",
	})
	registry.MustRegister(dropped)
	reload := make(chan settings.Gateway)
	log := obs.NewBoundedLog(s.Log, os.Stdout, func(lines int) { dropped.Add(float64(lines)) })
	go c.watchSettings(ctx, log.Logger, hangup, reload)
	err = gateway.Run(ctx, gateway.Options{
		Settings: s, Protocol: platform.Protocol{}, Store: platform.NewStore(s.StoreAddress),
		Logger: log.Logger.With().Str("gateway", s.Name).Logger(), Registerer: registry,
		Reload: reload,
	})
	return errors.Join(err, log.Close())
}

// settingsPollInterval is the interval at which the settings file is reread; the platform
// may change it without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings sends the settings to reload after SIGHUP and when the file has changed. An
// invalid file is logged and ignored.
func (c *gatewayCommand) watchSettings(ctx context.Context, log zerolog.Logger, hangup <-chan os.Signal, reload chan<- settings.Gateway) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastText, err := os.ReadFile(c.Settings)
	if err != nil {
		log.Error().Err(err).Msg("cannot read settings file; the next successful read reloads the settings")
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
			log.Error().Err(err).Msg("cannot reread settings file; keeping the current settings")
			continue
		}
		if !signalled && bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		changed, err := settings.ParseGateway(c.Settings, string(text))
		if err != nil {
			log.Error().Err(err).Msg("changed settings are invalid; keeping the current settings")
			continue
		}
		select {
		case reload <- changed:
		case <-ctx.Done():
			return
		}
	}
}
