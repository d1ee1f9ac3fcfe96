// Package runindex records where generations run and where copies of their KV caches are
// held, so that a client whose gateway is lost can continue at another gateway without prefill
// of its prompt.
//
// The record of each generation is replicated to a few gateways, which are chosen by
// rendezvous hashing of its fingerprint. The gateway that relays a generation sends them the
// record; a gateway to which a client returns queries them. The cost per generation does not
// depend on the number of gateways.
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
	// Fingerprint identifies the client's request and is the same in all its attempts.
	Fingerprint uint64
	// Source is the target that runs the generation.
	Source string
	// Holder is the target that holds the copy; empty for none. Address and Handle identify
	// the copy at that target.
	Holder, Address, Handle string
}

// ReplicasFor returns the gateways to which a relay sends the record of a generation. names
// are the gateways that respond.
func ReplicasFor(fingerprint uint64, names []string, relay string) []string {
	return rank(fingerprint, names, relay, ReplicaCount)
}

// Candidates returns the gateways that may hold the record of a generation, for a gateway
// that does not know which one relayed it. It returns up to two more than ReplicasFor, since
// the relay and a lost gateway may still be among the names.
func Candidates(fingerprint uint64, names []string, self string) []string {
	return rank(fingerprint, names, self, ReplicaCount+2)
}

// rank returns the n names with the highest hash of fingerprint and name, except exclude.
func rank(fingerprint uint64, names []string, exclude string, n int) []string {
	type ranked struct {
		name string
		hash uint64
	}
	key := binary.LittleEndian.AppendUint64(nil, fingerprint)
	ranking := make([]ranked, 0, len(names))
	for _, name := range names {
		if name != exclude {
			ranking = append(ranking, ranked{name, xxhash.Sum64(append(key[:8:8], name...))})
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
	records map[uint64]storedRecord
}

// New returns an empty index.
func New() *Index { return &Index{records: map[uint64]storedRecord{}} }

// Put adds a record, replacing an earlier one of the same generation. If the index is full,
// the oldest record is evicted.
func (x *Index) Put(now time.Time, r Record) {
	if _, known := x.records[r.Fingerprint]; !known && len(x.records) >= MaxRecords {
		x.Expire(now)
		if len(x.records) >= MaxRecords {
			x.evictOldest()
		}
	}
	x.records[r.Fingerprint] = storedRecord{r, now}
}

func (x *Index) evictOldest() {
	var oldest uint64
	var at time.Time
	for fingerprint, stored := range x.records {
		if at.IsZero() || stored.at.Before(at) {
			oldest, at = fingerprint, stored.at
		}
	}
	delete(x.records, oldest)
}

// Get returns the record of a generation and its age. It returns false if there is none or
// it has expired.
func (x *Index) Get(now time.Time, fingerprint uint64) (Record, time.Duration, bool) {
	stored, ok := x.records[fingerprint]
	if !ok || now.Sub(stored.at) > Lifetime {
		return Record{}, 0, false
	}
	return stored.record, now.Sub(stored.at), true
}

// Len returns the number of records.
func (x *Index) Len() int { return len(x.records) }

// Expire removes records older than Lifetime.
func (x *Index) Expire(now time.Time) {
	for fingerprint, stored := range x.records {
		if now.Sub(stored.at) > Lifetime {
			delete(x.records, fingerprint)
		}
	}
}
