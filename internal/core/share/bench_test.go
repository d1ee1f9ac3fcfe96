package share

import (
	"fmt"
	"testing"
	"time"

	"bramleygap/internal/benchsize"
)

// BenchmarkAdmission measures one generation on a full engine: arrival, a charge and departure.
func BenchmarkAdmission(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		s := New(DefaultParams, size.Running)
		weights := map[string]float64{}
		job := func(i int) Job {
			return Job{ID: fmt.Sprint(i), Generation: fmt.Sprint(i), Member: fmt.Sprintf("member-%03d", i%size.Members)}
		}
		for i := range size.Members {
			weights[fmt.Sprintf("member-%03d", i)] = 99 / float64(size.Members)
		}
		s.SetWeights(weights)
		for i := range size.Running {
			s.Arrive(now, job(i))
		}
		s.Tick(now)
		next := size.Running
		for b.Loop() {
			s.Arrive(now, job(next))
			s.Charge(now, fmt.Sprint(next-size.Running), 1)
			s.Depart(now, fmt.Sprint(next-size.Running))
			next++
			now = now.Add(time.Millisecond)
		}
	})
}

// BenchmarkCharge measures the charge of one token.
func BenchmarkCharge(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		s := New(DefaultParams, size.Running)
		for i := range size.Running {
			s.Arrive(now, Job{ID: fmt.Sprint(i), Generation: fmt.Sprint(i), Member: fmt.Sprintf("member-%03d", i%size.Members)})
		}
		for b.Loop() {
			s.Charge(now, "0", 1)
		}
	})
}
