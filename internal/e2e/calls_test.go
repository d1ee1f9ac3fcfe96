package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
	"bramleygap/internal/result"
	"bramleygap/internal/standin/app"
	"bramleygap/internal/standin/platform"
)

// holdMillis is how long the platform stand-in delays each request while a test injects a fault.
const holdMillis = 400

// callResponse is the outcome of one request. Its times are positions in the order of all
// requests and responses of a test.
type callResponse struct {
	started, ended int
	// before is the run counter of the key when the request was sent.
	before int
	code   result.Code
	body   string
}

// final reports whether the outcome of the call is settled, so that no retry can change it.
func (r callResponse) final() bool {
	switch r.code {
	case result.CallInProgress, result.ClaimUnavailable, result.Internal:
		return false
	}
	return r.code.Class() != result.ClassNotRun
}

// callChecker records the responses for each key and compares them with the run counter of
// the application engine.
type callChecker struct {
	*installation
	mu        sync.Mutex
	sequence  int
	responses map[string][]callResponse
	// endedRuns counts the runs by key in engine processes that were killed.
	endedRuns map[string]int
}

// startCalls starts one application engine with its agent and the given entries. The short
// service timeout limits how long a dispatched call without an outcome blocks its key.
func startCalls(t *testing.T, entries ...string) *callChecker {
	in := startInstallation(t, 0, "", entries...)
	text := strings.Replace(in.operatorConfiguration(), `kind = "application"`, "kind = \"application\"\ntimeout = \"4s\"", 1)
	path := in.writeFile("timeout.toml", text)
	in.eventually("service timeout in force", func() bool {
		_, err := in.run("apply", "--entry", in.address[entries[0]+"-peer"], path)
		return err == nil
	})
	return &callChecker{installation: in, responses: map[string][]callResponse{}, endedRuns: map[string]int{}}
}

// send sends one request and records its response. A lost response counts as INTERNAL,
// which is of class unknown and not final.
func (c *callChecker) send(ctx context.Context, entry, key string) callResponse {
	caller := c.caller(entry)
	caller.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r := callResponse{before: c.runsOf(key), code: result.Internal}
	c.mu.Lock()
	c.sequence++
	r.started = c.sequence
	c.mu.Unlock()
	_, body, err := caller.Call(ctx, http.MethodPost, "counter", "/permits", []byte(key), key)
	var failure *client.APIError
	switch {
	case err == nil:
		r.code, r.body = result.OK, string(body)
	case errors.As(err, &failure):
		r.code = result.Code(failure.Code)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	r.ended = c.sequence
	c.responses[key] = append(c.responses[key], r)
	return r
}

// retryUntilFinal retries a call until its outcome is final.
func (c *callChecker) retryUntilFinal(entry, key string) callResponse {
	var r callResponse
	c.eventually("final outcome of "+key, func() bool {
		r = c.send(c.t.Context(), entry, key)
		return r.final()
	})
	return r
}

// getJSON reads from a stand-in. If it has been killed, the value stays unchanged.
func (c *callChecker) getJSON(name, path string, into any) {
	response, err := http.Get("http://" + c.address[name] + path)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(into)
}

func (c *callChecker) appRuns() (runs app.Runs) { c.getJSON("app0", "/runs", &runs); return runs }

// runsOf returns the number of runs of a key so far, over all processes of the engine.
func (c *callChecker) runsOf(key string) int {
	runs := c.appRuns().ByKey[key]
	c.mu.Lock()
	defer c.mu.Unlock()
	return runs + c.endedRuns[key]
}

func (c *callChecker) storeCounters() (counters platform.Counters) {
	c.getJSON("platform", "/counters", &counters)
	return counters
}

// check asserts that each key ran at most once and that no response contradicts the counter.
func (c *callChecker) check() {
	c.t.Helper()
	c.waitFor("app0", "http://"+c.address["app0"]+"/runs")
	for key, responses := range c.responses {
		count := c.runsOf(key)
		comment := qt.Commentf("key %s ran %d times, responses %+v", key, count, responses)
		qt.Check(c.t, count <= 1, qt.IsTrue, comment)
		body := ""
		for _, r := range responses {
			switch r.code.Class() {
			case result.ClassRan:
				qt.Check(c.t, count, qt.Equals, 1, comment)
			case result.ClassNotRun:
				qt.Check(c.t, isContradicted(r, responses, count), qt.IsFalse, comment)
			}
			if r.code == result.OK {
				qt.Check(c.t, body == "" || body == r.body, qt.IsTrue, comment)
				body = r.body
			}
		}
	}
}

// isContradicted reports whether a not-run response was false: the key had run before the
// request was sent, or it ran although no other request can have run it later.
func isContradicted(response callResponse, responses []callResponse, count int) bool {
	later := false
	for _, r := range responses {
		later = later || (r.code.Class() != result.ClassNotRun && r.ended > response.started)
	}
	return response.before > 0 || (count > 0 && !later)
}

// killApp records the run counters of the engine and kills it. No run may start in between.
func (c *callChecker) killApp() {
	runs := c.appRuns().ByKey
	c.mu.Lock()
	for key, n := range runs {
		c.endedRuns[key] += n
	}
	c.mu.Unlock()
	c.processes["app0"].kill()
}

// restart restarts a killed process with the same addresses.
func (c *callChecker) restart(name string) {
	switch {
	case name == "app0":
		c.startApp(name)
	case name == "agent-app0":
		c.startAgent(name, "app0", "zone0", "application", "counter")
	default:
		c.startEntry(name, "zone0", "")
		c.waitFor(name, "http://"+c.address[name+"-admin"]+"/readyz")
	}
}

// callStage is a stage of a call at which a test injects a fault. begin makes the call block
// at the stage. reached reports whether it has; writes is the number of store writes since
// the start of the call.
type callStage struct {
	name    string
	begin   func(*callChecker)
	reached func(c *callChecker, writes int, store platform.Counters) bool
}

func delayStore(c *callChecker) { c.control("platform", map[string]any{"delay_ms": holdMillis}) }

func delayedWrite(n int) func(*callChecker, int, platform.Counters) bool {
	return func(_ *callChecker, writes int, store platform.Counters) bool {
		return writes == n && store.WritesWaiting > 0
	}
}

var callStages = []callStage{
	{"insert", delayStore, delayedWrite(0)},
	{"dispatch", delayStore, delayedWrite(1)},
	{"running", func(c *callChecker) { c.control("app0", map[string]any{"freeze": true}) },
		func(c *callChecker, _ int, _ platform.Counters) bool { return c.appRuns().Waiting > 0 }},
	{"ran", func(c *callChecker) { c.control("app0", map[string]any{"hang_after_run": 1}) },
		func(c *callChecker, _ int, _ platform.Counters) bool { return c.appRuns().Total > 0 }},
	{"outcome", delayStore, delayedWrite(2)},
	{"after", func(*callChecker) {}, func(_ *callChecker, writes int, _ platform.Counters) bool { return writes == 3 }},
}

// fault is a failure that a test injects and ends. stages lists the names of the call stages
// at which it is injected.
type fault struct {
	name       string
	stages     string
	begin, end func(*callChecker)
}

func killFault(name, stages string) fault {
	return fault{"kill " + name, stages, func(c *callChecker) {
		if name == "app0" {
			c.killApp()
			return
		}
		c.processes[name].kill()
	}, func(c *callChecker) { c.restart(name) }}
}

func pauseFault(name, stages string) fault {
	return fault{"pause " + name, stages,
		func(c *callChecker) { c.processes[name].signal(syscall.SIGSTOP) },
		func(c *callChecker) { c.processes[name].signal(syscall.SIGCONT) }}
}

func storeFault(name, stages string, on, off map[string]any) fault {
	return fault{name, stages, func(c *callChecker) { c.control("platform", on) }, func(c *callChecker) { c.control("platform", off) }}
}

var faults = []fault{
	killFault("entry0", "insert dispatch running ran outcome after"),
	pauseFault("entry0", "insert dispatch running ran outcome after"),
	killFault("agent-app0", "running ran"),
	pauseFault("agent-app0", "running"),
	killFault("app0", "running ran"),
	storeFault("outage", "insert dispatch ran after", map[string]any{"outage": true}, map[string]any{"outage": false}),
	storeFault("lost response", "insert dispatch outcome", map[string]any{"drop_answers": 1}, map[string]any{}),
}

// Guards against a second run, a false "not run" response and a key that stays blocked, for
// each fault at each stage of a call, with retries through another entry during and after
// the fault.
func TestCallSurvivesFaultAtEachStage(t *testing.T) {
	t.Parallel()
	for _, f := range faults {
		for _, stage := range callStages {
			if strings.Contains(" "+f.stages+" ", " "+stage.name+" ") {
				t.Run(f.name+" at "+stage.name, func(t *testing.T) {
					t.Parallel()
					runFault(startCalls(t, "entry0", "entry1"), stage, f)
				})
			}
		}
	}
}

func runFault(c *callChecker, stage callStage, f fault) {
	const key = "permit"
	base := c.storeCounters().Writes
	stage.begin(c)
	first := make(chan callResponse, 1)
	go func() { first <- c.send(context.WithoutCancel(c.t.Context()), "entry0", key) }()
	c.eventually("call is at "+stage.name, func() bool {
		counters := c.storeCounters()
		return stage.reached(c, counters.Writes-base, counters)
	})
	f.begin(c)
	c.send(c.t.Context(), "entry1", key)
	entryFault := strings.HasSuffix(f.name, "entry0")
	if !entryFault {
		f.end(c)
	}
	c.control("platform", map[string]any{"delay_ms": 0})
	c.control("app0", map[string]any{"freeze": false, "hang_after_run": 0})
	final := c.retryUntilFinal("entry1", key)
	if entryFault {
		f.end(c)
	}
	<-first
	repeated := c.retryUntilFinal("entry0", key)
	if final.code == result.OK {
		qt.Check(c.t, repeated.body, qt.Equals, final.body)
	}
	if stage.name == "insert" {
		qt.Check(c.t, final.code, qt.Equals, result.OK)
	}
	c.check()
}

// Guards against a second run when many requests with the same key arrive at several entries
// concurrently, and against a key that accepts another body or loses its outcome.
func TestConcurrentRequestsWithSameKey(t *testing.T) {
	t.Parallel()
	c := startCalls(t, "entry0", "entry1", "entry2")
	var group sync.WaitGroup
	for i := range 48 {
		group.Go(func() { c.send(t.Context(), fmt.Sprintf("entry%d", i%3), fmt.Sprintf("key%d", i%4)) })
	}
	group.Wait()
	for i := range 4 {
		key := fmt.Sprintf("key%d", i)
		qt.Check(t, c.retryUntilFinal("entry0", key).body, qt.Equals, c.retryUntilFinal("entry2", key).body)
		_, _, err := c.caller("entry1").Call(t.Context(), http.MethodPost, "counter", "/permits", []byte("other"), key)
		var failure *client.APIError
		qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
		qt.Check(t, result.Code(failure.Code), qt.Equals, result.KeyReused)
	}
	c.check()
	qt.Check(t, c.appRuns().Total, qt.Equals, 4)
}
