package main

import (
	"context"
	"os"

	"bramleygap/internal/agent"
	"bramleygap/internal/agent/calls"
	"bramleygap/internal/entry"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
)

type entryCommand struct {
	Settings string `required:"" type:"existingfile" help:"TOML settings file of the entry."`
}

// Run serves until SIGTERM, then drains.
func (c *entryCommand) Run(ctx context.Context) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	logger := obs.NewLogger(s.Log, os.Stdout).With().Str("entry", s.Name).Logger()
	return entry.Run(ctx, entry.Options{Settings: s, Logger: logger})
}

type agentCommand struct {
	Settings string `required:"" type:"existingfile" help:"TOML settings file of the agent."`
}

// Run serves until SIGTERM, then drains.
func (c *agentCommand) Run(ctx context.Context) error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	logger := obs.NewLogger(s.Log, os.Stdout).With().Str("agent", s.Name).Logger()
	registry := obs.NewRegistry()
	handler, err := calls.New(calls.Options{TargetURL: s.TargetURL, Registerer: registry, Logger: logger})
	if err != nil {
		return err
	}
	return agent.Run(ctx, agent.Options{Settings: s, Logger: logger, Registerer: registry, CallHandler: handler})
}
