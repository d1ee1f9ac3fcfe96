package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
)

var noneWithdrawn = func(string) bool { return false }

// Guards against a version that gets more or less than its share of requests, and against
// a withdrawn version that still gets requests.
func TestSplit(t *testing.T) {
	c := qt.New(t)
	rows := []Row{{Service: "s", Version: "v2", Previous: "v1", State: Running, Step: 3}}
	share := func(withdrawn func(string) bool) map[string]int {
		got := map[string]int{}
		for seed := range uint64(10000) {
			got[Split(rows, withdrawn, seed)]++
		}
		return got
	}
	got := share(noneWithdrawn)
	c.Check(got["v2"] > 1800 && got["v2"] < 2200 && got["v1"] == 10000-got["v2"], qt.IsTrue, qt.Commentf("%v", got))
	c.Check(share(func(v string) bool { return v == "v2" }), qt.DeepEquals, map[string]int{"v1": 10000})
	rows[0].State = Done
	c.Check(share(noneWithdrawn), qt.DeepEquals, map[string]int{"v2": 10000})
	c.Check(share(func(v string) bool { return v == "v2" }), qt.DeepEquals, map[string]int{"v1": 10000})
}

// Guards against advancing from an outdated row or without the lease, against a rollout that
// is undecided at its deadline, and against a withdrawal that requires the table service.
func TestDecide(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000_000)
	self := Owner{"e1", 1}
	passed := evidence.Verdict{StepPassed: true, Passed: true}
	base := Input{
		Times: DefaultTimes(),
		Now:   now, ReadAt: now, Self: self, Loaded: true, Current: true, Verdict: passed,
		Row: Row{
			State: Running, Step: 4, Owner: "e1", Incarnation: 1, Fence: 3,
			StepSince: now.Add(-time.Hour).UnixMilli(), Deadline: now.Add(time.Hour).UnixMilli(),
			LeaseUntil: now.Add(DefaultTimes().Lease).UnixMilli(),
		},
	}
	decide := func(change func(*Input)) Output {
		in := base
		change(&in)
		return Decide(&in)
	}
	c.Check(decide(func(*Input) {}).Put.State, qt.Equals, Done)
	c.Check(decide(func(in *Input) { in.ReadAt = now.Add(-time.Minute) }).Put, qt.IsNil)
	c.Check(decide(func(in *Input) { in.Self.Name = "e2" }).Put, qt.IsNil, qt.Commentf("lease held by another"))
	takenOver := decide(func(in *Input) { in.Self, in.Row.LeaseUntil = Owner{"e2", 1}, now.Add(-2*time.Second).UnixMilli() })
	c.Check([]any{takenOver.Put.Owner, takenOver.Acquire, takenOver.Put.Step}, qt.DeepEquals, []any{"e2", true, 4})
	restarted := decide(func(in *Input) { in.Self.Incarnation = 2 })
	c.Check([]any{restarted.Acquire, restarted.Put.State}, qt.DeepEquals, []any{true, Running})
	fenced := decide(func(in *Input) { in.Fenced = true })
	c.Check([]any{fenced.Acquire, fenced.Put.State}, qt.DeepEquals, []any{true, Running})
	c.Check(decide(func(in *Input) { in.Current, in.Self.Incarnation = false, 2 }), qt.Equals, Output{})
	c.Check(NextFence(7, restarted.Put), qt.Equals, uint64(8))
	c.Check(NextFence(1, restarted.Put), qt.Equals, uint64(4), qt.Commentf("the row's token exceeds the service's"))
	c.Check(decide(func(in *Input) { in.Loaded = false }).Put, qt.IsNil)
	withdrawal := decide(func(in *Input) {
		in.Verdict = evidence.Verdict{Withdraw: true, Reason: "failures"}
		in.Self.Name, in.ReadAt = "e2", now.Add(-time.Hour)
	})
	c.Check(withdrawal.Withdraw, qt.Equals, "failures")
	c.Check(decide(func(in *Input) { in.Row.State, in.Row.Reason = Withdrawn, "by peer" }).Withdraw, qt.Equals, "by peer")
	late := func(in *Input) { in.Now, in.ReadAt = now.Add(time.Hour), now }
	c.Check(decide(late).Withdraw, qt.Not(qt.Equals), "")
	c.Check(decide(func(in *Input) { late(in); in.Row.State = Done }).Withdraw, qt.Equals, "")
	noVerdict := func(in *Input) {
		in.Verdict, in.Row.Deadline = evidence.Verdict{}, now.Add(DefaultTimes().DecideBefore-time.Second).UnixMilli()
	}
	c.Check(decide(noVerdict).Put, qt.IsNil)
	c.Check(decide(func(in *Input) { noVerdict(in); in.Row.OnTooLittleTraffic = FinishOnTooLittleTraffic }).Put.State, qt.Equals, Done)
	retire := func(in *Input) {
		in.Row.State, in.Row.KeepPrevious, in.Row.Ended = Done, 1000, now.Add(-2*time.Second).UnixMilli()
	}
	c.Check(decide(retire).Put.Retired, qt.IsTrue)
	c.Check(decide(func(in *Input) { retire(in); in.PreviousLoaded = true }).Put, qt.IsNil)
	c.Check(decide(func(in *Input) { retire(in); in.Self.Incarnation = 2 }).Acquire, qt.IsTrue)
	c.Check(decide(func(in *Input) { retire(in); in.Row.KeepPrevious = 0 }).Put, qt.IsNil)
	withdrawAfterDone := func(in *Input) {
		in.Verdict = evidence.Verdict{Withdraw: true, Reason: "failures"}
		in.Row.State, in.Row.Ended = Done, now.Add(-time.Minute).UnixMilli()
	}
	c.Check(decide(withdrawAfterDone).Withdraw, qt.Equals, "")
	c.Check(decide(func(in *Input) { withdrawAfterDone(in); in.Row.KeepPrevious = time.Hour.Milliseconds() }).Withdraw, qt.Equals, "failures")
}

// Scenario: an engine restarts with the version of its command line after a rollout has completed.
// Guards against an engine that never gets the completed version, and against loading a version
// that was withdrawn or replaced since.
func TestMissingVersionIsLoadedAfterCompletion(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000_000)
	targets := []membership.Target{
		{Name: "restarted", Service: "s", Ready: true, Versions: []string{"v1"}},
		{Name: "kept", Service: "s", Ready: true, Versions: []string{"v1", "v2", "v3"}},
	}
	rows := []Row{
		{Service: "s", Version: "v2", Previous: "v1", State: Done, Step: 4, Started: 1},
		{Service: "s", Version: "v3", Previous: "v2", State: Withdrawn, Step: 2, Started: 2},
	}
	current := func(targets []membership.Target, withdrawn func(string) bool) string {
		if r := Current(rows, withdrawn, targets, now); r != nil {
			return r.Version
		}
		return ""
	}
	c.Check(current(targets, noneWithdrawn), qt.Equals, "v2")
	c.Check(current(targets[1:], noneWithdrawn), qt.Equals, "")
	c.Check(current(targets, func(v string) bool { return v == "v2" }), qt.Equals, "")
	in := Input{Times: DefaultTimes(), Now: now, ReadAt: now, Row: rows[0], Self: Owner{"e1", 1}, Current: true, Missing: true}
	acquired := Decide(&in)
	c.Assert(acquired.Acquire, qt.IsTrue)
	in.Row = *acquired.Put
	c.Check(Decide(&in), qt.Equals, Output{}, qt.Commentf("the lease is held"))
	next := NextLoads(&in.Row, targets, nil, now)
	c.Assert(next, qt.HasLen, 1)
	c.Check(next[0].Name, qt.Equals, "restarted")
	rows[1].State = Done
	c.Check(current(targets, noneWithdrawn), qt.Equals, "v3", qt.Commentf("the last completed version"))
	in.Row = rows[0]
	in.Missing = false
	c.Check(Decide(&in), qt.Equals, Output{})
}

// Guards against loading a version on all targets at once, and in one zone only.
func TestLoadsAreStaggered(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var targets []membership.Target
	for i := range 20 {
		targets = append(targets, membership.Target{Name: fmt.Sprint(i), Zone: string(zones[i%3]), Service: "s", Ready: true})
	}
	row := &Row{Service: "s", Version: "v2", Step: 2} // next step: 20%, 5 of 20 targets
	ordered := map[string]time.Time{}
	perZone := map[string]int{}
	for round := range 3 {
		next := NextLoads(row, targets, ordered, now)
		c.Assert(len(next), qt.Equals, []int{2, 2, 1}[round])
		for _, n := range next {
			ordered[n.Name] = now
			perZone[n.Zone]++
		}
		c.Assert(NextLoads(row, targets, ordered, now), qt.HasLen, 0, qt.Commentf("loads in progress"))
		for i := range targets {
			if _, ok := ordered[targets[i].Name]; ok {
				targets[i].Versions = []string{"v2"}
			}
		}
	}
	c.Check(Loaded(row, targets), qt.IsTrue)
	c.Check(NextLoads(row, targets, ordered, now), qt.HasLen, 0)
	c.Check(len(perZone), qt.Equals, 3)
}

// Scenario: a version is completed at its deadline before the last step, when three of four targets
// have it. Guards against a fourth target that never gets requests again, and an owner that holds
// the lease for ever because that target lacks the version.
func TestVersionCompletedAtDeadlineIsLoadedOnAllTargets(t *testing.T) {
	c := qt.New(t)
	for step := 1; step < len(steps); step++ {
		row := Row{Service: "s", Version: "v2", Previous: "v1", State: Done, Step: step}
		targets := make([]membership.Target, 4)
		for i := range targets {
			versions := []string{"v1", "v2"}
			if i == 0 {
				versions = []string{"v1"}
			}
			targets[i] = membership.Target{Name: fmt.Sprint(i), Service: "s", Ready: true, Versions: versions}
		}
		c.Assert(Missing(&row, targets), qt.IsTrue)
		next := NextLoads(&row, targets, nil, time.UnixMilli(1_000_000_000))
		c.Assert(next, qt.HasLen, 1, qt.Commentf("step %d", step))
		c.Check(next[0].Name, qt.Equals, "0")
	}
}
