package rollout

import (
	"time"

	"bramleygap/internal/core/evidence"
)

const (
	// observeFraction is the fraction of the time per step for which a passing step is
	// observed.
	observeFraction = 0.25
	// maxStepWithoutVerdict is the highest step (20%) that a rollout reaches by elapsed
	// time alone, to gather evidence where traffic is low.
	maxStepWithoutVerdict = 3
)

// Owner identifies an entry that may hold the lease.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Input is the state of one rollout as known to an entry.
type Input struct {
	Times Times
	Now   time.Time
	Row   Row
	// ReadAt is when the row was read from the table.
	ReadAt time.Time
	Self   Owner
	// Withdrawn is set if the version is in the set of withdrawn versions.
	Withdrawn bool
	Verdict   evidence.Verdict
	// Loaded is set if enough targets have loaded the version for the next step.
	Loaded bool
	// Current is set if this is the rollout of its service that is being worked on.
	// Others acquire no lease, since a new lease raises the fencing token that all orders
	// for the service must carry.
	Current bool
	// Fenced is set if a target has accepted a higher fencing token than the lease's.
	Fenced bool
	// PreviousLoaded is set while a usable target still has the previous version loaded.
	PreviousLoaded bool
	// Missing is set if a usable target lacks the version.
	Missing bool
}

// Output is the next action of an entry.
type Output struct {
	// Withdraw, if not empty, is the reason for adding the version to the set of
	// withdrawn versions. This requires neither the lease nor the table.
	Withdraw string
	// Put, if not nil, replaces the row by compare-and-set on the revision read.
	Put *Row
	// Acquire is set if Put acquires a new lease: the fencing token is then drawn from
	// the service's row in the same transaction.
	Acquire bool
}

// Decide returns the next action. If the row has been written since it was read, the
// compare-and-set fails, so an owner that was paused cannot act on an outdated row.
func Decide(in *Input) Output {
	switch in.Row.State {
	case Running:
		return decideRunning(in)
	case Done:
		return decideDone(in)
	}
	if in.Row.State == Withdrawn && !in.Withdrawn {
		return Output{Withdraw: in.Row.Reason}
	}
	return Output{}
}

func decideRunning(in *Input) Output {
	if in.Withdrawn {
		return Output{Put: endedRow(in, Withdrawn, "withdrawn")}
	}
	if in.Verdict.Withdraw {
		return Output{Withdraw: in.Verdict.Reason, Put: endedRow(in, Withdrawn, in.Verdict.Reason)}
	}
	if !in.Now.Before(at(in.Row.Deadline)) {
		const reason = "not complete at the deadline"
		return Output{Withdraw: reason, Put: endedRow(in, Withdrawn, reason)}
	}
	if !in.Current || in.Now.Sub(in.ReadAt) > in.Times.maxRowAge() {
		return Output{}
	}
	if !in.holdsLease() {
		return in.acquire()
	}
	if row := in.advance(); row != nil {
		row.LeaseUntil = in.Now.Add(in.Times.Lease).UnixMilli()
		return Output{Put: row}
	}
	return Output{Put: in.renew()}
}

func decideDone(in *Input) Output {
	if in.Withdrawn {
		return Output{Put: endedRow(in, Withdrawn, "withdrawn after completion")}
	}
	if in.Verdict.Withdraw && in.Now.Before(PreviousKeptUntil(&in.Row)) {
		return Output{Withdraw: in.Verdict.Reason, Put: endedRow(in, Withdrawn, in.Verdict.Reason)}
	}
	retiring := Retiring(&in.Row, in.Now)
	if !retiring && !in.Missing || !in.Current || in.Now.Sub(in.ReadAt) > in.Times.maxRowAge() {
		return Output{}
	}
	if !in.holdsLease() {
		return in.acquire()
	}
	if retiring && !in.PreviousLoaded {
		row := in.Row
		row.Retired = true
		return Output{Put: &row}
	}
	return Output{Put: in.renew()}
}

// Retiring reports whether the previous version is to be unloaded: the time for which it
// stays loaded is limited and over, and it is not unloaded yet.
func Retiring(r *Row, now time.Time) bool {
	return r.State == Done && r.KeepPrevious > 0 && !r.Retired && !now.Before(PreviousKeptUntil(r))
}

// renew returns the row with an extended lease, or nil if renewal is not due yet.
func (in *Input) renew() *Row {
	if at(in.Row.LeaseUntil).Sub(in.Now) >= in.Times.Lease-in.Times.renewAfter() {
		return nil
	}
	row := in.Row
	row.LeaseUntil = in.Now.Add(in.Times.Lease).UnixMilli()
	return &row
}

// PreviousKeptUntil returns the time until which the previous version of a completed rollout
// stays loaded and takes the traffic back if the new version turns out to be bad.
func PreviousKeptUntil(r *Row) time.Time {
	return at(r.Ended).Add(time.Duration(r.KeepPrevious) * time.Millisecond)
}

func endedRow(in *Input, state State, reason string) *Row {
	row := in.Row
	row.State, row.Reason, row.Ended = state, reason, in.Now.UnixMilli()
	return &row
}

func (in *Input) holdsLease() bool {
	return !in.Fenced && in.Times.HoldsLease(&in.Row, in.Self, in.Now)
}

// acquire takes over a lease that has expired, or replaces this entry's own lease.
func (in *Input) acquire() Output {
	if in.Now.Before(at(in.Row.LeaseUntil).Add(in.Times.leaseMargin())) && in.Row.Owner != in.Self.Name {
		return Output{}
	}
	row := in.Row
	row.Owner, row.Incarnation = in.Self.Name, in.Self.Incarnation
	row.LeaseUntil = in.Now.Add(in.Times.Lease).UnixMilli()
	return Output{Put: &row, Acquire: true}
}

// advance returns the row for the next step, or nil if the current step continues.
func (in *Input) advance() *Row {
	last := len(steps) - 1
	remaining := at(in.Row.Deadline).Sub(in.Now)
	if remaining <= in.Times.DecideBefore {
		return in.decideAtDeadline(remaining)
	}
	if !in.Loaded {
		return nil
	}
	if in.Row.Step == 0 {
		return in.nextStep()
	}
	inStep := in.Now.Sub(at(in.Row.StepSince))
	perStep := max(in.Times.MinStep, (remaining+inStep-in.Times.DecideBefore)/time.Duration(last-in.Row.Step+1))
	observe := min(in.Times.MaxStep, max(in.Times.MinStep, time.Duration(observeFraction*float64(perStep))))
	switch {
	case in.Row.Step == last && in.Verdict.StepPassed && in.Verdict.Passed && inStep >= observe:
		return endedRow(in, Done, "")
	case in.Row.Step == last:
		return nil
	case in.Verdict.StepPassed && inStep >= observe:
		return in.nextStep()
	case inStep >= perStep && !in.Verdict.LikelyBad && in.Row.Step < maxStepWithoutVerdict:
		return in.nextStep()
	}
	return nil
}

// decideAtDeadline completes a version that was shown to be good. Other versions are
// withdrawn at the deadline, unless the operator configuration completes versions with too
// little traffic for a verdict.
func (in *Input) decideAtDeadline(remaining time.Duration) *Row {
	if remaining <= in.Times.FinishMargin || !in.Loaded {
		return nil
	}
	if in.Verdict.Passed {
		return endedRow(in, Done, "")
	}
	if in.Row.OnTooLittleTraffic == FinishOnTooLittleTraffic && !in.Verdict.LikelyBad {
		return endedRow(in, Done, "too little traffic to judge")
	}
	return nil
}

func (in *Input) nextStep() *Row {
	row := in.Row
	row.Step++
	row.StepSince = in.Now.UnixMilli()
	return &row
}
