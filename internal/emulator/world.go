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

// The size of the installation is that of the users' first deployment.
const (
	zones          = 3
	enginesPerZone = 6
	// arrivalRate is the number of new requests a second, arrivalSwing the part by which it
	// rises and falls within arrivalPeriod.
	arrivalRate   = 4.7
	arrivalSwing  = 0.15
	arrivalPeriod = 11 * time.Second
	// loadTime is how long requests arrive.
	loadTime = 34 * time.Second
	// promptMean and promptSpread are the size of a prompt, eventsMean and eventsSpread the
	// number of events of a stream.
	promptMean, promptSpread, promptMax = 5200, 0.3, 9000
	eventsMean, eventsSpread, eventsMax = 130, 0.2, 180
	// listDelay is the time until gateways know of a new registration.
	listDelay = 60 * time.Millisecond
	// meetDelay is the time until gateways meet an engine that started again while the
	// store cannot tell of it.
	meetDelay = 500 * time.Millisecond
)

// world is one play of a pattern under a policy.
type world struct {
	clock *clock
	rng   *rand.Rand
	// load draws the requests, so that each policy gets the same ones.
	load     *rand.Rand
	policy   Policy
	engines  []*engine
	gateways []*gateway
	clients  []*client
	// list is what the store holds of the engines, storeDown whether it answers.
	list      []membership.Registration
	storeDown bool
	// storedRuns are the records of runs that the gateways wrote to the store.
	storedRuns map[string][]runindex.Record
	// rate multiplies the arrivals.
	rate float64
	// change alters requests as they arrive; it may be nil.
	change func(*client)
	start  time.Time
}

func newWorld(policy Policy, seed uint64) *world {
	w := &world{clock: newClock(), rng: rand.New(rand.NewPCG(seed, 7)), load: rand.New(rand.NewPCG(seed, 8)), policy: policy, rate: 1, storedRuns: map[string][]runindex.Record{}}
	w.start = w.clock.now
	for zone := range zones {
		for range enginesPerZone {
			e := newEngine(w.clock, rand.New(rand.NewPCG(seed, uint64(len(w.engines)+100))), len(w.engines), zoneName(zone))
			w.engines = append(w.engines, e)
			w.list = append(w.list, e.registration())
		}
	}
	for zone := range zones {
		w.gateways = append(w.gateways, &gateway{name: fmt.Sprintf("gateway-%d", zone)})
	}
	for zone := range zones {
		w.gateways[zone] = newGateway(w, w.gateways[zone].name, zoneName(zone))
	}
	return w
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (w *world) gatewayNames() []string {
	names := make([]string, len(w.gateways))
	for i, g := range w.gateways {
		names[i] = g.name
	}
	return names
}

func (w *world) gateway(name string) *gateway {
	i := slices.IndexFunc(w.gateways, func(g *gateway) bool { return g.name == name })
	return w.gateways[i]
}

// anyGateway returns a gateway that takes connections, nil for none.
func (w *world) anyGateway() *gateway {
	var up []*gateway
	for _, g := range w.gateways {
		if g.up {
			up = append(up, g)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

func (w *world) engineAt(address string) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.address == address })
	return w.engines[i]
}

// engineByID returns the engine whose current start has an id, nil for none.
func (w *world) engineByID(id string) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.id() == id })
	if i < 0 {
		return nil
	}
	return w.engines[i]
}

// listed returns what the store tells of the engines.
func (w *world) listed() []membership.Registration { return slices.Clone(w.list) }

// register puts the current start of an engine into the store.
func (w *world) register(e *engine) {
	delay := listDelay
	if w.storeDown {
		if !w.policy.Copies {
			w.clock.after(exchangeInterval, func() { w.register(e) })
			return
		}
		delay = meetDelay
	}
	w.clock.after(delay, func() {
		reg := e.registration()
		w.list = slices.DeleteFunc(w.list, func(r membership.Registration) bool { return r.Address == reg.Address })
		w.list = append(w.list, reg)
		w.refresh()
	})
}

func (w *world) refresh() {
	slices.SortFunc(w.list, func(a, b membership.Registration) int { return cmp.Compare(a.ID, b.ID) })
	for _, g := range w.gateways {
		if g.up {
			g.refresh()
		}
	}
}

// at runs f at a second of the play.
func (w *world) at(second float64, f func()) {
	w.clock.after(time.Duration(second*float64(time.Second)), f)
}

// play runs the load and the pattern's troubles to their end.
func (w *world) play(p *Pattern) {
	end := w.start.Add(loadTime)
	for _, g := range w.gateways {
		w.clock.every(exchangeInterval, end.Add(2*clientDeadline), g.exchange)
		w.clock.every(saveInterval, end, g.save)
	}
	p.play(w)
	w.arrive(end)
	w.clock.run()
}

// arrive lets requests come until end.
func (w *world) arrive(end time.Time) {
	phase := 2 * math.Pi * float64(w.clock.now.Sub(w.start)) / float64(arrivalPeriod)
	rate := arrivalRate * w.rate * (1 + arrivalSwing*math.Sin(phase))
	w.clock.after(time.Duration(w.load.ExpFloat64()/rate*float64(time.Second)), func() {
		if !w.clock.now.Before(end) {
			return
		}
		c := w.newClient(w.load.Uint64())
		if w.change != nil {
			w.change(c)
		}
		w.begin(c)
		w.arrive(end)
	})
}

func (w *world) newClient(key uint64) *client {
	size := func(mean, spread, most float64) int {
		return int(min(most, max(mean/5, mean*(1+spread*w.load.NormFloat64()))))
	}
	return &client{
		w: w, number: len(w.clients), key: key, prompt: size(promptMean, promptSpread, promptMax),
		events: size(eventsMean, eventsSpread, eventsMax), arrived: w.clock.now, deadline: w.clock.now.Add(clientDeadline),
	}
}

func (w *world) begin(c *client) {
	w.clients = append(w.clients, c)
	c.try()
	if c.leaves > 0 {
		w.clock.after(c.leaves, func() {
			if c.result == resultOpen {
				c.end(resultLeft)
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
