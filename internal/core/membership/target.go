// Package membership keeps one node's view of VMs and targets, joined from
// heartbeats, the agents' own reports and the platform's lagging VM list.
package membership

import "time"

// Kind tells model engines from application engines.
type Kind int

// Target kinds.
const (
	KindModel Kind = iota + 1
	KindApplication
)

// Target is one model engine or application engine as seen through its agent.
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
	Suspected   bool // heartbeats are late
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

// Snapshot is an immutable view at one time.
type Snapshot struct {
	At      time.Time
	Targets []Target
}
