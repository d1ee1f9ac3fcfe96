package replica

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

// store is the original table with its complete history.
type store struct {
	rows     map[string]Row
	history  []Change
	revision uint64
}

func (s *store) write(key string, remove bool) {
	s.revision++
	change := Change{Key: key, Value: fmt.Append(nil, s.revision), Revision: s.revision, Deleted: remove}
	s.history = append(s.history, change)
	if remove {
		delete(s.rows, key)
	} else {
		s.rows[key] = change
	}
}

func (s *store) snapshot() []Row {
	var rows []Row
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	return rows
}

func (s *store) since(after uint64) []Change {
	var changes []Change
	for _, c := range s.history {
		if c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes
}

// latest returns only the last change of each row, as a store may that compacts its history.
func latest(changes []Change) []Change {
	last := map[string]uint64{}
	for _, c := range changes {
		last[c.Key] = c.Revision
	}
	return slices.DeleteFunc(changes, func(c Change) bool { return c.Revision < last[c.Key] })
}

func values(t *Table) map[string]string {
	m := map[string]string{}
	for _, row := range t.Rows() {
		m[row.Key] = string(row.Value)
	}
	return m
}

// Guards against a copy that reverts, restores a deleted row or does not converge, when
// changes and snapshots come from the store and from other copies, late, twice, with gaps and
// with writes between the pages of a snapshot.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{rows: map[string]Row{}}
		copies := []*Table{NewTable(), NewTable(), NewTable()}
		type delta struct {
			changes   []Change
			after, to uint64
		}
		var late []delta
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := rapid.SampledFrom(copies).Draw(t, "copy")
			other := rapid.SampledFrom(copies).Draw(t, "other")
			before, rowsBefore := c.Revision(), c.Rows()
			write := func() {
				s.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "remove"))
			}
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				write()
			case 2:
				c.Replace(s.snapshot(), s.revision)
			case 3:
				c.Advance(s.since(c.Revision()), c.Revision(), s.revision)
			case 4:
				if changes, ok := other.Since(c.Revision()); ok {
					late = append(late, delta{changes, c.Revision(), other.Revision()})
				}
			case 5:
				for _, d := range late {
					c.Advance(d.changes, d.after, d.to)
				}
			case 6:
				c.Advance(latest(s.since(c.Revision())), c.Revision(), s.revision)
			case 7:
				if other.Loaded() {
					c.Replace(other.Rows(), other.Revision())
				}
			case 8:
				revision := s.revision
				rows := slices.DeleteFunc(s.snapshot(), func(r Row) bool { return r.Key != "a" })
				write()
				rows = append(rows, slices.DeleteFunc(s.snapshot(), func(r Row) bool { return r.Key == "a" })...)
				c.Replace(rows, revision)
			}
			for _, row := range rowsBefore {
				if now, ok := c.rows[row.Key]; ok && now.Revision < row.Revision {
					t.Fatalf("row %s reverted from revision %d to %d", row.Key, row.Revision, now.Revision)
				}
			}
			if c.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, c.Revision())
			}
		}
		for _, c := range copies {
			if !c.Loaded() {
				c.Replace(s.snapshot(), s.revision)
			} else if _, ok := c.Advance(s.since(c.Revision()), c.Revision(), s.revision); !ok {
				t.Fatal("changes that start at the copy's revision were not applied")
			}
			want := map[string]string{}
			for key, row := range s.rows {
				want[key] = string(row.Value)
			}
			if got := values(c); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("copy has rows %v, the store %v", got, want)
			}
		}
	})
}

// Guards against a copy that keeps a row which was created and deleted between two revisions of
// the copy that it receives changes from.
func TestRowThatOnlyOtherCopySawIsDeleted(t *testing.T) {
	created := Change{Key: "a", Value: []byte("1"), Revision: 2}
	deleted := Change{Key: "a", Revision: 3, Deleted: true}
	for name, advance := range map[string]func(*Table){
		"snapshot":           func(t *Table) { t.Replace(nil, 4) },
		"latest change only": func(t *Table) { t.Advance([]Change{deleted}, 1, 4) },
		"all changes":        func(t *Table) { t.Advance([]Change{created, deleted}, 1, 4) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			source, copied := NewTable(), NewTable()
			source.Replace(nil, 1)
			advance(source)
			copied.Replace([]Row{created}, 2)
			if changes, ok := source.Since(copied.Revision()); ok {
				copied.Advance(changes, copied.Revision(), source.Revision())
			} else {
				copied.Replace(source.Rows(), source.Revision())
			}
			c.Check(copied.Revision(), qt.Equals, uint64(4))
			c.Check(values(copied), qt.HasLen, 0)
		})
	}
}

// Guards against an old snapshot from a lagging peer that restores an older state.
func TestOldSnapshotIsIgnored(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Replace([]Row{{Key: "a", Value: []byte("2"), Revision: 7}}, 9)
	c.Check(table.Replace([]Row{{Key: "a", Value: []byte("1"), Revision: 3}}, 8), qt.HasLen, 0)
	c.Check(values(table), qt.DeepEquals, map[string]string{"a": "2"})
	changes := table.Replace(nil, 10)
	c.Check(changes, qt.DeepEquals, []Change{{Key: "a", Revision: 10, Deleted: true}})
}

// Guards against applying changes that do not continue the copy's revision.
func TestGapIsReported(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	_, ok := table.Advance(nil, 0, 1)
	c.Check(ok, qt.IsFalse, qt.Commentf("nothing loaded"))
	table.Replace(nil, 5)
	_, ok = table.Advance([]Change{{Key: "a", Revision: 9}}, 8, 9)
	c.Check(ok, qt.IsFalse)
	_, ok = table.Since(4)
	c.Check(ok, qt.IsFalse, qt.Commentf("the log does not reach back to revision 4"))
}

// Guards against a change log that grows without bound.
func TestLogIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Replace(nil, 1)
	for i := uint64(2); i < 3*maxLogEntries; i++ {
		table.Advance([]Change{{Key: "a", Revision: i}}, i-1, i)
	}
	c.Check(len(table.log), qt.Equals, maxLogEntries)
	_, ok := table.Since(1)
	c.Check(ok, qt.IsFalse)
	changes, ok := table.Since(table.Revision() - 3)
	c.Check(ok, qt.IsTrue)
	c.Check(changes, qt.HasLen, 1, qt.Commentf("only the latest change of a row"))
}
