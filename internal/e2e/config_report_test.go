package e2e

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	reportChanges = 50
	reportDrains  = 10
	// drainWatch is how long new attempts are counted after a drain.
	drainWatch = 3 * time.Second
)

// TestConfigurationReport measures; it has no bound. docs/configuration.md has its figures.
func TestConfigurationReport(t *testing.T) {
	if os.Getenv("BRAMLEYGAP_BENCH") == "" {
		t.Skip("set BRAMLEYGAP_BENCH=1 to measure")
	}
	in := startMembers(t, "")
	conn, err := rpc.Dial(in.address["entry0-peer"])
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	operator := wire.NewOperatorClient(conn)
	revision := in.status("entry0").GetConfigRevision()
	in.inForce("entry0", revision)
	var inForce []time.Duration
	for i := range reportChanges {
		started := time.Now()
		accepted, err := operator.Apply(t.Context(), &wire.ApplyRequest{
			ChangeId: fmt.Sprint("report-", i), Operator: "report", Text: in.noted(fmt.Sprint(i)), BaseRevision: revision,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted.GetCode(), qt.Equals, uint32(0), qt.Commentf("%s", accepted.GetMessage()))
		revision = accepted.GetRevision()
		for missing := true; missing; time.Sleep(5 * time.Millisecond) {
			status, err := operator.Status(t.Context(), &wire.StatusRequest{})
			qt.Assert(t, err, qt.IsNil)
			missing = len(status.GetMissing()) > 0 || len(status.GetNodes()) < 7
		}
		inForce = append(inForce, time.Since(started))
	}
	report(t, "apply until in force on 7 nodes", inForce)

	load := in.startLoad(12, 0, threeEntries...)
	load.more(20)
	var lastWork []time.Duration
	for i := range reportDrains {
		agent := fmt.Sprintf("agent-engine%d", i%3)
		count, marked, last := in.work(agent), time.Now(), time.Duration(0)
		_, err := operator.Drain(t.Context(), &wire.DrainRequest{Vm: "vm-" + agent})
		qt.Assert(t, err, qt.IsNil)
		for time.Since(marked) < drainWatch {
			if now := in.work(agent); now > count {
				count, last = now, time.Since(marked)
			}
		}
		lastWork = append(lastWork, last)
		in.operate("drain", "vm-"+agent, "--undo")
		in.everywhere(agent, false, threeEntries...)
		load.more(20)
	}
	load.end()
	report(t, "drain until the last new attempt", lastWork)
}

func report(t *testing.T, what string, times []time.Duration) {
	slices.Sort(times)
	at := func(percent int) time.Duration { return times[(len(times)*percent+99)/100-1].Round(time.Millisecond) }
	t.Logf("%s: n=%d p50=%s p95=%s max=%s", what, len(times), at(50), at(95), at(100))
}
