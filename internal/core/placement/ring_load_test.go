package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// timedEvents is a queue of functions in the order of their times.
type timedEvents []timedEvent

type timedEvent struct {
	at time.Time
	do func()
}

func (q timedEvents) Len() int           { return len(q) }
func (q timedEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timedEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timedEvents) Push(x any) { *q = append(*q, x.(timedEvent)) }

// Pop implements heap.Interface.
func (q *timedEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// loadSimulation places streams by many gateways on engines that read one prompt after the other.
type loadSimulation struct {
	now    time.Time
	queue  timedEvents
	rng    *rand.Rand
	names  []string
	fleets []*Fleet
	// readEnd is when each engine has read its prompts, running its streams.
	readEnd map[string]time.Time
	running map[string]int
	waits   []time.Duration
	// speeds are the speeds of engines by ID, 1 if none is stated, and firsts the times to the first event.
	speeds map[string]float64
	firsts []time.Duration
}

func newLoadSimulation(gateways, targets int) *loadSimulation {
	s := &loadSimulation{now: now, rng: rand.New(rand.NewPCG(1, 2)), names: ringGateways(gateways), readEnd: map[string]time.Time{}, running: map[string]int{}}
	list := engines(targets)
	for i, name := range s.names {
		f := NewFleet(name, list[i%3].Zone, rand.New(rand.NewPCG(uint64(i), 3)))
		f.Update(list, func(string) int { return 55000 })
		f.SetGateways(s.names)
		s.fleets = append(s.fleets, f)
	}
	return s
}

func (s *loadSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, timedEvent{s.now.Add(d), do})
}

func (s *loadSimulation) run(until time.Time) {
	for len(s.queue) > 0 && s.queue[0].at.Before(until) {
		event := heap.Pop(&s.queue).(timedEvent)
		s.now = event.at
		event.do()
	}
}

// exchange reports the loads and speeds of two gateways to each other.
func (s *loadSimulation) exchange(a, b *Fleet) {
	fromA, fromB := a.LocalLoads(s.now), b.LocalLoads(s.now)
	a.SetPeerLoads(b.name, s.now, fromB)
	b.SetPeerLoads(a.name, s.now, fromA)
	b.MergeSpeeds(a.ExportSpeeds(s.now))
	a.MergeSpeeds(b.ExportSpeeds(s.now))
}

// exchangeLoads makes the exchanges of a gateway: as the gateway process does, with three random others
// each 200 ms if all share their loads, otherwise with the next neighbor each 300 ms.
func (s *loadSimulation) exchangeLoads(f *Fleet) {
	if SharesAll(len(s.names)) {
		for range min(3, len(s.names)-1) {
			if other := s.fleets[s.rng.IntN(len(s.fleets))]; other != f {
				s.exchange(f, other)
			}
		}
		s.after(200*time.Millisecond, func() { s.exchangeLoads(f) })
		return
	}
	neighbors := RingNeighbors(s.names, f.name)
	var next func(i int)
	next = func(i int) {
		k := slices.Index(s.names, neighbors[i%len(neighbors)])
		s.exchange(f, s.fleets[k])
		s.after(300*time.Millisecond, func() { next(i + 1) })
	}
	next(0)
}

// stream places one stream that runs for a time.
func (s *loadSimulation) stream(f *Fleet, size GenerationSize, runs time.Duration) {
	placed, ok := f.Place(s.now, fleetQuery, "", size, true)
	if !ok {
		return
	}
	id := placed.Target.ID
	stream := f.BeginStream(s.now, id, placed.Copy, size)
	start := s.now
	if s.readEnd[id].After(start) {
		start = s.readEnd[id]
	}
	factor := 1.0
	if s.speeds != nil {
		factor = s.speeds[id]
	}
	runs = time.Duration(float64(runs) / factor)
	s.readEnd[id] = start.Add(prefillTime(size.PromptTokens, 1/factor))
	s.running[id]++
	first := s.readEnd[id].Sub(s.now)
	s.waits, s.firsts = append(s.waits, start.Sub(s.now)), append(s.firsts, first)
	s.after(first, func() { f.RecordFirstEvent(s.now, id, stream) })
	for at := 2 * time.Second; at <= runs; at += 2 * time.Second {
		s.after(first+at, func() { f.RecordGap(s.now, id, stream, time.Duration(float64(26*time.Millisecond)/factor)) })
	}
	s.after(first+runs, func() {
		s.running[id]--
		f.EndStream(s.now, id, placed.Copy, stream, size, false)
	})
}

// Load pattern: streams arrive at random gateways, a tenth of which get four times as many, at 60% of
// what the engines can read. Guards against engines that stand idle or get several prompts at a
// time while others have none: gateways with the same idle engine in their subsets would all choose
// it, and busy gateways would fill theirs.
func TestStreamsSpreadOverTargets(t *testing.T) {
	for _, size := range []struct{ gateways, targets int }{{3, 18}, {23, 86}, {100, 300}, {100, 400}} {
		t.Run(fmt.Sprintf("%dx%d", size.gateways, size.targets), func(t *testing.T) {
			c := qt.New(t)
			s := newLoadSimulation(size.gateways, size.targets)
			for _, f := range s.fleets {
				s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { s.exchangeLoads(f) })
			}
			prompt := GenerationSize{PromptTokens: 2500, OutputTokens: 800}
			perTarget := 0.6 * float64(time.Second) / float64(prefillTime(prompt.PromptTokens, 1))
			gap := time.Duration(float64(time.Second) / (perTarget * float64(size.targets)))
			busy := max(1, size.gateways/10)
			var arrive func()
			arrive = func() {
				g := s.rng.IntN(len(s.fleets) + 3*busy)
				if g >= len(s.fleets) {
					g = (g - len(s.fleets)) % busy
				}
				s.stream(s.fleets[g], prompt, 4*time.Second)
				s.after(time.Duration(float64(gap)*s.rng.ExpFloat64()), arrive)
			}
			arrive()
			s.run(now.Add(10 * time.Second))
			s.waits = nil
			s.run(now.Add(20 * time.Second))
			slices.Sort(s.waits)
			late := 0
			for _, wait := range s.waits {
				if wait > time.Second {
					late++
				}
			}
			most := 0
			for _, n := range s.running {
				most = max(most, n)
			}
			median, tail := s.waits[len(s.waits)/2], s.waits[len(s.waits)*95/100]
			mean := perTarget * 4.5
			t.Logf("%d streams: wait median %v, 95%% %v, late %d; most running %d of mean %.1f", len(s.waits), median, tail, late, most, mean)
			// A gateway that heard of a sixth of the loads of all engines left 19% of the streams waiting.
			c.Check(float64(late) <= 0.05*float64(len(s.waits)), qt.IsTrue, qt.Commentf("%d of %d streams wait over 1 s", late, len(s.waits)))
		})
	}
}
