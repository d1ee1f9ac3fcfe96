package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/standin/engine"
)

// steadyLoad sends requests until it is stopped. Like a load balancer, it uses only entries
// whose readiness probe succeeds.
type steadyLoad struct {
	in    *installation
	ready sync.Map // entry name to bool
	stop  chan struct{}
	// longGenerations adds generations that take several seconds.
	longGenerations bool
	workers         sync.WaitGroup
	sequence        atomic.Int64
	finished        atomic.Int64
	mu              sync.Mutex
	failures        []string
	keys            []string
}

// startLoad starts the given number of workers that send generations. For each of calls, it
// starts one worker that sends non-idempotent calls and one that sends reads.
func (in *installation) startLoad(generations, calls int, entries ...string) *steadyLoad {
	l := &steadyLoad{in: in, stop: make(chan struct{}), longGenerations: calls > 0}
	for _, entry := range entries {
		l.workers.Go(func() { l.probe(entry) })
	}
	for range generations {
		l.workers.Go(func() { l.sendLoop(entries, l.generate) })
	}
	for range calls {
		l.workers.Go(func() { l.sendLoop(entries, l.order) })
		l.workers.Go(func() { l.sendLoop(entries, l.read) })
	}
	return l
}

func (l *steadyLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *steadyLoad) probe(entry string) {
	probes := &http.Client{Timeout: time.Second}
	for ; !l.stopped(); time.Sleep(100 * time.Millisecond) {
		response, err := probes.Get("http://" + l.in.address[entry+"-admin"] + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		l.ready.Store(entry, err == nil && response.StatusCode == http.StatusOK)
	}
}

func (l *steadyLoad) sendLoop(entries []string, send func(entry string, number int64) error) {
	for !l.stopped() {
		number := l.sequence.Add(1)
		entry := entries[int(number)%len(entries)]
		if ready, _ := l.ready.Load(entry); ready != true {
			time.Sleep(time.Millisecond)
			continue
		}
		if err := send(entry, number); err != nil {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Sprintf("request %d at %s, %s: %v", number, entry, time.Now().UTC().Format("15:04:05.000"), err))
			l.mu.Unlock()
		}
		l.finished.Add(1)
	}
}

func (l *steadyLoad) generate(entry string, number int64) error {
	var got client.Completion
	request := client.CompletionRequest{Model: "letters", Prompt: fmt.Sprintf("letter %d", number), MaxTokens: 60, Seed: seed}
	if l.longGenerations && number%3 == 0 {
		// Outlasts the delays of a graceful shutdown, 1 s at an agent and 2 s at an entry.
		request.MaxTokens = 350
	}
	if err := l.in.caller(entry).Complete(l.in.t.Context(), request, &got, nil); err != nil {
		return err
	}
	if difference := mismatch(&got, "v1", request); difference != "" {
		return fmt.Errorf("received generation is wrong: %s", difference)
	}
	return nil
}

func (l *steadyLoad) order(entry string, number int64) error {
	key := fmt.Sprintf("order-%d", number)
	l.mu.Lock()
	l.keys = append(l.keys, key)
	l.mu.Unlock()
	return l.call(entry, http.MethodPost, "/orders", http.StatusCreated, key)
}

func (l *steadyLoad) read(entry string, number int64) error {
	return l.call(entry, http.MethodGet, fmt.Sprintf("/status/%d", number), http.StatusOK, "")
}

func (l *steadyLoad) call(entry, method, path string, want int, key string) error {
	status, body, err := l.in.caller(entry).Call(l.in.t.Context(), method, "counter", path, []byte(key), key)
	if err == nil && status != want {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

// waitFinished waits until n further requests have finished.
func (l *steadyLoad) waitFinished(n int64) {
	l.in.t.Helper()
	target := l.finished.Load() + n
	l.in.eventually("more requests have finished", func() bool { return l.finished.Load() >= target })
}

// finish stops the load and asserts that no request failed.
func (l *steadyLoad) finish() {
	l.in.t.Helper()
	close(l.stop)
	l.workers.Wait()
	qt.Check(l.in.t, l.failures, qt.HasLen, 0, qt.Commentf("%s", strings.Join(l.failures, "\n")))
	l.in.t.Logf("%d requests, %d failed", l.finished.Load(), len(l.failures))
}

var workCounters = regexp.MustCompile(`(?m)^bramleygap_agent_(?:attempts_total|running_attempts|calls_total)\{.*\} (\d+)$`)

// startedWork returns the number of attempts and calls that an agent has started, 0 if it
// does not respond. Work that ends may move from one counter to another during a read, so
// the counters are read until two consecutive sums are equal.
func (in *installation) startedWork(agent string) int {
	last := -1
	for {
		total := 0
		for _, match := range workCounters.FindAllStringSubmatch(in.metrics(agent), -1) {
			n, _ := strconv.Atoi(match[1])
			total += n
		}
		if total == last {
			return total
		}
		last = total
	}
}

// assertNoNewWork asserts that an agent starts no work while 30 more requests finish.
func (l *steadyLoad) assertNoNewWork(agent string) {
	l.in.t.Helper()
	before := l.in.startedWork(agent)
	l.waitFinished(30)
	qt.Assert(l.in.t, l.in.startedWork(agent), qt.Equals, before, qt.Commentf("%s got new work", agent))
}

// waitLeavingEverywhere waits until each entry reports the given leaving state for the target.
func (in *installation) waitLeavingEverywhere(agent string, leaving bool, entries ...string) {
	for _, entry := range entries {
		in.waitLeaving(entry, agent, leaving)
	}
}

func (in *installation) mustRun(arguments ...string) {
	in.t.Helper()
	output, err := in.run(append(arguments, "--entry", in.address["entry0-peer"])...)
	qt.Assert(in.t, err, qt.IsNil, qt.Commentf("%s", output))
}

func (in *installation) restartAgent(number int) string {
	name := fmt.Sprintf("engine%d", number)
	in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", number%3), "model", "letters", "v1")
	return "agent-" + name
}

// Guards against new work on a target whose VM is drained or retired or whose agent stops,
// although the VM list does not change (invariant I7), against generations interrupted there,
// and against a drain that is lost when the agent or an entry restarts.
func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	t.Parallel()
	in := startThreeEntries(t, "")
	in.control("platform", map[string]any{"vm_lag_ms": 3600_000})
	load := in.startLoad(6, 0, threeEntries...)
	load.waitFinished(10)

	in.mustRun("drain", "vm-agent-engine0")
	in.waitLeavingEverywhere("agent-engine0", true, threeEntries...)
	load.assertNoNewWork("agent-engine0")
	in.processes["agent-engine0"].kill()
	in.restartAgent(0)
	in.waitLeavingEverywhere("agent-engine0", true, threeEntries...)
	load.assertNoNewWork("agent-engine0")
	qt.Assert(t, in.startedWork("agent-engine0"), qt.Equals, 0)
	// entry0 wrote the drain; after its restart it must read it from the table like the others.
	in.stopGracefully("entry0")
	in.startEntry("entry0", "zone0", "")
	in.waitFor("entry0", "http://"+in.address["entry0-admin"]+"/readyz")
	in.waitLeavingEverywhere("agent-engine0", true, threeEntries...)
	load.assertNoNewWork("agent-engine0")
	in.mustRun("drain", "vm-agent-engine0", "--undo")
	in.waitLeavingEverywhere("agent-engine0", false, threeEntries...)

	text := in.operatorConfiguration()
	in.apply("entry0", `retire_vms = ["vm-agent-engine1"]`+text)
	in.waitLeavingEverywhere("agent-engine1", true, threeEntries...)
	load.assertNoNewWork("agent-engine1")
	in.apply("entry0", text)
	in.waitLeavingEverywhere("agent-engine1", false, threeEntries...)

	before := in.startedWork("agent-engine0")
	in.eventually("the target gets work again after the drain is undone", func() bool { return in.startedWork("agent-engine0") > before })
	var got client.Completion
	request := completion("a long letter")
	request.MaxTokens = 800
	leavingAgent, started := "", 0
	err := in.caller("entry0").Complete(t.Context(), request, &got, func(*client.Completion) bool {
		if leavingAgent == "" {
			leavingAgent = in.servingAgent(got.LastID)
			in.processes[leavingAgent].signal(syscall.SIGTERM)
			in.waitLeavingEverywhere(leavingAgent, true, threeEntries...)
			started = in.startedWork(leavingAgent)
		} else if got.Chunks%50 == 0 {
			qt.Check(t, in.startedWork(leavingAgent), qt.Equals, started, qt.Commentf("%s got new work", leavingAgent))
		}
		return true
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, mismatch(&got, "v1", request), qt.Equals, "")
	load.finish()
	<-in.processes[leavingAgent].exited
}

// stopGracefully sends SIGTERM and asserts that the process exits with status 0.
func (in *installation) stopGracefully(name string) {
	in.t.Helper()
	p := in.processes[name]
	p.signal(syscall.SIGTERM)
	in.eventually(name+" exits", func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	})
	qt.Assert(in.t, p.command.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s", tail(p.output(), 2000)))
	qt.Assert(in.t, strings.Contains(p.output(), "left") || strings.Contains(p.output(), "graceful shutdown finished"), qt.IsTrue)
}

// Guards against a non-idempotent call that is lost or runs twice when the agent of its
// application engine stops (invariants I6 and I8), and against later calls that reach this
// agent.
func TestAgentStopsDuringCall(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1, "", "entry0")
	in.control("app0", map[string]any{"freeze": true})
	status := make(chan int, 1)
	go func() {
		code, body, err := in.caller("entry0").Call(t.Context(), http.MethodPost, "counter", "/permits", []byte("one"), "key-one")
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", body))
		status <- code
	}()
	in.eventually("the call is running", func() bool {
		return strings.Contains(in.metrics("agent-app0"), `running_attempts{agent="agent-app0"} 1`)
	})
	in.startApp("app1")
	in.startAgent("agent-app1", "app1", "zone1", "application", "counter")
	in.waitReadyEverywhere("agent-app1", []string{"entry0"})
	p := in.processes["agent-app0"]
	p.signal(syscall.SIGTERM)
	in.eventually("the entry reports the agent as leaving", func() bool { return slices.Contains(in.leavingTargets("entry0"), "agent-app0") })
	code, _, err := in.caller("entry0").Call(t.Context(), http.MethodPost, "counter", "/permits", []byte("two"), "key-two")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusCreated)
	// Detects an agent that does not wait for the call; one that waits always passes.
	select {
	case <-p.exited:
		t.Fatal("the agent stopped while a call ran")
	case <-time.After(2 * time.Second):
	}
	in.control("app0", map[string]any{"freeze": false})
	qt.Assert(t, <-status, qt.Equals, http.StatusCreated)
	<-p.exited
	qt.Assert(t, in.runsByKey("app0"), qt.DeepEquals, map[string]int{"key-one": 1})
}

func (in *installation) leavingTargets(entry string) []string {
	var names []string
	for _, target := range in.status(entry).GetTargets() {
		if target.GetLeaving() {
			names = append(names, target.GetTarget())
		}
	}
	return names
}

// Guards against requests that are interrupted when the entries and agents are restarted one
// after the other under steady load (invariant I8).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	entries := []string{"entry0", "entry1"}
	in := startInstallation(t, 3, "", entries...)
	in.startApp("app1")
	in.startAgent("agent-app1", "app1", "zone1", "application", "counter")
	in.waitLeavingEverywhere("agent-app1", false, entries...)
	for _, app := range []string{"app0", "app1"} {
		in.control(app, map[string]any{"delay_ms": 200})
	}
	load := in.startLoad(6, 3, entries...)
	load.waitFinished(30)
	for i, entry := range entries {
		in.stopGracefully(entry)
		in.startEntry(entry, fmt.Sprintf("zone%d", i), "")
		in.waitFor(entry, "http://"+in.address[entry+"-admin"]+"/readyz")
		load.waitFinished(30)
	}
	for i := range 3 {
		in.stopGracefully(fmt.Sprintf("agent-engine%d", i))
		in.waitReadyEverywhere(in.restartAgent(i), entries)
		load.waitFinished(30)
	}
	for i := range 2 {
		name := fmt.Sprintf("app%d", i)
		in.stopGracefully("agent-" + name)
		in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", i), "application", "counter")
		in.waitReadyEverywhere("agent-"+name, entries)
		load.waitFinished(30)
	}
	load.finish()
	runs := map[string]int{}
	for _, app := range []string{"app0", "app1"} {
		for key, n := range in.runsByKey(app) {
			runs[key] += n
		}
	}
	for _, key := range load.keys {
		qt.Check(t, runs[key], qt.Equals, 1, qt.Commentf("%s", key))
	}
}

// waitReadyEverywhere waits until each entry reports the target as ready and not leaving.
func (in *installation) waitReadyEverywhere(agent string, entries []string) {
	for _, entry := range entries {
		in.eventually(entry+" can use "+agent, func() bool {
			for _, target := range in.status(entry).GetTargets() {
				if target.GetTarget() == agent {
					return target.GetReady() && !target.GetLeaving()
				}
			}
			return false
		})
	}
}

// mismatch describes how a received generation differs from the expected one; it is empty
// if they are equal.
func mismatch(got *client.Completion, version string, request client.CompletionRequest) string {
	tokens, finish := engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: "letters", Version: version, Prompt: request.Prompt, Seed: request.Seed, MaxTokens: uint32(request.MaxTokens),
	})
	var text strings.Builder
	for _, token := range tokens {
		text.Write(token.Bytes)
	}
	switch {
	case !got.Intact() || got.FinishReason != finish:
		return fmt.Sprintf("incomplete or wrong finish reason %q", got.FinishReason)
	case got.Summary.Tokens != len(tokens):
		return fmt.Sprintf("%d tokens, expected %d", got.Summary.Tokens, len(tokens))
	case got.Text.String() != strings.ToValidUTF8(text.String(), "\uFFFD"):
		return "text differs"
	}
	return ""
}

// runsByKey returns how often an application engine ran each call, by idempotency key.
func (in *installation) runsByKey(app string) map[string]int {
	in.t.Helper()
	response, err := http.Get("http://" + in.address[app] + "/runs")
	qt.Assert(in.t, err, qt.IsNil)
	defer response.Body.Close()
	var runs struct {
		ByKey map[string]int `json:"by_key"`
	}
	qt.Assert(in.t, json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	return runs.ByKey
}
