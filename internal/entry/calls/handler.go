package calls

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"bramleygap/internal/core/oncecall"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// IdempotencyKeyHeader identifies a non-idempotent call.
	IdempotencyKeyHeader = "Idempotency-Key"
	// CallIDHeader identifies the call in responses and logs.
	CallIDHeader = "Bramleygap-Call-Id"
	// RepeatedHeader marks the stored outcome of an earlier call with the same key.
	RepeatedHeader = "Bramleygap-Repeated"

	maxKeyBytes    = 255
	kindOnce       = "once"
	kindIdempotent = "idempotent"
)

// droppedHeaders are not forwarded to the engine: the bearer key is meant for this system, and
// a method override could turn a request into one for another route that is marked once.
var droppedHeaders = []string{
	"Authorization", "X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// droppedPrefix is the prefix of this system's own headers.
const droppedPrefix = "Bramleygap-"

// hopByHopHeaders are the headers of the engine's response that apply to its connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// call is one authenticated request.
type call struct {
	id       string
	identity caller.Identity
	service  *opconfig.Service
	route    *opconfig.Route
	method   string
	// path is the escaped path and query without the service.
	path     string
	headers  []*wire.Header
	body     []byte
	started  time.Time
	deadline time.Time
}

func (c *call) kind() string {
	if c.route.Once {
		return kindOnce
	}
	return kindIdempotent
}

// safe reports whether the method has no side effects, so that the call may be repeated after
// it was sent.
func (c *call) safe() bool { return c.method == http.MethodGet || c.method == http.MethodHead }

// reserve returns the time between the target's deadline and the caller's, in which the agent
// can still report an exchange that timed out.
func (c *call) reserve() time.Duration {
	return min(maxResponseReserve, c.deadline.Sub(c.started)/reserveDivisor)
}

// response is the response to the caller. The outcome's code is OK if the target responded.
type response struct {
	outcome  oncecall.Outcome
	repeated bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.gate.Enter() {
		h.refuse(w, r, result.New(result.Leaving, "the entry is shutting down"))
		return
	}
	defer h.gate.Leave()
	c, err := h.parse(w, r)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	w.Header().Set(CallIDHeader, c.id)
	var resp response
	if c.route.Once {
		resp = h.runOnce(r, c)
	} else {
		resp = h.runIdempotent(r.Context(), c)
	}
	h.finish(w, c, resp)
}

// refuse rejects a request before its claim has been read. A request with a key may repeat
// one that ran through another entry, so a refusal because of the state of this entry does
// not prove that the call has not run.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	refusal := caller.AsError(err)
	if r.Header.Get(IdempotencyKeyHeader) != "" && (refusal.Code == result.Leaving || refusal.Code == result.NotReady) {
		err = result.New(result.ClaimUnavailable, "%s; %s", refusal.Message, oncecall.NotSentMessage)
	}
	h.options.Refusals.Write(w, err)
}

// parse authenticates a request and finds its route. Errors are *result.Error of class not-run.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (*call, error) {
	serviceName, path, err := splitPath(r)
	if err != nil {
		return nil, err
	}
	adopted := h.options.Config()
	if adopted == nil || adopted.Config == nil {
		return nil, result.New(result.NotReady, "no operator configuration adopted yet")
	}
	identity, err := caller.Authenticate(r, adopted.Config, serviceName)
	if err != nil {
		return nil, err
	}
	service := adopted.Config.Service(serviceName)
	if service.Kind != opconfig.KindApplication {
		return nil, result.New(result.UnknownService, "service %q is not an application service", serviceName)
	}
	route := matchRoute(service.Routes, r.Method, path)
	if route == nil {
		return nil, result.New(result.UnknownRoute, "service %q has no route %s %s", serviceName, r.Method, path)
	}
	if err := checkKey(r, route); err != nil {
		return nil, err
	}
	body, err := readBody(w, r, h.options.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	timeout := service.Timeout.Duration
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	now := time.Now()
	return &call{
		id: uuid.NewString(), identity: identity, service: service, route: route, method: r.Method,
		path: forwardedPath(r, serviceName), headers: forwardedHeaders(r.Header), body: body,
		started: now, deadline: now.Add(timeout),
	}, nil
}

// splitPath returns the service and the decoded rest of the path. It rejects a path that an
// engine could interpret as another path than the matched one, since the matched route
// decides whether the call is protected against repetition.
func splitPath(r *http.Request) (service, rest string, err error) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	rest = "/" + rest
	escaped := strings.ToLower(r.URL.EscapedPath())
	for _, code := range []string{"%2f", "%5c", "%2e", "%00"} {
		if strings.Contains(escaped, code) {
			return "", "", result.New(result.MalformedRequest, "the path contains %s", code)
		}
	}
	for segment := range strings.SplitSeq(strings.Trim(rest, "/"), "/") {
		if segment == "." || segment == ".." || (segment == "" && rest != "/") || strings.Contains(segment, `\`) {
			return "", "", result.New(result.MalformedRequest, "the path contains a dot segment, an empty segment or a backslash")
		}
	}
	if strings.HasSuffix(rest, "//") || strings.HasPrefix(rest, "//") {
		return "", "", result.New(result.MalformedRequest, "the path contains an empty segment")
	}
	return service, rest, nil
}

// forwardedPath returns the escaped path and query without the service.
func forwardedPath(r *http.Request, service string) string {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	_, rest, _ := strings.Cut(escaped, "/")
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// matchRoute returns the matching route with the longest path; exact paths take precedence.
func matchRoute(routes []opconfig.Route, method, path string) *opconfig.Route {
	var best *opconfig.Route
	for i := range routes {
		route := &routes[i]
		if !methodMatches(route.Method, method) || !pathMatches(route.Path, path) {
			continue
		}
		if best == nil || specificity(route.Path) > specificity(best.Path) {
			best = route
		}
	}
	return best
}

func methodMatches(pattern, method string) bool {
	return strings.EqualFold(pattern, method) || (strings.EqualFold(pattern, http.MethodGet) && method == http.MethodHead)
}

func pathMatches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

func specificity(pattern string) int {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return 2 * len(prefix)
	}
	return 2*len(pattern) + 1
}

func checkKey(r *http.Request, route *opconfig.Route) error {
	if !route.Once {
		return nil
	}
	keys := r.Header.Values(IdempotencyKeyHeader)
	switch {
	case len(keys) == 0 || (len(keys) == 1 && keys[0] == ""):
		return result.New(result.KeyRequired, "this route needs the header %s", IdempotencyKeyHeader)
	case len(keys) > 1:
		return result.New(result.MalformedRequest, "more than one header %s", IdempotencyKeyHeader)
	case len(keys[0]) > maxKeyBytes:
		return result.New(result.MalformedRequest, "%s is longer than %d bytes", IdempotencyKeyHeader, maxKeyBytes)
	}
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.RequestTooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return nil, &result.Error{Code: result.MalformedRequest, Message: "the body cannot be read", Cause: err}
	}
	return body, nil
}

// forwardedHeaders returns the caller's headers to forward to the engine. The agent removes
// the hop-by-hop headers, since it also evaluates the Connection header.
func forwardedHeaders(from http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range from {
		if slices.Contains(droppedHeaders, name) || strings.HasPrefix(name, droppedPrefix) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// finish sends the response, logs the call and updates the metrics.
func (h *Handler) finish(w http.ResponseWriter, c *call, resp response) {
	code := resp.outcome.Code
	h.metrics.calls.WithLabelValues(c.service.Name, c.kind(), code.String()).Inc()
	h.metrics.seconds.WithLabelValues(c.kind()).Observe(time.Since(c.started).Seconds())
	event := h.options.Logger.Debug()
	if code != result.OK {
		event = h.options.Logger.Warn()
	}
	event.Str("call", c.id).Str("service", c.service.Name).Str("route", c.route.Path).Str("account", c.identity.Account.Name).
		Str("code", code.String()).Str("class", code.Class().String()).Bool("repeated", resp.repeated).
		Int("status", resp.outcome.Status).Str("detail", resp.outcome.Message).Msg("call finished")
	if resp.repeated {
		w.Header().Set(RepeatedHeader, "true")
	}
	if code != result.OK {
		h.options.Refusals.Write(w, &result.Error{Code: code, Message: resp.outcome.Message})
		return
	}
	for _, header := range resp.outcome.Headers {
		name := textproto.CanonicalMIMEHeaderKey(header.Name)
		if !slices.Contains(hopByHopHeaders, name) && !strings.HasPrefix(name, droppedPrefix) {
			w.Header().Add(name, header.Value)
		}
	}
	w.WriteHeader(resp.outcome.Status)
	_, _ = w.Write(resp.outcome.Body)
}
