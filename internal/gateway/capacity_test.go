package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/capacity"
	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/forward"
	"bramleygap/internal/gateway/target"
)

// Guards against a full gateway that admits nothing or too much or whose clients return as one wave, against
// refusals by one that is not full, and against more than one log line for a change.
func TestFullGatewayRefusesMostNewRequests(t *testing.T) {
	c := qt.New(t)
	g, _, _ := startNoticeGateway(t)
	var output bytes.Buffer
	g.log, g.capacity.g = zerolog.New(&output), g
	_, refused := g.capacity.refuses()
	c.Check(refused, qt.IsFalse)
	state := capacity.State{Reason: capacity.Processor, Expected: time.Second}
	for range 3 {
		g.capacity.publish(state, &capacity.Sample{})
	}
	admitted, delays := 0, map[time.Duration]bool{}
	for range 100 {
		retryAfter, refused := g.capacity.refuses()
		if !refused {
			admitted++
			continue
		}
		c.Assert(retryAfter >= state.Expected && retryAfter < 2*state.Expected, qt.IsTrue)
		delays[retryAfter] = true
	}
	c.Check(admitted, qt.Equals, 10)
	c.Check(len(delays) > 80, qt.IsTrue)
	g.capacity.publish(capacity.State{}, &capacity.Sample{})
	_, refused = g.capacity.refuses()
	c.Check(refused, qt.IsFalse)
	c.Check(strings.Count(output.String(), "\n"), qt.Equals, 2, qt.Commentf("%s", &output))
}

// Guards against a full queue of the event loop that counts as no delay.
func TestFullEventQueueCountsAsDelay(t *testing.T) {
	c := qt.New(t)
	g := newControlGateway(controlSize{gateways: 1, targets: 1}, 0).peers.g
	now := time.Now()
	g.startedAt, g.capacity.g = now.Add(-time.Minute), g
	for range cap(g.loop.queue) - len(g.loop.queue) {
		g.loop.queue <- func(*state) {}
	}
	for i, want := range []time.Duration{0, time.Second, 2 * time.Second} {
		c.Check(g.capacity.eventLoopDelay(now.Add(time.Duration(i)*time.Second)), qt.Equals, want)
	}
	<-g.loop.queue
	c.Check(g.capacity.eventLoopDelay(now.Add(3*time.Second)), qt.Equals, time.Duration(0))
	c.Check(g.capacity.queueFullSince.IsZero(), qt.IsTrue)
}

// Scenario: 200 clients stop reading their streams. Guards against streams that are held for them without end, and
// against bytes that the gauge does not show.
func Test200ClientsThatStopReading(t *testing.T) {
	const clients = 200
	c := qt.New(t)
	g, _, _ := startNoticeGateway(t)
	var ended sync.WaitGroup
	ended.Add(clients)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Done()
		bounded := newBoundedWriter(w, &clientRequest{g: g, log: zerolog.Nop(), route: &catalog.Route{TargetLatency: 800 * time.Millisecond}})
		event := bytes.Repeat([]byte("x"), 4<<10)
		for err := error(nil); err == nil; {
			if _, err = bounded.Write(event); err == nil {
				err = http.NewResponseController(bounded).Flush()
			}
		}
	})
	server := httptest.NewUnstartedServer(handler)
	server.Listener = &countingListener{server.Listener, &g.loop.traffic.clients}
	// Small buffers, so that all clients are behind at the same time.
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*countingConn).Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		return ctx
	}
	server.Start()
	defer server.Close()
	for range clients {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for deadline := time.Now().Add(20 * time.Second); g.heldForClients() < clients*(4<<10); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d bytes held", g.heldForClients()))
	}
	ended.Wait()
	c.Check(g.heldForClients(), qt.Equals, int64(0))
	c.Check(counterValue(c, g.options.Registerer, "bramleygap_gateway_stalled_clients_total"), qt.Equals, float64(clients))
}

// Guards against a body that is held for an engine that stops reading it after the call's deadline, and against
// saying then that the call has not run.
func TestEngineThatStopsReadingBody(t *testing.T) {
	c := qt.New(t)
	g, reg, _ := startNoticeGateway(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	reg.Address = listener.Addr().String()
	request := g.testRequest(t)
	request.body, request.deadline = make([]byte, 32<<20), time.Now().Add(500*time.Millisecond)
	f := &callForwarder{g: g, req: request}
	ctx, cancel := context.WithDeadline(t.Context(), request.deadline)
	defer cancel()
	r := f.sendOnce(ctx, reg, &attemptHandle{}, func(ctx context.Context) (*target.Conn, error) { return g.pool.Dial(ctx, reg.Address) }, nil)
	c.Check(r.result, qt.Equals, forward.Unknown)
	c.Check(counterValue(c, g.options.Registerer, "bramleygap_gateway_undelivered_bodies_total"), qt.Equals, 1.0)
	for deadline := time.Now().Add(20 * time.Second); g.heldForTargets() > 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

// BenchmarkCapacityDecision measures what the decision costs each request of a full gateway.
func BenchmarkCapacityDecision(b *testing.B) {
	g := &Gateway{metrics: newMetrics(prometheus.NewRegistry())}
	g.capacity.g = g
	for name, state := range map[string]*capacity.State{"normal": nil, "full": {Reason: capacity.Processor, Expected: time.Second}} {
		b.Run(name, func(b *testing.B) {
			g.capacity.full.Store(state)
			for b.Loop() {
				g.capacity.refuses()
			}
		})
	}
}

// BenchmarkCapacitySample measures a sample, of which there are ten a second.
func BenchmarkCapacitySample(b *testing.B) {
	options := &Options{Registerer: prometheus.NewRegistry()}
	g := &Gateway{metrics: newMetrics(options.Registerer), pool: target.NewPool(func() {}, func(int, int) {}, target.NewMemory(1))}
	g.loop = newEventLoop(options, g.metrics)
	g.capacity.g = g
	sampler := capacitySampler{c: &g.capacity}
	for b.Loop() {
		sampler.take(time.Now(), 0)
	}
}
