package evidence

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// baselineWindow is the period over which the old version's latencies are collected.
	baselineWindow = time.Minute
	// baselineMinimum is the number of samples from which a percentile is used.
	baselineMinimum = 20
	// slowFactor is the excess over the old version's 95th percentile from which a
	// request is slow.
	slowFactor        = 1.5
	slowPercentile    = 95
	histogramMaximum  = int64(10 * time.Minute / time.Microsecond)
	histogramAccuracy = 2
)

// Baseline holds the latencies of an old version in the current and the last minute.
type Baseline struct {
	since            time.Time
	first, interval  *hdrhistogram.Histogram
	pFirst, pBetween int64
}

// NewBaseline returns an empty baseline.
func NewBaseline(now time.Time) *Baseline {
	return &Baseline{
		since:    now,
		first:    hdrhistogram.New(1, histogramMaximum, histogramAccuracy),
		interval: hdrhistogram.New(1, histogramMaximum, histogramAccuracy),
	}
}

// Observe adds the latencies of a request of the old version; 0 means not measured.
func (b *Baseline) Observe(now time.Time, firstToken, tokenInterval time.Duration) {
	b.rotate(now)
	record(b.first, firstToken)
	record(b.interval, tokenInterval)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		// Values above the range are counted at its end.
		_ = h.RecordValue(min(histogramMaximum, max(1, d.Microseconds())))
	}
}

// rotate keeps the percentiles of the last window with enough samples for the next ones.
func (b *Baseline) rotate(now time.Time) {
	if now.Sub(b.since) < baselineWindow {
		return
	}
	b.pFirst, b.pBetween = percentile(b.first, b.pFirst), percentile(b.interval, b.pBetween)
	b.first.Reset()
	b.interval.Reset()
	b.since = now
}

func percentile(h *hdrhistogram.Histogram, fallback int64) int64 {
	if h.TotalCount() < baselineMinimum {
		return fallback
	}
	return h.ValueAtQuantile(slowPercentile)
}

// Slow reports whether a request is slower than the old version by more than slowFactor.
// Without enough samples nothing is slow.
func (b *Baseline) Slow(now time.Time, firstToken, tokenInterval time.Duration) bool {
	b.rotate(now)
	return exceeds(firstToken, percentile(b.first, b.pFirst)) || exceeds(tokenInterval, percentile(b.interval, b.pBetween))
}

func exceeds(d time.Duration, reference int64) bool {
	return reference > 0 && float64(d.Microseconds()) > slowFactor*float64(reference)
}
