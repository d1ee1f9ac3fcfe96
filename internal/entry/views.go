package entry

import (
	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
)

// The components access the cluster manager through these methods, since some are built before it.

func (e *entry) config() *adoption.Adopted { return e.cluster.Config() }

func (e *entry) snapshot() *membership.Snapshot { return e.cluster.Snapshot() }

func (e *entry) withdraw(service, version, reason string) {
	e.cluster.Withdraw(service, version, reason)
}

func (e *entry) withdrawn(service, version string) bool {
	return e.cluster.Withdrawn(service, version)
}
