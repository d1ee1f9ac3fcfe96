// Package capacity decides whether a gateway can take another request now. It judges samples of what the process
// uses of its share of the processor, of its link and of its memory, and of how late it is.
//
// A gateway is full only after sustained evidence. Gateways run on 0.1 to 0.3 of a core that they get as an
// allowance for each 100 ms, so that pauses of tens of ms and single late samples are normal.
package capacity

import "time"

const (
	// highDelay is the delay of work in the process beyond which a sample counts as busy: two and a half periods
	// of the allowance. Calls have objectives of 120 to 300 ms, and each waits several times.
	highDelay = 250 * time.Millisecond
	// lowDelay is the delay below which a sample counts as low: one period of the allowance.
	lowDelay = 100 * time.Millisecond
	// busyUse is the fraction of the processor share beyond which a delay is due to the gateway's own load.
	busyUse = 0.8
	// busySamples is the number of consecutive busy samples, and busyTime the time they cover, after which a gateway
	// is full. A garbage collection takes up to 0.5 s on a tenth of a core.
	busySamples = 2
	busyTime    = time.Second
	// starvedSamples is the same for delays while the process used little of its share. One is a suspension, and
	// the next may be due to what arrived meanwhile.
	starvedSamples = 4
	// highLink and lowLink are fractions of the link. Above the first for linkTime, data queues before the link.
	highLink, lowLink = 0.95, 0.85
	linkTime          = 2 * time.Second
	// highHeld and lowHeld are fractions of the memory that may be held for slow readers.
	highHeld, lowHeld = 0.9, 0.7
	// heldSamples is the number of consecutive samples with highHeld after which a gateway is full.
	heldSamples = 2
	// lowTime is how long the signals must be low before a gateway is no longer full.
	lowTime = 500 * time.Millisecond
	// maxFullTime bounds the time for which a gateway is full without new evidence, so that signals that are
	// wrong cannot keep it from serving.
	maxFullTime = 10 * time.Second
	// maxExpected bounds the time for which a gateway says that it expects to be full. Later, it has changed.
	maxExpected = 5 * time.Second
	// AdmitEvery is the number of new requests of which a full gateway admits one, so that the state can end.
	AdmitEvery = 10
)

// Limits are what a gateway may use; 0 means unknown.
type Limits struct {
	// Processor is in cores, Link in bytes/s, and Held in bytes.
	Processor, Link, Held float64
}

// Sample is what a gateway measured since the sample before.
type Sample struct {
	At time.Time
	// Delay is how late work began that was due: the sample itself, tasks that were ready, the event loop.
	Delay time.Duration
	// Processor is the processor time used, and Sent the bytes sent.
	Processor time.Duration
	Sent      int64
	// Held is the number of bytes held for clients and targets that read slowly.
	Held int64
}

// Reason is why a gateway is full.
type Reason int

// Reasons.
const (
	// None means that the gateway is not full.
	None Reason = iota
	// Processor means that the process uses its share and falls behind.
	Processor
	// Starved means that the process falls behind without getting its share.
	Starved
	// Link means that the link is used up.
	Link
	// Readers means that too much is held for slow readers.
	Readers
)

// Reasons lists the reasons for which a gateway can be full.
var Reasons = []Reason{Processor, Starved, Link, Readers}

// String returns the reason as a metric label.
func (r Reason) String() string {
	return [...]string{"none", "processor", "starved", "link", "slow_readers"}[r]
}

// State is what a gateway does with new requests.
type State struct {
	// Reason is None if all are taken.
	Reason Reason
	// Expected is how long the gateway expects to be full.
	Expected time.Duration
}

// Monitor is the state machine of one gateway. It is not safe for concurrent use.
type Monitor struct {
	limits Limits
	last   time.Time
	// busy, starved and held count the consecutive samples of each kind.
	busy, starved, held int
	// busySince is when the first of the busy samples began.
	busySince time.Time
	// linkFullSince and lowSince are zero while the link is not full or the signals are not low.
	linkFullSince, lowSince time.Time
	fullSince               time.Time
	state                   State
}

// NewMonitor returns the monitor of a gateway that is not full.
func NewMonitor(now time.Time, limits Limits) *Monitor { return &Monitor{limits: limits, last: now} }

// Observe judges a sample and returns the state from then on.
func (m *Monitor) Observe(s *Sample) State {
	interval := s.At.Sub(m.last)
	if interval <= 0 {
		return m.state
	}
	seconds := interval.Seconds()
	// The interval of the next sample begins here, also if this one came late.
	m.last = s.At
	m.observeDelay(s, interval)
	link, held := fraction(float64(s.Sent)/seconds, m.limits.Link), fraction(float64(s.Held), m.limits.Held)
	if link < highLink {
		m.linkFullSince = time.Time{}
	} else if m.linkFullSince.IsZero() {
		m.linkFullSince = s.At.Add(-interval)
	}
	m.held = count(m.held, held >= highHeld)
	// Without a known share, the delay says nothing, as in observeDelay.
	onTime := s.Delay < lowDelay || m.limits.Processor <= 0
	low := onTime && link < lowLink && held < lowHeld
	if !low {
		m.lowSince = time.Time{}
	} else if m.lowSince.IsZero() {
		m.lowSince = s.At
	}
	m.decide(s)
	return m.state
}

// observeDelay counts a late sample as due to the gateway's own load or to a lack of processor time. Without a known
// share, the delay says nothing: the gateway has no setting that asks for it.
func (m *Monitor) observeDelay(s *Sample, interval time.Duration) {
	late := s.Delay >= highDelay && m.limits.Processor > 0
	busy := late && fraction(s.Processor.Seconds()/interval.Seconds(), m.limits.Processor) >= busyUse
	m.starved = count(m.starved, late)
	if m.busy = count(m.busy, busy); m.busy == 1 {
		m.busySince = s.At.Add(-interval)
	}
}

func (m *Monitor) decide(s *Sample) {
	reason := m.evidence(s.At)
	if m.state.Reason == None {
		if reason != None {
			m.state, m.fullSince = State{Reason: reason, Expected: expected(s.Delay)}, s.At
		}
		return
	}
	switch {
	case !m.lowSince.IsZero() && s.At.Sub(m.lowSince) >= lowTime, s.At.Sub(m.fullSince) >= maxFullTime:
		m.reset()
	default:
		m.state.Expected = expected(s.Delay)
	}
}

// evidence returns why the gateway is full, None if there is not enough evidence.
func (m *Monitor) evidence(now time.Time) Reason {
	switch {
	case m.busy >= busySamples && now.Sub(m.busySince) >= busyTime:
		return Processor
	case m.starved >= starvedSamples:
		return Starved
	case m.held >= heldSamples:
		return Readers
	case !m.linkFullSince.IsZero() && now.Sub(m.linkFullSince) >= linkTime:
		return Link
	}
	return None
}

// reset ends the state full. Only new evidence begins it again.
func (m *Monitor) reset() {
	m.state, m.busy, m.starved, m.held, m.linkFullSince = State{}, 0, 0, 0, time.Time{}
}

// expected returns how long a gateway with a delay expects to be full: until what waits is done and the signals have
// been low for long enough.
func expected(delay time.Duration) time.Duration { return min(delay+lowTime, maxExpected) }

// fraction returns the part of a limit that is used, 0 if the limit is unknown.
func fraction(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used / limit
}

func count(n int, more bool) int {
	if more {
		return n + 1
	}
	return 0
}
