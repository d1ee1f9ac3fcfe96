// Package calls serves the callers' requests to application services. Requests to routes marked
// once run at most once for each Idempotency-Key; all other routes are idempotent.
package calls

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/drain"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/platform"
	"bramleygap/internal/wire"
)

const (
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout bounds a request of a service without a timeout.
	defaultTimeout = 30 * time.Second
	// maxResponseReserve covers a round trip to the agent and a scheduling delay; services
	// with short timeouts reserve only the timeout divided by reserveDivisor.
	maxResponseReserve = 250 * time.Millisecond
	reserveDivisor     = 10
	// safeAttemptTimeout bounds all but the last attempt of a GET or HEAD, so that a hung
	// engine does not use up the whole deadline of a status check.
	safeAttemptTimeout = 3 * time.Second
	maxAttempts        = 3

	// takeoverAfter exceeds the longest delay between claim and dispatch in practice, unless
	// the pool is full. A dispatch after a takeover fails its compare-and-set.
	takeoverAfter = 5 * time.Second
	// followTimeout and storeTimeout keep a caller's wait within a few seconds.
	followTimeout = 2 * time.Second
	storeTimeout  = time.Second
	// maxClaimWait admits a burst of about 130 calls, which is what the table accepts in a
	// second; under a sustained overload a longer queue would only delay the responses.
	maxClaimWait        = time.Second
	pollInterval        = 100 * time.Millisecond
	settleTimeout       = 30 * time.Second
	storeRequestTimeout = time.Second
	// maxDispatchedKeys limits the memory for dispatched keys to about 8 MB.
	maxDispatchedKeys = 1 << 16
)

// errStillRunning is returned if calls are still running when the drain ends.
var errStillRunning = errors.New("calls are still running")

// Options configure a Handler.
type Options struct {
	// MaxBodyBytes bounds a request body; 0 means 4 MiB.
	MaxBodyBytes int64
	// Config returns the operator configuration in force, or nil.
	Config func() *adoption.Adopted
	Router router.Router
	// Agent returns the client of the agent at host:port. It must use a gRPC connection:
	// the handler treats a call as not sent if gRPC never requested the call's per-RPC
	// credentials.
	Agent       func(address string) (wire.AgentClient, error)
	Table       platform.Table
	EntryName   string
	Incarnation uint64
	Refusals    *caller.Refusals
	Registerer  prometheus.Registerer
	Logger      zerolog.Logger
}

// timing holds the durations that tests override, so that their results do not depend on the
// speed of the machine.
type timing struct {
	takeoverAfter, followTimeout, storeTimeout, maxClaimWait, storeRequestTimeout, settleTimeout, pollInterval time.Duration
}

var defaultTiming = timing{takeoverAfter: takeoverAfter, followTimeout: followTimeout, storeTimeout: storeTimeout, maxClaimWait: maxClaimWait, storeRequestTimeout: storeRequestTimeout, settleTimeout: settleTimeout, pollInterval: pollInterval}

// Handler serves /{service}/... for services of kind application.
type Handler struct {
	options        Options
	metrics        *metrics
	dispatchedKeys *keySet
	pacer          *pacer
	timing         timing
	// beforeSend is called after the claim is marked as dispatched and before the call is
	// sent; tests set it to simulate a crash at that point.
	beforeSend func(callID string) error

	gate *drain.Gate
}

// New returns a handler.
func New(options Options) *Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	pacer := newPacer()
	return &Handler{
		options:        options,
		metrics:        newMetrics(options.Registerer, pacer),
		pacer:          pacer,
		dispatchedKeys: newKeySet(maxDispatchedKeys),
		timing:         defaultTiming,
		gate:           drain.NewGate(),
	}
}

// Drain refuses new requests and waits for the running ones, including those that store their
// outcome after the response to the caller. If ctx ends first, it returns an error that wraps
// the error of ctx.
func (h *Handler) Drain(ctx context.Context) error {
	if err := h.gate.Drain(ctx); err != nil {
		return errors.Join(errStillRunning, err)
	}
	return nil
}

// keySet is a bounded set of row keys that evicts the oldest key first.
type keySet struct {
	mu   sync.Mutex
	keys map[string]struct{}
	ring []string
	next int
}

func newKeySet(size int) *keySet {
	return &keySet{keys: make(map[string]struct{}), ring: make([]string, size)}
}

func (s *keySet) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.keys[key]
	return ok
}

func (s *keySet) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.keys[key]; ok {
		return
	}
	delete(s.keys, s.ring[s.next])
	s.ring[s.next] = key
	s.keys[key] = struct{}{}
	s.next = (s.next + 1) % len(s.ring)
}

type metrics struct {
	calls   *prometheus.CounterVec
	retries *prometheus.CounterVec
	store   *prometheus.CounterVec
	// notSent is due to the write rate limit, storeRetries to store failures.
	notSent      *prometheus.CounterVec
	storeRetries *prometheus.CounterVec
	swept        prometheus.Counter
	seconds      *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer, pacer *pacer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_entry_calls_total",
			Help: "Calls to application services by service, kind (once, idempotent) and result code.",
		}, []string{"service", "kind", "code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_entry_call_retries_total",
			Help: "Further attempts of calls by the result code of the attempt before.",
		}, []string{"kind", "reason"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_entry_claim_requests_total",
			Help: "Store requests for claims by purpose and fate (ok, conflict, refused, lost).",
		}, []string{"purpose", "fate"}),
		notSent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_entry_claim_writes_not_sent_total",
			Help: "Claim writes that were not sent to the store by purpose and reason (queue, patience).",
		}, []string{"purpose", "reason"}),
		storeRetries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_entry_claim_retries_total",
			Help: "Waits before claims are read and written again by reason (refused, lost, read failed).",
		}, []string{"reason"}),
		swept: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleygap_entry_claims_swept_total",
			Help: "Expired claims deleted.",
		}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleygap_entry_call_seconds",
			Help:    "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"kind"}),
	}
	if registerer != nil {
		rate := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleygap_entry_claim_writes_per_second",
			Help: "Rate to which the entry holds its claim writes.",
		}, pacer.rate)
		registerer.MustRegister(m.calls, m.retries, m.store, m.notSent, m.storeRetries, m.swept, m.seconds, rate)
	}
	return m
}
