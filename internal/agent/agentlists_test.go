package agent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
	"bramleygap/internal/wire"
)

// Guards against a list that is kept without a reference, one that is dropped while a stream
// references it, and an agent that uses another list after all entries agree on one.
// Messages are lost, duplicated and reordered; streams restart.
func TestAgentListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Agent{}
		lists := make([][]*wire.AgentAddress, 4)
		for i := range lists {
			for j := range i + 1 {
				lists[i] = append(lists[i], &wire.AgentAddress{Address: fmt.Sprintf("10.0.%d.%d:1", i, j)})
			}
		}
		streams := []*watcher{{agent: a}, {agent: a}, {agent: a}}
		message := func(list int, full bool) *wire.EntryState {
			state := &wire.EntryState{AgentsVersion: (&agentLists{}).add(lists[list])}
			if full {
				state.Agents = lists[list]
			}
			return state
		}
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			i := rapid.IntRange(0, len(streams)-1).Draw(t, "stream")
			if rapid.Bool().Draw(t, "restart") {
				streams[i].close()
				streams[i] = &watcher{agent: a}
			}
			streams[i].applyAgentList(message(rapid.IntRange(0, 3).Draw(t, "list"), rapid.Bool().Draw(t, "full")))
			for _, w := range streams {
				if w.agentsVersion != 0 && a.agentLists.byVersion[w.agentsVersion] == nil {
					t.Fatalf("list %x is referenced by a stream and was dropped", w.agentsVersion)
				}
			}
		}
		last := message(rapid.IntRange(0, 3).Draw(t, "last"), false)
		for _, w := range streams {
			w.applyAgentList(last)
			if w.agentsVersion != last.AgentsVersion {
				w.applyAgentList(&wire.EntryState{AgentsVersion: last.AgentsVersion, Agents: listWithVersion(lists, last.AgentsVersion)})
			}
		}
		if a.agentLists.current != last.AgentsVersion || len(a.agentLists.byVersion) != 1 {
			t.Fatalf("current list is %x of %d, want %x as the only one", a.agentLists.current, len(a.agentLists.byVersion), last.AgentsVersion)
		}
	})
}

func listWithVersion(lists [][]*wire.AgentAddress, version uint64) []*wire.AgentAddress {
	for _, list := range lists {
		if (&agentLists{}).add(list) == version {
			return list
		}
	}
	return nil
}
