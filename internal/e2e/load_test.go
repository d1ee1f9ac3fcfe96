package e2e

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/load"
)

const smallTrace = `
{"at_ms":0,"kind":"generation","id":"g","account":"clerks","service":"letters","prompt":"safety conditions","max_tokens":60}
{"at_ms":0,"kind":"fault","action":"kill_engine","after_id":"g","after_tokens":30}
{"at_ms":10,"kind":"call","id":"c","account":"clerks","service":"counter","method":"POST","path":"/permits","body":{"n":1},"key":"load-c"}
`

// Guards against a load command that reports success although a stated outcome is
// breached, or that reports no resume for a generation whose engine was killed.
func TestLoadCommandChecksOutcomes(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 3, "", "entry0")
	arguments := []string{"load", in.writeFile("small.jsonl", smallTrace), "--json",
		"--url", "http://" + in.address["entry0"], "--key", "clerks=clerk-key",
		"--runs-url", "http://" + in.address["app0"] + "/runs",
		"--metrics", "http://" + in.address["entry0-admin"]}
	for _, engine := range []string{"engine0", "engine1", "engine2"} {
		arguments = append(arguments, "--control", in.address["agent-"+engine]+"=http://"+in.address[engine]+"/control")
	}
	metOutcomes := in.writeFile("kept.jsonl", `{"id":"g","complete":true,"tokens":60}`+"\n"+`{"id":"c","complete":true,"runs":1}`)
	output, err := in.run(append(arguments, "--outcomes", metOutcomes)...)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	var report load.Report
	qt.Assert(t, json.Unmarshal([]byte(output), &report), qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, report.Complete, qt.Equals, 2)
	qt.Assert(t, report.EntryMetrics.Resumes, qt.Equals, uint64(1))

	breachedOutcomes := in.writeFile("breached.jsonl", `{"id":"c","complete":true,"runs":0}`)
	output, err = in.run(append(arguments, "--outcomes", breachedOutcomes)...)
	qt.Assert(t, err, qt.ErrorMatches, "exit status .*")
	qt.Assert(t, strings.Contains(output, "ran 1 times, stated 0"), qt.IsTrue, qt.Commentf("%s", output))
}
