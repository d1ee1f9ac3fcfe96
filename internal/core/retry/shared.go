package retry

import "time"

const (
	// boundShare is the share of the bounds that the gateways use. The rest covers attempts that
	// reach their targets in a later window than the one in which they were permitted.
	boundShare = 0.95
	// slackHeldShare is the share of the slack that a full budget holds. As much is refilled
	// within a window.
	slackHeldShare = 0.5
	// youngHeldShare is the same for a process younger than a window, and youngInitialShare the
	// share that its budget begins with: with what its predecessor took in the same window, a
	// gateway that restarts once takes no more than the whole.
	youngHeldShare    = 0.4
	youngInitialShare = 0.2
	// bankedShare is the share of the tokens per request that a full budget holds for the
	// requests of the last window. The rest is added with each request.
	bankedShare = 0.25
	// countSlots is the number of slots into which a window of requests is divided.
	countSlots = 10
	// reservedShare is the largest share that is kept for resumes of what a full budget holds beyond one
	// token. With many gateways a full budget holds about two, and a share of all would leave none to others.
	reservedShare = 0.5
)

// Bounds limit the repeated attempts at one service, summed over all gateways. In each window
// there may be Ratio times the service's requests of that window or the one before, plus Slack.
type Bounds struct {
	Ratio, Slack float64
	Window       time.Duration
}

// SharedBudget is one gateway's part of the Bounds of a service. It is not safe for concurrent
// use.
//
// Invariant: a window begins with at most the capacity, that is a part of the slack and of the
// requests before the window, and adds the other part of the slack and of the requests in it.
// Summed over the gateways, this is at most boundShare of the Bounds, also when gateways give each other tokens. A new budget is nearly
// empty, because the process does not know what its predecessor took in the same window.
type SharedBudget struct {
	bounds   Bounds
	gateways int
	tokens   float64
	started  time.Time
	last     time.Time
	requests slidingCount
	// waiting holds when streams that have run last found no token, by stream.
	waiting map[string]time.Time
}

// NewSharedBudget returns the budget of a process that started at the given time.
func NewSharedBudget(at time.Time, bounds Bounds, gateways int) *SharedBudget {
	b := &SharedBudget{started: at, last: at, requests: slidingCount{slotStart: at}}
	b.SetBounds(bounds, gateways)
	b.tokens = youngInitialShare * b.slack()
	return b
}

// SetBounds replaces the bounds and the number of gateways that share them. If the number grows,
// the tokens were granted for too large a part.
func (b *SharedBudget) SetBounds(bounds Bounds, gateways int) {
	gateways = max(1, gateways)
	if gateways > b.gateways {
		b.tokens *= float64(b.gateways) / float64(gateways)
	}
	b.bounds, b.gateways = bounds, gateways
	b.requests.slot = bounds.Window / countSlots
	b.tokens = min(b.tokens, b.capacity())
}

// slack returns this gateway's part of the slack.
func (b *SharedBudget) slack() float64 { return boundShare * b.bounds.Slack / float64(b.gateways) }

// heldSlack returns the part of the slack that a full budget holds.
func (b *SharedBudget) heldSlack() float64 {
	if b.last.Sub(b.started) < b.bounds.Window {
		return youngHeldShare * b.slack()
	}
	return slackHeldShare * b.slack()
}

func (b *SharedBudget) capacity() float64 {
	return b.heldSlack() + bankedShare*boundShare*b.bounds.Ratio*float64(b.requests.total())
}

// Refill adds the tokens accrued since the last call.
func (b *SharedBudget) Refill(now time.Time) {
	elapsed := max(0, now.Sub(b.last))
	b.last = now
	b.requests.advance(now)
	b.tokens += b.heldSlack() * float64(elapsed) / float64(b.bounds.Window)
	b.tokens = min(b.tokens, b.capacity())
}

// OnRequest counts a request, whether or not it will be sent to a target.
func (b *SharedBudget) OnRequest() {
	b.requests.add()
	b.tokens = min(b.capacity(), b.tokens+(1-bankedShare)*boundShare*b.bounds.Ratio)
}

// TakeRetry takes a token for another attempt of a request that has not run, and reports whether
// there was one. It leaves tokens for resumes of the given number of streams in flight.
func (b *SharedBudget) TakeRetry(inflightStreams int) bool {
	return b.take(min(reservedShare*max(0, b.capacity()-1), float64(inflightStreams)))
}

// TakeResume takes a token for another attempt of a stream that has run and can still continue
// in time, and reports whether there was one. Streams that are late take TakeRetry.
func (b *SharedBudget) TakeResume() bool { return b.take(0) }

func (b *SharedBudget) take(reserved float64) bool {
	if b.tokens < 1+reserved {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the tokens that are left.
func (b *SharedBudget) Tokens() float64 { return b.tokens }

// Refund returns the token of an attempt that did not reach its target.
func (b *SharedBudget) Refund() { b.tokens = min(b.capacity(), b.tokens+1) }

// slidingCount counts events in the last countSlots complete slots.
type slidingCount struct {
	slot      time.Duration
	slotStart time.Time
	current   int
	complete  [countSlots]int
	sum       int
	next      int
}

func (c *slidingCount) add() { c.current++ }

func (c *slidingCount) total() int { return c.sum }

// advance closes the slots that have ended.
func (c *slidingCount) advance(now time.Time) {
	if now.Sub(c.slotStart) > time.Duration(countSlots+1)*c.slot {
		*c = slidingCount{slot: c.slot, slotStart: now}
		return
	}
	for now.Sub(c.slotStart) >= c.slot {
		c.sum += c.current - c.complete[c.next]
		c.complete[c.next], c.current = c.current, 0
		c.next = (c.next + 1) % countSlots
		c.slotStart = c.slotStart.Add(c.slot)
	}
}

// PeakCount is the largest count observed in the last Memory. A gateway that loses contact with
// others goes on to share the budget with them.
type PeakCount struct {
	Memory time.Duration
	peak   int
	at     time.Time
}

// Observe records a count and returns the peak.
func (p *PeakCount) Observe(now time.Time, count int) int {
	if count >= p.peak || now.Sub(p.at) > p.Memory {
		p.peak, p.at = count, now
	}
	return p.peak
}
