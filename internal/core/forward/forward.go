// Package forward implements the state machine of one short request to targets without an
// agent. It decides when the request is sent to another target and which outcome the caller
// gets.
//
// Invariants:
//   - a request that is not idempotent is sent again only if every previous attempt provably
//     did not run;
//   - the outcome is NotRun only if no attempt may have run or may still run;
//   - Finish is the last effect.
package forward

import "time"

const (
	// hedgeFactor is the delay of the hedged request to a second target, as a multiple of the
	// typical latency. Only idempotent requests are hedged.
	hedgeFactor = 3
	// minHedgeDelay is the lower bound of the hedge delay, so that the retry budget is spent
	// on hanging targets and not on normal latency variation.
	minHedgeDelay = 45 * time.Millisecond
	// hedgeRetryDelay is the pause after a hedged request that the retry budget did not permit or its
	// target did not answer with success.
	hedgeRetryDelay = 100 * time.Millisecond
)

// Options are the fixed properties of a request.
type Options struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// MaxAttempts bounds the number of targets that may run the request.
	MaxAttempts int
	// Deadline is when the request ends if no attempt has completed it.
	Deadline time.Time
	// TypicalLatency is the typical latency of the service, 0 if unknown.
	TypicalLatency time.Duration
	// TargetLatency is the latency objective. Machine does not use it.
	TargetLatency time.Duration
}

// Result is how one attempt ended.
type Result int

// Results.
const (
	// Success is a complete success response with a valid signature.
	Success Result = iota + 1
	// TargetError is an error response of the target.
	TargetError
	// ClientError is a response that every target would give.
	ClientError
	// Unsent means that no byte of the request was sent.
	Unsent
	// Refused means that the target states that it did not run the request.
	Refused
	// Replaced means that a different target instance responded at the address.
	Replaced
	// Unknown means that the request was sent and no valid response arrived.
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

// Outcome is how a request ended.
type Outcome int

// Outcomes.
const (
	// Answered means that the caller gets the response of Finish.Attempt.
	Answered Outcome = iota + 1
	// NotRun means that no target has run or will run the request.
	NotRun
	// Uncertain means that a target may have run the request.
	Uncertain
	// TimedOut means that the deadline passed and a target may run or have run the request.
	TimedOut
	// CallerLeft means that the caller closed its connection.
	CallerLeft
)

// Effect is an output of a Machine. Effects must be applied in order.
type Effect interface{ effect() }

// Send starts an attempt on a target that is not in Exclude. The reply is TargetChosen or
// NoTarget.
type Send struct {
	Attempt int
	Exclude []string
	// Retry is set for each attempt after the first.
	Retry bool
	// Repeat is set if an earlier attempt may have reached its target. Such attempts draw on the
	// retry budget.
	Repeat bool
	// Hedge is set if another attempt is still open.
	Hedge bool
}

// Finish ends the request. Attempt is the one whose response the caller gets, -1 for none.
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
	runs     int          // ended attempts that may have run
	open     map[int]bool // by attempt number
	excluded []string
	// errorAttempt is the last attempt that ended with TargetError, -1 if there is none.
	errorAttempt int
	hedgeAt      time.Time // zero if no hedged request is due
	done         bool
	mayHaveRun   bool
	// unplaced counts the sends for which there was no target.
	unplaced int
	// arrived is set once an ended attempt may have reached its target.
	arrived bool
}

// New returns a machine that waits for Start.
func New(options Options) *Machine {
	return &Machine{options: options, open: map[int]bool{}, errorAttempt: -1}
}

// Done reports whether Finish was emitted.
func (m *Machine) Done() bool { return m.done }

// MayHaveRun reports whether an attempt may have run the request.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun || len(m.open) > 1 }

// Start begins the request. One whose deadline has passed already, as in a process that was suspended, is not
// sent.
func (m *Machine) Start(now time.Time) []Effect {
	if !now.Before(m.options.Deadline) {
		return m.conclude()
	}
	if m.options.Idempotent {
		delay := max(minHedgeDelay, hedgeFactor*m.options.TypicalLatency)
		m.hedgeAt = now.Add(delay)
	}
	return m.send(false)
}

func (m *Machine) send(retry bool) []Effect {
	attempt := m.sends
	m.sends++
	hedge := len(m.open) > 0
	m.open[attempt] = true
	return []Effect{Send{Attempt: attempt, Exclude: append([]string(nil), m.excluded...), Retry: retry, Repeat: hedge || m.arrived, Hedge: hedge}}
}

// Waited reports that a Send waited for its turn until now, so that a hedged request is due later.
func (m *Machine) Waited(now time.Time) {
	if !m.hedgeAt.IsZero() {
		m.hedgeAt = now.Add(max(minHedgeDelay, hedgeFactor*m.options.TypicalLatency))
	}
}

// TargetChosen reports the target chosen for a Send.
func (m *Machine) TargetChosen(target string) { m.excluded = append(m.excluded, target) }

// NoTarget reports that no target or no retry budget is available for a Send. In that case, a
// hedged request is tried again later, since the open attempt may hang until the deadline.
func (m *Machine) NoTarget(now time.Time, attempt int) []Effect {
	delete(m.open, attempt)
	m.unplaced++
	m.hedgeAgain(now)
	return m.conclude()
}

// hedgeAgain sets when a hedged request is tried again after one that did not start or has ended.
func (m *Machine) hedgeAgain(now time.Time) {
	m.hedgeAt = time.Time{}
	if len(m.open) > 0 && m.options.Idempotent && m.sends-m.unplaced < maxSends {
		m.hedgeAt = now.Add(hedgeRetryDelay)
	}
}

// NextCheck returns when Check must be called.
func (m *Machine) NextCheck() time.Time {
	if !m.hedgeAt.IsZero() && m.hedgeAt.Before(m.options.Deadline) {
		return m.hedgeAt
	}
	return m.options.Deadline
}

// Check must be called at the time that NextCheck returns.
func (m *Machine) Check(now time.Time) []Effect {
	if m.done {
		return nil
	}
	if !now.Before(m.options.Deadline) {
		m.done = true
		// An open attempt may still run.
		if m.mayHaveRun || len(m.open) > 0 {
			return []Effect{Finish{Outcome: TimedOut, Attempt: m.errorAttempt}}
		}
		return []Effect{Finish{Outcome: NotRun, Attempt: -1}}
	}
	if m.hedgeAt.IsZero() || now.Before(m.hedgeAt) {
		return nil
	}
	m.hedgeAt = time.Time{}
	if m.runs+len(m.open) >= m.options.MaxAttempts || m.sends-m.unplaced >= maxSends {
		return nil
	}
	return m.send(true)
}

// maxSends bounds the attempts of one request, including those that did not run.
const maxSends = 6

// AttemptEnded reports how an attempt ended.
func (m *Machine) AttemptEnded(now time.Time, attempt int, r Result) []Effect {
	if m.done || !m.open[attempt] {
		return nil
	}
	delete(m.open, attempt)
	if r != Unsent {
		m.arrived = true
	}
	if r.Ran() {
		m.runs++
		m.mayHaveRun = true
	}
	switch r {
	case Success, ClientError:
		m.done = true
		return []Effect{Finish{Outcome: Answered, Attempt: attempt}}
	case TargetError:
		m.errorAttempt = attempt
	}
	if len(m.open) > 0 {
		// The open attempt may hang until the deadline.
		m.hedgeAgain(now)
		return nil
	}
	mayRetry := m.runs+len(m.open) < m.options.MaxAttempts && m.sends-m.unplaced < maxSends && now.Before(m.options.Deadline)
	if r.Ran() && !m.options.Idempotent {
		mayRetry = false
	}
	if mayRetry {
		return m.send(true)
	}
	return m.conclude()
}

// conclude ends the request if no attempt is open.
func (m *Machine) conclude() []Effect {
	if m.done || len(m.open) > 0 {
		return nil
	}
	m.done = true
	switch {
	case m.errorAttempt >= 0:
		return []Effect{Finish{Outcome: Answered, Attempt: m.errorAttempt}}
	case m.mayHaveRun:
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
