// Package rollouts runs the rollouts of new versions on one entry: it polls the rollout
// rows and counts outcomes. Advancing a rollout requires its lease, halting does not.
package rollouts

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const (
	// tableTimeout limits one operation of the table service.
	tableTimeout = 3 * time.Second
	// orderTimeout limits one order; loading a version takes tens of seconds.
	orderTimeout = time.Minute
	mailboxSize  = 8192
	maxRows      = 1000
)

// Options configures a Manager.
type Options struct {
	EntryName   string
	Zone        string
	Incarnation uint64
	// Config returns the adopted operator configuration, or nil before the first one.
	Config func() *adoption.Adopted
	// Snapshot returns the current membership view, or nil before the first one.
	Snapshot func() *membership.Snapshot
	Table    platform.Table
	// Times are the durations that govern the rollouts; the zero value means the defaults.
	Times rollout.Times
	// PollInterval is the interval between reads of the rows, EvaluateInterval that between
	// decisions; 0 means the defaults.
	PollInterval, EvaluateInterval time.Duration
	// Agent returns a client for the agent at host:port.
	Agent func(address string) (wire.AgentClient, error)
	// Withdraw adds a version to the set of withdrawn versions and notifies the other
	// entries. It must not block.
	Withdraw func(service, version, reason string)
	// Withdrawn reports whether a version is in the set.
	Withdrawn  func(service, version string) bool
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// rowsByService holds the sorted rows of each service for Split.
type rowsByService map[string][]rollout.Row

// Manager implements cluster.Delegate, cluster.VersionReporter and the version split of the
// router.
type Manager struct {
	options          Options
	mailbox          chan func(*state)
	done             chan struct{}
	rows             atomic.Pointer[rowsByService]
	exportedEvidence atomic.Pointer[[]*wire.EvidenceCounter]
	status           atomic.Pointer[[]*wire.VersionStatus]
	metrics          *metrics
}

// New returns a Manager; its Run must be called once.
func New(options Options) *Manager {
	if options.Times == (rollout.Times{}) {
		options.Times = rollout.DefaultTimes()
	}
	if options.PollInterval == 0 {
		options.PollInterval = settings.DefaultPollInterval
	}
	if options.EvaluateInterval == 0 {
		options.EvaluateInterval = settings.DefaultEvaluateInterval
	}
	return &Manager{
		options: options,
		mailbox: make(chan func(*state), mailboxSize),
		done:    make(chan struct{}),
		metrics: newMetrics(options.Registerer),
	}
}

// Run polls the rows, evaluates the rollouts and sends orders until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.done)
	s := newState(m, ctx)
	ticker := time.NewTicker(m.options.EvaluateInterval)
	defer ticker.Stop()
	s.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-m.mailbox:
			message(s)
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

// Split chooses the version of a new request from the rows of its service; an empty result
// leaves the choice to the configured shares. Entries with the same rows make the same choice
// for a seed. The route has no effect on the split.
func (m *Manager) Split(service, _ string, seed uint64) string {
	rows := m.rows.Load()
	if rows == nil {
		return ""
	}
	return rollout.Split((*rows)[service], m.withdrawnIn(service), seed)
}

func (m *Manager) withdrawnIn(service string) func(string) bool {
	return func(version string) bool { return m.options.Withdrawn(service, version) }
}

// Observe counts the outcome of a request. It does not block.
func (m *Manager) Observe(service, version, route, zone string, loadLevel int, outcome placement.Outcome, suspectPresent bool) {
	if outcome.Cancelled {
		return
	}
	key := evidence.Key{Service: service, Version: version, Route: route, Zone: zone, Level: loadLevel}
	m.trySend(func(s *state) { s.observe(time.Now(), key, outcome, suspectPresent) })
}

// trySend sends a message unless the mailbox is full. Dropped observations delay decisions;
// dropped peer states are sent again by a later exchange.
func (m *Manager) trySend(message func(*state)) bool {
	select {
	case m.mailbox <- message:
		return true
	default:
		m.metrics.dropped.Inc()
		return false
	}
}

// send waits for space in the mailbox; it is used for results of the manager's own operations.
func (m *Manager) send(message func(*state)) {
	select {
	case m.mailbox <- message:
	case <-m.done:
	}
}

// Contribute implements cluster.Delegate with the evidence counters.
func (m *Manager) Contribute(peer *wire.PeerState) {
	if counters := m.exportedEvidence.Load(); counters != nil {
		peer.Evidence = append(peer.Evidence, *counters...)
	}
}

// Merge implements cluster.Delegate.
func (m *Manager) Merge(peer *wire.PeerState) {
	if counters := peer.GetEvidence(); len(counters) > 0 {
		m.trySend(func(s *state) { s.counters.Merge(counters, s.needsEvidence) })
	}
}

// VersionStatus returns the status of each rollout known to this entry.
func (m *Manager) VersionStatus() []*wire.VersionStatus {
	if status := m.status.Load(); status != nil {
		return *status
	}
	return nil
}

// Start writes the row of a new rollout. Errors are *result.Error values, unless the existing
// row is invalid. CONFLICT names the operator who started the existing rollout.
// STORE_UNAVAILABLE means that the write failed or that its outcome is unknown; the command
// may be repeated.
func (m *Manager) Start(ctx context.Context, service, version string, deadline time.Time, operator string) error {
	config := configOf(&m.options)
	if config == nil {
		return result.New(result.NotReady, "no operator configuration yet")
	}
	if config.Service(service) == nil {
		return result.New(result.UnknownService, "service %q is not configured", service)
	}
	v := findVersion(config.Service(service), version)
	if v == nil {
		return result.New(result.UnknownVersion, "service %q has no version %q", service, version)
	}
	if m.options.Withdrawn(service, version) {
		return result.New(result.Conflict, "version %q was withdrawn; a corrected one needs another name", version)
	}
	now := time.Now()
	if !deadline.After(now) {
		return result.New(result.InvalidText, "the deadline %v has passed", deadline)
	}
	var rows []rollout.Row
	if known := m.rows.Load(); known != nil {
		rows = (*known)[service]
	}
	previous := previousVersion(config.Service(service), rows, version, m.withdrawnIn(service))
	if previous == "" {
		return result.New(result.UnknownVersion, "service %q has no other version to compare with", service)
	}
	row := newRow(service, v, previous, deadline, now)
	row.Operator = operator
	return m.create(ctx, row)
}

// create inserts the row. After a lost response it reads the row back.
func (m *Manager) create(ctx context.Context, row rollout.Row) error {
	key := rollout.Key(row.Service, row.Version)
	res, err := m.options.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key}}, Puts: []platform.Put{{Key: key, Value: row.Encode()}},
	})
	if err == nil && res.Committed {
		return nil
	}
	if errors.Is(err, platform.ErrRefused) {
		return result.New(result.StoreUnavailable, "the table service refused the write: %v", err)
	}
	stored, err := m.options.Table.Get(ctx, key)
	if err != nil {
		return result.New(result.StoreUnavailable, "the outcome of the write is unknown: %v", err)
	}
	if stored.Revision == 0 {
		return result.New(result.StoreUnavailable, "the write did not take effect")
	}
	winner, err := rollout.Parse(stored.Value)
	if err != nil {
		return eris.Wrapf(err, "row %s", key)
	}
	if winner.Started == row.Started && winner.Operator == row.Operator && winner.Deadline == row.Deadline {
		return nil // the write took effect; an owner may have updated the row since
	}
	return result.New(result.Conflict, "operator %q has already started version %q", winner.Operator, row.Version)
}

func newRow(service string, v *opconfig.Version, previous string, deadline, now time.Time) rollout.Row {
	return rollout.Row{
		Service: service, Version: v.Name, Previous: previous, State: rollout.Running,
		Started: now.UnixMilli(), StepSince: now.UnixMilli(), Deadline: deadline.UnixMilli(),
		KeepPrevious: v.KeepPrevious.Milliseconds(), OnTooLittleTraffic: rollout.OnTooLittleTraffic(v.OnTooLittleTraffic),
	}
}

func configOf(o *Options) *opconfig.Config {
	if a := o.Config(); a != nil {
		return a.Config
	}
	return nil
}

func findVersion(service *opconfig.Service, name string) *opconfig.Version {
	for i := range service.Versions {
		if service.Versions[i].Name == name {
			return &service.Versions[i]
		}
	}
	return nil
}

// previousVersion returns the version that currently gets the traffic: the version of the
// last completed rollout, or else the one with the largest configured share.
func previousVersion(service *opconfig.Service, rows []rollout.Row, except string, withdrawn func(string) bool) string {
	for i := len(rows) - 1; i >= 0; i-- {
		if v := rows[i].Version; rows[i].State == rollout.Done && v != except && !withdrawn(v) {
			return v
		}
	}
	best, share := "", -1.0
	for i := range service.Versions {
		v := &service.Versions[i]
		if v.Name != except && !withdrawn(v.Name) && v.Share > share {
			best, share = v.Name, v.Share
		}
	}
	return best
}

type metrics struct {
	requests    *prometheus.CounterVec
	withdrawn   *prometheus.CounterVec
	transitions *prometheus.CounterVec
	share       *prometheus.GaugeVec
	writes      *prometheus.CounterVec
	polls       *prometheus.CounterVec
	orders      *prometheus.CounterVec
	dropped     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleygap_rollout_" + name, Help: help}, labels)
	}
	m := &metrics{
		requests:    counter("requests_total", "Outcomes counted as evidence.", "service", "version", "outcome"),
		withdrawn:   counter("withdrawals_total", "Versions that this entry withdrew.", "service", "version"),
		transitions: counter("transitions_total", "Changes of state or step that this entry learned; to is the state, or the share of a running rollout.", "service", "version", "to"),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleygap_rollout_share_percent", Help: "Share of new requests as of the last row read.",
		}, []string{"service", "version"}),
		writes: counter("row_writes_total", "Writes of rollout rows.", "outcome"),
		polls:  counter("polls_total", "Reads of the rollout rows.", "outcome"),
		orders: counter("orders_total", "Orders to load a version, by result code.", "code"),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleygap_rollout_messages_dropped_total", Help: "Outcomes and peer states dropped because the mailbox was full.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.withdrawn, m.transitions, m.share, m.writes, m.polls, m.orders, m.dropped)
	}
	return m
}
