package agent

import "time"

// holdLimit bounds the delay of a token by replication. A healthy replica acknowledges
// within one ReplicationInterval and a round trip; the limit keeps a slow one from
// stopping the output.
const holdLimit = 100 * time.Millisecond

// hold keeps tokens from followers until the replica has them. Without it the second copy
// ends before the caller's index when entry and agent fail together, so that the
// generation is lost although a copy exists. Agent.mu guards it.
type hold struct {
	// active is set while a replica acknowledges records.
	active bool
	// visible is the index up to which followers may read while active.
	visible uint64
	// since is when the oldest held token was appended; zero if none is held.
	since time.Time
}

// appended records that the log ends at next.
func (h *hold) appended(now time.Time, next uint64) {
	if h.active && h.since.IsZero() && next > h.visible {
		h.since = now
	}
}

// acknowledged records that the replica has the log up to index. Everything before the
// first acknowledgement stays visible.
func (h *hold) acknowledged(now time.Time, index, next uint64) {
	if !h.active {
		h.active, h.visible = true, next
	}
	h.visible = max(h.visible, index)
	h.since = time.Time{}
	h.appended(now, next)
}

// release makes everything visible until the replica acknowledges again.
func (h *hold) release() { *h = hold{} }

// limit returns the index up to which followers may read a log that ends at next, and
// how long the tokens after it are held at most.
func (h *hold) limit(now time.Time, next uint64) (uint64, time.Duration) {
	if !h.active || h.visible >= next {
		return next, 0
	}
	left := holdLimit - now.Sub(h.since)
	if left > 0 {
		return h.visible, left
	}
	h.visible, h.since = next, time.Time{}
	return next, 0
}
