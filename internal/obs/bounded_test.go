package obs

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/settings"
)

// Guards against unbounded log volume, against warnings dropped because of many other lines,
// and against dropped lines that are not counted.
func TestRateLimit(t *testing.T) {
	c := qt.New(t)
	dropped := 0
	now := time.Unix(1000, 0)
	l := &rateLimiter{dropped: func(n int) { dropped += n }, now: func() time.Time { return now }}
	for range linesPerSecond {
		c.Assert(l.Sample(zerolog.InfoLevel), qt.IsTrue)
	}
	c.Check(l.Sample(zerolog.InfoLevel), qt.IsFalse)
	c.Check(l.Sample(zerolog.WarnLevel), qt.IsTrue)
	c.Check(dropped, qt.Equals, 1)
	now = now.Add(time.Second)
	c.Check(l.Sample(zerolog.InfoLevel), qt.IsTrue)
}

// Guards against a process that blocks while nothing reads its output.
func TestSlowOutputDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	reader, writer := io.Pipe()
	var dropped atomic.Int64
	b := NewBoundedLog(settings.Log{}, writer, func(n int) { dropped.Add(int64(n)) })
	for range 3 * linesPerSecond {
		b.Logger.Info().Msg("line")
	}
	c.Check(dropped.Load() > 0, qt.IsTrue)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	c.Check(b.Close(), qt.IsNil)
}

// Guards against buffered lines that are lost at a regular shutdown.
func TestCloseWritesBufferedLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	b := NewBoundedLog(settings.Log{}, &out, func(int) {})
	b.Logger.Info().Msg("last words")
	c.Check(b.Close(), qt.IsNil)
	c.Check(strings.Contains(out.String(), "last words"), qt.IsTrue)
}
