package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/forward"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/retry"
)

// sheddingRun plays calls of several gateways to engines of which some reject everything, in
// virtual time. Each rejection arrives answerTime after the request.
type sheddingRun struct {
	gateways []*sheddingGateway
	pending  []pendingAnswer
	now      time.Time
	// statedPause is the Retry-After of a rejection, 0 for none.
	statedPause time.Duration
	rejections  int
	served      int
	refused     int
	// repeats counts the tokens taken from the retry budgets.
	repeats int
	// mostInPause is the largest number of arrivals at an engine from one gateway between
	// pauseGrace after a rejection and the end of the time that it stated.
	mostInPause int
}

type sheddingGateway struct {
	fleet  *placement.Fleet
	budget *retry.SharedBudget
	// pauses holds the stated pauses by engine.
	pauses map[string][]statedPause
}

type statedPause struct {
	from, until time.Time
	arrivals    int
}

type pendingAnswer struct {
	at      time.Time
	gateway *sheddingGateway
	machine *forward.Machine
	attempt int
	reg     membership.Registration
}

const (
	sheddingEngines = 24
	callInterval    = 40 * time.Millisecond
	answerTime      = 6 * time.Millisecond
	// pauseGrace is the time after a rejection within which the platform accepts requests that were
	// on their way.
	pauseGrace    = 500 * time.Millisecond
	sheddingTime  = 12 * time.Second
	sheddingEvery = 3
)

func playShedding(gateways int, pause time.Duration) *sheddingRun {
	r := &sheddingRun{now: time.Unix(1e9, 0), statedPause: pause}
	start := r.now
	var list []membership.Registration
	for i := range sheddingEngines {
		list = append(list, membership.Registration{ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Service: "s", Slots: 6, StartUnixMS: 1})
	}
	bounds := retry.Bounds{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	for i := range gateways {
		f := placement.NewFleet(fmt.Sprint("g", i), "a", rand.New(rand.NewPCG(uint64(i), 5)))
		f.Update(list, func(string) int { return 0 })
		r.gateways = append(r.gateways, &sheddingGateway{fleet: f, budget: retry.NewSharedBudget(start, bounds, gateways), pauses: map[string][]statedPause{}})
	}
	for ; r.now.Sub(start) < sheddingTime; r.now = r.now.Add(2 * time.Millisecond) {
		r.deliver()
		for i, g := range r.gateways {
			// The gateways' calls are spread over the interval.
			offset := time.Duration(i%20) * 2 * time.Millisecond
			if (r.now.Sub(start)+offset)%callInterval == 0 {
				r.call(g)
			}
		}
	}
	return r
}

// call starts a request that may run once.
func (r *sheddingRun) call(g *sheddingGateway) {
	g.budget.Refill(r.now)
	g.budget.OnRequest()
	m := forward.New(forward.Options{MaxAttempts: 2, Deadline: r.now.Add(time.Second)})
	r.apply(g, m, m.Start(r.now))
}

func (r *sheddingRun) apply(g *sheddingGateway, m *forward.Machine, effects []forward.Effect) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch e := effect.(type) {
		case forward.Finish:
			if e.Outcome == forward.NotRun {
				r.refused++
			}
		case forward.Send:
			g.budget.Refill(r.now)
			reg, ok := g.fleet.ChooseCall(r.now, placement.FleetQuery{Service: "s", Exclude: e.Exclude})
			if ok && e.Repeat {
				ok = g.budget.TakeRetry(0)
				if ok {
					r.repeats++
				}
			}
			if !ok {
				effects = append(effects, m.NoTarget(r.now, e.Attempt)...)
				continue
			}
			m.TargetChosen(reg.ID)
			g.fleet.BeginCall(reg.ID)
			for i, p := range g.pauses[reg.ID] {
				if r.now.After(p.from.Add(pauseGrace)) && r.now.Before(p.until) {
					g.pauses[reg.ID][i].arrivals++
					r.mostInPause = max(r.mostInPause, g.pauses[reg.ID][i].arrivals)
				}
			}
			r.pending = append(r.pending, pendingAnswer{r.now.Add(answerTime), g, m, e.Attempt, reg})
		}
	}
}

// deliver handles the answers that are due. Every sheddingEvery-th engine rejects everything.
func (r *sheddingRun) deliver() {
	var due []pendingAnswer
	for len(r.pending) > 0 && !r.now.Before(r.pending[0].at) {
		due = append(due, r.pending[0])
		r.pending = r.pending[1:]
	}
	for _, p := range due {
		var index int
		_, _ = fmt.Sscanf(p.reg.ID, "e%02d", &index)
		result := forward.Success
		if index%sheddingEvery == 0 {
			result = forward.Refused
			r.rejections++
			if r.statedPause > 0 {
				instance := placement.Instance{ID: p.reg.ID, StartUnixMS: p.reg.StartUnixMS}
				p.gateway.fleet.Observe(r.now, instance, placement.Response{Pause: r.statedPause}, placement.FromResponse)
				p.gateway.pauses[p.reg.ID] = append(p.gateway.pauses[p.reg.ID], statedPause{from: r.now, until: r.now.Add(r.statedPause)})
			}
		} else {
			r.served++
		}
		p.gateway.fleet.EndCall(r.now, p.reg.ID, answerTime, false)
		r.apply(p.gateway, p.machine, p.machine.AttemptEnded(r.now, p.attempt, result))
	}
}

// Load pattern: a third of the engines reject everything. Guards against more than two arrivals from
// a gateway inside a pause that an engine asked for, and against pauses that cost tokens of the retry
// budget or refuse requests that other engines could serve.
func TestArrivalsInsidePauses(t *testing.T) {
	for _, gateways := range []int{3, 23, 370} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			c := qt.New(t)
			without, with := playShedding(gateways, 0), playShedding(gateways, 3*time.Second)
			for _, r := range []*sheddingRun{without, with} {
				t.Logf("%d gateways, Retry-After %v: %d rejections, %d repeats, %d served, %d refused, at most %d arrivals inside a pause",
					gateways, r.statedPause, r.rejections, r.repeats, r.served, r.refused, r.mostInPause)
			}
			c.Check(with.mostInPause <= 2, qt.IsTrue, qt.Commentf("%d arrivals", with.mostInPause))
			c.Check(with.rejections < without.rejections, qt.IsTrue)
			c.Check(with.repeats <= with.rejections, qt.IsTrue)
			c.Check(with.repeats < without.repeats, qt.IsTrue)
			c.Check(with.refused <= without.refused, qt.IsTrue)
			c.Check(with.served >= without.served, qt.IsTrue)
		})
	}
}
