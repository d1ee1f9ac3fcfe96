package calls

import (
	"context"
	"errors"
	"net"
	"sync"
)

var (
	errSealed    = errors.New("connection is closed to writes")
	errSecondUse = errors.New("the connection of a once-call is used for one exchange only")
)

// onceConn is a connection that knows whether a byte may have left on it.
type onceConn struct {
	net.Conn

	mu      sync.Mutex
	started bool
	sealed  bool
}

// Write marks the connection as started before the first byte may leave.
func (c *onceConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.started = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// seal forbids writes from now on and reports whether one was begun. Without it the
// transport's writer could still send after the exchange was reported as not sent.
func (c *onceConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.started
}

// dialOnce returns a dial function that hands out conn one time.
func dialOnce(conn net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var once sync.Once
	return func(context.Context, string, string) (net.Conn, error) {
		given := net.Conn(nil)
		once.Do(func() { given = conn })
		if given == nil {
			return nil, errSecondUse
		}
		return given, nil
	}
}

// idSet is a bounded set of call ids; the oldest is forgotten first.
type idSet struct {
	mu   sync.Mutex
	ids  map[string]struct{}
	ring []string
	next int
}

func newIDSet(size int) *idSet {
	return &idSet{ids: make(map[string]struct{}, size), ring: make([]string, size)}
}

// add reports whether the id is new.
func (s *idSet) add(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ids[id]; ok {
		return false
	}
	if oldest := s.ring[s.next]; oldest != "" {
		delete(s.ids, oldest)
	}
	s.ring[s.next] = id
	s.ids[id] = struct{}{}
	s.next = (s.next + 1) % len(s.ring)
	return true
}
