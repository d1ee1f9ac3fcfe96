// Package drain counts the work in progress, so that a graceful shutdown can refuse new work
// and wait for the rest.
package drain

import (
	"context"
	"sync"
)

// Gate counts the work in progress. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{} // closed when the gate is closed and no work is running
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{idle: make(chan struct{})} }

// Enter adds one unit of new work. It returns false, and adds nothing, if the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running++
	return true
}

// EnterNested adds a unit of work that running work starts, even if the gate is closed. It
// returns false, and adds nothing, if no work is running, since a drain may have ended then.
func (g *Gate) EnterNested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		return false
	}
	g.running++
	return true
}

// Leave removes a unit of work that Enter or EnterNested added.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.closed && g.running == 0 {
		close(g.idle)
	}
}

// Drain closes the gate and waits until no work is running. If ctx ends first, it returns the
// error of ctx. It may be called again.
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
