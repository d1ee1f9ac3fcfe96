package share

import "time"

const windowBuckets = 50

// window sums work over a sliding window divided into equal buckets.
type window struct {
	buckets [windowBuckets]float64
	sum     float64
	last    int64 // number of the newest bucket since the epoch
}

func (w *window) add(now time.Time, length time.Duration, work float64) {
	w.advance(now, length)
	w.buckets[w.last%windowBuckets] += work
	w.sum += work
}

// rate returns the work per second.
func (w *window) rate(now time.Time, length time.Duration) float64 {
	w.advance(now, length)
	return max(0, w.sum) / length.Seconds()
}

// advance clears the buckets that are no longer within the window.
func (w *window) advance(now time.Time, length time.Duration) {
	current := now.UnixNano() / int64(length/windowBuckets)
	if current <= w.last {
		return
	}
	if current-w.last >= windowBuckets {
		w.buckets, w.sum, w.last = [windowBuckets]float64{}, 0, current
		return
	}
	for w.last < current {
		w.last++
		w.sum -= w.buckets[w.last%windowBuckets]
		w.buckets[w.last%windowBuckets] = 0
	}
}
