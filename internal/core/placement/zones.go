package placement

import "time"

// returnFraction is the fraction of the cost of another zone to which the excess of the waiting in the own zone has to
// fall until work returns: it does not go to and fro while the zones wait about equally long.
const returnFraction = 0.75

// zoneTransfer is the cost of sending the bytes of streams and calls to other zones.
type zoneTransfer struct {
	// cost is the waiting that is accepted rather than that, 0 for none.
	cost time.Duration
	// outside holds the services whose last work left the zone.
	outside map[string]bool
}

// SetZoneTransferCost sets the waiting that a choice accepts rather than send a stream or a call to another zone.
func (f *Fleet) SetZoneTransferCost(cost time.Duration) {
	f.transfer = zoneTransfer{cost: cost, outside: map[string]bool{}}
}

// transferCost returns what a choice of the target costs because of its zone.
func (f *Fleet) transferCost(t *targetState) time.Duration {
	switch {
	case f.transfer.cost == 0 || t.reg.Zone == f.zone:
		return 0
	case f.transfer.outside[t.reg.Service]:
		return time.Duration(returnFraction * float64(f.transfer.cost))
	}
	return f.transfer.cost
}

// recordZone records the zone of a choice.
func (f *Fleet) recordZone(t *targetState) {
	if f.transfer.cost > 0 {
		f.transfer.outside[t.reg.Service] = t.reg.Zone != f.zone
	}
}
