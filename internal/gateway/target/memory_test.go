package target

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

const testBodyLimit = 4 << 20

// Scenario: a target in trouble sends bodies without end to many requests at a time. Guards
// against a process that exceeds the memory of its VM, and against ordinary responses that fail
// meanwhile.
func TestEndlessBodiesShareMemory(t *testing.T) {
	c := qt.New(t)
	m := NewMemory(16 << 20)
	var exceeded atomic.Bool
	var bodies sync.WaitGroup
	for range 40 {
		bodies.Go(func() {
			held := m.Reserve()
			defer held.Release()
			_, err := ReadBody(endless(func() {
				if held.size > 2*ordinaryBytes && m.Reserved() > m.limit {
					exceeded.Store(true)
				}
			}), testBodyLimit, held)
			c.Check(err, qt.IsNotNil)
		})
	}
	bodies.Wait()
	c.Check(m.Reserved(), qt.Equals, int64(0))
	c.Check(exceeded.Load(), qt.IsFalse)

	large := m.Reserve()
	c.Assert(large.Grow(int(m.largeLimit)), qt.IsNil)
	held := m.Reserve()
	ordinary := bytes.Repeat([]byte("x"), ordinaryBytes-1)
	body, err := ReadBody(bytes.NewReader(ordinary), testBodyLimit, held)
	c.Check(err, qt.IsNil)
	c.Check(body, qt.HasLen, len(ordinary))
	held.Release()
	_, err = ReadBody(endless(func() {}), testBodyLimit, held)
	c.Check(err, qt.ErrorIs, ErrMemoryExceeded)
	large.Release()
	held.Release()
	body, err = ReadBody(io.LimitReader(endless(func() {}), testBodyLimit), testBodyLimit, held)
	c.Check(err, qt.IsNil)
	c.Check(body, qt.HasLen, testBodyLimit)
	_, err = ReadBody(io.LimitReader(endless(func() {}), testBodyLimit+1), testBodyLimit, held)
	c.Check(err, qt.ErrorIs, ErrBodyTooLong)
}

// Guards against ordinary messages that together exceed the memory because each is small.
func TestOrdinaryBodiesShareMemory(t *testing.T) {
	c := qt.New(t)
	m := NewMemory(4 * ordinaryBytes)
	for range 4 {
		c.Assert(m.Reserve().Grow(ordinaryBytes), qt.IsNil)
	}
	c.Check(m.Reserve().Grow(1), qt.ErrorIs, ErrMemoryExceeded)
	c.Check(m.Reserved(), qt.Equals, int64(4*ordinaryBytes))
}

// Guards against a head that occupies a multiple of its bytes, against a limit that also counts lines of the
// body, and against one that a target evades with interim responses.
func TestHeadLimits(t *testing.T) {
	distinct := func(n int) string {
		var b strings.Builder
		for i := range n {
			b.WriteString("x" + strconv.Itoa(i) + ":\r\n")
		}
		return b.String()
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name, text string
		err        error
	}{
		{"ordinary", ok + distinct(20) + "\r\n", nil},
		{"short lines", ok + distinct(maxHeadLines) + "\r\n", ErrHeadTooLong},
		{"interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxHeadLines) + ok + "\r\n", ErrHeadTooLong},
		{"an interim response", "HTTP/1.1 102 Processing\r\n\r\n" + ok + "\r\n", nil},
		{"lines in the body", ok + "\r\n" + strings.Repeat("\n", 2*maxHeadLines), nil},
		{"long line", ok + "X: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", ErrHeadTooLong},
		{"beyond the memory", ok + "X: " + strings.Repeat("x", 2*readBufferSize) + "\r\n\r\n", ErrMemoryExceeded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			memory := NewMemory(headMemoryFactor * readBufferSize)
			if tc.err != ErrMemoryExceeded {
				memory = NewMemory(8 * headMemoryFactor * maxHeadBytes)
			}
			address := startServer(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, tc.text)
				_ = conn.Close()
			})
			conn, err := NewPool(func() {}, func(int, int) {}, memory).Dial(t.Context(), address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			response, err := conn.Receive(http.MethodGet)
			if tc.err != nil {
				c.Assert(err, qt.ErrorIs, tc.err)
			} else {
				c.Assert(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			}
			c.Check(memory.Reserved(), qt.Equals, int64(0))
		})
	}
}
