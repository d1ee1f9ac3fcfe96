// Package stream implements the state machine of one generation at the entry. It
// decides which tokens of which attempt are delivered to the caller: only tokens of
// the current attempt at the next index. It performs no I/O and reads no clock.
package stream

import (
	"slices"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/result"
)

const (
	// TickInterval is the interval at which the driver of a Machine must send Tick.
	TickInterval = 50 * time.Millisecond
	// speculateAfter is the inactivity after which a speculative attempt on another
	// target is requested. Agents send Progress every 150 ms, so two are missing by then.
	speculateAfter = 400 * time.Millisecond
	// failAfter is the inactivity after which an attempt most likely has lost its VM. It leaves
	// 2 s of the 3 s resume latency objective for placement and prefill. The attempt stays open
	// until another one delivers, since it may only be late.
	failAfter = time.Second
	// maxTickDelay is the delay of a tick above which the inactivity timers restart:
	// the entry itself was paused, so missing messages do not indicate a failed agent.
	maxTickDelay = 300 * time.Millisecond
	// MaxBuffered bounds the Deliver effects that wait for the caller.
	MaxBuffered = 64
	// slowCallerTimeout is the time after which a caller that reads no output is cancelled.
	slowCallerTimeout = 60 * time.Second
	// defaultPlacementTimeout bounds the wait for a target while no target is excluded.
	// Callers wait a few seconds at most.
	defaultPlacementTimeout = 5 * time.Second
	// exclusionTimeout bounds the wait for a target while failed targets are excluded.
	// When it expires, a failed target may be used again.
	exclusionTimeout = 500 * time.Millisecond
	// placementRetryDelay is the delay after a failed placement. For a speculative target it
	// doubles with each further failure up to maxRetryDelay.
	placementRetryDelay = 100 * time.Millisecond
	// minRetryDelay is the backoff after the second attempt in a row that failed
	// without a new token. It doubles with each further one up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRetryDoublings bounds the doublings of a delay, so that it does not overflow.
	maxRetryDoublings = 8
	// maxAttemptsWithoutProgress is the number of attempts in a row that may fail
	// without a new token; the generation then ends.
	maxAttemptsWithoutProgress = 8
	// attemptNumbersPerEpoch is the size of the range of attempt numbers of each attach
	// epoch. The ranges keep the numbers of successive connections apart, whose entries do
	// not know each other's attempts.
	attemptNumbersPerEpoch = 1000
)

// Reasons for the loss of an attempt, used as metric labels.
const (
	reasonStreamBroken = "stream_broken"
	reasonInactive     = "inactive"
	reasonGap          = "gap"
	reasonMismatch     = "mismatch"
	reasonSpeculation  = "speculation"
	reasonEntryLost    = "entry_lost"
)

// Options are the fixed properties of a generation.
type Options struct {
	// DisableResume ends the generation at the first loss of an attempt.
	DisableResume bool
	// Deadline is the time by which the caller needs the result; zero means none.
	Deadline time.Time
}

type attempt struct {
	number       uint32
	target       string
	address      string
	incarnation  uint64
	version      string
	adapter      string
	accepted     bool
	attached     bool      // started by another connection
	speculations int       // failed speculations since the last activity
	speculateAt  time.Time // earliest next request for a speculative target
	startedAt    time.Time
	lastActivity time.Time
	firstToken   time.Time
	lastToken    time.Time
	blockedTime  time.Duration // time during which a slow caller kept the stream from being read
	tokens       int
}

type request struct {
	number      uint32
	speculative bool
	shortWait   bool // on failure, another request follows with the full wait and no exclusions
}

// Machine is the state of one generation. It is not safe for concurrent use.
type Machine struct {
	options  Options
	now      time.Time
	effects  []Effect
	ids      []uint32
	bytes    [][]byte
	checksum uint32
	version  string // fixed by the first accepted token
	adapter  string
	epoch    uint64

	current     *attempt
	speculative *attempt // races current while current is inactive
	request     *request
	lastAttempt uint32
	lastRequest uint32
	retryAt     time.Time // next RequestTarget while there is neither attempt nor request
	preempted   bool      // the last attempt was preempted
	preemptedAt time.Time // when an agent last preempted an attempt
	exclude     []string  // targets that failed since the last accepted token

	ran                     bool        // an attempt may have run
	attemptsWithoutProgress int         // in a row
	placementCode           result.Code // of the last failed placement
	lossAt                  time.Time   // last activity before the current interruption; zero if there is none
	lossReason              string

	lastTick     time.Time
	buffered     int // Deliver effects that were not written to the caller yet
	lastConsumed time.Time
	blockedSince time.Time
	done         bool
}

// New returns a machine whose first message must be Start or AttachedLog.
func New(options Options) *Machine { return &Machine{options: options, epoch: 1} }

// Blocked reports whether the caller's buffer is full. While it is, the driver must not
// pass Tokens; Consumed frees space.
func (m *Machine) Blocked() bool { return m.buffered >= MaxBuffered }

// Done reports whether Finish was emitted.
func (m *Machine) Done() bool { return m.done }

// Step handles a message that arrived at now and returns the resulting effects.
func (m *Machine) Step(now time.Time, message Message) []Effect {
	m.now = now
	m.effects = nil
	if m.done {
		m.handleAfterFinish(message)
		return m.effects
	}
	switch msg := message.(type) {
	case Start:
		m.lastTick = now
		m.requestTarget(false)
	case AttachedLog:
		m.lastTick = now
		m.onAttachedLog(msg)
	case Assigned:
		m.onAssigned(msg)
	case PlacementFailed:
		m.onPlacementFailed(msg)
	case Accepted:
		m.onAccepted(msg)
	case Tokens:
		m.onTokens(msg)
	case Progress:
		if a := m.findAttempt(msg.Attempt); a != nil {
			m.recordActivity(a)
		}
	case Finished:
		m.onFinished(msg)
	case Failed:
		m.onFailed(msg)
	case StreamBroken:
		m.onStreamBroken(msg)
	case Tick:
		m.onTick()
	case Consumed:
		m.onConsumed(msg)
	case CallerDisconnected:
		m.onCallerDisconnected(msg)
	}
	return m.effects
}

// handleAfterFinish handles messages that were in flight when the generation ended.
func (m *Machine) handleAfterFinish(message Message) {
	switch msg := message.(type) {
	case Assigned:
		m.emit(ReleaseTarget{Request: msg.Request})
	case Tokens:
		m.count(CountDiscarded, "", len(msg.IDs))
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) count(c Counter, label string, n int) {
	if n > 0 {
		m.emit(Count{Counter: c, Label: label, N: n})
	}
}

func (m *Machine) findAttempt(number uint32) *attempt {
	for _, a := range []*attempt{m.current, m.speculative} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

func (m *Machine) nextIndex() uint64 { return uint64(len(m.ids)) }

func (m *Machine) recordActivity(a *attempt) {
	a.lastActivity = m.now
	a.speculations, a.speculateAt = 0, time.Time{}
}

func (m *Machine) onAccepted(msg Accepted) {
	a := m.findAttempt(msg.Attempt)
	if a == nil {
		return
	}
	a.accepted = true
	a.incarnation = msg.Incarnation
	m.ran = true
	m.epoch = max(m.epoch, msg.Epoch)
	m.recordActivity(a)
}

func (m *Machine) onTokens(msg Tokens) {
	a := m.findAttempt(msg.Attempt)
	if a == nil {
		m.count(CountDiscarded, "", len(msg.IDs))
		return
	}
	if len(msg.IDs) != len(msg.Bytes) || msg.First > m.nextIndex() {
		m.count(CountGaps, "", 1)
		m.count(CountDiscarded, "", len(msg.IDs))
		m.failAttempt(a, reasonGap, result.GenerationFailed, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	duplicates := min(m.nextIndex()-msg.First, uint64(len(msg.IDs)))
	m.count(CountDuplicates, "", int(duplicates))
	m.count(CountDiscarded, "", int(duplicates))
	if duplicates == uint64(len(msg.IDs)) {
		return
	}
	m.resolveSpeculation(a)
	m.appendTokens(a, msg.IDs[duplicates:], msg.Bytes[duplicates:])
}

// resolveSpeculation keeps attempt a and ends the other one if there are two.
func (m *Machine) resolveSpeculation(a *attempt) {
	if m.speculative == nil {
		return
	}
	loser, label := m.speculative, "first"
	if a == m.speculative {
		loser, label = m.current, "speculative"
		reason := reasonSpeculation
		if m.idle(loser) >= failAfter {
			reason = reasonInactive
			m.count(CountAttemptLosses, reason, 1)
		}
		m.recordLoss(loser, reason)
	}
	m.current, m.speculative = a, nil
	m.count(CountSpeculationWinner, label, 1)
	// An attempt that a speculative one overtook was inactive. It counts as failed, so that
	// placement avoids its target.
	m.endAttempt(loser, placement.Outcome{Cancelled: label == "first", Failed: label == "speculative"}, CancelNow)
}

func (m *Machine) appendTokens(a *attempt, ids []uint32, bytes [][]byte) {
	m.ran = true
	m.cancelSpeculation()
	if len(m.ids) == 0 {
		m.version, m.adapter = a.version, a.adapter
	}
	first := m.nextIndex()
	m.ids = append(m.ids, ids...)
	m.bytes = append(m.bytes, bytes...)
	m.checksum = Checksum(m.checksum, ids)
	if a.tokens == 0 {
		a.firstToken = m.now
	}
	a.tokens += len(ids)
	a.lastToken = m.now
	m.recordActivity(a)
	m.attemptsWithoutProgress = 0
	m.exclude = nil
	m.deliver(first, a.number, a.address, a.incarnation)
}

// cancelSpeculation cancels a pending request for a speculative target, which is not
// needed once the current attempt delivers again.
func (m *Machine) cancelSpeculation() {
	if m.request != nil && m.request.speculative {
		m.emit(CancelRequest{Request: m.request.number})
		m.request = nil
	}
}

func (m *Machine) deliver(first uint64, attempt uint32, address string, incarnation uint64) {
	if !m.lossAt.IsZero() {
		m.emit(Resumed{Reason: m.lossReason, Latency: m.now.Sub(m.lossAt)})
		m.lossAt = time.Time{}
	}
	if m.buffered == 0 {
		m.lastConsumed = m.now
	}
	m.buffered++
	if m.Blocked() && m.blockedSince.IsZero() {
		m.blockedSince = m.now
	}
	m.emit(Deliver{
		First:       first,
		IDs:         slices.Clone(m.ids[first:]),
		Bytes:       slices.Clone(m.bytes[first:]),
		Attempt:     attempt,
		Address:     address,
		Incarnation: incarnation,
	})
}

func (m *Machine) onFinished(msg Finished) {
	a := m.findAttempt(msg.Attempt)
	if a == nil {
		return
	}
	if msg.Tokens > m.nextIndex() {
		m.count(CountGaps, "", 1)
		m.failAttempt(a, reasonGap, result.GenerationFailed, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	if msg.Tokens < m.nextIndex() || msg.Checksum != m.checksum {
		m.failAttempt(a, reasonMismatch, result.GenerationFailed, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	m.resolveSpeculation(a)
	m.current = nil
	m.endAttempt(a, placement.Outcome{}, CancelNone)
	m.complete(msg.Reason)
}

func (m *Machine) complete(reason string) {
	m.stop(CancelNow)
	m.emit(Finish{Code: result.OK, Reason: reason, Tokens: m.nextIndex(), Checksum: m.checksum})
}

func (m *Machine) onFailed(msg Failed) {
	a := m.findAttempt(msg.Attempt)
	if a == nil {
		return
	}
	if a.accepted || msg.Code.Class() != result.ClassNotRun {
		m.ran = true
	}
	outcome := placement.Outcome{Failed: true, TargetDied: msg.TargetDied}
	if refused(msg.Code) {
		outcome = placement.Outcome{Cancelled: true}
	}
	// An attached attempt may have been cancelled before this caller reconnected. The
	// attach raised the epoch, so later cancels from the earlier connection are rejected.
	cancelledEarlier := a.attached && msg.Code == result.Cancelled
	if endsGeneration(msg.Code) && !cancelledEarlier {
		m.removeAttempt(a)
		m.endAttempt(a, placement.Outcome{Cancelled: true}, CancelNone)
		m.finish(msg.Code)
		return
	}
	m.failAttempt(a, msg.Code.String(), msg.Code, outcome, CancelNone)
}

// refused reports whether the agent rejected or preempted the attempt, which does not
// indicate a fault of the target or its version.
func refused(code result.Code) bool {
	return code == result.Preempted || (code.Class() == result.ClassNotRun && code != result.TargetUnreachable)
}

// endsGeneration reports whether a code from an agent ends the generation, because an
// attempt on another target would not help.
func endsGeneration(code result.Code) bool {
	switch code {
	case result.MalformedRequest, result.RequestTooLarge, result.CrashesTargets,
		result.DeadlineTooShort, result.DeadlineExceeded, result.Superseded, result.Cancelled:
		return true
	}
	return false
}

func (m *Machine) onStreamBroken(msg StreamBroken) {
	if a := m.findAttempt(msg.Attempt); a != nil {
		m.ran = true
		m.failAttempt(a, reasonStreamBroken, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
	}
}

func (m *Machine) removeAttempt(a *attempt) {
	if a == m.speculative {
		m.speculative = nil
		return
	}
	m.current, m.speculative = m.speculative, nil
}

func (m *Machine) recordLoss(a *attempt, reason string) {
	if m.lossAt.IsZero() {
		m.lossAt, m.lossReason = a.lastActivity, reason
	}
}

// failAttempt ends a failed attempt. If it was the current one, the speculative attempt
// takes over, or another target is requested.
func (m *Machine) failAttempt(a *attempt, reason string, code result.Code, outcome placement.Outcome, cancel CancelMode) {
	wasCurrent := a == m.current
	m.removeAttempt(a)
	m.endAttempt(a, outcome, cancel)
	m.exclude = appendUnique(m.exclude, a.target)
	m.count(CountAttemptLosses, reason, 1)
	if m.options.DisableResume {
		m.ran = true
		m.finish(result.TargetDied)
		return
	}
	if !wasCurrent {
		m.delaySpeculation()
		return
	}
	m.recordLoss(a, reason)
	m.preempted = code == result.Preempted
	if m.preempted {
		m.preemptedAt = m.now
	}
	if code != result.Preempted && a.tokens == 0 {
		m.attemptsWithoutProgress++
	}
	if m.attemptsWithoutProgress >= maxAttemptsWithoutProgress {
		m.stop(CancelNow)
		m.emit(Finish{Code: m.codeAfterRun(code), Tokens: m.nextIndex()})
		return
	}
	m.requestReplacement()
}

func (m *Machine) requestReplacement() {
	if m.current != nil {
		return
	}
	if m.request != nil {
		// The pending speculative request has a short wait. If it fails, the next
		// request gets the full wait.
		m.request.speculative, m.request.shortWait = false, true
		return
	}
	if m.attemptsWithoutProgress <= 1 {
		m.requestTarget(false)
		return
	}
	m.retryAt = m.now.Add(min(minRetryDelay<<(m.attemptsWithoutProgress-2), maxRetryDelay))
}

func appendUnique(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func (m *Machine) endAttempt(a *attempt, outcome placement.Outcome, cancel CancelMode) {
	outcome.Tokens = a.tokens
	if a.tokens > 0 {
		outcome.FirstToken = a.firstToken.Sub(a.startedAt)
	}
	if a.tokens > 1 {
		outcome.TokenInterval = max(a.lastToken.Sub(a.firstToken)-a.blockedTime, 0) / time.Duration(a.tokens-1)
	}
	m.emit(EndAttempt{Attempt: a.number, Epoch: m.epoch, Outcome: outcome, Cancel: cancel})
}

func (m *Machine) onCallerDisconnected(msg CallerDisconnected) {
	mode := CancelNow
	if msg.Resumable && !m.options.DisableResume {
		mode = CancelLater
	}
	m.stop(mode)
	m.emit(Finish{Code: result.Cancelled, Tokens: m.nextIndex()})
}

func (m *Machine) onAttachedLog(msg AttachedLog) {
	m.ids = slices.Clone(msg.IDs)
	m.bytes = slices.Clone(msg.Bytes)
	m.checksum = Checksum(0, m.ids)
	m.version, m.adapter = msg.Version, msg.Adapter
	m.epoch = max(m.epoch, msg.Epoch)
	m.ran = true
	m.lastAttempt = max(msg.Attempt/attemptNumbersPerEpoch+1, uint32(m.epoch)) * attemptNumbersPerEpoch
	m.lossAt, m.lossReason = msg.RequestedAt, reasonEntryLost
	if msg.From > m.nextIndex() {
		m.finish(result.ResumeLost)
		return
	}
	if msg.From < m.nextIndex() {
		m.deliver(msg.From, msg.Attempt, msg.Address, msg.Incarnation)
	}
	m.resumeFromLog(msg)
}

func (m *Machine) resumeFromLog(msg AttachedLog) {
	switch {
	case msg.End != nil && msg.End.Tokens == m.nextIndex() && msg.End.Checksum == m.checksum:
		m.complete(msg.End.Reason)
	case msg.Live:
		m.current = &attempt{
			number:       msg.Attempt,
			target:       msg.Target,
			address:      msg.Address,
			incarnation:  msg.Incarnation,
			version:      msg.Version,
			adapter:      msg.Adapter,
			accepted:     true,
			attached:     true,
			startedAt:    m.now,
			lastActivity: m.now,
		}
	case m.options.DisableResume:
		m.finish(result.TargetDied)
	default:
		m.requestTarget(false)
	}
}

// stop ends all attempts and requests.
func (m *Machine) stop(cancel CancelMode) {
	m.done = true
	if m.request != nil {
		m.emit(CancelRequest{Request: m.request.number})
		m.request = nil
	}
	if m.speculative != nil {
		m.endAttempt(m.speculative, placement.Outcome{Cancelled: true}, CancelNow)
		m.speculative = nil
	}
	if m.current != nil {
		m.endAttempt(m.current, placement.Outcome{Cancelled: true}, cancel)
		m.current = nil
	}
}

func (m *Machine) finish(code result.Code) {
	cancel := CancelNow
	if code == result.SlowCaller {
		// The caller has an event id and may resume.
		cancel = CancelLater
	}
	m.stop(cancel)
	m.emit(Finish{Code: m.codeAfterRun(code), Tokens: m.nextIndex()})
}

// codeAfterRun replaces a code of class not-run if an attempt may have run.
func (m *Machine) codeAfterRun(code result.Code) result.Code {
	if !m.ran || code.Class() != result.ClassNotRun {
		return code
	}
	switch code {
	case result.CrashesTargets:
		return result.CrashedMidway
	case result.RetryBudgetSpent, result.Overloaded:
		return result.ResumeBudgetSpent
	case result.DeadlineTooShort:
		return result.DeadlineExceeded
	case result.NoTarget, result.VersionUnavailable, result.TargetUnreachable, result.Leaving:
		return result.TargetDied
	}
	return result.GenerationFailed
}
