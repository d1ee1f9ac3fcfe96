package emulator

import "time"

// Pattern is a load with its troubles.
type Pattern struct {
	Name string
	// Text says what happens.
	Text string
	play func(*world)
}

// outage is how long a lost engine is away, as on the users' days.
const outage = 1200 * time.Millisecond

// Patterns returns the loads that the product answers, the heaviest first.
func Patterns() []Pattern {
	return []Pattern{
		{"zone-lost", "the engines of one zone crash, three times", func(w *world) {
			for i, second := range []float64{5, 14, 23} {
				w.at(second, func() { w.loseZone(i, false) })
			}
		}},
		{"zone-silent", "the engines of one zone fall silent, three times", func(w *world) {
			for i, second := range []float64{5, 14, 23} {
				w.at(second, func() { w.loseZone(i, true) })
			}
		}},
		{"burst", "1.7 times the requests for 3 s, twice, the second time with a lost zone", func(w *world) {
			for _, second := range []float64{6, 18} {
				w.at(second, func() { w.rate = 1.7 })
				w.at(second+3, func() { w.rate = 1 })
			}
			w.at(19, func() { w.loseZone(1, false) })
		}},
		{"hot-key", "28% of the requests are about one thing for 12 s", func(w *world) {
			w.at(6, func() {
				w.change = func(c *client) {
					if w.load.Float64() < 0.28 {
						c.key, c.prompt = 1, promptMean
					}
				}
			})
			w.at(18, func() { w.change = nil })
		}},
		{"repeats", "30% of the clients send their request three times at once for 5.5 s", func(w *world) {
			w.at(8, func() {
				w.change = func(c *client) {
					if w.load.Float64() >= 0.3 {
						return
					}
					for range 2 {
						again := w.newClient(c.key)
						again.prompt, again.events, again.extra = c.prompt, c.events, true
						w.begin(again)
					}
				}
			})
			w.at(13.5, func() { w.change = nil })
		}},
		{"give-up", "30% of the clients leave after 1.5 s for 10 s", func(w *world) {
			w.at(8, func() {
				w.change = func(c *client) {
					if w.load.Float64() < 0.3 {
						c.leaves = 1500 * time.Millisecond
					}
				}
			})
			w.at(18, func() { w.change = nil })
		}},
		{"slow", "three engines take four times as long for 7 s", func(w *world) {
			w.at(8, func() { w.each(3, func(e *engine) { e.slowness = 4 }) })
			w.at(15, func() { w.each(3, func(e *engine) { e.slowness = 1 }) })
		}},
		{"grey", "three engines never work on 45% of their requests for 6.5 s", func(w *world) {
			w.at(8, func() { w.each(3, func(e *engine) { e.hangs = 0.45 }) })
			w.at(14.5, func() { w.each(3, func(e *engine) { e.hangs = 0 }) })
		}},
		{"replaced", "eight engines announce that they leave, serve for 2 s and start again, one a second", func(w *world) {
			for i := range 8 {
				w.at(8+float64(i), func() { w.replace(w.engines[2*i]) })
			}
		}},
		{"gateways", "each gateway is killed in turn and is back after 1 s", func(w *world) {
			for i, g := range w.gateways {
				w.at(8+4*float64(i), g.kill)
				w.at(9+4*float64(i), g.start)
			}
		}},
		{"store", "the store is down for 9 s, in which a zone crashes and gateways cannot read the list", func(w *world) {
			w.at(8, func() { w.storeDown = true })
			w.at(9, func() { w.loseZone(0, false) })
			w.at(13, func() { w.loseZone(1, true) })
			w.at(17, func() { w.storeDown = false })
		}},
		{"recovery", "all gateways are killed together while a zone is lost", func(w *world) {
			w.at(13.5, func() { w.loseZone(2, false) })
			for _, g := range w.gateways {
				w.at(14, g.kill)
				w.at(15, g.start)
			}
		}},
	}
}

// loseZone takes the engines of a zone away for the length of an outage.
func (w *world) loseZone(zone int, silent bool) {
	for _, e := range w.engines {
		if e.zone != zoneName(zone) {
			continue
		}
		e.down(silent)
		w.clock.after(outage, func() {
			e.start()
			w.register(e)
		})
	}
}

// each applies f to n engines, spread over the zones.
func (w *world) each(n int, f func(*engine)) {
	for i := range n {
		f(w.engines[i*len(w.engines)/n])
	}
}

// replace takes an engine out of service as announced and starts it again.
func (w *world) replace(e *engine) {
	e.leaving = true
	w.register(e)
	w.clock.after(2*time.Second+listDelay, func() {
		e.down(false)
		w.clock.after(outage, func() {
			e.start()
			w.register(e)
		})
	})
}
