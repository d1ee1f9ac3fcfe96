package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/wire"
)

const (
	// rolloutInterval is the pause between two evaluations of the rollout orders.
	rolloutInterval = 250 * time.Millisecond
	// shareResolution is the number of steps in which a version's traffic share is applied.
	shareResolution = 10000
)

// trackedOrder is a rollout order with its state on this gateway. It is owned by the event loop.
type trackedOrder struct {
	RolloutOrder
	state rollout.OrderState
	// written is set once the state is in the store.
	written   bool
	firstSeen time.Time
	evaluator *evidence.Evaluator
	// share is the share of requests that the version gets while the order runs, 0 for rollout.TrialShare.
	share float64
	// drainingSince is when draining of the previous version began.
	drainingSince time.Time
	// statusVersion is the version of the status row when it was last read.
	statusVersion replica.Version
}

// maxPastOrders bounds the orders of a service that are remembered after another one has taken their place. The store
// comes back from copies that are some seconds old.
const maxPastOrders = 4

// addOrders adds rollout orders and replaces existing ones by those that were written later.
func (l *eventLoop) addOrders(st *state, now time.Time, orders []RolloutOrder) {
	for _, o := range orders {
		existing := st.orders[o.Service]
		if existing != nil {
			switch {
			case !existing.Written.Before(o.Written):
				continue
			case existing.Written.Era != o.Written.Era && existing.sameContent(&o):
				// The store's copy has the order, or the operator has written it again after its loss.
				existing.Written = o.Written
				continue
			case existing.Written.Era != o.Written.Era && st.isPastOrder(&o):
				l.log.Warn().Str("service", o.Service).Str("version", o.Version).Str("instead_of", existing.Version).
					Msg("store has come back with an earlier rollout order; ignoring it")
				continue
			}
			past := append(st.pastOrders[o.Service], existing.RolloutOrder)
			st.pastOrders[o.Service] = past[max(0, len(past)-maxPastOrders):]
		}
		l.log.Info().Str("service", o.Service).Str("version", o.Version).Dur("within", o.Duration).Uint64("era", o.Written.Era).Uint64("revision", o.Written.Revision).
			Msg("rollout order received")
		st.orders[o.Service] = &trackedOrder{RolloutOrder: o, firstSeen: now}
		if st.baselines[o.Service] == nil {
			st.baselines[o.Service] = evidence.NewBaseline(now)
		}
	}
}

// isPastOrder reports whether another order has taken the place of an order that the store lists: its row has the
// revision that it had then.
func (st *state) isPastOrder(o *RolloutOrder) bool {
	return slices.ContainsFunc(st.pastOrders[o.Service], func(past RolloutOrder) bool {
		return past.Written.Revision == o.Written.Revision && past.sameContent(o)
	})
}

// storeStatusesAgain lets the owners of the orders write their states again, which the store may have lost.
func (st *state) storeStatusesAgain() {
	for _, o := range st.orders {
		o.written = false
	}
}

// setOrderState changes the state of an order if the transition is allowed.
func (l *eventLoop) setOrderState(o *trackedOrder, state rollout.OrderState, source, reason string) {
	merged := rollout.MergeOrder(o.state, state)
	if merged == o.state {
		return
	}
	l.log.Info().Str("service", o.Service).Str("version", o.Version).Uint64("revision", o.Written.Revision).Int("from", int(o.state)).
		Int("to", int(merged)).Str("source", source).Str("reason", reason).Msg("rollout changed")
	o.state = merged
	if merged == rollout.OrderDraining {
		o.drainingSince = time.Now()
		return
	}
	o.written = source == "store"
}

// trafficShare returns the share of requests that the version gets.
func (o *trackedOrder) trafficShare() float64 {
	return rollout.OrderShare(o.state, max(rollout.TrialShare, o.share))
}

// restrictVersion restricts a query to the versions to which a request may be sent. draw is a
// random number that is the same for all attempts of a request. If there is no target of these
// versions, it allows all versions except a withdrawn one.
func (st *state) restrictVersion(now time.Time, fleetQuery *placement.FleetQuery, draw uint64) {
	o := st.orders[fleetQuery.Service]
	if o == nil {
		return
	}
	if float64(draw%shareResolution) < o.trafficShare()*shareResolution {
		fleetQuery.Version = o.Version
	} else {
		fleetQuery.ExcludeVersion = o.Version
	}
	if st.fleet.HasTarget(now, *fleetQuery) || o.state == rollout.OrderWithdrawn {
		return
	}
	fleetQuery.Version, fleetQuery.ExcludeVersion = "", ""
}

// observeAttempt records the outcome of an attempt as evidence for the service's rollout.
func (st *state) observeAttempt(now time.Time, reg membership.Registration, route string, latency time.Duration, failed bool) {
	baseline := st.baselines[reg.Service]
	o := st.orders[reg.Service]
	if o == nil || baseline == nil || !o.state.Judged() {
		return
	}
	slow := false
	if !failed {
		if reg.Version != o.Version {
			baseline.Observe(now, latency, 0)
		}
		// The previous version's own rate of slow requests is what the new one is compared with.
		slow = baseline.Slow(now, latency, 0)
	}
	st.evidence.Add(evidence.Key{Service: reg.Service, Version: reg.Version, Route: route, Zone: reg.Zone}, failed, slow, false)
}

// evidenceShared reports whether evidence on a service is exchanged with other gateways.
func (st *state) evidenceShared(service string) bool {
	o := st.orders[service]
	return o != nil && o.state.Judged()
}

// evaluateTrial evaluates the evidence on the version that an order rolls out.
func (st *state) evaluateTrial(now time.Time, o *trackedOrder) rollout.OrderTrial {
	if o.evaluator == nil {
		o.evaluator = evidence.NewEvaluator(o.Service, o.Version, st.previousVersion(o))
	}
	verdict := o.evaluator.Evaluate(now, st.evidence)
	trial := rollout.OrderTrial{
		Elapsed: now.Sub(o.firstSeen), Duration: o.Duration, Requests: verdict.Requests, Failures: verdict.Failures, Slow: verdict.Slow,
		Bad: verdict.Withdraw, Good: verdict.Passed, LikelyBad: verdict.LikelyBad, DrainPrevious: st.settings.Rollouts.DrainPrevious,
	}
	if o.state == rollout.OrderDraining {
		trial.Draining = max(1, now.Sub(o.drainingSince))
		trial.PreviousStreams = st.fleet.StreamsBesides(now, o.Service, o.Version)
		if !placement.SharesAll(st.gatewayCount) || st.fleet.Reports(now) < st.gatewayCount-1 {
			// The streams of some gateways are not known: they are too far away, were not heard for 2 s or are lost.
			trial.PreviousStreams = max(1, trial.PreviousStreams)
		}
	}
	return trial
}

// previousVersion returns the most common other version of the order's service, or "" if there
// is none.
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

// rolloutController evaluates the rollout orders and writes their states to the store.
type rolloutController struct {
	g *Gateway
}

// orderAction is a store access that is due for an order.
type orderAction struct {
	order         RolloutOrder
	read          bool
	write         bool
	state         rollout.OrderState
	statusVersion replica.Version
}

func (c *rolloutController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, rolloutInterval)
		actions := query(ctx, c.g.loop, func(st *state) []orderAction { return c.decide(st, time.Now()) })
		for _, action := range actions {
			if action.read {
				c.readStatus(ctx, action)
			}
			if action.write {
				c.writeStatus(ctx, action)
			}
		}
	}
	return nil
}

// decide evaluates the orders and returns the due store accesses. Every gateway stops sending
// traffic to a bad version on its own. Only the owner of an order completes it, and only once
// the store has accepted the write.
func (c *rolloutController) decide(st *state, now time.Time) []orderAction {
	var actions []orderAction
	for _, o := range st.orders {
		if o.state == rollout.OrderUnknown {
			actions = append(actions, orderAction{order: o.RolloutOrder, read: true})
			continue
		}
		owner := st.ownsOrder(o.Service, c.g.options.Settings.Name)
		next := o.state
		if o.state.Judged() {
			trial := st.evaluateTrial(now, o)
			next = rollout.DecideOrder(&trial)
			o.share = rollout.RunningShare(&trial)
			switch {
			case next == rollout.OrderWithdrawn && trial.Bad:
				c.g.loop.setOrderState(o, next, "evidence", o.withdrawReason(now, st))
			case next == rollout.OrderDraining && owner:
				c.g.loop.setOrderState(o, next, "evidence", "the previous version ends its streams")
			}
		}
		if owner && (next != o.state || !o.written) {
			actions = append(actions, orderAction{order: o.RolloutOrder, write: true, state: next, statusVersion: o.statusVersion})
		}
	}
	return actions
}

func (o *trackedOrder) withdrawReason(now time.Time, st *state) string {
	return o.evaluator.Evaluate(now, st.evidence).Reason
}

// ownsOrder reports whether a gateway owns the orders of a service. The owner is chosen by
// rendezvous hashing.
func (st *state) ownsOrder(service, self string) bool {
	hash := xxhash.Sum64String("rollout\x00" + service + "\x00" + self)
	for _, name := range st.liveGateways {
		if name != self && xxhash.Sum64String("rollout\x00"+service+"\x00"+name) > hash {
			return false
		}
	}
	return true
}

// readStatus reads the state of an order from the store. As long as the state cannot be read, the
// version of a new order gets no traffic.
func (c *rolloutController) readStatus(ctx context.Context, action orderAction) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	snapshot, err := c.g.options.Store.Snapshot(callCtx, TableStatus)
	c.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), storeOutcome(err)).Inc()
	if err != nil {
		c.g.log.Warn().Str("service", action.order.Service).Err(err).Msg("rollout status not read from the store; retrying")
		return
	}
	c.g.loop.post(ctx, func(st *state) {
		o := st.orders[action.order.Service]
		if o == nil || o.Written != action.order.Written {
			return
		}
		state := rollout.OrderRunning
		o.statusVersion = replica.Version{Era: snapshot.Version.Era}
		for _, row := range snapshot.Rows {
			service, version, stored, err := c.g.options.Protocol.DecodeRolloutStatus(row)
			if err != nil || service != o.Service {
				continue
			}
			o.statusVersion.Revision = row.Revision
			// A status that is older than the order belongs to an earlier order.
			if version == o.Version && row.Revision > o.Written.Revision {
				state = stored
			}
		}
		if snapshot.Version.Era != o.Written.Era {
			// The store has come back from a copy that need not have the order.
			return
		}
		if state == rollout.OrderRunning && o.state == rollout.OrderUnknown {
			c.g.loop.setOrderState(o, state, "order", "")
			return
		}
		c.g.loop.setOrderState(o, state, "store", "")
	})
}

// writeStatus writes the state of an order to the store. The write fails with ErrConflict if
// another gateway has written the status since it was last read.
func (c *rolloutController) writeStatus(ctx context.Context, action orderAction) {
	write := c.g.options.Protocol.EncodeRolloutStatus(action.order.Service, action.order.Version, action.state.Stored())
	write.Expected = action.statusVersion
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := c.g.options.Store.Commit(callCtx, []Write{write})
	c.g.metrics.storeCalls.WithLabelValues(TableStatus.String(), storeOutcome(err)).Inc()
	if err != nil && !errors.Is(err, ErrConflict) {
		c.g.log.Warn().Str("service", action.order.Service).Err(err).Msg("rollout status not written to the store; retrying")
		return
	}
	c.g.loop.post(ctx, func(st *state) {
		o := st.orders[action.order.Service]
		if o == nil || o.Written != action.order.Written {
			return
		}
		if err == nil {
			c.g.loop.setOrderState(o, action.state, "store", "")
			// Another gateway may have told a later state during the write.
			o.written = o.state.Stored() == action.state.Stored()
		}
	})
	// Read the revision for the next write, or the state that another gateway wrote.
	c.readStatus(ctx, action)
}

// exportRollouts adds the states of all orders, and the evidence on running ones, to a message.
func (st *state) exportRollouts(msg *wire.GatewayState) {
	if len(st.orders) == 0 {
		return
	}
	for _, o := range st.orders {
		msg.Orders = append(msg.Orders, &wire.OrderView{Service: o.Service, Era: o.Written.Era, Revision: o.Written.Revision, State: uint32(o.state)})
	}
	msg.Evidence = st.evidence.Export(st.evidenceShared)
}

// mergeRollouts merges the final states and the evidence that another gateway sent.
func (l *eventLoop) mergeRollouts(st *state, remote *wire.GatewayState) {
	for _, view := range remote.Orders {
		o := st.orders[view.Service]
		if o == nil || o.Written != (replica.Version{Era: view.Era, Revision: view.Revision}) {
			continue
		}
		if state := rollout.OrderState(view.State); state.Final() || state == rollout.OrderDraining {
			l.setOrderState(o, state, remote.Name, "")
		}
	}
	st.evidence.Merge(remote.Evidence, st.evidenceShared)
}
