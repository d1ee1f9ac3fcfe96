package emulator

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testSeeds is the number of seeds of each play in the tests.
const testSeeds = 2

func playAll(t *testing.T, name string) map[string]Measures {
	t.Helper()
	all := map[string]Measures{}
	for _, p := range Patterns() {
		if p.Name != name {
			continue
		}
		for _, policy := range Policies() {
			all[policy.Name] = Play(&p, policy, testSeeds)
		}
	}
	qt.Assert(t, all, qt.HasLen, len(Policies()))
	return all
}

// Each load that the product answers: the product serves at least as many requests on time
// as the plain policy and loses no more.
func TestProductBeatsPlainPolicy(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			all := playAll(t, p.Name)
			plain, product := all["round robin"], all["product"]
			c.Check(product.Requests, qt.Equals, plain.Requests)
			c.Check(product.OnTime >= plain.OnTime, qt.IsTrue, qt.Commentf("on time: %d of %d, plain %d", product.OnTime, product.Requests, plain.OnTime))
			c.Check(product.Lost <= plain.Lost, qt.IsTrue, qt.Commentf("lost: %d, plain %d", product.Lost, plain.Lost))
		})
	}
}

// Long answers must arrive whole: no loss or hang of engines alone loses one.
func TestNothingIsLostWithEngines(t *testing.T) {
	for _, name := range []string{"zone-lost", "zone-silent", "burst", "slow", "grey", "replaced", "store"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := playAll(t, name)["product"]
			qt.Check(t, m.Lost+m.Refused, qt.Equals, 0)
		})
	}
}

// Load pattern: gateways are killed in turn. Guards against clients whose prompts are read
// again at another gateway.
func TestReturningClientsGoOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	all := playAll(t, "gateways")
	before, product := all["before"], all["product"]
	c.Check(product.Late < before.Late, qt.IsTrue, qt.Commentf("late: %d, before %d", product.Late, before.Late))
	c.Check(product.TokensAgain < before.TokensAgain/2, qt.IsTrue, qt.Commentf("read again: %d, before %d", product.TokensAgain, before.TokensAgain))
}

// Load pattern: all gateways are lost together. Guards against runs that no gateway remembers.
func TestStoredRunsOutliveGateways(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	all := playAll(t, "recovery")
	before, product := all["before"], all["product"]
	c.Check(product.OnTime > before.OnTime, qt.IsTrue, qt.Commentf("on time: %d, before %d", product.OnTime, before.OnTime))
	// Prompts that are being read have no record yet.
	c.Check(product.TokensAgain < before.TokensAgain, qt.IsTrue, qt.Commentf("read again: %d, before %d", product.TokensAgain, before.TokensAgain))
}

// Load pattern: engines that accept requests and never work on them. Guards against clients
// that wait for the first event until they give up.
func TestHungRequestsMove(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	all := playAll(t, "grey")
	c.Check(Quantile(all["product"].FirstEvent, 1) < clientPatience, qt.IsTrue)
	c.Check(Quantile(all["before"].FirstEvent, 1) > clientPatience, qt.IsTrue)
}

// The same seed gives the same result, so that a change of a figure is a change of policy.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	p := Patterns()[0]
	policy := Policies()[len(Policies())-1]
	qt.Check(t, Play(&p, policy, 1), qt.DeepEquals, Play(&p, policy, 1))
}

// engineUnderTest runs jobs on one engine and records when events come.
func engineUnderTest() (*engine, *clock) {
	c := newClock()
	return newEngine(c, rand.New(rand.NewPCG(1, 1)), 0, "a"), c
}

func testJob(name string, prompt, events int, deliver func(signal, int)) *job {
	return &job{name: name, key: uint64(len(name)), prompt: prompt, events: events, next: 1, cost: new(int), deliver: deliver}
}

// The engine keeps to the users' figures: 5 prompt tokens a ms, a step of 4.63 ms and more.
func TestEngineTimes(t *testing.T) {
	c := qt.New(t)
	e, clock := engineUnderTest()
	start := clock.now
	var times []time.Duration
	e.submit(testJob("a", 5000, 20, func(kind signal, _ int) {
		if kind == signalEvent {
			times = append(times, clock.now.Sub(start))
		}
	}))
	clock.run()
	c.Assert(times, qt.HasLen, 20)
	// 40 parts of 125 tokens take 25 ms each, with the time of a step.
	c.Check(times[0] > time.Second && times[0] < 1400*time.Millisecond, qt.IsTrue, qt.Commentf("first event after %v", times[0]))
	pause := (times[19] - times[1]) / 18
	c.Check(pause > tokensPerEvent*stepTime && pause < tokensPerEvent*(stepTime+2*stepPerRun), qt.IsTrue, qt.Commentf("pause %v", pause))
}

// A prompt that is read delays the events of the others: each step takes a part of it.
func TestReadingDelaysOthers(t *testing.T) {
	c := qt.New(t)
	e, clock := engineUnderTest()
	var last time.Time
	var longest time.Duration
	e.submit(testJob("a", 200, 100, func(kind signal, _ int) {
		if kind != signalEvent {
			return
		}
		if !last.IsZero() {
			longest = max(longest, clock.now.Sub(last))
		}
		last = clock.now
	}))
	clock.after(300*time.Millisecond, func() { e.submit(testJob("bb", 5000, 1, func(signal, int) {})) })
	clock.run()
	perToken := stepTime + readChunk*time.Millisecond/readRate
	c.Check(longest >= tokensPerEvent*perToken, qt.IsTrue, qt.Commentf("longest pause %v", longest))
}

// Memory is never used beyond its bound: the newest job is preempted and read again.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	e, clock := engineUnderTest()
	ended := 0
	costs := 0
	for i := range 9 {
		j := testJob(strings.Repeat("x", i+1), 5500, 180, func(kind signal, _ int) {
			if kind == signalEnded {
				ended++
			}
		})
		j.cost = &costs
		e.submit(j)
	}
	most := 0
	clock.every(10*time.Millisecond, clock.now.Add(60*time.Second), func() { most = max(most, e.used()) })
	clock.run()
	c.Check(most <= engineMemory, qt.IsTrue, qt.Commentf("%d tokens in memory", most))
	c.Check(ended, qt.Equals, 9)
	c.Check(costs > 9*5500, qt.IsTrue, qt.Commentf("%d tokens read", costs))
}

// A run goes on from its copy without reading; a copy is used once and does not outlive its
// holder.
func TestCopies(t *testing.T) {
	c := qt.New(t)
	e, clock := engineUnderTest()
	c.Assert(e.hold("run", 5600), qt.IsTrue)
	cost := 0
	got := map[signal]int{}
	resume := func() {
		j := testJob("again", 5000, 130, func(kind signal, _ int) { got[kind]++ })
		j.next, j.from, j.cost = 101, "run", &cost
		e.submit(j)
	}
	resume()
	clock.run()
	c.Check(got[signalEvent], qt.Equals, 30)
	c.Check(cost, qt.Equals, 0)
	resume()
	c.Check(got[signalRefused], qt.Equals, 1)
	c.Assert(e.hold("run", 5600), qt.IsTrue)
	e.down(false)
	e.start()
	resume()
	c.Check(got[signalRefused], qt.Equals, 2)
}

func TestCommand(t *testing.T) {
	c := qt.New(t)
	var list, table strings.Builder
	c.Assert((&Command{}).print(&list), qt.IsNil)
	for _, p := range Patterns() {
		c.Check(strings.Contains(list.String(), p.Name), qt.IsTrue)
	}
	c.Assert((&Command{Pattern: "grey", Seeds: 1}).print(&table), qt.IsNil)
	for _, policy := range Policies() {
		c.Check(strings.Contains(table.String(), policy.Name), qt.IsTrue)
	}
	c.Check((&Command{Pattern: "unknown", Seeds: 1}).print(&table), qt.ErrorMatches, `no pattern "unknown".*`)
	c.Check((&Command{Pattern: "grey"}).print(&table), qt.ErrorMatches, "at least one seed.*")
}
