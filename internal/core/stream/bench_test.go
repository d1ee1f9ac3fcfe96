package stream

import (
	"fmt"
	"testing"
	"time"

	"bramleygap/internal/benchsize"
)

// BenchmarkToken measures the handling of one token, from its arrival to its consumption
// by the caller. The cost does not depend on the size of the installation.
func BenchmarkToken(b *testing.B) {
	b.ReportAllocs()
	now := time.Unix(1_800_000_000, 0)
	var m *Machine
	restart := func() {
		m = New(Options{})
		m.Step(now, Start{})
		m.Step(now, Assigned{Request: 1, Target: "t", Address: "10.2.0.1:7500", Incarnation: 1, Version: "v1"})
		m.Step(now, Accepted{Attempt: m.current.number, Epoch: 1, Incarnation: 1})
	}
	restart()
	ids, texts := []uint32{7}, [][]byte{[]byte("token")}
	for index := uint64(0); b.Loop(); index++ {
		if index == 2048 {
			restart()
			index = 0
		}
		effects := m.Step(now, Tokens{Attempt: m.current.number, First: index, IDs: ids, Bytes: texts})
		m.Step(now, Consumed{Events: len(effects)})
	}
}

func BenchmarkReplica(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		agents := make([]Agent, size.Agents)
		for i := range agents {
			agents[i] = Agent{Address: size.AgentAddress(i), Zone: size.Zone(i)}
		}
		for i := 0; b.Loop(); i++ {
			ReplicaFor(fmt.Sprint(i), size.Zone(0), agents)
		}
	})
}
