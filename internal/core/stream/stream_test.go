package stream

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
	"bramleygap/internal/result"
)

var startTime = time.Unix(1000, 0)

// harness drives a Machine with a simulated clock.
type harness struct {
	c   *qt.C
	m   *Machine
	now time.Time
}

func newHarness(t *testing.T, options Options) *harness {
	h := &harness{c: qt.New(t), m: New(options), now: startTime}
	h.m.Step(h.now, Start{})
	return h
}

func (h *harness) step(message Message) []Effect { return h.m.Step(h.now, message) }

// advance moves the clock by d, sending ticks, and returns their effects.
func (h *harness) advance(d time.Duration) (all []Effect) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(TickInterval)
		all = append(all, h.step(Tick{})...)
	}
	return all
}

func (h *harness) tokens(attempt uint32, first uint64, ids ...uint32) []Effect {
	return h.step(Tokens{Attempt: attempt, First: first, IDs: ids, Bytes: make([][]byte, len(ids))})
}

func (h *harness) assign(request uint32, target, version string) []Effect {
	return h.step(Assigned{Request: request, Target: target, Version: version})
}

func effectsOf[E Effect](effects []Effect) (found []E) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// newRunningHarness returns a harness whose first attempt has delivered two tokens.
func newRunningHarness(t *testing.T, options Options) *harness {
	h := newHarness(t, options)
	h.assign(1, "a", "v1")
	h.step(Accepted{Attempt: 1, Epoch: 1, Incarnation: 1})
	h.tokens(1, 0, 10, 11)
	return h
}

// Guards against delivering tokens of both attempts once a speculative attempt runs, and
// against a losing attempt that keeps running.
func TestSpeculativeAttempt(t *testing.T) {
	for name, winner := range map[string]uint32{"first wins": 1, "speculative wins": 2} {
		t.Run(name, func(t *testing.T) {
			h := newRunningHarness(t, Options{})
			h.c.Assert(effectsOf[RequestTarget](h.advance(speculateAfter-TickInterval)), qt.HasLen, 0)
			requests := effectsOf[RequestTarget](h.advance(TickInterval))
			h.c.Assert(requests, qt.HasLen, 1)
			h.c.Assert(requests[0].Speculative, qt.IsTrue)
			h.c.Assert(requests[0].Version, qt.Equals, "v1")
			h.c.Assert(requests[0].Exclude, qt.DeepEquals, []string{"a"})
			start := effectsOf[StartAttempt](h.assign(2, "b", "v1"))
			h.c.Assert(start[0].PrefixIDs, qt.DeepEquals, []uint32{10, 11})
			loser := 3 - winner
			ends := effectsOf[EndAttempt](h.tokens(winner, 2, 12))
			h.c.Assert(ends, qt.HasLen, 1)
			h.c.Assert(ends[0].Attempt, qt.Equals, loser)
			h.c.Assert(ends[0].Cancel, qt.Equals, CancelNow)
			h.c.Assert(effectsOf[Deliver](h.tokens(loser, 3, 99)), qt.HasLen, 0)
			h.c.Assert(effectsOf[Deliver](h.tokens(winner, 3, 13)), qt.HasLen, 1)
		})
	}
}

// Guards against ending an inactive attempt before another one delivers, against asking for another
// target only once or without a pause, and against an attempt that counts as inactive although its
// agent sends Progress.
func TestInactivity(t *testing.T) {
	h := newRunningHarness(t, Options{})
	for range 10 {
		h.c.Assert(effectsOf[RequestTarget](h.advance(250*time.Millisecond)), qt.HasLen, 0)
		h.step(Progress{Attempt: 1})
	}
	effects := h.advance(time.Second)
	requests := effectsOf[RequestTarget](effects)
	for pause := placementRetryDelay; pause < 8*maxRetryDelay; pause *= 2 {
		h.c.Assert(requests, qt.HasLen, 1)
		h.c.Assert(requests[0].Speculative, qt.IsTrue)
		h.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 0)
		effects = h.step(PlacementFailed{Request: requests[0].Request, Code: result.NoTarget})
		effects = append(effects, h.advance(min(pause, maxRetryDelay)-TickInterval)...)
		h.c.Assert(effectsOf[RequestTarget](effects), qt.HasLen, 0)
		effects = append(effects, h.advance(TickInterval)...)
		requests = effectsOf[RequestTarget](effects)
	}
	effects = append(effects, h.assign(requests[0].Request, "b", "v1")...)
	h.c.Assert(effectsOf[StartAttempt](effects)[0].Resume, qt.IsTrue)
	h.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 0)
	ends := effectsOf[EndAttempt](h.tokens(2, 2, 12))
	h.c.Assert(ends, qt.HasLen, 1)
	h.c.Assert(ends[0].Attempt, qt.Equals, uint32(1))
	h.c.Assert(ends[0].Outcome.Failed, qt.IsTrue)
	h.c.Assert(ends[0].Cancel, qt.Equals, CancelNow)
}

// Guards against a lost speculative attempt that keeps the generation from a third target, and
// against ending it before that target is reserved or while its agent sends Progress.
func TestInactiveSpeculativeAttemptIsReplaced(t *testing.T) {
	h := newRunningHarness(t, Options{})
	h.advance(speculateAfter)
	h.assign(2, "b", "v1")
	effects := h.advance(failAfter - TickInterval)
	h.c.Assert(effectsOf[RequestTarget](effects), qt.HasLen, 0)
	effects = h.advance(TickInterval)
	requests := effectsOf[RequestTarget](effects)
	h.c.Assert(requests, qt.HasLen, 1)
	h.c.Assert(requests[0].Exclude, qt.DeepEquals, []string{"a", "b"})
	h.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 0)
	h.step(Progress{Attempt: 2})
	effects = h.assign(3, "c", "v1")
	h.c.Assert(effectsOf[ReleaseTarget](effects), qt.HasLen, 1)
	h.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 0)
	effects = h.advance(failAfter)
	h.c.Assert(effectsOf[RequestTarget](effects), qt.HasLen, 1)
	effects = h.assign(4, "c", "v1")
	ends := effectsOf[EndAttempt](effects)
	h.c.Assert(ends, qt.HasLen, 1)
	h.c.Assert(ends[0].Attempt, qt.Equals, uint32(2))
	h.c.Assert(effectsOf[StartAttempt](effects)[0].Attempt, qt.Equals, uint32(3))
	h.c.Assert(effectsOf[Deliver](h.tokens(1, 2, 12)), qt.HasLen, 1)
}

// Guards against treating agents as failed because the entry itself was paused.
func TestLateTickRestartsTimers(t *testing.T) {
	h := newRunningHarness(t, Options{})
	h.now = h.now.Add(5 * time.Second)
	effects := h.step(Tick{})
	h.c.Assert(effectsOf[TickDelayed](effects), qt.HasLen, 1)
	h.c.Assert(effectsOf[EndAttempt](effects), qt.HasLen, 0)
	h.c.Assert(effectsOf[RequestTarget](h.advance(speculateAfter-2*TickInterval)), qt.HasLen, 0)
}

// Guards against counting inactivity while a slow caller keeps the stream from being
// read, and against a slow caller that occupies its target forever.
func TestSlowCaller(t *testing.T) {
	h := newRunningHarness(t, Options{})
	for i := uint64(2); !h.m.Blocked(); i++ {
		h.tokens(1, i, uint32(i))
	}
	h.c.Assert(h.advance(30*time.Second), qt.HasLen, 0)
	h.step(Consumed{Events: 1})
	h.c.Assert(h.advance(speculateAfter-2*TickInterval), qt.HasLen, 0)
	h.tokens(1, 65, 65)
	h.c.Assert(h.m.Blocked(), qt.IsTrue)
	finishes := effectsOf[Finish](h.advance(61 * time.Second))
	h.c.Assert(finishes, qt.HasLen, 1)
	h.c.Assert(finishes[0].Code, qt.Equals, result.SlowCaller)
}

// Guards against continuing a prefix on another version, and against waiting beyond the
// deadline when no target has the version any more.
func TestVersionGone(t *testing.T) {
	h := newRunningHarness(t, Options{Deadline: startTime.Add(10 * time.Second)})
	h.step(StreamBroken{Attempt: 1})
	effects := h.assign(2, "b", "v2")
	h.c.Assert(effectsOf[StartAttempt](effects), qt.HasLen, 0)
	h.c.Assert(effectsOf[ReleaseTarget](effects), qt.HasLen, 1)
	for !h.m.Done() {
		for _, effect := range h.advance(TickInterval) {
			switch e := effect.(type) {
			case RequestTarget:
				h.c.Assert(e.Version, qt.Equals, "v1")
				h.step(PlacementFailed{Request: e.Request, Code: result.NoTarget})
			case Finish:
				h.c.Assert(e.Code, qt.Equals, result.VersionGone)
				h.c.Assert(h.now.Before(startTime.Add(10*time.Second)), qt.IsFalse)
			}
		}
	}
}

// Guards against pinning a request to a version before any token was delivered, and
// against reporting a code of class not-run after an attempt ran.
func TestLossBeforeFirstToken(t *testing.T) {
	h := newHarness(t, Options{})
	h.assign(1, "a", "v1")
	h.step(Accepted{Attempt: 1, Epoch: 1, Incarnation: 1})
	requests := effectsOf[RequestTarget](h.step(StreamBroken{Attempt: 1}))
	h.c.Assert(requests[0].Version, qt.Equals, "")
	h.c.Assert(requests[0].Resume, qt.IsFalse)
	h.c.Assert(requests[0].Retry, qt.IsTrue)
	h.step(PlacementFailed{Request: 2, Code: result.NoTarget})
	finishes := effectsOf[Finish](h.step(PlacementFailed{Request: 3, Code: result.NoTarget}))
	h.c.Assert(finishes[0].Code, qt.Equals, result.TargetDied)
	fresh := newHarness(t, Options{})
	finishes = effectsOf[Finish](fresh.step(PlacementFailed{Request: 1, Code: result.Overloaded}))
	h.c.Assert(finishes[0].Code, qt.Equals, result.Overloaded)
}

// Guards against a caller that waits forever for a generation that the router rejects
// because it crashed too many targets.
func TestPlacementRejectedAfterCrash(t *testing.T) {
	h := newRunningHarness(t, Options{})
	h.step(Failed{Attempt: 1, Code: result.TargetDied, TargetDied: true})
	finishes := effectsOf[Finish](h.step(PlacementFailed{Request: 2, Code: result.CrashedMidway}))
	h.c.Assert(finishes, qt.HasLen, 1)
	h.c.Assert(finishes[0].Code, qt.Equals, result.CrashedMidway)
}

// Guards against treating a preemption as a failure, which would spend retry budget, and
// against treating a later failure as a preemption.
func TestPreemptedAttempt(t *testing.T) {
	h := newHarness(t, Options{})
	h.assign(1, "a", "v1")
	request := effectsOf[RequestTarget](h.step(Failed{Attempt: 1, Code: result.Preempted}))[0]
	h.c.Assert(request.Preempted && request.Retry && !request.Resume, qt.IsTrue)
	preemptedAt := h.now
	h.advance(time.Millisecond)
	started := effectsOf[StartAttempt](h.assign(2, "b", "v1"))
	h.c.Assert(started[0].PreemptedAt.Equal(preemptedAt), qt.IsTrue)
	request = effectsOf[RequestTarget](h.step(Failed{Attempt: 2, Code: result.TargetDied}))[0]
	h.c.Assert(request.Preempted, qt.IsFalse)
}

// Guards against ending a generation because the short wait for a speculative target
// expired just after the only attempt failed.
func TestSpeculativeRequestOutlivesFailedAttempt(t *testing.T) {
	h := newHarness(t, Options{})
	h.assign(1, "a", "v1")
	h.c.Assert(effectsOf[RequestTarget](h.advance(time.Second)), qt.HasLen, 1)
	h.c.Assert(effectsOf[RequestTarget](h.step(StreamBroken{Attempt: 1})), qt.HasLen, 0)
	effects := h.step(PlacementFailed{Request: 2, Code: result.NoTarget})
	h.c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
	h.c.Assert(effectsOf[RequestTarget](effects)[0].Wait, qt.Equals, defaultPlacementTimeout)
}

// Guards against a superseded entry that cancels the attempt of its successor, and
// against cancelling the generation of a disconnected caller before it can resume.
func TestLogStaysAttachable(t *testing.T) {
	h := newRunningHarness(t, Options{})
	effects := h.step(Failed{Attempt: 1, Code: result.Superseded})
	h.c.Assert(effectsOf[EndAttempt](effects)[0].Cancel, qt.Equals, CancelNone)
	h.c.Assert(effectsOf[Finish](effects)[0].Code, qt.Equals, result.Superseded)
	h = newRunningHarness(t, Options{})
	effects = h.step(CallerDisconnected{Resumable: true})
	h.c.Assert(effectsOf[EndAttempt](effects)[0].Cancel, qt.Equals, CancelLater)
}

// Guards against continuing a log that is complete or shorter than what the caller has,
// and against attempt numbers that an earlier entry may have used.
func TestAttachedLog(t *testing.T) {
	c := qt.New(t)
	ids := []uint32{1, 2, 3}
	log := AttachedLog{Attempt: 2, Epoch: 3, Version: "v1", IDs: ids, Bytes: make([][]byte, 3), From: 2}
	effects := New(Options{}).Step(startTime, log)
	c.Assert(effectsOf[Deliver](effects)[0].IDs, qt.DeepEquals, ids[2:])
	c.Assert(effectsOf[RequestTarget](effects)[0].Version, qt.Equals, "v1")
	m := New(Options{})
	m.Step(startTime, log)
	start := effectsOf[StartAttempt](m.Step(startTime, Assigned{Request: 1, Target: "b", Version: "v1"}))
	c.Assert(start[0].PrefixIDs, qt.DeepEquals, ids)
	c.Assert(start[0].Attempt, qt.Equals, uint32(3*attemptNumbersPerEpoch+1))

	log.End = &Finished{Reason: "stop", Tokens: 3, Checksum: Checksum(0, ids)}
	effects = New(Options{}).Step(startTime, log)
	c.Assert(effectsOf[Finish](effects)[0].Code, qt.Equals, result.OK)
	c.Assert(effectsOf[RequestTarget](effects), qt.HasLen, 0)
	log.From = 4
	effects = New(Options{}).Step(startTime, log)
	c.Assert(effectsOf[Finish](effects)[0].Code, qt.Equals, result.ResumeLost)
}

// Guards against returning CANCELLED to a caller that reconnects after its attempt was
// cancelled because no caller was connected.
func TestAttachedLogOfCancelledAttemptContinues(t *testing.T) {
	c := qt.New(t)
	m := New(Options{})
	m.Step(startTime, AttachedLog{Attempt: 2, Epoch: 3, Version: "v1", IDs: []uint32{1}, Bytes: make([][]byte, 1), From: 1, Live: true})
	effects := m.Step(startTime, Failed{Attempt: 2, Code: result.Cancelled})
	c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
	c.Assert(effectsOf[RequestTarget](effects)[0].Version, qt.Equals, "v1")
}

const generationTokens = 8 // length of every generation in the property test

// network connects a Machine to simulated attempts and loses, duplicates and reorders their
// messages. Token i of attempt k has id 1000k+i, so that each id identifies its attempt.
type network struct {
	t         *rapid.T
	m         *Machine
	now       time.Time
	inFlight  []Message
	requests  []uint32            // unanswered
	prefixes  map[uint32][]uint32 // by attempt
	running   map[uint32]bool     // by attempt
	accepted  bool                // an attempt was accepted
	checksums map[uint32]bool     // checksums of the Finished messages that were received
	delivered []uint32
	versions  map[uint32]string // by attempt
	buffered  int
	done      bool
}

func (n *network) step(message Message) {
	switch msg := message.(type) {
	case Accepted:
		n.accepted = n.accepted || n.running[msg.Attempt]
	case Finished:
		n.checksums[msg.Checksum] = true
	case Consumed:
		n.buffered -= msg.Events
	}
	wasDone := n.done
	effects := n.m.Step(n.now, message)
	if _, tick := message.(Tick); tick && len(effectsOf[Finish](effects)) == 0 {
		n.check(len(effectsOf[EndAttempt](effects)) == 0, "attempt ended without a replacement because time passed")
	}
	for _, effect := range effects {
		n.apply(effect, wasDone)
	}
}

func (n *network) apply(effect Effect, wasDone bool) {
	switch e := effect.(type) {
	case RequestTarget:
		n.requests = append(n.requests, e.Request)
	case StartAttempt:
		n.startAttempt(e)
	case EndAttempt:
		n.check(n.running[e.Attempt], "attempt %d ended twice or was never started", e.Attempt)
		delete(n.running, e.Attempt)
	case Deliver:
		n.checkDeliver(e)
	case Finish:
		n.checkFinish(e)
	}
	switch effect.(type) {
	case ReleaseTarget, Count:
	default:
		n.check(!wasDone, "effect %T after Finish", effect)
	}
}

func (n *network) check(ok bool, format string, args ...any) {
	if !ok {
		n.t.Fatalf(format, args...)
	}
}

func (n *network) startAttempt(e StartAttempt) {
	n.check(slices.Equal(e.PrefixIDs, n.delivered), "prefix %v, delivered %v", e.PrefixIDs, n.delivered)
	n.prefixes[e.Attempt] = e.PrefixIDs
	n.running[e.Attempt] = true
	if len(e.PrefixIDs) > 0 {
		version := n.versions[n.delivered[0]/1000]
		n.check(e.Version == version, "prefix of version %s continued on version %s", version, e.Version)
	}
	n.versions[e.Attempt] = e.Version
	ids := slices.Clone(e.PrefixIDs)
	n.inFlight = append(n.inFlight, Accepted{Attempt: e.Attempt, Epoch: 1}, Progress{Attempt: e.Attempt})
	for i := len(ids); i < generationTokens; {
		batch := Tokens{Attempt: e.Attempt, First: uint64(i)}
		for range rapid.IntRange(1, 3).Draw(n.t, "batch") {
			if i < generationTokens {
				batch.IDs = append(batch.IDs, e.Attempt*1000+uint32(i))
				batch.Bytes = append(batch.Bytes, []byte("x"))
				i++
			}
		}
		ids = append(ids, batch.IDs...)
		if overlap := rapid.IntRange(0, len(ids)-len(e.PrefixIDs)-len(batch.IDs)).Draw(n.t, "overlap"); overlap > 0 {
			// Overlap the previous batch.
			batch.First -= uint64(overlap)
			batch.IDs = slices.Clone(ids[batch.First:])
			batch.Bytes = make([][]byte, len(batch.IDs))
		}
		n.inFlight = append(n.inFlight, batch)
	}
	end := Finished{Attempt: e.Attempt, Reason: "length", Tokens: generationTokens, Checksum: Checksum(0, ids)}
	if rapid.IntRange(0, 3).Draw(n.t, "corrupt") == 0 {
		end.Checksum++
	}
	n.inFlight = append(n.inFlight, end)
}

func (n *network) checkDeliver(e Deliver) {
	n.buffered++
	n.check(e.First == uint64(len(n.delivered)), "Deliver starts at index %d after %d tokens", e.First, len(n.delivered))
	for _, id := range e.IDs {
		attempt, index := id/1000, int(id%1000)
		n.check(index == len(n.delivered), "token %d at index %d", id, len(n.delivered))
		n.delivered = append(n.delivered, id)
		for _, other := range n.delivered[len(n.prefixes[attempt]):] {
			n.check(other/1000 == attempt, "tokens of attempts %d and %d are mixed: %v", attempt, other/1000, n.delivered)
		}
	}
}

func (n *network) checkFinish(e Finish) {
	n.done = true
	n.check(len(n.running) == 0, "attempts %v still running after Finish", n.running)
	if e.Code != result.OK {
		n.check(!n.accepted || e.Code.Class() != result.ClassNotRun, "code %s of class not-run after an attempt ran", e.Code)
		return
	}
	checksum := Checksum(0, n.delivered)
	n.check(len(n.delivered) == generationTokens, "generation completed with tokens %v", n.delivered)
	n.check(e.Checksum == checksum && n.checksums[checksum], "generation completed without a matching Finished")
}

func (n *network) randomAction() {
	switch rapid.IntRange(0, 11).Draw(n.t, "action") {
	case 0, 1, 2, 3, 4: // next message of one attempt
		n.deliver(n.nextOfRandomAttempt(), true)
	case 5: // reordered
		n.deliver(n.randomMessage(), true)
	case 6: // duplicated
		n.deliver(n.randomMessage(), false)
	case 7: // lost
		if at := n.randomMessage(); at >= 0 {
			n.inFlight = slices.Delete(n.inFlight, at, at+1)
		}
	case 8, 9:
		n.assignTarget()
	case 10: // inactivity that may start a speculative attempt
		for range rapid.IntRange(1, 22).Draw(n.t, "ticks") {
			n.now = n.now.Add(TickInterval)
			n.step(Tick{})
		}
	case 11:
		n.injectFault()
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

// nextOfRandomAttempt returns the position of the first in-flight message of a random
// attempt, -1 if there is none.
func (n *network) nextOfRandomAttempt() int {
	at := n.randomMessage()
	if at < 0 {
		return at
	}
	attempt := attemptOf(n.inFlight[at])
	return slices.IndexFunc(n.inFlight, func(m Message) bool { return attemptOf(m) == attempt })
}

func (n *network) randomMessage() int {
	if len(n.inFlight) == 0 {
		return -1
	}
	return rapid.IntRange(0, len(n.inFlight)-1).Draw(n.t, "message")
}

func (n *network) deliver(at int, remove bool) {
	if at < 0 {
		return
	}
	message := n.inFlight[at]
	if remove {
		n.inFlight = slices.Delete(n.inFlight, at, at+1)
	}
	n.step(message)
}

func (n *network) assignTarget() {
	if len(n.requests) == 0 {
		return
	}
	request := n.requests[0]
	n.requests = n.requests[1:]
	version := rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"}).Draw(n.t, "version")
	target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(n.t, "target")
	n.step(Assigned{Request: request, Target: target, Version: version})
}

func (n *network) injectFault() {
	attempt := uint32(rapid.IntRange(1, 4).Draw(n.t, "attempt"))
	switch rapid.IntRange(0, 4).Draw(n.t, "fault") {
	case 0:
		n.step(StreamBroken{Attempt: attempt})
	case 1:
		n.step(Failed{Attempt: attempt, Code: result.Preempted})
	case 2:
		n.step(Consumed{Events: n.buffered})
	case 3:
		if len(n.requests) > 0 && len(n.delivered) > 0 {
			request := n.requests[0]
			n.requests = n.requests[1:]
			n.step(PlacementFailed{Request: request, Code: result.NoTarget})
		}
	case 4:
		n.step(Failed{Attempt: attempt, Code: result.TargetDied, TargetDied: true})
	}
}

// Checks that with delayed, duplicated, reordered and lost messages, the delivered ids are
// a prefix of one generation, each attempt starts from exactly the delivered ids, no attempt
// of a running generation ends because time passed, and the generation completes only with
// the matching terminal event.
func TestDeliveredIsPrefixOfOneGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Races of two attempts are rare, so each check runs several generations.
		for range 40 {
			n := &network{
				t: t, m: New(Options{}), now: startTime,
				prefixes: make(map[uint32][]uint32), running: make(map[uint32]bool),
				checksums: make(map[uint32]bool), versions: make(map[uint32]string),
			}
			n.step(Start{})
			for steps := rapid.IntRange(50, 250).Draw(t, "steps"); steps > 0 && !n.done; steps-- {
				n.randomAction()
			}
			for range 10 { // messages still in flight at the end
				n.deliver(n.randomMessage(), true)
				n.assignTarget()
			}
		}
	})
}

// Scenario: an agent sends nothing for a second, and no other target has room. Guards against an
// attempt that is canceled before another one is secured: the generation could go on there.
func TestInactiveAttemptIsKeptWithoutReplacement(t *testing.T) {
	h := newRunningHarness(t, Options{})
	requests := effectsOf[RequestTarget](h.advance(speculateAfter))
	h.c.Assert(requests, qt.HasLen, 1)
	h.step(PlacementFailed{Request: requests[0].Request, Code: result.NoTarget})
	h.c.Check(effectsOf[EndAttempt](h.advance(failAfter)), qt.HasLen, 0)
}

// Scenario: as above, before the first token. Guards against a generation that ends though its
// attempt was accepted and may only be late.
func TestAcceptedAttemptDoesNotEndWithoutTarget(t *testing.T) {
	h := newHarness(t, Options{})
	h.assign(1, "a", "v1")
	h.step(Accepted{Attempt: 1, Epoch: 1, Incarnation: 1})
	var finished []Finish
	for range 40 {
		for _, e := range h.advance(TickInterval) {
			switch e := e.(type) {
			case RequestTarget:
				effects := h.step(PlacementFailed{Request: e.Request, Code: result.NoTarget})
				finished = append(finished, effectsOf[Finish](effects)...)
				for _, again := range effectsOf[RequestTarget](effects) {
					finished = append(finished, effectsOf[Finish](h.step(PlacementFailed{Request: again.Request, Code: result.NoTarget}))...)
				}
			case Finish:
				finished = append(finished, e)
			}
		}
	}
	h.c.Check(finished, qt.HasLen, 0)
}
