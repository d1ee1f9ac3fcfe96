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

// The simulator runs the routing state of several entries and the share schedulers of
// several agents in virtual time and passes messages by function call. An engine
// generates one token per step for each admitted generation.
const (
	stepInterval   = 50 * time.Millisecond
	slotsPerAgent  = 8
	prefillPerStep = 1000 // prefill tokens that an engine processes in one step
	// resumeDelay is the pause before another placement of a started generation.
	// excludeWait and firstPlaceWait limit the wait for a target, as in core/stream.
	resumeDelay      = 200 * time.Millisecond
	excludeWait      = 500 * time.Millisecond
	firstPlaceWait   = 5 * time.Second
	callerRetryDelay = time.Second // pause before a caller repeats a refused request
)

// preemptedSuffix marks the refusal of a generation that was preempted earlier.
const preemptedSuffix = " after a preemption"

// admissionPolicy selects how the agents admit generations.
type admissionPolicy string

const (
	fairShare  admissionPolicy = "fair"  // the scheduler of core/share
	fixedSlots admissionPolicy = "fixed" // the same number of dedicated slots for each member
	fcfs       admissionPolicy = "fcfs"  // first come, first served, regardless of the member
)

// workload is the load of one member, which keeps a number of generations outstanding.
type workload struct {
	member  string
	share   float64
	entries []int
	// outstanding returns the number of generations at a time since the start.
	outstanding func(at time.Duration) int
	// prompt is in tokens. length is the mean number of output tokens; lengths vary by
	// half of it, so that generations do not end together.
	prompt, length int
	blocks         []uint64
	refusedAt      []time.Time
}

func constant(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

type generation struct {
	id, member string
	length     int
	workload   *workload
	entry      int
	request    placement.Request
	arrivedAt  time.Time
	delivered  int
	// A generation waits for a reply, waits until retryAt, or is assigned to a target.
	replyTo     chan reply
	requestedAt time.Time
	retryAt     time.Time
	attempt     uint64
	assignment  *Assignment
	admitted    bool
	prefill     int
	lostAt      time.Time
	preemptions int
	preemptedAt time.Time
}

type fakeAgent struct {
	name        string
	lost        bool
	detected    bool                        // the entries have detected the loss
	schedulers  map[string]*share.Scheduler // by member for fixedSlots, otherwise one under the key ""
	jobs        map[string]*generation
	lastReport  *wire.AgentState
	blocks      map[uint64]struct{}
	partitioned []int // entries that cannot reach the agent
}

func (a *fakeAgent) unreachable(i int) bool { return a.detected || slices.Contains(a.partitioned, i) }

type statistics struct {
	work                map[string]float64
	preemptions         int
	repeatedPreemptions int // preemptions within 5 s of the last one of the same generation
	maxPreemptions      int // maximum of one generation
	repeatedPrefill     int // prefill tokens processed again after preemptions
	resumeLatencies     []time.Duration
	startLatencies      map[string][]time.Duration // arrival to first token, by member
	refusals            map[string]int             // generations refused before their first token, by reason
	resumeRefusals      map[string]int             // refused placements of started generations, by code
	finished            int
	attempts            int
	retries             int // attempts after a failure with nothing delivered
}

type simulator struct {
	policy    admissionPolicy
	now       time.Time
	start     time.Time
	workloads []*workload
	config    *opconfig.Config
	entries   []*state
	agents    []*fakeAgent
	active    []*generation
	lastID    uint64
	arrivals  int
	rng       *rand.Rand
	stats     statistics
}

func newSimulator(policy admissionPolicy, entries, agents int, workloads ...*workload) *simulator {
	now := time.Unix(1_000_000, 0)
	sim := &simulator{policy: policy, now: now, start: now, workloads: workloads, config: &opconfig.Config{
		Services: []opconfig.Service{{Name: "s", Kind: opconfig.KindModel, Versions: []opconfig.Version{{Name: "v1", Share: 100}}}},
	}}
	weights := map[string]float64{}
	for _, w := range workloads {
		weights[w.member] = w.share
		sim.config.Members = append(sim.config.Members, opconfig.Member{Name: w.member, Share: w.share})
	}
	for i := range agents {
		agent := &fakeAgent{name: fmt.Sprintf("a%d", i), schedulers: map[string]*share.Scheduler{}, jobs: map[string]*generation{}, blocks: map[uint64]struct{}{}}
		names := []string{""}
		slots := slotsPerAgent
		if policy == fixedSlots {
			names, slots = slices.Collect(maps.Keys(weights)), max(1, slotsPerAgent/len(weights))
		}
		for _, name := range names {
			agent.schedulers[name] = share.New(share.DefaultParams, slots)
			agent.schedulers[name].SetWeights(weights)
		}
		sim.agents = append(sim.agents, agent)
	}
	for i := range entries {
		sim.entries = append(sim.entries, nil)
		sim.replaceEntry(i)
	}
	sim.stats = newStatistics()
	sim.rng = rand.New(rand.NewPCG(1, 1))
	return sim
}

func newStatistics() statistics {
	return statistics{work: map[string]float64{}, startLatencies: map[string][]time.Duration{}, refusals: map[string]int{}, resumeRefusals: map[string]int{}}
}

// replaceEntry replaces an entry by a new one without usage and in-flight counts. Running
// attempts continue, as if their callers had attached to them through the new entry.
func (sim *simulator) replaceEntry(i int) {
	m := New(Options{
		EntryName: fmt.Sprintf("e%d", i), Logger: zerolog.Nop(),
		Snapshot: func() *membership.Snapshot { return sim.snapshot(i) },
		Config:   func() *adoption.Adopted { return &adoption.Adopted{Revision: 1, Config: sim.config} },
	})
	sim.entries[i] = newState(m, rand.New(rand.NewPCG(1, uint64(i))))
	for _, g := range sim.active {
		if g.entry == i {
			g.request.Fingerprint = 0
			if g.replyTo != nil {
				sim.place(g)
			}
		}
	}
}

func (sim *simulator) snapshot(entry int) *membership.Snapshot {
	s := &membership.Snapshot{At: sim.now}
	for _, a := range sim.agents {
		if a.lastReport == nil {
			continue
		}
		s.Targets = append(s.Targets, membership.Target{
			Name: a.name, VM: a.name, Service: "s", Versions: []string{"v1"}, Ready: true, Suspected: a.unreachable(entry),
			Slots: slotsPerAgent, Running: int(a.lastReport.GetRunning()), Waiting: int(a.lastReport.GetWaiting()),
			LoadAt: time.UnixMilli(int64(a.lastReport.GetSequence())), CachedBlocks: a.blocks,
		})
	}
	return s
}

func (sim *simulator) scheduler(a *fakeAgent, member string) *share.Scheduler {
	if sim.policy == fixedSlots {
		return a.schedulers[member]
	}
	return a.schedulers[""]
}

func (sim *simulator) agentOf(g *generation) *fakeAgent {
	for _, a := range sim.agents {
		if a.name == g.assignment.Target.Name {
			return a
		}
	}
	return nil
}

func (sim *simulator) place(g *generation) {
	sim.lastID++
	g.attempt, g.requestedAt, g.replyTo, g.retryAt = sim.lastID, sim.now, make(chan reply, 1), time.Time{}
	sim.entries[g.entry].place(sim.now, g.attempt, g.request, g.replyTo)
}

func (sim *simulator) startArrivals() {
	for _, w := range sim.workloads {
		outstanding := 0
		for _, g := range sim.active {
			if g.workload == w {
				outstanding++
			}
		}
		w.refusedAt = slices.DeleteFunc(w.refusedAt, func(at time.Time) bool { return sim.now.Sub(at) > callerRetryDelay })
		for outstanding += len(w.refusedAt); outstanding < w.outstanding(sim.now.Sub(sim.start)); outstanding++ {
			sim.lastID++
			sim.arrivals++
			g := &generation{id: fmt.Sprint(sim.lastID), member: w.member, workload: w, entry: w.entries[sim.arrivals%len(w.entries)], arrivedAt: sim.now}
			g.length = w.length/2 + int(sim.rng.Int64N(int64(w.length)))
			g.request = placement.Request{Service: "s", Member: w.member, Blocks: w.blocks, Started: sim.now}
			sim.active = append(sim.active, g)
			sim.place(g)
		}
	}
}

// handleReplies starts assigned attempts at the agents and handles refusals.
func (sim *simulator) handleReplies() {
	for _, g := range slices.Clone(sim.active) {
		if g.replyTo == nil {
			if g.assignment == nil && !g.retryAt.After(sim.now) {
				sim.place(g)
			}
			continue
		}
		limit := firstPlaceWait
		if len(g.request.Exclude) > 0 {
			limit = excludeWait
		}
		if sim.now.Sub(g.requestedAt) >= limit {
			sim.entries[g.entry].abandon(g.attempt)
		}
		select {
		case r := <-g.replyTo:
			g.replyTo = nil
			sim.handleReply(g, r)
		default:
		}
	}
}

func (sim *simulator) handleReply(g *generation, r reply) {
	if r.err == nil {
		g.assignment, g.admitted = r.assignment, false
		sim.stats.attempts++
		if g.request.Retry && !g.request.Resume && !g.request.Preempted {
			sim.stats.retries++
		}
		a := sim.agentOf(g)
		id := fmt.Sprint(g.attempt)
		a.jobs[id] = g
		member := g.member
		if sim.policy == fcfs {
			member = "all"
		}
		sim.apply(a, sim.scheduler(a, g.member).Arrive(sim.now, g.job(id, member)))
		return
	}
	switch {
	case len(g.request.Exclude) > 0:
		g.request.Exclude = nil
		sim.place(g)
	case g.delivered > 0:
		sim.stats.resumeRefusals[r.err.Code.String()]++
		g.retryAt = sim.now.Add(resumeDelay)
	default:
		name := r.err.Code.String()
		if g.preemptions > 0 {
			name += preemptedSuffix
		}
		sim.refuse(g, name)
	}
}

func (g *generation) job(id, member string) share.Job {
	return share.Job{ID: id, Generation: g.id, Member: member, Resume: g.request.Resume, Started: g.request.Started, PreemptedAt: g.preemptedAt}
}

func (sim *simulator) refuse(g *generation, reason string) {
	sim.stats.refusals[reason]++
	g.workload.refusedAt = append(g.workload.refusedAt, sim.now)
	sim.remove(g)
}

func (sim *simulator) remove(g *generation) {
	sim.active = slices.DeleteFunc(sim.active, func(other *generation) bool { return other == g })
}

// apply applies the scheduler's decisions as the agent does.
func (sim *simulator) apply(a *fakeAgent, effects share.Effects) {
	for _, id := range effects.Admit {
		g := a.jobs[id]
		g.admitted = true
		tokens := g.workload.prompt + g.delivered
		g.prefill = (tokens + prefillPerStep - 1) / prefillPerStep
		sim.charge(a, g, float64(tokens)/8)
		if g.preemptions > 0 {
			sim.stats.repeatedPrefill += tokens
		}
	}
	for _, id := range effects.Preempt {
		g := a.jobs[id]
		sim.stats.preemptions++
		g.preemptions++
		sim.stats.maxPreemptions = max(sim.stats.maxPreemptions, g.preemptions)
		if sim.now.Sub(g.preemptedAt) < share.DefaultParams.PreemptInterval {
			sim.stats.repeatedPreemptions++
		}
		g.preemptedAt = sim.now
		g.request.Preempted = true
		sim.failOver(g, placement.Outcome{Cancelled: true})
	}
	for _, id := range effects.Shed {
		g := a.jobs[id]
		sim.endAttempt(g, placement.Outcome{Cancelled: true})
		sim.refuse(g, "shed by agent")
	}
}

func (sim *simulator) charge(a *fakeAgent, g *generation, work float64) {
	sim.scheduler(a, g.member).Charge(sim.now, fmt.Sprint(g.attempt), work)
	sim.stats.work[g.member] += work
}

// endAttempt ends the attempt at the agent and the entry.
func (sim *simulator) endAttempt(g *generation, outcome placement.Outcome) {
	agent, id := sim.agentOf(g), fmt.Sprint(g.attempt)
	delete(agent.jobs, id)
	assignment := g.assignment
	g.assignment, g.admitted = nil, false
	effects := sim.scheduler(agent, g.member).Depart(sim.now, id)
	sim.entries[g.entry].release(sim.now, g.attempt, g.request, assignment.Decision, 0, outcome)
	sim.apply(agent, effects)
}

// failOver ends the attempt and requests another target, as core/stream does.
func (sim *simulator) failOver(g *generation, outcome placement.Outcome) {
	target := g.assignment.Target.Name
	g.lostAt = sim.now
	sim.endAttempt(g, outcome)
	g.request.Exclude = append(g.request.Exclude, target)
	g.request.Resume, g.request.Retry = g.delivered > 0, true
	sim.place(g)
}

func (sim *simulator) runAgent(agent *fakeAgent) {
	for _, id := range slices.Sorted(maps.Keys(agent.jobs)) {
		g := agent.jobs[id]
		if g == nil || !g.admitted {
			continue
		}
		if g.prefill > 0 {
			g.prefill--
			continue
		}
		g.delivered++
		if g.delivered == 1 {
			sim.stats.startLatencies[g.member] = append(sim.stats.startLatencies[g.member], sim.now.Sub(g.arrivedAt))
		}
		if !g.lostAt.IsZero() {
			if g.request.Resume {
				sim.stats.resumeLatencies = append(sim.stats.resumeLatencies, sim.now.Sub(g.lostAt))
			}
			g.lostAt = time.Time{}
			g.request.Exclude, g.request.Preempted = nil, false
		}
		sim.charge(agent, g, 1)
		if g.delivered >= g.length {
			sim.stats.finished++
			sim.endAttempt(g, placement.Outcome{Tokens: g.delivered})
			sim.remove(g)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(agent.schedulers)) {
		sim.apply(agent, agent.schedulers[name].Tick(sim.now))
	}
}

// heartbeat exchanges state between one agent and the entries that can reach it.
func (sim *simulator) heartbeat(agent *fakeAgent) {
	usage := map[string]float64{}
	running, waiting := 0, 0
	for _, s := range agent.schedulers {
		running, waiting = running+s.Running(), waiting+s.Waiting()
		if sim.policy == fairShare {
			maps.Copy(usage, s.Usage(sim.now))
		}
	}
	agent.lastReport = &wire.AgentState{Target: agent.name, Vm: agent.name, Running: uint32(running), Waiting: uint32(waiting), Sequence: uint64(sim.now.UnixMilli())}
	for member, rate := range usage {
		agent.lastReport.UseHere = append(agent.lastReport.UseHere, &wire.MemberUse{Member: member, TokensPerSecond: rate})
	}
	for i, entry := range sim.entries {
		if agent.unreachable(i) {
			continue
		}
		entry.observeAgent(sim.now, agent.lastReport)
		if sim.policy == fairShare {
			agent.schedulers[""].SetRemoteUsage(sim.now, sim.usageElsewhere(i, agent))
		}
	}
}

// usageElsewhere returns the usage by member that entry i reports to an agent about the
// other agents.
func (sim *simulator) usageElsewhere(i int, except *fakeAgent) map[string]float64 {
	sum := map[string]float64{}
	for _, a := range sim.agents {
		if a == except || a.unreachable(i) {
			continue
		}
		for _, usage := range a.lastReport.GetUseHere() {
			sum[usage.GetMember()] += usage.GetTokensPerSecond()
		}
	}
	return sum
}

func (sim *simulator) step() {
	sim.now = sim.now.Add(stepInterval)
	tick := int(sim.now.Sub(sim.start) / stepInterval)
	for i, agent := range sim.agents {
		if !agent.lost && (tick+3*i)%20 == 0 || agent.lastReport == nil {
			sim.heartbeat(agent)
		}
	}
	for _, entry := range sim.entries {
		entry.tick(sim.now)
	}
	sim.startArrivals()
	sim.handleReplies()
	sim.failLostAgents()
	for _, agent := range sim.agents {
		if !agent.lost {
			sim.runAgent(agent)
		}
	}
}

// failLostAgents fails the attempts on lost agents, including those placed there before
// the loss was detected.
func (sim *simulator) failLostAgents() {
	for _, g := range slices.Clone(sim.active) {
		if g.assignment != nil && sim.agentOf(g).lost {
			sim.failOver(g, placement.Outcome{Failed: true})
		}
	}
}

func (sim *simulator) heldSlots() map[string]int {
	count := map[string]int{}
	for _, g := range sim.active {
		if g.admitted {
			count[g.member]++
		}
	}
	return count
}

// fairSlots returns each member's current fair number of slots: in proportion to its share,
// at most its outstanding generations, with the surplus divided among the other members.
func (sim *simulator) fairSlots() map[string]float64 {
	requested := map[string]float64{}
	for _, w := range sim.workloads {
		// Includes refused requests, since their callers repeat them.
		requested[w.member] = float64(w.outstanding(sim.now.Sub(sim.start)))
	}
	allotted, remaining := map[string]float64{}, float64(sim.slots())
	unsatisfied := slices.Clone(sim.workloads)
	for len(unsatisfied) > 0 {
		total := 0.0
		for _, w := range unsatisfied {
			total += w.share
		}
		satisfied := slices.IndexFunc(unsatisfied, func(w *workload) bool { return requested[w.member] <= remaining*w.share/total })
		if satisfied < 0 {
			for _, w := range unsatisfied {
				allotted[w.member] = remaining * w.share / total
			}
			break
		}
		name := unsatisfied[satisfied].member
		allotted[name] = requested[name]
		remaining -= requested[name]
		unsatisfied = slices.Delete(unsatisfied, satisfied, satisfied+1)
	}
	return allotted
}

func (sim *simulator) slots() int {
	n := 0
	for _, a := range sim.agents {
		if !a.lost {
			n += slotsPerAgent
		}
	}
	return n
}
