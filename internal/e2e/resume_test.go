package e2e

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
	"bramleygap/internal/load"
)

const (
	seed      = 4242
	maxTokens = 120
)

// startInstallation starts the platform, one application engine, the given number of model
// engines spread over three zones, an agent for each engine, and one entry for each name.
func startInstallation(t *testing.T, engines int, entryExtra string, entries ...string) *installation {
	return startInstallationWith(t, engineOptions{version: "v1"}, engines, entryExtra, entries...)
}

// startInstallationWith is like startInstallation, with options for the model engines.
func startInstallationWith(t *testing.T, options engineOptions, engines int, entryExtra string, entries ...string) *installation {
	in := newInstallation(t)
	in.startPlatform()
	for i := range engines {
		name := fmt.Sprintf("engine%d", i)
		in.startEngine(name, options)
		in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", i%3), "model", "letters", "v1")
	}
	in.startApp("app0")
	in.startAgent("agent-app0", "app0", "zone0", "application", "counter")
	for i, name := range entries {
		in.startEntry(name, fmt.Sprintf("zone%d", i%3), entryExtra)
	}
	in.apply(entries[0], in.operatorConfiguration())
	for _, name := range entries {
		in.waitFor(name, "http://"+in.address[name+"-admin"]+"/readyz")
	}
	in.waitReady(entries[0], engines+1)
	return in
}

// waitReady waits until an entry reports at least the given number of ready targets.
func (in *installation) waitReady(entry string, targets int) {
	in.t.Helper()
	in.eventually("all targets are ready", func() bool {
		output, err := in.run("status", "--entry", in.address[entry+"-peer"], "--json")
		return err == nil && strings.Count(strings.ReplaceAll(output, " ", ""), `"ready":true`) >= targets
	})
}

func (in *installation) operatorConfiguration() string {
	return fmt.Sprintf(operatorTemplate, keyHash("clerk-key"), keyHash("planner-key"))
}

func keyHash(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

// apply applies a configuration. It retries, since the entry may still be starting.
func (in *installation) apply(entry, text string) {
	in.t.Helper()
	path := in.writeFile("operators.toml", text)
	in.eventually("operator configuration applied", func() bool {
		output, err := in.run("apply", "--entry", in.address[entry+"-peer"], "--timeout", "1s", path)
		if err != nil {
			in.t.Logf("apply: %v %s", err, output)
		}
		return err == nil || strings.Contains(output, "accepted")
	})
}

// servingAgent returns the name of the agent whose address an event id contains.
func (in *installation) servingAgent(eventID string) string {
	in.t.Helper()
	address := load.ServingAgent(eventID)
	for name, listenAddress := range in.address {
		if listenAddress == address && strings.HasPrefix(name, "agent-") {
			return name
		}
	}
	in.t.Fatalf("no agent has address %q of event id %q", address, eventID)
	return ""
}

// Guards against lost, repeated or mixed tokens when the serving engine crashes halfway.
func TestGenerationSurvivesEngineKill(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2, "", "entry0")
	request := completion(readPrompt(t))
	var got client.Completion
	killed := false
	err := in.caller("entry0").Complete(in.context(), request, &got, func(received *client.Completion) bool {
		if !killed && received.Tokens() >= maxTokens/2 {
			killed = true
			in.processes[strings.TrimPrefix(in.servingAgent(received.LastID), "agent-")].kill()
			in.checkStatusCall("entry0")
		}
		return true
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, killed, qt.IsTrue)
	in.assertIntact(&got, "v1", request)
}

// checkStatusCall asserts that a status call to the application engine succeeds.
func (in *installation) checkStatusCall(entry string) {
	in.t.Helper()
	status, body, err := in.caller(entry).Call(in.t.Context(), http.MethodGet, "counter", "/status/17", nil, "")
	qt.Assert(in.t, err, qt.IsNil)
	qt.Assert(in.t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}

// Guards against invalid requests that are refused with the wrong result code.
func TestRefusals(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1, "max_body_bytes = 4096", "entry0")
	cases := []struct {
		name, path, key, body, code string
	}{
		{"unknown service", "/v1/completions", "clerk-key", `{"model":"poems","prompt":"x"}`, "1004"},
		{"malformed body", "/v1/completions", "clerk-key", `{"model":`, "1001"},
		{"oversized body", "/v1/completions", "clerk-key", `{"model":"letters","prompt":"` + strings.Repeat("x", 5000) + `"}`, "1002"},
		{"unknown key", "/v1/completions", "nobody", `{"model":"letters","prompt":"x"}`, "1003"},
		{"non-idempotent call without key", "/counter/permits", "clerk-key", `{}`, "1006"},
		{"unknown route", "/counter/other", "clerk-key", `{}`, "1018"},
		{"unknown application service", "/parking/x", "clerk-key", `{}`, "1004"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, "http://"+in.address["entry0"]+test.path, bytes.NewReader([]byte(test.body)))
			qt.Assert(t, err, qt.IsNil)
			request.Header.Set("Authorization", "Bearer "+test.key)
			response, err := http.DefaultClient.Do(request)
			qt.Assert(t, err, qt.IsNil)
			defer response.Body.Close()
			raw, _ := io.ReadAll(response.Body)
			qt.Assert(t, response.Header.Get("Bramleygap-Code"), qt.Equals, test.code, qt.Commentf("%s", raw))
			qt.Assert(t, strings.Contains(string(raw), `"class":"not-run"`), qt.IsTrue)
		})
	}
}
