package gateway

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/precedence"
)

// limitUnread sets the limit of the prompts that may wait at an engine to be read before that of a stream.
func (st *state) limitUnread(now time.Time, w *queuedStream, q *placement.RoomQuery) {
	c := w.s.req
	urgent := c.rank(st.desired.Config).Route == 0
	q.LimitUnread(now, c.arrived, c.route.TargetLatency, st.desired.Config.ShortestObjective(c.service), urgent)
	if queue := st.streamQueues[c.service]; queue != nil {
		q.Shares = queue.shares
	}
}

// Reasons for which streams are held. They index queuedStream.heldBy.
const (
	heldForMemory = iota
	heldForPrompts
	numHeldReasons
)

// countHeld counts a stream that is held, once for each reason.
func (l *eventLoop) countHeld(w *queuedStream, room placement.Room) {
	reason, label := heldForMemory, "memory"
	if room == placement.Unread {
		reason, label = heldForPrompts, "prompts"
	}
	if !w.heldBy[reason] {
		w.heldBy[reason] = true
		l.metrics.queueHeld.WithLabelValues(label).Inc()
	}
}

// reason returns the label of a refusal. A stream that has run is not refused as one that has not.
func (w *queuedStream) reason(reason precedence.Reason) string {
	if reason == precedence.TooLate && w.ran {
		return "ran_too_late"
	}
	return reason.String()
}

// endsInTime reports whether a stream without an event can end before its deadline at a chosen engine. One whose client
// has events goes on to the deadline.
func (st *state) endsInTime(now time.Time, w *queuedStream, p *placementResult) bool {
	work := st.work(w)
	return work.Continues() || !now.Add(p.placement.ExpectedFirstEvent+work.Rest).After(work.Deadline)
}
