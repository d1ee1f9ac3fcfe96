package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/retry"
	"bramleygap/internal/core/runindex"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/settings"
)

const (
	eventQueueSize = 256
	// tickInterval is the interval of periodic state maintenance.
	tickInterval = 100 * time.Millisecond
	// trafficReportInterval is the minimum time between two reports of traffic.
	trafficReportInterval = time.Second
	// lateTickThreshold is the delay beyond which a tick is logged and counted as late: the
	// process was suspended, and its cached state may be out of date.
	lateTickThreshold = 300 * time.Millisecond
	// readerCount is the number of gateways that poll the store for its tables; the others get the
	// tables from them. With two, one remains if the other is lost.
	readerCount = 2
	// storeOutageGrace is how long after a store outage a missing registration is attributed to
	// failed renewals, not to the removal of its target. Targets that were found restarted
	// during the outage are kept for the same time.
	storeOutageGrace = 3 * time.Second
	// defaultRetryWindow applies if the settings state no window.
	defaultRetryWindow = 10 * time.Second
	// gatewayCountMemory is how long a gateway that lost contact with others goes on to share the
	// retry budget with them.
	gatewayCountMemory = 10 * time.Minute
)

// state is owned by the event loop and accessed only by functions that run on it.
type state struct {
	// settings are the current settings. A reload changes only the seeds and bounds.
	settings settings.Gateway
	tables   [numReplicatedTables]*replica.Table
	// tableSources holds for each table the address of a gateway with rows that the local copy
	// lacks, empty if there is none.
	tableSources [numReplicatedTables]string
	// registrations holds the decoded rows of TableTargets, and ignoredRegistrations the keys of those whose service
	// the desired state does not have.
	registrations        map[string]membership.Registration
	ignoredRegistrations map[string]bool
	desired              DesiredState
	// storedDesired is the version of the desired state in the local copy of TableConfig, 0 if there is none. It is
	// lower than that of desired if the store has come back from a copy without it.
	storedDesired uint64
	registry      *membership.Registry
	fleet         *placement.Fleet
	budgets       map[string]*retry.SharedBudget
	// gatewayCount is the number of gateways that share the retry budgets.
	gatewayCount    int
	peakGateways    retry.PeakCount
	startedAt       time.Time
	inflightStreams map[string]int
	latencies       map[string]*retry.Estimate
	// completions estimates for each service how long the rest of a stream takes.
	completions     map[string]*placement.Completion
	suspects        *suspect.Tracker
	suspectExchange suspectExchange
	// verdicts holds the verdicts on prompt parts as of partVersion of the suspects.
	verdicts    suspect.Verdicts
	partVersion uint64
	// partsChangedAt is the version of the suspects at the last change of a part's crashes. partNews is closed
	// then.
	partsChangedAt uint64
	partNews       chan struct{}
	// attempts holds the open attempts of this gateway by target ID.
	attempts map[string]map[*attemptHandle]struct{}
	// confirmedAt is when the local copy of a table was last known to match the store.
	// unconfirmed is set while that is longer ago than unconfirmedAge, and lastUnconfirmed is
	// the last tick at which it was set.
	confirmedAt     [numReplicatedTables]time.Time
	unconfirmed     [numReplicatedTables]bool
	lastUnconfirmed [numReplicatedTables]time.Time
	// targetsRestoredAt is when the store was last found to have come back from an older copy of TableTargets.
	targetsRestoredAt time.Time
	// liveGateways holds the sorted names of this gateway and the reachable other gateways, and
	// readers those of them that follow the store's tables.
	liveGateways []string
	readers      []string
	// rankedGateways holds liveGateways in an order that all agree on, the readers first.
	rankedGateways []string
	// tableNews is closed when a table has changed or was confirmed by the store.
	tableNews chan struct{}
	// listed holds the addresses of the gateways in the store by name, as of listedVersion.
	listed        map[string]string
	listedVersion replica.Version
	// peerAddresses holds the addresses of the reachable other gateways by name.
	peerAddresses map[string]string
	// runIndex holds the run records of this gateway and those replicated to it.
	runIndex *runindex.Index
	// pendingRuns holds records to be sent to their replicas. activeRuns holds the streams that
	// this gateway relays by their request's ID, endedRuns those that ended here, or in an earlier process of this
	// gateway, within runindex.Lifetime, and activeRunsChanged is set if there are records that are not stored
	// yet. runDroppedAt is when an ended run was last dropped for lack of room, zero for never.
	pendingRuns       []runindex.Record
	activeRuns        map[string]*activeRun
	endedRuns         map[string]endedRun
	activeRunsChanged bool
	runDroppedAt      time.Time
	// witnessWaits holds the channels to be closed when the row has been saved with runs of other gateways.
	witnessWaits []chan struct{}
	lastTick     time.Time
	// maxTickDelay is the largest delay of a tick since lastTrafficReport.
	maxTickDelay      time.Duration
	lastTrafficReport time.Time
	// stopTimes holds the announced stop times of other gateways, zero if not stopping.
	stopTimes map[string]time.Time
	outages   *placement.Outages
	// orders holds the rollout orders by service, and pastOrders those that they took the places of, the latest last.
	orders     map[string]*trackedOrder
	pastOrders map[string][]RolloutOrder
	baselines  map[string]*evidence.Baseline
	evidence   *evidence.Counters
	// streamQueues holds the queues of the ranked services, and lastQueued the last id in them.
	streamQueues map[string]*streamQueue
	lastQueued   uint64
	// invalidReportsLogged holds when impossible values of other gateways were last logged, by the kind of report.
	invalidReportsLogged map[string]time.Time
	// calls holds the calls that wait for their turn, and what other gateways reported about theirs.
	calls  *callQueues
	speeds speedReports
}

// eventLoop serializes access to the gateway's state. Other goroutines send it functions to
// run on the state.
type eventLoop struct {
	options *Options
	log     zerolog.Logger
	metrics *metrics
	queue   chan func(*state)
	// published is the desired state in use, nil until the first one is loaded.
	published atomic.Pointer[publishedState]
	// desiredLoaded is closed when the first desired state is in use.
	desiredLoaded chan struct{}
	traffic       traffic
	// configConfirmedAt is when the desired state in use was last known to match the store, nil
	// before the first confirmation.
	configConfirmedAt atomic.Pointer[time.Time]
	// heldTargets holds the targets to which no new requests may be sent, nil before the first one.
	heldTargets atomic.Pointer[heldTargets]
	// lastTickAt is when the last tick was, and lateTickAt when one was late, nil for never.
	lastTickAt, lateTickAt atomic.Pointer[time.Time]
	// verdicts holds the verdicts on prompt parts, nil before the first one.
	verdicts atomic.Pointer[suspect.Verdicts]
	// runsPending has a value while there may be pendingRuns.
	runsPending chan struct{}
	// probe starts a background probe of a target.
	probe func(target membership.Registration)
	// probeAll probes targets in the background and then runs a function on the event loop.
	probeAll func(targets []membership.Registration, then func(*state))
}

// publishedState is the part of the state that request handlers read without the event loop.
type publishedState struct {
	desired DesiredState
	// stale is set while the desired state is unconfirmed for longer than unconfirmedAge.
	stale bool
}

func newEventLoop(options *Options, m *metrics) *eventLoop {
	return &eventLoop{options: options, log: options.Logger, metrics: m, queue: make(chan func(*state), eventQueueSize), desiredLoaded: make(chan struct{}), runsPending: make(chan struct{}, 1)}
}

func (l *eventLoop) newState(now time.Time) *state {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	st := &state{
		settings:             l.options.Settings,
		registrations:        map[string]membership.Registration{},
		registry:             membership.NewRegistry(),
		fleet:                placement.NewFleet(l.options.Settings.Name, l.options.Settings.Zone, rng),
		budgets:              map[string]*retry.SharedBudget{},
		gatewayCount:         1,
		peakGateways:         retry.PeakCount{Memory: gatewayCountMemory},
		startedAt:            now,
		inflightStreams:      map[string]int{},
		latencies:            map[string]*retry.Estimate{},
		completions:          map[string]*placement.Completion{},
		suspects:             suspect.NewTracker(),
		suspectExchange:      suspectExchange{merged: map[string]mergedSuspects{}, sent: map[string]uint64{}},
		attempts:             map[string]map[*attemptHandle]struct{}{},
		outages:              placement.NewOutages(),
		stopTimes:            map[string]time.Time{},
		orders:               map[string]*trackedOrder{},
		pastOrders:           map[string][]RolloutOrder{},
		baselines:            map[string]*evidence.Baseline{},
		evidence:             evidence.NewCounters(l.options.Settings.Name, rng.Uint64()),
		calls:                newCallQueues(rng),
		runIndex:             runindex.New(),
		activeRuns:           map[string]*activeRun{},
		endedRuns:            map[string]endedRun{},
		invalidReportsLogged: map[string]time.Time{},
		streamQueues:         map[string]*streamQueue{},
		lastTick:             now,
		tableNews:            make(chan struct{}),
		partNews:             make(chan struct{}),
	}
	for i := range st.tables {
		st.tables[i] = replica.NewTable()
	}
	st.setLiveGateways([]string{l.options.Settings.Name})
	st.configurePlacement()
	return st
}

// run executes posted functions until ctx is canceled.
func (l *eventLoop) run(ctx context.Context) error {
	now := time.Now()
	st := l.newState(now)
	l.lastTickAt.Store(&now)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-l.queue:
			fn(st)
		case <-ticker.C:
			l.tick(st, time.Now())
		}
	}
}

// post queues fn without waiting for it to run. fn is dropped if ctx ends first.
func (l *eventLoop) post(ctx context.Context, fn func(*state)) {
	select {
	case l.queue <- fn:
	case <-ctx.Done():
	}
}

// query runs fn on the event loop and returns its result, or the zero value if ctx ends
// first.
func query[T any](ctx context.Context, l *eventLoop, fn func(*state) T) T {
	result := make(chan T, 1)
	l.post(ctx, func(st *state) { result <- fn(st) })
	select {
	case value := <-result:
		return value
	case <-ctx.Done():
		var zero T
		return zero
	}
}

func (l *eventLoop) tick(st *state, now time.Time) {
	if late := now.Sub(st.lastTick) - tickInterval; late > lateTickThreshold {
		l.log.Warn().Dur("late", late).Msg("event loop tick was late; process was suspended and its cached state may be out of date")
		l.metrics.lateTicks.Inc()
		l.lateTickAt.Store(&now)
	}
	l.lastTickAt.Store(&now)
	st.maxTickDelay = max(st.maxTickDelay, now.Sub(st.lastTick)-tickInterval)
	st.lastTick = now
	l.reportTraffic(st, now)
	l.markUnconfirmed(st, now)
	expired := st.registry.Expire(now)
	// Running targets register again within 2 s after the store has recovered.
	if confirmed := st.confirmedAt[TableTargets]; confirmed.Sub(st.lastUnconfirmed[TableTargets]) > storeOutageGrace {
		expired = st.registry.DropReplacements() || expired
	}
	if expired {
		l.updateFleet(st)
	}
	l.expireNotices(st, now)
	st.suspects.Expire(now)
	l.suspectsChanged(st, now, "expiry")
	st.runIndex.Expire(now)
	st.outages.Expire(now)
	l.tickQueues(st, now)
	l.tickCallQueues(st, now)
	l.evaluateSpeeds(st, now)
	l.publishStaleness(st, now)
}

// desiredStateStale reports whether the store may hold newer routes or keys than this gateway.
func (st *state) desiredStateStale(now time.Time) bool { return st.unconfirmed[TableConfig] }

func (l *eventLoop) publishStaleness(st *state, now time.Time) {
	current := l.published.Load()
	if current == nil || current.stale == st.desiredStateStale(now) {
		return
	}
	l.published.Store(&publishedState{desired: current.desired, stale: st.desiredStateStale(now)})
}

// confirm records that the local copy of a table matched the store at the given time,
// according to a store response to this gateway or another one.
func (l *eventLoop) confirm(st *state, at time.Time, table Table, source string) {
	if !at.After(st.confirmedAt[table]) {
		return
	}
	if st.unconfirmed[table] {
		st.unconfirmed[table] = false
		l.log.Info().Stringer("table", table).Str("source", source).Msg("table confirmed by the store again")
	}
	st.confirmedAt[table] = at
	if table == TableConfig {
		l.configConfirmedAt.Store(&at)
	}
	st.announceTableNews()
}

// reportTraffic updates the periodic metrics once per trafficReportInterval. It logs the traffic if calls to the store or to other gateways failed.
func (l *eventLoop) reportTraffic(st *state, now time.Time) {
	if now.Sub(st.lastTrafficReport) < trafficReportInterval {
		return
	}
	l.reportBeliefs(st, now)
	t := &l.traffic
	exchanges, timeouts, storeFailures := t.exchanges.Swap(0), t.exchangeTimeouts.Swap(0), t.storeFailures.Swap(0)
	clientsIn, clientsOut := l.takeBytes("clients", &t.clients)
	targetsIn, targetsOut := l.takeBytes("targets", &t.targets)
	peersIn, peersOut := l.takeBytes("gateways", &t.peers)
	if timeouts+storeFailures > 0 {
		l.log.Info().Dur("interval", now.Sub(st.lastTrafficReport)).Dur("config_age", now.Sub(st.confirmedAt[TableConfig])).
			Int64("exchanges", exchanges).Int64("exchanges_failed", timeouts).Int64("store_calls_failed", storeFailures).
			Dur("max_tick_delay", st.maxTickDelay).Int64("clients_in", clientsIn).Int64("clients_out", clientsOut).
			Int64("targets_in", targetsIn).Int64("targets_out", targetsOut).Int64("peers_in", peersIn).Int64("peers_out", peersOut).
			Msg("calls to the store or to other gateways failed; traffic in bytes")
	}
	st.lastTrafficReport, st.maxTickDelay = now, 0
}

// reportBeliefs updates the gauges of the tables' ages and of the targets by state.
func (l *eventLoop) reportBeliefs(st *state, now time.Time) {
	for i, confirmed := range st.confirmedAt {
		if !confirmed.IsZero() {
			l.metrics.tableAge.WithLabelValues(Table(i).String()).Set(now.Sub(confirmed).Seconds())
		}
	}
	states := map[string]int{"usable": 0, "leaving": 0, "paused": 0, "avoided": 0}
	for _, reg := range st.registry.Targets() {
		notice := st.fleet.Notice(reg.ID)
		switch {
		case reg.Leaving, notice.Leaving():
			states["leaving"]++
		case notice.Paused(now):
			states["paused"]++
		case st.fleet.Usable(now, reg.ID):
			states["usable"]++
		default:
			states["avoided"]++
		}
	}
	for state, count := range states {
		l.metrics.targetStates.WithLabelValues(state).Set(float64(count))
	}
}

// takeBytes resets a counter and adds what it counted to the metrics.
func (l *eventLoop) takeBytes(link string, c *linkCounter) (in, out int64) {
	in, out = c.in.Swap(0), c.out.Swap(0)
	l.metrics.linkBytes.WithLabelValues(link, "in").Add(float64(in))
	l.metrics.linkBytes.WithLabelValues(link, "out").Add(float64(out))
	return in, out
}

// configAge returns how long ago the desired state in use was confirmed by the store, 0 before
// the first confirmation.
func (l *eventLoop) configAge(now time.Time) time.Duration {
	if at := l.configConfirmedAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// markUnconfirmed marks the tables that have not been confirmed for unconfirmedAge.
func (l *eventLoop) markUnconfirmed(st *state, now time.Time) {
	for i := range st.tables {
		if now.Sub(st.confirmedAt[i]) < st.unconfirmedAge(Table(i)) {
			continue
		}
		if !st.unconfirmed[i] && st.tables[i].Loaded() {
			l.log.Warn().Stringer("table", Table(i)).Dur("age", now.Sub(st.confirmedAt[i])).Uint64("era", st.tables[i].Version().Era).Uint64("revision", st.tables[i].Version().Revision).
				Msg("table not confirmed by the store for too long; cached rows may be out of date")
		}
		st.unconfirmed[i] = true
		st.lastUnconfirmed[i] = now
	}
}

// readsStore reports whether this gateway polls the store for a table: it is one of the
// table's readers, or it has not received the table from a reader for too long.
func (l *eventLoop) readsStore(st *state, now time.Time, table Table) bool {
	if !st.tables[table].Loaded() || now.Sub(st.confirmedAt[table]) > fallbackReadAge(&st.settings.Bounds, table) {
		return true
	}
	return st.isReader(l.options.Settings.Name)
}

// setLiveGateways sets the names of this gateway and the reachable other ones, and chooses the
// readers among them by rendezvous hashing. All tables have the same readers, so that one exchange
// with a reader brings all of them up to date.
func (st *state) setLiveGateways(names []string) {
	st.liveGateways = names
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String("reader\x00"+b), xxhash.Sum64String("reader\x00"+a))
	})
	st.rankedGateways, st.readers = ranked, ranked[:min(readerCount, len(ranked))]
}

// isReader reports whether a gateway is among the readers.
func (st *state) isReader(gateway string) bool { return slices.Contains(st.readers, gateway) }

func (l *eventLoop) updateFleet(st *state) {
	st.fleet.Update(st.registry.Targets(), func(service string) int {
		if st.desired.Config == nil {
			return 0
		}
		if svc, ok := st.desired.Config.Service(service); ok && svc.Engine != nil {
			return svc.Engine.MemoryTokens
		}
		return 0
	})
	l.metrics.targets.Set(float64(len(st.registry.Targets())))
	l.publishNotices(st, time.Now())
}

// budget returns the retry budget of a service, refilled up to now.
func (l *eventLoop) budget(st *state, now time.Time, service string) *retry.SharedBudget {
	b := st.budgets[service]
	if b == nil {
		b = retry.NewSharedBudget(st.startedAt, st.retryBounds(), st.gatewayCount)
		st.budgets[service] = b
	}
	b.Refill(now)
	return b
}

func (st *state) retryBounds() retry.Bounds {
	bounds := st.settings.Bounds
	window := bounds.RetryWindow.Duration
	if window <= 0 {
		window = defaultRetryWindow
	}
	return retry.Bounds{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: window}
}

// setGatewayCount sets the number of gateways that share the retry budgets. A gateway that has
// just started may not have met all that it knows of.
func (st *state) setGatewayCount(now time.Time, live, known int) {
	count := st.peakGateways.Observe(now, live)
	if now.Sub(st.startedAt) < gatewayCountMemory {
		count = max(count, known)
	}
	if count == st.gatewayCount {
		return
	}
	st.gatewayCount = count
	for _, b := range st.budgets {
		b.SetBounds(st.retryBounds(), count)
	}
}

// targetDown says how a target was found to be down.
type targetDown struct {
	// probed is when the target was asked.
	probed time.Time
	// ended is set if the target's process has ended: it refused the connection. Otherwise it did not
	// answer, which may also be the network or a long queue.
	ended bool
}

func (d targetDown) String() string {
	if d.ended {
		return "connection refused"
	}
	return "no answer"
}

// markTargetDown records that a target is unreachable, so that nothing is placed there, and probes
// the targets that may be affected by the same outage. If the target's process has ended, it
// interrupts all attempts there of this gateway. Otherwise the target may only be late, and the silent
// ones that can move seek another target.
func (l *eventLoop) markTargetDown(st *state, now time.Time, id string, down targetDown) {
	reg, ok := st.fleet.Target(id)
	if !ok {
		return
	}
	var interrupted, silent []*attemptHandle
	for handle := range st.attempts[id] {
		switch {
		case down.ended:
			interrupted = append(interrupted, handle)
		case handle.leavesSilent(down.probed):
			silent = append(silent, handle)
		}
	}
	if st.outages.Record(now, reg) {
		l.log.Warn().Str("target", id).Str("address", reg.Address).Str("zone", reg.Zone).Stringer("reason", down).
			Int("attempts", len(st.attempts[id])).Int("interrupted", len(interrupted)).Int("silent", len(silent)).Msg("target is down")
		l.metrics.targetsDown.Inc()
	}
	st.fleet.MarkDown(now, id)
	for _, handle := range interrupted {
		handle.interrupt()
	}
	for _, handle := range silent {
		handle.reportSilent()
	}
	usable := func(id string) bool { return st.fleet.Usable(now, id) }
	busy := func(id string) bool { return len(st.attempts[id]) > 0 }
	for _, other := range st.outages.TargetsToProbe(reg, st.registry.Targets(), usable, busy) {
		l.probe(other)
	}
}

// reload applies changed settings. Names and addresses take effect only at a restart.
func (l *eventLoop) reload(st *state, changed settings.Gateway) {
	st.settings.Seeds, st.settings.Bounds = changed.Seeds, changed.Bounds
	for _, b := range st.budgets {
		b.SetBounds(st.retryBounds(), st.gatewayCount)
	}
	l.log.Info().Strs("seeds", changed.Seeds).Float64("retry_ratio", changed.Bounds.RetryRatio).
		Dur("drain_timeout", changed.Bounds.DrainTimeout.Duration).Msg("settings reloaded; changed names and addresses take effect at the next restart")
}
