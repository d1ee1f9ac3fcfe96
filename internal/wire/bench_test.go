package wire_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"bramleygap/internal/benchsize"
	"bramleygap/internal/wire"
)

func benchmarkCodec(b *testing.B, message, decoded proto.Message) {
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = proto.Marshal(message)
		}
		b.ReportMetric(float64(proto.Size(message)), "wire-B/op")
	})
	data, _ := proto.Marshal(message)
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = proto.Unmarshal(data, decoded)
		}
	})
}

func BenchmarkAgentState(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		benchmarkCodec(b, size.AgentState(0, size.Entries), &wire.AgentState{})
	})
}

func BenchmarkEntryState(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		state := &wire.EntryState{
			Entry: size.EntryAddress(0), Incarnation: 1_800_000_000_000_000_000, Sequence: 100_000,
			ConfigRevision: 1800, UseElsewhere: size.MemberUse(), HighestFence: proto.Uint64(17),
		}
		for i := range size.Agents {
			state.Agents = append(state.Agents, &wire.AgentAddress{Address: size.AgentAddress(i), Zone: size.Zone(i), Service: size.Service(i)})
		}
		benchmarkCodec(b, state, &wire.EntryState{})
	})
}

func BenchmarkPeerState(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		benchmarkCodec(b, size.PeerState(), &wire.PeerState{})
	})
}
