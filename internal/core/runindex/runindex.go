// Package runindex remembers where generations run and where copies of their memory lie, so
// that a client whose gateway is lost continues at another gateway without its prompt being
// read again.
//
// Each generation has a few homes among the gateways, chosen by rendezvous hashing of its
// fingerprint. The gateway that relays a generation tells them; a gateway to which a client
// returns asks them. The cost of a generation does not depend on the number of gateways.
package runindex

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReplicaCount is the number of gateways that remember a generation: it stays known when its
	// own gateway and one of its homes are lost together.
	ReplicaCount = 2
	// Lifetime is how long a record is kept without being renewed. It covers the longest
	// streams of the users' routes; a copy that has expired is found out by its holder.
	Lifetime = 30 * time.Second
	// MaxRecords bounds the index. One gateway of the target size is home to two of the 27
	// generations that start there in a second, for Lifetime: 1,600 records.
	MaxRecords = 4096
)

// Record says where a generation runs.
type Record struct {
	// Fingerprint identifies what the client asks for; it is the same in all its attempts.
	Fingerprint uint64
	// Source is the target that runs the generation.
	Source string
	// Holder is the target that has the copy, empty for none. Address and Handle are how
	// that target knows the copy.
	Holder, Address, Handle string
}

// ReplicasFor returns the gateways that a gateway tells of a generation that it relays. Names
// holds the gateways that answer.
func ReplicasFor(fingerprint uint64, names []string, relay string) []string {
	return rank(fingerprint, names, relay, ReplicaCount)
}

// Candidates returns the gateways that may have been told of a generation, as far as a
// gateway that does not know which one relayed it can tell: the relay and a lost gateway may
// still be among the names.
func Candidates(fingerprint uint64, names []string, self string) []string {
	return rank(fingerprint, names, self, ReplicaCount+2)
}

// rank returns the first n names by the hash of name and fingerprint, with one left out.
func rank(fingerprint uint64, names []string, without string, n int) []string {
	type ranked struct {
		name string
		hash uint64
	}
	key := binary.LittleEndian.AppendUint64(nil, fingerprint)
	list := make([]ranked, 0, len(names))
	for _, name := range names {
		if name != without {
			list = append(list, ranked{name, xxhash.Sum64(append(key[:8:8], name...))})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.hash > b.hash:
			return -1
		case a.hash < b.hash:
			return 1
		}
		return 0
	})
	homes := make([]string, 0, n)
	for _, r := range list[:min(n, len(list))] {
		homes = append(homes, r.name)
	}
	return homes
}

type entry struct {
	record Record
	at     time.Time
}

// Index is what one gateway remembers. It is not safe for concurrent use.
type Index struct {
	entries map[uint64]entry
}

// New returns an empty index.
func New() *Index { return &Index{entries: map[uint64]entry{}} }

// Put remembers a record in place of an earlier one of the same generation. A full index
// forgets the oldest record.
func (x *Index) Put(now time.Time, r Record) {
	if _, known := x.entries[r.Fingerprint]; !known && len(x.entries) >= MaxRecords {
		x.Expire(now)
		if len(x.entries) >= MaxRecords {
			x.dropOldest()
		}
	}
	x.entries[r.Fingerprint] = entry{r, now}
}

func (x *Index) dropOldest() {
	var oldest uint64
	var at time.Time
	for fingerprint, e := range x.entries {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = fingerprint, e.at
		}
	}
	delete(x.entries, oldest)
}

// Get returns the record of a generation and its age.
func (x *Index) Get(now time.Time, fingerprint uint64) (Record, time.Duration, bool) {
	e, ok := x.entries[fingerprint]
	if !ok || now.Sub(e.at) > Lifetime {
		return Record{}, 0, false
	}
	return e.record, now.Sub(e.at), true
}

// Len returns the number of records.
func (x *Index) Len() int { return len(x.entries) }

// Expire forgets records older than Lifetime.
func (x *Index) Expire(now time.Time) {
	for fingerprint, e := range x.entries {
		if now.Sub(e.at) > Lifetime {
			delete(x.entries, fingerprint)
		}
	}
}
