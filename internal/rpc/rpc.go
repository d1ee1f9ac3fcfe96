// Package rpc builds the gRPC servers and connections between the processes of one installation.
package rpc

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// maxMessageBytes bounds one message; a prompt with its prefix must fit.
	maxMessageBytes = 16 << 20
	// keepaliveInterval and keepaliveTimeout detect connections whose peer VM has failed.
	// gRPC does not allow a client interval below 10 s; stream inactivity is
	// detected by the callers with shorter timeouts.
	keepaliveInterval  = 10 * time.Second
	keepaliveTimeout   = 2 * time.Second
	minConnectTimeout  = 1 * time.Second
	maxReconnectDelay  = 500 * time.Millisecond
	baseReconnectDelay = 50 * time.Millisecond
)

// Dial returns a lazy connection to host:port. Retries by gRPC are disabled, since a
// call that is retried transparently could run twice.
func Dial(address string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: minConnectTimeout,
			Backoff: backoff.Config{
				BaseDelay:  baseReconnectDelay,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxReconnectDelay,
			},
		}),
	}, options...)...)
}

// NewServer returns a server with the message limits and keepalive policy that Dial expects.
func NewServer(options ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append([]grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}, options...)...)
}

// Pool keeps one connection for each address; it is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// NewPool returns an empty pool whose connections are dialed with the given options.
func NewPool(options ...grpc.DialOption) *Pool {
	return &Pool{options: options, conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the connection to host:port, creating it on first use.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := Dial(address, p.options...)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// Remove closes and removes the connection to the address, if any.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
