// Package gateway is a process that terminates clients' HTTP and sends their requests to
// targets directly, without an agent beside them. What is spoken towards clients, targets
// and the platform's store is behind the interfaces Protocol and Store.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/gateway/target"
)

// Table names one of the tables that a gateway follows in the platform's store.
type Table int

// Tables.
const (
	// TableConfig holds the desired state and the operators' rollout orders.
	TableConfig Table = iota
	// TableTargets holds the registrations of targets.
	TableTargets
	// TableGateways holds the addresses of the gateways; gateways write it.
	TableGateways
	// TableStatus holds what the gateways report to operators.
	TableStatus
	// TableRuns holds where the generations of each gateway run; gateways write it.
	TableRuns
)

// followed is the number of tables that a gateway keeps copies of: those before TableStatus.
const numReplicatedTables = int(TableStatus)

// String returns the table as a metric label.
func (t Table) String() string {
	switch t {
	case TableConfig:
		return "config"
	case TableTargets:
		return "targets"
	case TableGateways:
		return "gateways"
	case TableStatus:
		return "status"
	case TableRuns:
		return "runs"
	}
	return "unknown"
}

// Errors of a Store.
var (
	// ErrCompacted means that changes since the revision are no longer kept; the table
	// must be read again.
	ErrCompacted = errors.New("the store has dropped the history since this revision")
	// ErrNotPerformed means that the store states that it did nothing.
	ErrNotPerformed = errors.New("the store did not perform the call")
	// ErrConflict means that a row was not at the expected revision.
	ErrConflict = errors.New("a row is not at the expected revision")
)

// Write is one conditional write of a row. ExpectedRevision is its revision, 0 if absent.
type Write struct {
	Table            Table
	Key              string
	Value            []byte
	ExpectedRevision uint64
	// Unconditional writes ignore ExpectedRevision.
	Unconditional bool
	Delete        bool
}

// Store is the platform's transactional store. All methods are safe for concurrent use.
// An error other than those above leaves open whether a write was or will be performed.
type Store interface {
	// Snapshot returns all rows of a table as of one revision.
	Snapshot(ctx context.Context, table Table) ([]replica.Row, uint64, error)
	// Changes waits up to the given time for changes behind a revision and returns them
	// with the revision to continue from.
	Changes(ctx context.Context, table Table, after uint64, wait time.Duration) ([]replica.Change, uint64, error)
	// Commit performs writes together.
	Commit(ctx context.Context, writes []Write) error
}

// DesiredState is what operators want, decoded from the rows of TableConfig.
type DesiredState struct {
	// Config is nil until a desired state has been written.
	Config *catalog.Config
	// Rollouts are the operators' orders by service.
	Rollouts []RolloutOrder
}

// RolloutOrder asks for a version of a service to take over its traffic.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
	// Revision of the order's row; a new order has a higher one.
	Revision uint64
}

// Request is a client's request without its body.
type Request struct {
	// ID is the client's name for this attempt.
	ID     string
	Method string
	Host   string
	// URI is the path with the query as the client wrote it; Path is without the query.
	URI  string
	Path string
	// Header holds what is forwarded unchanged.
	Header http.Header
	// Key is the API key, empty if the client sent none.
	Key string
	// Timeout is how long the client waits, 0 if it did not say.
	Timeout time.Duration
	// LastEventID is the number of the last event that the client has; streams only.
	LastEventID uint64
	// Prompt is the size of a generation, zero for other requests.
	Prompt placement.GenerationSize
}

// Attempt is what the gateway adds to a request that it sends to a target.
type Attempt struct {
	Request *Request
	Target  membership.Registration
	Account string
	Timeout time.Duration
	// LastEventID continues a stream behind an event; 0 starts it.
	LastEventID uint64
	// Priority orders requests at an engine, 0 first; it is not sent if negative.
	Priority int
	// CopyTo is the address of the engine that keeps a second copy of the run's memory.
	CopyTo string
	// CopyFrom names the copy of the run's memory to continue from; nil for none.
	CopyFrom *CacheCopy
}

// CacheCopy names a second copy of a run's memory.
type CacheCopy struct {
	// Holder is the target that has the copy.
	Holder string
	// Address and Handle are how the holder knows the copy. The address is that of the
	// holder for copies made while the run goes on, and of the source for ordered ones.
	Address, Handle string
}

// TargetResponse is what a target's response header says.
type TargetResponse struct {
	Status int
	// RequestID echoes the request's ID.
	RequestID string
	// Signed is set if the answer carries the target's proof.
	Signed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// InstanceMismatch is set if another instance than the expected one answered.
	InstanceMismatch bool
	// InstanceID is the id of the target's instance, empty if it did not say.
	InstanceID string
	// Header holds what is passed on to the client.
	Header http.Header
	// Close is set if the target closes the connection behind the answer.
	Close bool
}

// EngineReport is what an engine says of its load.
type EngineReport struct {
	Queued, Running      int
	MemoryUsed, Capacity int
	// Models are the names of the models that the engine has loaded.
	Models []string
}

// Protocol translates between the messages of clients and targets and the types above.
type Protocol interface {
	// DecodeRequest reads the header of a client's request.
	DecodeRequest(r *http.Request) (Request, error)
	// EncodeAttempt returns the header to send to a target.
	EncodeAttempt(a *Attempt) http.Header
	// DecodeResponse reads the header of a target's response.
	DecodeResponse(status int, header http.Header) TargetResponse
	// SetRetryAfter sets the time after which the client may come back.
	SetRetryAfter(h http.Header, after time.Duration)
	// ReadinessPath is the path that the platform's load balancer asks.
	ReadinessPath() string
	// ProbePath is the path of an engine's report, which needs no free slot.
	ProbePath() string
	// EncodeCopyRequest returns the request to a run's engine that copies the run's memory to
	// the engine at an address. Made again, it copies what is new.
	EncodeCopyRequest(requestID, to string) target.Request
	// DecodeCopyResponse returns the handle of the copy from the answer to a copy order.
	DecodeCopyResponse(body []byte) (handle string, err error)
	// EncodeCopyRelease returns the request to a run's engine that frees an ordered copy.
	EncodeCopyRelease(handle string) target.Request
	// DecodeReport reads an engine's report.
	DecodeReport(body []byte) (EngineReport, error)
	// DecodeDesiredState reads the rows of TableConfig. Rows that cannot be read are reported
	// in problems and left out.
	DecodeDesiredState(rows []replica.Row) (DesiredState, []error)
	// DecodeRegistration reads a row of TableTargets.
	DecodeRegistration(row replica.Row) (membership.Registration, error)
	// EncodeRolloutStatus returns the write that reports the state of a rollout.
	EncodeRolloutStatus(service, version string, state rollout.OrderState) Write
	// DecodeRolloutStatus reads a row of TableStatus; a row of something else is an error.
	DecodeRolloutStatus(row replica.Row) (service, version string, state rollout.OrderState, err error)
}
