package rollout

import (
	"fmt"
	"testing"
	"time"

	"bramleygap/internal/benchsize"
	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
)

// BenchmarkDecide measures the choice of targets to load and the owner's decision.
func BenchmarkDecide(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		row := Row{
			Service: "s", Version: "v2", Previous: "v1", State: Running, Step: 2, Started: now.UnixMilli(), StepSince: now.UnixMilli(),
			Deadline: now.Add(time.Hour).UnixMilli(), Owner: "self", Incarnation: 1, LeaseUntil: now.Add(DefaultTimes().Lease).UnixMilli(),
		}
		targets := make([]membership.Target, size.Agents/size.Services)
		for i := range targets {
			targets[i] = membership.Target{Name: fmt.Sprint(i), Zone: size.Zone(i), Service: "s", Versions: []string{"v1"}, Ready: true}
		}
		for b.Loop() {
			NextLoads(&row, targets, nil, now)
			Decide(&Input{
				Times: DefaultTimes(),
				Now:   now, Row: row, ReadAt: now, Self: Owner{"self", 1}, Loaded: Loaded(&row, targets), Current: true,
				Verdict: evidence.Verdict{StepPassed: true, Requests: 1000},
			})
		}
	})
}
