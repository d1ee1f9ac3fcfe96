// Package oncecall implements the state machine of one non-idempotent call. It claims the
// idempotency key, dispatches the call, stores the outcome and reads the row again when the
// response to a store request is lost. A call with a given key runs at most once, whatever
// faults occur in the store, the entries and the target.
package oncecall

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"bramleygap/internal/result"
)

const (
	// Retention is how long a claim reserves its key.
	Retention = 24 * time.Hour
	// MaxStoredBody bounds the response body stored for repeated requests, in bytes.
	MaxStoredBody = 64 << 10

	keyPrefix = "claim/"
)

// State is the progress of a claim.
type State string

// States of a claim. Only a claim in StateClaimed may be taken over by another entry.
const (
	StateClaimed    State = "claimed"
	StateDispatched State = "dispatched"
	StateDone       State = "done"
)

// Claim is the value of a table row claim/SERVICE/ACCOUNT/HASH.
type Claim struct {
	State State `json:"state"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"key"`
	// RequestHash binds the key to method, path and body.
	RequestHash string `json:"request_hash"`
	// CallID is unique to one received request, so that a machine recognises its own
	// write when it reads the row back.
	CallID      string `json:"call_id"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch counts takeovers.
	Epoch uint64 `json:"epoch"`
	// CreatedUnixMS is when the key was first claimed; takeovers keep it.
	CreatedUnixMS int64 `json:"created_unix_ms"`
	// ClaimedUnixMS is when the current owner claimed the key. Other entries use it to
	// estimate whether the owner is still alive; only the compare-and-set is conclusive.
	ClaimedUnixMS int64 `json:"claimed_unix_ms"`
	// DeadlineUnixMS is when the owner stops waiting for the target.
	DeadlineUnixMS int64    `json:"deadline_unix_ms"`
	Outcome        *Outcome `json:"outcome,omitempty"`
}

// Header is one header of a stored response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Outcome is the result of a call.
type Outcome struct {
	// Code is result.OK if the target responded.
	Code    result.Code `json:"code"`
	Message string      `json:"message,omitempty"`
	Status  int         `json:"status,omitempty"`
	Headers []Header    `json:"headers,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	// Truncated is set in the stored outcome if the body exceeded MaxStoredBody and was omitted.
	Truncated bool `json:"truncated,omitempty"`
}

// RowKey returns the table key of a claim. The caller's key is hashed, so that it may
// contain any character and a sweep can split the rows evenly.
func RowKey(service, account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return RowPrefix(service, account) + hex.EncodeToString(sum[:])
}

// RowPrefix returns the prefix of all claims of an account for a service.
func RowPrefix(service, account string) string { return keyPrefix + service + "/" + account + "/" }

// RequestHash returns the hash that binds a key to one request.
func RequestHash(method, path string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d %s %d %s ", len(method), method, len(path), path)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Encode returns the row value.
func (c Claim) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return data
}

// Decode parses a row value.
func Decode(value []byte) (Claim, error) {
	var claim Claim
	err := json.Unmarshal(value, &claim)
	return claim, err
}

// Expired reports whether the claim no longer reserves its key and may be deleted.
func (c Claim) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(c.CreatedUnixMS)) >= Retention
}

func (o Outcome) forStorage() *Outcome {
	if len(o.Body) > MaxStoredBody {
		o.Body = nil
		o.Truncated = true
	}
	return &o
}
