package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
)

const (
	benchVariable    = "BRAMLEYGAP_BENCH"
	benchEngines     = 8
	benchGenerations = 32
	// benchLosses is the minimum number of lost attempts of each kind. Of 60, three lie above
	// the 95th percentile.
	benchLosses = 60
	benchTokens = 160
	// resumeTarget is the time within which output should continue after a loss.
	resumeTarget = 3 * time.Second
)

// lossKind is a way to lose a target with its attempts, and to recover the target.
type lossKind struct {
	name    string
	cause   func(in *installation, agent string)
	recover func(in *installation, agent string)
}

var lossKinds = []lossKind{
	{"engine killed",
		func(in *installation, agent string) { in.processes[engineOf(agent)].kill() },
		func(in *installation, agent string) { in.startEngine(engineOf(agent), engineOptions{version: "v1"}) }},
	{"agent killed",
		func(in *installation, agent string) { in.processes[agent].kill() },
		func(in *installation, agent string) {
			var i int
			_, _ = fmt.Sscanf(agent, "agent-engine%d", &i)
			in.startAgent(agent, engineOf(agent), fmt.Sprintf("zone%d", i%3), "model", "letters", "v1")
		}},
	{"silent agent",
		func(in *installation, agent string) { in.processes[agent].signal(syscall.SIGSTOP) },
		func(in *installation, agent string) { in.processes[agent].signal(syscall.SIGCONT) }},
}

// measurement is one generation of the benchmark.
type measurement struct {
	request client.CompletionRequest
	got     *client.Completion // of the last request
	agent   string
	tokens  int       // highest number received by any request
	reached time.Time // last increase of tokens
	// stall is the longest interval without a new token that ended after the loss.
	stall time.Duration
}

// benchRun collects the measurements of one kind of loss.
type benchRun struct {
	in                            *installation
	latency                       *hdrhistogram.Histogram
	late                          int
	delivered, generated, refills int

	mu     sync.Mutex
	lostAt time.Time
}

// TestResumeLatencyReport prints the resume latency and extra tokens for each kind of loss,
// and a baseline in which callers restart their requests from the beginning.
func TestResumeLatencyReport(t *testing.T) {
	if os.Getenv(benchVariable) == "" {
		t.Skip("set " + benchVariable + " to run the benchmark")
	}
	t.Log("| loss | callers | losses | p50 ms | p95 ms | max ms | above 3 s | extra tokens per delivered | prefix tokens prefilled again per delivered |")
	for _, kind := range lossKinds {
		for _, callers := range []struct{ name, setting string }{{"resumed", ""}, {"start again", "disable_resume = true"}} {
			t.Run(kind.name+"/"+callers.name, func(t *testing.T) {
				run := &benchRun{in: startInstallation(t, benchEngines, callers.setting, "entry0"), latency: hdrhistogram.New(1, 120_000, 3)}
				for round := 0; run.latency.TotalCount() < benchLosses; round++ {
					run.round(kind, round)
				}
				if callers.setting != "" {
					run.refills = 0 // a restarted request has no prefix
				}
				n, h := float64(run.delivered), run.latency
				t.Logf("| %s | %s | %d | %d | %d | %d | %.1f%% | %.4f | %.4f |", kind.name, callers.name, h.TotalCount(),
					h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.Max(), 100*float64(run.late)/float64(h.TotalCount()),
					float64(run.generated-run.delivered)/n, float64(run.refills)/n)
			})
		}
	}
}

// round runs generations on all targets, loses the target of the first one halfway, and
// recovers it.
func (b *benchRun) round(kind lossKind, round int) {
	b.lostAt = time.Time{}
	before := b.engineTokens()
	results := make([]*measurement, benchGenerations)
	halfway := make(chan struct{}, benchGenerations)
	var group sync.WaitGroup
	for i := range results {
		results[i] = &measurement{request: completion(fmt.Sprintf("%s %d %d", kind.name, round, i))}
		results[i].request.MaxTokens = benchTokens
		group.Go(func() { b.receive(results[i], halfway) })
	}
	for range results {
		<-halfway
	}
	b.mu.Lock()
	lostAgent := results[0].agent
	var lost []*measurement
	for _, m := range results {
		if m.agent == lostAgent && m.tokens < benchTokens {
			lost = append(lost, m)
			b.refills += m.tokens
		}
	}
	atLoss := b.engineTokens()[engineOf(lostAgent)]
	b.lostAt = time.Now()
	kind.cause(b.in, lostAgent)
	b.mu.Unlock()
	group.Wait()
	for _, m := range results {
		b.in.assertIntact(m.got, "v1", m.request)
	}
	kind.recover(b.in, lostAgent)
	b.in.waitReady("entry0", benchEngines+1)
	for engine, after := range b.engineTokens() {
		if engine == engineOf(lostAgent) && after < atLoss {
			after += atLoss // the new process counts from 0
		}
		b.generated += after - before[engine]
	}
	for _, m := range lost {
		_ = b.latency.RecordValue(m.stall.Milliseconds())
		if m.stall > resumeTarget {
			b.late++
		}
	}
	b.delivered += benchGenerations * benchTokens
}

// receive receives a generation and restarts it from the beginning after each failure.
func (b *benchRun) receive(m *measurement, halfway chan<- struct{}) {
	signalled := false
	for {
		m.got = &client.Completion{}
		err := b.in.caller("entry0").Complete(b.in.context(), m.request, m.got, func(got *client.Completion) bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			m.progress(got.Tokens(), b.lostAt)
			m.agent = b.in.servingAgent(got.LastID)
			if !signalled && m.tokens >= benchTokens/2 {
				signalled = true
				halfway <- struct{}{}
			}
			return true
		})
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// progress records the number of received tokens. lostAt is zero before the loss.
func (m *measurement) progress(tokens int, lostAt time.Time) {
	if tokens <= m.tokens {
		return
	}
	now := time.Now()
	if !lostAt.IsZero() {
		m.stall = max(m.stall, now.Sub(m.reached))
	}
	m.tokens, m.reached = tokens, now
}

// engineTokens returns the number of tokens generated by each engine process, including
// those generated before a late cancellation took effect.
func (b *benchRun) engineTokens() map[string]int {
	counts := map[string]int{}
	for i := range benchEngines {
		name := fmt.Sprintf("engine%d", i)
		response, err := http.Get("http://" + b.in.address[name] + "/generated")
		qt.Assert(b.in.t, err, qt.IsNil)
		var count int
		err = json.NewDecoder(response.Body).Decode(&count)
		_ = response.Body.Close()
		qt.Assert(b.in.t, err, qt.IsNil)
		counts[name] = count
	}
	return counts
}
