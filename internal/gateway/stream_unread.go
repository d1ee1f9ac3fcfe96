package gateway

import (
	"time"

	"bramleygap/internal/core/placement"
)

// limitUnread sets the limit of the prompts that may wait at an engine to be read before that of a stream.
func (st *state) limitUnread(now time.Time, w *queuedStream, q *placement.RoomQuery) {
	c := w.s.req
	q.MaxUnread = placement.UnreadLimit(st.desired.Config.ShortestObjective(c.service))
	if q.Highest {
		q.MaxUnread = placement.UnreadLimitOfHighest(now, c.arrived, c.route.TargetLatency)
	}
	if queue := st.streamQueues[c.service]; queue != nil {
		q.Shares = queue.shares
	}
}

// countHeld counts a stream that is held, once for each reason.
func (l *eventLoop) countHeld(w *queuedStream, room placement.Room) {
	reason, label := 0, "memory"
	if room == placement.Unread {
		reason, label = 1, "prompts"
	}
	if !w.heldBy[reason] {
		w.heldBy[reason] = true
		l.metrics.queueHeld.WithLabelValues(label).Inc()
	}
}
