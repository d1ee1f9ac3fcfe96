package generations

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	defaultMaxTokens = 256
	// maxTokensLimit bounds the token log that an entry and an agent keep.
	maxTokensLimit = 131072
	// maxStopSequences is the number of stop sequences that the completions format allows.
	maxStopSequences = 4
	// defaultTimeout applies if neither the service nor the request sets a timeout.
	defaultTimeout = 15 * time.Minute
)

// body holds the supported fields of a completions or chat completions request.
type body struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	N                   *int            `json:"n"`
	DeadlineMS          *int64          `json:"deadline_ms"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parsedRequest is a validated request.
type parsedRequest struct {
	service        string
	stream         bool
	prompt         string
	promptTokenIDs []uint32
	sampling       *wire.Sampling
	seedGiven      bool
	deadline       time.Duration // from the start; 0 if not set
}

func malformed(format string, args ...any) error {
	return result.New(result.MalformedRequest, format, args...)
}

// parseRequest reads and validates a request. Its errors are MalformedRequest and
// RequestTooLarge.
func parseRequest(w http.ResponseWriter, r *http.Request, maxBytes int64, chat bool) (*parsedRequest, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.RequestTooLarge, "the body exceeds %d bytes", maxBytes)
	}
	if err != nil {
		return nil, malformed("the body cannot be read: %v", err)
	}
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, malformed("the body is not a valid request: %v", err)
	}
	if b.Model == "" {
		return nil, malformed("field model is missing")
	}
	if b.N != nil && *b.N != 1 {
		return nil, malformed("field n must be 1")
	}
	p := &parsedRequest{service: b.Model, stream: b.Stream, seedGiven: b.Seed != nil}
	if err := p.setPrompt(&b, chat); err != nil {
		return nil, err
	}
	if p.sampling, err = b.sampling(); err != nil {
		return nil, err
	}
	if b.DeadlineMS != nil {
		if *b.DeadlineMS <= 0 || *b.DeadlineMS > math.MaxInt32 {
			return nil, malformed("field deadline_ms must be between 1 and %d", math.MaxInt32)
		}
		p.deadline = time.Duration(*b.DeadlineMS) * time.Millisecond
	}
	return p, nil
}

func (p *parsedRequest) setPrompt(b *body, chat bool) error {
	if chat {
		prompt, err := chatPrompt(b.Messages)
		p.prompt = prompt
		return err
	}
	var texts []string
	switch {
	case json.Unmarshal(b.Prompt, &p.prompt) == nil && p.prompt != "":
		return nil
	case json.Unmarshal(b.Prompt, &texts) == nil && len(texts) == 1 && texts[0] != "":
		p.prompt = texts[0]
		return nil
	case json.Unmarshal(b.Prompt, &p.promptTokenIDs) == nil && len(p.promptTokenIDs) > 0:
		return nil
	}
	return malformed("field prompt must be one string or one list of token ids")
}

// chatPrompt renders messages as "role: text" lines, followed by the role of the reply.
func chatPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", malformed("field messages is missing")
	}
	var prompt strings.Builder
	for _, m := range messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		prompt.WriteString(m.Role + ": " + text + "\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", malformed("message content must be a string or a list of text parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", malformed("message part of type %q is not supported", part.Type)
		}
		text += part.Text
	}
	return text, nil
}

func (b *body) sampling() (*wire.Sampling, error) {
	s := &wire.Sampling{MaxTokens: defaultMaxTokens, Temperature: 1, TopP: 1, Seed: rand.Uint64()}
	limit := b.MaxTokens
	if limit == nil {
		limit = b.MaxCompletionTokens
	}
	if limit != nil {
		if *limit < 1 || *limit > maxTokensLimit {
			return nil, malformed("field max_tokens must be between 1 and %d", maxTokensLimit)
		}
		s.MaxTokens = uint32(*limit)
	}
	if b.Temperature != nil {
		s.Temperature = *b.Temperature
	}
	if b.TopP != nil {
		s.TopP = *b.TopP
	}
	if s.Temperature < 0 || s.TopP <= 0 || s.TopP > 1 {
		return nil, malformed("field temperature must not be negative and field top_p must be above 0 and at most 1")
	}
	if b.Seed != nil {
		s.Seed = uint64(*b.Seed)
	}
	stops, err := b.stopSequences()
	s.Stop = stops
	return s, err
}

func (b *body) stopSequences() ([]string, error) {
	if len(b.Stop) == 0 || bytes.Equal(b.Stop, []byte("null")) {
		return nil, nil
	}
	var single string
	if json.Unmarshal(b.Stop, &single) == nil {
		return []string{single}, nil
	}
	var list []string
	if json.Unmarshal(b.Stop, &list) != nil || len(list) > maxStopSequences {
		return nil, malformed("field stop must be a string or a list of at most %d strings", maxStopSequences)
	}
	return list, nil
}

// fingerprint hashes service, prompt and sampling. A seed that the entry chose is
// left out, so that a repeated request has the same fingerprint.
func (p *parsedRequest) fingerprint() uint64 {
	digest := xxhash.New()
	writeString := func(text string) {
		_, _ = digest.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	writeNumber := func(n uint64) {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, n))
	}
	writeString(p.service)
	writeString(p.prompt)
	writeNumber(uint64(len(p.promptTokenIDs)))
	for _, id := range p.promptTokenIDs {
		writeNumber(uint64(id))
	}
	writeNumber(uint64(p.sampling.MaxTokens))
	writeNumber(math.Float64bits(p.sampling.Temperature))
	writeNumber(math.Float64bits(p.sampling.TopP))
	if p.seedGiven {
		writeNumber(p.sampling.Seed)
	}
	for _, stop := range p.sampling.Stop {
		writeString(stop)
	}
	return digest.Sum64()
}
