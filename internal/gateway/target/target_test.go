package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against events that are truncated, merged with the next one, given a wrong ID or taken for
// comments, regardless of how the bytes are split into reads.
func TestEventReader(t *testing.T) {
	c := qt.New(t)
	text := "id: 1\ndata: a\n\nweights: 2\nid: 2\r\ndata: b\r\n\r\ndata: no number\n\nid: 4\ndata: c"
	for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		events := NewEventReader(reader, nil)
		for _, want := range []uint64{1, 2, 0} {
			event, err := events.Read()
			c.Assert(err, qt.IsNil)
			c.Check(event.ID, qt.Equals, want)
		}
		_, err := events.Read()
		c.Check(err, qt.ErrorIs, ErrTruncatedEvent)
	}
	_, err := NewEventReader(strings.NewReader(""), nil).Read()
	c.Check(err, qt.ErrorIs, io.EOF)
	events := NewEventReader(strings.NewReader(": a\n:\r\n\r\n: a\ndata: b\n\n"), nil)
	for _, want := range []bool{true, false} {
		event, err := events.Read()
		c.Assert(err, qt.IsNil)
		c.Check(event.Comment, qt.Equals, want)
	}
	_, err = NewEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1)), nil).Read()
	c.Check(err, qt.ErrorIs, ErrEventTooLong)
}

// Guards against events that together occupy more than the memory for responses, and against one that
// keeps its memory after it was processed.
func TestLargeEventsShareMemory(t *testing.T) {
	c := qt.New(t)
	memory := NewMemory(maxEventBytes)
	held := memory.Reserve()
	large := "data: " + strings.Repeat("x", ordinaryBytes) + "\n\n"
	events := NewEventReader(strings.NewReader(large+"id: 2\n\n"), held)
	_, err := events.Read()
	c.Assert(err, qt.ErrorIs, ErrMemoryExceeded)
	held.Release()

	memory = NewMemory(4 * maxEventBytes)
	events = NewEventReader(strings.NewReader(large+"id: 2\n\n"), memory.Reserve())
	_, err = events.Read()
	c.Assert(err, qt.IsNil)
	c.Check(memory.Reserved() >= ordinaryBytes, qt.IsTrue)
	event, err := events.Read()
	c.Assert(err, qt.IsNil)
	c.Check(event.ID, qt.Equals, uint64(2))
	c.Check(memory.Reserved(), qt.Equals, int64(0))
}

// Guards against panics and infinite loops on arbitrary streams.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events := NewEventReader(strings.NewReader(text), nil)
		for range len(text) + 1 {
			if _, err := events.Read(); err != nil {
				return
			}
		}
		t.Fatal("reader returned more events than the stream has bytes")
	})
}

// startServer listens on a local port, calls serve for each connection and returns the address.
func startServer(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func getRequest() *Request {
	return &Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func roundTrip(c *qt.C, conn *Conn) {
	_, err := conn.Send(getRequest())
	c.Assert(err, qt.IsNil)
	response, err := conn.Receive(http.MethodGet)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
}

// Guards against reusing an idle connection on which the target sent extra data or that it
// closed: the next request would get the wrong response or be lost.
func TestUnusableConnectionsAreNotReused(t *testing.T) {
	c := qt.New(t)
	extraBytes := make(chan string)
	address := startServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, okResponse)
			if extra := <-extraBytes; extra == "close" {
				_ = conn.Close()
				return
			} else {
				_, _ = io.WriteString(conn, extra)
			}
		}
	})
	opened := 0
	pool := NewPool(func() { opened++ }, func(int, int) {}, NewMemory(1<<20))
	for i, extra := range []string{"", okResponse, "", "close", ""} {
		conn, err := pool.Get(t.Context(), address, time.Minute)
		c.Assert(err, qt.IsNil)
		roundTrip(c, conn)
		extraBytes <- extra
		// Loopback delivers within the pause. Slower delivery only weakens the check.
		time.Sleep(50 * time.Millisecond)
		pool.Put(conn)
		c.Check(conn.Reused, qt.Equals, i == 1 || i == 3, qt.Commentf("request %d", i))
	}
	c.Check(opened, qt.Equals, 3)
	conn, err := pool.Get(t.Context(), address, 0)
	c.Assert(err, qt.IsNil)
	c.Check(conn.Reused, qt.IsFalse, qt.Commentf("connection was idle for longer than maxIdle"))
}

// Guards against reporting a request as not sent although a byte was sent, and the reverse.
func TestSendReportsPartialWrite(t *testing.T) {
	c := qt.New(t)
	client, peer := net.Pipe()
	conn := &Conn{Conn: client, onBytes: func(int, int) {}, writing: &atomic.Int64{}}
	_ = peer.Close()
	sent, err := conn.Send(getRequest())
	c.Check(err, qt.IsNotNil)
	c.Check(sent, qt.IsFalse)
	client, peer = net.Pipe()
	conn = &Conn{Conn: client, onBytes: func(int, int) {}, writing: &atomic.Int64{}}
	go func() {
		_, _ = peer.Read(make([]byte, 1))
		_ = peer.Close()
	}()
	sent, err = conn.Send(getRequest())
	c.Check(err, qt.IsNotNil)
	c.Check(sent, qt.IsTrue)
}

// Guards against taking what follows a switch to another protocol for a response.
func TestSwitchedProtocol(t *testing.T) {
	c := qt.New(t)
	address := startServer(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"+okResponse)
	})
	conn, err := NewPool(func() {}, func(int, int) {}, NewMemory(1<<20)).Dial(t.Context(), address)
	c.Assert(err, qt.IsNil)
	_, err = conn.Send(getRequest())
	c.Assert(err, qt.IsNil)
	_, err = conn.Receive(http.MethodGet)
	c.Check(err, qt.ErrorIs, ErrProtocolSwitched)
}

// Guards against a target that counts as unreachable because the call that wanted it ended.
func TestDialErrorOfEndedCall(t *testing.T) {
	c := qt.New(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	c.Check(dialError(ended, context.Canceled, time.Minute), qt.Equals, ErrAbandoned)
	c.Check(dialError(t.Context(), context.Canceled, time.Minute), qt.Equals, context.Canceled)
	c.Check(dialError(ended, refused, time.Minute), qt.Equals, error(refused), qt.Commentf("a closed port is certain"))
	late, cancelLate := context.WithTimeout(t.Context(), 0)
	defer cancelLate()
	c.Check(dialError(late, context.DeadlineExceeded, time.Millisecond), qt.Equals, ErrAbandoned)
	c.Check(dialError(late, context.DeadlineExceeded, DialTimeout/2), qt.Equals, ErrNoTime, qt.Commentf("a sound target accepts within a few ms"))
	pool := NewPool(func() {}, func(int, int) {}, NewMemory(1<<20))
	_, err := pool.Get(ended, "127.0.0.1:1", time.Second)
	c.Check(err, qt.Equals, ErrAbandoned)
}

// Scenario: the process is suspended while it waits for an answer. Guards against a time limit that passes meanwhile,
// so that the answer is not read, and against one that never passes.
func TestPatienceOutlastsSuspension(t *testing.T) {
	c := qt.New(t)
	var due []func()
	afterFunc := func(step time.Duration, f func()) *time.Timer {
		c.Check(step, qt.Equals, time.Second)
		due = append(due, f)
		return nil
	}
	ended := false
	at := time.Now()
	now := func() time.Time { return at }
	endInSteps(t.Context(), func() { ended = true }, time.Second, &patience{started: at, now: now, afterFunc: afterFunc})
	for i := range patienceSteps {
		c.Assert(due, qt.HasLen, i+1, qt.Commentf("a late timer brings the next step, not the end"))
		c.Check(ended, qt.IsFalse)
		due[i]()
	}
	c.Check(ended, qt.IsTrue)

	// A process that is suspended in each step must not wait for the lost target for as many periods.
	ended, due = false, nil
	endInSteps(t.Context(), func() { ended = true }, time.Second, &patience{started: at, now: now, afterFunc: afterFunc})
	for range 4 {
		c.Assert(ended, qt.IsFalse)
		at = at.Add(4 * time.Second)
		due[len(due)-1]()
	}
	c.Check(ended, qt.IsTrue)
	ctx, cancel := withPatience(t.Context(), 10*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	c.Check(context.Cause(ctx), qt.Equals, errOutOfPatience)
}
