package gateway

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	stdlog "log"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/result"
)

const (
	// streamRetryAfter is the retry delay for refused streams. A lost target recovers or is
	// replaced within seconds, and the first event has a latency objective of seconds.
	streamRetryAfter = 800 * time.Millisecond
	// callRetryAfter is the retry delay for refused non-streaming requests.
	callRetryAfter = 100 * time.Millisecond
	// notReadyRetryAfter is the retry delay for requests refused without a desired state. It is
	// short because the load balancer sends the retry to another gateway.
	notReadyRetryAfter = 50 * time.Millisecond
	// desiredStateWait is how long a request waits for the first desired state. It allows for
	// two exchange rounds with other gateways or about 100 store calls.
	desiredStateWait = 400 * time.Millisecond
	// minStreamGrace is the rest of the grace period that a stream needs to complete. With less
	// time left, a stopping gateway refuses streams, so that clients use another gateway.
	minStreamGrace = 6500 * time.Millisecond
	// minCallGrace is the rest of the grace period that a call needs, unless its deadline comes sooner. The
	// users' calls have objectives of 0.1 to 0.3 s; one that lasts longer is answered as of unknown outcome.
	minCallGrace = 2 * time.Second
)

// clientRequest is the state of a client request.
type clientRequest struct {
	ctx     context.Context
	head    Request
	body    []byte
	route   *catalog.Route
	service string
	account string
	// identity identifies the request when it is repeated with another ID.
	identity      suspect.Request
	arrived       time.Time
	deadline      time.Time
	log           zerolog.Logger
	g             *Gateway
	configVersion uint64
	// configAge is how long before the request's admission the store confirmed the desired state.
	configAge time.Duration
	// parts identifies the parts of the prompt that other requests may share. verdict is the one by which
	// the request is rejected for them, and trial is set if it is sent although there is one.
	parts    []uint64
	verdict  *suspect.Verdict
	trial    atomic.Bool
	rejected bool
	// requestTrial is set if the request is sent although it is rejected for its content, and trialVerdict if it is
	// although a part of its prompt is condemned. The event loop owns both.
	requestTrial bool
	trialVerdict *suspect.Verdict
	// onTrial is set with either of them, for the tasks of the attempts.
	onTrial          atomic.Bool
	deadlineTooShort bool
	// leaving is set if the request is refused because this gateway stops before it could end.
	leaving bool
	// heldDelay is the delay to state to the client because all targets leave or are paused, 0 if
	// they do not.
	heldDelay time.Duration
	// versionDraw is a random number that selects the version of the service during a rollout.
	versionDraw uint64
	firstEvent  time.Duration
	// continues is the ID of the client's earlier request whose run this one takes over, empty if unknown.
	continues string
}

func (c *clientRequest) targetRequest(header http.Header) *target.Request {
	return &target.Request{Method: c.head.Method, URI: c.head.URI, Host: c.head.Host, Header: header, Body: c.body}
}

func (c *clientRequest) observeFirstEvent(now time.Time) {
	if c.firstEvent == 0 {
		c.firstEvent = now.Sub(c.arrived)
		c.g.metrics.firstEvent.Observe(c.firstEvent.Seconds())
	}
}

// logEnd logs the outcome of the request and updates the request metrics. machine is nil for
// non-streaming requests.
func (c *clientRequest) logEnd(outcome string, attempts int, lastTarget string, machine *relay.Machine) {
	took := time.Since(c.arrived)
	kind := c.route.Kind.String()
	c.g.metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.g.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	event := c.log.Info().Str("route", c.route.Name).Str("kind", kind).Str("service", c.service).Str("account", c.account).
		Str("outcome", outcome).Int("attempts", attempts).Str("target", lastTarget).Dur("took", took).Uint64("version", c.configVersion).Dur("config_age", c.configAge)
	if machine != nil {
		event = event.Int("events", machine.Delivered()).Dur("first_event", c.firstEvent).Dur("longest_gap", machine.LongestGap())
	}
	event.Msg("request ended")
}

// ServeHTTP handles one client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	active := g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	defer func() { g.recordPanic(recover(), r) }()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &clientRequest{g: g, ctx: r.Context(), arrived: time.Now()}
	head, err := g.options.Protocol.DecodeRequest(r)
	c.head = head
	c.log = g.log.With().Str("request", head.ID).Logger()
	if err != nil {
		g.refuse(w, c, result.MalformedRequest, 0)
		return
	}
	if g.mustAnswer() {
		g.refuse(w, c, result.Leaving, g.retryAfterStopping(c.ctx))
		return
	}
	if active > g.maxRequests {
		g.refuse(w, c, result.Overloaded, streamRetryAfter+rand.N(streamRetryAfter))
		return
	}
	if retryAfter, refused := g.capacity.refuses(); refused {
		g.refuse(w, c, result.Overloaded, retryAfter)
		return
	}
	g.awaitDesiredState(c.ctx)
	if code := g.admit(c); code != result.OK {
		g.refuse(w, c, code, notReadyRetryAfter)
		return
	}
	memory := g.bodies.Reserve()
	defer memory.Release()
	if code := g.readBody(w, r, c, memory); code != result.OK {
		g.refuse(w, c, code, streamRetryAfter)
		return
	}
	if g.capacity.boundsWriters {
		bounded := newBoundedWriter(w, c)
		// What is left is sent when the handler has returned.
		defer bounded.extend()
		w = bounded
	}
	c.identity, c.parts = requestIdentity(c), partIdentities(c.service, c.head.PromptParts)
	if c.route.Kind == catalog.Stream {
		if g.streamOutlastsGrace(c.arrived) {
			g.refuse(w, c, result.Leaving, g.retryAfterStopping(c.ctx))
			return
		}
		g.serveStream(w, c)
		return
	}
	if g.callOutlastsGrace(c) {
		g.refuse(w, c, result.Leaving, g.retryAfterStopping(c.ctx))
		return
	}
	g.serveCall(w, c)
}

// recordPanic logs and counts the panic of a handler, nil for none, and has net/http close the
// connection. A part of the response may have been written, so that no other one can follow.
// http.ErrAbortHandler is how handlers close a connection on purpose.
func (g *Gateway) recordPanic(value any, r *http.Request) {
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		g.metrics.handlerPanics.Inc()
		g.log.Error().Str("host", r.Host).Str("path", r.URL.Path).Interface("panic", value).Bytes("stack", debug.Stack()).
			Msg("request handler panicked; closing the client's connection")
	}
	panic(http.ErrAbortHandler)
}

// httpErrorLog returns the logger for what net/http reports about a server's connections.
func (g *Gateway) httpErrorLog(server string) *stdlog.Logger {
	return stdlog.New(httpErrorWriter{g.log.With().Str("server", server).Logger()}, "", 0)
}

type httpErrorWriter struct{ log zerolog.Logger }

// Write implements io.Writer. Each call is one message.
func (w httpErrorWriter) Write(message []byte) (int, error) {
	w.log.Warn().Bytes("error", bytes.TrimSpace(message)).Msg("HTTP server reported an error")
	return len(message), nil
}

// awaitDesiredState waits up to desiredStateWait for the first desired state. It usually arrives
// a few ms after the start, and clients of a restarted gateway return to it immediately.
func (g *Gateway) awaitDesiredState(ctx context.Context) {
	if g.loop.published.Load() != nil {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, desiredStateWait)
	defer cancel()
	select {
	case <-g.loop.desiredLoaded:
	case <-g.answersEnd:
	case <-waitCtx.Done():
	}
}

// admit determines the route, account, service and deadline of a request.
func (g *Gateway) admit(c *clientRequest) result.Code {
	p := g.loop.published.Load()
	if p == nil || p.desired.Config == nil {
		return result.NotReady
	}
	config := p.desired.Config
	c.configVersion, c.configAge = config.Version, g.loop.configAge(time.Now())
	c.route = config.Route(c.head.Host, c.head.Path)
	if c.route == nil {
		if p.stale {
			return result.NotReady
		}
		return result.UnknownRoute
	}
	account := config.Account(c.head.Key)
	if account == nil && config.RequiresKey(c.route) {
		if p.stale {
			return result.NotReady
		}
		return result.Unauthenticated
	}
	if account != nil {
		c.account = account.Name
	}
	c.service = c.route.Pick(rand.Float64())
	c.versionDraw = rand.Uint64()
	timeout := c.route.Timeout
	if c.head.Timeout > 0 && (timeout <= 0 || c.head.Timeout < timeout) {
		timeout = c.head.Timeout
	}
	c.deadline = c.arrived.Add(timeout)
	return result.OK
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *clientRequest, memory *target.Reservation) result.Code {
	limit := g.loop.published.Load().desired.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := target.ReadBody(http.MaxBytesReader(w, r.Body, limit), int(limit), memory)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, target.ErrMemoryExceeded):
		// Without its body, the request cannot be sent; the rest of the body is not read.
		w.Header().Set("Connection", "close")
		return result.Overloaded
	case errors.As(err, &tooLarge):
		return result.RequestTooLarge
	case err != nil:
		return result.MalformedRequest
	}
	c.body = body
	return result.OK
}

// requestIdentity returns hashes of what a request asks for, so that it is recognized when it is repeated with another
// ID. Requests of several sessions may have the same content and differ only in the prompts that their headers name.
func requestIdentity(c *clientRequest) suspect.Request {
	h := xxhash.New()
	// Writing to a hash does not fail.
	_, _ = h.WriteString(c.head.Method + " " + c.head.Host + c.head.URI + "\x00" + c.account + "\x00")
	_, _ = h.Write(c.body)
	content := h.Sum64()
	if c.head.Generation == "" {
		return suspect.Request{Content: content, Whole: content}
	}
	h.Reset()
	_, _ = h.WriteString(c.head.Generation)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, content))
	return suspect.Request{Content: content, Whole: h.Sum64()}
}

// refuse responds with an error of the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, c *clientRequest, code result.Code, retryAfter time.Duration) {
	status := httpStatus(code)
	g.metrics.refusals.WithLabelValues(code.String()).Inc()
	c.log.Info().Uint32("code", uint32(code)).Str("reason", code.String()).Int("status", status).Str("host", c.head.Host).
		Str("path", c.head.Path).Uint64("version", c.configVersion).Dur("config_age", c.configAge).Dur("took", time.Since(c.arrived)).Msg("request refused")
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(result.Header, strconv.FormatUint(uint64(code), 10))
	if status == http.StatusServiceUnavailable {
		g.options.Protocol.SetRetryAfter(h, retryAfter)
	}
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": uint32(code), "type": code.String(), "class": code.Class().String(),
	}})
	if err != nil {
		c.log.Error().Err(err).Msg("error response cannot be encoded; sending an empty response")
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		c.log.Debug().Err(err).Msg("error response could not be written to the client")
	}
}

// httpStatus maps a code to an HTTP status for clients that interpret 408, 421, 429 and 503 as
// a guarantee that the request is not executed. For some codes it differs from
// Code.HTTPStatus, which serves callers of the product's own API.
func httpStatus(code result.Code) int {
	switch code {
	case result.NoTarget, result.DeadlineTooShort, result.NotReady, result.Leaving, result.Overloaded, result.RetryBudgetSpent:
		return http.StatusServiceUnavailable
	case result.CrashesTargets, result.TargetDied:
		return http.StatusBadGateway
	}
	return code.HTTPStatus()
}

// writeResponseHeader forwards the header of a target's response to the client.
func (g *Gateway) writeResponseHeader(w http.ResponseWriter, resp TargetResponse) {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	w.WriteHeader(resp.Status)
}

// writeResponse forwards a complete response to the client.
func (g *Gateway) writeResponse(w http.ResponseWriter, resp TargetResponse, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.writeResponseHeader(w, resp)
	if _, err := w.Write(body); err != nil {
		g.log.Debug().Err(err).Msg("response could not be written to the client")
	}
}

// forwardFailure forwards an error response of a target. It replaces a status that clients
// interpret as a guarantee that the request was not executed, because the target gave none.
func (g *Gateway) forwardFailure(w http.ResponseWriter, resp TargetResponse, body []byte) {
	if impliesNotRun(resp.Status) {
		w.Header().Set(result.Header, strconv.FormatUint(uint64(result.ApplicationFailed), 10))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	g.writeResponse(w, resp, body)
}
