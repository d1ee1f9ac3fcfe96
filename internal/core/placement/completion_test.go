package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load pattern: all gateways lose power. Their callers return 18 s later, most of them with two to four seconds
// left, and their copies have expired, so that a prompt is read for a second and the rest of the stream takes two
// to four more. Guards against prompts that are read for streams that cannot end in time, and against rejecting
// those that can: the lengths and speeds are those of the users' large site, of which one stream in a hundred is
// rejected at most although it would have ended in time.
func TestReturningStreamsThatCannotEnd(t *testing.T) {
	c := qt.New(t)
	const maxTokens = 1080
	rng := rand.New(rand.NewPCG(1, 7))
	length := func() int { return min(180, 95+int(40*rng.ExpFloat64())) }
	interval := func() time.Duration { return time.Duration((28 + 30*rng.Float64()) * float64(time.Millisecond)) }
	var completion Completion
	c.Check(completion.Least(maxTokens, 0), qt.Equals, time.Duration(0))
	for range 10 {
		n := length()
		completion.Observe(maxTokens, n, time.Duration(n-1)*interval())
	}
	wronglyRejected, lost, rejectedOfLost := 0, 0, 0
	const streams = 3000
	for range streams {
		n := length()
		after := rng.IntN(n)
		left := time.Duration(rng.Float64() * 5 * float64(time.Second))
		const prefill = time.Second
		ends := prefill+time.Duration(n-after-1)*interval() <= left
		rejected := prefill+completion.Least(maxTokens, uint64(after)) > left
		switch {
		case ends && rejected:
			wronglyRejected++
		case !ends:
			lost++
			if rejected {
				rejectedOfLost++
			}
		}
	}
	c.Check(wronglyRejected <= streams/100, qt.IsTrue, qt.Commentf("%d of %d", wronglyRejected, streams))
	c.Check(rejectedOfLost >= lost/3, qt.IsTrue, qt.Commentf("%d of %d", rejectedOfLost, lost))
	t.Logf("%d wrongly rejected; %d of %d that cannot end rejected", wronglyRejected, rejectedOfLost, lost)
}

// Guards against estimates from requests without a size, and from streams without a duration.
func TestCompletionIgnoresUnknownSizes(t *testing.T) {
	c := qt.New(t)
	var completion Completion
	for range 10 {
		completion.Observe(0, 100, time.Second)
		completion.Observe(100, 1, time.Second)
		completion.Observe(100, 100, 0)
	}
	c.Check(completion.Least(100, 0), qt.Equals, time.Duration(0))
	for range 10 {
		completion.Observe(100, 100, 10*time.Second)
	}
	c.Check(completion.Least(0, 0), qt.Equals, time.Duration(0))
	c.Check(completion.Least(100, 200), qt.Equals, time.Duration(0))
	c.Check(completion.Least(100, 0) > 9*time.Second, qt.IsTrue)
}
