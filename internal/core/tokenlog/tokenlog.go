// Package tokenlog stores the token logs of the generations that run or ran on one agent,
// and replicas of other agents' logs. It reads no clock: times are passed as arguments.
package tokenlog

import (
	"errors"
	"hash/crc32"
	"time"
)

// Errors of Log and Store.
var (
	ErrGap        = errors.New("token index does not continue the log")
	ErrEnded      = errors.New("token log has ended")
	ErrNotFound   = errors.New("no token log for this generation")
	ErrSuperseded = errors.New("superseded by a higher attach epoch or attempt")
	ErrRunning    = errors.New("an attempt of this generation is still running")
	ErrFull       = errors.New("token log store is full of running logs")
)

// Token is one token with its text bytes.
type Token struct {
	ID    uint32
	Bytes []byte
}

// End is how an attempt ended. Code 0 means that it completed.
type End struct {
	Reason   string
	Tokens   uint64
	Checksum uint32

	Code         uint32
	Message      string
	TargetDied   bool
	Fingerprints []uint64
	DeathID      string
}

// Log is the token log of one attempt of a generation. It starts at index 0 and includes
// the tokens that earlier attempts delivered. S is the type of the generation's
// specification.
type Log[S any] struct {
	Generation string
	Attempt    uint32
	Spec       S
	// Started is when the attempt started on this agent or, for a replica, when its first
	// record arrived.
	Started time.Time

	epoch   uint64
	tokens  []Token
	size    int
	end     *End
	updated time.Time // last token or end
}

// Estimated memory of one log and of one token, without specification and text.
const (
	logOverheadBytes   = 512
	tokenOverheadBytes = 32
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Next returns the index of the next token.
func (l *Log[S]) Next() uint64 { return uint64(len(l.tokens)) }

// Epoch returns the highest attach epoch.
func (l *Log[S]) Epoch() uint64 { return l.epoch }

// End returns how the attempt ended, or nil while it runs.
func (l *Log[S]) End() *End { return l.end }

// Read returns the tokens from an index on. The caller must not modify them.
func (l *Log[S]) Read(from uint64) []Token {
	if from >= l.Next() {
		return nil
	}
	return l.tokens[from:len(l.tokens):len(l.tokens)]
}

// Checksum returns the CRC-32C over all token ids, 4 bytes big endian each.
func (l *Log[S]) Checksum() uint32 {
	var sum uint32
	for _, token := range l.tokens {
		id := [4]byte{byte(token.ID >> 24), byte(token.ID >> 16), byte(token.ID >> 8), byte(token.ID)}
		sum = crc32.Update(sum, castagnoli, id[:])
	}
	return sum
}

func (l *Log[S]) append(now time.Time, index uint64, token Token) error {
	if l.end != nil {
		return ErrEnded
	}
	if index != l.Next() {
		return ErrGap
	}
	l.tokens = append(l.tokens, token)
	l.size += tokenOverheadBytes + len(token.Bytes)
	l.updated = now
	return nil
}
