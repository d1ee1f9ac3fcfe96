// Package relay implements the state machine of one stream of numbered events that is
// relayed from targets without an agent. It decides on which target the stream runs, when
// an inactive target counts as failed, and where the stream resumes. Each event is
// delivered once and in order.
//
// Invariants:
//   - an event is delivered only if its number is one above that of the previous event;
//   - at most one attempt is open at any time;
//   - each later attempt continues after the last delivered event;
//   - Finish is the last effect.
package relay

import (
	"slices"
	"time"
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
	// progress on a live target moves to the copy of its KV cache.
	stallFraction = 0.62
	// stallTimeoutWithoutCopy is the pause after which a stalled stream without a copy moves:
	// another prefill costs more than a second, and the target or the caller may recover
	// meanwhile.
	stallTimeoutWithoutCopy = 4 * time.Second
	// firstEventFraction is the fraction of the objective for the first event, and
	// firstEventFactor the multiple of the expected time, after which a stream without an
	// event leaves a live target, so that another one can prefill the prompt within the
	// objective. Both must have passed, and a stream leaves only once, because the work of
	// an abandoned prefill is lost.
	firstEventFraction = 0.6
	firstEventFactor   = 2.5
	// resumeTimeout is how long a live target may take for the first event after a resumption
	// from a copy. A working resumption takes about 30 ms.
	resumeTimeout = 1500 * time.Millisecond
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
	// TargetDown means that the target was found unreachable.
	TargetDown
	// Failed means that the target responded with an error.
	Failed
	// Stalled means that a live target sent no event for too long after an earlier one or after
	// a resumption from a copy.
	Stalled
	// FirstEventLate means that a live target sent no first event in time.
	FirstEventLate
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
	}
	return "none"
}

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

// Probe asks whether the target of the open attempt is reachable. The reply is Probed.
type Probe struct{ Target string }

// Deliver passes the event just received to the caller.
type Deliver struct{}

// Finish ends the stream.
type Finish struct{ Outcome Outcome }

func (ChooseTarget) effect() {}
func (StartAttempt) effect() {}
func (EndAttempt) effect()   {}
func (Probe) effect()        {}
func (Deliver) effect()      {}
func (Finish) effect()       {}

// Machine is the state of one stream. It is not safe for concurrent use.
type Machine struct {
	options  Options
	attempts int
	// arrivals counts the ended attempts that may have reached their target, and runs those that
	// may have run the request.
	arrivals int
	runs     int
	excluded []string
	// lastResort holds those of the excluded targets that LastResort returns.
	lastResort []string
	placement  Placement
	open       bool // an attempt is open
	done       bool
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
		m.open = false
		return []Effect{EndAttempt{}, Finish{o}}
	}
	return []Effect{Finish{o}}
}

// Placed reports the target chosen for a ChooseTarget.
func (m *Machine) Placed(now time.Time, placement Placement) []Effect {
	copyHolder := ""
	if placement.Resume {
		copyHolder = placement.Target
	}
	m.placement, m.open = placement, true
	m.attempts++
	m.attemptEvents, m.attemptRan = 0, false
	m.lastActivity, m.lastCheck = now, now
	return []Effect{StartAttempt{Placement: placement, After: m.lastEvent, CopyHolder: copyHolder}}
}

// PlacementFailed reports that no target is available for a ChooseTarget.
func (m *Machine) PlacementFailed() []Effect {
	if m.ran {
		return m.finish(Lost)
	}
	return m.finish(NoTarget)
}

// Event reports an event of the open attempt.
func (m *Machine) Event(now time.Time, number uint64) []Effect {
	if !m.open {
		return nil
	}
	m.ran, m.attemptRan = true, true
	if number <= m.lastEvent {
		return nil
	}
	if number != m.lastEvent+1 && (m.events > 0 || m.options.After > 0) {
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
	m.events++
	m.attemptEvents++
	m.lastActivity, m.lastCheck = now, now
	return []Effect{Deliver{}}
}

func (m *Machine) observeGap(gap time.Duration) {
	if m.averageGap == 0 {
		m.averageGap = gap
		return
	}
	m.averageGap += time.Duration(gapWeight * float64(gap-m.averageGap))
}

// AttemptCompleted reports that the open attempt's stream ended normally.
func (m *Machine) AttemptCompleted() []Effect {
	if !m.open {
		return nil
	}
	m.open = false
	return m.finish(Complete)
}

// AttemptFailed reports that the open attempt ended without completing.
func (m *Machine) AttemptFailed(now time.Time, loss Loss) []Effect {
	if !m.open {
		return nil
	}
	m.open = false
	if loss != Unsent {
		m.arrivals++
	}
	mayHaveRun := loss != Unsent && loss != Refused && loss != Replaced
	if mayHaveRun {
		m.ran = true
		m.runs++
	}
	effects := []Effect{EndAttempt{loss}}
	m.excludeTarget(loss)
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

// excludeTarget excludes the target of the attempt that just ended. A target that refused only to
// resume from a copy may lack the copy and be able to run the request, and one that was unreachable
// or slow may have recovered. Other losses would repeat: another instance runs at the address, or
// the target rejects or fails the request itself.
func (m *Machine) excludeTarget(loss Loss) {
	id := m.placement.Target
	m.excluded = append(m.excluded, id)
	m.lastResort = slices.DeleteFunc(m.lastResort, func(other string) bool { return other == id })
	switch loss {
	case Unsent, Interrupted, TargetDown, Stalled, FirstEventLate:
		m.lastResort = append(m.lastResort, id)
	case Refused:
		if m.placement.Resume {
			m.lastResort = append(m.lastResort, id)
		}
	}
}

// CallerDisconnected reports that the caller closed its connection.
func (m *Machine) CallerDisconnected() []Effect { return m.finish(CallerLeft) }

// NextCheck returns when Check must be called unless an event arrives earlier.
func (m *Machine) NextCheck() time.Time {
	next := m.lastCheck.Add(m.probeDelay())
	if timeout, ok := m.firstEventTimeout(); ok && m.lastActivity.Add(timeout).After(m.lastCheck) && m.lastActivity.Add(timeout).Before(next) {
		next = m.lastActivity.Add(timeout)
	}
	if m.options.Deadline.Before(next) {
		return m.options.Deadline
	}
	return next
}

// firstEventTimeout returns how long a target may take for the first event, and false if
// there is no limit.
func (m *Machine) firstEventTimeout() (time.Duration, bool) {
	if m.attemptEvents > 0 || m.placement.Resume || m.leftBeforeFirstEvent || m.options.FirstEventObjective <= 0 || !m.options.Resumable {
		return 0, false
	}
	return max(time.Duration(firstEventFraction*float64(m.options.FirstEventObjective)), time.Duration(firstEventFactor*float64(m.placement.ExpectedFirstEvent))), true
}

// probeDelay returns the delay from the last event or probe to the next probe.
func (m *Machine) probeDelay() time.Duration {
	switch {
	case m.attemptEvents > 0:
		return min(maxProbeDelay, max(minProbeDelay, probeDelayFactor*m.averageGap))
	case m.placement.Resume:
		return maxProbeDelay
	case m.lastCheck.Equal(m.lastActivity):
		return firstProbeDelay
	}
	return nextProbeDelay
}

// Check must be called at the time that NextCheck returns.
func (m *Machine) Check(now time.Time) []Effect {
	if !m.open || m.done {
		return nil
	}
	if !now.Before(m.options.Deadline) {
		return m.finish(TimedOut)
	}
	if now.Before(m.NextCheck()) {
		return nil
	}
	m.lastCheck = now
	return []Effect{Probe{m.placement.Target}}
}

// Probed reports the result of a Probe; hasCopy is whether a copy of the run's KV cache
// exists now. A stream that stalls on a live target moves to the copy before MaxEventGap
// has passed. Without a copy it moves only after stallTimeoutWithoutCopy.
func (m *Machine) Probed(now time.Time, alive, hasCopy bool) []Effect {
	if !m.open || m.done {
		return nil
	}
	m.lastCheck = now
	if !alive {
		return m.AttemptFailed(now, TargetDown)
	}
	limit := stallTimeoutWithoutCopy
	switch {
	case m.attemptEvents == 0 && !m.placement.Resume:
		if timeout, ok := m.firstEventTimeout(); ok && now.Sub(m.lastActivity) >= timeout {
			m.leftBeforeFirstEvent = true
			return m.AttemptFailed(now, FirstEventLate)
		}
		return nil
	case m.attemptEvents == 0:
		limit = resumeTimeout
	case hasCopy:
		limit = time.Duration(stallFraction * float64(m.options.MaxEventGap))
	}
	if m.options.Resumable && now.Sub(m.lastActivity) >= limit {
		return m.AttemptFailed(now, Stalled)
	}
	return nil
}
