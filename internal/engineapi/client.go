package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// maxResponseBytes bounds the response body of any request but /generate.
	maxResponseBytes = 8 << 20
	maxErrorBytes    = 4 << 10
)

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	StatusCode int
	Body       string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine returned status %d: %s", e.StatusCode, e.Body)
}

// Client is the HTTP client of one model engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine with the given base URL.
//
// Each request uses a new connection: on a broken reused connection the transport may
// resend a request, which would hide a crash of the engine.
func New(baseURL string) *Client {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: MaxHeaderBytes, DialContext: (&net.Dialer{}).DialContext}
	return &Client{base: baseURL, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Stream reads the response to one /generate request.
type Stream struct {
	body    io.ReadCloser
	decoder *Decoder
}

// Next returns the next event. io.EOF means that the stream ended without a final event.
func (s *Stream) Next() (StreamEvent, error) { return s.decoder.Next() }

// Close closes the connection, which makes the engine stop the generation.
func (s *Stream) Close() { _ = s.body.Close() }

// Generate starts a generation. The caller must close the stream.
func (c *Client) Generate(ctx context.Context, request GenerateRequest) (*Stream, error) {
	response, err := c.do(ctx, http.MethodPost, "/generate", request)
	if err != nil {
		return nil, err
	}
	return &Stream{body: response.Body, decoder: NewDecoder(response.Body)}, nil
}

// Cancel stops a generation. Cancelling one that is not running is not an error.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.exchange(ctx, http.MethodPost, "/cancel", CancelRequest{RequestID: requestID}, nil)
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.exchange(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// CacheEvents returns the retained cache events with sequence numbers above since.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.exchange(ctx, http.MethodGet, "/cache_events?since="+strconv.FormatUint(since, 10), nil, &events)
	return events, err
}

// Order sends an order. A *StatusError with status 409 means that the fencing token is stale.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.exchange(ctx, http.MethodPost, "/orders", order, nil)
}

// Health probes the engine.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var health Health
	err := c.exchange(ctx, http.MethodGet, "/health", nil, &health)
	return health, err
}

func (c *Client) exchange(ctx context.Context, method, path string, body, result any) error {
	response, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	if result == nil || len(data) == 0 {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, result), "decode response")
}

func (c *Client) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		request.GetBody = nil
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return nil, &StatusError{StatusCode: response.StatusCode, Body: string(bytes.TrimSpace(text))}
}

// IsConnectionError reports whether the connection was refused or broken, which indicates
// that no engine process serves the address. Timeouts and error statuses do not count.
func IsConnectionError(err error) bool {
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return false
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	var operation *net.OpError
	return errors.As(err, &operation) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// IsDialError reports whether the connection could not be established, so that the request
// cannot have reached the engine.
func IsDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
