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
	// drainObservation is the time after a drain during which new attempts are counted.
	drainObservation = 3 * time.Second
)

// TestConfigurationReport measures how fast changes and drains take effect. It asserts no
// limit. Its results are in docs/configuration.md.
func TestConfigurationReport(t *testing.T) {
	if os.Getenv("BRAMLEYGAP_BENCH") == "" {
		t.Skip("set BRAMLEYGAP_BENCH=1 to measure")
	}
	in := startThreeEntries(t, "")
	conn, err := rpc.Dial(in.address["entry0-peer"])
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	operator := wire.NewOperatorClient(conn)
	revision := in.status("entry0").GetConfigRevision()
	in.waitInForce("entry0", revision)
	var applyTimes []time.Duration
	for i := range reportChanges {
		started := time.Now()
		accepted, err := operator.Apply(t.Context(), &wire.ApplyRequest{
			ChangeId: fmt.Sprint("report-", i), Operator: "report", Text: in.configWithNote(fmt.Sprint(i)), BaseRevision: revision,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted.GetCode(), qt.Equals, uint32(0), qt.Commentf("%s", accepted.GetMessage()))
		revision = accepted.GetRevision()
		for missing := true; missing; time.Sleep(5 * time.Millisecond) {
			status, err := operator.Status(t.Context(), &wire.StatusRequest{})
			qt.Assert(t, err, qt.IsNil)
			missing = len(status.GetMissing()) > 0 || len(status.GetNodes()) < 7
		}
		applyTimes = append(applyTimes, time.Since(started))
	}
	logQuantiles(t, "apply until in force on 7 nodes", applyTimes)

	load := in.startLoad(12, 0, threeEntries...)
	load.waitFinished(20)
	var lastAttempts []time.Duration
	for i := range reportDrains {
		agent := fmt.Sprintf("agent-engine%d", i%3)
		count, drainedAt, last := in.startedWork(agent), time.Now(), time.Duration(0)
		_, err := operator.Drain(t.Context(), &wire.DrainRequest{Vm: "vm-" + agent})
		qt.Assert(t, err, qt.IsNil)
		for time.Since(drainedAt) < drainObservation {
			if current := in.startedWork(agent); current > count {
				count, last = current, time.Since(drainedAt)
			}
		}
		lastAttempts = append(lastAttempts, last)
		in.mustRun("drain", "vm-"+agent, "--undo")
		in.waitLeavingEverywhere(agent, false, threeEntries...)
		load.waitFinished(20)
	}
	load.finish()
	logQuantiles(t, "drain until the last new attempt", lastAttempts)
}

func logQuantiles(t *testing.T, what string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(percent int) time.Duration { return times[(len(times)*percent+99)/100-1].Round(time.Millisecond) }
	t.Logf("%s: n=%d p50=%s p95=%s max=%s", what, len(times), quantile(50), quantile(95), quantile(100))
}
