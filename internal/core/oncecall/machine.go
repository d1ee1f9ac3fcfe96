package oncecall

import (
	"time"

	"bramleygap/internal/result"
)

const (
	// maxAttempts bounds the targets tried by one call. Another one is tried only if
	// nothing was sent to the previous one.
	maxAttempts = 3
	// clockSkew is the tolerated difference between the clocks of two entries when one
	// checks whether the deadline of the other has passed.
	clockSkew = 2 * time.Second
	// maxBackoff bounds the backoff between store requests. The backoff keeps calls that
	// settle in the background from overloading a store that is recovering.
	maxBackoff = 2 * time.Second
)

// NotSentMessage is the part of a ClaimUnavailable message that states whether the call may
// have run.
const NotSentMessage = "this request was not sent to a target, but an earlier one with the same key may have run; repeat with the same key"

// Params describe one received request. The durations affect only liveness; no safety
// property depends on them.
type Params struct {
	CallID      string
	Key         string
	RequestHash string
	Owner       string
	Incarnation uint64
	// Deadline is when the response to the caller is due.
	Deadline time.Time
	// TakeoverAfter is the age at which a claim that was not dispatched may be taken over.
	TakeoverAfter time.Duration
	// FollowTimeout is how long a repeated request waits for the outcome of the running call.
	FollowTimeout time.Duration
	// PollInterval is the interval between reads of the row, and the first backoff.
	PollInterval time.Duration
	// StoreTimeout is how long the caller waits while the store does not respond.
	StoreTimeout time.Duration
	// SettleTimeout is how long the machine tries to store an outcome or to withdraw its
	// claim after it has responded to the caller.
	SettleTimeout time.Duration
	// KeyDispatched is set if this entry knows that a call with the key was dispatched.
	KeyDispatched bool
}

// EffectKind is the kind of action that the driver of a Machine must perform.
type EffectKind int

// Kinds of effects. At most one of the effects of a step requires an event in return.
const (
	// EffectPut writes Value if the row has Revision; requires a StoreEvent.
	EffectPut EffectKind = iota + 1
	// EffectDelete deletes the row if it has Revision; requires a StoreEvent.
	EffectDelete
	// EffectRead reads the row; requires a StoreEvent.
	EffectRead
	// EffectWait waits for Delay; requires a TickEvent.
	EffectWait
	// EffectPlace chooses a target; requires a PlaceEvent.
	EffectPlace
	// EffectSend sends the call to the chosen target as attempt number Attempt; requires
	// a SendEvent.
	EffectSend
	// EffectRespond sends Response to the caller; requires no event.
	EffectRespond
	// EffectFinish ends the machine.
	EffectFinish
)

// Effect is one instruction to the driver of a Machine.
type Effect struct {
	Kind     EffectKind
	Revision uint64
	Value    []byte
	Delay    time.Duration
	Attempt  int
	Response Response
	// Reason is the cause of a store request or wait, for metrics and logs.
	Reason string
}

// Response is the response to the caller.
type Response struct {
	Outcome Outcome
	// Repeated is set if the outcome is that of an earlier request with the key.
	Repeated bool
}

// StoreStatus is the result of one store request.
type StoreStatus int

const (
	// StoreOK means that a write was applied or that a read succeeded.
	StoreOK StoreStatus = iota + 1
	// StoreConflict means that a write was not applied because the revision differed.
	StoreConflict
	// StoreRefused means that the store rejected a write without applying it.
	StoreRefused
	// StoreNoResponse means that no response was received; a write may have been applied
	// or may still be.
	StoreNoResponse
	// StoreOverloaded means that a new claim was not sent to the store because it could
	// not have been written in time.
	StoreOverloaded
)

// Event is an input of the machine.
type Event interface{ event() }

// StoreEvent is the result of EffectPut, EffectDelete or EffectRead.
type StoreEvent struct {
	Status StoreStatus
	// Revision is the revision of the row after a write or as read; 0 means absent.
	Revision uint64
	// Value is the row as read.
	Value []byte
}

// TickEvent reports that the delay of EffectWait has passed.
type TickEvent struct{}

// PlaceEvent is the result of EffectPlace. Code is result.OK if a target was chosen.
type PlaceEvent struct {
	Code    result.Code
	Message string
}

// SendEvent is the result of EffectSend.
type SendEvent struct {
	// NotSent is set only if it is certain that no byte was sent to the target.
	NotSent bool
	Outcome Outcome
}

func (StoreEvent) event() {}
func (TickEvent) event()  {}
func (PlaceEvent) event() {}
func (SendEvent) event()  {}

type phase int

const (
	phaseClaiming phase = iota + 1
	phaseReading
	phaseWaiting
	phasePlacing
	phaseDispatching
	phaseSending
	phaseStoring
	phaseDeleting
	phaseFinished
)

// Machine is the state machine of one call at one entry. It is not safe for concurrent use.
type Machine struct {
	params Params
	phase  phase
	// claim and revision are the last known state of the machine's own row.
	claim    Claim
	revision uint64
	// holdsClaim is set while the store's last response showed the row at revision to be this
	// machine's claim, contended once a response showed it to be another request's claim.
	holdsClaim, contended bool
	// mayHaveWritten is set once a write of this machine was applied or may still be.
	mayHaveWritten bool
	// dispatched is set once the row is known to be this machine's claim in
	// StateDispatched; from then on no other machine may change it.
	dispatched bool
	attempts   int
	responded  bool
	cancelled  bool
	// abort is the not-run outcome that is sent to the caller once the claim is withdrawn.
	abort *Outcome
	// outcome is the outcome to be stored.
	outcome           *Outcome
	storeFailingSince time.Time
	failures          int
	followSince       time.Time
	respondedAt       time.Time
	// observedRevision is the revision of another request's claim as last read;
	// observedSince is when that revision was first read.
	observedRevision uint64
	observedSince    time.Time
}

// New returns a machine for one call; Begin starts it.
func New(params Params) *Machine { return &Machine{params: params} }

// Cancel records that the caller has disconnected or that the entry is shutting down. A
// call that was already sent continues.
func (m *Machine) Cancel() { m.cancelled = true }

// Finished reports whether the machine has ended.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// Begin returns the first effects.
func (m *Machine) Begin(now time.Time) []Effect {
	m.claim = Claim{CreatedUnixMS: now.UnixMilli()}
	return m.claimRow(now, 0)
}

// Step processes the event that the last effects required and returns the next effects.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case StoreEvent:
		return m.onStore(now, e)
	case TickEvent:
		return m.read("poll")
	case PlaceEvent:
		return m.onPlaced(now, e)
	case SendEvent:
		return m.onSent(now, e)
	}
	return nil
}

func (m *Machine) onStore(now time.Time, e StoreEvent) []Effect {
	if e.Status == StoreOK || e.Status == StoreConflict {
		m.storeFailingSince = time.Time{}
		m.failures = 0
	} else if m.storeFailingSince.IsZero() {
		m.storeFailingSince = now
	}
	switch m.phase {
	case phaseClaiming, phaseDispatching, phaseStoring, phaseDeleting:
		return m.onWritten(now, e)
	case phaseReading:
		return m.onRead(now, e)
	}
	return nil
}

func (m *Machine) onWritten(now time.Time, e StoreEvent) []Effect {
	switch e.Status {
	case StoreOK:
		m.mayHaveWritten = true
		m.revision = e.Revision
		return m.onApplied(now)
	case StoreConflict:
		return m.read("conflict")
	case StoreRefused:
		return m.storeFailed(now, "refused")
	case StoreOverloaded:
		return m.onOverloaded(now)
	}
	m.mayHaveWritten = true
	if m.phase == phaseDeleting {
		// The row may have been deleted, and another entry may have claimed and dispatched
		// the key since.
		m.dispatched = false
	}
	return m.storeFailed(now, "lost")
}

// onOverloaded aborts the call after a claim that was not sent. The row is read first: another
// entry may have dispatched an earlier request with the key, and only an absent row proves
// that it has not.
func (m *Machine) onOverloaded(now time.Time) []Effect {
	if m.phase != phaseClaiming || m.revision != 0 {
		return m.storeFailed(now, "refused")
	}
	m.abort = &Outcome{Code: result.Overloaded, Message: "the claim cannot be written in time: too many calls wait for the table service"}
	return m.read("overloaded")
}

func (m *Machine) onApplied(now time.Time) []Effect {
	switch m.phase {
	case phaseClaiming:
		return m.place(now)
	case phaseDispatching:
		m.dispatched = true
		return m.send(now)
	case phaseDeleting:
		return m.onWithdrawn(now)
	}
	return m.finish()
}

// storeFailed handles a write or read without a conclusive response. The row is read again
// after a backoff; the caller gets a response once StoreTimeout or the deadline has passed.
func (m *Machine) storeFailed(now time.Time, reason string) []Effect {
	m.phase = phaseWaiting
	wait := Effect{Kind: EffectWait, Delay: m.nextBackoff(), Reason: reason}
	if m.responded {
		if now.Sub(m.respondedAt) >= m.params.SettleTimeout {
			return m.finish()
		}
		return []Effect{wait}
	}
	if now.Sub(m.storeFailingSince) < m.params.StoreTimeout && !m.expired(now) {
		return []Effect{wait}
	}
	if m.abort == nil {
		m.abort = &Outcome{Code: result.StoreUnavailable, Message: "the table service does not answer"}
		if m.holdsClaim {
			// A withdrawal that succeeds now proves that the key was not dispatched.
			return m.withdraw()
		}
	}
	effects := m.respond(now, m.storeUnavailable())
	if !m.mayHaveWritten {
		return append(effects, m.finish()...)
	}
	return append(effects, wait)
}

// nextBackoff returns the next backoff, which doubles with each failure in a row.
func (m *Machine) nextBackoff() time.Duration {
	delay := m.params.PollInterval << min(m.failures, 16)
	m.failures++
	return min(delay, maxBackoff)
}

// storeUnavailable returns the response when the row cannot be read. A not-run outcome
// requires that no other entry can have dispatched the key. This is certain only if the row
// is this machine's claim in StateDispatched, which may not be taken over.
func (m *Machine) storeUnavailable() Response {
	switch {
	case m.dispatched:
		return Response{Outcome: *m.abort}
	case m.contended || m.params.KeyDispatched:
		return Response{Outcome: Outcome{Code: result.CallInProgress, Message: "the table service does not answer; the state of the call with this key is not known"}}
	}
	return Response{Outcome: Outcome{Code: result.ClaimUnavailable, Message: "the table service does not answer; " + NotSentMessage}}
}

func (m *Machine) onRead(now time.Time, e StoreEvent) []Effect {
	if e.Status != StoreOK {
		return m.storeFailed(now, "read failed")
	}
	if e.Revision == 0 {
		return m.onAbsentRow(now)
	}
	claim, err := Decode(e.Value)
	if err != nil {
		return m.respondAndFinish(now, Outcome{Code: result.Internal, Message: "the claim of this key cannot be parsed"})
	}
	if claim.CallID == m.params.CallID {
		return m.onOwnClaim(now, e.Revision, claim)
	}
	return m.onForeignClaim(now, e.Revision, claim)
}

// onAbsentRow continues when no row exists: nothing was claimed, or the claim was withdrawn.
func (m *Machine) onAbsentRow(now time.Time) []Effect {
	switch {
	case m.outcome != nil:
		return m.finish()
	case m.abort != nil:
		return m.onWithdrawn(now)
	case m.expired(now):
		return m.abortWith(now, m.expiredOutcome())
	}
	return m.claimRow(now, 0)
}

// onOwnClaim continues when the row is this machine's claim, after a write whose response was
// lost.
func (m *Machine) onOwnClaim(now time.Time, revision uint64, claim Claim) []Effect {
	m.revision = revision
	m.claim = claim
	m.dispatched = claim.State == StateDispatched
	switch {
	case claim.State == StateDone:
		return m.finish()
	case m.outcome != nil:
		return m.store(now)
	case m.abort != nil:
		return m.withdraw()
	case claim.State == StateDispatched:
		return m.send(now)
	}
	return m.place(now)
}

// onForeignClaim continues when the row is the claim of another request.
func (m *Machine) onForeignClaim(now time.Time, revision uint64, claim Claim) []Effect {
	// If this machine had a claim, it was taken over. The call must no longer be
	// withdrawn or reported as not run, since the new owner may dispatch it.
	m.abort = nil
	m.dispatched = false
	m.holdsClaim = false
	m.contended = true
	switch {
	case m.responded || m.outcome != nil:
		return m.finish()
	case claim.RequestHash != m.params.RequestHash:
		return m.respondAndFinish(now, Outcome{Code: result.KeyReused, Message: "the key was used before with another method, path or body"})
	case claim.State == StateDone && claim.Outcome != nil:
		return m.respondRepeated(now, *claim.Outcome)
	case claim.State == StateClaimed && m.takeoverDue(now, revision, claim) && !m.expired(now):
		return m.takeOver(now, revision, claim)
	case claim.State == StateDispatched && now.UnixMilli() > claim.DeadlineUnixMS+clockSkew.Milliseconds():
		return m.respondAndFinish(now, Outcome{Code: result.OutcomeUnknown, Message: "the call was dispatched and its outcome was never stored"})
	}
	return m.follow(now)
}

func (m *Machine) takeoverDue(now time.Time, revision uint64, claim Claim) bool {
	if m.observedRevision != revision {
		m.observedRevision = revision
		m.observedSince = now
	}
	age := now.Sub(time.UnixMilli(claim.ClaimedUnixMS))
	return max(age, now.Sub(m.observedSince)) >= m.params.TakeoverAfter
}

// follow waits for the outcome stored by the claim's owner.
func (m *Machine) follow(now time.Time) []Effect {
	if m.followSince.IsZero() {
		m.followSince = now
	}
	if now.Sub(m.followSince) >= m.params.FollowTimeout || m.expired(now) {
		return m.respondAndFinish(now, Outcome{Code: result.CallInProgress, Message: "a call with this key is running"})
	}
	m.phase = phaseWaiting
	return []Effect{{Kind: EffectWait, Delay: m.params.PollInterval, Reason: "follow"}}
}

func (m *Machine) takeOver(now time.Time, revision uint64, claim Claim) []Effect {
	m.claim = Claim{Epoch: claim.Epoch + 1, CreatedUnixMS: claim.CreatedUnixMS}
	return m.claimRow(now, revision)
}

// claimRow writes the claim if the row has the given revision.
func (m *Machine) claimRow(now time.Time, revision uint64) []Effect {
	m.phase = phaseClaiming
	m.holdsClaim = false
	m.revision = revision
	m.claim.State = StateClaimed
	m.claim.Key = m.params.Key
	m.claim.RequestHash = m.params.RequestHash
	m.claim.CallID = m.params.CallID
	m.claim.Owner = m.params.Owner
	m.claim.Incarnation = m.params.Incarnation
	m.claim.ClaimedUnixMS = now.UnixMilli()
	m.claim.DeadlineUnixMS = m.params.Deadline.UnixMilli()
	reason := "claim"
	if m.claim.Epoch > 0 {
		reason = "takeover"
	}
	return []Effect{{Kind: EffectPut, Revision: revision, Value: m.claim.Encode(), Reason: reason}}
}

// place requests a target for this machine's claim, which is not dispatched yet.
func (m *Machine) place(now time.Time) []Effect {
	m.holdsClaim = true
	if m.expired(now) {
		return m.abortWith(now, m.expiredOutcome())
	}
	m.phase = phasePlacing
	return []Effect{{Kind: EffectPlace, Attempt: m.attempts + 1}}
}

func (m *Machine) onPlaced(now time.Time, e PlaceEvent) []Effect {
	if e.Code != result.OK {
		return m.abortWith(now, notRunOutcome(e.Code, e.Message))
	}
	if m.expired(now) {
		return m.abortWith(now, m.expiredOutcome())
	}
	if m.dispatched {
		return m.send(now)
	}
	m.phase = phaseDispatching
	next := m.claim
	next.State = StateDispatched
	return []Effect{{Kind: EffectPut, Revision: m.revision, Value: next.Encode(), Reason: "dispatch"}}
}

// send starts one exchange with the target. The row is this machine's claim in
// StateDispatched.
func (m *Machine) send(now time.Time) []Effect {
	if m.expired(now) {
		return m.abortWith(now, m.expiredOutcome())
	}
	m.phase = phaseSending
	m.attempts++
	return []Effect{{Kind: EffectSend, Attempt: m.attempts}}
}

func (m *Machine) onSent(now time.Time, e SendEvent) []Effect {
	if !e.NotSent {
		m.outcome = e.Outcome.forStorage()
		return append(m.respond(now, Response{Outcome: e.Outcome}), m.store(now)...)
	}
	if m.attempts >= maxAttempts || m.expired(now) {
		return m.abortWith(now, notRunOutcome(e.Outcome.Code, e.Outcome.Message))
	}
	m.phase = phasePlacing
	return []Effect{{Kind: EffectPlace, Attempt: m.attempts + 1}}
}

// store writes the outcome; the caller already has its response.
func (m *Machine) store(now time.Time) []Effect {
	if now.Sub(m.respondedAt) >= m.params.SettleTimeout {
		return m.finish()
	}
	m.phase = phaseStoring
	next := m.claim
	next.State = StateDone
	next.Outcome = m.outcome
	return []Effect{{Kind: EffectPut, Revision: m.revision, Value: next.Encode(), Reason: "store outcome"}}
}

// abortWith withdraws the claim, which proves that the call will not run, before it responds
// to the caller. A machine that has aborted never dispatches.
func (m *Machine) abortWith(now time.Time, outcome Outcome) []Effect {
	m.abort = &outcome
	if m.revision == 0 {
		return m.read("give up")
	}
	return m.withdraw()
}

func (m *Machine) withdraw() []Effect {
	m.phase = phaseDeleting
	return []Effect{{Kind: EffectDelete, Revision: m.revision, Reason: "withdraw"}}
}

// onWithdrawn ends the call with its not-run outcome; no row of this call exists any more.
func (m *Machine) onWithdrawn(now time.Time) []Effect {
	effects := m.respond(now, Response{Outcome: *m.abort})
	return append(effects, m.finish()...)
}

// respondAndFinish ends the call without changing the row, which is not this machine's claim.
func (m *Machine) respondAndFinish(now time.Time, outcome Outcome) []Effect {
	return append(m.respond(now, Response{Outcome: outcome}), m.finish()...)
}

func (m *Machine) respondRepeated(now time.Time, outcome Outcome) []Effect {
	if outcome.Truncated {
		outcome = Outcome{Code: result.ResponseTooLarge, Message: "the call ran; its response was too large to be stored for repeated requests"}
	}
	return append(m.respond(now, Response{Outcome: outcome, Repeated: true}), m.finish()...)
}

func (m *Machine) read(reason string) []Effect {
	m.phase = phaseReading
	return []Effect{{Kind: EffectRead, Reason: reason}}
}

func (m *Machine) respond(now time.Time, response Response) []Effect {
	if m.responded {
		return nil
	}
	m.responded = true
	m.respondedAt = now
	return []Effect{{Kind: EffectRespond, Response: response}}
}

func (m *Machine) finish() []Effect {
	m.phase = phaseFinished
	return []Effect{{Kind: EffectFinish}}
}

// expired reports whether the call was cancelled or its deadline has passed.
func (m *Machine) expired(now time.Time) bool {
	return m.cancelled || !now.Before(m.params.Deadline)
}

func (m *Machine) expiredOutcome() Outcome {
	if m.cancelled {
		return Outcome{Code: result.CallCancelled, Message: "the call was cancelled before it was dispatched"}
	}
	return Outcome{Code: result.DeadlineTooShort, Message: "the deadline passed before the call was dispatched"}
}

// notRunOutcome returns an outcome of class not-run; a code of another class would contradict
// that nothing was sent.
func notRunOutcome(code result.Code, message string) Outcome {
	if code == result.OK || code.Class() != result.ClassNotRun {
		code = result.TargetUnreachable
	}
	return Outcome{Code: code, Message: message}
}
