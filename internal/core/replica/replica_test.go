package replica

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

// testEra is the era of the store in tests in which it does not change.
const testEra = 3

func at(revision uint64) Version { return Version{Era: testEra, Revision: revision} }

// store is the original table with its complete history.
type store struct {
	rows     map[string]Row
	history  []Change
	revision uint64
	era      uint64
}

func (s *store) version() Version { return Version{s.era, s.revision} }

// restore makes the store come back from a copy as of a revision.
func (s *store) restore(revision uint64) {
	s.era, s.revision, s.rows = s.era+1, revision, map[string]Row{}
	s.history = slices.DeleteFunc(s.history, func(c Change) bool { return c.Revision > revision })
	for _, c := range s.history {
		if c.Deleted {
			delete(s.rows, c.Key)
		} else {
			s.rows[c.Key] = c
		}
	}
}

func (s *store) write(key string, remove bool) {
	s.revision++
	change := Change{Key: key, Value: fmt.Append(nil, s.era, s.revision), Revision: s.revision, Deleted: remove}
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

// advance applies the changes that the store returns for a copy's version, if they are of one era.
func advance(c *Table, s *store, changes []Change) {
	if c.Version().Era == s.era {
		c.Advance(changes, c.Version(), s.version())
	}
}

func values(t *Table) map[string]string {
	m := map[string]string{}
	for _, row := range t.Rows() {
		m[row.Key] = string(row.Value)
	}
	return m
}

// Guards against a copy that reverts, restores a deleted row or does not converge, when
// changes and snapshots come from the store and from other copies, late, twice, with gaps, with
// writes between the pages of a snapshot, and from both sides of the store's return from an older copy.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{rows: map[string]Row{}, era: testEra}
		copies := []*Table{NewTable(), NewTable(), NewTable()}
		type delta struct {
			changes   []Change
			after, to Version
		}
		var late []delta
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := rapid.SampledFrom(copies).Draw(t, "copy")
			other := rapid.SampledFrom(copies).Draw(t, "other")
			before, rowsBefore := c.Version(), c.Rows()
			write := func() {
				s.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "remove"))
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				write()
			case 2:
				c.Replace(s.snapshot(), s.version())
			case 3:
				advance(c, s, s.since(c.Version().Revision))
			case 4:
				if changes, ok := other.Since(c.Version()); ok {
					late = append(late, delta{changes, c.Version(), other.Version()})
				}
			case 5:
				for _, d := range late {
					c.Advance(d.changes, d.after, d.to)
				}
			case 6:
				advance(c, s, latest(s.since(c.Version().Revision)))
			case 7:
				if other.Loaded() {
					c.Replace(other.Rows(), other.Version())
				}
			case 8:
				version := s.version()
				rows := slices.DeleteFunc(s.snapshot(), func(r Row) bool { return r.Key != "a" })
				write()
				rows = append(rows, slices.DeleteFunc(s.snapshot(), func(r Row) bool { return r.Key == "a" })...)
				c.Replace(rows, version)
			case 9:
				s.restore(rapid.Uint64Range(0, s.revision).Draw(t, "copy of the store"))
			}
			for _, row := range rowsBefore {
				if now, ok := c.rows[row.Key]; ok && c.Version().Era == before.Era && now.Revision < row.Revision {
					t.Fatalf("row %s reverted from revision %d to %d", row.Key, row.Revision, now.Revision)
				}
			}
			if c.Version().Before(before) {
				t.Fatalf("version decreased from %v to %v", before, c.Version())
			}
		}
		for _, c := range copies {
			if !c.Loaded() || c.Version().Era != s.era {
				c.Replace(s.snapshot(), s.version())
			} else if _, ok := c.Advance(s.since(c.Version().Revision), c.Version(), s.version()); !ok {
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
		"snapshot":           func(t *Table) { t.Replace(nil, at(4)) },
		"latest change only": func(t *Table) { t.Advance([]Change{deleted}, at(1), at(4)) },
		"all changes":        func(t *Table) { t.Advance([]Change{created, deleted}, at(1), at(4)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			source, copied := NewTable(), NewTable()
			source.Replace(nil, at(1))
			advance(source)
			copied.Replace([]Row{created}, at(2))
			if changes, ok := source.Since(copied.Version()); ok {
				copied.Advance(changes, copied.Version(), source.Version())
			} else {
				copied.Replace(source.Rows(), source.Version())
			}
			c.Check(copied.Version(), qt.Equals, at(4))
			c.Check(values(copied), qt.HasLen, 0)
		})
	}
}

// Guards against an old snapshot from a lagging peer that restores an older state.
func TestOldSnapshotIsIgnored(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Replace([]Row{{Key: "a", Value: []byte("2"), Revision: 7}}, at(9))
	c.Check(table.Replace([]Row{{Key: "a", Value: []byte("1"), Revision: 3}}, at(8)), qt.HasLen, 0)
	c.Check(values(table), qt.DeepEquals, map[string]string{"a": "2"})
	changes := table.Replace(nil, at(10))
	c.Check(changes, qt.DeepEquals, []Change{{Key: "a", Revision: 10, Deleted: true}})
}

// Guards against applying changes that do not continue the copy's revision.
func TestGapIsReported(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	_, ok := table.Advance(nil, at(0), at(1))
	c.Check(ok, qt.IsFalse, qt.Commentf("nothing loaded"))
	table.Replace(nil, at(5))
	_, ok = table.Advance([]Change{{Key: "a", Revision: 9}}, at(8), at(9))
	c.Check(ok, qt.IsFalse)
	_, ok = table.Since(at(4))
	c.Check(ok, qt.IsFalse, qt.Commentf("the log does not reach back to revision 4"))
}

// Guards against a change log that grows without bound.
func TestLogIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Replace(nil, at(1))
	for i := uint64(2); i < 3*maxLogEntries; i++ {
		table.Advance([]Change{{Key: "a", Revision: i}}, at(i-1), at(i))
	}
	c.Check(len(table.log), qt.Equals, maxLogEntries)
	_, ok := table.Since(at(1))
	c.Check(ok, qt.IsFalse)
	changes, ok := table.Since(at(table.Version().Revision - 3))
	c.Check(ok, qt.IsTrue)
	c.Check(changes, qt.HasLen, 1, qt.Commentf("only the latest change of a row"))
}

// Guards against a copy that ignores the store after it has come back from an older copy, because its revisions are
// lower than before, and against one that keeps rows of the time that the store has lost.
func TestLaterEraReplacesCopy(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	kept := Row{Key: "kept", Value: []byte("1"), Revision: 2}
	table.Replace([]Row{kept, {Key: "changed", Value: []byte("lost"), Revision: 9}, {Key: "lost", Value: []byte("1"), Revision: 8}}, Version{1, 9})
	changed := Row{Key: "changed", Value: []byte("kept"), Revision: 3}
	// The revision of the lost change has been given out again.
	again := Row{Key: "again", Value: []byte("1"), Revision: 9}
	changes := table.Replace([]Row{kept, changed, again}, Version{2, 9})
	c.Check(changes, qt.DeepEquals, []Change{again, changed, {Key: "lost", Revision: 9, Deleted: true}})
	c.Check(table.Version(), qt.Equals, Version{2, 9})
	c.Check(values(table), qt.DeepEquals, map[string]string{"kept": "1", "changed": "kept", "again": "1"})
}

// Guards against applying what belongs to another era: a late answer of the store, a copy of a gateway that is an era
// behind or ahead, and changes from a revision that has been given out again.
func TestErasAreNotMixed(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Replace([]Row{{Key: "a", Value: []byte("new"), Revision: 5}}, Version{2, 5})
	c.Check(table.Replace([]Row{{Key: "a", Value: []byte("old"), Revision: 8}}, Version{1, 9}), qt.HasLen, 0, qt.Commentf("snapshot of the era before"))
	old := []Change{{Key: "a", Value: []byte("old"), Revision: 6}}
	_, ok := table.Advance(old, Version{1, 5}, Version{1, 6})
	c.Check(ok, qt.IsTrue, qt.Commentf("changes of the era before are ignored"))
	_, ok = table.Advance(old, Version{3, 5}, Version{3, 6})
	c.Check(ok, qt.IsFalse, qt.Commentf("changes of a later era"))
	_, ok = table.Advance(old, Version{2, 5}, Version{3, 6})
	c.Check(ok, qt.IsFalse, qt.Commentf("the era has changed between both"))
	c.Check(values(table), qt.DeepEquals, map[string]string{"a": "new"})
	_, ok = table.Since(Version{1, 5})
	c.Check(ok, qt.IsFalse, qt.Commentf("changes since an earlier era"))
	c.Check(table.Version().Includes(Version{1, 4}), qt.IsFalse)
	c.Check(table.Version().Includes(Version{2, 4}), qt.IsTrue)
}
