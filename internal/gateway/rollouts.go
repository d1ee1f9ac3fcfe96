package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/wire"
)

const (
	// rolloutInterval is the pause between two decisions on the orders.
	rolloutInterval = 250 * time.Millisecond
	// shareSteps is the resolution of a version's share in the draw of a request.
	shareResolution = 10000
)

// order is one operator's order as this gateway sees it. The director owns it.
type trackedOrder struct {
	RolloutOrder
	state rollout.OrderState
	// written is set once the store has the state.
	written   bool
	firstSeen time.Time
	evaluator *evidence.Evaluator
	// statusRevision is that of the status row as last read.
	statusRevision uint64
}

// takeOrders takes in the operators' orders; an order with a new revision starts anew.
func (d *eventLoop) addOrders(s *state, now time.Time, orders []RolloutOrder) {
	for _, o := range orders {
		if known := s.orders[o.Service]; known != nil && known.Revision >= o.Revision {
			continue
		}
		d.log.Info().Str("service", o.Service).Str("version", o.Version).Dur("within", o.Duration).Uint64("revision", o.Revision).
			Msg("rollout ordered")
		s.orders[o.Service] = &trackedOrder{RolloutOrder: o, firstSeen: now}
		if s.baselines[o.Service] == nil {
			s.baselines[o.Service] = evidence.NewBaseline(now)
		}
	}
}

// setOrder moves an order to a state that it may take.
func (d *eventLoop) setOrderState(o *trackedOrder, state rollout.OrderState, source, reason string) {
	merged := rollout.MergeOrder(o.state, state)
	if merged == o.state {
		return
	}
	d.log.Info().Str("service", o.Service).Str("version", o.Version).Uint64("revision", o.Revision).Int("from", int(o.state)).
		Int("to", int(merged)).Str("source", source).Str("reason", reason).Msg("rollout changed")
	o.state, o.written = merged, source == "store"
}

// restrictVersion limits a query to the versions that a request may go to. The draw is
// the same for all attempts of a request. If no target of those versions is left, any
// version that an order has not withdrawn serves.
func (s *state) restrictVersion(now time.Time, query *placement.FleetQuery, draw uint64) {
	o := s.orders[query.Service]
	if o == nil {
		return
	}
	if float64(draw%shareResolution) < rollout.OrderShare(o.state)*shareResolution {
		query.Version = o.Version
	} else {
		query.ExcludeVersion = o.Version
	}
	if s.fleet.HasTarget(now, *query) || o.state == rollout.OrderWithdrawn {
		return
	}
	query.Version, query.ExcludeVersion = "", ""
}

// observe counts the outcome of an attempt for the service's rollout.
func (s *state) observeAttempt(now time.Time, reg membership.Registration, route string, latency time.Duration, failed bool) {
	baseline := s.baselines[reg.Service]
	o := s.orders[reg.Service]
	if o == nil || baseline == nil || o.state != rollout.OrderRunning {
		return
	}
	slow := false
	if reg.Version == o.Version {
		slow = baseline.Slow(now, latency, 0)
	} else if !failed {
		baseline.Observe(now, latency, 0)
	}
	s.evidence.Add(evidence.Key{Service: reg.Service, Version: reg.Version, Route: route, Zone: reg.Zone}, failed, slow, false)
}

// pooled reports whether evidence on a service is exchanged.
func (s *state) evidenceShared(service string) bool {
	o := s.orders[service]
	return o != nil && o.state == rollout.OrderRunning
}

// judge evaluates the version on trial.
func (s *state) evaluateTrial(now time.Time, o *trackedOrder) rollout.OrderTrial {
	if o.evaluator == nil {
		o.evaluator = evidence.NewEvaluator(o.Service, o.Version, s.previousVersion(o))
	}
	verdict := o.evaluator.Evaluate(now, s.evidence)
	return rollout.OrderTrial{
		Elapsed: now.Sub(o.firstSeen), Duration: o.Duration, Requests: verdict.Requests, Failures: verdict.Failures, Slow: verdict.Slow,
		Bad: verdict.Withdraw, Good: verdict.Passed, LikelyBad: verdict.LikelyBad,
	}
}

// previousVersion returns the version that most other targets of the service have.
func (s *state) previousVersion(o *trackedOrder) string {
	count := map[string]int{}
	best := ""
	for _, reg := range s.registry.Targets() {
		if reg.Service != o.Service || reg.Version == o.Version {
			continue
		}
		count[reg.Version]++
		if best == "" || count[reg.Version] > count[best] || count[reg.Version] == count[best] && reg.Version < best {
			best = reg.Version
		}
	}
	return best
}

// rollouts decides on the orders and writes their states to the store.
type rolloutController struct {
	g *Gateway
}

// pendingOrder is what the task does next for one order.
type orderAction struct {
	order          RolloutOrder
	read           bool
	write          bool
	state          rollout.OrderState
	statusRevision uint64
}

func (r *rolloutController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, rolloutInterval)
		actions := query(ctx, r.g.loop, func(s *state) []orderAction { return r.decide(s, time.Now()) })
		for _, p := range actions {
			if p.read {
				r.readStatus(ctx, p)
			}
			if p.write {
				r.writeStatus(ctx, p)
			}
		}
	}
	return nil
}

// decide judges the orders. Any gateway takes a bad version out of traffic; completing one
// is for the owner, whose write the store must accept.
func (r *rolloutController) decide(s *state, now time.Time) []orderAction {
	var actions []orderAction
	for _, o := range s.orders {
		if o.state == rollout.OrderUnknown {
			actions = append(actions, orderAction{order: o.RolloutOrder, read: true})
			continue
		}
		owner := s.ownsOrder(o.Service, r.g.options.Settings.Name)
		next := o.state
		if o.state == rollout.OrderRunning {
			trial := s.evaluateTrial(now, o)
			next = rollout.DecideOrder(&trial)
			if next == rollout.OrderWithdrawn && trial.Bad {
				r.g.loop.setOrderState(o, next, "evidence", o.withdrawReason(now, s))
			}
		}
		if owner && (next != o.state || !o.written) {
			actions = append(actions, orderAction{order: o.RolloutOrder, write: true, state: next, statusRevision: o.statusRevision})
		}
	}
	return actions
}

func (o *trackedOrder) withdrawReason(now time.Time, s *state) string {
	return o.evaluator.Evaluate(now, s.evidence).Reason
}

// ownsOrder chooses the owner of a service's orders by rendezvous hashing.
func (s *state) ownsOrder(service, self string) bool {
	own := xxhash.Sum64String("rollout\x00" + service + "\x00" + self)
	for _, name := range s.liveGateways {
		if name != self && xxhash.Sum64String("rollout\x00"+service+"\x00"+name) > own {
			return false
		}
	}
	return true
}

// read takes in the state of an order from the store. An order whose state cannot be read
// gets no traffic for its version.
func (r *rolloutController) readStatus(ctx context.Context, p orderAction) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rows, _, err := r.g.options.Store.Snapshot(callCtx, TableStatus)
	r.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), storeOutcome(err)).Inc()
	if err != nil {
		r.g.log.Warn().Str("service", p.order.Service).Err(err).Msg("state of a rollout cannot be read")
		return
	}
	r.g.loop.post(ctx, func(s *state) {
		o := s.orders[p.order.Service]
		if o == nil || o.Revision != p.order.Revision {
			return
		}
		state := rollout.OrderRunning
		for _, row := range rows {
			service, version, known, err := r.g.options.Protocol.DecodeRolloutStatus(row)
			if err != nil || service != o.Service {
				continue
			}
			o.statusRevision = row.Revision
			// A status that is older than the order is that of an earlier one.
			if version == o.Version && row.Revision > o.Revision {
				state = known
			}
		}
		if state == rollout.OrderRunning && o.state == rollout.OrderUnknown {
			r.g.loop.setOrderState(o, state, "order", "")
			return
		}
		r.g.loop.setOrderState(o, state, "store", "")
	})
}

// write reports a state; the store refuses it if another owner wrote since the last read.
func (r *rolloutController) writeStatus(ctx context.Context, p orderAction) {
	write := r.g.options.Protocol.EncodeRolloutStatus(p.order.Service, p.order.Version, p.state)
	write.ExpectedRevision = p.statusRevision
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := r.g.options.Store.Commit(callCtx, []Write{write})
	r.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), storeOutcome(err)).Inc()
	if err != nil && !errors.Is(err, ErrConflict) {
		r.g.log.Warn().Str("service", p.order.Service).Err(err).Msg("state of a rollout not written yet")
		return
	}
	r.g.loop.post(ctx, func(s *state) {
		o := s.orders[p.order.Service]
		if o == nil || o.Revision != p.order.Revision {
			return
		}
		if err == nil {
			r.g.loop.setOrderState(o, p.state, "store", "")
			o.written = true
		}
	})
	// The revision for the next write, or the state that another owner wrote.
	r.readStatus(ctx, p)
}

// exportRollouts adds the orders and the evidence on those that run to a message.
func (s *state) exportRollouts(m *wire.GatewayState) {
	if len(s.orders) == 0 {
		return
	}
	for _, o := range s.orders {
		m.Orders = append(m.Orders, &wire.OrderView{Service: o.Service, Revision: o.Revision, State: uint32(o.state)})
	}
	m.Evidence = s.evidence.Export(s.evidenceShared)
}

// mergeRollouts takes in another gateway's view of the orders.
func (d *eventLoop) mergeRollouts(s *state, m *wire.GatewayState) {
	for _, view := range m.Orders {
		o := s.orders[view.Service]
		if o == nil || o.Revision != view.Revision {
			continue
		}
		if state := rollout.OrderState(view.State); state.Final() {
			d.setOrderState(o, state, m.Name, "")
		}
	}
	s.evidence.Merge(m.Evidence, s.evidenceShared)
}
