package stream

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/result"
)

// Message is an input of a Machine.
type Message interface{ message() }

// Start begins a new generation.
type Start struct{}

// Assigned answers a RequestTarget with a reserved target.
type Assigned struct {
	Request     uint32
	Target      string
	Address     string // host:port of the agent
	Incarnation uint64
	Version     string
	Adapter     string
}

// PlacementFailed answers a RequestTarget that got no target.
type PlacementFailed struct {
	Request uint32
	Code    result.Code
}

// Accepted reports that an agent runs the attempt.
type Accepted struct {
	Attempt     uint32
	Epoch       uint64
	Incarnation uint64
}

// Tokens carries tokens of an attempt; IDs and Bytes have equal length.
type Tokens struct {
	Attempt uint32
	First   uint64 // absolute index of the first token
	IDs     []uint32
	Bytes   [][]byte
}

// Progress reports that an attempt is alive without a new token.
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

// Consumed reports that the caller accepted output of that many Deliver effects.
type Consumed struct{ Events int }

// CallerDisconnected reports that the caller's connection ended. Resumable is set if the
// caller holds an event id, so that the running attempt must stay attachable.
type CallerDisconnected struct{ Resumable bool }

// AttachedLog begins with the log of an earlier connection instead of Start.
type AttachedLog struct {
	// Attempt is the number of the attempt that wrote the log.
	Attempt uint32
	// Epoch is the attach epoch that later attempts of this entry use.
	Epoch   uint64
	Version string
	Adapter string
	IDs     []uint32 // known tokens from index 0
	Bytes   [][]byte
	From    uint64 // first index that the caller lacks; at most len(IDs)
	// RequestedAt is when the caller asked to resume.
	RequestedAt time.Time
	// Live is set if events of Attempt follow; then Target, Address and Incarnation name its agent.
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

// Effect is an output of a Machine, to be applied in order.
type Effect interface{ effect() }

// RequestTarget asks for a target; it is answered by Assigned or PlaceFailed.
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

// CancelRequest withdraws a RequestTarget. An Assigned that still arrives is
// answered with ReleaseTarget.
type CancelRequest struct{ Request uint32 }

// ReleaseTarget returns a reserved target that was not used.
type ReleaseTarget struct{ Request uint32 }

// StartAttempt starts an attempt on the target of a request.
type StartAttempt struct {
	Request     uint32
	Attempt     uint32
	Epoch       uint64
	Version     string
	Adapter     string
	PrefixIDs   []uint32
	PrefixBytes [][]byte
	Resume      bool
}

// EndAttempt ends an attempt; it is emitted exactly once for each StartAttempt
// and for a live attempt of an AttachedLog.
type EndAttempt struct {
	Attempt uint32
	Epoch   uint64
	Outcome placement.Outcome
	Cancel  CancelMode
}

// CancelMode says whether the agent must be told to cancel an attempt.
type CancelMode int

// Cancel modes.
const (
	// CancelNone is for attempts that ended by themselves or belong to another entry.
	CancelNone CancelMode = iota
	// CancelNow is for attempts that nobody needs any more.
	CancelNow
	// CancelLater leaves the caller time to attach through another entry first.
	CancelLater
)

// Deliver passes accepted tokens on to the caller.
type Deliver struct {
	First       uint64
	IDs         []uint32
	Bytes       [][]byte
	Attempt     uint32
	Address     string // agent that holds the log
	Incarnation uint64
}

// Finish ends the generation. Code OK means that it is complete.
type Finish struct {
	Code     result.Code
	Reason   string
	Tokens   uint64
	Checksum uint32
}

// TickDelayed reports that the own tick was late, so that the entry's view is unreliable.
type TickDelayed struct{ Delay time.Duration }

// Count adds to a counter.
type Count struct {
	Counter Counter
	Label   string
	N       int
}

// Resumed reports that output continues after a loss.
type Resumed struct {
	Reason string
	// Latency is the time since the last sign of life of the lost attempt.
	Latency time.Duration
}

// Counter names a metric of the state machine.
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
