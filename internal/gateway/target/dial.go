// Package target exchanges HTTP/1.1 messages with targets over connections that the
// gateway controls: it is known whether a byte of a request was written, nothing is ever
// sent again by itself, and answers are matched to requests.
package target

import (
	"net"
	"syscall"
	"time"
)

const (
	// DialTimeout bounds a new connection: targets and gateways are within a few ms of each
	// other, and a target that does not accept by then is avoided.
	DialTimeout = 100 * time.Millisecond
	// unacknowledgedTimeout ends connections whose peer does not acknowledge data.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepaliveInterval finds connections whose peer is silent while nothing is sent. 1 s is
	// the shortest that the kernel allows.
	keepaliveInterval = time.Second
	keepaliveProbes   = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// NewDialer returns a dialer whose connections fail soon when the peer is gone.
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
