package runindex

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const lease = 2 * time.Second

// Guards against taking the run of another client for that of the one which returns, and against a client that
// returns twice and is held for two. How many events a run has sent excludes none: a lost gateway may have sent events
// that its client has not received.
func TestSoleRun(t *testing.T) {
	run := func(id, continues string) Found { return Found{Record: Record{Run: id, Continues: continues}} }
	for _, tc := range []struct {
		name string
		runs []Found
		want string
	}{
		{"none", nil, ""},
		{"one", []Found{run("a", "")}, "a"},
		{"two clients", []Found{run("a", ""), run("b", "")}, ""},
		{"continued twice", []Found{run("a", ""), run("c", "b"), run("b", "a")}, "c"},
		{"continued, the run between is unknown", []Found{run("a", ""), run("c", "b")}, ""},
		{"continued, and another client", []Found{run("a", ""), run("b", "a"), run("d", "")}, ""},
	} {
		sole, ok := Sole(tc.runs)
		qt.Check(t, ok, qt.Equals, tc.want != "", qt.Commentf(tc.name))
		qt.Check(t, sole.Run, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Load pattern: gateways are lost, restart, lose the store or do not answer, and the store comes back from an older copy.
// Guards against rows that count as those of all runs although a run may be missing.
func TestLedgerLacksRuns(t *testing.T) {
	const read = 100 * time.Second
	at := func(at time.Duration) StoreTime { return StoreTime{Era: 3, At: at} }
	fresh := Row{Saved: at(read - time.Second), Lease: lease}
	lapsed := func(ago time.Duration) Row { return Row{Saved: at(read - ago), Lease: lease} }
	withGap := func(from, until time.Duration, witnessed bool) Row {
		return Row{Saved: fresh.Saved, Lease: lease, Gap: Gap{From: from, Until: until, Witnessed: witnessed}}
	}
	for _, tc := range []struct {
		name string
		rows map[string]Row
		want []string
	}{
		{"all rows are fresh", map[string]Row{"a": fresh, "b": fresh}, nil},
		{"a gateway has no row", map[string]Row{"a": fresh}, []string{"b"}},
		{"another one has a fresh row", map[string]Row{"a": fresh, "b": fresh, "c": fresh}, nil},
		{"another one lapsed, others have its runs", map[string]Row{"a": fresh, "b": fresh, "c": lapsed(lease)}, nil},
		{"another one lapsed long ago", map[string]Row{"a": fresh, "b": fresh, "c": lapsed(lease + WitnessTime)}, []string{"c"}},
		{"two have lapsed", map[string]Row{"a": lapsed(lease), "b": fresh, "c": lapsed(lease)}, []string{"a", "c"}},
		{"another one has ended in an orderly way", map[string]Row{"a": fresh, "b": fresh, "c": {Saved: at(time.Second), Final: true}}, nil},
		{"a row has no lease", map[string]Row{"a": fresh, "b": {}}, []string{"b"}},
		{"a row is of an earlier era", map[string]Row{"a": fresh, "b": {Saved: StoreTime{Era: 2, At: read - time.Second}, Lease: lease}}, []string{"b"}},
		{"a row is of an earlier era and final", map[string]Row{"a": fresh, "b": {Saved: StoreTime{Era: 2, At: time.Second}, Final: true}}, []string{"b"}},
		{"a row is of the future", map[string]Row{"a": fresh, "b": {Saved: at(read + time.Millisecond), Lease: lease}}, []string{"b"}},
		{"a row has an impossible lease", map[string]Row{"a": fresh, "b": {Saved: fresh.Saved, Lease: MaxLease + 1}}, []string{"b"}},
		{"a process lost the runs before it", map[string]Row{"a": fresh, "b": withGap(0, read-Lifetime, false)}, []string{"b"}},
		{"the runs that were lost have expired", map[string]Row{"a": fresh, "b": withGap(0, read-Lifetime-1, false)}, nil},
		{"others have the runs that a process lost", map[string]Row{"a": fresh, "b": withGap(read-9*time.Second, read-8*time.Second, true)}, nil},
		{"others lost runs at the same time", map[string]Row{"a": withGap(read-10*time.Second, read-9*time.Second, true), "b": withGap(read-9*time.Second, read-8*time.Second, true)}, []string{"a", "b"}},
		{"others lost runs before", map[string]Row{"a": withGap(read-11*time.Second, read-10*time.Second, true), "b": withGap(read-9*time.Second, read-8*time.Second, true)}, nil},
	} {
		ledger := Ledger{Read: at(read), Rows: tc.rows}
		qt.Check(t, ledger.Lacking([]string{"a", "b"}), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
	unread := Ledger{Rows: map[string]Row{"a": fresh}}
	qt.Check(t, unread.Lacking([]string{"a"}), qt.DeepEquals, []string{"a"}, qt.Commentf("the time of the read is unknown"))
}

// Guards against a process that takes over a row without its gaps.
func TestProcessInheritsGap(t *testing.T) {
	const saved = 100 * time.Second
	leaseEnd := saved + lease - leaseMargin
	row := Row{Saved: StoreTime{At: saved}, Lease: lease}
	earlier := Row{Saved: row.Saved, Lease: lease, Gap: Gap{From: 90 * time.Second, Until: 95 * time.Second, Witnessed: true}}
	for _, tc := range []struct {
		name string
		row  Row
		read StoreTime
		want Gap
	}{
		{"at once", row, StoreTime{At: saved + time.Second}, Gap{}},
		{"after a restart of the VM", row, StoreTime{At: saved + 4*time.Second}, Gap{leaseEnd, saved + 4*time.Second, true}},
		{"late", row, StoreTime{At: saved + lease + WitnessTime}, Gap{leaseEnd, saved + lease + WitnessTime, false}},
		{"in another era", row, StoreTime{Era: 2, At: saved + time.Second}, Gap{0, saved + time.Second, false}},
		{"with a gap of the process before", earlier, StoreTime{At: saved + time.Second}, earlier.Gap},
		{"with two gaps", earlier, StoreTime{At: saved + 4*time.Second}, Gap{90 * time.Second, saved + 4*time.Second, true}},
		{"with a gap that has expired", earlier, StoreTime{At: saved + Lifetime}, Gap{leaseEnd, saved + Lifetime, false}},
	} {
		qt.Check(t, tc.row.InheritedGap(tc.read), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
