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

// agentServer is the process beside one target, reduced to calls.
type agentServer struct {
	wire.UnimplementedAgentServer
	*agentcalls.Handler
}

func (a agentServer) Call(ctx context.Context, call *wire.CallRequest) (*wire.CallResponse, error) {
	return a.Handler.Call(ctx, call), nil
}

// targets is a router that takes the first target that is not excluded.
type targets struct {
	addresses []string
	hold      chan struct{} // if set, the first Place waits until it is closed
	held      chan struct{}
	open      atomic.Int64
}

func (r *targets) Place(_ context.Context, request placement.Request) (*router.Assignment, error) {
	if hold := r.hold; hold != nil {
		r.hold = nil
		close(r.held)
		<-hold
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
func (r *targets) ReportDeath(string, []uint64, string) {}
func (r *targets) ReportProgress(uint64, bool)          {}

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
	return in, in.agent(engine.URL)
}

// agent starts an agent beside the target and returns its address.
func (in *installation) agent(target string) string {
	handler, err := agentcalls.New(agentcalls.Options{TargetURL: target, DialTimeout: time.Minute})
	in.c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	in.c.Assert(err, qt.IsNil)
	server := rpc.NewServer()
	wire.RegisterAgentServer(server, agentServer{Handler: handler})
	go func() { _ = server.Serve(listener) }()
	in.t.Cleanup(server.Stop)
	in.agents[listener.Addr().String()] = server
	return listener.Addr().String()
}

func (in *installation) entry(r *targets) *Handler {
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
	handler.timing = timing{lapse: claimLapse, followFor: time.Minute, storePatience: time.Minute, claimPatience: time.Minute, storeTimeout: time.Minute, settleFor: time.Minute, poll: time.Millisecond}
	in.t.Cleanup(func() {
		// A test that ended in an outage would wait until its calls stop settling.
		in.platform.Control(standin.Control{Outage: new(false)})
		in.c.Check(handler.Drain(context.Background()), qt.IsNil)
		in.c.Check(r.open.Load(), qt.Equals, int64(0), qt.Commentf("assignments that were not ended"))
	})
	return handler
}

type reply struct {
	status   int
	code     result.Code
	repeated bool
	body     string
}

func request(h http.Handler, method, path, key, body string) reply {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		r.Header.Set(IdempotencyKeyHeader, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	code, _ := strconv.Atoi(w.Header().Get(result.Header))
	return reply{status: w.Code, code: result.Code(code), repeated: w.Header().Get(RepeatedHeader) != "", body: w.Body.String()}
}

func issue(h http.Handler, key string) reply {
	return request(h, "POST", "/permits/permits", key, "family")
}

// Guards against a second run when the same call arrives several times at two entries at once.
func TestRepeatsAtTwoEntries(t *testing.T) {
	in, address := newInstallation(t)
	entries := []*Handler{in.entry(&targets{addresses: []string{address}}), in.entry(&targets{addresses: []string{address}})}
	replies := make([]reply, 8)
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() { replies[i] = issue(entries[i%2], "k") })
	}
	group.Wait()
	for _, r := range replies {
		in.c.Assert(r.status, qt.Equals, 201, qt.Commentf("%s", r.body))
		in.c.Assert(r.body, qt.Equals, replies[0].body)
	}
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	in.c.Assert(request(entries[1], "POST", "/permits/permits", "k", "other family").code, qt.Equals, result.KeyReused)
	in.c.Assert(issue(entries[0], "k2").repeated, qt.IsFalse)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 2)
}

// Guards against OVERLOADED, which is of class not-run, for a key that ran at another
// entry, and against a claim or a run that a refused call leaves behind.
func TestOverloaded(t *testing.T) {
	in, address := newInstallation(t)
	entry, other := in.entry(&targets{addresses: []string{address}}), in.entry(&targets{addresses: []string{address}})
	entry.timing.claimPatience = -1 // no claim is written in time
	in.c.Assert(issue(other, "ran").status, qt.Equals, 201)
	in.c.Assert(issue(entry, "ran").repeated, qt.IsTrue)
	in.c.Assert(issue(entry, "new").code, qt.Equals, result.Overloaded)
	in.c.Assert(in.platform.Rows("claim/", 0), qt.HasLen, 1)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
}

// Guards against calls without a claim in a store outage, and against an outage that stops reads.
func TestStoreOutage(t *testing.T) {
	in, address := newInstallation(t)
	entry := in.entry(&targets{addresses: []string{address}})
	entry.timing.storePatience = 0
	in.platform.Control(standin.Control{Outage: new(true)})
	// Another entry may have dispatched the key, so an entry that never saw it has no proof.
	in.c.Assert(issue(entry, "k").code, qt.Equals, result.ClaimUnavailable)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 0)
	in.c.Assert(request(entry, "GET", "/permits/status/1", "", "").status, qt.Equals, 200)
	in.c.Assert(request(entry, "POST", "/permits/orders", "", "x").status, qt.Equals, 201)
	in.platform.Control(standin.Control{Outage: new(false)})
	in.c.Assert(issue(entry, "k").status, qt.Equals, 201)
	in.platform.Control(standin.Control{Outage: new(true)})
	// The entry knows that the key was dispatched, so the repeat is not "not run".
	in.c.Assert(issue(entry, "k").code.Class(), qt.Equals, result.ClassUnknown)
	in.platform.Control(standin.Control{Outage: new(false)})
	in.c.Assert(issue(entry, "k").repeated, qt.IsTrue)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 2)
}

// Guards against a call that is lost or runs twice when the store's answers are lost
// after the write took effect, at each of the three writes of a call.
func TestStoreAnswersLost(t *testing.T) {
	for drops := 1; drops <= 3; drops++ {
		in, address := newInstallation(t)
		entry := in.entry(&targets{addresses: []string{address}})
		in.platform.Control(standin.Control{DropResponses: new(drops)})
		in.c.Assert(issue(entry, "k").status, qt.Equals, 201)
		in.c.Assert(entry.Drain(context.Background()), qt.IsNil)
		again := issue(in.entry(&targets{addresses: []string{address}}), "k")
		in.c.Assert(again.repeated, qt.IsTrue)
		in.c.Assert(again.status, qt.Equals, 201)
		in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	}
}

// Guards against a dispatch by an owner that paused after its claim and lost it.
func TestPausedOwnerLosesItsClaim(t *testing.T) {
	in, address := newInstallation(t)
	hold := make(chan struct{})
	paused := &targets{addresses: []string{address}, hold: hold, held: make(chan struct{})}
	first := in.entry(paused)
	second := in.entry(&targets{addresses: []string{address}})
	second.timing.lapse = 0
	replies := make(chan reply)
	go func() { replies <- issue(first, "k") }()
	<-paused.held
	in.c.Assert(issue(second, "k").status, qt.Equals, 201)
	close(hold)
	late := <-replies
	in.c.Assert(late.status, qt.Equals, 201)
	in.c.Assert(late.repeated, qt.IsTrue)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
}

// Guards against a target that stays reserved when the dispatch write is refused and the
// call is placed again; the entry's cleanup counts the reservations.
func TestDispatchWriteRefused(t *testing.T) {
	in, address := newInstallation(t)
	hold := make(chan struct{})
	router := &targets{addresses: []string{address}, hold: hold, held: make(chan struct{})}
	entry := in.entry(router)
	replies := make(chan reply)
	go func() { replies <- issue(entry, "k") }()
	<-router.held
	refused := in.platform.Counters().Refused
	in.platform.Control(standin.Control{Outage: new(true)})
	close(hold)
	for in.platform.Counters().Refused == refused {
		time.Sleep(time.Millisecond)
	}
	in.platform.Control(standin.Control{Outage: new(false)})
	in.c.Assert((<-replies).status, qt.Equals, 201)
}

// Guards against a run by a repeat after the owner crashed between dispatch and sending:
// the repeat cannot know whether the call was sent.
func TestCrashAfterClaimWasDispatched(t *testing.T) {
	in, address := newInstallation(t)
	entry := in.entry(&targets{addresses: []string{address}})
	entry.beforeSend = func(string) error { return errors.New("crash") }
	in.c.Assert(issue(entry, "k").code.Class(), qt.Equals, result.ClassUnknown)
	entry.beforeSend = nil
	entry.timing.lapse, entry.timing.followFor = 0, 0
	in.c.Assert(issue(entry, "k").code, qt.Equals, result.CallInProgress)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 0)
}

// Guards against a wrong class or a second run when the application engine fails.
func TestEngineFaults(t *testing.T) {
	in, address := newInstallation(t)
	entry := in.entry(&targets{addresses: []string{address}})
	in.app.Control(app.Control{CloseAfterRun: new(1)})
	in.c.Assert(issue(entry, "closed").code, qt.Equals, result.OutcomeUnknown)
	in.c.Assert(issue(entry, "closed").code.Class(), qt.Equals, result.ClassUnknown)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	in.app.Control(app.Control{Redirect: new(1)})
	in.c.Assert(issue(entry, "redirected").status, qt.Equals, http.StatusTemporaryRedirect)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 2)
	in.app.Control(app.Control{ResponseBytes: new(oncecall.MaxStoredBody * 2)})
	in.c.Assert(issue(entry, "large").status, qt.Equals, 201)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 3)
}

// Guards against "not run", and a run at another target, when the agent dies after the
// engine ran the call.
func TestAgentDiesDuringCall(t *testing.T) {
	for i, path := range []string{"/permits/permits", "/permits/orders"} {
		in, address := newInstallation(t)
		in.app.Control(app.Control{HangAfterRun: new(1)})
		other := httptest.NewServer(in.app.Handler())
		t.Cleanup(other.Close)
		entry := in.entry(&targets{addresses: []string{address, in.agent(other.URL)}})
		replies := make(chan reply)
		go func() { replies <- request(entry, "POST", path, "k", "x") }()
		for in.app.Runs().Total == 0 {
			time.Sleep(time.Millisecond)
		}
		in.agents[address].Stop()
		in.c.Assert((<-replies).code, qt.Equals, result.OutcomeUnknown, qt.Commentf("call %d", i))
		in.c.Assert(in.app.Runs().Total, qt.Equals, 1)
	}
}

// refusing returns an address that refuses connections.
func refusing(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// Guards against a key that stays blocked, or a call that is not tried elsewhere, when
// the engine or the agent provably received nothing.
func TestUnreachableTargets(t *testing.T) {
	in, address := newInstallation(t)
	for name, dead := range map[string]string{"engine": in.agent("http://" + refusing(in.c)), "agent": refusing(in.c)} {
		r := &targets{addresses: []string{dead}}
		entry := in.entry(r)
		before := in.app.Runs().Total
		for _, path := range []string{"/permits/permits", "/permits/orders"} {
			refused := request(entry, "POST", path, name, "x")
			in.c.Assert(refused.code.Class(), qt.Equals, result.ClassNotRun, qt.Commentf("%s: %s", name, refused.body))
			in.c.Assert(in.app.Runs().Total, qt.Equals, before)
		}
		r.addresses = []string{dead, address}
		in.c.Assert(request(entry, "POST", "/permits/permits", name, "x").status, qt.Equals, 201)
		in.c.Assert(request(entry, "POST", "/permits/orders", "", "x").status, qt.Equals, 201)
		in.c.Assert(request(entry, "GET", "/permits/status", "", "").status, qt.Equals, 200)
		in.c.Assert(in.app.Runs().Total, qt.Equals, before+2)
	}
}

// faultyEngine accepts connections, reads up to limit bytes (all available if below
// 0), replies and closes; it counts the bytes received.
func faultyEngine(t *testing.T, limit int, response string, hang bool) (string, *atomic.Int64) {
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
				n, _ := io.ReadAtLeast(conn, make([]byte, 4096), limit)
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

// Guards against any not-run class after a byte left for the application engine, for
// once-calls, idempotent calls and safe calls, also when a later attempt is refused.
func TestNoNotRunAfterDispatch(t *testing.T) {
	faults := []struct {
		limit    int
		response string
		hang     bool
	}{
		{limit: 1}, {limit: 40}, {limit: 1, hang: true},
		{limit: 1, response: "garbage\r\n\r\n"},
		{limit: 1, response: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"},
		{limit: 1, response: "HTTP/1.1 100 Continue\r\n\r\n"},
		{limit: 1, response: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
		{limit: 1, response: "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"},
	}
	for i, fault := range faults {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			in, _ := newInstallation(t)
			if fault.hang {
				in.timeout = 500 * time.Millisecond
			}
			for _, target := range []string{"POST /permits/permits", "POST /permits/orders", "GET /permits/status"} {
				engine, received := faultyEngine(t, fault.limit, fault.response, fault.hang)
				entry := in.entry(&targets{addresses: []string{in.agent(engine), in.agent("http://" + refusing(in.c))}})
				method, path, _ := strings.Cut(target, " ")
				got := request(entry, method, path, "k", "x")
				if got.code != result.OK && got.code.Class() == result.ClassNotRun {
					in.c.Check(received.Load(), qt.Equals, int64(0), qt.Commentf("%s answered %s", target, got.code))
				}
				if !fault.hang {
					in.c.Check(received.Load() > 0, qt.IsTrue, qt.Commentf("%s received nothing", target))
				}
			}
		})
	}
}

// refusingStreams is a gRPC server that refuses each stream as not processed, by RST_STREAM
// or by GOAWAY, which gRPC answers with a resend of its own. It counts the streams.
func refusingStreams(t *testing.T, goAway bool) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	streams := new(atomic.Int64)
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
				streams.Add(1)
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
	return listener.Addr().String(), streams
}

// Guards against gRPC's transparent retry, which disabled retries do not cover, and
// against "not run" for a stream that was begun.
func TestNoResendByGRPC(t *testing.T) {
	for _, goAway := range []bool{false, true} {
		in, _ := newInstallation(t)
		agent, streams := refusingStreams(t, goAway)
		in.c.Assert(issue(in.entry(&targets{addresses: []string{agent}}), "k").code.Class(), qt.Equals, result.ClassUnknown)
		in.c.Assert(streams.Load(), qt.Equals, int64(1))
	}
}

// Guards against requests that reach a route other than the one that was matched, and
// against once-calls without a key.
func TestRequestsRefusedBeforeDispatch(t *testing.T) {
	in, address := newInstallation(t)
	entry := in.entry(&targets{addresses: []string{address}})
	for path, code := range map[string]result.Code{
		"/permits/status/../permits": result.MalformedRequest, "/permits/status/%2e%2e/permits": result.MalformedRequest,
		"/permits/status%2F..": result.MalformedRequest, "/permits//permits": result.MalformedRequest,
		"/permits/permits": result.KeyRequired, "/permits/permits/": result.UnknownRoute,
		"/permits/other": result.UnknownRoute, "/nothing/x": result.UnknownService,
	} {
		in.c.Assert(request(entry, "POST", path, "", "x").code, qt.Equals, code, qt.Commentf("%s", path))
	}
	in.c.Assert(entry.Drain(context.Background()), qt.IsNil)
	in.c.Assert(request(entry, "POST", "/permits/orders", "", "x").code, qt.Equals, result.Leaving)
	// A key may have run through another entry, so the state of this one proves nothing.
	in.c.Assert(issue(entry, "k").code, qt.Equals, result.ClaimUnavailable)
	entry = in.entry(&targets{})
	entry.options.Config = func() *adoption.Adopted { return nil }
	in.c.Assert(issue(entry, "k").code, qt.Equals, result.ClaimUnavailable)
	in.c.Assert(request(entry, "GET", "/permits/status", "", "").code, qt.Equals, result.NotReady)
	in.c.Assert(in.app.Runs().Total, qt.Equals, 0)
}

// Guards against a sweep that deletes claims within their 24 h or leaves older ones.
func TestSweep(t *testing.T) {
	in, address := newInstallation(t)
	entry := in.entry(&targets{addresses: []string{address}})
	in.c.Assert(issue(entry, "k").status, qt.Equals, 201)
	in.c.Assert(entry.Drain(context.Background()), qt.IsNil)
	var sweeper oncecall.Sweeper
	for after, want := range []int{0, 1} {
		deleted, err := entry.sweepStep(context.Background(), &sweeper, time.Now().Add(time.Duration(after)*oncecall.Retention))
		in.c.Assert(err, qt.IsNil)
		in.c.Assert(deleted, qt.Equals, want)
	}
	in.c.Assert(in.platform.Row(oncecall.RowKey("permits", "clerk", "k")).Revision, qt.Equals, uint64(0))
}
