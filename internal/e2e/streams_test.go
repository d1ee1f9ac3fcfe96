package e2e

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
)

// engineOf returns the name of the engine that an agent serves.
func engineOf(agent string) string { return strings.TrimPrefix(agent, "agent-") }

// onFirst returns a chunk callback that calls act once, at the first chunk for which when
// returns true.
func onFirst(when func(*client.Completion) bool, act func(*client.Completion) bool) func(*client.Completion) bool {
	acted := false
	return func(got *client.Completion) bool {
		if acted || !when(got) {
			return true
		}
		acted = true
		return act(got)
	}
}

func halfway(got *client.Completion) bool { return got.Tokens() >= maxTokens/2 }

// completeViaEntries receives a generation and reconnects through the entries in turn until
// it is intact. It stops at an error response or error event.
func (in *installation) completeViaEntries(entries []string, request client.CompletionRequest, got *client.Completion, onChunk func(*client.Completion) bool) error {
	deadline := time.Now().Add(hangTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		err := in.caller(entries[i%len(entries)]).Complete(in.context(), request, got, onChunk)
		var failure *client.APIError
		if errors.As(err, &failure) || got.Intact() {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return context.DeadlineExceeded
}

var attemptStarted = regexp.MustCompile(`"attempt":(\d+),"target":"([^"]+)"`)

// waitAttempt waits for the attempt with the given number and returns its agent. The entry
// must serve only one generation.
func (in *installation) waitAttempt(entry, number string) (agent string) {
	in.t.Helper()
	in.eventually("attempt "+number+" started", func() bool {
		for _, match := range attemptStarted.FindAllStringSubmatch(in.processes[entry].output(), -1) {
			if match[1] == number {
				agent = match[2]
			}
		}
		return agent != ""
	})
	return agent
}

// Guards against lost, repeated or mixed tokens when a target or its agent fails halfway,
// or fails again while the generation is resumed (invariants I1 and I2).
func TestGenerationSurvivesTargetFailure(t *testing.T) {
	t.Parallel()
	signal := func(process func(agent string) string, s syscall.Signal) func(*installation, string) {
		return func(in *installation, agent string) { in.processes[process(agent)].signal(s) }
	}
	agentItself := func(agent string) string { return agent }
	cases := map[string]func(in *installation, agent string){
		"agent killed":  signal(agentItself, syscall.SIGKILL),
		"agent paused":  signal(agentItself, syscall.SIGSTOP),
		"engine frozen": signal(engineOf, syscall.SIGSTOP),
		"agent paused and continued": func(in *installation, agent string) {
			in.processes[agent].signal(syscall.SIGSTOP)
			in.waitAttempt("entry0", "2")
			in.processes[agent].signal(syscall.SIGCONT)
		},
		"engine killed, then the next one during the resume": func(in *installation, agent string) {
			in.processes[engineOf(agent)].kill()
			in.processes[engineOf(in.waitAttempt("entry0", "2"))].kill()
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			in := startInstallation(t, 3, "", "entry0")
			request := completion(readPrompt(t))
			var got client.Completion
			err := in.caller("entry0").Complete(in.context(), request, &got, onFirst(halfway, func(got *client.Completion) bool {
				fail(in, in.servingAgent(got.LastID))
				return true
			}))
			qt.Assert(t, err, qt.IsNil)
			in.assertIntact(&got, "v1", request)
		})
	}
}

// Guards against lost or repeated tokens when two engines crash one after the other, with
// output in between.
func TestGenerationSurvivesTwoEngineKills(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 3, "", "entry0")
	request := completion(readPrompt(t))
	killed := map[string]bool{}
	var got client.Completion
	err := in.caller("entry0").Complete(in.context(), request, &got, func(got *client.Completion) bool {
		engine := engineOf(in.servingAgent(got.LastID))
		if len(killed) < 2 && !killed[engine] && got.Tokens() >= maxTokens/4*(len(killed)+1) {
			killed[engine] = true
			in.processes[engine].kill()
		}
		return true
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, killed, qt.HasLen, 2)
	in.assertIntact(&got, "v1", request)
}

// Guards against lost or repeated tokens when an entry crashes and the caller resumes
// through another one, with either of the two resume requests.
func TestCallerResumesThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	for _, path := range []string{client.PathResume, client.PathCompletions} {
		t.Run(path, func(t *testing.T) {
			in := startInstallation(t, 2, "", "entry0", "entry1")
			request := completion(readPrompt(t))
			var got client.Completion
			_ = in.caller("entry0").Complete(in.context(), request, &got, onFirst(halfway, func(*client.Completion) bool {
				in.processes["entry0"].kill()
				return true
			}))
			qt.Assert(t, got.Intact(), qt.IsFalse)
			resume := in.caller("entry1").Resume
			if path == client.PathCompletions {
				resume = func(ctx context.Context, got *client.Completion, onChunk func(*client.Completion) bool) error {
					return in.caller("entry1").Complete(ctx, request, got, onChunk)
				}
			}
			qt.Assert(t, resume(in.context(), &got, nil), qt.IsNil)
			in.assertIntact(&got, "v1", request)
		})
	}
}

// Guards against a paused entry that continues and then cancels, repeats or mixes a
// generation that another entry has taken over. Its own caller must receive SUPERSEDED
// instead of a terminal event.
func TestPausedEntryIsSuperseded(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2, "", "entry0", "entry1")
	request := completion(readPrompt(t))
	request.MaxTokens = 3 * maxTokens
	var old, got client.Completion
	paused := make(chan string, 1)
	oldErr := make(chan error, 1)
	go func() {
		oldErr <- in.caller("entry0").Complete(in.context(), request, &old, onFirst(halfway, func(old *client.Completion) bool {
			in.processes["entry0"].signal(syscall.SIGSTOP)
			paused <- old.Text.String() + "\x00" + old.LastID
			return true
		}))
	}()
	text, id, _ := strings.Cut(<-paused, "\x00")
	got.Text.WriteString(text)
	got.LastID = id
	err := in.caller("entry1").Complete(in.context(), request, &got, onFirst(
		func(got *client.Completion) bool { return got.Tokens() >= maxTokens },
		func(*client.Completion) bool { in.processes["entry0"].signal(syscall.SIGCONT); return true }))
	qt.Assert(t, err, qt.IsNil)
	in.assertIntact(&got, "v1", request)
	var failure *client.APIError
	qt.Assert(t, errors.As(<-oldErr, &failure), qt.IsTrue)
	qt.Assert(t, failure.Type, qt.Equals, "SUPERSEDED")
	qt.Assert(t, old.Done, qt.IsFalse)
	qt.Assert(t, strings.HasPrefix(got.Text.String(), old.Text.String()), qt.IsTrue)
}

// Guards against the loss of a generation older than 2 s, whose log has been replicated, when
// its entry and its agent crash together. A younger one may be lost, but not mixed.
func TestEntryAndAgentKilledTogether(t *testing.T) {
	t.Parallel()
	for name, age := range map[string]time.Duration{"replicated": 3 * time.Second, "not replicated": 0} {
		t.Run(name, func(t *testing.T) {
			in := startInstallation(t, 3, "", "entry0", "entry1")
			request := completion(readPrompt(t))
			request.MaxTokens = 7 * maxTokens / 2
			started := time.Now()
			oldEnough := func(got *client.Completion) bool { return time.Since(started) >= age && got.Tokens() >= 10 }
			var got client.Completion
			err := in.completeViaEntries([]string{"entry0", "entry1"}, request, &got, onFirst(oldEnough, func(got *client.Completion) bool {
				in.processes["entry0"].signal(syscall.SIGKILL)
				in.processes[in.servingAgent(got.LastID)].kill()
				return true
			}))
			var failure *client.APIError
			if age == 0 && errors.As(err, &failure) {
				qt.Assert(t, failure.Type, qt.Equals, "RESUME_LOST")
				return
			}
			qt.Assert(t, err, qt.IsNil)
			in.assertIntact(&got, "v1", request)
		})
	}
}

// completeConcurrently receives generations of different prompts concurrently and checks
// that each is intact. onAllStarted is called once, when every generation has output.
func (in *installation) completeConcurrently(count int, entries []string, onAllStarted func(agents []string)) {
	in.t.Helper()
	requests := make([]client.CompletionRequest, count)
	results := make([]client.Completion, count)
	agents := make([]string, count)
	var started atomic.Int32
	var group sync.WaitGroup
	for i := range count {
		requests[i] = completion(fmt.Sprintf("letter %d", i))
		requests[i].MaxTokens = 3 * maxTokens
		group.Go(func() {
			entry := entries[i%len(entries)]
			err := in.caller(entry).Complete(in.context(), requests[i], &results[i], onFirst(
				func(got *client.Completion) bool { return got.Tokens() >= 10 },
				func(got *client.Completion) bool {
					agents[i] = in.servingAgent(got.LastID)
					if int(started.Add(1)) == count {
						onAllStarted(agents)
					}
					return true
				}))
			if err != nil {
				in.t.Errorf("generation %d: %v", i, err)
			}
		})
	}
	group.Wait()
	for i := range count {
		in.assertIntact(&results[i], "v1", requests[i])
	}
}

// Guards against mixed or lost output of concurrent generations while engines crash.
func TestConcurrentGenerationsSurviveEngineKills(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 4, "", "entry0", "entry1")
	in.completeConcurrently(8, []string{"entry0", "entry1"}, func(agents []string) {
		in.processes[engineOf(agents[0])].kill()
		in.processes[engineOf(agents[1])].kill()
	})
}

// Guards against lost generations, and against suspects, when all targets of an
// availability zone fail at once.
func TestGenerationsSurviveZoneLoss(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 6, "", "entry0", "entry1")
	in.completeConcurrently(18, []string{"entry0", "entry1"}, func([]string) {
		for _, name := range []string{"agent-engine0", "engine0", "agent-engine3", "engine3"} {
			in.processes[name].signal(syscall.SIGKILL)
		}
	})
}

// Guards against output that continues on another version (invariant I2): the generation
// must wait for a target of its own version although targets of another version are free.
func TestGenerationStaysOnItsVersion(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1, "", "entry0")
	v1 := "[[service.version]]\nname = \"v1\"\nshare = 100\n"
	in.apply("entry0", strings.Replace(in.operatorConfiguration(), v1, v1+strings.NewReplacer("v1", "v2", "100", "0").Replace(v1), 1))
	for i := 1; i < 3; i++ {
		name := fmt.Sprintf("engine%d", i)
		in.startEngine(name, engineOptions{version: "v2"})
		in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", i), "model", "letters", "v2")
	}
	in.waitReady("entry0", 4)
	request := completion(readPrompt(t))
	var got client.Completion
	err := in.caller("entry0").Complete(in.context(), request, &got, onFirst(halfway, func(got *client.Completion) bool {
		in.processes["engine0"].kill()
		in.eventually("the entry has tried to place the generation again", func() bool {
			return strings.Contains(in.processes["entry0"].output(), "no target")
		})
		in.startEngine("engine0", engineOptions{version: "v1"})
		return true
	}))
	qt.Assert(t, err, qt.IsNil)
	in.assertIntact(&got, "v1", request)
}

// Guards against lost or repeated tokens when the agent crashes while the caller does not
// read, so that the resumed output waits in the entry's buffer.
func TestSlowCallerGetsIntactOutput(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 0, "", "entry0")
	for i := range 2 {
		name := fmt.Sprintf("engine%d", i)
		in.startEngine(name, engineOptions{version: "v1", tokenRate: 100_000})
		in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", i), "model", "letters", "v1")
	}
	in.waitReady("entry0", 3)
	request := completion(readPrompt(t))
	request.MaxTokens = 30_000
	slow := in.caller("entry0")
	// A small receive buffer makes the entry's writes block after a few events.
	slow.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
		}}
		return dialer.DialContext(ctx, network, address)
	}}}
	var got client.Completion
	err := slow.Complete(in.context(), request, &got, onFirst(
		func(got *client.Completion) bool { return got.Tokens() >= 100 },
		func(got *client.Completion) bool {
			in.processes[in.servingAgent(got.LastID)].kill()
			time.Sleep(time.Second)
			return true
		}))
	qt.Assert(t, err, qt.IsNil)
	in.assertIntact(&got, "v1", request)
}
