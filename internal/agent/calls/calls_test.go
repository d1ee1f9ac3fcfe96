package calls

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/result"
	"bramleygap/internal/standin/app"
	"bramleygap/internal/wire"
)

func newHandler(t *testing.T, target string) *Handler {
	handler, err := New(Options{TargetURL: target, MaxResponseBytes: 4096, DialTimeout: time.Minute})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(handler.Close)
	return handler
}

func startEngine(t *testing.T) (*app.App, *Handler) {
	engine := app.New(app.Options{Name: "a"})
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	return engine, newHandler(t, server.URL)
}

func nonRepeatableCall(id string) *wire.CallRequest {
	return &wire.CallRequest{CallId: id, Method: "POST", Path: "/permits", Once: true, Body: []byte("{}"),
		Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}}
}

// Guards against a result code that says the call did not run, and against a second run,
// after a byte may have reached the engine.
func TestFailuresAfterDispatch(t *testing.T) {
	tests := map[string]struct {
		control app.Control
		code    result.Code
		status  uint32
		runs    int
	}{
		"none":             {app.Control{}, result.OK, 201, 1},
		"close after run":  {app.Control{CloseAfterRun: new(1)}, result.OutcomeUnknown, 0, 1},
		"close before run": {app.Control{CloseBeforeRun: new(1)}, result.OutcomeUnknown, 0, 0},
		"redirect":         {app.Control{Redirect: new(1)}, result.OK, 307, 1},
		"large response":   {app.Control{ResponseBytes: new(5000)}, result.ResponseTooLarge, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			engine, handler := startEngine(t)
			engine.Control(test.control)
			response := handler.Call(context.Background(), nonRepeatableCall("id"))
			c.Assert(result.Code(response.Code), qt.Equals, test.code)
			c.Assert(response.Status, qt.Equals, test.status)
			c.Assert(response.Dispatched, qt.IsTrue)
			c.Assert(result.Code(response.Code).Class(), qt.Not(qt.Equals), result.ClassNotRun)
			c.Assert(engine.Runs().Total, qt.Equals, test.runs)
			// The engine must still receive the caller's Idempotency-Key header.
			c.Assert(engine.Runs().ByKey["k"], qt.Equals, test.runs)
			repeated := handler.Call(context.Background(), nonRepeatableCall("id"))
			c.Assert(result.Code(repeated.Code), qt.Equals, result.OutcomeUnknown)
			c.Assert(repeated.Dispatched, qt.IsTrue)
			c.Assert(engine.Runs().Total, qt.Equals, test.runs)
		})
	}
}

// Guards against "not run" after the deadline of an exchange with an engine that does not
// respond, either before or after the run. The deadline is doubled until the call is
// dispatched, so that the result does not depend on the speed of the machine.
func TestNoResponseBeforeDeadline(t *testing.T) {
	for _, control := range []app.Control{{HangAfterRun: new(1)}, {Freeze: new(true)}} {
		c := qt.New(t)
		engine, handler := startEngine(t)
		engine.Control(control)
		for wait := 100 * time.Millisecond; ; wait *= 2 {
			call := nonRepeatableCall(wait.String())
			call.DeadlineUnixMs = time.Now().Add(wait).UnixMilli()
			response := handler.Call(context.Background(), call)
			if response.Dispatched {
				c.Assert(result.Code(response.Code), qt.Equals, result.TargetSilent)
				break
			}
			c.Assert(engine.Runs().Total, qt.Equals, 0)
		}
		c.Assert(engine.Runs().Total <= 1, qt.IsTrue)
	}
}

// Guards against a refused connection that is reported as dispatched, and against running a
// call for another service.
func TestNotDispatched(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	handler := newHandler(t, "http://"+listener.Addr().String())
	c.Assert(listener.Close(), qt.IsNil)
	for _, once := range []bool{true, false} {
		call := nonRepeatableCall("id")
		call.Once = once
		response := handler.Call(context.Background(), call)
		c.Assert(result.Code(response.Code), qt.Equals, result.TargetUnreachable)
		c.Assert(response.Dispatched, qt.IsFalse)
	}
	handler.options.Service = "permits"
	c.Assert(handler.Call(context.Background(), nonRepeatableCall("other")).Dispatched, qt.IsFalse)
}

// closingListener responds to the first request of each connection and closes the connection
// after reading the second, like a server that restarts. It returns the URL.
func closingListener(t *testing.T, received chan<- string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for i := range 2 {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					received <- request.Header.Get("Idempotency-Key")
					if i == 0 {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against the transport's resend on a broken reused connection, which happens for a
// canonical Idempotency-Key header. The call has no body, since the transport does not
// resend a body that it cannot read again.
func TestNoResendOnReusedConnection(t *testing.T) {
	c := qt.New(t)
	for _, once := range []bool{true, false} {
		received := make(chan string, 16)
		handler := newHandler(t, closingListener(t, received))
		for _, id := range []string{"first", "second"} {
			call := nonRepeatableCall(id)
			call.Body = nil
			call.Once = once
			handler.Call(context.Background(), call)
		}
		c.Assert(received, qt.HasLen, 2)
		c.Assert(<-received, qt.Equals, "k")
	}
}

// Guards against a write after the exchange was reported as not dispatched.
func TestSealedConnectionRefusesWrites(t *testing.T) {
	c := qt.New(t)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	conn := &onceConn{Conn: local}
	c.Assert(conn.seal(), qt.IsFalse)
	_, err := conn.Write([]byte("x"))
	c.Assert(err, qt.Equals, errSealed)
}

// Guards against hop-by-hop headers that reach the engine, and an ID set without a bound.
func TestHeadersAndIDSet(t *testing.T) {
	c := qt.New(t)
	headers := http.Header{}
	copyHeaders(headers, []*wire.Header{{Name: "connection", Value: "X-Private, close"}, {Name: "x-private", Value: "1"},
		{Name: "TE", Value: "trailers"}, {Name: "Accept", Value: "text/plain"}, {Name: "Expect", Value: "100-continue"}})
	c.Assert(headers, qt.DeepEquals, http.Header{"Accept": {"text/plain"}})
	set := newIDSet(2)
	for _, id := range []string{"a", "b", "c"} {
		c.Assert(set.add(id), qt.IsTrue)
	}
	c.Assert(set.add("c"), qt.IsFalse)
	c.Assert(set.ids, qt.HasLen, 2)
}
