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

// tracked is one rollout as known to this entry.
type tracked struct {
	row       rollout.Row
	revision  uint64
	readAt    time.Time
	evaluator *evidence.Evaluator
	verdict   evidence.Verdict
	// writing is set while a write of the row is in progress.
	writing bool
	ordered map[string]time.Time
	// refused is the highest fencing number of this row that a target refused as too old.
	refused uint64
}

// state is owned by the task of Run.
type state struct {
	manager   *Manager
	options   *Options
	ctx       context.Context
	self      rollout.Owner
	counters  *evidence.Counters
	baselines map[baselineKey]*evidence.Baseline
	rollouts  map[versionKey]*tracked
	services  map[string]bool
	polling   bool
	nextPoll  time.Time
	readOnce  bool
	creating  map[versionKey]bool
}

func newState(m *Manager, ctx context.Context) *state {
	return &state{
		manager: m, options: &m.options, ctx: ctx,
		self:      rollout.Owner{Name: m.options.EntryName, Incarnation: m.options.Incarnation},
		counters:  evidence.NewCounters(m.options.EntryName, m.options.Incarnation),
		baselines: map[baselineKey]*evidence.Baseline{},
		rollouts:  map[versionKey]*tracked{},
		services:  map[string]bool{},
		creating:  map[versionKey]bool{},
	}
}

func (s *state) tick(now time.Time) {
	s.poll(now)
	s.createFromConfig(now)
	for _, t := range s.rollouts {
		s.evaluate(now, t)
	}
	s.publish()
}

// poll reads the rows. At most one read is in progress; with the table service down the
// last rows stay in use and their age stops any advance.
func (s *state) poll(now time.Time) {
	if s.polling || now.Before(s.nextPoll) {
		return
	}
	s.polling = true
	jitter := time.Duration(rand.Int64N(int64(s.options.PollInterval / 5)))
	s.nextPoll = now.Add(s.options.PollInterval - s.options.PollInterval/10 + jitter)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		rows, err := s.options.Table.List(ctx, rollout.Prefix, maxRows)
		s.manager.deliver(func(s *state) { s.polled(now, rows, err) })
	}()
}

// polled takes in the rows. The time of the read is when it began.
func (s *state) polled(at time.Time, rows []platform.Row, err error) {
	s.polling = false
	if err != nil {
		s.manager.metrics.polls.WithLabelValues("failed").Inc()
		s.options.Logger.Warn().Err(err).Msg("cannot read the rollout rows")
		return
	}
	s.manager.metrics.polls.WithLabelValues("ok").Inc()
	s.readOnce = true
	for _, r := range rows {
		row, err := rollout.Parse(r.Value)
		if err != nil {
			s.options.Logger.Error().Err(err).Str("key", r.Key).Msg("invalid rollout row ignored")
			continue
		}
		s.take(at, row, r.Revision)
	}
	s.rebuild()
}

// take replaces what is known of a rollout by a newer row.
func (s *state) take(at time.Time, row rollout.Row, revision uint64) {
	key := versionKey{row.Service, row.Version}
	t := s.rollouts[key]
	if t == nil {
		t = &tracked{ordered: map[string]time.Time{}}
		s.rollouts[key] = t
	}
	if revision < t.revision {
		return // a slow read that a later write has overtaken
	}
	if t.evaluator == nil || t.row.Previous != row.Previous || t.row.Started != row.Started {
		t.evaluator = evidence.NewEvaluator(row.Service, row.Version, row.Previous)
	} else if t.row.Step != row.Step {
		t.evaluator.StartStep()
	}
	s.noteTransition(t, &row)
	t.row, t.revision, t.readAt = row, revision, at
	s.manager.metrics.share.WithLabelValues(row.Service, row.Version).Set(row.Share())
}

// noteTransition logs and counts a change of state, step or owner that this entry learns.
func (s *state) noteTransition(t *tracked, row *rollout.Row) {
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

// rebuild publishes the rows for Split and keeps evidence only for services whose
// rollouts still need it. Rows of versions that are no longer configured are ignored.
func (s *state) rebuild() {
	v := view{}
	s.services = map[string]bool{}
	now := time.Now()
	for key, t := range s.rollouts {
		if !s.configured(key) {
			continue
		}
		v[key.service] = append(v[key.service], t.row)
		if t.row.State == rollout.Running || t.row.State == rollout.Done && now.Before(rollout.PreviousKeptUntil(&t.row)) {
			s.services[key.service] = true
		}
	}
	for _, rows := range v {
		rollout.Sort(rows)
	}
	s.manager.view.Store(&v)
	s.counters.Retain(s.tracked)
	for key := range s.baselines {
		if !s.services[key.service] {
			delete(s.baselines, key)
		}
	}
}

func (s *state) configured(key versionKey) bool {
	config := configOf(s.options)
	if config == nil {
		return true // rows apply until the configuration says otherwise
	}
	service := config.Service(key.service)
	return service != nil && findVersion(service, key.version) != nil
}

func (s *state) tracked(service string) bool { return s.services[service] }

// createFromConfig writes the row of each configured version with a deadline ahead.
func (s *state) createFromConfig(now time.Time) {
	config := configOf(s.options)
	if config == nil || !s.readOnce {
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
			previous := previousVersion(service, (*s.manager.view.Load())[service.Name], v.Name, s.manager.withdrawnIn(service.Name))
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
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		err := s.manager.create(ctx, row)
		s.manager.deliver(func(s *state) {
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

// observe counts an outcome of a version that a rollout compares.
func (s *state) observe(now time.Time, key evidence.Key, o placement.Outcome, suspectAboard bool) {
	if !s.services[key.Service] {
		return
	}
	slow := false
	if !o.Failed {
		// Any version may be the old one of the next rollout.
		s.baseline(now, key, key.Version).Observe(now, o.FirstToken, o.TokenInterval)
		slow = s.baseline(now, key, s.referenceOf(key.Service, key.Version)).Slow(now, o.FirstToken, o.TokenInterval)
	}
	s.counters.Add(key, o.Failed, slow, suspectAboard)
	outcome := "ok"
	switch {
	case o.Failed && suspectAboard:
		outcome = "suspect_failed"
	case o.Failed:
		outcome = "failed"
	case slow:
		outcome = "slow"
	}
	s.manager.metrics.requests.WithLabelValues(key.Service, key.Version, outcome).Inc()
}

// referenceOf returns the version whose latencies a version's requests are compared with:
// its own while a rollout starts from it, since that needs the old version's own rate of
// slow requests, else those of the version that it followed.
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

// evaluate applies the decision for one rollout.
func (s *state) evaluate(now time.Time, t *tracked) {
	service, version := t.row.Service, t.row.Version
	withdrawn := s.options.Withdrawn(service, version)
	if t.row.State == rollout.Withdrawn && withdrawn || !s.configured(versionKey{service, version}) {
		return
	}
	if t.row.State != rollout.Withdrawn && s.services[service] {
		t.verdict = t.evaluator.Evaluate(now, s.counters)
	}
	targets := s.targets()
	active := s.active(service)
	out := rollout.Decide(&rollout.Input{
		Times: s.options.Times,
		Now:   now, Row: t.row, ReadAt: t.readAt, Self: s.self, Withdrawn: withdrawn, Verdict: t.verdict,
		Loaded:         active == t && rollout.Loaded(&t.row, targets),
		Current:        s.hasTurn(now, t),
		Fenced:         t.refused > 0 && t.refused >= t.row.Fence,
		PreviousLoaded: len(rollout.NextUnloads(&t.row, targets, nil, now)) > 0 || s.inUse(service, t.row.Previous),
	})
	if out.Withdraw != "" {
		s.manager.metrics.withdrawn.WithLabelValues(service, version).Inc()
		s.options.Logger.Warn().Str("service", service).Str("version", version).Str("reason", out.Withdraw).
			Uint64("requests", t.verdict.Requests).Uint64("failures", t.verdict.Failures).Uint64("slow", t.verdict.Slow).
			Msg("version withdrawn")
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
		s.order(now, t, wire.OrderKind_ORDER_KIND_LOAD, t.row.Version, rollout.NextLoads(&t.row, targets, t.ordered, now))
	case s.hasTurn(now, t) && rollout.Retiring(&t.row, now) && !s.inUse(service, t.row.Previous):
		s.order(now, t, wire.OrderKind_ORDER_KIND_UNLOAD, t.row.Previous, rollout.NextUnloads(&t.row, targets, t.ordered, now))
	}
}

// inUse reports whether a running rollout starts from the version or leads to it, or the
// rows make it the version that carries the traffic.
func (s *state) inUse(service, version string) bool {
	if t := s.active(service); t != nil && (t.row.Version == version || t.row.Previous == version) {
		return true
	}
	v := s.manager.view.Load()
	return v != nil && rollout.Split((*v)[service], s.manager.withdrawnIn(service), 0) == version
}

// active returns the rollout of the service that is worked on.
func (s *state) active(service string) *tracked {
	v := s.manager.view.Load()
	if v == nil {
		return nil
	}
	row := rollout.Active((*v)[service], s.manager.withdrawnIn(service))
	if row == nil {
		return nil
	}
	return s.rollouts[versionKey{service, row.Version}]
}

// hasTurn reports whether the rollout is the one of its service that is worked on.
func (s *state) hasTurn(now time.Time, t *tracked) bool {
	v := s.manager.view.Load()
	if v == nil {
		return false
	}
	row := rollout.Current((*v)[t.row.Service], s.manager.withdrawnIn(t.row.Service), now)
	return row != nil && row.Version == t.row.Version
}

func (s *state) targets() []membership.Target {
	if snapshot := s.options.Snapshot(); snapshot != nil {
		return snapshot.Targets
	}
	return nil
}

// put writes the row by compare-and-set. A lost response is resolved by the next poll:
// nothing is assumed from it.
func (s *state) put(now time.Time, t *tracked, row rollout.Row, acquire bool) {
	if t.writing {
		return
	}
	t.writing = true
	revision := t.revision
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		var drawn []platform.Row
		var err error
		if acquire {
			drawn, err = s.draw(ctx, &row)
		}
		var res platform.TxnResult
		if err == nil {
			res, err = s.options.Table.Commit(ctx, txnOf(&row, revision, drawn))
		}
		s.manager.deliver(func(s *state) { s.written(now, t, row, res, err) })
	}()
}

// draw gives the row the service's next fencing number. It returns the service's row with
// the new value and the revision read.
func (s *state) draw(ctx context.Context, row *rollout.Row) ([]platform.Row, error) {
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

// txnOf replaces the row and the other rows if none was written since it was read.
func txnOf(row *rollout.Row, revision uint64, others []platform.Row) platform.Txn {
	var txn platform.Txn
	for _, r := range append(others, platform.Row{Key: rollout.Key(row.Service, row.Version), Value: row.Encode(), Revision: revision}) {
		txn.Checks = append(txn.Checks, platform.Check{Key: r.Key, Revision: r.Revision})
		txn.Puts = append(txn.Puts, platform.Put{Key: r.Key, Value: r.Value})
	}
	return txn
}

func (s *state) written(at time.Time, t *tracked, row rollout.Row, res platform.TxnResult, err error) {
	t.writing = false
	switch {
	case err != nil:
		s.manager.metrics.writes.WithLabelValues("unknown").Inc()
	case !res.Committed:
		s.manager.metrics.writes.WithLabelValues("conflict").Inc()
	default:
		s.manager.metrics.writes.WithLabelValues("ok").Inc()
		s.options.Logger.Info().Str("service", row.Service).Str("version", row.Version).Str("state", string(row.State)).
			Float64("share", row.Share()).Uint64("fence", row.Fence).Msg("rollout row written")
		s.take(at, row, res.Revision)
		s.rebuild()
		return
	}
	s.nextPoll = time.Time{}
}

// order asks targets to load or unload a version, with the fencing number of the lease.
func (s *state) order(now time.Time, t *tracked, kind wire.OrderKind, version string, targets []membership.Target) {
	config := configOf(s.options)
	if config == nil {
		return
	}
	service := config.Service(t.row.Service)
	if service == nil {
		return
	}
	for _, target := range targets {
		t.ordered[target.Name] = now
		request := &wire.OrderRequest{
			Fence: t.row.Fence, Owner: s.self.Name, Kind: kind, Model: service.Model, Version: version,
		}
		go s.sendOrder(t, target, request)
	}
}

func (s *state) sendOrder(t *tracked, target membership.Target, request *wire.OrderRequest) {
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
	s.manager.deliver(func(*state) { t.answered(target.Name, request.GetFence(), code) })
}

// answered takes in the outcome of an order. An order that was refused for a reason that
// passes is repeated without waiting for the time of a load.
func (t *tracked) answered(target string, fence uint64, code result.Code) {
	switch code {
	case result.FenceTooOld:
		t.refused = max(t.refused, fence)
		delete(t.ordered, target)
	case result.NotReady:
		delete(t.ordered, target)
	}
}

// publish makes counters and status available to other tasks.
func (s *state) publish() {
	counters := s.counters.Export(s.tracked)
	s.manager.exported.Store(&counters)
	var status []*wire.VersionStatus
	for _, t := range s.rollouts {
		status = append(status, s.statusOf(t))
	}
	s.manager.status.Store(&status)
}

func (s *state) statusOf(t *tracked) *wire.VersionStatus {
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
