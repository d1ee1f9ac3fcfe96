package rollout

import "time"

// An order asks gateways that call targets directly, without agents, to move a service's
// traffic to a new version within seconds. The operators start and stop the targets
// themselves. There is time for only one step: the version gets a fixed share of the
// requests while evidence is gathered, and then all of them or none.

const (
	// TrialShare is the share of a service's requests that a version gets while it is on
	// trial. Operators permit a tenth for a bad version.
	TrialShare = 0.08
	// completeFraction is the fraction of an order's duration after which a version that
	// is not likely bad is completed; one shown to be good is completed in half that time.
	// The rest leaves time to write the decision and for a change of owner.
	completeFraction = 0.7
	// withdrawFraction is the fraction after which any other version is withdrawn, unless
	// it had minTrialRequests or more and none failed or was slow.
	withdrawFraction = 0.85
	// minTrialRequests is the minimum number of requests for completion without a verdict.
	minTrialRequests = 3
)

// OrderState is the state of an order.
type OrderState int

// States of an order.
const (
	// OrderUnknown means that the state has not been read from the store yet.
	OrderUnknown OrderState = iota
	OrderRunning
	OrderCompleted
	OrderWithdrawn
)

// Final reports whether the order has ended.
func (s OrderState) Final() bool { return s == OrderCompleted || s == OrderWithdrawn }

// OrderTrial is the evidence on a version on trial.
type OrderTrial struct {
	// Elapsed is the time since the order was accepted, Duration the time it may take.
	Elapsed, Duration time.Duration
	// Requests, Failures and Slow count the version's requests over all gateways.
	Requests, Failures, Slow uint64
	// Bad is set once the version is shown to be bad, Good once it is shown to be good,
	// and LikelyBad while the evidence against it is strong but not conclusive.
	Bad, Good, LikelyBad bool
}

// DecideOrder returns the next state of an order. A bad version is withdrawn at once. A
// version without enough traffic for a decision is withdrawn at the end, since the old
// version is stopped once the new one has taken over.
func DecideOrder(t *OrderTrial) OrderState {
	fraction := float64(t.Elapsed) / float64(max(1, t.Duration))
	switch {
	case t.Bad:
		return OrderWithdrawn
	case t.Good && fraction >= completeFraction/2, fraction >= completeFraction && t.Requests >= minTrialRequests && !t.LikelyBad:
		return OrderCompleted
	case fraction >= withdrawFraction && t.Requests >= minTrialRequests && t.Failures+t.Slow == 0:
		return OrderCompleted
	case fraction >= withdrawFraction:
		return OrderWithdrawn
	}
	return OrderRunning
}

// OrderShare returns the share of requests that a version gets in a state.
func OrderShare(s OrderState) float64 {
	switch s {
	case OrderRunning:
		return TrialShare
	case OrderCompleted:
		return 1
	}
	return 0
}

// MergeOrder merges two gateways' states of one order: a final state takes precedence, and
// OrderWithdrawn takes precedence over OrderCompleted.
func MergeOrder(a, b OrderState) OrderState { return max(a, b) }
