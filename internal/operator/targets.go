package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"bramleygap/internal/wire"
)

// Drain makes the targets of a VM accept no new work, or undoes that.
func Drain(ctx context.Context, options Options, vm string, undo bool, w io.Writer) error {
	response, err := callEntries(ctx, options, func(ctx context.Context, client wire.OperatorClient) (*wire.DrainResponse, error) {
		return client.Drain(ctx, &wire.DrainRequest{Vm: vm, Undo: undo})
	})
	if err != nil {
		return err
	}
	if err := resultError(response); err != nil {
		return err
	}
	if undo {
		_, _ = fmt.Fprintf(w, "VM %s gets new work again\n", vm)
		return nil
	}
	_, _ = fmt.Fprintf(w, "VM %s gets no new work; requests running there now: %d (bramleygap status shows when they have finished)\n", vm, response.GetRunning())
	return nil
}

// VersionStart starts the rollout of a version that the operator configuration lists.
func VersionStart(ctx context.Context, options Options, service, version string, deadline time.Time, w io.Writer) error {
	request := &wire.VersionStartRequest{Service: service, Version: version, DeadlineUnixMs: deadline.UnixMilli(), Operator: options.Operator}
	response, err := callEntries(ctx, options, func(ctx context.Context, client wire.OperatorClient) (*wire.VersionResponse, error) {
		return client.VersionStart(ctx, request)
	})
	if err != nil {
		return err
	}
	if err := resultError(response); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "rollout of %s %s started, deadline %s\n", service, version, deadline.UTC().Format(time.RFC3339))
	return nil
}

// VersionWithdraw withdraws a version permanently.
func VersionWithdraw(ctx context.Context, options Options, service, version, reason string, w io.Writer) error {
	request := &wire.VersionWithdrawRequest{Service: service, Version: version, Reason: reason, Operator: options.Operator}
	response, err := callEntries(ctx, options, func(ctx context.Context, client wire.OperatorClient) (*wire.VersionResponse, error) {
		return client.VersionWithdraw(ctx, request)
	})
	if err != nil {
		return err
	}
	if err := resultError(response); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%s %s is withdrawn\n", service, version)
	return nil
}
