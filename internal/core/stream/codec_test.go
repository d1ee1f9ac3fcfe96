package stream

import (
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

// Guards against an event id that decodes to a different position than it encodes, and
// against panics on input from callers.
func FuzzParseEventID(f *testing.F) {
	f.Add(EventID{Generation: "0b1c-2", Agent: "127.0.0.1:9000", Attempt: 2, Incarnation: 7, Index: 41}.String())
	f.Add("g.MTI3LjAuMC4xOjE.1.18446744073709551616")
	f.Add("g.MTI3LjAuMC4xOjEvMg.01.1")
	f.Add("g.MTI3LjAuMC4xOjEvMDI.1.1")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err == nil && id.String() != text {
			t.Fatalf("%q decodes to %+v, which encodes to %q", text, id, id.String())
		}
	})
}

// Guards against text that is lost, repeated or cut inside a character, for any split of
// the bytes into tokens and a resumption after any complete token.
func TestTextJoinerPreservesText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		want := strings.ToValidUTF8(text, "\uFFFD")
		var tokens [][]byte
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, min(3, len(rest))).Draw(t, "bytes")
			tokens, rest = append(tokens, []byte(rest[:n])), rest[n:]
		}
		cut := rapid.IntRange(0, len(tokens)).Draw(t, "cut")
		var joiner TextJoiner
		got, resumed, resumeAt := "", "", 0
		for i, token := range tokens {
			part, complete := joiner.Add(token)
			got += part
			if !utf8.ValidString(part) {
				t.Fatalf("invalid part %q", part)
			}
			if complete && i < cut {
				resumed, resumeAt = got, i+1
			}
		}
		got += joiner.Flush()
		var second TextJoiner
		for _, token := range tokens[resumeAt:] {
			part, _ := second.Add(token)
			resumed += part
		}
		resumed += second.Flush()
		if got != want || resumed != want {
			t.Fatalf("got %q, resumed %q, want %q", got, resumed, want)
		}
	})
}

// Guards against a replica in the zone of the serving agent, and against a choice that
// depends on the order of the agents, which differs between processes.
func TestReplicaFor(t *testing.T) {
	c := qt.New(t)
	agents := []Agent{{"h1:1", "a"}, {"h2:1", "a"}, {"h3:1", "b"}, {"h4:1", "c"}}
	reversed := []Agent{agents[3], agents[2], agents[1], agents[0]}
	for _, generation := range []string{"g1", "g2", "g3", "g4"} {
		first, ok := ReplicaFor(generation, "a", agents)
		second, _ := ReplicaFor(generation, "a", reversed)
		c.Assert(RankReplicas(generation, "a", agents)[0], qt.Equals, first)
		c.Assert(ok, qt.IsTrue)
		c.Assert(first, qt.Equals, second)
		c.Assert(first.Zone, qt.Not(qt.Equals), "a")
	}
	_, ok := ReplicaFor("g1", "a", agents[:2])
	c.Assert(ok, qt.IsFalse)
}

// Guards against a change of the checksum, which callers compute themselves: CRC-32C over
// 4 bytes big endian for each id.
func TestChecksum(t *testing.T) {
	c := qt.New(t)
	// The ids encode to the bytes "12345678".
	whole := Checksum(0, []uint32{0x31323334, 0x35363738})
	c.Assert(whole, qt.Equals, Checksum(Checksum(0, []uint32{0x31323334}), []uint32{0x35363738}))
	c.Assert(whole, qt.Equals, uint32(0x6087809a))
}
