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
	// linesPerSecond bounds the lines below warning level of one process. A gateway of the
	// users' sites writes some 30 lines/s on a calm day.
	linesPerSecond = 400
	// warningsPerSecond bounds the others, so that neither kind hides the other.
	warningsPerSecond = 100
	// bufferedLines is the number of lines that wait for a slow output; the oldest are
	// overwritten.
	bufferedLines = 2048
)

// BoundedLog is a logger that never blocks its callers and whose rate is bounded. Lines that
// were dropped are counted.
type BoundedLog struct {
	Logger zerolog.Logger
	writer diode.Writer
	limit  *limit
}

// NewBoundedLog returns a logger to w; dropped is called with each number of lost lines.
func NewBoundedLog(s settings.Log, w io.Writer, dropped func(lines int)) *BoundedLog {
	writer := diode.NewWriter(w, bufferedLines, 0, dropped)
	l := &limit{dropped: dropped, now: time.Now}
	return &BoundedLog{Logger: NewLogger(s, writer).Sample(l), writer: writer, limit: l}
}

// Close writes what is buffered.
func (b *BoundedLog) Close() error { return b.writer.Close() }

// limit implements zerolog.Sampler: it admits a number of lines in each second.
type limit struct {
	dropped func(lines int)
	now     func() time.Time

	mu              sync.Mutex
	second          time.Time
	lines, warnings int
}

// Sample implements zerolog.Sampler.
func (l *limit) Sample(level zerolog.Level) bool {
	l.mu.Lock()
	now := l.now()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines, l.warnings = now, 0, 0
	}
	count, most := &l.lines, linesPerSecond
	if level >= zerolog.WarnLevel {
		count, most = &l.warnings, warningsPerSecond
	}
	admitted := *count < most
	if admitted {
		*count++
	}
	l.mu.Unlock()
	if !admitted {
		l.dropped(1)
	}
	return admitted
}
