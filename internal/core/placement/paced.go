package placement

import (
	"time"

	"bramleygap/internal/core/pacing"
)

// CallTargets returns the targets whose room the gateways share when the calls of a service are paced, with those that
// hold requests back now. Targets that fail most of their calls are left out, unless all do: room there would draw the
// calls that wait for sound targets.
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
		if f.failureCost(now, &q, t) == 0 {
			sound = append(sound, target)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
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
