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
func (l *eventLoop) addOrders(st *state, now time.Time, orders []RolloutOrder) {
	for _, o := range orders {
		if known := st.orders[o.Service]; known != nil && known.Revision >= o.Revision {
			continue
		}
		l.log.Info().Str("service", o.Service).Str("version", o.Version).Dur("within", o.Duration).Uint64("revision", o.Revision).
			Msg("rollout ordered")
		st.orders[o.Service] = &trackedOrder{RolloutOrder: o, firstSeen: now}
		if st.baselines[o.Service] == nil {
			st.baselines[o.Service] = evidence.NewBaseline(now)
		}
	}
}

// setOrder moves an order to a state that it may take.
func (l *eventLoop) setOrderState(o *trackedOrder, state rollout.OrderState, source, reason string) {
	merged := rollout.MergeOrder(o.state, state)
	if merged == o.state {
		return
	}
	l.log.Info().Str("service", o.Service).Str("version", o.Version).Uint64("revision", o.Revision).Int("from", int(o.state)).
		Int("to", int(merged)).Str("source", source).Str("reason", reason).Msg("rollout changed")
	o.state, o.written = merged, source == "store"
}

// restrictVersion limits a query to the versions that a request may go to. The draw is
// the same for all attempts of a request. If no target of those versions is left, any
// version that an order has not withdrawn serves.
func (st *state) restrictVersion(now time.Time, query *placement.FleetQuery, draw uint64) {
	o := st.orders[query.Service]
	if o == nil {
		return
	}
	if float64(draw%shareResolution) < rollout.OrderShare(o.state)*shareResolution {
		query.Version = o.Version
	} else {
		query.ExcludeVersion = o.Version
	}
	if st.fleet.HasTarget(now, *query) || o.state == rollout.OrderWithdrawn {
		return
	}
	query.Version, query.ExcludeVersion = "", ""
}

// observe counts the outcome of an attempt for the service's rollout.
func (st *state) observeAttempt(now time.Time, reg membership.Registration, route string, latency time.Duration, failed bool) {
	baseline := st.baselines[reg.Service]
	o := st.orders[reg.Service]
	if o == nil || baseline == nil || o.state != rollout.OrderRunning {
		return
	}
	slow := false
	if reg.Version == o.Version {
		slow = baseline.Slow(now, latency, 0)
	} else if !failed {
		baseline.Observe(now, latency, 0)
	}
	st.evidence.Add(evidence.Key{Service: reg.Service, Version: reg.Version, Route: route, Zone: reg.Zone}, failed, slow, false)
}

// pooled reports whether evidence on a service is exchanged.
func (st *state) evidenceShared(service string) bool {
	o := st.orders[service]
	return o != nil && o.state == rollout.OrderRunning
}

// judge evaluates the version on trial.
func (st *state) evaluateTrial(now time.Time, o *trackedOrder) rollout.OrderTrial {
	if o.evaluator == nil {
		o.evaluator = evidence.NewEvaluator(o.Service, o.Version, st.previousVersion(o))
	}
	verdict := o.evaluator.Evaluate(now, st.evidence)
	return rollout.OrderTrial{
		Elapsed: now.Sub(o.firstSeen), Duration: o.Duration, Requests: verdict.Requests, Failures: verdict.Failures, Slow: verdict.Slow,
		Bad: verdict.Withdraw, Good: verdict.Passed, LikelyBad: verdict.LikelyBad,
	}
}

// previousVersion returns the version that most other targets of the service have.
func (st *state) previousVersion(o *trackedOrder) string {
	count := map[string]int{}
	best := ""
	for _, reg := range st.registry.Targets() {
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

func (c *rolloutController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, rolloutInterval)
		actions := query(ctx, c.g.loop, func(st *state) []orderAction { return c.decide(st, time.Now()) })
		for _, p := range actions {
			if p.read {
				c.readStatus(ctx, p)
			}
			if p.write {
				c.writeStatus(ctx, p)
			}
		}
	}
	return nil
}

// decide judges the orders. Any gateway takes a bad version out of traffic; completing one
// is for the owner, whose write the store must accept.
func (c *rolloutController) decide(st *state, now time.Time) []orderAction {
	var actions []orderAction
	for _, o := range st.orders {
		if o.state == rollout.OrderUnknown {
			actions = append(actions, orderAction{order: o.RolloutOrder, read: true})
			continue
		}
		owner := st.ownsOrder(o.Service, c.g.options.Settings.Name)
		next := o.state
		if o.state == rollout.OrderRunning {
			trial := st.evaluateTrial(now, o)
			next = rollout.DecideOrder(&trial)
			if next == rollout.OrderWithdrawn && trial.Bad {
				c.g.loop.setOrderState(o, next, "evidence", o.withdrawReason(now, st))
			}
		}
		if owner && (next != o.state || !o.written) {
			actions = append(actions, orderAction{order: o.RolloutOrder, write: true, state: next, statusRevision: o.statusRevision})
		}
	}
	return actions
}

func (o *trackedOrder) withdrawReason(now time.Time, st *state) string {
	return o.evaluator.Evaluate(now, st.evidence).Reason
}

// ownsOrder chooses the owner of a service's orders by rendezvous hashing.
func (st *state) ownsOrder(service, self string) bool {
	own := xxhash.Sum64String("rollout\x00" + service + "\x00" + self)
	for _, name := range st.liveGateways {
		if name != self && xxhash.Sum64String("rollout\x00"+service+"\x00"+name) > own {
			return false
		}
	}
	return true
}

// read takes in the state of an order from the store. An order whose state cannot be read
// gets no traffic for its version.
func (c *rolloutController) readStatus(ctx context.Context, p orderAction) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rows, _, err := c.g.options.Store.Snapshot(callCtx, TableStatus)
	c.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), storeOutcome(err)).Inc()
	if err != nil {
		c.g.log.Warn().Str("service", p.order.Service).Err(err).Msg("state of a rollout cannot be read")
		return
	}
	c.g.loop.post(ctx, func(st *state) {
		o := st.orders[p.order.Service]
		if o == nil || o.Revision != p.order.Revision {
			return
		}
		state := rollout.OrderRunning
		for _, row := range rows {
			service, version, known, err := c.g.options.Protocol.DecodeRolloutStatus(row)
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
			c.g.loop.setOrderState(o, state, "order", "")
			return
		}
		c.g.loop.setOrderState(o, state, "store", "")
	})
}

// write reports a state; the store refuses it if another owner wrote since the last read.
func (c *rolloutController) writeStatus(ctx context.Context, p orderAction) {
	write := c.g.options.Protocol.EncodeRolloutStatus(p.order.Service, p.order.Version, p.state)
	write.ExpectedRevision = p.statusRevision
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := c.g.options.Store.Commit(callCtx, []Write{write})
	c.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), storeOutcome(err)).Inc()
	if err != nil && !errors.Is(err, ErrConflict) {
		c.g.log.Warn().Str("service", p.order.Service).Err(err).Msg("state of a rollout not written yet")
		return
	}
	c.g.loop.post(ctx, func(st *state) {
		o := st.orders[p.order.Service]
		if o == nil || o.Revision != p.order.Revision {
			return
		}
		if err == nil {
			c.g.loop.setOrderState(o, p.state, "store", "")
			o.written = true
		}
	})
	// The revision for the next write, or the state that another owner wrote.
	c.readStatus(ctx, p)
}

// exportRollouts adds the orders and the evidence on those that run to a message.
func (st *state) exportRollouts(m *wire.GatewayState) {
	if len(st.orders) == 0 {
		return
	}
	for _, o := range st.orders {
		m.Orders = append(m.Orders, &wire.OrderView{Service: o.Service, Revision: o.Revision, State: uint32(o.state)})
	}
	m.Evidence = st.evidence.Export(st.evidenceShared)
}

// mergeRollouts takes in another gateway's view of the orders.
func (l *eventLoop) mergeRollouts(st *state, m *wire.GatewayState) {
	for _, view := range m.Orders {
		o := st.orders[view.Service]
		if o == nil || o.Revision != view.Revision {
			continue
		}
		if state := rollout.OrderState(view.State); state.Final() {
			l.setOrderState(o, state, m.Name, "")
		}
	}
	st.evidence.Merge(m.Evidence, st.evidenceShared)
}
