package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_800_000_000, 0)

// noisy returns a factor with noise of up to 50%.
func noisy(rng *rand.Rand) float64 { return 0.5 + rng.Float64() }

func instances(n int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		list[i] = Instance{Key{uint32(i), 1}, "model"}
	}
	return list
}

// installation is a number of gateways that exchange estimates.
type installation struct {
	rng   *rand.Rand
	books []*Book
	now   time.Time
}

func newInstallation(gateways, engines int) *installation {
	in := &installation{rng: rand.New(rand.NewPCG(1, 2)), now: start}
	for range gateways {
		b := NewBook()
		b.SetInstances(instances(engines))
		in.books = append(in.books, b)
	}
	return in
}

// second lets each engine give one sample of its speed to a random gateway, and each gateway exchange five
// times with another one.
func (in *installation) second(speed func(engine int) float64, engines int) {
	for round := range 5 {
		for i := range engines {
			if i%5 == round {
				in.books[in.rng.IntN(len(in.books))].Observe(Key{uint32(i), 1}, Prefill, speed(i))
			}
		}
		in.now = in.now.Add(200 * time.Millisecond)
		for _, b := range in.books {
			other := in.books[in.rng.IntN(len(in.books))]
			other.Merge(b.Export(in.now))
			b.Merge(other.Export(in.now))
		}
	}
	for _, b := range in.books {
		b.Evaluate()
	}
}

func uneven(i int) float64 {
	if i%3 == 2 {
		return 1.7
	}
	return 0.7
}

// Guards against estimates that each gateway can only make from its own few samples, and against the
// loss of what a lost gateway has measured.
func TestThirtyGatewaysLearnUnevenEnginesFromFewSamplesEach(t *testing.T) {
	c := qt.New(t)
	const gateways, engines = 30, 110
	in := newInstallation(gateways, engines)
	for range 60 {
		// Two samples of each engine for each gateway.
		in.second(func(i int) float64 { return uneven(i) * noisy(in.rng) }, engines)
	}
	for _, b := range in.books[10:] {
		c.Check(b.InUse("model"), qt.IsTrue)
		off := 0
		for i := range engines {
			if math.Abs(math.Log(b.Speeds(Key{uint32(i), 1}).Prefill/uneven(i))) > math.Log(1.25) {
				off++
			}
		}
		c.Check(off <= 5, qt.IsTrue, qt.Commentf("%d of %d estimates are off by more than 25%%", off, engines))
	}
	newcomer := NewBook()
	newcomer.SetInstances(instances(engines))
	in.books = append(in.books, newcomer)
	for range 15 {
		in.second(func(i int) float64 { return uneven(i) }, engines)
	}
	c.Check(newcomer.InUse("model"), qt.IsTrue, qt.Commentf("a gateway that started later does not know the speeds"))
	for i := range engines {
		c.Check(newcomer.Speeds(Key{uint32(i), 1}).Measured, qt.IsTrue)
	}
}

// Guards against speeds that come into use because of noise, and against use that begins and ends in turn.
func TestEnginesAlikeKeepSpeedsOutOfUse(t *testing.T) {
	c := qt.New(t)
	in := newInstallation(30, 110)
	for range 120 {
		in.second(func(int) float64 { return 0.8 + 0.4*in.rng.Float64() }, 110)
		for _, b := range in.books {
			c.Assert(b.InUse("model"), qt.IsFalse)
		}
	}
	b := NewBook()
	b.SetInstances(instances(2))
	// hear merges the estimates of another gateway, in steps that change them little, up to a ratio and a number of samples.
	at, heard := 1.0, uint32(0)
	hear := func(ratio float64, samples uint32, steps float64) bool {
		begin, count := at, heard
		for i := 1.0; i <= steps; i++ {
			at, heard = begin*math.Pow(ratio/begin, i/steps), count+uint32(float64(samples-count)*i/steps)
			b.Merge([]Record{{Key{0, 1}, [2]Estimate{{1, heard}, {1, heard}}}, {Key{1, 1}, [2]Estimate{{at, heard}, {at, heard}}}})
		}
		b.Evaluate()
		return b.InUse("model")
	}
	c.Check(hear(1.5, 7, 1), qt.IsFalse)
	c.Check(hear(1.2, 20, 1), qt.IsFalse)
	// Noise of 50% on 30 samples explains 1.26 once in 250 evaluations, and nothing shows less noise yet.
	c.Check(hear(1.26, 30, 1), qt.IsFalse)

	b = NewBook()
	b.SetInstances(instances(2))
	at, heard = 1.2, 0
	c.Check(hear(1.2, 20, 20), qt.IsFalse)
	c.Check(hear(1.26, 60, 40), qt.IsTrue)
	c.Check(hear(1.17, 100, 40), qt.IsTrue)
	c.Check(hear(1.1, 160, 60), qt.IsFalse)
}

// Guards against an estimate that keeps sending work to an engine that has become slow, and against one that
// follows single samples.
func TestFastEngineThatTurnsSlowIsFollowedAndNoiseIsNot(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	b := NewBook()
	b.SetInstances(instances(1))
	key := Key{0, 1}
	for range 100 {
		b.Observe(key, Prefill, 1.7)
	}
	value := func() float64 { return b.entries[key].estimates[Prefill].export().Speed }
	for _, outlier := range []float64{0.5, 1.5, 0.25 / 1.7, 4 / 1.7} {
		before := value()
		b.Observe(key, Prefill, 1.7*outlier)
		c.Check(math.Abs(value()/before-1) < 0.1, qt.IsTrue, qt.Commentf("one sample of %v moved %v to %v", outlier, before, value()))
	}
	off := 0
	for range 2000 {
		b.Observe(key, Prefill, 1.7*noisy(rng))
		if math.Abs(math.Log(value()/1.7)) > math.Log(1.2) {
			off++
		}
	}
	c.Check(off < 100, qt.IsTrue, qt.Commentf("%d of 2000 estimates under noise are off by more than 20%%", off))
	for range 12 {
		b.Observe(key, Prefill, 0.7*(0.9+0.2*rng.Float64()))
	}
	c.Check(value() < 0.7*1.25, qt.IsTrue, qt.Commentf("%v after 12 samples of 0.7", value()))

	// The samples of the slow engine come to different gateways.
	in := newInstallation(30, 10)
	for range 30 {
		in.second(func(int) float64 { return 1.7 * (0.9 + 0.2*in.rng.Float64()) }, 10)
	}
	for range 14 {
		in.second(func(i int) float64 {
			if i == 0 {
				return 0.7
			}
			return 1.7
		}, 10)
	}
	followed := 0
	for _, book := range in.books {
		if book.Speeds(key).Prefill < 1 {
			followed++
		}
	}
	c.Check(followed >= 25, qt.IsTrue, qt.Commentf("%d of 30 gateways follow after 14 samples", followed))
}

// Guards against the speed of an instance being taken for that of its successor at the same address or under the
// same ID.
func TestReplacedInstanceHasNoEstimate(t *testing.T) {
	c := qt.New(t)
	b := NewBook()
	b.SetInstances(instances(3))
	for range 10 {
		b.Observe(Key{0, 1}, Prefill, 1.7)
	}
	list := instances(3)
	list[0].Start = 2
	b.SetInstances(list)
	b.Evaluate()
	c.Check(b.Speeds(Key{0, 2}).Measured, qt.IsFalse)
	c.Check(b.Observe(Key{0, 1}, Prefill, 1.7), qt.Equals, Unknown)
	b.Merge([]Record{{Key{0, 1}, [2]Estimate{{1.7, 100}}}})
	c.Check(b.Speeds(Key{0, 2}).Measured, qt.IsFalse, qt.Commentf("a late message revived the old instance's speed"))
}

// Guards against samples and reports that no engine can cause, and against the loss of the sound ones beside them.
func TestImpossibleValuesAreIgnored(t *testing.T) {
	c := qt.New(t)
	b := NewBook()
	b.SetInstances(instances(3))
	for _, speed := range []float64{0, -1, 0.2, 4.1, math.Inf(1), math.NaN()} {
		c.Check(b.Observe(Key{0, 1}, Prefill, speed), qt.Equals, OutOfRange)
	}
	c.Check(b.Merge([]Record{
		{Key{0, 1}, [2]Estimate{{100, 5}, {0, 3}}},
		{Key{1, 1}, [2]Estimate{{1.5, 1 << 31}, {}}},
		{Key{2, 1}, [2]Estimate{{1.5, 9}, {}}},
	}), qt.Equals, 3)
	c.Check(b.Speeds(Key{0, 1}).Measured, qt.IsFalse)
	c.Check(b.Speeds(Key{2, 1}).Measured, qt.IsTrue)
	for i := range 3 {
		b.Observe(Key{uint32(i), 1}, Decode, 1)
	}
	b.Evaluate()
	c.Check(b.Observe(Key{0, 1}, Decode, 5), qt.Equals, OutOfRange)
}

// Guards against messages that grow with the installation: at 370 gateways and 1,100 engines, a gateway has
// 8 KB/s for all control.
func TestRecordsAreBoundedAtTargetSize(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	b := NewBook()
	b.SetInstances(instances(1100))
	total, waited := 0, map[Key]int{}
	for i := range 110 {
		for k := range 1100 {
			b.Observe(Key{uint32(k), 1}, Prefill, noisy(rng))
		}
		records := b.Export(start.Add(time.Duration(i) * 90 * time.Millisecond))
		c.Assert(len(records) <= MaxRecords, qt.IsTrue)
		total += len(records)
		for _, r := range records {
			waited[r.Key]++
		}
	}
	c.Check(total <= MaxRecords+10*maxRecordsPerSecond, qt.IsTrue, qt.Commentf("%d records in 10 s", total))
	c.Check(len(waited) > 1000, qt.IsTrue, qt.Commentf("%d instances in 10 s: those unsent for longest are not first", len(waited)))
}

// Guards against gaps that measure the delays of this process, of its clients or of prompts read beside the stream.
func TestGapsSurviveBurstsAndPrompts(t *testing.T) {
	c := qt.New(t)
	var g Gaps
	at := time.Millisecond
	for i := range 80 {
		switch {
		case i%10 < 4:
			// A prompt is read beside the stream.
			at += 150 * time.Millisecond
		case i%10 == 8:
			// The client took the last event late, and the next had arrived meanwhile.
			g.SkipNext()
			at += 3 * time.Millisecond
		case i%10 == 9:
			// The events of 120 ms arrive at once.
			at += 120 * time.Millisecond
			for range 3 {
				g.Add(at)
			}
		default:
			at += 30 * time.Millisecond
		}
		g.Add(at)
	}
	gap, ok := g.Summary()
	c.Check(ok, qt.IsTrue)
	c.Check(gap, qt.Equals, 30*time.Millisecond)
	_, ok = g.Summary()
	c.Check(ok, qt.IsFalse)
}

func BenchmarkGapsAdd(b *testing.B) {
	var g Gaps
	at := time.Millisecond
	for b.Loop() {
		at += 30 * time.Millisecond
		g.Add(at)
	}
}

// BenchmarkExport measures a message at the target size of 1,100 engines.
func BenchmarkExport(b *testing.B) {
	book := NewBook()
	book.SetInstances(instances(1100))
	for i := range 1100 {
		for range 10 {
			book.Observe(Key{uint32(i), 1}, Prefill, uneven(i))
		}
	}
	at := start
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(90 * time.Millisecond)
		book.Export(at)
	}
}

// Load pattern: 110 engines alike, each estimate of which is off by some 8%. Guards against speeds that come into use
// because the extremes of many noisy estimates differ.
func TestNoiseOfManyAlikeEnginesIsNoDifference(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewBook()
	var instances []Instance
	var records []Record
	for i := range 110 {
		key := Key{Target: uint32(i)}
		instances = append(instances, Instance{key, "s"})
		e := Estimate{Speed: math.Exp(0.08 * rng.NormFloat64()), Samples: 50}
		records = append(records, Record{Key: key, Estimates: [2]Estimate{e, e}})
	}
	b.SetInstances(instances)
	c.Check(b.Merge(records), qt.Equals, 0)
	b.Evaluate()
	c.Check(b.InUse("s"), qt.IsFalse)
	for i := range 20 {
		records[i].Estimates[Prefill].Speed, records[i].Estimates[Prefill].Samples = 1.4, 60
	}
	b.Merge(records)
	b.Evaluate()
	c.Check(b.InUse("s"), qt.IsTrue, qt.Commentf("a fifth of the engines is faster"))
}
