package placement

import "time"

const (
	// usageMaxAge is the age beyond which an agent's usage report is ignored.
	usageMaxAge = 5 * time.Second
	// overShareFactor is the ratio of usage to share above which a member is over-share. The
	// margin keeps a member at its share from alternating between the classes.
	overShareFactor = 1.1
)

type usageReport struct {
	at       time.Time
	byMember map[string]float64
}

// Usage aggregates the members' usage of the pool from the agents' reports.
type Usage struct {
	reports map[string]usageReport
	totals  map[string]float64
	total   float64
}

// NewUsage returns a Usage without reports.
func NewUsage() *Usage {
	return &Usage{reports: map[string]usageReport{}, totals: map[string]float64{}}
}

// Observe replaces the usage report of one target, in tokens per second by member.
func (u *Usage) Observe(target string, at time.Time, byMember map[string]float64) {
	u.reports[target] = usageReport{at, byMember}
}

// Refresh drops reports older than usageMaxAge and recomputes the totals.
func (u *Usage) Refresh(now time.Time) {
	u.totals, u.total = map[string]float64{}, 0
	for target, r := range u.reports {
		if now.Sub(r.at) > usageMaxAge {
			delete(u.reports, target)
			continue
		}
		for name, rate := range r.byMember {
			u.totals[name] += rate
			u.total += rate
		}
	}
}

// OverShare reports whether a member uses more of the pool than its share among the members
// that currently use it. A member that uses the pool alone is never over its share. The
// shares are those of the operator configuration; they need not add up to 100.
func (u *Usage) OverShare(member string, share func(member string) float64) bool {
	competingShares := 0.0
	for name, rate := range u.totals {
		if rate > 0 {
			competingShares += share(name)
		}
	}
	return competingShares > 0 && u.totals[member] > overShareFactor*u.total*share(member)/competingShares
}
