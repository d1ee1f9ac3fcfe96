package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
	"bramleygap/internal/result"
)

// metric sums the samples of a metric of a process over all labels.
func (in *installation) metric(process, name string) (sum float64) {
	in.t.Helper()
	response, err := http.Get("http://" + in.address[process+"-admin"] + "/metrics")
	qt.Assert(in.t, err, qt.IsNil)
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		series, value, _ := strings.Cut(lines.Text(), " ")
		if series == name || strings.HasPrefix(series, name+"{") {
			n, err := strconv.ParseFloat(value, 64)
			qt.Assert(in.t, err, qt.IsNil)
			sum += n
		}
	}
	return sum
}

// generationResult is one generation request with its outcome.
type generationResult struct {
	request client.CompletionRequest
	got     *client.Completion
	err     error
}

// callers send generations in a closed loop until stopped.
type callers struct {
	started atomic.Int64 // generations whose first text arrived
	refused atomic.Int64
	serial  *atomic.Int64
	tokens  int
	stopped chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []generationResult
}

func newCallers(tokens int, serial *atomic.Int64) *callers {
	return &callers{tokens: tokens, serial: serial, stopped: make(chan struct{})}
}

func (c *callers) run(ctx context.Context, in *installation, n int, key, entry string) {
	caller := &client.Client{BaseURL: "http://" + in.address[entry], Key: key}
	for range n {
		c.group.Go(func() {
			for {
				select {
				case <-c.stopped:
					return
				default:
					c.sendOne(ctx, caller)
				}
			}
		})
	}
}

// sendOne sends a generation with a unique prompt. Refused generations are only counted.
func (c *callers) sendOne(ctx context.Context, caller *client.Client) {
	request := completion(fmt.Sprintf("letter %d", c.serial.Add(1)))
	request.MaxTokens = c.tokens
	got := &client.Completion{}
	err := caller.Complete(ctx, request, got, func(received *client.Completion) bool {
		if received.Chunks == 1 {
			c.started.Add(1)
		}
		return true
	})
	var failure *client.APIError
	if errors.As(err, &failure) && got.Chunks == 0 && failure.Class == "not-run" {
		c.refused.Add(1)
		time.Sleep(100 * time.Millisecond)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, generationResult{request, got, err})
}

// finish stops the callers and asserts that each generation that ran was received intact.
func (c *callers) finish(in *installation) {
	in.t.Helper()
	close(c.stopped)
	c.group.Wait()
	for _, r := range c.results {
		qt.Assert(in.t, r.err, qt.IsNil, qt.Commentf("%s", r.request.Prompt))
		in.assertIntact(r.got, "v1", r.request)
	}
}

// Guards against a member that floods one entry, or all entries during a store outage, and
// takes the slots of a member within its share; and against a preempted generation that is
// not resumed or not intact.
func TestMemberKeepsShareDuringFlood(t *testing.T) {
	t.Parallel()
	const engines, slots = 3, 4
	in := startInstallationWith(t, engineOptions{version: "v1", extra: []string{"--slots", fmt.Sprint(slots)}}, engines, "", "entry0", "entry1")
	serial := &atomic.Int64{}
	flood := newCallers(400, serial)
	preempted := func() (sum float64) {
		for i := range engines {
			sum += in.metric(fmt.Sprintf("agent-engine%d", i), "bramleygap_agent_preempted_total")
		}
		return sum
	}
	for i, entry := range []string{"entry0", "entry1"} {
		flood.run(t.Context(), in, 5*slots, "clerk-key", entry)
		startedBefore := flood.started.Load() + int64(i)*engines*slots
		in.eventually("the flood fills the engines", func() bool { return flood.started.Load() >= startedBefore+engines*slots*int64(1-i)+int64(i) })
		if i == 1 {
			in.control("platform", map[string]any{"outage": true})
		}
		before := preempted()
		withinShare := newCallers(100, serial)
		var startedMeanwhile []int64
		var mu sync.Mutex
		for j := range engines {
			withinShare.group.Go(func() {
				caller := &client.Client{BaseURL: "http://" + in.address[fmt.Sprintf("entry%d", j%2)], Key: "planner-key"}
				startedAtSend := flood.started.Load()
				withinShare.sendOne(t.Context(), caller)
				mu.Lock()
				defer mu.Unlock()
				startedMeanwhile = append(startedMeanwhile, flood.started.Load()-startedAtSend)
			})
		}
		withinShare.finish(in)
		t.Logf("flood through %d entries: %v flood generations started before the other member's generations ended; %v preempted, %d refused",
			i+1, startedMeanwhile, preempted()-before, flood.refused.Load())
		qt.Assert(t, len(withinShare.results), qt.Equals, engines, qt.Commentf("a generation of the member within its share was refused"))
		for _, n := range startedMeanwhile {
			// With fair queueing, the flood fills the slots of the pool at most once more.
			qt.Assert(t, n <= engines*slots, qt.IsTrue, qt.Commentf("%d flood generations started", n))
		}
	}
	qt.Assert(t, preempted() > 0, qt.IsTrue)
	flood.finish(in)
}

// startCrashable starts an installation whose engines crash on prompts that contain crashMarker.
func startCrashable(t *testing.T, engines int) *installation {
	return startInstallationWith(t, crashableOptions, engines, "", "entry0", "entry1", "entry2")
}

const crashMarker = "crash-marker"

var crashableOptions = engineOptions{version: "v1", extra: []string{"--crash-marker", crashMarker, "--slots", "8"}}

// restartCrashed restarts the engines that exited and returns their number.
func (in *installation) restartCrashed(engines int) (crashed int) {
	for i := range engines {
		name := fmt.Sprintf("engine%d", i)
		select {
		case <-in.processes[name].exited:
			crashed++
			in.startEngine(name, crashableOptions)
		default:
		}
	}
	return crashed
}

// Guards against a request that crashes more than three engines when it is sent through
// several entries, and against concurrent generations that are lost or refused.
func TestCrashingRequestThroughEachEntry(t *testing.T) {
	t.Parallel()
	const engines = 6
	in := startCrashable(t, engines)
	background := newCallers(200, &atomic.Int64{})
	for i := range 3 {
		background.run(t.Context(), in, 6, "planner-key", fmt.Sprintf("entry%d", i))
	}
	in.eventually("background generations have started", func() bool { return background.started.Load() >= 18 })
	crashed := 0
	for round := range 6 {
		caller, failure := in.caller(fmt.Sprintf("entry%d", round%3)), make(chan error, 1)
		got := &client.Completion{}
		ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
		defer cancel()
		go func() { failure <- caller.Complete(ctx, completion(crashMarker), got, nil) }()
		var err error
		for waiting := true; waiting; {
			select {
			case err = <-failure:
				waiting = false
			case <-time.After(20 * time.Millisecond):
			}
			crashed += in.restartCrashed(engines)
		}
		var refusal *client.APIError
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		want := result.CrashesTargets
		if got.Chunks > 0 {
			want = result.CrashedMidway
		}
		qt.Assert(t, refusal.Code, qt.Equals, uint32(want), qt.Commentf("round %d: %v", round, refusal))
	}
	qt.Assert(t, crashed <= 3, qt.IsTrue, qt.Commentf("%d engines crashed", crashed))
	qt.Assert(t, crashed > 0, qt.IsTrue)
	background.finish(in)
	qt.Assert(t, background.refused.Load(), qt.Equals, int64(0))
	t.Logf("%d engines crashed, %d background generations intact", crashed, len(background.results))
}

// Guards against requests that become suspects because they were interrupted by a zone failure.
func TestZoneLossCreatesNoSuspects(t *testing.T) {
	t.Parallel()
	const engines = 6
	in := startCrashable(t, engines)
	background := newCallers(300, &atomic.Int64{})
	for i := range 3 {
		background.run(t.Context(), in, 6, "planner-key", fmt.Sprintf("entry%d", i))
	}
	in.eventually("generations have started in all zones", func() bool { return background.started.Load() >= 18 })
	for _, kind := range []string{"agent-engine", "engine"} {
		for i := 0; i < engines; i += 3 {
			in.processes[kind+strconv.Itoa(i)].signal(syscall.SIGKILL)
		}
	}
	for finished := 0; finished < 36; {
		for i := range 3 {
			qt.Assert(t, in.metric(fmt.Sprintf("entry%d", i), "bramleygap_router_suspects"), qt.Equals, 0.0)
		}
		time.Sleep(20 * time.Millisecond)
		background.mu.Lock()
		finished = len(background.results)
		background.mu.Unlock()
	}
	background.finish(in)
	qt.Assert(t, background.refused.Load(), qt.Equals, int64(0))
}
