// Package stream is the state machine of one generation at the entry. It chooses
// which tokens of which attempt the caller receives: only tokens of the current
// attempt at the next index. It has no clock and no I/O; messages carry the time.
package stream

import (
	"slices"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/result"
)

const (
	// TickInterval is how often the owner sends Tick.
	TickInterval = 50 * time.Millisecond
	// speculateAfter is the inactivity after which another target is tried. Agents
	// send Progress every 150 ms, so that two of them are missing by then.
	speculateAfter = 400 * time.Millisecond
	// failAfter is the inactivity after which an attempt has failed; it leaves 2 s
	// of the 3 s resume target for placement and prefill.
	failAfter = time.Second
	// lateTick is the lateness of the own tick above which inactivity proves nothing.
	lateTick = 300 * time.Millisecond
	// MaxBuffered is the number of Deliver effects that may wait for the caller.
	MaxBuffered = 64
	// slowCallerAfter is the time after which a caller that accepts nothing is cancelled.
	slowCallerAfter = 60 * time.Second
	// firstPlaceWait bounds the wait for a target while nothing was delivered;
	// callers wait a few seconds at most.
	firstPlaceWait = 5 * time.Second
	// excludeWait bounds the wait for a target other than those that failed;
	// afterwards a failed target may be used again.
	excludeWait = 500 * time.Millisecond
	// placeRetryDelay is the pause after a placement without a target.
	placeRetryDelay = 100 * time.Millisecond
	// retryDelay is the first pause after attempts that failed without a new token.
	// It doubles up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// maxBarren is the number of attempts in a row that may fail without a new token.
	maxBarren = 8
	// attemptBlock separates the attempt numbers of successive connections, whose
	// entries do not know of each other's attempts. The block is the attach epoch,
	// which no two connections share.
	attemptBlock = 1000
)

// Reasons of losses, used as metric labels.
const (
	reasonBroken      = "stream_broken"
	reasonSilent      = "inactive"
	reasonGap         = "gap"
	reasonMismatch    = "mismatch"
	reasonSpeculation = "speculation"
	reasonEntryLost   = "entry_lost"
)

// Options are the fixed properties of a generation.
type Options struct {
	// DisableResume ends the generation at the first loss.
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
	attached     bool // started by another connection
	speculated   bool
	startedAt    time.Time
	lastActivity time.Time
	firstToken   time.Time
	lastToken    time.Time
	blocked      time.Duration // time during which a slow caller stopped the reading
	tokens       int
}

type request struct {
	number      uint32
	speculative bool
	excluded    bool
}

// Machine is the state of one generation. It is not safe for concurrent use.
type Machine struct {
	options  Options
	now      time.Time
	out      []Effect
	ids      []uint32
	bytes    [][]byte
	checksum uint32
	version  string // fixed by the first accepted token
	adapter  string
	epoch    uint64

	current     *attempt
	rival       *attempt // speculative attempt
	request     *request
	lastAttempt uint32
	lastRequest uint32
	retryAt     time.Time // next RequestTarget while there is neither attempt nor request
	preempted   bool      // the last attempt was preempted
	exclude     []string  // targets that failed since the last accepted token

	ran       bool // an attempt may have run
	barren    int
	placeCode result.Code
	lossAt    time.Time
	lossCause string

	lastTick     time.Time
	buffered     int
	takenAt      time.Time
	blockedSince time.Time
	done         bool
}

// New returns a machine that waits for Start or AttachedLog.
func New(options Options) *Machine { return &Machine{options: options, epoch: 1} }

// Blocked reports that the caller's buffer is full: the owner must pass no Tokens
// until Taken made room.
func (m *Machine) Blocked() bool { return m.buffered >= MaxBuffered }

// Done reports that Finish was emitted.
func (m *Machine) Done() bool { return m.done }

// Step handles a message at a time and returns the effects.
func (m *Machine) Step(now time.Time, message Message) []Effect {
	m.now = now
	m.out = nil
	if m.done {
		m.afterEnd(message)
		return m.out
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
		m.onPlaceFailed(msg)
	case Accepted:
		m.onAccepted(msg)
	case Tokens:
		m.onTokens(msg)
	case Progress:
		if a := m.find(msg.Attempt); a != nil {
			m.active(a)
		}
	case Finished:
		m.onFinished(msg)
	case Failed:
		m.onFailed(msg)
	case StreamBroken:
		m.onBroken(msg)
	case Tick:
		m.onTick()
	case Consumed:
		m.onTaken(msg)
	case CallerDisconnected:
		m.onCallerGone(msg)
	}
	return m.out
}

// afterEnd answers messages that were under way when the generation ended.
func (m *Machine) afterEnd(message Message) {
	switch msg := message.(type) {
	case Assigned:
		m.emit(ReleaseTarget{Request: msg.Request})
	case Tokens:
		m.count(CountDiscarded, "", len(msg.IDs))
	}
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) count(c Counter, label string, n int) {
	if n > 0 {
		m.emit(Count{Counter: c, Label: label, N: n})
	}
}

func (m *Machine) find(number uint32) *attempt {
	for _, a := range []*attempt{m.current, m.rival} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

func (m *Machine) next() uint64 { return uint64(len(m.ids)) }

func (m *Machine) active(a *attempt) {
	a.lastActivity = m.now
	a.speculated = false
}

func (m *Machine) onAccepted(msg Accepted) {
	a := m.find(msg.Attempt)
	if a == nil {
		return
	}
	a.accepted = true
	a.incarnation = msg.Incarnation
	m.ran = true
	m.epoch = max(m.epoch, msg.Epoch)
	m.active(a)
}

func (m *Machine) onTokens(msg Tokens) {
	a := m.find(msg.Attempt)
	if a == nil {
		m.count(CountDiscarded, "", len(msg.IDs))
		return
	}
	if len(msg.IDs) != len(msg.Bytes) || msg.First > m.next() {
		m.count(CountGaps, "", 1)
		m.count(CountDiscarded, "", len(msg.IDs))
		m.lose(a, reasonGap, result.GenerationFailed, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	known := min(m.next()-msg.First, uint64(len(msg.IDs)))
	m.count(CountDuplicates, "", int(known))
	m.count(CountDiscarded, "", int(known))
	if known == uint64(len(msg.IDs)) {
		return
	}
	m.choose(a)
	m.accept(a, msg.IDs[known:], msg.Bytes[known:])
}

// choose makes an attempt the only one that is followed.
func (m *Machine) choose(a *attempt) {
	if m.rival == nil {
		return
	}
	loser, label := m.rival, "first"
	if a == m.rival {
		loser, label = m.current, "speculative"
		m.lost(loser, reasonSpeculation)
	}
	m.current, m.rival = a, nil
	m.count(CountSpeculationWinner, label, 1)
	// An attempt that lost by silence counts as failed, so that placement avoids the target.
	m.end(loser, placement.Outcome{Cancelled: label == "first", Failed: label == "speculative"}, CancelNow)
}

func (m *Machine) accept(a *attempt, ids []uint32, bytes [][]byte) {
	m.ran = true
	m.cancelSpeculation()
	if len(m.ids) == 0 {
		m.version, m.adapter = a.version, a.adapter
	}
	first := m.next()
	m.ids = append(m.ids, ids...)
	m.bytes = append(m.bytes, bytes...)
	m.checksum = Checksum(m.checksum, ids)
	if a.tokens == 0 {
		a.firstToken = m.now
	}
	a.tokens += len(ids)
	a.lastToken = m.now
	m.active(a)
	m.barren = 0
	m.exclude = nil
	m.deliver(first, a.number, a.address, a.incarnation)
}

// cancelSpeculation withdraws the request for a speculative target once the
// current attempt delivers again.
func (m *Machine) cancelSpeculation() {
	if m.request != nil && m.request.speculative {
		m.emit(CancelRequest{Request: m.request.number})
		m.request = nil
	}
}

func (m *Machine) deliver(first uint64, attempt uint32, address string, incarnation uint64) {
	if !m.lossAt.IsZero() {
		m.emit(Resumed{Reason: m.lossCause, Latency: m.now.Sub(m.lossAt)})
		m.lossAt = time.Time{}
	}
	if m.buffered == 0 {
		m.takenAt = m.now
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
	a := m.find(msg.Attempt)
	if a == nil {
		return
	}
	if msg.Tokens > m.next() {
		m.count(CountGaps, "", 1)
		m.lose(a, reasonGap, result.GenerationFailed, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	if msg.Tokens < m.next() || msg.Checksum != m.checksum {
		m.lose(a, reasonMismatch, result.GenerationFailed, placement.Outcome{Failed: true}, CancelNow)
		return
	}
	m.choose(a)
	m.current = nil
	m.end(a, placement.Outcome{}, CancelNone)
	m.complete(msg.Reason)
}

func (m *Machine) complete(reason string) {
	m.stop(CancelNow)
	m.emit(Finish{Code: result.OK, Reason: reason, Tokens: m.next(), Checksum: m.checksum})
}

func (m *Machine) onFailed(msg Failed) {
	a := m.find(msg.Attempt)
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
	// An attached attempt was cancelled before this caller came back for it; cancels of
	// earlier epochs are rejected since.
	cancelledBefore := a.attached && msg.Code == result.Cancelled
	if endsGeneration(msg.Code) && !cancelledBefore {
		m.remove(a)
		m.end(a, placement.Outcome{Cancelled: true}, CancelNone)
		m.finish(msg.Code)
		return
	}
	m.lose(a, msg.Code.String(), msg.Code, outcome, CancelNone)
}

// refused reports that the agent turned the attempt away or took its slot back,
// which is no evidence against the target or its version.
func refused(code result.Code) bool {
	return code == result.Preempted || (code.Class() == result.ClassNotRun && code != result.TargetUnreachable)
}

// endsGeneration lists the codes of an agent after which another target would not help.
func endsGeneration(code result.Code) bool {
	switch code {
	case result.MalformedRequest, result.RequestTooLarge, result.CrashesTargets,
		result.DeadlineTooShort, result.DeadlineExceeded, result.Superseded, result.Cancelled:
		return true
	}
	return false
}

func (m *Machine) onBroken(msg StreamBroken) {
	if a := m.find(msg.Attempt); a != nil {
		m.ran = true
		m.lose(a, reasonBroken, result.TargetDied, placement.Outcome{Failed: true}, CancelNow)
	}
}

func (m *Machine) remove(a *attempt) {
	if a == m.rival {
		m.rival = nil
		return
	}
	m.current, m.rival = m.rival, nil
}

func (m *Machine) lost(a *attempt, reason string) {
	if m.lossAt.IsZero() {
		m.lossAt, m.lossCause = a.lastActivity, reason
	}
}

// lose ends an attempt that failed and continues elsewhere.
func (m *Machine) lose(a *attempt, reason string, code result.Code, outcome placement.Outcome, cancel CancelMode) {
	wasCurrent := a == m.current
	m.remove(a)
	m.end(a, outcome, cancel)
	m.exclude = addName(m.exclude, a.target)
	m.count(CountAttemptLosses, reason, 1)
	if m.options.DisableResume {
		m.ran = true
		m.finish(result.TargetDied)
		return
	}
	if !wasCurrent {
		return
	}
	m.lost(a, reason)
	m.preempted = code == result.Preempted
	if code != result.Preempted && a.tokens == 0 {
		m.barren++
	}
	if m.barren >= maxBarren {
		m.stop(CancelNow)
		m.emit(Finish{Code: m.ranCode(code), Tokens: m.next()})
		return
	}
	m.continueElsewhere()
}

func (m *Machine) continueElsewhere() {
	if m.current != nil {
		return
	}
	if m.request != nil {
		// Its wait was short: without a target, the next request waits in full.
		m.request.speculative, m.request.excluded = false, true
		return
	}
	if m.barren <= 1 {
		m.requestTarget(false)
		return
	}
	m.retryAt = m.now.Add(min(retryDelay<<(m.barren-2), maxRetryDelay))
}

func addName(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func (m *Machine) end(a *attempt, outcome placement.Outcome, cancel CancelMode) {
	outcome.Tokens = a.tokens
	if a.tokens > 0 {
		outcome.FirstToken = a.firstToken.Sub(a.startedAt)
	}
	if a.tokens > 1 {
		outcome.TokenInterval = max(a.lastToken.Sub(a.firstToken)-a.blocked, 0) / time.Duration(a.tokens-1)
	}
	m.emit(EndAttempt{Attempt: a.number, Epoch: m.epoch, Outcome: outcome, Cancel: cancel})
}

func (m *Machine) onCallerGone(msg CallerDisconnected) {
	mode := CancelNow
	if msg.Resumable && !m.options.DisableResume {
		mode = CancelLater
	}
	m.stop(mode)
	m.emit(Finish{Code: result.Cancelled, Tokens: m.next()})
}

func (m *Machine) onAttachedLog(msg AttachedLog) {
	m.ids = slices.Clone(msg.IDs)
	m.bytes = slices.Clone(msg.Bytes)
	m.checksum = Checksum(0, m.ids)
	m.version, m.adapter = msg.Version, msg.Adapter
	m.epoch = max(m.epoch, msg.Epoch)
	m.ran = true
	m.lastAttempt = max(msg.Attempt/attemptBlock+1, uint32(m.epoch)) * attemptBlock
	m.lossAt, m.lossCause = msg.RequestedAt, reasonEntryLost
	if msg.From > m.next() {
		m.finish(result.ResumeLost)
		return
	}
	if msg.From < m.next() {
		m.deliver(msg.From, msg.Attempt, msg.Address, msg.Incarnation)
	}
	m.continueLog(msg)
}

func (m *Machine) continueLog(msg AttachedLog) {
	switch {
	case msg.End != nil && msg.End.Tokens == m.next() && msg.End.Checksum == m.checksum:
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
	if m.rival != nil {
		m.end(m.rival, placement.Outcome{Cancelled: true}, CancelNow)
		m.rival = nil
	}
	if m.current != nil {
		m.end(m.current, placement.Outcome{Cancelled: true}, cancel)
		m.current = nil
	}
}

func (m *Machine) finish(code result.Code) {
	cancel := CancelNow
	if code == result.SlowCaller {
		// The caller holds an event id and may resume.
		cancel = CancelLater
	}
	m.stop(cancel)
	m.emit(Finish{Code: m.ranCode(code), Tokens: m.next()})
}

// ranCode replaces a not-run code if an attempt may have run.
func (m *Machine) ranCode(code result.Code) result.Code {
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
