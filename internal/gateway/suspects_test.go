package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/wire"
)

// exchangeMessages makes one exchange that from starts, and returns the request and the answer.
func exchangeMessages(from, to *controlGateway) (request, answer *wire.GatewayState) {
	from.st.beginSuspectRound()
	request = from.peers.request(from.st, to.peers.g.options.Settings.PeerListen, exchangeKind{loads: true})
	to.peers.mergeState(to.st, request, time.Time{})
	answer = to.peers.answer(to.st, request, time.Now(), exchangeKind{loads: true})
	from.peers.mergeAnswer(from.st, answer, to.peers.g.options.Settings.PeerListen, time.Now())
	return request, answer
}

var twoGateways = controlSize{gateways: 2, targets: 3}

// Guards against exchanges that carry all suspects of the last ten minutes each time: 90% of the
// bytes between 23 gateways were suspects that the receiver already had.
func TestKnownSuspectsAreNotSentAgain(t *testing.T) {
	c := qt.New(t)
	a, b := newControlGateway(twoGateways, 0), newControlGateway(twoGateways, 1)
	a.addSuspects("", 0, 20)
	b.addSuspects("", 15, 20)
	exchangeMessages(a, b)
	exchangeMessages(b, a)
	c.Check(a.st.suspects.Len(), qt.Equals, 35)
	c.Check(b.st.suspects.Len(), qt.Equals, 35)
	for range suspectPushRounds {
		exchangeMessages(a, b)
		exchangeMessages(b, a)
	}
	request, answer := exchangeMessages(a, b)
	c.Check(request.Suspects, qt.HasLen, 0)
	c.Check(answer.Suspects, qt.HasLen, 0)
	b.addSuspects("", 90, 1)
	request, answer = exchangeMessages(b, a)
	c.Check(request.Suspects, qt.HasLen, 1)
	c.Check(answer.Suspects, qt.HasLen, 0)
	b.addSuspects("", 91, 1)
	_, answer = exchangeMessages(a, b)
	c.Check(len(answer.Suspects), qt.Equals, 2, qt.Commentf("changes since the last answer"))
	c.Check(a.st.suspects.Len(), qt.Equals, 37)
}

// Guards against requests that crash targets anew at a gateway that was cut off while the others
// exchanged their suspects, that has just started, or that asks one that has just started.
func TestMissingSuspectsAreSentLater(t *testing.T) {
	c := qt.New(t)
	a, b := newControlGateway(twoGateways, 0), newControlGateway(twoGateways, 1)
	exchangeMessages(b, a)
	const many = 2*maxSuspectsPerMessage + 100
	a.addSuspects("", 0, many)
	for range suspectPushRounds {
		a.st.beginSuspectRound()
	}
	for range 100 {
		_, answer := exchangeMessages(b, a)
		c.Assert(len(answer.Suspects) <= maxSuspectsPerMessage, qt.IsTrue)
	}
	c.Check(b.st.suspects.Len(), qt.Equals, many)

	restarted := newControlGateway(twoGateways, 0)
	restarted.addSuspects("", 2*many, 3)
	for range suspectPushRounds {
		restarted.st.beginSuspectRound()
	}
	for range 100 {
		exchangeMessages(b, restarted)
		exchangeMessages(restarted, b)
	}
	c.Check(b.st.suspects.Len(), qt.Equals, many+3)
	c.Check(restarted.st.suspects.Len(), qt.Equals, many+3)
	c.Check(restarted.st.suspects.Digest(), qt.Equals, b.st.suspects.Digest())
}

// Guards against a gateway of the version before that gets no suspects while both versions run.
func TestEarlierVersionGetsAllSuspects(t *testing.T) {
	c := qt.New(t)
	a := newControlGateway(twoGateways, 0)
	a.addSuspects("", 0, 7)
	for range 2 {
		answer := a.peers.answer(a.st, &wire.GatewayState{Name: "earlier"}, time.Now(), exchangeKind{loads: true})
		c.Check(answer.Suspects, qt.HasLen, 7)
		c.Check(answer.SuspectSummary, qt.IsNil)
	}
}
