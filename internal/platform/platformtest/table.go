// Package platformtest provides in-memory fakes of the platform's services whose
// failures a test controls.
package platformtest

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"bramleygap/internal/platform"
)

// Table is a transactional table that can be down, lose the responses to writes that
// took effect, or lose writes. It is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	rows          map[string]platform.Row
	revision      uint64
	down          bool
	dropResponses int
	dropWrites    int
	beforeWrite   func()
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]platform.Row)} }

// SetDown starts or ends an outage in which every request fails.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// DropResponses makes the next n commits take effect without a response.
func (t *Table) DropResponses(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropResponses = n
}

// DropWrites makes the next n commits neither take effect nor get a response.
func (t *Table) DropWrites(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropWrites = n
}

// BeforeWrite registers f to be called once, before the next commit and without
// holding the table's lock.
func (t *Table) BeforeWrite(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beforeWrite = f
}

// Commit implements platform.Table.
func (t *Table) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	t.mu.Lock()
	hook := t.beforeWrite
	t.beforeWrite = nil
	t.mu.Unlock()
	if hook != nil {
		hook()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.TxnResult{}, fmt.Errorf("outage: %w", platform.ErrUnavailable)
	}
	if t.dropWrites > 0 {
		t.dropWrites--
		return platform.TxnResult{}, fmt.Errorf("lost request: %w", platform.ErrUnavailable)
	}
	for _, check := range txn.Checks {
		if t.rows[check.Key].Revision != check.Revision {
			return platform.TxnResult{ConflictKey: check.Key}, nil
		}
	}
	t.revision++
	for _, put := range txn.Puts {
		t.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Revision: t.revision}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	if t.dropResponses > 0 {
		t.dropResponses--
		return platform.TxnResult{}, fmt.Errorf("lost response: %w", platform.ErrUnavailable)
	}
	return platform.TxnResult{Committed: true, Revision: t.revision}, nil
}

// Get implements platform.Table.
func (t *Table) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, fmt.Errorf("outage: %w", platform.ErrUnavailable)
	}
	return t.rows[key], nil
}

// List implements platform.Table.
func (t *Table) List(_ context.Context, prefix string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, fmt.Errorf("outage: %w", platform.ErrUnavailable)
	}
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// VMs is a VM list whose content a test sets.
type VMs struct {
	mu  sync.Mutex
	vms []platform.VM
}

// Set replaces the list.
func (v *VMs) Set(vms ...platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = vms
}

// VMs implements platform.VMList.
func (v *VMs) VMs(context.Context) ([]platform.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]platform.VM(nil), v.vms...), nil
}
