// Package storelimit paces the claim writes of one entry to what the table service
// takes. Entries share the table's limit without coordination: each raises its rate
// additively and cuts it multiplicatively when the table refuses.
package storelimit

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxRate exceeds the several hundred writes a second that the table takes, so that
	// the table and not this constant sets the limit.
	MaxRate = 1000.0
	// MinRate lets an entry serve some calls at once after an outage; recorded traces
	// offer 2 to 4 calls/s of three writes each.
	MinRate = 50.0
	// Burst is how many writes may follow each other without a pause.
	Burst = 10.0

	// increasePerSecond regains a cut at 400 writes/s in under two seconds.
	increasePerSecond = 50.0
	cutFactor         = 0.8
	// cutInterval makes the refusals of writes that were under way together one signal.
	cutInterval = 100 * time.Millisecond

	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	// maxShift bounds the doubling where backoffBase exceeds backoffMax.
	maxShift = 6

	// writesPerCall counts claim, dispatch and outcome: each claim ahead of a new one
	// brings two more writes that go first.
	writesPerCall = 3
)

// Class is the progress of the call that a write belongs to. Lower values go first.
type Class int

// Classes of writes.
const (
	// ClassOutcome stores an outcome or withdraws a claim, which ends a call.
	ClassOutcome Class = iota
	ClassDispatch
	ClassClaim
	classes
)

// Limiter is the write queue of one entry. It is not safe for concurrent use.
type Limiter struct {
	rate   float64 // writes per second
	tokens float64
	// last is when tokens and rate were last brought up to date. After a refusal it
	// lies ahead: nothing is granted before it.
	last time.Time
	// cutFrom is the earliest time of the next cut.
	cutFrom time.Time
	// cuts counts the cuts since the table last accepted a write.
	cuts   int
	queues [classes][]uint64
}

// New returns a limiter with an empty queue at MaxRate.
func New(now time.Time) *Limiter { return &Limiter{rate: MaxRate, tokens: Burst, last: now} }

// Rate returns the current rate in writes per second.
func (l *Limiter) Rate(now time.Time) float64 {
	l.refill(now)
	return l.rate
}

// Enqueue adds a write. It returns false, and adds nothing, for a claim that would
// wait longer than patience; writes of calls that hold a claim are always taken.
func (l *Limiter) Enqueue(now time.Time, id uint64, class Class, patience time.Duration) bool {
	l.refill(now)
	if class == ClassClaim && l.claimWait(now) > patience {
		return false
	}
	l.queues[class] = append(l.queues[class], id)
	return true
}

// claimWait estimates how long a new claim would wait.
func (l *Limiter) claimWait(now time.Time) time.Duration {
	ahead := len(l.queues[ClassOutcome]) + len(l.queues[ClassDispatch]) + writesPerCall*len(l.queues[ClassClaim])
	return max(0, l.last.Sub(now)) + l.timeFor(float64(ahead+1))
}

// timeFor returns the time until the bucket holds the tokens, at the current rate.
func (l *Limiter) timeFor(tokens float64) time.Duration {
	return time.Duration(max(0, tokens-l.tokens) / l.rate * float64(time.Second))
}

// Grant removes the writes that may be sent now and returns them in order, and how
// long to wait before the next call; 0 means that the queue is empty.
func (l *Limiter) Grant(now time.Time) ([]uint64, time.Duration) {
	l.refill(now)
	var granted []uint64
	for class := range l.queues {
		for len(l.queues[class]) > 0 {
			if l.tokens < 1 || now.Before(l.last) {
				// The extra nanosecond makes up for the rounding of the quotient.
				return granted, max(0, l.last.Sub(now)) + l.timeFor(1) + 1
			}
			l.tokens--
			granted = append(granted, l.queues[class][0])
			l.queues[class] = l.queues[class][1:]
		}
	}
	return granted, 0
}

// Remove takes a write out of the queue; it returns false if the write was granted.
func (l *Limiter) Remove(id uint64, class Class) bool {
	i := slices.Index(l.queues[class], id)
	if i < 0 {
		return false
	}
	l.queues[class] = slices.Delete(l.queues[class], i, i+1)
	return true
}

// Accepted tells that the table took a write.
func (l *Limiter) Accepted() { l.cuts = 0 }

// Refused tells that the table refused a write: the rate is cut, and no write is
// granted for a random time, so that entries refused together do not return together.
func (l *Limiter) Refused(now time.Time, rng *rand.Rand) {
	if now.Before(l.cutFrom) {
		return
	}
	l.refill(now)
	l.rate = max(MinRate, l.rate*cutFactor)
	l.tokens = 0
	bound := min(backoffMax, backoffBase<<min(l.cuts, maxShift))
	l.cuts++
	l.last = now.Add(time.Duration(rng.Int64N(int64(bound) + 1)))
	l.cutFrom = l.last.Add(cutInterval)
}

// refill adds what time has earned; a clock that went back earns nothing.
func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.last).Seconds()
	if elapsed <= 0 {
		return
	}
	l.last = now
	l.rate = min(MaxRate, l.rate+increasePerSecond*elapsed)
	l.tokens = min(Burst, l.tokens+l.rate*elapsed)
}
