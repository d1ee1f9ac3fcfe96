package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

var start = time.Unix(1_000_000, 0)

func options(idempotent bool, maxAttempts int) Options {
	return Options{Idempotent: idempotent, MaxAttempts: maxAttempts, Deadline: start.Add(time.Second), TargetLatency: 100 * time.Millisecond}
}

func countSends(effects []Effect) (n int) {
	for _, e := range effects {
		if _, ok := e.(Send); ok {
			n++
		}
	}
	return n
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

// Guards against running a non-idempotent request twice, against NotRun for a request that
// ran or may still run, and against more runs than permitted, for any attempt results.
func TestExecutionInvariants(t *testing.T) {
	results := []Result{Success, TargetError, ClientError, Unsent, Refused, Replaced, Unknown}
	rapid.Check(t, func(t *rapid.T) {
		o := options(rapid.Bool().Draw(t, "idempotent"), rapid.IntRange(1, 3).Draw(t, "attempts"))
		m := New(o)
		now := start
		open := map[int]bool{}
		runs, sent := 0, 0
		queue := m.Start(now)
		for step := 0; step < 60 && !m.Done(); step++ {
			var next []Effect
			for _, e := range queue {
				send, ok := e.(Send)
				if !ok {
					continue
				}
				if !o.Idempotent && runs > 0 {
					t.Fatal("non-idempotent request was sent again after it ran")
				}
				if rapid.IntRange(0, 7).Draw(t, "target") == 0 {
					next = append(next, m.NoTarget(now, send.Attempt)...)
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
				t.Fatal("non-idempotent request has two open attempts")
			}
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "timer") == 0 {
				now = m.NextCheck()
				queue = m.Check(now)
			} else {
				for attempt := range open {
					r := rapid.SampledFrom(results).Draw(t, "result")
					delete(open, attempt)
					if r.Ran() {
						runs++
					}
					queue = m.AttemptEnded(now, attempt, r)
					break
				}
			}
			if finishOutcome(queue) == NotRun && (runs > 0 || len(open) > 0) {
				t.Fatalf("outcome NotRun, but %d attempts ran and %d may still run", runs, len(open))
			}
			if runs+len(open) > o.MaxAttempts {
				t.Fatalf("%d possible runs, at most %d allowed", runs+len(open), o.MaxAttempts)
			}
			if sent > maxSends {
				t.Fatalf("%d sends exceed the limit", sent)
			}
		}
		if !m.Done() {
			t.Fatal("the request did not finish")
		}
	})
}

// Guards against a call that waits for an engine that reports good health but hangs on some
// requests, and against hedging calls that are not idempotent.
func TestHedge(t *testing.T) {
	c := qt.New(t)
	m := New(options(true, 2))
	m.Start(start)
	c.Check(m.NextCheck(), qt.Equals, start.Add(minHedgeDelay))
	effects := m.Check(start.Add(minHedgeDelay))
	c.Check(countSends(effects), qt.Equals, 1)
	c.Check(effects[0].(Send).Hedge, qt.IsTrue)
	c.Check(finishOutcome(m.AttemptEnded(start.Add(60*time.Millisecond), 1, Success)), qt.Equals, Answered)
	nonIdempotent := New(options(false, 3))
	nonIdempotent.Start(start)
	c.Check(nonIdempotent.NextCheck(), qt.Equals, start.Add(time.Second))
	c.Check(finishOutcome(nonIdempotent.Check(start.Add(time.Second))), qt.Equals, TimedOut, qt.Commentf("the open attempt may still run"))
}

// Guards against a call that waits for a hanging target until its deadline because the retry
// budget did not permit a second one at first.
func TestRefusedHedgeIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	m := New(options(true, 2))
	m.Start(start)
	now := start.Add(minHedgeDelay)
	for range maxSends + 2 {
		effects := m.Check(now)
		c.Assert(countSends(effects), qt.Equals, 1)
		c.Assert(m.NoTarget(now, effects[0].(Send).Attempt), qt.HasLen, 0)
		now = m.NextCheck()
		c.Assert(now.Before(start.Add(5*time.Second)), qt.IsTrue)
	}
}

// Guards against a call that waits for a hanging target until its deadline because the second target
// did not run it; and against more sends than permitted while targets refuse one after the other.
func TestHedgeThatDidNotRunIsSentElsewhere(t *testing.T) {
	for _, r := range []Result{Unsent, Refused, Replaced} {
		c := qt.New(t)
		m := New(options(true, 2))
		m.Start(start)
		sends := 1
		for now := m.NextCheck(); now.Before(start.Add(time.Second)); now = m.NextCheck() {
			effects := m.Check(now)
			c.Assert(countSends(effects), qt.Equals, 1)
			sends++
			c.Assert(m.AttemptEnded(now.Add(5*time.Millisecond), effects[0].(Send).Attempt, r), qt.HasLen, 0)
		}
		c.Check(sends, qt.Equals, maxSends, qt.Commentf("%v", r))
		c.Check(finishOutcome(m.Check(start.Add(time.Second))), qt.Equals, TimedOut)
	}
}

// Guards against returning a refusal although another target is available, and against NotRun
// for a request whose response was lost.
func TestNonIdempotentRequest(t *testing.T) {
	c := qt.New(t)
	m := New(options(false, 1))
	m.Start(start)
	c.Check(countSends(m.AttemptEnded(start, 0, Refused)), qt.Equals, 1, qt.Commentf("a refused attempt did not run"))
	c.Check(finishOutcome(m.AttemptEnded(start, 1, Unknown)), qt.Equals, Uncertain)
	m = New(options(false, 1))
	m.Start(start)
	m.AttemptEnded(start, 0, Unsent)
	c.Check(finishOutcome(m.NoTarget(start, 1)), qt.Equals, NotRun)
}

// Guards against losing the error response of the first target when the second one gives no
// valid response.
func TestTargetErrorIsReturned(t *testing.T) {
	c := qt.New(t)
	m := New(options(true, 2))
	m.Start(start)
	c.Check(countSends(m.AttemptEnded(start, 0, TargetError)), qt.Equals, 1)
	effects := m.AttemptEnded(start, 1, Unknown)
	c.Check(effects, qt.DeepEquals, []Effect{Finish{Outcome: Answered, Attempt: 0}})
}

// Scenario: the process was suspended between a call's arrival and its handling. Guards against sending a call
// whose deadline has passed.
func TestCallPastItsDeadlineIsNotSent(t *testing.T) {
	c := qt.New(t)
	m := New(options(true, 2))
	effects := m.Start(start.Add(time.Second))
	c.Check(countSends(effects), qt.Equals, 0)
	c.Check(finishOutcome(effects), qt.Equals, NotRun)
}
