package evidence

import (
	"fmt"
	"math"
	"sort"
	"time"
)

const (
	// withdrawErrorRate is the accepted probability of withdrawing a good version.
	withdrawErrorRate = 0.01
	// passErrorRate is the accepted probability of passing a bad version.
	passErrorRate = 0.05
	// shortWindow and longWindow are the time constants of the old version's decayed
	// rates. The larger of the two rates is used, so that a burst of failures on both
	// versions does not count against the new one before the long-term rate has followed.
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second
	// priorWeight is the number of requests for which the old version's overall rate on
	// the route counts in each stratum; it dominates in strata with few requests.
	priorWeight = 50.0
	// minReferenceWeight is the decayed number of requests of the old version from which
	// its rate counts as recent.
	minReferenceWeight = 5.0
	// floorFactor bounds how far good results can outweigh later bad ones, as a multiple
	// of the pass bound, so that a version that becomes bad late is detected as fast as
	// one that is bad from the start.
	floorFactor = 2.0
	// likelyBadRatio is the log-likelihood ratio from which a version is likely bad.
	likelyBadRatio = 2.0
	// coverageShare is the share of the old version's traffic from which a route or a
	// load level must be covered by coverageRequests requests on the new version.
	coverageShare    = 0.1
	coverageRequests = 20
	// maxGoodRate keeps the logarithm of the share of requests that are not hit finite.
	maxGoodRate = 0.99
	// maxTestedRate is the old version's rate above which results say nothing about the new one:
	// where nearly all requests of both are hit, the rates of a good and of a bad version are too
	// close to each other.
	maxTestedRate = 0.7
)

// signal is the compared property: failures, or slowness of requests that did not fail.
type signal int

const (
	failures signal = iota
	slowness
	numSignals
)

func (s signal) String() string {
	if s == failures {
		return "failures"
	}
	return "slowness"
}

// floorAndStep returns the lowest good rate and the difference between twice a good rate and a bad
// one. They set the smallest degradation that leads to a withdrawal: with a
// faultless old version, 4% failures or 14% slow requests. Without recent traffic of the
// old version only a large degradation counts, since it may have an external cause. The
// test then goes on for as long as the old version is kept, and over that time a rate above the
// good one leads to a withdrawal even far below the bad one: the good rate is at least the 3% of
// external failures that a version must withstand.
func (s signal) floorAndStep(recent bool) (floor, step float64) {
	switch {
	case !recent:
		return 0.03, 0.14
	case s == slowness:
		return 0.02, 0.1
	}
	return 0.005, 0.03
}

// goodRate returns the rate under the good hypothesis for a rate of the old version.
func (s signal) goodRate(old float64, recent bool) float64 {
	floor, _ := s.floorAndStep(recent)
	return min(maxGoodRate, max(floor, old))
}

// badRate returns the rate of a moderately bad version for a good rate. Above maxTestedRate both
// are the same.
func (s signal) badRate(good float64, recent bool) float64 {
	if good > maxTestedRate {
		return good
	}
	_, step := s.floorAndStep(recent)
	return min(0.9, 2*good+step)
}

// group identifies the buckets that one test sums: all, one route or one load level.
type group struct {
	route string
	level int
}

var allRequests = group{"", -1}

func groupsOf(k Key) [3]group { return stratumOf(k).groups() }

func (g group) String() string {
	switch {
	case g.route != "":
		return g.route
	case g.level >= 0:
		return fmt.Sprintf("load level %d", g.level)
	}
	return "all requests"
}

// stratum is a bucket without its service and version.
type stratum struct {
	route, zone string
	level       int
}

func stratumOf(k Key) stratum { return stratum{k.Route, k.Zone, k.Level} }

func (st stratum) groups() [3]group {
	return [3]group{allRequests, {"route " + st.route, -1}, {"", st.level}}
}

// rate holds the exponentially decayed counts of the old version in one stratum: shortHits
// and longHits count failed or slow requests, short and long all requests that the signal
// applies to.
type rate struct {
	short, long         [numSignals]float64
	shortHits, longHits [numSignals]float64
}

// Verdict is the current result of the test.
type Verdict struct {
	// Withdraw is set once the version is shown to be bad; Reason names the signal and the
	// group of requests.
	Withdraw bool
	Reason   string
	// StepPassed and Passed report whether the version is shown to be good since the start
	// of the step and since the start of the rollout.
	StepPassed, Passed bool
	// LikelyBad is set while the log-likelihood ratio of any test for moderate degradation
	// reaches likelyBadRatio.
	LikelyBad                bool
	Requests, Failures, Slow uint64
}

// Evaluator is a sequential probability ratio test of a new version against the old one,
// for failures and for slowness, over all requests and per route and load level. In each
// stratum (route, zone, load level) the new version is compared with the old version's
// rate at the same time. The state is derived from the counters and is not exchanged.
type Evaluator struct {
	service, version, previous string

	// lastNew and lastOld are the counts of the two versions at the last evaluation.
	lastNew       map[Key]Counts
	lastOld       map[Key]Counts
	oldRates      map[stratum]*rate
	lastEvaluated time.Time
	// committed are the log-likelihood ratios of the tests up to the current slice, stepRatios
	// and totalRatios those for moderate degradation over all requests since the start of the
	// step and of the rollout. Positive values are evidence against the version.
	committed      map[group]*ratios
	stepRatios     [numSignals]float64
	totalRatios    [numSignals]float64
	withdrawReason string
	// The slice began at sliceStart; sliceOld and sliceNew are the results of the two versions
	// in it, and sliceRatios their log-likelihood ratios.
	sliceStart         time.Time
	sliceOld, sliceNew map[stratum]Counts
	sliceRatios        map[group]*ratios
	decisive           []Slice
	// completed is set once the old version gets no more traffic.
	completed bool
	// primed is set by the first evaluation: the old version's counts from before the rollout
	// count for its overall rate, but not as recent traffic.
	primed bool
}

// NewEvaluator returns a test of a version against the previous one.
func NewEvaluator(service, version, previous string) *Evaluator {
	return &Evaluator{
		service: service, version: version, previous: previous,
		lastNew: map[Key]Counts{}, lastOld: map[Key]Counts{}, oldRates: map[stratum]*rate{},
		committed: map[group]*ratios{}, sliceOld: map[stratum]Counts{}, sliceNew: map[stratum]Counts{},
	}
}

// StartStep discards the evidence of earlier steps that counts towards StepPassed.
func (e *Evaluator) StartStep() {
	e.commitSlice()
	e.stepRatios = [numSignals]float64{}
}

// Complete records that the version gets all traffic: the old version's last rates stay the
// reference, but no longer count as recent.
func (e *Evaluator) Complete() { e.completed = true }

// Evaluate processes the increments of the counters since the last call and returns the
// verdict.
func (e *Evaluator) Evaluate(now time.Time, counters *Counters) Verdict {
	oldTotals := counters.Totals(e.service, e.previous)
	newTotals := counters.Totals(e.service, e.version)
	if now.Sub(e.sliceStart) >= sliceDuration {
		e.commitSlice()
		e.sliceStart = now
	}
	e.decay(now)
	e.observeOld(oldTotals)
	for key, counts := range newTotals {
		if counts != e.lastNew[key] {
			st := stratumOf(key)
			e.sliceNew[st] = e.sliceNew[st].add(delta(counts, e.lastNew[key]))
			e.lastNew[key] = counts
		}
	}
	if len(e.sliceNew) > 0 {
		e.compareSlice(routeRates(oldTotals))
	}
	e.test()
	return e.verdict(newTotals, oldTotals)
}

func delta(now, before Counts) Counts {
	// A sum decreases when the copies of other entries were dropped after a rollout.
	sub := func(a, b uint64) uint64 { return a - min(a, b) }
	return Counts{
		sub(now.Requests, before.Requests), sub(now.Failures, before.Failures),
		sub(now.Slow, before.Slow), sub(now.SuspectFailures, before.SuspectFailures),
	}
}

// trials returns the hits and trials of each signal. Failures while a suspect request was on
// the target are excluded.
func (c Counts) trials() (hits, n [numSignals]float64) {
	counted := c.Requests - min(c.Requests, c.SuspectFailures)
	hits[failures], n[failures] = float64(c.Failures), float64(counted)
	hits[slowness], n[slowness] = float64(c.Slow), float64(counted-min(counted, c.Failures))
	return hits, n
}

func (e *Evaluator) decay(now time.Time) {
	elapsed := max(0, now.Sub(e.lastEvaluated))
	e.lastEvaluated = now
	short := math.Exp(-float64(elapsed) / float64(shortWindow))
	long := math.Exp(-float64(elapsed) / float64(longWindow))
	for _, r := range e.oldRates {
		for s := range numSignals {
			r.short[s] *= short
			r.shortHits[s] *= short
			r.long[s] *= long
			r.longHits[s] *= long
		}
	}
}

func (e *Evaluator) observeOld(totals map[Key]Counts) {
	for key, counts := range totals {
		increment := delta(counts, e.lastOld[key])
		hits, n := increment.trials()
		e.lastOld[key] = counts
		if !e.primed {
			continue
		}
		st := stratumOf(key)
		if increment != (Counts{}) {
			e.sliceOld[st] = e.sliceOld[st].add(increment)
		}
		r := e.oldRates[st]
		if r == nil {
			r = &rate{}
			e.oldRates[st] = r
		}
		for s := range numSignals {
			r.short[s] += n[s]
			r.shortHits[s] += hits[s]
			r.long[s] += n[s]
			r.longHits[s] += hits[s]
		}
	}
	e.primed = true
}

// routeRates returns the old version's overall rates by route.
func routeRates(totals map[Key]Counts) map[string][numSignals]float64 {
	sums := map[string]Counts{}
	for key, counts := range totals {
		sums[key.Route] = sums[key.Route].add(counts)
	}
	rates := map[string][numSignals]float64{}
	for route, counts := range sums {
		hits, n := counts.trials()
		var r [numSignals]float64
		for s := range numSignals {
			r[s] = hits[s] / max(1, n[s])
		}
		rates[route] = r
	}
	return rates
}

// compareSlice computes the log-likelihood ratios of the current slice.
func (e *Evaluator) compareSlice(overall map[string][numSignals]float64) {
	e.sliceRatios = map[group]*ratios{}
	strata := e.sliceStrata()
	for s := range numSignals {
		cells := make([]cell, 0, len(strata))
		for _, st := range strata {
			hits, trials := e.sliceNew[st].trials()
			oldHits, oldTrials := e.sliceOld[st].trials()
			if trials[s]+oldTrials[s] == 0 {
				continue
			}
			old, recent := e.oldRate(st, s, overall[st.route][s])
			cells = append(cells, cell{
				stratum: st, good: s.goodRate(old, recent), recent: recent,
				oldHits: oldHits[s], oldTrials: oldTrials[s], hits: hits[s], trials: trials[s],
			})
		}
		for g, r := range compare(s, cells) {
			if e.sliceRatios[g] == nil {
				e.sliceRatios[g] = &ratios{}
			}
			e.sliceRatios[g][s] = r
		}
	}
}

// sliceStrata returns the strata with results in the current slice, in a fixed order so that sums
// of floating-point numbers are reproducible.
func (e *Evaluator) sliceStrata() []stratum {
	strata := make([]stratum, 0, len(e.sliceOld)+len(e.sliceNew))
	for st := range e.sliceNew {
		strata = append(strata, st)
	}
	for st := range e.sliceOld {
		if _, ok := e.sliceNew[st]; !ok {
			strata = append(strata, st)
		}
	}
	sort.Slice(strata, func(i, j int) bool {
		a, b := strata[i], strata[j]
		switch {
		case a.route != b.route:
			return a.route < b.route
		case a.zone != b.zone:
			return a.zone < b.zone
		}
		return a.level < b.level
	})
	return strata
}

// commitSlice adds the current slice to the tests and starts an empty one.
func (e *Evaluator) commitSlice() {
	e.recordDecisive()
	for g, r := range e.sliceRatios {
		if e.committed[g] == nil {
			e.committed[g] = &ratios{}
		}
		for s := range numSignals {
			for a := range numAlternatives {
				e.committed[g][s][a] = sumRatio(e.committed[g][s][a], r[s][a])
			}
		}
	}
	e.stepRatios, e.totalRatios = e.overall()
	clear(e.sliceOld)
	clear(e.sliceNew)
	e.sliceRatios = nil
}

// sumRatio adds a log-likelihood ratio to a test, with a lower bound.
func sumRatio(sum, ratio float64) float64 { return max(passBound()*floorFactor, sum+ratio) }

// overall returns the ratios over all requests since the start of the step and of the rollout.
func (e *Evaluator) overall() (step, total [numSignals]float64) {
	step, total = e.stepRatios, e.totalRatios
	if all := e.sliceRatios[allRequests]; all != nil {
		for s := range numSignals {
			step[s] += all[s][moderate]
			total[s] = sumRatio(total[s], all[s][moderate])
		}
	}
	return step, total
}

// current returns the ratios of a group including those of the current slice.
func (e *Evaluator) current(g group) ratios {
	var sum ratios
	if r := e.committed[g]; r != nil {
		sum = *r
	}
	if r := e.sliceRatios[g]; r != nil {
		for s := range numSignals {
			for a := range numAlternatives {
				sum[s][a] = sumRatio(sum[s][a], r[s][a])
			}
		}
	}
	return sum
}

// test withdraws the version if any test reaches the bound. The strongest test gives the reason; of
// equally strong ones, the widest.
func (e *Evaluator) test() {
	if e.withdrawReason != "" || len(e.sliceRatios) == 0 {
		return
	}
	bound, strongest := e.withdrawBound(), 0.0
	for _, g := range widestFirst(e.sliceRatios) {
		ratio := e.current(g)
		for s := range numSignals {
			for a := range numAlternatives {
				if ratio[s][a] >= bound && ratio[s][a] > strongest {
					strongest = ratio[s][a]
					e.withdrawReason = fmt.Sprintf("%s of %s", s, g)
				}
			}
		}
	}
}

func widestFirst(ratios map[group]*ratios) []group {
	groups := make([]group, 0, len(ratios))
	for g := range ratios {
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
// measured one, and reports whether the old version has recent traffic there.
func (e *Evaluator) oldRate(st stratum, s signal, overall float64) (float64, bool) {
	r := e.oldRates[st]
	if r == nil {
		return overall, false
	}
	upper := func(hits, n, prior float64) float64 {
		p := (hits + priorWeight*prior) / (n + priorWeight)
		return p + math.Sqrt(p*(1-p)/(n+priorWeight))
	}
	long := upper(r.longHits[s], r.long[s], overall)
	short := upper(r.shortHits[s], r.short[s], overall)
	return max(long, short), !e.completed && r.long[s] >= minReferenceWeight
}

// withdrawBound returns the log-likelihood ratio for a withdrawal. It divides
// withdrawErrorRate among the concurrent tests.
func (e *Evaluator) withdrawBound() float64 {
	tests := len(e.committed)
	for g := range e.sliceRatios {
		if e.committed[g] == nil {
			tests++
		}
	}
	return math.Log(float64(int(numSignals)*int(numAlternatives)*max(1, tests)) / withdrawErrorRate)
}

func passBound() float64 { return math.Log(passErrorRate) }

func (e *Evaluator) verdict(newTotals, oldTotals map[Key]Counts) Verdict {
	v := Verdict{Withdraw: e.withdrawReason != "", Reason: e.withdrawReason}
	for g := range e.committed {
		v.LikelyBad = v.LikelyBad || likelyBad(e.current(g))
	}
	for g := range e.sliceRatios {
		v.LikelyBad = v.LikelyBad || likelyBad(e.current(g))
	}
	for _, c := range newTotals {
		v.Requests += c.Requests
		v.Failures += c.Failures
		v.Slow += c.Slow
	}
	step, total := e.overall()
	good := !v.Withdraw && !v.LikelyBad
	v.StepPassed = good && step[failures] <= passBound() && step[slowness] <= passBound()
	v.Passed = good && total[failures] <= passBound() && total[slowness] <= passBound() && covered(newTotals, oldTotals)
	return v
}

func likelyBad(r ratios) bool {
	return r[failures][moderate] >= likelyBadRatio || r[slowness][moderate] >= likelyBadRatio
}

// covered reports whether the new version has had enough requests on each route and at each
// load level with at least coverageShare of the old version's requests.
func covered(newTotals, oldTotals map[Key]Counts) bool {
	got, want := requestsByGroup(newTotals), requestsByGroup(oldTotals)
	for g, n := range want {
		if n >= coverageShare*want[allRequests] && got[g] < coverageRequests {
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
