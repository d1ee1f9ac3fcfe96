package obs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"bramleygap/internal/settings"
)

const (
	// linesPerSecond limits the lines below warning level of one process. In production
	// a gateway normally writes about 30 lines/s.
	linesPerSecond = 400
	// warningsPerSecond limits all other lines separately, so that neither kind uses up
	// the limit of the other.
	warningsPerSecond = 100
	// bufferedLines is the number of lines buffered for a slow output; the oldest are
	// overwritten.
	bufferedLines = 2048
)

// BoundedLog is a rate-limited logger that never blocks its callers and reports dropped lines.
type BoundedLog struct {
	Logger  zerolog.Logger
	writer  diode.Writer
	limiter *rateLimiter
}

// NewBoundedLog returns a logger to w that passes the number of newly dropped lines to dropped.
func NewBoundedLog(s settings.Log, w io.Writer, dropped func(lines int)) *BoundedLog {
	writer := diode.NewWriter(w, bufferedLines, 0, dropped)
	l := &rateLimiter{dropped: dropped, now: time.Now}
	return &BoundedLog{Logger: NewLogger(s, writer).Sample(l), writer: writer, limiter: l}
}

// Close writes the buffered lines.
func (b *BoundedLog) Close() error { return b.writer.Close() }

// rateLimiter implements zerolog.Sampler: it admits a limited number of lines per second.
type rateLimiter struct {
	dropped func(lines int)
	now     func() time.Time

	mu              sync.Mutex
	windowStart     time.Time
	lines, warnings int
}

// Sample implements zerolog.Sampler.
func (l *rateLimiter) Sample(level zerolog.Level) bool {
	l.mu.Lock()
	now := l.now()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.lines, l.warnings = now, 0, 0
	}
	count, limit := &l.lines, linesPerSecond
	if level >= zerolog.WarnLevel {
		count, limit = &l.warnings, warningsPerSecond
	}
	admitted := *count < limit
	if admitted {
		*count++
	}
	l.mu.Unlock()
	if !admitted {
		l.dropped(1)
	}
	return admitted
}
