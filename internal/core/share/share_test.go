package share

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

var start = time.Unix(1000, 0)

// Guards against free slots while jobs wait, against more running jobs than slots, and
// against jobs that are admitted twice or lost, under any sequence of operations.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		params := DefaultParams
		params.MaxWaiting = 6
		s := New(params, slots)
		s.SetWeights(map[string]float64{"a": 70, "b": 25, "c": 5})
		now, next := start, 0
		waiting, running := map[string]bool{}, map[string]bool{}
		apply := func(effects Effects) {
			for _, id := range effects.Admit {
				if !waiting[id] {
					t.Fatalf("%s admitted without waiting", id)
				}
				delete(waiting, id)
				running[id] = true
			}
			for _, id := range effects.Shed {
				if !waiting[id] {
					t.Fatalf("%s shed without waiting", id)
				}
				delete(waiting, id)
			}
			for _, id := range effects.Preempt {
				if !running[id] {
					t.Fatalf("%s preempted without running", id)
				}
			}
		}
		pick := func(t *rapid.T, from map[string]bool) string {
			ids := []string{}
			for i := range next {
				if id := fmt.Sprint(i); from[id] {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return ""
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id := fmt.Sprint(next)
				next++
				waiting[id] = true
				member := rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(t, "member")
				apply(s.Arrive(now, Job{ID: id, Generation: id, Member: member, Resume: rapid.Bool().Draw(t, "resume")}))
			},
			"end": func(t *rapid.T) {
				from := running
				if rapid.Bool().Draw(t, "waiting") {
					from = waiting
				}
				id := pick(t, from)
				delete(from, id)
				apply(s.Depart(now, id))
			},
			"charge": func(t *rapid.T) { s.Charge(now, pick(t, running), rapid.Float64Range(0, 300).Draw(t, "work")) },
			"elsewhere": func(t *rapid.T) {
				s.SetRemoteUsage(now, map[string]float64{"a": rapid.Float64Range(0, 500).Draw(t, "use")})
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				apply(s.Tick(now))
			},
			"": func(t *rapid.T) {
				if len(running) > slots || (len(running) < slots && len(waiting) > 0) {
					t.Fatalf("%d of %d slots taken while %d jobs wait", len(running), slots, len(waiting))
				}
				if s.Running() != len(running) || s.Waiting() != len(waiting) {
					t.Fatalf("scheduler counts %d running and %d waiting, want %d and %d", s.Running(), s.Waiting(), len(running), len(waiting))
				}
			},
		})
	})
}

// simulation runs members with unlimited demand on one engine that generates 20 tokens per
// second and slot. It counts the work of each member after a warm-up.
type simulation struct {
	scheduler *Scheduler
	now       time.Time
	live      []string // ids in order of arrival
	// remaining is the number of tokens left by job id, negated while the job waits.
	remaining map[string]int
	member    map[string]string
	next      int
	work      map[string]float64
	preempted int
}

func (sim *simulation) apply(effects Effects) {
	for _, id := range effects.Admit {
		sim.remaining[id] = -sim.remaining[id]
	}
	for _, id := range effects.Preempt {
		sim.preempted++
		sim.end(id)
	}
}

func (sim *simulation) end(id string) {
	member := sim.member[id]
	delete(sim.remaining, id)
	delete(sim.member, id)
	sim.apply(sim.scheduler.Depart(sim.now, id))
	sim.arrive(member)
}

// arrive adds a job of the member.
func (sim *simulation) arrive(member string) {
	sim.next++
	id := fmt.Sprint(sim.next)
	length := 40 + sim.next*37%160
	if member == "long" {
		length = 1_000_000
	}
	sim.remaining[id], sim.member[id] = -length, member
	sim.live = append(sim.live, id)
	sim.apply(sim.scheduler.Arrive(sim.now, Job{ID: id, Generation: id, Member: member}))
}

func (sim *simulation) step(counted bool) {
	sim.now = sim.now.Add(50 * time.Millisecond)
	sim.live = slices.DeleteFunc(sim.live, func(id string) bool { return sim.remaining[id] == 0 })
	for _, id := range slices.Clone(sim.live) {
		if sim.remaining[id] <= 0 {
			continue
		}
		sim.scheduler.Charge(sim.now, id, 1)
		sim.remaining[id]--
		if counted {
			sim.work[sim.member[id]]++
		}
		if sim.remaining[id] == 0 {
			sim.end(id)
		}
	}
	sim.apply(sim.scheduler.Tick(sim.now))
}

func newSimulation(slots int, weights map[string]float64) *simulation {
	s := New(DefaultParams, slots)
	s.SetWeights(weights)
	return &simulation{scheduler: s, now: start, remaining: map[string]int{}, member: map[string]string{}, work: map[string]float64{}}
}

// Guards against a member that keeps more than its share plus 10% (and one slot, the unit of
// admission) for long while another member waits below its share, whether its generations end
// or run indefinitely.
func TestNoMemberStaysOverItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 12).Draw(t, "slots")
		first := rapid.SampledFrom([]string{"long", "short"}).Draw(t, "first")
		share := rapid.Float64Range(20, 80).Draw(t, "share")
		sim := newSimulation(slots, map[string]float64{first: share, "other": 100 - share})
		for range 2 * slots {
			sim.arrive(first)
		}
		for range rapid.IntRange(1, 400).Draw(t, "alone") {
			sim.step(false)
		}
		for range 2 * slots {
			sim.arrive("other")
		}
		for range 400 {
			sim.step(false)
		}
		for range 1200 {
			sim.step(true)
		}
		total := sim.work[first] + sim.work["other"]
		slot := 1 / float64(slots)
		for member, fairShare := range map[string]float64{first: share / 100, "other": 1 - share/100} {
			if got := sim.work[member] / total; got > fairShare*1.1+slot {
				t.Fatalf("%s has %.3f of the work, fair share is %.3f with %d slots", member, got, fairShare, slots)
			}
		}
	})
}

// Guards against preemptions that continue after both members have their shares, and against
// returning a preempted slot to the member that lost it.
func TestPreemptionSettles(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(8, map[string]float64{"long": 50, "short": 50})
	for range 16 {
		sim.arrive("long")
	}
	for range 300 {
		sim.step(false)
	}
	for range 16 {
		sim.arrive("short")
	}
	for range 10 {
		sim.step(true)
	}
	c.Assert(sim.preempted, qt.Equals, 4)
	c.Assert(sim.scheduler.members["short"].running, qt.Equals, 4)
	for range 2000 {
		sim.step(true)
	}
	// In 100 s about 70 jobs of the second member end, and each time fair queueing may give
	// the slot to the other member for a while.
	c.Assert(sim.preempted <= 8, qt.IsTrue, qt.Commentf("%d preemptions", sim.preempted))
}

// Guards against serving a member that uses its whole share on other agents as if it did
// not, and against a correction from stale usage.
func TestRemoteUsageLowersWeight(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultParams, 1)
	s.SetWeights(map[string]float64{"a": 50, "b": 50})
	s.Arrive(start, Job{ID: "1", Member: "a"})
	s.Arrive(start, Job{ID: "2", Member: "b"})
	s.SetRemoteUsage(start, map[string]float64{"a": 100})
	c.Assert(s.correctedWeights(start), qt.DeepEquals, map[string]float64{"a": 50 * minCorrectionFactor, "b": 100})
	c.Assert(s.correctedWeights(start.Add(DefaultParams.RemoteUsageMaxAge+1)), qt.DeepEquals, map[string]float64{"a": 50, "b": 50})
}

// Guards against preempting a generation again within 5 s.
func TestPreemptionInterval(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultParams, 2)
	s.SetWeights(map[string]float64{"a": 50, "b": 50})
	for _, id := range []string{"1", "2"} {
		s.Arrive(start, Job{ID: id, Generation: "g" + id, Member: "a"})
		s.Charge(start, id, 1)
	}
	s.Arrive(start, Job{ID: "3", Generation: "g3", Member: "b"})
	c.Assert(s.Tick(start.Add(99*time.Millisecond)).Preempt, qt.HasLen, 0)
	c.Assert(s.Tick(start.Add(100*time.Millisecond)).Preempt, qt.DeepEquals, []string{"2"})
	c.Assert(s.Tick(start.Add(200*time.Millisecond)).Preempt, qt.HasLen, 0)
	s.preempted["g1"] = start
	s.Depart(start.Add(200*time.Millisecond), "3")
	s.Depart(start.Add(200*time.Millisecond), "2")
	s.Arrive(start.Add(300*time.Millisecond), Job{ID: "4", Generation: "g2", Member: "a"})
	s.Arrive(start.Add(300*time.Millisecond), Job{ID: "5", Generation: "g5", Member: "b"})
	c.Assert(s.Tick(start.Add(4900*time.Millisecond)).Preempt, qt.HasLen, 0)
	c.Assert(s.Tick(start.Add(5200*time.Millisecond)).Preempt, qt.HasLen, 1)
}

// Guards against preempting a generation within 5 s of its preemption at another agent: each
// preemption costs the generation another prefill.
func TestPreemptionIntervalHoldsOverAgents(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultParams, 2)
	s.SetWeights(map[string]float64{"a": 50, "b": 50})
	preempted := map[string]time.Time{"1": start.Add(-time.Second), "2": start.Add(-2 * time.Second)}
	for _, id := range []string{"1", "2"} {
		s.Arrive(start, Job{ID: id, Generation: "g" + id, Member: "a", PreemptedAt: preempted[id]})
		s.Charge(start, id, 1)
	}
	s.Arrive(start, Job{ID: "3", Generation: "g3", Member: "b"})
	c.Check(s.Tick(start.Add(2900*time.Millisecond)).Preempt, qt.HasLen, 0)
	c.Check(s.Tick(start.Add(3*time.Second)).Preempt, qt.DeepEquals, []string{"2"})
	c.Check(s.Tick(start.Add(5*time.Second)).Preempt, qt.HasLen, 0, qt.Commentf("the member has its share"))
}
