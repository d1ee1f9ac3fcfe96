package adoption

import (
	"fmt"
	"testing"

	"bramleygap/internal/benchsize"
)

// BenchmarkAcks measures one change: each node acknowledges it and the missing nodes are listed.
func BenchmarkAcks(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		nodes := make([]string, size.Entries+size.Agents)
		for i := range nodes {
			nodes[i] = fmt.Sprintf("agent/engine-%04d", i)
		}
		acks, revision := NewAcks(), uint64(0)
		for b.Loop() {
			revision++
			for _, node := range nodes {
				acks.Observe(Ack{Node: node, Incarnation: 1, Revision: revision})
			}
			acks.Missing(revision, nodes)
		}
	})
}
