package rollout

import "time"

// An order asks gateways that reach targets directly to move a service's traffic to a
// version whose targets the operators start and stop themselves, within seconds. There is
// time for one step: a fixed share while evidence is gathered, and then all or nothing.

const (
	// TrialShare is the part of a service's requests that a version gets while it is on
	// trial. Operators permit a tenth for a bad version.
	TrialShare = 0.08
	// decidePart is the part of an order's time after which a version that nothing speaks
	// against takes over; the rest is left for writing that and for a new owner.
	decidePart = 0.7
	// latePart is the part after which one that leans to bad is taken back.
	latePart = 0.85
	// trialRequests is the least number of requests to judge by.
	trialRequests = 3
)

// OrderState is the state of an order.
type OrderState int

// States of an order. The final ones are not left.
const (
	// OrderUnknown means that the state has not been read from the store yet.
	OrderUnknown OrderState = iota
	OrderRunning
	OrderCompleted
	OrderWithdrawn
)

// Final reports whether the state is not left.
func (s OrderState) Final() bool { return s == OrderCompleted || s == OrderWithdrawn }

// OrderTrial is what is known of a version on trial.
type OrderTrial struct {
	// Elapsed is the time since the order was accepted, of Duration.
	Elapsed, Duration time.Duration
	// Requests, Failures and Slow count the version's requests over all gateways.
	Requests, Failures, Slow uint64
	// Bad is set once the version is shown to be bad, Good once it is shown to be good,
	// and LikelyBad while results speak against it without showing it bad.
	Bad, Good, LikelyBad bool
}

// DecideOrder returns the state that an order takes. A bad version is taken back at once;
// a version without traffic to judge by is taken back at the end, since the old one is
// stopped when the new one has taken over.
func DecideOrder(t *OrderTrial) OrderState {
	part := float64(t.Elapsed) / float64(max(1, t.Duration))
	switch {
	case t.Bad:
		return OrderWithdrawn
	case t.Good && part >= decidePart/2, part >= decidePart && t.Requests >= trialRequests && !t.LikelyBad:
		return OrderCompleted
	case part >= latePart && t.Requests >= trialRequests && t.Failures+t.Slow == 0:
		return OrderCompleted
	case part >= latePart:
		return OrderWithdrawn
	}
	return OrderRunning
}

// OrderShare returns the part of the requests that a version gets in a state.
func OrderShare(s OrderState) float64 {
	switch s {
	case OrderRunning:
		return TrialShare
	case OrderCompleted:
		return 1
	}
	return 0
}

// MergeOrder joins two gateways' views of one order: a final state wins, and of two final
// ones the withdrawal.
func MergeOrder(a, b OrderState) OrderState { return max(a, b) }
