package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
)

// The engine parameters are those that the users state for their engines.
const (
	// stepTime is the base time of a step, which generates one token for each decoding
	// sequence. stepTimePerSequence is added for each of these, stepTimePerThousandTokens for
	// each thousand tokens of their context.
	stepTime                  = 4630 * time.Microsecond
	stepTimePerSequence       = 153 * time.Microsecond
	stepTimePerThousandTokens = 2750 * time.Nanosecond
	// prefillChunk is the largest number of prompt tokens prefilled in one step.
	prefillChunk       = 125
	prefillTokensPerMS = 5
	tokensPerEvent     = 6
	// engineSlots bounds the generations that run at once, engineMemory the tokens in memory.
	engineSlots  = 64
	engineMemory = 55_000
	// firstEventOverhead is the delay of a first event in addition to its steps.
	firstEventOverhead = 19 * time.Millisecond
	// copyInterval is the interval between updates of the cache copy of an active run.
	copyInterval = 200 * time.Millisecond
	// copyCreationTime is the time to create a cache copy at a gateway's request.
	copyCreationTime = 20 * time.Millisecond
	// copyTTL is the time that a cache copy is kept after its last update.
	copyTTL = 4 * time.Second
	// reportDelay is the age of an engine's load report when it arrives.
	reportDelay = 100 * time.Millisecond
)

// signal is the kind of message that an engine sends for a run.
type signal int

const (
	// signalEvent is the next event of the stream.
	signalEvent signal = iota
	// signalCompleted means that the stream is complete.
	signalCompleted
	// signalRefused means that the engine did not run the request.
	signalRefused
	// signalDisconnected means that the connection broke before the stream was complete.
	signalDisconnected
)

// job is one generation on an engine.
type job struct {
	name   string
	key    uint64
	prompt int
	events int
	// nextEvent is the number of the next event to send, from 1.
	nextEvent int
	// copyTarget holds the cache copy, nil for none.
	copyTarget *engine
	// resumeFrom names the cache copy to resume from, empty for none.
	resumeFrom string
	// prefillTokens counts the tokens prefilled for the client's request, over all attempts.
	prefillTokens *int
	// parts identifies the shared parts of the prompt.
	parts []uint64
	// priority orders the waiting jobs, 0 first; the newest of the last ones are preempted first.
	priority int
	// deliver receives each signal with the number of its event, 0 for none.
	deliver func(signal, int)
	// answer is what the engine's answer says about the engine.
	answer placement.Response

	toPrefill     int
	pendingTokens int
	hangs         bool
	started       bool
}

// memory returns the number of tokens that the job occupies.
func (j *job) memory() int { return j.prompt + (j.nextEvent-1)*tokensPerEvent }

// cacheCopy is a copy of the KV cache of a run on another engine.
type cacheCopy struct {
	tokens  int
	expires time.Time
}

type engine struct {
	clock       *clock
	rng         *rand.Rand
	index       int
	zone        string
	incarnation int
	// address is fixed; name changes with each incarnation.
	address, name string
	// An engine that is not up refuses connections or, if unresponsive, does not respond.
	up, unresponsive bool
	leaving          bool
	// saysLeaving is set if the engine says in its answers that it leaves, shedPause is the time to
	// come back that it states when it rejects all requests, 0 if it does not. The store knows neither.
	saysLeaving bool
	shedPause   time.Duration
	// rejections counts the requests rejected because of shedPause.
	rejections int
	// speed is the lasting speed as a factor of the nominal one, slowdown a passing fault.
	speed, slowdown float64
	// hangProbability is the fraction of the requests that the engine accepts but never
	// processes.
	hangProbability float64
	// crashesOn reports whether the engine ends when it begins to answer a job, and crashed ends it. They
	// may be nil.
	crashesOn     func(*job) bool
	crashed       func()
	waiting       []*job
	running       []*job
	copies        map[string]cacheCopy
	cachedPrompts []cachedPrompt
	stepping      bool
	reports       []loadReport
}

// cachedPrompt is a prompt that stays in memory until its space is needed.
type cachedPrompt struct {
	key    uint64
	tokens int
}

type loadReport struct {
	at   time.Time
	jobs int
}

func newEngine(c *clock, rng *rand.Rand, index int, zone string) *engine {
	e := &engine{clock: c, rng: rng, index: index, zone: zone, up: true, speed: 1, slowdown: 1, copies: map[string]cacheCopy{}}
	e.address = fmt.Sprintf("10.0.0.%d:1", index)
	e.setName()
	return e
}

// id identifies the current incarnation of the engine.
func (e *engine) id() string { return e.name }

func (e *engine) setName() { e.name = fmt.Sprintf("engine-%d.%d", e.index, e.incarnation) }

func (e *engine) registration() membership.Registration {
	return membership.Registration{
		ID: e.id(), Address: e.address, Zone: e.zone, Service: service, Version: "v1",
		Slots: engineSlots, Leaving: e.leaving, StartUnixMS: uint64(e.incarnation + 1), Model: true,
	}
}

// reportedLoad returns the load in the engine's newest report that is at least reportDelay old.
func (e *engine) reportedLoad() int {
	jobs := 0
	for _, r := range e.reports {
		if e.clock.now.Sub(r.at) >= reportDelay {
			jobs = r.jobs
		}
	}
	return jobs
}

func (e *engine) recordLoad() {
	e.reports = append(e.reports, loadReport{e.clock.now, len(e.waiting) + len(e.running)})
	if len(e.reports) > 64 {
		e.reports = slices.Clone(e.reports[32:])
	}
}

// workReport returns what the engine reports about its work. Requests that it never processes are
// not in it, as in the reports of the users' engines.
func (e *engine) workReport() placement.WorkReport {
	report := placement.WorkReport{Queued: len(e.waiting)}
	for _, j := range e.running {
		if !j.hangs {
			report.Running++
			report.Memory += j.memory() - j.toPrefill
		}
	}
	return report
}

// listsRun reports whether the engine lists a job as running, as it does from its first event.
func (e *engine) listsRun(j *job) bool { return j.started && slices.Contains(e.running, j) }

// submit queues a job; a resumed job goes first. It refuses a job whose cache copy is missing or
// expired, and every resumed job while the engine is leaving.
func (e *engine) submit(j *job) {
	j.answer = placement.Response{Leaving: e.saysLeaving, Pause: e.shedPause}
	if e.shedPause > 0 {
		e.rejections++
		j.deliver(signalRefused, 0)
		return
	}
	if e.leaving && j.resumeFrom != "" {
		j.deliver(signalRefused, 0)
		return
	}
	if j.resumeFrom != "" {
		cached, ok := e.copies[j.resumeFrom]
		if !ok || e.clock.now.After(cached.expires) {
			j.deliver(signalRefused, 0)
			return
		}
		delete(e.copies, j.resumeFrom)
		j.toPrefill = max(0, j.memory()-cached.tokens)
	} else {
		j.toPrefill = j.memory()
		if i := slices.IndexFunc(e.cachedPrompts, func(p cachedPrompt) bool { return p.key == j.key }); i >= 0 {
			j.toPrefill = max(1, j.toPrefill-e.cachedPrompts[i].tokens)
		}
	}
	j.hangs = e.rng.Float64() < e.hangProbability
	if j.resumeFrom != "" {
		e.waiting = append([]*job{j}, e.waiting...)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.sortWaiting()
	e.recordLoad()
	e.wake()
}

// cancel removes a job whose connection was closed.
func (e *engine) cancel(j *job) {
	same := func(other *job) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	if slices.Contains(e.running, j) {
		e.running = slices.DeleteFunc(e.running, same)
		e.cachePrompt(j)
	}
	e.recordLoad()
}

func (e *engine) cachePrompt(j *job) {
	e.cachedPrompts = slices.DeleteFunc(e.cachedPrompts, func(p cachedPrompt) bool { return p.key == j.key })
	if j.toPrefill < j.prompt {
		e.cachedPrompts = append(e.cachedPrompts, cachedPrompt{j.key, j.prompt - j.toPrefill})
	}
	e.reclaimMemory()
}

// usedMemory returns the tokens in memory that cannot be evicted.
func (e *engine) usedMemory() int {
	used := 0
	for _, j := range e.running {
		used += j.memory()
	}
	for _, cached := range e.copies {
		used += cached.tokens
	}
	return used
}

// reclaimMemory evicts cached prompts, the least recently used first, and then preempts the newest
// jobs.
func (e *engine) reclaimMemory() {
	used := e.usedMemory()
	cached := 0
	for _, p := range e.cachedPrompts {
		cached += p.tokens
	}
	for len(e.cachedPrompts) > 0 && used+cached > engineMemory {
		cached -= e.cachedPrompts[0].tokens
		e.cachedPrompts = slices.Delete(e.cachedPrompts, 0, 1)
	}
	for len(e.running) > 1 && used > engineMemory {
		i := len(e.running) - 1
		for k := i - 1; k >= 0; k-- {
			if e.running[k].priority > e.running[i].priority {
				i = k
			}
		}
		last := e.running[i]
		e.running = slices.Delete(e.running, i, i+1)
		used -= last.memory()
		last.toPrefill = last.memory()
		e.waiting = append([]*job{last}, e.waiting...)
		e.sortWaiting()
	}
}

func (e *engine) sortWaiting() {
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.priority, b.priority) })
}

// wake starts the engine's steps unless they are running.
func (e *engine) wake() {
	if e.stepping || !e.up {
		return
	}
	e.stepping = true
	e.step()
}

// step admits jobs, prefills a chunk of one prompt and generates one token for each prefilled job.
func (e *engine) step() {
	for id, cached := range e.copies {
		if e.clock.now.After(cached.expires) {
			delete(e.copies, id)
		}
	}
	for len(e.waiting) > 0 && len(e.running) < engineSlots && e.usedMemory()+e.waiting[0].memory() <= engineMemory {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
		e.reclaimMemory()
	}
	var prefilling *job
	var decoding []*job
	contextTokens := 0
	for _, j := range e.running {
		switch {
		case j.hangs:
		case j.toPrefill == 0:
			decoding = append(decoding, j)
			contextTokens += j.memory()
		case prefilling == nil:
			prefilling = j
		}
	}
	if prefilling == nil && len(decoding) == 0 {
		e.stepping = false
		return
	}
	duration := stepTime + stepTimePerSequence*time.Duration(len(decoding)) + stepTimePerThousandTokens*time.Duration(contextTokens)/1000
	chunk := 0
	if prefilling != nil {
		chunk = min(prefillChunk, prefilling.toPrefill)
		duration += time.Duration(chunk) * time.Millisecond / prefillTokensPerMS
	}
	incarnation := e.incarnation
	e.clock.after(time.Duration(float64(duration)*e.slowdown/e.speed), func() {
		if e.incarnation != incarnation || !e.up {
			return
		}
		e.finishStep(prefilling, chunk, decoding)
		e.reclaimMemory()
		e.step()
	})
}

func (e *engine) finishStep(prefilling *job, chunk int, decoding []*job) {
	if prefilling != nil && slices.Contains(e.running, prefilling) {
		prefilling.toPrefill -= chunk
		*prefilling.prefillTokens += chunk
		if prefilling.toPrefill == 0 {
			// The end of the prefill yields the first token.
			prefilling.pendingTokens = tokensPerEvent - 1
		}
	}
	for _, j := range decoding {
		if !slices.Contains(e.running, j) {
			continue
		}
		j.pendingTokens++
		if j.pendingTokens < tokensPerEvent {
			continue
		}
		j.pendingTokens = 0
		delay := networkDelay
		if !j.started {
			if e.crashesOn != nil && e.crashesOn(j) {
				e.crashed()
				return
			}
			j.started = true
			delay += firstEventOverhead
			e.startCopy(j)
		}
		number := j.nextEvent
		j.nextEvent++
		incarnation := e.incarnation
		e.clock.after(delay, func() {
			if e.incarnation == incarnation && !e.unresponsive {
				j.deliver(signalEvent, number)
			}
		})
		if j.nextEvent > j.events {
			e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
			e.cachePrompt(j)
			if j.copyTarget != nil {
				delete(j.copyTarget.copies, j.name)
			}
			e.recordLoad()
			e.clock.after(delay, func() {
				if e.incarnation == incarnation && !e.unresponsive {
					j.deliver(signalCompleted, 0)
				}
			})
		}
	}
}

// startCopy copies the KV cache of a run to another engine and updates the copy as it grows.
func (e *engine) startCopy(j *job) {
	target, incarnation := j.copyTarget, e.incarnation
	if target == nil {
		return
	}
	targetIncarnation := target.incarnation
	var send func()
	send = func() {
		if e.incarnation != incarnation || !e.up || !slices.Contains(e.running, j) {
			return
		}
		if target.incarnation == targetIncarnation && target.up {
			target.storeCopy(j.name, j.memory())
		}
		e.clock.after(copyInterval, send)
	}
	send()
}

// storeCopy creates or updates a cache copy and reports whether there was enough memory.
func (e *engine) storeCopy(name string, tokens int) bool {
	growth := tokens - e.copies[name].tokens
	if !e.up || e.usedMemory()+growth > engineMemory {
		return false
	}
	e.copies[name] = cacheCopy{tokens, e.clock.now.Add(copyTTL)}
	return true
}

// stop ends the engine's incarnation and discards its state. Its connections break at once unless
// it becomes unresponsive.
func (e *engine) stop(unresponsive bool) {
	lost := append(e.running, e.waiting...)
	e.up, e.unresponsive, e.stepping = false, unresponsive, false
	e.running, e.waiting, e.cachedPrompts, e.copies = nil, nil, nil, map[string]cacheCopy{}
	e.incarnation++
	e.setName()
	if unresponsive {
		return
	}
	for _, j := range lost {
		e.clock.after(networkDelay, func() { j.deliver(signalDisconnected, 0) })
	}
}

// start restarts a stopped engine.
func (e *engine) start() {
	e.up, e.unresponsive, e.leaving, e.saysLeaving = true, false, false, false
	e.recordLoad()
}
