package share

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against free slots while jobs wait, more jobs than slots, and jobs admitted
// twice or lost, under any sequence of operations.
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

// load simulates members with endless demand on one engine, at 20 tokens a second for
// each slot, and returns the work of each member after a warm-up.
type load struct {
	scheduler *Scheduler
	now       time.Time
	live      []string // ids in order of arrival
	remaining map[string]int
	member    map[string]string
	next      int
	work      map[string]float64
	preempted int
}

func (l *load) apply(effects Effects) {
	for _, id := range effects.Admit {
		l.remaining[id] = -l.remaining[id]
	}
	for _, id := range effects.Preempt {
		l.preempted++
		l.end(id)
	}
}

func (l *load) end(id string) {
	member := l.member[id]
	delete(l.remaining, id)
	delete(l.member, id)
	l.apply(l.scheduler.Depart(l.now, id))
	l.arrive(member)
}

// arrive adds a job; a negative length marks it as waiting.
func (l *load) arrive(member string) {
	l.next++
	id := fmt.Sprint(l.next)
	length := 40 + l.next*37%160
	if member == "long" {
		length = 1_000_000
	}
	l.remaining[id], l.member[id] = -length, member
	l.live = append(l.live, id)
	l.apply(l.scheduler.Arrive(l.now, Job{ID: id, Generation: id, Member: member}))
}

func (l *load) step(counted bool) {
	l.now = l.now.Add(50 * time.Millisecond)
	l.live = slices.DeleteFunc(l.live, func(id string) bool { return l.remaining[id] == 0 })
	for _, id := range slices.Clone(l.live) {
		if l.remaining[id] <= 0 {
			continue
		}
		l.scheduler.Charge(l.now, id, 1)
		l.remaining[id]--
		if counted {
			l.work[l.member[id]]++
		}
		if l.remaining[id] == 0 {
			l.end(id)
		}
	}
	l.apply(l.scheduler.Tick(l.now))
}

func newLoad(slots int, weights map[string]float64) *load {
	s := New(DefaultParams, slots)
	s.SetWeights(weights)
	return &load{scheduler: s, now: start, remaining: map[string]int{}, member: map[string]string{}, work: map[string]float64{}}
}

// Guards against a member that keeps more than its share plus 10% (and one slot, the
// unit of admission) for long while another member waits below its share, whether its
// generations end or run for ever.
func TestNoMemberStaysOverItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 12).Draw(t, "slots")
		first := rapid.SampledFrom([]string{"long", "short"}).Draw(t, "first")
		share := rapid.Float64Range(20, 80).Draw(t, "share")
		l := newLoad(slots, map[string]float64{first: share, "other": 100 - share})
		for range 2 * slots {
			l.arrive(first)
		}
		for range rapid.IntRange(1, 400).Draw(t, "alone") {
			l.step(false)
		}
		for range 2 * slots {
			l.arrive("other")
		}
		for range 400 {
			l.step(false)
		}
		for range 1200 {
			l.step(true)
		}
		total := l.work[first] + l.work["other"]
		slot := 1 / float64(slots)
		for member, due := range map[string]float64{first: share / 100, "other": 1 - share/100} {
			if got := l.work[member] / total; got > due*1.1+slot {
				t.Fatalf("%s has %.3f of the work, is due %.3f with %d slots", member, got, due, slots)
			}
		}
	})
}

// Guards against preemptions that go on after both members hold their shares, and
// against a preempted slot that returns to the member that lost it.
func TestPreemptionSettles(t *testing.T) {
	c := qt.New(t)
	l := newLoad(8, map[string]float64{"long": 50, "short": 50})
	for range 16 {
		l.arrive("long")
	}
	for range 300 {
		l.step(false)
	}
	for range 16 {
		l.arrive("short")
	}
	for range 10 {
		l.step(true)
	}
	c.Assert(l.preempted, qt.Equals, 4)
	c.Assert(l.scheduler.members["short"].running, qt.Equals, 4)
	for range 2000 {
		l.step(true)
	}
	// In 100 s the jobs of the second member end about 70 times, each time with a chance
	// that the fair queueing gives the slot to the other member for a while.
	c.Assert(l.preempted <= 8, qt.IsTrue, qt.Commentf("%d preemptions", l.preempted))
}

// Guards against a member that uses its whole share elsewhere and is served here as if
// it did not, and against a correction from stale figures.
func TestUseElsewhereLowersWeight(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultParams, 1)
	s.SetWeights(map[string]float64{"a": 50, "b": 50})
	s.Arrive(start, Job{ID: "1", Member: "a"})
	s.Arrive(start, Job{ID: "2", Member: "b"})
	s.SetRemoteUsage(start, map[string]float64{"a": 100})
	c.Assert(s.corrected(start), qt.DeepEquals, map[string]float64{"a": 50 * minCorrection, "b": 100})
	c.Assert(s.corrected(start.Add(DefaultParams.RemoteUsageMaxAge+1)), qt.DeepEquals, map[string]float64{"a": 50, "b": 50})
}

// Guards against a generation that is preempted again within 5 s.
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
