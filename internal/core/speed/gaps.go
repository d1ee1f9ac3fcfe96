package speed

import (
	"slices"
	"time"
)

const (
	// gapWindow is the number of gaps that are kept, minGaps the least number of which a sample is made.
	gapWindow, minGaps = 64, 16
	// SummaryInterval is the time between two summaries of one stream.
	SummaryInterval = 2 * time.Second
	// burstGap is the gap below which events count as having arrived together, because this process or its
	// client was late. The time before them is then divided among them.
	burstGap = time.Millisecond
	// maxGap is the longest gap or latency that is told from longer ones. All speeds end well below it.
	maxGap = 4 * time.Second
)

// Gaps collects the gaps between the events of one stream. Add costs a few ns.
type Gaps struct {
	// last is when the events of the current burst arrived and before when those of the one before did, 0 for none.
	last, before time.Duration
	// burst is the number of events of the current burst.
	burst int
	// begin is when the window began.
	begin time.Duration
	// nanos holds the last gaps of the count in the window, in ns.
	nanos [gapWindow]uint32
	count int
}

// Add records that an event has arrived at a time since the beginning of its attempt. It reports whether a summary is due.
func (g *Gaps) Add(at time.Duration) bool {
	switch {
	case g.last == 0:
		g.last, g.burst = at, 1
		if g.begin == 0 {
			g.begin = at
		}
		return false
	case at-g.last < burstGap:
		g.burst++
		return false
	}
	if g.before != 0 {
		gap := g.last - g.before
		if g.burst > 1 {
			gap /= time.Duration(g.burst)
		}
		g.nanos[g.count%gapWindow] = uint32(min(gap, maxGap))
		g.count++
	}
	g.before, g.last, g.burst = g.last, at, 1
	return at-g.begin >= SummaryInterval
}

// SkipNext leaves out the gap before the next event: the last one was passed on late, so that the next was not awaited.
func (g *Gaps) SkipNext() { g.last, g.before = 0, 0 }

// Summary returns the lower quartile of the gaps since the last summary and begins a new window. It
// returns false if there were too few. Prompts that are read beside the stream lengthen its gaps only.
func (g *Gaps) Summary() (time.Duration, bool) {
	n := min(g.count, gapWindow)
	g.count, g.begin = 0, max(g.begin, g.last)
	if n < minGaps {
		return 0, false
	}
	return lowerQuartile(g.nanos[:n]), true
}

// lowerQuartile returns the lower quartile of durations in ns. It sorts the list.
func lowerQuartile(nanos []uint32) time.Duration {
	slices.Sort(nanos)
	return time.Duration(nanos[len(nanos)/4])
}

// callWindow is the number of calls of which a sample is made.
const callWindow = 16

// Latencies collects the latencies of the calls at one target.
type Latencies struct {
	nanos [callWindow]uint32
	count int
}

// Add records the latency of a call. It returns the lower quartile of the last ones, which have waited the least,
// and false if too few came since the last one that it returned.
func (l *Latencies) Add(latency time.Duration) (time.Duration, bool) {
	l.nanos[l.count] = uint32(min(latency, maxGap))
	l.count++
	if l.count < callWindow {
		return 0, false
	}
	l.count = 0
	return lowerQuartile(l.nanos[:]), true
}
