package rollout

import (
	"time"

	"bramleygap/internal/core/evidence"
)

const (
	// stepPart is the part of the time per step that a passing step is observed for.
	stepPart = 0.25
	// maxUnjudgedStep is the highest step (20%) that is reached by pace alone, to gather
	// evidence where traffic is low.
	maxUnjudgedStep = 3
)

// Owner identifies an entry that may hold the lease.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Input is what an entry knows about one rollout.
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
	// Loaded is set if enough targets have the version for the next step.
	Loaded bool
	// Current is set if this is the rollout of its service that is worked on. Others take no
	// lease, since a lease raises the fencing number that the service's orders need.
	Current bool
	// Fenced is set if a target obeyed a higher fencing number than the lease's.
	Fenced bool
	// PreviousLoaded is set while a usable target still has the previous version.
	PreviousLoaded bool
}

// Output is what the entry does next.
type Output struct {
	// Withdraw, if not empty, is the reason for adding the version to the set of
	// withdrawn versions. It needs neither the lease nor the table.
	Withdraw string
	// Put, if not nil, replaces the row by compare-and-set on the revision read.
	Put *Row
	// Acquire is set if Put takes a new lease: the fencing number is drawn from the
	// service's row in the same transaction.
	Acquire bool
}

// Decide returns the next action. A row that was written since it was read makes the
// compare-and-set fail, so an owner that was paused cannot act on it.
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
		return Output{Put: ended(in, Withdrawn, "withdrawn")}
	}
	if in.Verdict.Withdraw {
		return Output{Withdraw: in.Verdict.Reason, Put: ended(in, Withdrawn, in.Verdict.Reason)}
	}
	if !in.Now.Before(at(in.Row.Deadline)) {
		const reason = "not complete at the deadline"
		return Output{Withdraw: reason, Put: ended(in, Withdrawn, reason)}
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
		return Output{Put: ended(in, Withdrawn, "withdrawn after completion")}
	}
	if in.Verdict.Withdraw && in.Now.Before(PreviousKeptUntil(&in.Row)) {
		return Output{Withdraw: in.Verdict.Reason, Put: ended(in, Withdrawn, in.Verdict.Reason)}
	}
	if !Retiring(&in.Row, in.Now) || !in.Current || in.Now.Sub(in.ReadAt) > in.Times.maxRowAge() {
		return Output{}
	}
	if !in.holdsLease() {
		return in.acquire()
	}
	if !in.PreviousLoaded {
		row := in.Row
		row.Retired = true
		return Output{Put: &row}
	}
	return Output{Put: in.renew()}
}

// Retiring reports whether the previous version is to be unloaded: the time for which it
// stays loaded is configured and over, and it is not unloaded yet.
func Retiring(r *Row, now time.Time) bool {
	return r.State == Done && r.KeepPrevious > 0 && !r.Retired && !now.Before(PreviousKeptUntil(r))
}

// renew returns the row with a new lease, or nil while the lease is young.
func (in *Input) renew() *Row {
	if at(in.Row.LeaseUntil).Sub(in.Now) >= in.Times.Lease-in.Times.renewAfter() {
		return nil
	}
	row := in.Row
	row.LeaseUntil = in.Now.Add(in.Times.Lease).UnixMilli()
	return &row
}

// PreviousKeptUntil returns until when the previous version of a completed rollout
// stays loaded and takes the traffic back if the new one turns bad.
func PreviousKeptUntil(r *Row) time.Time {
	return at(r.Ended).Add(time.Duration(r.KeepPrevious) * time.Millisecond)
}

func ended(in *Input, state State, reason string) *Row {
	row := in.Row
	row.State, row.Reason, row.Ended = state, reason, in.Now.UnixMilli()
	return &row
}

func (in *Input) holdsLease() bool {
	return !in.Fenced && in.Times.HoldsLease(&in.Row, in.Self, in.Now)
}

// acquire takes a lease that has ended, or a new one in place of the own lease.
func (in *Input) acquire() Output {
	if in.Now.Before(at(in.Row.LeaseUntil).Add(in.Times.leaseMargin())) && in.Row.Owner != in.Self.Name {
		return Output{}
	}
	row := in.Row
	row.Owner, row.Incarnation = in.Self.Name, in.Self.Incarnation
	row.LeaseUntil = in.Now.Add(in.Times.Lease).UnixMilli()
	return Output{Put: &row, Acquire: true}
}

// advance returns the row of the next step, or nil if the step goes on.
func (in *Input) advance() *Row {
	last := len(steps) - 1
	left := at(in.Row.Deadline).Sub(in.Now)
	if left <= in.Times.DecideBefore {
		return in.decideAtDeadline(left)
	}
	if !in.Loaded {
		return nil
	}
	if in.Row.Step == 0 {
		return in.step()
	}
	onStep := in.Now.Sub(at(in.Row.StepSince))
	perStep := max(in.Times.MinStep, (left+onStep-in.Times.DecideBefore)/time.Duration(last-in.Row.Step+1))
	observe := min(in.Times.MaxStep, max(in.Times.MinStep, time.Duration(stepPart*float64(perStep))))
	switch {
	case in.Row.Step == last && in.Verdict.StepPassed && in.Verdict.Passed && onStep >= observe:
		return ended(in, Done, "")
	case in.Row.Step == last:
		return nil
	case in.Verdict.StepPassed && onStep >= observe:
		return in.step()
	case onStep >= perStep && !in.Verdict.LikelyBad && in.Row.Step < maxUnjudgedStep:
		return in.step()
	}
	return nil
}

// decideAtDeadline completes a version shown to be good. Others are left to be withdrawn
// at the deadline, unless the operator wants an unjudged version to finish.
func (in *Input) decideAtDeadline(left time.Duration) *Row {
	if left <= in.Times.FinishMargin || !in.Loaded {
		return nil
	}
	if in.Verdict.Passed {
		return ended(in, Done, "")
	}
	if in.Row.OnTooLittleTraffic == FinishOnTooLittleTraffic && !in.Verdict.LikelyBad {
		return ended(in, Done, "too little traffic to judge")
	}
	return nil
}

func (in *Input) step() *Row {
	row := in.Row
	row.Step++
	row.StepSince = in.Now.UnixMilli()
	return &row
}
