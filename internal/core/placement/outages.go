package placement

import (
	"time"

	"bramleygap/internal/core/membership"
)

const (
	// outageWindow is how long a down target counts towards an outage of its zone: when a
	// zone is lost, its targets are found down within a second of each other.
	outageWindow = time.Second
	// zoneProbeThreshold is the number of targets of a zone found down within outageWindow at
	// which all targets of the zone are probed.
	zoneProbeThreshold = 2
)

// Outages tracks the targets recently found down and selects others to probe: zones fail as
// a whole, and a probe is cheaper than waiting for each stream to time out. It is not safe
// for concurrent use.
type Outages struct {
	down map[string]downTarget
}

type downTarget struct {
	zone string
	at   time.Time
}

// NewOutages returns an Outages without targets.
func NewOutages() *Outages { return &Outages{down: map[string]downTarget{}} }

// Record records a target that was found down and reports whether it was not yet recorded.
func (o *Outages) Record(now time.Time, target membership.Registration) bool {
	_, known := o.down[target.ID]
	o.down[target.ID] = downTarget{target.Zone, now}
	return !known
}

// RecentlyDown reports whether a target was found down recently.
func (o *Outages) RecentlyDown(id string) bool {
	_, known := o.down[id]
	return known
}

// Targets returns the ids of the targets recently found down, in no particular order.
func (o *Outages) Targets() []string {
	ids := make([]string, 0, len(o.down))
	for id := range o.down {
		ids = append(ids, id)
	}
	return ids
}

// Expire removes targets found down longer than outageWindow ago.
func (o *Outages) Expire(now time.Time) {
	for id, d := range o.down {
		if now.Sub(d.at) > outageWindow {
			delete(o.down, id)
		}
	}
}

// TargetsToProbe returns the targets to probe in the zone of a lost target. After a single
// loss only targets with work of this gateway are probed, since the gateway itself may have
// lost its connection to that target. When the number of targets down in the zone reaches
// zoneProbeThreshold, all other targets of the zone are probed.
func (o *Outages) TargetsToProbe(lost membership.Registration, targets []membership.Registration, usable, busy func(id string) bool) []membership.Registration {
	downInZone := 0
	for _, d := range o.down {
		if d.zone == lost.Zone {
			downInZone++
		}
	}
	var list []membership.Registration
	for _, reg := range targets {
		if reg.ID == lost.ID || reg.Zone != lost.Zone || reg.Leaving || o.RecentlyDown(reg.ID) || !usable(reg.ID) {
			continue
		}
		if busy(reg.ID) || downInZone == zoneProbeThreshold {
			list = append(list, reg)
		}
	}
	return list
}
