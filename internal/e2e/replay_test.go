package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/load"
	"bramleygap/internal/trace"
)

// processInjector injects the faults of a trace into the processes of an installation.
type processInjector struct{ in *installation }

// Inject implements load.Injector.
func (p processInjector) Inject(_ context.Context, fault trace.Event, servingAgent string) error {
	switch fault.Action {
	case trace.ActionKillEngine:
		p.in.processes[p.engineOf(servingAgent)].kill()
	case trace.ActionStoreOutage:
		p.in.control("platform", map[string]any{"outage": true})
	case trace.ActionStoreRecovery:
		p.in.control("platform", map[string]any{"outage": false})
	case trace.ActionDropStoreResponse:
		p.in.control("platform", map[string]any{"drop_answers": 1})
	case trace.ActionCutAppResponse:
		p.in.control("app0", map[string]any{"close_after_run": 1})
	default:
		return fmt.Errorf("action %q is not supported by this test", fault.Action)
	}
	return nil
}

func (p processInjector) engineOf(address string) string {
	for name, listenAddress := range p.in.address {
		if listenAddress == address && strings.HasPrefix(name, "agent-") {
			return strings.TrimPrefix(name, "agent-")
		}
	}
	p.in.t.Errorf("no agent has address %s", address)
	return ""
}

func (in *installation) control(name string, body map[string]any) {
	in.postJSON("http://"+in.address[name]+"/control", body)
}

// Guards against lost, repeated or truncated responses when a recorded workload is
// replayed with the faults of its trace.
func TestTraceReplayMeetsStatedOutcomes(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"otaru", "vatelin"} {
		t.Run(name, func(t *testing.T) {
			events, outcomes, err := load.ReadFiles("../../traces/"+name+".jsonl", "../../traces/"+name+".outcomes.jsonl")
			qt.Assert(t, err, qt.IsNil)
			in := startInstallation(t, 5, "", "entry0", "entry1")
			results, err := load.Replay(t.Context(), load.Options{
				Events: events, Outcomes: outcomes,
				URLs: []string{"http://" + in.address["entry0"], "http://" + in.address["entry1"]},
				Keys: map[string]string{
					"clerks": "clerk-key", "shrines": "planner-key", "planners": "planner-key", "workshops": "clerk-key",
				},
				Injector: processInjector{in},
			})
			qt.Assert(t, err, qt.IsNil)
			runs, err := load.FetchRuns(t.Context(), "http://"+in.address["app0"]+"/runs")
			qt.Assert(t, err, qt.IsNil)
			report := load.NewReport(results, outcomes, runs)
			t.Logf("longest gap %+v, first token %+v", report.LongestGap, report.FirstToken)
			qt.Assert(t, report.Breaches, qt.HasLen, 0, qt.Commentf("%v", report.Failures))
		})
	}
}
