package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/wire"
)

// startLoop runs the event loop of a gateway without sockets, with the given state, until the test ends.
func startLoop(t *testing.T, g *controlGateway) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case fn := <-g.peers.g.loop.queue:
				fn(g.st)
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against an exchange that is held although there is news, or answered at once without any: the
// first delays a change of the desired state, the second multiplies the exchanges.
func TestExchangeIsHeldUntilNews(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(l *eventLoop, st *state)
		news   bool
	}{
		{"no news", func(*eventLoop, *state) {}, false},
		{"a confirmation", func(l *eventLoop, st *state) { l.confirm(st, time.Now(), TableTargets, "store") }, true},
		{"an old confirmation", func(l *eventLoop, st *state) {
			l.confirm(st, st.confirmedAt[TableTargets].Add(minConfirmationGain/2), TableTargets, "store")
		}, false},
		{"a changed row", func(l *eventLoop, st *state) {
			row := replica.Row{Key: controlTargetID(0), Value: []byte("10.8.0.1:1"), Revision: 2}
			l.applyChanges(st, time.Now(), TableTargets, []replica.Row{row}, replica.Version{Revision: 1}, replica.Version{Revision: 2})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			source, follower := newControlGateway(twoGateways, 0), newControlGateway(twoGateways, 1)
			source.st.confirmedAt[TableTargets] = time.Now().Add(-minConfirmationGain - 100*time.Millisecond)
			follower.st.confirmedAt = source.st.confirmedAt
			request := follower.peers.request(follower.st, "source", exchangeKind{held: true})
			startLoop(t, source)
			time.AfterFunc(50*time.Millisecond, func() {
				source.peers.g.loop.post(t.Context(), func(st *state) { test.change(source.peers.g.loop, st) })
			})
			start := time.Now()
			source.peers.holdExchange(t.Context(), request, start, followHold)
			c.Check(time.Since(start) < followHold, qt.Equals, test.news, qt.Commentf("%v", time.Since(start)))
		})
	}
}

// Guards against an answer whose confirmations seem newer than they are, after which a gateway serves by
// a table that the store has replaced for longer than the operators' bound.
func TestHeldConfirmationIsNotNewer(t *testing.T) {
	for _, transit := range []time.Duration{0, 20 * time.Millisecond} {
		for _, confirmedBefore := range []time.Duration{-400 * time.Millisecond, 0, 300*time.Millisecond + time.Microsecond} {
			t.Run(fmt.Sprint(transit, confirmedBefore), func(t *testing.T) { testHeldConfirmation(t, transit, confirmedBefore) })
		}
	}
}

// testHeldConfirmation checks a confirmation that came before or after a request arrived, which was under
// way for some time.
func testHeldConfirmation(t *testing.T, transit, confirmedBefore time.Duration) {
	c := qt.New(t)
	source, follower := newControlGateway(twoGateways, 0), newControlGateway(twoGateways, 1)
	requestedAt := time.Now().Add(time.Minute)
	arrived := requestedAt.Add(transit)
	confirmed := arrived.Add(-confirmedBefore)
	source.st.confirmedAt[TableTargets] = confirmed
	request := follower.peers.request(follower.st, "source", exchangeKind{held: true})
	answer := source.peers.answer(source.st, request, arrived, exchangeKind{held: true})
	follower.peers.mergeAnswer(follower.st, answer, "source", requestedAt)
	got := follower.st.confirmedAt[TableTargets]
	c.Check(got.After(confirmed), qt.IsFalse, qt.Commentf("%v newer", got.Sub(confirmed)))
	c.Check(got.After(requestedAt), qt.IsFalse)
	c.Check(requestedAt.Sub(got) <= max(0, confirmedBefore)+time.Millisecond, qt.IsTrue, qt.Commentf("%v old", requestedAt.Sub(got)))
}

// Guards against a request of a crashing engine that is known only in a part of a large installation:
// suspects travel only between a gateway and those that follow it, in both directions.
func TestSuspectsPassAlongTheTree(t *testing.T) {
	c := qt.New(t)
	size := controlSize{gateways: 40, targets: 3}
	all := map[string]*controlGateway{}
	for i := range size.gateways {
		all[controlGatewayName(i)] = newControlGateway(size, i)
	}
	ranked := all[controlGatewayName(0)].st.rankedGateways
	ordinary := all[ranked[len(ranked)-1]]
	ordinary.addSuspects("", 0, 3)
	for range 8 {
		for _, name := range ranked {
			sources := replica.Sources(ranked, readerCount, name)
			if len(sources) == 0 {
				continue
			}
			kind, follower, source := exchangeKind{held: true}, all[name], all[sources[0]]
			request := follower.peers.request(follower.st, sources[0], kind)
			source.peers.mergeState(source.st, request, time.Time{})
			answer := source.peers.answer(source.st, request, time.Now(), kind)
			follower.peers.mergeAnswer(follower.st, answer, sources[0], time.Now())
			follower.st.recordSentSuspects(sources[0])
		}
	}
	for name, g := range all {
		c.Check(g.st.suspects.Len(), qt.Equals, 3, qt.Commentf(name))
	}
	request := ordinary.peers.request(ordinary.st, "random", exchangeKind{})
	c.Check(request.Suspects, qt.HasLen, 0)
	again := ordinary.peers.request(ordinary.st, replica.Sources(ranked, readerCount, ranked[len(ranked)-1])[0], exchangeKind{held: true})
	c.Check(again.Suspects, qt.HasLen, 0, qt.Commentf("suspects are sent once"))
}

// Guards against crashes by prompt parts that take as long as the news of tables for each step of the tree: the
// users allow 3 s for all steps up and down.
func TestCrashesOfPartsAreUrgentNews(t *testing.T) {
	c := qt.New(t)
	size := controlSize{gateways: 40, targets: 3}
	source, follower := newControlGateway(size, 0), newControlGateway(size, 1)
	kind := exchangeKind{held: true}
	hasNews := func() bool {
		request := follower.peers.request(follower.st, "source", kind)
		return source.st.hasPartNews(request.SuspectSummary, source.peers.incarnation)
	}
	exchange := func() {
		request := follower.peers.request(follower.st, "source", kind)
		source.peers.mergeState(source.st, request, time.Time{})
		follower.peers.mergeAnswer(follower.st, source.peers.answer(source.st, request, time.Now(), kind), "source", time.Now())
		follower.st.recordSentSuspects("source")
	}
	crash := func(g *controlGateway, death string) {
		g.st.suspects.ReportPartCrash(death, time.Now(), []suspect.Candidate{{Request: suspect.Request{Content: 7, Whole: 7}, Parts: []uint64{8}}}, time.Now())
		g.peers.g.loop.suspectsChanged(g.st, time.Now(), "own")
	}
	exchange()
	source.addSuspects("", 0, 3)
	c.Check(hasNews(), qt.IsFalse, qt.Commentf("suspected requests are not urgent"))
	exchange()
	crash(source, "d1")
	c.Check(hasNews(), qt.IsTrue)
	exchange()
	c.Check(hasNews(), qt.IsFalse)
	waiting := follower.st.partNews
	crash(follower, "d2")
	select {
	case <-waiting:
	default:
		c.Error("the follower's own news does not interrupt its exchange")
	}
	exchange()
	c.Check(hasNews(), qt.IsFalse, qt.Commentf("what came from the follower is no news to it"))
	c.Check(source.st.suspects.Digest(), qt.Equals, follower.st.suspects.Digest())
	restarted := newControlGateway(size, 0)
	request := restarted.peers.request(restarted.st, "source", kind)
	c.Check(source.st.hasPartNews(request.SuspectSummary, source.peers.incarnation), qt.IsTrue)
}

// Guards against loads that go to all gateways of a large installation (2.3 MB/s at 370), and against an
// answer without loads that erases those that the gateway reported before.
func TestLoadsGoToNeighborsOnly(t *testing.T) {
	c := qt.New(t)
	size := controlSize{gateways: 40, targets: 120, streams: 8}
	a, b := newControlGateway(size, 0), newControlGateway(size, 1)
	talk := func(kind exchangeKind) (request, answer *wire.GatewayState) {
		request = a.peers.request(a.st, "b", kind)
		b.peers.mergeState(b.st, request, time.Time{})
		answer = b.peers.answer(b.st, request, time.Now(), kind)
		a.peers.mergeAnswer(a.st, answer, "b", time.Now())
		return request, answer
	}
	known := func() int {
		n := 0
		for i := range size.targets {
			n += a.st.fleet.Load(time.Now(), controlTargetID(i)).Streams
		}
		return n
	}
	request, answer := talk(exchangeKind{loads: true})
	c.Check(request.PackedLoads, qt.IsNotNil)
	c.Check(answer.PackedLoads, qt.IsNotNil)
	c.Check(known(), qt.Equals, 2*size.streams)
	request, answer = talk(exchangeKind{})
	c.Check(request.PackedLoads, qt.IsNil)
	c.Check(answer.PackedLoads, qt.IsNil)
	c.Check(known(), qt.Equals, 2*size.streams, qt.Commentf("loads of before remain"))
}

// roundsOfPeers counts how often each peer is chosen in the rounds of ten seconds.
func roundsOfPeers(p *peers, due []*peer) map[string]int {
	chosen := map[string]int{}
	for at := time.Duration(0); at < 10*time.Second; at += neighborInterval {
		for _, other := range p.choosePeers(context.Background(), time.Unix(0, 0).Add(at), append([]*peer(nil), due...)) {
			chosen[other.name]++
		}
	}
	return chosen
}

// Guards against loads of neighbors that are older than placement uses them, and against exchanges whose
// number grows with that of the gateways.
func TestNeighborsAreMetInTurn(t *testing.T) {
	c := qt.New(t)
	p := newControlGateway(controlSize{gateways: 40, targets: 3}, 0).peers
	p.neighbors = placement.RingNeighbors(ringNames(40), controlGatewayName(0))
	var due []*peer
	for _, name := range ringNames(40)[1:] {
		due = append(due, &peer{name: name, address: name})
	}
	chosen, total := roundsOfPeers(p, due), 0
	for _, name := range p.neighbors {
		c.Check(chosen[name] >= 8, qt.IsTrue, qt.Commentf("%s was met %d times in 10 s", name, chosen[name]))
	}
	for _, n := range chosen {
		total += n
	}
	c.Check(total <= 45, qt.IsTrue, qt.Commentf("%d exchanges in 10 s", total))

	// Without its neighbors, a gateway still meets others.
	var others []*peer
	for _, other := range due {
		if _, neighbor := chosen[other.name]; !neighbor || len(others) < 5 {
			others = append(others, other)
		}
	}
	p.neighbors = []string{"lost"}
	total = 0
	for _, n := range roundsOfPeers(p, others) {
		total += n
	}
	c.Check(total >= 30, qt.IsTrue, qt.Commentf("%d exchanges in 10 s", total))
}

func ringNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = controlGatewayName(i)
	}
	return names
}

// Guards against a gateway of a large installation that counts only those as live that it happened to
// meet within ten seconds, 40% of 300: gateways then differ in who reads the store, owns a rollout and
// replicates the record of a run. A gateway that does not answer must still not count.
func TestListedGatewaysAreLiveUnlessTheyFail(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	listed, seed := &peer{name: "listed"}, &peer{}
	failed := &peer{name: "failed", lastSuccess: at.Add(-peerExpiry), lastFailure: at.Add(-time.Second)}
	met := &peer{name: "met", lastSuccess: at.Add(-peerExpiry / 2), lastFailure: at.Add(-time.Second)}
	for _, n := range []int{3, 300} {
		c.Check(listed.live(at, n), qt.Equals, n == 300)
		c.Check(seed.live(at, n), qt.IsFalse)
		c.Check(failed.live(at, n), qt.IsFalse)
		c.Check(met.live(at, n), qt.IsTrue)
	}
}

// Guards against a lost gateway that counts as live for minutes in a large installation, in which a round
// meets each gateway seldom: if it is a reader, nobody takes its place.
func TestFailedCallEndsLiveness(t *testing.T) {
	c := qt.New(t)
	p := newControlGateway(controlSize{gateways: 40, targets: 3}, 0).peers
	at := time.Unix(1000, 0)
	lost := &peer{name: "lost", address: "lost"}
	p.byAddress["lost"] = lost
	for i := range 40 {
		p.byAddress[fmt.Sprint(i)] = &peer{address: fmt.Sprint(i)}
	}
	c.Check(lost.live(at, 40), qt.IsTrue)
	p.recordContact("lost", context.DeadlineExceeded)
	p.recordContact("removed", context.DeadlineExceeded)
	p.applyContacts(at)
	c.Check(lost.live(at, 40), qt.IsFalse)
	p.recordContact("lost", nil)
	p.applyContacts(at)
	c.Check(lost.live(at, 40), qt.IsTrue)
	for range 2 * maxPendingContacts {
		p.recordContact("lost", nil)
	}
}
