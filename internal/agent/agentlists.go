package agent

import (
	"bramleygap/internal/core/membership"
	"bramleygap/internal/wire"
)

// agentLists holds the lists of agents that the watching entries name, by version, so
// that a list which several entries have is sent once. Agent.mu guards it.
type agentLists struct {
	lists map[uint64]*agentList
	// used is the version of the list that replicas are chosen from.
	used uint64
}

type agentList struct {
	agents []*wire.AgentAddress
	// holders is the number of Watch streams whose entry named the list last.
	holders int
}

func (l *agentLists) agents() []*wire.AgentAddress {
	if list := l.lists[l.used]; list != nil {
		return list.agents
	}
	return nil
}

// add keeps a list, to be held by a stream, and returns its version.
func (l *agentLists) add(agents []*wire.AgentAddress) uint64 {
	version := membership.AgentsVersion(agents)
	if l.lists[version] == nil {
		if l.lists == nil {
			l.lists = make(map[uint64]*agentList)
		}
		l.lists[version] = &agentList{agents: agents}
	}
	return version
}

// hold changes the list that one stream names from *held to version; an unknown version
// leaves it as it is, and 0 ends it. It then chooses the list to use again.
func (l *agentLists) hold(held *uint64, version uint64) {
	if version == *held || (version != 0 && l.lists[version] == nil) {
		return
	}
	if version != 0 {
		l.lists[version].holders++
	}
	if old := l.lists[*held]; old != nil {
		old.holders--
	}
	*held = version
	l.choose()
}

// choose uses the list that most entries name; among equals the longer one, since an entry
// that reaches few agents has a short one. The last list stays in use without holders.
func (l *agentLists) choose() {
	best := uint64(0)
	for version, list := range l.lists {
		if list.holders > 0 && l.better(version, best) {
			best = version
		}
	}
	if best != 0 {
		l.used = best
	}
	for version, list := range l.lists {
		if list.holders == 0 && version != l.used {
			delete(l.lists, version)
		}
	}
}

func (l *agentLists) better(version, than uint64) bool {
	a, b := l.lists[version], l.lists[than]
	switch {
	case b == nil:
		return true
	case a.holders != b.holders:
		return a.holders > b.holders
	case len(a.agents) != len(b.agents):
		return len(a.agents) > len(b.agents)
	}
	return version > than
}
