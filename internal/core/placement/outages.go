package placement

import (
	"time"

	"bramleygap/internal/core/membership"
)

const (
	// outageMemory is how long a target that was found down speaks for an outage of its
	// zone: the losses of a zone are noticed within a second of each other.
	outageMemory = time.Second
	// zoneSuspicion is the number of targets of a zone found down within outageMemory from
	// which all its targets are probed.
	zoneSuspicion = 2
)

// Outages remembers which targets were found down lately, and tells which others to probe:
// zones are lost as a whole, and a probe is cheaper than waiting for each stream's silence.
// It is not safe for concurrent use.
type Outages struct {
	found map[string]found
}

type found struct {
	zone string
	at   time.Time
}

// NewOutages returns an empty memory.
func NewOutages() *Outages { return &Outages{found: map[string]found{}} }

// Record records a target that was found down and reports whether that is news.
func (o *Outages) Record(now time.Time, target membership.Registration) bool {
	_, known := o.found[target.ID]
	o.found[target.ID] = found{target.Zone, now}
	return !known
}

// RecentlyDown reports whether a target was found down lately.
func (o *Outages) RecentlyDown(id string) bool {
	_, known := o.found[id]
	return known
}

// Targets returns the targets that were found down lately.
func (o *Outages) Targets() []string {
	ids := make([]string, 0, len(o.found))
	for id := range o.found {
		ids = append(ids, id)
	}
	return ids
}

// Expire forgets what was found longer ago than outageMemory.
func (o *Outages) Expire(now time.Time) {
	for id, f := range o.found {
		if now.Sub(f.at) > outageMemory {
			delete(o.found, id)
		}
	}
}

// TargetsToProbe returns the targets of a lost target's zone to probe. After a single loss only
// those with work of this gateway are probed, since the gateway itself may be cut off from
// one target; all are once two were found down.
func (o *Outages) TargetsToProbe(lost membership.Registration, targets []membership.Registration, usable, busy func(id string) bool) []membership.Registration {
	down := 0
	for _, f := range o.found {
		if f.zone == lost.Zone {
			down++
		}
	}
	var list []membership.Registration
	for _, reg := range targets {
		if reg.ID == lost.ID || reg.Zone != lost.Zone || reg.Leaving || o.RecentlyDown(reg.ID) || !usable(reg.ID) {
			continue
		}
		if busy(reg.ID) || down == zoneSuspicion {
			list = append(list, reg)
		}
	}
	return list
}
