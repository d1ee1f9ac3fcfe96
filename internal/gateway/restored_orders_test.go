package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/rollout"
)

// Guards against what a store that has come back from an older copy says of rollout orders: an order that is given again
// is not rolled out twice, one that the copy lacks is not followed by the one before it, and a new one is not ignored
// because its revision is lower.
func TestOrdersAfterStoreCameBack(t *testing.T) {
	first := RolloutOrder{Service: "s", Version: "v2", Duration: time.Minute, Written: replica.Version{Era: 1, Revision: 40}}
	second := RolloutOrder{Service: "s", Version: "v3", Duration: time.Minute, Written: replica.Version{Era: 1, Revision: 60}}
	in := func(o RolloutOrder, era, revision uint64) RolloutOrder {
		o.Written = replica.Version{Era: era, Revision: revision}
		return o
	}
	third := RolloutOrder{Service: "s", Version: "v4", Duration: time.Minute, Written: replica.Version{Era: 2, Revision: 52}}
	for name, test := range map[string]struct {
		listed RolloutOrder
		want   RolloutOrder
		state  rollout.OrderState
	}{
		"the copy has the order":              {in(second, 2, 60), in(second, 2, 60), rollout.OrderCompleted},
		"the order is given again":            {in(second, 2, 53), in(second, 2, 53), rollout.OrderCompleted},
		"the copy has the order before":       {in(first, 2, 40), second, rollout.OrderCompleted},
		"the order before is given once more": {in(first, 2, 51), in(first, 2, 51), rollout.OrderUnknown},
		"another order is given":              {third, third, rollout.OrderUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := startPeers(t, "g").g.loop
			now := time.Now()
			st := l.newState(now)
			l.addOrders(st, now, []RolloutOrder{first})
			l.addOrders(st, now, []RolloutOrder{second})
			o := st.orders["s"]
			o.state, o.written = rollout.OrderCompleted, true
			st.storeStatusesAgain()
			c.Check(o.written, qt.IsFalse, qt.Commentf("the store may have lost the state"))
			l.addOrders(st, now, []RolloutOrder{test.listed})
			c.Check(st.orders["s"].RolloutOrder, qt.Equals, test.want)
			c.Check(st.orders["s"].state, qt.Equals, test.state)
		})
	}
}
