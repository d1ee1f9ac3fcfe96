package placement

import "time"

const (
	// minRecentAttempts is the number of attempts that a target must have ended before their share of failures
	// counts. A single failure says little.
	minRecentAttempts = 2
	// trialDelay is the least time between a failure of a failing target and the next call that may be sent to it
	// while others are sound. With the half-life of the failure rate, it is how soon a target returns.
	trialDelay = 2 * time.Second
	// callsPerTrial is the number of a service's calls of which at most one is sent to a failing target while
	// others are sound. At a low rate, all calls would otherwise find such a target due.
	callsPerTrial = 5
)

// recentAttempts is the share of failures among a target's recent attempts. It does not decay with time, so that it
// also holds at a rate of calls at which a decaying failure rate forgets each failure before the next one.
type recentAttempts struct {
	count int
	share float64
	// failedAt is when the last attempt failed, zero if it did not fail.
	failedAt time.Time
}

func (r *recentAttempts) add(now time.Time, failed bool) {
	sample := 0.0
	r.failedAt = time.Time{}
	if failed {
		sample, r.failedAt = 1, now
	}
	// The first attempts have equal weights.
	r.count++
	r.share += max(failureWeight, 1/float64(r.count)) * (sample - r.share)
}

// failing reports whether the target fails most of its calls and failed the last one.
func (r *recentAttempts) failing() bool {
	return r.count >= minRecentAttempts && !r.failedAt.IsZero() && r.share > failureThreshold
}

// failureCost returns what a target's failures add to the cost of a call. A failing target is the last resort, unless
// the call is due as a trial. Among targets of which all fail, the one that failed longest ago is next, so that a sound
// one is found within as many calls as there are targets.
func (f *Fleet) failureCost(now time.Time, q *FleetQuery, t *targetState) time.Duration {
	rate := t.failures.get(now)
	failing := t.recent.failing() && !f.trialDue(now, q, t)
	if rate <= failureThreshold && !failing {
		return 0
	}
	cost := lastResortCost + time.Duration(rate*float64(time.Second))
	if failing {
		age := max(0, now.Sub(t.recent.failedAt)).Seconds()
		cost += time.Duration((t.recent.share + 1/(1+age)) * float64(time.Second))
	}
	return cost
}

// trialDue reports whether a call may be sent to a failing target to find out whether it still fails. An attempt after
// another one is no trial: it may be the call's last one.
func (f *Fleet) trialDue(now time.Time, q *FleetQuery, t *targetState) bool {
	return len(q.Exclude) == 0 && now.Sub(t.recent.failedAt) >= trialDelay && f.callsSinceTrial[q.Service] >= callsPerTrial
}

// countCall counts a call of a service towards the next trial, if it is not one itself.
func (f *Fleet) countCall(now time.Time, q *FleetQuery, t *targetState) {
	if t.recent.failing() && f.trialDue(now, q, t) {
		f.callsSinceTrial[q.Service] = 0
		return
	}
	f.callsSinceTrial[q.Service]++
}
