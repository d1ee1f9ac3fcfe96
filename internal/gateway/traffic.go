package gateway

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// linkCounter counts the bytes of one kind of connection since the last report.
type linkCounter struct{ in, out atomic.Int64 }

func (c *linkCounter) add(in, out int) {
	c.in.Add(int64(in))
	c.out.Add(int64(out))
}

// traffic counts bytes and failed calls, so that a report of timed out calls says what else the
// process and its link were busy with. It is safe for concurrent use.
type traffic struct {
	clients, targets, peers linkCounter
	// exchanges, exchangeTimeouts and storeFailures count calls since the last report.
	exchanges, exchangeTimeouts, storeFailures atomic.Int64
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
	n, err := c.Conn.Write(p)
	c.counter.add(0, n)
	return n, err
}

// rpcCounter counts the bytes of messages between gateways. It implements stats.Handler.
type rpcCounter struct{ counter *linkCounter }

// TagRPC implements stats.Handler.
func (rpcCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (h rpcCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch payload := s.(type) {
	case *stats.InPayload:
		h.counter.add(payload.WireLength, 0)
	case *stats.OutPayload:
		h.counter.add(0, payload.WireLength)
	}
}

// TagConn implements stats.Handler.
func (rpcCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (rpcCounter) HandleConn(context.Context, stats.ConnStats) {}
