package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"bramleygap/internal/core/evidence"
)

var (
	reportSeeds = flag.Int("rollout.seeds", 1, "seeds per case of TestRolloutReport")
	reportCase  = flag.String("rollout.case", "", "only the cases of TestRolloutReport whose name contains this")
)

const (
	deadlineAfter = 30 * time.Minute
	zones         = "abc"
)

// routeEnds are the cumulative shares of four routes in the traffic.
var routeEnds = [4]float64{0.4, 0.7, 0.9, 1}

// rates returns the failure and slowness rates of a request on the new version.
type rates func(sinceFault time.Duration, route, level int, zone byte) (fail, slow float64)

func good(time.Duration, int, int, byte) (float64, float64) { return 0.005, 0.03 }

var times = DefaultTimes()

// scenario is one case of the report.
type scenario struct {
	name     string
	good     bool
	new      rates
	noise    func(elapsed time.Duration, zone byte) float64 // failure rate of both versions
	crashing bool                                           // failures while a suspect request runs, on both versions
	rate     float64                                        // requests per second
	faults   func(*run)
	// after is how long the run continues after the deadline, with the new version only;
	// the fault then starts after the deadline.
	after time.Duration
	// minCorrect is the minimum share of runs that end correctly: a good version is
	// completed in time, a bad one withdrawn.
	minCorrect float64
}

type member struct {
	owner     Owner
	counters  *evidence.Counters
	evaluator *evidence.Evaluator
	row       Row
	revision  uint64
	readAt    time.Time
	withdrawn bool
	crashed   bool
	// pausedOutput is the decision that a paused owner writes when it resumes.
	pausedOutput   *Output
	pausedRevision uint64
}

// run simulates three entries that share one row, in virtual time.
type run struct {
	scenario  *scenario
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	row       Row
	revision  uint64
	storeUp   bool
	members   []*member
	violation string // the last violated invariant
	// faultAt is when the fault of the scenario starts, unless it exists from the start.
	faultAt time.Duration

	served, servedBad         int // requests on the new version
	firstEvidence, lastServed time.Time
}

func newRun(s *scenario, seed uint64) *run {
	start := time.UnixMilli(1_000_000_000)
	r := &run{scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), start: start, now: start, storeUp: true, revision: 1}
	r.row = Row{
		Service: "s", Version: "v2", Previous: "v1", State: Running, Started: start.UnixMilli(),
		StepSince: start.UnixMilli(), Deadline: start.Add(deadlineAfter).UnixMilli(), KeepPrevious: (2 * time.Hour).Milliseconds(),
	}
	r.faultAt = time.Duration(300+r.rng.IntN(900)) * time.Second
	if s.after > 0 {
		r.faultAt += deadlineAfter
	}
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		r.members = append(r.members, &member{
			owner: Owner{name, 1}, counters: evidence.NewCounters(name, 1),
			evaluator: evidence.NewEvaluator("s", "v2", "v1"),
		})
	}
	return r
}

func (r *run) elapsed() time.Duration { return r.now.Sub(r.start) }

// commit is the table's compare-and-set. It also checks the invariants of every write.
func (r *run) commit(m *member, put *Row, revision uint64) {
	if !r.storeUp || revision != r.revision {
		return
	}
	advances := put.State == Running && put.Step != r.row.Step || put.State == Done && r.row.State == Running
	switch {
	case put.Fence < r.row.Fence:
		r.violation = "the fencing token decreased"
	case advances && (r.row.Owner != m.owner.Name || put.Fence != r.row.Fence):
		r.violation = "advanced without the lease"
	case advances && !times.HoldsLease(&r.row, m.owner, r.now):
		r.violation = "advanced with an expired lease"
	case advances && m.pausedOutput != nil:
		r.violation = "a paused owner advanced"
	}
	r.row = *put
	r.revision++
}

func (r *run) tick() {
	r.now = r.now.Add(time.Second)
	if r.scenario.faults != nil {
		r.scenario.faults(r)
	}
	r.serve()
	r.exchange()
	for _, m := range r.members {
		if m.crashed || m.pausedOutput != nil {
			continue
		}
		if r.storeUp {
			if m.row.Step != r.row.Step {
				m.evaluator.StartStep()
			}
			if r.row.State == Done {
				m.evaluator.Complete()
			}
			m.row, m.revision, m.readAt = r.row, r.revision, r.now
		}
		if m.readAt.IsZero() {
			continue
		}
		out := r.decide(m)
		if out.Withdraw != "" {
			m.withdrawn = true
		}
		if out.Put != nil {
			if out.Acquire {
				out.Put.Fence = NextFence(r.row.Fence, out.Put)
			}
			r.commit(m, out.Put, m.revision)
		}
	}
}

func (r *run) decide(m *member) Output {
	return Decide(&Input{
		Times: times,
		Now:   r.now, Row: m.row, ReadAt: m.readAt, Self: m.owner, Withdrawn: m.withdrawn, Loaded: true, Current: true,
		Verdict: m.evaluator.Evaluate(r.now, m.counters),
	})
}

// exchange sends each member's state to its neighbour in a ring, once per second.
func (r *run) exchange() {
	for i, from := range r.members {
		to := r.members[(i+1)%len(r.members)]
		if from.crashed || from.pausedOutput != nil || to.crashed || to.pausedOutput != nil {
			to = r.members[(i+2)%len(r.members)]
		}
		if from.crashed || from.pausedOutput != nil || to.crashed || to.pausedOutput != nil {
			continue
		}
		to.counters.Merge(from.counters.Export(func(string) bool { return true }), func(string) bool { return true })
		to.withdrawn = to.withdrawn || from.withdrawn
	}
}

func (r *run) serve() {
	n := int(r.scenario.rate)
	if r.rng.Float64() < r.scenario.rate-float64(n) {
		n++
	}
	level := []int{0, 1, 1, 2}[int(r.elapsed()/time.Minute)%4]
	for range n {
		m := r.members[r.rng.IntN(len(r.members))]
		for m.crashed || m.pausedOutput != nil {
			m = r.members[r.rng.IntN(len(r.members))]
		}
		if !m.readAt.IsZero() {
			r.request(m, level)
		}
	}
}

func (r *run) request(m *member, level int) {
	version := Split([]Row{m.row}, func(v string) bool { return v == "v2" && m.withdrawn }, r.rng.Uint64())
	route := sort.SearchFloat64s(routeEnds[:], r.rng.Float64())
	zone := zones[r.rng.IntN(len(zones))]
	fail, slow := good(0, 0, 0, 0)
	if version == "v2" {
		fail, slow = r.scenario.new(r.elapsed()-r.faultAt, route, level, zone)
	}
	if r.scenario.noise != nil {
		fail = max(fail, r.scenario.noise(r.elapsed(), zone))
	}
	failed, slowed, suspect := r.rng.Float64() < fail, r.rng.Float64() < slow, false
	if r.scenario.crashing && r.rng.Float64() < 0.05 {
		// The first crash that a request causes is not attributed to it yet.
		failed, suspect = true, r.rng.Float64() < 0.9
	}
	key := evidence.Key{Service: "s", Version: version, Route: fmt.Sprint(route), Zone: string(zone), Level: level}
	m.counters.Add(key, failed, slowed, suspect)
	if version != "v2" {
		return
	}
	r.served++
	if fail > 0.01 || slow > 0.05 {
		r.servedBad++
		if r.firstEvidence.IsZero() && (failed || slowed) {
			r.firstEvidence = r.now
		}
	}
	r.lastServed = r.now
}

type summary struct {
	correct, done, withdrawn, undecided int
	// served and servedBad count requests on the new version, the latter those with raised
	// failure or slowness rates; exposure is the time in s from the first failed or slow
	// one of these to the last request.
	served, servedBad, exposure []float64
	violation                   string
}

func simulate(s *scenario, seeds int) summary {
	var sum summary
	for seed := range seeds {
		r := newRun(s, uint64(seed+1))
		end := deadlineAfter + time.Minute + s.after
		for r.elapsed() < end && (s.name == "bad later" || s.after > 0 && r.row.State != Withdrawn || !r.settled()) {
			r.tick()
		}
		sum.add(r, s.good)
	}
	return sum
}

// settled reports whether every running entry knows how the rollout ended.
func (r *run) settled() bool {
	for _, m := range r.members {
		if !m.crashed && !m.withdrawn && (m.row.State != Done || r.row.State == Withdrawn) {
			return false
		}
	}
	return r.row.State != Running
}

func (s *summary) add(r *run, isGood bool) {
	if r.violation != "" {
		s.violation = r.violation
	}
	withdrawn, agree := r.row.State == Withdrawn, true
	for _, m := range r.members {
		if !m.crashed {
			agree = agree && m.withdrawn == r.members[2].withdrawn
			withdrawn = withdrawn || m.withdrawn
		}
	}
	switch {
	case !agree:
		s.undecided++
	case withdrawn:
		s.withdrawn++
	case r.row.State == Done:
		s.done++
	default:
		s.undecided++
	}
	s.correct = s.withdrawn
	if isGood {
		s.correct = s.done
	}
	s.served = append(s.served, float64(r.served))
	s.servedBad = append(s.servedBad, float64(r.servedBad))
	if !r.firstEvidence.IsZero() {
		s.exposure = append(s.exposure, r.lastServed.Sub(r.firstEvidence).Seconds())
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sort.Float64s(values)
	return values[int(q*float64(len(values)-1))]
}

// fixedSteps returns the number of requests that a version gets by the deadline in a rollout
// with steps of equal length that ignores the evidence.
func fixedSteps(rate float64) float64 {
	sum := 0.0
	for _, share := range steps {
		sum += share / 100
	}
	return rate * sum * deadlineAfter.Seconds() / float64(len(steps))
}

func constant(fail, slow float64) rates {
	return func(time.Duration, int, int, byte) (float64, float64) { return fail, slow }
}

func failsIf(affected func(since time.Duration, route, level int) bool) rates {
	return func(since time.Duration, route, level int, zone byte) (float64, float64) {
		if affected(since, route, level) {
			return 0.3, 0.03
		}
		return good(since, route, level, zone)
	}
}

// owner returns the member that holds the lease, or nil.
func (r *run) owner() *member {
	for _, m := range r.members {
		if m.owner.Name == r.row.Owner {
			return m
		}
	}
	return nil
}

func killOwner(r *run) {
	if m := r.owner(); m != nil && r.elapsed() == r.faultAt {
		m.crashed = true
	}
}

// pauseOwner pauses the owner between its decision and its write until its lease has expired.
func pauseOwner(r *run) {
	for _, m := range r.members {
		if m.pausedOutput != nil && r.elapsed()%(2*time.Minute) == 40*time.Second {
			r.commit(m, m.pausedOutput.Put, m.pausedRevision)
			m.pausedOutput = nil
		}
	}
	m := r.owner()
	if m == nil || r.elapsed()%(2*time.Minute) != 0 || r.row.State != Running {
		return
	}
	in := Input{Times: times, Now: r.now, Row: r.row, ReadAt: r.now, Self: m.owner}
	m.pausedOutput, m.pausedRevision = &Output{Put: in.nextStep()}, r.revision
}

// raceOperators lets a second operator try every 10 s to create the row again and to
// overwrite it from an outdated revision. The table must reject both writes.
func raceOperators(r *run) {
	if r.elapsed()%(10*time.Second) == 0 && r.row.State == Running {
		second := r.row
		second.Operator, second.Step = "second", 0
		r.commit(r.members[0], &second, 0)
		r.commit(r.members[0], &second, r.revision-1)
	}
}

func storeDown(from, until time.Duration) func(*run) {
	return func(r *run) { r.storeUp = r.elapsed() < from || r.elapsed() >= until }
}

func scenarios() []*scenario {
	burst := func(elapsed time.Duration, zone byte) float64 {
		if zone == 'a' && (elapsed/time.Minute)%3 == 1 {
			return 0.2
		}
		return 0
	}
	// stalls are a second in every 20 in which half of the requests of both versions fail.
	stalls := func(elapsed time.Duration, _ byte) float64 {
		if elapsed%(20*time.Second) == 0 {
			return 0.5
		}
		return 0
	}
	// drift is a fault that the new version does not cause: 3% failures on both versions
	// from 20 minutes after the deadline.
	drift := func(elapsed time.Duration, _ byte) float64 {
		if elapsed > deadlineAfter+20*time.Minute {
			return 0.03
		}
		return 0
	}
	tenPercent := func(since time.Duration, _, _ int, _ byte) (float64, float64) {
		if since > 0 {
			return 0.1, 0.03
		}
		return 0.005, 0.03
	}
	slowLater := func(since time.Duration, _, _ int, _ byte) (float64, float64) {
		if since > 0 {
			return 0.005, 0.2
		}
		return 0.005, 0.03
	}
	return []*scenario{
		{name: "good", good: true, new: good, rate: 20, minCorrect: 0.9},
		{name: "bad at once", new: constant(0.3, 0.03), rate: 20, minCorrect: 1},
		{name: "bad later", new: failsIf(func(d time.Duration, _, _ int) bool { return d > 0 }), rate: 20, minCorrect: 0.9},
		{name: "bad only under load", new: failsIf(func(_ time.Duration, _, l int) bool { return l == 2 }), rate: 20, minCorrect: 0.9},
		{name: "bad on one route (10%)", new: failsIf(func(_ time.Duration, r, _ int) bool { return r == 3 }), rate: 20, minCorrect: 0.9},
		{name: "slow, not failing", new: constant(0.005, 0.4), rate: 20, minCorrect: 1},
		{name: "good, noisy zone", good: true, new: good, noise: burst, rate: 20, minCorrect: 0.7},
		{name: "good, short stalls", good: true, new: good, noise: stalls, rate: 20, minCorrect: 0.9},
		{name: "good, crashing request", good: true, new: good, crashing: true, rate: 20, minCorrect: 0.8},
		{name: "good, too little traffic", good: true, new: good, rate: 0.05},
		{name: "bad, too little traffic", new: constant(0.3, 0.03), rate: 0.05, minCorrect: 1},
		{name: "good, owner killed", good: true, new: good, faults: killOwner, rate: 20, minCorrect: 0.9},
		{name: "good, owner paused", good: true, new: good, faults: pauseOwner, rate: 20, minCorrect: 0.9},
		{name: "good, racing operators", good: true, new: good, faults: raceOperators, rate: 20, minCorrect: 0.9},
		{name: "good, store down 8 min", good: true, new: good, faults: storeDown(2*time.Minute, 10*time.Minute), rate: 20, minCorrect: 0.9},
		{name: "bad later, store down", new: failsIf(func(d time.Duration, _, _ int) bool { return d > -4*time.Minute }), faults: storeDown(time.Minute, time.Hour), rate: 20, minCorrect: 1},
		{name: "good, 1 h after completion", good: true, new: good, rate: 20, after: time.Hour, minCorrect: 0.9},
		{name: "worse both, 1 h after", good: true, new: good, noise: drift, rate: 20, after: time.Hour, minCorrect: 0.95},
		{name: "bad after completion", new: failsIf(func(d time.Duration, _, _ int) bool { return d > 0 }), rate: 20, after: time.Hour, minCorrect: 0.9},
		{name: "10% failures after completion", new: tenPercent, rate: 20, after: time.Hour},
		{name: "slow after completion", new: slowLater, rate: 20, after: time.Hour},
		{name: "one route after completion", new: failsIf(func(d time.Duration, r, _ int) bool { return d > 0 && r == 3 }), rate: 20, after: time.Hour, minCorrect: 0.9},
		{name: "good, store down at deadline", good: true, new: good, faults: storeDown(time.Minute, time.Hour), rate: 20},
	}
}

// Guards against advancing without the lease, against entries that disagree at the end, and
// against keeping bad versions or withdrawing good ones in more runs than a case allows.
func TestRolloutReport(t *testing.T) {
	seeds := *reportSeeds
	t.Logf("%d seeds; deadline %v; three entries; old version: 0.5%% failures, 3%% slow", seeds, deadlineAfter)
	t.Logf("%-30s %5s %9s %9s | %s", "case", "done", "withdrawn", "undecided",
		"requests on new version p50 (fixed steps), of these with raised rates p50/max, s from first evidence to last request p50/max")
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *reportCase) {
			continue
		}
		sum := simulate(s, seeds)
		t.Logf("%-30s %5d %9d %9d | %6.0f (%5.0f) %6.0f /%6.0f %6.0f /%6.0f", s.name, sum.done, sum.withdrawn, sum.undecided,
			quantile(sum.served, 0.5), fixedSteps(s.rate), quantile(sum.servedBad, 0.5), quantile(sum.servedBad, 1), quantile(sum.exposure, 0.5), quantile(sum.exposure, 1))
		if sum.violation != "" {
			t.Errorf("%s: %s", s.name, sum.violation)
		}
		if sum.undecided > 0 {
			t.Errorf("%s: %d runs ended undecided", s.name, sum.undecided)
		}
		if float64(sum.correct) < s.minCorrect*float64(seeds) {
			t.Errorf("%s: %d of %d runs ended correctly, want %.0f%%", s.name, sum.correct, seeds, 100*s.minCorrect)
		}
	}
}
