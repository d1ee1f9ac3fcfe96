// Package cluster keeps one entry in contact with the agents, the other entries and
// the platform: membership, configuration and the state exchanged between entries.
package cluster

import "bramleygap/internal/wire"

// Delegate contributes to and merges the state that entries exchange. Its methods are
// called from the goroutines of a Manager and must not block.
type Delegate interface {
	// Contribute adds the delegate's own and merged state to an outgoing message.
	Contribute(*wire.PeerState)
	// Merge merges another entry's state; it is commutative and idempotent.
	Merge(*wire.PeerState)
}

// AgentObserver is called with each AgentState that is not stale; it must not block.
type AgentObserver interface {
	ObserveAgent(*wire.AgentState)
}
