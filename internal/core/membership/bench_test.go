package membership

import (
	"testing"
	"time"

	"bramleygap/internal/benchsize"
	"bramleygap/internal/wire"
)

func benchView(size benchsize.Size, now time.Time) *View {
	view := New(now)
	for i := range size.Agents {
		view.Heartbeat(now, Report{Stream: 1, State: size.AgentState(i, 0)})
	}
	return view
}

func BenchmarkSnapshot(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		view := benchView(size, now)
		for b.Loop() {
			view.Snapshot(now)
		}
	})
}

func BenchmarkHeartbeat(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		view := benchView(size, now)
		// The view retains the last message, so the reports alternate between two.
		states := [2]*wire.AgentState{size.AgentState(0, 0), size.AgentState(0, 0)}
		for i := uint64(1); b.Loop(); i++ {
			state := states[i%2]
			state.Sequence = 100_000 + i
			if !view.Heartbeat(now, Report{Stream: 1, State: state}) {
				b.Fatal("the heartbeat was ignored")
			}
		}
	})
}
