package emulator

import (
	"time"

	"bramleygap/internal/core/precedence"
)

// The client parameters are those of the users' specifications.
const (
	// A stream is on time if its first event arrives within firstEventObjective and each
	// later one within eventGapObjective of the previous event.
	firstEventObjective = 4500 * time.Millisecond
	eventGapObjective   = 700 * time.Millisecond
	// clientIdleTimeout is the time without an event after which a client disconnects.
	clientIdleTimeout = 18 * time.Second
	// requestTimeout bounds a request with its retries.
	requestTimeout   = 25 * time.Second
	maxClientRetries = 1
	// reconnectInterval is the interval between attempts to connect.
	// gatewayDetectionDelay is the time until the load balancer detects a lost gateway and
	// sends its clients to another one.
	reconnectInterval     = 50 * time.Millisecond
	gatewayDetectionDelay = 600 * time.Millisecond
	// retryAfter is the retry delay that a gateway sends with a refusal.
	retryAfter = 800 * time.Millisecond
)

// result is how a client's request ended.
type result int

const (
	resultPending result = iota
	// resultOnTime means that the response was complete and met both objectives.
	resultOnTime
	// resultLate means that the response was complete but missed an objective.
	resultLate
	// resultLost means that the response was incomplete.
	resultLost
	// resultRefused means that the last attempt was refused.
	resultRefused
	// resultCancelled means that the client cancelled the request.
	resultCancelled
)

// client is one client request with its retries.
type client struct {
	sim     *simulation
	number  int
	key     uint64
	prompt  int
	events  int
	arrived time.Time
	// rank counts in patterns of ranked services only; objective is that of the first event.
	rank      precedence.Rank
	objective time.Duration
	// retryAfter is the delay that the last refusal stated, 0 for the usual one.
	retryAfter  time.Duration
	deadline    time.Time
	streamCount int
	current     *stream
	// gateway is chosen by the load balancer; connectingSince is the time of the first attempt
	// to connect, zero while connected.
	gateway         *gateway
	connectingSince time.Time
	retries         int
	received        int
	lastActivity    time.Time
	firstEvent      time.Duration
	longestPause    time.Duration
	prefillTokens   int
	result          result
	// disconnectAfter is the time after which the client cancels its request, 0 for never.
	disconnectAfter time.Duration
	// duplicate is set for a request that only repeats another one; it is not counted.
	duplicate bool
	// parts identifies the shared parts of the prompt. crashing is set if one of them crashes engines;
	// such a request is not counted.
	parts    []uint64
	crashing bool
	// rejected is set if the request was rejected because it or others with its parts crashed engines.
	rejected bool
}

// connect sends the request to a gateway that accepts connections.
func (c *client) connect() {
	if c.result != resultPending {
		return
	}
	if !c.sim.clock.now.Before(c.deadline) {
		c.end(resultLost)
		return
	}
	now := c.sim.clock.now
	if c.connectingSince.IsZero() {
		c.connectingSince = now
	}
	if c.gateway == nil || !c.gateway.up && now.Sub(c.connectingSince) >= gatewayDetectionDelay {
		c.gateway = c.sim.randomGateway()
	}
	g := c.gateway
	if g == nil || !g.up {
		c.sim.clock.after(reconnectInterval, c.connect)
		return
	}
	c.lastActivity, c.connectingSince = now, time.Time{}
	c.sim.clock.after(clientDelay, func() {
		if c.result != resultPending {
			return
		}
		if !g.up {
			c.connect()
			return
		}
		c.current = g.accept(c)
	})
	c.sim.clock.after(clientIdleTimeout+time.Millisecond, c.checkIdle)
}

func (c *client) checkIdle() {
	idle := c.sim.clock.now.Sub(c.lastActivity)
	switch {
	case c.result != resultPending:
	case idle >= clientIdleTimeout:
		c.disconnect()
		c.retry(resultLost, 0)
	default:
		c.sim.clock.after(clientIdleTimeout-idle+time.Millisecond, c.checkIdle)
	}
}

func (c *client) disconnect() {
	if c.current != nil {
		s := c.current
		c.current = nil
		c.sim.clock.after(clientDelay, s.clientDisconnected)
	}
}

// retry reconnects after a delay, or ends the request with final if no retries are left.
func (c *client) retry(final result, delay time.Duration) {
	if c.result != resultPending {
		return
	}
	c.current = nil
	if c.retries >= maxClientRetries {
		c.end(final)
		return
	}
	c.retries++
	c.sim.clock.after(delay, c.connect)
}

func (c *client) receive(s *stream, number int) {
	if c.result != resultPending || c.current != s {
		return
	}
	now := c.sim.clock.now
	if c.received == 0 {
		c.firstEvent = now.Sub(c.arrived)
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastActivity))
	}
	c.received, c.lastActivity = number, now
}

func (c *client) complete(s *stream) {
	if c.result != resultPending || c.current != s {
		return
	}
	switch {
	case c.received != c.events || c.sim.clock.now.After(c.deadline):
		c.end(resultLost)
	case c.firstEvent <= c.objective && c.longestPause <= eventGapObjective:
		c.end(resultOnTime)
	default:
		c.end(resultLate)
	}
}

func (c *client) refused(s *stream) {
	if c.current == s {
		c.retry(resultRefused, max(retryAfter, c.retryAfter))
	}
}

func (c *client) lost(s *stream) {
	if c.current == s {
		c.retry(resultLost, 0)
	}
}

func (c *client) end(r result) {
	c.disconnect()
	c.result = r
}
