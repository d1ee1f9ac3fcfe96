package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func options(repeatable bool, attempts int) Options {
	return Options{Idempotent: repeatable, MaxAttempts: attempts, Deadline: start.Add(time.Second), TargetLatency: 100 * time.Millisecond}
}

func sends(effects []Effect) (n int) {
	for _, e := range effects {
		if _, ok := e.(Send); ok {
			n++
		}
	}
	return n
}

func finish(effects []Effect) Outcome {
	if len(effects) == 0 {
		return 0
	}
	if f, ok := effects[len(effects)-1].(Finish); ok {
		return f.Outcome
	}
	return 0
}

// Guards against a request that may run once and runs twice, against NotRun for a request
// that ran or may still run, and against more runs than permitted, for any results.
func TestNeverTwiceAndTrueRefusals(t *testing.T) {
	results := []Result{Success, TargetError, ClientError, Unsent, Refused, Replaced, Unknown}
	rapid.Check(t, func(t *rapid.T) {
		o := options(rapid.Bool().Draw(t, "repeatable"), rapid.IntRange(1, 3).Draw(t, "attempts"))
		m := New(o)
		now := start
		open := map[int]bool{}
		ran, sent := 0, 0
		queue := m.Start(now)
		for step := 0; step < 60 && !m.Done(); step++ {
			var next []Effect
			for _, e := range queue {
				send, ok := e.(Send)
				if !ok {
					continue
				}
				if !o.Idempotent && ran > 0 {
					t.Fatal("sent again after it ran")
				}
				if rapid.IntRange(0, 7).Draw(t, "target") == 0 {
					next = append(next, m.NoTarget(send.Attempt)...)
					continue
				}
				sent++
				open[send.Attempt] = true
				m.TargetChosen("t")
			}
			if queue = next; len(queue) > 0 || m.Done() {
				continue
			}
			if !o.Idempotent && len(open) > 1 {
				t.Fatal("two attempts of a request that may run once")
			}
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "timer") == 0 {
				now = m.NextCheck()
				queue = m.Check(now)
			} else {
				for attempt := range open {
					r := rapid.SampledFrom(results).Draw(t, "result")
					delete(open, attempt)
					if r.Ran() {
						ran++
					}
					queue = m.AttemptEnded(now, attempt, r)
					break
				}
			}
			if finish(queue) == NotRun && (ran > 0 || len(open) > 0) {
				t.Fatalf("not run, but %d ran and %d may", ran, len(open))
			}
			if ran+len(open) > o.MaxAttempts {
				t.Fatalf("%d runs of %d", ran+len(open), o.MaxAttempts)
			}
			if sent > maxSends {
				t.Fatalf("%d sends", sent)
			}
		}
		if !m.Done() {
			t.Fatal("the request has no end")
		}
	})
}

// Guards against a counter call that waits for a hanging engine (engines that fail part of
// their requests while their health is good), and against hedges of calls that may run once.
func TestHedge(t *testing.T) {
	c := qt.New(t)
	m := New(options(true, 2))
	m.Start(start)
	c.Check(m.NextCheck(), qt.Equals, start.Add(minHedge))
	effects := m.Check(start.Add(minHedge))
	c.Check(sends(effects), qt.Equals, 1)
	c.Check(effects[0].(Send).Hedge, qt.IsTrue)
	c.Check(finish(m.AttemptEnded(start.Add(60*time.Millisecond), 1, Success)), qt.Equals, Answered)
	once := New(options(false, 3))
	once.Start(start)
	c.Check(once.NextCheck(), qt.Equals, start.Add(time.Second))
	c.Check(finish(once.Check(start.Add(time.Second))), qt.Equals, TimedOut, qt.Commentf("it may run"))
}

// Guards against a refusal that is passed on although another target is free, and against
// one that claims "not run" for an answer that was lost.
func TestOnce(t *testing.T) {
	c := qt.New(t)
	m := New(options(false, 1))
	m.Start(start)
	c.Check(sends(m.AttemptEnded(start, 0, Refused)), qt.Equals, 1, qt.Commentf("a refusal is no run"))
	c.Check(finish(m.AttemptEnded(start, 1, Unknown)), qt.Equals, Uncertain)
	m = New(options(false, 1))
	m.Start(start)
	m.AttemptEnded(start, 0, Unsent)
	c.Check(finish(m.NoTarget(1)), qt.Equals, NotRun)
}

// Guards against a failure of the second target that hides the answer of the first one.
func TestTargetErrorIsPassedOn(t *testing.T) {
	c := qt.New(t)
	m := New(options(true, 2))
	m.Start(start)
	c.Check(sends(m.AttemptEnded(start, 0, TargetError)), qt.Equals, 1)
	effects := m.AttemptEnded(start, 1, Unknown)
	c.Check(effects, qt.DeepEquals, []Effect{Finish{Outcome: Answered, Attempt: 0}})
}
