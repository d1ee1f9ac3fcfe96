package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleygap/internal/benchsize"
	"bramleygap/internal/core/membership"
)

func benchPool(size benchsize.Size, now time.Time) (*Pool, *membership.Snapshot) {
	view := membership.New(now)
	for i := range size.Agents {
		state := size.AgentState(i, 0)
		state.Running = uint32(i % 8)
		view.Heartbeat(now, membership.Report{Stream: 1, State: state})
	}
	pool := NewPool("entry-000", size.Zone(0))
	snapshot := view.Snapshot(now)
	pool.Update(snapshot)
	return pool, snapshot
}

func BenchmarkChoose(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		pool, _ := benchPool(size, now)
		rng := rand.New(rand.NewPCG(1, 2))
		query := Query{Service: size.Service(0), Version: "v1", Class: ClassInShare, Blocks: []uint64{1, 2, 3, 4}, Now: now}
		for i := 0; b.Loop(); i++ {
			query.Blocks[3] = uint64(i)
			target, verdict := pool.Choose(query, rng)
			if verdict != Chosen {
				b.Fatal(verdict)
			}
			pool.Reserve(target.Name, "", NotSuspected)
			pool.Release(target.Name, "", NotSuspected)
		}
	})
}

func BenchmarkUpdate(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		pool, snapshot := benchPool(size, time.Unix(1_800_000_000, 0))
		for b.Loop() {
			pool.Update(snapshot)
		}
	})
}

// BenchmarkPlace measures one choice of an engine and of a copy's engine in a fleet whose other
// gateways have all reported loads within peerLoadMaxAge.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{3, 18}, {23, 86}, {100, 400}, {370, 1100}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.targets), func(b *testing.B) {
			f := newFleet("g", engines(size.targets))
			at := now
			names := []string{"g"}
			for i := range size.gateways - 1 {
				names = append(names, fmt.Sprintf("edge-%d", i))
				var loads []ReportedLoad
				for k := range 32 {
					loads = append(loads, ReportedLoad{KeyOf(engineID((i*7 + k*13) % size.targets)), PeerLoad{Backlog: time.Second, Memory: 6000, Streams: 1, Copies: 1}})
				}
				f.SetPeerLoads(fmt.Sprintf("edge-%d", i), at, loads)
			}
			f.SetGateways(names)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := f.Place(at, fleetQuery, "", typicalSize, true); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}

// BenchmarkFleetUpdate measures a change of one registration.
func BenchmarkFleetUpdate(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{3, 18}, {23, 86}, {100, 400}, {370, 1100}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.targets), func(b *testing.B) {
			list := engines(size.targets)
			f := newFleet("g", list)
			names := []string{"g"}
			for i := range size.gateways - 1 {
				names = append(names, fmt.Sprintf("edge-%d", i))
			}
			f.SetGateways(names)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				reg := &list[i%len(list)]
				reg.Leaving = !reg.Leaving
				f.Update(list, func(string) int { return 55000 })
			}
		})
	}
}

// BenchmarkPlaceBySpeed is BenchmarkPlace at the target size with speeds in use, and BenchmarkEvaluateSpeeds what is
// done twice a second for it.
func BenchmarkPlaceBySpeed(b *testing.B) {
	f := speedsAtTargetSize()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := f.Place(now, fleetQuery, "", typicalSize, true); !ok {
			b.Fatal("no target")
		}
	}
}

func BenchmarkEvaluateSpeeds(b *testing.B) {
	f := speedsAtTargetSize()
	b.ReportAllocs()
	for b.Loop() {
		f.EvaluateSpeeds()
	}
}

func speedsAtTargetSize() *Fleet {
	f := NewFleet("g", "a", rand.New(rand.NewPCG(1, 2)))
	f.UseSpeeds()
	f.Update(engines(1100), func(string) int { return 55000 })
	names := []string{"g"}
	for i := range 369 {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	f.SetGateways(names)
	learn(f, 1100, unevenSpeed)
	return f
}
