// Package router chooses targets for one entry. It owns the in-flight counts, the
// retry budgets and the suspects, and applies the rollouts' traffic split.
package router

import (
	"context"

	"bramleygap/internal/core/placement"
)

// Assignment is a target reserved for one attempt.
type Assignment struct {
	placement.Decision
	// Done releases the target and reports the outcome. It must be called exactly once.
	Done func(placement.Outcome)
}

// Router reserves targets.
type Router interface {
	// Place waits for a target until ctx ends. Errors are *result.Error values.
	Place(ctx context.Context, request placement.Request) (*Assignment, error)
	// ReportDeath attributes a target's crash to the requests that ran on it.
	// Repeated reports with the same death id count once.
	ReportDeath(deathID string, fingerprints []uint64, version string)
	// ReportProgress reports that a request is running, or has completed, without a crash.
	ReportProgress(fingerprint uint64, completed bool)
}
