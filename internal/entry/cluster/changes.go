package cluster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/wire"
)

const (
	// completeInterval is the time after which a peer gets the complete state again. A part
	// may drop a message, and evidence of a rollout that the peer does not know yet.
	completeInterval = 5 * time.Second
	// maxItemBytes bounds the items of one message; later messages have the rest.
	maxItemBytes = 1 << 20
	// peerMarkAge is the age from which a peer that exchanges nothing is forgotten.
	peerMarkAge = 10 * time.Minute
)

// itemKey names one item of a PeerState: the hash of its section and of the fields that
// merging tells items apart by.
type itemKey uint64

type item struct {
	digest uint64
	// version is that of this entry's state at which the item had changed.
	version uint64
	bytes   int
	round   uint64
}

// peerMark is what this entry and one peer know of each other.
type peerMark struct {
	incarnation uint64
	// merged is the version of the peer's state that this entry has merged.
	merged uint64
	// known is the version of this entry's state that the peer has merged, by its own word.
	known      uint64
	completeAt time.Time
	usedAt     time.Time
}

// changes numbers the changes of the items that this entry exchanges, so that a peer gets
// only those that it has not merged. It is safe for concurrent use.
type changes struct {
	mu          sync.Mutex
	incarnation uint64
	version     uint64
	round       uint64
	items       map[itemKey]item
	peers       map[string]*peerMark // by address
	// maxBytes bounds the items of one message.
	maxBytes int
}

func newChanges(incarnation uint64) *changes {
	return &changes{
		incarnation: incarnation, items: make(map[itemKey]item), peers: make(map[string]*peerMark), maxBytes: maxItemBytes,
	}
}

func (c *changes) mark(address string, now time.Time) *peerMark {
	mark := c.peers[address]
	if mark == nil {
		for other, old := range c.peers {
			if now.Sub(old.usedAt) > peerMarkAge {
				delete(c.peers, other)
			}
		}
		mark = &peerMark{}
		c.peers[address] = mark
	}
	mark.usedAt = now
	return mark
}

// merged notes a message of a peer that was merged.
func (c *changes) merged(message *wire.PeerState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mark := c.mark(message.GetAddress(), now)
	if message.GetIncarnation() < mark.incarnation {
		return
	}
	if message.GetIncarnation() > mark.incarnation {
		*mark = peerMark{incarnation: message.GetIncarnation(), usedAt: now}
	}
	if message.GetKnownIncarnation() == c.incarnation {
		mark.known = max(mark.known, message.GetKnownVersion())
	}
	if message.GetBase() <= mark.merged {
		mark.merged = max(mark.merged, message.GetVersion())
	}
}

// reduce removes from the complete state what the peer at the address has.
func (c *changes) reduce(message *wire.PeerState, address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(message)
	mark := c.mark(address, now)
	message.Base = mark.known
	if now.Sub(mark.completeAt) >= completeInterval {
		message.Base, mark.completeAt = 0, now
	}
	message.Version = c.limit(message.Base)
	message.KnownVersion, message.KnownIncarnation = mark.merged, mark.incarnation
	message.Withdrawn = after(c, message, message.Withdrawn, withdrawnKey)
	message.Suspects = after(c, message, message.Suspects, suspectKey)
	message.Evidence = after(c, message, message.Evidence, evidenceKey)
	message.Use = after(c, message, message.Use, useKey)
	message.Acks = after(c, message, message.Acks, ackKey)
}

// limit returns the version up to which the items after base fit into one message.
func (c *changes) limit(base uint64) uint64 {
	total := 0
	var newer []item
	for _, known := range c.items {
		if known.version > base {
			newer = append(newer, known)
			total += known.bytes
		}
	}
	if total <= c.maxBytes {
		return c.version
	}
	slices.SortFunc(newer, func(a, b item) int { return cmp.Compare(a.version, b.version) })
	total = 0
	for i, known := range newer {
		if total += known.bytes; total > c.maxBytes && i > 0 {
			return newer[i-1].version
		}
	}
	return c.version
}

// observe numbers the items that changed since the last message.
func (c *changes) observe(message *wire.PeerState) {
	c.round++
	observeAll(c, message.Withdrawn, withdrawnKey)
	observeAll(c, message.Suspects, suspectKey)
	observeAll(c, message.Evidence, evidenceKey)
	observeAll(c, message.Use, useKey)
	observeAll(c, message.Acks, ackKey)
	for key, known := range c.items {
		if known.round != c.round {
			delete(c.items, key)
		}
	}
}

func observeAll[M proto.Message](c *changes, items []M, key func(M) itemKey) {
	var buffer []byte
	for _, message := range items {
		// Equal items have equal bytes, since items have no maps.
		buffer, _ = proto.MarshalOptions{}.MarshalAppend(buffer[:0], message)
		k, digest := key(message), xxhash.Sum64(buffer)
		known, ok := c.items[k]
		if !ok || known.digest != digest {
			c.version++
			known = item{digest: digest, version: c.version, bytes: len(buffer)}
		}
		known.round = c.round
		c.items[k] = known
	}
}

// after returns the items that changed after the message's base and up to its version. It
// does not change the given slice, which parts share between messages.
func after[M proto.Message](c *changes, message *wire.PeerState, items []M, key func(M) itemKey) []M {
	var newer []M
	for _, candidate := range items {
		if version := c.items[key(candidate)].version; version > message.Base && version <= message.Version {
			newer = append(newer, candidate)
		}
	}
	return newer
}

// hash separates the parts by a byte that valid text does not contain.
func hash(section string, number uint64, parts ...string) itemKey {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(section)
	_, _ = digest.Write(binary.BigEndian.AppendUint64(make([]byte, 0, 8), number))
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\xff")
	}
	return itemKey(digest.Sum64())
}

func withdrawnKey(w *wire.WithdrawnVersion) itemKey {
	return hash("withdrawn", 0, w.GetService(), w.GetVersion())
}

func suspectKey(s *wire.SuspectCount) itemKey {
	if s.GetCleared() {
		return hash("cleared", s.GetFingerprint())
	}
	return hash("suspect", s.GetFingerprint())
}

func evidenceKey(e *wire.EvidenceCounter) itemKey {
	// Incarnations are start times; the load level is a small number.
	return hash("evidence", e.GetIncarnation()<<2^uint64(e.GetLoadLevel()), e.GetOrigin(), e.GetService(), e.GetVersion(), e.GetRoute(), e.GetZone())
}

func useKey(u *wire.OriginUse) itemKey { return hash("use", 0, u.GetOrigin()) }

func ackKey(a *wire.NodeAck) itemKey { return hash("ack", 0, a.GetNode()) }
