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
	c.Check(OrderShare(OrderUnknown), qt.Equals, 0.0)
	c.Check(OrderShare(OrderRunning) < 0.1, qt.IsTrue)
	c.Check(OrderShare(OrderWithdrawn), qt.Equals, 0.0)
}
