package stream

import (
	"slices"
	"time"

	"bramleygap/internal/result"
)

func (m *Machine) requestTarget(speculative bool) {
	m.lastRequest++
	m.request = &request{number: m.lastRequest, speculative: speculative, excluded: len(m.exclude) > 0}
	m.retryAt = time.Time{}
	r := RequestTarget{
		Request:     m.lastRequest,
		Exclude:     slices.Clone(m.exclude),
		Wait:        m.placeWait(),
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
		r.Wait = failAfter - speculateAfter
	}
	m.emit(r)
}

func (m *Machine) placeWait() time.Duration {
	wait := firstPlaceWait
	if len(m.exclude) > 0 {
		wait = excludeWait
	}
	if !m.options.Deadline.IsZero() {
		left := max(m.options.Deadline.Sub(m.now), 0)
		wait = min(wait, left)
	}
	return wait
}

func (m *Machine) onAssigned(msg Assigned) {
	r := m.request
	if r == nil || r.number != msg.Request {
		m.emit(ReleaseTarget{Request: msg.Request})
		return
	}
	m.request = nil
	if len(m.ids) > 0 && msg.Version != m.version {
		// A prefix of one version is never continued on another one.
		m.emit(ReleaseTarget{Request: msg.Request})
		m.wait(result.VersionUnavailable, r.speculative)
		return
	}
	if r.speculative && m.current != nil && msg.Target == m.current.target {
		m.emit(ReleaseTarget{Request: msg.Request})
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
		m.rival = a
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
	})
}

func (m *Machine) onPlaceFailed(msg PlacementFailed) {
	r := m.request
	if r == nil || r.number != msg.Request {
		return
	}
	m.request = nil
	if r.speculative {
		return
	}
	if msg.Code == result.CrashesTargets || msg.Code == result.CrashedMidway || msg.Code == result.DeadlineTooShort {
		m.finish(msg.Code)
		return
	}
	if r.excluded {
		m.exclude = nil
		m.requestTarget(false)
		return
	}
	m.wait(msg.Code, false)
}

func lacksTarget(code result.Code) bool {
	return code == result.NoTarget || code == result.VersionUnavailable
}

// wait asks for a target again after a pause. Nothing delivered: the caller can send
// the request again itself, and placement has waited already, so the request ends.
func (m *Machine) wait(code result.Code, speculative bool) {
	m.placeCode = code
	if speculative && m.current != nil {
		return
	}
	if len(m.ids) == 0 || m.deadlinePassed() {
		m.finish(m.waitCode())
		return
	}
	m.retryAt = m.now.Add(placeRetryDelay)
}

func (m *Machine) deadlinePassed() bool {
	return !m.options.Deadline.IsZero() && !m.now.Before(m.options.Deadline)
}

// waitCode is the code of a generation that ends while it waits for a target.
func (m *Machine) waitCode() result.Code {
	if len(m.ids) > 0 && (m.placeCode == result.OK || lacksTarget(m.placeCode)) {
		return result.VersionGone
	}
	if m.placeCode == result.OK {
		return result.NoTarget
	}
	return m.placeCode
}
