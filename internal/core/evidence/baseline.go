package evidence

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// baselineWindow is the period over which the old version's latencies are collected.
	baselineWindow = time.Minute
	// minBaselineSamples is the number of samples that a percentile requires.
	minBaselineSamples = 20
	// slowFactor is the multiple of the old version's 95th percentile above which a
	// request is slow.
	slowFactor = 1.5
	// muchSlowerFactor is the multiple above which a request is slow if the percentile dates from
	// before the old version lost its traffic: a busy machine or larger requests may have slowed
	// down that version too.
	muchSlowerFactor  = 4
	slowPercentile    = 95
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Baseline holds the latencies of an old version in the current window, and the percentiles
// of the last window with enough samples, in microseconds.
type Baseline struct {
	since                           time.Time
	firstToken, tokenInterval       *hdrhistogram.Histogram
	firstTokenP95, tokenIntervalP95 int64
}

// NewBaseline returns an empty baseline.
func NewBaseline(now time.Time) *Baseline {
	return &Baseline{
		since:         now,
		firstToken:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		tokenInterval: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// Observe records the latencies of a request of the old version; 0 means not measured.
func (b *Baseline) Observe(now time.Time, firstToken, tokenInterval time.Duration) {
	b.rotate(now)
	record(b.firstToken, firstToken)
	record(b.tokenInterval, tokenInterval)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		// Values above the range are recorded as its maximum.
		_ = h.RecordValue(min(maxLatencyMicros, max(1, d.Microseconds())))
	}
}

// rotate starts a new window when the current one is over. A window with too few samples
// keeps the percentiles of the one before.
func (b *Baseline) rotate(now time.Time) {
	if now.Sub(b.since) < baselineWindow {
		return
	}
	b.firstTokenP95, b.tokenIntervalP95 = percentile(b.firstToken, b.firstTokenP95), percentile(b.tokenInterval, b.tokenIntervalP95)
	b.firstToken.Reset()
	b.tokenInterval.Reset()
	b.since = now
}

func percentile(h *hdrhistogram.Histogram, fallback int64) int64 {
	if h.TotalCount() < minBaselineSamples {
		return fallback
	}
	return h.ValueAtQuantile(slowPercentile)
}

// Slow reports whether a request is slower than the old version by more than slowFactor.
// Without enough samples no request is slow.
func (b *Baseline) Slow(now time.Time, firstToken, tokenInterval time.Duration) bool {
	return b.exceeded(now, firstToken, tokenInterval, slowFactor)
}

// MuchSlower is Slow for an old version that has no traffic any more, with muchSlowerFactor.
func (b *Baseline) MuchSlower(now time.Time, firstToken, tokenInterval time.Duration) bool {
	return b.exceeded(now, firstToken, tokenInterval, muchSlowerFactor)
}

func (b *Baseline) exceeded(now time.Time, firstToken, tokenInterval time.Duration, factor float64) bool {
	b.rotate(now)
	return exceeds(firstToken, percentile(b.firstToken, b.firstTokenP95), factor) ||
		exceeds(tokenInterval, percentile(b.tokenInterval, b.tokenIntervalP95), factor)
}

// Percentiles returns the percentiles with which requests are compared; 0 means too few samples.
func (b *Baseline) Percentiles() (firstToken, tokenInterval time.Duration) {
	return time.Duration(percentile(b.firstToken, b.firstTokenP95)) * time.Microsecond,
		time.Duration(percentile(b.tokenInterval, b.tokenIntervalP95)) * time.Microsecond
}

func exceeds(d time.Duration, reference int64, factor float64) bool {
	return reference > 0 && float64(d.Microseconds()) > factor*float64(reference)
}
