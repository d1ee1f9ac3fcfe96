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

// holdMS is how long the platform stand-in holds a write while a test acts on it.
const holdMS = 400

// reply is what a caller knows after one request. Times are positions in the order of
// all requests and answers of a test.
type reply struct {
	started, ended int
	// before is the run counter of the key when the request was sent.
	before int
	code   result.Code
	body   string
}

// final reports whether a repeat can bring nothing new.
func (r reply) final() bool {
	switch r.code {
	case result.CallInProgress, result.ClaimUnavailable, result.Internal:
		return false
	}
	return r.code.Class() != result.ClassNotRun
}

// judge records the answers for each key and compares them with the run counter of the
// application engine.
type judge struct {
	*installation
	mu      sync.Mutex
	clock   int
	replies map[string][]reply
	// ended holds the runs by key of engine processes that were killed.
	ended map[string]int
}

// startCalls starts one application engine with its agent and the given entries. The
// short service timeout bounds how long a dispatched call without an outcome blocks.
func startCalls(t *testing.T, entries ...string) *judge {
	in := startSmall(t, 0, "", entries...)
	text := strings.Replace(in.operatorsText(), `kind = "application"`, "kind = \"application\"\ntimeout = \"4s\"", 1)
	path := in.writeFile("timeout.toml", text)
	in.eventually("service timeout in force", func() bool {
		_, err := in.run("apply", "--entry", in.address[entries[0]+"-peer"], path)
		return err == nil
	})
	return &judge{installation: in, replies: map[string][]reply{}, ended: map[string]int{}}
}

// send sends one request and records its answer. A lost answer counts as INTERNAL,
// which is of class unknown and not final.
func (j *judge) send(ctx context.Context, entry, key string) reply {
	caller := j.caller(entry)
	caller.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r := reply{before: j.runsOf(key), code: result.Internal}
	j.mu.Lock()
	j.clock++
	r.started = j.clock
	j.mu.Unlock()
	_, body, err := caller.Call(ctx, http.MethodPost, "counter", "/permits", []byte(key), key)
	var failure *client.APIError
	switch {
	case err == nil:
		r.code, r.body = result.OK, string(body)
	case errors.As(err, &failure):
		r.code = result.Code(failure.Code)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.clock++
	r.ended = j.clock
	j.replies[key] = append(j.replies[key], r)
	return r
}

// settle repeats a call until its outcome is final.
func (j *judge) settle(entry, key string) reply {
	var r reply
	j.eventually("final outcome of "+key, func() bool {
		r = j.send(j.t.Context(), entry, key)
		return r.final()
	})
	return r
}

// getJSON reads from a stand-in; one that was killed leaves the value as it is.
func (j *judge) getJSON(name, path string, into any) {
	response, err := http.Get("http://" + j.address[name] + path)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(into)
}

func (j *judge) appRuns() (runs app.Runs) { j.getJSON("app0", "/runs", &runs); return runs }

// runsOf returns how often a key ran so far, over all processes of the engine.
func (j *judge) runsOf(key string) int {
	runs := j.appRuns().ByKey[key]
	j.mu.Lock()
	defer j.mu.Unlock()
	return runs + j.ended[key]
}

func (j *judge) store() (counters platform.Counters) {
	j.getJSON("platform", "/counters", &counters)
	return counters
}

// check asserts at most one run of each key and that no answer contradicts the counter.
func (j *judge) check() {
	j.t.Helper()
	j.waitFor("app0", "http://"+j.address["app0"]+"/runs")
	for key, replies := range j.replies {
		count := j.runsOf(key)
		note := qt.Commentf("key %s ran %d times, answers %+v", key, count, replies)
		qt.Check(j.t, count <= 1, qt.IsTrue, note)
		body := ""
		for _, r := range replies {
			switch r.code.Class() {
			case result.ClassRan:
				qt.Check(j.t, count, qt.Equals, 1, note)
			case result.ClassNotRun:
				qt.Check(j.t, contradicted(r, replies, count), qt.IsFalse, note)
			}
			if r.code == result.OK {
				qt.Check(j.t, body == "" || body == r.body, qt.IsTrue, note)
				body = r.body
			}
		}
	}
}

// contradicted reports whether a not-run answer was false: the key had run before the
// request was sent, or it ran although no other request can have run it later.
func contradicted(told reply, replies []reply, count int) bool {
	later := false
	for _, r := range replies {
		later = later || (r.code.Class() != result.ClassNotRun && r.ended > told.started)
	}
	return told.before > 0 || (count > 0 && !later)
}

// killApp kills the engine between runs and keeps its counter.
func (j *judge) killApp() {
	runs := j.appRuns().ByKey
	j.mu.Lock()
	for key, n := range runs {
		j.ended[key] += n
	}
	j.mu.Unlock()
	j.processes["app0"].kill()
}

// restart starts a killed process again at the same addresses.
func (j *judge) restart(name string) {
	switch {
	case name == "app0":
		j.startApp(name)
	case name == "agent-app0":
		j.startAgent(name, "app0", "zone0", "application", "counter")
	default:
		j.startEntry(name, "zone0", "")
		j.waitFor(name, "http://"+j.address[name+"-admin"]+"/readyz")
	}
}

// point is a place in the course of a call at which a test acts. Begin makes the call
// stop there, reached tells that it did; writes counts store writes since the start.
type point struct {
	name    string
	begin   func(*judge)
	reached func(j *judge, writes int, store platform.Counters) bool
}

func holdStore(j *judge) { j.control("platform", map[string]any{"delay_ms": holdMS}) }

func heldWrite(n int) func(*judge, int, platform.Counters) bool {
	return func(_ *judge, writes int, store platform.Counters) bool {
		return writes == n && store.WritesWaiting > 0
	}
}

var points = []point{
	{"insert", holdStore, heldWrite(0)},
	{"dispatch", holdStore, heldWrite(1)},
	{"running", func(j *judge) { j.control("app0", map[string]any{"freeze": true}) },
		func(j *judge, _ int, _ platform.Counters) bool { return j.appRuns().Waiting > 0 }},
	{"ran", func(j *judge) { j.control("app0", map[string]any{"hang_after_run": 1}) },
		func(j *judge, _ int, _ platform.Counters) bool { return j.appRuns().Total > 0 }},
	{"outcome", holdStore, heldWrite(2)},
	{"after", func(*judge) {}, func(_ *judge, writes int, _ platform.Counters) bool { return writes == 3 }},
}

// fault is what happens to an installation at a point.
type fault struct {
	name       string
	points     string
	begin, end func(*judge)
}

func killed(name, points string) fault {
	return fault{"kill " + name, points, func(j *judge) {
		if name == "app0" {
			j.killApp()
			return
		}
		j.processes[name].kill()
	}, func(j *judge) { j.restart(name) }}
}

func paused(name, points string) fault {
	return fault{"pause " + name, points,
		func(j *judge) { j.processes[name].signal(syscall.SIGSTOP) },
		func(j *judge) { j.processes[name].signal(syscall.SIGCONT) }}
}

func store(name, points string, on, off map[string]any) fault {
	return fault{name, points, func(j *judge) { j.control("platform", on) }, func(j *judge) { j.control("platform", off) }}
}

var faults = []fault{
	killed("entry0", "insert dispatch running ran outcome after"),
	paused("entry0", "insert dispatch running ran outcome after"),
	killed("agent-app0", "running ran"),
	paused("agent-app0", "running"),
	killed("app0", "running ran"),
	store("outage", "insert dispatch ran after", map[string]any{"outage": true}, map[string]any{"outage": false}),
	store("lost answer", "insert dispatch outcome", map[string]any{"drop_answers": 1}, map[string]any{}),
}

// Guards against a second run, a false "not run" and a key that stays blocked, for each
// fault at each point of a call, with repeats through another entry during and after it.
func TestCallSurvivesFaultAtEachPoint(t *testing.T) {
	t.Parallel()
	for _, f := range faults {
		for _, p := range points {
			if strings.Contains(" "+f.points+" ", " "+p.name+" ") {
				t.Run(f.name+" at "+p.name, func(t *testing.T) {
					t.Parallel()
					runFault(startCalls(t, "entry0", "entry1"), p, f)
				})
			}
		}
	}
}

func runFault(j *judge, p point, f fault) {
	const key = "permit"
	base := j.store().Writes
	p.begin(j)
	first := make(chan reply, 1)
	go func() { first <- j.send(context.WithoutCancel(j.t.Context()), "entry0", key) }()
	j.eventually("call is at "+p.name, func() bool {
		counters := j.store()
		return p.reached(j, counters.Writes-base, counters)
	})
	f.begin(j)
	j.send(j.t.Context(), "entry1", key)
	entryFault := strings.HasSuffix(f.name, "entry0")
	if !entryFault {
		f.end(j)
	}
	j.control("platform", map[string]any{"delay_ms": 0})
	j.control("app0", map[string]any{"freeze": false, "hang_after_run": 0})
	settled := j.settle("entry1", key)
	if entryFault {
		f.end(j)
	}
	<-first
	again := j.settle("entry0", key)
	if settled.code == result.OK {
		qt.Check(j.t, again.body, qt.Equals, settled.body)
	}
	if p.name == "insert" {
		qt.Check(j.t, settled.code, qt.Equals, result.OK)
	}
	j.check()
}

// Guards against a second run when many repeats of a key arrive at several entries at
// once, and against a key that is bound to another body or loses its outcome.
func TestConcurrentRepeats(t *testing.T) {
	t.Parallel()
	j := startCalls(t, "entry0", "entry1", "entry2")
	var group sync.WaitGroup
	for i := range 48 {
		group.Go(func() { j.send(t.Context(), fmt.Sprintf("entry%d", i%3), fmt.Sprintf("key%d", i%4)) })
	}
	group.Wait()
	for i := range 4 {
		key := fmt.Sprintf("key%d", i)
		qt.Check(t, j.settle("entry0", key).body, qt.Equals, j.settle("entry2", key).body)
		_, _, err := j.caller("entry1").Call(t.Context(), http.MethodPost, "counter", "/permits", []byte("other"), key)
		var failure *client.APIError
		qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
		qt.Check(t, result.Code(failure.Code), qt.Equals, result.KeyReused)
	}
	j.check()
	qt.Check(t, j.appRuns().Total, qt.Equals, 4)
}
