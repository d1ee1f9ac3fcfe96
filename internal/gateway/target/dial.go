// Package target implements an HTTP/1.1 client for targets. Unlike net/http, it reports whether
// any byte of a request was written, never sends a request again by itself, and does not reuse
// a connection on which the target sent more than its response.
package target

import (
	"context"
	"errors"
	"net"
	"runtime"
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

const (
	// patienceSteps is the number of steps in which a time limit passes. At most one of them passes while this process
	// does not run: gateways get their share of a core in periods of 100 ms, and pauses of most of that are normal.
	patienceSteps = 5
	// minPatienceSteps is the number of steps after which a limit may pass early, and maxPatience the multiple of the
	// limit after which it then does: each step may cost a whole period, and the loss of a target must be noticed
	// within about 0.5 s.
	minPatienceSteps = 2
	maxPatience      = 2.5
)

// errOutOfPatience is the cause of a context that withPatience ended.
var errOutOfPatience = errors.New("no answer within the time limit")

// withPatience returns a context that ends after a time limit in which this process ran. A plain time-out passes
// while the process is suspended or has much to do, before an answer that has arrived is read.
func withPatience(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	first := endInSteps(ctx, func() { cancel(errOutOfPatience) }, limit/patienceSteps, &patience{started: time.Now(), now: time.Now, afterFunc: time.AfterFunc})
	return ctx, func() {
		first.Stop()
		cancel(context.Canceled)
	}
}

// patience is the progress of a time limit.
type patience struct {
	started   time.Time
	passed    int
	now       func() time.Time
	afterFunc func(time.Duration, func()) *time.Timer
}

// endInSteps calls end after some steps unless ctx ends first. It returns the timer of the first step.
func endInSteps(ctx context.Context, end func(), step time.Duration, p *patience) *time.Timer {
	return p.afterFunc(step, func() {
		// Tasks that are ready come first; one of them may have the answer.
		runtime.Gosched()
		p.passed++
		longest := time.Duration(maxPatience * float64(patienceSteps*step))
		switch {
		case ctx.Err() != nil:
		case p.passed == patienceSteps, p.passed >= minPatienceSteps && p.now().Sub(p.started) >= longest:
			end()
		default:
			endInSteps(ctx, end, step, p)
		}
	})
}

// dialError returns the error of a connection attempt that took a time and whose caller's context is ctx.
func dialError(ctx context.Context, err error, took time.Duration) error {
	switch {
	case ctx.Err() == nil || errors.Is(err, syscall.ECONNREFUSED):
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= minPatienceSteps*DialTimeout/patienceSteps:
		return ErrNoTime
	}
	return ErrAbandoned
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
