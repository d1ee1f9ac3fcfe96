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
	// log holds the newest changes in the order in which they were taken in; it reaches
	// back to revision logFrom.
	log     []logged
	logFrom uint64
}

// logged is a change with the revision of the table that the change led to.
type logged struct {
	change Change
	at     uint64
}

// maxLog bounds the changes that are kept for lagging copies. Some hundred registrations
// change within a few seconds when a zone comes back.
const maxLog = 512

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
		if old, ok := t.rows[row.Key]; !ok || old.Revision < row.Revision {
			changes = append(changes, row)
		}
	}
	for key, old := range t.rows {
		if _, ok := next[key]; !ok {
			changes = append(changes, Change{Key: key, Revision: max(old.Revision, revision), Deleted: true})
		}
	}
	first := !t.loaded
	t.rows, t.revision, t.loaded = next, revision, true
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	if first {
		t.logFrom = revision
	} else {
		t.remember(changes)
	}
	return changes
}

// remember appends changes that led to the current revision to the log.
func (t *Table) remember(changes []Change) {
	for _, change := range changes {
		t.log = append(t.log, logged{change, t.revision})
	}
	if excess := len(t.log) - maxLog; excess > 0 {
		t.logFrom = t.log[excess-1].at
		t.log = append([]logged(nil), t.log[excess:]...)
	}
}

// Since returns the changes behind a revision, and false if the log does not reach back
// that far.
func (t *Table) Since(revision uint64) ([]Change, bool) {
	if !t.loaded || revision < t.logFrom {
		return nil, false
	}
	newest := map[string]int{}
	var changes []Change
	for _, l := range t.log {
		if l.at <= revision {
			continue
		}
		if i, seen := newest[l.change.Key]; seen {
			changes[i] = l.change
			continue
		}
		newest[l.change.Key] = len(changes)
		changes = append(changes, l.change)
	}
	return changes, true
}

// Advance applies the changes behind revision after up to revision to. It returns the rows
// that changed, and false if the copy does not reach up to after. Changes that start before
// the copy's revision are ignored: a row that they put may have been deleted since.
func (t *Table) Advance(changes []Change, after, to uint64) ([]Change, bool) {
	if !t.loaded || after > t.revision {
		return nil, false
	}
	if after < t.revision || to < after {
		return nil, true
	}
	var applied []Change
	for _, change := range changes {
		old, known := t.rows[change.Key]
		switch {
		case change.Deleted && !known, !change.Deleted && known && change.Revision <= old.Revision:
			continue
		case change.Deleted:
			delete(t.rows, change.Key)
		default:
			t.rows[change.Key] = change
		}
		applied = append(applied, change)
	}
	t.revision = to
	t.remember(applied)
	return applied, true
}
