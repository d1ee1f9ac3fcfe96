package suspect

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

var now = time.Unix(1_000_000, 0)

func newDeath(n int, zone string, after time.Duration, fingerprints ...uint64) Death {
	return Death{
		ID: fmt.Sprintf("d%d", n), Target: fmt.Sprintf("t%d", n), VM: fmt.Sprintf("vm%d", n), Zone: zone,
		At: now.Add(after), Fingerprints: fingerprints,
	}
}

// Guards against a crashing request that is sent to several entries and crashes CrashLimit
// engines through each of them, and against rejecting the requests that ran beside it.
func TestCrashLimitHoldsAcrossEntries(t *testing.T) {
	c := qt.New(t)
	entries := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
	const crasher = 1
	engines := 0
	at := time.Duration(0)
	for send := range 9 {
		entry := entries[send%3]
		for !entry.Rejected(crasher, now.Add(at)) {
			engines++
			// New neighbours each time: earlier ones are suspects and run on other targets.
			entry.Report(newDeath(engines, "a", at, crasher, uint64(100+engines), uint64(200+engines)), now.Add(at))
			at += time.Second
			if engines%2 == 1 {
				break // the caller times out and sends the request to another entry
			}
		}
		for _, peer := range entries {
			peer.Merge(entry.Export(now.Add(at)), now.Add(at))
		}
	}
	c.Check(engines, qt.Equals, 3)
	for _, entry := range entries {
		c.Check(entry.Rejected(crasher, now.Add(at)), qt.IsTrue)
		for f := range entry.suspects {
			c.Check(f == crasher || !entry.Rejected(f, now.Add(at)), qt.IsTrue, qt.Commentf("neighbour %d", f))
		}
	}
}

// Guards against counting the failure of a zone or VM as crashes by its requests.
func TestZoneAndVMLossesDoNotCount(t *testing.T) {
	c := qt.New(t)
	sameZone := NewTracker()
	for i := range 5 {
		sameZone.Report(newDeath(i, "a", time.Duration(i)*time.Second, uint64(i), uint64(10+i)), now.Add(5*time.Second))
	}
	for _, r := range sameZone.Export(now) {
		c.Check(sameZone.Crashes(r.Fingerprint, now), qt.Equals, 0)
	}
	separate := NewTracker()
	separate.Report(newDeath(1, "a", 0, 1), now)
	separate.Report(newDeath(2, "b", 0, 2), now)
	separate.Report(newDeath(3, "a", 6*time.Second, 3), now.Add(6*time.Second))
	for f := uint64(1); f <= 3; f++ {
		c.Check(separate.Crashes(f, now.Add(6*time.Second)), qt.Equals, 1)
	}
	separate.VMLost("vm3", now.Add(7*time.Second))
	c.Check(separate.Crashes(3, now.Add(7*time.Second)), qt.Equals, 0)
	c.Check(separate.Crashes(1, now.Add(7*time.Second)), qt.Equals, 1)
}

// Guards against counting a crash twice if it is reported by the stream, without a zone, and
// by heartbeats, with one.
func TestCrashCountsOnce(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	c.Check(tr.Report(Death{ID: "d1", At: now, Fingerprints: []uint64{1}}, now), qt.IsTrue)
	c.Check(tr.Report(newDeath(1, "a", 0, 1), now), qt.IsFalse)
	c.Check(tr.Crashes(1, now), qt.Equals, 1)
	tr.Report(newDeath(2, "a", time.Second, 2), now.Add(time.Second))
	c.Check(tr.Crashes(1, now), qt.Equals, 0, qt.Commentf("zone learned later"))
}

// Guards against clearing a request that crashes its target after a long run, and against
// never clearing a request.
func TestClearing(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.Report(newDeath(1, "a", 0, 1, 2), now)
	tr.RecordCrashedRun(1, 30*time.Second)
	c.Check(tr.ClearIfSafe(1, 35*time.Second, false), qt.IsFalse)
	c.Check(tr.ClearIfSafe(1, 41*time.Second, false), qt.IsTrue)
	c.Check(tr.Crashes(1, now), qt.Equals, 0)
	c.Check(tr.ClearIfSafe(2, time.Second, true), qt.IsTrue)
	tr.Report(newDeath(1, "a", 0, 1), now)
	c.Check(tr.Crashes(1, now), qt.Equals, 0, qt.Commentf("cleared death reported again"))
	tr.Report(newDeath(2, "b", 0, 1), now)
	c.Check(tr.Crashes(1, now), qt.Equals, 1)
	c.Check(tr.Crashes(1, now.Add(crashTTL)), qt.Equals, 0)
	tr.Expire(now.Add(crashTTL))
	c.Check(tr.Len(), qt.Equals, 0)
}

// Guards against memory that grows with the number of crashes, and against evicting the
// requests closest to rejection first.
func TestRecordLimit(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.Report(newDeath(1, "a", 0, 1), now)
	tr.Report(newDeath(2, "b", 0, 1), now)
	for i := range 3 * maxRecords {
		tr.Merge([]Record{{Fingerprint: uint64(10 + i), Deaths: []string{"x"}, Expires: now.Add(time.Minute)}}, now)
		c.Assert(tr.Len() <= maxRecords, qt.IsTrue)
	}
	c.Check(tr.Crashes(1, now), qt.Equals, 2)
}

// Guards against entries that disagree after merging the same states in different orders or
// more than once.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) Record {
		ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 3)
		deaths := ids.Draw(t, "deaths")
		return Record{
			Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "f"),
			Deaths:      deaths, Cleared: ids.Draw(t, "cleared"), Explained: deaths[:rapid.IntRange(0, len(deaths)).Draw(t, "explained")],
			Expires: now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "s")) * time.Second),
			Known:   rapid.Bool().Draw(t, "known"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOfN(rapid.SliceOfN(record, 0, 4), 1, 4).Draw(t, "states")
		a, b := NewTracker(), NewTracker()
		for i := range states {
			a.Merge(states[i], now)
			b.Merge(states[len(states)-1-i], now)
		}
		b.Merge(states[0], now)
		if got, want := fmt.Sprint(b.Export(now)), fmt.Sprint(a.Export(now)); got != want {
			t.Fatalf("%s\n%s", got, want)
		}
		if a.Digest() != b.Digest() {
			t.Fatal("digests differ")
		}
		for f := uint64(1); f <= 3; f++ {
			if a.Crashes(f, now) != b.Crashes(f, now) {
				t.Fatalf("counts differ for %d", f)
			}
			if a.CrashesLeft(f, now) != b.CrashesLeft(f, now) {
				t.Fatalf("verdicts differ for %d", f)
			}
		}
	})
}

// Guards against a request that stays rejected for seconds after a part of its prompt has crashed targets, as the first
// ones with that text do.
func TestRequestWithSuspectPromptIsTriedSoon(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	request := Request{Content: 1, Whole: 2}
	at := now
	for i := range CrashLimit {
		at = now.Add(time.Duration(i) * time.Second)
		d := newDeath(i, fmt.Sprint("z", i), at.Sub(now), 1)
		tr.Report(d, at)
		tr.ReportPartCrash(d.ID, at, []Candidate{{Request: request, Parts: []uint64{7}}}, at)
	}
	c.Check(tr.Rejects(request, at), qt.IsTrue)
	c.Check(tr.TakeRequestTrial(request, nil, at.Add(soonTrialDelay)), qt.IsTrue)
}

// Guards against a request that is rejected by mistake for as long as crashes count, and against more trials of one
// that does crash targets than the users permit.
func TestTrialsOfRejectedRequest(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	request := Request{Content: 1, Whole: 2}
	at := now
	for i := range CrashLimit {
		at = now.Add(time.Duration(i) * time.Second)
		c.Check(tr.Rejected(1, at), qt.IsFalse)
		tr.Report(newDeath(i, fmt.Sprint("z", i), at.Sub(now), 1), at)
	}
	trials := 0
	for range 9 * 60 {
		at = at.Add(time.Second)
		if tr.TakeRequestTrial(request, nil, at) {
			trials++
			c.Check(tr.TakeRequestTrial(request, nil, at), qt.IsFalse)
			tr.Report(newDeath(10+trials, fmt.Sprint("z", 10+trials), at.Sub(now), 1), at)
		}
	}
	c.Check(trials, qt.Equals, maxLateCrashes)
	c.Check(tr.Rejected(1, at), qt.IsTrue)
	tr.Completed(request, time.Second)
	c.Check(tr.Rejects(request, at), qt.IsFalse)
}

// Guards against a request that ends targets by its prompt and is taken for all others with its content, or for none.
func TestRequestsWithKnownContentAreToldApart(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	sound, crashing := Request{Content: 1, Whole: 2}, Request{Content: 1, Whole: 3}
	c.Check(Request{Content: 1, Whole: 1}.Identities(), qt.DeepEquals, []uint64{1})
	tr.Completed(sound, time.Second)
	for i := range CrashLimit {
		at := now.Add(time.Duration(i) * time.Second)
		tr.Report(newDeath(i, fmt.Sprint("z", i), at.Sub(now), crashing.Identities()...), at)
	}
	c.Check(tr.Rejects(crashing, now), qt.IsTrue)
	c.Check(tr.Rejects(sound, now), qt.IsFalse)
}

// Guards against rejecting a request that has completed after as few crashes as one that never has, and against
// trackers that forget it when they exchange.
func TestKnownRequestIsRejectedLater(t *testing.T) {
	c := qt.New(t)
	knows, learns := NewTracker(), NewTracker()
	knows.ClearIfSafe(1, time.Second, true)
	for i := range knownLimit {
		c.Check(knows.Rejected(1, now), qt.IsFalse)
		c.Check(learns.Rejected(1, now), qt.IsFalse)
		at := now.Add(time.Duration(i) * time.Second)
		knows.Report(newDeath(i, fmt.Sprint("z", i), at.Sub(now), 1, 2), at)
		learns.Merge(knows.Export(at), at)
		c.Check(learns.Rejected(2, at), qt.Equals, i+1 >= CrashLimit)
	}
	c.Check(knows.Rejected(1, now), qt.IsTrue)
	c.Check(learns.Rejected(1, now), qt.IsTrue)
	c.Check(learns.isKnown(1), qt.IsTrue)
	c.Check(learns.Digest(), qt.Equals, knows.Digest())
}

// Load pattern: a popular request runs on all targets, and they end at one moment, in whatever zones; several trackers
// see a part of it each. Guards against rejecting the request, which has no part in it, and against a request that
// ends one target after another, each after it came there, and is taken for such a one.
func TestCrashesAtOneMomentAreOneEvent(t *testing.T) {
	for _, tc := range []struct {
		name string
		// apart is the time between two crashes, and run how long the request had been at each target.
		apart, run time.Duration
		rejected   bool
	}{
		{"at one moment", 0, 90 * time.Millisecond, false},
		{"within a few ms", 3 * time.Millisecond, 90 * time.Millisecond, false},
		{"one after another", 100 * time.Millisecond, 90 * time.Millisecond, true},
	} {
		c := qt.New(t)
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		at := now
		for _, tr := range trackers {
			tr.ClearIfSafe(1, time.Second, true)
		}
		for i := range 9 {
			at = at.Add(tc.apart)
			d := newDeath(i, fmt.Sprint("z", i), at.Sub(now), 1)
			d.Runs = []time.Duration{tc.run}
			trackers[i%3].Report(d, at)
		}
		for range 2 {
			for _, to := range trackers {
				for _, from := range trackers {
					to.Merge(from.Export(at), at)
				}
			}
		}
		for _, tr := range trackers {
			c.Check(tr.Rejected(1, at), qt.Equals, tc.rejected, qt.Commentf(tc.name))
			c.Check(tr.Crashes(1, at), qt.Equals, 9, qt.Commentf(tc.name))
		}
	}
}

// Guards against a request that nobody has completed yet and that stays rejected after all targets ended at one moment:
// its first trial must come as soon as they are back.
func TestDoubtedRequestIsTriedSoon(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	for i := range 9 {
		d := newDeath(i, fmt.Sprint("z", i), 0, 1)
		d.Runs = []time.Duration{time.Second}
		tr.Report(d, now)
	}
	c.Check(tr.Rejected(1, now), qt.IsTrue)
	request := Request{Content: 1, Whole: 1}
	c.Check(tr.TakeRequestTrial(request, nil, now.Add(soonTrialDelay-time.Millisecond)), qt.IsFalse)
	c.Check(tr.TakeRequestTrial(request, nil, now.Add(soonTrialDelay)), qt.IsTrue)
}

// Load pattern: a prompt part ends three targets within 1 ms under requests of one text, which nobody has completed yet;
// requests with the part go on, beside many sound ones. Guards against a trial of the text by a request with the part:
// its crash put off the next trial by 30 s, for which all sound requests were refused.
func TestTrialOfTextAvoidsSuspectPart(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	const text = uint64(7)
	for i := range 3 {
		at := now.Add(time.Duration(i) * 300 * time.Microsecond)
		crashing, sound := Request{text, uint64(100 + i)}, Request{text, uint64(200 + i)}
		d := Death{ID: fmt.Sprint("e", i), Target: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i), At: at, Fingerprints: append(crashing.Identities(), sound.Whole)}
		tr.Report(d, at)
		tr.ReportPartCrash(d.ID, at, []Candidate{{crashing, []uint64{popular, alsoCrashing}, time.Second}, {sound, []uint64{popular, session + uint64(i)}, time.Second}}, at)
	}
	due := now.Add(soonTrialDelay + time.Millisecond)
	crashing, sound := Request{text, 999}, Request{text, 998}
	c.Assert(tr.Rejects(sound, due), qt.IsTrue)
	c.Assert(tr.CondemnedParts([]uint64{popular, alsoCrashing}), qt.IsNil)
	// No gateway could make the trial when it was due.
	due = due.Add(3 * time.Second)
	c.Check(tr.TakeRequestTrial(crashing, []uint64{popular, alsoCrashing}, due), qt.IsFalse)
	c.Check(tr.RequestTrialDue(crashing, []uint64{popular, alsoCrashing}, due.Add(trialPatience/2)), qt.IsFalse)
	c.Check(tr.RequestTrialDue(crashing, []uint64{popular, alsoCrashing}, due.Add(trialPatience)), qt.IsTrue, qt.Commentf("no sound request comes"))
	c.Check(tr.TakeRequestTrial(sound, []uint64{popular, session + 9}, due), qt.IsTrue)
	tr.Completed(sound, time.Second)
	c.Check(tr.Rejects(Request{text, 997}, due), qt.IsFalse)
}

// Load pattern: requests with one text, which nobody has completed yet, crash targets by a part of their prompts. Guards
// against a part that is not condemned because its crashes count as those of one request, and against content that is
// freed with it although it may be what crashed the targets.
func TestPartOfRequestsWithOneTextIsCondemned(t *testing.T) {
	for _, known := range []bool{false, true} {
		c := qt.New(t)
		tr := NewTracker()
		if known {
			tr.Completed(Request{Content: 1, Whole: 99}, time.Second)
		}
		at := now
		for i := range CrashLimit {
			at = now.Add(time.Duration(i) * time.Second)
			request := Request{Content: 1, Whole: uint64(10 + i)}
			d := newDeath(i, fmt.Sprint("z", i), at.Sub(now), append(request.Identities(), 50)...)
			tr.Report(d, at)
			tr.ReportPartCrash(d.ID, at, []Candidate{{request, []uint64{7}, time.Second}}, at)
		}
		c.Check(tr.CondemnedParts([]uint64{7}), qt.IsNotNil)
		c.Check(tr.Crashes(50, at), qt.Equals, 0)
		c.Check(tr.Crashes(10, at), qt.Equals, 1)
		c.Check(tr.Rejected(1, at), qt.Equals, !known)
	}
}

// Load pattern: several gateways send a crashing request before they know of each other's crashes. Guards against
// counting these as failed trials, so that content which is rejected with it is tried after minutes, if at all.
func TestCrashesBeforeContactAreNoTrials(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	request := Request{Content: 1, Whole: 2}
	at := now
	for i := range 8 {
		at = now.Add(time.Duration(i) * 100 * time.Millisecond)
		d := newDeath(i, fmt.Sprint("z", i), at.Sub(now), 1)
		tr.Report(d, at)
		tr.ReportPartCrash(d.ID, at, []Candidate{{request, []uint64{7}, time.Millisecond}}, at)
	}
	c.Check(tr.TakeRequestTrial(request, nil, at.Add(soonTrialDelay)), qt.IsTrue)
}
