package gateway

import (
	"context"
	"net"
	"path"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/wire"
)

// linkCounter counts the bytes of one kind of connection since the last report.
type linkCounter struct {
	in, out atomic.Int64
	// sent counts the bytes out since the start. writing is the number of bytes of writes in progress.
	sent, writing atomic.Int64
}

func (c *linkCounter) add(in, out int) {
	c.in.Add(int64(in))
	c.out.Add(int64(out))
	c.sent.Add(int64(out))
}

// traffic counts bytes and failed calls, so that a report of timed out calls says what else the
// process and its link were busy with. It is safe for concurrent use.
type traffic struct {
	clients, targets, peers linkCounter
	// exchanges, exchangeTimeouts and storeFailures count calls since the last report.
	exchanges, exchangeTimeouts, storeFailures atomic.Int64
}

// sent returns the number of bytes sent since the start.
func (t *traffic) sent() int64 {
	return t.clients.sent.Load() + t.targets.sent.Load() + t.peers.sent.Load()
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	counter *linkCounter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *linkCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.add(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.counter.writing.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.counter.writing.Add(-int64(len(p)))
	c.counter.add(0, n)
	return n, err
}

// countingDialer dials connections whose bytes are counted.
func countingDialer(counter *linkCounter) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &countingConn{conn, counter}, nil
	}
}

// rpcCounter counts the bytes of messages between gateways by call, without the framing of the
// connection. It implements stats.Handler.
type rpcCounter struct{ bytes *prometheus.CounterVec }

// callKey is the key of the name of a call in its context.
type callKey struct{}

// TagRPC implements stats.Handler.
func (rpcCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, path.Base(info.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (h rpcCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, _ := ctx.Value(callKey{}).(string)
	switch payload := s.(type) {
	case *stats.InPayload:
		h.bytes.WithLabelValues(call, "in").Add(float64(payload.WireLength))
	case *stats.OutPayload:
		h.bytes.WithLabelValues(call, "out").Add(float64(payload.WireLength))
	}
}

// TagConn implements stats.Handler.
func (rpcCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (rpcCounter) HandleConn(context.Context, stats.ConnStats) {}

// exchangeParts are the parts of an exchange whose bytes are counted by themselves.
var exchangeParts = []string{"loads", "suspects", "tables", "evidence", "other"}

// partSizes returns the encoded bytes of an exchanged message by part, in the order of exchangeParts.
func partSizes(msg *wire.GatewayState) [5]int {
	parts := [5]int{
		proto.Size(&wire.GatewayState{PackedLoads: msg.PackedLoads, PackedSpeeds: msg.PackedSpeeds}),
		proto.Size(&wire.GatewayState{Suspects: msg.Suspects, SuspectSummary: msg.SuspectSummary, Parts: msg.Parts}),
		proto.Size(&wire.GatewayState{Tables: msg.Tables}),
		proto.Size(&wire.GatewayState{Evidence: msg.Evidence, Orders: msg.Orders}),
	}
	parts[4] = proto.Size(msg) - parts[0] - parts[1] - parts[2] - parts[3]
	return parts
}

// countExchange adds an exchanged message that this gateway sends to the metrics.
func (m *metrics) countExchange(msg *wire.GatewayState) {
	for i, size := range partSizes(msg) {
		m.exchangeBytes.WithLabelValues(exchangeParts[i]).Add(float64(size))
	}
}
