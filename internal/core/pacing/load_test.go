package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/precedence"
)

const (
	loadWork  = 60 * time.Millisecond
	loadSlots = 6
	loadQueue = 24
)

// callLoad plays calls of 22 gateways to application engines in virtual time, in steps of 1 ms.
type callLoad struct {
	targets int
	// rate is the number of calls a second; the gateways have uneven shares. cut is whether their exchange is cut.
	rate  func(at time.Duration) float64
	cut   func(at time.Duration) bool
	paced bool
	// from and to limit the arrivals that count in the result.
	from, to time.Duration
}

type loadResult struct{ arrived, inTime, late, refused, rejected, attempts, stillPaced int }

type loadCall struct {
	Call
	g            *loadGateway
	attempts     int
	counted      bool
	sentAt, ends time.Time
}

type loadGateway struct {
	pacer   *Pacer
	reports *Reports
	active  []int
	latency time.Duration
	calls   map[uint64]*loadCall
}

type loadRun struct {
	callLoad
	loadResult
	now      time.Time
	rng      *rand.Rand
	list     []Target
	names    []string
	gateways []*loadGateway
	// queues holds the calls at each target, those in its slots first.
	queues [][]*loadCall
}

// send sends a call to the target with the fewest calls of its gateway, and reports whether there is one with room.
func (r *loadRun) send(call *loadCall) bool {
	g, chosen := call.g, -1
	for i, n := range g.active {
		full := g.pacer.Paced() && n >= g.pacer.Limits()[r.list[i].ID]
		if !full && (chosen < 0 || n < g.active[chosen] || n == g.active[chosen] && r.rng.IntN(2) == 0) {
			chosen = i
		}
	}
	if chosen < 0 {
		return false
	}
	g.pacer.Remove(call.ID)
	call.attempts, call.sentAt = call.attempts+1, r.now
	if call.counted {
		r.attempts++
	}
	if len(r.queues[chosen]) < loadSlots+loadQueue {
		g.active[chosen]++
		r.queues[chosen] = append(r.queues[chosen], call)
		return true
	}
	if call.counted {
		r.rejected++
	}
	if r.paced {
		g.pacer.Observe(r.now, r.list[chosen].ID, true)
	}
	call.Again = true
	switch {
	case call.attempts >= 3:
		r.end(call, 0)
	case g.pacer.Paced():
		g.pacer.Add(r.now, &call.Call)
	default:
		r.send(call)
	}
	return true
}

// serve refuses and sends the waiting calls of a gateway.
func (r *loadRun) serve(g *loadGateway) {
	targets := slices.Clone(r.list)
	for i := range targets {
		targets[i].Active = g.active[i]
	}
	g.pacer.Update(r.now, targets, r.names, g.reports, g.latency)
	for _, refusal := range g.pacer.Refusals(r.now) {
		g.pacer.Remove(refusal.Call.ID)
		r.end(g.calls[refusal.Call.ID], 0)
	}
	for g.pacer.HasRoom() {
		if order := g.pacer.Order(r.now); len(order) == 0 || !r.send(g.calls[order[0].ID]) {
			return
		}
		g.pacer.Sent()
	}
}

// end counts a call that was answered after a time, or refused if that is 0.
func (r *loadRun) end(call *loadCall, took time.Duration) {
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

// work ends the calls in a target's slots that are done, and begins those behind them.
func (r *loadRun) work(i int) {
	for k := 0; k < min(loadSlots, len(r.queues[i])); k++ {
		call := r.queues[i][k]
		if call.ends.IsZero() {
			call.ends = r.now.Add(time.Duration((0.8 + 0.4*r.rng.Float64()) * float64(loadWork)))
		}
		if call.ends.After(r.now) {
			continue
		}
		r.queues[i] = slices.Delete(r.queues[i], k, k+1)
		k--
		call.g.active[i]--
		call.g.latency += (r.now.Sub(call.sentAt) - call.g.latency) / 10
		call.g.pacer.Observe(r.now, r.list[i].ID, false)
		r.end(call, r.now.Sub(call.Arrived))
		if call.g.pacer.Paced() {
			r.serve(call.g)
		}
	}
}

func (r *loadRun) exchange(from, to *loadGateway) {
	loads := map[ServiceKey]Load{}
	if from.pacer.Paced() {
		loads[KeyOf("s")] = from.pacer.Load()
	}
	to.reports.Set(r.now, from.pacer.self, loads)
}

func (l callLoad) play(length time.Duration) loadResult {
	start := time.Unix(1e9, 0)
	r := &loadRun{callLoad: l, rng: rand.New(rand.NewPCG(1, 1)), queues: make([][]*loadCall, l.targets)}
	for i := range l.targets {
		r.list = append(r.list, Target{ID: fmt.Sprint("e", i), Slots: loadSlots})
	}
	for i := range 22 {
		r.names = append(r.names, fmt.Sprintf("g%02d", i))
		r.gateways = append(r.gateways, &loadGateway{pacer: New(r.names[i], "s"), reports: NewReports(), active: make([]int, l.targets), latency: loadWork, calls: map[uint64]*loadCall{}})
	}
	id := uint64(0)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		r.now = start.Add(at)
		for i := range r.queues {
			r.work(i)
		}
		for n := l.rate(at) / 1000; r.rng.Float64() < n; n-- {
			id++
			g := r.gateways[int(22*max(r.rng.Float64(), r.rng.Float64()*1.2-0.2))]
			call := &loadCall{g: g, counted: at >= l.from && at < l.to, Call: Call{ID: id, Once: r.rng.IntN(10) < 7, Arrived: r.now, Objective: r.now.Add(300 * time.Millisecond), Deadline: r.now.Add(1500 * time.Millisecond)}}
			g.calls[id] = call
			if !g.pacer.Paced() {
				r.send(call)
				continue
			}
			g.pacer.Add(r.now, &call.Call)
			r.serve(g)
		}
		for i := 0; i < 66 && at%(200*time.Millisecond) == 0 && !l.cut(at); i++ {
			a, b := r.gateways[i/3], r.gateways[r.rng.IntN(22)]
			r.exchange(a, b)
			r.exchange(b, a)
		}
		for i := 0; i < 22 && at%(100*time.Millisecond) == 0; i++ {
			if g := r.gateways[i]; g.pacer.Paced() {
				r.serve(g)
				g.pacer.Tick(r.now)
			}
		}
	}
	for _, g := range r.gateways {
		if g.pacer.Paced() {
			r.stillPaced++
		}
	}
	return r.loadResult
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func never(time.Duration) bool { return false }

// compare plays a load as before and with pacing.
func (l callLoad) compare(t *testing.T, length time.Duration) (without, with loadResult) {
	without = l.play(length)
	l.paced = true
	with = l.play(length)
	t.Logf("without: %+v", without)
	t.Logf("with:    %+v", with)
	return without, with
}

// Load pattern: three of five application engines are left at full demand, at 22 gateways. Guards against engines whose
// queues are always full, so that answers are late and most attempts are rejected, and against shares that leave slots
// of the engines empty.
func TestThreeOfFiveEnginesLeft(t *testing.T) {
	c := qt.New(t)
	without, with := callLoad{targets: 3, rate: steady(400), cut: never, from: 5 * time.Second, to: 28 * time.Second}.compare(t, 30*time.Second)
	c.Check(with.inTime > without.inTime*5/4, qt.IsTrue)
	c.Check(with.rejected < with.attempts/100, qt.IsTrue)
	// Three engines serve 300 calls a second.
	c.Check(with.inTime+with.late > 23*300*95/100, qt.IsTrue)
}

// Load pattern: the demand is twice as high for 3 s. Guards against pacing that goes on after the spike, that loses more
// calls than the spike would, or that has an effect without rejections.
func TestSpikeOfTwiceTheDemand(t *testing.T) {
	c := qt.New(t)
	load := callLoad{targets: 5, cut: never, to: 30 * time.Second, rate: func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 8*time.Second {
			return 800
		}
		return 400
	}}
	without, with := load.compare(t, 32*time.Second)
	c.Check(with.inTime >= without.inTime, qt.IsTrue)
	c.Check(with.attempts < without.attempts, qt.IsTrue)
	c.Check(with.stillPaced, qt.Equals, 0)
	load.rate = steady(400)
	without, with = load.compare(t, 10*time.Second)
	c.Check(with, qt.Equals, without)
}

// Load pattern: as the first one, with the exchange between gateways cut for 15 s. Guards against gateways that take
// more than their part while they do not know of each other.
func TestExchangeCutWhileCallsArePaced(t *testing.T) {
	c := qt.New(t)
	cut := func(at time.Duration) bool { return at >= 8*time.Second && at < 23*time.Second }
	r := callLoad{targets: 3, rate: steady(400), cut: cut, paced: true, from: 11 * time.Second, to: 23 * time.Second}.play(30 * time.Second)
	t.Logf("%+v", r)
	c.Check(r.rejected < r.attempts/100, qt.IsTrue)
	// A division without regard to demand may cost up to half of what the engines serve.
	c.Check(r.inTime > 12*300/2, qt.IsTrue)
}

// Guards against reads that go before calls that cannot be repeated, against ranks that starve others, against calls
// held although they cannot be answered in time, and against values of other gateways that are out of range.
func TestOrderAndRefusals(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	p := New("g", "s")
	p.Update(now, []Target{{ID: "e", Slots: 2, Active: 3}}, []string{"g"}, NewReports(), 60*time.Millisecond)
	for i, w := range []struct {
		rank     precedence.Rank
		once     bool
		waitedMS int
	}{{precedence.Rank{Account: 1, Route: 0}, false, 20}, {precedence.Rank{Account: 1, Route: 0}, true, 0}, {precedence.Rank{Account: 0, Route: 2}, false, 0}, {precedence.Rank{Account: 0, Route: 1}, false, 0}, {precedence.Rank{Account: 9, Route: 9}, false, 160}, {precedence.Rank{}, false, 280}, {precedence.Rank{}, false, 950}} {
		arrived := now.Add(-time.Duration(w.waitedMS) * time.Millisecond)
		p.Add(now, &Call{ID: uint64(i + 1), Rank: w.rank, Once: w.once, Arrived: arrived, Objective: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(time.Second)})
	}
	refused := p.Refusals(now)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Call.ID, qt.Equals, uint64(7))
	c.Check(p.Remove(7), qt.IsTrue)
	var ids []uint64
	for _, w := range p.Order(now) {
		ids = append(ids, w.ID)
	}
	c.Check(ids, qt.DeepEquals, []uint64{5, 6, 4, 3, 2, 1})
	reports := NewReports()
	c.Check(reports.Set(now, "h", map[ServiceKey]Load{KeyOf("s"): {Active: maxReportedCalls + 1}, KeyOf("t"): {Active: 2}}), qt.IsFalse)
	calls, heard := reports.calls(now, "h", KeyOf("t"))
	c.Check(calls == 2 && heard, qt.IsTrue)
}
