package engineapi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a token decoded from a truncated line, and against a stream that ends at
// a comment or an unknown field.
func TestDecoder(t *testing.T) {
	c := qt.New(t)
	d := NewDecoder(strings.NewReader(": comment\nid: 4\ndata: {\"index\":4,\"id\":9,\"bytes\":\"4oI=\"}\r\n\ndata: {\"index\":5,\"id\":1"))
	event, err := d.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(event, qt.DeepEquals, StreamEvent{Index: 4, ID: 9, Bytes: []byte("\xe2\x82")})
	_, err = d.Next()
	c.Assert(err, qt.ErrorIs, io.EOF)
	_, err = NewDecoder(strings.NewReader("data: nonsense\n")).Next()
	c.Assert(err, qt.ErrorIs, ErrMalformedEvent)
}

// Guards against unbounded memory use for a line without a line feed.
func TestDecoderBoundsLines(t *testing.T) {
	c := qt.New(t)
	_, err := NewDecoder(strings.NewReader("data: " + strings.Repeat("x", MaxLineBytes) + "\n")).Next()
	c.Assert(err, qt.ErrorIs, ErrLineTooLong)
}

// Guards against an engine that fills the memory of its caller with a header without end.
func TestHeaderWithoutEnd(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	taken := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		total, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		block := []byte(strings.Repeat("x:\r\n", 4<<10))
		for {
			n, err := conn.Write(block)
			total += n
			if err != nil {
				taken <- total
				return
			}
		}
	}()
	_, err = New("http://" + listener.Addr().String()).Load(t.Context())
	c.Check(err, qt.IsNotNil)
	// The buffers of both sockets hold several MB.
	c.Check(<-taken < 9<<20, qt.IsTrue)
}

// Guards against panics and endless loops on arbitrary input.
func FuzzDecoder(f *testing.F) {
	f.Add("data: {\"index\":1,\"id\":2,\"bytes\":\"YQ==\"}\n\ndata: {\"finish_reason\":\"stop\",\"tokens\":2}\n\n")
	f.Add("data:\n")
	f.Add("data: {\"index\":-1}\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for events := 0; ; events++ {
			if _, err := d.Next(); err != nil {
				return
			}
			if events > len(text) {
				t.Fatal("more events than bytes")
			}
		}
	})
}

// Guards against an error status or timeout of a live engine that counts as a connection
// error, and against a refused or broken connection that does not.
func TestIsConnectionError(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/health":
			panic(http.ErrAbortHandler)
		case "/load":
			<-release
		}
	}))
	client := New(server.URL)
	_, err := client.Health(context.Background())
	c.Assert(IsConnectionError(err), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(IsDialError(err), qt.IsFalse)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = client.Load(ctx)
	c.Assert(err, qt.IsNotNil)
	c.Assert(IsConnectionError(err), qt.IsFalse)
	c.Assert(IsConnectionError(&StatusError{StatusCode: 500}), qt.IsFalse)
	close(release)
	server.Close()
	_, err = client.Health(context.Background())
	c.Assert(IsConnectionError(err), qt.IsTrue)
	c.Assert(IsDialError(err), qt.IsTrue)
	var operation *net.OpError
	c.Assert(errors.As(err, &operation), qt.IsTrue)
}

// Guards against block hashes that do not depend on the version or an earlier block.
func TestPromptBlockHashes(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("a", blockBytes)
	hashes := PromptBlockHashes("m", "v1", "", text+text+"rest")
	c.Assert(hashes, qt.HasLen, 2)
	c.Assert(hashes[0], qt.Not(qt.Equals), hashes[1])
	c.Assert(PromptBlockHashes("m", "v1", "", text+text)[:2], qt.DeepEquals, hashes)
	c.Assert(PromptBlockHashes("m", "v2", "", text)[0], qt.Not(qt.Equals), hashes[0])
	c.Assert(PromptBlockHashes("m", "v1", "", strings.Repeat("b", blockBytes)+text)[1], qt.Not(qt.Equals), hashes[1])
}
