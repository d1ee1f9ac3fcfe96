package relay

import "time"

const (
	// maxUnproductiveBytes and maxUnproductiveEvents limit what a target sends at once without continuing
	// the stream. A target that resumes may repeat some events.
	maxUnproductiveBytes  = 128 << 10
	maxUnproductiveEvents = 1024
	// unproductiveBytesRate and unproductiveEventsRate permit more in the course of time, per second, since
	// comments may keep a connection open while a long prompt is read.
	unproductiveBytesRate  = 4 << 10
	unproductiveEventsRate = 20
)

// Unproductive limits what a target sends that does not continue a stream: comments, and events that the caller
// has. Each costs processor time that other streams lack. The zero value counts from the first event on.
type Unproductive struct {
	since         time.Time
	bytes, events int
}

// Reset starts to count anew, after an event that continues the stream.
func (u *Unproductive) Reset(now time.Time) { *u = Unproductive{since: now} }

// Permits counts an event of a size in bytes and reports whether the target may go on.
func (u *Unproductive) Permits(now time.Time, size int) bool {
	if u.since.IsZero() {
		u.since = now
	}
	u.bytes += size
	u.events++
	seconds := now.Sub(u.since).Seconds()
	return float64(u.bytes) <= maxUnproductiveBytes+seconds*unproductiveBytesRate &&
		float64(u.events) <= maxUnproductiveEvents+seconds*unproductiveEventsRate
}
