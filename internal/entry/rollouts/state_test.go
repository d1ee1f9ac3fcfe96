package rollouts

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/rollout"
)

// completedRollout is an entry on which v2 has just replaced v1. The service's requests took 100 ms
// to the first token and 10 ms per token on both versions.
type completedRollout struct {
	*state
	tracked   *trackedRollout
	now       time.Time
	withdrawn string
}

func newCompletedRollout() *completedRollout {
	r := &completedRollout{now: time.Now()}
	table := newTable()
	table.down = true // the rows are applied directly
	r.state = newState(New(Options{
		EntryName: "e1", Incarnation: 1, Table: table, Logger: zerolog.Nop(), Config: func() *adoption.Adopted { return nil },
		Snapshot:  func() *membership.Snapshot { return nil },
		Withdrawn: func(_, version string) bool { return version == "v2" && r.withdrawn != "" },
		Withdraw:  func(_, _, reason string) { r.withdrawn = reason },
	}), context.Background())
	row := rollout.Row{
		Service: "s", Version: "v2", Previous: "v1", State: rollout.Running, Step: 4, Started: r.now.UnixMilli(),
		Deadline: r.now.Add(time.Hour).UnixMilli(), KeepPrevious: time.Hour.Milliseconds(),
	}
	r.applyRow(r.now, row, 1)
	r.publishRows()
	r.tracked = r.rollouts[versionKey{"s", "v2"}]
	for range 300 {
		r.serve("v1", 1)
		r.serve("v2", 1)
	}
	row.State, row.Ended = rollout.Done, r.now.UnixMilli()
	r.applyRow(r.now, row, 2)
	r.publishRows()
	return r
}

// serve records a request whose latencies are a multiple of the usual ones, 100 ms after the one
// before.
func (r *completedRollout) serve(version string, factor int) {
	r.now = r.now.Add(100 * time.Millisecond)
	latency := time.Duration(factor) * 10 * time.Millisecond
	key := evidence.Key{Service: "s", Version: version, Route: "r", Zone: "a"}
	r.observe(r.now, key, placement.Outcome{FirstToken: 10 * latency, TokenInterval: latency}, false)
	r.evaluate(r.now, r.tracked)
}

// Scenario: a machine gets busy just after a version took over all requests, so that each takes
// twice as long. Guards against a good version that loses all traffic to the previous one: without
// requests of that version it cannot be told whether it would be slower as well.
func TestCommonSlowdownAfterCompletion(t *testing.T) {
	c := qt.New(t)
	r := newCompletedRollout()
	for range 3000 {
		r.serve("v2", 2)
	}
	c.Check(r.withdrawn, qt.Equals, "")
	c.Check(r.manager.Split("s", "r", 1), qt.Equals, "v2")
}

// Guards against keeping a completed version whose requests became much slower than those of the
// previous version ever were.
func TestMuchSlowerVersionIsWithdrawnAfterCompletion(t *testing.T) {
	c := qt.New(t)
	r := newCompletedRollout()
	for n := 0; n < 100 && r.withdrawn == ""; n++ {
		r.serve("v2", 6)
	}
	c.Check(r.withdrawn, qt.Equals, "slowness of all requests")
	c.Check(r.manager.Split("s", "r", 1), qt.Equals, "v1")
}
