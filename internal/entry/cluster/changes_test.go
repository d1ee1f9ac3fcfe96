package cluster

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
	"bramleygap/internal/wire"
)

// counterNode is an entry whose state consists of counters that merge to the larger value.
type counterNode struct {
	address     string
	incarnation uint64
	changes     *changeTracker
	counters    map[string]uint64
}

func newCounterNode(i int, incarnation uint64) *counterNode {
	c := newChangeTracker(incarnation)
	c.maxBytes = 40
	return &counterNode{address: fmt.Sprint(i), incarnation: incarnation, changes: c, counters: map[string]uint64{}}
}

func (n *counterNode) message(to string, now time.Time) *wire.PeerState {
	message := &wire.PeerState{Address: n.address, Incarnation: n.incarnation}
	for name, value := range n.counters {
		message.Evidence = append(message.Evidence, &wire.EvidenceCounter{Origin: name, Requests: value})
	}
	n.changes.makeDelta(message, to, now)
	return proto.CloneOf(message)
}

func (n *counterNode) receive(message *wire.PeerState, now time.Time) {
	for _, counter := range message.Evidence {
		n.counters[counter.Origin] = max(n.counters[counter.Origin], counter.Requests)
	}
	n.changes.recordMerged(message, now)
}

// Guards against states that stay different after messages were lost, repeated or reordered
// and entries restarted. The clock does not advance, so apart from the first messages after a
// start, all messages depend on the recorded progress instead of a periodic full state.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		nodes := []*counterNode{newCounterNode(0, 1), newCounterNode(1, 1), newCounterNode(2, 1)}
		sent := make([][]*wire.PeerState, len(nodes)) // by receiver
		node := func() int { return rapid.IntRange(0, len(nodes)-1).Draw(t, "node") }
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			switch i := node(); rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				nodes[i].counters[fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "counter"))]++
			case 2, 3, 4:
				to := node()
				sent[to] = append(sent[to], nodes[i].message(nodes[to].address, now))
			case 5, 6, 7:
				if len(sent[i]) > 0 {
					nodes[i].receive(sent[i][rapid.IntRange(0, len(sent[i])-1).Draw(t, "message")], now)
				}
			case 8:
				nodes[i] = newCounterNode(i, nodes[i].incarnation+1)
			}
		}
		a, b := nodes[0], nodes[1]
		// Messages are bounded: each one carries at least one of at most five counters.
		for range 7 {
			b.receive(a.message(b.address, now), now)
			a.receive(b.message(a.address, now), now)
		}
		if !maps.Equal(a.counters, b.counters) {
			t.Fatalf("counters %v and %v differ after the exchanges", a.counters, b.counters)
		}
		if rest := a.message(b.address, now); len(rest.Evidence) > 0 {
			t.Fatalf("evidence %v was sent again to a peer that has merged it", rest.Evidence)
		}
	})
}
