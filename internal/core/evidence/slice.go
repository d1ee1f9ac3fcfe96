package evidence

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Results that arrive within the same slice of time are not independent: a busy machine, a lost
// link or a crash slows down or fails many requests at once, of either version. The probability of
// a slice's results is therefore a mixture over such disturbances, and the old version's results
// in the slice tell which of them are likely.

const (
	// sliceDuration is the length of a slice. It covers disturbances of some tenths of a second
	// together with the results that they delay.
	sliceDuration = time.Second
	// disturbanceRate is the assumed share of slices with a disturbance of both versions, in all
	// requests, one zone or one route.
	disturbanceRate = 0.02
	// newOnlyRate is the assumed share of slices with a disturbance that hits only requests of the
	// new version, because one of its few targets is disturbed.
	newOnlyRate = 0.01
	// newOnlyLevels is the number of disturbanceLevels (up to 0.7) that such a disturbance can
	// reach: a version is loaded on at least two targets, so that one of them does not hit all of
	// its requests.
	newOnlyLevels = 5
	// decisiveRatio is the log-likelihood ratio from which a slice is recorded as decisive.
	decisiveRatio = 0.5
	// maxDecisive is the number of decisive slices that are kept.
	maxDecisive = 12
)

// disturbanceLevels are the rates of failed or slow requests during a disturbance.
var disturbanceLevels = [...]float64{0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 0.97}

// alternative is a hypothesis of how much worse a bad version is.
type alternative int

const (
	// moderate is the smallest degradation that leads to a withdrawal.
	moderate alternative = iota
	// severe is a failure or slowdown of a large share of the requests. Compared with
	// moderate it needs fewer requests to detect such a fault.
	severe
	numAlternatives
)

// severeRates are the rates of a severely bad version, with their weights.
var severeRates = [...]struct{ rate, weight float64 }{{0.3, 0.6}, {0.6, 0.2}, {0.95, 0.2}}

// ratios are the log-likelihood ratios of one group by signal and alternative.
type ratios [numSignals][numAlternatives]float64

// scopeKind is the part of the requests that a disturbance hits.
type scopeKind int

const (
	scopeAll scopeKind = iota
	scopeZone
	scopeRoute
)

type scope struct {
	kind scopeKind
	name string // the zone or route
}

// cell holds the results of one slice in one stratum for one signal: hits of trials for each
// version, and the old version's rate outside of disturbances.
type cell struct {
	stratum
	good                             float64
	recent                           bool
	oldHits, oldTrials, hits, trials float64
}

func (s scope) contains(c *cell) bool {
	switch s.kind {
	case scopeZone:
		return c.zone == s.name
	case scopeRoute:
		return c.route == s.name
	}
	return true
}

// scopes returns the parts of the requests that one disturbance of both versions may hit.
func scopes(cells []cell) []scope {
	all := []scope{{kind: scopeAll}}
	for _, kind := range []scopeKind{scopeZone, scopeRoute} {
		names := map[string]bool{}
		for i := range cells {
			if kind == scopeRoute {
				names[cells[i].route] = true
			} else {
				names[cells[i].zone] = true
			}
		}
		if len(names) < 2 {
			continue // the same as scopeAll
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			all = append(all, scope{kind, name})
		}
	}
	return all
}

// logLikelihood returns the logarithm of the probability of a sequence of results.
func logLikelihood(hits, trials, rate float64) float64 {
	return hits*math.Log(rate) + (trials-hits)*math.Log1p(-rate)
}

// logSum adds probabilities given by their logarithms.
type logSum struct{ highest, sum float64 }

func (l *logSum) add(x float64) {
	switch {
	case l.sum == 0:
		l.highest, l.sum = x, 1
	case x <= l.highest:
		l.sum += math.Exp(x - l.highest)
	default:
		l.sum = l.sum*math.Exp(l.highest-x) + 1
		l.highest = x
	}
}

func (l *logSum) log() float64 { return l.highest + math.Log(l.sum) }

// terms are the log-likelihoods of the results in one cell: of the old version's, and of the new
// version's under each hypothesis.
type terms struct {
	old, good, moderate float64
	severe              [len(severeRates)]float64
}

// terms returns the log-likelihoods for a rate of both versions, except for the alternatives.
func (c *cell) terms(s signal, rate float64) terms {
	t := terms{old: logLikelihood(c.oldHits, c.oldTrials, rate)}
	if c.trials == 0 {
		return t
	}
	bad := s.badRate(rate, c.recent)
	t.good = logLikelihood(c.hits, c.trials, rate)
	t.moderate = logLikelihood(c.hits, c.trials, bad)
	for k := range severeRates {
		severe := bad
		if rate <= maxTestedRate {
			severe = max(bad, severeRates[k].rate)
		}
		t.severe[k] = logLikelihood(c.hits, c.trials, severe)
	}
	return t
}

func (t *terms) add(o *terms) {
	t.good += o.good
	t.moderate += o.moderate
	for k := range t.severe {
		t.severe[k] += o.severe[k]
	}
}

// groupSums are the probabilities of the new version's results in one group under each hypothesis.
// term is their log-likelihood given the disturbance that is being added.
type groupSums struct {
	good, moderate, severe logSum
	term                   terms
}

// comparison sums the probabilities of the results of one slice over the disturbances.
type comparison struct {
	sums map[group]*groupSums
	// groups are the sums to which each cell belongs.
	groups [][]*groupSums
}

// add adds a disturbance with the given prior. of returns the terms of a cell.
func (c *comparison) add(logPrior float64, old, of func(i int) *terms) {
	for _, sum := range c.sums {
		sum.term = terms{}
	}
	for i, groups := range c.groups {
		logPrior += old(i).old
		for _, sum := range groups {
			sum.term.add(of(i))
		}
	}
	for _, sum := range c.sums {
		sum.good.add(logPrior + sum.term.good)
		sum.moderate.add(logPrior + sum.term.moderate)
		for k := range severeRates {
			sum.severe.add(logPrior + math.Log(severeRates[k].weight) + sum.term.severe[k])
		}
	}
}

// compare returns the log-likelihood ratios of the new version's results in the cells for each
// group: how much likelier they are under each alternative than for a good version, given the old
// version's results.
func compare(s signal, cells []cell) map[group][numAlternatives]float64 {
	c := comparison{sums: map[group]*groupSums{}, groups: make([][]*groupSums, len(cells))}
	calm, disturbed := make([]terms, len(cells)), make([]terms, len(cells))
	for i := range cells {
		calm[i] = cells[i].terms(s, cells[i].good)
		if cells[i].trials == 0 {
			continue
		}
		for _, g := range cells[i].groups() {
			if c.sums[g] == nil {
				c.sums[g] = &groupSums{}
			}
			c.groups[i] = append(c.groups[i], c.sums[g])
		}
	}
	undisturbed := func(i int) *terms { return &calm[i] }
	c.add(math.Log(1-disturbanceRate-newOnlyRate), undisturbed, undisturbed)
	scopes := scopes(cells)
	logPrior := math.Log(disturbanceRate / float64(len(scopes)*len(disturbanceLevels)))
	for n, level := range disturbanceLevels {
		for i := range cells {
			disturbed[i] = cells[i].terms(s, max(cells[i].good, level))
		}
		for _, scope := range scopes {
			in := func(i int) *terms {
				if scope.contains(&cells[i]) {
					return &disturbed[i]
				}
				return &calm[i]
			}
			c.add(logPrior, in, in)
		}
		if n < newOnlyLevels {
			c.add(math.Log(newOnlyRate/newOnlyLevels), undisturbed, func(i int) *terms { return &disturbed[i] })
		}
	}
	result := map[group][numAlternatives]float64{}
	for g, sum := range c.sums {
		good := sum.good.log()
		result[g] = [numAlternatives]float64{moderate: sum.moderate.log() - good, severe: sum.severe.log() - good}
	}
	return result
}

// Slice is the part of one slice of time in a test, for the log.
type Slice struct {
	Start         time.Time
	Signal, Group string
	// Hits of Trials results of the new version were failures or slow, OldHits of OldTrials of
	// the old one.
	Hits, Trials, OldHits, OldTrials int
	// Moderate and Severe are the log-likelihood ratios of the two alternatives.
	Moderate, Severe float64
}

// strongest returns the strongest test of the current slice if its evidence against the version is
// decisive.
func (e *Evaluator) strongest() (Slice, bool) {
	var strongest Slice
	highest := decisiveRatio
	for _, g := range widestFirst(e.sliceRatios) {
		for s := range numSignals {
			r := e.sliceRatios[g][s]
			if ratio := max(r[moderate], r[severe]); ratio > highest {
				highest = ratio
				strongest = Slice{Start: e.sliceStart, Signal: s.String(), Group: g.String(), Moderate: r[moderate], Severe: r[severe]}
				strongest.Hits, strongest.Trials = countIn(e.sliceNew, g, s)
				strongest.OldHits, strongest.OldTrials = countIn(e.sliceOld, g, s)
			}
		}
	}
	return strongest, highest > decisiveRatio
}

// recordDecisive keeps the current slice if it is decisive.
func (e *Evaluator) recordDecisive() {
	strongest, ok := e.strongest()
	if !ok {
		return
	}
	if len(e.decisive) == maxDecisive {
		e.decisive = e.decisive[:copy(e.decisive, e.decisive[1:])]
	}
	e.decisive = append(e.decisive, strongest)
}

func countIn(counts map[stratum]Counts, g group, s signal) (hits, trials int) {
	for st, c := range counts {
		for _, in := range st.groups() {
			if in == g {
				h, n := c.trials()
				hits, trials = hits+int(h[s]), trials+int(n[s])
			}
		}
	}
	return hits, trials
}

// Decisive returns the last slices whose results spoke against the version, including the current
// one.
func (e *Evaluator) Decisive() []Slice {
	decisive := slices.Clone(e.decisive)
	if current, ok := e.strongest(); ok {
		decisive = append(decisive, current)
	}
	return decisive
}
