package agent

import (
	"bramleygap/internal/core/membership"
	"bramleygap/internal/wire"
)

// agentLists holds the agent lists that the watching entries reference, by version, so that
// a list that several entries have is sent only once. Agent.mu guards it.
type agentLists struct {
	byVersion map[uint64]*agentList
	// current is the version of the list from which replicas are chosen.
	current uint64
}

type agentList struct {
	agents []*wire.AgentAddress
	// refs is the number of Watch streams that reference the list.
	refs int
}

func (l *agentLists) agents() []*wire.AgentAddress {
	if list := l.byVersion[l.current]; list != nil {
		return list.agents
	}
	return nil
}

// add stores a list, to be referenced by a stream, and returns its version.
func (l *agentLists) add(agents []*wire.AgentAddress) uint64 {
	version := membership.AgentsVersion(agents)
	if l.byVersion[version] == nil {
		if l.byVersion == nil {
			l.byVersion = make(map[uint64]*agentList)
		}
		l.byVersion[version] = &agentList{agents: agents}
	}
	return version
}

// setReference changes the reference of one stream from *ref to version and selects the
// current list again. Version 0 removes the reference; an unknown version changes nothing.
func (l *agentLists) setReference(ref *uint64, version uint64) {
	if version == *ref || (version != 0 && l.byVersion[version] == nil) {
		return
	}
	if version != 0 {
		l.byVersion[version].refs++
	}
	if old := l.byVersion[*ref]; old != nil {
		old.refs--
	}
	*ref = version
	l.selectCurrent()
}

// selectCurrent selects the list with the most references and, among equals, the longest,
// since an entry that reaches few agents has a short list. The current list is kept if no
// list has a reference.
func (l *agentLists) selectCurrent() {
	best := uint64(0)
	for version, list := range l.byVersion {
		if list.refs > 0 && l.preferred(version, best) {
			best = version
		}
	}
	if best != 0 {
		l.current = best
	}
	for version, list := range l.byVersion {
		if list.refs == 0 && version != l.current {
			delete(l.byVersion, version)
		}
	}
}

func (l *agentLists) preferred(version, other uint64) bool {
	a, b := l.byVersion[version], l.byVersion[other]
	switch {
	case b == nil:
		return true
	case a.refs != b.refs:
		return a.refs > b.refs
	case len(a.agents) != len(b.agents):
		return len(a.agents) > len(b.agents)
	}
	return version > other
}
