package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/runindex"
	"bramleygap/internal/core/suspect"
)

const (
	service = "model"
	// networkDelay is the one-way delay between a gateway and an engine, clientDelay that
	// between a client and a gateway.
	networkDelay = 500 * time.Microsecond
	clientDelay  = 3 * time.Millisecond
	// connectTimeout is the time after which a connection attempt to an unresponsive engine
	// fails.
	connectTimeout = 250 * time.Millisecond
	// A probe ends after probeResponseTime, or after probeTimeout if the engine is
	// unresponsive.
	probeResponseTime = 1 * time.Millisecond
	probeTimeout      = 220 * time.Millisecond
	// exchangeInterval is the interval at which gateways send each other their loads.
	exchangeInterval = 200 * time.Millisecond
	// placementRetryInterval is the interval between attempts to place a stream. A stream
	// that has not run waits up to placementTimeout for a target, one that has run up to
	// resumePlacementTimeout.
	placementRetryInterval = 40 * time.Millisecond
	placementTimeout       = 540 * time.Millisecond
	resumePlacementTimeout = 3 * time.Second
	// saveInterval is the interval at which gateways store their run records.
	saveInterval = time.Second
	// copyCheckInterval is the interval at which the cache copy of a run is checked.
	copyCheckInterval = 200 * time.Millisecond
	// maxAttempts bounds the number of targets that may run a request.
	maxAttempts = 5
)

type gateway struct {
	sim         *simulation
	name        string
	zone        string
	rng         *rand.Rand
	up          bool
	incarnation int
	rotation    int
	fleet       *placement.Fleet
	outages     *placement.Outages
	runs        *runindex.Index
	// ownRecords holds the run records of this gateway's streams by fingerprint.
	ownRecords map[uint64]runindex.Record
	streams    map[*stream]struct{}
	targets    []membership.Registration
	// lastEvents holds when each target last sent an event, by its id.
	lastEvents map[string]time.Time
	suspects   *suspect.Tracker
	completion *placement.Completion
	queue      *streamQueue
	startedAt  time.Time
}

func newGateway(sim *simulation, name, zone string) *gateway {
	g := &gateway{sim: sim, name: name, zone: zone, rng: rand.New(rand.NewPCG(sim.rng.Uint64(), 1))}
	g.start()
	return g
}

// start starts the gateway with only the state that is in the store.
func (g *gateway) start() {
	g.up = true
	g.fleet = placement.NewFleet(g.name, g.zone, g.rng)
	if g.sim.policy.LearnSpeeds {
		g.fleet.UseSpeeds()
	}
	g.fleet.SetGateways(g.sim.gatewayNames())
	g.outages, g.runs, g.streams = placement.NewOutages(), runindex.New(), map[*stream]struct{}{}
	g.suspects, g.startedAt = suspect.NewTracker(), g.sim.clock.now
	g.completion = &placement.Completion{}
	g.queue = newStreamQueue(g.rng)
	g.ownRecords, g.lastEvents = map[uint64]runindex.Record{}, map[string]time.Time{}
	for _, records := range g.sim.storedRuns {
		for _, r := range records {
			g.runs.Put(g.sim.clock.now, r)
		}
	}
	g.updateTargets()
}

// saveRuns writes ownRecords to the store.
func (g *gateway) saveRuns() {
	if g.up && g.sim.policy.StoreRuns && !g.sim.storeDown {
		g.sim.storedRuns[g.name] = slices.Collect(maps.Values(g.ownRecords))
	}
}

// updateTargets replaces the targets with the registrations in the store.
func (g *gateway) updateTargets() {
	g.targets = g.sim.registrations()
	g.fleet.Update(g.targets, func(string) int { return engineMemory })
}

// kill stops the gateway and breaks its connections to clients and engines.
func (g *gateway) kill() {
	for _, s := range g.stop() {
		c := s.client
		g.sim.clock.after(clientDelay, func() { c.lost(s) })
	}
}

// losePower stops the gateway. Its clients notice nothing, and the engines only that nobody reads.
func (g *gateway) losePower() { g.stop() }

// stop stops the gateway and returns the streams that it had.
func (g *gateway) stop() []*stream {
	g.up = false
	g.incarnation++
	streams := g.orderedStreams()
	for _, s := range streams {
		s.endAttempts()
		s.done = true
	}
	g.streams = map[*stream]struct{}{}
	return streams
}

// sendLoads sends the load that this gateway placed on each target to the other gateways.
func (g *gateway) sendLoads() {
	if !g.up {
		return
	}
	now := g.sim.clock.now
	g.outages.Expire(now)
	g.fleet.EvaluateSpeeds()
	loads, waiting := g.fleet.LocalLoads(now), g.queue.Loads(now)
	requests, parts := g.suspects.Export(now), g.suspects.PartChanges(0)
	for _, other := range g.sim.gateways {
		if other == g || !other.up {
			continue
		}
		speeds := g.fleet.ExportSpeeds(now)
		g.sim.clock.after(networkDelay, func() {
			if other.up {
				other.fleet.MergeSpeeds(speeds)
				other.fleet.SetPeerLoads(g.name, g.sim.clock.now, loads)
				other.queue.SetPeer(g.sim.clock.now, g.name, waiting)
				other.mergeSuspects(requests, parts)
			}
		})
	}
}

// mayCopy reports whether a run may get a cache copy.
func (g *gateway) mayCopy(now time.Time) bool {
	policy := &g.sim.policy
	return policy.CopyCaches && (!policy.LimitCopies || g.fleet.CopiesFit(now, service))
}

// chooseTarget returns the placement of the stream's next attempt, false if no target is usable.
func (g *gateway) chooseTarget(now time.Time, exclude []string, copyHolder string, s *stream) (placement.Placement, bool) {
	q := placement.FleetQuery{Service: service, Exclude: exclude, LastResort: s.machine.LastResort(), WarmTarget: s.warmTarget}
	if g.sim.policy.RefuseUnservable && !s.machine.Ran() {
		rest := g.completion.Least(maxOutputTokens, uint64(s.client.received))
		if end, ok := g.fleet.EarliestEnd(now, q, s.size, copyHolder, rest); ok && end.After(s.client.deadline) {
			s.unservable = true
			return placement.Placement{}, false
		}
	}
	if g.sim.policy.Placement == ByCost {
		return g.fleet.Place(now, q, copyHolder, s.size, g.mayCopy(now))
	}
	var chosen *membership.Registration
	lowest := 0
	for i := range g.targets {
		t := &g.targets[(i+g.rotation)%len(g.targets)]
		if t.Leaving || slices.Contains(exclude, t.ID) || g.sim.policy.Probe && !g.fleet.Usable(now, t.ID) {
			continue
		}
		load := 0
		if g.sim.policy.Placement == LeastLoaded {
			load = g.sim.engineAt(t.Address).reportedLoad()
		}
		if chosen == nil || load < lowest {
			chosen, lowest = t, load
		}
	}
	g.rotation++
	if chosen == nil {
		return placement.Placement{}, false
	}
	return placement.Placement{Target: *chosen}, true
}

// probe probes a target and passes the result to done, which may be nil.
func (g *gateway) probe(reg membership.Registration, done func(alive bool)) {
	target := g.sim.engineAt(reg.Address)
	incarnation := g.incarnation
	delay := probeResponseTime
	if target.unresponsive {
		delay = probeTimeout
	}
	g.sim.clock.after(delay, func() {
		if g.incarnation != incarnation || !g.up {
			return
		}
		alive := target.up && !target.unresponsive
		if !alive {
			g.handleTargetDown(reg)
		}
		if done != nil {
			done(alive)
		}
	})
}

// handleTargetDown lets the streams at an unreachable target seek another one, and probes other targets
// of its zone.
func (g *gateway) handleTargetDown(reg membership.Registration) {
	now := g.sim.clock.now
	if g.outages.RecentlyDown(reg.ID) {
		g.fleet.MarkDown(now, reg.ID)
		return
	}
	g.outages.Record(now, reg)
	g.fleet.MarkDown(now, reg.ID)
	busy := map[string]bool{}
	for _, s := range g.orderedStreams() {
		for _, a := range []*attempt{s.successor, s.current} {
			if a == nil || a.job == nil {
				continue
			}
			busy[a.target.ID] = true
			if a.target.ID == reg.ID {
				a.targetSilent()
			}
		}
	}
	usable := func(id string) bool { return g.fleet.Usable(now, id) }
	for _, other := range g.outages.TargetsToProbe(reg, g.targets, usable, func(id string) bool { return busy[id] }) {
		g.probe(other, nil)
	}
}

// orderedStreams returns the streams in a deterministic order.
func (g *gateway) orderedStreams() []*stream {
	return sortedStreams(g.streams)
}
