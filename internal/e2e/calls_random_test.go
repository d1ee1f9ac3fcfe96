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
	// faultKinds are the kinds of randomFault; a run causes each twice in random order.
	faultKinds    = 11
	randomCallers = 12
	// callerPatience is how long a caller waits before it leaves and repeats elsewhere.
	callerPatience = 2500 * time.Millisecond
)

// callerLoop sends calls until ctx ends; a key is used by several callers and repeated
// through either entry.
func (j *judge) callerLoop(ctx context.Context, random *rand.Rand, prefix string, window func() int) {
	for ctx.Err() == nil {
		key := fmt.Sprintf("%s-%d", prefix, max(0, window()+random.IntN(8)-5))
		patient, cancel := context.WithTimeout(ctx, callerPatience)
		j.send(patient, fmt.Sprintf("entry%d", random.IntN(2)), key)
		cancel()
	}
}

// randomFault causes one fault and returns what ends it.
func (j *judge) randomFault(random *rand.Rand, kind int) func() {
	entry := fmt.Sprintf("entry%d", random.IntN(2))
	onStore := func(on, off map[string]any) func() {
		j.control("platform", on)
		return func() { j.control("platform", off) }
	}
	onApp := func(on map[string]any) func() { j.control("app0", on); return func() {} }
	switch kind {
	case 0, 1:
		j.processes[entry].signal(syscall.SIGSTOP)
		return func() { j.processes[entry].signal(syscall.SIGCONT) }
	case 2:
		j.processes[entry].kill()
		return func() { j.restart(entry) }
	case 3:
		// An entry answers 1.5 s after the store failed, at the first try after its patience.
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
		j.processes["agent-app0"].kill()
		return func() { j.restart("agent-app0") }
	}
	// A frozen engine begins no run between the read of its counter and its end.
	j.control("app0", map[string]any{"freeze": true, "delay_ms": 0})
	j.killApp()
	return func() { j.restart("app0") }
}

// Guards against a second run and a false "not run" under combinations of kills, pauses,
// outages, lost answers and repeats that the single faults do not reach.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandom(startCalls(t, "entry0", "entry1"), rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func runRandom(j *judge, random *rand.Rand) {
	ctx, stop := context.WithCancel(j.t.Context())
	var group sync.WaitGroup
	var mu sync.Mutex
	step := 0
	window := func() int { mu.Lock(); defer mu.Unlock(); return step }
	for range randomCallers {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() { j.callerLoop(ctx, own, "k", window) })
	}
	for _, kind := range slices.Concat(random.Perm(faultKinds), random.Perm(faultKinds)) {
		end := j.randomFault(random, kind)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		end()
		mu.Lock()
		step++
		mu.Unlock()
	}
	stop()
	group.Wait()
	j.control("app0", map[string]any{"delay_ms": 0, "hang_after_run": 0, "close_after_run": 0, "close_before_run": 0})
	j.settleAll()
	j.check()
}

// settleAll repeats every key through both entries until its outcome is final.
func (j *judge) settleAll() {
	var group sync.WaitGroup
	keys := make([]string, 0, len(j.replies))
	for key := range j.replies {
		keys = append(keys, key)
	}
	for _, key := range keys {
		group.Go(func() { j.settle("entry0", key); j.settle("entry1", key) })
	}
	group.Wait()
	codes := map[string]int{}
	for _, replies := range j.replies {
		for _, r := range replies {
			codes[r.code.String()]++
		}
	}
	j.t.Logf("%d keys, answers %v", len(keys), codes)
}
