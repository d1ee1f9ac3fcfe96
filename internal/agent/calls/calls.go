// Package calls runs HTTP exchanges with an application engine on behalf of entries and
// reports whether a byte may have been written to the engine.
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

	"bramleygap/internal/engineapi"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// CallIDHeader carries the call ID to the application engine, for its logs.
	CallIDHeader = "Bramleygap-Call-Id"

	defaultMaxResponseBytes = 8 << 20
	defaultDialTimeout      = time.Second
	defaultCallTimeout      = 30 * time.Second
	// maxTrackedCallIDs bounds the set of call IDs for duplicate detection, about 6 MB.
	// Duplicates arrive within seconds, so a minute of calls is enough.
	maxTrackedCallIDs = 1 << 16
	maxIdleConns      = 64
	// maxStatus is the highest status that HTTP defines a class for.
	maxStatus = 599
	// writeGrace is how long a response that has ended with its connection waits for the write of its request to end.
	// A connection that was reset ends it at once.
	writeGrace = 100 * time.Millisecond
)

// hopByHop lists the hop-by-hop headers and those that the transport sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Options configures a Handler.
type Options struct {
	// TargetURL is the base URL of the application engine.
	TargetURL string
	// Service is the engine's service. Calls for another service are refused, since an entry
	// may use a stale address. If empty, all calls are accepted.
	Service string
	// MaxResponseBytes bounds a response body; 0 means 8 MiB.
	MaxResponseBytes int64
	// DialTimeout bounds the connection setup; 0 means 1 s.
	DialTimeout time.Duration
	Registerer  prometheus.Registerer
	Logger      zerolog.Logger
}

// Handler runs calls. It is safe for concurrent use.
type Handler struct {
	options  Options
	target   *url.URL
	dialer   *net.Dialer
	pooled   *http.Transport
	seenIDs  *idSet
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
		seenIDs: newIDSet(maxTrackedCallIDs),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_agent_calls_total",
			Help: "Exchanges with the application engine by result code and by whether a byte may have been written.",
		}, []string{"code", "dispatched"}),
	}
	handler.pooled = handler.transport(handler.dialer.DialContext)
	handler.pooled.MaxIdleConnsPerHost = maxIdleConns
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
		// An engine that sends a header without end would fill the memory of the agent.
		MaxResponseHeaderBytes: engineapi.MaxHeaderBytes,
	}
}

// Running returns the number of exchanges in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Close closes idle connections.
func (h *Handler) Close() { h.pooled.CloseIdleConnections() }

// Call runs one exchange. The code is OK if the engine responded, with any status.
// Dispatched is false only if it is certain that no byte was written to the engine.
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
		return failureResponse(result.TargetUnreachable, false, "this agent serves service "+h.options.Service)
	}
	deadline := time.Now().Add(defaultCallTimeout)
	if call.DeadlineUnixMs != 0 {
		deadline = time.UnixMilli(call.DeadlineUnixMs)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, err := h.request(ctx, call)
	if err != nil {
		return failureResponse(result.MalformedRequest, false, err.Error())
	}
	if call.Once {
		return h.callOnce(ctx, call, request)
	}
	return h.callPooled(request)
}

// callOnce runs a non-repeatable call on a connection of its own.
func (h *Handler) callOnce(ctx context.Context, call *wire.CallRequest, request *http.Request) *wire.CallResponse {
	if call.CallId == "" {
		return failureResponse(result.MalformedRequest, false, "non-repeatable call without a call id")
	}
	if !h.seenIDs.add(call.CallId) {
		return failureResponse(result.OutcomeUnknown, true, "duplicate call id; the first call may have run")
	}
	raw, err := h.dialer.DialContext(ctx, "tcp", h.target.Host)
	if err != nil {
		return failureResponse(result.TargetUnreachable, false, err.Error())
	}
	conn := &onceConn{Conn: raw}
	defer func() { _ = conn.Close() }()
	transport := h.transport(dialOnce(conn))
	transport.DisableKeepAlives = true
	defer transport.CloseIdleConnections()
	upload := newUpload()
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, upload.trace())))
	if err != nil {
		return transportFailure(ctx, conn.seal(), err)
	}
	return h.readResponse(response, upload)
}

// callPooled runs a repeatable call on a pooled connection.
func (h *Handler) callPooled(request *http.Request) *wire.CallResponse {
	var mayHaveWritten atomic.Bool
	upload := newUpload()
	trace := upload.trace()
	// From now on the transport may write at any time.
	trace.GotConn = func(httptrace.GotConnInfo) { mayHaveWritten.Store(true) }
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := h.pooled.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return transportFailure(ctx, mayHaveWritten.Load(), err)
	}
	return h.readResponse(response, upload)
}

// request builds the request to the engine. GetBody is not set, so that the transport cannot
// resend the body.
func (h *Handler) request(ctx context.Context, call *wire.CallRequest) (*http.Request, error) {
	path, err := url.ParseRequestURI(call.Path)
	if err != nil || !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("invalid path %q", call.Path)
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

// copyHeaders copies the end-to-end headers. net/http.Transport resends a request that failed
// on a reused connection if its header map has the canonical key "Idempotency-Key" or
// "X-Idempotency-Key", because it assumes that the server removes duplicates. A lower-case
// map key prevents this; the header is still sent, and the engine ignores the case of names.
func copyHeaders(dst http.Header, headers []*wire.Header) {
	connectionSpecific := connectionHeaders(headers)
	for _, header := range headers {
		name := textproto.CanonicalMIMEHeaderKey(header.Name)
		switch {
		case slices.Contains(hopByHop, name) || slices.Contains(connectionSpecific, name):
		case name == "Idempotency-Key" || name == "X-Idempotency-Key":
			lower := strings.ToLower(name)
			dst[lower] = append(dst[lower], header.Value)
		default:
			dst.Add(name, header.Value)
		}
	}
}

// connectionHeaders returns the names listed in Connection headers, which are hop-by-hop.
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

// upload is the write of a request.
type upload struct {
	// written receives the error with which the write ended, nil for none.
	written chan error
}

func newUpload() *upload { return &upload{written: make(chan error, 1)} }

// trace returns a trace that records the end of the write.
func (u *upload) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case u.written <- info.Err:
		default:
		}
	}}
}

// complete waits a limited time for the end of the write and reports whether the request has been written completely.
func (u *upload) complete() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-u.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// endsWithConnection reports whether the end of a response is that of its connection.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// readResponse converts the engine's response. Redirects are not followed. A reset of the connection that the write of
// the request takes is not seen by reads, which end as after a whole response.
func (h *Handler) readResponse(response *http.Response, upload *upload) *wire.CallResponse {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, h.options.MaxResponseBytes+1))
	if err != nil {
		return failureResponse(result.ApplicationFailed, true, "reading the response failed: "+err.Error())
	}
	if int64(len(body)) > h.options.MaxResponseBytes {
		return failureResponse(result.ResponseTooLarge, true, fmt.Sprintf("response exceeds %d bytes", h.options.MaxResponseBytes))
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return failureResponse(result.OutcomeUnknown, true, fmt.Sprintf("engine sent the status %d", response.StatusCode))
	}
	if endsWithConnection(response) && !upload.complete() {
		return failureResponse(result.OutcomeUnknown, true, "connection ended before the request was written")
	}
	callResponse := &wire.CallResponse{Dispatched: true, Status: uint32(response.StatusCode), Body: body}
	var headers []*wire.Header
	for name, values := range response.Header {
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	connectionSpecific := connectionHeaders(headers)
	for _, header := range headers {
		if !slices.Contains(hopByHop, header.Name) && !slices.Contains(connectionSpecific, header.Name) {
			callResponse.Headers = append(callResponse.Headers, header)
		}
	}
	return callResponse
}

// transportFailure classifies the error of an exchange without a response.
func transportFailure(ctx context.Context, mayHaveWritten bool, err error) *wire.CallResponse {
	switch {
	case !mayHaveWritten:
		return failureResponse(result.TargetUnreachable, false, err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failureResponse(result.TargetSilent, true, err.Error())
	}
	return failureResponse(result.OutcomeUnknown, true, err.Error())
}

func failureResponse(code result.Code, dispatched bool, message string) *wire.CallResponse {
	return &wire.CallResponse{Code: uint32(code), Dispatched: dispatched, Message: message}
}
