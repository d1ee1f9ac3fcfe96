package agent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bramleygap/internal/wire"
)

// Guards against a list that is kept without a stream that names it, against one that is
// dropped while an entry relies on it, and against an agent that still uses another list
// after all entries agreed. Messages are lost, repeated and reordered; streams restart.
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
			streams[i].takeAgents(message(rapid.IntRange(0, 3).Draw(t, "list"), rapid.Bool().Draw(t, "full")))
			for _, w := range streams {
				if w.agents != 0 && a.lists.lists[w.agents] == nil {
					t.Fatalf("list %x is named by a stream and was dropped", w.agents)
				}
			}
		}
		last := message(rapid.IntRange(0, 3).Draw(t, "last"), false)
		for _, w := range streams {
			w.takeAgents(last)
			if w.agents != last.AgentsVersion {
				w.takeAgents(&wire.EntryState{AgentsVersion: last.AgentsVersion, Agents: listOf(lists, last.AgentsVersion)})
			}
		}
		if a.lists.used != last.AgentsVersion || len(a.lists.lists) != 1 {
			t.Fatalf("list %x of %d in use, want %x alone", a.lists.used, len(a.lists.lists), last.AgentsVersion)
		}
	})
}

func listOf(lists [][]*wire.AgentAddress, version uint64) []*wire.AgentAddress {
	for _, list := range lists {
		if (&agentLists{}).add(list) == version {
			return list
		}
	}
	return nil
}
