package router

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/share"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/wire"
)

// The driver runs the routing state of several entries and the share schedulers of
// several agents in virtual time, with messages passed by function call. An engine gives
// each admitted generation one token a step.
const (
	step        = 50 * time.Millisecond
	poolSlots   = 8
	prefillStep = 1000 // prefill tokens that an engine handles in one step
	// resumePause, excludePatience and firstPatience are the waits of core/stream.
	resumePause     = 200 * time.Millisecond
	excludePatience = 500 * time.Millisecond
	firstPatience   = 5 * time.Second
	callerPause     = time.Second // before a caller sends a refused request again
)

// preemptedBefore marks a refusal of a generation that was preempted.
const preemptedBefore = " after a preemption"

// policy is the admission at the agents.
type policy string

const (
	fair  policy = "fair"  // core/share
	fixed policy = "fixed" // equal number of slots for each member, not shared
	fcfs  policy = "fcfs"  // arrival order, members ignored
)

// demand is a member that keeps a number of generations outstanding.
type demand struct {
	member  string
	share   float64
	entries []int
	// outstanding is the number of generations at a time since the start.
	outstanding func(at time.Duration) int
	// length is the mean; lengths vary by half, so that generations do not end together.
	prompt, length int
	blocks         []uint64
	refusals       []time.Time
}

func steady(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

type generation struct {
	id, member string
	length     int
	demand     *demand
	entry      int
	request    placement.Request
	arrived    time.Time
	delivered  int
	// One of waiting for a place, waiting until again, or on an engine holds.
	answer     chan reply
	asked      time.Time
	again      time.Time
	attempt    uint64
	assignment *Assignment
	admitted   bool
	prefill    int
	lostAt     time.Time
	preempted  int
	lastVictim time.Time
}

type fakeAgent struct {
	name    string
	lost    bool
	noticed bool                        // the entries know of the loss
	byName  map[string]*share.Scheduler // by member, one under the key "" unless the policy is fixed
	jobs    map[string]*generation
	report  *wire.AgentState
	blocks  map[uint64]struct{}
	partial []int // entries that cannot reach the agent
}

func (a *fakeAgent) cut(entry int) bool { return a.noticed || slices.Contains(a.partial, entry) }

// tally is what the driver measured.
type tally struct {
	work        map[string]float64
	preemptions int
	repeats     int // preemptions of a generation within 5 s of its last one
	mostOf      int // preemptions of one generation
	extra       int // prefill tokens repeated because of preemption
	resumes     []time.Duration
	starts      map[string][]time.Duration // arrival to first token
	refused     map[string]int             // by code, never started
	retried     map[string]int             // refused placements of started generations
	finished    int
	attempts    int
	retries     int // attempts after a failure with nothing delivered
}

type driver struct {
	policy  policy
	now     time.Time
	start   time.Time
	demands []*demand
	config  *opconfig.Config
	entries []*state
	agents  []*fakeAgent
	live    []*generation
	next    uint64
	turn    int
	rng     *rand.Rand
	tally   tally
}

func newDriver(p policy, entries, agents int, demands ...*demand) *driver {
	at := time.Unix(1_000_000, 0)
	d := &driver{policy: p, now: at, start: at, demands: demands, config: &opconfig.Config{
		Services: []opconfig.Service{{Name: "s", Kind: opconfig.KindModel, Versions: []opconfig.Version{{Name: "v1", Share: 100}}}},
	}}
	weights := map[string]float64{}
	for _, m := range demands {
		weights[m.member] = m.share
		d.config.Members = append(d.config.Members, opconfig.Member{Name: m.member, Share: m.share})
	}
	for i := range agents {
		a := &fakeAgent{name: fmt.Sprintf("a%d", i), byName: map[string]*share.Scheduler{}, jobs: map[string]*generation{}, blocks: map[uint64]struct{}{}}
		names := []string{""}
		slots := poolSlots
		if p == fixed {
			names, slots = slices.Collect(maps.Keys(weights)), max(1, poolSlots/len(weights))
		}
		for _, name := range names {
			a.byName[name] = share.New(share.DefaultParams, slots)
			a.byName[name].SetWeights(weights)
		}
		d.agents = append(d.agents, a)
	}
	for i := range entries {
		d.entries = append(d.entries, nil)
		d.replaceEntry(i)
	}
	d.tally = newTally()
	d.rng = rand.New(rand.NewPCG(1, 1))
	return d
}

func newTally() tally {
	return tally{work: map[string]float64{}, starts: map[string][]time.Duration{}, refused: map[string]int{}, retried: map[string]int{}}
}

// replaceEntry starts an entry without usage and in-flight counts. The attempts of the
// earlier one go on, as attempts that a caller attaches to again.
func (d *driver) replaceEntry(i int) {
	m := New(Options{
		EntryName: fmt.Sprintf("e%d", i), Logger: zerolog.Nop(),
		Snapshot: func() *membership.Snapshot { return d.snapshot(i) },
		Config:   func() *adoption.Adopted { return &adoption.Adopted{Revision: 1, Config: d.config} },
	})
	d.entries[i] = newState(m, rand.New(rand.NewPCG(1, uint64(i))))
	for _, g := range d.live {
		if g.entry == i {
			g.request.Fingerprint = 0
			if g.answer != nil {
				d.ask(g)
			}
		}
	}
}

func (d *driver) snapshot(entry int) *membership.Snapshot {
	s := &membership.Snapshot{At: d.now}
	for _, a := range d.agents {
		if a.report == nil {
			continue
		}
		s.Targets = append(s.Targets, membership.Target{
			Name: a.name, VM: a.name, Service: "s", Versions: []string{"v1"}, Ready: true, Suspected: a.cut(entry),
			Slots: poolSlots, Running: int(a.report.GetRunning()), Waiting: int(a.report.GetWaiting()),
			LoadAt: time.UnixMilli(int64(a.report.GetSequence())), CachedBlocks: a.blocks,
		})
	}
	return s
}

func (d *driver) scheduler(a *fakeAgent, member string) *share.Scheduler {
	if d.policy == fixed {
		return a.byName[member]
	}
	return a.byName[""]
}

func (d *driver) agentOf(g *generation) *fakeAgent {
	for _, a := range d.agents {
		if a.name == g.assignment.Target.Name {
			return a
		}
	}
	return nil
}

func (d *driver) ask(g *generation) {
	d.next++
	g.attempt, g.asked, g.answer, g.again = d.next, d.now, make(chan reply, 1), time.Time{}
	d.entries[g.entry].place(d.now, g.attempt, g.request, g.answer)
}

func (d *driver) arrivals() {
	for _, m := range d.demands {
		have := 0
		for _, g := range d.live {
			if g.demand == m {
				have++
			}
		}
		m.refusals = slices.DeleteFunc(m.refusals, func(at time.Time) bool { return d.now.Sub(at) > callerPause })
		for have += len(m.refusals); have < m.outstanding(d.now.Sub(d.start)); have++ {
			d.next++
			d.turn++
			g := &generation{id: fmt.Sprint(d.next), member: m.member, demand: m, entry: m.entries[d.turn%len(m.entries)], arrived: d.now}
			g.length = m.length/2 + int(d.rng.Int64N(int64(m.length)))
			g.request = placement.Request{Service: "s", Member: m.member, Blocks: m.blocks, Started: d.now}
			d.live = append(d.live, g)
			d.ask(g)
		}
	}
}

// answers takes the routers' answers and starts attempts at the agents.
func (d *driver) answers() {
	for _, g := range slices.Clone(d.live) {
		if g.answer == nil {
			if g.assignment == nil && !g.again.After(d.now) {
				d.ask(g)
			}
			continue
		}
		patience := firstPatience
		if len(g.request.Exclude) > 0 {
			patience = excludePatience
		}
		if d.now.Sub(g.asked) >= patience {
			d.entries[g.entry].abandon(g.attempt)
		}
		select {
		case r := <-g.answer:
			g.answer = nil
			d.answer(g, r)
		default:
		}
	}
}

func (d *driver) answer(g *generation, r reply) {
	if r.err == nil {
		g.assignment, g.admitted = r.assignment, false
		d.tally.attempts++
		if g.request.Retry && !g.request.Resume && !g.request.Preempted {
			d.tally.retries++
		}
		a := d.agentOf(g)
		id := fmt.Sprint(g.attempt)
		a.jobs[id] = g
		member := g.member
		if d.policy == fcfs {
			member = "all"
		}
		d.apply(a, d.scheduler(a, g.member).Arrive(d.now, g.job(id, member)))
		return
	}
	switch {
	case len(g.request.Exclude) > 0:
		g.request.Exclude = nil
		d.ask(g)
	case g.delivered > 0:
		d.tally.retried[r.err.Code.String()]++
		g.again = d.now.Add(resumePause)
	default:
		name := r.err.Code.String()
		if g.preempted > 0 {
			name += preemptedBefore
		}
		d.refuse(g, name)
	}
}

func (g *generation) job(id, member string) share.Job {
	return share.Job{ID: id, Generation: g.id, Member: member, Resume: g.request.Resume, Started: g.request.Started}
}

func (d *driver) refuse(g *generation, reason string) {
	d.tally.refused[reason]++
	g.demand.refusals = append(g.demand.refusals, d.now)
	d.drop(g)
}

func (d *driver) drop(g *generation) {
	d.live = slices.DeleteFunc(d.live, func(other *generation) bool { return other == g })
}

// apply carries out the scheduler's decisions as the agent does.
func (d *driver) apply(a *fakeAgent, effects share.Effects) {
	for _, id := range effects.Admit {
		g := a.jobs[id]
		g.admitted = true
		tokens := g.demand.prompt + g.delivered
		g.prefill = (tokens + prefillStep - 1) / prefillStep
		d.charge(a, g, float64(tokens)/8)
		if g.preempted > 0 {
			d.tally.extra += tokens
		}
	}
	for _, id := range effects.Preempt {
		g := a.jobs[id]
		d.tally.preemptions++
		g.preempted++
		d.tally.mostOf = max(d.tally.mostOf, g.preempted)
		if d.now.Sub(g.lastVictim) < share.DefaultParams.PreemptInterval {
			d.tally.repeats++
		}
		g.lastVictim = d.now
		g.request.Preempted = true
		d.lose(g, placement.Outcome{Cancelled: true})
	}
	for _, id := range effects.Shed {
		g := a.jobs[id]
		d.leave(g, placement.Outcome{Cancelled: true})
		d.refuse(g, "shed by agent")
	}
}

func (d *driver) charge(a *fakeAgent, g *generation, work float64) {
	d.scheduler(a, g.member).Charge(d.now, fmt.Sprint(g.attempt), work)
	d.tally.work[g.member] += work
}

// leave ends the attempt at agent and entry.
func (d *driver) leave(g *generation, outcome placement.Outcome) {
	a, id := d.agentOf(g), fmt.Sprint(g.attempt)
	delete(a.jobs, id)
	assignment := g.assignment
	g.assignment, g.admitted = nil, false
	effects := d.scheduler(a, g.member).Depart(d.now, id)
	d.entries[g.entry].release(d.now, g.attempt, g.request, assignment.Decision, 0, outcome)
	d.apply(a, effects)
}

// lose ends the attempt and asks for another target, as core/stream does.
func (d *driver) lose(g *generation, outcome placement.Outcome) {
	target := g.assignment.Target.Name
	g.lostAt = d.now
	d.leave(g, outcome)
	g.request.Exclude = append(g.request.Exclude, target)
	g.request.Resume, g.request.Retry = g.delivered > 0, true
	d.ask(g)
}

func (d *driver) run(a *fakeAgent) {
	for _, id := range slices.Sorted(maps.Keys(a.jobs)) {
		g := a.jobs[id]
		if g == nil || !g.admitted {
			continue
		}
		if g.prefill > 0 {
			g.prefill--
			continue
		}
		g.delivered++
		if g.delivered == 1 {
			d.tally.starts[g.member] = append(d.tally.starts[g.member], d.now.Sub(g.arrived))
		}
		if !g.lostAt.IsZero() {
			if g.request.Resume {
				d.tally.resumes = append(d.tally.resumes, d.now.Sub(g.lostAt))
			}
			g.lostAt = time.Time{}
			g.request.Exclude, g.request.Preempted = nil, false
		}
		d.charge(a, g, 1)
		if g.delivered >= g.length {
			d.tally.finished++
			d.leave(g, placement.Outcome{Tokens: g.delivered})
			d.drop(g)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.byName)) {
		d.apply(a, a.byName[name].Tick(d.now))
	}
}

// heartbeat exchanges the states of one agent and all entries.
func (d *driver) heartbeat(a *fakeAgent) {
	use := map[string]float64{}
	running, waiting := 0, 0
	for _, s := range a.byName {
		running, waiting = running+s.Running(), waiting+s.Waiting()
		if d.policy == fair {
			maps.Copy(use, s.Usage(d.now))
		}
	}
	a.report = &wire.AgentState{Target: a.name, Vm: a.name, Running: uint32(running), Waiting: uint32(waiting), Sequence: uint64(d.now.UnixMilli())}
	for member, rate := range use {
		a.report.UseHere = append(a.report.UseHere, &wire.MemberUse{Member: member, TokensPerSecond: rate})
	}
	for i, e := range d.entries {
		if a.cut(i) {
			continue
		}
		e.observeAgent(d.now, a.report)
		if d.policy == fair {
			a.byName[""].SetRemoteUsage(d.now, d.elsewhere(i, a))
		}
	}
}

// elsewhere is what entry i reports to the agent about the others.
func (d *driver) elsewhere(i int, own *fakeAgent) map[string]float64 {
	sum := map[string]float64{}
	for _, a := range d.agents {
		if a == own || a.cut(i) {
			continue
		}
		for _, use := range a.report.GetUseHere() {
			sum[use.GetMember()] += use.GetTokensPerSecond()
		}
	}
	return sum
}

func (d *driver) step() {
	d.now = d.now.Add(step)
	tick := int(d.now.Sub(d.start) / step)
	for i, a := range d.agents {
		if !a.lost && (tick+3*i)%20 == 0 || a.report == nil {
			d.heartbeat(a)
		}
	}
	for _, e := range d.entries {
		e.tick(d.now)
	}
	d.arrivals()
	d.answers()
	d.failLost()
	for _, a := range d.agents {
		if !a.lost {
			d.run(a)
		}
	}
}

// failLost fails the attempts on lost agents, also those that an entry placed there since.
func (d *driver) failLost() {
	for _, g := range slices.Clone(d.live) {
		if g.assignment != nil && d.agentOf(g).lost {
			d.lose(g, placement.Outcome{Failed: true})
		}
	}
}

// held returns the slots of each member.
func (d *driver) held() map[string]int {
	held := map[string]int{}
	for _, g := range d.live {
		if g.admitted {
			held[g.member]++
		}
	}
	return held
}

// due returns the part of the slots that each member is due at this time: its weight
// among the members with demand, bounded by its demand, with the rest passed on.
func (d *driver) due() map[string]float64 {
	want := map[string]float64{}
	for _, m := range d.demands {
		// Callers of refused requests still want the work.
		want[m.member] = float64(m.outstanding(d.now.Sub(d.start)))
	}
	due, left := map[string]float64{}, float64(d.slots())
	open := slices.Clone(d.demands)
	for len(open) > 0 {
		total := 0.0
		for _, m := range open {
			total += m.share
		}
		small := slices.IndexFunc(open, func(m *demand) bool { return want[m.member] <= left*m.share/total })
		if small < 0 {
			for _, m := range open {
				due[m.member] = left * m.share / total
			}
			break
		}
		name := open[small].member
		due[name] = want[name]
		left -= want[name]
		open = slices.Delete(open, small, small+1)
	}
	return due
}

func (d *driver) slots() int {
	n := 0
	for _, a := range d.agents {
		if !a.lost {
			n += poolSlots
		}
	}
	return n
}
