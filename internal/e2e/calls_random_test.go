package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// faultKinds is the number of kinds of randomFault. A run injects each kind twice, in
	// random order.
	faultKinds    = 11
	randomCallers = 12
	// callTimeout is how long a caller waits before it disconnects and retries.
	callTimeout = 2500 * time.Millisecond
)

// callerLoop sends calls until ctx ends. Several callers use the same key and retry it
// through either entry.
func (c *callChecker) callerLoop(ctx context.Context, random *rand.Rand, prefix string, currentRound func() int) {
	for ctx.Err() == nil {
		key := fmt.Sprintf("%s-%d", prefix, max(0, currentRound()+random.IntN(8)-5))
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		c.send(callCtx, fmt.Sprintf("entry%d", random.IntN(2)), key)
		cancel()
	}
}

// randomFault injects one fault and returns the function that ends it.
func (c *callChecker) randomFault(random *rand.Rand, kind int) func() {
	entry := fmt.Sprintf("entry%d", random.IntN(2))
	onStore := func(on, off map[string]any) func() {
		c.control("platform", on)
		return func() { c.control("platform", off) }
	}
	onApp := func(on map[string]any) func() { c.control("app0", on); return func() {} }
	switch kind {
	case 0, 1:
		c.processes[entry].signal(syscall.SIGSTOP)
		return func() { c.processes[entry].signal(syscall.SIGCONT) }
	case 2:
		c.processes[entry].kill()
		return func() { c.restart(entry) }
	case 3:
		// An entry reports the store failure after 1.5 s, at the first retry after its
		// time limit for store errors.
		defer time.Sleep(1800 * time.Millisecond)
		return onStore(map[string]any{"outage": true}, map[string]any{"outage": false})
	case 4, 5:
		return onStore(map[string]any{"drop_answers": 1 + random.IntN(3)}, map[string]any{})
	case 6:
		return onStore(map[string]any{"delay_ms": 50 + random.IntN(1200)}, map[string]any{"delay_ms": 0})
	case 7:
		return onApp(map[string]any{"delay_ms": random.IntN(300), "close_after_run": 1, "close_before_run": random.IntN(2)})
	case 8:
		return onApp(map[string]any{"delay_ms": random.IntN(50), "hang_after_run": 1})
	case 9:
		c.processes["agent-app0"].kill()
		return func() { c.restart("agent-app0") }
	}
	// A frozen engine starts no run between the read of its counter and the kill.
	c.control("app0", map[string]any{"freeze": true, "delay_ms": 0})
	c.killApp()
	return func() { c.restart("app0") }
}

// Guards against a second run and a false "not run" response under combinations of kills,
// pauses, outages, lost responses and retries that TestCallSurvivesFaultAtEachStage does
// not cover.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(startCalls(t, "entry0", "entry1"), rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func runRandomFaults(c *callChecker, random *rand.Rand) {
	ctx, stop := context.WithCancel(c.t.Context())
	var group sync.WaitGroup
	var mu sync.Mutex
	round := 0
	currentRound := func() int { mu.Lock(); defer mu.Unlock(); return round }
	for range randomCallers {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() { c.callerLoop(ctx, callerRandom, "k", currentRound) })
	}
	for _, kind := range slices.Concat(random.Perm(faultKinds), random.Perm(faultKinds)) {
		end := c.randomFault(random, kind)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		end()
		mu.Lock()
		round++
		mu.Unlock()
	}
	stop()
	group.Wait()
	c.control("app0", map[string]any{"delay_ms": 0, "hang_after_run": 0, "close_after_run": 0, "close_before_run": 0})
	c.retryAllUntilFinal()
	c.check()
}

// retryAllUntilFinal retries every key through both entries until its outcome is final.
func (c *callChecker) retryAllUntilFinal() {
	var group sync.WaitGroup
	keys := make([]string, 0, len(c.responses))
	for key := range c.responses {
		keys = append(keys, key)
	}
	for _, key := range keys {
		group.Go(func() { c.retryUntilFinal("entry0", key); c.retryUntilFinal("entry1", key) })
	}
	group.Wait()
	codes := map[string]int{}
	for _, responses := range c.responses {
		for _, r := range responses {
			codes[r.code.String()]++
		}
	}
	c.t.Logf("%d keys, responses %v", len(keys), codes)
}
