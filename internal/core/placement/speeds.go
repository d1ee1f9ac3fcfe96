package placement

import (
	"time"

	"bramleygap/internal/core/speed"
)

const (
	// minSampleTokens is the least prompt whose reading gives a sample: the rest of the time to the first event
	// varies by some 20 ms.
	minSampleTokens = 1000
	// decodeReference is the gap between events at the reference speed of decode. Any value serves, as
	// speeds are divided by the median of their service.
	decodeReference = 30 * time.Millisecond
	// stepShare is the part by which each further stream lengthens an engine's step: 0.1 of 4.34 to 6.45 ms. With the
	// 10 streams that an engine's memory holds, the error of this mean is below 5%.
	stepShare = 0.02
	// unseenPrompts is the cost of a target that another gateway prefers, in prompts read at nominal speed, where targets
	// are chosen by their speeds and maxFullMesh gateways share them. An idle fast target is cheaper than an idle slow one
	// by more than nonPreferredCost, so that all gateways would choose it before they hear of each other's prompts. That
	// takes longer the more gateways there are. 1.5 prompts are about the difference between 0.7 and 1.7 times the nominal
	// speed and a further prompt; with 1 prompt, some 1% of 75 streams/s over 110 engines still were late at 30 gateways.
	unseenPrompts = 1.5
)

// speedSampling is what the fleet keeps of a stream for samples of its target's speeds.
type speedSampling struct {
	// alone is set if no other prompt was known to be pending since the stream began.
	alone bool
	// quiet is set if no prompt was pending at the target when the current window of gaps began.
	quiet bool
}

// SampleCounts counts samples by kind and outcome since the fleet was created.
type SampleCounts [2][3]uint64

// UseSpeeds lets the fleet estimate the lasting speeds of targets and use them where those of a service differ.
// It is called before the first Update.
func (f *Fleet) UseSpeeds() { f.speeds = speed.NewBook() }

// updateSpeeds is called when the registered targets have changed.
func (f *Fleet) updateSpeeds() {
	if f.speeds == nil {
		return
	}
	instances := make([]speed.Instance, len(f.order))
	for i, t := range f.order {
		instances[i] = speed.Instance{Key: t.speedKey(), Service: t.reg.Service}
	}
	f.speeds.SetInstances(instances)
	f.applySpeeds()
}

// EvaluateSpeeds applies what was measured and merged since the last call to the choices. It returns the services
// in which speeds have come into use or are no longer.
func (f *Fleet) EvaluateSpeeds() (changed []string) {
	if f.speeds == nil {
		return nil
	}
	changed = f.speeds.Evaluate()
	f.applySpeeds()
	return changed
}

func (f *Fleet) applySpeeds() {
	var lasting []speed.Speeds
	for i, t := range f.order {
		t.lasting = nil
		if f.speeds.InUse(t.reg.Service) {
			if lasting == nil {
				lasting = make([]speed.Speeds, len(f.order))
			}
			lasting[i] = f.speeds.Speeds(t.speedKey())
			t.lasting = &lasting[i]
		}
	}
}

// SpeedsInUse reports whether choices among a service's targets regard their speeds.
func (f *Fleet) SpeedsInUse(service string) bool { return f.speeds != nil && f.speeds.InUse(service) }

// ExportSpeeds returns the estimates for a message to another gateway.
func (f *Fleet) ExportSpeeds(now time.Time) []speed.Record {
	if f.speeds == nil {
		return nil
	}
	return f.speeds.Export(now)
}

// MergeSpeeds merges the estimates of another gateway and returns the number of impossible ones, which it ignores.
func (f *Fleet) MergeSpeeds(records []speed.Record) (impossible int) {
	if f.speeds == nil {
		return 0
	}
	return f.speeds.Merge(records)
}

// SampleCounts returns the number of samples so far.
func (f *Fleet) SampleCounts() SampleCounts { return f.samples }

func (t *targetState) speedKey() speed.Key {
	return speed.Key{Target: uint32(t.key), Start: uint32(t.reg.StartUnixMS)}
}

// slowdown returns the factor by which the target reads prompts more slowly than nominal: by its lasting speed, and by
// what delays it now.
func (t *targetState) slowdown(now time.Time) float64 {
	slowness := t.slowness.get(now)
	if t.lasting != nil {
		slowness /= t.lasting.Prefill
	}
	return slowness
}

// takes returns the time in which the target reads the tokens of a prompt and then does what takes the time producing
// at a target of the median speed. All estimates of a target's time use it.
func (t *targetState) takes(now time.Time, tokens int, producing time.Duration) time.Duration {
	if t.lasting != nil {
		producing = time.Duration(float64(producing) / t.lasting.Decode)
	}
	return prefillTime(tokens, t.slowdown(now)) + producing
}

// NominalTime returns how long a target of the median speed takes to produce what took a time at the given one.
func (f *Fleet) NominalTime(id string, took time.Duration) time.Duration {
	if t := f.targets[id]; t != nil && t.lasting != nil {
		return time.Duration(float64(took) * t.lasting.Decode)
	}
	return took
}

// streamCapacity returns the memory in tokens that streams may fill: less at a target that is slower than the median, so
// that it has fewer of them at once.
func (t *targetState) streamCapacity() int {
	if t.lasting == nil {
		return t.memoryCapacity
	}
	return int(float64(t.memoryCapacity) * min(1, t.lasting.Decode, t.lasting.Relative))
}

// nonPreferredCost returns the cost of a target that another gateway prefers.
func (f *Fleet) nonPreferredCost(t *targetState, uncached GenerationSize) time.Duration {
	if t.lasting == nil || !SharesAll(len(f.gateways)) {
		return nonPreferredCost
	}
	unseen := unseenPrompts * float64(len(f.gateways)-1) / (maxFullMesh - 1)
	return max(nonPreferredCost, time.Duration(unseen*float64(prefillTime(uncached.PromptTokens, 1))))
}

// untried reports whether the speed of a target is unknown while it reads a prompt of this gateway. It then gets no
// further one: nobody knows when it would begin to read that.
func (t *targetState) untried() bool {
	if t.lasting == nil || t.lasting.Measured {
		return false
	}
	for _, s := range t.streams {
		if s.prefilling {
			return true
		}
	}
	return false
}

// usualLatency returns the usual latency of a target's calls, given that of the fastest target.
func (t *targetState) usualLatency(fastest time.Duration) time.Duration {
	if t.lasting == nil {
		return fastest
	}
	return time.Duration(float64(fastest) * t.lasting.Behind)
}

// sound reports whether a target has been without trouble since a time, so that its speed can be measured.
func (t *targetState) sound(now, since time.Time) bool {
	return !t.downUntil.After(since) && !now.Before(t.leavingUntil) && !t.isReplaced() && (t.notice == nil || !t.notice.Holds(now)) &&
		!t.hangs(now) && t.failures.get(now) <= failureThreshold
}

func (f *Fleet) observeSpeed(t *targetState, kind speed.Kind, value float64) {
	f.samples[kind][f.speeds.Observe(t.speedKey(), kind, value)]++
}

// beginSampling is called before a stream is added to a target.
func (f *Fleet) beginSampling(now time.Time, t *targetState, size GenerationSize) speedSampling {
	if f.speeds == nil || size.PromptTokens == 0 {
		return speedSampling{}
	}
	for _, other := range t.streams {
		other.sampling.alone = false
	}
	return speedSampling{alone: size.PromptTokens >= minSampleTokens && f.backlog(now, t) == 0}
}

// samplePrefill samples the speed of prefill at the first event of a stream.
func (f *Fleet) samplePrefill(now time.Time, t *targetState, s *stream) {
	if f.speeds == nil {
		return
	}
	f.expireReports(now)
	others := t.reported.backlog(now)
	s.sampling.quiet = others == 0 && s.sampling.alone
	if !s.sampling.alone || others > 0 || !t.sound(now, s.started) {
		return
	}
	reading := max(time.Millisecond, now.Sub(s.started)-firstEventOverhead)
	nominal := prefillTime(s.size.PromptTokens, 1)
	f.observeSpeed(t, speed.Prefill, float64(nominal)/float64(reading))
}

// RecordGap records the lower quartile of the gaps between the events of a stream since the last one. It counts
// for the speed of the target unless prompts were pending at both ends of that time.
func (f *Fleet) RecordGap(now time.Time, id string, streamID uint64, gap time.Duration) {
	t := f.targets[id]
	if f.speeds == nil || t == nil || t.streams[streamID] == nil || gap <= 0 {
		return
	}
	s := t.streams[streamID]
	quietBefore := s.sampling.quiet
	s.sampling.quiet = f.backlog(now, t) == 0
	if !quietBefore && !s.sampling.quiet || !t.sound(now, s.started) {
		return
	}
	_, streams, _ := f.totalLoad(now, t)
	f.observeSpeed(t, speed.Decode, float64(decodeReference)/float64(gap)*(1+stepShare*float64(max(1, streams)-1)))
}

// sampleCall samples the speed of a plain service's target. Calls beside others of this gateway do not count, since
// they may have waited for each other.
func (f *Fleet) sampleCall(now time.Time, t *targetState, latency time.Duration) {
	if f.speeds == nil || t.activeCalls > 0 {
		return
	}
	if usual, ok := t.latencies.Add(latency); ok && t.sound(now, now) {
		f.observeSpeed(t, speed.Decode, float64(decodeReference)/float64(max(usual, time.Microsecond)))
	}
}
