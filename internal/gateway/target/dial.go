// Package target implements an HTTP/1.1 client for targets. Unlike net/http, it reports whether
// any byte of a request was written, never sends a request again by itself, and does not reuse
// a connection on which the target sent more than its response.
package target

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// DialTimeout limits the time to establish a connection. The round-trip time between targets
	// and gateways is a few ms; a target that does not accept in time is marked down.
	DialTimeout = 100 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepaliveInterval is the interval of TCP keep-alive probes, which detect dead peers of idle
	// connections. 1 s is the minimum that the kernel supports.
	keepaliveInterval = time.Second
	keepaliveProbes   = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall does not define.
	tcpUserTimeout = 0x12
)

// maxTimerDelay is by how much a timer of a running process may be late. Gateways get their share of a core in
// periods of 100 ms, so that pauses of tens of ms are normal.
const maxTimerDelay = 50 * time.Millisecond

// Late reports whether an operation with a time limit ended so long after it that this process did not run
// meanwhile, so that its time-out says nothing about the other side.
func Late(took, limit time.Duration) bool { return took > limit+maxTimerDelay }

// dialError returns the error of a connection attempt that failed after some time.
func dialError(ctx context.Context, err error, took time.Duration) error {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return err
	case ctx.Err() != nil:
		return ErrAbandoned
	case errors.As(err, &netErr) && netErr.Timeout() && Late(took, DialTimeout):
		return ErrLate
	}
	return err
}

// NewDialer returns a dialer whose connections quickly detect the loss of the peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepaliveInterval, Interval: keepaliveInterval, Count: keepaliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}
