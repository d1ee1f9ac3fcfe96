package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// streamLoad is the load of 25 streams/s over 110 engines at 30 gateways, in rounds of 200 ms. Each gateway prefers some
// engines, and exchanges estimates with three others in a round.
type streamLoad struct {
	*installation
	speed func(engine int) float64
	noise float64
	cut   bool
	owner [110]int
	// free is when an engine has read its prompts, in seconds, and due holds the samples by the round in which they are taken.
	free [110]float64
	due  map[int][]func()
}

func newStreamLoad(seed uint64, speed func(int) float64, noise float64) *streamLoad {
	l := &streamLoad{installation: newInstallation(30, 110), speed: speed, noise: noise, due: map[int][]func(){}}
	l.rng = rand.New(rand.NewPCG(seed, 1))
	for i := range l.owner {
		l.owner[i] = l.rng.IntN(30)
	}
	return l
}

// begin places a stream at the first free engine that its gateway prefers, or else at any. A prompt takes 1,040 ms and 140
// events take 3,640 ms at the nominal speed.
func (l *streamLoad) begin(at float64) {
	gateway, engine := l.rng.IntN(30), l.rng.IntN(110)
	for i, owner := range l.owner {
		if owner == gateway && l.free[i] <= at && (owner != l.owner[engine] || l.free[i] < l.free[engine]) {
			engine = i
		}
	}
	alone, factor := l.free[engine] <= at, l.speed(engine)
	l.free[engine] = max(at, l.free[engine]) + 1.04/factor
	sample := func(at float64, kind Kind) {
		round := int(math.Ceil(at / 0.2))
		l.due[round] = append(l.due[round], func() {
			l.books[gateway].Observe(Key{uint32(engine), 1}, kind, factor*(1+l.noise*(2*l.rng.Float64()-1)))
		})
	}
	if alone {
		sample(l.free[engine], Prefill)
	}
	for after := 2.0; after <= 3.64/factor; after += 2 {
		sample(l.free[engine]+after, Decode)
	}
}

// play plays the rounds up to one and returns the number of gateways that use speeds then, and in all rounds.
func (l *streamLoad) play(from, to int) (inUse, total int) {
	for round := from + 1; round <= to; round++ {
		for i := range 5 {
			l.begin((float64(round-1) + float64(i)/5) * 0.2)
		}
		for _, sample := range l.due[round] {
			sample()
		}
		for range 3 {
			l.now = l.now.Add(200 * time.Millisecond / 3)
			for _, b := range l.books {
				if other := l.books[l.rng.IntN(30)]; !l.cut {
					other.Merge(b.Export(l.now))
					b.Merge(other.Export(l.now))
				}
			}
		}
		inUse = 0
		for _, b := range l.books {
			b.Evaluate()
			if b.InUse("model") {
				inUse++
			}
		}
		total += inUse
	}
	return inUse, total
}

func alike(int) float64 { return 1 }

// Load pattern: 25 streams/s over 110 engines of 0.7 and 1.7 of the nominal speed, 30 gateways, noise of 50%, 20% and 5% on
// each sample. Guards against speeds that come into use only once single engines have many samples.
func TestUnevenEnginesAreUsedWithinFourSeconds(t *testing.T) {
	c := qt.New(t)
	for _, noise := range []float64{0.5, 0.2, 0.05} {
		total := 0
		for seed := range uint64(8) {
			l := newStreamLoad(seed, uneven, noise)
			inUse, _ := l.play(0, 20)
			total += inUse
			inUse, _ = l.play(20, 25)
			c.Check(inUse, qt.Equals, 30, qt.Commentf("noise %v, seed %d: not all gateways use speeds after 5 s", noise, seed))
		}
		c.Check(total*100 >= 8*30*95, qt.IsTrue, qt.Commentf("noise %v: %d of 240 gateways use speeds after 4 s", noise, total))
	}
}

// Load pattern: engines alike, noise of 50% on each sample. Guards against noise that counts as a difference, in a large
// installation from its start and in services of few instances.
func TestLikeEnginesAreUsedBySpeedOnceInAThousandEvaluations(t *testing.T) {
	c := qt.New(t)
	evaluations, used := 0, 0
	for seed := range uint64(10) {
		_, total := newStreamLoad(seed, alike, 0.5).play(0, 60)
		evaluations, used = evaluations+60*30, used+total
	}
	c.Check(used*1000 <= evaluations, qt.IsTrue, qt.Commentf("%d of %d evaluations under streams", used, evaluations))
	evaluations, used = 0, 0
	for _, n := range []int{2, 3, 5, 10, 30} {
		rng := rand.New(rand.NewPCG(uint64(n), 7))
		for range 500 {
			b := NewBook()
			b.SetInstances(instances(n))
			for range 100 {
				for range max(1, n/4) {
					b.Observe(Key{uint32(rng.IntN(n)), 1}, Kind(rng.IntN(2)), noisy(rng))
				}
				b.Evaluate()
				evaluations++
				if b.InUse("model") {
					used++
				}
			}
		}
	}
	c.Check(used*1000 <= evaluations, qt.IsTrue, qt.Commentf("%d of %d evaluations of few instances", used, evaluations))
}

// Load pattern: two engines, of 0.7 and 1.7 of the nominal speed. Guards against evidence that needs many instances.
func TestEightSamplesOfTwoInstancesSuffice(t *testing.T) {
	c := qt.New(t)
	used := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := NewBook()
		b.SetInstances(instances(2))
		for range 8 {
			b.Observe(Key{0, 1}, Prefill, 0.7*noisy(rng))
			b.Observe(Key{1, 1}, Prefill, 1.7*noisy(rng))
		}
		b.Evaluate()
		if b.InUse("model") {
			used++
		}
	}
	c.Check(used >= 95, qt.IsTrue, qt.Commentf("in use in %d of 100 services", used))
}

// Load pattern: uneven engines, one of which is replaced by one of another speed. Guards against a speed that is taken from a
// single sample, and against an instance without samples that changes what holds for the others.
func TestReplacedInstanceBeginsLikeTheOthers(t *testing.T) {
	c := qt.New(t)
	l := newStreamLoad(1, uneven, 0.5)
	l.play(0, 100)
	b, key := l.books[0], Key{2, 2}
	list := instances(110)
	list[2].Key = key
	b.SetInstances(list)
	b.Evaluate()
	c.Assert(b.InUse("model"), qt.IsTrue)
	c.Check(b.Speeds(key).Measured, qt.IsFalse)
	c.Check(b.Speeds(key).Relative, qt.Equals, 1.0)
	median := b.Speeds(key).Prefill
	b.Observe(key, Prefill, 1.7)
	b.Evaluate()
	after := b.Speeds(key).Prefill
	c.Check(after > median && after < math.Sqrt(1.7*median)*1.05, qt.IsTrue, qt.Commentf("%v after one sample of 1.7, median %v", after, median))
}

// Load pattern: the exchange between gateways is cut from the start. Guards against gateways that take their few samples
// for a difference of engines that are alike, and against uneven engines that a gateway alone never finds.
func TestGatewaysAloneFindUnevenEngines(t *testing.T) {
	c := qt.New(t)
	inUse := func(speed func(int) float64) int {
		l := newStreamLoad(1, speed, 0.5)
		l.cut = true
		n, _ := l.play(0, 300)
		return n
	}
	c.Check(inUse(alike), qt.Equals, 0)
	found := inUse(uneven)
	c.Check(found >= 24, qt.IsTrue, qt.Commentf("%d of 30 gateways use speeds after 60 s", found))
}

// BenchmarkEvaluate measures an evaluation at the target size of 1,100 engines.
func BenchmarkEvaluate(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	book := NewBook()
	book.SetInstances(instances(1100))
	for i := range 11000 {
		book.Observe(Key{uint32(i % 1100), 1}, Kind(i%2), uneven(i)*noisy(rng))
	}
	b.ReportAllocs()
	for b.Loop() {
		book.Evaluate()
	}
}
