package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
)

// storedState is a Protocol that decodes each row as the next of its desired states, and counts a row without one as
// faulty.
type storedState struct {
	Protocol
	next    []DesiredState
	encoded chan string
}

func (p *storedState) DecodeDesiredState([]replica.Row) (DesiredState, []error) {
	desired := p.next[0]
	p.next = p.next[1:]
	return desired, nil
}

func (p *storedState) WithKeyDigests(text []byte) ([]byte, error) {
	if p.encoded != nil {
		return []byte(<-p.encoded), nil
	}
	return []byte("digests of " + string(text)), nil
}

// deadlineRecorder is a response writer that records the time limit of writing.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

func newDesiredStateGateway(protocol Protocol) *Gateway {
	options := &Options{Settings: settings.Gateway{Name: "g1"}, Protocol: protocol, Logger: zerolog.Nop(), Registerer: obs.NewRegistry()}
	g := &Gateway{options: options, log: options.Logger, metrics: newMetrics(options.Registerer)}
	g.loop = newEventLoop(options, g.metrics)
	return g
}

func (g *Gateway) requestDesiredState() *deadlineRecorder {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	g.serveDesiredState(w, httptest.NewRequest(http.MethodGet, DesiredStatePath, nil))
	return w
}

// Guards against several desired states that are encoded at once, against a slow receiver that keeps others from being
// answered, against a state of unbounded size, and against a request that waits for the event loop, which does not run
// in this test.
func TestDesiredStateIsServedWithinBounds(t *testing.T) {
	c := qt.New(t)
	protocol := &storedState{encoded: make(chan string)}
	g := newDesiredStateGateway(protocol)
	c.Check(g.requestDesiredState().Code, qt.Equals, http.StatusServiceUnavailable)
	publish := func(text string) {
		g.loop.published.Store(&publishedState{desired: DesiredState{Config: catalog.New(7, nil, nil, nil, catalog.Limits{}), Row: replica.Row{Value: []byte(text)}}})
	}
	publish("key in plain text")
	first := make(chan *deadlineRecorder)
	go func() { first <- g.requestDesiredState() }()
	for !g.sendsDesiredState.Load() {
		time.Sleep(time.Millisecond)
	}
	refused := g.requestDesiredState()
	c.Check(refused.Code, qt.Equals, http.StatusTooManyRequests)
	c.Check(refused.Header().Get("Retry-After"), qt.Equals, "1")
	protocol.encoded <- "digests"
	w := <-first
	c.Check(w.Code, qt.Equals, http.StatusOK)
	c.Check(w.Body.String(), qt.Equals, "digests")
	c.Check(w.Header().Get(GatewayHeader)+" "+w.Header().Get(VersionHeader), qt.Equals, "g1 7")
	c.Check(w.Header().Values(ConfirmedAgeHeader), qt.HasLen, 0)
	c.Check(time.Until(w.deadline) <= DesiredStateTimeout && time.Until(w.deadline) > 0, qt.IsTrue)

	protocol.encoded = nil
	confirmed := time.Now().Add(-time.Minute)
	g.loop.configConfirmedAt.Store(&confirmed)
	c.Check(g.requestDesiredState().Header().Get(ConfirmedAgeHeader), qt.Matches, `6\d{4}`)
	large := strings.Repeat(" ", MaxDesiredStateBytes)
	for _, text := range []string{large, large + " "} {
		publish(text)
		w = g.requestDesiredState()
		c.Check(w.Code, qt.Equals, http.StatusInternalServerError)
		c.Check(w.Body.String(), qt.Equals, "the desired state is larger than the 10 MB that a gateway sends\n")
	}
}

// Guards against a text that is not that of the version in use: one that is older, or a row that cannot be decoded.
func TestDesiredStateTextIsThatInUse(t *testing.T) {
	c := qt.New(t)
	state := func(version uint64, text string) DesiredState {
		return DesiredState{Config: catalog.New(version, nil, nil, nil, catalog.Limits{}), Row: replica.Row{Value: []byte(text)}}
	}
	g := newDesiredStateGateway(&storedState{next: []DesiredState{state(2, "two"), state(1, "one"), {}, state(3, "three")}})
	now := time.Now()
	st := g.loop.newState(now)
	for _, want := range []string{"2 two", "2 two", "2 two", "3 three"} {
		g.loop.applyStoredDesiredState(st, now)
		w := g.requestDesiredState()
		c.Check(w.Header().Get(VersionHeader)+" "+strings.TrimPrefix(w.Body.String(), "digests of "), qt.Equals, want)
	}
}
