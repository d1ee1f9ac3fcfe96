package stream

import (
	"slices"
	"time"

	"bramleygap/internal/result"
)

func (m *Machine) requestTarget(speculative bool) {
	m.lastRequest++
	m.request = &request{number: m.lastRequest, speculative: speculative, shortWait: len(m.exclude) > 0}
	m.retryAt = time.Time{}
	r := RequestTarget{
		Request:     m.lastRequest,
		Exclude:     slices.Clone(m.exclude),
		Wait:        m.placementTimeout(),
		Resume:      len(m.ids) > 0,
		Retry:       m.lastAttempt > 0,
		Speculative: speculative,
		Preempted:   m.preempted && !speculative,
	}
	if len(m.ids) > 0 {
		r.Version = m.version
	}
	if speculative {
		r.Exclude = append(r.Exclude, m.current.target)
		if m.speculative != nil {
			r.Exclude = append(r.Exclude, m.speculative.target)
		}
		r.Wait = failAfter - speculateAfter
	}
	m.emit(r)
}

func (m *Machine) placementTimeout() time.Duration {
	timeout := defaultPlacementTimeout
	if len(m.exclude) > 0 {
		timeout = exclusionTimeout
	}
	if !m.options.Deadline.IsZero() {
		remaining := max(m.options.Deadline.Sub(m.now), 0)
		timeout = min(timeout, remaining)
	}
	return timeout
}

func (m *Machine) onAssigned(msg Assigned) {
	r := m.request
	if r == nil || r.number != msg.Request {
		m.emit(ReleaseTarget{Request: msg.Request})
		return
	}
	m.request = nil
	if len(m.ids) > 0 && msg.Version != m.version {
		// Tokens of different versions must not be mixed in one generation.
		m.emit(ReleaseTarget{Request: msg.Request})
		m.retryPlacement(result.VersionUnavailable, r.speculative)
		return
	}
	if r.speculative && m.current != nil && (msg.Target == m.current.target || !m.makeRoomForSpeculation()) {
		m.emit(ReleaseTarget{Request: msg.Request})
		m.delaySpeculation()
		return
	}
	m.startAttempt(msg, r.speculative)
}

func (m *Machine) startAttempt(msg Assigned, speculative bool) {
	m.lastAttempt++
	a := &attempt{
		number:       m.lastAttempt,
		target:       msg.Target,
		address:      msg.Address,
		incarnation:  msg.Incarnation,
		version:      msg.Version,
		adapter:      msg.Adapter,
		startedAt:    m.now,
		lastActivity: m.now,
	}
	if len(m.ids) > 0 {
		a.adapter = m.adapter
	}
	if speculative {
		m.speculative = a
		m.count(CountSpeculative, "", 1)
	} else {
		m.current = a
	}
	m.emit(StartAttempt{
		Request:     msg.Request,
		Attempt:     a.number,
		Epoch:       m.epoch,
		Version:     a.version,
		Adapter:     a.adapter,
		PrefixIDs:   slices.Clone(m.ids),
		PrefixBytes: slices.Clone(m.bytes),
		Resume:      len(m.ids) > 0,
		PreemptedAt: m.preemptedAt,
	})
}

func (m *Machine) onPlacementFailed(msg PlacementFailed) {
	r := m.request
	if r == nil || r.number != msg.Request {
		return
	}
	m.request = nil
	if r.speculative {
		// Targets that failed earlier may have recovered.
		m.exclude = nil
		m.delaySpeculation()
		return
	}
	if msg.Code == result.CrashesTargets || msg.Code == result.CrashedMidway || msg.Code == result.DeadlineTooShort {
		m.finish(msg.Code)
		return
	}
	if r.shortWait {
		m.exclude = nil
		m.requestTarget(false)
		return
	}
	m.retryPlacement(msg.Code, false)
}

func isTargetMissing(code result.Code) bool {
	return code == result.NoTarget || code == result.VersionUnavailable
}

// retryPlacement requests a target again after placementRetryDelay. If no token was
// delivered, it ends the generation instead: placement has already waited, and the
// caller can safely repeat the request.
func (m *Machine) retryPlacement(code result.Code, speculative bool) {
	m.placementCode = code
	if speculative && m.current != nil {
		m.delaySpeculation()
		return
	}
	if len(m.ids) == 0 || m.deadlinePassed() {
		m.finish(m.placementFailureCode())
		return
	}
	m.retryAt = m.now.Add(placementRetryDelay)
}

func (m *Machine) deadlinePassed() bool {
	return !m.options.Deadline.IsZero() && !m.now.Before(m.options.Deadline)
}

// placementFailureCode returns the code of a generation that ends without a target.
func (m *Machine) placementFailureCode() result.Code {
	if len(m.ids) > 0 && (m.placementCode == result.OK || isTargetMissing(m.placementCode)) {
		return result.VersionGone
	}
	if m.placementCode == result.OK {
		return result.NoTarget
	}
	return m.placementCode
}
