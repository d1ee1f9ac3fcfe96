// Command bramleygap is the one binary of the serving system; its first argument selects the role.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commandLine struct{}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var command commandLine
	parsed := kong.Parse(&command,
		kong.Name("bramleygap"),
		kong.Description("Serving system for long model generations on engines that fail."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
