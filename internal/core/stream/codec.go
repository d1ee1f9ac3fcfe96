package stream

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	maxEventIDBytes = 512
	// Generated ids are UUIDs of 36 bytes.
	maxGenerationBytes = 64
)

// ErrEventID is returned by ParseEventID for malformed input.
var ErrEventID = errors.New("malformed event id: want GENERATION.AGENT.INCARNATION.INDEX")

// EventID is the resume position that each event of a streamed response carries.
type EventID struct {
	Generation  string
	Agent       string // host:port of the agent that holds the log
	Attempt     uint32 // number of the attempt that wrote the log
	Incarnation uint64
	Index       uint64 // last token whose bytes were delivered completely
}

// String returns GENERATION.AGENT.INCARNATION.INDEX. AGENT is the base64url form of
// host:port/ATTEMPT: if several attempts have replicas, the number selects the one with the
// tokens that the caller received.
func (e EventID) String() string {
	agent := e.Agent + "/" + strconv.FormatUint(uint64(e.Attempt), 10)
	return e.Generation + "." + base64.RawURLEncoding.EncodeToString([]byte(agent)) +
		"." + strconv.FormatUint(e.Incarnation, 10) + "." + strconv.FormatUint(e.Index, 10)
}

// ParseEventID is the inverse of EventID.String. It accepts only the canonical form and
// otherwise returns ErrEventID.
func ParseEventID(text string) (EventID, error) {
	parts := strings.Split(text, ".")
	if len(text) > maxEventIDBytes || len(parts) != 4 || !validGeneration(parts[0]) {
		return EventID{}, ErrEventID
	}
	agent, agentErr := base64.RawURLEncoding.Strict().DecodeString(parts[1])
	incarnation, incarnationErr := strconv.ParseUint(parts[2], 10, 64)
	index, indexErr := strconv.ParseUint(parts[3], 10, 64)
	address, number, _ := cutLast(string(agent), "/")
	attempt, attemptErr := strconv.ParseUint(number, 10, 32)
	if agentErr != nil || attemptErr != nil || incarnationErr != nil || indexErr != nil || !validAgent(address) {
		return EventID{}, ErrEventID
	}
	id := EventID{Generation: parts[0], Agent: address, Attempt: uint32(attempt), Incarnation: incarnation, Index: index}
	if id.String() != text {
		return EventID{}, ErrEventID
	}
	return id, nil
}

func validGeneration(text string) bool {
	if text == "" || len(text) > maxGenerationBytes {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool {
		return r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

// validAgent reports whether text has the form host:port, in ASCII without spaces. The entry
// does not trust it: its own cluster state decides whether the agent exists.
func validAgent(text string) bool {
	host, port, ok := cutLast(text, ":")
	number, err := strconv.ParseUint(port, 10, 16)
	printable := !strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r >= utf8.RuneSelf })
	return ok && host != "" && printable && err == nil && number > 0
}

// cutLast slices text around the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C over the ids, 4 bytes big endian each. It continues from
// the checksum of the preceding ids, which is 0 at the start.
func Checksum(sum uint32, ids []uint32) uint32 {
	var word [4]byte
	for _, id := range ids {
		binary.BigEndian.PutUint32(word[:], id)
		sum = crc32.Update(sum, castagnoli, word[:])
	}
	return sum
}

// TextChecksum returns the CRC-32C over UTF-8 text. It continues from the checksum of the
// preceding text, which is 0 at the start.
func TextChecksum(sum uint32, text string) uint32 {
	return crc32.Update(sum, castagnoli, []byte(text))
}

// TextJoiner joins token bytes into text that is never cut inside a UTF-8 character.
type TextJoiner struct{ pending []byte }

// Add appends the bytes of a token and returns the text that is complete so far. While
// the last character is incomplete, the bytes stay pending and complete is false. Bytes
// that cannot become valid UTF-8 are replaced by U+FFFD.
func (j *TextJoiner) Add(token []byte) (text string, complete bool) {
	j.pending = append(j.pending, token...)
	if endsInsideRune(j.pending) {
		return "", false
	}
	return j.Flush(), true
}

// Flush returns the pending bytes as text.
func (j *TextJoiner) Flush() string {
	text := strings.ToValidUTF8(string(j.pending), "\uFFFD")
	j.pending = j.pending[:0]
	return text
}

func endsInsideRune(b []byte) bool {
	for back := 1; back < utf8.UTFMax && back <= len(b); back++ {
		tail := b[len(b)-back:]
		if utf8.RuneStart(tail[0]) {
			return !utf8.FullRune(tail)
		}
	}
	return false
}

// Agent is a candidate for the replica of a token log.
type Agent struct {
	Address string // host:port
	Zone    string
}

// ReplicaFor returns the agent that keeps the replica of a generation's log: the one
// with the highest rendezvous score among the agents outside ownZone, the zone of the
// serving agent. ok is false if there is none.
func ReplicaFor(generation, ownZone string, agents []Agent) (agent Agent, ok bool) {
	digest := xxhash.New()
	var best uint64
	for _, candidate := range agents {
		if ownZone != "" && candidate.Zone == ownZone {
			continue
		}
		score := replicaScore(digest, generation, candidate.Address)
		if !ok || score > best || (score == best && candidate.Address < agent.Address) {
			agent, best, ok = candidate, score, true
		}
	}
	return agent, ok
}

func replicaScore(digest *xxhash.Digest, generation, address string) uint64 {
	digest.Reset()
	_, _ = digest.WriteString(generation)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(address)
	return digest.Sum64()
}

// RankReplicas returns the agents outside ownZone in descending order of rendezvous
// score. An empty ownZone, for an unknown zone, excludes no agent.
func RankReplicas(generation, ownZone string, agents []Agent) []Agent {
	type scored struct {
		Agent
		score uint64
	}
	digest := xxhash.New()
	var candidates []scored
	for _, agent := range agents {
		if ownZone == "" || agent.Zone != ownZone {
			candidates = append(candidates, scored{agent, replicaScore(digest, generation, agent.Address)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Address, b.Address))
	})
	ranked := make([]Agent, len(candidates))
	for i, s := range candidates {
		ranked[i] = s.Agent
	}
	return ranked
}
