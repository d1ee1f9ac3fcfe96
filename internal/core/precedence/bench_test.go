package precedence_test

import (
	"fmt"
	"testing"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/precedence"
)

// BenchmarkDispatch measures one pass over the queue of a gateway with 500 waiting streams, 50 of them urgent, while all
// engines are full and eight other gateways report what waits there.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []struct{ gateways, engines int }{{21, 80}, {370, 1100}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.engines), func(b *testing.B) {
			s := newSite(size.gateways, size.engines)
			g := s.gateways[0]
			var loads []placement.ReportedLoad
			for _, reg := range s.engines {
				loads = append(loads, placement.ReportedLoad{Target: placement.KeyOf(reg.ID), PeerLoad: placement.PeerLoad{Memory: engineMemory / 7}})
			}
			for i := range 8 {
				g.fleet.SetPeerLoads(fmt.Sprint("g", i+1), s.now, loads)
				g.queue.SetPeer(s.now, fmt.Sprint("g", i+1), []precedence.RankLoad{{Rank: urgentRank, Streams: 3, Tokens: 17400}})
			}
			s.gateways = s.gateways[:1]
			for i := range 500 {
				if i%10 == 0 {
					s.urgent()
				} else {
					s.patient()
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.step(g)
			}
			if g.queue.Len() != 500 {
				b.Fatalf("%d streams wait", g.queue.Len())
			}
		})
	}
}
