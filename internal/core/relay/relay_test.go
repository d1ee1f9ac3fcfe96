package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func options() Options {
	return Options{Resumable: true, MaxAttempts: 5, Deadline: start.Add(25 * time.Second), MaxEventGap: 700 * time.Millisecond}
}

// opened returns a machine whose first attempt is open.
func opened(o Options, place Placement) *Machine {
	m := New(o)
	m.Start()
	m.Placed(start, place)
	return m
}

func choose(c *qt.C, effects []Effect) ChooseTarget {
	for _, e := range effects {
		if choose, ok := e.(ChooseTarget); ok {
			return choose
		}
	}
	c.Fatalf("no Choose in %#v", effects)
	return ChooseTarget{}
}

func outcome(effects []Effect) Outcome {
	if len(effects) == 0 {
		return 0
	}
	if f, ok := effects[len(effects)-1].(Finish); ok {
		return f.Outcome
	}
	return 0
}

// Guards against an event that is missing, comes twice or out of order, against two open
// attempts, and against effects behind Finish, under any mix of losses, stale and skipped
// events, silences and probes.
func TestEventsOnceAndInOrder(t *testing.T) {
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
						t.Fatal("two attempts are open")
					}
					if e.After != last {
						t.Fatalf("attempt continues behind %d, delivered is %d", e.After, last)
					}
					open = true
				case EndAttempt:
					open = false
				case Probe:
					next = append(next, m.Probed(now, rapid.Bool().Draw(t, "alive"), rapid.Bool().Draw(t, "copy"))...)
				case Deliver:
					t.Fatal("deliver without an event")
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
							t.Fatalf("event %d delivered behind %d", number, last)
						}
						last, queue = number, nil
					}
				}
			}
		}
	})
}

// Guards against a stream of a lost zone that reads its prompt again though a copy exists
// (zone of engines lost at once), and against asking for a copy of a run that never began.
func TestContinuesFromCopy(t *testing.T) {
	c := qt.New(t)
	m := opened(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	next := choose(c, m.AttemptFailed(start.Add(time.Second), TargetDown))
	c.Check(next, qt.DeepEquals, ChooseTarget{Exclude: []string{"a"}, MayHaveCopy: true})
	effects := m.Placed(start.Add(time.Second), Placement{Target: "b", CopyTarget: "d", Resume: true})
	c.Check(effects, qt.DeepEquals, []Effect{StartAttempt{Placement: Placement{Target: "b", CopyTarget: "d", Resume: true}, After: 1, CopyHolder: "b"}})
	for _, loss := range []Loss{Unsent, Refused, Replaced} {
		m := opened(options(), Placement{Target: "a", CopyTarget: "b"})
		c.Check(choose(c, m.AttemptFailed(start, loss)).MayHaveCopy, qt.IsFalse, qt.Commentf("%v", loss))
	}
}

// Guards against a stream that ends as NoTarget because several restarted targets refused
// it in turn (zone that comes back under new ids), and against tries without end.
func TestRefusalsAreNoRuns(t *testing.T) {
	c := qt.New(t)
	m := opened(options(), Placement{Target: "t0"})
	for i := 1; i < maxTries; i++ {
		choose(c, m.AttemptFailed(start, Replaced))
		m.Placed(start, Placement{Target: fmt.Sprint("t", i)})
	}
	c.Check(outcome(m.AttemptFailed(start, Replaced)), qt.Equals, NoTarget)
	m = opened(options(), Placement{Target: "t0"})
	for i := 1; i < 5; i++ {
		choose(c, m.AttemptFailed(start, Interrupted))
		m.Placed(start, Placement{Target: fmt.Sprint("t", i)})
	}
	c.Check(outcome(m.AttemptFailed(start, Interrupted)), qt.Equals, Lost, qt.Commentf("five targets ran it"))
}

// Guards against a stream that must not run twice and is sent again after it ran.
func TestNotResumable(t *testing.T) {
	c := qt.New(t)
	o := options()
	o.Resumable = false
	m := opened(o, Placement{Target: "a", CopyTarget: "b"})
	choose(c, m.AttemptFailed(start, Refused))
	m.Placed(start, Placement{Target: "b"})
	c.Check(outcome(m.AttemptFailed(start, Interrupted)), qt.Equals, Lost)
}

// Guards against a silent target that is noticed too late for the permitted pause, and
// against a prompt that is being read and taken for a silent target.
func TestSilence(t *testing.T) {
	c := qt.New(t)
	m := opened(options(), Placement{Target: "a", CopyTarget: "b"})
	c.Check(m.Check(start.Add(firstProbe-1)), qt.HasLen, 0)
	c.Check(m.Check(start.Add(firstProbe)), qt.DeepEquals, []Effect{Probe{"a"}})
	c.Check(m.Probed(start.Add(firstProbe), true, true), qt.HasLen, 0)
	now := start.Add(time.Second)
	for i := range uint64(20) {
		now = now.Add(40 * time.Millisecond)
		m.Event(now, i+1)
	}
	silent := m.NextCheck()
	c.Check(silent.Sub(now), qt.Equals, minSilence)
	c.Check(m.Check(silent), qt.DeepEquals, []Effect{Probe{"a"}})
	c.Check(choose(c, m.Probed(silent, false, true)).MayHaveCopy, qt.IsTrue)
}

// stuckFor returns how long a machine waits at a live target that makes no progress.
func stuckFor(m *Machine, last time.Time, hasCopy bool) time.Duration {
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

// Guards against waiting for an engine that is alive and makes no progress (engines that
// hang), beyond the pause that callers accept, while a copy could go on, and against reading
// the prompt again too soon where there is none.
func TestStuckStreamMovesToCopy(t *testing.T) {
	c := qt.New(t)
	stuck := func(hasCopy bool) time.Duration {
		// The copy of the place may have been lost, or another one made, since the start.
		m := opened(options(), Placement{Target: "a"})
		m.Event(start, 1)
		last := start.Add(40 * time.Millisecond)
		m.Event(last, 2)
		return stuckFor(m, last, hasCopy)
	}
	c.Check(stuck(true) < 650*time.Millisecond, qt.IsTrue)
	c.Check(stuck(false) >= stuckWithoutCopy, qt.IsTrue)
}

// Guards against a resumption that waits for ever at an engine that took the copy and
// produces nothing (seen for 7 s when many streams of a zone went on at one engine).
func TestStuckResumptionMoves(t *testing.T) {
	c := qt.New(t)
	m := opened(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	m.AttemptFailed(start, TargetDown)
	m.Placed(start, Placement{Target: "b", Resume: true})
	waited := stuckFor(m, start, true)
	c.Check(waited >= stuckResumption && waited < 2*time.Second, qt.IsTrue, qt.Commentf("%v", waited))
	// A prompt that is being read is no stuck stream.
	m = opened(options(), Placement{Target: "a"})
	c.Check(stuckFor(m, start, false), qt.Equals, time.Duration(0))
}

// Guards against an answer that comes after the deadline.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	m := opened(options(), Placement{Target: "a"})
	end := options().Deadline
	c.Check(m.NextCheck().After(end), qt.IsFalse)
	c.Check(outcome(m.Check(end)), qt.Equals, TimedOut)
	c.Check(m.Check(end), qt.HasLen, 0)
}

// Load pattern: engines that accept requests and never work on them. A stream without a
// first event leaves such a live target once, early enough for another one to read the
// prompt within the objective, and no earlier than twice the expected time.
func TestUnreadStreamLeavesOnce(t *testing.T) {
	for name, test := range map[string]struct {
		expected, leaves time.Duration
	}{
		"idle target":      {expected: 1200 * time.Millisecond, leaves: 3 * time.Second},
		"backlogged":       {expected: 2 * time.Second, leaves: 5 * time.Second},
		"nothing expected": {leaves: 2700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			m := New(Options{Resumable: true, MaxAttempts: 5, Deadline: start.Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond})
			m.Start()
			m.Placed(start, Placement{Target: "a", ExpectedFirstEvent: test.expected})
			now, left := start, time.Duration(0)
			for left == 0 && now.Before(start.Add(10*time.Second)) {
				now = m.NextCheck()
				c.Assert(m.Check(now), qt.DeepEquals, []Effect{Probe{"a"}})
				if effects := m.Probed(now, true, false); len(effects) > 0 {
					c.Assert(effects, qt.DeepEquals, []Effect{EndAttempt{Interrupted}, ChooseTarget{Exclude: []string{"a"}, MayHaveCopy: true}})
					left = now.Sub(start)
				}
			}
			c.Check(left, qt.Equals, test.leaves)
			m.Placed(now, Placement{Target: "b", ExpectedFirstEvent: test.expected})
			for end := now.Add(10 * time.Second); now.Before(end); {
				now = m.NextCheck()
				m.Check(now)
				c.Assert(m.Probed(now, true, false), qt.HasLen, 0)
			}
		})
	}
}
