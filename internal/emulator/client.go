package emulator

import "time"

// The figures of the clients are those of the users' sheets.
const (
	// firstObjective and pauseObjective bound the first event and each pause of a stream
	// that is on time.
	firstObjective = 4500 * time.Millisecond
	pauseObjective = 700 * time.Millisecond
	// clientPatience is the silence after which a client gives up its connection.
	clientPatience = 18 * time.Second
	// clientDeadline ends a request.
	clientDeadline = 25 * time.Second
	// clientRetries is the number of times that a client comes back.
	clientRetries = 1
	// connectPause is the pause between two tries to connect, connectPatience how long a
	// client is sent to its own gateway although that one is down: the load balancer
	// notices a lost gateway only then.
	connectPause    = 50 * time.Millisecond
	connectPatience = 600 * time.Millisecond
	// retryAfter is what a gateway answers with a refusal.
	retryAfter = 800 * time.Millisecond
)

// result is how a request of a client ended.
type result int

const (
	resultOpen result = iota
	// resultOnTime means whole, with each objective met.
	resultOnTime
	// resultLate means whole.
	resultLate
	// resultLost means not whole.
	resultLost
	// resultRefused means that the last try was refused.
	resultRefused
	// resultLeft means that the client left of its own will.
	resultLeft
)

// client is one request of a client, with its repetitions.
type client struct {
	w        *world
	number   int
	key      uint64
	prompt   int
	events   int
	arrived  time.Time
	deadline time.Time
	streams  int
	current  *stream
	// home is the gateway that the load balancer chose, connecting since when it is tried.
	home       *gateway
	connecting time.Time
	tries      int
	has        int
	seen       time.Time
	first      time.Duration
	longest    time.Duration
	read       int
	result     result
	// leaves is when the client leaves, zero for one that stays.
	leaves time.Duration
	// extra is set for a request that only repeats another one; it is not counted.
	extra bool
}

// try sends the request to a gateway that takes connections.
func (c *client) try() {
	if c.result != resultOpen {
		return
	}
	if !c.w.clock.now.Before(c.deadline) {
		c.end(resultLost)
		return
	}
	now := c.w.clock.now
	if c.connecting.IsZero() {
		c.connecting = now
	}
	if c.home == nil || !c.home.up && now.Sub(c.connecting) >= connectPatience {
		c.home = c.w.anyGateway()
	}
	g := c.home
	if g == nil || !g.up {
		c.w.clock.after(connectPause, c.try)
		return
	}
	c.seen, c.connecting = now, time.Time{}
	c.w.clock.after(clientDelay, func() {
		if c.result != resultOpen {
			return
		}
		if !g.up {
			c.try()
			return
		}
		c.current = g.accept(c)
	})
	c.w.clock.after(clientPatience+time.Millisecond, c.checkSilence)
}

func (c *client) checkSilence() {
	silent := c.w.clock.now.Sub(c.seen)
	switch {
	case c.result != resultOpen:
	case silent >= clientPatience:
		c.leave()
		c.again(resultLost, 0)
	default:
		c.w.clock.after(clientPatience-silent+time.Millisecond, c.checkSilence)
	}
}

func (c *client) leave() {
	if c.current != nil {
		s := c.current
		c.current = nil
		c.w.clock.after(clientDelay, s.clientLeft)
	}
}

// again comes back after a pause if tries are left.
func (c *client) again(otherwise result, pause time.Duration) {
	if c.result != resultOpen {
		return
	}
	c.current = nil
	if c.tries >= clientRetries {
		c.end(otherwise)
		return
	}
	c.tries++
	c.w.clock.after(pause, c.try)
}

func (c *client) event(s *stream, number int) {
	if c.result != resultOpen || c.current != s {
		return
	}
	now := c.w.clock.now
	if c.has == 0 {
		c.first = now.Sub(c.arrived)
	} else {
		c.longest = max(c.longest, now.Sub(c.seen))
	}
	c.has, c.seen = number, now
}

func (c *client) complete(s *stream) {
	if c.result != resultOpen || c.current != s {
		return
	}
	switch {
	case c.has != c.events || c.w.clock.now.After(c.deadline):
		c.end(resultLost)
	case c.first <= firstObjective && c.longest <= pauseObjective:
		c.end(resultOnTime)
	default:
		c.end(resultLate)
	}
}

func (c *client) refused(s *stream) {
	if c.current == s {
		c.again(resultRefused, retryAfter)
	}
}

func (c *client) lost(s *stream) {
	if c.current == s {
		c.again(resultLost, 0)
	}
}

func (c *client) end(r result) {
	c.leave()
	c.result = r
}
