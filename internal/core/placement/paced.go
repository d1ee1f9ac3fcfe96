package placement

import (
	"time"

	"bramleygap/internal/core/pacing"
)

// CallTargets returns the targets whose room the gateways share when the calls of a service are paced, with those that
// hold requests back now. Targets that fail most of their calls are left out, unless all do: room there would draw the
// calls that wait for sound targets, also if a trial of the target is due.
func (f *Fleet) CallTargets(now time.Time, service string) []pacing.Target {
	q := FleetQuery{Service: service}
	var sound, all []pacing.Target
	for _, t := range f.order {
		if !q.matches(t) || !t.usable(now) || t.leaving() {
			continue
		}
		target := pacing.Target{ID: t.reg.ID, Slots: t.reg.Slots, Active: t.activeCalls}
		if t.notice != nil {
			target.HeldUntil = t.notice.PausedUntil
		}
		all = append(all, target)
		if t.failures.get(now) <= failureThreshold && !t.recent.failing() {
			sound = append(sound, target)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// CallTrials returns the limits of the failing targets to which a call of a service may be sent as a trial: one more
// than their calls. It returns none if all targets fail, since they have shares then.
func (f *Fleet) CallTrials(now time.Time, service string) map[string]int {
	q := FleetQuery{Service: service}
	var trials map[string]int
	sound := false
	for _, t := range f.order {
		switch {
		case !q.admits(t, now) || t.leaving() || t.failures.get(now) > failureThreshold:
		case !t.recent.failing():
			sound = true
		case f.trialDue(now, &q, t):
			if trials == nil {
				trials = map[string]int{}
			}
			trials[t.reg.ID] = t.activeCalls + 1
		}
	}
	if !sound {
		return nil
	}
	return trials
}

// HasCallShare reports whether a target that may be chosen has a limit above 0 in the query, reached or not.
func (f *Fleet) HasCallShare(now time.Time, q FleetQuery) bool {
	limits := q.CallLimits
	q.CallLimits = nil
	for _, t := range f.order {
		if limits[t.reg.ID] > 0 && q.admits(t, now) {
			return true
		}
	}
	return false
}
