package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// load is a gateway whose samples are due each 100 ms.
type load struct {
	m   *Monitor
	now time.Time
}

func newLoad(limits Limits) *load { return &load{NewMonitor(start, limits), start} }

// sample observes a sample that comes late by a delay. use is the fraction of one core that the process used.
func (l *load) sample(delay time.Duration, use float64) State {
	interval := 100*time.Millisecond + delay
	l.now = l.now.Add(interval)
	return l.m.Observe(&Sample{At: l.now, Delay: delay, Processor: time.Duration(use * float64(interval))})
}

// Guards against refusals by a gateway that uses all of a tenth of a core, with pauses of up to one period of its
// allowance and single longer ones, but keeps up.
func TestGatewayWithTenthOfCoreAmongLargeOnes(t *testing.T) {
	l, rng := newLoad(Limits{Processor: 0.1, Link: 1e6, Held: 1e6}), rand.New(rand.NewPCG(1, 1))
	for i := range 10_000 {
		delay := time.Duration(rng.Int64N(int64(95 * time.Millisecond)))
		if i%10 == 0 {
			delay = 400 * time.Millisecond
		}
		if state := l.sample(delay, 0.1); state.Reason != None {
			t.Fatalf("full (%v) after %d samples", state.Reason, i)
		}
	}
}

// Guards against a gateway that takes all of a burst and answers late, against a refusal without a time, and against
// a state that outlasts the burst or ends while the delay alternates.
func TestBurstOf900CallsAtTwentiethOfCore(t *testing.T) {
	c := qt.New(t)
	l := newLoad(Limits{Processor: 0.05})
	c.Check(l.sample(300*time.Millisecond, 0.05).Reason, qt.Equals, None, qt.Commentf("one late sample"))
	state := l.sample(900*time.Millisecond, 0.05)
	c.Check(state, qt.Equals, State{Processor, 1400 * time.Millisecond})
	c.Check(l.sample(20*time.Second, 0.05).Reason, qt.Equals, None, qt.Commentf("bound of the state"))
	l.sample(300*time.Millisecond, 0.05)
	c.Check(l.sample(300*time.Millisecond, 0.05).Reason, qt.Equals, None, qt.Commentf("0.8 s, as with a garbage collection"))
	c.Check(l.sample(300*time.Millisecond, 0.05).Reason, qt.Equals, Processor)
	for range 8 {
		l.sample(0, 0.05)
		c.Check(l.sample(150*time.Millisecond, 0.05).Reason, qt.Equals, Processor, qt.Commentf("not low for 500 ms"))
	}
	for range 6 {
		state = l.sample(0, 0.05)
	}
	c.Check(state, qt.Equals, State{}, qt.Commentf("low for 500 ms"))
}

// Guards against refusals by a gateway that was suspended and is late once more with what arrived meanwhile, and
// against one that is starved for long and takes everything.
func TestSuspendedGatewayThatWakes(t *testing.T) {
	c := qt.New(t)
	l := newLoad(Limits{Processor: 0.5})
	c.Check(l.sample(4*time.Second, 0.01).Reason, qt.Equals, None)
	c.Check(l.sample(300*time.Millisecond, 0.5).Reason, qt.Equals, None)
	c.Check(l.sample(50*time.Millisecond, 0.5).Reason, qt.Equals, None)
	for range 3 {
		c.Check(l.sample(time.Second, 0.01).Reason, qt.Equals, None)
	}
	c.Check(l.sample(time.Second, 0.01).Reason, qt.Equals, Starved)
}

// Guards against refusals for a short burst at the speed of the link or a short queue to slow readers, and against
// none for lasting ones. Without limits nothing is refused.
func TestFullLinkAndSlowReaders(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		limits  Limits
		sample  Sample
		samples int
		want    Reason
	}{
		{Limits{Link: 1e6}, Sample{Sent: 100_000}, 19, None},
		{Limits{Link: 1e6}, Sample{Sent: 100_000}, 20, Link},
		{Limits{Link: 1e6}, Sample{Sent: 90_000}, 100, None},
		{Limits{Held: 1e6}, Sample{Held: 950_000}, 1, None},
		{Limits{Held: 1e6}, Sample{Held: 950_000}, 2, Readers},
		{Limits{}, Sample{Delay: time.Minute, Processor: time.Second, Sent: 1 << 40, Held: 1 << 40}, 100, None},
	} {
		m := NewMonitor(start, test.limits)
		var state State
		for i := range test.samples {
			test.sample.At = start.Add(time.Duration(i+1) * 100 * time.Millisecond)
			state = m.Observe(&test.sample)
		}
		c.Check(state.Reason, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against a gateway without a known share of the processor that stays full because of its delay, which says
// nothing there.
func TestFullLinkEndsWithoutRegardToDelay(t *testing.T) {
	c := qt.New(t)
	m, at := NewMonitor(start, Limits{Link: 1e6}), start
	observe := func(sent int64) State {
		at = at.Add(100 * time.Millisecond)
		return m.Observe(&Sample{At: at, Sent: sent, Delay: 150 * time.Millisecond})
	}
	for range 20 {
		observe(100_000)
	}
	c.Assert(observe(100_000).Reason, qt.Equals, Link)
	for range 5 {
		c.Check(observe(0).Reason, qt.Equals, Link)
	}
	c.Check(observe(0).Reason, qt.Equals, None)
}
