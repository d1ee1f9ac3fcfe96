package calls

import (
	"context"
	"errors"
	"net"
	"sync"
)

var (
	errSealed    = errors.New("connection is sealed against writes")
	errSecondUse = errors.New("the connection of a non-repeatable call cannot be used twice")
)

// onceConn is the connection of a non-repeatable call. It records whether a write was started.
type onceConn struct {
	net.Conn

	mu           sync.Mutex
	writeStarted bool
	sealed       bool
}

// Write sets writeStarted before the first byte is written.
func (c *onceConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writeStarted = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// seal rejects all further writes and reports whether one was started. Without it, the
// transport could still write after the exchange was reported as not dispatched.
func (c *onceConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writeStarted
}

// dialOnce returns a dial function that returns conn once and fails afterwards.
func dialOnce(conn net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var once sync.Once
	return func(context.Context, string, string) (net.Conn, error) {
		dialed := net.Conn(nil)
		once.Do(func() { dialed = conn })
		if dialed == nil {
			return nil, errSecondUse
		}
		return dialed, nil
	}
}

// idSet is a bounded set of call IDs that evicts the oldest ID first.
type idSet struct {
	mu   sync.Mutex
	ids  map[string]struct{}
	ring []string
	next int
}

func newIDSet(size int) *idSet {
	return &idSet{ids: make(map[string]struct{}, size), ring: make([]string, size)}
}

// add adds an ID and reports whether it is new.
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
