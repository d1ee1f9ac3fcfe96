package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

var start = time.Unix(1_000_000, 0)

func options() Options {
	return Options{Resumable: true, MaxAttempts: 5, Deadline: start.Add(25 * time.Second), MaxEventGap: 700 * time.Millisecond}
}

// newOpenMachine returns a machine whose first attempt is open.
func newOpenMachine(o Options, placement Placement) *Machine {
	m := New(o)
	m.Start()
	m.Placed(start, placement)
	return m
}

func chooseTarget(c *qt.C, effects []Effect) ChooseTarget {
	for _, e := range effects {
		if request, ok := e.(ChooseTarget); ok {
			return request
		}
	}
	c.Fatalf("no ChooseTarget in %#v", effects)
	return ChooseTarget{}
}

func finishOutcome(effects []Effect) Outcome {
	if len(effects) == 0 {
		return 0
	}
	if f, ok := effects[len(effects)-1].(Finish); ok {
		return f.Outcome
	}
	return 0
}

// Guards against lost, duplicated and reordered events, two open attempts and effects after
// Finish, under any mix of losses, stale and skipped events, pauses and probes.
func TestEventsAreDeliveredOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		o.Resumable = rapid.Bool().Draw(t, "resumable")
		o.After = rapid.SampledFrom([]uint64{0, 7}).Draw(t, "after")
		m := New(o)
		now := start
		open, last, attempts := false, o.After, 0
		queue := m.Start()
		for step := 0; step < 200 && !m.Done(); step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			var next []Effect
			for _, e := range queue {
				switch e := e.(type) {
				case ChooseTarget:
					if rapid.IntRange(0, 9).Draw(t, "place") == 0 {
						next = append(next, m.PlacementFailed()...)
						break
					}
					attempts++
					next = append(next, m.Placed(now, Placement{Target: fmt.Sprint("t", attempts), CopyTarget: fmt.Sprint("c", attempts)})...)
				case StartAttempt:
					if open {
						t.Fatal("a second attempt was started while one is open")
					}
					if e.After != last {
						t.Fatalf("attempt continues after event %d, last delivered event is %d", e.After, last)
					}
					open = true
				case EndAttempt:
					open = false
				case Probe:
					next = append(next, m.Probed(now, rapid.Bool().Draw(t, "alive"), rapid.Bool().Draw(t, "copy"))...)
				case Deliver:
					t.Fatal("Deliver without an event")
				}
			}
			if queue = next; len(queue) > 0 || m.Done() {
				continue
			}
			switch rapid.IntRange(0, 6).Draw(t, "message") {
			case 0:
				queue = m.AttemptFailed(now, rapid.SampledFrom([]Loss{Unsent, Refused, Replaced, Interrupted, TargetDown, Failed}).Draw(t, "loss"))
			case 1:
				queue = m.Check(now)
			default:
				number := last + uint64(rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "delta"))
				queue = m.Event(now, number)
				if len(queue) == 1 {
					if _, ok := queue[0].(Deliver); ok {
						if number != last+1 && last != 0 {
							t.Fatalf("event %d delivered after event %d", number, last)
						}
						last, queue = number, nil
					}
				}
			}
		}
	})
}

// Guards against a second prefill although a copy exists, after the loss of a whole zone of
// engines.
func TestContinuesFromCopy(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	next := chooseTarget(c, m.AttemptFailed(start.Add(time.Second), TargetDown))
	c.Check(next, qt.DeepEquals, ChooseTarget{Exclude: []string{"a"}, MayHaveCopy: true})
	effects := m.Placed(start.Add(time.Second), Placement{Target: "b", CopyTarget: "d", Resume: true})
	c.Check(effects, qt.DeepEquals, []Effect{StartAttempt{Placement: Placement{Target: "b", CopyTarget: "d", Resume: true}, After: 1, CopyHolder: "b"}})
}

// Scenario: engines crash in series, also while they prefill prompts and while streams resume.
// Guards against attempts at a copy that cannot exist, each of which takes a token of the retry
// budget: the copy of a run without an event, and one that was used already.
func TestRunWithoutEventsLeavesNoCopy(t *testing.T) {
	c := qt.New(t)
	for _, loss := range []Loss{Unsent, Refused, Replaced, Interrupted, TargetDown, Failed} {
		m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
		c.Check(chooseTarget(c, m.AttemptFailed(start, loss)).MayHaveCopy, qt.IsFalse, qt.Commentf("%v", loss))

		m = newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
		m.Event(start, 1)
		m.AttemptFailed(start, Interrupted)
		m.Placed(start, Placement{Target: "b", CopyTarget: "d", Resume: true})
		c.Check(chooseTarget(c, m.AttemptFailed(start, loss)).MayHaveCopy, qt.IsFalse, qt.Commentf("resumed, then %v", loss))
	}
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	m.AttemptFailed(start, Interrupted)
	m.Placed(start, Placement{Target: "b", CopyTarget: "d", Resume: true})
	m.Event(start, 1)
	c.Check(chooseTarget(c, m.AttemptFailed(start, Interrupted)).MayHaveCopy, qt.IsTrue, qt.Commentf("the resumed run repeated an event"))
}

// Scenario: the only live engine lacks the copy that a stream looks for there, or was unreachable
// for a moment. Guards against a stream that is given up although this engine could run it, and
// against repeated attempts at a target that rejects or fails the request itself.
func TestLastResort(t *testing.T) {
	c := qt.New(t)
	for loss, want := range map[Loss][]string{
		Unsent: {"a"}, Interrupted: {"a"}, TargetDown: {"a"}, Stalled: {"a"}, FirstEventLate: {"a"},
		Refused: nil, Replaced: nil, Failed: nil,
	} {
		m := newOpenMachine(options(), Placement{Target: "a"})
		c.Check(chooseTarget(c, m.AttemptFailed(start, loss)).Exclude, qt.DeepEquals, []string{"a"})
		c.Check(m.LastResort(), qt.DeepEquals, want, qt.Commentf("%v", loss))
	}
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	m.AttemptFailed(start, TargetDown)
	m.Placed(start, Placement{Target: "b", Resume: true})
	m.AttemptFailed(start, Refused)
	c.Check(m.LastResort(), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("b lacks the copy"))
	m.Placed(start, Placement{Target: "b"})
	m.AttemptFailed(start, Refused)
	c.Check(m.LastResort(), qt.DeepEquals, []string{"a"}, qt.Commentf("b rejected the request itself"))
}

// Guards against a stream that ends as NoTarget because several restarted targets refused
// it one after the other, as when a zone returns with new ids, and against unlimited attempts.
func TestRefusalsDoNotCountAsRuns(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "t0"})
	for i := 1; i < maxTotalAttempts; i++ {
		chooseTarget(c, m.AttemptFailed(start, Replaced))
		m.Placed(start, Placement{Target: fmt.Sprint("t", i)})
	}
	c.Check(finishOutcome(m.AttemptFailed(start, Replaced)), qt.Equals, NoTarget)
	m = newOpenMachine(options(), Placement{Target: "t0"})
	for i := 1; i < 5; i++ {
		chooseTarget(c, m.AttemptFailed(start, Interrupted))
		m.Placed(start, Placement{Target: fmt.Sprint("t", i)})
	}
	c.Check(finishOutcome(m.AttemptFailed(start, Interrupted)), qt.Equals, Lost, qt.Commentf("five targets ran the request"))
}

// Guards against resending a request that is not resumable after it ran.
func TestNotResumable(t *testing.T) {
	c := qt.New(t)
	o := options()
	o.Resumable = false
	m := newOpenMachine(o, Placement{Target: "a", CopyTarget: "b"})
	chooseTarget(c, m.AttemptFailed(start, Refused))
	m.Placed(start, Placement{Target: "b"})
	c.Check(finishOutcome(m.AttemptFailed(start, Interrupted)), qt.Equals, Lost)
}

// Guards against detecting an unreachable target too late for the permitted pause, and
// against treating a target in prefill as unreachable.
func TestInactiveTargetIsProbed(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	c.Check(m.Check(start.Add(firstProbeDelay-1)), qt.HasLen, 0)
	c.Check(m.Check(start.Add(firstProbeDelay)), qt.DeepEquals, []Effect{Probe{"a"}})
	c.Check(m.Probed(start.Add(firstProbeDelay), true, true), qt.HasLen, 0)
	now := start.Add(time.Second)
	for i := range uint64(20) {
		now = now.Add(40 * time.Millisecond)
		m.Event(now, i+1)
	}
	probeAt := m.NextCheck()
	c.Check(probeAt.Sub(now), qt.Equals, minProbeDelay)
	c.Check(m.Check(probeAt), qt.DeepEquals, []Effect{Probe{"a"}})
	c.Check(chooseTarget(c, m.Probed(probeAt, false, true)).MayHaveCopy, qt.IsTrue)
}

// stallDuration returns how long a machine waits for a live target without progress, 0 if
// longer than 10 s.
func stallDuration(m *Machine, last time.Time, hasCopy bool) time.Duration {
	for {
		at := m.NextCheck()
		if at.Sub(last) > 10*time.Second {
			return 0
		}
		m.Check(at)
		if len(m.Probed(at, true, hasCopy)) > 0 {
			return at.Sub(last)
		}
	}
}

// Guards against waiting for a hanging engine beyond the pause that callers accept although
// a copy exists, and against a premature second prefill if there is none.
func TestStalledStreamFailsOverToCopy(t *testing.T) {
	c := qt.New(t)
	stall := func(hasCopy bool) time.Duration {
		// The placement has no copy: Probed reports it, since copies may be lost or made later.
		m := newOpenMachine(options(), Placement{Target: "a"})
		m.Event(start, 1)
		last := start.Add(40 * time.Millisecond)
		m.Event(last, 2)
		return stallDuration(m, last, hasCopy)
	}
	c.Check(stall(true) < 650*time.Millisecond, qt.IsTrue)
	c.Check(stall(false) >= stallTimeoutWithoutCopy, qt.IsTrue)
}

// Guards against a resumption that waits too long for an engine that has the copy but sends
// no events. This took 7 s when many streams of a lost zone resumed on one engine.
func TestStalledResumptionFailsOver(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	m.AttemptFailed(start, TargetDown)
	m.Placed(start, Placement{Target: "b", Resume: true})
	waited := stallDuration(m, start, true)
	c.Check(waited >= resumeTimeout && waited < 2*time.Second, qt.IsTrue, qt.Commentf("%v", waited))
	// A prefill is not a stall.
	m = newOpenMachine(options(), Placement{Target: "a"})
	c.Check(stallDuration(m, start, false), qt.Equals, time.Duration(0))
}

// Guards against a stream that does not end at its deadline.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a"})
	end := options().Deadline
	c.Check(m.NextCheck().After(end), qt.IsFalse)
	c.Check(finishOutcome(m.Check(end)), qt.Equals, TimedOut)
	c.Check(m.Check(end), qt.HasLen, 0)
}

// Guards against waiting for an engine that accepts requests but never processes them. A
// stream without a first event leaves such a live target once, early enough for a prefill on
// another one within the objective, and no earlier than twice the expected time.
func TestStreamWithoutFirstEventFailsOverOnce(t *testing.T) {
	for name, test := range map[string]struct {
		expected, leftAfter time.Duration
	}{
		"idle target": {expected: 1200 * time.Millisecond, leftAfter: 3 * time.Second},
		"backlogged":  {expected: 2 * time.Second, leftAfter: 5 * time.Second},
		"no estimate": {leftAfter: 2700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			m := New(Options{Resumable: true, MaxAttempts: 5, Deadline: start.Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond})
			m.Start()
			m.Placed(start, Placement{Target: "a", ExpectedFirstEvent: test.expected})
			now, leftAfter := start, time.Duration(0)
			for leftAfter == 0 && now.Before(start.Add(10*time.Second)) {
				now = m.NextCheck()
				c.Assert(m.Check(now), qt.DeepEquals, []Effect{Probe{"a"}})
				if effects := m.Probed(now, true, false); len(effects) > 0 {
					c.Assert(effects, qt.DeepEquals, []Effect{EndAttempt{FirstEventLate}, ChooseTarget{Exclude: []string{"a"}}})
					leftAfter = now.Sub(start)
				}
			}
			c.Check(leftAfter, qt.Equals, test.leftAfter)
			m.Placed(now, Placement{Target: "b", ExpectedFirstEvent: test.expected})
			for end := now.Add(10 * time.Second); now.Before(end); {
				now = m.NextCheck()
				m.Check(now)
				c.Assert(m.Probed(now, true, false), qt.HasLen, 0)
			}
		})
	}
}

// Pattern: engines crash again and again, and the retry budget permits some of the resumes.
// Guards against giving it to streams that are late already, and against taking a stream without
// an event for one that is late.
func TestInTime(t *testing.T) {
	c := qt.New(t)
	o := options()
	o.Arrived, o.FirstEventObjective = start, 4*time.Second
	m := newOpenMachine(o, Placement{Target: "a"})
	c.Check(m.InTime(start.Add(4*time.Second)), qt.IsTrue)
	c.Check(m.InTime(start.Add(4*time.Second+1)), qt.IsFalse)
	m.Event(start.Add(time.Second), 1)
	c.Check(m.InTime(start.Add(1700*time.Millisecond)), qt.IsTrue)
	c.Check(m.InTime(start.Add(1701*time.Millisecond)), qt.IsFalse)
	c.Check(m.Arrived(), qt.IsFalse)
	m.AttemptFailed(start.Add(2*time.Second), Refused)
	c.Check(m.Arrived(), qt.IsTrue)
}
