// Package retry limits the retries of a service by a token bucket, checks whether a retry can
// meet its deadline and computes its backoff.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Default values of Rates.
	tokensPerRequest = 0.1
	tokensPerSecond  = 3.0
	burst            = 30.0
	minReserve       = 64.0

	// reserveRefillTime is the time in which an empty reserve refills.
	reserveRefillTime = 10 * time.Second

	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second

	// sampleWeight is the weight of a new sample in an Estimate.
	sampleWeight = 0.1
)

// Budget is the retry budget of one service. Retries take tokens from a common bucket.
// Resumes take tokens from a reserve first, whose size allows each generation in flight to
// be resumed once, which is the demand when a zone is lost. Budget is not safe for
// concurrent use.
type Budget struct {
	rates        Rates
	tokens       float64
	reserve      float64
	reserveLimit float64
	last         time.Time
}

// Rates are the refill rates and sizes of a Budget, in tokens. One retry costs one token.
type Rates struct {
	// PerRequest is the number of tokens that each request adds.
	PerRequest float64
	// PerSecond is the refill rate that allows retries to services with little traffic.
	PerSecond float64
	// Burst is the capacity of the token bucket.
	Burst float64
	// Reserve is the minimum size of the reserve for resumes.
	Reserve float64
}

// DefaultRates returns the rates of one entry.
func DefaultRates() Rates {
	return Rates{PerRequest: tokensPerRequest, PerSecond: tokensPerSecond, Burst: burst, Reserve: minReserve}
}

// NewBudget returns a full budget with the default rates.
func NewBudget(now time.Time) *Budget { return NewBudgetWithRates(now, DefaultRates()) }

// NewBudgetWithRates returns a full budget with the given rates.
func NewBudgetWithRates(now time.Time, rates Rates) *Budget {
	return &Budget{rates: rates, tokens: rates.Burst, reserve: rates.Reserve, reserveLimit: rates.Reserve, last: now}
}

// Refill adds the tokens accrued since the last call. The size of the reserve follows the
// number of requests in flight; tokens by which the reserve grows are available at once.
func (b *Budget) Refill(now time.Time, inflight int) {
	elapsed := max(0, now.Sub(b.last))
	b.last = now
	b.tokens = min(b.rates.Burst, b.tokens+b.rates.PerSecond*elapsed.Seconds())
	limit := b.rates.Reserve + float64(inflight)
	b.reserve += max(0, limit-b.reserveLimit)
	b.reserve += limit * float64(elapsed) / float64(reserveRefillTime)
	b.reserve = min(limit, b.reserve)
	b.reserveLimit = limit
}

// OnRequest adds the tokens for the first attempt of a request.
func (b *Budget) OnRequest() { b.tokens = min(b.rates.Burst, b.tokens+b.rates.PerRequest) }

// TakeRetry takes a token for a retry and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeResume takes a token for a resume, from the reserve if possible and otherwise from the
// common bucket, and reports whether there was one.
func (b *Budget) TakeResume() bool {
	if b.reserve >= 1 {
		b.reserve--
		return true
	}
	return b.TakeRetry()
}

// CanMeetDeadline reports whether an attempt that starts now and takes firstToken to deliver
// its first token can do so before the deadline. A zero deadline means none.
func CanMeetDeadline(now, deadline time.Time, firstToken time.Duration) bool {
	return deadline.IsZero() || deadline.Sub(now) > firstToken
}

// Backoff returns the delay before the given retry, counted from 1. It is uniformly
// distributed up to a bound that doubles with each retry (full jitter), so that requests
// that failed at the same time are not retried at the same time.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := backoffMax
	if shift := max(0, attempt-1); shift < 6 {
		bound = min(backoffMax, backoffBase<<shift)
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Estimate is an exponentially weighted moving average of a duration.
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
	e.mean += time.Duration(sampleWeight * float64(d-e.mean))
}

// Mean returns the average, 0 before the first sample.
func (e *Estimate) Mean() time.Duration { return e.mean }
