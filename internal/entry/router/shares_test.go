package router

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/share"
)

const (
	// maxTimeOverShare is how long a member may exceed its share by 10% while a member
	// below its share waits: a generation is preempted at most once in 5 s, and the usage
	// at other agents arrives with a heartbeat every 1 s.
	maxTimeOverShare = 6 * time.Second
	// windowCount is the number of measurement windows of 10 s.
	windowCount = 6
)

type shareCase struct {
	name        string
	entries     int
	agents      int
	workloads   func() []*workload
	events      map[time.Duration]func(*simulator)
	returnAt    time.Duration // when member "b" resumes its load
	uncontended bool          // only one member has load
}

var bothEntries = []int{0, 1}

func floodingMember(entries []int) *workload {
	return &workload{member: "a", share: 60, entries: entries, outstanding: constant(200), prompt: 400, length: 400}
}

func smallMember() *workload {
	return &workload{member: "b", share: 40, entries: bothEntries, outstanding: constant(20), prompt: 400, length: 200}
}

var shareCases = []shareCase{
	{name: "flood by one entry", entries: 2, agents: 3, workloads: func() []*workload { return []*workload{floodingMember([]int{0}), smallMember()} }},
	{name: "flood by all entries", entries: 2, agents: 3, workloads: func() []*workload { return []*workload{floodingMember(bothEntries), smallMember()} }},
	{name: "idle member returns", entries: 2, agents: 3, returnAt: 20 * time.Second, workloads: func() []*workload {
		b := smallMember()
		b.outstanding = duringInterval(20*time.Second, time.Hour, 20)
		a := floodingMember(bothEntries)
		a.length = 2000
		return []*workload{a, b}
	}},
	{name: "partition", entries: 2, agents: 4, workloads: func() []*workload { return []*workload{floodingMember(bothEntries), smallMember()} },
		events: map[time.Duration]func(*simulator){
			20 * time.Second: func(sim *simulator) { sim.partition(0, 2, 3) },
			40 * time.Second: func(sim *simulator) { sim.agents[2].partitioned, sim.agents[3].partitioned = nil, nil },
		}},
	{name: "entry replaced", entries: 2, agents: 3, workloads: func() []*workload { return []*workload{floodingMember(bothEntries), smallMember()} },
		events: map[time.Duration]func(*simulator){20 * time.Second: func(sim *simulator) { sim.replaceEntry(0) }}},
	{name: "share below a slot", entries: 2, agents: 3, workloads: func() []*workload {
		a, b := floodingMember(bothEntries), smallMember()
		a.share, b.share = 90, 10
		return []*workload{a, b}
	}},
	{name: "twenty agents", entries: 3, agents: 20, workloads: func() []*workload {
		a, b := floodingMember([]int{0, 1, 2}), smallMember()
		a.outstanding, b.outstanding = constant(400), constant(130)
		return []*workload{a, b}
	}},
	{name: "many small members", entries: 2, agents: 3, workloads: func() []*workload {
		all := []*workload{floodingMember(bothEntries)}
		for i := range 8 {
			all = append(all, &workload{member: fmt.Sprintf("s%d", i), share: 5, entries: bothEntries, outstanding: constant(3), prompt: 200, length: 100})
		}
		return all
	}},
	{name: "prompts cached on one engine", entries: 2, agents: 3, workloads: func() []*workload {
		b := smallMember()
		b.prompt, b.blocks = 4000, []uint64{1, 2, 3, 4}
		return []*workload{floodingMember(bothEntries), b}
	}, events: map[time.Duration]func(*simulator){0: func(sim *simulator) {
		for _, block := range []uint64{1, 2, 3, 4} {
			sim.agents[0].blocks[block] = struct{}{}
		}
	}}},
	{name: "member alone", uncontended: true, entries: 2, agents: 3, workloads: func() []*workload {
		a := floodingMember(bothEntries)
		a.outstanding = constant(40)
		return []*workload{a, {member: "b", share: 40, entries: bothEntries, outstanding: constant(0)}}
	}},
}

func duringInterval(from, to time.Duration, n int) func(time.Duration) int {
	return func(at time.Duration) int {
		if at >= from && at < to {
			return n
		}
		return 0
	}
}

// partition makes agents unreachable from an entry, whose attempts there fail.
func (sim *simulator) partition(entry int, agents ...int) {
	for _, i := range agents {
		sim.agents[i].partitioned = append(sim.agents[i].partitioned, entry)
	}
	for _, g := range slices.Clone(sim.active) {
		if g.entry == entry && g.assignment != nil && sim.agentOf(g).unreachable(entry) {
			sim.failOver(g, placement.Outcome{Failed: true})
		}
	}
}

type caseResult struct {
	shares        []map[string]float64     // of the work, by window and member
	fairShares    []map[string]float64     // of the slots, by window and member
	timeOverShare time.Duration            // longest time over the share while another member waits
	returnTime    time.Duration            // from returnAt to 90% of the fair slots; -1 if not reached
	idleTime      time.Duration            // total time with a free slot and a waiting generation
	overShareFor  map[string]time.Duration // current time over the share, by waiting member
	workHistory   []map[string]float64     // cumulative work by member, for each step
	stats         statistics
}

func (c *shareCase) run(policy admissionPolicy) caseResult {
	sim := newSimulator(policy, c.entries, c.agents, c.workloads()...)
	result := caseResult{returnTime: -1, overShareFor: map[string]time.Duration{}}
	for at := time.Duration(0); at < windowCount*10*time.Second; at += stepInterval {
		if event := c.events[at]; event != nil {
			event(sim)
		}
		if at%(10*time.Second) == 0 {
			result.shares = append(result.shares, map[string]float64{})
			result.fairShares = append(result.fairShares, map[string]float64{})
		}
		sim.step()
		result.observe(sim, c.returnAt, at)
	}
	result.stats = sim.stats
	return result
}

// observe records one step. A member is over its share if both its slots and its work of
// the last 10 s exceed it by 10%, and below its share if both are less.
func (r *caseResult) observe(sim *simulator, returnAt, at time.Duration) {
	heldSlots, fairSlots := sim.heldSlots(), sim.fairSlots()
	window := len(r.shares) - 1
	r.workHistory = append(r.workHistory, maps.Clone(sim.stats.work))
	earlier := r.workHistory[max(0, len(r.workHistory)-1-int(10*time.Second/stepInterval))]
	recent, total, free := map[string]float64{}, 0.0, sim.slots()
	for _, w := range sim.workloads {
		recent[w.member] = sim.stats.work[w.member] - earlier[w.member]
		total += recent[w.member]
		free -= heldSlots[w.member]
		r.fairShares[window][w.member] += fairSlots[w.member] / float64(sim.slots()) / 200
	}
	over := false
	var below []string
	for _, w := range sim.workloads {
		slots, share := float64(heldSlots[w.member]), fairSlots[w.member]/float64(sim.slots())
		work := recent[w.member] / max(total, 1)
		r.shares[window][w.member] = work
		over = over || slots > fairSlots[w.member]*1.1 && work > share*1.1
		// Tolerates one slot per agent, since agents admit by whole slots.
		if work < share && (slots+float64(len(sim.agents)) < fairSlots[w.member] || slots == 0 && fairSlots[w.member] >= 1) {
			below = append(below, w.member)
		}
	}
	for _, w := range sim.workloads {
		r.overShareFor[w.member] += stepInterval
		if !over || !slices.Contains(below, w.member) {
			r.overShareFor[w.member] = 0
		}
		r.timeOverShare = max(r.timeOverShare, r.overShareFor[w.member])
	}
	if free > 0 && sim.slots()-free < len(sim.active) {
		r.idleTime += stepInterval
	}
	if returnAt > 0 && at >= returnAt && r.returnTime < 0 && float64(heldSlots["b"]) >= 0.9*fairSlots["b"] {
		r.returnTime = at + stepInterval - returnAt
	}
}

func (r *caseResult) summary(workloads []*workload) string {
	var text strings.Builder
	for _, w := range workloads {
		low, high, fair := 1.0, 0.0, 0.0
		for i := range r.shares {
			low, high = min(low, r.shares[i][w.member]), max(high, r.shares[i][w.member])
			fair += r.fairShares[i][w.member] / float64(len(r.fairShares))
		}
		fmt.Fprintf(&text, " %s %.2f-%.2f of %.2f;", w.member, low, high, fair)
		if len(workloads) > 3 && w.member == "s0" {
			break
		}
	}
	fmt.Fprintf(&text, " over share %v, return %v, idle slots %v; preempted %d (again within 5 s %d, max per generation %d) repeated prefill %d resume p99 %v; start of b p50 %v p99 %v; finished %d refused %v refused resumes %v",
		r.timeOverShare, r.returnTime, r.idleTime, r.stats.preemptions, r.stats.repeatedPreemptions, r.stats.maxPreemptions, r.stats.repeatedPrefill, quantile(r.stats.resumeLatencies, 0.99),
		quantile(r.stats.startLatencies[workloads[1].member], 0.5), quantile(r.stats.startLatencies[workloads[1].member], 0.99), r.stats.finished, r.stats.refusals, r.stats.resumeRefusals)
	return text.String()
}

// checkWindows fails the test if a member got more than its share plus 10% plus one slot
// of each agent in a window of 10 s. It skips windows that contain the start, the return
// of a member or another event, or begin less than maxTimeOverShare after one, since they
// may include work from before the change.
func (r *caseResult) checkWindows(t *testing.T, test *shareCase) {
	changes := []time.Duration{0, test.returnAt}
	for at := range test.events {
		changes = append(changes, at)
	}
	for i := range r.shares {
		begin := time.Duration(i) * 10 * time.Second
		if slices.ContainsFunc(changes, func(at time.Duration) bool { return begin+10*time.Second > at && begin < at+maxTimeOverShare }) {
			continue
		}
		for member, work := range r.shares[i] {
			if fair := r.fairShares[i][member]; work > fair*1.1+1.0/slotsPerAgent {
				t.Errorf("window %d: member %s got %.2f of the work, fair share %.2f", i, member, work, fair)
			}
		}
	}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

// Guards against a member that stays over its share while another one waits, with several
// entries and agents. The time with idle slots and, in verbose mode, the results of the
// other policies are logged for comparison.
func TestSharesOverPool(t *testing.T) {
	for _, test := range shareCases {
		t.Run(test.name, func(t *testing.T) {
			policies := []admissionPolicy{fairShare}
			if testing.Verbose() {
				policies = []admissionPolicy{fairShare, fixedSlots, fcfs}
			}
			for _, policy := range policies {
				result := test.run(policy)
				t.Logf("%-5s%s", policy, result.summary(test.workloads()))
				if policy != fairShare {
					continue
				}
				result.checkWindows(t, &test)
				if test.uncontended && len(result.stats.refusals) > 0 {
					t.Errorf("generations refused although no other member competes: %v", result.stats.refusals)
				}
				for reason, n := range result.stats.refusals {
					if strings.Contains(reason, preemptedSuffix) {
						t.Errorf("%d generations refused: %s", n, reason)
					}
				}
				if n := result.stats.repeatedPreemptions; n > 0 {
					t.Errorf("%d preemptions of a generation within %v of the one before", n, share.DefaultParams.PreemptInterval)
				}
				if result.timeOverShare > maxTimeOverShare {
					t.Errorf("a member was over its share for %v while another one waited, limit %v", result.timeOverShare, maxTimeOverShare)
				}
			}
		})
	}
}
