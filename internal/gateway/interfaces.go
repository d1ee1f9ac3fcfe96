// Package gateway implements the gateway process, which terminates client HTTP connections and
// forwards requests directly to targets that have no agent. The message formats of clients,
// targets and the platform's store are hidden behind the interfaces Protocol and Store.
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
	"bramleygap/internal/core/runindex"
	"bramleygap/internal/gateway/target"
)

// Table identifies a table in the platform's store.
type Table int

const (
	// TableConfig holds the desired state and the operators' rollout orders.
	TableConfig Table = iota
	// TableTargets holds the registrations of targets.
	TableTargets
	// TableGateways holds the addresses of the gateways; gateways write it.
	TableGateways
	// TableStatus holds the rollout states that gateways report to operators.
	TableStatus
	// TableRuns holds the run records of each gateway; gateways write it.
	TableRuns
)

// numReplicatedTables is the number of tables of which a gateway keeps a local copy: those
// before TableStatus.
const numReplicatedTables = int(TableStatus)

// String returns the name of the table as used in metric labels.
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
	// ErrCompacted means that the store no longer keeps the changes since the revision; the
	// caller must read a snapshot.
	ErrCompacted = errors.New("store has compacted the changes since the requested revision")
	// ErrEraChanged means that the store has come back from an older copy, so that the revision means nothing any
	// more; the caller must read a snapshot.
	ErrEraChanged = errors.New("store has come back from an older copy")
	// ErrNotPerformed means that the call certainly had no effect on the store.
	ErrNotPerformed = errors.New("store call had no effect")
	// ErrConflict means that a row was not at its expected revision, so nothing was written.
	ErrConflict = errors.New("row is not at the expected revision; nothing written")
)

// Write is a conditional write of one row. Expected holds the revision that the row must have and the era in which it
// was read; its revision is 0 if the row must not exist.
type Write struct {
	Table    Table
	Key      string
	Value    []byte
	Expected replica.Version
	// Unconditional makes the write ignore Expected.
	Unconditional bool
	Delete        bool
}

// Store is the platform's transactional store. All methods are safe for concurrent use. After
// an error other than those above, a write may have been performed or may still be performed.
// Snapshot and Changes fail if no data arrives for about a second beyond the wait, and may take
// longer while data arrives.
type Store interface {
	// Snapshot returns all rows of a table as of one revision.
	Snapshot(ctx context.Context, table Table) (Snapshot, error)
	// Changes returns the changes after a version and the version from which to continue. If
	// there are none, it waits for changes for at most the given time.
	Changes(ctx context.Context, table Table, after replica.Version, wait time.Duration) ([]replica.Change, replica.Version, error)
	// Commit performs all writes in one transaction. It fails with ErrConflict if a row was read in an era that is
	// known to be over.
	Commit(ctx context.Context, writes []Write) (Committed, error)
}

// Snapshot holds the rows of a table.
type Snapshot struct {
	Rows    []replica.Row
	Version replica.Version
	// Time is the time of the store's clock after the rows were read, unknown if the store does not state it.
	Time runindex.StoreTime
}

// rowVersion returns the version of a row, with the revision 0 if there is no such row.
func (s *Snapshot) rowVersion(key string) replica.Version {
	version := replica.Version{Era: s.Version.Era}
	for _, row := range s.Rows {
		if row.Key == key {
			version.Revision = row.Revision
		}
	}
	return version
}

// Committed is the result of a transaction.
type Committed struct {
	// Version holds the revision of the rows written.
	Version replica.Version
	// Time is the time of the store's clock, unknown if the store does not state it.
	Time runindex.StoreTime
}

// DesiredState is the desired state set by operators, decoded from the rows of TableConfig.
type DesiredState struct {
	// Config is nil until a desired state has been written.
	Config *catalog.Config
	// Row is the row that Config was decoded from, with the client keys in plain text. It must not be modified.
	Row replica.Row
	// Rollouts holds the rollout orders, at most one per service.
	Rollouts []RolloutOrder
}

// RolloutOrder is an operator's order to move the traffic of a service to a version.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
	// Written is the version of the store at which the order's row was written. Protocol states the revision only.
	Written replica.Version
}

// sameContent reports whether both orders ask for the same.
func (o *RolloutOrder) sameContent(other *RolloutOrder) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Duration == other.Duration
}

// Request is a client request without its body.
type Request struct {
	// ID is the ID that the client chose for this attempt.
	ID     string
	Method string
	Host   string
	// URI is the request URI as sent by the client; Path is the URI without the query.
	URI  string
	Path string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	// Key is the API key, empty if the client did not send one.
	Key string
	// Timeout is how long the client waits, 0 if it did not state a timeout.
	Timeout time.Duration
	// LastEventID is the number of the last event that the client received, 0 if none. It is
	// used for streams only.
	LastEventID uint64
	// Prompt is the size of a generation. It is zero for other requests.
	Prompt placement.GenerationSize
	// PromptParts names the parts of the prompt that other requests may share, in order.
	PromptParts []string
	// Generation identifies the model, the size and the whole prompt of a generation, as far as they are
	// not in the body.
	Generation string
}

// Attempt is a request together with what the gateway adds to it for a target.
type Attempt struct {
	Request *Request
	Target  membership.Registration
	Account string
	Timeout time.Duration
	// LastEventID is the event after which to continue a stream, 0 to start it.
	LastEventID uint64
	// Priority orders requests at an engine; 0 is the highest. A negative value is not sent.
	Priority int
	// CopyTo is the address of the engine that is to keep a copy of the run's KV cache.
	CopyTo string
	// CopyFrom is the copy of the run's KV cache from which to continue, nil for none.
	CopyFrom *CacheCopy
}

// CacheCopy identifies a copy of a run's KV cache on another engine.
type CacheCopy struct {
	// Run is the ID of the client request to whose run the copy belongs.
	Run string
	// Holder is the ID of the target that holds the copy.
	Holder string
	// Address and Handle identify the copy to the holder. Address is the address of the holder
	// if the run's engine made the copy during the run, and the address of the run's engine if
	// the gateway requested the copy.
	Address, Handle string
}

// TargetResponse is the decoded header of a target's response.
type TargetResponse struct {
	Status int
	// RequestID echoes the request's ID.
	RequestID string
	// Signed is set if the response carries the target's signature.
	Signed bool
	// EventStream is set if the body is a stream of events.
	EventStream bool
	// NotRun is set if the target states that it did not execute the request.
	NotRun bool
	// InstanceMismatch is set if another instance than the expected one responded.
	InstanceMismatch bool
	// InstanceID is the ID of the instance that responded, empty if it is not stated.
	InstanceID string
	// Leaving is set if the target states that it leaves.
	Leaving bool
	// Pause is how long the target wants no requests from this gateway: it rejected the request and
	// stated when to come back. It is 0 if it did not.
	Pause time.Duration
	// Header holds the headers that are forwarded to the client.
	Header http.Header
	// Close is set if the target closes the connection after the response.
	Close bool
}

// EngineReport is the load report of an engine. MemoryUsed and Capacity are in tokens.
type EngineReport struct {
	// StartUnixMS is the start of the engine's process in Unix milliseconds, 0 if it is not stated.
	StartUnixMS          uint64
	Queued, Running      int
	MemoryUsed, Capacity int
	// Models holds the names of the loaded models.
	Models []string
	// Runs holds the running requests. The report is some hundred ms old.
	Runs []EngineRun
}

// EngineRun is a running request in an engine's report.
type EngineRun struct {
	RequestID string
	// LastEvent is the number of the last event that the engine produced.
	LastEvent uint64
}

// Protocol translates between the messages of clients and targets and the types above.
type Protocol interface {
	// DecodeRequest decodes the header of a client request.
	DecodeRequest(r *http.Request) (Request, error)
	// EncodeAttempt returns the header to send to a target.
	EncodeAttempt(a *Attempt) http.Header
	// DecodeResponse decodes the header of a target's response.
	DecodeResponse(status int, header http.Header) TargetResponse
	// SetRetryAfter sets the response header that states the retry delay.
	SetRetryAfter(h http.Header, after time.Duration)
	// ReadinessPath returns the path of the load balancer's readiness check.
	ReadinessPath() string
	// ProbePath returns the path of an engine's load report, which needs no free slot.
	ProbePath() string
	// EncodeCopyRequest returns the request that makes a run's engine copy the KV cache of the
	// run to the engine at an address. A repeated request copies only what is new.
	EncodeCopyRequest(requestID, to string) target.Request
	// DecodeCopyResponse returns the handle of the copy from the response to a copy request.
	DecodeCopyResponse(body []byte) (handle string, err error)
	// EncodeCopyRelease returns the request that makes a run's engine free a requested copy.
	EncodeCopyRelease(handle string) target.Request
	// DecodeReport decodes the load report of an engine.
	DecodeReport(body []byte) (EngineReport, error)
	// DecodeDesiredState decodes the rows of TableConfig. It skips rows that cannot be decoded
	// and returns an error for each.
	DecodeDesiredState(rows []replica.Row) (DesiredState, []error)
	// WithKeyDigests returns a desired state in the platform's format with configcheck.KeyDigest in place of each
	// client key, and without all that the gateway does not read. It returns an error if the lists have too many
	// elements.
	WithKeyDigests(text []byte) ([]byte, error)
	// DecodeRegistration decodes a row of TableTargets.
	DecodeRegistration(row replica.Row) (membership.Registration, error)
	// EncodeRolloutStatus returns the write to TableStatus that reports the state of a rollout.
	EncodeRolloutStatus(service, version string, state rollout.OrderState) Write
	// DecodeRolloutStatus decodes a row of TableStatus. It returns an error if the row is not a
	// rollout status.
	DecodeRolloutStatus(row replica.Row) (service, version string, state rollout.OrderState, err error)
}
