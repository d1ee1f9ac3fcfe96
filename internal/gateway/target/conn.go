package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// inlineWrite is the size up to which a request is written before its answer is read.
	// Larger ones are written beside the reading, since a target may answer early.
	inlineWrite = 32 << 10
	// readBuffer holds an answer of usual size or several events.
	readBuffer = 4 << 10
	// defaultIdleLimit is how long a connection is kept unused if the target does not say.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is kept to the idle time that a target states.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the kept connections to one target.
	maxIdlePerTarget = 16
)

// ErrUnexpectedBytes is returned for a connection on which bytes came without a request.
var ErrUnexpectedBytes = errors.New("the target sent bytes that answer no request")

// Conn is one connection to a target. It serves one request at a time.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	lastUsed  time.Time
	idleLimit time.Duration
	// Reused is set if the connection served a request before.
	Reused bool
	// OnIdle, if set, is called when nothing arrived until IdleDeadline; an error ends the read.
	OnIdle func() error
	// IdleDeadline returns the time of the next call of OnIdle.
	IdleDeadline func() time.Time
	// wroteAll is closed when the whole request has been written.
	wroteAll chan struct{}
	writeErr error
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	opened func()
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// NewPool returns an empty pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{dialer: NewDialer(), opened: opened, idle: map[string][]*Conn{}}
}

// Get returns an idle connection that was used within maxIdle, or a new one.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	if conn := p.take(address, maxIdle); conn != nil {
		return conn, nil
	}
	return p.Dial(ctx, address)
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.opened()
	conn := &Conn{Conn: raw, address: address, idleLimit: defaultIdleLimit}
	conn.reader = bufio.NewReaderSize(conn, readBuffer)
	return conn, nil
}

// Read implements io.Reader. While OnIdle is set, a pause is no error to the decoders above,
// which cannot continue after one.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if c.OnIdle == nil {
			return c.Conn.Read(p)
		}
		if err := c.SetReadDeadline(c.IdleDeadline()); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.OnIdle(); err != nil {
			return 0, err
		}
	}
}

// take returns the idle connection that was used last, and closes those that are unusable.
func (p *Pool) take(address string, maxIdle time.Duration) *Conn {
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
		if time.Since(conn.lastUsed) < min(maxIdle, conn.idleLimit) && conn.quiet() {
			conn.Reused = true
			return conn
		}
		_ = conn.Close()
	}
}

// Put keeps a connection whose last answer was read to its end.
func (p *Pool) Put(conn *Conn) {
	if conn.reader.Buffered() > 0 || !conn.written() {
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

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var old []*Conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if time.Since(conn.lastUsed) < conn.idleLimit {
				kept = append(kept, conn)
			} else {
				old = append(old, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// quiet reports whether nothing arrived on the idle connection, not even its end.
func (c *Conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Request is a request as it goes to a target.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

func (m *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = m.Header.Write(&b)
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes a request. With an error, sent tells whether a byte of it may have left.
func (c *Conn) Send(m *Request) (sent bool, err error) {
	c.wroteAll, c.writeErr = nil, nil
	head := m.head()
	if len(head)+len(m.Body) <= inlineWrite {
		n, err := c.Write(append(head, m.Body...))
		return n > 0, err
	}
	n, err := c.Write(head)
	if err != nil {
		return n > 0, err
	}
	done := make(chan struct{})
	c.wroteAll = done
	go func() {
		_, c.writeErr = c.Write(m.Body)
		close(done)
	}()
	return true, nil
}

// written reports whether the whole request has been written.
func (c *Conn) written() bool {
	if c.wroteAll == nil {
		return true
	}
	select {
	case <-c.wroteAll:
		return c.writeErr == nil
	default:
		return false
	}
}

// Receive reads the header of the next answer. Its body must be read before the next
// call; it ends with an error if the connection breaks before the answer's end.
func (c *Conn) Receive(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.observeKeepAlive(response.Header)
			return response, nil
		}
	}
}

// observeKeepAlive takes in the idle time that the target states.
func (c *Conn) observeKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleLimit = min(defaultIdleLimit, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
}

// Response is a short answer that was read as a whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxShortAnswer bounds the body of a short answer.
const maxShortAnswer = 1 << 20

// Probe asks a path over a new connection.
func (p *Pool) Probe(ctx context.Context, address, path string, timeout time.Duration) (Response, error) {
	return p.Do(ctx, address, &Request{Method: http.MethodGet, URI: path, Header: http.Header{}}, timeout)
}

// Do sends a message over a new connection and reads the answer.
func (p *Pool) Do(ctx context.Context, address string, m *Request, timeout time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if m.Host == "" {
		m.Host = address
	}
	if _, err := conn.Send(m); err != nil {
		return Response{}, err
	}
	response, err := conn.Receive(m.Method)
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxShortAnswer))
	if err != nil {
		return Response{}, err
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
