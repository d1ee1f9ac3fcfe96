package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/wire"
)

// Guards against a list of gateways that is kept although the store has a newer one: gateways that
// joined would not be contacted.
func TestListedGatewaysFollowTable(t *testing.T) {
	c := qt.New(t)
	g := newControlGateway(twoGateways, 0)
	row := func(name string, revision uint64) replica.Row {
		return replica.Row{Key: name, Value: encode(&wire.GatewayState{Name: name, Address: name + ":1"}), Revision: revision}
	}
	c.Check(g.st.listedGateways(), qt.HasLen, 0)
	g.peers.g.loop.installSnapshot(g.st, time.Now(), TableGateways, []replica.Row{row("a", 3), {Key: "other", Value: []byte("x"), Revision: 4}}, replica.Version{Revision: 4}, "store")
	c.Check(g.st.listedGateways(), qt.DeepEquals, map[string]string{"a": "a:1"})
	g.peers.g.loop.applyChanges(g.st, time.Now(), TableGateways, []replica.Row{row("b", 5)}, replica.Version{Revision: 4}, replica.Version{Revision: 5})
	c.Check(g.st.listedGateways(), qt.DeepEquals, map[string]string{"a": "a:1", "b": "b:1"})
	g.peers.g.loop.applyChanges(g.st, time.Now(), TableGateways, []replica.Row{{Key: "a", Revision: 6, Deleted: true}}, replica.Version{Revision: 5}, replica.Version{Revision: 6})
	c.Check(g.st.listedGateways(), qt.DeepEquals, map[string]string{"b": "b:1"})
}

// Guards against gateways that disagree about the readers, so that none or many follow the store,
// and against readers that are kept after they are lost.
func TestReadersAreChosenAmongLiveGateways(t *testing.T) {
	c := qt.New(t)
	g, other := newControlGateway(twoGateways, 0), newControlGateway(twoGateways, 1)
	self := g.peers.g.options.Settings.Name
	c.Check(g.st.isReader(self), qt.IsTrue, qt.Commentf("a gateway alone reads the store"))
	var names []string
	for i := range 23 {
		names = append(names, fmt.Sprint("g", i))
	}
	reversed := slices.Clone(names)
	slices.Reverse(reversed)
	g.st.setLiveGateways(names)
	other.st.setLiveGateways(reversed)
	readers := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !g.st.isReader(name) })
	c.Check(readers, qt.HasLen, readerCount)
	for _, name := range names {
		c.Check(other.st.isReader(name), qt.Equals, g.st.isReader(name), qt.Commentf(name))
	}
	g.st.setLiveGateways(slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == readers[0] }))
	c.Check(g.st.isReader(readers[0]), qt.IsFalse)
	c.Check(g.st.isReader(readers[1]), qt.IsTrue, qt.Commentf("the other reader stays"))
}

// Guards against reports of leaving targets that gateways prolong for each other without end: a
// report that was wrong would keep its target from getting work.
func TestPassedOnLeavingReportIsNotProlonged(t *testing.T) {
	c := qt.New(t)
	size := controlSize{gateways: 2, targets: 3}
	a, b := newControlGateway(size, 0), newControlGateway(size, 1)
	id, start := controlTargetID(0), time.Now()
	a.st.fleet.MarkLeaving(start, id)
	exchangeMessages(a, b)
	c.Check(b.st.fleet.CanHoldCopy(start, id), qt.IsFalse)
	c.Check(b.st.fleet.ReportedLeaving(start), qt.HasLen, 0, qt.Commentf("only the target's own answer is passed on"))
	// The longest time for which a still has the report.
	last := start
	for at := start; len(a.st.fleet.ReportedLeaving(at)) > 0; at = at.Add(time.Millisecond) {
		last = at
	}
	time.Sleep(2 * time.Millisecond)
	exchangeMessages(b, a)
	c.Check(a.st.fleet.ReportedLeaving(last), qt.DeepEquals, []string{id})
	c.Check(a.st.fleet.ReportedLeaving(last.Add(time.Millisecond)), qt.HasLen, 0)
}
