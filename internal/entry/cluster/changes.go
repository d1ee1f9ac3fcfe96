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
	// fullStateInterval is the interval at which a peer is sent the full state again, since
	// its delegates may drop a message or evidence of a rollout that they do not know yet.
	fullStateInterval = 5 * time.Second
	// maxMessageItemBytes limits the items of one message; the rest follows in later messages.
	maxMessageItemBytes = 1 << 20
	// peerProgressTTL is how long the progress of a peer is kept after the last exchange.
	peerProgressTTL = 10 * time.Minute
)

// itemKey identifies an item of a PeerState. It is a hash of the item's section and of the
// fields by which a merge matches items.
type itemKey uint64

type item struct {
	digest uint64
	// version is the version of this entry's state at which the item last changed.
	version uint64
	size    int
	round   uint64
}

// peerProgress records which state versions this entry and a peer have merged from each other.
type peerProgress struct {
	incarnation uint64
	// merged is the version of the peer's state that this entry has merged.
	merged uint64
	// acked is the version of this entry's state that the peer reported as merged.
	acked      uint64
	fullSentAt time.Time
	lastUsed   time.Time
}

// changeTracker assigns versions to changed items of this entry's state, so that a peer is
// sent only items that it has not merged. It is safe for concurrent use.
type changeTracker struct {
	mu          sync.Mutex
	incarnation uint64
	version     uint64
	round       uint64
	items       map[itemKey]item
	peers       map[string]*peerProgress // by address
	// maxBytes limits the items of one message.
	maxBytes int
}

func newChangeTracker(incarnation uint64) *changeTracker {
	return &changeTracker{
		incarnation: incarnation, items: make(map[itemKey]item), peers: make(map[string]*peerProgress), maxBytes: maxMessageItemBytes,
	}
}

func (c *changeTracker) progress(address string, now time.Time) *peerProgress {
	peer := c.peers[address]
	if peer == nil {
		for other, old := range c.peers {
			if now.Sub(old.lastUsed) > peerProgressTTL {
				delete(c.peers, other)
			}
		}
		peer = &peerProgress{}
		c.peers[address] = peer
	}
	peer.lastUsed = now
	return peer
}

// recordMerged updates the peer's progress after a message from it was merged.
func (c *changeTracker) recordMerged(message *wire.PeerState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.progress(message.GetAddress(), now)
	if message.GetIncarnation() < peer.incarnation {
		return
	}
	if message.GetIncarnation() > peer.incarnation {
		*peer = peerProgress{incarnation: message.GetIncarnation(), lastUsed: now}
	}
	if message.GetKnownIncarnation() == c.incarnation {
		peer.acked = max(peer.acked, message.GetKnownVersion())
	}
	if message.GetBase() <= peer.merged {
		peer.merged = max(peer.merged, message.GetVersion())
	}
}

// makeDelta removes the items that the peer at address has merged from message, which
// contains the full state.
func (c *changeTracker) makeDelta(message *wire.PeerState, address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assignVersions(message)
	peer := c.progress(address, now)
	message.Base = peer.acked
	if now.Sub(peer.fullSentAt) >= fullStateInterval {
		message.Base, peer.fullSentAt = 0, now
	}
	message.Version = c.maxVersion(message.Base)
	message.KnownVersion, message.KnownIncarnation = peer.merged, peer.incarnation
	message.Withdrawn = changedItems(c, message, message.Withdrawn, withdrawnKey)
	message.Suspects = changedItems(c, message, message.Suspects, suspectKey)
	message.Evidence = changedItems(c, message, message.Evidence, evidenceKey)
	message.Use = changedItems(c, message, message.Use, useKey)
	message.Acks = changedItems(c, message, message.Acks, ackKey)
}

// maxVersion returns the version up to which the items changed after base fit into one
// message, which always holds at least one item.
func (c *changeTracker) maxVersion(base uint64) uint64 {
	total := 0
	var newer []item
	for _, candidate := range c.items {
		if candidate.version > base {
			newer = append(newer, candidate)
			total += candidate.size
		}
	}
	if total <= c.maxBytes {
		return c.version
	}
	slices.SortFunc(newer, func(a, b item) int { return cmp.Compare(a.version, b.version) })
	total = 0
	for i, candidate := range newer {
		if total += candidate.size; total > c.maxBytes && i > 0 {
			return newer[i-1].version
		}
	}
	return c.version
}

// assignVersions assigns new versions to the items that changed since the last call and
// removes the items that are no longer part of the state.
func (c *changeTracker) assignVersions(message *wire.PeerState) {
	c.round++
	assignItemVersions(c, message.Withdrawn, withdrawnKey)
	assignItemVersions(c, message.Suspects, suspectKey)
	assignItemVersions(c, message.Evidence, evidenceKey)
	assignItemVersions(c, message.Use, useKey)
	assignItemVersions(c, message.Acks, ackKey)
	for key, existing := range c.items {
		if existing.round != c.round {
			delete(c.items, key)
		}
	}
}

func assignItemVersions[M proto.Message](c *changeTracker, items []M, key func(M) itemKey) {
	var buffer []byte
	for _, message := range items {
		// Items contain no maps, so equal items have equal encodings.
		buffer, _ = proto.MarshalOptions{}.MarshalAppend(buffer[:0], message)
		k, digest := key(message), xxhash.Sum64(buffer)
		current, ok := c.items[k]
		if !ok || current.digest != digest {
			c.version++
			current = item{digest: digest, version: c.version, size: len(buffer)}
		}
		current.round = c.round
		c.items[k] = current
	}
}

// changedItems returns the items that changed after the message's base version and up to its
// version. It does not modify items, which delegates may share between messages.
func changedItems[M proto.Message](c *changeTracker, message *wire.PeerState, items []M, key func(M) itemKey) []M {
	var newer []M
	for _, candidate := range items {
		if version := c.items[key(candidate)].version; version > message.Base && version <= message.Version {
			newer = append(newer, candidate)
		}
	}
	return newer
}

// hashKey terminates each part with 0xff, which valid UTF-8 does not contain.
func hashKey(section string, number uint64, parts ...string) itemKey {
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
	return hashKey("withdrawn", 0, w.GetService(), w.GetVersion())
}

func suspectKey(s *wire.SuspectCount) itemKey {
	if s.GetCleared() {
		return hashKey("cleared", s.GetFingerprint())
	}
	return hashKey("suspect", s.GetFingerprint())
}

func evidenceKey(e *wire.EvidenceCounter) itemKey {
	// The incarnation is a start time, so the shift loses no bits; the load level is small.
	return hashKey("evidence", e.GetIncarnation()<<2^uint64(e.GetLoadLevel()), e.GetOrigin(), e.GetService(), e.GetVersion(), e.GetRoute(), e.GetZone())
}

func useKey(u *wire.OriginUse) itemKey { return hashKey("use", 0, u.GetOrigin()) }

func ackKey(a *wire.NodeAck) itemKey { return hashKey("ack", 0, a.GetNode()) }
