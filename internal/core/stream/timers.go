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
	a := m.current
	if a == nil || m.request != nil || m.options.DisableResume {
		return
	}
	if m.idle(a) < speculateAfter || m.now.Before(a.speculateAt) {
		return
	}
	if m.speculative == nil || m.idle(m.speculative) >= failAfter {
		m.requestTarget(true)
	}
}

func (m *Machine) idle(a *attempt) time.Duration { return m.now.Sub(a.lastActivity) }

// delaySpeculation sets when the next speculative target is requested if the current attempt stays
// inactive.
func (m *Machine) delaySpeculation() {
	a := m.current
	if a == nil {
		return
	}
	a.speculateAt = m.now.Add(min(placementRetryDelay<<min(a.speculations, maxRetryDoublings), maxRetryDelay))
	a.speculations++
}

// makeRoomForSpeculation ends a speculative attempt that is inactive, since another target is
// reserved. It returns false if the speculative attempt is active and stays.
func (m *Machine) makeRoomForSpeculation() bool {
	s := m.speculative
	if s == nil {
		return true
	}
	if m.idle(s) < failAfter {
		return false
	}
	m.ran = true
	m.failAttempt(s, reasonInactive, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
	return true
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
