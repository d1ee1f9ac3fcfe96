package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleygap/internal/core/membership"
	_ "bramleygap/internal/rapidseed"
)

var now = time.Unix(1_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newSnapshot(n int) *membership.Snapshot {
	s := &membership.Snapshot{At: now}
	for i := range n {
		s.Targets = append(s.Targets, membership.Target{
			Name: fmt.Sprintf("t%d", i), VM: fmt.Sprintf("vm%d", i), Zone: string(rune('a' + i%3)),
			Service: "s", Versions: []string{"v1"}, Ready: true, Slots: 4, LoadAt: now,
		})
	}
	return s
}

func newPool(s *membership.Snapshot) *Pool {
	p := NewPool("e1", "a")
	p.Update(s)
	return p
}

// Guards against placing work on a target that is leaving, suspected, excluded or without
// the version, in small pools and in sampled ones.
func TestChooseOnlyEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSnapshot(rapid.SampledFrom([]int{1, 5, 100}).Draw(t, "n"))
		for i := range s.Targets {
			s.Targets[i].Leaving = rapid.Bool().Draw(t, "leaving")
			s.Targets[i].Suspected = rapid.Bool().Draw(t, "suspected")
			if rapid.Bool().Draw(t, "v2") {
				s.Targets[i].Versions = []string{"v2"}
			}
		}
		exclude := []string{s.Targets[rapid.IntRange(0, len(s.Targets)-1).Draw(t, "x")].Name}
		eligible := 0
		for i := range s.Targets {
			if s.Targets[i].Usable() && s.Targets[i].HasVersion("v2") && s.Targets[i].Name != exclude[0] {
				eligible++
			}
		}
		got, verdict := newPool(s).Choose(Query{Service: "s", Version: "v2", Exclude: exclude, Now: now}, newRand())
		if (verdict == Chosen) != (eligible > 0) {
			t.Fatalf("verdict %v with %d eligible targets", verdict, eligible)
		}
		if verdict == Chosen && (!got.Usable() || !got.HasVersion("v2") || got.Name == exclude[0]) {
			t.Fatalf("chose %+v", got)
		}
	})
}

// Guards against counting this entry's attempts twice because the load report includes them,
// against load reports that never expire, and against ignoring cache and zone.
func TestScore(t *testing.T) {
	c := qt.New(t)
	s := newSnapshot(2)
	s.Targets[1].Zone = "a"
	s.Targets[0].Running = 2
	choose := func(p *Pool, q Query) string {
		q.Service, q.Class = "s", ClassInShare
		if q.Now.IsZero() {
			q.Now = now
		}
		got, _ := p.Choose(q, newRand())
		return got.Name
	}
	p := newPool(s)
	c.Check(choose(p, Query{}), qt.Equals, "t1")
	p.Reserve("t1", "", NotSuspected)
	c.Check(choose(p, Query{Now: now.Add(loadMaxAge)}), qt.Equals, "t0", qt.Commentf("old report"))

	p = newPool(newSnapshot(2))
	c.Check(choose(p, Query{}), qt.Equals, "t0", qt.Commentf("own zone"))
	p.Reserve("t0", "", NotSuspected)
	reported := newSnapshot(2)
	reported.Targets[0].Running, reported.Targets[0].LoadAt = 1, now.Add(time.Second)
	p.Update(reported)
	c.Check(p.targets["t0"].load(now.Add(time.Second)), qt.Equals, 0.25, qt.Commentf("own attempt counted once"))

	s = newSnapshot(2)
	s.Targets[1].CachedBlocks = map[uint64]struct{}{1: {}, 2: {}}
	c.Check(choose(newPool(s), Query{Blocks: []uint64{1, 2}}), qt.Equals, "t1", qt.Commentf("cached prefix"))
	c.Check(choose(newPool(s), Query{Blocks: []uint64{9, 1}}), qt.Equals, "t1", qt.Commentf("preceding block is not in the sample"))
	c.Check(choose(newPool(s), Query{Blocks: []uint64{1, 8, 9, 10}}), qt.Equals, "t0", qt.Commentf("a quarter of the prompt cached weighs less than the zone"))
	c.Check(choose(newPool(s), Query{Blocks: []uint64{9, 8}}), qt.Equals, "t0", qt.Commentf("nothing cached"))
}

// Guards against placing another suspect on the target of an isolated one: the next crash
// would count against both and reject a request that did not cause it.
func TestIsolatedSuspectsDoNotShareTargets(t *testing.T) {
	c := qt.New(t)
	p := newPool(newSnapshot(3))
	rng := newRand()
	seen := map[string]bool{}
	for range 3 {
		got, verdict := p.Choose(Query{Service: "s", Suspicion: Isolated, Now: now}, rng)
		c.Assert(verdict, qt.Equals, Chosen)
		c.Assert(seen[got.Name], qt.IsFalse)
		seen[got.Name] = true
		p.Reserve(got.Name, "", Isolated)
	}
	_, verdict := p.Choose(Query{Service: "s", Suspicion: Isolated, Now: now}, rng)
	c.Assert(verdict, qt.Equals, AllTargetsFull)
	p.Release("t1", "", Isolated)
	got, _ := p.Choose(Query{Service: "s", Suspicion: Isolated, Now: now}, rng)
	c.Assert(got.Name, qt.Equals, "t1")
	got, _ = p.Choose(Query{Service: "s", Suspicion: Suspected, Now: now}, rng)
	c.Assert(got.Name, qt.Equals, "t1")
	p.Reserve("t1", "", Suspected)
	_, verdict = p.Choose(Query{Service: "s", Suspicion: Isolated, Now: now}, rng)
	c.Assert(verdict, qt.Equals, AllTargetsFull)
}

// Guards against delayed resumes: after a crash a whole batch is suspected, and its requests
// must not wait until each has an engine without other suspects.
func TestSuspectsShareTargetsWhenNecessary(t *testing.T) {
	c := qt.New(t)
	p := newPool(newSnapshot(3))
	rng := newRand()
	seen := map[string]int{}
	for range 6 {
		got, verdict := p.Choose(Query{Service: "s", Suspicion: Suspected, Now: now}, rng)
		c.Assert(verdict, qt.Equals, Chosen)
		seen[got.Name]++
		p.Reserve(got.Name, "", Suspected)
	}
	c.Assert(seen, qt.DeepEquals, map[string]int{"t0": 2, "t1": 2, "t2": 2})
}

// Guards against over-share work taking the capacity that in-share work and resumes need.
func TestClassesUnderOverload(t *testing.T) {
	c := qt.New(t)
	p := newPool(newSnapshot(1))
	admitted := func(class Class) (n int) {
		for {
			if _, verdict := p.Choose(Query{Service: "s", Class: class, Now: now}, newRand()); verdict != Chosen {
				return n
			}
			p.Reserve("t0", "", NotSuspected)
			n++
		}
	}
	c.Check(admitted(ClassOverShare), qt.Equals, 4)
	c.Check(admitted(ClassInShare), qt.Equals, 4)
	c.Check(admitted(ClassResume), qt.Equals, 8)
}

// Guards against a member that fills the queues of all targets and so keeps another member
// out of every agent, where preemption would free slots for it.
func TestFullTargetAcceptsMemberWithinShare(t *testing.T) {
	c := qt.New(t)
	p := newPool(newSnapshot(1))
	for range 16 {
		p.Reserve("t0", "a", NotSuspected)
	}
	choose := func(member string, class Class) Verdict {
		_, verdict := p.Choose(Query{Service: "s", Member: member, Class: class, Now: now}, newRand())
		return verdict
	}
	for range 4 {
		c.Assert(choose("b", ClassInShare), qt.Equals, Chosen)
		c.Assert(choose("b", ClassOverShare), qt.Equals, AllTargetsFull)
		p.Reserve("t0", "b", NotSuspected)
	}
	c.Assert(choose("b", ClassInShare), qt.Equals, AllTargetsFull, qt.Commentf("a member's room is the number of slots"))
	c.Assert(choose("a", ClassInShare), qt.Equals, AllTargetsFull)
	p.Release("t0", "b", NotSuspected)
	c.Assert(choose("b", ClassInShare), qt.Equals, Chosen)
}

// Guards against resumes waiting behind new work, and against resuming newer generations
// before older ones.
func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	q := NewQueue()
	q.Push(&QueuedAttempt{ID: 1, Class: ClassOverShare})
	q.Push(&QueuedAttempt{ID: 2, Class: ClassInShare})
	q.Push(&QueuedAttempt{ID: 3, Class: ClassResume, Started: now})
	q.Push(&QueuedAttempt{ID: 4, Class: ClassResume, Started: now.Add(-time.Minute)})
	q.Push(&QueuedAttempt{ID: 5, Class: ClassInShare, NotBefore: now.Add(time.Second)})
	q.Push(&QueuedAttempt{ID: 6, Class: ClassOverShare})
	victim, _ := q.Newest(ClassOverShare)
	c.Check(victim, qt.Equals, uint64(6))
	c.Check(q.Remove(6), qt.IsTrue)
	var order []uint64
	collect := func(id uint64) (bool, bool) {
		order = append(order, id)
		return id != 2, true
	}
	q.Dispatch(now, collect)
	q.Dispatch(now.Add(time.Second), collect)
	c.Check(order, qt.DeepEquals, []uint64{4, 3, 2, 1, 2, 5})
	c.Check(q.Len(), qt.Equals, 1)
}

// Guards against sampling that overloads single targets of a large pool.
func TestLargePoolStaysBalanced(t *testing.T) {
	c := qt.New(t)
	p := newPool(newSnapshot(1100))
	rng := newRand()
	for range 1100 * 2 {
		got, verdict := p.Choose(Query{Service: "s", Class: ClassInShare, Now: now}, rng)
		c.Assert(verdict, qt.Equals, Chosen)
		p.Reserve(got.Name, "", NotSuspected)
	}
	most := 0
	for name := range p.targets {
		most = max(most, p.Inflight(name))
	}
	c.Check(most <= 4, qt.IsTrue, qt.Commentf("%d reservations, mean is 2", most))
}

func BenchmarkChooseFull(b *testing.B) {
	s := newSnapshot(1100)
	for i := range s.Targets {
		s.Targets[i].Running = 8
	}
	p := newPool(s)
	rng := newRand()
	for b.Loop() {
		p.Choose(Query{Service: "s", Version: "v1", Class: ClassInShare, Now: now}, rng)
	}
}
