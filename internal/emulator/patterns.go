package emulator

import "time"

// Pattern is a load with the faults that occur during it.
type Pattern struct {
	Name string
	// Description is shown in the list of patterns and above the results.
	Description string
	schedule    func(*simulation)
}

// outageDuration is the time until a stopped engine restarts, as in the users' workloads.
const outageDuration = 1200 * time.Millisecond

// Patterns returns the load patterns that the product is designed for, the heaviest first.
func Patterns() []Pattern {
	return []Pattern{
		{"zone-lost", "the engines of one zone crash, three times", func(sim *simulation) {
			for i, second := range []float64{5, 14, 23} {
				sim.at(second, func() { sim.stopZone(i, false) })
			}
		}},
		{"zone-silent", "the engines of one zone stop responding, three times", func(sim *simulation) {
			for i, second := range []float64{5, 14, 23} {
				sim.at(second, func() { sim.stopZone(i, true) })
			}
		}},
		{"burst", "1.7 times the request rate for 3 s, twice, the second time with a crash of one zone", func(sim *simulation) {
			for _, second := range []float64{6, 18} {
				sim.at(second, func() { sim.rateFactor = 1.7 })
				sim.at(second+3, func() { sim.rateFactor = 1 })
			}
			sim.at(19, func() { sim.stopZone(1, false) })
		}},
		{"hot-key", "28% of the requests use the same prompt for 12 s", func(sim *simulation) {
			sim.at(6, func() {
				sim.modifyRequest = func(c *client) {
					if sim.loadRNG.Float64() < 0.28 {
						c.key, c.prompt = 1, promptMean
					}
				}
			})
			sim.at(18, func() { sim.modifyRequest = nil })
		}},
		{"repeats", "30% of the clients send their request three times at once for 5.5 s", func(sim *simulation) {
			sim.at(8, func() {
				sim.modifyRequest = func(c *client) {
					if sim.loadRNG.Float64() >= 0.3 {
						return
					}
					for range 2 {
						duplicate := sim.newClient(c.key)
						duplicate.prompt, duplicate.events, duplicate.duplicate = c.prompt, c.events, true
						sim.startRequest(duplicate)
					}
				}
			})
			sim.at(13.5, func() { sim.modifyRequest = nil })
		}},
		{"give-up", "for 10 s, 30% of the clients disconnect 1.5 s after their request", func(sim *simulation) {
			sim.at(8, func() {
				sim.modifyRequest = func(c *client) {
					if sim.loadRNG.Float64() < 0.3 {
						c.disconnectAfter = 1500 * time.Millisecond
					}
				}
			})
			sim.at(18, func() { sim.modifyRequest = nil })
		}},
		{"slow", "three engines take four times as long for each step for 7 s", func(sim *simulation) {
			sim.at(8, func() { sim.forEngines(3, func(e *engine) { e.slowdown = 4 }) })
			sim.at(15, func() { sim.forEngines(3, func(e *engine) { e.slowdown = 1 }) })
		}},
		{"uneven", "a third of the engines have 1.7 times the nominal speed, the others 0.7 times; 1.6 times the request rate", func(sim *simulation) {
			sim.rateFactor = 1.6
			sim.setUnevenSpeeds()
		}},
		{"turns-slow", "as uneven, and at 14 s half of the fast engines turn slow for good", func(sim *simulation) {
			sim.rateFactor = 1.6
			sim.setUnevenSpeeds()
			sim.at(14, func() {
				for i := 2; i < len(sim.engines); i += 6 {
					sim.engines[i].speed = 0.7
				}
			})
		}},
		{"grey", "three engines accept but never process 45% of their requests for 6.5 s", func(sim *simulation) {
			sim.at(8, func() { sim.forEngines(3, func(e *engine) { e.hangProbability = 0.45 }) })
			sim.at(14.5, func() { sim.forEngines(3, func(e *engine) { e.hangProbability = 0 }) })
		}},
		{"shrunk", "half of the engines announce that they are leaving and stop 2 s later for good", func(sim *simulation) {
			for i := 0; i < len(sim.engines); i += 2 {
				sim.at(4+float64(i)/8, func() { sim.retire(sim.engines[i]) })
			}
		}},
		{"replaced", "eight engines, one each second, announce that they are leaving, serve for 2 s and restart", func(sim *simulation) {
			for i := range 8 {
				sim.at(8+float64(i), func() { sim.restart(sim.engines[2*i]) })
			}
		}},
		{"leave-untold", "eight engines, one each second, say only in their answers that they leave, serve for 3 s and restart", func(sim *simulation) {
			for i := range 8 {
				sim.at(8+float64(i), func() { sim.restartUntold(sim.engines[2*i]) })
			}
		}},
		{"shedding", "four engines reject everything for 6 s and state that they want no requests for 2 s", func(sim *simulation) {
			sim.at(8, func() { sim.forEngines(4, func(e *engine) { e.shedPause = 2 * time.Second }) })
			sim.at(14, func() { sim.forEngines(4, func(e *engine) { e.shedPause = 0 }) })
		}},
		{"gateways", "each gateway in turn is killed and restarts after 1 s", func(sim *simulation) {
			for i, g := range sim.gateways {
				sim.at(8+4*float64(i), g.kill)
				sim.at(9+4*float64(i), g.start)
			}
		}},
		{"store", "the store is down for 9 s, while one zone crashes, another stops responding and gateways cannot read registrations", func(sim *simulation) {
			sim.at(8, func() { sim.storeDown = true })
			sim.at(9, func() { sim.stopZone(0, false) })
			sim.at(13, func() { sim.stopZone(1, true) })
			sim.at(17, func() { sim.storeDown = false })
		}},
		{"crashing-part", "from 5 s on, one request more for each fourth one has a middle prompt part that crashes the engine that begins to answer it", func(sim *simulation) {
			sim.at(5, func() { sim.addCrashingRequests(0.25, 1, false) })
		}},
		{"crashing-parts", "from 5 s on, one request more for each third one has one of three such parts; a zone crashes and gateways are killed meanwhile", func(sim *simulation) {
			sim.at(5, func() { sim.addCrashingRequests(0.33, 3, false) })
			sim.at(12, func() { sim.stopZone(1, false) })
			for i, g := range sim.gateways {
				sim.at(9+5*float64(i), g.kill)
				sim.at(10+5*float64(i), g.start)
			}
		}},
		{"crashing-first-part", "from 5 s on, one request more for each fourth one has a first prompt part that crashes the engine that begins to answer it; a zone crashes twice meanwhile", func(sim *simulation) {
			sim.at(5, func() { sim.addCrashingRequests(0.25, 1, true) })
			for i, second := range []float64{6, 16} {
				sim.at(second, func() { sim.stopZone(i, false) })
			}
		}},
		{"crashing-part-one-text", "as crashing-part, and all requests have the same text, so that only their prompts tell them apart", func(sim *simulation) {
			sim.oneText = true
			sim.at(5, func() { sim.addCrashingRequests(0.25, 1, false) })
		}},
		{"power-lost", "all gateways lose power at once, without a word to their clients, and restart after 1 s; the clients return when they have heard nothing for 18 s, to twice the usual load", func(sim *simulation) {
			sim.at(26, func() { sim.rateFactor = 2 })
			for _, g := range sim.gateways {
				sim.at(12, g.losePower)
				sim.at(13, g.start)
			}
		}},
		{"ranks", "four times the request rate; one request in twelve is urgent, the others are patient", func(sim *simulation) {
			sim.rateFactor = 4
			sim.rank(1.0/12, nil, nil)
		}},
		{"rankburst", "patient requests at eight times the request rate for 5 s, and then urgent ones at 1.5 times", func(sim *simulation) {
			sim.rank(0, nil, nil)
			sim.at(6, func() { sim.rateFactor = 8 })
			sim.at(11, func() {
				sim.rateFactor = 1.5
				sim.rank(1, nil, nil)
			})
			sim.at(20, func() {
				sim.rateFactor = 1
				sim.rank(0, nil, nil)
			})
		}},
		{"ranklong", "six times the request rate; one request in twenty is urgent with a prompt of 9,000 tokens, the patient ones have 2,500", func(sim *simulation) {
			sim.rateFactor = 6
			sim.rank(0.05, func(c *client) { c.prompt = promptMax }, func(c *client) { c.prompt = 2500 })
		}},
		{"recovery", "all gateways are killed at once while one zone is down", func(sim *simulation) {
			sim.at(13.5, func() { sim.stopZone(2, false) })
			for _, g := range sim.gateways {
				sim.at(14, g.kill)
				sim.at(15, g.start)
			}
		}},
	}
}

// stopZone stops the engines of a zone and restarts them after outageDuration.
func (sim *simulation) stopZone(zone int, unresponsive bool) {
	for _, e := range sim.engines {
		if e.zone != zoneName(zone) {
			continue
		}
		e.stop(unresponsive)
		sim.clock.after(outageDuration, func() {
			e.start()
			sim.register(e)
		})
	}
}

// setUnevenSpeeds gives each third engine 1.7 times the nominal speed and the others 0.7 times.
func (sim *simulation) setUnevenSpeeds() {
	for i, e := range sim.engines {
		e.speed = 0.7
		if i%3 == 2 {
			e.speed = 1.7
		}
	}
}

// forEngines applies f to n engines, spread over the zones.
func (sim *simulation) forEngines(n int, f func(*engine)) {
	for i := range n {
		f(sim.engines[i*len(sim.engines)/n])
	}
}

// retire announces that an engine is leaving and stops it 2 s later.
func (sim *simulation) retire(e *engine) {
	e.leaving = true
	sim.register(e)
	sim.clock.after(2*time.Second+registrationDelay, func() { e.stop(false) })
}

// restart announces that an engine is leaving, stops it 2 s later and restarts it after
// outageDuration.
func (sim *simulation) restart(e *engine) {
	e.leaving = true
	sim.register(e)
	sim.clock.after(2*time.Second+registrationDelay, func() {
		e.stop(false)
		sim.clock.after(outageDuration, func() {
			e.start()
			sim.register(e)
		})
	})
}

// restartUntold makes an engine say in its answers that it leaves, without the store's knowledge,
// stops it 3 s later and restarts it after outageDuration.
func (sim *simulation) restartUntold(e *engine) {
	e.saysLeaving = true
	sim.clock.after(3*time.Second, func() {
		e.stop(false)
		sim.clock.after(outageDuration, func() {
			e.start()
			sim.register(e)
		})
	})
}
