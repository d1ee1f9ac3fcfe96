package gateway

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/wire"
)

// packLoads encodes loads as lists with one entry for each target: with ids and a message for each
// target they took up to 35 bytes for a target, and most of the time to decode an exchange.
func packLoads(loads []placement.ReportedLoad) *wire.PackedLoads {
	packed := &wire.PackedLoads{
		Targets: make([]uint32, len(loads)), BacklogMs: make([]uint32, len(loads)), MemoryTokens: make([]uint32, len(loads)),
		Streams: make([]uint32, len(loads)), Copies: make([]uint32, len(loads)),
	}
	for i, load := range loads {
		packed.Targets[i], packed.BacklogMs[i] = uint32(load.Target), uint32(load.Backlog.Milliseconds())
		packed.MemoryTokens[i], packed.Streams[i], packed.Copies[i] = uint32(load.Memory), uint32(load.Streams), uint32(load.Copies)
	}
	return packed
}

// unpackLoads returns the loads in a message of another gateway, also of an earlier version. Lists
// of different lengths are ignored.
func unpackLoads(msg *wire.GatewayState) []placement.ReportedLoad {
	packed := msg.PackedLoads
	if packed == nil {
		loads := make([]placement.ReportedLoad, 0, len(msg.Loads))
		for _, l := range msg.Loads {
			loads = append(loads, reportedLoad(placement.KeyOf(l.Target), l.BacklogMs, l.MemoryTokens, l.Streams, l.Copies))
		}
		return loads
	}
	n := len(packed.Targets)
	if len(packed.BacklogMs) != n || len(packed.MemoryTokens) != n || len(packed.Streams) != n || len(packed.Copies) != n {
		return nil
	}
	loads := make([]placement.ReportedLoad, 0, n)
	for i, target := range packed.Targets {
		loads = append(loads, reportedLoad(placement.TargetKey(target), packed.BacklogMs[i], packed.MemoryTokens[i], packed.Streams[i], packed.Copies[i]))
	}
	return loads
}

func reportedLoad(target placement.TargetKey, backlogMS, memory, streams, copies uint32) placement.ReportedLoad {
	return placement.ReportedLoad{Target: target, PeerLoad: placement.PeerLoad{
		Backlog: time.Duration(backlogMS) * time.Millisecond, Memory: int(memory), Streams: int(streams), Copies: int(copies),
	}}
}
