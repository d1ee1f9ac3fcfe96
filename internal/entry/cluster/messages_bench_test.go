package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleygap/internal/benchsize"
	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/delta"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// framingBytes is the size of the gRPC and HTTP/2 headers of one message on a stream.
const framingBytes = 14

func benchState(size benchsize.Size) *state {
	now := time.Now()
	m := New(Options{
		Settings:    settings.Entry{Name: "entry-000", Zone: size.Zone(0), PeerListen: size.EntryAddress(0)},
		Incarnation: uint64(now.UnixNano()),
	})
	s := newState(m, context.Background(), now)
	m.adopted.Store(&adoption.Adopted{Revision: 1800, Operator: "operator", ChangeID: "4f7c1e8ab2d94c35"})
	for i := range size.Agents {
		s.view.Heartbeat(now, membership.Report{Stream: 1, State: size.AgentState(i, size.Entries)})
	}
	for i := 1; i < size.Entries; i++ {
		s.observeEntry(Node{
			Name: fmt.Sprintf("entry/entry-%03d", i), Address: size.EntryAddress(i), Zone: size.Zone(i), Role: roleEntry,
			Incarnation: uint64(now.UnixNano()), Revision: 1800,
		}, now.UnixMilli(), true)
	}
	s.summariseAgents()
	for _, last := range s.view.States() {
		last.AgentsVersion = s.agentsVersion
	}
	return s
}

// exchangeSimulation builds the messages of one entry to random peers, which acknowledge each
// one. Every second all clocks and a fifth of the counters change.
type exchangeSimulation struct {
	s     *state
	size  benchsize.Size
	now   time.Time
	rng   *rand.Rand
	round int
}

// messagesPerSecond returns the number of messages in each direction: requests and responses
// of the exchanges that this entry or its peers start.
func (e *exchangeSimulation) messagesPerSecond() int {
	return 2 * min(exchangeFanout, e.size.Entries-1) * int(time.Second/exchangeInterval)
}

func (e *exchangeSimulation) nextMessage() int {
	rate := e.messagesPerSecond()
	for _, entry := range e.s.entries {
		entry.clock = e.now.Unix()
	}
	message := e.s.peerState()
	message.Evidence, message.Suspects = e.size.Evidence(), e.size.PeerState().Suspects
	for i, counter := range message.Evidence {
		counter.Requests += uint64((e.round + i%(5*rate)) / (5 * rate))
	}
	address := e.size.EntryAddress(1 + e.rng.IntN(e.size.Entries-1))
	e.s.manager.changes.makeDelta(message, address, e.now)
	data, _ := proto.Marshal(message)
	e.s.manager.changes.recordMerged(&wire.PeerState{
		Address: address, Incarnation: 1, KnownVersion: message.Version, KnownIncarnation: e.s.manager.options.Incarnation,
	}, e.now)
	e.round++
	e.now = e.now.Add(time.Second / time.Duration(rate))
	return len(data) + framingBytes
}

// bytesPerSecond returns the bytes per second in both directions, averaged over 20 s.
func (e *exchangeSimulation) bytesPerSecond() float64 {
	total, seconds := 0, 20
	for range seconds * e.messagesPerSecond() {
		total += e.nextMessage()
	}
	return 2 * float64(total) / float64(seconds)
}

// BenchmarkControlMessages builds and encodes the heartbeats of one second in both
// directions. It reports the bytes per second of an entry and an agent in a loaded
// installation.
func BenchmarkControlMessages(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		s := benchState(size)
		var toAgents, fromAgents int
		entryLinks := make([]delta.Codec[*wire.EntryState, *wire.AgentState], size.Agents)
		agentLinks := make([]delta.Codec[*wire.AgentState, *wire.EntryState], size.Agents)
		sequence := uint64(100_000)
		for b.Loop() {
			toAgents, fromAgents = 0, 0
			for i, last := range s.view.States() {
				sequence++
				message := entryLinks[i].Encode(s.entryState(last, false))
				data, _ := proto.Marshal(message)
				toAgents += len(data) + framingBytes
				_, _ = agentLinks[i].Decode(message)
				// The load, use and cached blocks of a loaded engine change every second.
				next := proto.CloneOf(last)
				next.Sequence, next.Running = sequence, uint32(sequence%100)
				for j, use := range next.UseHere {
					use.TokensPerSecond += float64(sequence) * float64(j+1)
				}
				for j := range next.CachedBlocks {
					next.CachedBlocks[j] += sequence
				}
				response := agentLinks[i].Encode(next)
				fromAgents += proto.Size(response) + framingBytes
				_, _ = entryLinks[i].Decode(response)
				s.view.Heartbeat(time.Now(), membership.Report{Stream: 1, State: next})
			}
			s.summariseAgents()
		}
		watch := float64(toAgents + fromAgents)
		b.ReportMetric(watch, "watch-B/s")
		peers := (&exchangeSimulation{s: s, size: size, now: time.Now(), rng: rand.New(rand.NewPCG(1, 2))}).bytesPerSecond()
		b.ReportMetric(peers, "exchange-B/s")
		b.ReportMetric(watch+peers, "entry-B/s")
		b.ReportMetric(watch/float64(size.Agents)*float64(size.Entries), "agent-B/s")
	})
}
