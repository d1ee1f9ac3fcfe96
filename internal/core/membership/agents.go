package membership

import (
	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/wire"
)

// AgentsVersion returns a digest of the agents and their order, or 0 for an empty list.
func AgentsVersion(agents []*wire.AgentAddress) uint64 {
	if len(agents) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, agent := range agents {
		for _, part := range [...]string{agent.GetAddress(), agent.GetZone(), agent.GetService()} {
			_, _ = digest.WriteString(part)
			_, _ = digest.WriteString("\x00")
		}
	}
	// 0 is reserved for the empty list.
	return max(1, digest.Sum64())
}
