package gateway

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endless returns bytes without end and reports after each read.
type endless func()

// Read implements io.Reader.
func (onRead endless) Read(p []byte) (int, error) {
	onRead()
	return len(p), nil
}

// Scenario: a target in trouble sends bodies without end to many requests at a time. Guards
// against a process that exceeds the memory of its VM, and against ordinary responses that fail
// meanwhile.
func TestEndlessBodiesShareMemoryLimit(t *testing.T) {
	c := qt.New(t)
	var m responseMemory
	var exceeded atomic.Bool
	var bodies sync.WaitGroup
	for range 40 {
		bodies.Go(func() {
			_, err := m.readBody(endless(func() {
				if m.reserved.Load() > maxIncompleteBytes {
					exceeded.Store(true)
				}
			}))
			c.Check(err, qt.IsNotNil)
		})
	}
	bodies.Wait()
	c.Check(m.reserved.Load(), qt.Equals, int64(0))
	c.Check(exceeded.Load(), qt.IsFalse)

	c.Assert(m.reserve(maxIncompleteBytes), qt.IsTrue)
	ordinary := bytes.Repeat([]byte("x"), unreservedBytes-1)
	body, err := m.readBody(bytes.NewReader(ordinary))
	c.Check(err, qt.IsNil)
	c.Check(body, qt.HasLen, len(ordinary))
	_, err = m.readBody(endless(func() {}))
	c.Check(err, qt.ErrorIs, errResponsesTooBig)
	m.reserved.Store(0)
	body, err = m.readBody(io.LimitReader(endless(func() {}), maxResponseBytes))
	c.Check(err, qt.IsNil)
	c.Check(body, qt.HasLen, maxResponseBytes)
	_, err = m.readBody(io.LimitReader(endless(func() {}), maxResponseBytes+1))
	c.Check(err, qt.ErrorIs, errBodyTooLong)
}
