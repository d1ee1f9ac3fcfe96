// Package platform defines the interfaces of the platform's services and their HTTP client.
package platform

import (
	"context"
	"errors"
)

// Errors of the table service.
var (
	// ErrUnavailable means that no conclusive response was received; a write may have
	// taken effect.
	ErrUnavailable = errors.New("platform service unavailable, outcome unknown")
	// ErrRefused means that the request was not sent or was refused; it had no effect.
	ErrRefused = errors.New("platform service refused the request")
)

// Check is a condition of a transaction: the key has the revision; 0 means absent.
type Check struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Put writes a value.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is applied atomically if all checks hold, otherwise not at all.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// TxnResult reports whether a transaction was applied.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Revision is the new revision of every written key; revisions increase across the table.
	Revision uint64 `json:"revision"`
	// ConflictKey is the first key whose check failed.
	ConflictKey string `json:"conflict_key,omitempty"`
}

// Row is one stored value. Revision 0 means that the key is absent.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Table is the platform's transactional table service. Errors wrap ErrUnavailable
// (the outcome of a write is unknown) or ErrRefused (it did not take effect).
type Table interface {
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	Get(ctx context.Context, key string) (Row, error)
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// VM states in the VM list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one item of the platform's VM list, which may be stale.
type VM struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is host:port of the gRPC server of the process on the VM.
	Address string `json:"address"`
	// Role is "entry" or "agent".
	Role  string `json:"role"`
	State string `json:"state"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
