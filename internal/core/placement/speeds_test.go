package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/speed"
)

// unevenSpeed returns the speeds of uneven engines: every third one is fast.
func unevenSpeed(i int) float64 {
	if i%3 == 2 {
		return 1.7
	}
	return 0.7
}

// learn gives the fleet the speeds of n engines as another gateway measured them.
func learn(f *Fleet, n int, value func(int) float64) {
	var records []speed.Record
	for i := range n {
		e := speed.Estimate{Speed: value(i), Samples: 100}
		records = append(records, speed.Record{Key: speed.Key{Target: uint32(KeyOf(engineID(i)))}, Estimates: [2]speed.Estimate{e, e}})
	}
	f.MergeSpeeds(records)
	f.EvaluateSpeeds()
}

// Load pattern: engines alike. Guards against a change of any choice, cost or use of the random generator
// while the speeds are not in use.
func TestAlikeEnginesAreChosenAsWithoutSpeeds(t *testing.T) {
	c := qt.New(t)
	play := func(prepare func(f *Fleet)) (log []string) {
		f := NewFleet("g", "a", rand.New(rand.NewPCG(1, 2)))
		prepare(f)
		f.Update(engines(18), func(string) int { return 55000 })
		at := now
		for i := range 300 {
			at = at.Add(40 * time.Millisecond)
			placed, ok := f.Place(at, fleetQuery, "", typicalSize, true)
			end, _ := f.EarliestEnd(at, fleetQuery, typicalSize, "", 3*time.Second)
			log = append(log, fmt.Sprint(placed.Target.ID, placed.Copy, placed.Expected, ok, end.Sub(at)))
			id := f.BeginStream(at, placed.Target.ID, placed.Copy, typicalSize)
			f.RecordFirstEvent(at.Add(placed.Expected), placed.Target.ID, id)
			f.RecordGap(at.Add(placed.Expected), placed.Target.ID, id, time.Duration(28+i%4)*time.Millisecond)
			if i%3 > 0 {
				f.EndStream(at, placed.Target.ID, placed.Copy, id, typicalSize, false)
			}
			call, _ := f.ChooseCall(at, fleetQuery)
			f.BeginCall(call.ID)
			f.EndCall(at, call.ID, time.Duration(20+i%5)*time.Millisecond, false)
			log = append(log, call.ID)
			f.EvaluateSpeeds()
		}
		if f.speeds != nil {
			c.Check(f.samples[speed.Decode][speed.Taken] > 100, qt.IsTrue)
		}
		return log
	}
	c.Assert(play((*Fleet).UseSpeeds), qt.DeepEquals, play(func(*Fleet) {}))
}

// Load pattern: engines of 0.7 and 1.7 of the nominal speed. Guards against choices that expect the same of both, for
// new streams, for refusals and for calls.
func TestUnevenEnginesGetWorkBySpeed(t *testing.T) {
	c := qt.New(t)
	f := NewFleet("g", "a", rand.New(rand.NewPCG(1, 2)))
	f.UseSpeeds()
	f.Update(engines(18), func(string) int { return 55000 })
	learn(f, 18, unevenSpeed)
	c.Assert(f.SpeedsInUse("s"), qt.IsTrue)
	prompts := map[bool]int{}
	for range 72 {
		reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
		f.BeginStream(now, reg.ID, "", typicalSize)
		prompts[f.targets[reg.ID].lasting.Decode > 1.5]++
	}
	// Six fast and twelve slow engines: in proportion to the speeds, 39.6 and 32.4.
	c.Check(prompts[true] >= 36 && prompts[true] <= 44, qt.IsTrue, qt.Commentf("%v", prompts))
	slow, fast := f.targets[engineID(0)], f.targets[engineID(2)]
	ratio := float64(slow.takes(now, 5000, 0)) / float64(fast.takes(now, 5000, 0))
	c.Check(ratio > 2.2 && ratio < 2.6, qt.IsTrue, qt.Commentf("%v", ratio))
	c.Check(slow.usualLatency(20*time.Millisecond) > 45*time.Millisecond, qt.IsTrue)

	// A stream that took 2 s at a fast engine takes longer at a slow one, and its end is told by that.
	nominal := f.NominalTime(engineID(2), 2*time.Second)
	q := fleetQuery
	q.Exclude = nil
	for i := 2; i < 18; i += 3 {
		q.Exclude = append(q.Exclude, engineID(i))
	}
	size := GenerationSize{PromptTokens: 100, OutputTokens: 800}
	end, ok := f.EarliestEnd(now, q, size, "", nominal)
	c.Check(ok, qt.IsTrue)
	c.Check(end.Sub(now) > 4500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", end.Sub(now)))
}

// Load pattern: a fast engine that turns slow, measured by this gateway alone. Guards against samples that are not
// taken, and against an engine in trouble that counts as a slow one.
func TestFastEngineThatTurnsSlowIsMeasured(t *testing.T) {
	c := qt.New(t)
	f := NewFleet("g", "a", rand.New(rand.NewPCG(1, 2)))
	f.UseSpeeds()
	f.Update(engines(3), func(string) int { return 55000 })
	at := now
	serve := func(i int, factor float64) {
		id := f.BeginStream(at, engineID(i), "", typicalSize)
		first := at.Add(time.Duration(1040/factor)*time.Millisecond + firstEventOverhead)
		f.RecordFirstEvent(first, engineID(i), id)
		f.RecordGap(first.Add(2*time.Second), engineID(i), id, time.Duration(float64(28*time.Millisecond)/factor))
		at = first.Add(4 * time.Second)
		f.EndStream(at, engineID(i), "", id, typicalSize, false)
	}
	for range 20 {
		for i := range 3 {
			serve(i, unevenSpeed(i))
		}
	}
	f.EvaluateSpeeds()
	c.Assert(f.SpeedsInUse("s"), qt.IsTrue)
	c.Check(f.targets[engineID(2)].lasting.Prefill > 1.55, qt.IsTrue)
	for range 12 {
		serve(2, 0.7)
	}
	f.EvaluateSpeeds()
	c.Check(f.SpeedsInUse("s"), qt.IsFalse, qt.Commentf("all engines are slow now"))

	before := f.SampleCounts()
	f.MarkDown(at, engineID(0))
	serve(0, 0.3)
	c.Check(f.SampleCounts(), qt.Equals, before, qt.Commentf("a target that was marked down was measured"))
}

// Load pattern: an engine is replaced under its old address and ID. Guards against the use of the old one's speed, and
// against several prompts that wait for an engine nobody knows.
func TestReplacedEngineIsTriedWithOnePrompt(t *testing.T) {
	c := qt.New(t)
	f := NewFleet("g", "a", rand.New(rand.NewPCG(1, 2)))
	f.UseSpeeds()
	list := engines(6)
	f.Update(list, func(string) int { return 55000 })
	learn(f, 6, unevenSpeed)
	list[2].StartUnixMS = 77
	f.Update(list, func(string) int { return 55000 })
	f.EvaluateSpeeds()
	c.Check(f.targets[engineID(2)].lasting.Prefill < 0.75, qt.IsTrue)
	got := 0
	for range 30 {
		reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
		f.BeginStream(now, reg.ID, "", typicalSize)
		if reg.ID == engineID(2) {
			got++
		}
	}
	c.Check(got, qt.Equals, 1)
}

// Load pattern: all clients of one zone move to another within seconds. Guards against bytes between zones while the
// own zone has room, against queues there beyond the stated cost, and against work that goes to and fro.
func TestClientsThatMoveZonesOverflowBeyondTheCost(t *testing.T) {
	c := qt.New(t)
	f := NewFleet("g", "a", rand.New(rand.NewPCG(1, 2)))
	f.SetZoneTransferCost(2 * time.Second)
	f.Update(engines(18), func(string) int { return 55000 })
	place := func(n int) (outside, crossings int) {
		was := false
		for range n {
			reg, _ := f.ChooseEngine(now, fleetQuery, typicalSize)
			f.BeginStream(now, reg.ID, "", typicalSize)
			if out := reg.Zone != "a"; out != was {
				was, crossings = out, crossings+1
			}
			if was {
				outside++
			}
		}
		return outside, crossings
	}
	outside, _ := place(8)
	c.Check(outside, qt.Equals, 0, qt.Commentf("streams leave a zone with room"))
	outside, crossings := place(40)
	c.Check(outside > 15, qt.IsTrue, qt.Commentf("%d of 40 leave the zone when it is full", outside))
	c.Check(crossings < 15, qt.IsTrue, qt.Commentf("%d crossings", crossings))
	for _, target := range f.order {
		if target.reg.Zone == "a" {
			c.Check(f.backlog(now, target) < 5*time.Second, qt.IsTrue)
		}
	}
	holder, ok := f.ChooseCopy(now, FleetQuery{Service: "s", AvoidZone: "a"}, typicalSize)
	c.Check(ok && holder.Zone != "a", qt.IsTrue, qt.Commentf("the copy stays in the zone of its stream"))
	call, _ := f.ChooseCall(now, fleetQuery)
	c.Check(call.Zone, qt.Equals, "a")
}

// Load pattern: 75 streams/s over 110 engines of 0.7 and 1.7 of the nominal speed, placed by 30 gateways that hear of each
// other late. Guards against gateways that all choose the same fast engines once they know the speeds.
func TestKnownSpeedsDoNotGatherStreamsAtFewEngines(t *testing.T) {
	c := qt.New(t)
	late := func(useSpeeds bool) (late, all int) {
		s := newLoadSimulation(30, 110)
		list := engines(110)
		s.speeds = map[string]float64{}
		for i := range list {
			s.speeds[list[i].ID] = unevenSpeed(s.rng.IntN(3))
		}
		for _, f := range s.fleets {
			if useSpeeds {
				f.UseSpeeds()
				f.updateSpeeds()
			}
			s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { s.exchangeLoads(f) })
		}
		var arrive, evaluate func()
		arrive = func() {
			s.stream(s.fleets[s.rng.IntN(30)], typicalSize, 3640*time.Millisecond)
			s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/75), arrive)
		}
		evaluate = func() {
			for _, f := range s.fleets {
				f.EvaluateSpeeds()
			}
			s.after(500*time.Millisecond, evaluate)
		}
		arrive()
		evaluate()
		s.run(now.Add(25 * time.Second))
		for _, first := range s.firsts {
			if first > 4500*time.Millisecond {
				late++
			}
		}
		return late, len(s.firsts)
	}
	without, all := late(false)
	with, allWith := late(true)
	t.Logf("later than 4.5 s: %d of %d without speeds, %d of %d with them", without, all, with, allWith)
	c.Check(with <= without && with*200 <= allWith, qt.IsTrue, qt.Commentf("%d of %d streams later than 4.5 s, %d of %d without speeds", with, allWith, without, all))
}
