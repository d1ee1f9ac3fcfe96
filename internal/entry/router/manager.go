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
	// snapshotInterval is the least time between two updates of the index, which costs
	// time in proportion to the number of targets.
	snapshotInterval = 20 * time.Millisecond
	// mailboxSize bounds messages of requests that the task has not taken yet; senders wait.
	mailboxSize = 1024
	// stateMailboxSize bounds heartbeats and peer states; further ones are dropped, since
	// they are repeated within a second.
	stateMailboxSize = 4096
)

// Options configures a Manager.
type Options struct {
	EntryName   string
	Zone        string
	Incarnation uint64
	// Snapshot returns the current membership view; nil means none yet.
	Snapshot func() *membership.Snapshot
	// Config returns the adopted operator configuration; nil means none yet.
	Config func() *adoption.Adopted
	// ChooseVersion chooses the version of a new request; nil uses the configured shares. An
	// empty result also falls back to the configured shares.
	ChooseVersion func(service, route string, seed uint64) string
	// Withdrawn reports whether a version must get no new work; nil means none is.
	Withdrawn func(service, version string) bool
	// Observe, if set, receives each outcome on a versioned target as evidence. It must
	// not block. The outcomes of one crash of a target are reported once.
	Observe func(service, version, route, zone string, loadLevel int, outcome placement.Outcome, suspectAboard bool)
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Manager implements Router, cluster.Part and cluster.AgentObserver. Run must be running
// for Place to return before its context ends.
type Manager struct {
	options  Options
	mailbox  chan func(*state)
	states   chan func(*state)
	done     chan struct{}
	metrics  *metrics
	exported atomic.Pointer[[]*wire.SuspectCount]
	sequence atomic.Uint64
}

// New returns a Manager; its Run must be called once.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		mailbox: make(chan func(*state), mailboxSize),
		states:  make(chan func(*state), stateMailboxSize),
		done:    make(chan struct{}),
		metrics: newMetrics(options.Registerer),
	}
}

// Run owns the state and serves messages until ctx ends. Waiting requests are then
// refused as not run, or as not resumable here.
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
		case message := <-m.states:
			message(s)
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

type reply struct {
	assignment *Assignment
	err        *result.Error
}

// Place waits for a target until ctx ends. Errors are *result.Error values about this
// attempt alone: if an earlier attempt of the request ran, the caller must not report a
// not-run code.
func (m *Manager) Place(ctx context.Context, request placement.Request) (*Assignment, error) {
	id := m.sequence.Add(1)
	answer := make(chan reply, 1)
	if !m.send(ctx, func(s *state) { s.place(time.Now(), id, request, answer) }) {
		return nil, stopped(request)
	}
	select {
	case r := <-answer:
		return r.unpack()
	case <-m.done:
		return m.lastAnswer(answer, request)
	case <-ctx.Done():
	}
	// The attempt may have been placed in the meantime; abandon refuses it only if it
	// still waits.
	if !m.send(context.WithoutCancel(ctx), func(s *state) { s.abandon(id) }) {
		return m.lastAnswer(answer, request)
	}
	select {
	case r := <-answer:
		return r.unpack()
	case <-m.done:
		return m.lastAnswer(answer, request)
	}
}

func (r reply) unpack() (*Assignment, error) {
	if r.err != nil {
		return nil, r.err
	}
	return r.assignment, nil
}

func (m *Manager) lastAnswer(answer chan reply, request placement.Request) (*Assignment, error) {
	select {
	case r := <-answer:
		return r.unpack()
	default:
		return nil, stopped(request)
	}
}

func stopped(request placement.Request) error {
	return result.New(result.Leaving, "the router of this entry is not running, service %q", request.Service)
}

// send delivers a message to the task and reports whether it did.
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

// offer delivers a message that may be lost because its content is repeated.
func (m *Manager) offer(message func(*state)) {
	select {
	case m.states <- message:
	default:
		m.metrics.dropped.Inc()
	}
}

// ReportDeath implements Router. It takes effect before later calls of Place from the
// same goroutine.
func (m *Manager) ReportDeath(deathID string, fingerprints []uint64, version string) {
	m.send(context.Background(), func(s *state) {
		now := time.Now()
		s.death(suspect.Death{ID: deathID, At: now, Fingerprints: fingerprints}, now)
	})
}

// ReportProgress implements Router.
func (m *Manager) ReportProgress(fingerprint uint64, completed bool) {
	m.send(context.Background(), func(s *state) { s.progress(time.Now(), fingerprint, completed) })
}

// ObserveAgent implements cluster.AgentObserver: it takes the deaths, the members' usage
// and the entries that watch the agent.
func (m *Manager) ObserveAgent(agent *wire.AgentState) {
	m.offer(func(s *state) { s.observeAgent(time.Now(), agent) })
}

// Contribute implements cluster.Part with the suspects.
func (m *Manager) Contribute(peer *wire.PeerState) {
	if records := m.exported.Load(); records != nil {
		peer.Suspects = append(peer.Suspects, *records...)
	}
}

// Merge implements cluster.Part.
func (m *Manager) Merge(peer *wire.PeerState) {
	if len(peer.GetSuspects()) == 0 {
		return
	}
	records := fromWire(peer.GetSuspects())
	m.offer(func(s *state) { s.mergeSuspects(records, time.Now()) })
}

// toWire splits each record into the deaths that count and those that do not.
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
	for _, c := range counts {
		r := suspect.Record{Fingerprint: c.GetFingerprint(), Expires: time.UnixMilli(c.GetExpiresUnixMs())}
		if c.GetCleared() {
			r.Cleared = c.GetDeathIds()
		} else {
			r.Deaths = c.GetDeathIds()
		}
		records = append(records, r)
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
