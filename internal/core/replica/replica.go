// Package replica maintains copies of the platform's tables on a node. A copy holds the rows
// as of one revision. It is replaced or advanced and never reverts to an older revision.
package replica

import "sort"

// Row is one row of a table. Deleted rows appear only in changes.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Change is a row that differs from the previous state, with its new content.
type Change = Row

// Table is the copy of one table. It is not safe for concurrent use.
type Table struct {
	rows     map[string]Row
	revision uint64
	loaded   bool
	// log holds the most recent changes of the store in their order, also those that did not
	// alter the rows of this copy. It is complete for revisions above logStart.
	log      []logEntry
	logStart uint64
}

// logEntry is a change with the revision that the copy reached with it.
type logEntry struct {
	change   Change
	revision uint64
}

// maxLogEntries bounds the changes that are kept for lagging copies. Several hundred
// registrations change within a few seconds when a zone recovers.
const maxLogEntries = 512

// NewTable returns a copy that has not been filled.
func NewTable() *Table { return &Table{rows: map[string]Row{}} }

// Loaded reports whether the copy has been filled.
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

// Replace installs a complete snapshot and returns the rows that changed. A snapshot older
// than the copy is ignored: a delayed response or a lagging peer must not restore rows that
// were deleted or replaced.
func (t *Table) Replace(rows []Row, revision uint64) []Change {
	if t.loaded && revision < t.revision {
		return nil
	}
	var changes []Change
	next := make(map[string]Row, len(rows))
	for _, row := range rows {
		old, known := t.rows[row.Key]
		if known && old.Revision >= row.Revision {
			next[row.Key] = old
			continue
		}
		next[row.Key] = row
		changes = append(changes, row)
	}
	for key, old := range t.rows {
		if _, ok := next[key]; ok {
			continue
		}
		// A snapshot of several pages can contain rows that are newer than its revision.
		if old.Revision > revision {
			next[key] = old
			continue
		}
		changes = append(changes, Change{Key: key, Revision: revision, Deleted: true})
	}
	if !t.loaded || revision > t.revision {
		// A snapshot lacks rows that were created and deleted since the last revision, and a
		// copy at a revision in between may have them.
		t.log, t.logStart = nil, revision
	}
	t.rows, t.revision, t.loaded = next, revision, true
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// appendLog appends the changes that led to the current revision to the log.
func (t *Table) appendLog(changes []Change) {
	for _, change := range changes {
		t.log = append(t.log, logEntry{change, t.revision})
	}
	if excess := len(t.log) - maxLogEntries; excess > 0 {
		t.logStart = t.log[excess-1].revision
		t.log = append([]logEntry(nil), t.log[excess:]...)
	}
}

// Since returns the latest change of each row after a revision, and false if the log does
// not reach back that far.
func (t *Table) Since(revision uint64) ([]Change, bool) {
	if !t.loaded || revision < t.logStart {
		return nil, false
	}
	indexes := map[string]int{}
	var changes []Change
	for _, entry := range t.log {
		if entry.revision <= revision {
			continue
		}
		if i, seen := indexes[entry.change.Key]; seen {
			changes[i] = entry.change
			continue
		}
		indexes[entry.change.Key] = len(changes)
		changes = append(changes, entry.change)
	}
	return changes, true
}

// Advance applies the changes with revisions in (after, to]. It returns the rows that
// changed, and false if the copy's revision is below after. If it is above after, the changes
// are ignored: a row that they set may have been deleted since.
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
		case change.Deleted && !known, known && change.Revision <= old.Revision:
			continue
		case change.Deleted:
			delete(t.rows, change.Key)
		default:
			t.rows[change.Key] = change
		}
		applied = append(applied, change)
	}
	t.revision = to
	// A copy at a revision between after and to may lack changes that this one did not need.
	t.appendLog(changes)
	return applied, true
}
