package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/wire"
)

// Load pattern: one gateway of many learns from an answer that a target leaves, while the store does
// not say so. Guards against reports between gateways that grow with the installation, and against
// reports that do not reach the others of a small installation.
func TestLeavingReportsReachOthers(t *testing.T) {
	const roundTime = 200 * time.Millisecond
	c := qt.New(t)
	size := proto.Size(&wire.GatewayState{LeavingTargets: []string{"i-7f3a91c2"}})
	c.Check(size <= 16, qt.IsTrue, qt.Commentf("%d bytes", size))
	for _, gateways := range []int{23, 370} {
		rng := rand.New(rand.NewPCG(1, uint64(gateways)))
		start := time.Unix(1e9, 0)
		reg := membership.Registration{ID: "i-7f3a91c2", Address: "10.0.0.1:80", Service: "s", StartUnixMS: 1}
		fleets := make([]*placement.Fleet, gateways)
		for i := range fleets {
			fleets[i] = placement.NewFleet(fmt.Sprint("g", i), "a", rng)
			fleets[i].Update([]membership.Registration{reg}, func(string) int { return 0 })
		}
		fleets[0].Observe(start, instanceOf(reg), placement.Response{Leaving: true}, placement.FromResponse)
		told := map[int]bool{0: true}
		messages := 0
		send := func(now time.Time, from, to int) {
			for _, id := range fleets[from].ReportedLeaving(now) {
				messages++
				told[to] = true
				fleets[to].ReportLeaving(now, id)
			}
		}
		toldAt := map[time.Duration]int{}
		for now := start; now.Sub(start) <= 12*time.Second; now = now.Add(roundTime) {
			toldAt[now.Sub(start)] = len(told) - 1
			for i := range fleets {
				for range exchangeFanout {
					if other := rng.IntN(gateways); other != i {
						send(now, i, other)
						send(now, other, i)
					}
				}
			}
		}
		t.Logf("%d gateways: %d told after 1 s, %d after 2 s, %d after 4 s, %d after 10 s; %d messages carried it, %d bytes in all",
			gateways, toldAt[time.Second], toldAt[2*time.Second], toldAt[4*time.Second], toldAt[10*time.Second], messages, messages*size)
		c.Check(messages <= 400, qt.IsTrue, qt.Commentf("%d messages", messages))
		if gateways == 23 {
			c.Check(toldAt[4*time.Second] >= 20, qt.IsTrue, qt.Commentf("%d gateways", toldAt[4*time.Second]))
		}
		c.Check(fleets[0].Accepts(start.Add(time.Hour), reg.ID), qt.IsFalse)
		c.Check(fleets[1].Accepts(start.Add(time.Hour), reg.ID), qt.IsTrue, qt.Commentf("a report of another gateway only makes a target expensive"))
	}
}
