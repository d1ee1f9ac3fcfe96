package rollout

import "time"

// An order asks gateways that call targets directly, without agents, to move a service's
// traffic to a new version within seconds. The operators start and stop the targets
// themselves. There is time for only one step: the version gets a fixed share of the
// requests while evidence is gathered, and then all of them or none.
//
// The operators stop the previous version's targets as soon as an order is completed, which
// ends what still runs there. Where the settings ask for it, a version on trial therefore gets
// more requests as time passes, then all new ones, and the order is completed once the previous
// version has ended its streams.

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
	// drainFraction is the fraction of an order's duration after which a version that is not likely
	// bad gets all new requests while the previous one drains. Streams take 6 to 8 s, orders 15 s.
	drainFraction = 0.6
	// minDrain is the shortest time for draining: all gateways know of it by then, and what they had
	// sent before is in their reports.
	minDrain = 1500 * time.Millisecond
)

// trialSteps are the shares of requests that a version on trial gets before draining begins, the last first. By then it
// has had 8.7% of the order's requests, less than the tenth that operators permit for a bad version. If draining has not
// begun at the last fraction, the version is on trial as usual: the owner of the order does not drain, or has doubts.
var trialSteps = []struct{ fraction, share float64 }{{drainFraction + 0.03, TrialShare}, {0.5, 0.35}, {0.4, 0.2}}

// OrderState is the state of an order.
type OrderState int

// States of an order.
const (
	// OrderUnknown means that the state has not been read from the store yet.
	OrderUnknown OrderState = iota
	OrderRunning
	OrderCompleted
	OrderWithdrawn
	// OrderDraining means that the version gets all new requests and the previous version ends what it
	// runs. It precedes OrderCompleted; its number follows the others, which are on the wire.
	OrderDraining
)

// Judged reports whether results of the version are still evidence for or against it.
func (s OrderState) Judged() bool { return s == OrderRunning || s == OrderDraining }

// Stored returns the state that operators see in the store.
func (s OrderState) Stored() OrderState {
	if s == OrderDraining {
		return OrderRunning
	}
	return s
}

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
	// DrainPrevious is set if the previous version is to end its streams before the order is completed.
	DrainPrevious bool
	// Draining is the time since draining began, 0 if it has not, and PreviousStreams the number of
	// streams that still run on the previous version, over all gateways, 1 or more if that is not known.
	Draining        time.Duration
	PreviousStreams int
}

// accepted reports whether a version may get more traffic than on trial.
func (t *OrderTrial) accepted() bool { return t.Good || t.Requests >= minTrialRequests && !t.LikelyBad }

func (t *OrderTrial) fraction() float64 { return float64(t.Elapsed) / float64(max(1, t.Duration)) }

// DecideOrder returns the next state of an order. A bad version is withdrawn at once. A
// version without enough traffic for a decision is withdrawn at the end, since the old
// version is stopped once the new one has taken over.
func DecideOrder(t *OrderTrial) OrderState {
	fraction := t.fraction()
	switch {
	case t.Bad:
		return OrderWithdrawn
	case t.Draining > 0 && fraction >= withdrawFraction && !t.accepted():
		return OrderWithdrawn
	case t.Draining > 0 && t.accepted() && (fraction >= withdrawFraction || t.Draining >= minDrain && t.PreviousStreams == 0):
		return OrderCompleted
	case t.Draining > 0:
		return OrderDraining
	case t.DrainPrevious && fraction < withdrawFraction:
		if t.accepted() && (fraction >= drainFraction || t.Good && fraction >= completeFraction/2) {
			return OrderDraining
		}
		return OrderRunning
	case t.Good && fraction >= completeFraction/2, fraction >= completeFraction && t.Requests >= minTrialRequests && !t.LikelyBad:
		return OrderCompleted
	case fraction >= withdrawFraction && t.Requests >= minTrialRequests && t.Failures+t.Slow == 0:
		return OrderCompleted
	case fraction >= withdrawFraction:
		return OrderWithdrawn
	}
	return OrderRunning
}

// RunningShare returns the share of requests that a version on trial gets.
func RunningShare(t *OrderTrial) float64 {
	if t.DrainPrevious && t.accepted() {
		for _, step := range trialSteps {
			if t.fraction() >= step.fraction {
				return step.share
			}
		}
	}
	return TrialShare
}

// OrderShare returns the share of requests that a version gets in a state. running is its share on trial.
func OrderShare(s OrderState, running float64) float64 {
	switch s {
	case OrderRunning:
		return running
	case OrderCompleted, OrderDraining:
		return 1
	}
	return 0
}

// MergeOrder merges two gateways' states of one order: a final state takes precedence, and
// OrderWithdrawn takes precedence over OrderCompleted.
func MergeOrder(a, b OrderState) OrderState {
	if a.progress() >= b.progress() {
		return a
	}
	return b
}

// progress orders the states by precedence.
func (s OrderState) progress() int {
	switch s {
	case OrderUnknown, OrderRunning:
		return int(s)
	case OrderDraining:
		return int(OrderRunning) + 1
	}
	return int(s) + 1
}
