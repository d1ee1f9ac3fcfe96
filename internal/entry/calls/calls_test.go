package calls

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"

	agentcalls "bramleygap/internal/agent/calls"
	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/oncecall"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/standin/app"
	standin "bramleygap/internal/standin/platform"
	"bramleygap/internal/wire"
)

// agentServer is an agent that serves only calls.
type agentServer struct {
	wire.UnimplementedAgentServer
	*agentcalls.Handler
}

func (a agentServer) Call(ctx context.Context, call *wire.CallRequest) (*wire.CallResponse, error) {
	return a.Handler.Call(ctx, call), nil
}

// fakeRouter places each call at the first target that is not excluded.
type fakeRouter struct {
	addresses []string
	block     chan struct{} // if set, the first Place waits until it is closed
	blocked   chan struct{} // closed when the first Place waits
	open      atomic.Int64  // assignments that were not ended
}

func (r *fakeRouter) Place(_ context.Context, request placement.Request) (*router.Assignment, error) {
	if block := r.block; block != nil {
		r.block = nil
		close(r.blocked)
		<-block
	}
	for _, address := range r.addresses {
		if !slices.Contains(request.Exclude, address) {
			r.open.Add(1)
			target := membership.Target{Name: address, Address: address}
			return &router.Assignment{Decision: placement.Decision{Target: target}, Done: func(placement.Outcome) { r.open.Add(-1) }}, nil
		}
	}
	return nil, result.New(result.NoTarget, "no target")
}
func (r *fakeRouter) ReportDeath(string, []uint64, string) {}
func (r *fakeRouter) ReportProgress(uint64, bool)          {}

type installation struct {
	t        testing.TB
	c        *qt.C
	platform *standin.Platform
	url      string
	app      *app.App
	timeout  time.Duration
	pool     *rpc.Pool
	agents   map[string]*grpc.Server
}

func newInstallation(t testing.TB) (*installation, string) {
	in := &installation{t: t, c: qt.New(t), platform: standin.New(standin.Options{}), app: app.New(app.Options{}), timeout: time.Minute, pool: rpc.NewPool(), agents: map[string]*grpc.Server{}}
	table := httptest.NewServer(in.platform.Handler())
	engine := httptest.NewServer(in.app.Handler())
	t.Cleanup(table.Close)
	t.Cleanup(engine.Close)
	t.Cleanup(in.pool.Close)
	in.url = table.URL
	return in, in.startAgent(engine.URL)
}

// startAgent starts an agent for the target and returns its address.
func (in *installation) startAgent(target string) string {
	agentHandler, err := agentcalls.New(agentcalls.Options{TargetURL: target, DialTimeout: time.Minute})
	in.c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	in.c.Assert(err, qt.IsNil)
	server := rpc.NewServer()
	wire.RegisterAgentServer(server, agentServer{Handler: agentHandler})
	go func() { _ = server.Serve(listener) }()
	in.t.Cleanup(server.Stop)
	in.agents[listener.Addr().String()] = server
	return listener.Addr().String()
}

func (in *installation) newEntry(r *fakeRouter) *Handler {
	sum := sha256.Sum256([]byte("secret"))
	config := &opconfig.Config{
		Members:  []opconfig.Member{{Name: "m", Share: 100}},
		Accounts: []opconfig.Account{{Name: "clerk", Member: "m", KeySHA256: hex.EncodeToString(sum[:])}},
		Services: []opconfig.Service{{Name: "permits", Kind: opconfig.KindApplication, Timeout: opconfig.Duration{Duration: in.timeout}, Routes: []opconfig.Route{
			{Method: "POST", Path: "/permits", Once: true}, {Method: "POST", Path: "/orders"}, {Method: "GET", Path: "/status*"},
		}}},
	}
	registry := prometheus.NewRegistry()
	handler := New(Options{
		Config: func() *adoption.Adopted { return &adoption.Adopted{Revision: 1, Config: config} }, Router: r,
		Agent: func(address string) (wire.AgentClient, error) {
			conn, err := in.pool.Conn(address)
			return wire.NewAgentClient(conn), err
		},
		Table: platform.NewClient(platform.ClientOptions{BaseURL: in.url, Timeout: time.Minute}), EntryName: "e", Registerer: registry,
		Refusals: caller.NewRefusals(registry), Logger: zerolog.Nop(),
	})
	handler.timing = timing{takeoverAfter: takeoverAfter, followTimeout: time.Minute, storeTimeout: time.Minute, maxClaimWait: time.Minute, storeRequestTimeout: time.Minute, settleTimeout: time.Minute, pollInterval: time.Millisecond}
	in.t.Cleanup(func() {
		// During an outage, Drain would wait until the calls stop trying to store their outcomes.
		in.platform.Control(standin.Control{Outage: new(false)})
		in.c.Check(handler.Drain(context.Background()), qt.IsNil)
		in.c.Check(r.open.Load(), qt.Equals, int64(0), qt.Commentf("assignments that were not ended"))
	})
	return handler
}

type testResponse struct {
	status   int
	code     result.Code
	repeated bool
	body     string
}

func sendRequest(h http.Handler, method, path, key, body string) testResponse {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		r.Header.Set(IdempotencyKeyHeader, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	code, _ := strconv.Atoi(w.Header().Get(result.Header))
	return testResponse{status: w.Code, code: result.Code(code), repeated: w.Header().Get(RepeatedHeader) != "", body: w.Body.String()}
}

func issuePermit(h http.Handler, key string) testResponse {
	return sendRequest(h, "POST", "/permits/permits", key, "family")
}

// Guards against a second run when two entries receive the same call several times concurrently.
func TestRepeatsAtTwoEntries(t *testing.T) {
	in, address := newInstallation(t)
	entries := []*Handler{in.newEntry(&fakeRouter{addresses: []string{address}}), in.newEntry(&fakeRouter{addresses: []string{address}})}
	responses := make([]testResponse, 8)
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() { responses[i] = issuePermit(entries[i%2], "k") })
	}
	group.Wait()
	for _, r := range responses {
		in.c.Assert(r.status, qt.Equals, 201, qt.Commentf("%s", r.body))
		in.c.Assert(r.body, qt.Equals, responses[0].body)
	}
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	in.c.Assert(sendRequest(entries[1], "POST", "/permits/permits", "k", "other family").code, qt.Equals, result.KeyReused)
	in.c.Assert(issuePermit(entries[0], "k2").repeated, qt.IsFalse)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 2)
}

// Guards against OVERLOADED, which is of class not-run, for a key that ran through another
// entry, and against a refused call that leaves a claim behind or runs.
func TestOverloaded(t *testing.T) {
	in, address := newInstallation(t)
	handler, other := in.newEntry(&fakeRouter{addresses: []string{address}}), in.newEntry(&fakeRouter{addresses: []string{address}})
	handler.timing.maxClaimWait = -1 // no claim is written in time
	in.c.Assert(issuePermit(other, "ran").status, qt.Equals, 201)
	in.c.Assert(issuePermit(handler, "ran").repeated, qt.IsTrue)
	in.c.Assert(issuePermit(handler, "new").code, qt.Equals, result.Overloaded)
	in.c.Assert(in.platform.Rows("claim/", 0), qt.HasLen, 1)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
}

// Guards against once-calls that run without a claim during a store outage, and against an
// outage that stops other calls.
func TestStoreOutage(t *testing.T) {
	in, address := newInstallation(t)
	handler := in.newEntry(&fakeRouter{addresses: []string{address}})
	handler.timing.storeTimeout = 0
	in.platform.Control(standin.Control{Outage: new(true)})
	// Another entry may have dispatched the key, so the refusal must not be of class not-run.
	in.c.Assert(issuePermit(handler, "k").code, qt.Equals, result.ClaimUnavailable)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 0)
	in.c.Assert(sendRequest(handler, "GET", "/permits/status/1", "", "").status, qt.Equals, 200)
	in.c.Assert(sendRequest(handler, "POST", "/permits/orders", "", "x").status, qt.Equals, 201)
	in.platform.Control(standin.Control{Outage: new(false)})
	in.c.Assert(issuePermit(handler, "k").status, qt.Equals, 201)
	in.platform.Control(standin.Control{Outage: new(true)})
	// The entry knows that the key was dispatched, so the repeat must not be of class not-run.
	in.c.Assert(issuePermit(handler, "k").code.Class(), qt.Equals, result.ClassUnknown)
	in.platform.Control(standin.Control{Outage: new(false)})
	in.c.Assert(issuePermit(handler, "k").repeated, qt.IsTrue)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 2)
}

// Guards against a call that fails or runs twice when the store applies a write but its response
// is lost, for each of the three writes of a call.
func TestStoreResponsesLost(t *testing.T) {
	for drops := 1; drops <= 3; drops++ {
		in, address := newInstallation(t)
		handler := in.newEntry(&fakeRouter{addresses: []string{address}})
		in.platform.Control(standin.Control{DropResponses: new(drops)})
		in.c.Assert(issuePermit(handler, "k").status, qt.Equals, 201)
		in.c.Assert(handler.Drain(context.Background()), qt.IsNil)
		again := issuePermit(in.newEntry(&fakeRouter{addresses: []string{address}}), "k")
		in.c.Assert(again.repeated, qt.IsTrue)
		in.c.Assert(again.status, qt.Equals, 201)
		in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	}
}

// Guards against a dispatch by an owner that paused after its claim and was taken over.
func TestPausedOwnerLosesItsClaim(t *testing.T) {
	in, address := newInstallation(t)
	block := make(chan struct{})
	paused := &fakeRouter{addresses: []string{address}, block: block, blocked: make(chan struct{})}
	first := in.newEntry(paused)
	second := in.newEntry(&fakeRouter{addresses: []string{address}})
	second.timing.takeoverAfter = 0
	responses := make(chan testResponse)
	go func() { responses <- issuePermit(first, "k") }()
	<-paused.blocked
	in.c.Assert(issuePermit(second, "k").status, qt.Equals, 201)
	close(block)
	late := <-responses
	in.c.Assert(late.status, qt.Equals, 201)
	in.c.Assert(late.repeated, qt.IsTrue)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
}

// Guards against an assignment that is not ended when the dispatch write is refused and the
// call is placed again; the cleanup in newEntry checks for open assignments.
func TestDispatchWriteRefused(t *testing.T) {
	in, address := newInstallation(t)
	block := make(chan struct{})
	router := &fakeRouter{addresses: []string{address}, block: block, blocked: make(chan struct{})}
	handler := in.newEntry(router)
	responses := make(chan testResponse)
	go func() { responses <- issuePermit(handler, "k") }()
	<-router.blocked
	refused := in.platform.Counters().Refused
	in.platform.Control(standin.Control{Outage: new(true)})
	close(block)
	for in.platform.Counters().Refused == refused {
		time.Sleep(time.Millisecond)
	}
	in.platform.Control(standin.Control{Outage: new(false)})
	in.c.Assert((<-responses).status, qt.Equals, 201)
}

// Guards against running a repeated call after the owner crashed between dispatch and sending:
// the repeat cannot know whether the call was sent.
func TestCrashAfterClaimWasDispatched(t *testing.T) {
	in, address := newInstallation(t)
	handler := in.newEntry(&fakeRouter{addresses: []string{address}})
	handler.beforeSend = func(string) error { return errors.New("crash") }
	in.c.Assert(issuePermit(handler, "k").code.Class(), qt.Equals, result.ClassUnknown)
	handler.beforeSend = nil
	handler.timing.takeoverAfter, handler.timing.followTimeout = 0, 0
	in.c.Assert(issuePermit(handler, "k").code, qt.Equals, result.CallInProgress)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 0)
}

// Guards against a wrong result class or a second run when the application engine fails.
func TestEngineFaults(t *testing.T) {
	in, address := newInstallation(t)
	handler := in.newEntry(&fakeRouter{addresses: []string{address}})
	in.app.Control(app.Control{CloseAfterRun: new(1)})
	in.c.Assert(issuePermit(handler, "closed").code, qt.Equals, result.OutcomeUnknown)
	in.c.Assert(issuePermit(handler, "closed").code.Class(), qt.Equals, result.ClassUnknown)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	in.app.Control(app.Control{Redirect: new(1)})
	in.c.Assert(issuePermit(handler, "redirected").status, qt.Equals, http.StatusTemporaryRedirect)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 2)
	in.app.Control(app.Control{ResponseBytes: new(oncecall.MaxStoredBody * 2)})
	in.c.Assert(issuePermit(handler, "large").status, qt.Equals, 201)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 3)
}

// Guards against a not-run result, and against a run at another target, when the agent
// crashes after the engine ran the call.
func TestAgentCrashDuringCall(t *testing.T) {
	for i, path := range []string{"/permits/permits", "/permits/orders"} {
		in, address := newInstallation(t)
		in.app.Control(app.Control{HangAfterRun: new(1)})
		other := httptest.NewServer(in.app.Handler())
		t.Cleanup(other.Close)
		handler := in.newEntry(&fakeRouter{addresses: []string{address, in.startAgent(other.URL)}})
		responses := make(chan testResponse)
		go func() { responses <- sendRequest(handler, "POST", path, "k", "x") }()
		for in.app.Runs().Total == 0 {
			time.Sleep(time.Millisecond)
		}
		in.agents[address].Stop()
		in.c.Assert((<-responses).code, qt.Equals, result.OutcomeUnknown, qt.Commentf("call %d", i))
		in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	}
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// Guards against a key that cannot be used again, or a call that is not retried at another
// target, when the engine or the agent certainly received nothing.
func TestUnreachableTargets(t *testing.T) {
	in, address := newInstallation(t)
	for name, unreachable := range map[string]string{"engine": in.startAgent("http://" + refusingAddress(in.c)), "agent": refusingAddress(in.c)} {
		r := &fakeRouter{addresses: []string{unreachable}}
		handler := in.newEntry(r)
		before := in.app.Runs().Total
		for _, path := range []string{"/permits/permits", "/permits/orders"} {
			refused := sendRequest(handler, "POST", path, name, "x")
			in.c.Assert(refused.code.Class(), qt.Equals, result.ClassNotRun, qt.Commentf("%s: %s", name, refused.body))
			in.c.Assert(in.app.Runs().Total, qt.Equals, before)
		}
		r.addresses = []string{unreachable, address}
		in.c.Assert(sendRequest(handler, "POST", "/permits/permits", name, "x").status, qt.Equals, 201)
		in.c.Assert(sendRequest(handler, "POST", "/permits/orders", "", "x").status, qt.Equals, 201)
		in.c.Assert(sendRequest(handler, "GET", "/permits/status", "", "").status, qt.Equals, 200)
		in.c.Assert(in.app.Runs().Total, qt.Equals, before+2)
	}
}

// faultyEngine accepts connections, reads at least minBytes, sends the response and closes, or
// keeps the connection open if hang is set. It counts the bytes received.
func faultyEngine(t *testing.T, minBytes int, response string, hang bool) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	received := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				n, _ := io.ReadAtLeast(conn, make([]byte, 4096), minBytes)
				received.Add(int64(n))
				_, _ = io.WriteString(conn, response)
				if hang {
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), received
}

// Guards against a result of class not-run after a byte was sent to the application engine, for
// once-calls, idempotent calls and safe calls, also when a later attempt is refused.
func TestNoNotRunAfterDispatch(t *testing.T) {
	faults := []struct {
		minBytes int
		response string
		hang     bool
	}{
		{minBytes: 1}, {minBytes: 40}, {minBytes: 1, hang: true},
		{minBytes: 1, response: "garbage\r\n\r\n"},
		{minBytes: 1, response: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"},
		{minBytes: 1, response: "HTTP/1.1 100 Continue\r\n\r\n"},
		{minBytes: 1, response: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
		{minBytes: 1, response: "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"},
	}
	for i, fault := range faults {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			in, _ := newInstallation(t)
			if fault.hang {
				in.timeout = 500 * time.Millisecond
			}
			for _, requestLine := range []string{"POST /permits/permits", "POST /permits/orders", "GET /permits/status"} {
				engine, received := faultyEngine(t, fault.minBytes, fault.response, fault.hang)
				handler := in.newEntry(&fakeRouter{addresses: []string{in.startAgent(engine), in.startAgent("http://" + refusingAddress(in.c))}})
				method, path, _ := strings.Cut(requestLine, " ")
				got := sendRequest(handler, method, path, "k", "x")
				if got.code != result.OK && got.code.Class() == result.ClassNotRun {
					in.c.Check(received.Load(), qt.Equals, int64(0), qt.Commentf("%s: result %s", requestLine, got.code))
				}
				if !fault.hang {
					in.c.Check(received.Load() > 0, qt.IsTrue, qt.Commentf("%s: the engine received nothing", requestLine))
				}
			}
		})
	}
}

// refusingServer starts an HTTP/2 server that refuses each stream as not processed, by RST_STREAM
// or by GOAWAY, whereupon gRPC transparently retries. It counts the streams.
func refusingServer(t *testing.T, goAway bool) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	streamCount := new(atomic.Int64)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = io.CopyN(io.Discard, conn, int64(len(http2.ClientPreface)))
		framer := http2.NewFramer(conn, conn)
		_ = framer.WriteSettings()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			switch frame := frame.(type) {
			case *http2.SettingsFrame:
				if !frame.IsAck() {
					_ = framer.WriteSettingsAck()
				}
			case *http2.HeadersFrame:
				streamCount.Add(1)
				if goAway {
					_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
					return
				}
				_ = framer.WriteRSTStream(frame.StreamID, http2.ErrCodeRefusedStream)
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), streamCount
}

// Guards against gRPC's transparent retry, which disabling retries does not prevent, and
// against a not-run result for a stream that was started.
func TestNoResendByGRPC(t *testing.T) {
	for _, goAway := range []bool{false, true} {
		in, _ := newInstallation(t)
		agent, streamCount := refusingServer(t, goAway)
		in.c.Assert(issuePermit(in.newEntry(&fakeRouter{addresses: []string{agent}}), "k").code.Class(), qt.Equals, result.ClassUnknown)
		in.c.Assert(streamCount.Load(), qt.Equals, int64(1))
	}
}

// Guards against forwarding paths that an engine could resolve to another route, and against
// once-calls without a key.
func TestRequestsRefusedBeforeDispatch(t *testing.T) {
	in, address := newInstallation(t)
	handler := in.newEntry(&fakeRouter{addresses: []string{address}})
	for path, code := range map[string]result.Code{
		"/permits/status/../permits": result.MalformedRequest, "/permits/status/%2e%2e/permits": result.MalformedRequest,
		"/permits/status%2F..": result.MalformedRequest, "/permits//permits": result.MalformedRequest,
		"/permits/permits": result.KeyRequired, "/permits/permits/": result.UnknownRoute,
		"/permits/other": result.UnknownRoute, "/nothing/x": result.UnknownService,
	} {
		in.c.Assert(sendRequest(handler, "POST", path, "", "x").code, qt.Equals, code, qt.Commentf("%s", path))
	}
	in.c.Assert(handler.Drain(context.Background()), qt.IsNil)
	in.c.Assert(sendRequest(handler, "POST", "/permits/orders", "", "x").code, qt.Equals, result.Leaving)
	// The key may have run through another entry, so the refusal must not be of class not-run.
	in.c.Assert(issuePermit(handler, "k").code, qt.Equals, result.ClaimUnavailable)
	handler = in.newEntry(&fakeRouter{})
	handler.options.Config = func() *adoption.Adopted { return nil }
	in.c.Assert(issuePermit(handler, "k").code, qt.Equals, result.ClaimUnavailable)
	in.c.Assert(sendRequest(handler, "GET", "/permits/status", "", "").code, qt.Equals, result.NotReady)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 0)
}

// Guards against a sweep that deletes claims within their retention of 24 h or keeps older ones.
func TestSweep(t *testing.T) {
	in, address := newInstallation(t)
	handler := in.newEntry(&fakeRouter{addresses: []string{address}})
	in.c.Assert(issuePermit(handler, "k").status, qt.Equals, 201)
	in.c.Assert(handler.Drain(context.Background()), qt.IsNil)
	var sweeper oncecall.Sweeper
	for after, want := range []int{0, 1} {
		deleted, err := handler.sweepStep(context.Background(), &sweeper, time.Now().Add(time.Duration(after)*oncecall.Retention))
		in.c.Assert(err, qt.IsNil)
		in.c.Assert(deleted, qt.Equals, want)
	}
	in.c.Assert(in.platform.Row(oncecall.RowKey("permits", "clerk", "k")).Revision, qt.Equals, uint64(0))
}
