package speed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// assumedNoise is the variance of a sample's logarithm that is expected until samples show otherwise: that of noise
	// of 50%.
	assumedNoise = 0.095
	// leastNoise bounds the measured variance from below, at a standard deviation of 1%: messages round speeds.
	leastNoise = 1e-4
	// assumedSamples is the number of deviations that assumedNoise counts for while more is measured.
	assumedSamples = 24
	// measuredPart is the part of the variance that measurements find: deviations are cut off at maxDeviation, and samples that
	// two gateways took at the same time average in an estimate that counts one.
	measuredPart = 0.87
	// minNoiseSamples is the number of deviations from which on the variance counts as measured. Of more than
	// noiseWindow, the last ones count.
	minNoiseSamples, noiseWindow = 12, 400
	// settledSamples is the number of samples after which the variance of an estimate has settled.
	settledSamples = 4 * averagedSamples
	// assumedSignificance and measuredSignificance are the numbers of standard deviations of the normal distribution beyond
	// which a spread is not explained by the assumed and by the measured noise: once in 1,200 and in 75,000 evaluations if
	// noise is normal. Measured noise is uncertain where it comes from a dozen deviations, and there are two kinds.
	assumedSignificance, measuredSignificance = 3.15, 4.2
	// heldSignificance is the part of these numbers that suffices while speeds are in use.
	heldSignificance = 0.8
	// minShrinkage and maxShrinkage bound the number of samples that the expected speed of an instance counts for. An
	// estimate of averagedSamples keeps three quarters of its difference from the others.
	minShrinkage, maxShrinkage = 1, 8
)

// noise is the variance of the logarithms of samples about the speed of their instance, pooled over a service.
type noise struct{ squares, count float64 }

// add adds the square of a deviation that has the variance of a sample.
func (n *noise) add(square float64) {
	if n.count >= noiseWindow {
		n.squares -= n.squares / noiseWindow
		n.count--
	}
	n.squares += square
	n.count++
}

// addSample adds the deviation of a sample from the estimate before it, whose own error is in it too.
func (n *noise) addSample(e *estimate, speed float64) {
	if e.samples > 0 && !e.changed() {
		deviation := min(maxDeviation, max(-maxDeviation, math.Log(speed)-e.log))
		n.add(deviation * deviation / (1 + e.variance))
	}
}

func (n *noise) measured() bool { return n.count >= minNoiseSamples }

// variance returns the variance of a sample, as measured or assumed.
func (n *noise) variance() float64 {
	if !n.measured() {
		return assumedNoise
	}
	return max(leastNoise, n.squares/n.count/measuredPart)
}

// bound returns the variance that a sample may have without a measurement that shows less.
func (n *noise) bound() float64 {
	return max(assumedNoise, (n.squares/measuredPart+assumedNoise*assumedSamples)/(n.count+assumedSamples))
}

// count updates the variance by a sample that the estimate has taken in with a weight.
func (e *estimate) count(weight float64) {
	e.variance = (1-weight)*(1-weight)*e.variance + weight*weight
}

// countMerged updates the variance by the samples in another gateway's estimate, and returns the variance of the change to
// that estimate. If the speed has changed within few samples, they had the weight that a change gives them.
func (e *estimate) countMerged(samples uint32) (change float64) {
	followed := e.changed() && samples-e.samples < 2*changeRun
	before, kept := e.variance, 1.0
	e.variance = 0
	for n := max(e.samples+1, samples-min(samples, settledSamples)); n <= samples; n++ {
		weight := 1 / float64(max(1, min(n, averagedSamples)))
		if followed {
			weight = max(weight, changeWeight)
		}
		e.count(weight)
		kept *= 1 - weight
	}
	change = (1-kept)*(1-kept)*before + e.variance
	e.variance += kept * kept * before
	return change
}

// measurement is the logarithm of an estimate and its weight in samples.
type measurement struct{ log, weight float64 }

// evidence is what the estimates of a service's instances show together.
type evidence struct {
	// squares is the sum of the squared deviations in units of the bound of the noise, and freedom its expectation in a
	// service of like engines.
	squares, freedom float64
	// ratio is the squared deviations in units of the measured noise, divided by freedom, and noise the number of deviations
	// behind that, 0 if too few were measured.
	ratio, noise float64
	// spread is the difference between the highest and the lowest speed, as logarithms and without the tails. Each counts
	// as far as it is known.
	spread float64
	// shrinkage is the number of samples that the expected speed of an instance counts for beside its own samples: the
	// variance of a sample divided by that between instances.
	shrinkage float64
}

// assess compares the variance between the instances with that of their samples. It sorts the list.
func assess(list []measurement, n *noise) evidence {
	result := evidence{shrinkage: maxShrinkage}
	if len(list) < 2 {
		return result
	}
	slices.SortFunc(list, func(a, b measurement) int { return cmp.Compare(a.log, b.log) })
	// Estimates of a single sample may be far off. They count up to maxDeviation from the middle of those without the tails,
	// as further samples would. The median is not the middle: of engines of two speeds, it is one of the two.
	tail := tailOf(len(list))
	middle := (list[tail].log + list[len(list)-1-tail].log) / 2
	low, high := middle-maxDeviation, middle+maxDeviation
	var sum, weights, weightSquares float64
	for _, m := range list {
		sum += m.weight * min(high, max(low, m.log))
		weights += m.weight
		weightSquares += m.weight * m.weight
	}
	mean, squares := sum/weights, 0.0
	for _, m := range list {
		deviation := min(high, max(low, m.log)) - mean
		squares += m.weight * deviation * deviation
	}
	variance, freedom := n.variance(), float64(len(list)-1)
	result.squares, result.freedom = squares/n.bound(), freedom
	if n.measured() {
		result.ratio, result.noise = squares/freedom/variance, n.count
	}
	between := max(0, squares-freedom*variance) / (weights - weightSquares/weights)
	if between > 0 {
		result.shrinkage = min(maxShrinkage, max(minShrinkage, variance/between))
	}
	shrunk := make([]float64, len(list))
	for i, m := range list {
		shrunk[i] = mean + (m.log-mean)*between/(between+variance/m.weight)
	}
	slices.Sort(shrunk)
	result.spread = shrunk[len(shrunk)-1-tail] - shrunk[tail]
	return result
}

// tailOf returns how many of a list of instances do not count at either end.
func tailOf(n int) int { return int(tailShare * float64(n-1)) }

// significant reports whether noise does not explain how much the estimates of a service differ. Noise of 50% is assumed
// unless more was measured, as engines with a single sample each measure none. That less noise was measured counts with
// the uncertainty of the measurement.
func significant(kinds [numKinds]evidence, inUse bool) bool {
	part := 1.0
	if inUse {
		part = heldSignificance
	}
	squares, freedom := 0.0, 0.0
	for _, kind := range kinds {
		if kind.noise > 0 && exceeds(kind.ratio, kind.freedom, kind.noise, part*measuredSignificance) {
			return true
		}
		squares, freedom = squares+kind.squares, freedom+kind.freedom
	}
	return freedom > 0 && exceeds(squares/freedom, freedom, math.Inf(1), part*assumedSignificance)
}

// exceeds reports whether the ratio of two variances of equal expectation, with the given degrees of freedom, is higher than
// chance makes it (F test, by Paulson's approximation with the normal distribution).
func exceeds(ratio, above, below, significance float64) bool {
	root, a, b := math.Cbrt(ratio), 2/(9*above), 2/(9*below)
	return (1-b)*root-(1-a) >= significance*math.Sqrt(a+b*root*root)
}
