// Package calls runs HTTP exchanges with an application engine on behalf of entries and
// reports for each whether a byte may have been written to the engine.
package calls

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// CallIDHeader names the call towards the application engine, for its logs.
	CallIDHeader = "Bramleygap-Call-Id"

	defaultMaxResponseBytes = 8 << 20
	defaultDialTimeout      = time.Second
	defaultCallTimeout      = 30 * time.Second
	// rememberedCalls bounds the set of call ids seen, about 6 MB. Resends come within
	// seconds, so the set need not cover more than a minute of calls.
	rememberedCalls = 1 << 16
	maxIdleConns    = 64
)

// hopByHop lists the headers that concern one connection only, and those that the
// transport sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Options configure a Handler.
type Options struct {
	// TargetURL is the base URL of the application engine.
	TargetURL string
	// Service is the service that the engine belongs to; calls for another service are
	// refused, since an entry may hold an old address. Empty accepts any.
	Service string
	// MaxResponseBytes bounds a response body; 0 means 8 MiB.
	MaxResponseBytes int64
	// DialTimeout bounds the connection setup; 0 means 1 s.
	DialTimeout time.Duration
	Registerer  prometheus.Registerer
	Logger      zerolog.Logger
}

// Handler runs calls; it is safe for concurrent use.
type Handler struct {
	options  Options
	target   *url.URL
	dialer   *net.Dialer
	shared   *http.Transport
	seen     *idSet
	running  atomic.Int64
	outcomes *prometheus.CounterVec
}

// New returns a handler for the application engine at options.TargetURL.
func New(options Options) (*Handler, error) {
	target, err := url.Parse(options.TargetURL)
	if err != nil {
		return nil, fmt.Errorf("target URL: %w", err)
	}
	if target.Scheme != "http" || target.Host == "" {
		return nil, fmt.Errorf("target URL %q is not of the form http://HOST:PORT", options.TargetURL)
	}
	if target.Port() == "" {
		target.Host = net.JoinHostPort(target.Hostname(), "80")
	}
	if options.MaxResponseBytes == 0 {
		options.MaxResponseBytes = defaultMaxResponseBytes
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	handler := &Handler{
		options: options,
		target:  target,
		dialer:  &net.Dialer{Timeout: options.DialTimeout},
		seen:    newIDSet(rememberedCalls),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_agent_calls_total",
			Help: "Exchanges with the application engine by result code and by whether a byte may have been written.",
		}, []string{"code", "dispatched"}),
	}
	handler.shared = handler.transport(handler.dialer.DialContext)
	handler.shared.MaxIdleConnsPerHost = maxIdleConns
	if options.Registerer != nil {
		options.Registerer.MustRegister(handler.outcomes)
	}
	return handler, nil
}

func (h *Handler) transport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:        dial,
		IdleConnTimeout:    time.Minute,
		DisableCompression: true,
	}
}

// Running returns the number of exchanges in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Close closes idle connections.
func (h *Handler) Close() { h.shared.CloseIdleConnections() }

// Call runs one exchange. The code is OK if the engine answered, with any status.
// Dispatched is false only on proof that no byte was written to the engine.
func (h *Handler) Call(ctx context.Context, call *wire.CallRequest) *wire.CallResponse {
	h.running.Add(1)
	defer h.running.Add(-1)
	response := h.call(ctx, call)
	code := result.Code(response.Code)
	h.outcomes.WithLabelValues(code.String(), fmt.Sprint(response.Dispatched)).Inc()
	event := h.options.Logger.Debug()
	if code != result.OK {
		event = h.options.Logger.Warn()
	}
	event.Str("call", call.CallId).Str("code", code.String()).Bool("dispatched", response.Dispatched).
		Uint32("status", response.Status).Str("detail", response.Message).Msg("call to application engine")
	return response
}

func (h *Handler) call(ctx context.Context, call *wire.CallRequest) *wire.CallResponse {
	if h.options.Service != "" && call.Service != h.options.Service {
		return failure(result.TargetUnreachable, false, "this agent serves "+h.options.Service)
	}
	deadline := time.Now().Add(defaultCallTimeout)
	if call.DeadlineUnixMs != 0 {
		deadline = time.UnixMilli(call.DeadlineUnixMs)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, err := h.request(ctx, call)
	if err != nil {
		return failure(result.MalformedRequest, false, err.Error())
	}
	if call.Once {
		return h.callOnce(ctx, call, request)
	}
	return h.callShared(request)
}

// callOnce runs a call that must not be repeated, on a connection of its own.
func (h *Handler) callOnce(ctx context.Context, call *wire.CallRequest, request *http.Request) *wire.CallResponse {
	if call.CallId == "" {
		return failure(result.MalformedRequest, false, "once-call without a call id")
	}
	if !h.seen.add(call.CallId) {
		// The first copy of this message may be running.
		return failure(result.OutcomeUnknown, true, "call id was received before")
	}
	raw, err := h.dialer.DialContext(ctx, "tcp", h.target.Host)
	if err != nil {
		return failure(result.TargetUnreachable, false, err.Error())
	}
	conn := &onceConn{Conn: raw}
	defer func() { _ = conn.Close() }()
	transport := h.transport(dialOnce(conn))
	transport.DisableKeepAlives = true
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return failed(ctx, conn.seal(), err)
	}
	return h.read(response)
}

// callShared runs a repeatable call on a pooled connection.
func (h *Handler) callShared(request *http.Request) *wire.CallResponse {
	var started atomic.Bool
	trace := &httptrace.ClientTrace{
		// From here on the transport may write at any time.
		GotConn: func(httptrace.GotConnInfo) { started.Store(true) },
	}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := h.shared.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return failed(ctx, started.Load(), err)
	}
	return h.read(response)
}

// request builds the request to the engine. The body has no GetBody, so that the
// transport cannot send it a second time.
func (h *Handler) request(ctx context.Context, call *wire.CallRequest) (*http.Request, error) {
	path, err := url.ParseRequestURI(call.Path)
	if err != nil || !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("path %q cannot be parsed", call.Path)
	}
	path.Scheme = h.target.Scheme
	path.Host = h.target.Host
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+h.target.Host, nil)
	if err != nil {
		return nil, err
	}
	request.URL = path
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	copyHeaders(request.Header, call.Headers)
	request.Header.Set(CallIDHeader, call.CallId)
	return request, nil
}

// copyHeaders copies end-to-end headers. net/http.Transport resends a request that
// failed on a reused connection if its header map has the key "Idempotency-Key" or
// "X-Idempotency-Key" in canonical spelling, because it assumes that the server
// removes duplicates. The lower-case map key is sent to the engine, for which header
// names have no case, but is not found by the transport.
func copyHeaders(into http.Header, headers []*wire.Header) {
	drop := connectionHeaders(headers)
	for _, header := range headers {
		name := textproto.CanonicalMIMEHeaderKey(header.Name)
		switch {
		case slices.Contains(hopByHop, name) || slices.Contains(drop, name):
		case name == "Idempotency-Key" || name == "X-Idempotency-Key":
			lower := strings.ToLower(name)
			into[lower] = append(into[lower], header.Value)
		default:
			into.Add(name, header.Value)
		}
	}
}

// connectionHeaders returns the headers that a Connection header declares hop-by-hop.
func connectionHeaders(headers []*wire.Header) []string {
	var names []string
	for _, header := range headers {
		if !strings.EqualFold(header.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(header.Value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// read reads the engine's answer; a redirect is an answer like any other.
func (h *Handler) read(response *http.Response) *wire.CallResponse {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, h.options.MaxResponseBytes+1))
	if err != nil {
		return failure(result.ApplicationFailed, true, "response broke off: "+err.Error())
	}
	if int64(len(body)) > h.options.MaxResponseBytes {
		return failure(result.ResponseTooLarge, true, fmt.Sprintf("response exceeds %d bytes", h.options.MaxResponseBytes))
	}
	answer := &wire.CallResponse{Dispatched: true, Status: uint32(response.StatusCode), Body: body}
	var headers []*wire.Header
	for name, values := range response.Header {
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	drop := connectionHeaders(headers)
	for _, header := range headers {
		if !slices.Contains(hopByHop, header.Name) && !slices.Contains(drop, header.Name) {
			answer.Headers = append(answer.Headers, header)
		}
	}
	return answer
}

// failed classifies an exchange without a response.
func failed(ctx context.Context, started bool, err error) *wire.CallResponse {
	switch {
	case !started:
		return failure(result.TargetUnreachable, false, err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure(result.TargetSilent, true, err.Error())
	}
	return failure(result.OutcomeUnknown, true, err.Error())
}

func failure(code result.Code, dispatched bool, message string) *wire.CallResponse {
	return &wire.CallResponse{Code: uint32(code), Dispatched: dispatched, Message: message}
}
