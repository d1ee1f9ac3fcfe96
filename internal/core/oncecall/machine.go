package oncecall

import (
	"time"

	"bramleygap/internal/result"
)

const (
	// maxSends bounds the targets tried by one call while each proves that it sent nothing.
	maxSends = 3
	// clockSkew is allowed between the clocks of entries when a deadline of another entry is judged.
	clockSkew = 2 * time.Second
	// maxPause bounds the growing pause between tries while the store does not answer,
	// so that calls which settle in the background do not load a store that recovers.
	maxPause = 2 * time.Second
)

// NotSentMessage is the part of a ClaimUnavailable message that says what is known.
const NotSentMessage = "this request was not sent to a target, but an earlier one with the same key may have run; repeat with the same key"

// Params describe one received request. All durations are hints for progress;
// no safety property depends on them.
type Params struct {
	CallID      string
	Key         string
	RequestHash string
	Owner       string
	Incarnation uint64
	// Deadline is when the caller's answer is due.
	Deadline time.Time
	// TakeoverAfter is the age at which a claim that was never dispatched is taken over.
	TakeoverAfter time.Duration
	// FollowTimeout is how long a repeat waits for the outcome of the running call.
	FollowTimeout time.Duration
	// PollInterval is the pause between reads of the row.
	PollInterval time.Duration
	// StoreTimeout is how long the caller waits for a store that does not answer.
	StoreTimeout time.Duration
	// SettleTimeout is how long the machine tries to store an outcome or to withdraw its
	// claim after the caller has been answered.
	SettleTimeout time.Duration
	// KeyDispatched is set if this entry remembers that a call with the key was dispatched.
	KeyDispatched bool
}

// EffectKind says what the owner of the machine must do.
type EffectKind int

// Effects. Of the effects of one step at most one needs an event in return.
const (
	// EffectPut writes Value if the row has Revision; returns a StoreEvent.
	EffectPut EffectKind = iota + 1
	// EffectDelete deletes the row if it has Revision; returns a StoreEvent.
	EffectDelete
	// EffectRead reads the row; returns a StoreEvent.
	EffectRead
	// EffectWait waits for Delay; returns a TickEvent.
	EffectWait
	// EffectPlace chooses a target; returns a PlaceEvent.
	EffectPlace
	// EffectSend sends the call to the chosen target, attempt number Attempt; returns a SendEvent.
	EffectSend
	// EffectRespond answers the caller; needs no event.
	EffectRespond
	// EffectFinish ends the machine.
	EffectFinish
)

// Effect is one instruction to the owner of the machine.
type Effect struct {
	Kind     EffectKind
	Revision uint64
	Value    []byte
	Delay    time.Duration
	Attempt  int
	Response Response
	// Reason of a wait, read, or delete, for metrics and logs.
	Reason string
}

// Response is what the caller is told.
type Response struct {
	Outcome Outcome
	// Repeated is set if the outcome is that of an earlier call with the key.
	Repeated bool
}

// StoreStatus is the fate of one store request.
type StoreStatus int

const (
	// StoreOK means that a write was applied or that a read succeeded.
	StoreOK StoreStatus = iota + 1
	// StoreConflict means that a write was not applied because the revision differed.
	StoreConflict
	// StoreRefused means that a write provably had no effect.
	StoreRefused
	// StoreNoResponse means that no answer came; a write may have taken effect or may still do so.
	StoreNoResponse
	// StoreOverloaded means that a new claim was not sent to the store, since it could not
	// be written in time.
	StoreOverloaded
)

// Event is an input of the machine.
type Event interface{ event() }

// StoreEvent answers EffectPut, EffectDelete and EffectRead.
type StoreEvent struct {
	Status StoreStatus
	// Revision is the row's revision after a write or as read; 0 means absent.
	Revision uint64
	// Value is the row as read.
	Value []byte
}

// TickEvent answers EffectWait.
type TickEvent struct{}

// PlaceEvent answers EffectPlace. Code is result.OK if a target was chosen.
type PlaceEvent struct {
	Code    result.Code
	Message string
}

// SendEvent answers EffectSend.
type SendEvent struct {
	// NotSent is set only on proof that no byte left for the target.
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
	phasePausing
	phasePlacing
	phaseDispatching
	phaseSending
	phaseStoring
	phaseDeleting
	phaseFinished
)

// Machine is one call at one entry. It is not safe for concurrent use.
type Machine struct {
	params Params
	phase  phase
	// claim and revision are the machine's own row as last known.
	claim    Claim
	revision uint64
	// holds is set while the store's last answer was that the row at revision is this
	// machine's claim; contended is set once it held the claim of another request.
	holds, contended bool
	// wrote is set once a write of this machine took effect or may yet do so.
	wrote bool
	// dispatched is set once the row is known to be ours and dispatched; from then
	// on nobody else may change it.
	dispatched bool
	sends      int
	told       bool
	cancelled  bool
	// giveUp holds the not-run answer that is told once the claim is withdrawn.
	giveUp *Outcome
	// done holds the outcome to be stored.
	done         *Outcome
	storeDownAt  time.Time
	failures     int
	followSince  time.Time
	settleFrom   time.Time
	observed     uint64
	observedFrom time.Time
}

// New returns a machine that has not begun.
func New(params Params) *Machine { return &Machine{params: params} }

// Cancel tells that the caller left or that the entry ends. A call that was sent goes on.
func (m *Machine) Cancel() { m.cancelled = true }

// Finished reports whether the machine has ended.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// Begin returns the first effects.
func (m *Machine) Begin(now time.Time) []Effect {
	m.claim = Claim{CreatedUnixMS: now.UnixMilli()}
	return m.claimRow(now, 0)
}

// Step takes the event that the last effect asked for and returns the next effects.
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
		m.storeDownAt = time.Time{}
		m.failures = 0
	} else if m.storeDownAt.IsZero() {
		m.storeDownAt = now
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
		m.wrote = true
		m.revision = e.Revision
		return m.onApplied(now)
	case StoreConflict:
		return m.read("conflict")
	case StoreRefused:
		return m.storeFailed(now, "refused")
	case StoreOverloaded:
		return m.overloaded(now)
	}
	m.wrote = true
	if m.phase == phaseDeleting {
		// The row may be gone, and another entry may have claimed and dispatched the key since.
		m.dispatched = false
	}
	return m.storeFailed(now, "lost")
}

// overloaded gives up a claim that was not sent. The row is read first: another entry
// may have dispatched an earlier request with the key, and only its absence is proof.
func (m *Machine) overloaded(now time.Time) []Effect {
	if m.phase != phaseClaiming || m.revision != 0 {
		return m.storeFailed(now, "refused")
	}
	m.giveUp = &Outcome{Code: result.Overloaded, Message: "the claim cannot be written in time: too many calls wait for the table service"}
	return m.read("overloaded")
}

// onApplied continues after a write of this machine that certainly took effect.
func (m *Machine) onApplied(now time.Time) []Effect {
	switch m.phase {
	case phaseClaiming:
		return m.owned(now)
	case phaseDispatching:
		m.dispatched = true
		return m.send(now)
	case phaseDeleting:
		return m.withdrawn(now)
	}
	return m.finish()
}

// storeFailed settles a write or read without a usable answer: it reads the row again
// after a pause, and gives the caller an answer when its patience ends.
func (m *Machine) storeFailed(now time.Time, reason string) []Effect {
	m.phase = phasePausing
	pause := Effect{Kind: EffectWait, Delay: m.pause(), Reason: reason}
	if m.told {
		if now.Sub(m.settleFrom) >= m.params.SettleTimeout {
			return m.finish()
		}
		return []Effect{pause}
	}
	if now.Sub(m.storeDownAt) < m.params.StoreTimeout && !m.expired(now) {
		return []Effect{pause}
	}
	if m.giveUp == nil {
		m.giveUp = &Outcome{Code: result.StoreUnavailable, Message: "the table service does not answer"}
		if m.holds {
			// A withdrawal that succeeds now proves that the key was not dispatched.
			return m.withdraw()
		}
	}
	effects := m.tell(now, m.unsettled())
	if !m.wrote {
		return append(effects, m.finish()...)
	}
	return append(effects, pause)
}

// pause returns the next pause while the store does not answer; it doubles each time.
func (m *Machine) pause() time.Duration {
	delay := m.params.PollInterval << min(m.failures, 16)
	m.failures++
	return min(delay, maxPause)
}

// unsettled is the answer when the row cannot be read. "Not run" needs proof that no
// other entry can have dispatched the key: the row is ours and dispatched, which nobody
// may take over.
func (m *Machine) unsettled() Response {
	switch {
	case m.dispatched:
		return Response{Outcome: *m.giveUp}
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
		return m.absent(now)
	}
	claim, err := Decode(e.Value)
	if err != nil {
		return m.abandonForeign(now, Outcome{Code: result.Internal, Message: "the claim of this key cannot be parsed"})
	}
	if claim.CallID == m.params.CallID {
		return m.own(now, e.Revision, claim)
	}
	return m.foreign(now, e.Revision, claim)
}

// absent continues when no row exists: nothing was claimed, or the claim was withdrawn.
func (m *Machine) absent(now time.Time) []Effect {
	switch {
	case m.done != nil:
		return m.finish()
	case m.giveUp != nil:
		return m.withdrawn(now)
	case m.expired(now):
		return m.giveUpAs(now, m.lateOutcome())
	}
	return m.claimRow(now, 0)
}

// own continues when the row holds this machine's own claim, after a write whose answer was lost.
func (m *Machine) own(now time.Time, revision uint64, claim Claim) []Effect {
	m.revision = revision
	m.claim = claim
	m.dispatched = claim.State == StateDispatched
	switch {
	case claim.State == StateDone:
		return m.finish()
	case m.done != nil:
		return m.store(now)
	case m.giveUp != nil:
		return m.withdraw()
	case claim.State == StateDispatched:
		return m.send(now)
	}
	return m.owned(now)
}

// foreign continues when the key belongs to another request.
func (m *Machine) foreign(now time.Time, revision uint64, claim Claim) []Effect {
	// An earlier claim of this machine was taken over; it must not be withdrawn or
	// answered as not run, since the new owner may dispatch.
	m.giveUp = nil
	m.dispatched = false
	m.holds = false
	m.contended = true
	switch {
	case m.told || m.done != nil:
		return m.finish()
	case claim.RequestHash != m.params.RequestHash:
		return m.abandonForeign(now, Outcome{Code: result.KeyReused, Message: "the key was used before with another method, path or body"})
	case claim.State == StateDone && claim.Outcome != nil:
		return m.repeat(now, *claim.Outcome)
	case claim.State == StateClaimed && m.lapsed(now, revision, claim) && !m.expired(now):
		return m.takeOver(now, revision, claim)
	case claim.State == StateDispatched && now.UnixMilli() > claim.DeadlineUnixMS+clockSkew.Milliseconds():
		return m.abandonForeign(now, Outcome{Code: result.OutcomeUnknown, Message: "the call was dispatched and its outcome was never stored"})
	}
	return m.follow(now)
}

func (m *Machine) lapsed(now time.Time, revision uint64, claim Claim) bool {
	if m.observed != revision {
		m.observed = revision
		m.observedFrom = now
	}
	age := now.Sub(time.UnixMilli(claim.ClaimedUnixMS))
	return max(age, now.Sub(m.observedFrom)) >= m.params.TakeoverAfter
}

// follow waits for the owner's outcome.
func (m *Machine) follow(now time.Time) []Effect {
	if m.followSince.IsZero() {
		m.followSince = now
	}
	if now.Sub(m.followSince) >= m.params.FollowTimeout || m.expired(now) {
		return m.abandonForeign(now, Outcome{Code: result.CallInProgress, Message: "a call with this key is running"})
	}
	m.phase = phasePausing
	return []Effect{{Kind: EffectWait, Delay: m.params.PollInterval, Reason: "follow"}}
}

func (m *Machine) takeOver(now time.Time, revision uint64, claim Claim) []Effect {
	m.claim = Claim{Epoch: claim.Epoch + 1, CreatedUnixMS: claim.CreatedUnixMS}
	return m.claimRow(now, revision)
}

// claimRow writes the claim over the given revision.
func (m *Machine) claimRow(now time.Time, revision uint64) []Effect {
	m.phase = phaseClaiming
	m.holds = false
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

// owned continues with the machine's own claim that was not dispatched.
func (m *Machine) owned(now time.Time) []Effect {
	m.holds = true
	if m.expired(now) {
		return m.giveUpAs(now, m.lateOutcome())
	}
	m.phase = phasePlacing
	return []Effect{{Kind: EffectPlace, Attempt: m.sends + 1}}
}

func (m *Machine) onPlaced(now time.Time, e PlaceEvent) []Effect {
	if e.Code != result.OK {
		return m.giveUpAs(now, notRun(e.Code, e.Message))
	}
	if m.expired(now) {
		return m.giveUpAs(now, m.lateOutcome())
	}
	if m.dispatched {
		return m.send(now)
	}
	m.phase = phaseDispatching
	next := m.claim
	next.State = StateDispatched
	return []Effect{{Kind: EffectPut, Revision: m.revision, Value: next.Encode(), Reason: "dispatch"}}
}

// send starts one exchange with the target. The row is ours and dispatched.
func (m *Machine) send(now time.Time) []Effect {
	if m.expired(now) {
		return m.giveUpAs(now, m.lateOutcome())
	}
	m.phase = phaseSending
	m.sends++
	return []Effect{{Kind: EffectSend, Attempt: m.sends}}
}

func (m *Machine) onSent(now time.Time, e SendEvent) []Effect {
	if !e.NotSent {
		m.done = e.Outcome.stored()
		return append(m.tell(now, Response{Outcome: e.Outcome}), m.store(now)...)
	}
	if m.sends >= maxSends || m.expired(now) {
		return m.giveUpAs(now, notRun(e.Outcome.Code, e.Outcome.Message))
	}
	m.phase = phasePlacing
	return []Effect{{Kind: EffectPlace, Attempt: m.sends + 1}}
}

// store writes the outcome; the caller has been answered.
func (m *Machine) store(now time.Time) []Effect {
	if now.Sub(m.settleFrom) >= m.params.SettleTimeout {
		return m.finish()
	}
	m.phase = phaseStoring
	next := m.claim
	next.State = StateDone
	next.Outcome = m.done
	return []Effect{{Kind: EffectPut, Revision: m.revision, Value: next.Encode(), Reason: "store outcome"}}
}

// giveUpAs withdraws the claim, which proves that the call will not run, before the
// caller is told. A machine that gave up never dispatches.
func (m *Machine) giveUpAs(now time.Time, outcome Outcome) []Effect {
	m.giveUp = &outcome
	if m.revision == 0 {
		return m.read("give up")
	}
	return m.withdraw()
}

func (m *Machine) withdraw() []Effect {
	m.phase = phaseDeleting
	return []Effect{{Kind: EffectDelete, Revision: m.revision, Reason: "withdraw"}}
}

// withdrawn ends the call with its not-run answer; no row of this call exists any more.
func (m *Machine) withdrawn(now time.Time) []Effect {
	effects := m.tell(now, Response{Outcome: *m.giveUp})
	return append(effects, m.finish()...)
}

// abandonForeign ends the call without touching the row, which is not ours.
func (m *Machine) abandonForeign(now time.Time, outcome Outcome) []Effect {
	return append(m.tell(now, Response{Outcome: outcome}), m.finish()...)
}

func (m *Machine) repeat(now time.Time, outcome Outcome) []Effect {
	if outcome.Truncated {
		outcome = Outcome{Code: result.ResponseTooLarge, Message: "the call ran; its response exceeds the size kept for repeats"}
	}
	return append(m.tell(now, Response{Outcome: outcome, Repeated: true}), m.finish()...)
}

func (m *Machine) read(reason string) []Effect {
	m.phase = phaseReading
	return []Effect{{Kind: EffectRead, Reason: reason}}
}

func (m *Machine) tell(now time.Time, answer Response) []Effect {
	if m.told {
		return nil
	}
	m.told = true
	m.settleFrom = now
	return []Effect{{Kind: EffectRespond, Response: answer}}
}

func (m *Machine) finish() []Effect {
	m.phase = phaseFinished
	return []Effect{{Kind: EffectFinish}}
}

func (m *Machine) expired(now time.Time) bool {
	return m.cancelled || !now.Before(m.params.Deadline)
}

func (m *Machine) lateOutcome() Outcome {
	if m.cancelled {
		return Outcome{Code: result.CallCancelled, Message: "the call was cancelled before it was dispatched"}
	}
	return Outcome{Code: result.DeadlineTooShort, Message: "the deadline passed before the call was dispatched"}
}

// notRun returns an outcome of class not-run; a code of another class would contradict
// that nothing was sent.
func notRun(code result.Code, message string) Outcome {
	if code == result.OK || code.Class() != result.ClassNotRun {
		code = result.TargetUnreachable
	}
	return Outcome{Code: code, Message: message}
}
