package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// workReport is a report, after a pause, of a target with streams of this and of other gateways.
type workReport struct {
	after      time.Duration
	report     WorkReport
	own, peers int
	// event is how long before the report a stream received an event, 0 for never.
	event time.Duration
}

// observe lets a fleet observe reports of a target, the first one at the given time, and returns the
// time of the last one.
func observe(c *qt.C, f *Fleet, id string, at time.Time, reports []workReport) time.Time {
	own := 0
	for _, r := range reports {
		for ; own < r.own; own++ {
			f.BeginStream(now, id, "", typicalSize)
		}
		at = at.Add(r.after)
		f.SetPeerLoads("p", at, []ReportedLoad{{KeyOf(id), PeerLoad{Streams: r.peers}}})
		var event time.Time
		if r.event > 0 {
			event = at.Add(-r.event)
		}
		f.ObserveWork(at, id, r.report, event)
		c.Assert(f.Progress(at.Add(maxReportGap+1), id), qt.Equals, ProgressUnknown)
	}
	return at
}

// Guards against engines that count as hung although they work, from which streams were moved in
// vain under overload, and against hung ones that keep their streams.
func TestProgress(t *testing.T) {
	const step = 450 * time.Millisecond
	for name, test := range map[string]struct {
		reports []workReport
		want    Progress
	}{
		"no report": {want: ProgressUnknown},
		"loaded, all streams run or wait": {
			reports: []workReport{{0, WorkReport{2, 4, 50_000}, 2, 4, 0}, {step, WorkReport{2, 4, 50_040}, 2, 4, 0}, {step, WorkReport{1, 5, 52_000}, 2, 4, 0}},
			want:    Working,
		},
		"a request hangs, others run": {
			reports: []workReport{{0, WorkReport{0, 2, 12_000}, 1, 2, 0}, {step, WorkReport{0, 2, 12_050}, 1, 2, 0}, {step, WorkReport{0, 2, 12_100}, 1, 2, 0}},
			want:    Missing,
		},
		"the only request hangs": {
			reports: []workReport{{0, WorkReport{}, 1, 0, 0}, {step, WorkReport{}, 1, 0, 0}, {step, WorkReport{}, 1, 0, 0}},
			want:    Missing,
		},
		"one report is older than the end of another gateway's stream": {
			reports: []workReport{{0, WorkReport{0, 3, 18_000}, 1, 2, 0}, {step, WorkReport{0, 2, 12_000}, 1, 2, 0}},
			want:    Suspect,
		},
		"corrected by the next report": {
			reports: []workReport{{0, WorkReport{0, 2, 12_000}, 1, 2, 0}, {step, WorkReport{0, 2, 12_050}, 1, 1, 0}, {step, WorkReport{0, 2, 12_100}, 1, 1, 0}},
			want:    Working,
		},
		"probes of several streams at once": {
			reports: []workReport{{0, WorkReport{0, 2, 12_000}, 1, 2, 0}, {time.Millisecond, WorkReport{0, 2, 12_000}, 1, 2, 0}, {time.Millisecond, WorkReport{0, 2, 12_000}, 1, 2, 0}},
			want:    Suspect,
		},
		"one long prompt is read by a slow engine": {
			reports: []workReport{{0, WorkReport{0, 1, 9_000}, 1, 0, 0}, {2 * time.Second, WorkReport{0, 1, 9_000}, 1, 0, 0}, {2 * time.Second, WorkReport{0, 1, 9_000}, 1, 0, 0}, {2 * time.Second, WorkReport{0, 1, 9_000}, 1, 0, 0}},
			want:    Working,
		},
		"accepted by an engine that does nothing": {
			reports: []workReport{{0, WorkReport{1, 1, 2_000}, 2, 0, 0}, {2 * time.Second, WorkReport{1, 1, 2_000}, 2, 0, 0}, {2 * time.Second, WorkReport{1, 1, 2_000}, 2, 0, 0}},
			want:    Stopped,
		},
		"the same report with events": {
			reports: []workReport{{0, WorkReport{1, 1, 2_000}, 2, 0, 0}, {2 * time.Second, WorkReport{1, 1, 2_000}, 2, 0, 0}, {2 * time.Second, WorkReport{1, 1, 2_000}, 2, 0, time.Second}},
			want:    Working,
		},
		"the same report before and after a long pause": {
			reports: []workReport{{0, WorkReport{1, 1, 0}, 2, 0, 0}, {maxReportGap + 1, WorkReport{1, 1, 0}, 2, 0, 0}},
			want:    Working,
		},
		"an idle engine": {
			reports: []workReport{{0, WorkReport{}, 0, 0, 0}, {2 * time.Second, WorkReport{}, 0, 0, 0}, {2 * time.Second, WorkReport{}, 0, 0, 0}},
			want:    Working,
		},
		"the gateway was suspended between reports": {
			reports: []workReport{{0, WorkReport{0, 1, 2_000}, 2, 0, 0}, {step, WorkReport{0, 1, 2_050}, 2, 0, 0}, {time.Second, WorkReport{0, 1, 2_100}, 2, 0, 0}},
			want:    Suspect,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet("g", engines(1))
			at := observe(c, f, engineID(0), now.Add(reportLag), test.reports)
			c.Check(f.Progress(at, engineID(0)), qt.Equals, test.want)
		})
	}
}

// Guards against a stream that has just been sent and counts as missing because the report was made
// before.
func TestReportBeforeStreamSaysNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet("g", engines(1))
	at := observe(c, f, engineID(0), now.Add(reportLag-1), []workReport{{0, WorkReport{}, 2, 0, 0}})
	c.Check(f.Progress(at, engineID(0)), qt.Equals, Working)
}

// Guards against what a target reported before its restart being held against the new instance.
func TestProgressOfRestartedTarget(t *testing.T) {
	c := qt.New(t)
	list := engines(1)
	f := newFleet("g", list)
	at := observe(c, f, engineID(0), now.Add(reportLag), []workReport{{0, WorkReport{}, 1, 0, 0}, {maxMissingGap, WorkReport{}, 1, 0, 0}, {maxMissingGap, WorkReport{}, 1, 0, 0}})
	c.Assert(f.Progress(at, engineID(0)), qt.Equals, Missing)
	list[0].StartUnixMS++
	f.Update(list, func(string) int { return 0 })
	c.Check(f.Progress(at, engineID(0)), qt.Equals, ProgressUnknown)
}

// Scenario: an engine accepts requests and does not work on them, so that it looks idle. Guards against
// streams that are sent there one after the other, by this gateway and by others, and hang too.
func TestHungTargetIsAvoided(t *testing.T) {
	c := qt.New(t)
	hung := engineID(0)
	f, other := newFleet("g", engines(2)), newFleet("h", engines(2))
	id := f.BeginStream(now, hung, "", typicalSize)
	at := observe(c, f, hung, now.Add(reportLag), []workReport{{0, WorkReport{}, 0, 0, 0}, {maxMissingGap, WorkReport{}, 0, 0, 0}, {maxMissingGap, WorkReport{}, 0, 0, 0}})
	c.Assert(f.Progress(at, hung), qt.Equals, Missing)
	f.EndStream(at, hung, "", id, typicalSize, true)
	other.SetPeerLoads("g", at, f.LocalLoads(at))
	for range 2 {
		// Each prompt is read in about a second.
		f.BeginStream(at, engineID(1), "", typicalSize)
		other.BeginStream(at, engineID(1), "", typicalSize)
	}
	for _, f := range []*Fleet{f, other} {
		reg, ok := f.ChooseEngine(at, fleetQuery, typicalSize)
		c.Assert(ok, qt.IsTrue)
		c.Check(reg.ID, qt.Equals, engineID(1))
	}
	// The evidence ages.
	later := at.Add(maxReportGap + time.Second)
	for _, f := range []*Fleet{f, other} {
		reg, _ := f.ChooseEngine(later, fleetQuery, typicalSize)
		c.Check(reg.ID, qt.Equals, hung)
	}
}
