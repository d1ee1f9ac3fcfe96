package placement

import "time"

const (
	// usageMaxAge is the age from which an agent's usage report is ignored.
	usageMaxAge = 5 * time.Second
	// overShareFactor is the excess over the share that makes a member over-share; it
	// keeps a member at its share from alternating between the classes.
	overShareFactor = 1.1
)

type usageReport struct {
	at     time.Time
	byName map[string]float64
}

// Usage sums the members' use of the pool from the agents' reports.
type Usage struct {
	reports map[string]usageReport
	totals  map[string]float64
	total   float64
}

// NewUsage returns a Usage without reports.
func NewUsage() *Usage {
	return &Usage{reports: map[string]usageReport{}, totals: map[string]float64{}}
}

// Observe replaces the report of one target, in tokens per second by member.
func (u *Usage) Observe(target string, at time.Time, byName map[string]float64) {
	u.reports[target] = usageReport{at, byName}
}

// Refresh drops old reports and sums the others.
func (u *Usage) Refresh(now time.Time) {
	u.totals, u.total = map[string]float64{}, 0
	for target, r := range u.reports {
		if now.Sub(r.at) > usageMaxAge {
			delete(u.reports, target)
			continue
		}
		for name, use := range r.byName {
			u.totals[name] += use
			u.total += use
		}
	}
}

// OverShare reports whether a member uses more of the pool's work than its share among
// the members that use the pool. A member alone is never over its share. The shares are
// those of the operator configuration; they need not add up to 100.
func (u *Usage) OverShare(member string, share func(member string) float64) bool {
	competing := 0.0
	for name, use := range u.totals {
		if use > 0 {
			competing += share(name)
		}
	}
	return competing > 0 && u.totals[member] > overShareFactor*u.total*share(member)/competing
}
