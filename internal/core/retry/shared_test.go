package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const sharedStep = 50 * time.Millisecond

// sharedLoad is a pattern of requests and of demand for repeated attempts.
type sharedLoad struct {
	gateways int
	// requestsPerStep is the mean number of requests per step at all gateways together.
	requestsPerStep func(step int) float64
	// demand reports whether each gateway takes every token that it gets at a step.
	demand func(step int) bool
	// restarts reports whether a gateway restarts at a step.
	restarts func(gateway, step int) bool
	// transfers is the number of others that each gateway without tokens asks for some at each step. One answer in
	// five is lost.
	transfers int
}

// play returns the requests and the repeated attempts of each step.
func (l *sharedLoad) play(bounds Bounds, steps int, seed uint64) (requests, repeats []int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	budgets := make([]*SharedBudget, l.gateways)
	for i := range budgets {
		// The gateways start some time before the traffic.
		budgets[i] = NewSharedBudget(now.Add(-time.Minute), bounds, l.gateways)
	}
	requests, repeats = make([]int, steps), make([]int, steps)
	for step := range steps {
		now = now.Add(sharedStep)
		for i, b := range budgets {
			if l.restarts != nil && l.restarts(i, step) {
				b = NewSharedBudget(now, bounds, l.gateways)
				budgets[i] = b
			}
			b.Refill(now)
		}
		for expected := l.requestsPerStep(step); expected > 0; expected-- {
			if expected >= 1 || rng.Float64() < expected {
				// Some gateways get several times as many requests as others.
				i := min(rng.IntN(l.gateways), rng.IntN(l.gateways))
				budgets[i].OnRequest()
				requests[step]++
			}
		}
		if !l.demand(step) {
			continue
		}
		for _, b := range budgets {
			for b.TakeResume() {
				repeats[step]++
			}
			for waiting := range 5 * l.transfers {
				b.OnShortage(now, fmt.Sprint(waiting))
			}
		}
		for _, b := range budgets {
			for range l.transfers {
				given := budgets[rng.IntN(len(budgets))].Give(now, b.Wanted(now))
				if rng.IntN(5) > 0 {
					b.Receive(given)
				}
			}
		}
	}
	return requests, repeats
}

// checkBounds checks each window as the operators do: repeats against the requests of the window,
// the one before and the one half a window before.
func checkBounds(c *qt.C, bounds Bounds, requests, repeats []int) {
	window := int(bounds.Window / sharedStep)
	sum := func(values []int, from int) (total int) {
		for i := max(0, from); i < min(len(values), from+window); i++ {
			total += values[i]
		}
		return total
	}
	for start := range len(requests) {
		most := max(sum(requests, start), sum(requests, start-window), sum(requests, start-window/2))
		allowed := bounds.Ratio*float64(most) + bounds.Slack
		c.Assert(float64(sum(repeats, start)) <= allowed, qt.IsTrue,
			qt.Commentf("window from step %d: %d repeats, %.0f allowed", start, sum(repeats, start), allowed))
	}
}

// Guards against more repeated attempts over all gateways than the operators allow, when engines
// crash again and again, when traffic stops, after restarts of gateways and at the target size.
func TestSharedBudgetHoldsOverAllGateways(t *testing.T) {
	bounds := Bounds{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	always := func(int) bool { return true }
	// Engines crash every 2 s, 20 s after the start.
	crashes := func(step int) bool { return step > 400 && step%40 < 4 }
	steady := func(perSecond float64) func(int) float64 {
		return func(int) float64 { return perSecond * sharedStep.Seconds() }
	}
	stops := func(step int) float64 {
		if step > 500 {
			return 0
		}
		return 200 * sharedStep.Seconds()
	}
	loads := map[string]sharedLoad{
		"3 gateways":             {gateways: 3, requestsPerStep: steady(5), demand: crashes},
		"23 gateways":            {gateways: 23, requestsPerStep: steady(22), demand: crashes},
		"23 gateways, all taken": {gateways: 23, requestsPerStep: steady(22), demand: always},
		"370 gateways":           {gateways: 370, requestsPerStep: steady(10000), demand: crashes},
		"traffic stops":          {gateways: 23, requestsPerStep: stops, demand: crashes},
		"transfers":              {gateways: 23, requestsPerStep: steady(22), demand: crashes, transfers: 3},
		"370 transfer":           {gateways: 370, requestsPerStep: steady(10000), demand: crashes, transfers: 3},
		"restarts and transfers": {gateways: 23, requestsPerStep: steady(200), demand: always, transfers: 3,
			restarts: func(gateway, step int) bool { return step%46 == 2*gateway }},
		"restarts": {gateways: 23, requestsPerStep: steady(200), demand: always,
			restarts: func(gateway, step int) bool { return step%46 == 2*gateway }},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(3) {
				requests, repeats := load.play(bounds, 1200, seed)
				checkBounds(c, bounds, requests, repeats)
			}
		})
	}
}

// Guards against a budget so small that the streams of a lost zone cannot resume: 120 streams at
// 23 gateways of which a third are lost at once.
func TestSharedBudgetAllowsResumesOfOneZone(t *testing.T) {
	c := qt.New(t)
	bounds := Bounds{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	load := sharedLoad{gateways: 23, requestsPerStep: func(int) float64 { return 22 * sharedStep.Seconds() }, demand: func(step int) bool { return step == 600 }}
	_, repeats := load.play(bounds, 700, 1)
	c.Check(slices.Max(repeats) >= 40, qt.IsTrue, qt.Commentf("%d resumes at once", slices.Max(repeats)))
}

// Guards against hedges and retries of new work that leave no tokens for streams that have run.
func TestSharedBudgetReservesTokensForResumes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(now.Add(-time.Minute), Bounds{Ratio: 0.8, Slack: 200, Window: 10 * time.Second}, 1)
	b.Refill(now)
	for b.TakeRetry(10) {
	}
	resumes := 0
	for b.TakeResume() {
		resumes++
	}
	c.Check(resumes, qt.Equals, 10)
	b.Refund()
	c.Check(b.TakeResume(), qt.IsTrue)
}

// Load pattern: 68 gateways with half a stream a second each, as on the users' large site; one stream of a gateway
// that has had no loss for long is late and needs another engine. Guards against a reserve that a full budget does
// not exceed, so that such streams never get a token, and against one that keeps none.
func TestSharedBudgetOfManyGatewaysServesLateStreams(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(now.Add(-time.Minute), Bounds{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}, 68)
	for range 10 {
		now = now.Add(2 * time.Second)
		b.Refill(now)
		b.OnRequest()
	}
	c.Assert(b.Tokens() < 2, qt.IsTrue)
	c.Check(b.TakeRetry(4), qt.IsTrue, qt.Commentf("%.2f tokens", b.Tokens()))
	c.Check(b.TakeRetry(4), qt.IsFalse, qt.Commentf("nothing is kept for resumes"))
}

// Guards against a gateway that takes the whole slack once it has lost contact with the others.
func TestPeakCountOutlastsPartition(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := PeakCount{Memory: 10 * time.Minute}
	c.Check(p.Observe(now, 23), qt.Equals, 23)
	c.Check(p.Observe(now.Add(time.Minute), 1), qt.Equals, 23)
	c.Check(p.Observe(now.Add(11*time.Minute), 20), qt.Equals, 20)
}
