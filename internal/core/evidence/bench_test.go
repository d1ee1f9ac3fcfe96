package evidence

import (
	"testing"
	"time"

	"bramleygap/internal/benchsize"
)

func always(string) bool { return true }

func BenchmarkMerge(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		counters, in := NewCounters("self", 1), size.Evidence()
		for b.Loop() {
			counters.Merge(in, always)
		}
	})
}

func BenchmarkEvaluate(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		counters := NewCounters("self", 1)
		counters.Merge(size.Evidence(), always)
		evaluator := NewEvaluator(size.Service(0), "v2", "v1")
		for b.Loop() {
			counters.Add(Key{Service: size.Service(0), Version: "v2", Route: "/v1/completions", Zone: size.Zone(0)}, false, false, false)
			now = now.Add(time.Second)
			evaluator.Evaluate(now, counters)
		}
	})
}
