package stream

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleygap/internal/result"
)

var epochStart = time.Unix(1000, 0)

// bench drives a machine through a list of messages at chosen times.
type bench struct {
	c   *qt.C
	m   *Machine
	now time.Time
}

func newBench(t *testing.T, options Options) *bench {
	b := &bench{c: qt.New(t), m: New(options), now: epochStart}
	b.m.Step(b.now, Start{})
	return b
}

func (b *bench) step(message Message) []Effect { return b.m.Step(b.now, message) }

// pass sends ticks for a time and returns their effects.
func (b *bench) pass(d time.Duration) (all []Effect) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(TickInterval)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

func (b *bench) tokens(attempt uint32, first uint64, ids ...uint32) []Effect {
	return b.step(Tokens{Attempt: attempt, First: first, IDs: ids, Bytes: make([][]byte, len(ids))})
}

func (b *bench) assign(request uint32, target, version string) []Effect {
	return b.step(Assigned{Request: request, Target: target, Version: version})
}

func effectsOf[E Effect](effects []Effect) (found []E) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func started(t *testing.T, options Options) *bench {
	b := newBench(t, options)
	b.assign(1, "a", "v1")
	b.step(Accepted{Attempt: 1, Epoch: 1, Incarnation: 1})
	b.tokens(1, 0, 10, 11)
	return b
}

// Guards against a race in which both attempts' tokens are delivered, or the loser keeps running.
func TestSpeculativeAttempt(t *testing.T) {
	for name, winner := range map[string]uint32{"first wins": 1, "speculative wins": 2} {
		t.Run(name, func(t *testing.T) {
			b := started(t, Options{})
			b.c.Assert(effectsOf[RequestTarget](b.pass(speculateAfter-TickInterval)), qt.HasLen, 0)
			requests := effectsOf[RequestTarget](b.pass(TickInterval))
			b.c.Assert(requests, qt.HasLen, 1)
			b.c.Assert(requests[0].Speculative, qt.IsTrue)
			b.c.Assert(requests[0].Version, qt.Equals, "v1")
			b.c.Assert(requests[0].Exclude, qt.DeepEquals, []string{"a"})
			start := effectsOf[StartAttempt](b.assign(2, "b", "v1"))
			b.c.Assert(start[0].PrefixIDs, qt.DeepEquals, []uint32{10, 11})
			loser := 3 - winner
			ends := effectsOf[EndAttempt](b.tokens(winner, 2, 12))
			b.c.Assert(ends, qt.HasLen, 1)
			b.c.Assert(ends[0].Attempt, qt.Equals, loser)
			b.c.Assert(ends[0].Cancel, qt.Equals, CancelNow)
			b.c.Assert(effectsOf[Deliver](b.tokens(loser, 3, 99)), qt.HasLen, 0)
			b.c.Assert(effectsOf[Deliver](b.tokens(winner, 3, 13)), qt.HasLen, 1)
		})
	}
}

// Guards against an attempt that is kept after 1 s of inactivity, and against one that
// is failed although its agent sends Progress.
func TestInactivity(t *testing.T) {
	b := started(t, Options{})
	for range 10 {
		b.c.Assert(effectsOf[RequestTarget](b.pass(250*time.Millisecond)), qt.HasLen, 0)
		b.step(Progress{Attempt: 1})
	}
	effects := b.pass(time.Second)
	b.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 1)
	b.c.Assert(effectsOf[EndAttempt](effects)[0].Outcome.Failed, qt.IsTrue)
	resumed := effectsOf[StartAttempt](b.assign(2, "b", "v1"))
	b.c.Assert(resumed[0].Resume, qt.IsTrue)
}

// Guards against agents declared failed because the entry itself was paused.
func TestLateTickRestartsTimers(t *testing.T) {
	b := started(t, Options{})
	b.now = b.now.Add(5 * time.Second)
	effects := b.step(Tick{})
	b.c.Assert(effectsOf[TickDelayed](effects), qt.HasLen, 1)
	b.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 0)
	b.c.Assert(effectsOf[RequestTarget](b.pass(speculateAfter-2*TickInterval)), qt.HasLen, 0)
}

// Guards against inactivity that is counted while a slow caller stops the reading,
// and against a caller that holds its target for ever.
func TestSlowCaller(t *testing.T) {
	b := started(t, Options{})
	for i := uint64(2); !b.m.Blocked(); i++ {
		b.tokens(1, i, uint32(i))
	}
	b.c.Assert(b.pass(30*time.Second), qt.HasLen, 0)
	b.step(Consumed{Events: 1})
	b.c.Assert(b.pass(speculateAfter-2*TickInterval), qt.HasLen, 0)
	b.tokens(1, 65, 65)
	b.c.Assert(b.m.Blocked(), qt.IsTrue)
	finishes := effectsOf[Finish](b.pass(61 * time.Second))
	b.c.Assert(finishes, qt.HasLen, 1)
	b.c.Assert(finishes[0].Code, qt.Equals, result.SlowCaller)
}

// Guards against a prefix that is continued on another version, and against a wait
// beyond the deadline when the version is gone.
func TestVersionGone(t *testing.T) {
	b := started(t, Options{Deadline: epochStart.Add(10 * time.Second)})
	b.step(StreamBroken{Attempt: 1})
	effects := b.assign(2, "b", "v2")
	b.c.Assert(effectsOf[StartAttempt](effects), qt.HasLen, 0)
	b.c.Assert(effectsOf[ReleaseTarget](effects), qt.HasLen, 1)
	for !b.m.Done() {
		for _, effect := range b.pass(TickInterval) {
			switch e := effect.(type) {
			case RequestTarget:
				b.c.Assert(e.Version, qt.Equals, "v1")
				b.step(PlacementFailed{Request: e.Request, Code: result.NoTarget})
			case Finish:
				b.c.Assert(e.Code, qt.Equals, result.VersionGone)
				b.c.Assert(b.now.Before(epochStart.Add(10*time.Second)), qt.IsFalse)
			}
		}
	}
}

// Guards against a request that stays bound to a version although nothing was delivered,
// and against a not-run code after an attempt ran (I5).
func TestNothingDelivered(t *testing.T) {
	b := newBench(t, Options{})
	b.assign(1, "a", "v1")
	b.step(Accepted{Attempt: 1, Epoch: 1, Incarnation: 1})
	requests := effectsOf[RequestTarget](b.step(StreamBroken{Attempt: 1}))
	b.c.Assert(requests[0].Version, qt.Equals, "")
	b.c.Assert(requests[0].Resume, qt.IsFalse)
	b.c.Assert(requests[0].Retry, qt.IsTrue)
	b.step(PlacementFailed{Request: 2, Code: result.NoTarget})
	finishes := effectsOf[Finish](b.step(PlacementFailed{Request: 3, Code: result.NoTarget}))
	b.c.Assert(finishes[0].Code, qt.Equals, result.TargetDied)
	fresh := newBench(t, Options{})
	finishes = effectsOf[Finish](fresh.step(PlacementFailed{Request: 1, Code: result.Overloaded}))
	b.c.Assert(finishes[0].Code, qt.Equals, result.Overloaded)
}

// Guards against a caller that waits without end for a generation that the router rejects
// because it crashed too many targets.
func TestRejectedMidway(t *testing.T) {
	b := started(t, Options{})
	b.step(Failed{Attempt: 1, Code: result.TargetDied, TargetDied: true})
	finishes := effectsOf[Finish](b.step(PlacementFailed{Request: 2, Code: result.CrashedMidway}))
	b.c.Assert(finishes, qt.HasLen, 1)
	b.c.Assert(finishes[0].Code, qt.Equals, result.CrashedMidway)
}

// Guards against a preemption that is taken for a failure, which would cost retry budget,
// and against a later failure that is taken for a preemption.
func TestPreemptedAttempt(t *testing.T) {
	b := newBench(t, Options{})
	b.assign(1, "a", "v1")
	request := effectsOf[RequestTarget](b.step(Failed{Attempt: 1, Code: result.Preempted}))[0]
	b.c.Assert(request.Preempted && request.Retry && !request.Resume, qt.IsTrue)
	b.assign(2, "b", "v1")
	request = effectsOf[RequestTarget](b.step(Failed{Attempt: 2, Code: result.TargetDied}))[0]
	b.c.Assert(request.Preempted, qt.IsFalse)
}

// Guards against a generation that ends because the short wait for a speculative
// target expired just after the only attempt failed.
func TestSpeculativeRequestOutlivesFailedAttempt(t *testing.T) {
	b := newBench(t, Options{})
	b.assign(1, "a", "v1")
	b.c.Assert(effectsOf[RequestTarget](b.pass(time.Second)), qt.HasLen, 1)
	effects := b.step(PlacementFailed{Request: 2, Code: result.NoTarget})
	b.c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
	b.c.Assert(effectsOf[RequestTarget](effects)[0].Wait, qt.Equals, firstPlaceWait)
}

// Guards against a superseded entry that cancels the attempt of its successor, and
// against a disconnected caller whose generation is cancelled before it can resume.
func TestEndsThatLeaveTheLogAttachable(t *testing.T) {
	b := started(t, Options{})
	effects := b.step(Failed{Attempt: 1, Code: result.Superseded})
	b.c.Assert(effectsOf[EndAttempt](effects)[0].Cancel, qt.Equals, CancelNone)
	b.c.Assert(effectsOf[Finish](effects)[0].Code, qt.Equals, result.Superseded)
	b = started(t, Options{})
	effects = b.step(CallerDisconnected{Resumable: true})
	b.c.Assert(effectsOf[EndAttempt](effects)[0].Cancel, qt.Equals, CancelLater)
}

// Guards against a log that is continued although it is complete or too short, and
// against attempt numbers that an earlier entry may have used.
func TestAttachedLog(t *testing.T) {
	c := qt.New(t)
	ids := []uint32{1, 2, 3}
	log := AttachedLog{Attempt: 2, Epoch: 3, Version: "v1", IDs: ids, Bytes: make([][]byte, 3), From: 2}
	effects := New(Options{}).Step(epochStart, log)
	c.Assert(effectsOf[Deliver](effects)[0].IDs, qt.DeepEquals, ids[2:])
	c.Assert(effectsOf[RequestTarget](effects)[0].Version, qt.Equals, "v1")
	m := New(Options{})
	m.Step(epochStart, log)
	start := effectsOf[StartAttempt](m.Step(epochStart, Assigned{Request: 1, Target: "b", Version: "v1"}))
	c.Assert(start[0].PrefixIDs, qt.DeepEquals, ids)
	c.Assert(start[0].Attempt, qt.Equals, uint32(3*attemptBlock+1))

	log.End = &Finished{Reason: "stop", Tokens: 3, Checksum: Checksum(0, ids)}
	effects = New(Options{}).Step(epochStart, log)
	c.Assert(effectsOf[Finish](effects)[0].Code, qt.Equals, result.OK)
	c.Assert(effectsOf[RequestTarget](effects), qt.HasLen, 0)
	log.From = 4
	effects = New(Options{}).Step(epochStart, log)
	c.Assert(effectsOf[Finish](effects)[0].Code, qt.Equals, result.ResumeLost)
}

// Guards against a caller that returns after its attempt was cancelled for want of a
// caller, and gets CANCELLED instead of the rest.
func TestAttachedLogOfCancelledAttemptContinues(t *testing.T) {
	c := qt.New(t)
	m := New(Options{})
	m.Step(epochStart, AttachedLog{Attempt: 2, Epoch: 3, Version: "v1", IDs: []uint32{1}, Bytes: make([][]byte, 1), From: 1, Live: true})
	effects := m.Step(epochStart, Failed{Attempt: 2, Code: result.Cancelled})
	c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
	c.Assert(effectsOf[RequestTarget](effects)[0].Version, qt.Equals, "v1")
}

const worldTokens = 8 // length of every generation in the property test

// world is a network that loses, repeats and reorders the messages of all attempts.
// Token i of attempt k has id 1000k+i, so that every token names its attempt.
type world struct {
	t         *rapid.T
	m         *Machine
	now       time.Time
	flight    []Message
	requests  []uint32
	prefixes  map[uint32][]uint32
	open      map[uint32]bool
	accepted  bool
	terminals map[uint32]bool // checksum of Finished messages passed in
	delivered []uint32
	versions  map[uint32]string // by attempt
	pending   int
	done      bool
}

func (w *world) step(message Message) {
	switch msg := message.(type) {
	case Accepted:
		w.accepted = w.accepted || w.open[msg.Attempt]
	case Finished:
		w.terminals[msg.Checksum] = true
	case Consumed:
		w.pending -= msg.Events
	}
	wasDone := w.done
	for _, effect := range w.m.Step(w.now, message) {
		w.apply(effect, wasDone)
	}
}

func (w *world) apply(effect Effect, wasDone bool) {
	switch e := effect.(type) {
	case RequestTarget:
		w.requests = append(w.requests, e.Request)
	case StartAttempt:
		w.start(e)
	case EndAttempt:
		w.check(w.open[e.Attempt], "attempt %d ended twice or never started", e.Attempt)
		delete(w.open, e.Attempt)
	case Deliver:
		w.deliver(e)
	case Finish:
		w.finish(e)
	}
	switch effect.(type) {
	case ReleaseTarget, Count:
	default:
		w.check(!wasDone, "effect %T after Finish", effect)
	}
}

func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf(format, args...)
	}
}

func (w *world) start(e StartAttempt) {
	w.check(slices.Equal(e.PrefixIDs, w.delivered), "prefix %v, delivered %v", e.PrefixIDs, w.delivered)
	w.prefixes[e.Attempt] = e.PrefixIDs
	w.open[e.Attempt] = true
	if len(e.PrefixIDs) > 0 {
		version := w.versions[w.delivered[0]/1000]
		w.check(e.Version == version, "prefix of version %s continued on version %s", version, e.Version)
	}
	w.versions[e.Attempt] = e.Version
	all := slices.Clone(e.PrefixIDs)
	w.flight = append(w.flight, Accepted{Attempt: e.Attempt, Epoch: 1}, Progress{Attempt: e.Attempt})
	for i := len(all); i < worldTokens; {
		batch := Tokens{Attempt: e.Attempt, First: uint64(i)}
		for range rapid.IntRange(1, 3).Draw(w.t, "batch") {
			if i < worldTokens {
				batch.IDs = append(batch.IDs, e.Attempt*1000+uint32(i))
				batch.Bytes = append(batch.Bytes, []byte("x"))
				i++
			}
		}
		all = append(all, batch.IDs...)
		if back := rapid.IntRange(0, len(all)-len(e.PrefixIDs)-len(batch.IDs)).Draw(w.t, "overlap"); back > 0 {
			// A batch that partly repeats the tokens before it.
			batch.First -= uint64(back)
			batch.IDs = slices.Clone(all[batch.First:])
			batch.Bytes = make([][]byte, len(batch.IDs))
		}
		w.flight = append(w.flight, batch)
	}
	end := Finished{Attempt: e.Attempt, Reason: "length", Tokens: worldTokens, Checksum: Checksum(0, all)}
	if rapid.IntRange(0, 3).Draw(w.t, "corrupt") == 0 {
		end.Checksum++
	}
	w.flight = append(w.flight, end)
}

func (w *world) deliver(e Deliver) {
	w.pending++
	w.check(e.First == uint64(len(w.delivered)), "delivery at %d after %d tokens", e.First, len(w.delivered))
	for _, id := range e.IDs {
		attempt, index := id/1000, int(id%1000)
		w.check(index == len(w.delivered), "token %d at index %d", id, len(w.delivered))
		w.delivered = append(w.delivered, id)
		for _, later := range w.delivered[len(w.prefixes[attempt]):] {
			w.check(later/1000 == attempt, "tokens of attempts %d and %d are mixed: %v", attempt, later/1000, w.delivered)
		}
	}
}

func (w *world) finish(e Finish) {
	w.done = true
	w.check(len(w.open) == 0, "attempts %v still open at the end", w.open)
	if e.Code != result.OK {
		w.check(!w.accepted || e.Code.Class() != result.ClassNotRun, "code %s after an attempt ran", e.Code)
		return
	}
	sum := Checksum(0, w.delivered)
	w.check(len(w.delivered) == worldTokens, "complete after %v", w.delivered)
	w.check(e.Checksum == sum && w.terminals[sum], "complete without the terminal event")
}

func (w *world) act() {
	switch rapid.IntRange(0, 11).Draw(w.t, "action") {
	case 0, 1, 2, 3, 4: // next message of one attempt
		w.pass(w.nextOf(), true)
	case 5: // reordered
		w.pass(w.any(), true)
	case 6: // repeated
		w.pass(w.any(), false)
	case 7: // lost
		if at := w.any(); at >= 0 {
			w.flight = slices.Delete(w.flight, at, at+1)
		}
	case 8, 9:
		w.answer()
	case 10: // silence that may start a speculative attempt or fail one
		for range rapid.IntRange(1, 22).Draw(w.t, "ticks") {
			w.now = w.now.Add(TickInterval)
			w.step(Tick{})
		}
	case 11:
		w.unusual()
	}
}

func attemptOf(message Message) uint32 {
	switch msg := message.(type) {
	case Accepted:
		return msg.Attempt
	case Tokens:
		return msg.Attempt
	case Progress:
		return msg.Attempt
	case Finished:
		return msg.Attempt
	}
	return 0
}

// nextOf returns the position of the first message under way of a random attempt, -1 if there is none.
func (w *world) nextOf() int {
	at := w.any()
	if at < 0 {
		return at
	}
	wanted := attemptOf(w.flight[at])
	return slices.IndexFunc(w.flight, func(m Message) bool { return attemptOf(m) == wanted })
}

func (w *world) any() int {
	if len(w.flight) == 0 {
		return -1
	}
	return rapid.IntRange(0, len(w.flight)-1).Draw(w.t, "message")
}

func (w *world) pass(at int, remove bool) {
	if at < 0 {
		return
	}
	message := w.flight[at]
	if remove {
		w.flight = slices.Delete(w.flight, at, at+1)
	}
	w.step(message)
}

func (w *world) answer() {
	if len(w.requests) == 0 {
		return
	}
	request := w.requests[0]
	w.requests = w.requests[1:]
	version := rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"}).Draw(w.t, "version")
	target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "target")
	w.step(Assigned{Request: request, Target: target, Version: version})
}

func (w *world) unusual() {
	attempt := uint32(rapid.IntRange(1, 4).Draw(w.t, "attempt"))
	switch rapid.IntRange(0, 4).Draw(w.t, "unusual") {
	case 0:
		w.step(StreamBroken{Attempt: attempt})
	case 1:
		w.step(Failed{Attempt: attempt, Code: result.Preempted})
	case 2:
		w.step(Consumed{Events: w.pending})
	case 3:
		if len(w.requests) > 0 && len(w.delivered) > 0 {
			request := w.requests[0]
			w.requests = w.requests[1:]
			w.step(PlacementFailed{Request: request, Code: result.NoTarget})
		}
	case 4:
		w.step(Failed{Attempt: attempt, Code: result.TargetDied, TargetDied: true})
	}
}

// Guards I1, I2 and I4: whatever is late, repeated, reordered or missing, the
// delivered ids are a prefix of one generation, each attempt starts from exactly the
// delivered ids, and completion comes only with the matching terminal event.
func TestDeliveredIsPrefixOfOneGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Several generations in one check: races of two attempts are rare in one.
		for range 40 {
			w := &world{
				t: t, m: New(Options{}), now: epochStart,
				prefixes: make(map[uint32][]uint32), open: make(map[uint32]bool),
				terminals: make(map[uint32]bool), versions: make(map[uint32]string),
			}
			w.step(Start{})
			for n := rapid.IntRange(50, 250).Draw(t, "steps"); n > 0 && !w.done; n-- {
				w.act()
			}
			for range 10 { // messages under way at the end
				w.pass(w.any(), true)
				w.answer()
			}
		}
	})
}
