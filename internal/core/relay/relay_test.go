package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleygap/internal/core/placement"
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

// modelStream checks the effects of a machine against the invariants of the package.
type modelStream struct {
	t        *rapid.T
	m        *Machine
	now      time.Time
	last     uint64
	received uint64 // number of the event that is being handled
	attempts int
	// open and successorOpen are set while the attempts are open; sentAt is when the successor was
	// sent, zero before.
	open, successorOpen bool
	placedAt, sentAt    time.Time
	successorAfter      uint64
	// progress is what the current target last reported, and fromSuccessor is set while a message of
	// the successor is handled.
	progress      placement.Progress
	fromSuccessor bool
	// silent is set while the last probe of the current target had no answer.
	silent  bool
	effects map[string]int // number of effects by type
}

func (s *modelStream) apply(queue []Effect) {
	for len(queue) > 0 {
		effect := queue[0]
		queue = append(queue[1:], s.applyEffect(effect)...)
		if _, ok := effect.(Finish); ok {
			if s.open || s.successorOpen || len(queue) > 0 {
				s.t.Fatal("Finish with an open attempt or before another effect")
			}
			if effect == (Finish{Complete}) && s.last == 0 {
				s.t.Fatal("a stream without an event is complete")
			}
		}
	}
}

func (s *modelStream) nextPlacement() Placement {
	s.attempts++
	return Placement{Target: fmt.Sprint("t", s.attempts), CopyTarget: fmt.Sprint("c", s.attempts), Resume: rapid.Bool().Draw(s.t, "resume")}
}

func (s *modelStream) applyEffect(e Effect) []Effect {
	s.effects[fmt.Sprintf("%T", e)]++
	switch e := e.(type) {
	case ChooseTarget:
		if rapid.IntRange(0, 19).Draw(s.t, "place") == 19 {
			return s.m.PlacementFailed()
		}
		return s.m.Placed(s.now, s.nextPlacement())
	case SeekSuccessor:
		if e.Loss == TargetDown && !s.silent {
			s.t.Fatal("a stream seeks a successor for a target that answers as for one that does not")
		}
		if !e.Loss.NotWorking() && !e.MayHaveCopy && s.progress != placement.ProgressUnknown {
			s.t.Fatal("a stream seeks another prefill although its target works")
		}
		if !e.Loss.NotWorking() && e.MaxExpected > 0 && s.progress != placement.ProgressUnknown {
			s.t.Fatal("a stream accepts another prefill although its target works")
		}
		if rapid.IntRange(0, 3).Draw(s.t, "successor") == 3 {
			s.m.NoSuccessor()
			return nil
		}
		return s.m.SuccessorPlaced(s.now, e.Loss, s.nextPlacement())
	case StartAttempt:
		s.progress, s.silent = placement.ProgressUnknown, false
		s.checkStart(e, s.open)
		s.open = true
	case StartSuccessor:
		s.checkStart(e.Start, s.successorOpen || !s.open)
		s.successorOpen, s.placedAt, s.sentAt, s.successorAfter = true, s.now, time.Time{}, e.Start.After
	case EndAttempt:
		if e.Loss == Stalled || e.Loss == FirstEventLate || e.Loss == Hung {
			s.t.Fatal("a live target was left without a successor")
		}
		s.open = false
	case EndSuccessor:
		if !s.successorOpen || !s.open {
			s.t.Fatal("EndSuccessor without a successor or a current attempt")
		}
		s.successorOpen = false
	case Switch:
		if !s.successorOpen || s.sentAt.IsZero() && (e.Loss == Stalled || e.Loss == FirstEventLate || e.Loss == Hung) {
			s.t.Fatal("switched to a successor that was not sent")
		}
		if (e.Loss == Stalled || e.Loss == FirstEventLate) && s.progress != placement.ProgressUnknown && !s.fromSuccessor {
			s.t.Fatal("a target that works was left for a successor without an event")
		}
		s.progress, s.silent = placement.ProgressUnknown, false
		if s.successorAfter != s.last {
			s.t.Fatalf("switched to an attempt that continues after event %d, last delivered event is %d", s.successorAfter, s.last)
		}
		s.successorOpen = false
	case Probe:
		if rapid.Bool().Draw(s.t, "report") {
			s.progress = rapid.SampledFrom([]placement.Progress{placement.Working, placement.ProgressUnknown, placement.Suspect, placement.Missing, placement.Stopped}).Draw(s.t, "progress")
			s.m.TargetReported(TargetReport{Progress: s.progress, RunListed: rapid.Bool().Draw(s.t, "listed")})
		}
		s.silent = rapid.IntRange(0, 19).Draw(s.t, "alive") == 19
		effects := s.m.Probed(s.now, !s.silent, rapid.Bool().Draw(s.t, "copy"))
		for _, effect := range effects {
			if _, ended := effect.(EndAttempt); ended && s.m.options.Resumable {
				s.t.Fatal("a silent target was left without a successor")
			}
		}
		return effects
	case Deliver:
		if s.received != s.last+1 {
			s.t.Fatalf("event %d delivered after event %d", s.received, s.last)
		}
		s.last = s.received
	}
	return nil
}

func (s *modelStream) checkStart(e StartAttempt, tooMany bool) {
	if tooMany {
		s.t.Fatal("too many open attempts")
	}
	if e.After != s.last {
		s.t.Fatalf("attempt continues after event %d, last delivered event is %d", e.After, s.last)
	}
}

// message lets one of the attempts send a message.
func (s *modelStream) message() {
	losses := []Loss{Unsent, Refused, Replaced, Interrupted, TargetDown, Failed}
	s.received = s.last + uint64(rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(s.t, "delta"))
	// Small values are drawn more often than large ones.
	kind := rapid.IntRange(0, 19).Draw(s.t, "message")
	switch {
	case s.successorOpen && kind < 10 && s.sentAt.IsZero():
		s.m.SuccessorSent(s.now)
		s.sentAt = s.now
	case s.successorOpen && kind < 5:
		s.fromSuccessor = true
		s.apply(s.m.SuccessorEvent(s.now, s.received))
		s.fromSuccessor = false
	case s.successorOpen && kind == 19:
		s.m.SuccessorFailed(rapid.SampledFrom(losses).Draw(s.t, "loss"))
		s.successorOpen = false
	case kind > 2 && kind < 9:
		s.apply(s.m.Event(s.now, s.received))
	case s.successorOpen && kind == 16:
		s.apply(s.m.AttemptCompleted(s.now))
	case s.successorOpen && !s.sentAt.IsZero() && kind == 15:
		s.fromSuccessor = true
		s.apply(s.m.SuccessorCompleted(s.now))
		s.fromSuccessor = false
	case kind == 14 && s.open && s.m.options.Resumable:
		s.silent = true
		s.apply(s.m.TargetSilent(s.now, rapid.Bool().Draw(s.t, "copy")))
	case kind == 17:
		s.apply(s.m.CallerDisconnected())
	case kind == 18:
		s.apply(s.m.AttemptFailed(s.now, rapid.SampledFrom(losses).Draw(s.t, "loss")))
	}
}

// Guards against lost, duplicated and reordered events, more than one current attempt and one
// successor, two attempts that stay open together, a live target that is left without a successor,
// and effects after Finish, under any mix of losses, stale and skipped events, pauses and probes.
func TestEventsAreDeliveredOnceInOrder(t *testing.T) {
	effects := map[string]int{}
	// The users' engines must not both work on a stream for longer.
	const overlapLimit = 400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		for range 5 {
			o := options()
			o.MaxAttempts = maxTotalAttempts
			o.Resumable = rapid.IntRange(0, 3).Draw(t, "resumable") < 3
			o.After = rapid.SampledFrom([]uint64{0, 7}).Draw(t, "after")
			o.FirstEventObjective = 4500 * time.Millisecond
			o.Arrived = start
			s := &modelStream{t: t, m: New(o), now: start, last: o.After, effects: effects}
			s.apply(s.m.Start())
			for step := 0; step < 300 && !s.m.Done(); step++ {
				pause := time.Duration(rapid.SampledFrom([]int{0, 20, 400, 5, 100, 1000}).Draw(t, "ms")) * time.Millisecond
				for end := s.now.Add(pause); !s.m.Done() && !s.m.NextCheck().After(end); {
					s.now = s.m.NextCheck()
					if s.successorOpen && !s.sentAt.IsZero() && s.now.Sub(s.sentAt) >= overlapLimit {
						t.Fatalf("two attempts are open together for %v", s.now.Sub(s.sentAt))
					}
					s.apply(s.m.Check(s.now))
				}
				s.now = s.now.Add(time.Millisecond)
				if !s.m.Done() {
					s.message()
				}
			}
		}
	})
	for _, effect := range []string{"relay.Switch", "relay.EndSuccessor", "relay.EndAttempt", "relay.Deliver"} {
		qt.Check(t, effects[effect] > 20, qt.IsTrue, qt.Commentf("%s: %d", effect, effects[effect]))
	}
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
	c.Check(m.Probed(probeAt, false, true), qt.DeepEquals, []Effect{SeekSuccessor{Loss: TargetDown, Exclude: []string{"a"}, MayHaveCopy: true}})
}

// Scenario: a target answers no probe, and no other one has room or all that are asked refuse. Guards
// against a stream that gives up its place at a target that is only late: its client would be cut.
func TestStreamStaysAtSilentTargetWithoutSuccessor(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a"})
	m.Event(start, 1)
	now := start
	for i := range 2 * maxSuccessors {
		now = m.NextCheck()
		c.Assert(m.Check(now), qt.DeepEquals, []Effect{Probe{"a"}})
		seek := m.Probed(now, false, false)
		c.Assert(seek, qt.HasLen, 1)
		c.Assert(seek[0], qt.DeepEquals, SeekSuccessor{Loss: TargetDown, Exclude: []string{"a"}}, qt.Commentf("a target that refused may have room by now"))
		if i%2 == 0 {
			m.NoSuccessor()
			continue
		}
		m.SuccessorPlaced(now, TargetDown, Placement{Target: "b"})
		m.SuccessorFailed(Refused)
	}
	c.Check(now.Sub(start) < 6*time.Second, qt.IsTrue, qt.Commentf("asked until %v", now.Sub(start)))
	c.Check(m.Event(now, 2), qt.DeepEquals, []Effect{Deliver{}})
	c.Check(m.Probed(now, true, false), qt.HasLen, 0)
}

// Scenario: a target answers no probe while a successor is open, which was sought because the target
// was late. Guards against a stream that goes back to the silent target when the overlap ends.
func TestSilentTargetIsLeftForOpenSuccessor(t *testing.T) {
	c := qt.New(t)
	m, now := openSuccessor(c, options(), true)
	m.TargetReported(TargetReport{Progress: placement.Working})
	c.Check(m.TargetSilent(now, false), qt.HasLen, 0)
	c.Check(m.Check(m.NextCheck()), qt.DeepEquals, []Effect{Switch{TargetDown}})
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

// Scenario: a stream resumes at the holder of its copy, whose engine ends 20 ms later without a word on the
// connection. Another process at the address answers the probes and works on other streams. Guards against a
// stream that waits there; one did for 8 s, until its connection broke. An engine with a queue may have
// the stream in it and is not left.
func TestResumptionLostWithItsEngine(t *testing.T) {
	for name, test := range map[string]struct {
		report TargetReport
		left   bool
	}{
		"unknown to the engine": {TargetReport{Progress: placement.Working}, true},
		"queued":                {TargetReport{Progress: placement.Working, Queued: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
			m.Event(start, 1)
			m.AttemptFailed(start, TargetDown)
			m.Placed(start, Placement{Target: "b", Resume: true})
			var seek SeekSuccessor
			for now := m.NextCheck(); seek.Loss == 0 && now.Sub(start) < 2*resumeTimeout; now = m.NextCheck() {
				m.Check(now)
				m.TargetReported(test.report)
				for _, e := range m.Probed(now, true, false) {
					seek, _ = e.(SeekSuccessor)
				}
			}
			if !test.left {
				c.Check(seek.Loss, qt.Equals, Loss(0))
				return
			}
			c.Check(seek.Loss, qt.Equals, Hung)
			c.Check(m.lastCheck.Sub(start) < 2*time.Second, qt.IsTrue)
		})
	}
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
			m := New(Options{Resumable: true, MaxAttempts: 5, Arrived: start, Deadline: start.Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond})
			m.Start()
			m.Placed(start, Placement{Target: "a", ExpectedFirstEvent: test.expected})
			now, seek := awaitSeek(c, m, start.Add(10*time.Second), false)
			c.Check(now.Sub(start), qt.Equals, test.leftAfter)
			c.Check(seek.Loss, qt.Equals, FirstEventLate)
			c.Check(seek.Exclude, qt.DeepEquals, []string{"a"})
			c.Check(seek.MayHaveCopy, qt.IsFalse)
			c.Check(seek.MaxExpected, qt.Equals, max(test.leftAfter/2, 4500*time.Millisecond-test.leftAfter))
			m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", ExpectedFirstEvent: test.expected})
			m.SuccessorSent(now)
			now = now.Add(maxOverlap)
			c.Assert(m.Check(now), qt.DeepEquals, []Effect{Switch{FirstEventLate}})
			for end := now.Add(10 * time.Second); now.Before(end); {
				now = m.NextCheck()
				m.Check(now)
				c.Assert(m.Probed(now, true, false), qt.HasLen, 0)
			}
		})
	}
}

// Scenario: every engine has a queue. Guards against a stream that gives up its place in the queue of a
// live engine for a prefill elsewhere, which delays the streams there, and against one that waits for
// an engine that hangs for ever.
func TestQueueOfTargetPostponesMove(t *testing.T) {
	c := qt.New(t)
	m := New(Options{Resumable: true, MaxAttempts: 5, Arrived: start, Deadline: start.Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond})
	m.Start()
	m.Placed(start, Placement{Target: "a"})
	m.TargetReported(TargetReport{Queued: 2})
	now, _ := awaitSeek(c, m, start.Add(10*time.Second), false)
	c.Check(now.Sub(start), qt.Equals, queueFactor*2700*time.Millisecond)
	m.NoSuccessor()
	m.TargetReported(TargetReport{})
	c.Check(m.NextCheck().Sub(now) <= nextProbeDelay, qt.IsTrue)
}

func newLateOptions() Options {
	return Options{Resumable: true, MaxAttempts: 5, Arrived: start, Deadline: start.Add(25 * time.Second), MaxEventGap: 700 * time.Millisecond, FirstEventObjective: 4500 * time.Millisecond}
}

// Scenario: a working engine is late with its first event, or in the middle of a stream that has no
// copy. Guards against another prefill, which takes longer and delays the streams that it joins.
func TestLateStreamStaysAtWorkingTarget(t *testing.T) {
	for name, test := range map[string]struct {
		report TargetReport
		events int
	}{
		"first event":                {report: TargetReport{Progress: placement.Working}},
		"queued":                     {report: TargetReport{Progress: placement.Working, Queued: 2}},
		"one report lacks it":        {report: TargetReport{Progress: placement.Suspect}},
		"preempted after an event":   {report: TargetReport{Progress: placement.Working}, events: 1},
		"others hang, this one runs": {report: TargetReport{Progress: placement.Missing, RunListed: true}, events: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newOpenMachine(newLateOptions(), Placement{Target: "a"})
			now := start
			for i := range test.events {
				m.Event(now, uint64(i+1))
			}
			for now = m.NextCheck(); now.Before(start.Add(20 * time.Second)); now = m.NextCheck() {
				if test.report.RunListed && now.Sub(start) > 3*time.Second {
					break
				}
				c.Assert(m.Check(now), qt.DeepEquals, []Effect{Probe{"a"}})
				m.TargetReported(test.report)
				c.Assert(m.Probed(now, true, false), qt.HasLen, 0, qt.Commentf("after %v", now.Sub(start)))
			}
		})
	}
}

// Scenario: engines accept a stream and do not work on it, two of them one after the other. Guards
// against a stream that waits there until its client gives up, also if its route permits only one
// more attempt.
func TestHungTargetIsLeft(t *testing.T) {
	for name, test := range map[string]struct {
		report    TargetReport
		events    int
		leftAfter time.Duration
	}{
		"never begun":                   {report: TargetReport{Progress: placement.Missing}, leftAfter: 1800 * time.Millisecond},
		"never begun, others queue":     {report: TargetReport{Progress: placement.Missing, Queued: 2}, leftAfter: 1800 * time.Millisecond},
		"engine stopped":                {report: TargetReport{Progress: placement.Stopped}, leftAfter: 1800 * time.Millisecond},
		"first events do not arrive":    {report: TargetReport{Progress: placement.Working, RunListed: true}, leftAfter: 3 * time.Second},
		"forgotten after an event":      {report: TargetReport{Progress: placement.Missing}, events: 1, leftAfter: 4 * time.Second},
		"events do not arrive any more": {report: TargetReport{Progress: placement.Working, RunListed: true}, events: 1, leftAfter: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := newLateOptions()
			o.MaxAttempts = 3
			m := newOpenMachine(o, Placement{Target: "a", ExpectedFirstEvent: 1200 * time.Millisecond})
			now := start
			number := uint64(0)
			for _, next := range []string{"b", "c"} {
				began := now
				for range test.events {
					number++
					m.Event(now, number)
				}
				var seek SeekSuccessor
				for seek.Loss == 0 {
					now = m.NextCheck()
					c.Assert(now.Sub(began) < 6*time.Second, qt.IsTrue)
					m.Check(now)
					m.TargetReported(test.report)
					for _, e := range m.Probed(now, true, false) {
						seek = e.(SeekSuccessor)
					}
				}
				c.Check(seek.Loss, qt.Equals, Hung)
				c.Check(now.Sub(began), qt.Equals, test.leftAfter)
				m.SuccessorPlaced(now, seek.Loss, Placement{Target: next, ExpectedFirstEvent: 1200 * time.Millisecond})
				m.SuccessorSent(now)
				sent := now
				for effects := []Effect(nil); ; {
					now = m.NextCheck()
					effects = m.Check(now)
					if len(effects) > 0 {
						if _, probes := effects[0].(Probe); !probes {
							c.Assert(effects, qt.DeepEquals, []Effect{Switch{Hung}})
							break
						}
						m.Probed(now, true, false)
					}
				}
				c.Check(now.Sub(sent), qt.Equals, maxOverlap)
				// The attempt counts from its start.
				now = sent
			}
		})
	}
}

// Scenario: a working engine is silent; a successor at the copy has neither refused the stream nor sent
// an event 250 ms after it was sent, and fails. Guards against giving up the working engine for it: the
// stream had no target then.
func TestWorkingTargetIsKeptUntilSuccessorSendsEvent(t *testing.T) {
	c := qt.New(t)
	m, now, seek := newStalledMachine(c, true)
	m.TargetReported(TargetReport{Progress: placement.Working, RunListed: true})
	m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", Resume: true})
	m.SuccessorSent(now)
	now = now.Add(maxOverlap)
	c.Assert(m.Check(now), qt.DeepEquals, []Effect{EndSuccessor{}})
	c.Check(m.Event(now.Add(time.Second), 3), qt.DeepEquals, []Effect{Deliver{}})
}

// awaitSeek lets a live target be silent until the machine seeks a successor. It fails the test if
// that has not happened at the given time.
func awaitSeek(c *qt.C, m *Machine, end time.Time, hasCopy bool) (time.Time, SeekSuccessor) {
	for {
		now := m.NextCheck()
		c.Assert(now.Before(end), qt.IsTrue, qt.Commentf("no successor sought"))
		m.Check(now)
		for _, e := range m.Probed(now, true, hasCopy) {
			if seek, ok := e.(SeekSuccessor); ok {
				return now, seek
			}
		}
	}
}

// newStalledMachine returns a machine whose live target is silent after its second event, and the
// time at which it seeks a successor.
func newStalledMachine(c *qt.C, hasCopy bool) (*Machine, time.Time, SeekSuccessor) {
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	m.Event(start.Add(40*time.Millisecond), 2)
	now, seek := awaitSeek(c, m, start.Add(10*time.Second), hasCopy)
	return m, now, seek
}

// Scenario: every engine is overloaded and none has room, or the retry budget is spent. Guards against
// a stream that ends although its engine is live: the client was cut off 3 s after the stream had
// left the engine, which would have gone on.
func TestStreamStaysAtLiveTargetWithoutSuccessor(t *testing.T) {
	for _, hasCopy := range []bool{true, false} {
		c := qt.New(t)
		m, now, _ := newStalledMachine(c, hasCopy)
		for now.Before(start.Add(20 * time.Second)) {
			m.NoSuccessor()
			now, _ = awaitSeek(c, m, start.Add(25*time.Second), hasCopy)
		}
		c.Check(m.Done(), qt.IsFalse)
		c.Check(m.Event(now, 3), qt.DeepEquals, []Effect{Deliver{}})
		c.Check(m.Ran(), qt.IsTrue)
		c.Check(m.Arrived(), qt.IsFalse, qt.Commentf("the stream was sent to one target"))
	}
}

// Guards against leaving a live target for one that refuses the stream: it was left half a second
// into its run for the holder of a copy, which answered 503.
func TestRefusedSuccessorKeepsCurrentAttempt(t *testing.T) {
	c := qt.New(t)
	for _, loss := range []Loss{Unsent, Refused, Replaced, Interrupted, TargetDown, Failed} {
		m, now, seek := newStalledMachine(c, true)
		c.Check(seek, qt.DeepEquals, SeekSuccessor{Loss: Stalled, Exclude: []string{"a"}, MayHaveCopy: true, MaxExpected: now.Sub(start.Add(40*time.Millisecond)) / 2})
		effects := m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", Resume: true})
		c.Check(effects, qt.DeepEquals, []Effect{StartSuccessor{StartAttempt{Placement: Placement{Target: "b", Resume: true}, After: 2, CopyHolder: "b"}}})
		m.SuccessorFailed(loss)
		c.Check(m.Event(now, 3), qt.DeepEquals, []Effect{Deliver{}}, qt.Commentf("%v", loss))
		_, again := awaitSeek(c, m, now.Add(10*time.Second), false)
		c.Check(again.Exclude, qt.DeepEquals, []string{"b", "a"})
	}
}

// Guards against two runs whose events are mixed, and against a target that works on a stream that
// goes on elsewhere: whichever attempt continues the stream first ends the other one.
func TestFirstEventDecidesBetweenAttempts(t *testing.T) {
	c := qt.New(t)
	place := func() (*Machine, time.Time) {
		m, now, seek := newStalledMachine(c, true)
		m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", Resume: true})
		m.SuccessorSent(now)
		return m, now
	}
	m, now := place()
	c.Check(m.SuccessorEvent(now, 2), qt.HasLen, 0, qt.Commentf("an event that the client has"))
	c.Check(m.SuccessorEvent(now, 3), qt.DeepEquals, []Effect{Switch{Stalled}, Deliver{}})
	c.Check(m.Event(now, 4), qt.DeepEquals, []Effect{Deliver{}})
	m, now = place()
	c.Check(m.Event(now, 3), qt.DeepEquals, []Effect{EndSuccessor{}, Deliver{}})
	m, now = place()
	c.Check(m.SuccessorEvent(now, 4), qt.DeepEquals, []Effect{EndSuccessor{Interrupted}}, qt.Commentf("an event is missing"))
	m, now = place()
	c.Check(m.AttemptFailed(now, Interrupted), qt.DeepEquals, []Effect{Switch{Interrupted}}, qt.Commentf("the first target is lost meanwhile"))
	m, now = place()
	c.Check(m.Check(now.Add(maxOverlap)), qt.DeepEquals, []Effect{Switch{Stalled}})
	m, now, seek := newStalledMachine(c, true)
	m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", Resume: true})
	c.Check(m.Check(now.Add(successorSendTimeout)), qt.DeepEquals, []Effect{EndSuccessor{}}, qt.Commentf("never sent"))
}

// Guards against a successor that ends after its stream's current attempt: the gateway has no current
// attempt then.
func TestLossAtDeadlineEndsSuccessorFirst(t *testing.T) {
	c := qt.New(t)
	m, now, seek := newStalledMachine(c, true)
	m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", Resume: true})
	m.SuccessorSent(now)
	effects := m.AttemptFailed(options().Deadline, Interrupted)
	c.Check(effects, qt.DeepEquals, []Effect{EndSuccessor{}, EndAttempt{Interrupted}, Finish{TimedOut}})
}

// Guards against a probe that is answered after the target has sent an event, and then ends the
// attempt at a target that works.
func TestEventDuringProbeKeepsAttempt(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	at := start
	for at.Sub(start) < 434*time.Millisecond {
		at = m.NextCheck()
		c.Assert(m.Check(at), qt.DeepEquals, []Effect{Probe{"a"}})
		if at.Sub(start) < 434*time.Millisecond {
			c.Assert(m.Probed(at, true, true), qt.HasLen, 0)
		}
	}
	c.Check(m.Event(at, 2), qt.DeepEquals, []Effect{Deliver{}})
	c.Check(m.Probed(at.Add(2*time.Millisecond), true, true), qt.HasLen, 0)
}

// Guards against probes at a constant rate during a long silence, each of which costs the target a
// connection.
func TestProbesBecomeRarer(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	probes := 0
	for now := m.NextCheck(); now.Before(start.Add(10 * time.Second)); now = m.NextCheck() {
		m.Check(now)
		m.Probed(now, true, true)
		m.NoSuccessor()
		probes++
	}
	c.Check(probes <= 13, qt.IsTrue, qt.Commentf("%d probes in 10 s", probes))
}

// Scenario: a report lacks a request. Guards against a probe so much later that the evidence of a request
// that hangs can't be told from that of a gateway which was suspended.
func TestShortReportIsCheckedSoon(t *testing.T) {
	for _, events := range []int{0, 1} {
		c := qt.New(t)
		m := newOpenMachine(newLateOptions(), Placement{Target: "a", ExpectedFirstEvent: 5 * time.Second})
		if events > 0 {
			m.Event(start, 1)
		}
		for range 9 {
			now := m.NextCheck()
			m.Check(now)
			m.TargetReported(TargetReport{Progress: placement.Suspect})
			m.Probed(now, true, false)
			c.Assert(m.NextCheck().Sub(now) <= 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", m.NextCheck().Sub(now)))
		}
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

// openSuccessor returns a machine whose current attempt at "a" is silent, with a successor at "b"
// that was sent, and the time of that.
func openSuccessor(c *qt.C, o Options, resume bool) (*Machine, time.Time) {
	m := newOpenMachine(o, Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	now := start.Add(5 * time.Second)
	m.Check(now)
	effects := m.Probed(now, true, resume)
	c.Assert(effects, qt.HasLen, 1)
	seek := effects[0].(SeekSuccessor)
	m.SuccessorPlaced(now, seek.Loss, Placement{Target: "b", CopyTarget: "d", Resume: resume})
	m.SuccessorSent(now)
	return m, now
}

// Scenario: an overloaded engine refuses a successor later than maxOverlap. Guards against a live
// target that is left for one that has not accepted the stream, and is not asked again.
func TestLateRefusalOfSuccessorKeepsLiveTarget(t *testing.T) {
	c := qt.New(t)
	m, now := openSuccessor(c, options(), true)
	now = now.Add(maxOverlap)
	m.Check(now)
	effects := m.AttemptFailed(now.Add(50*time.Millisecond), Refused)
	for _, e := range effects {
		if choose, ok := e.(ChooseTarget); ok {
			for _, id := range choose.Exclude {
				c.Check(id == "a", qt.IsFalse, qt.Commentf("the live target that the stream gave up is excluded"))
			}
		}
	}
}

// Scenario: events arrive while a probe of their target waits for its answer and the answer does not
// come. Guards against a target that counts as down although it has just sent an event.
func TestEventDuringProbeProvesLiveTarget(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a"})
	m.Event(start, 1)
	now := start.Add(300 * time.Millisecond)
	c.Assert(m.Check(now), qt.DeepEquals, []Effect{Probe{"a"}})
	m.Event(now.Add(200*time.Millisecond), 2)
	c.Check(m.Probed(now.Add(220*time.Millisecond), false, false), qt.HasLen, 0)
}

// Scenario: a slow engine sends an event whenever a successor has just been sent. Guards against
// more targets that may have run a request than its route permits.
func TestCanceledSuccessorsCountAsRuns(t *testing.T) {
	c := qt.New(t)
	o := options()
	o.MaxAttempts = 3
	m := newOpenMachine(o, Placement{Target: "a", CopyTarget: "c"})
	now, sent := start, 1
	for i := range 12 {
		m.Event(now, uint64(i+1))
		now = now.Add(500 * time.Millisecond)
		m.Check(now)
		for _, e := range m.Probed(now, true, true) {
			seek := e.(SeekSuccessor)
			m.SuccessorPlaced(now, seek.Loss, Placement{Target: fmt.Sprint("s", i), Resume: true})
			m.SuccessorSent(now)
			sent++
		}
		now = now.Add(200 * time.Millisecond) // the event comes before maxOverlap
	}
	c.Check(sent <= o.MaxAttempts, qt.IsTrue, qt.Commentf("%d targets were sent the request", sent))
}

// Scenario: a target crashes while a successor without the copy is open. Guards against a second
// prefill although the copy of the run exists.
func TestCrashWithOpenSuccessorUsesCopy(t *testing.T) {
	c := qt.New(t)
	m, now := openSuccessor(c, options(), false)
	choose := ChooseTarget{}
	for _, e := range m.AttemptFailed(now.Add(20*time.Millisecond), TargetDown) {
		if e, ok := e.(ChooseTarget); ok {
			choose = e
		}
	}
	c.Check(choose.MayHaveCopy, qt.IsTrue)
}

// Scenario: targets refuse successors for a moment; later the current target crashes. Guards against
// a stream that is lost because every sound target refused it once.
func TestRefusedSuccessorsMayBeChosenLater(t *testing.T) {
	c := qt.New(t)
	m, now := openSuccessor(c, options(), true)
	m.SuccessorFailed(Refused)
	for n := uint64(2); n < 20; n++ {
		now = now.Add(100 * time.Millisecond)
		m.Event(now, n)
	}
	choose := chooseTarget(c, m.AttemptFailed(now, TargetDown))
	for _, id := range choose.Exclude {
		c.Check(id == "b", qt.IsFalse, qt.Commentf("%s refused a successor some time before", id))
	}
}

// Guards against two engines that work on a stream for 400 ms, the bound of the users' rules. Tests of
// the overlap that compute with maxOverlap do not notice a larger one.
func TestOverlapIsWithinBound(t *testing.T) {
	c := qt.New(t)
	m, sent := openSuccessor(c, options(), true)
	for !m.NextCheck().After(sent.Add(400 * time.Millisecond)) {
		now := m.NextCheck()
		for _, e := range m.Check(now) {
			switch e.(type) {
			case Switch, EndSuccessor:
				return
			case Probe:
				m.Probed(now, true, false)
			}
		}
	}
	t.Fatal("both attempts are open 400 ms after the successor was sent")
}

// Guards against a move from a live target that takes the last attempt of the route: the next loss
// ends the stream.
func TestMoveLeavesAnAttemptForALoss(t *testing.T) {
	c := qt.New(t)
	o := options()
	o.MaxAttempts = 2
	m := newOpenMachine(o, Placement{Target: "a", CopyTarget: "b"})
	m.Event(start, 1)
	now := start.Add(5 * time.Second)
	m.Check(now)
	effects := m.Probed(now, true, true)
	if len(effects) == 0 {
		return
	}
	m.SuccessorPlaced(now, effects[0].(SeekSuccessor).Loss, Placement{Target: "b", Resume: true})
	m.SuccessorSent(now)
	m.SuccessorEvent(now, 2)
	c.Check(finishOutcome(m.AttemptFailed(now, TargetDown)), qt.Not(qt.Equals), Lost)
}

// Guards against a stream that ends at its deadline with an open attempt and counts as not run: the
// answer would promise that no engine ran it.
func TestOpenAttemptAtDeadlineMayHaveRun(t *testing.T) {
	c := qt.New(t)
	m := newOpenMachine(options(), Placement{Target: "a"})
	c.Check(finishOutcome(m.Check(options().Deadline)), qt.Equals, TimedOut)
	c.Check(m.Ran(), qt.IsTrue)
}

// Scenario: a live target is silent, and its successors end normally without a new event. Guards against
// a stream that ends as complete before its last event because one target answered with an empty
// success, and against one that never ends because its target hangs after the last event.
func TestSuccessorWithoutEventKeepsCurrentAttempt(t *testing.T) {
	c := qt.New(t)
	m, now := openSuccessor(c, options(), true)
	c.Check(m.SuccessorCompleted(now.Add(10*time.Millisecond)), qt.DeepEquals, []Effect{EndSuccessor{Interrupted}})
	c.Check(m.Event(now.Add(20*time.Millisecond), 2), qt.DeepEquals, []Effect{Deliver{}}, qt.Commentf("the current attempt goes on"))
	for i, want := range [][]Effect{{EndSuccessor{Interrupted}}, {Switch{Stalled}, EndAttempt{}, Finish{Complete}}} {
		now = now.Add(5 * time.Second)
		m.Check(now)
		seek := m.Probed(now, true, false)[0].(SeekSuccessor)
		c.Check(slices.Contains(seek.Exclude, "b"), qt.IsTrue)
		m.SuccessorPlaced(now, seek.Loss, Placement{Target: string(rune('e' + i))})
		m.SuccessorSent(now)
		c.Check(m.SuccessorCompleted(now), qt.DeepEquals, want)
	}
}
