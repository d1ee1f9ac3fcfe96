package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxInlineRequest is the size in bytes up to which a request is written before its response
	// is read. Larger requests are written concurrently, because a target may respond early.
	maxInlineRequest = 32 << 10
	// readBufferSize is enough for a typical response or several events.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is the idle timeout of a connection, unless the target states a shorter one.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a target states.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdlePerTarget limits the idle connections to a target.
	maxIdlePerTarget = 16
)

// ErrUnexpectedBytes means that a target sent data without a request.
var ErrUnexpectedBytes = errors.New("target sent data without a request")

// ErrNoTime means that the deadline of a request passed during a connection attempt that had lasted longer than one to
// a sound target does. The target may be down.
var ErrNoTime = errors.New("connection was not established before the deadline of the request")

// ErrAbandoned means that the context of a connection attempt ended first, which says nothing about the target.
var ErrAbandoned = errors.New("connection attempt was abandoned")

// ErrNotPermitted means that Request.Permit did not permit a request when it was to be sent.
var ErrNotPermitted = errors.New("target accepts no requests now")

// ErrHeadTooLong means that a target sent more than maxHeadBytes or maxHeadLines without beginning a body.
var ErrHeadTooLong = errors.New("response head exceeds 64 KiB or 256 lines")

// ErrInvalidStatus means that a target sent a response whose status is outside of the classes of HTTP, 100 to 599.
var ErrInvalidStatus = errors.New("target sent a status outside 100 to 599")

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// ErrProtocolSwitched means that a target sent "101 Switching Protocols", which no request asks for.
// What follows on the connection is not HTTP.
var ErrProtocolSwitched = errors.New("target switched to another protocol")

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	net.Conn
	reader      *bufio.Reader
	address     string
	lastUsed    time.Time
	idleTimeout time.Duration
	onBytes     func(in, out int)
	// readingHead is set while the head of a response is read. memory is what the head may occupy.
	readingHead bool
	head        headScanner
	headErr     error
	memory      *Reservation
	// writing counts the bytes of writes in progress.
	writing *atomic.Int64
	// Reused is set if the connection has carried an earlier request.
	Reused bool
	// bodyWritten is closed when the concurrent write of the body has ended with writeErr. It is
	// nil if the body was not written concurrently.
	bodyWritten chan struct{}
	writeErr    error
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	onOpen func()
	// onBytes is called with the number of bytes read and written.
	onBytes func(in, out int)
	// memory limits what the heads and buffered bodies of responses occupy together.
	memory *Memory
	// writing is the number of bytes of writes in progress.
	writing atomic.Int64
	mu      sync.Mutex
	idle    map[string][]*Conn
}

// NewPool returns an empty pool. onOpen is called for each new connection and onBytes with the
// bytes that each read and write transferred. memory limits what responses in progress occupy.
func NewPool(onOpen func(), onBytes func(in, out int), memory *Memory) *Pool {
	dialer := NewDialer()
	// Dial has its own limit, which does not pass while the process is suspended.
	dialer.Timeout = 0
	return &Pool{dialer: dialer, onOpen: onOpen, onBytes: onBytes, memory: memory, idle: map[string][]*Conn{}}
}

// Writing returns the number of bytes that targets have not accepted yet.
func (p *Pool) Writing() int64 { return p.writing.Load() }

// Get returns a connection that has been idle for less than maxIdle, or a new one.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	if ctx.Err() != nil {
		return nil, ErrAbandoned
	}
	if conn := p.takeIdle(address, maxIdle); conn != nil {
		return conn, nil
	}
	return p.Dial(ctx, address)
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	started := time.Now()
	dialCtx, cancel := withPatience(ctx, DialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, dialError(ctx, err, time.Since(started))
	}
	p.onOpen()
	conn := &Conn{Conn: raw, address: address, idleTimeout: defaultIdleTimeout, onBytes: p.onBytes, memory: p.memory.Reserve(), writing: &p.writing}
	conn.reader = bufio.NewReaderSize(conn, readBufferSize)
	return conn, nil
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readingHead && c.headErr != nil {
		// The buffer above forgets an error once it has returned it.
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p)
	c.onBytes(n, 0)
	if c.readingHead {
		if c.headErr = c.scanHead(p[:n]); c.headErr != nil {
			return 0, c.headErr
		}
	}
	return n, err
}

// scanHead checks the next bytes of a head before they are parsed. A head that is complete within the first
// read needs no reservation: the buffer holds it.
func (c *Conn) scanHead(data []byte) error {
	if err := c.head.scan(data); err != nil {
		return err
	}
	if c.head.ended || c.head.bytes <= readBufferSize {
		return nil
	}
	return c.memory.Grow(headMemoryFactor * c.head.bytes)
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.writing.Add(-int64(len(p)))
	c.onBytes(0, n)
	return n, err
}

// takeIdle returns the most recently used idle connection that is usable, nil if there is none.
// It closes the unusable connections that it finds.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Since(conn.lastUsed) < min(maxIdle, conn.idleTimeout) && conn.noPendingInput() {
			conn.Reused = true
			return conn
		}
		_ = conn.Close()
	}
}

// Put returns a connection to the pool, or closes it if it cannot be reused. Its last response
// must have been read completely.
func (p *Pool) Put(conn *Conn) {
	if conn.reader.Buffered() > 0 || !conn.RequestWritten() {
		_ = conn.Close()
		return
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return
	}
	conn.lastUsed = time.Now()
	p.mu.Lock()
	list := p.idle[conn.address]
	if len(list) >= maxIdlePerTarget {
		p.mu.Unlock()
		_ = conn.Close()
		return
	}
	p.idle[conn.address] = append(list, conn)
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// CloseExpired closes connections whose idle timeout has expired.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var expired []*Conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if time.Since(conn.lastUsed) < conn.idleTimeout {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// noPendingInput reports whether an idle connection is still open and has no unread data.
func (c *Conn) noPendingInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Request is an HTTP request to a target.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Permit, if set, is called right before the first byte is sent. If it returns false, nothing is
	// sent.
	Permit func() bool
}

func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes a request. If it returns an error, sent reports whether a part of the request may
// have reached the target. It returns ErrNotPermitted if the request was not permitted; the connection
// can then be used for another one.
func (c *Conn) Send(req *Request) (sent bool, err error) {
	c.bodyWritten, c.writeErr = nil, nil
	head := req.encodeHead()
	if req.Permit != nil && !req.Permit() {
		return false, ErrNotPermitted
	}
	if len(head)+len(req.Body) <= maxInlineRequest {
		n, err := c.Write(append(head, req.Body...))
		return n > 0, err
	}
	n, err := c.Write(head)
	if err != nil {
		return n > 0, err
	}
	done := make(chan struct{})
	c.bodyWritten = done
	go func() {
		_, c.writeErr = c.Write(req.Body)
		close(done)
	}()
	return true, nil
}

// RequestWritten reports whether the request has been written completely.
func (c *Conn) RequestWritten() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case <-c.bodyWritten:
		return c.writeErr == nil
	default:
		return false
	}
}

// writeGrace is how long AwaitWritten waits for a write in progress. A connection that was reset ends it at once.
const writeGrace = 100 * time.Millisecond

// AwaitWritten waits a limited time for the end of the concurrent write of a request's body, and reports whether the
// request has been written completely. A reset that the write takes is not seen by reads, which end as after a
// whole response.
func (c *Conn) AwaitWritten() bool {
	if c.bodyWritten == nil {
		return true
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-c.bodyWritten:
	case <-timer.C:
	}
	return c.RequestWritten()
}

// Receive reads the header of the next final response to a request with the given method. The
// caller must read the body before the next call. Reading the body returns an error if the
// connection fails before the end of the response.
func (c *Conn) Receive(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.readingHead, c.head, c.headErr = true, newHeadScanner(), nil
	defer func() {
		c.readingHead = false
		c.memory.Release()
	}()
	// The end of the previous response may have brought bytes of this head.
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.scanHead(buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if c.headErr != nil {
			// The parser may report the line that it could not read completely instead.
			return nil, c.headErr
		}
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
			return nil, ErrInvalidStatus
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocolSwitched
		case response.StatusCode >= http.StatusOK:
			c.applyKeepAlive(response.Header)
			return response, nil
		}
	}
}

// applyKeepAlive applies the idle timeout of a Keep-Alive header.
func (c *Conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = min(defaultIdleTimeout, max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin))
		}
	}
}

// Response is a response whose body is buffered.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxBufferedBody limits the body of a Response in bytes. The report of an engine with 64 streams has
// about 5 KB.
const maxBufferedBody = 64 << 10

// Probe sends a GET request for a path over a new connection.
func (p *Pool) Probe(ctx context.Context, address, path string, timeout time.Duration) (Response, error) {
	return p.Do(ctx, address, &Request{Method: http.MethodGet, URI: path, Header: http.Header{}}, timeout)
}

// Do sends a request over a new connection and reads the response. If req.Host is empty, it sets
// it to the address. A body beyond maxBufferedBody is dropped: the target has answered, but nothing can be
// decoded from its answer.
func (p *Pool) Do(ctx context.Context, address string, req *Request, timeout time.Duration) (Response, error) {
	ctx, cancel := withPatience(ctx, timeout)
	defer cancel()
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if req.Host == "" {
		req.Host = address
	}
	if _, err := conn.Send(req); err != nil {
		return Response{}, err
	}
	response, err := conn.Receive(req.Method)
	if err != nil {
		return Response{}, err
	}
	memory := p.memory.Reserve()
	defer memory.Release()
	body, err := ReadBody(response.Body, maxBufferedBody, memory)
	if err != nil && !errors.Is(err, ErrBodyTooLong) && !errors.Is(err, ErrMemoryExceeded) {
		return Response{}, err
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
