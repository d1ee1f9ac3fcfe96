// Package drain counts running work, so that a graceful shutdown refuses new work and
// waits for the rest.
package drain

import (
	"context"
	"sync"
)

// Gate counts running work. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{} // closed when the gate is closed and nothing runs
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{idle: make(chan struct{})} }

// Enter counts one piece of new work; it returns false once the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running++
	return true
}

// EnterNested counts work that running work started. It returns false if nothing runs,
// since a drain may have ended then.
func (g *Gate) EnterNested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		return false
	}
	g.running++
	return true
}

// Leave ends what Enter or EnterNested counted.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.closed && g.running == 0 {
		close(g.idle)
	}
}

// Drain closes the gate and waits until nothing runs or ctx ends, whose error it returns
// then. It may be called again.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		if g.running == 0 {
			close(g.idle)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
