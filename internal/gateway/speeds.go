package gateway

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/speed"
	"bramleygap/internal/wire"
)

const (
	// speedEvaluationInterval is the time between two evaluations of the measured speeds.
	speedEvaluationInterval = 500 * time.Millisecond
	// slowDelivery is the time to pass an event on from which on the next gap counts for the client, not for the target.
	slowDelivery = 5 * time.Millisecond
)

// speedReports is what the event loop keeps to report on speeds.
type speedReports struct {
	evaluatedAt time.Time
	// counted holds the samples that are in the metrics.
	counted placement.SampleCounts
}

// configurePlacement applies the settings of the choice of targets.
func (st *state) configurePlacement() {
	if st.settings.Placement.EngineSpeeds {
		st.fleet.UseSpeeds()
	}
	st.fleet.SetZoneTransferCost(st.settings.Placement.ZoneTransferCost.Duration)
}

// evaluateSpeeds applies the speeds that were measured and merged to the choice of targets.
func (l *eventLoop) evaluateSpeeds(st *state, now time.Time) {
	if !st.settings.Placement.EngineSpeeds || now.Sub(st.speeds.evaluatedAt) < speedEvaluationInterval {
		return
	}
	st.speeds.evaluatedAt = now
	for _, service := range st.fleet.EvaluateSpeeds() {
		inUse := st.fleet.SpeedsInUse(service)
		l.log.Info().Str("service", service).Bool("in_use", inUse).Msg("use of the measured speeds of the service's targets has changed")
		value := 0.0
		if inUse {
			value = 1
		}
		l.metrics.speedsInUse.WithLabelValues(service).Set(value)
	}
	counts := st.fleet.SampleCounts()
	for kind := range counts {
		for outcome, n := range counts[kind] {
			counter := l.metrics.speedSamples.WithLabelValues(speed.Kind(kind).String(), speed.Outcome(outcome).String())
			counter.Add(float64(n - st.speeds.counted[kind][outcome]))
		}
	}
	st.speeds.counted = counts
}

// mergeSpeeds merges the speeds in a message of another gateway.
func (l *eventLoop) mergeSpeeds(st *state, now time.Time, remote *wire.GatewayState) {
	if remote.PackedSpeeds == nil || !st.settings.Placement.EngineSpeeds {
		return
	}
	records, ok := unpackSpeeds(remote.PackedSpeeds)
	impossible := 1
	if ok {
		impossible = st.fleet.MergeSpeeds(records)
	}
	l.ignoreInvalid(st, now, remote.Name, "speeds", impossible)
}

// permille is the unit of speeds in messages.
const permille = 1000

// packSpeeds encodes speeds, nil if there are none.
func packSpeeds(records []speed.Record) *wire.PackedSpeeds {
	if len(records) == 0 {
		return nil
	}
	packed := &wire.PackedSpeeds{}
	for i := range records {
		r := &records[i]
		prefill, decode := r.Estimates[speed.Prefill], r.Estimates[speed.Decode]
		packed.Targets, packed.Starts = append(packed.Targets, r.Target), append(packed.Starts, r.Start)
		packed.PrefillPermille = append(packed.PrefillPermille, uint32(prefill.Speed*permille+0.5))
		packed.DecodePermille = append(packed.DecodePermille, uint32(decode.Speed*permille+0.5))
		packed.PrefillSamples = append(packed.PrefillSamples, prefill.Samples)
		packed.DecodeSamples = append(packed.DecodeSamples, decode.Samples)
	}
	return packed
}

// unpackSpeeds decodes speeds. It returns false if the lists differ in length or are too long.
func unpackSpeeds(packed *wire.PackedSpeeds) ([]speed.Record, bool) {
	n := len(packed.Targets)
	if n > speed.MaxRecords || len(packed.Starts) != n || len(packed.PrefillPermille) != n || len(packed.DecodePermille) != n ||
		len(packed.PrefillSamples) != n || len(packed.DecodeSamples) != n {
		return nil, false
	}
	records := make([]speed.Record, n)
	for i := range records {
		records[i] = speed.Record{Key: speed.Key{Target: packed.Targets[i], Start: packed.Starts[i]}, Estimates: [2]speed.Estimate{
			speed.Prefill: {Speed: float64(packed.PrefillPermille[i]) / permille, Samples: packed.PrefillSamples[i]},
			speed.Decode:  {Speed: float64(packed.DecodePermille[i]) / permille, Samples: packed.DecodeSamples[i]},
		}}
	}
	return records, true
}

// newGaps returns what collects the gaps between the events of an attempt, nil if speeds are not estimated.
func (g *Gateway) newGaps() *speed.Gaps {
	if !g.options.Settings.Placement.EngineSpeeds {
		return nil
	}
	return &speed.Gaps{}
}

// recordArrival records that an event has arrived from the target.
func (a *attempt) recordArrival(at time.Time) {
	if a.gaps != nil && a.gaps.Add(at.Sub(a.startedAt)) {
		a.reportGaps()
	}
}

// recordProcessed is called when the stream has processed the event that arrived at a time.
func (a *attempt) recordProcessed(arrived time.Time) {
	if a.gaps != nil && a.deliveredAt.Sub(arrived) >= slowDelivery {
		a.gaps.SkipNext()
	}
}

// reportGaps passes on the gaps since the last report.
func (a *attempt) reportGaps() {
	if a.gaps == nil {
		return
	}
	gap, ok := a.gaps.Summary()
	if !ok {
		return
	}
	a.s.g.loop.post(a.s.g.ctx, func(st *state) {
		st.fleet.RecordGap(time.Now(), a.start.Placement.Target, a.streamID, gap)
	})
}

// recordDelivery records that an event was written to the client.
func (s *stream) recordDelivery(at time.Time) {
	s.machine.Delivery(at)
	if s.current != nil {
		s.current.deliveredAt = at
	}
}
