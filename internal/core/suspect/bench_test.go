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
			from.mergeDeath(uint64(i+1), death, requestDeath{counts: true, at: now, began: now}, now.Add(crashTTL))
		}
		records := from.Export(now)
		for b.Loop() {
			to.Merge(records, now)
		}
	})
}

// BenchmarkReportPartCrash measures a crash of an engine with ten streams while the tracker has as many parts
// as it keeps, each with as many crashes.
func BenchmarkReportPartCrash(b *testing.B) {
	tracker, at := NewTracker(), now
	crash := func(n, first int) {
		var candidates []Candidate
		for i := range uint64(10) {
			candidates = append(candidates, Candidate{Request{uint64(n)*10 + i, uint64(n)*10 + i}, []uint64{uint64(first)*20 + 2*i, uint64(first)*20 + 2*i + 1}, time.Second})
		}
		tracker.ReportPartCrash(fmt.Sprint("d", n), at, candidates, at)
		at = at.Add(time.Millisecond)
	}
	n := 0
	for range maxPartCrashes {
		for first := range maxParts/20 - 1 {
			crash(n, first)
			n++
		}
	}
	for b.Loop() {
		crash(n, n%(maxParts/20-1))
		n++
	}
}
