// Package adoption decides which revision of the operator configuration is active on a node
// and tracks which nodes have acknowledged it.
package adoption

import (
	"slices"

	"bramleygap/internal/opconfig"
)

// Adopted is the revision of the operator configuration that is active on a node.
type Adopted struct {
	// Revision is the table revision of the text; higher revisions replace lower ones.
	Revision uint64
	Text     string
	Config   *opconfig.Config
	// Operator and ChangeID identify the change that wrote the revision.
	Operator string
	ChangeID string
}

// Candidate is a revision offered by the table or by another node.
type Candidate struct {
	Revision uint64
	Text     string
	Operator string
	ChangeID string
}

// Decide returns the configuration that is active on a node after it was offered the
// candidate: the candidate if its revision is higher and its text is valid, otherwise
// current, which may be nil. The error says why a higher revision was not adopted.
func Decide(current *Adopted, candidate Candidate) (*Adopted, error) {
	if candidate.Revision <= RevisionOf(current) {
		return current, nil
	}
	config, err := opconfig.Parse(candidate.Text)
	if err != nil {
		return current, err
	}
	return &Adopted{
		Revision: candidate.Revision,
		Text:     candidate.Text,
		Config:   config,
		Operator: candidate.Operator,
		ChangeID: candidate.ChangeID,
	}, nil
}

// RevisionOf returns the revision of a, or 0 for nil.
func RevisionOf(a *Adopted) uint64 {
	if a == nil {
		return 0
	}
	return a.Revision
}

// Ack is a node's acknowledgement that a revision is active on it.
type Ack struct {
	Node        string
	Incarnation uint64
	Revision    uint64
}

// Acks holds the newest acknowledgement of each node.
type Acks struct{ nodes map[string]Ack }

// NewAcks returns an empty Acks.
func NewAcks() *Acks { return &Acks{nodes: make(map[string]Ack)} }

// Observe records an acknowledgement and reports whether it is newer than the recorded one.
// A restarted node starts without a configuration, so a higher incarnation replaces the old
// acknowledgement even with a lower revision; delayed messages of an old incarnation and
// lower revisions of the same one are ignored.
func (a *Acks) Observe(ack Ack) bool {
	old, ok := a.nodes[ack.Node]
	if ok && ack.Incarnation < old.Incarnation {
		return false
	}
	if ok && ack.Incarnation == old.Incarnation && ack.Revision <= old.Revision {
		return false
	}
	a.nodes[ack.Node] = ack
	return true
}

// Get returns the newest acknowledgement of a node.
func (a *Acks) Get(node string) (Ack, bool) {
	ack, ok := a.nodes[node]
	return ack, ok
}

// Remove removes the acknowledgement of a node that left the installation.
func (a *Acks) Remove(node string) { delete(a.nodes, node) }

// Missing returns the live nodes that have not acknowledged the revision or a higher one,
// sorted by name.
func (a *Acks) Missing(revision uint64, live []string) []string {
	var missing []string
	for _, node := range live {
		if ack, ok := a.nodes[node]; !ok || ack.Revision < revision {
			missing = append(missing, node)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}
