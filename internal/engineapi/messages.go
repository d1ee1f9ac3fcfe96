// Package engineapi contains the HTTP client of a model engine and its message types.
package engineapi

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Order kinds.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Cache event kinds.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// Finish reasons.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// blockBytes is the prompt length covered by one cache block: 16 tokens at the
// usual 4 bytes per token.
const blockBytes = 64

// GenerateRequest is the body of POST /generate.
type GenerateRequest struct {
	RequestID      string   `json:"request_id"`
	Model          string   `json:"model"`
	Version        string   `json:"version"`
	Adapter        string   `json:"adapter,omitempty"`
	Prompt         string   `json:"prompt"`
	PromptTokenIDs []uint32 `json:"prompt_token_ids,omitempty"`
	// PrefixTokenIDs are the tokens already generated; the first new token has index len(PrefixTokenIDs).
	PrefixTokenIDs []uint32 `json:"prefix_token_ids,omitempty"`
	// MaxTokens limits the length of the generation including the prefix.
	MaxTokens   uint32   `json:"max_tokens"`
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"top_p"`
	Seed        uint64   `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	// Priority orders the requests; higher runs first.
	Priority int32 `json:"priority"`
}

// StreamEvent is one event of the stream: the final one if FinishReason is set, a token otherwise.
type StreamEvent struct {
	Index        uint64 `json:"index"`
	ID           uint32 `json:"id"`
	Bytes        []byte `json:"bytes,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Tokens is the length of the generation including the prefix; set in the final event.
	Tokens uint64 `json:"tokens,omitempty"`
}

// CancelRequest is the body of POST /cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// Load is the response to GET /load.
type Load struct {
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
	Slots   uint32 `json:"slots"`
	// MeasuredUnixMS is the time of the measurement; engines report it with a delay.
	MeasuredUnixMS int64 `json:"measured_unix_ms"`
}

// CacheEvent reports that a prefix block was added to the cache or evicted from it.
type CacheEvent struct {
	Seq       uint64 `json:"seq"`
	Kind      string `json:"kind"`
	BlockHash uint64 `json:"block_hash"`
}

// CacheEvents is the response to GET /cache_events. The sequence numbers may have gaps.
type CacheEvents struct {
	Events    []CacheEvent `json:"events"`
	OldestSeq uint64       `json:"oldest_seq"`
	NewestSeq uint64       `json:"newest_seq"`
}

// Order is the body of POST /orders.
type Order struct {
	Fence   uint64 `json:"fence"`
	Sender  string `json:"sender"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
}

// Health is the response to GET /health. Fields that the engine does not report are empty.
type Health struct {
	// Instance changes with each start of the engine process.
	Instance string `json:"instance,omitempty"`
	// Versions are the loaded model versions.
	Versions []string `json:"versions,omitempty"`
}

// PromptBlockHashes returns the hashes of the complete leading blocks of a prompt, first
// block first. Each hash covers all text up to the end of its block, so equal hashes
// mean equal prefixes. Model, version and adapter are hashed too because caches are
// not shared between them.
func PromptBlockHashes(model, version, adapter, prompt string) []uint64 {
	digest := xxhash.New()
	for _, part := range []string{model, version, adapter} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.WriteString(part)
	}
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = digest.WriteString(prompt[:blockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// PromptTokenCount returns len(ids), or without ids an estimate at 4 bytes per token.
func PromptTokenCount(prompt string, ids []uint32) int {
	if len(ids) > 0 {
		return len(ids)
	}
	return (len(prompt) + 3) / 4
}
