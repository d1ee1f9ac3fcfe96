package gateway

import (
	"context"
	"math/rand/v2"
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
	// directorQueue is the number of messages that wait for the director.
	eventQueueSize = 256
	// tickInterval is the interval of the director's housekeeping.
	tickInterval = 100 * time.Millisecond
	// lateTick is the lateness of a tick from which the process distrusts what it believed
	// of others: it was stopped, and their silence says nothing.
	lateTickThreshold = 300 * time.Millisecond
	// readersPerTable is the number of gateways that follow a table in the store; the others
	// get it from them. Two go on when one is lost.
	readersPerTable = 2
	// lapseWindow is how long after a failure of the store vanished registrations are
	// taken for lapsed rather than gone.
	storeOutageGrace = 3 * time.Second
	// budgetShare is the part of the operators' retry budget that gateways use together;
	// the rest is left for gateways that do not know of each other.
	retryBudgetShare = 0.6
	// resumeReserve is the smallest reserve of resumes of one gateway and service. It is
	// small beside the shared budget; the reserve grows with the streams in flight.
	resumeReserve = 6
)

// state is what the director owns. Only functions that run on the director touch it.
type state struct {
	// settings are those in force: seeds and bounds follow a reload.
	settings        settings.Gateway
	tables          [numReplicatedTables]*replica.Table
	registrations   map[string]membership.Registration
	desired         DesiredState
	registry        *membership.Registry
	fleet           *placement.Fleet
	budgets         map[string]*retry.Budget
	inflightStreams map[string]int
	latencies       map[string]*retry.Estimate
	suspects        *suspect.Tracker
	// attempts are those of this gateway that are open, by target.
	attempts map[string]map[*attemptHandle]struct{}
	// storeWorked is the time at which a table's copy was known to be current; silent is
	// set while that is too long ago, and lastSilent is when it last was.
	confirmedAt     [numReplicatedTables]time.Time
	unconfirmed     [numReplicatedTables]bool
	lastUnconfirmed [numReplicatedTables]time.Time
	// gateways are the names of the gateways that answer, with this one, sorted.
	liveGateways []string
	// addresses are those of the other gateways that answer, by name.
	peerAddresses map[string]string
	// runs remembers generations of this gateway and those that it is home to.
	runIndex *runindex.Index
	// untold are records that wait to be sent to their homes, ownRuns those of streams that
	// this gateway relays now, and ownChanged is set if there are new ones to store.
	pendingRuns       []runindex.Record
	activeRuns        map[uint64]runindex.Record
	activeRunsChanged bool
	lastTick          time.Time
	// stops is when the other gateways that answered end; zero for those that do not stop.
	stopTimes map[string]time.Time
	outages   *placement.Outages
	// orders are the operators' rollout orders by service.
	orders    map[string]*trackedOrder
	baselines map[string]*evidence.Baseline
	evidence  *evidence.Counters
}

// director owns the gateway's beliefs. Other tasks send it functions as messages.
type eventLoop struct {
	options  *Options
	log      zerolog.Logger
	metrics  *metrics
	messages chan func(*state)
	// published is the desired state in force; nil before the first one.
	published atomic.Pointer[publishedState]
	// first is closed when the first desired state is in force.
	desiredLoaded chan struct{}
	// probe asks a target in the background whether it answers.
	probe func(target membership.Registration)
}

// published is what request handlers read without asking the director.
type publishedState struct {
	desired DesiredState
	// stale is set while nobody has confirmed the desired state for longer than silentAfter.
	stale bool
}

func newEventLoop(options *Options, m *metrics) *eventLoop {
	return &eventLoop{options: options, log: options.Logger, metrics: m, messages: make(chan func(*state), eventQueueSize), desiredLoaded: make(chan struct{})}
}

func (d *eventLoop) newState(now time.Time) *state {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &state{
		settings:        d.options.Settings,
		registrations:   map[string]membership.Registration{},
		registry:        membership.NewRegistry(),
		fleet:           placement.NewFleet(d.options.Settings.Name, d.options.Settings.Zone, rng),
		budgets:         map[string]*retry.Budget{},
		inflightStreams: map[string]int{},
		latencies:       map[string]*retry.Estimate{},
		suspects:        suspect.NewTracker(),
		attempts:        map[string]map[*attemptHandle]struct{}{},
		outages:         placement.NewOutages(),
		stopTimes:       map[string]time.Time{},
		orders:          map[string]*trackedOrder{},
		baselines:       map[string]*evidence.Baseline{},
		evidence:        evidence.NewCounters(d.options.Settings.Name, rng.Uint64()),
		liveGateways:    []string{d.options.Settings.Name},
		runIndex:        runindex.New(),
		activeRuns:      map[uint64]runindex.Record{},
		lastTick:        now,
	}
	for i := range s.tables {
		s.tables[i] = replica.NewTable()
	}
	return s
}

// run handles messages until ctx ends.
func (d *eventLoop) run(ctx context.Context) error {
	s := d.newState(time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-d.messages:
			fn(s)
		case <-ticker.C:
			d.tick(s, time.Now())
		}
	}
}

// tell sends a message without waiting for it to be handled.
func (d *eventLoop) post(ctx context.Context, fn func(*state)) {
	select {
	case d.messages <- fn:
	case <-ctx.Done():
	}
}

// ask runs a function on the director and returns its result, or the zero value when ctx
// has ended.
func query[T any](ctx context.Context, l *eventLoop, fn func(*state) T) T {
	result := make(chan T, 1)
	l.post(ctx, func(s *state) { result <- fn(s) })
	select {
	case value := <-result:
		return value
	case <-ctx.Done():
		var zero T
		return zero
	}
}

func (d *eventLoop) tick(s *state, now time.Time) {
	if late := now.Sub(s.lastTick) - tickInterval; late > lateTickThreshold {
		d.log.Warn().Dur("late", late).Msg("process was stopped; beliefs about others are distrusted")
		d.metrics.lateTicks.Inc()
	}
	s.lastTick = now
	d.markUnconfirmed(s, now)
	expired := s.registry.Expire(now)
	// Live targets register again within 2 s of the store's return.
	if worked := s.confirmedAt[TableTargets]; worked.Sub(s.lastUnconfirmed[TableTargets]) > storeOutageGrace {
		expired = s.registry.DropReplacements() || expired
	}
	if expired {
		d.updateFleet(s)
	}
	s.suspects.Expire(now)
	s.runIndex.Expire(now)
	s.outages.Expire(now)
	d.publishStaleness(s, now)
}

// stale reports whether unknown routes and keys may be newer than the desired state here.
func (s *state) desiredStateStale(now time.Time) bool { return s.unconfirmed[TableConfig] }

func (d *eventLoop) publishStaleness(s *state, now time.Time) {
	current := d.published.Load()
	if current == nil || current.stale == s.desiredStateStale(now) {
		return
	}
	d.published.Store(&publishedState{desired: current.desired, stale: s.desiredStateStale(now)})
}

// confirmed records that a table's copy was current at a time, by the store's answer to
// this gateway or to another one.
func (d *eventLoop) confirm(s *state, at time.Time, table Table, source string) {
	if !at.After(s.confirmedAt[table]) {
		return
	}
	if s.unconfirmed[table] {
		s.unconfirmed[table] = false
		d.log.Info().Stringer("table", table).Str("source", source).Msg("table is confirmed again")
	}
	s.confirmedAt[table] = at
}

// watchSilence notes tables that nobody has confirmed for silentAfter.
func (d *eventLoop) markUnconfirmed(s *state, now time.Time) {
	for i := range s.tables {
		if now.Sub(s.confirmedAt[i]) < s.unconfirmedAge(Table(i)) {
			continue
		}
		if !s.unconfirmed[i] && s.tables[i].Loaded() {
			d.log.Warn().Stringer("table", Table(i)).Dur("age", now.Sub(s.confirmedAt[i])).Uint64("revision", s.tables[i].Revision()).
				Msg("table is not confirmed any more")
		}
		s.unconfirmed[i] = true
		s.lastUnconfirmed[i] = now
	}
}

// reads reports whether this gateway follows a table in the store itself: it is one of the
// table's readers, or the readers do not pass the table on.
func (d *eventLoop) readsStore(s *state, now time.Time, table Table) bool {
	if !s.tables[table].Loaded() || now.Sub(s.confirmedAt[table]) > s.fallbackReadAge(table) {
		return true
	}
	return s.isReader(table, d.options.Settings.Name)
}

// isReader chooses the readers of a table by rendezvous hashing.
func (s *state) isReader(table Table, self string) bool {
	own := xxhash.Sum64String(table.String() + "\x00" + self)
	ahead := 0
	for _, name := range s.liveGateways {
		if name != self && xxhash.Sum64String(table.String()+"\x00"+name) > own {
			ahead++
		}
	}
	return ahead < readersPerTable
}

// snapshot installs a whole table, read from the store or handed over by a peer.
func (d *eventLoop) installSnapshot(s *state, now time.Time, table Table, rows []replica.Row, revision uint64, source string) {
	local := s.tables[table]
	if local.Loaded() && revision < local.Revision() {
		return
	}
	changes := local.Replace(rows, revision)
	d.log.Info().Stringer("table", table).Str("source", source).Uint64("revision", revision).
		Int("rows", len(rows)).Int("changes", len(changes)).Msg("table read")
	d.tableChanged(s, now, table, changes)
}

// advance applies changes of a table and reports whether they continue the copy.
func (d *eventLoop) applyChanges(s *state, now time.Time, table Table, changes []replica.Change, after, to uint64) bool {
	applied, ok := s.tables[table].Advance(changes, after, to)
	if ok && len(applied) > 0 {
		d.tableChanged(s, now, table, applied)
	}
	return ok
}

func (d *eventLoop) tableChanged(s *state, now time.Time, table Table, changes []replica.Change) {
	switch table {
	case TableConfig:
		d.applyDesiredState(s, now)
	case TableTargets:
		d.applyRegistrations(s, now, changes)
	}
}

func (d *eventLoop) applyDesiredState(s *state, now time.Time) {
	desired, decodeErrs := d.options.Protocol.DecodeDesiredState(s.tables[TableConfig].Rows())
	for _, err := range decodeErrs {
		d.log.Error().Err(err).Msg("row of the desired state cannot be read")
	}
	if desired.Config == nil {
		desired.Config = s.desired.Config
	}
	old := s.desired.Config
	if old != nil && desired.Config != nil && desired.Config.Version < old.Version {
		d.log.Warn().Uint64("version", desired.Config.Version).Uint64("in_force", old.Version).Msg("older desired state ignored")
		desired.Config = old
	}
	s.desired = desired
	d.addOrders(s, now, desired.Rollouts)
	if desired.Config == nil {
		return
	}
	if old == nil || old.Version != desired.Config.Version {
		d.log.Info().Uint64("version", desired.Config.Version).Uint64("revision", s.tables[TableConfig].Revision()).
			Msg("desired state in force")
		d.metrics.configVersion.Set(float64(desired.Config.Version))
	}
	if d.published.Swap(&publishedState{desired: desired, stale: s.desiredStateStale(now)}) == nil {
		close(d.desiredLoaded)
	}
	d.updateFleet(s)
}

func (d *eventLoop) applyRegistrations(s *state, now time.Time, changes []replica.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(s.registrations, change.Key)
			continue
		}
		reg, err := d.options.Protocol.DecodeRegistration(change)
		if err != nil {
			d.log.Debug().Str("key", change.Key).Err(err).Msg("row names no target")
			delete(s.registrations, change.Key)
			continue
		}
		s.registrations[change.Key] = reg
	}
	registrations := make([]membership.Registration, 0, len(s.registrations))
	for _, reg := range s.registrations {
		registrations = append(registrations, reg)
	}
	storeRecovering := now.Sub(s.lastUnconfirmed[TableTargets]) < storeOutageGrace
	before := s.registry.Targets()
	s.registry.Replace(now, registrations, storeRecovering)
	d.logTargets(before, s.registry.Targets())
	d.updateFleet(s)
}

// logTargets writes a line for each target that came, went or announced to leave.
func (d *eventLoop) logTargets(before, after []membership.Registration) {
	old := make(map[string]membership.Registration, len(before))
	for _, reg := range before {
		old[reg.ID] = reg
	}
	for _, reg := range after {
		prev, known := old[reg.ID]
		delete(old, reg.ID)
		if known && prev.Leaving == reg.Leaving && prev.SameInstance(&reg) {
			continue
		}
		d.log.Info().Str("target", reg.ID).Str("address", reg.Address).Str("service", reg.Service).Str("zone", reg.Zone).
			Str("version", reg.Version).Bool("leaving", reg.Leaving).Bool("new", !known).Msg("target registered")
	}
	for id, reg := range old {
		d.log.Info().Str("target", id).Str("address", reg.Address).Msg("target removed")
	}
}

func (d *eventLoop) updateFleet(s *state) {
	s.fleet.Update(s.registry.Targets(), func(service string) int {
		if s.desired.Config == nil {
			return 0
		}
		if svc, ok := s.desired.Config.Service(service); ok && svc.Engine != nil {
			return svc.Engine.MemoryTokens
		}
		return 0
	})
	d.metrics.targets.Set(float64(len(s.registrations)))
}

// budget returns the retry budget of a service, filled up to now.
func (d *eventLoop) budget(s *state, now time.Time, service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retry.NewBudgetWithRates(now, d.rates(s))
		s.budgets[service] = b
	}
	b.Refill(now, s.inflightStreams[service])
	return b
}

// rates are this gateway's part of the retry budget that all gateways share.
func (d *eventLoop) rates(s *state) retry.Rates {
	bounds := s.settings.Bounds
	return retry.Rates{
		PerRequest: retryBudgetShare * bounds.RetryRatio,
		Burst:      max(2, retryBudgetShare*bounds.RetrySlack/float64(max(1, len(s.liveGateways)))),
		Reserve:    resumeReserve,
	}
}

// targetDown records that a target was found unreachable and ends its streams here.
func (d *eventLoop) markTargetDown(s *state, now time.Time, id, reason string) {
	reg, ok := s.fleet.Target(id)
	if !ok {
		return
	}
	if s.outages.Record(now, reg) {
		d.log.Warn().Str("target", id).Str("address", reg.Address).Str("zone", reg.Zone).Str("reason", reason).
			Int("attempts", len(s.attempts[id])).Msg("target is down")
		d.metrics.targetsDown.Inc()
	}
	s.fleet.MarkDown(now, id)
	for handle := range s.attempts[id] {
		handle.interrupt()
	}
	usable := func(id string) bool { return s.fleet.Usable(now, id) }
	busy := func(id string) bool { return len(s.attempts[id]) > 0 }
	for _, other := range s.outages.TargetsToProbe(reg, s.registry.Targets(), usable, busy) {
		d.probe(other)
	}
}

// reload takes in changed settings. Addresses and names stay those of the start.
func (d *eventLoop) reload(s *state, changed settings.Gateway) {
	s.settings.Seeds, s.settings.Bounds = changed.Seeds, changed.Bounds
	for _, b := range s.budgets {
		b.SetRates(d.rates(s))
	}
	d.log.Info().Strs("seeds", changed.Seeds).Float64("retry_ratio", changed.Bounds.RetryRatio).
		Dur("drain_timeout", changed.Bounds.DrainTimeout.Duration).Msg("settings reloaded; names and addresses stay until a restart")
}
