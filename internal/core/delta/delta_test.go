package delta

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bramleygap/internal/benchsize"
	_ "bramleygap/internal/rapidseed"
	"bramleygap/internal/wire"
)

// connection is the pair of codecs of one stream.
type connection struct {
	agent *Codec[*wire.AgentState, *wire.EntryState]
	entry *Codec[*wire.EntryState, *wire.AgentState]
}

// Guards against decoding a state that differs from the one sent, when messages are lost,
// duplicated or reordered or the stream restarts, and against states that do not converge.
func TestBothSidesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		open := func() connection {
			return connection{&Codec[*wire.AgentState, *wire.EntryState]{}, &Codec[*wire.EntryState, *wire.AgentState]{}}
		}
		conn := open()
		var toEntry []*wire.AgentState
		var toAgent []*wire.EntryState
		agentStates, entryStates := map[uint64]*wire.AgentState{}, map[uint64]*wire.EntryState{}
		sequence := uint64(0)
		sendAgent := func() {
			sequence++
			full := &wire.AgentState{
				Sequence: sequence, Ready: rapid.Bool().Draw(t, "ready"), Running: uint32(rapid.IntRange(0, 2).Draw(t, "running")),
				Versions:     rapid.SampledFrom([][]string{nil, {"v1"}, {"v1", "v2"}}).Draw(t, "versions"),
				CachedBlocks: rapid.SampledFrom([][]uint64{nil, {1}, {2, 3}}).Draw(t, "blocks"),
			}
			agentStates[sequence] = proto.CloneOf(full)
			toEntry = append(toEntry, proto.CloneOf(conn.agent.Encode(full)))
		}
		sendEntry := func() {
			sequence++
			full := &wire.EntryState{Sequence: sequence, LeavingVms: rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, "leaving")}
			if rapid.Bool().Draw(t, "fence known") {
				full.HighestFence = proto.Uint64(uint64(rapid.IntRange(0, 2).Draw(t, "fence")))
			}
			entryStates[sequence] = proto.CloneOf(full)
			toAgent = append(toAgent, proto.CloneOf(conn.entry.Encode(full)))
		}
		receive := func(atEntry bool, i int) bool {
			if atEntry {
				got, err := conn.entry.Decode(toEntry[i])
				return err == nil && assertEqual(t, got, agentStates[got.Sequence])
			}
			got, err := conn.agent.Decode(toAgent[i])
			return err == nil && assertEqual(t, got, entryStates[got.Sequence])
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				sendAgent()
			case 1:
				sendEntry()
			case 2:
				if len(toEntry) > 0 {
					receive(true, rapid.IntRange(0, len(toEntry)-1).Draw(t, "message"))
				}
			case 3:
				if len(toAgent) > 0 {
					receive(false, rapid.IntRange(0, len(toAgent)-1).Draw(t, "message"))
				}
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					conn, toEntry, toAgent = open(), nil, nil
				}
			}
		}
		sendAgent()
		if !receive(true, len(toEntry)-1) {
			t.Fatal("the entry could not decode the state after a full exchange")
		}
		sendEntry()
		if !receive(false, len(toAgent)-1) {
			t.Fatal("the agent could not decode the state after a full exchange")
		}
	})
}

func assertEqual(t *rapid.T, got, want Message) bool {
	state := shallowCopy(got)
	if !proto.Equal(state, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	return true
}

// BenchmarkUnchanged measures a heartbeat in which only the sequence number changed.
func BenchmarkUnchanged(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		var agent Codec[*wire.AgentState, *wire.EntryState]
		var entry Codec[*wire.EntryState, *wire.AgentState]
		sequence, bytes := uint64(100_000), 0
		states := [2]*wire.AgentState{size.AgentState(0, size.Entries), size.AgentState(0, size.Entries)}
		for b.Loop() {
			sequence++
			full := shallowCopy(states[sequence%2])
			full.Sequence = sequence
			message := agent.Encode(full)
			bytes = proto.Size(message)
			if _, err := entry.Decode(message); err != nil {
				b.Fatal(err)
			}
			if _, err := agent.Decode(entry.Encode(&wire.EntryState{Sequence: sequence})); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(bytes), "wire-B/op")
	})
}
