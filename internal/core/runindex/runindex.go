// Package runindex records where generations run and where copies of their KV caches are
// held, so that a client whose gateway is lost can continue at another gateway without prefill
// of its prompt.
//
// The record of each generation is replicated to a few gateways, which are chosen by
// rendezvous hashing of its key. The gateway that relays a generation sends them the
// record; a gateway to which a client returns queries them. The cost per generation does not
// depend on the number of gateways.
//
// A client that returns names no earlier request, so that a run is looked up by what it was asked
// to generate. Several clients may ask for the same, and a KV cache copy may be used only by the run that
// it belongs to. The index says where the prompt of a run is cached; it may have lost records, so that it proves
// nothing about whose run it is. Ledger proves that: it holds the runs of all gateways, or says that it does not.
package runindex

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReplicaCount is the number of gateways, besides the relay, that hold the record of a
	// generation. The record survives the simultaneous loss of the relay and one of them.
	ReplicaCount = 2
	// Lifetime is how long a record is kept without being renewed. It covers the longest
	// streams of the users' routes. The holder of a copy detects that the copy has expired.
	Lifetime = 30 * time.Second
	// MaxRecords bounds the index. In an installation of the target size, 27 generations per
	// second start at each gateway. Each is recorded at two gateways for Lifetime, which
	// makes 1,600 records per gateway.
	MaxRecords = 4096
)

// Record is the location of a generation and its KV cache copy.
type Record struct {
	// Key identifies what the client asked to generate, with the whole prompt. It is the same in all
	// attempts of the client, and in the requests of others that ask for the same.
	Key uint64
	// Run is the ID of the client request that the generation belongs to.
	Run string
	// Continues is the run whose generation this one took over, empty for none.
	Continues string
	// Source is the target that runs the generation.
	Source string
	// Holder is the target that holds the copy; empty for none. Address and Handle identify
	// the copy at that target.
	Holder, Address, Handle string
}

// Found is a record and the time since it was stored.
type Found struct {
	Record
	Age time.Duration
	// Relayed is set if a gateway still relays the run to its client.
	Relayed bool
}

// Merge combines what several gateways know of the runs of one key. The newest record of each run counts.
func Merge(lists ...[]Found) []Found {
	var merged []Found
	for _, list := range lists {
		for _, r := range list {
			i := slices.IndexFunc(merged, func(m Found) bool { return m.Run == r.Run })
			if i < 0 {
				merged = append(merged, r)
				continue
			}
			relayed := merged[i].Relayed || r.Relayed
			if r.Age < merged[i].Age {
				merged[i] = r
			}
			merged[i].Relayed = relayed
		}
	}
	return merged
}

// ReplicasFor returns the gateways to which a relay sends the record of a generation. names
// are the gateways that respond.
func ReplicasFor(key uint64, names []string, relay string) []string {
	return rank(key, names, relay, ReplicaCount)
}

// Candidates returns the gateways that may hold the record of a generation, for a gateway
// that does not know which one relayed it. It returns up to two more than ReplicasFor, since
// the relay and a lost gateway may still be among the names.
func Candidates(key uint64, names []string, self string) []string {
	return rank(key, names, self, ReplicaCount+2)
}

// rank returns the n names with the highest hash of key and name, except exclude.
func rank(key uint64, names []string, exclude string, n int) []string {
	type ranked struct {
		name string
		hash uint64
	}
	prefix := binary.LittleEndian.AppendUint64(nil, key)
	ranking := make([]ranked, 0, len(names))
	for _, name := range names {
		if name != exclude {
			ranking = append(ranking, ranked{name, xxhash.Sum64(append(prefix[:8:8], name...))})
		}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		switch {
		case a.hash > b.hash:
			return -1
		case a.hash < b.hash:
			return 1
		}
		return 0
	})
	first := make([]string, 0, n)
	for _, r := range ranking[:min(n, len(ranking))] {
		first = append(first, r.name)
	}
	return first
}

type storedRecord struct {
	record Record
	at     time.Time
}

// Index holds the records that one gateway stores. It is not safe for concurrent use.
type Index struct {
	runs map[uint64][]storedRecord
	// count is the number of records.
	count int
}

// New returns an empty index.
func New() *Index { return &Index{runs: map[uint64][]storedRecord{}} }

// Put adds a record, replacing an earlier one of the same run. If the index is full, the oldest
// record is evicted.
func (x *Index) Put(now time.Time, r Record) {
	list := x.runs[r.Key]
	if i := slices.IndexFunc(list, func(s storedRecord) bool { return s.record.Run == r.Run }); i >= 0 {
		list[i] = storedRecord{r, now}
		return
	}
	if x.count >= MaxRecords {
		x.Expire(now)
	}
	if x.count >= MaxRecords {
		x.evictOldest()
	}
	x.runs[r.Key] = append(x.runs[r.Key], storedRecord{r, now})
	x.count++
}

func (x *Index) evictOldest() {
	var oldest uint64
	position := -1
	var at time.Time
	for key, list := range x.runs {
		for i, s := range list {
			if position < 0 || s.at.Before(at) {
				oldest, position, at = key, i, s.at
			}
		}
	}
	x.replace(oldest, slices.Delete(x.runs[oldest], position, position+1))
	x.count--
}

// replace sets the records of a key.
func (x *Index) replace(key uint64, list []storedRecord) {
	if len(list) == 0 {
		delete(x.runs, key)
		return
	}
	x.runs[key] = list
}

// Get returns the records of a key that have not expired.
func (x *Index) Get(now time.Time, key uint64) []Found {
	var found []Found
	for _, s := range x.runs[key] {
		if age := now.Sub(s.at); age <= Lifetime {
			found = append(found, Found{Record: s.record, Age: age})
		}
	}
	return found
}

// Has reports whether the index has a record of a run.
func (x *Index) Has(now time.Time, r Record) bool {
	return slices.ContainsFunc(x.Get(now, r.Key), func(f Found) bool { return f.Run == r.Run })
}

// Len returns the number of records.
func (x *Index) Len() int { return x.count }

// Expire removes records older than Lifetime.
func (x *Index) Expire(now time.Time) {
	for key, list := range x.runs {
		kept := slices.DeleteFunc(list, func(s storedRecord) bool { return now.Sub(s.at) > Lifetime })
		x.count -= len(list) - len(kept)
		x.replace(key, kept)
	}
}
