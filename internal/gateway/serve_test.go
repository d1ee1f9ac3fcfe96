package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// panickingProtocol panics when it decodes a request.
type panickingProtocol struct {
	Protocol
	value any
}

func (p panickingProtocol) DecodeRequest(*http.Request) (Request, error) { panic(p.value) }

// counterValue returns the value of a counter without labels.
func counterValue(c *qt.C, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	c.Fatalf("no counter %s", name)
	return 0
}

// Guards against handlers that panic unnoticed, against a response after a panic, and against
// counting the connections that handlers close on purpose.
func TestHandlerPanics(t *testing.T) {
	for _, test := range []struct {
		value any
		want  float64
	}{{"index out of range", 1}, {http.ErrAbortHandler, 0}} {
		c := qt.New(t)
		var output bytes.Buffer
		registry := prometheus.NewRegistry()
		g := &Gateway{log: zerolog.New(&output), metrics: newMetrics(registry), options: &Options{Protocol: panickingProtocol{value: test.value}}}
		server := httptest.NewUnstartedServer(g)
		server.Config.ErrorLog = g.httpErrorLog("clients")
		server.Start()
		_, err := http.Get(server.URL + "/x")
		server.Close()
		c.Check(err, qt.IsNotNil)
		c.Check(counterValue(c, registry, "bramleygap_gateway_handler_panics_total"), qt.Equals, test.want)
		c.Check(strings.Count(output.String(), "request handler panicked"), qt.Equals, int(test.want))
		c.Check(strings.Contains(output.String(), "serve_test.go"), qt.Equals, test.want > 0, qt.Commentf("the log has the stack: %s", &output))
		c.Check(g.activeRequests.Load(), qt.Equals, int64(0))
	}
}

// Guards against losing what net/http reports about connections, which goes to standard error by
// default.
func TestHTTPErrorLog(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	g := &Gateway{log: zerolog.New(&output)}
	g.httpErrorLog("clients").Printf("http: Accept error: %v; retrying in %v", "too many open files", "5ms")
	c.Check(output.String(), qt.Equals, `{"level":"warn","server":"clients","error":"http: Accept error: too many open files; retrying in 5ms","message":"HTTP server reported an error"}`+"\n")
}

// heldListener accepts connections whose second request is read, and held until the connection is
// closed.
type heldListener struct {
	net.Listener
	// read is closed when the second request has been read.
	read chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &heldConn{Conn: conn, read: l.read, closed: make(chan struct{})}, err
}

type heldConn struct {
	net.Conn
	reads     int
	read      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 {
		if c.reads++; c.reads == 2 {
			close(c.read)
			<-c.closed
		}
	}
	return n, err
}

func (c *heldConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// invalidRequests is a Protocol that counts requests and finds none of them valid.
type invalidRequests struct {
	Protocol
	count *atomic.Int64
}

func (p invalidRequests) DecodeRequest(*http.Request) (Request, error) {
	p.count.Add(1)
	return Request{}, errors.New("invalid request")
}

// Scenario: a shutdown begins when the process has read the next request from an idle connection,
// and its handler has not begun. Guards against handling that request: its connection is closed, so
// that a target would run it and its client gets no response. net/http checks for a shutdown between
// marking the connection active and calling the handler.
func TestShutdownBeforeHandlerBegins(t *testing.T) {
	c := qt.New(t)
	var handled atomic.Int64
	g := &Gateway{log: zerolog.New(zerolog.NewTestWriter(t)), metrics: newMetrics(prometheus.NewRegistry()), options: &Options{Protocol: invalidRequests{count: &handled}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	held := &heldListener{listener, make(chan struct{})}
	idle, closed := make(chan struct{}, 1), make(chan struct{})
	server := &http.Server{Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			idle <- struct{}{}
		case http.StateClosed:
			close(closed)
		}
	}}
	go func() { _ = server.Serve(held) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = conn.Write([]byte(request))
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusBadRequest)
	<-idle
	_, err = conn.Write([]byte(request))
	c.Assert(err, qt.IsNil)
	<-held.read
	c.Assert(server.Shutdown(t.Context()), qt.IsNil)
	<-closed
	c.Check(handled.Load(), qt.Equals, int64(1))
}
