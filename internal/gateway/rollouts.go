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
	shareSteps = 10000
)

// order is one operator's order as this gateway sees it. The director owns it.
type order struct {
	RolloutOrder
	state rollout.OrderState
	// written is set once the store has the state.
	written   bool
	seen      time.Time
	evaluator *evidence.Evaluator
	// statusRevision is that of the status row as last read.
	statusRevision uint64
}

// takeOrders takes in the operators' orders; an order with a new revision starts anew.
func (d *director) takeOrders(s *state, now time.Time, orders []RolloutOrder) {
	for _, o := range orders {
		if known := s.orders[o.Service]; known != nil && known.Revision >= o.Revision {
			continue
		}
		d.log.Info().Str("service", o.Service).Str("version", o.Version).Dur("within", o.Duration).Uint64("revision", o.Revision).
			Msg("rollout ordered")
		s.orders[o.Service] = &order{RolloutOrder: o, seen: now}
		if s.baselines[o.Service] == nil {
			s.baselines[o.Service] = evidence.NewBaseline(now)
		}
	}
}

// setOrder moves an order to a state that it may take.
func (d *director) setOrder(o *order, state rollout.OrderState, source, reason string) {
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
func (s *state) restrictVersion(now time.Time, q *placement.FleetQuery, draw uint64) {
	o := s.orders[q.Service]
	if o == nil {
		return
	}
	if float64(draw%shareSteps) < rollout.OrderShare(o.state)*shareSteps {
		q.Version = o.Version
	} else {
		q.ExcludeVersion = o.Version
	}
	if s.fleet.HasTarget(now, *q) || o.state == rollout.OrderWithdrawn {
		return
	}
	q.Version, q.ExcludeVersion = "", ""
}

// observe counts the outcome of an attempt for the service's rollout.
func (s *state) observe(now time.Time, reg membership.Registration, route string, latency time.Duration, failed bool) {
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
func (s *state) pooled(service string) bool {
	o := s.orders[service]
	return o != nil && o.state == rollout.OrderRunning
}

// judge evaluates the version on trial.
func (s *state) judge(now time.Time, o *order) rollout.OrderTrial {
	if o.evaluator == nil {
		o.evaluator = evidence.NewEvaluator(o.Service, o.Version, s.previousVersion(o))
	}
	v := o.evaluator.Evaluate(now, s.evidence)
	return rollout.OrderTrial{
		Elapsed: now.Sub(o.seen), Duration: o.Duration, Requests: v.Requests, Failures: v.Failures, Slow: v.Slow,
		Bad: v.Withdraw, Good: v.Passed, LikelyBad: v.LikelyBad,
	}
}

// previousVersion returns the version that most other targets of the service have.
func (s *state) previousVersion(o *order) string {
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
type rollouts struct {
	g *Gateway
}

// pendingOrder is what the task does next for one order.
type pendingOrder struct {
	order          RolloutOrder
	read           bool
	write          bool
	state          rollout.OrderState
	statusRevision uint64
}

func (r *rollouts) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, rolloutInterval)
		pending := ask(ctx, r.g.director, func(s *state) []pendingOrder { return r.decide(s, time.Now()) })
		for _, p := range pending {
			if p.read {
				r.read(ctx, p)
			}
			if p.write {
				r.write(ctx, p)
			}
		}
	}
	return nil
}

// decide judges the orders. Any gateway takes a bad version out of traffic; completing one
// is for the owner, whose write the store must accept.
func (r *rollouts) decide(s *state, now time.Time) []pendingOrder {
	var pending []pendingOrder
	for _, o := range s.orders {
		if o.state == rollout.OrderUnknown {
			pending = append(pending, pendingOrder{order: o.RolloutOrder, read: true})
			continue
		}
		owner := s.ownsOrder(o.Service, r.g.options.Settings.Name)
		next := o.state
		if o.state == rollout.OrderRunning {
			trial := s.judge(now, o)
			next = rollout.DecideOrder(&trial)
			if next == rollout.OrderWithdrawn && trial.Bad {
				r.g.director.setOrder(o, next, "evidence", o.evaluatorReason(now, s))
			}
		}
		if owner && (next != o.state || !o.written) {
			pending = append(pending, pendingOrder{order: o.RolloutOrder, write: true, state: next, statusRevision: o.statusRevision})
		}
	}
	return pending
}

func (o *order) evaluatorReason(now time.Time, s *state) string {
	return o.evaluator.Evaluate(now, s.evidence).Reason
}

// ownsOrder chooses the owner of a service's orders by rendezvous hashing.
func (s *state) ownsOrder(service, self string) bool {
	own := xxhash.Sum64String("rollout\x00" + service + "\x00" + self)
	for _, name := range s.gateways {
		if name != self && xxhash.Sum64String("rollout\x00"+service+"\x00"+name) > own {
			return false
		}
	}
	return true
}

// read takes in the state of an order from the store. An order whose state cannot be read
// gets no traffic for its version.
func (r *rollouts) read(ctx context.Context, p pendingOrder) {
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	rows, _, err := r.g.options.Store.Snapshot(callCtx, TableStatus)
	r.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), outcome(err)).Inc()
	if err != nil {
		r.g.log.Warn().Str("service", p.order.Service).Err(err).Msg("state of a rollout cannot be read")
		return
	}
	r.g.director.tell(ctx, func(s *state) {
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
			r.g.director.setOrder(o, state, "order", "")
			return
		}
		r.g.director.setOrder(o, state, "store", "")
	})
}

// write reports a state; the store refuses it if another owner wrote since the last read.
func (r *rollouts) write(ctx context.Context, p pendingOrder) {
	write := r.g.options.Protocol.EncodeRolloutStatus(p.order.Service, p.order.Version, p.state)
	write.ExpectedRevision = p.statusRevision
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	err := r.g.options.Store.Commit(callCtx, []Write{write})
	r.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), outcome(err)).Inc()
	if err != nil && !errors.Is(err, ErrConflict) {
		r.g.log.Warn().Str("service", p.order.Service).Err(err).Msg("state of a rollout not written yet")
		return
	}
	r.g.director.tell(ctx, func(s *state) {
		o := s.orders[p.order.Service]
		if o == nil || o.Revision != p.order.Revision {
			return
		}
		if err == nil {
			r.g.director.setOrder(o, p.state, "store", "")
			o.written = true
		}
	})
	// The revision for the next write, or the state that another owner wrote.
	r.read(ctx, p)
}

// exportRollouts adds the orders and the evidence on those that run to a message.
func (s *state) exportRollouts(m *wire.GatewayState) {
	if len(s.orders) == 0 {
		return
	}
	for _, o := range s.orders {
		m.Orders = append(m.Orders, &wire.OrderView{Service: o.Service, Revision: o.Revision, State: uint32(o.state)})
	}
	m.Evidence = s.evidence.Export(s.pooled)
}

// mergeRollouts takes in another gateway's view of the orders.
func (d *director) mergeRollouts(s *state, m *wire.GatewayState) {
	for _, view := range m.Orders {
		o := s.orders[view.Service]
		if o == nil || o.Revision != view.Revision {
			continue
		}
		if state := rollout.OrderState(view.State); state.Final() {
			d.setOrder(o, state, m.Name, "")
		}
	}
	s.evidence.Merge(m.Evidence, s.pooled)
}
