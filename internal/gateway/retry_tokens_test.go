package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// retryGateways returns two gateways, the first of which has used up its tokens for a stream that waits.
func retryGateways(share bool) (short, other *controlGateway) {
	gateways := [2]*controlGateway{newControlGateway(twoGateways, 0), newControlGateway(twoGateways, 1)}
	for _, g := range gateways {
		g.st.settings.Bounds = settings.Bounds{RetryRatio: 0.8, RetrySlack: 150, ShareRetries: share}
		g.st.startedAt = time.Now().Add(-time.Minute)
		g.peers.g.loop.budget(g.st, time.Now(), "s")
	}
	budget := gateways[0].st.budgets["s"]
	for budget.TakeResume() {
	}
	budget.OnShortage(time.Now(), "stream")
	return gateways[0], gateways[1]
}

// Guards against a stream that is lost at a gateway without retry tokens while another gateway has some, against
// transfers that were not configured, and against tokens that exist twice.
func TestRetryTokensPassInExchanges(t *testing.T) {
	c := qt.New(t)
	for _, share := range []bool{false, true} {
		short, other := retryGateways(share)
		before := other.st.budgets["s"].Tokens()
		request := short.peers.request(short.st, "other", exchangeKind{})
		answer := other.peers.answer(other.st, request, time.Now(), exchangeKind{})
		short.peers.receiveRetryTokens(short.st, time.Now(), request, answer)
		c.Check(short.st.budgets["s"].TakeResume(), qt.Equals, share)
		spent := before - other.st.budgets["s"].Tokens()
		c.Check(spent > 0.9, qt.Equals, share, qt.Commentf("%.2f tokens left the giver", spent))
	}
}

// Guards against a faulty gateway that hands out tokens that nobody asked for, and against names in its messages that
// fill the memory.
func TestInvalidRetryTokensAreIgnored(t *testing.T) {
	c := qt.New(t)
	short, other := retryGateways(true)
	request := short.peers.request(short.st, "other", exchangeKind{})
	for _, answer := range []*wire.RetryTokens{{Service: "s", Tokens: 60}, {Service: "unknown", Tokens: 1}} {
		short.peers.receiveRetryTokens(short.st, time.Now(), request, &wire.GatewayState{RetryTokens: []*wire.RetryTokens{answer}})
	}
	c.Check(short.st.budgets["s"].TakeResume(), qt.IsFalse)
	other.peers.answer(other.st, &wire.GatewayState{RetryTokens: []*wire.RetryTokens{{Service: "made-up", Tokens: 4}}}, time.Now(), exchangeKind{})
	c.Check(other.st.budgets, qt.HasLen, 1)
}
