package placement

import (
	"math"
	"time"
)

const (
	// minCompletionSamples is the number of complete streams from which on a Completion estimates.
	minCompletionSamples = 4
	// completionWeight is the weight of a new sample, once there are more than its inverse.
	completionWeight = 0.1
	// completionDeviations is the number of mean deviations below the mean that counts as the least. One value in
	// five lies below it if the values are normally distributed; both lengths and intervals are rarely that low
	// for one stream.
	completionDeviations = 1
)

// average is a moving average with its mean deviation.
type average struct{ mean, deviation float64 }

func (a *average) add(sample, weight float64) {
	a.deviation += weight * (math.Abs(sample-a.mean) - a.deviation)
	a.mean += weight * (sample - a.mean)
}

// least returns a value that few samples are below.
func (a *average) least() float64 { return max(0, a.mean-completionDeviations*a.deviation) }

// Completion estimates the least time that the rest of a stream takes, from streams of its service that
// completed. It is not safe for concurrent use.
type Completion struct {
	samples int
	// eventsPerToken is the number of events for each token that the request permits, and interval the time
	// between events in seconds.
	eventsPerToken, interval average
}

// Observe records a stream that one target generated from the first event to the last: the tokens that its request
// permitted, its events and the time from the first to the last.
func (c *Completion) Observe(maxTokens, events int, took time.Duration) {
	if maxTokens <= 0 || events <= 1 || took <= 0 {
		return
	}
	c.samples++
	perToken, interval := float64(events)/float64(maxTokens), took.Seconds()/float64(events-1)
	if c.samples == 1 {
		c.eventsPerToken.mean, c.interval.mean = perToken, interval
		return
	}
	weight := max(completionWeight, 1/float64(c.samples))
	c.eventsPerToken.add(perToken, weight)
	c.interval.add(interval, weight)
}

// Least returns the least time from the next event of a stream to its last, for a request that permits maxTokens
// and whose caller has the events up to after. It returns 0 if too little is known.
func (c *Completion) Least(maxTokens int, after uint64) time.Duration {
	if c == nil || c.samples < minCompletionSamples {
		return 0
	}
	events := c.eventsPerToken.least()*float64(maxTokens) - float64(after) - 1
	return time.Duration(max(0, events) * c.interval.least() * float64(time.Second))
}
