package generations

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/stream"
)

// startAndDisconnect starts a generation, reads 4 events and closes the connection.
func startAndDisconnect(c *qt.C, cluster *fakeCluster, url string) receivedResponse {
	got := collect(c, post(c, url, "/v1/completions", twelveTokenRequest, ""), 4)
	c.Assert(got.final, qt.IsNil)
	return got
}

// Guards against lost or repeated tokens when a caller reconnects to another entry, which
// attaches to the running attempt or continues from a copy of its log.
func TestResumeThroughAnotherEntry(t *testing.T) {
	for name, attached := range map[string]bool{"attached": true, "copy": false} {
		for _, path := range []string{"/v1/generations/resume", "/v1/completions"} {
			t.Run(name+path, func(t *testing.T) {
				c := qt.New(t)
				cluster := newCluster(t, fault{6, "hold"})
				cluster.attachable = attached
				first, _, _ := cluster.startEntry(t, false)
				second, _, _ := cluster.startEntry(t, false)
				got := startAndDisconnect(c, cluster, first)
				payload := twelveTokenRequest
				if path == "/v1/generations/resume" {
					payload = ""
				}
				rest := collect(c, post(c, second, path, payload, got.ids[len(got.ids)-1]), 0)
				rest.text = got.text + rest.text
				assertComplete(c, rest)
			})
		}
	}
}

// Guards against resuming at an index that no copy contains, and against connections to
// addresses that only the caller's event id names.
func TestResumeWithoutLogIsLost(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, fault{6, "hold"})
	url, _, _ := cluster.startEntry(t, false)
	got := startAndDisconnect(c, cluster, url)
	id, err := stream.ParseEventID(got.ids[0])
	c.Assert(err, qt.IsNil)
	beyondEnd, unknownGeneration, unknownAgent := id, id, id
	beyondEnd.Index = 100
	unknownGeneration.Generation = "00000000-0000-0000-0000-000000000000"
	unknownAgent.Agent, unknownAgent.Generation = "127.0.0.1:1", unknownGeneration.Generation
	for _, lost := range []stream.EventID{beyondEnd, unknownGeneration, unknownAgent} {
		got := collect(c, post(c, url, "/v1/generations/resume", "", lost.String()), 0)
		c.Assert(got.status, qt.Equals, 410)
		c.Assert(got.code, qt.Equals, "2002")
	}
	cluster.mu.Lock()
	c.Assert(slices.Contains(cluster.dialed, unknownAgent.Agent), qt.IsFalse)
	cluster.mu.Unlock()
	bad := collect(c, post(c, url, "/v1/generations/resume", "", "x"), 0)
	c.Assert(bad.code, qt.Equals, "1023")
}

// Guards against resuming from another attempt's log, whose tokens may differ from those
// that the caller received.
func TestCopyOfOtherAttemptIsRefused(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, fault{6, "hold"})
	first, _, _ := cluster.startEntry(t, false)
	second, _, _ := cluster.startEntry(t, false)
	got := startAndDisconnect(c, cluster, first)
	cluster.mu.Lock()
	for _, log := range cluster.logs {
		log.Attempt, log.Spec.PrefixTokens = 77, 0
		log.Ids[3]++
	}
	cluster.mu.Unlock()
	lost := collect(c, post(c, second, "/v1/generations/resume", "", got.ids[3]), 0)
	c.Assert(lost.code, qt.Equals, "2002")
}

// Guards against resuming a generation of another account.
func TestResumeChecksAccount(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, fault{6, "hold"})
	cluster.attachable = true
	url, _, _ := cluster.startEntry(t, false)
	got := startAndDisconnect(c, cluster, url)
	cluster.mu.Lock()
	for _, log := range cluster.logs {
		log.Spec.Account = "other"
	}
	cluster.mu.Unlock()
	refused := collect(c, post(c, url, "/v1/generations/resume", "", got.ids[0]), 0)
	c.Assert(refused.code, qt.Equals, "2002")
	c.Assert(refused.text, qt.Equals, "")
}

// Guards against a resume when the operator disabled it, and against [DONE] after a failure.
func TestDisabledResumeReturnsTargetDied(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, fault{5, "break"})
	url, _, _ := cluster.startEntry(t, true)
	got := collect(c, post(c, url, "/v1/completions", twelveTokenRequest, ""), 0)
	_, text := expectedOutput(5)
	c.Assert(strings.HasPrefix(text, got.text), qt.IsTrue)
	c.Assert(got.code, qt.Equals, "2008")
	c.Assert(got.done, qt.IsFalse)
	c.Assert(got.final, qt.IsNil)
}

// Guards against reservations that are never released and deaths that are not reported.
func TestOutcomesAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, fault{2, "died"}, fault{4, "break"})
	url, h, registry := cluster.startEntry(t, false)
	assertComplete(c, collect(c, post(c, url, "/v1/completions", twelveTokenRequest, ""), 0))
	c.Assert(h.Drain(context.Background()), qt.IsNil)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	c.Assert(cluster.openAssignments, qt.Equals, 0)
	c.Assert(cluster.outcomes, qt.HasLen, cluster.placed)
	died := slices.ContainsFunc(cluster.outcomes, func(o placement.Outcome) bool { return o.TargetDied })
	succeeded := slices.ContainsFunc(cluster.outcomes, func(o placement.Outcome) bool { return !o.Failed && !o.Cancelled })
	c.Assert(died && succeeded, qt.IsTrue)
	c.Assert(cluster.deaths, qt.DeepEquals, []string{"death-1"})
	for _, r := range cluster.requests[1:] {
		c.Assert(r.GetSpec().GetSampling().GetSeed(), qt.Equals, cluster.requests[0].GetSpec().GetSampling().GetSeed())
		c.Assert(r.GetResume(), qt.Equals, len(r.GetPrefixTokenIds()) > 0)
	}
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == "bramleygap_entry_resume_latency_seconds" {
			c.Assert(family.GetMetric()[0].GetHistogram().GetSampleCount() > 0, qt.IsTrue)
		}
	}
}

// Guards against a drain that interrupts a request or admits a new one.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, fault{6, "hold"}, fault{6, "hold"}, fault{6, "hold"}, fault{6, "hold"})
	url, h, _ := cluster.startEntry(t, false)
	response := post(c, url, "/v1/completions", twelveTokenRequest, "")
	ended, stop := context.WithCancel(context.Background())
	stop()
	c.Assert(errors.Is(h.Drain(ended), context.Canceled), qt.IsTrue)
	c.Assert(collect(c, post(c, url, "/v1/completions", twelveTokenRequest, ""), 0).code, qt.Equals, "1015")
	close(cluster.release)
	assertComplete(c, collect(c, response, 0))
	c.Assert(h.Drain(context.Background()), qt.IsNil)
}

// Guards against wrong formats of whole responses and chat chunks, and against requests
// accepted with missing fields, values out of range or unknown services.
func TestRequestAndResponseFormats(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	url, _, _ := cluster.startEntry(t, false)
	_, text := expectedOutput(3)
	chat := collect(c, post(c, url, "/v1/chat/completions",
		`{"model":"letters","max_tokens":3,"stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, ""), 0)
	c.Assert(chat.text, qt.Equals, text)
	c.Assert(cluster.requests[0].GetSpec().GetPrompt(), qt.Equals, "user: hi\nassistant:")

	response := post(c, url, "/v1/completions", `{"model":"letters","prompt":"a","max_tokens":3}`, "")
	defer func() { _ = response.Body.Close() }()
	var whole chunk
	c.Assert(json.NewDecoder(response.Body).Decode(&whole), qt.IsNil)
	c.Assert(*whole.Choices[0].Text, qt.Equals, text)
	c.Assert(*whole.Choices[0].FinishReason, qt.Equals, "length")

	for payload, code := range map[string]string{
		`{"model":"letters"}`:                              "1001",
		`{"model":"letters","prompt":"a","max_tokens":0}`:  "1001",
		`{"model":"letters","prompt":"a","deadline_ms":0}`: "1001",
		`{"model":"other","prompt":"a"}`:                   "1004",
	} {
		c.Check(collect(c, post(c, url, "/v1/completions", payload, ""), 0).code, qt.Equals, code, qt.Commentf("%s", payload))
	}
	models := post(c, url, "/v1/models", "", "")
	defer func() { _ = models.Body.Close() }()
	var list struct{ Data []model }
	c.Assert(json.NewDecoder(models.Body).Decode(&list), qt.IsNil)
	c.Assert(list.Data, qt.HasLen, 1)
}
