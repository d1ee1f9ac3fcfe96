// Package speed estimates the lasting speeds of target instances from the samples of all gateways.
package speed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MinFactor and MaxFactor bound a speed as a factor of the nominal one. Values outside come from
	// cached prompts, stalls or faulty reports.
	MinFactor, MaxFactor = 0.25, 4.0
	// minDecode and maxDecode bound a decode speed before it is divided by the median of its service.
	// The size of an event is not known, so that the interval may be 0.5 ms to 2 s.
	minDecode, maxDecode = 1.0 / 64, 64.0
	// maxSamples bounds the number of samples in a report of another gateway.
	maxSamples = 1 << 30
	// averagedSamples is the number of samples over which an estimate averages. Noise of 50% on each
	// sample then leaves a standard deviation of 4.5%.
	averagedSamples = 24
	// maxDeviation is the deviation from the estimate, as a logarithm, beyond which a sample counts no
	// more: further ones have to confirm it.
	maxDeviation = math.Ln2
	// changeRun is the number of consecutive samples that deviate to one side by changeFactor from which on the
	// speed counts as changed. Noise of 50% does so once in 500 samples. Each further sample that deviates by
	// followFactor then has the weight changeWeight.
	changeRun    = 4
	changeFactor = 1.4
	followFactor = 1.2
	changeWeight = 1.0 / 3
	// useRatio is the ratio between the speeds of a service's instances from which on speeds are in use if noise does
	// not explain it, and endRatio the one below which they are not any more. Of many instances, the tailShare with the highest and
	// with the lowest speeds does not count: the extremes of a hundred noisy estimates always differ.
	useRatio, endRatio = 1.25, 1.15
	tailShare          = 0.1
	// medianInstances is the number of measured instances from which on their median bounds decode samples.
	medianInstances = 3
)

var logChangeFactor, logFollowFactor = math.Log(changeFactor), math.Log(followFactor)

// Kind is what a speed applies to.
type Kind int

// Kinds of speeds. For a plain service, Decode is the speed of calls.
const (
	// Prefill is the speed of reading prompts, as a factor of the nominal one.
	Prefill Kind = iota
	// Decode is the speed of producing events, as a factor of a fixed reference.
	Decode
	numKinds
)

// String returns the kind as it appears in metrics.
func (k Kind) String() string { return [...]string{"prefill", "decode"}[k] }

// Key identifies a target instance in messages between gateways.
type Key struct {
	// Target is the hash of the target's ID, Start the low 32 bits of its start time in Unix ms.
	Target, Start uint32
}

// Estimate is an estimated speed.
type Estimate struct {
	Speed float64
	// Samples is the number of samples behind it, 0 if the speed is unknown.
	Samples uint32
}

// valid reports whether an estimate of a kind is possible.
func (e Estimate) valid(kind Kind) bool {
	low, high := MinFactor, MaxFactor
	if kind == Decode {
		low, high = minDecode, maxDecode
	}
	return e.Samples <= maxSamples && (e.Samples == 0 || e.Speed >= low && e.Speed <= high)
}

// Record holds the estimates of one instance, by kind.
type Record struct {
	Key
	Estimates [numKinds]Estimate
}

// Instance is a registered instance.
type Instance struct {
	Key
	Service string
}

// Outcome tells what became of a sample.
type Outcome int

// Outcomes of samples.
const (
	Taken Outcome = iota
	// OutOfRange means that the speed is impossible.
	OutOfRange
	// Unknown means that the instance is not registered.
	Unknown
)

// String returns the outcome as it appears in metrics.
func (o Outcome) String() string { return [...]string{"taken", "out_of_range", "unknown"}[o] }

// estimate averages the logarithms of samples. All gateways continue one estimate: samples counts those of all
// gateways that it contains, and the one with more of them replaces the other.
type estimate struct {
	log     float64
	samples uint32
	// variance is that of log in units of the variance of one sample.
	variance float64
	// run is the number of consecutive samples that deviate to one side by changeFactor, negative for slower ones.
	run int
	// sentLog and sentSamples are the values last sent to another gateway.
	sentLog     float64
	sentSamples uint32
}

func (e *estimate) observe(sample float64) {
	value := math.Log(sample)
	if e.samples == 0 {
		e.log, e.samples, e.variance = value, 1, 1
		return
	}
	deviation := min(maxDeviation, max(-maxDeviation, value-e.log))
	e.extendRun(deviation, 1)
	e.samples++
	weight := 1 / float64(min(e.samples, averagedSamples))
	if e.changed() {
		weight = max(weight, changeWeight)
	}
	e.log += weight * deviation
	e.count(weight)
}

// extendRun counts n samples of a mean deviation in the run.
func (e *estimate) extendRun(deviation float64, n int) {
	threshold := logChangeFactor
	if e.changed() {
		threshold = logFollowFactor
	}
	sign := 1
	if deviation < 0 {
		sign = -1
	}
	switch {
	case math.Abs(deviation) < threshold:
		e.run = 0
	case e.run*sign < 0:
		e.run = sign * min(n, changeRun)
	default:
		e.run = sign * min(e.run*sign+n, 2*changeRun)
	}
}

// changed reports whether the run shows that the speed has changed.
func (e *estimate) changed() bool { return e.run >= changeRun || e.run <= -changeRun }

// merge takes another gateway's estimate if it has more samples. What these samples deviated follows from the
// difference, so that a change is also found if each gateway has seen few of them. The noise has part in it.
func (e *estimate) merge(other Estimate, pool *noise) {
	value := math.Log(other.Speed)
	switch {
	case other.Samples < e.samples:
	case other.Samples == e.samples:
		// Both gateways had a sample at the same time.
		e.log = (e.log + value) / 2
	default:
		known := e.samples > 0
		if known {
			n := other.Samples - e.samples
			e.extendRun((value-e.log)*float64(min(other.Samples, averagedSamples))/float64(n), int(min(n, changeRun)))
		}
		variance, change := e.countMerged(other.Samples), value-e.log
		if known && !e.changed() {
			pool.add(change * change / variance)
		}
		e.log, e.samples = value, other.Samples
	}
}

func (e *estimate) export() Estimate {
	if e.samples == 0 {
		return Estimate{}
	}
	return Estimate{Speed: math.Exp(e.log), Samples: e.samples}
}

// entry holds what is known of one instance.
type entry struct {
	key       Key
	service   string
	estimates [numKinds]estimate
	// pushes is the number of messages that the estimates are still to be sent in. justSent is set while
	// a message is made that holds them.
	pushes   int
	justSent bool
}

// known reports whether there are samples of any kind.
func (e *entry) known() bool {
	return e.estimates[Prefill].samples > 0 || e.estimates[Decode].samples > 0
}

// service holds the speeds of a service's instances.
type service struct {
	// medians holds the medians of the logarithms by kind, and measured the number of instances behind them.
	medians  [numKinds]float64
	measured [numKinds]int
	// noise is that of the samples, and shrinkage the number of samples that the expected speed counts for.
	noise     [numKinds]noise
	shrinkage [numKinds]float64
	// fastest is the highest expected decode speed, as a deviation from the median.
	fastest float64
	inUse   bool
}

// Book holds the estimates of the registered instances. It is not safe for concurrent use.
type Book struct {
	entries map[Key]*entry
	// order holds the entries in the order in which they were last sent, those that never were first.
	order    []*entry
	services map[string]*service
	budget   exportBudget
}

// NewBook returns a book without instances.
func NewBook() *Book { return &Book{entries: map[Key]*entry{}, services: map[string]*service{}} }

// SetInstances sets the registered instances. The estimates of all others are dropped.
func (b *Book) SetInstances(instances []Instance) {
	next := make(map[Key]*entry, len(instances))
	services := make(map[string]*service)
	var order []*entry
	for _, instance := range instances {
		e := b.entries[instance.Key]
		if e == nil || e.service != instance.Service {
			e = &entry{key: instance.Key, service: instance.Service}
			order = append(order, e)
		}
		next[instance.Key] = e
		if services[instance.Service] == nil {
			services[instance.Service] = b.services[instance.Service]
			if services[instance.Service] == nil {
				services[instance.Service] = &service{}
			}
		}
	}
	for _, e := range b.order {
		if next[e.key] == e {
			order = append(order, e)
		}
	}
	b.entries, b.order, b.services = next, order, services
}

// Observe records a sample of an instance's speed.
func (b *Book) Observe(key Key, kind Kind, speed float64) Outcome {
	e := b.entries[key]
	if e == nil {
		return Unknown
	}
	if !(Estimate{Speed: speed, Samples: 1}).valid(kind) {
		return OutOfRange
	}
	s := b.services[e.service]
	if kind == Decode && s.measured[kind] >= medianInstances {
		if ratio := speed / math.Exp(s.medians[kind]); ratio < MinFactor || ratio > MaxFactor {
			return OutOfRange
		}
	}
	s.noise[kind].addSample(&e.estimates[kind], speed)
	e.estimates[kind].observe(speed)
	return Taken
}

// Merge merges the estimates of another gateway. It ignores impossible ones and returns their number. Those
// of instances that are not registered are ignored too, since they are sent again.
func (b *Book) Merge(records []Record) (impossible int) {
	for _, r := range records {
		e := b.entries[r.Key]
		for kind, estimate := range r.Estimates {
			switch {
			case !estimate.valid(Kind(kind)):
				impossible++
			case e != nil && estimate.Samples > 0:
				e.estimates[kind].merge(estimate, &b.services[e.service].noise[kind])
			}
		}
	}
	return impossible
}

// Evaluate computes the medians of the services and decides where speeds are in use. It returns the services
// for which that changed, sorted.
func (b *Book) Evaluate() (changed []string) {
	byService := make(map[string]*[numKinds][]measurement, len(b.services))
	for name := range b.services {
		byService[name] = &[numKinds][]measurement{}
	}
	for _, e := range b.entries {
		lists := byService[e.service]
		for kind := range e.estimates {
			if estimate := &e.estimates[kind]; estimate.samples > 0 {
				lists[kind] = append(lists[kind], measurement{estimate.log, 1 / estimate.variance})
			}
		}
	}
	for name, s := range b.services {
		var kinds [numKinds]evidence
		spread := 0.0
		for kind, list := range byService[name] {
			kinds[kind] = assess(list, &s.noise[kind])
			spread = max(spread, kinds[kind].spread)
			s.medians[kind], s.measured[kind], s.shrinkage[kind] = median(list), len(list), kinds[kind].shrinkage
		}
		limit := useRatio
		if s.inUse {
			limit = endRatio
		}
		inUse := spread >= math.Log(limit) && significant(kinds, s.inUse)
		s.fastest = 0
		for _, m := range byService[name][Decode] {
			s.fastest = max(s.fastest, (m.log-s.medians[Decode])*m.weight/(m.weight+s.shrinkage[Decode]))
		}
		if inUse != s.inUse {
			s.inUse = inUse
			changed = append(changed, name)
		}
	}
	slices.SortFunc(changed, cmp.Compare)
	return changed
}

// median returns the median of a sorted list, 0 for an empty one.
func median(list []measurement) float64 {
	if len(list) == 0 {
		return 0
	}
	middle := len(list) / 2
	if len(list)%2 == 1 {
		return list[middle].log
	}
	return (list[middle-1].log + list[middle].log) / 2
}

// InUse reports whether choices among a service's instances are to regard their speeds, as of the last Evaluate.
func (b *Book) InUse(name string) bool { return b.services[name] != nil && b.services[name].inUse }

// Speeds are the lasting speeds of an instance.
type Speeds struct {
	// Prefill is a factor of the nominal speed, Decode one of the median of the service.
	Prefill, Decode float64
	// Relative is Prefill as a factor of the median of the service.
	Relative float64
	// Behind is the factor by which the fastest measured instance of the service decodes faster.
	Behind float64
	// Measured is set once there is a sample of any kind.
	Measured bool
}

// Speeds returns the speeds of an instance, as of the last Evaluate of its service. What is expected before the first
// sample of a kind counts as one sample, and as more if the variance of the samples is greater than that between the
// instances: the speed of the other kind, since what makes an engine fast serves both, or the median of the service.
func (b *Book) Speeds(key Key) Speeds {
	e := b.entries[key]
	if e == nil {
		return Speeds{Prefill: 1, Decode: 1, Relative: 1, Behind: 1}
	}
	s := b.services[e.service]
	prefill, decode := s.deviation(e, Prefill), s.deviation(e, Decode)
	speeds := Speeds{Relative: bounded(math.Exp(prefill.expected(decode))), Decode: bounded(math.Exp(decode.expected(prefill)))}
	speeds.Prefill = bounded(speeds.Relative * math.Exp(s.medians[Prefill]))
	speeds.Behind = bounded(max(1, math.Exp(s.fastest)/speeds.Decode))
	speeds.Measured = e.known()
	return speeds
}

// deviation is how much an estimate deviates from the median of its service, as a logarithm, its samples, and the number
// of samples that the expected deviation counts for.
type deviation struct{ log, samples, shrinkage float64 }

func (s *service) deviation(e *entry, kind Kind) deviation {
	estimate := &e.estimates[kind]
	if estimate.samples == 0 || s.measured[kind] == 0 {
		return deviation{shrinkage: minShrinkage}
	}
	return deviation{estimate.log - s.medians[kind], float64(min(estimate.samples, averagedSamples)), s.shrinkage[kind]}
}

// expected returns the deviation to expect, given that of the other kind.
func (d deviation) expected(other deviation) float64 {
	prior := other.log * other.samples / (other.samples + other.shrinkage)
	return (d.log*d.samples + prior*d.shrinkage) / (d.samples + d.shrinkage)
}

func bounded(factor float64) float64 { return min(MaxFactor, max(MinFactor, factor)) }
