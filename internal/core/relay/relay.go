// Package relay decides how one stream of numbered events is passed on from targets that
// are reached without an agent: where it runs, when silence means that its target is lost,
// and where it continues. Every event is passed on once and in order.
//
// Invariants:
//   - an event is delivered only if its number is one above that of the event before;
//   - at most one attempt is open at any time;
//   - an attempt that follows another continues behind the last delivered event;
//   - Finish is the last effect.
package relay

import "time"

const (
	// minSilence and maxSilence bound the pause after which a target is probed. Events of
	// a target that also reads prompts come up to 200 ms apart; the users' pauses of
	// 700 ms must still hold after a probe and a resumption.
	minSilence = 160 * time.Millisecond
	maxSilence = 300 * time.Millisecond
	// silenceFactor is the multiple of the usual gap that counts as silence.
	silenceFactor = 3
	// gapWeight is the weight of a new sample of the usual gap.
	gapWeight = 0.2
	// firstProbe and nextProbe are the pauses before the first event after which a target
	// is probed: reading a prompt takes about a second.
	firstProbe = 900 * time.Millisecond
	nextProbe  = 1200 * time.Millisecond
	// stuckShare is the share of the permitted pause after which a stream that makes no
	// progress at a live target moves to its copy.
	stuckShare = 0.62
	// stuckWithoutCopy is the pause after which a stream without a copy moves: reading the
	// prompt again costs more than a second, and target and caller may both recover.
	stuckWithoutCopy = 4 * time.Second
	// unreadShare is the share of the objective for the first event, and unreadFactor the
	// multiple of the expected time, after which a stream without an event leaves a live
	// target: another one can still read the prompt within the objective. A prompt that is
	// given up is read in vain, so that both must have passed, and only once.
	unreadShare  = 0.6
	unreadFactor = 2.5
	// stuckResumption is the time after which a resumption from a copy that produced nothing
	// at a live target is given up; one that works takes some 30 ms.
	stuckResumption = 1500 * time.Millisecond
	// maxTries bounds the attempts of one stream with those that did not run. Targets that
	// restarted together refuse in turn until the gateway learns of their new ids.
	maxTries = 16
)

// Options are the fixed properties of a stream.
type Options struct {
	// Resumable is set if the stream may continue on another target.
	Resumable bool
	// MaxAttempts bounds the targets that may run the request.
	MaxAttempts int
	// Deadline ends the stream.
	Deadline time.Time
	// MaxEventGap is the longest pause between events that is still on time.
	MaxEventGap time.Duration
	// FirstEventObjective is the time to the first event that is still on time, 0 for any.
	FirstEventObjective time.Duration
	// After is the number of the last event that the caller has.
	After uint64
	// HasCopy is set if a copy of the memory of an earlier run is known.
	HasCopy bool
}

// Placement is a chosen target.
type Placement struct {
	Target string
	// CopyTarget is the target that shall keep the second copy of the run's memory, empty for none.
	CopyTarget string
	// Resume is set if the target holds the copy made by the previous attempt.
	Resume bool
	// ExpectedFirstEvent is the time until the first event that is expected of the target.
	ExpectedFirstEvent time.Duration
}

// Loss says how an attempt ended without completing.
type Loss int

// Losses.
const (
	// Unsent means that no byte of the request left.
	Unsent Loss = iota + 1
	// Refused means that the target states that it did not run the request.
	Refused
	// Replaced means that another instance answered at the address.
	Replaced
	// Interrupted means that the connection broke or the answer was invalid.
	Interrupted
	// TargetDown means that the target was found unreachable.
	TargetDown
	// Failed means that the target answered with a failure of its own.
	Failed
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
	}
	return "none"
}

// Outcome is the end of a stream.
type Outcome int

// Outcomes.
const (
	// Complete means that the target's stream ended regularly.
	Complete Outcome = iota + 1
	// CallerLeft means that the caller closed its connection.
	CallerLeft
	// NoTarget means that nothing ran and no target can be had.
	NoTarget
	// TargetFailed passes on the failure that the target answered.
	TargetFailed
	// Lost means that the stream ran and cannot be continued.
	Lost
	// TimedOut means that the deadline passed.
	TimedOut
)

// Effect is an output of a Machine, to be applied in order.
type Effect interface{ effect() }

// ChooseTarget asks for a target; it is answered by Placed or Unplaced.
type ChooseTarget struct {
	// Exclude holds targets that failed this stream.
	Exclude []string
	// MayHaveCopy is set if an attempt before may have left a copy of the run's memory.
	MayHaveCopy bool
}

// StartAttempt starts an attempt at a place, continuing behind an event.
type StartAttempt struct {
	Placement Placement
	After     uint64
	// CopyHolder is the target that holds the copy to continue from, empty for none.
	CopyHolder string
}

// EndAttempt ends the open attempt.
type EndAttempt struct{ Loss Loss }

// Probe asks whether the target of the open attempt answers.
type Probe struct{ Target string }

// Deliver passes the last event on.
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
	// ranOn is the number of targets that may have begun to run the request.
	ranOn    int
	excluded []string
	place    Placement
	open     bool
	done     bool
	// ran is set once a target may have begun to run the request.
	ran      bool
	last     uint64
	events   int
	fresh    int
	lastSeen time.Time
	checked  time.Time
	gap      time.Duration
	// leftUnread is set once a target was left because its first event did not come.
	leftUnread bool
	// delivered is when the last event was passed on, longest the longest pause between two.
	delivered time.Time
	longest   time.Duration
}

// New returns a machine that waits for Start.
func New(options Options) *Machine {
	return &Machine{options: options, last: options.After}
}

// Start begins the stream.
func (m *Machine) Start() []Effect { return []Effect{ChooseTarget{MayHaveCopy: m.options.HasCopy}} }

// Delivered returns the number of events passed on.
func (m *Machine) Delivered() int { return m.events }

// LastEvent returns the number of the last event that the caller has.
func (m *Machine) LastEvent() uint64 { return m.last }

// Attempts returns the number of targets that the request was sent to.
func (m *Machine) Attempts() int { return m.attempts }

// Ran reports whether a target may have begun to run the request.
func (m *Machine) Ran() bool { return m.ran }

// LongestGap returns the longest pause between two events that were passed on.
func (m *Machine) LongestGap() time.Duration { return m.longest }

// Done reports that Finish was emitted.
func (m *Machine) Done() bool { return m.done }

func (m *Machine) finish(o Outcome) []Effect {
	m.done = true
	if m.open {
		m.open = false
		return []Effect{EndAttempt{}, Finish{o}}
	}
	return []Effect{Finish{o}}
}

// Placed answers a Choose.
func (m *Machine) Placed(now time.Time, place Placement) []Effect {
	holder := ""
	if place.Resume {
		holder = place.Target
	}
	m.place, m.open = place, true
	m.attempts++
	m.fresh = 0
	m.lastSeen, m.checked = now, now
	return []Effect{StartAttempt{Placement: place, After: m.last, CopyHolder: holder}}
}

// PlacementFailed reports that no target can be had.
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
	m.ran = true
	if number <= m.last {
		return nil
	}
	if number != m.last+1 && (m.events > 0 || m.options.After > 0) {
		return m.AttemptFailed(now, Interrupted)
	}
	if m.fresh > 0 {
		m.observeGap(now.Sub(m.lastSeen))
	}
	if m.events > 0 {
		m.longest = max(m.longest, now.Sub(m.delivered))
	}
	m.delivered = now
	m.last = number
	m.events++
	m.fresh++
	m.lastSeen, m.checked = now, now
	return []Effect{Deliver{}}
}

func (m *Machine) observeGap(gap time.Duration) {
	if m.gap == 0 {
		m.gap = gap
		return
	}
	m.gap += time.Duration(gapWeight * float64(gap-m.gap))
}

// AttemptCompleted reports the regular end of the open attempt's stream.
func (m *Machine) AttemptCompleted() []Effect {
	if !m.open {
		return nil
	}
	m.open = false
	return m.finish(Complete)
}

// AttemptFailed reports that the open attempt ended otherwise.
func (m *Machine) AttemptFailed(now time.Time, loss Loss) []Effect {
	if !m.open {
		return nil
	}
	m.open = false
	began := loss != Unsent && loss != Refused && loss != Replaced
	if began {
		m.ran = true
		m.ranOn++
	}
	effects := []Effect{EndAttempt{loss}}
	m.excluded = append(m.excluded, m.place.Target)
	switch {
	case !now.Before(m.options.Deadline):
		return append(effects, m.finish(TimedOut)...)
	case m.ranOn >= m.options.MaxAttempts, m.attempts >= maxTries, m.ran && !m.options.Resumable:
		if loss == Failed && m.events == 0 {
			return append(effects, m.finish(TargetFailed)...)
		}
		return append(effects, m.PlacementFailed()...)
	}
	return append(effects, ChooseTarget{Exclude: m.excluded, MayHaveCopy: began})
}

// CallerDisconnected reports that the caller closed its connection.
func (m *Machine) CallerDisconnected() []Effect { return m.finish(CallerLeft) }

// NextCheck returns when Check must be called unless an event comes before.
func (m *Machine) NextCheck() time.Time {
	next := m.checked.Add(m.patience())
	if limit, ok := m.unreadLimit(); ok && m.lastSeen.Add(limit).After(m.checked) && m.lastSeen.Add(limit).Before(next) {
		next = m.lastSeen.Add(limit)
	}
	if m.options.Deadline.Before(next) {
		return m.options.Deadline
	}
	return next
}

// unreadLimit returns how long a target may take for the first event, and false if it is not
// left for taking longer.
func (m *Machine) unreadLimit() (time.Duration, bool) {
	if m.fresh > 0 || m.place.Resume || m.leftUnread || m.options.FirstEventObjective <= 0 || !m.options.Resumable {
		return 0, false
	}
	return max(time.Duration(unreadShare*float64(m.options.FirstEventObjective)), time.Duration(unreadFactor*float64(m.place.ExpectedFirstEvent))), true
}

// patience is the pause after the last event or probe until the next probe.
func (m *Machine) patience() time.Duration {
	switch {
	case m.fresh > 0:
		return min(maxSilence, max(minSilence, silenceFactor*m.gap))
	case m.place.Resume:
		return maxSilence
	case m.checked.Equal(m.lastSeen):
		return firstProbe
	}
	return nextProbe
}

// Check is called at NextCheck.
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
	m.checked = now
	return []Effect{Probe{m.place.Target}}
}

// Probed answers a Probe; hasCopy tells whether the run's memory has a copy now. A live
// target whose stream makes no progress is left for the copy before the permitted pause is
// over, and without one only after a time in which target and caller may both recover.
func (m *Machine) Probed(now time.Time, alive, hasCopy bool) []Effect {
	if !m.open || m.done {
		return nil
	}
	m.checked = now
	if !alive {
		return m.AttemptFailed(now, TargetDown)
	}
	limit := stuckWithoutCopy
	switch {
	case m.fresh == 0 && !m.place.Resume:
		if unread, ok := m.unreadLimit(); ok && now.Sub(m.lastSeen) >= unread {
			m.leftUnread = true
			return m.AttemptFailed(now, Interrupted)
		}
		return nil
	case m.fresh == 0:
		limit = stuckResumption
	case hasCopy:
		limit = time.Duration(stuckShare * float64(m.options.MaxEventGap))
	}
	if m.options.Resumable && now.Sub(m.lastSeen) >= limit {
		return m.AttemptFailed(now, Interrupted)
	}
	return nil
}
