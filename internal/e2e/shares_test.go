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

// answered is one generation with its answer.
type answered struct {
	request client.CompletionRequest
	got     *client.Completion
	err     error
}

// callers send generations in a closed loop until stopped.
type callers struct {
	started atomic.Int64 // generations whose first text arrived
	refused atomic.Int64
	serial  *atomic.Int64
	length  int
	stopped chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []answered
}

func newCallers(length int, serial *atomic.Int64) *callers {
	return &callers{length: length, serial: serial, stopped: make(chan struct{})}
}

func (c *callers) run(ctx context.Context, in *installation, n int, key, entry string) {
	from := &client.Client{BaseURL: "http://" + in.address[entry], Key: key}
	for range n {
		c.group.Go(func() {
			for {
				select {
				case <-c.stopped:
					return
				default:
					c.one(ctx, from)
				}
			}
		})
	}
}

// one sends a generation that no other has the content of. Refused ones are counted.
func (c *callers) one(ctx context.Context, from *client.Client) {
	request := completion(fmt.Sprintf("letter %d", c.serial.Add(1)))
	request.MaxTokens = c.length
	got := &client.Completion{}
	err := from.Complete(ctx, request, got, func(received *client.Completion) bool {
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
	c.answers = append(c.answers, answered{request, got, err})
}

// finish stops the callers and asserts that each generation that ran arrived whole.
func (c *callers) finish(in *installation) {
	in.t.Helper()
	close(c.stopped)
	c.group.Wait()
	for _, a := range c.answers {
		qt.Assert(in.t, a.err, qt.IsNil, qt.Commentf("%s", a.request.Prompt))
		in.assertWhole(a.got, "v1", a.request)
	}
}

// Guards against a member that floods one entry, or all during a store outage, and keeps
// another one within its share from its slots; and against a preempted generation that is
// not resumed or not whole.
func TestFloodLeavesOtherMemberItsShare(t *testing.T) {
	t.Parallel()
	const engines, slots = 3, 4
	in := startWith(t, engineOptions{version: "v1", extra: []string{"--slots", fmt.Sprint(slots)}}, engines, "", "entry0", "entry1")
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
		filled := flood.started.Load() + int64(i)*engines*slots
		in.eventually("the flood fills the engines", func() bool { return flood.started.Load() >= filled+engines*slots*int64(1-i)+int64(i) })
		if i == 1 {
			in.control("platform", map[string]any{"outage": true})
		}
		before := preempted()
		modest := newCallers(100, serial)
		var others []int64
		var mu sync.Mutex
		for j := range engines {
			modest.group.Go(func() {
				from := &client.Client{BaseURL: "http://" + in.address[fmt.Sprintf("entry%d", j%2)], Key: "planner-key"}
				sent := flood.started.Load()
				modest.one(t.Context(), from)
				mu.Lock()
				defer mu.Unlock()
				others = append(others, flood.started.Load()-sent)
			})
		}
		modest.finish(in)
		t.Logf("flood through %d entries: %v generations of the flood began until the other member's ended; %v preempted, %d refused",
			i+1, others, preempted()-before, flood.refused.Load())
		qt.Assert(t, len(modest.answers), qt.Equals, engines, qt.Commentf("none is refused"))
		for _, n := range others {
			// With fair queueing the flood gets at most one more turn of the pool.
			qt.Assert(t, n <= engines*slots, qt.IsTrue, qt.Commentf("%d began", n))
		}
	}
	qt.Assert(t, preempted() > 0, qt.IsTrue)
	flood.finish(in)
}

// startCrashable starts engines that crash on prompts with the marker.
func startCrashable(t *testing.T, engines int) *installation {
	return startWith(t, crashable, engines, "", "entry0", "entry1", "entry2")
}

const marker = "crash-marker"

var crashable = engineOptions{version: "v1", extra: []string{"--crash-marker", marker, "--slots", "8"}}

// restartCrashed restarts the engines that exited and returns how many.
func (in *installation) restartCrashed(engines int) (crashed int) {
	for i := range engines {
		name := fmt.Sprintf("engine%d", i)
		select {
		case <-in.processes[name].exited:
			crashed++
			in.startEngine(name, crashable)
		default:
		}
	}
	return crashed
}

// Guards against a request that crashes more than three engines by way of several entries,
// and against generations beside it that are lost or refused.
func TestCrashingRequestThroughEachEntry(t *testing.T) {
	t.Parallel()
	const engines = 6
	in := startCrashable(t, engines)
	beside := newCallers(200, &atomic.Int64{})
	for i := range 3 {
		beside.run(t.Context(), in, 6, "planner-key", fmt.Sprintf("entry%d", i))
	}
	in.eventually("generations run beside it", func() bool { return beside.started.Load() >= 18 })
	crashed := 0
	for round := range 6 {
		from, failure := in.caller(fmt.Sprintf("entry%d", round%3)), make(chan error, 1)
		got := &client.Completion{}
		ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
		defer cancel()
		go func() { failure <- from.Complete(ctx, completion(marker), got, nil) }()
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
	qt.Assert(t, crashed <= 3, qt.IsTrue, qt.Commentf("%d engines lost", crashed))
	qt.Assert(t, crashed > 0, qt.IsTrue)
	beside.finish(in)
	qt.Assert(t, beside.refused.Load(), qt.Equals, int64(0))
	t.Logf("%d engines lost, %d generations beside it whole", crashed, len(beside.answers))
}

// Guards against the loss of a zone that turns the requests it interrupted into suspects.
func TestLostZoneMakesNoSuspects(t *testing.T) {
	t.Parallel()
	const engines = 6
	in := startCrashable(t, engines)
	beside := newCallers(300, &atomic.Int64{})
	for i := range 3 {
		beside.run(t.Context(), in, 6, "planner-key", fmt.Sprintf("entry%d", i))
	}
	in.eventually("generations run in all zones", func() bool { return beside.started.Load() >= 18 })
	for _, kind := range []string{"agent-engine", "engine"} {
		for i := 0; i < engines; i += 3 {
			in.processes[kind+strconv.Itoa(i)].signal(syscall.SIGKILL)
		}
	}
	for answered := 0; answered < 36; {
		for i := range 3 {
			qt.Assert(t, in.metric(fmt.Sprintf("entry%d", i), "bramleygap_router_suspects"), qt.Equals, 0.0)
		}
		time.Sleep(20 * time.Millisecond)
		beside.mu.Lock()
		answered = len(beside.answers)
		beside.mu.Unlock()
	}
	beside.finish(in)
	qt.Assert(t, beside.refused.Load(), qt.Equals, int64(0))
}
