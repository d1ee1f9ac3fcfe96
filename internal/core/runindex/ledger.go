package runindex

import (
	"slices"
	"time"
)

const (
	// WitnessTime is how much longer than its lease a gateway holds back the first event of each run that neither its
	// row nor another gateway has. It bounds the delay of first events at a gateway that reaches neither the store nor
	// another gateway, and covers the restart of a VM.
	WitnessTime = 2600 * time.Millisecond
	// MaxLease is the longest lease of a row that counts.
	MaxLease = 2500 * time.Millisecond
	// leaseMargin is subtracted from leases by readers: the clocks of gateways and store may run at slightly
	// different rates.
	leaseMargin = 50 * time.Millisecond
)

// StoreTime is a time of the store's steady clock. Times of different eras can't be compared: the store has come back
// from an older copy between them.
type StoreTime struct {
	// Era is 0 if the store states none.
	Era uint64
	// At is 0 if the time is unknown.
	At time.Duration
}

// Known reports whether the time is known.
func (t StoreTime) Known() bool { return t.At > 0 }

// Gap is a time of the store's clock in which a gateway may have begun runs that its row lacks. The zero Gap is none.
type Gap struct {
	From, Until time.Duration
	// Witnessed is set if another gateway has each of these runs, in its row unless that has a gap then, too.
	Witnessed bool
}

// Exists reports whether there is a gap.
func (g Gap) Exists() bool { return g.Until > 0 }

func (g Gap) overlaps(other Gap) bool { return g.From <= other.Until && other.From <= g.Until }

// Row is what a gateway has saved of the runs that it relays or relayed within Lifetime.
type Row struct {
	// Saved is when the row was saved at the earliest, unknown if it has no lease.
	Saved StoreTime
	// Lease is how long after Saved the gateway holds back the first event of each run that the row lacks.
	Lease time.Duration
	// Gap is the time of which an earlier process of the gateway may have lost runs.
	Gap Gap
	// Final is set if the gateway has ended in an orderly way since.
	Final bool
	Runs  []Found
}

// gaps returns the gaps of a row that is read at the given time, as far as clients of missing runs may still return. ok is
// false if the row proves nothing.
func (r *Row) gaps(read StoreTime) (gaps []Gap, ok bool) {
	if !read.Known() || !r.Saved.Known() || r.Saved.Era != read.Era || r.Saved.At > read.At || r.Lease > MaxLease {
		return nil, false
	}
	if r.Gap.Exists() && read.At-r.Gap.Until <= Lifetime {
		gaps = append(gaps, r.Gap)
	}
	// Until then, the gateway sent no event of a run that the row lacks.
	if leaseEnd := r.Saved.At + max(0, r.Lease-leaseMargin); !r.Final && read.At > leaseEnd {
		gaps = append(gaps, Gap{From: leaseEnd, Until: read.At, Witnessed: read.At <= leaseEnd+WitnessTime})
	}
	return gaps, true
}

// InheritedGap returns the gap of the process that takes over a row which it has read at the given time.
func (r *Row) InheritedGap(read StoreTime) Gap {
	gaps, ok := r.gaps(read)
	if !ok {
		return Gap{Until: read.At}
	}
	var all Gap
	for _, gap := range gaps {
		if !all.Exists() {
			all = gap
			continue
		}
		all = Gap{From: min(all.From, gap.From), Until: max(all.Until, gap.Until), Witnessed: all.Witnessed && gap.Witnessed}
	}
	return all
}

// Ledger holds the rows of all gateways as read at one time.
type Ledger struct {
	Read StoreTime
	Rows map[string]Row
}

// Lacking returns the sorted names of those of the given gateways, and of those that have a row, whose runs of the last
// Lifetime the rows may lack. It is empty if the rows have all runs that clients may return to.
func (l *Ledger) Lacking(gateways []string) []string {
	var lacking []string
	for _, name := range gateways {
		if _, ok := l.Rows[name]; !ok {
			lacking = append(lacking, name)
		}
	}
	for name, row := range l.Rows {
		gaps, ok := row.gaps(l.Read)
		if !ok || slices.ContainsFunc(gaps, func(gap Gap) bool { return !gap.Witnessed || l.otherGap(name, gap) }) {
			lacking = append(lacking, name)
		}
	}
	slices.Sort(lacking)
	return lacking
}

// otherGap reports whether the row of another gateway may lack the runs that it witnessed in a gap.
func (l *Ledger) otherGap(name string, gap Gap) bool {
	for other, row := range l.Rows {
		if other == name {
			continue
		}
		gaps, ok := row.gaps(l.Read)
		if !ok || slices.ContainsFunc(gaps, gap.overlaps) {
			return true
		}
	}
	return false
}

// Get returns the runs of a key.
func (l *Ledger) Get(key uint64) []Found {
	var found []Found
	for _, row := range l.Rows {
		for _, run := range row.Runs {
			if run.Key == key && run.Age <= Lifetime {
				found = append(found, run)
			}
		}
	}
	return found
}

// Sole returns the run that a returning client must mean, and false if there is none or if several may be meant. runs
// must hold all runs that clients of the same request may return to. A run that another one has taken over is not meant
// any more.
func Sole(runs []Found) (Found, bool) {
	var sole *Found
	for i, r := range runs {
		if slices.ContainsFunc(runs, func(other Found) bool { return other.Continues == r.Run }) {
			continue
		}
		if sole != nil {
			return Found{}, false
		}
		sole = &runs[i]
	}
	if sole == nil {
		return Found{}, false
	}
	return *sole, true
}
