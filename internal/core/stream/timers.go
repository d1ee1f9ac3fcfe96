package stream

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/result"
)

func (m *Machine) onTick() {
	late := m.now.Sub(m.lastTick) - TickInterval
	m.lastTick = m.now
	if late > lateTick {
		m.emit(TickDelayed{Delay: late})
		m.restartTimers()
	}
	if m.buffered > 0 && m.now.Sub(m.takenAt) >= slowCallerAfter {
		m.finish(result.SlowCaller)
		return
	}
	if m.deadlinePassed() {
		m.onDeadline()
		return
	}
	if !m.retryAt.IsZero() && !m.now.Before(m.retryAt) {
		m.requestTarget(false)
	}
	if !m.Blocked() {
		m.checkInactivity()
	}
}

func (m *Machine) onDeadline() {
	if m.current != nil {
		m.finish(result.DeadlineExceeded)
		return
	}
	m.finish(m.waitCode())
}

func (m *Machine) checkInactivity() {
	if r := m.rival; r != nil && m.now.Sub(r.lastActivity) >= failAfter {
		m.ran = true
		m.lose(r, reasonSilent, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
	}
	a := m.current
	if a == nil || m.done {
		return
	}
	idle := m.now.Sub(a.lastActivity)
	if idle >= failAfter {
		m.ran = true
		m.lose(a, reasonSilent, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	mayStart := m.rival == nil && m.request == nil && !a.speculated && !m.options.DisableResume
	if idle >= speculateAfter && mayStart {
		a.speculated = true
		m.requestTarget(true)
	}
}

func (m *Machine) restartTimers() {
	m.takenAt = m.now
	for _, a := range []*attempt{m.current, m.rival} {
		if a != nil {
			a.lastActivity = m.now
		}
	}
}

func (m *Machine) onTaken(msg Consumed) {
	wasBlocked := m.Blocked()
	m.buffered = max(m.buffered-msg.Events, 0)
	m.takenAt = m.now
	if !wasBlocked || m.Blocked() {
		return
	}
	// Nothing was read while the buffer was full, so silence proved nothing.
	for _, a := range []*attempt{m.current, m.rival} {
		if a != nil {
			a.blocked += m.now.Sub(m.blockedSince)
		}
	}
	m.blockedSince = time.Time{}
	m.restartTimers()
}
