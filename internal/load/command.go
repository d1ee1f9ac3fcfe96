package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"bramleygap/internal/trace"
)

// Command is the command line of `bramleygap load`.
type Command struct {
	Trace    string            `arg:"" type:"existingfile" help:"Trace file (JSON Lines, see docs/traces.md)."`
	Outcomes string            `type:"existingfile" help:"Outcome file to check the answers against."`
	URL      []string          `required:"" help:"Base URL of an entry; repeat for more."`
	Key      map[string]string `required:"" help:"Bearer key of a client account, ACCOUNT=KEY; repeat for more."`
	Speed    float64           `default:"1" help:"Replay this many times faster."`
	RunsURL  string            `help:"URL of the application engine stand-in's run counters, to check non-idempotent calls."`
	Control  map[string]string `help:"Control URL of a stand-in, TARGET=URL; TARGET is platform, application, or the IP:PORT of the agent beside a model engine. Faults of other targets are skipped."`
	Metrics  []string          `help:"Base URL of an entry's admin server, to report resume latency and extra tokens; repeat for more."`
	JSON     bool              `name:"json" help:"Print the report as JSON."`
}

// errBreach makes the command exit with a non-zero status.
var errBreach = eris.New("stated outcomes were breached")

// Run replays the trace and prints the report. It fails if an outcome is breached.
func (c *Command) Run(ctx context.Context) error {
	events, outcomes, err := ReadFiles(c.Trace, c.Outcomes)
	if err != nil {
		return err
	}
	before, err := ScrapeEntries(ctx, c.Metrics)
	if err != nil {
		return err
	}
	results, err := Replay(ctx, Options{
		Events: events, Outcomes: outcomes, URLs: c.URL, Keys: c.Key, Speed: c.Speed,
		Injector: controlInjector(c.Control), Progress: c.progress,
	})
	if err != nil {
		return err
	}
	var runs map[string]int
	if c.RunsURL != "" {
		if runs, err = FetchRuns(ctx, c.RunsURL); err != nil {
			return err
		}
	}
	report := NewReport(results, outcomes, runs)
	if len(c.Metrics) > 0 {
		after, err := ScrapeEntries(ctx, c.Metrics)
		if err != nil {
			return err
		}
		report.EntryMetrics = after.Since(before, report.Tokens)
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.Write(os.Stdout)
	}
	if err == nil && len(report.Breaches) > 0 {
		return errBreach
	}
	return err
}

// progress prints a counter if standard error is a terminal.
func (c *Command) progress(finished, total int) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return
	}
	fmt.Fprintf(os.Stderr, "\r%d of %d requests finished", finished, total)
	if finished == total {
		fmt.Fprintln(os.Stderr)
	}
}

// ReadFiles decodes a trace and, if outcomesPath is not empty, its outcomes.
func ReadFiles(tracePath, outcomesPath string) ([]trace.Event, map[string]trace.Outcome, error) {
	file, err := os.Open(tracePath)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	events, err := trace.Decode(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, tracePath)
	}
	if outcomesPath == "" {
		return events, nil, nil
	}
	outcomeFile, err := os.Open(outcomesPath)
	if err != nil {
		return nil, nil, err
	}
	defer outcomeFile.Close()
	outcomes, err := trace.DecodeOutcomes(outcomeFile)
	if err != nil {
		return nil, nil, eris.Wrap(err, outcomesPath)
	}
	return events, outcomes, nil
}

// FetchRuns reads the run counters by idempotency key from an application engine stand-in.
func FetchRuns(ctx context.Context, url string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var counters struct {
		ByKey map[string]int `json:"by_key"`
	}
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		return nil, eris.Wrap(err, url)
	}
	return counters.ByKey, nil
}

// controlInjector injects faults through the control URLs of stand-ins, by target.
type controlInjector map[string]string

var controlBodies = map[trace.Action]string{
	trace.ActionKillEngine:        `{"crash":true}`,
	trace.ActionFreezeEngine:      `{"freeze":true}`,
	trace.ActionStoreOutage:       `{"outage":true}`,
	trace.ActionStoreRecovery:     `{"outage":false}`,
	trace.ActionDropStoreResponse: `{"drop_answers":1}`,
	trace.ActionCutAppResponse:    `{"close_after_run":1}`,
}

// defaultTargets maps actions to the target of a fault that names none. The default target of
// an engine fault is the engine behind the agent that serves the generation.
var defaultTargets = map[trace.Action]string{
	trace.ActionStoreOutage:       "platform",
	trace.ActionStoreRecovery:     "platform",
	trace.ActionDropStoreResponse: "platform",
	trace.ActionCutAppResponse:    "application",
}

// Inject posts the fault to its target's control URL. It skips a target without one.
func (c controlInjector) Inject(ctx context.Context, fault trace.Event, servingAgent string) error {
	target := cmp.Or(fault.Target, defaultTargets[fault.Action], servingAgent)
	url, body := c[target], controlBodies[fault.Action]
	if url == "" || body == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil && fault.Action == trace.ActionKillEngine {
		// The engine may exit before it responds.
		return nil
	}
	if err != nil {
		return err
	}
	return response.Body.Close()
}
