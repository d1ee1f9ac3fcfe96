package router

import (
	"slices"
	"testing"
	"time"

	"bramleygap/internal/core/retry"
)

// lossDetectionDelay is the time until the entries' membership views suspect a lost agent.
const lossDetectionDelay = 3 * time.Second

// simulateAgentLoss stops half of the agents at peak load and returns the statistics of
// the following minute. With unlimited set, the retry budgets are refilled at every step.
func simulateAgentLoss(unlimited bool) statistics {
	entries := []int{0, 1, 2}
	sim := newSimulator(fairShare, len(entries), 20,
		&workload{member: "a", share: 60, entries: entries, outstanding: constant(180), prompt: 400, length: 200},
		&workload{member: "b", share: 40, entries: entries, outstanding: constant(120), prompt: 400, length: 200})
	for at := time.Duration(0); at < 80*time.Second; at += stepInterval {
		if at == 20*time.Second {
			sim.stats = newStatistics()
		}
		for i := 0; i < len(sim.agents); i += 2 {
			sim.agents[i].lost = at >= 20*time.Second
			sim.agents[i].detected = at >= 20*time.Second+lossDetectionDelay
		}
		if unlimited {
			for _, entry := range sim.entries {
				entry.service("s", sim.now).budget = retry.NewBudget(sim.now)
			}
		}
		sim.step()
	}
	return sim.stats
}

// Guards against retries beyond the budget when half of the engines are lost at peak load.
// The budget of each entry is a burst of 30, then 10% of its requests and 3 per second.
func TestRetryBudgetAfterEngineLoss(t *testing.T) {
	report := func(name string, stats statistics) {
		starts := slices.Concat(stats.startLatencies["a"], stats.startLatencies["b"])
		t.Logf("%-9s finished %d attempts %d retries %d start p50 %v p99 %v resumes %d p50 %v p99 %v refused %v refused resumes %v", name,
			stats.finished, stats.attempts, stats.retries, quantile(starts, 0.5), quantile(starts, 0.99),
			len(stats.resumeLatencies), quantile(stats.resumeLatencies, 0.5), quantile(stats.resumeLatencies, 0.99), stats.refusals, stats.resumeRefusals)
	}
	stats := simulateAgentLoss(false)
	report("budget", stats)
	if limit := 3*(30+3*60) + stats.attempts/10; stats.retries > limit {
		t.Errorf("%d retries, limit %d", stats.retries, limit)
	}
	if testing.Verbose() {
		report("unlimited", simulateAgentLoss(true))
	}
}
