package oncecall

import (
	"testing"
	"time"

	"bramleygap/internal/result"
)

// BenchmarkCall measures one call from claim to stored outcome, which takes three writes. The
// cost does not depend on the size of the installation.
func BenchmarkCall(b *testing.B) {
	b.ReportAllocs()
	now := time.Unix(1_800_000_000, 0)
	steps, written := 0, 0
	for b.Loop() {
		m := New(Params{CallID: "c", Key: "k", RequestHash: "h", Owner: "e", Incarnation: 1, Deadline: now.Add(time.Minute), SettleTimeout: time.Minute})
		queue := m.Begin(now)
		revision := uint64(0)
		for len(queue) > 0 {
			effect := queue[0]
			queue = queue[1:]
			switch effect.Kind {
			case EffectPut:
				revision++
				written += len(effect.Value)
				queue = append(queue, m.Step(now, StoreEvent{Status: StoreOK, Revision: revision})...)
			case EffectPlace:
				queue = append(queue, m.Step(now, PlaceEvent{Code: result.OK})...)
			case EffectSend:
				queue = append(queue, m.Step(now, SendEvent{Outcome: Outcome{Status: 200, Body: []byte("{}")}})...)
			}
			steps++
		}
		if !m.Finished() {
			b.Fatal("the call did not finish")
		}
	}
	b.ReportMetric(float64(written)/float64(b.N), "wire-B/op")
}
