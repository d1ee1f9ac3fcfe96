package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/runindex"
)

// The installation has the size of the users' first deployment.
const (
	zoneCount      = 3
	enginesPerZone = 6
	// arrivalRate is the average number of new requests per second. It varies sinusoidally
	// by the fraction arrivalAmplitude with the period arrivalPeriod.
	arrivalRate      = 4.7
	arrivalAmplitude = 0.15
	arrivalPeriod    = 11 * time.Second
	// loadDuration is the time during which requests arrive.
	loadDuration = 34 * time.Second
	// The size of a prompt in tokens and the number of events of a stream follow clipped normal
	// distributions; the spread is the standard deviation as a fraction of the mean.
	promptMean, promptSpread, promptMax = 5200, 0.3, 9000
	eventsMean, eventsSpread, eventsMax = 130, 0.2, 180
	// maxOutputTokens is what each request permits.
	maxOutputTokens = eventsMax * tokensPerEvent
	// registrationDelay is the time until gateways learn of a new registration.
	registrationDelay = 60 * time.Millisecond
	// discoveryDelay is the time until gateways discover a restarted engine without the
	// store.
	discoveryDelay = 500 * time.Millisecond
)

// simulation is one run of a pattern under a policy with a seed.
type simulation struct {
	clock *clock
	rng   *rand.Rand
	// loadRNG is separate from rng, so that each policy gets the same requests.
	loadRNG  *rand.Rand
	policy   Policy
	engines  []*engine
	gateways []*gateway
	clients  []*client
	// registered holds the engine registrations in the store; storeDown is set while the
	// store is unavailable.
	registered []membership.Registration
	storeDown  bool
	// storedRuns holds the run records that each gateway wrote to the store.
	storedRuns map[string][]runindex.Record
	// rateFactor multiplies the arrival rate.
	rateFactor float64
	// modifyRequest changes requests as they arrive; it may be nil.
	modifyRequest func(*client)
	// partRNG draws prompt parts, apart from loadRNG so that the other patterns keep their requests.
	partRNG  *rand.Rand
	crashing crashingParts
	// oneText is set if all requests have the same text and differ only in their prompts.
	oneText bool
	// ranked is set if the streams have ranks.
	ranked bool
	start  time.Time
}

func newSimulation(policy Policy, seed uint64) *simulation {
	sim := &simulation{clock: newClock(), rng: rand.New(rand.NewPCG(seed, 7)), loadRNG: rand.New(rand.NewPCG(seed, 8)), policy: policy, rateFactor: 1, storedRuns: map[string][]runindex.Record{}}
	sim.partRNG, sim.crashing = rand.New(rand.NewPCG(seed, 9)), newCrashingParts()
	sim.start = sim.clock.now
	for zone := range zoneCount {
		for range enginesPerZone {
			e := newEngine(sim.clock, rand.New(rand.NewPCG(seed, uint64(len(sim.engines)+100))), len(sim.engines), zoneName(zone))
			e.crashesOn = func(j *job) bool { return sim.crashing.crash(j, sim.clock.now) }
			e.crashed = func() { e.crash(sim) }
			sim.engines = append(sim.engines, e)
			sim.registered = append(sim.registered, e.registration())
		}
	}
	for zone := range zoneCount {
		sim.gateways = append(sim.gateways, &gateway{name: fmt.Sprintf("gateway-%d", zone)})
	}
	for zone := range zoneCount {
		sim.gateways[zone] = newGateway(sim, sim.gateways[zone].name, zoneName(zone))
	}
	return sim
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (sim *simulation) gatewayNames() []string {
	names := make([]string, len(sim.gateways))
	for i, g := range sim.gateways {
		names[i] = g.name
	}
	return names
}

func (sim *simulation) gateway(name string) *gateway {
	i := slices.IndexFunc(sim.gateways, func(g *gateway) bool { return g.name == name })
	return sim.gateways[i]
}

// randomGateway returns a gateway that accepts connections, nil if there is none.
func (sim *simulation) randomGateway() *gateway {
	var up []*gateway
	for _, g := range sim.gateways {
		if g.up {
			up = append(up, g)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[sim.rng.IntN(len(up))]
}

func (sim *simulation) engineAt(address string) *engine {
	i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.address == address })
	return sim.engines[i]
}

// engineByID returns the engine whose current incarnation has the id, nil if there is none.
func (sim *simulation) engineByID(id string) *engine {
	i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.id() == id })
	if i < 0 {
		return nil
	}
	return sim.engines[i]
}

func (sim *simulation) registrations() []membership.Registration { return slices.Clone(sim.registered) }

// register writes the registration of an engine's current incarnation to the store. While
// the store is down, only gateways that keep cache copies discover the engine directly.
func (sim *simulation) register(e *engine) {
	delay := registrationDelay
	if sim.storeDown {
		if !sim.policy.CopyCaches {
			sim.clock.after(exchangeInterval, func() { sim.register(e) })
			return
		}
		delay = discoveryDelay
	}
	sim.clock.after(delay, func() {
		reg := e.registration()
		sim.registered = slices.DeleteFunc(sim.registered, func(r membership.Registration) bool { return r.Address == reg.Address })
		sim.registered = append(sim.registered, reg)
		sim.refreshGateways()
	})
}

func (sim *simulation) refreshGateways() {
	slices.SortFunc(sim.registered, func(a, b membership.Registration) int { return cmp.Compare(a.ID, b.ID) })
	for _, g := range sim.gateways {
		if g.up {
			g.updateTargets()
		}
	}
}

// at schedules f at a time in seconds from the start of the simulation.
func (sim *simulation) at(second float64, f func()) {
	sim.clock.after(time.Duration(second*float64(time.Second)), f)
}

// run simulates the load and the faults of a pattern to their end.
func (sim *simulation) run(p *Pattern) {
	end := sim.start.Add(loadDuration)
	for _, g := range sim.gateways {
		sim.clock.every(exchangeInterval, end.Add(2*requestTimeout), g.sendLoads)
		sim.clock.every(saveInterval, end, g.saveRuns)
	}
	p.schedule(sim)
	sim.scheduleArrivals(end)
	sim.clock.run()
}

// scheduleArrivals schedules the next request and, from it, all further ones until end.
func (sim *simulation) scheduleArrivals(end time.Time) {
	phase := 2 * math.Pi * float64(sim.clock.now.Sub(sim.start)) / float64(arrivalPeriod)
	rate := arrivalRate * sim.rateFactor * (1 + arrivalAmplitude*math.Sin(phase))
	sim.clock.after(time.Duration(sim.loadRNG.ExpFloat64()/rate*float64(time.Second)), func() {
		if !sim.clock.now.Before(end) {
			return
		}
		c := sim.newClient(sim.loadRNG.Uint64())
		if sim.modifyRequest != nil {
			sim.modifyRequest(c)
		}
		sim.startRequest(c)
		sim.scheduleArrivals(end)
	})
}

func (sim *simulation) newClient(key uint64) *client {
	size := func(mean, spread, limit float64) int {
		return int(min(limit, max(mean/5, mean*(1+spread*sim.loadRNG.NormFloat64()))))
	}
	return &client{
		sim: sim, number: len(sim.clients), key: key, prompt: size(promptMean, promptSpread, promptMax),
		events: size(eventsMean, eventsSpread, eventsMax), parts: sim.sharedParts(), arrived: sim.clock.now, objective: firstEventObjective, deadline: sim.clock.now.Add(requestTimeout),
	}
}

func (sim *simulation) startRequest(c *client) {
	sim.clients = append(sim.clients, c)
	c.connect()
	if c.disconnectAfter > 0 {
		sim.clock.after(c.disconnectAfter, func() {
			if c.result == resultPending {
				c.end(resultCancelled)
			}
		})
	}
}

func sortedStreams(set map[*stream]struct{}) []*stream {
	list := make([]*stream, 0, len(set))
	for s := range set {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int {
		if n := cmp.Compare(a.client.number, b.client.number); n != 0 {
			return n
		}
		return cmp.Compare(a.number, b.number)
	})
	return list
}
