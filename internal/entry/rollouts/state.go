package rollouts

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

type versionKey struct{ service, version string }

type baselineKey struct{ service, version, route, zone string }

// trackedRollout is the state of one rollout on this entry.
type trackedRollout struct {
	row           rollout.Row
	revision      uint64
	readAt        time.Time
	evaluator     *evidence.Evaluator
	verdict       evidence.Verdict
	writeInFlight bool
	orderedAt     map[string]time.Time // by target name
	// refusedFence is the highest fencing token of this row that a target refused as too old.
	refusedFence uint64
	// slowRequests are the last slow requests of the version on this entry.
	slowRequests []slowRequest
}

// state is owned by the goroutine of Run.
type state struct {
	manager          *Manager
	options          *Options
	ctx              context.Context
	self             rollout.Owner
	counters         *evidence.Counters
	baselines        map[baselineKey]*evidence.Baseline
	rollouts         map[versionKey]*trackedRollout
	evidenceServices map[string]bool
	pollInFlight     bool
	nextPoll         time.Time
	rowsRead         bool
	creating         map[versionKey]bool
}

func newState(m *Manager, ctx context.Context) *state {
	return &state{
		manager: m, options: &m.options, ctx: ctx,
		self:             rollout.Owner{Name: m.options.EntryName, Incarnation: m.options.Incarnation},
		counters:         evidence.NewCounters(m.options.EntryName, m.options.Incarnation),
		baselines:        map[baselineKey]*evidence.Baseline{},
		rollouts:         map[versionKey]*trackedRollout{},
		evidenceServices: map[string]bool{},
		creating:         map[versionKey]bool{},
	}
}

func (s *state) tick(now time.Time) {
	s.poll(now)
	s.createFromConfig(now)
	for _, t := range s.rollouts {
		s.evaluate(now, t)
	}
	s.publishStatus()
}

// poll reads the rows, with at most one read in progress. While the table service is down the
// last rows stay in use, but no rollout advances once they are too old.
func (s *state) poll(now time.Time) {
	if s.pollInFlight || now.Before(s.nextPoll) {
		return
	}
	s.pollInFlight = true
	jitter := time.Duration(rand.Int64N(int64(s.options.PollInterval / 5)))
	s.nextPoll = now.Add(s.options.PollInterval - s.options.PollInterval/10 + jitter)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, tableTimeout)
		defer cancel()
		rows, err := s.options.Table.List(ctx, rollout.Prefix, maxRows)
		s.manager.send(func(s *state) { s.applyPoll(now, rows, err) })
	}()
}

// applyPoll applies the result of a read that began at the given time.
func (s *state) applyPoll(at time.Time, rows []platform.Row, err error) {
	s.pollInFlight = false
	if err != nil {
		s.manager.metrics.polls.WithLabelValues("failed").Inc()
		s.options.Logger.Warn().Err(err).Msg("cannot read the rollout rows")
		return
	}
	s.manager.metrics.polls.WithLabelValues("ok").Inc()
	s.rowsRead = true
	for _, r := range rows {
		row, err := rollout.Parse(r.Value)
		if err != nil {
			s.options.Logger.Error().Err(err).Str("key", r.Key).Msg("invalid rollout row ignored")
			continue
		}
		s.applyRow(at, row, r.Revision)
	}
	s.publishRows()
}

// applyRow updates a rollout from a row unless a newer revision is known.
func (s *state) applyRow(at time.Time, row rollout.Row, revision uint64) {
	key := versionKey{row.Service, row.Version}
	t := s.rollouts[key]
	if t == nil {
		t = &trackedRollout{orderedAt: map[string]time.Time{}}
		s.rollouts[key] = t
	}
	if revision < t.revision {
		return // the row was read before a later write
	}
	if t.evaluator == nil || t.row.Previous != row.Previous || t.row.Started != row.Started {
		t.evaluator = evidence.NewEvaluator(row.Service, row.Version, row.Previous)
	} else if t.row.Step != row.Step {
		t.evaluator.StartStep()
	}
	if row.State == rollout.Done {
		t.evaluator.Complete()
	}
	s.recordTransition(t, &row)
	t.row, t.revision, t.readAt = row, revision, at
	s.manager.metrics.share.WithLabelValues(row.Service, row.Version).Set(row.Share())
}

// recordTransition logs a change of state, step or owner, and counts a change of state or step.
func (s *state) recordTransition(t *trackedRollout, row *rollout.Row) {
	if t.row.State == row.State && t.row.Step == row.Step && t.row.Owner == row.Owner {
		return
	}
	if t.row.State != row.State || t.row.Step != row.Step {
		to := string(row.State)
		if row.State == rollout.Running {
			to = fmt.Sprintf("%g%%", row.Share())
		}
		s.manager.metrics.transitions.WithLabelValues(row.Service, row.Version, to).Inc()
	}
	s.options.Logger.Info().Str("service", row.Service).Str("version", row.Version).Str("state", string(row.State)).
		Float64("share", row.Share()).Str("owner", row.Owner).Str("reason", row.Reason).Time("deadline", time.UnixMilli(row.Deadline)).
		Uint64("requests", t.verdict.Requests).Uint64("failures", t.verdict.Failures).Uint64("slow", t.verdict.Slow).
		Msg("rollout changed")
}

// publishRows publishes the rows for Split and discards the evidence of services whose
// rollouts no longer need it. Rows of versions that are not configured are ignored.
func (s *state) publishRows() {
	published := rowsByService{}
	s.evidenceServices = map[string]bool{}
	now := time.Now()
	for key, t := range s.rollouts {
		if !s.configured(key) {
			continue
		}
		published[key.service] = append(published[key.service], t.row)
		if t.row.State == rollout.Running || t.row.State == rollout.Done && now.Before(rollout.PreviousKeptUntil(&t.row)) {
			s.evidenceServices[key.service] = true
		}
	}
	for _, rows := range published {
		rollout.Sort(rows)
	}
	s.manager.rows.Store(&published)
	s.counters.Retain(s.needsEvidence)
	for key := range s.baselines {
		if !s.evidenceServices[key.service] {
			delete(s.baselines, key)
		}
	}
}

func (s *state) configured(key versionKey) bool {
	config := configOf(s.options)
	if config == nil {
		return true // rows apply until a configuration is adopted
	}
	service := config.Service(key.service)
	return service != nil && findVersion(service, key.version) != nil
}

func (s *state) needsEvidence(service string) bool { return s.evidenceServices[service] }

// createFromConfig writes the missing rows of configured versions with a future deadline.
func (s *state) createFromConfig(now time.Time) {
	config := configOf(s.options)
	if config == nil || !s.rowsRead {
		return
	}
	for i := range config.Services {
		service := &config.Services[i]
		for j := range service.Versions {
			v := &service.Versions[j]
			key := versionKey{service.Name, v.Name}
			if !v.Deadline.After(now) || s.rollouts[key] != nil || s.creating[key] || s.options.Withdrawn(service.Name, v.Name) {
				continue
			}
			previous := previousVersion(service, (*s.manager.rows.Load())[service.Name], v.Name, s.manager.withdrawnIn(service.Name))
			if previous != "" {
				s.create(key, newRow(service.Name, v, previous, v.Deadline, now))
			}
		}
	}
}

func (s *state) create(key versionKey, row rollout.Row) {
	s.creating[key] = true
	row.Operator = "configuration"
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, tableTimeout)
		defer cancel()
		err := s.manager.create(ctx, row)
		s.manager.send(func(s *state) {
			delete(s.creating, key)
			if code := codeOf(err); err != nil && code != result.Conflict {
				s.options.Logger.Warn().Err(err).Str("service", row.Service).Str("version", row.Version).Msg("cannot start the rollout")
			}
		})
	}()
}

func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.Internal
}

// observe counts an outcome if a rollout of the service needs evidence.
func (s *state) observe(now time.Time, key evidence.Key, o placement.Outcome, suspectPresent bool) {
	if !s.evidenceServices[key.Service] {
		return
	}
	slow := false
	if !o.Failed {
		// Any version may be the previous one of the next rollout.
		s.baseline(now, key, key.Version).Observe(now, o.FirstToken, o.TokenInterval)
		slow = s.isSlow(now, key, o)
		if slow {
			s.recordSlow(now, key, o)
		}
	}
	s.counters.Add(key, o.Failed, slow, suspectPresent)
	outcome := "ok"
	switch {
	case o.Failed && suspectPresent:
		outcome = "suspect_failed"
	case o.Failed:
		outcome = "failed"
	case slow:
		outcome = "slow"
	}
	s.manager.metrics.requests.WithLabelValues(key.Service, key.Version, outcome).Inc()
}

// isSlow reports whether a request was slower than those of its version's reference.
func (s *state) isSlow(now time.Time, key evidence.Key, o placement.Outcome) bool {
	reference := s.referenceOf(key.Service, key.Version)
	b := s.baseline(now, key, reference)
	if t := s.rollouts[versionKey{key.Service, key.Version}]; t != nil && t.row.State == rollout.Done && reference != key.Version {
		return b.MuchSlower(now, o.FirstToken, o.TokenInterval)
	}
	return b.Slow(now, o.FirstToken, o.TokenInterval)
}

// referenceOf returns the version whose latencies decide which requests of the given version
// are slow: the previous version of its rollout, or the version itself while a later rollout
// replaces it, since that rollout needs the version's own rate of slow requests.
func (s *state) referenceOf(service, version string) string {
	if active := s.active(service); active != nil && active.row.Previous == version {
		return version
	}
	if t := s.rollouts[versionKey{service, version}]; t != nil && t.row.State != rollout.Withdrawn {
		return t.row.Previous
	}
	return version
}

func (s *state) baseline(now time.Time, key evidence.Key, version string) *evidence.Baseline {
	bk := baselineKey{key.Service, version, key.Route, key.Zone}
	b := s.baselines[bk]
	if b == nil {
		b = evidence.NewBaseline(now)
		s.baselines[bk] = b
	}
	return b
}

func (s *state) evaluate(now time.Time, t *trackedRollout) {
	service, version := t.row.Service, t.row.Version
	withdrawn := s.options.Withdrawn(service, version)
	if t.row.State == rollout.Withdrawn && withdrawn || !s.configured(versionKey{service, version}) {
		return
	}
	if t.row.State != rollout.Withdrawn && s.evidenceServices[service] {
		t.verdict = t.evaluator.Evaluate(now, s.counters)
	}
	targets := s.targets()
	t.forgetLoads(targets, now)
	active := s.active(service)
	out := rollout.Decide(&rollout.Input{
		Times: s.options.Times,
		Now:   now, Row: t.row, ReadAt: t.readAt, Self: s.self, Withdrawn: withdrawn, Verdict: t.verdict,
		Loaded:         active == t && rollout.Loaded(&t.row, targets),
		Current:        s.isCurrent(now, t),
		Missing:        rollout.Missing(&t.row, targets),
		Fenced:         t.refusedFence > 0 && t.refusedFence >= t.row.Fence,
		PreviousLoaded: len(rollout.NextUnloads(&t.row, targets, nil, now)) > 0 || s.inUse(service, t.row.Previous),
	})
	if out.Withdraw != "" {
		s.manager.metrics.withdrawn.WithLabelValues(service, version).Inc()
		s.logWithdrawal(t, out.Withdraw)
		s.options.Withdraw(service, version, out.Withdraw)
	}
	if out.Put != nil {
		s.put(now, t, *out.Put, out.Acquire)
	}
	if withdrawn || !s.options.Times.HoldsLease(&t.row, s.self, now) {
		return
	}
	switch {
	case active == t:
		s.sendOrders(now, t, wire.OrderKind_ORDER_KIND_LOAD, t.row.Version, rollout.NextLoads(&t.row, targets, t.orderedAt, now))
	case s.isCurrent(now, t) && rollout.Retiring(&t.row, now) && !s.inUse(service, t.row.Previous):
		s.sendOrders(now, t, wire.OrderKind_ORDER_KIND_UNLOAD, t.row.Previous, rollout.NextUnloads(&t.row, targets, t.orderedAt, now))
	case s.isCurrent(now, t) && !rollout.Retiring(&t.row, now):
		// Targets that restarted or joined after the rollout lack the version.
		s.sendOrders(now, t, wire.OrderKind_ORDER_KIND_LOAD, t.row.Version, rollout.NextLoads(&t.row, targets, t.orderedAt, now))
	}
}

// forgetLoads discards the times of load orders that have taken effect, so that a target that then
// restarts without the version is ordered to load it again at once.
func (t *trackedRollout) forgetLoads(targets []membership.Target, now time.Time) {
	if rollout.Retiring(&t.row, now) {
		return // the times are those of unload orders
	}
	for i := range targets {
		if targets[i].HasVersion(t.row.Version) {
			delete(t.orderedAt, targets[i].Name)
		}
	}
}

// inUse reports whether the version is the new or previous one of a running rollout, or gets
// the traffic according to the rows.
func (s *state) inUse(service, version string) bool {
	if t := s.active(service); t != nil && (t.row.Version == version || t.row.Previous == version) {
		return true
	}
	rows := s.manager.rows.Load()
	return rows != nil && rollout.Split((*rows)[service], s.manager.withdrawnIn(service), 0) == version
}

// active returns the first running rollout of the service that is not withdrawn, or nil.
func (s *state) active(service string) *trackedRollout {
	rows := s.manager.rows.Load()
	if rows == nil {
		return nil
	}
	row := rollout.Active((*rows)[service], s.manager.withdrawnIn(service))
	if row == nil {
		return nil
	}
	return s.rollouts[versionKey{service, row.Version}]
}

// isCurrent reports whether t is the current rollout of its service; see rollout.Current.
func (s *state) isCurrent(now time.Time, t *trackedRollout) bool {
	rows := s.manager.rows.Load()
	if rows == nil {
		return false
	}
	row := rollout.Current((*rows)[t.row.Service], s.manager.withdrawnIn(t.row.Service), s.targets(), now)
	return row != nil && row.Version == t.row.Version
}

func (s *state) targets() []membership.Target {
	if snapshot := s.options.Snapshot(); snapshot != nil {
		return snapshot.Targets
	}
	return nil
}

// put writes the row with a compare-and-set. After a lost response the outcome is unknown
// until the next poll.
func (s *state) put(now time.Time, t *trackedRollout, row rollout.Row, acquire bool) {
	if t.writeInFlight {
		return
	}
	t.writeInFlight = true
	revision := t.revision
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, tableTimeout)
		defer cancel()
		var fences []platform.Row
		var err error
		if acquire {
			fences, err = s.allocateFence(ctx, &row)
		}
		var res platform.TxnResult
		if err == nil {
			res, err = s.options.Table.Commit(ctx, rowsTxn(&row, revision, fences))
		}
		s.manager.send(func(s *state) { s.applyWrite(now, t, row, res, err) })
	}()
}

// allocateFence sets the row's fencing token to the next one of the service. It returns the
// service's fence row with the new value and the revision read.
func (s *state) allocateFence(ctx context.Context, row *rollout.Row) ([]platform.Row, error) {
	stored, err := s.options.Table.Get(ctx, rollout.FenceKey(row.Service))
	if err != nil {
		return nil, err
	}
	highest, err := rollout.ParseFence(stored.Value)
	if err != nil {
		return nil, eris.Wrapf(err, "row %s", rollout.FenceKey(row.Service))
	}
	row.Fence = rollout.NextFence(highest, row)
	return []platform.Row{{Key: rollout.FenceKey(row.Service), Value: rollout.EncodeFence(row.Fence), Revision: stored.Revision}}, nil
}

// rowsTxn returns a transaction that replaces the row and the other rows if none of them was
// written since it was read.
func rowsTxn(row *rollout.Row, revision uint64, others []platform.Row) platform.Txn {
	var txn platform.Txn
	for _, r := range append(others, platform.Row{Key: rollout.Key(row.Service, row.Version), Value: row.Encode(), Revision: revision}) {
		txn.Checks = append(txn.Checks, platform.Check{Key: r.Key, Revision: r.Revision})
		txn.Puts = append(txn.Puts, platform.Put{Key: r.Key, Value: r.Value})
	}
	return txn
}

func (s *state) applyWrite(at time.Time, t *trackedRollout, row rollout.Row, res platform.TxnResult, err error) {
	t.writeInFlight = false
	switch {
	case err != nil:
		s.manager.metrics.writes.WithLabelValues("unknown").Inc()
	case !res.Committed:
		s.manager.metrics.writes.WithLabelValues("conflict").Inc()
	default:
		s.manager.metrics.writes.WithLabelValues("ok").Inc()
		s.options.Logger.Info().Str("service", row.Service).Str("version", row.Version).Str("state", string(row.State)).
			Float64("share", row.Share()).Uint64("fence", row.Fence).Msg("rollout row written")
		s.applyRow(at, row, res.Revision)
		s.publishRows()
		return
	}
	s.nextPoll = time.Time{}
}

// sendOrders orders targets to load or unload a version, with the fencing token of the lease.
func (s *state) sendOrders(now time.Time, t *trackedRollout, kind wire.OrderKind, version string, targets []membership.Target) {
	config := configOf(s.options)
	if config == nil {
		return
	}
	service := config.Service(t.row.Service)
	if service == nil {
		return
	}
	for _, target := range targets {
		t.orderedAt[target.Name] = now
		request := &wire.OrderRequest{
			Fence: t.row.Fence, Owner: s.self.Name, Kind: kind, Model: service.Model, Version: version,
		}
		go s.sendOrder(t, target, request)
	}
}

func (s *state) sendOrder(t *trackedRollout, target membership.Target, request *wire.OrderRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	code := result.TargetUnreachable
	var response *wire.OrderResponse
	client, err := s.options.Agent(target.Address)
	if err == nil {
		if response, err = client.Order(ctx, request); err == nil {
			code = result.Code(response.GetCode())
		}
	}
	s.manager.metrics.orders.WithLabelValues(code.String()).Inc()
	if code != result.OK {
		s.options.Logger.Warn().Err(err).Str("target", target.Name).Str("version", request.GetVersion()).
			Str("code", code.String()).Str("answer", response.GetMessage()).Msg("order failed")
	}
	s.manager.send(func(*state) { t.recordOrderResult(target.Name, request.GetFence(), code) })
}

// recordOrderResult records the outcome of an order. An order refused for a temporary reason
// may be repeated at once, without waiting for the duration of a load.
func (t *trackedRollout) recordOrderResult(target string, fence uint64, code result.Code) {
	switch code {
	case result.FenceTooOld:
		t.refusedFence = max(t.refusedFence, fence)
		delete(t.orderedAt, target)
	case result.NotReady:
		delete(t.orderedAt, target)
	}
}

// publishStatus makes the counters and the status available to other goroutines.
func (s *state) publishStatus() {
	counters := s.counters.Export(s.needsEvidence)
	s.manager.exportedEvidence.Store(&counters)
	var status []*wire.VersionStatus
	for _, t := range s.rollouts {
		status = append(status, s.statusOf(t))
	}
	s.manager.status.Store(&status)
}

func (s *state) statusOf(t *trackedRollout) *wire.VersionStatus {
	r := &t.row
	status := &wire.VersionStatus{
		Service: r.Service, Version: r.Version, State: string(r.State), Share: r.Share(),
		DeadlineUnixMs: r.Deadline, Requests: t.verdict.Requests, Failures: t.verdict.Failures,
		Slow: t.verdict.Slow, Reason: r.Reason, Owner: r.Owner, Fence: r.Fence,
	}
	if s.options.Withdrawn(r.Service, r.Version) {
		status.State, status.Share = string(rollout.Withdrawn), 0
	}
	return status
}
