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

// Guards against a token accepted from a cut line, and against comments and other
// fields that end the stream.
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

// Guards against unbounded memory for a line without an end.
func TestDecoderBoundsLines(t *testing.T) {
	c := qt.New(t)
	_, err := NewDecoder(strings.NewReader("data: " + strings.Repeat("x", MaxLineBytes) + "\n")).Next()
	c.Assert(err, qt.ErrorIs, ErrLineTooLong)
}

// Guards against panics and endless loops on arbitrary bytes of a broken engine.
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

// Guards against a live engine's error or silence that counts as its death, and a dead
// engine that does not.
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

// Guards against block hashes that ignore the version or an earlier block.
func TestPromptBlockHashes(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("a", blockBytes)
	one := PromptBlockHashes("m", "v1", "", text+text+"rest")
	c.Assert(one, qt.HasLen, 2)
	c.Assert(one[0], qt.Not(qt.Equals), one[1])
	c.Assert(PromptBlockHashes("m", "v1", "", text+text)[:2], qt.DeepEquals, one)
	c.Assert(PromptBlockHashes("m", "v2", "", text)[0], qt.Not(qt.Equals), one[0])
	c.Assert(PromptBlockHashes("m", "v1", "", strings.Repeat("b", blockBytes)+text)[1], qt.Not(qt.Equals), one[1])
}
