// Package relay implements the state machine of one stream of numbered events that is
// relayed from targets without an agent. It decides on which target the stream runs, when
// an inactive target counts as failed, and where the stream resumes. Each event is
// delivered once and in order.
//
// A target that fails is left at once. A target that is live or only silent is left for a successor: a
// second attempt that is opened beside the current one. A target that works on the stream, however late, is
// left only once the successor, which resumes from a copy, has sent an event; another prefill costs
// more than the wait. A target that accepts the stream and does nothing, or that answers no probe, is
// left as soon as the successor has been sent and not refused. Without a successor the stream stays
// where it is.
//
// Invariants:
//   - an event is delivered only if its number is one above that of the previous event;
//   - at most one attempt is current, and at most one successor is open beside it;
//   - the current attempt ends within maxOverlap after its successor was sent, or the successor
//     does;
//   - each later attempt continues after the last event delivered before it was placed;
//   - Finish is the last effect.
package relay

import (
	"slices"
	"time"

	"bramleygap/internal/core/placement"
)

const (
	// minProbeDelay and maxProbeDelay bound the pause after an event until the target is
	// probed. A target that also prefills prompts sends events up to 200 ms apart. A probe
	// and a resumption must fit into the pause of 700 ms that callers accept.
	minProbeDelay = 160 * time.Millisecond
	maxProbeDelay = 300 * time.Millisecond
	// probeDelayFactor is the probe delay as a multiple of the average gap between events.
	probeDelayFactor = 3
	// gapWeight is the weight of a new sample in the moving average of the gap between events.
	gapWeight = 0.2
	// firstProbeDelay and nextProbeDelay are the delays of the first and later probes while
	// the first event is pending: the prefill of a prompt takes about a second.
	firstProbeDelay = 900 * time.Millisecond
	nextProbeDelay  = 1200 * time.Millisecond
	// stallFraction is the fraction of Options.MaxEventGap after which a stream without
	// progress on a live target seeks a successor at the copy of its KV cache.
	stallFraction = 0.62
	// stallTimeoutWithoutCopy is the pause after which a stalled stream without a copy seeks a
	// successor: another prefill costs more than a second, and the target or the caller may
	// recover meanwhile.
	stallTimeoutWithoutCopy = 4 * time.Second
	// firstEventFraction is the fraction of the objective for the first event, and
	// firstEventFactor the multiple of the expected time, after which a stream without an
	// event leaves a live target, so that another one can prefill the prompt within the
	// objective. Both must have passed, and a stream leaves only once, because the work of
	// an abandoned prefill is lost.
	firstEventFraction = 0.6
	firstEventFactor   = 2.5
	// hungFraction and hungFactor take their places for a target that does not work on the stream.
	// Other streams there may be the ones that it lacks, so that this one must be late.
	hungFraction = 0.33
	hungFactor   = 1.5
	// queueFactor multiplies that time while requests wait at the target: then its load delays the
	// event, and the request has its place in the queue there.
	queueFactor = 2
	// resumeTimeout is how long a live target may take for the first event after a resumption
	// from a copy. A working resumption takes about 30 ms.
	resumeTimeout = 1500 * time.Millisecond
	// maxOverlap is how long the current attempt and its successor may be open together once the
	// successor was sent. A refusal takes a few ms and the first event from a copy about 30 ms. The
	// users' engines must not both work on a stream for 400 ms.
	maxOverlap = 250 * time.Millisecond
	// successorSendTimeout is how long a successor may take to be sent: the connection to a live
	// target is established within a few ms.
	successorSendTimeout = 250 * time.Millisecond
	// maxSuccessors bounds the successors of one stream, because each one that is canceled has
	// cost its target a part of a prefill.
	maxSuccessors = 4
	// successorWaitFraction is the fraction of the target's silence within which a successor
	// without a copy must be expected to produce its first event, once the objective for the first
	// event has passed.
	successorWaitFraction = 0.5
	// minEmptyEnds is the number of successors that must end without a new event until the stream
	// counts as complete. A live target ends a whole run itself, and an engine that answers with an
	// empty success would end a stream early.
	minEmptyEnds = 2
	// maxTotalAttempts bounds the attempts of one stream, including those that did not run.
	// Targets that restarted together refuse one after the other until the gateway learns
	// their new ids.
	maxTotalAttempts = 16
)

// Options are the fixed properties of a stream.
type Options struct {
	// Resumable is set if the stream may continue on another target after it ran.
	Resumable bool
	// MaxAttempts bounds the number of targets that may run the request.
	MaxAttempts int
	// Arrived is when the request arrived.
	Arrived time.Time
	// Deadline is when the stream ends as TimedOut.
	Deadline time.Time
	// MaxEventGap is the longest acceptable pause between events.
	MaxEventGap time.Duration
	// FirstEventObjective is the longest acceptable time to the first event, 0 for no limit.
	FirstEventObjective time.Duration
	// After is the number of the last event that the caller already has.
	After uint64
	// HasCopy is set if a KV cache copy of an earlier run is known.
	HasCopy bool
}

// Placement is the target chosen for an attempt.
type Placement struct {
	Target string
	// CopyTarget is the target that keeps the run's KV cache copy, empty for none.
	CopyTarget string
	// Resume is set if Target has the copy made by the previous attempt.
	Resume bool
	// ExpectedFirstEvent is the expected time to the first event on Target.
	ExpectedFirstEvent time.Duration
}

// Loss is the reason why an attempt ended without completing.
type Loss int

// Losses.
const (
	// Unsent means that no byte of the request was sent.
	Unsent Loss = iota + 1
	// Refused means that the target states that it did not run the request.
	Refused
	// Replaced means that a different target instance responded at the address.
	Replaced
	// Interrupted means that the connection broke or the response was invalid.
	Interrupted
	// TargetDown means that the target answered no probe or has ended.
	TargetDown
	// Failed means that the target responded with an error.
	Failed
	// Stalled means that a live target sent no event for too long after an earlier one or after
	// a resumption from a copy.
	Stalled
	// FirstEventLate means that a live target, of which it is not known whether it works, sent no
	// first event in time.
	FirstEventLate
	// Hung means that a live target does not work on the stream.
	Hung
)

// String returns the loss as a metric label.
func (l Loss) String() string {
	switch l {
	case Unsent:
		return "unsent"
	case Refused:
		return "refused"
	case Replaced:
		return "replaced"
	case Interrupted:
		return "interrupted"
	case TargetDown:
		return "target_down"
	case Failed:
		return "failed"
	case Stalled:
		return "stalled"
	case FirstEventLate:
		return "first_event_late"
	case Hung:
		return "hung"
	}
	return "none"
}

// NotWorking reports whether a target that is left for a successor because of the loss does not work on the
// stream as far as known, so that leaving it is no matter of speed.
func (l Loss) NotWorking() bool { return l == Hung || l == TargetDown }

// Outcome is how a stream ended.
type Outcome int

// Outcomes.
const (
	// Complete means that the target's stream ended normally.
	Complete Outcome = iota + 1
	// CallerLeft means that the caller closed its connection.
	CallerLeft
	// NoTarget means that nothing ran and no target is available.
	NoTarget
	// TargetFailed means that the target responded with an error, which the caller gets.
	TargetFailed
	// Lost means that the stream may have run and cannot be resumed.
	Lost
	// TimedOut means that the deadline passed.
	TimedOut
)

// Effect is an output of a Machine. Effects must be applied in order.
type Effect interface{ effect() }

// ChooseTarget asks for a target. The reply is Placed or PlacementFailed.
type ChooseTarget struct {
	// Exclude lists the targets that failed this stream.
	Exclude []string
	// MayHaveCopy is set if the last attempt may have left a KV cache copy.
	MayHaveCopy bool
}

// StartAttempt starts an attempt that continues after the event with number After.
type StartAttempt struct {
	Placement Placement
	After     uint64
	// CopyHolder is the target with the copy to resume from, empty for none.
	CopyHolder string
}

// EndAttempt ends the open attempt.
type EndAttempt struct{ Loss Loss }

// Probe asks whether the target of the current attempt answers. The reply is Probed; if the
// attempt ends before it, there is none.
type Probe struct{ Target string }

// SeekSuccessor asks for a target to which the stream can move from a live one. The reply, given at
// once, is SuccessorPlaced or NoSuccessor.
type SeekSuccessor struct {
	// Loss is why the stream is to leave the current target.
	Loss Loss
	// Exclude lists the targets that failed this stream and the current one, and LastResort those of
	// them that may be tried if no other target is available: the current one too if it answers and
	// does not work on this stream.
	Exclude, LastResort []string
	// MayHaveCopy is set if the current attempt may have left a KV cache copy.
	MayHaveCopy bool
	// MaxExpected is the longest acceptable expected time to the first event on a target without
	// the copy, 0 if only the holder of the copy is acceptable. If Loss.NotWorking, any target is.
	MaxExpected time.Duration
}

// StartSuccessor starts an attempt beside the current one. The replies are SuccessorSent and then
// SuccessorEvent or SuccessorFailed.
type StartSuccessor struct{ Start StartAttempt }

// EndSuccessor ends the successor because of Loss, 0 if it is not needed. The current attempt goes
// on.
type EndSuccessor struct{ Loss Loss }

// Switch ends the current attempt because of Loss and makes the successor the current attempt.
type Switch struct{ Loss Loss }

// Deliver passes the event just received to the caller.
type Deliver struct{}

// Finish ends the stream.
type Finish struct{ Outcome Outcome }

func (ChooseTarget) effect()   {}
func (StartAttempt) effect()   {}
func (EndAttempt) effect()     {}
func (Probe) effect()          {}
func (Deliver) effect()        {}
func (Finish) effect()         {}
func (SeekSuccessor) effect()  {}
func (StartSuccessor) effect() {}
func (EndSuccessor) effect()   {}
func (Switch) effect()         {}

// successor is the attempt that is opened beside the current one.
type successor struct {
	placement Placement
	// loss is why the stream is to leave the current target.
	loss     Loss
	placedAt time.Time
	// sentAt is when the request was sent, zero before.
	sentAt time.Time
}

// Machine is the state of one stream. It is not safe for concurrent use.
type Machine struct {
	options  Options
	attempts int
	// arrivals counts the ended attempts that may have reached their target, and runs those that
	// may have run the request.
	arrivals int
	runs     int
	excluded []string // targets that failed this stream
	// lastResort holds those of the excluded targets that LastResort returns.
	lastResort []string
	// avoided lists live targets that the stream left or that refused to be its successor. They are
	// not asked again to be its successor, but may be chosen after a loss.
	avoided   []string
	placement Placement
	open      bool // an attempt is open
	done      bool
	// probing is set while the reply to a Probe is pending, and seeking while that to a
	// SeekSuccessor is.
	probing, seeking bool
	probedAt         time.Time
	report           TargetReport // the last one of the current target
	silent           bool         // the current target did not answer the last probe
	successor        *successor
	successors       int // successors placed
	emptyEnds        int // successors that ended normally since the last event, without a new one
	// ran is set once a target may have begun to run the request.
	ran           bool
	lastEvent     uint64
	events        int       // events delivered
	attemptEvents int       // events delivered by the open attempt
	attemptRan    bool      // the open attempt produced an event, delivered or not
	lastActivity  time.Time // start or last event of the open attempt
	lastCheck     time.Time // lastActivity or last probe
	averageGap    time.Duration
	// leftBeforeFirstEvent is set once a target was left because its first event was late.
	leftBeforeFirstEvent bool
	lastDelivery         time.Time
	longestGap           time.Duration
}

// New returns a machine that waits for Start.
func New(options Options) *Machine {
	return &Machine{options: options, lastEvent: options.After}
}

// Start begins the stream.
func (m *Machine) Start() []Effect { return []Effect{ChooseTarget{MayHaveCopy: m.options.HasCopy}} }

// Delivered returns the number of delivered events.
func (m *Machine) Delivered() int { return m.events }

// LastEvent returns the number of the last event that the caller has.
func (m *Machine) LastEvent() uint64 { return m.lastEvent }

// Attempts returns the number of started attempts, including those that did not run.
func (m *Machine) Attempts() int { return m.attempts }

// Ran reports whether a target may have begun to run the request.
func (m *Machine) Ran() bool { return m.ran }

// InTime reports whether the next event can still come within the pause that the caller accepts,
// or the first one within its objective.
func (m *Machine) InTime(now time.Time) bool {
	if m.events == 0 {
		return now.Sub(m.options.Arrived) <= m.options.FirstEventObjective
	}
	return now.Sub(m.lastDelivery) <= m.options.MaxEventGap
}

// Arrived reports whether an attempt may have reached a target, so that another one repeats the
// request.
func (m *Machine) Arrived() bool { return m.arrivals > 0 }

// Delivery reports that the event has been passed to the caller. A slow caller is no silence of the
// target.
func (m *Machine) Delivery(now time.Time) { m.lastActivity, m.lastCheck = now, now }

// LastResort returns the excluded targets that may be tried again if no other target is available.
func (m *Machine) LastResort() []string { return m.lastResort }

// Silence returns how long the open attempt has sent no event.
func (m *Machine) Silence(now time.Time) time.Duration { return now.Sub(m.lastActivity) }

// ExpectedFirstEvent returns the expected time to the first event of the last attempt.
func (m *Machine) ExpectedFirstEvent() time.Duration { return m.placement.ExpectedFirstEvent }

// LongestGap returns the longest pause between two delivered events.
func (m *Machine) LongestGap() time.Duration { return m.longestGap }

// Done reports whether Finish was emitted.
func (m *Machine) Done() bool { return m.done }

func (m *Machine) finish(o Outcome) []Effect {
	m.done = true
	if m.open {
		// The target of an open attempt may run the request.
		m.ran = true
	}
	effects := m.endSuccessor()
	if m.open {
		m.open = false
		effects = append(effects, EndAttempt{})
	}
	return append(effects, Finish{o})
}

// Placed reports the target chosen for a ChooseTarget.
func (m *Machine) Placed(now time.Time, placement Placement) []Effect {
	m.makeCurrent(now, now, placement)
	return []Effect{m.startAttempt(placement)}
}

// startAttempt counts an attempt and returns its effect.
func (m *Machine) startAttempt(placement Placement) StartAttempt {
	m.attempts++
	copyHolder := ""
	if placement.Resume {
		copyHolder = placement.Target
	}
	return StartAttempt{Placement: placement, After: m.lastEvent, CopyHolder: copyHolder}
}

// makeCurrent makes an attempt that started at the given time the current one.
func (m *Machine) makeCurrent(now, started time.Time, placement Placement) {
	m.placement, m.open = placement, true
	m.attemptEvents, m.attemptRan = 0, false
	m.lastActivity, m.lastCheck = started, now
	m.probing, m.seeking, m.report, m.silent = false, false, TargetReport{}, false
}

// SuccessorPlaced reports the target chosen for a SeekSuccessor.
func (m *Machine) SuccessorPlaced(now time.Time, loss Loss, placement Placement) []Effect {
	if !m.open || !m.seeking {
		return nil
	}
	m.seeking = false
	m.successors++
	m.successor = &successor{placement: placement, loss: loss, placedAt: now}
	return []Effect{StartSuccessor{m.startAttempt(placement)}}
}

// NoSuccessor reports that there is no target for a SeekSuccessor. The stream stays at its target.
func (m *Machine) NoSuccessor() { m.seeking = false }

// SuccessorSent reports that the successor's request was sent.
func (m *Machine) SuccessorSent(now time.Time) {
	if m.successor != nil {
		m.successor.sentAt = now
	}
}

// SuccessorFailed reports that the successor ended. The current attempt goes on.
func (m *Machine) SuccessorFailed(loss Loss) {
	if m.successor == nil {
		return
	}
	m.countLoss(loss)
	m.excludeLive(m.successor.placement, loss)
	m.successor = nil
}

// excludeLive excludes the target of an attempt that has ended beside another one. If the target is
// live, the stream may choose it again after a loss.
func (m *Machine) excludeLive(placement Placement, loss Loss) {
	switch loss {
	case Refused, Stalled, FirstEventLate:
		m.avoided = append(m.avoided, placement.Target)
	default:
		m.excludeTarget(placement, loss)
	}
}

// SuccessorEvent reports an event of the successor. With its first new event, the successor becomes
// the current attempt.
func (m *Machine) SuccessorEvent(now time.Time, number uint64) []Effect {
	switch {
	case m.successor == nil || m.done:
		return nil
	case number == 0, m.skipsEvent(number):
		m.SuccessorFailed(Interrupted)
		return []Effect{EndSuccessor{Interrupted}}
	case number <= m.lastEvent:
		return nil
	}
	return append(m.switchAttempt(now, m.successor.loss), m.Event(now, number)...)
}

// SuccessorCompleted reports that the successor's stream ended normally, without a new event: with one
// it would be the current attempt. The current target is live and has not ended the run, so that only
// minEmptyEnds successors together show that the last event was delivered.
func (m *Machine) SuccessorCompleted(now time.Time) []Effect {
	if m.successor == nil || m.done {
		return nil
	}
	m.emptyEnds++
	if m.lastEvent == 0 || m.emptyEnds < minEmptyEnds {
		m.SuccessorFailed(Interrupted)
		return []Effect{EndSuccessor{Interrupted}}
	}
	return append(m.switchAttempt(now, m.successor.loss), m.AttemptCompleted(now)...)
}

// skipsEvent reports whether an event number leaves out events that the caller lacks.
func (m *Machine) skipsEvent(number uint64) bool {
	return number > m.lastEvent+1
}

// switchAttempt ends the current attempt and makes the successor the current one.
func (m *Machine) switchAttempt(now time.Time, loss Loss) []Effect {
	next := m.successor
	m.successor = nil
	m.countLoss(loss)
	m.excludeLive(m.placement, loss)
	if loss == FirstEventLate {
		m.leftBeforeFirstEvent = true
	}
	m.makeCurrent(now, next.placedAt, next.placement)
	return []Effect{Switch{loss}}
}

// endSuccessor ends the successor, if there is one, in favor of the current attempt. If it was sent,
// its target may have run the request.
func (m *Machine) endSuccessor() []Effect {
	if m.successor == nil {
		return nil
	}
	if !m.successor.sentAt.IsZero() {
		m.arrivals++
		m.runs++
	}
	m.successor = nil
	return []Effect{EndSuccessor{}}
}

// countLoss counts an attempt that ended because of loss.
func (m *Machine) countLoss(loss Loss) {
	if loss != Unsent {
		m.arrivals++
	}
	if loss != Unsent && loss != Refused && loss != Replaced {
		m.ran = true
		m.runs++
	}
}

// PlacementFailed reports that no target is available for a ChooseTarget.
func (m *Machine) PlacementFailed() []Effect {
	if m.ran {
		return m.finish(Lost)
	}
	return m.finish(NoTarget)
}

// Event reports an event of the open attempt. The events of a run are numbered from 1. Number 0
// means an event without a number, such as an error in place of the next event, which is not part
// of a run.
func (m *Machine) Event(now time.Time, number uint64) []Effect {
	if !m.open {
		return nil
	}
	if number == 0 {
		return m.AttemptFailed(now, Interrupted)
	}
	m.ran, m.attemptRan = true, true
	if number <= m.lastEvent {
		return nil
	}
	if m.skipsEvent(number) {
		return m.AttemptFailed(now, Interrupted)
	}
	if m.attemptEvents > 0 {
		m.observeGap(now.Sub(m.lastActivity))
	}
	if m.events > 0 {
		m.longestGap = max(m.longestGap, now.Sub(m.lastDelivery))
	}
	m.lastDelivery = now
	m.lastEvent = number
	m.emptyEnds = 0
	m.events++
	m.attemptEvents++
	m.lastActivity, m.lastCheck, m.silent = now, now, false
	return append(m.endSuccessor(), Deliver{})
}

func (m *Machine) observeGap(gap time.Duration) {
	if m.averageGap == 0 {
		m.averageGap = gap
		return
	}
	m.averageGap += time.Duration(gapWeight * float64(gap-m.averageGap))
}

// AttemptCompleted reports that the open attempt's stream ended normally. No event marks the end of
// a run, so that this is its end, also if the attempt resumed a run and sent no event: the earlier
// connection may have broken after the last one. Only a stream of which no target ever sent an
// event cannot be a whole run.
func (m *Machine) AttemptCompleted(now time.Time) []Effect {
	if !m.open {
		return nil
	}
	if m.lastEvent == 0 {
		return m.AttemptFailed(now, Interrupted)
	}
	return m.finish(Complete)
}

// AttemptFailed reports that the current attempt ended without completing.
func (m *Machine) AttemptFailed(now time.Time, loss Loss) []Effect {
	if !m.open {
		return nil
	}
	var effects []Effect
	if m.successor != nil {
		// The copy of a lost run is sooner than the prefill of a successor without it.
		if now.Before(m.options.Deadline) && (m.successor.placement.Resume || !m.attemptRan) {
			return m.switchAttempt(now, loss)
		}
		effects = m.endSuccessor()
	}
	m.open, m.probing = false, false
	m.countLoss(loss)
	effects = append(effects, EndAttempt{loss})
	m.excludeTarget(m.placement, loss)
	switch {
	case !now.Before(m.options.Deadline):
		return append(effects, m.finish(TimedOut)...)
	case m.runs >= m.options.MaxAttempts, m.attempts >= maxTotalAttempts, m.ran && !m.options.Resumable:
		if loss == Failed && m.events == 0 {
			return append(effects, m.finish(TargetFailed)...)
		}
		return append(effects, m.PlacementFailed()...)
	}
	// An engine copies a run's KV cache from its first event on, and a copy can be used once.
	return append(effects, ChooseTarget{Exclude: m.excluded, MayHaveCopy: m.attemptRan})
}

// excludeTarget excludes the target of an attempt that has ended. A target that refused only to
// resume from a copy may lack the copy and be able to run the request, and one that was unreachable
// or slow may have recovered. Other losses would repeat: another instance runs at the address, or
// the target rejects or fails the request itself.
func (m *Machine) excludeTarget(placement Placement, loss Loss) {
	id := placement.Target
	m.excluded = append(m.excluded, id)
	m.lastResort = slices.DeleteFunc(m.lastResort, func(other string) bool { return other == id })
	switch loss {
	case Unsent, Interrupted, TargetDown, Stalled, FirstEventLate, Hung:
		m.lastResort = append(m.lastResort, id)
	case Refused:
		if placement.Resume {
			m.lastResort = append(m.lastResort, id)
		}
	}
}

// CallerDisconnected reports that the caller closed its connection.
func (m *Machine) CallerDisconnected() []Effect { return m.finish(CallerLeft) }

// NextCheck returns when Check must be called unless an event arrives earlier.
func (m *Machine) NextCheck() time.Time {
	next := m.options.Deadline
	consider := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if m.successor != nil {
		consider(m.successor.end())
	}
	if m.probing {
		return next
	}
	consider(m.lastCheck.Add(m.probeDelay()))
	if limit, ok := m.shortestLimit(); ok && m.lastActivity.Add(limit).After(m.lastCheck) {
		consider(m.lastActivity.Add(limit))
	}
	return next
}

// end returns when the overlap with the current attempt ends.
func (s *successor) end() time.Time {
	if s.sentAt.IsZero() {
		return s.placedAt.Add(successorSendTimeout)
	}
	return s.sentAt.Add(maxOverlap)
}

// limit returns how long a live target may be silent before the stream seeks a successor, and false
// if there is no limit. hasCopy is whether a copy of the run's KV cache exists.
func (m *Machine) limit(hasCopy bool) (time.Duration, bool) {
	switch {
	case !m.options.Resumable:
		return 0, false
	case m.attemptEvents > 0 && hasCopy:
		return time.Duration(stallFraction * float64(m.options.MaxEventGap)), true
	case m.attemptEvents > 0:
		return stallTimeoutWithoutCopy, true
	case m.placement.Resume:
		return resumeTimeout, true
	case m.options.FirstEventObjective <= 0, m.leftBeforeFirstEvent && m.report.Progress == placement.ProgressUnknown:
		return 0, false
	}
	if p := m.report.Progress; p == placement.Missing || p == placement.Stopped {
		return m.firstEventLimit(hungFraction, hungFactor), true
	}
	limit := m.firstEventLimit(firstEventFraction, firstEventFactor)
	if m.report.Queued > 0 {
		limit *= queueFactor
	}
	return limit, true
}

// firstEventLimit returns the longer one of a fraction of the objective and a multiple of the expected
// time.
func (m *Machine) firstEventLimit(fraction, factor float64) time.Duration {
	return max(time.Duration(fraction*float64(m.options.FirstEventObjective)), time.Duration(factor*float64(m.placement.ExpectedFirstEvent)))
}

// shortestLimit returns the limit with a copy or, if it has passed, without one.
func (m *Machine) shortestLimit() (time.Duration, bool) {
	limit, ok := m.limit(true)
	if ok && !m.lastActivity.Add(limit).After(m.lastCheck) {
		return m.limit(false)
	}
	return limit, ok
}

// probeDelay returns the delay from the last event or probe to the next probe. During a long silence
// it grows with it, since each probe costs the target a connection, unless the last report may show a
// request that hangs.
func (m *Machine) probeDelay() time.Duration {
	first := m.lastCheck.Equal(m.lastActivity)
	delay := maxProbeDelay
	short := m.report.Progress == placement.Suspect || m.report.Progress == placement.Missing
	switch {
	case m.silent:
		return maxProbeDelay
	case m.attemptEvents > 0:
		delay = min(maxProbeDelay, max(minProbeDelay, probeDelayFactor*m.averageGap))
	case m.placement.Resume:
	case first:
		return firstProbeDelay
	case !short:
		return nextProbeDelay
	}
	if short {
		return delay
	}
	return min(nextProbeDelay, max(delay, m.lastCheck.Sub(m.lastActivity)))
}

// Check must be called at the time that NextCheck returns.
func (m *Machine) Check(now time.Time) []Effect {
	if !m.open || m.done {
		return nil
	}
	switch {
	case !now.Before(m.options.Deadline):
		return m.finish(TimedOut)
	case now.Before(m.NextCheck()):
		return nil
	case m.successor != nil && !now.Before(m.successor.end()):
		return m.endOverlap(now)
	}
	m.lastCheck, m.probedAt, m.probing = now, now, true
	return []Effect{Probe{m.placement.Target}}
}

// endOverlap ends the successor if it was not sent, or if the current target works on the stream:
// the successor has not shown yet that it would be sooner. Otherwise it ends the current attempt, since
// the successor's target did not refuse the stream.
func (m *Machine) endOverlap(now time.Time) []Effect {
	if m.successor.sentAt.IsZero() || !m.successor.loss.NotWorking() && m.report.Progress != placement.ProgressUnknown {
		m.avoided = append(m.avoided, m.successor.placement.Target)
		return m.endSuccessor()
	}
	return m.switchAttempt(now, m.successor.loss)
}

// TargetReport is what is known of the current target's work from its report and from the streams
// there.
type TargetReport struct {
	// Queued is the number of requests that wait.
	Queued int
	// RunListed is set if the report lists the run of the stream, as it does from the first event.
	RunListed bool
	Progress  placement.Progress
}

// TargetReported records the current target's report.
func (m *Machine) TargetReported(report TargetReport) { m.report = report }

// ReportMissing records that a probe of the current target brought no report. What waited there most
// likely still waits, but whether the target works is not known any more.
func (m *Machine) ReportMissing() {
	m.report.Progress, m.report.RunListed = placement.ProgressUnknown, false
}

// hung reports whether the current target, which has been silent for longer than the limit, does not
// work on the stream, though it may work on others. A working engine continues all runs that it lists at
// each step; events that it lists and that do not arrive are lost.
func (m *Machine) hung(now time.Time) bool {
	switch {
	case m.report.Progress == placement.ProgressUnknown:
		return false
	case m.report.Progress == placement.Stopped:
		return true
	case m.report.RunListed:
		limit, ok := m.limit(false)
		return ok && now.Sub(m.lastActivity) >= limit
	case m.placement.Resume && m.attemptEvents == 0 && m.report.Queued == 0:
		// A run that resumes reads no prompt: it waits or is listed. The engine has ended since, and another
		// process at its address works on other streams.
		return true
	}
	return m.report.Progress == placement.Missing
}

// Probed reports the result of a Probe; hasCopy is whether a copy of the run's KV cache
// exists now. If a live target has been silent for too long, the stream seeks a successor, but one
// without the copy only if the target is not known to work on the stream.
func (m *Machine) Probed(now time.Time, alive, hasCopy bool) []Effect {
	if !m.open || m.done {
		return nil
	}
	m.probing = false
	if !alive {
		m.lastCheck = now
		if m.lastActivity.After(m.probedAt) {
			// An event that arrived meanwhile shows that the target works.
			return nil
		}
		return m.TargetSilent(now, hasCopy)
	}
	m.silent = false
	m.lastCheck = now
	limit, ok := m.limit(hasCopy)
	if !ok || now.Sub(m.lastActivity) < limit {
		return nil
	}
	seek := SeekSuccessor{Loss: Stalled, MayHaveCopy: m.attemptRan && hasCopy, MaxExpected: m.maxExpected(now)}
	switch {
	case m.hung(now):
		seek.Loss, seek.LastResort = Hung, append(slices.Clone(m.lastResort), m.placement.Target)
	case m.report.Progress != placement.ProgressUnknown && !seek.MayHaveCopy:
		return nil
	case m.report.Progress != placement.ProgressUnknown:
		seek.MaxExpected = 0
	case m.attemptEvents == 0 && !m.placement.Resume:
		seek.Loss = FirstEventLate
	}
	seek.Exclude = slices.Concat(m.excluded, m.avoided, []string{m.placement.Target})
	return m.seekSuccessor(seek)
}

// TargetSilent reports that the current target has answered no probe and sent nothing since. It may be
// unreachable or only late, so that the stream seeks a successor at once and stays if there is none.
func (m *Machine) TargetSilent(now time.Time, hasCopy bool) []Effect {
	if !m.open || m.done {
		return nil
	}
	if !m.options.Resumable {
		return m.AttemptFailed(now, TargetDown)
	}
	m.silent = true
	if m.successor != nil {
		m.successor.loss = TargetDown
		return nil
	}
	return m.seekSuccessor(SeekSuccessor{
		Loss: TargetDown, MayHaveCopy: m.attemptRan && hasCopy, Exclude: append(slices.Clone(m.excluded), m.placement.Target), LastResort: m.lastResort,
	})
}

// seekSuccessor returns the effect if another target may run the stream beside the current one. One of
// the attempts is kept for a loss, unless leaving the current target is one.
func (m *Machine) seekSuccessor(seek SeekSuccessor) []Effect {
	runs, successors := m.runs+2, m.successors
	if seek.Loss.NotWorking() {
		runs = m.runs + 1
	}
	if seek.Loss == TargetDown {
		// Bounded by the attempts, as after a loss.
		successors = 0
	}
	if m.successor != nil || m.seeking || successors >= maxSuccessors || runs >= m.options.MaxAttempts || m.attempts >= maxTotalAttempts {
		return nil
	}
	m.seeking = true
	return []Effect{seek}
}

// maxExpected returns the longest expected time to the first event with which another target is
// likely to be sooner than the current one.
func (m *Machine) maxExpected(now time.Time) time.Duration {
	wait := time.Duration(successorWaitFraction * float64(now.Sub(m.lastActivity)))
	if m.events > 0 {
		return wait
	}
	return max(wait, m.options.Arrived.Add(m.options.FirstEventObjective).Sub(now))
}
