package settings

import (
	"time"

	"bramleygap/internal/core/rollout"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/tomlcheck"
)

// Default intervals of rollouts.
const (
	DefaultPollInterval     = time.Second
	DefaultEvaluateInterval = 500 * time.Millisecond
)

// Rollout holds the timing settings of rollouts; 0 means the default. All entries of
// an installation must use the same values.
type Rollout struct {
	// LeaseTime to FinishMargin correspond to the fields of rollout.Times.
	LeaseTime    opconfig.Duration `toml:"lease_time"`
	MinStepTime  opconfig.Duration `toml:"min_step_time"`
	MaxStepTime  opconfig.Duration `toml:"max_step_time"`
	DecideBefore opconfig.Duration `toml:"decide_before"`
	FinishMargin opconfig.Duration `toml:"finish_margin"`
	// PollInterval is the time between two reads of the rollout rows.
	PollInterval opconfig.Duration `toml:"poll_interval"`
	// EvaluateInterval is the time between two decisions.
	EvaluateInterval opconfig.Duration `toml:"evaluate_interval"`
}

// Times returns the timing of rollout decisions, with defaults in place of 0.
func (r Rollout) Times() rollout.Times {
	times := rollout.DefaultTimes()
	for _, t := range []struct {
		configured time.Duration
		dest       *time.Duration
	}{
		{r.LeaseTime.Duration, &times.Lease}, {r.MinStepTime.Duration, &times.MinStep}, {r.MaxStepTime.Duration, &times.MaxStep},
		{r.DecideBefore.Duration, &times.DecideBefore}, {r.FinishMargin.Duration, &times.FinishMargin},
	} {
		if t.configured != 0 {
			*t.dest = t.configured
		}
	}
	return times
}

// Intervals returns the poll and the evaluate interval, with defaults in place of 0.
func (r Rollout) Intervals() (poll, evaluate time.Duration) {
	poll, evaluate = r.PollInterval.Duration, r.EvaluateInterval.Duration
	if poll == 0 {
		poll = DefaultPollInterval
	}
	if evaluate == 0 {
		evaluate = DefaultEvaluateInterval
	}
	return poll, evaluate
}

func checkRollout(d *tomlcheck.Document, r Rollout) {
	times := r.Times()
	poll, evaluate := r.Intervals()
	rules := []struct {
		key      string
		violated bool
		message  string
	}{
		{"lease_time", times.Lease < 5*(poll+evaluate), "is shorter than 5 times the poll and evaluate intervals together; an owner would lose its lease between two reads"},
		{"min_step_time", times.MinStep <= 0, "is not positive; write a time such as \"10s\""},
		{"max_step_time", times.MaxStep < times.MinStep, "is shorter than min_step_time"},
		{"finish_margin", times.FinishMargin < 2*poll, "is shorter than 2 poll intervals; entries must read a completed row before the deadline"},
		{"decide_before", times.DecideBefore <= times.FinishMargin+times.Lease, "is not longer than finish_margin and lease_time together; a new owner must be able to decide"},
		{"poll_interval", poll < 10*time.Millisecond, "is shorter than 10ms"},
		{"evaluate_interval", evaluate < 10*time.Millisecond, "is shorter than 10ms"},
	}
	for _, rule := range rules {
		if rule.violated {
			d.Add("rollout."+rule.key, "%s", rule.message)
		}
	}
}
