package retry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load pattern: 21 gateways, one of which has 12 of the streams of a zone whose engines end at one moment, more than
// its part of the slack; the others have one or two. Guards against streams that are lost after 3 s without a token
// while the other gateways have tokens to spare.
func TestTransfersServeUnevenLossOfOneZone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	budgets := make([]*SharedBudget, 21)
	for i := range budgets {
		budgets[i] = NewSharedBudget(now.Add(-time.Minute), Bounds{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}, len(budgets))
		budgets[i].Refill(now)
		for range 2 {
			budgets[i].TakeResume()
		}
		budgets[i].Refill(now.Add(5 * time.Second))
	}
	now = now.Add(5 * time.Second)
	short, resumed := budgets[0], 0
	// 3 s of exchanges each 200 ms with three others.
	for round := range 15 {
		for ; resumed < 12 && short.TakeResume(); resumed++ {
		}
		for i := resumed; i < 12; i++ {
			short.OnShortage(now, fmt.Sprint(i))
		}
		for k := range 3 {
			short.Receive(budgets[1+(3*round+k)%20].Give(now, short.Wanted(now)))
		}
		now = now.Add(200 * time.Millisecond)
		for _, b := range budgets {
			b.Refill(now)
		}
	}
	c.Check(resumed, qt.Equals, 12)
}

// Guards against tokens that two gateways in need give each other back and forth, against a giver that is left without
// tokens for its own streams, and against a stream that has ended and still counts as waiting.
func TestTransferKeepsOwnTokens(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bounds := Bounds{Slack: 40, Window: 10 * time.Second}
	a, b := NewSharedBudget(now.Add(-time.Minute), bounds, 2), NewSharedBudget(now.Add(-time.Minute), bounds, 2)
	a.Refill(now)
	b.Refill(now)
	full := a.Tokens()
	c.Check(a.Give(now, 1000) > 0, qt.IsTrue)
	c.Check(a.Tokens() >= keptShare*full, qt.IsTrue)
	for b.TakeResume() {
	}
	b.OnShortage(now, "s")
	c.Check(b.Wanted(now), qt.Equals, 1)
	c.Check(b.Give(now, 5), qt.Equals, 0)
	c.Check(b.Wanted(now.Add(time.Second)), qt.Equals, 0)
	b.Receive(1000)
	c.Check(b.Tokens() <= full, qt.IsTrue)
}

// Guards against streams that waited once and are remembered for good at a gateway that meets no others.
func TestShortagesAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(now, Bounds{Slack: 40, Window: 10 * time.Second}, 1)
	for i := range 1000 {
		b.OnShortage(now.Add(time.Duration(i)*time.Second), fmt.Sprint(i))
	}
	c.Check(b.waiting, qt.HasLen, 1)
}
