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

// steadyLoad sends requests until it is stopped. Like a balancer it chooses only entries
// whose readiness probe succeeds.
type steadyLoad struct {
	in    *installation
	ready sync.Map // entry name to bool
	stop  chan struct{}
	// long adds generations that take several seconds.
	long     bool
	workers  sync.WaitGroup
	number   atomic.Int64
	finished atomic.Int64
	mu       sync.Mutex
	failures []string
	keys     []string
}

// startLoad starts workers for generations, reads and, with calls, non-idempotent calls.
func (in *installation) startLoad(generations, calls int, entries ...string) *steadyLoad {
	l := &steadyLoad{in: in, stop: make(chan struct{}), long: calls > 0}
	for _, entry := range entries {
		l.workers.Go(func() { l.probe(entry) })
	}
	for range generations {
		l.workers.Go(func() { l.repeat(entries, l.generate) })
	}
	for range calls {
		l.workers.Go(func() { l.repeat(entries, l.order) })
		l.workers.Go(func() { l.repeat(entries, l.read) })
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

func (l *steadyLoad) repeat(entries []string, send func(entry string, number int64) error) {
	for !l.stopped() {
		number := l.number.Add(1)
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
	if l.long && number%3 == 0 {
		// Longer than the delays of a graceful shutdown, 1 s at an agent and 2 s at an entry.
		request.MaxTokens = 350
	}
	if err := l.in.caller(entry).Complete(l.in.t.Context(), request, &got, nil); err != nil {
		return err
	}
	if problem := wholeProblem(&got, "v1", request); problem != "" {
		return fmt.Errorf("answer is not whole: %s", problem)
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

// more waits until n further requests have finished.
func (l *steadyLoad) more(n int64) {
	l.in.t.Helper()
	wanted := l.finished.Load() + n
	l.in.eventually("the load goes on", func() bool { return l.finished.Load() >= wanted })
}

// end stops the load and asserts that no request failed.
func (l *steadyLoad) end() {
	l.in.t.Helper()
	close(l.stop)
	l.workers.Wait()
	qt.Check(l.in.t, l.failures, qt.HasLen, 0, qt.Commentf("%s", strings.Join(l.failures, "\n")))
	l.in.t.Logf("%d requests, %d interrupted", l.finished.Load(), len(l.failures))
}

var startedWork = regexp.MustCompile(`(?m)^bramleygap_agent_(?:attempts_total|running_attempts|calls_total)\{.*\} (\d+)$`)

// work returns the attempts and calls that an agent started, 0 without an answer. An end
// moves between two counters that are read one after the other, so two equal reads count.
func (in *installation) work(agent string) int {
	last := -1
	for {
		total := 0
		for _, match := range startedWork.FindAllStringSubmatch(in.metrics(agent), -1) {
			n, _ := strconv.Atoi(match[1])
			total += n
		}
		if total == last {
			return total
		}
		last = total
	}
}

// assertNoNewWork asserts that an agent starts nothing while the load goes on.
func (l *steadyLoad) assertNoNewWork(agent string) {
	l.in.t.Helper()
	before := l.in.work(agent)
	l.more(30)
	qt.Assert(l.in.t, l.in.work(agent), qt.Equals, before, qt.Commentf("%s got new work", agent))
}

// everywhere waits until each entry sees the target as leaving, or as not leaving.
func (in *installation) everywhere(agent string, leaving bool, entries ...string) {
	for _, entry := range entries {
		in.drained(entry, agent, leaving)
	}
}

func (in *installation) operate(arguments ...string) {
	in.t.Helper()
	output, err := in.run(append(arguments, "--entry", in.address["entry0-peer"])...)
	qt.Assert(in.t, err, qt.IsNil, qt.Commentf("%s", output))
}

func (in *installation) restartAgent(number int) string {
	name := fmt.Sprintf("engine%d", number)
	in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", number%3), "model", "letters", "v1")
	return "agent-" + name
}

// Guards I7: with a VM list that never changes, a target whose VM is drained or retired,
// or whose agent stops, gets no new work, and its running generations finish. A drain
// outlives the agent's process and an entry's.
func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	t.Parallel()
	in := startMembers(t, "")
	in.control("platform", map[string]any{"vm_lag_ms": 3600_000})
	load := in.startLoad(6, 0, threeEntries...)
	load.more(10)

	in.operate("drain", "vm-agent-engine0")
	in.everywhere("agent-engine0", true, threeEntries...)
	load.assertNoNewWork("agent-engine0")
	in.processes["agent-engine0"].kill()
	in.restartAgent(0)
	in.everywhere("agent-engine0", true, threeEntries...)
	load.assertNoNewWork("agent-engine0")
	qt.Assert(t, in.work("agent-engine0"), qt.Equals, 0)
	// The entry that wrote the drain; the others know it only from the table.
	in.stopGracefully("entry0")
	in.startEntry("entry0", "zone0", "")
	in.waitFor("entry0", "http://"+in.address["entry0-admin"]+"/readyz")
	in.everywhere("agent-engine0", true, threeEntries...)
	load.assertNoNewWork("agent-engine0")
	in.operate("drain", "vm-agent-engine0", "--undo")
	in.everywhere("agent-engine0", false, threeEntries...)

	text := in.operatorsText()
	in.apply("entry0", `retire_vms = ["vm-agent-engine1"]`+text)
	in.everywhere("agent-engine1", true, threeEntries...)
	load.assertNoNewWork("agent-engine1")
	in.apply("entry0", text)
	in.everywhere("agent-engine1", false, threeEntries...)

	before := in.work("agent-engine0")
	in.eventually("the undrained target works again", func() bool { return in.work("agent-engine0") > before })
	var got client.Completion
	request := completion("a long letter")
	request.MaxTokens = 800
	leaver, started := "", 0
	err := in.caller("entry0").Complete(t.Context(), request, &got, func(*client.Completion) bool {
		if leaver == "" {
			leaver = in.servingAgent(got.LastID)
			in.processes[leaver].signal(syscall.SIGTERM)
			in.everywhere(leaver, true, threeEntries...)
			started = in.work(leaver)
		} else if got.Chunks%50 == 0 {
			qt.Check(t, in.work(leaver), qt.Equals, started, qt.Commentf("%s got new work", leaver))
		}
		return true
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wholeProblem(&got, "v1", request), qt.Equals, "")
	load.end()
	<-in.processes[leaver].exited
}

// stopGracefully sends SIGTERM and waits for the exit.
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

// Guards I6 and I8: the agent of an application engine stops while a non-idempotent call
// runs; the call is answered, runs once, and no later call reaches the agent.
func TestAgentStopsDuringCall(t *testing.T) {
	t.Parallel()
	in := startSmall(t, 1, "", "entry0")
	in.control("app0", map[string]any{"freeze": true})
	status := make(chan int, 1)
	go func() {
		code, body, err := in.caller("entry0").Call(t.Context(), http.MethodPost, "counter", "/permits", []byte("one"), "key-one")
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", body))
		status <- code
	}()
	in.eventually("the call runs", func() bool {
		return strings.Contains(in.metrics("agent-app0"), `running_attempts{agent="agent-app0"} 1`)
	})
	in.startApp("app1")
	in.startAgent("agent-app1", "app1", "zone1", "application", "counter")
	in.everywhereReady("agent-app1", []string{"entry0"})
	p := in.processes["agent-app0"]
	p.signal(syscall.SIGTERM)
	in.eventually("the entry sees the agent leave", func() bool { return slices.Contains(in.leavingTargets("entry0"), "agent-app0") })
	code, _, err := in.caller("entry0").Call(t.Context(), http.MethodPost, "counter", "/permits", []byte("two"), "key-two")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusCreated)
	// An agent that waits passes however long this takes; one that does not wait is caught.
	select {
	case <-p.exited:
		t.Fatal("the agent stopped while a call ran")
	case <-time.After(2 * time.Second):
	}
	in.control("app0", map[string]any{"freeze": false})
	qt.Assert(t, <-status, qt.Equals, http.StatusCreated)
	<-p.exited
	qt.Assert(t, in.runs("app0"), qt.DeepEquals, map[string]int{"key-one": 1})
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

// Guards I8: each entry and each agent of the installation is stopped and started again,
// one after the other under steady load, and no request is interrupted.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	entries := []string{"entry0", "entry1"}
	in := startSmall(t, 3, "", entries...)
	in.startApp("app1")
	in.startAgent("agent-app1", "app1", "zone1", "application", "counter")
	in.everywhere("agent-app1", false, entries...)
	for _, app := range []string{"app0", "app1"} {
		in.control(app, map[string]any{"delay_ms": 200})
	}
	load := in.startLoad(6, 3, entries...)
	load.more(30)
	for i, entry := range entries {
		in.stopGracefully(entry)
		in.startEntry(entry, fmt.Sprintf("zone%d", i), "")
		in.waitFor(entry, "http://"+in.address[entry+"-admin"]+"/readyz")
		load.more(30)
	}
	for i := range 3 {
		in.stopGracefully(fmt.Sprintf("agent-engine%d", i))
		in.everywhereReady(in.restartAgent(i), entries)
		load.more(30)
	}
	for i := range 2 {
		name := fmt.Sprintf("app%d", i)
		in.stopGracefully("agent-" + name)
		in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", i), "application", "counter")
		in.everywhereReady("agent-"+name, entries)
		load.more(30)
	}
	load.end()
	runs := map[string]int{}
	for _, app := range []string{"app0", "app1"} {
		for key, n := range in.runs(app) {
			runs[key] += n
		}
	}
	for _, key := range load.keys {
		qt.Check(t, runs[key], qt.Equals, 1, qt.Commentf("%s", key))
	}
}

// everywhereReady waits until each entry may use the target.
func (in *installation) everywhereReady(agent string, entries []string) {
	for _, entry := range entries {
		in.eventually(entry+" may use "+agent, func() bool {
			for _, target := range in.status(entry).GetTargets() {
				if target.GetTarget() == agent {
					return target.GetReady() && !target.GetLeaving()
				}
			}
			return false
		})
	}
}

// wholeProblem says what is wrong with an answer; empty means that it is whole.
func wholeProblem(got *client.Completion, version string, request client.CompletionRequest) string {
	tokens, finish := engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: "letters", Version: version, Prompt: request.Prompt, Seed: request.Seed, MaxTokens: uint32(request.MaxTokens),
	})
	var text strings.Builder
	for _, token := range tokens {
		text.Write(token.Bytes)
	}
	switch {
	case !got.Intact() || got.FinishReason != finish:
		return fmt.Sprintf("it ended with %q", got.FinishReason)
	case got.Summary.Tokens != len(tokens):
		return fmt.Sprintf("it has %d tokens in place of %d", got.Summary.Tokens, len(tokens))
	case got.Text.String() != strings.ToValidUTF8(text.String(), "\uFFFD"):
		return "its text differs"
	}
	return ""
}

// runs returns how often an application engine ran the call of each key.
func (in *installation) runs(app string) map[string]int {
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
