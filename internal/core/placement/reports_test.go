package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleygap/internal/core/membership"
	_ "bramleygap/internal/rapidseed"
)

type testReport struct {
	at    time.Time
	loads map[string]PeerLoad
}

// sumOfReports adds up the reports of all gateways for one target, and this gateway's own streams.
func sumOfReports(f *Fleet, at time.Time, id string, reports map[string]testReport) Load {
	t := f.targets[id]
	total := Load{Backlog: f.localBacklog(at, t), Memory: t.copyMemory, Streams: len(t.streams), Copies: t.copies}
	for _, s := range t.streams {
		total.Memory += s.size.memory()
	}
	for _, report := range reports {
		age := at.Sub(report.at)
		load, ok := report.loads[id]
		if !ok || age > peerLoadMaxAge {
			continue
		}
		total.Backlog += max(0, load.Backlog-age)
		total.Memory, total.Streams, total.Copies = total.Memory+load.Memory, total.Streams+load.Streams, total.Copies+load.Copies
	}
	return total
}

// Guards against sums that drift from the reports of other gateways, so that placement avoids an
// idle engine or overloads a busy one: reports are replaced, age, arrive out of order and name
// targets that are registered later, restart or leave, and own streams begin and end.
func TestSumsEqualReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("g", nil)
		reports := map[string]testReport{}
		type running struct {
			id, holder string
			stream     uint64
			size       GenerationSize
		}
		var streams []running
		at := now
		name := rapid.SampledFrom([]string{"p", "q", "r"})
		target := rapid.SampledFrom([]string{engineID(0), engineID(1), engineID(2)})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				at = at.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			case 1, 2:
				loads := map[string]PeerLoad{}
				for range rapid.IntRange(0, 3).Draw(t, "loads") {
					id := target.Draw(t, "id")
					loads[id] = PeerLoad{
						Backlog: time.Duration(rapid.IntRange(0, 3000).Draw(t, "backlog")) * time.Millisecond,
						Memory:  rapid.IntRange(0, 9000).Draw(t, "memory"), Streams: rapid.IntRange(0, 3).Draw(t, "streams"), Copies: rapid.IntRange(0, 3).Draw(t, "copies"),
					}
				}
				var reported []ReportedLoad
				for id, load := range loads {
					reported = append(reported, ReportedLoad{KeyOf(id), load})
				}
				peer, age := name.Draw(t, "peer"), time.Duration(rapid.IntRange(0, 500).Draw(t, "age"))*time.Millisecond
				reports[peer] = testReport{at.Add(-age), loads}
				f.SetPeerLoads(peer, at.Add(-age), reported)
			case 3:
				var list []membership.Registration
				for _, reg := range engines(3) {
					if rapid.Bool().Draw(t, "registered") {
						reg.StartUnixMS = uint64(rapid.IntRange(1, 2).Draw(t, "start"))
						list = append(list, reg)
					}
				}
				f.Update(list, func(string) int { return 55000 })
			case 4:
				s := running{id: target.Draw(t, "id"), holder: target.Draw(t, "holder"), size: typicalSize}
				s.stream = f.BeginStream(at, s.id, s.holder, s.size)
				streams = append(streams, s)
			case 5:
				if len(streams) > 0 {
					s := streams[0]
					streams = streams[1:]
					f.EndStream(at, s.id, s.holder, s.stream, s.size, false)
				}
			}
			for id := range f.targets {
				if got, want := f.Load(at, id), sumOfReports(f, at, id, reports); got != want {
					t.Fatalf("load of %s is %+v, the reports add up to %+v", id, got, want)
				}
			}
		}
	})
}

// Guards against sums that are kept for ever for targets that have left, with or without reports.
func TestSumsOfGoneTargetsAreDropped(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(12))
	for i := range 10 {
		f.SetPeerLoads(fmt.Sprint(i), now, []ReportedLoad{{KeyOf(engineID(i)), PeerLoad{Streams: 1}}})
	}
	f.Update(engines(1), func(string) int { return 55000 })
	f.expireReports(now.Add(peerLoadMaxAge + time.Millisecond))
	c.Check(f.peers, qt.HasLen, 0)
	c.Check(f.reported, qt.HasLen, 1)
}
