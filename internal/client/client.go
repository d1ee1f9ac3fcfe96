// Package client is a client for the HTTP API of an entry. It streams completions,
// verifies their checksums, and sends calls to application services.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxEventBytes = 1 << 20
	maxErrorBytes = 64 << 10
	doneMarker    = "[DONE]"
)

// Request paths of generations.
const (
	PathCompletions = "/v1/completions"
	PathResume      = "/v1/generations/resume"
)

// Client sends requests to one entry or load balancer.
type Client struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// Key is the bearer key of the client account.
	Key string
	// HTTP is the underlying client; nil means http.DefaultClient.
	HTTP *http.Client
}

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
	Stream    bool   `json:"stream"`
}

// APIError is an error response or an error event.
type APIError struct {
	Status  int    `json:"-"`
	Code    uint32 `json:"code"`
	Type    string `json:"type"`
	Class   string `json:"class"`
	Message string `json:"message"`
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", e.Type, e.Code, e.Class, e.Message)
}

// Summary is the extension object of the final chunk.
type Summary struct {
	Generation string `json:"generation"`
	Tokens     int    `json:"tokens"`
	// Checksum is the CRC-32C over all token ids, 4 bytes big endian each.
	Checksum uint32 `json:"checksum"`
	// TextChecksum is the CRC-32C over the UTF-8 text of the whole generation.
	TextChecksum uint32 `json:"text_checksum"`
}

// Completion accumulates the output of one generation, received over one or more connections.
type Completion struct {
	Text strings.Builder
	// LastID is the id of the last event. It is sent as Last-Event-ID to resume.
	LastID       string
	FinishReason string
	Summary      Summary
	// Chunks counts the chunks with text; a chunk holds one or more tokens.
	Chunks int
	// Done is set when the terminal marker was received.
	Done bool
	// FirstToken is the time from the request to the first text.
	FirstToken time.Duration
	// LongestGap is the longest time between two chunks with text.
	LongestGap time.Duration

	lastTextAt time.Time
	// partial is set if the text before LastID was not received into this Completion.
	partial bool
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Intact reports whether the generation ended with its terminal event and the text
// matches the checksum in Summary. The checksum is not verified if the Completion started
// with a LastID but no text, because the earlier part of the text is missing.
func (c *Completion) Intact() bool {
	if !c.Done || c.FinishReason == "" {
		return false
	}
	return c.partial || crc32.Checksum([]byte(c.Text.String()), castagnoli) == c.Summary.TextChecksum
}

// Tokens returns the number of tokens received, derived from the token index in LastID.
func (c *Completion) Tokens() int {
	dot := strings.LastIndexByte(c.LastID, '.')
	index, err := strconv.Atoi(c.LastID[dot+1:])
	if err != nil {
		return 0
	}
	return index + 1
}

type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Bramleygap *Summary  `json:"bramleygap"`
	Error      *APIError `json:"error"`
}

// Complete streams the response into completion. If completion.LastID is set, the generation
// resumes after that event. onChunk, if not nil, is called after each chunk; returning false
// stops reading. Error responses and error events are returned as *APIError; other errors
// concern the transport or malformed data.
func (c *Client) Complete(ctx context.Context, request CompletionRequest, completion *Completion, onChunk func(*Completion) bool) error {
	request.Stream = true
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return c.receive(ctx, http.MethodPost, PathCompletions, raw, completion, onChunk)
}

// Resume continues the generation identified by completion.LastID. onChunk and errors are as in Complete.
func (c *Client) Resume(ctx context.Context, completion *Completion, onChunk func(*Completion) bool) error {
	return c.receive(ctx, http.MethodGet, PathResume, nil, completion, onChunk)
}

func (c *Client) receive(ctx context.Context, method, path string, body []byte, completion *Completion, onChunk func(*Completion) bool) error {
	started := time.Now()
	if completion.LastID != "" && completion.Text.Len() == 0 {
		completion.partial = true
	}
	response, err := c.do(ctx, method, path, body, http.Header{"Last-Event-Id": headerValues(completion.LastID)})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return completion.read(response.Body, started, onChunk)
}

// Call sends one request to an application service; key is the idempotency key, or empty.
// It returns the status and body of the application's response. Error responses of the
// system are returned as *APIError.
func (c *Client) Call(ctx context.Context, method, service, path string, body []byte, key string) (int, []byte, error) {
	response, err := c.do(ctx, method, "/"+service+path, body, http.Header{"Idempotency-Key": headerValues(key)})
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.Header.Get("Bramleygap-Code") != "" {
		return response.StatusCode, nil, readError(response)
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

func headerValues(value string) []string {
	if value == "" {
		return nil
	}
	return []string{value}
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		if len(values) > 0 {
			request.Header[name] = values
		}
	}
	// Prevents retries by the transport: the entry deduplicates requests by key, but the
	// caller would not see that a retry happened.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if c.HTTP != nil {
		return c.HTTP.Do(request)
	}
	return http.DefaultClient.Do(request)
}

func readError(response *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body chunk
	if err := json.Unmarshal(raw, &body); err != nil || body.Error == nil {
		return fmt.Errorf("error response with status %d: %s", response.StatusCode, raw)
	}
	body.Error.Status = response.StatusCode
	return body.Error
}

// read consumes server-sent events until the stream ends.
func (c *Completion) read(r io.Reader, started time.Time, onChunk func(*Completion) bool) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	id := ""
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			c.Done = true
			continue
		}
		var received chunk
		if err := json.Unmarshal([]byte(data), &received); err != nil {
			return fmt.Errorf("malformed chunk %q: %w", data, err)
		}
		if received.Error != nil {
			return received.Error
		}
		c.add(received, id, started)
		if onChunk != nil && !onChunk(c) {
			return nil
		}
	}
	return lines.Err()
}

func (c *Completion) add(received chunk, id string, started time.Time) {
	if id != "" {
		c.LastID = id
	}
	for _, choice := range received.Choices {
		c.addText(choice.Text, started)
		if choice.FinishReason != nil {
			c.FinishReason = *choice.FinishReason
		}
	}
	if received.Bramleygap != nil {
		c.Summary = *received.Bramleygap
	}
}

func (c *Completion) addText(text string, started time.Time) {
	if text == "" {
		return
	}
	now := time.Now()
	if c.Chunks == 0 {
		c.FirstToken = now.Sub(started)
	} else {
		c.LongestGap = max(c.LongestGap, now.Sub(c.lastTextAt))
	}
	c.lastTextAt = now
	c.Chunks++
	c.Text.WriteString(text)
}
