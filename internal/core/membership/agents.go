package membership

import (
	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/wire"
)

// AgentsVersion returns the digest of a list of agents in its order, 0 for an empty one.
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
	// 0 stands for no list.
	return max(1, digest.Sum64())
}
