package precedence

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.Unix(1_800_000_000, 0)

// urgent and patient are streams of the two routes of the users' ranked service.
func urgent(waited time.Duration) *Work { return newWork(Rank{1, 0}, waited, 4*time.Second) }

func patient(waited time.Duration) *Work { return newWork(Rank{1, 2}, waited, 10*time.Second) }

func newWork(rank Rank, waited, objective time.Duration) *Work {
	return &Work{
		Rank: rank, Arrived: now.Add(-waited), Objective: objective, Deadline: now.Add(25*time.Second - waited),
		PromptTokens: 5200, OutputTokens: 600, ToFirst: 1100 * time.Millisecond, Rest: 4 * time.Second,
	}
}

// Guards against each step of the ordering that is missing or in another place.
func TestOrderOfWork(t *testing.T) {
	change := func(w *Work, f func(*Work)) *Work { f(w); return w }
	for name, pair := range map[string][2]*Work{
		"account before route":     {newWork(Rank{0, 2}, 0, 10*time.Second), urgent(0)},
		"route within an account":  {urgent(0), patient(4 * time.Second)},
		"waited half of objective": {patient(5 * time.Second), newWork(Rank{0, 1}, 0, 4*time.Second)},
		"has run":                  {change(urgent(0), func(w *Work) { w.Ran = true }), urgent(time.Second)},
		"rank before has run":      {urgent(0), change(patient(0), func(w *Work) { w.Ran = true })},
		"can be in time":           {urgent(2500 * time.Millisecond), urgent(3500 * time.Millisecond)},
		"earliest latest start":    {change(urgent(0), func(w *Work) { w.ToFirst += time.Second }), urgent(500 * time.Millisecond)},
		"late, earliest deadline":  {urgent(8 * time.Second), urgent(6 * time.Second)},
		"smaller":                  {change(urgent(0), func(w *Work) { w.OutputTokens = 100 }), urgent(0)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(Before(now, pair[0], pair[1]), qt.IsTrue)
			c.Check(Before(now, pair[1], pair[0]), qt.IsFalse)
		})
	}
}

// Guards against an order that contradicts itself, by which sorting would depend on the arrangement of the works.
func TestOrderIsStrictWeak(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var works []*Work
	for range 60 {
		w := newWork(Rank{rng.IntN(2), rng.IntN(2)}, time.Duration(rng.IntN(6))*time.Second, time.Duration(rng.IntN(3))*4*time.Second)
		w.Ran, w.Events, w.OutputTokens = rng.IntN(3) == 0, uint64(rng.IntN(2)), 100*rng.IntN(2)
		works = append(works, w)
	}
	same := func(a, b *Work) bool { return !Before(now, a, b) && !Before(now, b, a) }
	for _, a := range works {
		for _, b := range works {
			if Before(now, a, b) && Before(now, b, a) {
				t.Fatalf("%+v and %+v go before each other", a, b)
			}
			for _, d := range works {
				if Before(now, a, b) && Before(now, b, d) && !Before(now, a, d) || same(a, b) && same(b, d) && !same(a, d) {
					t.Fatalf("order is not transitive: %+v, %+v, %+v", a, b, d)
				}
			}
		}
	}
}

// Guards against engines that are told priorities out of range, or by which a lower rank precedes a higher one.
func TestEnginePriorities(t *testing.T) {
	c := qt.New(t)
	for n := 1; n <= 30; n++ {
		var ranks []Rank
		for i := range n {
			ranks = append(ranks, Rank{i / 3, i % 3})
		}
		last, values := 0, map[int]bool{}
		for _, rank := range ranks {
			priority := EnginePriority(rank, ranks)
			c.Check(priority >= max(1, last) && priority <= 9, qt.IsTrue, qt.Commentf("%d of %d ranks", priority, n))
			last, values[priority] = priority, true
		}
		c.Check(values, qt.HasLen, min(n, 9))
	}
	two := []Rank{{0, 0}, {0, 2}}
	c.Check(EnginePriority(two[0], two), qt.Equals, 1)
	c.Check(EnginePriority(two[1], two), qt.Equals, 9)
	c.Check(EnginePriority(Rank{7, 7}, two), qt.Equals, 9)
	c.Check(EnginePriority(Rank{}, nil), qt.Equals, 5)
}
