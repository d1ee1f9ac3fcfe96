// Package forward decides how one short request is sent to targets that are reached
// without an agent: when a second target is tried, and what the caller is told.
//
// Invariants:
//   - a request that may run once is sent again only if every attempt so far provably did
//     not run;
//   - NotRun is answered only if no attempt may have run or may run later;
//   - Finish is the last effect.
package forward

import "time"

const (
	// hedgeFactor is the multiple of the usual latency after which a repeatable request is
	// sent to a second target.
	hedgeFactor = 3
	// minHedge bounds the hedge delay from below, so that the budget is spent on targets
	// that hang and not on ordinary variation.
	minHedge = 45 * time.Millisecond
)

// Options are the fixed properties of a request.
type Options struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// MaxAttempts bounds the targets that may run the request.
	MaxAttempts int
	// Deadline ends the request.
	Deadline time.Time
	// TypicalLatency of the service, 0 if unknown.
	TypicalLatency time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
}

// Result is how one attempt ended.
type Result int

// Results.
const (
	// Success is a success with its proof and whole body.
	Success Result = iota + 1
	// TargetError is a failure that the target answered.
	TargetError
	// ClientError is an answer that no other target would change.
	ClientError
	// Unsent means that no byte of the request left.
	Unsent
	// Refused means that the target states that it did not run the request.
	Refused
	// Replaced means that another instance answered at the address.
	Replaced
	// Unknown means that the request was sent and no valid answer came.
	Unknown
)

// Ran reports whether the attempt may have run.
func (r Result) Ran() bool { return r != Unsent && r != Refused && r != Replaced }

// String returns the result as a metric label.
func (r Result) String() string {
	switch r {
	case Success:
		return "good"
	case TargetError:
		return "target_error"
	case ClientError:
		return "client_error"
	case Unsent:
		return "unsent"
	case Refused:
		return "refused"
	case Replaced:
		return "replaced"
	}
	return "unknown"
}

// Outcome is the end of a request.
type Outcome int

// Outcomes.
const (
	// Answered passes on the answer of the attempt named in Finish.
	Answered Outcome = iota + 1
	// NotRun means that no target ran the request or will.
	NotRun
	// Uncertain means that a target may have run it.
	Uncertain
	// TimedOut means that the deadline passed after the request was sent.
	TimedOut
	// CallerLeft means that the caller closed its connection.
	CallerLeft
)

// Effect is an output of a Machine, to be applied in order.
type Effect interface{ effect() }

// Send starts an attempt at a target that is not in Exclude; it is answered by Sent or
// NoTarget.
type Send struct {
	Attempt int
	Exclude []string
	// Retry is set for attempts beyond the first, which draw from the retry budget.
	Retry bool
	// Hedge is set if another attempt is still open.
	Hedge bool
}

// Finish ends the request; Attempt is the one whose answer is passed on.
type Finish struct {
	Outcome Outcome
	Attempt int
}

func (Send) effect()   {}
func (Finish) effect() {}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	options  Options
	sends    int
	ran      int
	open     map[int]bool
	excluded []string
	failure  int
	hedgeAt  time.Time
	done     bool
	mayRun   bool
}

// New returns a machine that waits for Start.
func New(options Options) *Machine {
	return &Machine{options: options, open: map[int]bool{}, failure: -1}
}

// Done reports that Finish was emitted.
func (m *Machine) Done() bool { return m.done }

// Start begins the request.
func (m *Machine) Start(now time.Time) []Effect {
	if m.options.Idempotent {
		delay := max(minHedge, hedgeFactor*m.options.TypicalLatency)
		m.hedgeAt = now.Add(delay)
	}
	return m.send(false)
}

func (m *Machine) send(extra bool) []Effect {
	attempt := m.sends
	m.sends++
	hedge := len(m.open) > 0
	m.open[attempt] = true
	return []Effect{Send{Attempt: attempt, Exclude: append([]string(nil), m.excluded...), Retry: extra, Hedge: hedge}}
}

// TargetChosen answers a Send with the chosen target.
func (m *Machine) TargetChosen(target string) { m.excluded = append(m.excluded, target) }

// NoTarget answers a Send when no target or no budget can be had.
func (m *Machine) NoTarget(attempt int) []Effect {
	delete(m.open, attempt)
	m.hedgeAt = time.Time{}
	return m.conclude()
}

// NextCheck returns when Check must be called.
func (m *Machine) NextCheck() time.Time {
	if !m.hedgeAt.IsZero() && m.hedgeAt.Before(m.options.Deadline) {
		return m.hedgeAt
	}
	return m.options.Deadline
}

// Check is called at NextCheck.
func (m *Machine) Check(now time.Time) []Effect {
	if m.done {
		return nil
	}
	if !now.Before(m.options.Deadline) {
		m.done = true
		// An attempt that is still open may run.
		if m.mayRun || len(m.open) > 0 {
			return []Effect{Finish{Outcome: TimedOut, Attempt: m.failure}}
		}
		return []Effect{Finish{Outcome: NotRun, Attempt: -1}}
	}
	if m.hedgeAt.IsZero() || now.Before(m.hedgeAt) {
		return nil
	}
	m.hedgeAt = time.Time{}
	if m.ran+len(m.open) >= m.options.MaxAttempts {
		return nil
	}
	return m.send(true)
}

// maxSends bounds the sends of one request, with refused ones.
const maxSends = 6

// AttemptEnded reports how an attempt ended.
func (m *Machine) AttemptEnded(now time.Time, attempt int, r Result) []Effect {
	if m.done || !m.open[attempt] {
		return nil
	}
	delete(m.open, attempt)
	if r.Ran() {
		m.ran++
		m.mayRun = true
	}
	switch r {
	case Success, ClientError:
		m.done = true
		return []Effect{Finish{Outcome: Answered, Attempt: attempt}}
	case TargetError:
		m.failure = attempt
	}
	if len(m.open) > 0 {
		return nil
	}
	again := m.ran+len(m.open) < m.options.MaxAttempts && m.sends < maxSends && now.Before(m.options.Deadline)
	if r.Ran() && !m.options.Idempotent {
		again = false
	}
	if again {
		return m.send(true)
	}
	return m.conclude()
}

// conclude ends the request once no attempt is open.
func (m *Machine) conclude() []Effect {
	if m.done || len(m.open) > 0 {
		return nil
	}
	m.done = true
	switch {
	case m.failure >= 0:
		return []Effect{Finish{Outcome: Answered, Attempt: m.failure}}
	case m.mayRun:
		return []Effect{Finish{Outcome: Uncertain, Attempt: -1}}
	}
	return []Effect{Finish{Outcome: NotRun, Attempt: -1}}
}

// CallerDisconnected reports that the caller closed its connection.
func (m *Machine) CallerDisconnected() []Effect {
	if m.done {
		return nil
	}
	m.done = true
	return []Effect{Finish{Outcome: CallerLeft, Attempt: -1}}
}
