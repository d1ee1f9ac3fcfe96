package placement

import "time"

const (
	// minCompletionSamples is the number of complete streams from which on a Completion estimates.
	minCompletionSamples = 4
	// leastDrift is the part by which the least value seen rises with each further one, so that it follows
	// streams that become longer or slower.
	leastDrift = 0.01
)

// least is the least of the recent values.
type least float64

func (l *least) add(value float64) {
	*l += least(leastDrift) * *l
	if *l == 0 || least(value) < *l {
		*l = least(value)
	}
}

// Completion bounds from below what the rest of a stream takes, by the streams of its service that completed. It is
// not safe for concurrent use.
type Completion struct {
	samples int
	// eventsPerToken is the number of events for each token that the request permits, and interval the time
	// between events in seconds.
	eventsPerToken, interval least
}

// Observe records a stream that one target generated from the first event to the last: the tokens that its request
// permitted, its events and the time from the first to the last.
func (c *Completion) Observe(maxTokens, events int, took time.Duration) {
	if maxTokens <= 0 || events <= 1 || took <= 0 {
		return
	}
	c.samples++
	c.eventsPerToken.add(float64(events) / float64(maxTokens))
	c.interval.add(took.Seconds() / float64(events-1))
}

// Least returns the least time from the next event of a stream to its last, for a request that permits maxTokens
// and whose caller has the events up to after. It returns 0 if too little is known.
func (c *Completion) Least(maxTokens int, after uint64) time.Duration {
	if c == nil || c.samples < minCompletionSamples {
		return 0
	}
	events := float64(c.eventsPerToken)*float64(maxTokens) - float64(after) - 1
	return time.Duration(max(0, events) * float64(c.interval) * float64(time.Second))
}
