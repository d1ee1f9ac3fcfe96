// Package tokenlog keeps the token logs of the generations that run or ran on one
// agent, and second copies of other agents' logs. It is pure: times are arguments.
package tokenlog

import (
	"errors"
	"hash/crc32"
	"time"
)

// Errors of the log and the store.
var (
	ErrGap        = errors.New("token index is not the next one")
	ErrEnded      = errors.New("log has ended")
	ErrNotFound   = errors.New("no log of this generation")
	ErrSuperseded = errors.New("a higher attach epoch or attempt exists")
	ErrRunning    = errors.New("an attempt of this generation is running")
	ErrFull       = errors.New("the running logs fill the store")
)

// Token is one token with its text bytes.
type Token struct {
	ID    uint32
	Bytes []byte
}

// End is how an attempt ended. Code 0 means that it finished.
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

// Log is the log of one attempt of a generation from absolute index 0, including
// the tokens that earlier attempts delivered. S is the generation's specification.
type Log[S any] struct {
	Generation string
	Attempt    uint32
	Spec       S
	// Started is when the attempt began here.
	Started time.Time

	epoch   uint64
	tokens  []Token
	size    int
	end     *End
	touched time.Time
}

// overheadBytes is the estimated memory of one log or token beside its text bytes.
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

// Read returns the tokens from an index on. The result must not be changed.
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
	l.touched = now
	return nil
}
