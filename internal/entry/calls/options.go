// Package calls serves the callers' requests to application services. Routes marked
// once run at most once for each Idempotency-Key; all others are idempotent.
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
	// maxAnswerReserve covers a round trip to the agent with a scheduling delay; services
	// with short timeouts keep a tenth.
	maxAnswerReserve = 250 * time.Millisecond
	reservePart      = 10
	// safeAttemptTimeout bounds all but the last attempt of a GET or HEAD, so that a
	// frozen engine does not use up the deadline of a status check.
	safeAttemptTimeout = 3 * time.Second
	maxAttempts        = 3

	// claimLapse exceeds the longest pause seen in practice between claim and dispatch
	// without a full pool; a later dispatch fails its compare-and-set.
	claimLapse = 5 * time.Second
	// followFor and storePatience keep a caller's wait within a few seconds.
	followFor     = 2 * time.Second
	storePatience = time.Second
	// claimPatience lets a burst of about 130 calls through, what the table takes in a
	// second; under a lasting overload a longer queue would only delay the answers.
	claimPatience = time.Second
	pollInterval  = 100 * time.Millisecond
	settleFor     = 30 * time.Second
	storeTimeout  = time.Second
	// rememberedKeys bounds the dispatched keys that this entry remembers, about 8 MB.
	rememberedKeys = 1 << 16
)

// errDrained reports calls that still ran when the drain ended.
var errDrained = errors.New("calls are still running")

// Options configure a Handler.
type Options struct {
	// MaxBodyBytes bounds a request body; 0 means 4 MiB.
	MaxBodyBytes int64
	// Config returns the operator configuration in force, or nil.
	Config func() *adoption.Adopted
	Router router.Router
	// Agent returns the client of the agent at host:port. It must be backed by a gRPC
	// connection: the handler takes a call as not sent if gRPC never asked for the
	// call's credentials.
	Agent       func(address string) (wire.AgentClient, error)
	Table       platform.Table
	EntryName   string
	Incarnation uint64
	Refusals    *caller.Refusals
	Registerer  prometheus.Registerer
	Logger      zerolog.Logger
}

// timing holds the waits that tests change, so that no verdict depends on the machine's speed.
type timing struct {
	lapse, followFor, storePatience, claimPatience, storeTimeout, settleFor, poll time.Duration
}

var defaultTiming = timing{lapse: claimLapse, followFor: followFor, storePatience: storePatience, claimPatience: claimPatience, storeTimeout: storeTimeout, settleFor: settleFor, poll: pollInterval}

// Handler serves /{service}/... for services of kind application.
type Handler struct {
	options Options
	metrics *metrics
	known   *keySet
	pacer   *pacer
	timing  timing
	// beforeSend is called after the claim was dispatched and before anything is sent;
	// tests set it to simulate a crash at that point.
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
		options: options,
		metrics: newMetrics(options.Registerer, pacer),
		pacer:   pacer,
		known:   newKeySet(rememberedKeys),
		timing:  defaultTiming,
		gate:    drain.NewGate(),
	}
}

// Drain refuses new requests with LEAVING and waits for the running ones, including
// those that still store their outcome after the caller was answered. The error of ctx
// is returned if it ends first.
func (h *Handler) Drain(ctx context.Context) error {
	if err := h.gate.Drain(ctx); err != nil {
		return errors.Join(errDrained, err)
	}
	return nil
}

// keySet is a bounded set of row keys; the oldest is forgotten first.
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
	// notSent and storeRetries count what the write limit and the store's failures cost.
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
