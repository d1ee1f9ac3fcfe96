package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/gateway/target"
)

// headerProtocol is a Protocol that sends no headers of its own.
type headerProtocol struct{ Protocol }

func (headerProtocol) EncodeAttempt(*Attempt) http.Header { return http.Header{} }

func (headerProtocol) ProbePath() string { return "/report" }

func (headerProtocol) EncodeCopyRequest(string, string) target.Request {
	return target.Request{Method: http.MethodPost, URI: "/copy", Header: http.Header{}}
}

func (headerProtocol) EncodeCopyRelease(string) target.Request {
	return target.Request{Method: http.MethodDelete, URI: "/copy/h", Header: http.Header{}}
}

func (headerProtocol) DecodeResponse(status int, h http.Header) TargetResponse {
	return TargetResponse{Status: status, InstanceID: h.Get("Instance")}
}

// silentTarget accepts connections, closes each one after the first bytes, and never answers. received
// waits for the end of a connection and returns the number of bytes that came over it.
func silentTarget(t *testing.T) (address string, received func() int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	counts := make(chan int)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				n, _ := conn.Read(make([]byte, 4096))
				_ = conn.Close()
				select {
				case counts <- n:
				case <-t.Context().Done():
				}
			}()
		}
	}()
	return listener.Addr().String(), func() int {
		select {
		case n := <-counts:
			return n
		case <-t.Context().Done():
			return -1
		}
	}
}

// startNoticeGateway returns a gateway with a running event loop and one registered target.
func startNoticeGateway(t *testing.T) (*Gateway, membership.Registration, func() int) {
	address, received := silentTarget(t)
	reg := membership.Registration{ID: "e", Address: address, Service: "s", StartUnixMS: 1}
	options := &Options{Registerer: prometheus.NewRegistry(), Protocol: headerProtocol{}, Logger: zerolog.Nop()}
	options.Settings.Name = "g"
	g := &Gateway{options: options, log: options.Logger, metrics: newMetrics(options.Registerer), ctx: t.Context(), startedAt: time.Now()}
	g.loop = newEventLoop(options, g.metrics)
	g.pool = target.NewPool(func() {}, func(int, int) {}, target.NewMemory(1<<20))
	go func() { _ = g.loop.run(t.Context()) }()
	query(t.Context(), g.loop, func(st *state) bool {
		st.fleet.Update([]membership.Registration{reg}, func(string) int { return 0 })
		return true
	})
	return g, reg, received
}

func (g *Gateway) testRequest(t *testing.T) *clientRequest {
	return &clientRequest{
		g: g, ctx: t.Context(), service: "s", log: zerolog.Nop(), arrived: time.Now(), deadline: time.Now().Add(time.Hour),
		route: &catalog.Route{}, head: Request{ID: "r", Method: http.MethodPost, URI: "/", Host: "h"},
	}
}

// Scenario: a target is chosen, and then says that it leaves or asks for a pause, before the request
// is sent to it. Guards against a request, a stream, a copy order or a probe that is sent all the
// same.
func TestNoticeAfterChoice(t *testing.T) {
	notices := map[string]placement.Response{"leaving": {Leaving: true}, "paused": {Pause: time.Minute}}
	for name, notice := range notices {
		t.Run(name+"/call", func(t *testing.T) {
			c := qt.New(t)
			g, reg, received := startNoticeGateway(t)
			g.observe(reg, &TargetResponse{Leaving: notice.Leaving, Pause: notice.Pause}, placement.FromResponse)
			f := &callForwarder{g: g, req: g.testRequest(t)}
			handle := &attemptHandle{}
			r := f.sendOnce(t.Context(), reg, handle, func(ctx context.Context) (*target.Conn, error) { return g.pool.Get(ctx, reg.Address, maxIdle) }, nil)
			c.Check(r.result, qt.Equals, forward.Unsent)
			c.Check(r.withheld, qt.IsTrue)
			c.Check(handle.sent.Load(), qt.IsFalse)
			g.pool.CloseIdle(reg.Address)
			c.Check(received(), qt.Equals, 0)
		})
		t.Run(name+"/stream", func(t *testing.T) {
			c := qt.New(t)
			g, reg, received := startNoticeGateway(t)
			g.observe(reg, &TargetResponse{Leaving: notice.Leaving, Pause: notice.Pause}, placement.FromResponse)
			s := &stream{g: g, req: g.testRequest(t), messages: make(chan attemptMessage, 1)}
			a := &attempt{s: s, chosenTarget: chosenTarget{reg: reg}, handle: &attemptHandle{}, ended: make(chan struct{})}
			a.run(t.Context())
			m := <-s.messages
			c.Check(m.kind, qt.Equals, attemptFailed)
			c.Check(m.loss, qt.Equals, relay.Unsent, qt.Commentf("the token of the retry budget is not returned"))
			c.Check(m.withheld, qt.IsTrue, qt.Commentf("the target counts as failed"))
			c.Check(a.handle.sent.Load(), qt.IsFalse)
			c.Check(received(), qt.Equals, 0)
		})
	}
	t.Run("paused/copy order", func(t *testing.T) {
		c := qt.New(t)
		g, reg, received := startNoticeGateway(t)
		g.observe(reg, &TargetResponse{Pause: time.Minute}, placement.FromResponse)
		st := &stream{g: g, req: g.testRequest(t)}
		m := &copyManager{s: st, a: &attempt{s: st, chosenTarget: chosenTarget{reg: reg}}, ctx: t.Context()}
		kept := &CacheCopy{Holder: "other", Handle: "h", Address: reg.Address}
		m.current.Store(kept)
		m.requestCopy("other", "127.0.0.1:1")
		c.Check(received(), qt.Equals, 0)
		c.Check(m.current.Load(), qt.Equals, kept, qt.Commentf("the copy that exists is forgotten"))
		m.release(kept)
		c.Check(received(), qt.Equals, 0)
	})
	t.Run("paused/probes", func(t *testing.T) {
		c := qt.New(t)
		g, reg, _ := startNoticeGateway(t)
		g.observe(reg, &TargetResponse{Pause: time.Minute}, placement.FromResponse)
		c.Check(g.mayProbe(reg), qt.IsTrue)
		for range 3 {
			alive := g.probeTarget(reg).alive
			c.Check(alive, qt.IsTrue, qt.Commentf("a target that may not be probed is taken for lost"))
			_, err := g.probeOnce(t.Context(), reg, "/health")
			c.Check(err, qt.ErrorIs, target.ErrNotPermitted)
		}
	})
}

// Guards against a notice from a response that belongs to another request, that comes from another
// instance, or that does not name its instance although the request did not demand it.
func TestNoticesOfOtherResponses(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response TargetResponse
		held     bool
	}{
		{"own", TargetResponse{RequestID: "r", Leaving: true}, true},
		{"own, names the instance", TargetResponse{RequestID: "r", InstanceID: "e", Leaving: true}, true},
		{"rejection without an id", TargetResponse{NotRun: true, Pause: time.Minute}, true},
		{"another request", TargetResponse{RequestID: "other", Leaving: true, Pause: time.Minute}, false},
		{"rejection of another request", TargetResponse{RequestID: "other", NotRun: true, Pause: time.Minute}, false},
		{"no id", TargetResponse{Leaving: true, Pause: time.Minute}, false},
		{"another instance", TargetResponse{RequestID: "r", InstanceID: "f", Leaving: true, Pause: time.Minute}, false},
		{"instance mismatch", TargetResponse{NotRun: true, InstanceMismatch: true, Leaving: true, Pause: time.Minute}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			g, reg, _ := startNoticeGateway(t)
			g.observeResponse(reg, &tc.response, "r", false)
			_, held := g.loop.held(reg, time.Now())
			c.Check(held, qt.Equals, tc.held)
		})
	}
	t.Run("probe that does not name the instance", func(t *testing.T) {
		c := qt.New(t)
		g, reg, _ := startNoticeGateway(t)
		g.options.Protocol = leavingProtocol{}
		g.observeUnbound(reg, target.Response{Status: http.StatusOK, Header: http.Header{}}, placement.FromProbe)
		_, held := g.loop.held(reg, time.Now())
		c.Check(held, qt.IsFalse)
		g.observeUnbound(reg, target.Response{Status: http.StatusOK, Header: http.Header{"Instance": {"e"}}}, placement.FromProbe)
		_, held = g.loop.held(reg, time.Now())
		c.Check(held, qt.IsTrue)
	})
}

// leavingProtocol decodes every response as one of a leaving target.
type leavingProtocol struct{ headerProtocol }

func (leavingProtocol) DecodeResponse(status int, h http.Header) TargetResponse {
	return TargetResponse{Status: status, InstanceID: h.Get("Instance"), Leaving: true}
}

// Guards against a target that is taken for reachable because its pause permits no probe: it did not
// accept a connection.
func TestHeldProbeDoesNotClearDown(t *testing.T) {
	c := qt.New(t)
	g, reg, _ := startNoticeGateway(t)
	g.observe(reg, &TargetResponse{Pause: time.Minute}, placement.FromResponse)
	c.Check(g.mayProbe(reg), qt.IsTrue)
	g.handleDialError(reg, errors.New("connect timed out"))
	g.tasks.Wait()
	usable := query(t.Context(), g.loop, func(st *state) bool { return st.fleet.Usable(time.Now(), reg.ID) })
	c.Check(usable, qt.IsFalse)
}

// Scenario: a stream has lost its target, the holder of its copy has refused it, and all others are
// paused for long. Guards against a stream that ends at once although a target of last resort may
// take it while it waits, and against one that waits for targets that do not return in time.
func TestHeldPlacementKeepsLastResort(t *testing.T) {
	const wait = resumePlacementWait
	for _, tc := range []struct {
		name     string
		notices  map[string]placement.Response
		down     []string
		hopeless bool
	}{
		{"lost target may recover", map[string]placement.Response{"holder": {Pause: time.Minute}, "other": {Pause: time.Minute}}, []string{"lost"}, false},
		{"refusing holder returns in time", map[string]placement.Response{"holder": {Pause: time.Second}, "other": {Pause: time.Minute}, "lost": {Leaving: true}}, nil, false},
		{"none returns in time", map[string]placement.Response{"holder": {Pause: time.Minute}, "other": {Pause: time.Minute}, "lost": {Leaving: true}}, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			st := &state{fleet: placement.NewFleet("g", "a", rand.New(rand.NewPCG(1, 1)))}
			var list []membership.Registration
			for _, id := range []string{"lost", "holder", "other", "rejects"} {
				list = append(list, membership.Registration{ID: id, Address: id, Service: "s", StartUnixMS: 1})
			}
			st.fleet.Update(list, func(string) int { return 0 })
			for id, notice := range tc.notices {
				st.fleet.Observe(now, placement.Instance{ID: id, StartUnixMS: 1}, notice, placement.FromResponse)
			}
			for _, id := range tc.down {
				st.fleet.MarkDown(now, id)
			}
			q := placement.FleetQuery{Service: "s", Exclude: []string{"rejects", "lost", "holder"}, LastResort: []string{"lost", "holder"}}
			held := st.heldPlacement(now, q, streamRetryAfter)
			c.Check(held.hopeless(now.Add(wait)), qt.Equals, tc.hopeless)
		})
	}
}
