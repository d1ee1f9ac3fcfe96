// Package retry bounds the retries of a service and decides whether one is worth starting.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// tokensPerRequest is the part of a retry that each request pays for.
	tokensPerRequest = 0.1
	// tokensPerSecond lets a service with little traffic retry at all.
	tokensPerSecond = 3.0
	// burst bounds the tokens saved up in quiet times.
	burst = 30.0
	// reserveMinimum is the smallest reserve for resumes.
	reserveMinimum = 64.0
	// reserveRefill is the time in which an empty reserve fills again.
	reserveRefill = 10 * time.Second

	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second

	// estimateWeight is the weight of a new sample in an Estimate.
	estimateWeight = 0.1
)

// Budget is the token bucket of one service. Retries draw from the common bucket.
// Resumes draw from a reserve first, sized so that each generation in flight may be
// resumed once: that is the demand when a zone is lost.
type Budget struct {
	rates   Rates
	tokens  float64
	reserve float64
	limit   float64
	last    time.Time
}

// Rates set how a budget fills.
type Rates struct {
	// PerRequest is the part of a retry that each request pays for.
	PerRequest float64
	// PerSecond lets a service with little traffic retry at all.
	PerSecond float64
	// Burst bounds the tokens saved up in quiet times.
	Burst float64
	// Reserve is the smallest reserve for resumes.
	Reserve float64
}

// DefaultRates are the rates of one entry.
func DefaultRates() Rates {
	return Rates{PerRequest: tokensPerRequest, PerSecond: tokensPerSecond, Burst: burst, Reserve: reserveMinimum}
}

// NewBudget returns a full budget with the default rates.
func NewBudget(now time.Time) *Budget { return NewBudgetWithRates(now, DefaultRates()) }

// NewBudgetWithRates returns a full budget.
func NewBudgetWithRates(now time.Time, rates Rates) *Budget {
	return &Budget{rates: rates, tokens: rates.Burst, reserve: rates.Reserve, limit: rates.Reserve, last: now}
}

// SetRates replaces the rates; saved tokens beyond the new burst are lost.
func (b *Budget) SetRates(rates Rates) {
	b.rates = rates
	b.tokens = min(b.tokens, rates.Burst)
}

// Refill adds the tokens earned since the last call. The reserve's limit follows the
// number of requests in flight; growth of the limit is available at once.
func (b *Budget) Refill(now time.Time, inflight int) {
	elapsed := max(0, now.Sub(b.last))
	b.last = now
	b.tokens = min(b.rates.Burst, b.tokens+b.rates.PerSecond*elapsed.Seconds())
	limit := b.rates.Reserve + float64(inflight)
	b.reserve += max(0, limit-b.limit)
	b.reserve += limit * float64(elapsed) / float64(reserveRefill)
	b.reserve = min(limit, b.reserve)
	b.limit = limit
}

// OnRequest adds the share of a token that a first attempt earns.
func (b *Budget) OnRequest() { b.tokens = min(b.rates.Burst, b.tokens+b.rates.PerRequest) }

// TakeRetry takes a token for a retry and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeResume takes a token for a resume from the reserve or else the common bucket.
func (b *Budget) TakeResume() bool {
	if b.reserve >= 1 {
		b.reserve--
		return true
	}
	return b.TakeRetry()
}

// CanMeetDeadline reports whether an attempt started now can deliver a first token before the
// deadline. A zero deadline means none.
func CanMeetDeadline(now, deadline time.Time, firstToken time.Duration) bool {
	return deadline.IsZero() || deadline.Sub(now) > firstToken
}

// Backoff returns the delay before the given retry (1 is the first), uniformly
// distributed up to a bound that doubles with each retry, so that requests that failed
// together do not return together.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := backoffMax
	if shift := max(0, attempt-1); shift < 6 {
		bound = min(backoffMax, backoffBase<<shift)
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Estimate is an exponentially weighted mean of a duration.
type Estimate struct {
	mean  time.Duration
	valid bool
}

// Observe adds a sample; samples of 0 or less are ignored.
func (e *Estimate) Observe(d time.Duration) {
	if d <= 0 {
		return
	}
	if !e.valid {
		e.mean, e.valid = d, true
		return
	}
	e.mean += time.Duration(estimateWeight * float64(d-e.mean))
}

// Mean returns the estimate, 0 before the first sample.
func (e *Estimate) Mean() time.Duration { return e.mean }
