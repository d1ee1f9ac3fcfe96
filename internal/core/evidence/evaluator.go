package evidence

import (
	"fmt"
	"math"
	"sort"
	"time"
)

const (
	// errorWithdraw is the chance of withdrawing a good version.
	errorWithdraw = 0.01
	// errorPass is the chance of passing a bad version.
	errorPass = 0.05
	// shortWindow and longWindow are the time constants of the old version's rates. The
	// larger of the two rates is used, so that a burst of failures that hits both
	// versions is not held against the new one before the long rate has followed.
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second
	// priorWeight is the number of requests that the old version's overall rate on the
	// route stands for where a bucket has seen few.
	priorWeight = 50.0
	// referenceMinimum is the weight of recent requests of the old version from which
	// its rate counts as measured at the same time.
	referenceMinimum = 5.0
	// floorFactor bounds how far good results can outweigh later bad ones, in units of
	// the pass bound, so that a version that turns bad late is found as fast as one that
	// is bad at once.
	floorFactor = 2.0
	// leaning is the log likelihood ratio from which a test speaks against advancing.
	leaning = 2.0
	// coverageShare is the part of the old version's traffic from which a route or a
	// load level must have been seen on the new one, with coverageRequests requests.
	coverageShare    = 0.1
	coverageRequests = 20
)

// signal is what is compared: failures, or slowness of requests that did not fail.
type signal int

const (
	failures signal = iota
	slowness
	signals
)

func (s signal) String() string {
	if s == failures {
		return "failures"
	}
	return "slowness"
}

// rates returns the good and the bad hypothesis for a rate of the old version. The
// floors set the smallest worsening worth a withdrawal: with a faultless old version, 4%
// failures or 14% slow requests. Without recent traffic of the old version only gross
// worsening counts, since a fault of the surroundings cannot be told apart.
func (s signal) rates(old float64, contemporary bool) (good, bad float64) {
	floor, step := 0.005, 0.03
	if s == slowness {
		floor, step = 0.02, 0.1
	}
	if !contemporary {
		floor, step = 0.02, 0.2
	}
	good = min(0.6, max(floor, old))
	return good, min(0.9, 2*good+step)
}

// group names the buckets that one test sums: all, one route or one load level.
type group struct {
	route string
	level int
}

var everything = group{"", -1}

func groupsOf(k Key) [3]group {
	return [3]group{everything, {"route " + k.Route, -1}, {"", k.Level}}
}

func (g group) String() string {
	switch {
	case g.route != "":
		return g.route
	case g.level >= 0:
		return fmt.Sprintf("load level %d", g.level)
	}
	return "all requests"
}

// stratum is a bucket without its version.
type stratum struct {
	route, zone string
	level       int
}

func stratumOf(k Key) stratum { return stratum{k.Route, k.Zone, k.Level} }

// rate holds the decayed counts of the old version in one stratum.
type rate struct {
	short, long         [signals]float64
	shortHits, longHits [signals]float64
}

// Verdict is the state of the test.
type Verdict struct {
	// Withdraw is set once the version is shown to be bad; Reason tells by what.
	Withdraw bool
	Reason   string
	// StepPassed and Passed tell whether the version is shown to be good since the start
	// of the step and of the rollout.
	StepPassed, Passed bool
	// LikelyBad is set while results speak against the version without showing it bad.
	LikelyBad bool
	// Adverse is set when any result speaks against the version.
	Adverse                  bool
	Requests, Failures, Slow uint64
}

// Evaluator is a sequential probability ratio test of a new version against the old one,
// for failures and for slowness, over all requests and per route and load level. The
// strata (route, zone, load level) of both versions are compared at the same time. Its
// state follows the counters and is not exchanged.
type Evaluator struct {
	service, version, previous string

	last     map[Key]Counts // new version, at the previous evaluation
	lastOld  map[Key]Counts
	old      map[stratum]*rate
	at       time.Time
	bad      map[group]*[signals]float64
	step     [signals]float64
	total    [signals]float64
	withdraw string
	// primed is set once the old version's counts from before the rollout are known;
	// they count for its overall rate, but not as recent traffic.
	primed bool
}

// NewEvaluator returns a test of a version against the previous one.
func NewEvaluator(service, version, previous string) *Evaluator {
	return &Evaluator{
		service: service, version: version, previous: previous,
		last: map[Key]Counts{}, lastOld: map[Key]Counts{}, old: map[stratum]*rate{},
		bad: map[group]*[signals]float64{},
	}
}

// StartStep forgets the evidence in favour of the version that earlier steps gathered.
func (e *Evaluator) StartStep() { e.step = [signals]float64{} }

// Evaluate takes in the growth of the counters and returns the verdict.
func (e *Evaluator) Evaluate(now time.Time, counters *Counters) Verdict {
	oldTotals := counters.Totals(e.service, e.previous)
	newTotals := counters.Totals(e.service, e.version)
	e.decay(now)
	e.observeOld(oldTotals)
	overall := routeRates(oldTotals)
	grown := map[group]*[signals]float64{}
	for key, counts := range newTotals {
		if counts != e.last[key] {
			e.observeNew(grown, key, delta(counts, e.last[key]), overall[key.Route])
			e.last[key] = counts
		}
	}
	e.accumulate(grown)
	return e.verdict(newTotals, oldTotals)
}

func delta(now, before Counts) Counts {
	// A sum falls when the copies of other entries were dropped after a rollout.
	sub := func(a, b uint64) uint64 { return a - min(a, b) }
	return Counts{
		sub(now.Requests, before.Requests), sub(now.Failures, before.Failures),
		sub(now.Slow, before.Slow), sub(now.SuspectFailures, before.SuspectFailures),
	}
}

// trials returns hits and trials of each signal. Failures beside a suspect are left out.
func (c Counts) trials() (hits, n [signals]float64) {
	judged := c.Requests - min(c.Requests, c.SuspectFailures)
	hits[failures], n[failures] = float64(c.Failures), float64(judged)
	hits[slowness], n[slowness] = float64(c.Slow), float64(judged-min(judged, c.Failures))
	return hits, n
}

func (e *Evaluator) decay(now time.Time) {
	elapsed := max(0, now.Sub(e.at))
	e.at = now
	short := math.Exp(-float64(elapsed) / float64(shortWindow))
	long := math.Exp(-float64(elapsed) / float64(longWindow))
	for _, r := range e.old {
		for s := range signals {
			r.short[s] *= short
			r.shortHits[s] *= short
			r.long[s] *= long
			r.longHits[s] *= long
		}
	}
}

func (e *Evaluator) observeOld(totals map[Key]Counts) {
	for key, counts := range totals {
		hits, n := delta(counts, e.lastOld[key]).trials()
		e.lastOld[key] = counts
		if !e.primed {
			continue
		}
		r := e.old[stratumOf(key)]
		if r == nil {
			r = &rate{}
			e.old[stratumOf(key)] = r
		}
		for s := range signals {
			r.short[s] += n[s]
			r.shortHits[s] += hits[s]
			r.long[s] += n[s]
			r.longHits[s] += hits[s]
		}
	}
	e.primed = true
}

// routeRates returns the old version's overall rates by route.
func routeRates(totals map[Key]Counts) map[string][signals]float64 {
	sums := map[string]Counts{}
	for key, counts := range totals {
		sums[key.Route] = sums[key.Route].plus(counts)
	}
	rates := map[string][signals]float64{}
	for route, counts := range sums {
		hits, n := counts.trials()
		var r [signals]float64
		for s := range signals {
			r[s] = hits[s] / max(1, n[s])
		}
		rates[route] = r
	}
	return rates
}

// observeNew adds the log likelihood ratios of new results to the tests they belong to.
func (e *Evaluator) observeNew(grown map[group]*[signals]float64, key Key, d Counts, overall [signals]float64) {
	hits, n := d.trials()
	for s := range signals {
		if n[s] == 0 {
			continue
		}
		good, bad := s.rates(e.oldRate(stratumOf(key), s, overall[s]))
		ratio := hits[s]*math.Log(bad/good) + (n[s]-hits[s])*math.Log((1-bad)/(1-good))
		for _, g := range groupsOf(key) {
			if grown[g] == nil {
				grown[g] = &[signals]float64{}
			}
			grown[g][s] += ratio
		}
	}
}

// accumulate advances the tests by one evaluation and withdraws by the strongest one;
// of equal ones the widest gives the reason.
func (e *Evaluator) accumulate(grown map[group]*[signals]float64) {
	floor := passBound() * floorFactor
	for g := range grown {
		if e.bad[g] == nil {
			e.bad[g] = &[signals]float64{}
		}
	}
	bound, strongest, reason := e.withdrawBound(), 0.0, e.withdraw
	for _, g := range widestFirst(grown) {
		for s := range signals {
			b := e.bad[g]
			b[s] = max(floor, b[s]+grown[g][s])
			if e.withdraw == "" && b[s] >= bound && b[s] > strongest {
				strongest = b[s]
				reason = fmt.Sprintf("%s of %s", s, g)
			}
		}
	}
	e.withdraw = reason
	if all := grown[everything]; all != nil {
		for s := range signals {
			e.step[s] += all[s]
			e.total[s] = max(floor, e.total[s]+all[s])
		}
	}
}

func widestFirst(grown map[group]*[signals]float64) []group {
	groups := make([]group, 0, len(grown))
	for g := range grown {
		groups = append(groups, g)
	}
	sort.Slice(groups, func(i, j int) bool {
		if groups[i].level != groups[j].level {
			return groups[i].level < groups[j].level
		}
		return groups[i].route < groups[j].route
	})
	return groups
}

// oldRate estimates the old version's rate in a stratum, one standard error above the
// measured one, and tells whether the old version has recent traffic there.
func (e *Evaluator) oldRate(st stratum, s signal, overall float64) (float64, bool) {
	r := e.old[st]
	if r == nil {
		return overall, false
	}
	upper := func(hits, n, prior float64) float64 {
		p := (hits + priorWeight*prior) / (n + priorWeight)
		return p + math.Sqrt(p*(1-p)/(n+priorWeight))
	}
	long := upper(r.longHits[s], r.long[s], overall)
	short := upper(r.shortHits[s], r.short[s], overall)
	return max(long, short), r.long[s] >= referenceMinimum
}

// withdrawBound divides the error among the tests that run side by side.
func (e *Evaluator) withdrawBound() float64 {
	return math.Log(float64(int(signals)*max(1, len(e.bad))) / errorWithdraw)
}

func passBound() float64 { return math.Log(errorPass) }

func (e *Evaluator) verdict(newTotals, oldTotals map[Key]Counts) Verdict {
	v := Verdict{Withdraw: e.withdraw != "", Reason: e.withdraw}
	for _, b := range e.bad {
		for s := range signals {
			v.LikelyBad = v.LikelyBad || b[s] >= leaning
			v.Adverse = v.Adverse || b[s] > 0
		}
	}
	for _, c := range newTotals {
		v.Requests += c.Requests
		v.Failures += c.Failures
		v.Slow += c.Slow
	}
	v.StepPassed = !v.Withdraw && !v.LikelyBad && e.step[failures] <= passBound() && e.step[slowness] <= passBound()
	v.Passed = !v.Withdraw && !v.LikelyBad && e.total[failures] <= passBound() && e.total[slowness] <= passBound() &&
		covered(newTotals, oldTotals)
	return v
}

// covered reports whether the new version was seen on each route and at each load level
// that the old version's traffic mostly consists of.
func covered(newTotals, oldTotals map[Key]Counts) bool {
	seen, want := requestsByGroup(newTotals), requestsByGroup(oldTotals)
	for g, n := range want {
		if n >= coverageShare*want[everything] && seen[g] < coverageRequests {
			return false
		}
	}
	return true
}

func requestsByGroup(totals map[Key]Counts) map[group]float64 {
	sums := map[group]float64{}
	for key, counts := range totals {
		for _, g := range groupsOf(key) {
			sums[g] += float64(counts.Requests)
		}
	}
	return sums
}
