// Package placement chooses the target of an attempt.
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
	// Preempted marks an attempt after one that an agent preempted. It costs no retry
	// budget and is never refused as over-share work, whether or not a token was
	// delivered: the system interrupted it, and the agents bound how often.
	Preempted bool
	// Exclude lists names of targets that must not be chosen.
	Exclude []string
	// Started is when the generation's first attempt began; older resumes go first.
	Started time.Time
	// Deadline is the time by which the caller needs the result; zero means none.
	Deadline time.Time
}

// Decision is the chosen target and version.
type Decision struct {
	Target  membership.Target
	Version string
	// Suspect says that the request ran on a target when it crashed, so that it
	// must not share a target with another suspect.
	Suspect bool
}

// Outcome reports how an attempt went.
type Outcome struct {
	// Failed is set if the target or its VM failed the attempt.
	Failed bool
	// TargetDied is set if the target crashed during the attempt.
	TargetDied bool
	// Cancelled is set if the caller or the entry ended the attempt; it counts neither as success nor as failure.
	Cancelled bool
	// FirstToken is the time from start to the first token; 0 if none arrived.
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens; 0 if fewer than two arrived.
	TokenInterval time.Duration
	Tokens        int
}
