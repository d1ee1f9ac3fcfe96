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
	startPatience = 400 * time.Millisecond
	// stopMargin is how long before the end of the grace a stream must have a chance to
	// end; one that would take longer is sent to another gateway.
	stopMargin = 6500 * time.Millisecond
)

// call is one client request on its way.
type call struct {
	ctx         context.Context
	request     Request
	body        []byte
	route       *catalog.Route
	service     string
	account     string
	fingerprint uint64
	arrived     time.Time
	deadline    time.Time
	log         zerolog.Logger
	g           *Gateway
	version     uint64
	rejected    bool
	hopeless    bool
	// draw decides which version of the service the request goes to.
	draw       uint64
	firstEvent time.Duration
}

func (c *call) message(header http.Header) *target.Request {
	return &target.Request{Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Header: header, Body: c.body}
}

func (c *call) observeFirstEvent(now time.Time) {
	if c.firstEvent == 0 {
		c.firstEvent = now.Sub(c.arrived)
		c.g.metrics.firstEvent.Observe(c.firstEvent.Seconds())
	}
}

// finished writes the line that closes the request's story.
func (c *call) finished(outcome string, attempts int, last string, s *relay.Machine) {
	took := time.Since(c.arrived)
	kind := c.route.Kind.String()
	c.g.metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.g.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	line := c.log.Info().Str("route", c.route.Name).Str("kind", kind).Str("service", c.service).Str("account", c.account).
		Str("outcome", outcome).Int("attempts", attempts).Str("target", last).Dur("took", took).Uint64("version", c.version)
	if s != nil {
		line = line.Int("events", s.Delivered()).Dur("first_event", c.firstEvent).Dur("longest_gap", s.LongestGap())
	}
	line.Msg("request ended")
}

// ServeHTTP handles one client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{g: g, ctx: r.Context(), arrived: time.Now()}
	request, err := g.options.Protocol.DecodeRequest(r)
	c.request = request
	c.log = g.log.With().Str("request", request.ID).Logger()
	if err != nil {
		g.refuse(w, c, result.MalformedRequest, 0)
		return
	}
	g.awaitDesired(c.ctx)
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
		if g.tooLateForStream(c.arrived) {
			g.refuse(w, c, result.Leaving, g.otherGatewayIn(c.ctx))
			return
		}
		g.serveStream(w, c)
		return
	}
	g.serveCall(w, c)
}

// awaitDesired waits for the first desired state for a short time: it comes within a few ms
// of the start, and clients whose gateway was restarted return to it at once.
func (g *Gateway) awaitDesired(ctx context.Context) {
	if g.director.published.Load() != nil {
		return
	}
	waited, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	select {
	case <-g.director.first:
	case <-waited.Done():
	}
}

// admit finds the route and the account of a request.
func (g *Gateway) admit(c *call) result.Code {
	p := g.director.published.Load()
	if p == nil || p.desired.Config == nil {
		return result.NotReady
	}
	config := p.desired.Config
	c.version = config.Version
	c.route = config.Route(c.request.Host, c.request.Path)
	if c.route == nil {
		if p.stale {
			return result.NotReady
		}
		return result.UnknownRoute
	}
	account := config.Account(c.request.Key)
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
	c.draw = rand.Uint64()
	patience := c.route.Timeout
	if c.request.Timeout > 0 && (patience <= 0 || c.request.Timeout < patience) {
		patience = c.request.Timeout
	}
	c.deadline = c.arrived.Add(patience)
	return result.OK
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call) result.Code {
	limit := g.director.published.Load().desired.Config.Limits.MaxBodyBytes
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
func fingerprint(c *call) uint64 {
	h := xxhash.New()
	// Writing to a hash does not fail.
	_, _ = h.WriteString(c.request.Method + " " + c.request.Host + c.request.URI + "\x00" + c.account + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// refuse answers with a failure of the gateway's own.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, code result.Code, retryAfter time.Duration) {
	status := statusOf(code)
	g.metrics.refusals.WithLabelValues(code.String()).Inc()
	c.log.Info().Uint32("code", uint32(code)).Str("reason", code.String()).Int("status", status).Str("host", c.request.Host).
		Str("path", c.request.Path).Uint64("version", c.version).Dur("took", time.Since(c.arrived)).Msg("request refused")
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
func statusOf(code result.Code) int {
	switch code {
	case result.NoTarget, result.DeadlineTooShort, result.NotReady, result.Leaving, result.Overloaded, result.RetryBudgetSpent:
		return http.StatusServiceUnavailable
	case result.CrashesTargets, result.TargetDied:
		return http.StatusBadGateway
	}
	return code.HTTPStatus()
}

// writeHeader sends the header of a target's answer.
func (g *Gateway) writeHeader(w http.ResponseWriter, a TargetResponse) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	w.WriteHeader(a.Status)
}

// writeWhole passes on a whole answer.
func (g *Gateway) writeWhole(w http.ResponseWriter, a TargetResponse, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.writeHeader(w, a)
	if _, err := w.Write(body); err != nil {
		g.log.Debug().Err(err).Msg("client did not take the answer")
	}
}

// passFailure passes on a failure that a target answered. A status that clients take for
// a promise that the request did not run is replaced, since the target did not say so.
func (g *Gateway) passFailure(w http.ResponseWriter, a TargetResponse, body []byte) {
	if promisesNotRun(a.Status) {
		w.Header().Set(result.Header, strconv.FormatUint(uint64(result.ApplicationFailed), 10))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	g.writeWhole(w, a, body)
}
