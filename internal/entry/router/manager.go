package router

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	tickInterval = 50 * time.Millisecond
	// snapshotInterval is the minimum time between two updates of the placement pool
	// outside ticks. The cost of an update is proportional to the number of targets.
	snapshotInterval = 20 * time.Millisecond
	// mailboxSize is the number of queued request messages; senders block beyond it.
	mailboxSize = 1024
	// stateMailboxSize is the number of queued heartbeats and peer states. Further ones
	// are dropped: agents report again within a second, and peers resend their state.
	stateMailboxSize = 4096
)

// Options configures a Manager.
type Options struct {
	EntryName   string
	Zone        string
	Incarnation uint64
	// Snapshot returns the current membership view, or nil before the first one.
	Snapshot func() *membership.Snapshot
	// Config returns the adopted operator configuration, or nil before the first one.
	Config func() *adoption.Adopted
	// ChooseVersion returns the version for a new request. If it is nil or returns an
	// empty string, the version is chosen by the configured shares.
	ChooseVersion func(service, route string, seed uint64) string
	// Withdrawn reports whether a version must get no new work. If it is nil, none is
	// withdrawn.
	Withdrawn func(service, version string) bool
	// Observe, if set, receives the outcome of each attempt on a versioned target, except
	// cancelled ones, as evidence. It must not block. Of the outcomes of one target crash,
	// only the first is passed on.
	Observe func(service, version, route, zone string, loadLevel int, outcome placement.Outcome, suspectPresent bool)
	// Registerer, if set, registers the metrics.
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Manager implements Router, cluster.Delegate and cluster.AgentObserver. If Run is not called,
// Place can block beyond the end of its context.
type Manager struct {
	options          Options
	mailbox          chan func(*state)
	stateMailbox     chan func(*state)
	done             chan struct{}
	metrics          *metrics
	exportedSuspects atomic.Pointer[[]*wire.SuspectCount]
	sequence         atomic.Uint64
}

// New returns a Manager. Its Run method must be called exactly once.
func New(options Options) *Manager {
	return &Manager{
		options:      options,
		mailbox:      make(chan func(*state), mailboxSize),
		stateMailbox: make(chan func(*state), stateMailboxSize),
		done:         make(chan struct{}),
		metrics:      newMetrics(options.Registerer),
	}
}

// Run owns the state and handles messages until ctx ends. It then refuses the waiting
// attempts with LEAVING.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.done)
	seed := uint64(time.Now().UnixNano())
	s := newState(m, rand.New(rand.NewPCG(seed, m.options.Incarnation)))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case message := <-m.mailbox:
			message(s)
		case message := <-m.stateMailbox:
			message(s)
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

// reply is the result of a placement request; err is nil if a target was assigned.
type reply struct {
	assignment *Assignment
	err        *result.Error
}

// Place waits for a target until ctx ends and reserves it. Errors are *result.Error values
// that cover only this attempt: if an earlier attempt of the request ran, the caller must
// not report a not-run code.
func (m *Manager) Place(ctx context.Context, request placement.Request) (*Assignment, error) {
	id := m.sequence.Add(1)
	replyTo := make(chan reply, 1)
	if !m.send(ctx, func(s *state) { s.place(time.Now(), id, request, replyTo) }) {
		return nil, notHandledError(request)
	}
	select {
	case r := <-replyTo:
		return r.unpack()
	case <-m.done:
		return m.replyOrStopped(replyTo, request)
	case <-ctx.Done():
	}
	// The attempt may have been placed in the meantime; abandon refuses it only if it is
	// still waiting.
	if !m.send(context.WithoutCancel(ctx), func(s *state) { s.abandon(id) }) {
		return m.replyOrStopped(replyTo, request)
	}
	select {
	case r := <-replyTo:
		return r.unpack()
	case <-m.done:
		return m.replyOrStopped(replyTo, request)
	}
}

func (r reply) unpack() (*Assignment, error) {
	if r.err != nil {
		return nil, r.err
	}
	return r.assignment, nil
}

// replyOrStopped returns the reply sent before Run returned, or else a LEAVING error.
func (m *Manager) replyOrStopped(replyTo chan reply, request placement.Request) (*Assignment, error) {
	select {
	case r := <-replyTo:
		return r.unpack()
	default:
		return nil, notHandledError(request)
	}
}

func notHandledError(request placement.Request) error {
	return result.New(result.Leaving, "the router of this entry stopped or did not accept the request for service %q in time", request.Service)
}

// send queues a message for Run, blocking while the mailbox is full. It returns false if
// Run has returned or ctx ends first.
func (m *Manager) send(ctx context.Context, message func(*state)) bool {
	select {
	case <-m.done:
		return false
	default:
	}
	select {
	case m.mailbox <- message:
		return true
	case <-m.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// trySend queues a heartbeat or peer state for Run, or drops it if the mailbox is full.
func (m *Manager) trySend(message func(*state)) {
	select {
	case m.stateMailbox <- message:
	default:
		m.metrics.dropped.Inc()
	}
}

// ReportDeath implements Router. It takes effect before later calls of Place from the
// same goroutine.
func (m *Manager) ReportDeath(deathID string, fingerprints []uint64, version string) {
	m.send(context.Background(), func(s *state) {
		now := time.Now()
		s.recordDeath(suspect.Death{ID: deathID, At: now, Fingerprints: fingerprints}, now)
	})
}

// ReportProgress implements Router.
func (m *Manager) ReportProgress(fingerprint uint64, completed bool) {
	m.send(context.Background(), func(s *state) { s.recordProgress(time.Now(), fingerprint, completed) })
}

// ObserveAgent implements cluster.AgentObserver. It records the deaths, the usage by
// member and the entries that watch the agent.
func (m *Manager) ObserveAgent(agent *wire.AgentState) {
	m.trySend(func(s *state) { s.observeAgent(time.Now(), agent) })
}

// Contribute implements cluster.Delegate. It adds the suspects.
func (m *Manager) Contribute(peer *wire.PeerState) {
	if records := m.exportedSuspects.Load(); records != nil {
		peer.Suspects = append(peer.Suspects, *records...)
	}
}

// Merge implements cluster.Delegate.
func (m *Manager) Merge(peer *wire.PeerState) {
	if len(peer.GetSuspects()) == 0 {
		return
	}
	records := fromWire(peer.GetSuspects())
	m.trySend(func(s *state) { s.mergeSuspects(records, time.Now()) })
}

// toWire converts records, splitting each into the deaths that count and the cleared ones.
func toWire(records []suspect.Record) []*wire.SuspectCount {
	var out []*wire.SuspectCount
	for _, r := range records {
		if len(r.Deaths) > 0 {
			out = append(out, &wire.SuspectCount{
				Fingerprint: r.Fingerprint, DeathIds: r.Deaths, ExpiresUnixMs: r.Expires.UnixMilli(),
			})
		}
		if len(r.Cleared) > 0 {
			out = append(out, &wire.SuspectCount{
				Fingerprint: r.Fingerprint, DeathIds: r.Cleared, ExpiresUnixMs: r.Expires.UnixMilli(), Cleared: true,
			})
		}
	}
	return out
}

func fromWire(counts []*wire.SuspectCount) []suspect.Record {
	records := make([]suspect.Record, 0, len(counts))
	for _, count := range counts {
		record := suspect.Record{Fingerprint: count.GetFingerprint(), Expires: time.UnixMilli(count.GetExpiresUnixMs())}
		if count.GetCleared() {
			record.Cleared = count.GetDeathIds()
		} else {
			record.Deaths = count.GetDeathIds()
		}
		records = append(records, record)
	}
	return records
}

type metrics struct {
	placed   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	retries  *prometheus.CounterVec
	deaths   prometheus.Counter
	cleared  prometheus.Counter
	dropped  prometheus.Counter
	waiting  prometheus.Gauge
	suspects prometheus.Gauge
	wait     prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_router_placed_total", Help: "Attempts placed, by class of work.",
		}, []string{"class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_router_refused_total", Help: "Attempts refused, by result code.",
		}, []string{"code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleygap_router_retries_total", Help: "Attempts after the first, by reason.",
		}, []string{"reason"}),
		deaths: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleygap_router_deaths_total", Help: "Crashes of targets counted once each.",
		}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleygap_router_suspects_cleared_total", Help: "Suspects cleared by a run without a crash.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleygap_router_states_dropped_total", Help: "Heartbeats and peer states dropped because the mailbox was full.",
		}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleygap_router_waiting", Help: "Attempts that wait for a target.",
		}),
		suspects: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleygap_router_suspects", Help: "Fingerprints held.",
		}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramleygap_router_wait_seconds", Help: "Time from arrival to placement.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 10),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.placed, m.refused, m.retries, m.deaths, m.cleared, m.dropped, m.waiting, m.suspects, m.wait)
	}
	return m
}
