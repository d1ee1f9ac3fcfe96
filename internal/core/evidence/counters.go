// Package evidence aggregates request outcomes per version, route, zone and load level,
// and tests whether a new version is worse than the old one.
package evidence

import "bramleygap/internal/wire"

// Key identifies one bucket of outcomes.
type Key struct {
	Service, Version, Route, Zone string
	Level                         int
}

// Counts are the outcomes of one bucket. They only increase.
type Counts struct {
	Requests, Failures, Slow, SuspectFailures uint64
}

func (c Counts) add(o Counts) Counts {
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

// Counters holds the outcomes counted by this entry and copies of those counted by others.
type Counters struct {
	self     origin
	byOrigin map[origin]map[Key]Counts
}

// NewCounters returns empty counters for one incarnation of an entry.
func NewCounters(entry string, incarnation uint64) *Counters {
	return &Counters{self: origin{entry, incarnation}, byOrigin: map[origin]map[Key]Counts{}}
}

// Add counts one request of this entry. A failure while a suspect request was on the target
// is counted separately from failures of the version.
func (c *Counters) Add(key Key, failed, slow, suspectPresent bool) {
	delta := Counts{Requests: 1}
	switch {
	case failed && suspectPresent:
		delta.SuspectFailures = 1
	case failed:
		delta.Failures = 1
	case slow:
		delta.Slow = 1
	}
	buckets := c.buckets(c.self)
	buckets[key] = buckets[key].add(delta)
}

func (c *Counters) buckets(o origin) map[Key]Counts {
	b := c.byOrigin[o]
	if b == nil {
		b = map[Key]Counts{}
		c.byOrigin[o] = b
	}
	return b
}

// Totals sums the counts of a version over all origins.
func (c *Counters) Totals(service, version string) map[Key]Counts {
	totals := map[Key]Counts{}
	for _, buckets := range c.byOrigin {
		for key, counts := range buckets {
			if key.Service == service && key.Version == version {
				totals[key] = totals[key].add(counts)
			}
		}
	}
	return totals
}

// Retain drops other entries' counts of services for which keep returns false. Own counts
// are kept: if they restarted from 0, other entries would ignore them in favour of their
// larger copies.
func (c *Counters) Retain(keep func(service string) bool) {
	for o, buckets := range c.byOrigin {
		if o == c.self {
			continue
		}
		for key := range buckets {
			if !keep(key.Service) {
				delete(buckets, key)
			}
		}
		if len(buckets) == 0 {
			delete(c.byOrigin, o)
		}
	}
}

// Export returns the counts of the services for which keep returns true, in no
// particular order.
func (c *Counters) Export(keep func(service string) bool) []*wire.EvidenceCounter {
	var out []*wire.EvidenceCounter
	for o, buckets := range c.byOrigin {
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

// Merge merges the counts of other entries. The larger count of each origin is kept, since
// counts only increase. Copies of this incarnation's own counts are ignored.
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
