// Package replica keeps copies of the platform's tables on a node. A copy is a set of rows
// as of one revision; it is replaced or advanced, and never goes back.
package replica

import "sort"

// Row is one row of a table. Deleted rows appear only in changes.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Change names a row that differs from the state before, with its new content.
type Change = Row

// Table is the copy of one table. It is not safe for concurrent use.
type Table struct {
	rows     map[string]Row
	revision uint64
	loaded   bool
}

// NewTable returns a copy without content.
func NewTable() *Table { return &Table{rows: map[string]Row{}} }

// Loaded reports whether the copy has been filled once.
func (t *Table) Loaded() bool { return t.loaded }

// Revision returns the store revision that the copy reflects.
func (t *Table) Revision() uint64 { return t.revision }

// Rows returns the rows sorted by key.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// Replace installs a complete snapshot and returns what changed. A snapshot older than
// the copy is ignored: a late answer or a lagging peer must not bring back rows.
func (t *Table) Replace(rows []Row, revision uint64) []Change {
	if t.loaded && revision < t.revision {
		return nil
	}
	var changes []Change
	next := make(map[string]Row, len(rows))
	for _, row := range rows {
		next[row.Key] = row
		if old, ok := t.rows[row.Key]; !ok || old.Revision != row.Revision {
			changes = append(changes, row)
		}
	}
	for key, old := range t.rows {
		if _, ok := next[key]; !ok {
			changes = append(changes, Change{Key: key, Revision: max(old.Revision, revision), Deleted: true})
		}
	}
	t.rows, t.revision, t.loaded = next, revision, true
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// Advance applies the changes of a feed that started at revision after and reaches to.
// It returns the rows that changed, and false if the feed does not continue the copy.
func (t *Table) Advance(changes []Change, after, to uint64) ([]Change, bool) {
	if !t.loaded || after > t.revision {
		return nil, false
	}
	var applied []Change
	for _, change := range changes {
		old, known := t.rows[change.Key]
		if change.Revision <= t.revision && (!known || change.Revision <= old.Revision) {
			continue
		}
		if known && change.Revision <= old.Revision {
			continue
		}
		if change.Deleted {
			if !known {
				continue
			}
			delete(t.rows, change.Key)
		} else {
			t.rows[change.Key] = change
		}
		applied = append(applied, change)
	}
	t.revision = max(t.revision, to)
	return applied, true
}
