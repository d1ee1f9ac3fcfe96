package pacing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	loadStep     = time.Millisecond
	loadTick     = 100 * time.Millisecond
	loadExchange = 200 * time.Millisecond
	loadWork     = 60 * time.Millisecond
	loadSlots    = 6
	loadQueue    = 24
)

// callLoad plays calls of several gateways to application engines in virtual time.
type callLoad struct {
	gateways, targets int
	// rate is the number of calls a second at all gateways, with uneven shares of the gateways.
	rate func(at time.Duration) float64
	// cut reports whether the exchange between gateways is cut.
	cut   func(at time.Duration) bool
	paced bool
	// from and to limit the arrivals that the result counts.
	from, to time.Duration
}

// exchange delivers the loads of one gateway to another one.
func exchange(now time.Time, gateways []*loadGateway, from, to int) {
	loads := map[ServiceKey]Load{}
	if p := gateways[from].pacer; p.Paced() {
		loads[KeyOf("s")] = p.Load()
	}
	gateways[to].reports.Set(now, gateways[from].pacer.self, loads)
}

type loadResult struct {
	arrived, inTime, late, refused, rejected, attempts int
	// stillPaced is the number of gateways that pace the service at the end.
	stillPaced int
}

type loadCall struct {
	Call
	g       *loadGateway
	attempt int
	sentAt  time.Time
	counted bool
}

type loadTarget struct {
	queue []*loadCall
	ends  []time.Time
	taken []*loadCall
}

type loadGateway struct {
	pacer   *Pacer
	reports *Reports
	active  []int
	latency time.Duration
	calls   map[uint64]*loadCall
}

func (l callLoad) play(seed uint64, length time.Duration) (r loadResult) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1e9, 0)
	var names []string
	var gateways []*loadGateway
	targets := make([]loadTarget, l.targets)
	list := make([]Target, l.targets)
	for i := range list {
		list[i] = Target{ID: fmt.Sprint("e", i), Slots: loadSlots}
	}
	for i := range l.gateways {
		names = append(names, fmt.Sprintf("g%03d", i))
		gateways = append(gateways, &loadGateway{pacer: New(names[i], "s"), reports: NewReports(), active: make([]int, l.targets), latency: loadWork, calls: map[uint64]*loadCall{}})
	}
	var id uint64
	var send func(now time.Time, g *loadGateway, call *loadCall) bool
	place := func(now time.Time, g *loadGateway) {
		active := 0
		for _, n := range g.active {
			active += n
		}
		g.pacer.Update(now, list, names, g.reports, active, g.latency)
		for _, refusal := range g.pacer.Refusals(now) {
			g.pacer.Remove(refusal.Call.ID)
			r.count(g.calls[refusal.Call.ID], 0)
		}
		for g.pacer.HasRoom() {
			order := g.pacer.Order(now)
			if len(order) == 0 || !send(now, g, g.calls[order[0].ID]) {
				return
			}
		}
	}
	send = func(now time.Time, g *loadGateway, call *loadCall) bool {
		chosen := -1
		for i, n := range g.active {
			if g.pacer.Paced() && n >= g.pacer.Limits()[list[i].ID] {
				continue
			}
			if chosen < 0 || n < g.active[chosen] || n == g.active[chosen] && rng.IntN(2) == 0 {
				chosen = i
			}
		}
		if chosen < 0 {
			return false
		}
		g.pacer.Remove(call.ID)
		g.active[chosen]++
		call.attempt, call.sentAt = call.attempt+1, now
		t, counted := &targets[chosen], 0
		if call.counted {
			counted = 1
		}
		r.attempts += counted
		if len(t.queue)+len(t.taken) >= loadSlots+loadQueue {
			r.rejected += counted
			g.active[chosen]--
			if l.paced {
				g.pacer.Observe(now, list[chosen].ID, true)
			}
			call.Again = true
			if call.attempt >= 3 {
				r.count(call, 0)
			} else if g.pacer.Paced() {
				g.pacer.Add(now, &call.Call)
			} else {
				send(now, g, call)
			}
			return true
		}
		t.queue = append(t.queue, call)
		return true
	}
	for at := time.Duration(0); at < length; at += loadStep {
		now := start.Add(at)
		for i := range targets {
			t := &targets[i]
			for k := 0; k < len(t.taken); k++ {
				if t.ends[k].After(now) {
					continue
				}
				call := t.taken[k]
				t.taken, t.ends = append(t.taken[:k], t.taken[k+1:]...), append(t.ends[:k], t.ends[k+1:]...)
				k--
				call.g.active[i]--
				call.g.latency += (now.Sub(call.sentAt) - call.g.latency) / 10
				call.g.pacer.Observe(now, list[i].ID, false)
				r.count(call, now.Sub(call.Arrived))
				if call.g.pacer.Paced() {
					place(now, call.g)
				}
			}
			for len(t.taken) < loadSlots && len(t.queue) > 0 {
				work := time.Duration((0.8 + 0.4*rng.Float64()) * float64(loadWork))
				t.taken, t.ends = append(t.taken, t.queue[0]), append(t.ends, now.Add(work))
				t.queue = t.queue[1:]
			}
		}
		for n := l.rate(at) * loadStep.Seconds(); n > 0; n-- {
			if rng.Float64() >= n {
				continue
			}
			// A gateway near the end of the list gets about four times the calls of one near its begin.
			g := gateways[int(float64(l.gateways)*max(rng.Float64(), rng.Float64()*1.2-0.2))]
			id++
			call := &loadCall{g: g, counted: at >= l.from && at < l.to, Call: Call{ID: id, Once: rng.IntN(10) < 7, Arrived: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)}}
			g.calls[id] = call
			if !g.pacer.Paced() {
				send(now, g, call)
				continue
			}
			g.pacer.Add(now, &call.Call)
			place(now, g)
		}
		if at%loadExchange == 0 && !l.cut(at) {
			for n := range 3 * l.gateways {
				i, k := n/3, rng.IntN(l.gateways)
				exchange(now, gateways, i, k)
				exchange(now, gateways, k, i)
			}
		}
		if at%loadTick == 0 {
			for _, g := range gateways {
				if g.pacer.Paced() {
					place(now, g)
					g.pacer.Tick(now)
				}
			}
		}
	}
	for _, g := range gateways {
		if g.pacer.Paced() {
			r.stillPaced++
		}
	}
	return r
}

func (r *loadResult) count(call *loadCall, took time.Duration) {
	delete(call.g.calls, call.ID)
	switch {
	case !call.counted:
		return
	case took == 0:
		r.refused++
	case took <= 300*time.Millisecond:
		r.inTime++
	default:
		r.late++
	}
	r.arrived++
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func never(time.Duration) bool { return false }

// Load pattern: three of five application engines are left at full demand, at 22 gateways. Guards against engines whose
// queues are always full, so that answers are late and most attempts are rejected, and against shares that leave slots
// of the engines empty.
func TestThreeOfFiveEnginesLeft(t *testing.T) {
	c := qt.New(t)
	load := callLoad{gateways: 22, targets: 3, rate: steady(400), cut: never, from: 5 * time.Second, to: 28 * time.Second}
	without := load.play(1, 30*time.Second)
	load.paced = true
	with := load.play(1, 30*time.Second)
	t.Logf("without: %+v", without)
	t.Logf("with:    %+v", with)
	c.Check(with.inTime > without.inTime*5/4, qt.IsTrue)
	c.Check(with.rejected < with.attempts/100, qt.IsTrue)
	// Three engines serve 300 calls a second.
	c.Check(with.inTime+with.late > 23*300*95/100, qt.IsTrue)
}

// Load pattern: the demand is twice as high for 3 s. Guards against pacing that goes on after the spike, or that loses
// more calls than the spike would.
func TestSpikeOfTwiceTheDemand(t *testing.T) {
	c := qt.New(t)
	spike := func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 8*time.Second {
			return 800
		}
		return 400
	}
	load := callLoad{gateways: 22, targets: 5, rate: spike, cut: never, from: 0, to: 30 * time.Second}
	without := load.play(1, 32*time.Second)
	load.paced = true
	with := load.play(1, 32*time.Second)
	t.Logf("without: %+v", without)
	t.Logf("with:    %+v", with)
	c.Check(with.inTime >= without.inTime, qt.IsTrue)
	c.Check(with.attempts < without.attempts, qt.IsTrue)
	c.Check(with.stillPaced, qt.Equals, 0)
	load.rate = steady(400)
	load.paced = false
	without = load.play(1, 10*time.Second)
	load.paced = true
	c.Check(load.play(1, 10*time.Second), qt.Equals, without, qt.Commentf("without rejections nothing is paced"))
}

// Load pattern: as the first one, with the exchange between gateways cut for 15 s. Guards against gateways that take
// more than their part while they do not know of each other.
func TestExchangeCutWhileCallsArePaced(t *testing.T) {
	c := qt.New(t)
	cut := func(at time.Duration) bool { return at >= 8*time.Second && at < 23*time.Second }
	load := callLoad{gateways: 22, targets: 3, rate: steady(400), cut: cut, paced: true, from: 11 * time.Second, to: 23 * time.Second}
	r := load.play(1, 30*time.Second)
	t.Logf("%+v", r)
	c.Check(r.rejected < r.attempts/100, qt.IsTrue)
	// Half of what the engines serve is the least that a division without regard to demand may cost.
	c.Check(r.inTime > 12*300/2, qt.IsTrue)
}

// Guards against reads that go before calls that cannot be repeated, against ranks that starve others, against calls
// held although they cannot be answered in time, and against values of other gateways that are out of range.
func TestOrderAndRefusals(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	call := func(id uint64, account, route int, once bool, waited time.Duration) *Call {
		arrived := now.Add(-waited)
		return &Call{ID: id, Rank: Rank{account, route}, Once: once, Arrived: arrived, Objective: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(time.Second)}
	}
	p := New("g", "s")
	p.Update(now, []Target{{ID: "e", Slots: 2}}, []string{"g"}, NewReports(), 3, 60*time.Millisecond)
	for _, w := range []*Call{call(1, 1, 0, false, 20*time.Millisecond), call(2, 1, 0, true, 0), call(3, 0, 2, false, 0),
		call(4, 0, 1, false, 0), call(5, 9, 9, false, 160*time.Millisecond), call(6, 0, 0, false, 280*time.Millisecond), call(7, 0, 0, false, 950*time.Millisecond)} {
		p.Add(now, w)
	}
	refused := p.Refusals(now)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Call.ID, qt.Equals, uint64(7))
	c.Check(p.Remove(7), qt.IsTrue)
	c.Check(p.Remove(7), qt.IsFalse)
	var ids []uint64
	for _, w := range p.Order(now) {
		ids = append(ids, w.ID)
	}
	c.Check(ids, qt.DeepEquals, []uint64{5, 6, 4, 3, 2, 1})
	reports := NewReports()
	c.Check(reports.Set(now, "h", map[ServiceKey]Load{KeyOf("s"): {Active: maxReportedCalls + 1}, KeyOf("t"): {Active: 2}}), qt.IsFalse)
	calls, heard := reports.calls(now, "h", KeyOf("t"))
	c.Check(calls, qt.Equals, 2)
	c.Check(heard, qt.IsTrue)
}
