package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

// Guards against completing a good version late, keeping a bad version, and an order that
// is still undecided at its end.
func TestDecideOrder(t *testing.T) {
	c := qt.New(t)
	at := func(part float64, t OrderTrial) OrderState {
		t.Duration = 12 * time.Second
		t.Elapsed = time.Duration(part * float64(t.Duration))
		return DecideOrder(&t)
	}
	c.Check(at(0.1, OrderTrial{Requests: 50}), qt.Equals, OrderRunning)
	c.Check(at(0.1, OrderTrial{Bad: true}), qt.Equals, OrderWithdrawn)
	c.Check(at(0.4, OrderTrial{Requests: 90, Good: true}), qt.Equals, OrderCompleted)
	c.Check(at(0.75, OrderTrial{Requests: 40, Failures: 1}), qt.Equals, OrderCompleted)
	c.Check(at(0.75, OrderTrial{Requests: 40, Failures: 3, LikelyBad: true}), qt.Equals, OrderRunning)
	c.Check(at(0.9, OrderTrial{Requests: 40, Failures: 3, LikelyBad: true}), qt.Equals, OrderWithdrawn)
	c.Check(at(0.9, OrderTrial{}), qt.Equals, OrderWithdrawn, qt.Commentf("no traffic"))
}

// Guards against an order that never ends, and against completing a bad version.
func TestOrderReachesFinalState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := OrderTrial{
			Duration: time.Second, Elapsed: time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "elapsed")),
			Requests: rapid.Uint64Range(0, 50).Draw(t, "requests"), Failures: rapid.Uint64Range(0, 5).Draw(t, "failures"),
			Bad: rapid.Bool().Draw(t, "bad"), Good: rapid.Bool().Draw(t, "good"), LikelyBad: rapid.Bool().Draw(t, "likely bad"),
			DrainPrevious: rapid.Bool().Draw(t, "drain"), Draining: time.Duration(rapid.Int64Range(0, int64(2*minDrain)).Draw(t, "draining")),
			PreviousStreams: rapid.IntRange(0, 5).Draw(t, "streams"),
		}
		state := DecideOrder(&trial)
		if trial.Elapsed >= time.Second && !state.Final() {
			t.Fatal("the order is undecided at its end")
		}
		if trial.Bad && state != OrderWithdrawn {
			t.Fatal("a bad version was not withdrawn")
		}
	})
}

// Guards against gateways that end in different states depending on the order of messages.
func TestMergeOrder(t *testing.T) {
	c := qt.New(t)
	c.Check(MergeOrder(OrderRunning, OrderCompleted), qt.Equals, OrderCompleted)
	c.Check(MergeOrder(OrderWithdrawn, OrderCompleted), qt.Equals, OrderWithdrawn)
	c.Check(MergeOrder(OrderRunning, OrderDraining), qt.Equals, OrderDraining)
	c.Check(MergeOrder(OrderDraining, OrderRunning), qt.Equals, OrderDraining)
	c.Check(MergeOrder(OrderDraining, OrderCompleted), qt.Equals, OrderCompleted)
	c.Check(MergeOrder(OrderWithdrawn, OrderDraining), qt.Equals, OrderWithdrawn)
	c.Check(OrderShare(OrderUnknown, TrialShare), qt.Equals, 0.0)
	c.Check(OrderShare(OrderRunning, RunningShare(&OrderTrial{})) < 0.1, qt.IsTrue)
	c.Check(OrderShare(OrderDraining, TrialShare), qt.Equals, 1.0)
	c.Check(OrderShare(OrderWithdrawn, TrialShare), qt.Equals, 0.0)
}

// Scenario: 25 streams/s of 6.5 s each, an order of 15 s, the previous version stops on completion. Guards against an
// order that ends most of the previous version's streams, and against more than a tenth of the requests on a version
// that is bad until it is judged.
func TestPreviousVersionDrains(t *testing.T) {
	c := qt.New(t)
	const (
		rate, length = 25, 6500 * time.Millisecond
		tick         = 250 * time.Millisecond
	)
	run := func(drain bool) (lost, onTrial float64) {
		trial := OrderTrial{Duration: 15 * time.Second, DrainPrevious: drain, Requests: minTrialRequests}
		state, drainingSince := OrderRunning, time.Duration(0)
		type batch struct {
			at    time.Duration
			count float64
		}
		previous := []batch{{0, rate * length.Seconds()}}
		for ; !state.Final(); trial.Elapsed += tick {
			share := OrderShare(state, RunningShare(&trial))
			if state == OrderRunning {
				onTrial += share * rate * tick.Seconds()
			}
			previous = append(previous, batch{trial.Elapsed, (1 - share) * rate * tick.Seconds()})
			lost = 0
			for _, b := range previous {
				if trial.Elapsed-b.at < length {
					lost += b.count
				}
			}
			trial.PreviousStreams = int(lost)
			if state == OrderDraining {
				trial.Draining = trial.Elapsed - drainingSince
			}
			if state = MergeOrder(state, DecideOrder(&trial)); state == OrderDraining && drainingSince == 0 {
				drainingSince = trial.Elapsed
			}
		}
		c.Check(state, qt.Equals, OrderCompleted)
		c.Check(trial.Elapsed <= 14*time.Second, qt.IsTrue, qt.Commentf("time is left to write the status"))
		return lost, onTrial
	}
	lost, _ := run(false)
	c.Check(lost > 140, qt.IsTrue, qt.Commentf("%.0f streams end with the previous version", lost))
	lost, onTrial := run(true)
	c.Check(lost < 50, qt.IsTrue, qt.Commentf("%.0f streams end with the previous version", lost))
	c.Check(onTrial < 0.1*rate*15, qt.IsTrue, qt.Commentf("%.0f requests on trial", onTrial))
}

// Guards against a version that turns bad while the previous one drains and is completed, and against waiting for
// streams that do not end.
func TestDrainingEnds(t *testing.T) {
	c := qt.New(t)
	draining := OrderTrial{
		Duration: 10 * time.Second, Elapsed: 7 * time.Second, Requests: 40, DrainPrevious: true, Draining: time.Second, PreviousStreams: 5,
	}
	at := func(change func(*OrderTrial)) OrderState {
		trial := draining
		change(&trial)
		return DecideOrder(&trial)
	}
	c.Check(at(func(*OrderTrial) {}), qt.Equals, OrderDraining)
	c.Check(at(func(t *OrderTrial) { t.Bad = true }), qt.Equals, OrderWithdrawn)
	c.Check(at(func(t *OrderTrial) { t.PreviousStreams = 0 }), qt.Equals, OrderDraining, qt.Commentf("others may not know yet"))
	c.Check(at(func(t *OrderTrial) { t.PreviousStreams, t.Draining = 0, minDrain }), qt.Equals, OrderCompleted)
	c.Check(at(func(t *OrderTrial) { t.Elapsed = 9 * time.Second }), qt.Equals, OrderCompleted)
	c.Check(at(func(t *OrderTrial) { t.Elapsed, t.LikelyBad = 9*time.Second, true }), qt.Equals, OrderWithdrawn)
	c.Check(at(func(t *OrderTrial) { t.PreviousStreams, t.Draining, t.LikelyBad = 0, minDrain, true }), qt.Equals, OrderDraining,
		qt.Commentf("a version in doubt has time to be judged"))
	c.Check(RunningShare(&OrderTrial{Duration: 10 * time.Second, Elapsed: 7 * time.Second, Requests: 40, DrainPrevious: true}), qt.Equals, TrialShare,
		qt.Commentf("the owner does not drain"))
}
