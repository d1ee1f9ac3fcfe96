package suspect

import (
	"fmt"
	"testing"
	"time"

	"bramleygap/internal/benchsize"
)

func BenchmarkMerge(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		from, to := NewTracker(), NewTracker()
		for i := range size.Suspects {
			death := fmt.Sprintf("engine-%04d/1", i%3)
			from.Report(Death{ID: death, At: now, Fingerprints: []uint64{uint64(i + 1)}}, now)
			from.mergeDeath(uint64(i+1), death, true, now.Add(crashTTL))
		}
		records := from.Export(now)
		for b.Loop() {
			to.Merge(records, now)
		}
	})
}
