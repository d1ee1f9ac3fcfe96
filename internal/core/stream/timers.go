package stream

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/result"
)

func (m *Machine) onTick() {
	delay := m.now.Sub(m.lastTick) - TickInterval
	m.lastTick = m.now
	if delay > maxTickDelay {
		m.emit(TickDelayed{Delay: delay})
		m.restartTimers()
	}
	if m.buffered > 0 && m.now.Sub(m.lastConsumed) >= slowCallerTimeout {
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
	m.finish(m.placementFailureCode())
}

func (m *Machine) checkInactivity() {
	if s := m.speculative; s != nil && m.now.Sub(s.lastActivity) >= failAfter {
		m.ran = true
		m.failAttempt(s, reasonInactive, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
	}
	a := m.current
	if a == nil || m.done {
		return
	}
	idle := m.now.Sub(a.lastActivity)
	if idle >= failAfter {
		m.ran = true
		m.failAttempt(a, reasonInactive, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	maySpeculate := m.speculative == nil && m.request == nil && !a.speculated && !m.options.DisableResume
	if idle >= speculateAfter && maySpeculate {
		a.speculated = true
		m.requestTarget(true)
	}
}

func (m *Machine) restartTimers() {
	m.lastConsumed = m.now
	for _, a := range []*attempt{m.current, m.speculative} {
		if a != nil {
			a.lastActivity = m.now
		}
	}
}

func (m *Machine) onConsumed(msg Consumed) {
	wasBlocked := m.Blocked()
	m.buffered = max(m.buffered-msg.Events, 0)
	m.lastConsumed = m.now
	if !wasBlocked || m.Blocked() {
		return
	}
	// The stream was not read while the buffer was full, so this time is not inactivity.
	for _, a := range []*attempt{m.current, m.speculative} {
		if a != nil {
			a.blockedTime += m.now.Sub(m.blockedSince)
		}
	}
	m.blockedSince = time.Time{}
	m.restartTimers()
}
