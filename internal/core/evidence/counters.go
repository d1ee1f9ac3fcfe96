// Package evidence pools the outcomes of requests per version, route, zone and load
// level, and tests whether a new version is worse than the old one.
package evidence

import "bramleygap/internal/wire"

// Key names one bucket of outcomes.
type Key struct {
	Service, Version, Route, Zone string
	Level                         int
}

// Counts are the outcomes of one bucket. They only grow.
type Counts struct {
	Requests, Failures, Slow, SuspectFailures uint64
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failures + o.Failures, c.Slow + o.Slow, c.SuspectFailures + o.SuspectFailures}
}

func (c Counts) max(o Counts) Counts {
	return Counts{
		max(c.Requests, o.Requests), max(c.Failures, o.Failures),
		max(c.Slow, o.Slow), max(c.SuspectFailures, o.SuspectFailures),
	}
}

type origin struct {
	name        string
	incarnation uint64
}

// Counters holds the outcomes counted here and copies of those counted by other entries.
type Counters struct {
	self origin
	byOr map[origin]map[Key]Counts
}

// NewCounters returns empty counters for one incarnation of an entry.
func NewCounters(entry string, incarnation uint64) *Counters {
	return &Counters{self: origin{entry, incarnation}, byOr: map[origin]map[Key]Counts{}}
}

// Add counts one request of this entry. A failure with a suspect request on the target
// counts apart from failures of the version.
func (c *Counters) Add(key Key, failed, slow, suspectAboard bool) {
	delta := Counts{Requests: 1}
	switch {
	case failed && suspectAboard:
		delta.SuspectFailures = 1
	case failed:
		delta.Failures = 1
	case slow:
		delta.Slow = 1
	}
	buckets := c.buckets(c.self)
	buckets[key] = buckets[key].plus(delta)
}

func (c *Counters) buckets(o origin) map[Key]Counts {
	b := c.byOr[o]
	if b == nil {
		b = map[Key]Counts{}
		c.byOr[o] = b
	}
	return b
}

// Totals sums the counts of a version over all origins.
func (c *Counters) Totals(service, version string) map[Key]Counts {
	totals := map[Key]Counts{}
	for _, buckets := range c.byOr {
		for key, counts := range buckets {
			if key.Service == service && key.Version == version {
				totals[key] = totals[key].plus(counts)
			}
		}
	}
	return totals
}

// Retain drops other entries' counts of services for which keep returns false. Own counts
// stay: if they started again from 0, the larger copies at other entries would hide them.
func (c *Counters) Retain(keep func(service string) bool) {
	for o, buckets := range c.byOr {
		if o == c.self {
			continue
		}
		for key := range buckets {
			if !keep(key.Service) {
				delete(buckets, key)
			}
		}
		if len(buckets) == 0 {
			delete(c.byOr, o)
		}
	}
}

// Export returns the counts of the services for which keep returns true, in no
// particular order.
func (c *Counters) Export(keep func(service string) bool) []*wire.EvidenceCounter {
	var out []*wire.EvidenceCounter
	for o, buckets := range c.byOr {
		for k, n := range buckets {
			if !keep(k.Service) {
				continue
			}
			out = append(out, &wire.EvidenceCounter{
				Origin: o.name, Incarnation: o.incarnation, Service: k.Service, Version: k.Version,
				Route: k.Route, Zone: k.Zone, LoadLevel: uint32(k.Level), Requests: n.Requests,
				Failures: n.Failures, Slow: n.Slow, SuspectFailures: n.SuspectFailures,
			})
		}
	}
	return out
}

// Merge takes in counts of other entries: the larger count of each origin wins, since
// counts only grow. Copies of this incarnation's own counts are ignored.
func (c *Counters) Merge(in []*wire.EvidenceCounter, keep func(service string) bool) {
	for _, e := range in {
		o := origin{e.GetOrigin(), e.GetIncarnation()}
		if o == c.self || !keep(e.GetService()) {
			continue
		}
		key := Key{e.GetService(), e.GetVersion(), e.GetRoute(), e.GetZone(), int(e.GetLoadLevel())}
		buckets := c.buckets(o)
		buckets[key] = buckets[key].max(Counts{e.GetRequests(), e.GetFailures(), e.GetSlow(), e.GetSuspectFailures()})
	}
}
