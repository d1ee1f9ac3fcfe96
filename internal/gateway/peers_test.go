package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/opconfig"
	"bramleygap/internal/settings"
)

// Scenario: both readers are lost, and a change is written right after the last confirmation that
// came from them. Guards against a gateway that serves by the old desired state, or sends requests
// to a leaving target, longer than the operators' bound because one of its own calls to the store is
// lost.
func TestChangeArrivesInTimeAfterLostCall(t *testing.T) {
	for _, table := range []Table{TableConfig, TableTargets} {
		for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprint(table, " ", bound), func(t *testing.T) {
				c := qt.New(t)
				bounds := &settings.Bounds{DrainTimeout: opconfig.Duration{Duration: bound}, ConfigApply: opconfig.Duration{Duration: bound}}
				secondCall := fallbackReadAge(bounds, table) + readerCheckInterval + pollTimeoutMargin + fallbackPause(context.DeadlineExceeded, 0)
				c.Check(secondCall < bound, qt.IsTrue, qt.Commentf("second call %v after the change", secondCall))
				c.Check(fallbackPause(ErrNotPerformed, 0), qt.Equals, fallbackFailureBackoff, qt.Commentf("a refused call is billed"))
				c.Check(fallbackPause(context.DeadlineExceeded, 1), qt.Equals, fallbackFailureBackoff)
			})
		}
	}
}

// Guards against overloading the readers of a table in a large installation: with 300 gateways,
// each reader received 374 exchanges per second.
func TestReaderExchangeInterval(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{3, 23, 100, 373} {
		perReader := float64(n) / readerCount / readerExchangeInterval(n).Seconds()
		c.Check(perReader <= maxReaderRate+1e-6, qt.IsTrue, qt.Commentf("%d gateways: %.0f exchanges/s per reader", n, perReader))
	}
	c.Check(readerExchangeInterval(3), qt.Equals, 400*time.Millisecond)
}
