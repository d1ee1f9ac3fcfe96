package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"bramleygap/internal/core/rollout"
	"bramleygap/internal/wire"
)

// followGrace is how long Follow waits after the deadline for the rollout to end. It
// exceeds callTimeout, so that a slow response does not end the wait.
const followGrace = time.Minute

// RolledBackError reports that a version was rolled back.
type RolledBackError struct{ Service, Version, Reason string }

// Error implements error.
func (e *RolledBackError) Error() string {
	return fmt.Sprintf("%s %s is taken back: %s", e.Service, e.Version, e.Reason)
}

// Follow prints each change of a rollout with its evidence until it ends. It returns nil
// once the rollout is done, a *RolledBackError if the version is rolled back, and another
// error if no entry reports the outcome within a minute after the deadline.
func Follow(ctx context.Context, options Options, service, version string, deadline time.Time, w io.Writer) error {
	last := ""
	for {
		status, err := getStatus(ctx, options)
		if v := findVersion(status, service, version); v != nil {
			if line := stepSummary(v); line != last {
				last = line
				_, _ = fmt.Fprintf(w, "%s %s; %d requests, %d failed, %d slow\n", time.Now().UTC().Format(time.RFC3339),
					line, v.GetRequests(), v.GetFailures(), v.GetSlow())
			}
			switch rollout.State(v.GetState()) {
			case rollout.Done:
				return nil
			case rollout.Withdrawn:
				return &RolledBackError{service, version, v.GetReason()}
			}
		}
		if time.Now().After(deadline.Add(followGrace)) {
			return fmt.Errorf("no entry reported the outcome of %s %s (last status: %q): %w", service, version, last, err)
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func findVersion(status *wire.StatusResponse, service, version string) *wire.VersionStatus {
	for _, v := range status.GetVersions() {
		if v.GetService() == service && v.GetVersion() == version {
			return v
		}
	}
	return nil
}

// stepSummary returns the part of the status whose changes Follow prints.
func stepSummary(v *wire.VersionStatus) string {
	text := fmt.Sprintf("%s at %g%%, owner %s", v.GetState(), v.GetShare(), orDash(v.GetOwner()))
	if v.GetReason() != "" {
		text += ": " + v.GetReason()
	}
	return text
}
