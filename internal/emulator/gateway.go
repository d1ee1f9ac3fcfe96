package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/runindex"
)

const (
	service = "model"
	// networkDelay is the time between a gateway and an engine, clientDelay that between a
	// client and a gateway.
	networkDelay = 500 * time.Microsecond
	clientDelay  = 3 * time.Millisecond
	// connectTimeout is how long a gateway waits for a connection to a silent engine.
	connectTimeout = 250 * time.Millisecond
	// probeAnswer and probeSilence are the time until a live and a silent engine are known.
	probeAnswer  = 1 * time.Millisecond
	probeSilence = 220 * time.Millisecond
	// exchangeInterval is the pause between two rounds in which gateways tell their loads.
	exchangeInterval = 200 * time.Millisecond
	// placeRetry is the pause between two tries to place a stream, placePatience how long a
	// stream that has not run waits for a target, resumePatience one that has.
	placeRetry     = 40 * time.Millisecond
	placePatience  = 540 * time.Millisecond
	resumePatience = 3 * time.Second
	// saveInterval is the pause between two writes of the records of runs.
	saveInterval = time.Second
	// copyCheck is the pause between two looks at the copy of a run.
	copyCheck = 200 * time.Millisecond
	// maxAttempts is the number of targets that may run a request.
	maxAttempts = 5
)

// gateway is one gateway of the installation.
type gateway struct {
	w       *world
	name    string
	zone    string
	rng     *rand.Rand
	up      bool
	starts  int
	turn    int
	fleet   *placement.Fleet
	outages *placement.Outages
	runs    *runindex.Index
	// own holds the records of the streams that run here.
	own     map[uint64]runindex.Record
	streams map[*stream]struct{}
	targets []membership.Registration
}

func newGateway(w *world, name, zone string) *gateway {
	g := &gateway{w: w, name: name, zone: zone, rng: rand.New(rand.NewPCG(w.rng.Uint64(), 1))}
	g.start()
	return g
}

// start begins with nothing known but what the store lists.
func (g *gateway) start() {
	g.up = true
	g.fleet = placement.NewFleet(g.name, g.zone, g.rng)
	g.fleet.SetGateways(g.w.gatewayNames())
	g.outages, g.runs, g.streams = placement.NewOutages(), runindex.New(), map[*stream]struct{}{}
	g.own = map[uint64]runindex.Record{}
	for _, records := range g.w.storedRuns {
		for _, r := range records {
			g.runs.Put(g.w.clock.now, r)
		}
	}
	g.refresh()
}

// save stores the records of the streams that run here.
func (g *gateway) save() {
	if g.up && g.w.policy.StoresRuns && !g.w.storeDown {
		g.w.storedRuns[g.name] = slices.Collect(maps.Values(g.own))
	}
}

// refresh takes in what the store lists.
func (g *gateway) refresh() {
	g.targets = g.w.listed()
	g.fleet.Update(g.targets, func(string) int { return engineMemory })
}

// kill ends the gateway; its connections to clients and engines break.
func (g *gateway) kill() {
	g.up = false
	g.starts++
	for _, s := range g.ordered() {
		s.closeRun()
		s.done = true
		c := s.client
		g.w.clock.after(clientDelay, func() { c.lost(s) })
	}
	g.streams = map[*stream]struct{}{}
}

// exchange tells the other gateways the own load.
func (g *gateway) exchange() {
	if !g.up {
		return
	}
	now := g.w.clock.now
	g.outages.Expire(now)
	loads := g.fleet.LocalLoads(now)
	for _, other := range g.w.gateways {
		if other == g || !other.up {
			continue
		}
		g.w.clock.after(networkDelay, func() {
			if other.up {
				other.fleet.SetPeerLoads(g.name, g.w.clock.now, loads)
			}
		})
	}
}

// choose returns where a stream runs next.
func (g *gateway) choose(now time.Time, exclude []string, holder string, s *stream) (placement.Placement, bool) {
	q := placement.FleetQuery{Service: service, Exclude: exclude, WarmTarget: s.warm}
	if g.w.policy.Placement == ByCost {
		return g.fleet.Place(now, q, holder, s.prompt, g.w.policy.Copies)
	}
	var chosen *membership.Registration
	best := 0
	for i := range g.targets {
		t := &g.targets[(i+g.turn)%len(g.targets)]
		if t.Leaving || slices.Contains(exclude, t.ID) || g.w.policy.Probes && !g.fleet.Usable(now, t.ID) {
			continue
		}
		load := 0
		if g.w.policy.Placement == LeastReported {
			load = g.w.engineAt(t.Address).reported()
		}
		if chosen == nil || load < best {
			chosen, best = t, load
		}
	}
	g.turn++
	if chosen == nil {
		return placement.Placement{}, false
	}
	return placement.Placement{Target: *chosen}, true
}

// ask probes a target; then may be nil.
func (g *gateway) ask(reg membership.Registration, then func(alive bool)) {
	target := g.w.engineAt(reg.Address)
	start := g.starts
	delay := probeAnswer
	if target.silent {
		delay = probeSilence
	}
	g.w.clock.after(delay, func() {
		if g.starts != start || !g.up {
			return
		}
		alive := target.up && !target.silent
		if !alive {
			g.targetDown(reg)
		}
		if then != nil {
			then(alive)
		}
	})
}

// targetDown ends the streams at a target and probes its zone.
func (g *gateway) targetDown(reg membership.Registration) {
	now := g.w.clock.now
	if g.outages.RecentlyDown(reg.ID) {
		g.fleet.MarkDown(now, reg.ID)
		return
	}
	g.outages.Record(now, reg)
	g.fleet.MarkDown(now, reg.ID)
	busy := map[string]bool{}
	for _, s := range g.ordered() {
		if s.job == nil {
			continue
		}
		busy[s.target.ID] = true
		if s.target.ID == reg.ID {
			s.apply(s.machine.AttemptFailed(now, relay.TargetDown))
		}
	}
	usable := func(id string) bool { return g.fleet.Usable(now, id) }
	for _, other := range g.outages.TargetsToProbe(reg, g.targets, usable, func(id string) bool { return busy[id] }) {
		g.ask(other, nil)
	}
}

// ordered returns the streams in a fixed order.
func (g *gateway) ordered() []*stream {
	return sortedStreams(g.streams)
}
