package agent

import "time"

// maxHoldTime bounds the delay of a token by replication, so that a slow replica does not
// stall the output. A healthy one acknowledges within one ReplicationInterval and a round trip.
const maxHoldTime = 100 * time.Millisecond

// replicationGate holds tokens back from followers until the replica has acknowledged them.
// Otherwise a caller could be ahead of the replica when its entry and the agent fail
// together, and the generation could not be resumed from the replica. Agent.mu guards it.
type replicationGate struct {
	// active is set while a replica acknowledges records; otherwise nothing is held back.
	active bool
	// readLimit is the index before which followers may read while active.
	readLimit uint64
	// heldSince is when the oldest held token was appended; zero if none is held.
	heldSince time.Time
}

// appended records that the log ends at next.
func (g *replicationGate) appended(now time.Time, next uint64) {
	if g.active && g.heldSince.IsZero() && next > g.readLimit {
		g.heldSince = now
	}
}

// acknowledged records that the replica has the log up to index. Tokens appended before the
// first acknowledgement stay readable.
func (g *replicationGate) acknowledged(now time.Time, index, next uint64) {
	if !g.active {
		g.active, g.readLimit = true, next
	}
	g.readLimit = max(g.readLimit, index)
	g.heldSince = time.Time{}
	g.appended(now, next)
}

// release makes all tokens readable until the next acknowledgement.
func (g *replicationGate) release() { *g = replicationGate{} }

// limit returns the index before which followers may read a log that ends at next, and the
// remaining time for which later tokens may be held back.
func (g *replicationGate) limit(now time.Time, next uint64) (uint64, time.Duration) {
	if !g.active || g.readLimit >= next {
		return next, 0
	}
	remaining := maxHoldTime - now.Sub(g.heldSince)
	if remaining > 0 {
		return g.readLimit, remaining
	}
	g.readLimit, g.heldSince = next, time.Time{}
	return next, 0
}
