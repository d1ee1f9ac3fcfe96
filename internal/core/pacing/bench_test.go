package pacing

import (
	"fmt"
	"testing"
	"time"

	"bramleygap/internal/core/precedence"
)

// BenchmarkDecide measures one update of the shares and one pass over 200 waiting calls, at the target size with all
// targets in one service and eight gateways heard from.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{22, 3}, {370, 1100}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.targets), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			var names []string
			reports := NewReports()
			for i := range size.gateways {
				names = append(names, fmt.Sprintf("g%03d", i))
				if i > 0 && i <= 8 {
					reports.Set(now, names[i], map[ServiceKey]Load{KeyOf("s"): {Active: 3, Waiting: i}})
				}
			}
			targets := make([]Target, size.targets)
			for i := range targets {
				targets[i] = Target{ID: fmt.Sprintf("e%04d", i), Slots: 6}
			}
			p := New(names[0], "s")
			for i := range 200 {
				arrived := now.Add(-time.Duration(i) * time.Millisecond)
				p.Add(now, &Call{ID: uint64(i), Rank: precedence.Rank{Account: i % 3, Route: i % 2}, Once: i%4 > 0, Arrived: arrived, Objective: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(time.Hour)})
			}
			for b.Loop() {
				p.Update(now, targets, names, reports, 60*time.Millisecond)
				p.Refusals(now)
			}
		})
	}
}
