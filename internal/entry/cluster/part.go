// Package cluster keeps one entry in contact with the agents, the other entries and
// the platform: membership, configuration and the state exchanged between entries.
package cluster

import "bramleygap/internal/wire"

// Part contributes to and learns from the state that entries exchange. Both methods
// are called from the cluster's tasks and must not block.
type Part interface {
	// Contribute adds the part's own and merged state to an outgoing message.
	Contribute(*wire.PeerState)
	// Merge takes in another entry's state; it is commutative and idempotent.
	Merge(*wire.PeerState)
}

// AgentObserver sees each AgentState that an agent sends; it must not block.
type AgentObserver interface {
	ObserveAgent(*wire.AgentState)
}
