// Package storelimit limits the claim writes of one entry to the rate that the table
// service accepts. Entries share the table's limit without coordination: each increases its
// rate additively and decreases it multiplicatively when the table refuses a write.
package storelimit

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxRate exceeds the several hundred writes per second that the table accepts, so
	// that the table and not this constant sets the limit.
	MaxRate = 1000.0
	// MinRate lets an entry serve some calls immediately after an outage; recorded traces
	// have 2 to 4 calls/s with three writes each.
	MinRate = 50.0
	// Burst is the maximum number of writes sent at once.
	Burst = 10.0

	// increasePerSecond recovers from a cut at 400 writes/s in under two seconds.
	increasePerSecond = 50.0
	cutFactor         = 0.8
	// cutInterval makes refusals of writes that were in flight together count as one.
	cutInterval = 100 * time.Millisecond

	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	// maxBackoffShift is the number of doublings after which backoffBase exceeds backoffMax.
	maxBackoffShift = 6

	// writesPerCall counts claim, dispatch and outcome: each claim ahead of a new one
	// leads to two more writes that are sent before it.
	writesPerCall = 3
)

// Class is the priority class of a write, given by the progress of its call. Lower values are
// sent first.
type Class int

// Classes of writes.
const (
	// ClassOutcome stores an outcome or withdraws a claim, which ends a call.
	ClassOutcome Class = iota
	ClassDispatch
	ClassClaim
	numClasses
)

// Limiter is the rate-limited write queue of one entry. It is not safe for concurrent use.
type Limiter struct {
	rate   float64 // writes per second
	tokens float64
	// updatedAt is when tokens and rate were last updated. After a refusal it is in the
	// future: nothing is granted before it.
	updatedAt time.Time
	// nextCut is the earliest time of the next cut.
	nextCut time.Time
	// cuts counts the cuts since the table last accepted a write.
	cuts   int
	queues [numClasses][]uint64
}

// New returns a limiter with an empty queue at MaxRate.
func New(now time.Time) *Limiter { return &Limiter{rate: MaxRate, tokens: Burst, updatedAt: now} }

// Rate returns the current rate in writes per second.
func (l *Limiter) Rate(now time.Time) float64 {
	l.refill(now)
	return l.rate
}

// Enqueue adds a write. It returns false, and adds nothing, for a claim that would wait
// longer than maxWait; writes of calls that hold a claim are always accepted.
func (l *Limiter) Enqueue(now time.Time, id uint64, class Class, maxWait time.Duration) bool {
	l.refill(now)
	if class == ClassClaim && l.claimWait(now) > maxWait {
		return false
	}
	l.queues[class] = append(l.queues[class], id)
	return true
}

// claimWait estimates how long a new claim would wait.
func (l *Limiter) claimWait(now time.Time) time.Duration {
	ahead := len(l.queues[ClassOutcome]) + len(l.queues[ClassDispatch]) + writesPerCall*len(l.queues[ClassClaim])
	return max(0, l.updatedAt.Sub(now)) + l.timeUntil(float64(ahead+1))
}

// timeUntil returns the time until the bucket holds the tokens at the current rate.
func (l *Limiter) timeUntil(tokens float64) time.Duration {
	return time.Duration(max(0, tokens-l.tokens) / l.rate * float64(time.Second))
}

// Grant removes the writes that may be sent now and returns them in order. It also returns
// how long to wait before the next call; 0 means that the queue is empty.
func (l *Limiter) Grant(now time.Time) ([]uint64, time.Duration) {
	l.refill(now)
	var granted []uint64
	for class := range l.queues {
		for len(l.queues[class]) > 0 {
			if l.tokens < 1 || now.Before(l.updatedAt) {
				// The extra nanosecond compensates for the rounding of the quotient.
				return granted, max(0, l.updatedAt.Sub(now)) + l.timeUntil(1) + 1
			}
			l.tokens--
			granted = append(granted, l.queues[class][0])
			l.queues[class] = l.queues[class][1:]
		}
	}
	return granted, 0
}

// Remove removes a write from the queue. It returns false if the write was already granted.
func (l *Limiter) Remove(id uint64, class Class) bool {
	i := slices.Index(l.queues[class], id)
	if i < 0 {
		return false
	}
	l.queues[class] = slices.Delete(l.queues[class], i, i+1)
	return true
}

// Accepted records that the table accepted a write.
func (l *Limiter) Accepted() { l.cuts = 0 }

// Refused records that the table refused a write. It cuts the rate and grants no write for a
// random backoff, so that entries refused together do not retry together. Refusals
// before nextCut are ignored.
func (l *Limiter) Refused(now time.Time, rng *rand.Rand) {
	if now.Before(l.nextCut) {
		return
	}
	l.refill(now)
	l.rate = max(MinRate, l.rate*cutFactor)
	l.tokens = 0
	bound := min(backoffMax, backoffBase<<min(l.cuts, maxBackoffShift))
	l.cuts++
	l.updatedAt = now.Add(time.Duration(rng.Int64N(int64(bound) + 1)))
	l.nextCut = l.updatedAt.Add(cutInterval)
}

// refill updates rate and tokens for the time since updatedAt. It does nothing during the
// backoff after a refusal and if the clock went back.
func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	l.updatedAt = now
	l.rate = min(MaxRate, l.rate+increasePerSecond*elapsed)
	l.tokens = min(Burst, l.tokens+l.rate*elapsed)
}
