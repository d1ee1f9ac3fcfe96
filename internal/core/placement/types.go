// Package placement chooses the targets on which attempts run.
package placement

import (
	"time"

	"bramleygap/internal/core/membership"
)

// Request describes one attempt that needs a target.
type Request struct {
	Service string
	// Version is fixed for a resumed generation and empty for a new one.
	Version string
	Route   string
	Account string
	Member  string
	// Blocks are the hashes of the prompt's leading blocks, first block first.
	Blocks      []uint64
	Fingerprint uint64
	// Resume marks an attempt that continues a generation after a loss.
	Resume bool
	// Retry marks any attempt but the first.
	Retry bool
	// Preempted marks an attempt that follows one preempted by an agent. It consumes no
	// retry budget and is never refused as over-share work, even if no token was delivered:
	// the system caused the interruption, and agents limit how often they preempt a
	// generation.
	Preempted bool
	// Exclude lists the names of targets that must not be chosen.
	Exclude []string
	// Started is when the generation's first attempt began; older generations resume first.
	Started time.Time
	// Deadline is the time by which the caller needs the result; zero for none.
	Deadline time.Time
}

// Suspicion is how strongly a request is suspected of crashing its targets.
type Suspicion int

const (
	// NotSuspected requests were not running on a target when it crashed.
	NotSuspected Suspicion = iota
	// Suspected requests were running on a target when it crashed. They prefer targets
	// without another suspect but may share one: a crash makes suspects of all requests in
	// an engine's batch, and giving each its own engine would delay the resumes of those
	// that did not cause it.
	Suspected
	// Isolated requests are rejected at their next crash. They do not share a target with
	// other suspects, so that the crash is not attributed to a request that did not cause it.
	Isolated
)

// Decision is the chosen target and version for an attempt.
type Decision struct {
	Target  membership.Target
	Version string
	// Suspicion is the request's suspicion when the target was chosen.
	Suspicion Suspicion
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Failed is set if the attempt failed because of the target or its VM.
	Failed bool
	// TargetDied is set if the target crashed during the attempt.
	TargetDied bool
	// Cancelled is set if the caller or the entry ended the attempt. The attempt then counts
	// neither as a success nor as a failure.
	Cancelled bool
	// FirstToken is the time from the start to the first token; 0 if none arrived.
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens; 0 if fewer than two arrived.
	TokenInterval time.Duration
	Tokens        int
}
