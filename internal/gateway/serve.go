package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/result"
)

const (
	// streamRetryAfter is when a refused stream may come back: a lost target is back or
	// replaced within seconds, and the first event has a latency objective of seconds.
	streamRetryAfter = 800 * time.Millisecond
	// callRetryAfter is the same for short calls.
	callRetryAfter = 100 * time.Millisecond
	// notReadyRetryAfter is when a client may come back to a gateway without a desired
	// state; the load balancer sends it to another one.
	notReadyRetryAfter = 50 * time.Millisecond
	// startPatience is how long a request waits for the first desired state: two rounds of
	// exchanges with other gateways or a hundred answers of the store.
	desiredStateWait = 400 * time.Millisecond
	// stopMargin is how long before the end of the grace a stream must have a chance to
	// end; one that would take longer is sent to another gateway.
	minStreamGrace = 6500 * time.Millisecond
)

// call is one client request on its way.
type clientRequest struct {
	ctx              context.Context
	head             Request
	body             []byte
	route            *catalog.Route
	service          string
	account          string
	fingerprint      uint64
	arrived          time.Time
	deadline         time.Time
	log              zerolog.Logger
	g                *Gateway
	configVersion    uint64
	rejected         bool
	deadlineTooShort bool
	// draw decides which version of the service the request goes to.
	versionDraw uint64
	firstEvent  time.Duration
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

// finished writes the line that closes the request's story.
func (c *clientRequest) logEnd(outcome string, attempts int, lastTarget string, machine *relay.Machine) {
	took := time.Since(c.arrived)
	kind := c.route.Kind.String()
	c.g.metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.g.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	event := c.log.Info().Str("route", c.route.Name).Str("kind", kind).Str("service", c.service).Str("account", c.account).
		Str("outcome", outcome).Int("attempts", attempts).Str("target", lastTarget).Dur("took", took).Uint64("version", c.configVersion)
	if machine != nil {
		event = event.Int("events", machine.Delivered()).Dur("first_event", c.firstEvent).Dur("longest_gap", machine.LongestGap())
	}
	event.Msg("request ended")
}

// ServeHTTP handles one client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &clientRequest{g: g, ctx: r.Context(), arrived: time.Now()}
	request, err := g.options.Protocol.DecodeRequest(r)
	c.head = request
	c.log = g.log.With().Str("request", request.ID).Logger()
	if err != nil {
		g.refuse(w, c, result.MalformedRequest, 0)
		return
	}
	g.awaitDesiredState(c.ctx)
	if code := g.admit(c); code != result.OK {
		g.refuse(w, c, code, notReadyRetryAfter)
		return
	}
	if code := g.readBody(w, r, c); code != result.OK {
		g.refuse(w, c, code, 0)
		return
	}
	c.fingerprint = fingerprint(c)
	if c.route.Kind == catalog.Stream {
		if g.streamOutlastsGrace(c.arrived) {
			g.refuse(w, c, result.Leaving, g.retryAfterStopping(c.ctx))
			return
		}
		g.serveStream(w, c)
		return
	}
	g.serveCall(w, c)
}

// awaitDesired waits for the first desired state for a short time: it comes within a few ms
// of the start, and clients whose gateway was restarted return to it at once.
func (g *Gateway) awaitDesiredState(ctx context.Context) {
	if g.loop.published.Load() != nil {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, desiredStateWait)
	defer cancel()
	select {
	case <-g.loop.desiredLoaded:
	case <-waitCtx.Done():
	}
}

// admit finds the route and the account of a request.
func (g *Gateway) admit(c *clientRequest) result.Code {
	p := g.loop.published.Load()
	if p == nil || p.desired.Config == nil {
		return result.NotReady
	}
	config := p.desired.Config
	c.configVersion = config.Version
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

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *clientRequest) result.Code {
	limit := g.loop.published.Load().desired.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.RequestTooLarge
	case err != nil:
		return result.MalformedRequest
	}
	c.body = body
	return result.OK
}

// fingerprint identifies what a request asks for, so that a request that crashes targets
// is known when it comes again under another id.
func fingerprint(c *clientRequest) uint64 {
	h := xxhash.New()
	// Writing to a hash does not fail.
	_, _ = h.WriteString(c.head.Method + " " + c.head.Host + c.head.URI + "\x00" + c.account + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// refuse answers with a failure of the gateway's own.
func (g *Gateway) refuse(w http.ResponseWriter, c *clientRequest, code result.Code, retryAfter time.Duration) {
	status := httpStatus(code)
	g.metrics.refusals.WithLabelValues(code.String()).Inc()
	c.log.Info().Uint32("code", uint32(code)).Str("reason", code.String()).Int("status", status).Str("host", c.head.Host).
		Str("path", c.head.Path).Uint64("version", c.configVersion).Dur("took", time.Since(c.arrived)).Msg("request refused")
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
		c.log.Error().Err(err).Msg("refusal cannot be encoded")
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		c.log.Debug().Err(err).Msg("client did not take the refusal")
	}
}

// statusOf maps a code to the status for clients that take 408, 421, 429 and 503 as a
// promise that the request does not run. It differs from Code.HTTPStatus where that one
// answers callers of the product's own interface.
func httpStatus(code result.Code) int {
	switch code {
	case result.NoTarget, result.DeadlineTooShort, result.NotReady, result.Leaving, result.Overloaded, result.RetryBudgetSpent:
		return http.StatusServiceUnavailable
	case result.CrashesTargets, result.TargetDied:
		return http.StatusBadGateway
	}
	return code.HTTPStatus()
}

// writeHeader sends the header of a target's answer.
func (g *Gateway) writeResponseHeader(w http.ResponseWriter, resp TargetResponse) {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	w.WriteHeader(resp.Status)
}

// writeWhole passes on a whole answer.
func (g *Gateway) writeResponse(w http.ResponseWriter, resp TargetResponse, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.writeResponseHeader(w, resp)
	if _, err := w.Write(body); err != nil {
		g.log.Debug().Err(err).Msg("client did not take the answer")
	}
}

// passFailure passes on a failure that a target answered. A status that clients take for
// a promise that the request did not run is replaced, since the target did not say so.
func (g *Gateway) forwardFailure(w http.ResponseWriter, resp TargetResponse, body []byte) {
	if impliesNotRun(resp.Status) {
		w.Header().Set(result.Header, strconv.FormatUint(uint64(result.ApplicationFailed), 10))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	g.writeResponse(w, resp, body)
}
