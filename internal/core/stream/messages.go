package stream

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/result"
)

// Message is an input of a Machine.
type Message interface{ message() }

// Start starts a new generation.
type Start struct{}

// Assigned reports the target that was reserved for a RequestTarget.
type Assigned struct {
	Request     uint32
	Target      string
	Address     string // host:port of the agent
	Incarnation uint64
	Version     string
	Adapter     string
}

// PlacementFailed reports why a RequestTarget got no target.
type PlacementFailed struct {
	Request uint32
	Code    result.Code
}

// Accepted reports that an agent started the attempt.
type Accepted struct {
	Attempt     uint32
	Epoch       uint64
	Incarnation uint64
}

// Tokens carries tokens of an attempt. IDs and Bytes have equal length.
type Tokens struct {
	Attempt uint32
	First   uint64 // absolute index of the first token
	IDs     []uint32
	Bytes   [][]byte
}

// Progress is the heartbeat of an attempt that has no new token.
type Progress struct{ Attempt uint32 }

// Finished is the terminal event of a completed attempt.
type Finished struct {
	Attempt  uint32
	Reason   string
	Tokens   uint64 // number of tokens of the whole generation
	Checksum uint32 // Checksum of all token ids
}

// Failed is the terminal event of a failed attempt.
type Failed struct {
	Attempt    uint32
	Code       result.Code
	TargetDied bool
}

// StreamBroken reports that the stream of an attempt ended without a terminal event.
type StreamBroken struct{ Attempt uint32 }

// Tick is sent every TickInterval.
type Tick struct{}

// Consumed reports how many Deliver effects were written to the caller.
type Consumed struct{ Events int }

// CallerDisconnected reports that the caller's connection ended. Resumable is set if
// the caller has an event id, so that the running attempt must stay attachable.
type CallerDisconnected struct{ Resumable bool }

// AttachedLog is sent instead of Start to continue the log of an earlier connection.
type AttachedLog struct {
	// Attempt is the number of the attempt that wrote the log.
	Attempt uint32
	// Epoch is the attach epoch that this entry uses for later attempts.
	Epoch   uint64
	Version string
	Adapter string
	IDs     []uint32 // known tokens from index 0
	Bytes   [][]byte
	From    uint64 // index of the first token that the caller does not have; above len(IDs) the resume fails
	// RequestedAt is when the caller asked to resume.
	RequestedAt time.Time
	// Live is set if Attempt is still running and its events follow. Target, Address and
	// Incarnation then identify its target and agent.
	Live        bool
	Target      string
	Address     string
	Incarnation uint64
	// End is set if the log is complete.
	End *Finished
}

func (Start) message()              {}
func (Assigned) message()           {}
func (PlacementFailed) message()    {}
func (Accepted) message()           {}
func (Tokens) message()             {}
func (Progress) message()           {}
func (Finished) message()           {}
func (Failed) message()             {}
func (StreamBroken) message()       {}
func (Tick) message()               {}
func (Consumed) message()           {}
func (CallerDisconnected) message() {}
func (AttachedLog) message()        {}

// Effect is an output of a Machine. Effects must be applied in order.
type Effect interface{ effect() }

// RequestTarget asks for a target. The reply is Assigned or PlacementFailed.
type RequestTarget struct {
	Request uint32
	Version string // empty: any version
	Exclude []string
	// Wait bounds the wait for a target.
	Wait        time.Duration
	Resume      bool
	Retry       bool
	Speculative bool
	// Preempted is set if an agent preempted the last attempt.
	Preempted bool
}

// CancelRequest cancels a RequestTarget. An Assigned that arrives afterwards causes a
// ReleaseTarget.
type CancelRequest struct{ Request uint32 }

// ReleaseTarget releases a reserved target that was not used.
type ReleaseTarget struct{ Request uint32 }

// StartAttempt starts an attempt on the target assigned to Request.
type StartAttempt struct {
	Request     uint32
	Attempt     uint32
	Epoch       uint64
	Version     string
	Adapter     string
	PrefixIDs   []uint32
	PrefixBytes [][]byte
	Resume      bool
	// PreemptedAt is when an agent last preempted an attempt of the generation, zero if none did.
	PreemptedAt time.Time
}

// EndAttempt ends an attempt. It is emitted exactly once for each StartAttempt and for
// the attempt of an AttachedLog that is Live.
type EndAttempt struct {
	Attempt uint32
	Epoch   uint64
	Outcome placement.Outcome
	Cancel  CancelMode
}

// CancelMode says whether and when an attempt is cancelled at its agent.
type CancelMode int

// Cancel modes.
const (
	// CancelNone is for attempts that have ended or are owned by another entry.
	CancelNone CancelMode = iota
	// CancelNow is for attempts that are no longer needed.
	CancelNow
	// CancelLater delays the cancel so that the caller can attach through another entry.
	CancelLater
)

// Deliver passes accepted tokens on to the caller.
type Deliver struct {
	First       uint64
	IDs         []uint32
	Bytes       [][]byte
	Attempt     uint32
	Address     string // host:port of the agent that holds the log
	Incarnation uint64
}

// Finish ends the generation, which is complete if Code is OK.
type Finish struct {
	Code     result.Code
	Reason   string
	Tokens   uint64
	Checksum uint32
}

// TickDelayed reports that a Tick arrived late, probably because the entry was paused, and
// that the inactivity timers were restarted.
type TickDelayed struct{ Delay time.Duration }

// Count adds N to a counter.
type Count struct {
	Counter Counter
	Label   string
	N       int
}

// Resumed reports that output continues after the loss of an attempt.
type Resumed struct {
	Reason string
	// Latency is the time since the last activity of the lost attempt or, for an
	// AttachedLog, since its RequestedAt.
	Latency time.Duration
}

// Counter identifies a counter of the state machine.
type Counter int

// Counters.
const (
	CountDuplicates Counter = iota
	CountGaps
	CountSpeculative
	CountSpeculationWinner
	CountDiscarded
	CountAttemptLosses
)

func (RequestTarget) effect() {}
func (CancelRequest) effect() {}
func (ReleaseTarget) effect() {}
func (StartAttempt) effect()  {}
func (EndAttempt) effect()    {}
func (Deliver) effect()       {}
func (Finish) effect()        {}
func (TickDelayed) effect()   {}
func (Count) effect()         {}
func (Resumed) effect()       {}
