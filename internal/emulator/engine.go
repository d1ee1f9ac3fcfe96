package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleygap/internal/core/membership"
)

// The figures of an engine are those that the users state for theirs.
const (
	// stepTime is the time of a step that makes a token, stepPerRun what each generation
	// adds, stepPerThousand what a thousand tokens in memory add.
	stepTime        = 4630 * time.Microsecond
	stepPerRun      = 153 * time.Microsecond
	stepPerThousand = 2750 * time.Nanosecond
	// readChunk is the number of prompt tokens read in one step, readRate the tokens per ms.
	readChunk = 125
	readRate  = 5
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent = 6
	// engineSlots bounds the generations that run at once, engineMemory their tokens.
	engineSlots  = 64
	engineMemory = 55_000
	// firstEventTime is what a first event takes beyond its steps.
	firstEventTime = 19 * time.Millisecond
	// copyInterval is the pause between two parts of a copy that is made while a run goes on.
	copyInterval = 200 * time.Millisecond
	// copyOrderTime is the time to make a copy on order.
	copyOrderTime = 20 * time.Millisecond
	// copyLifetime is how long a copy stays behind its last part.
	copyLifetime = 4 * time.Second
	// reportLag is the age of an engine's report when it arrives.
	reportLag = 100 * time.Millisecond
)

// signal is what an engine sends for a run.
type signal int

const (
	// signalEvent is the next event of the stream.
	signalEvent signal = iota
	// signalEnded means that the stream is whole.
	signalEnded
	// signalRefused means that the engine did not run the request.
	signalRefused
	// signalBroken means that the connection ended in the middle.
	signalBroken
)

// job is a generation at an engine.
type job struct {
	name   string
	key    uint64
	prompt int
	events int
	// next is the number of the next event.
	next int
	// copyTo keeps a second copy, nil for none.
	copyTo *engine
	// from names the copy to go on from, empty for none.
	from string
	// cost counts the prompt tokens that were read for the client's request.
	cost *int
	// deliver takes a signal with the number of the event.
	deliver func(signal, int)

	toRead int
	tokens int
	hung   bool
	begun  bool
}

// memory returns the tokens that the job occupies.
func (j *job) memory() int { return j.prompt + (j.next-1)*tokensPerEvent }

// heldCopy is a copy of a run's memory.
type heldCopy struct {
	tokens int
	until  time.Time
}

// engine is one model engine.
type engine struct {
	clock  *clock
	rng    *rand.Rand
	index  int
	zone   string
	starts int
	// address stays, name changes with each start.
	address, name string
	// up and silent say what callers meet: an engine that is down refuses connections, or
	// answers nothing if it is silent.
	up, silent bool
	leaving    bool
	slowness   float64
	// hangs is the share of the requests that an engine accepts and never works on.
	hangs   float64
	waiting []*job
	running []*job
	copies  map[string]heldCopy
	kept    []keptPrompt
	active  bool
	reports []report
}

// keptPrompt is a prompt that stays in memory until its room is needed.
type keptPrompt struct {
	key    uint64
	tokens int
}

// report is what an engine says of its load at a time.
type report struct {
	at   time.Time
	jobs int
}

func newEngine(c *clock, rng *rand.Rand, index int, zone string) *engine {
	e := &engine{clock: c, rng: rng, index: index, zone: zone, up: true, slowness: 1, copies: map[string]heldCopy{}}
	e.address = fmt.Sprintf("10.0.0.%d:1", index)
	e.rename()
	return e
}

// id names the current start of the engine.
func (e *engine) id() string { return e.name }

func (e *engine) rename() { e.name = fmt.Sprintf("engine-%d.%d", e.index, e.starts) }

func (e *engine) registration() membership.Registration {
	return membership.Registration{
		ID: e.id(), Address: e.address, Zone: e.zone, Service: service, Version: "v1",
		Slots: engineSlots, Leaving: e.leaving, StartUnixMS: uint64(e.starts + 1), Model: true,
	}
}

// reported returns the load that the engine's newest report of at least reportLag ago told.
func (e *engine) reported() int {
	jobs := 0
	for _, r := range e.reports {
		if e.clock.now.Sub(r.at) >= reportLag {
			jobs = r.jobs
		}
	}
	return jobs
}

func (e *engine) note() {
	e.reports = append(e.reports, report{e.clock.now, len(e.waiting) + len(e.running)})
	if len(e.reports) > 64 {
		e.reports = slices.Clone(e.reports[32:])
	}
}

// submit takes in a job.
func (e *engine) submit(j *job) {
	if e.leaving && j.from != "" {
		j.deliver(signalRefused, 0)
		return
	}
	if j.from != "" {
		held, ok := e.copies[j.from]
		if !ok || e.clock.now.After(held.until) {
			j.deliver(signalRefused, 0)
			return
		}
		delete(e.copies, j.from)
		j.toRead = max(0, j.memory()-held.tokens)
	} else {
		j.toRead = j.memory()
		if i := slices.IndexFunc(e.kept, func(k keptPrompt) bool { return k.key == j.key }); i >= 0 {
			j.toRead = max(1, j.toRead-e.kept[i].tokens)
		}
	}
	j.hung = e.rng.Float64() < e.hangs
	if j.from != "" {
		e.waiting = append([]*job{j}, e.waiting...)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.note()
	e.wake()
}

// cancel ends a job whose connection was closed.
func (e *engine) cancel(j *job) {
	same := func(other *job) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	if slices.Contains(e.running, j) {
		e.running = slices.DeleteFunc(e.running, same)
		e.keep(j)
	}
	e.note()
}

func (e *engine) keep(j *job) {
	e.kept = slices.DeleteFunc(e.kept, func(k keptPrompt) bool { return k.key == j.key })
	if j.toRead < j.prompt {
		e.kept = append(e.kept, keptPrompt{j.key, j.prompt - j.toRead})
	}
	e.yield()
}

// used returns the tokens in memory that cannot yield.
func (e *engine) used() int {
	used := 0
	for _, j := range e.running {
		used += j.memory()
	}
	for _, held := range e.copies {
		used += held.tokens
	}
	return used
}

// yield drops kept prompts, the least recently used first, and then preempts the newest job.
func (e *engine) yield() {
	used := e.used()
	kept := 0
	for _, k := range e.kept {
		kept += k.tokens
	}
	for len(e.kept) > 0 && used+kept > engineMemory {
		kept -= e.kept[0].tokens
		e.kept = slices.Delete(e.kept, 0, 1)
	}
	for len(e.running) > 1 && used > engineMemory {
		last := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		used -= last.memory()
		last.toRead = last.memory()
		e.waiting = append([]*job{last}, e.waiting...)
	}
}

// wake starts the engine's steps.
func (e *engine) wake() {
	if e.active || !e.up {
		return
	}
	e.active = true
	e.step()
}

// step admits jobs, reads a part of a prompt and makes one token for each other job.
func (e *engine) step() {
	for id, held := range e.copies {
		if e.clock.now.After(held.until) {
			delete(e.copies, id)
		}
	}
	for len(e.waiting) > 0 && len(e.running) < engineSlots && e.used()+e.waiting[0].memory() <= engineMemory {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
		e.yield()
	}
	var reader *job
	var making []*job
	context := 0
	for _, j := range e.running {
		switch {
		case j.hung:
		case j.toRead == 0:
			making = append(making, j)
			context += j.memory()
		case reader == nil:
			reader = j
		}
	}
	if reader == nil && len(making) == 0 {
		e.active = false
		return
	}
	took := stepTime + stepPerRun*time.Duration(len(making)) + stepPerThousand*time.Duration(context)/1000
	chunk := 0
	if reader != nil {
		chunk = min(readChunk, reader.toRead)
		took += time.Duration(chunk) * time.Millisecond / readRate
	}
	start := e.starts
	e.clock.after(time.Duration(float64(took)*e.slowness), func() {
		if e.starts != start || !e.up {
			return
		}
		e.finishStep(reader, chunk, making)
		e.yield()
		e.step()
	})
}

func (e *engine) finishStep(reader *job, chunk int, making []*job) {
	if reader != nil && slices.Contains(e.running, reader) {
		reader.toRead -= chunk
		*reader.cost += chunk
		if reader.toRead == 0 {
			// The first token comes with the end of the reading.
			reader.tokens = tokensPerEvent - 1
		}
	}
	for _, j := range making {
		if !slices.Contains(e.running, j) {
			continue
		}
		j.tokens++
		if j.tokens < tokensPerEvent {
			continue
		}
		j.tokens = 0
		delay := networkDelay
		if !j.begun {
			j.begun = true
			delay += firstEventTime
			e.beginCopy(j)
		}
		number := j.next
		j.next++
		start := e.starts
		e.clock.after(delay, func() {
			if e.starts == start && !e.silent {
				j.deliver(signalEvent, number)
			}
		})
		if j.next > j.events {
			e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
			e.keep(j)
			if j.copyTo != nil {
				delete(j.copyTo.copies, j.name)
			}
			e.note()
			e.clock.after(delay, func() {
				if e.starts == start && !e.silent {
					j.deliver(signalEnded, 0)
				}
			})
		}
	}
}

// beginCopy sends the run's memory to another engine as it grows.
func (e *engine) beginCopy(j *job) {
	to, start := j.copyTo, e.starts
	if to == nil {
		return
	}
	toStart := to.starts
	var send func()
	send = func() {
		if e.starts != start || !e.up || !slices.Contains(e.running, j) {
			return
		}
		if to.starts == toStart && to.up {
			to.hold(j.name, j.memory())
		}
		e.clock.after(copyInterval, send)
	}
	send()
}

// hold takes in a copy and reports whether there was room.
func (e *engine) hold(name string, tokens int) bool {
	grown := tokens - e.copies[name].tokens
	if !e.up || e.used()+grown > engineMemory {
		return false
	}
	e.copies[name] = heldCopy{tokens, e.clock.now.Add(copyLifetime)}
	return true
}

// down ends the engine's start; all that it held is lost. Connections break at once unless
// it falls silent.
func (e *engine) down(silent bool) {
	lost := append(e.running, e.waiting...)
	e.up, e.silent, e.active = false, silent, false
	e.running, e.waiting, e.kept, e.copies = nil, nil, nil, map[string]heldCopy{}
	e.starts++
	e.rename()
	if silent {
		return
	}
	for _, j := range lost {
		e.clock.after(networkDelay, func() { j.deliver(signalBroken, 0) })
	}
}

// start begins another start of the engine.
func (e *engine) start() {
	e.up, e.silent, e.leaving = true, false, false
	e.note()
}
