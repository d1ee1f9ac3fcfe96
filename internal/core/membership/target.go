// Package membership maintains one node's view of VMs and targets. View merges the agents'
// heartbeats with the platform's VM list, which lags behind; Registry holds targets that
// have no agent and register in the platform's store.
package membership

import "time"

// Kind distinguishes model engines from application engines.
type Kind int

// Target kinds.
const (
	KindModel Kind = iota + 1
	KindApplication
)

// Target is one model engine or application engine as reported by its agent.
type Target struct {
	Name        string
	VM          string
	Zone        string
	Address     string // host:port of the agent's gRPC server
	Incarnation uint64 // changes with each start of the agent
	Kind        Kind
	Service     string
	Versions    []string // loaded versions, empty for application engines
	Ready       bool
	Leaving     bool
	Suspected   bool // heartbeats are overdue
	Running     int
	Waiting     int
	Slots       int
	LoadAt      time.Time // time the load figures were measured
	// CachedBlocks is a bounded sample of the prefix blocks in the target's cache.
	CachedBlocks map[uint64]struct{}
}

// Usable reports whether new work may be sent to the target.
func (t *Target) Usable() bool { return t.Ready && !t.Leaving && !t.Suspected }

// HasVersion reports whether the target has loaded the version.
func (t *Target) HasVersion(version string) bool {
	for _, v := range t.Versions {
		if v == version {
			return true
		}
	}
	return false
}

// Snapshot is the immutable state of a View at one time.
type Snapshot struct {
	At      time.Time
	Targets []Target
}
