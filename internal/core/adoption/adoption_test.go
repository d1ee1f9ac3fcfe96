package adoption

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

const validText = "[[service]]\nname = \"a\"\nkind = \"application\"\n[[service.route]]\nmethod = \"GET\"\npath = \"/x\"\n"

// Guards against a node that adopts a lower or invalid revision, or that does not end at the
// highest valid one, in whatever order revisions arrive.
func TestAdoptionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current *Adopted
		highest := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			candidate := Candidate{Revision: rapid.Uint64Range(0, 20).Draw(t, "revision"), Text: validText}
			if rapid.Bool().Draw(t, "invalid") {
				candidate.Text = "service = 1"
			} else {
				highest = max(highest, candidate.Revision)
			}
			before := RevisionOf(current)
			next, err := Decide(current, candidate)
			if RevisionOf(next) < before {
				t.Fatalf("reverted from %d to %d", before, RevisionOf(next))
			}
			if err != nil && next != current {
				t.Fatalf("adopted a rejected revision %d", RevisionOf(next))
			}
			current = next
		}
		if RevisionOf(current) != highest {
			t.Fatalf("revision %d is active, want %d", RevisionOf(current), highest)
		}
	})
}

// Guards against reporting a change as active on a node because of the acknowledgement of a
// process that has restarted since.
func TestRestartInvalidatesAcknowledgement(t *testing.T) {
	c := qt.New(t)
	acks := NewAcks()
	live := []string{"b", "a"}
	c.Assert(acks.Missing(7, live), qt.DeepEquals, []string{"a", "b"})
	c.Assert(acks.Observe(Ack{Node: "a", Incarnation: 1, Revision: 7}), qt.IsTrue)
	c.Assert(acks.Observe(Ack{Node: "b", Incarnation: 5, Revision: 8}), qt.IsTrue)
	c.Assert(acks.Missing(7, live), qt.HasLen, 0)
	c.Assert(acks.Observe(Ack{Node: "a", Incarnation: 2, Revision: 0}), qt.IsTrue)
	c.Assert(acks.Observe(Ack{Node: "a", Incarnation: 1, Revision: 9}), qt.IsFalse)
	c.Assert(acks.Missing(7, live), qt.DeepEquals, []string{"a"})
}
