package rollout

import "time"

// Times holds the durations that govern rollouts. All entries of an installation use the
// same values.
type Times struct {
	// Lease is how long an owner may act after a write. It bounds how long a rollout
	// stalls when its owner crashes.
	Lease time.Duration
	// MinStep is the minimum duration of a step, so that its results arrive before the
	// next one.
	MinStep time.Duration
	// MaxStep is the maximum time for which a passing step is observed.
	MaxStep time.Duration
	// DecideBefore is how long before the deadline the owner decides. It leaves time for a
	// takeover of the lease and a few polls of the row.
	DecideBefore time.Duration
	// FinishMargin is the time before the deadline from which a rollout is no longer
	// completed: entries that have not read "done" by the deadline withdraw the version.
	FinishMargin time.Duration
}

// DefaultTimes returns the times used unless the settings say otherwise.
func DefaultTimes() Times {
	return Times{
		Lease: 10 * time.Second, MinStep: 10 * time.Second, MaxStep: 5 * time.Minute,
		DecideBefore: 20 * time.Second, FinishMargin: 3 * time.Second,
	}
}

// leaseMargin is the margin at the end of the lease for the clock difference between entries.
func (t *Times) leaseMargin() time.Duration { return t.Lease / 10 }

// renewAfter is the age of a lease at which it is renewed. It leaves time for several attempts
// before the lease expires.
func (t *Times) renewAfter() time.Duration { return 3 * t.Lease / 10 }

// maxRowAge is how long after its last read a row may be acted on.
func (t *Times) maxRowAge() time.Duration { return 3 * t.Lease / 10 }

// HoldsLease reports whether self may act on the row at the given time.
func (t *Times) HoldsLease(r *Row, self Owner, now time.Time) bool {
	return r.Owner == self.Name && r.Incarnation == self.Incarnation &&
		now.Before(at(r.LeaseUntil).Add(-t.leaseMargin()))
}
