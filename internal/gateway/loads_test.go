package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/wire"
)

// Guards against loads that are lost or attributed to another target on their way to other
// gateways, which then place prompts on engines that are busy.
func TestLoadsReachOtherGateways(t *testing.T) {
	c := qt.New(t)
	size := controlSize{gateways: 2, targets: 21, streams: 16}
	a, b := newControlGateway(size, 0), newControlGateway(size, 1)
	idle := newControlGateway(controlSize{gateways: 2, targets: 21}, 2)
	exchangeMessages(a, idle)
	exchangeMessages(idle, b)
	now, some := time.Now(), 0
	for i := range size.targets {
		id := controlTargetID(i)
		want, got := a.st.fleet.Load(now, id), idle.st.fleet.Load(now, id)
		other := b.st.fleet.Load(now, id)
		c.Check(got.Streams, qt.Equals, want.Streams+other.Streams, qt.Commentf(id))
		c.Check(got.Copies, qt.Equals, want.Copies+other.Copies, qt.Commentf(id))
		c.Check(got.Memory, qt.Equals, want.Memory+other.Memory, qt.Commentf(id))
		some += got.Streams
	}
	c.Check(some, qt.Equals, 2*size.streams)
}

// Guards against loads of a gateway of the version before that are ignored while both run, and
// against a message whose lists differ in length.
func TestLoadsOfOtherVersions(t *testing.T) {
	c := qt.New(t)
	earlier := &wire.GatewayState{Loads: []*wire.TargetLoad{{Target: "a", BacklogMs: 300, MemoryTokens: 6000, Streams: 2, Copies: 1}}}
	want := []placement.ReportedLoad{{Target: placement.KeyOf("a"), PeerLoad: placement.PeerLoad{Backlog: 300 * time.Millisecond, Memory: 6000, Streams: 2, Copies: 1}}}
	c.Check(unpackLoads(earlier), qt.DeepEquals, want)
	c.Check(unpackLoads(&wire.GatewayState{PackedLoads: packLoads(want)}), qt.DeepEquals, want)
	c.Check(unpackLoads(&wire.GatewayState{PackedLoads: &wire.PackedLoads{Targets: []uint32{1}}}), qt.HasLen, 0)
	c.Check(unpackLoads(&wire.GatewayState{}), qt.HasLen, 0)
}
