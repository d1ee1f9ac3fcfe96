package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// EffectHeader with the value EffectNone marks an error response to a request
	// that was refused before it took effect.
	EffectHeader = "Platform-Effect"
	EffectNone   = "none"

	defaultTimeout = 2 * time.Second
	// maxResponseBytes bounds one response of the platform.
	maxResponseBytes = 64 << 20
	maxIdleConns     = 32
)

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// Client is an HTTP client of the platform's services; it implements Table,
// ObjectStore and VMList and is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the platform's base URL without a trailing slash.
	BaseURL string
	// Timeout bounds one request; 0 means 2 s.
	Timeout time.Duration
}

var (
	_ Table       = (*Client)(nil)
	_ ObjectStore = (*Client)(nil)
	_ VMList      = (*Client)(nil)
)

// NewClient returns a client of the platform at the base URL.
func NewClient(options ClientOptions) *Client {
	timeout := options.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		// The default of 10 MB would occupy far more when parsed.
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{
		base:    strings.TrimSuffix(options.BaseURL, "/"),
		timeout: timeout,
		http: &http.Client{
			Transport: transport,
			// A redirected write could take effect where a later read does not see it.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Commit implements Table. A conflict is a result, not an error.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return TxnResult{}, fmt.Errorf("%w: encode transaction: %w", ErrRefused, err)
	}
	var result TxnResult
	err = c.doJSON(ctx, http.MethodPost, "/v1/txn", body, &result)
	return result, err
}

// Get implements Table. An absent key is a Row with revision 0.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.doJSON(ctx, http.MethodGet, "/v1/get?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// List implements Table. Rows are sorted by key; limit 0 means the limit of the service.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]Row, error) {
	var rows []Row
	path := "/v1/list?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	err := c.doJSON(ctx, http.MethodGet, path, nil, &rows)
	return rows, err
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), value)
	return err
}

// GetObject implements ObjectStore. Errors wrap ErrUnavailable, ErrRefused or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.doJSON(ctx, http.MethodGet, "/v1/vms", nil, &vms)
	return vms, err
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) doJSON(ctx context.Context, method, path string, body []byte, dest any) error {
	data, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, dest); err != nil {
		return fmt.Errorf("%w: %s %s: decode response: %w", ErrUnavailable, method, path, err)
	}
	return nil
}

// do sends one request. The transport resends it on a new connection only when no
// byte was written on the first, or when it is a GET.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classify(method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %s %s: read response: %w", ErrUnavailable, method, path, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, statusError(method, path, response)
	}
	return data, nil
}

// classify distinguishes a connection that was never established (ErrRefused) from an
// exchange that failed later (ErrUnavailable).
func classify(method, path string, err error) error {
	kind := ErrUnavailable
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		kind = ErrRefused
	}
	return fmt.Errorf("%w: %s %s: %w", kind, method, path, err)
}

func statusError(method, path string, response *http.Response) error {
	detail := fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	switch {
	case response.StatusCode == http.StatusNotFound && method == http.MethodGet:
		return fmt.Errorf("%w: %w", ErrNotFound, detail)
	case response.StatusCode == http.StatusTooManyRequests,
		response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(EffectHeader) == EffectNone:
		return fmt.Errorf("%w: %w", ErrRefused, detail)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, detail)
}
