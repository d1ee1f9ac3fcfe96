package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bramleygap/internal/benchsize"
	"bramleygap/internal/core/tokenlog"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// benchAttempts is the number of attempts on the engine, all of which are replicated.
const benchAttempts = 16

// BenchmarkDueBatches measures one replication interval in which no record is due.
func BenchmarkDueBatches(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		a := newAgent(Options{Settings: settings.Agent{TargetKind: kindModel, Zone: size.Zone(0)}, Logger: zerolog.Nop()}, size.AgentAddress(0), "i")
		var agents []*wire.AgentAddress
		for i := range size.Agents {
			agents = append(agents, &wire.AgentAddress{Address: size.AgentAddress(i), Zone: size.Zone(i), Service: size.Service(i)})
		}
		ref := uint64(0)
		a.agentLists.setReference(&ref, a.agentLists.add(agents))
		for i := range benchAttempts {
			generation := fmt.Sprintf("f81d4fae-7dec-11d0-a765-00a0c91e%04x", i)
			log, err := a.store.Start(now, tokenlog.StartOptions[spec]{Generation: generation, Attempt: 1, Spec: generationSpec(generation, 9)})
			if err != nil {
				b.Fatal(err)
			}
			a.attempts[generation] = &attempt{log: log, changed: make(chan struct{})}
		}
		later := now.Add(time.Minute)
		for b.Loop() {
			a.dueBatches(later, time.Second)
		}
	})
}
