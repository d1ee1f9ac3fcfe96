// Package replica maintains copies of the platform's tables on a node. A copy holds the rows
// as of one version. It is replaced or advanced and never reverts to an older version.
package replica

import (
	"bytes"
	"cmp"
	"sort"
)

// Version is a state of the store. Between two eras, the store has come back from an older copy: it has lost
// the latest revisions and gives them out again, so that revisions can be compared within one era only.
type Version struct {
	// Era is 0 if the store states none.
	Era      uint64
	Revision uint64
}

// Compare returns a negative number if the version is older than the other one, 0 if both are equal, and a
// positive number otherwise.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// Before reports whether the version is older than the other one.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// Includes reports whether a copy at the version has all that one at the other version has. Nothing is known of
// versions of other eras.
func (v Version) Includes(other Version) bool {
	return v.Era == other.Era && v.Revision >= other.Revision
}

// Row is one row of a table. Its revision belongs to the era of the copy that holds it. Deleted rows appear only
// in changes.
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
	rows    map[string]Row
	version Version
	loaded  bool
	// log holds the most recent changes of the store in their order, also those that did not
	// alter the rows of this copy. It is complete for revisions of the copy's era above logStart.
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

// Version returns the state of the store that the copy reflects.
func (t *Table) Version() Version { return t.version }

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
// were deleted or replaced. A snapshot of a later era replaces all rows.
func (t *Table) Replace(rows []Row, version Version) []Change {
	if t.loaded && version.Before(t.version) {
		return nil
	}
	sameEra := version.Era == t.version.Era
	var changes []Change
	next := make(map[string]Row, len(rows))
	for _, row := range rows {
		old, known := t.rows[row.Key]
		if known && sameEra && old.Revision >= row.Revision {
			next[row.Key] = old
			continue
		}
		next[row.Key] = row
		// A row that the store's copy has kept has not changed.
		if !known || old.Revision != row.Revision || !bytes.Equal(old.Value, row.Value) {
			changes = append(changes, row)
		}
	}
	for key, old := range t.rows {
		if _, ok := next[key]; ok {
			continue
		}
		// A snapshot of several pages can contain rows that are newer than its revision.
		if sameEra && old.Revision > version.Revision {
			next[key] = old
			continue
		}
		changes = append(changes, Change{Key: key, Revision: version.Revision, Deleted: true})
	}
	if !t.loaded || t.version.Before(version) {
		// A snapshot lacks rows that were created and deleted since the last revision, and a
		// copy at a revision in between may have them.
		t.log, t.logStart = nil, version.Revision
	}
	t.rows, t.version, t.loaded = next, version, true
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// appendLog appends the changes that led to the current revision to the log.
func (t *Table) appendLog(changes []Change) {
	for _, change := range changes {
		t.log = append(t.log, logEntry{change, t.version.Revision})
	}
	if excess := len(t.log) - maxLogEntries; excess > 0 {
		t.logStart = t.log[excess-1].revision
		t.log = append([]logEntry(nil), t.log[excess:]...)
	}
}

// Since returns the latest change of each row after a version, and false if the log does
// not reach back that far or the version is of another era.
func (t *Table) Since(version Version) ([]Change, bool) {
	if !t.loaded || version.Era != t.version.Era || version.Revision < t.logStart {
		return nil, false
	}
	indexes := map[string]int{}
	var changes []Change
	for _, entry := range t.log {
		if entry.revision <= version.Revision {
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
// changed, and false if the copy's version is older than after or if the era has changed between after and to. If
// it is newer than after, the changes are ignored: a row that they set may have been deleted since.
func (t *Table) Advance(changes []Change, after, to Version) ([]Change, bool) {
	if !t.loaded || t.version.Before(after) {
		return nil, false
	}
	if after.Before(t.version) || to.Before(after) {
		return nil, true
	}
	if to.Era != after.Era {
		return nil, false
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
	t.version = to
	// A copy at a revision between after and to may lack changes that this one did not need.
	t.appendLog(changes)
	return applied, true
}
