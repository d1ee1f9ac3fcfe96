package rollout

import "time"

// Times are the durations that a rollout keeps. All entries of an installation use the
// same ones.
type Times struct {
	// Lease is how long an owner may act after a write. It bounds how long a rollout rests
	// when its owner crashes.
	Lease time.Duration
	// MinStep lets results of a step arrive before the next one.
	MinStep time.Duration
	// MaxStep bounds the observation of a step that passes.
	MaxStep time.Duration
	// DecideBefore is how long before the deadline the owner decides: a takeover of the
	// lease and a few polls of the row fit between.
	DecideBefore time.Duration
	// FinishMargin is the time before the deadline from which a rollout is not completed
	// any more: entries that have not read "done" by the deadline withdraw the version.
	FinishMargin time.Duration
}

// DefaultTimes returns the times used unless the settings say otherwise.
func DefaultTimes() Times {
	return Times{
		Lease: 10 * time.Second, MinStep: 10 * time.Second, MaxStep: 5 * time.Minute,
		DecideBefore: 20 * time.Second, FinishMargin: 3 * time.Second,
	}
}

// leaseMargin is kept from the end of the lease, for clocks that differ.
func (t *Times) leaseMargin() time.Duration { return t.Lease / 10 }

// renewAfter leaves several attempts to renew before the lease ends.
func (t *Times) renewAfter() time.Duration { return 3 * t.Lease / 10 }

// maxRowAge is the age from which a row is too old to advance from.
func (t *Times) maxRowAge() time.Duration { return 3 * t.Lease / 10 }

// HoldsLease reports whether the owner may act on the row at the given time.
func (t *Times) HoldsLease(r *Row, self Owner, now time.Time) bool {
	return r.Owner == self.Name && r.Incarnation == self.Incarnation &&
		now.Before(at(r.LeaseUntil).Add(-t.leaseMargin()))
}
