package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	runtimemetrics "runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"bramleygap/internal/core/capacity"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/gateway/target"
	"bramleygap/internal/settings"
)

const (
	// capacitySampleInterval is the interval of the samples. It is one period in which a gateway gets its
	// allowance of processor time.
	capacitySampleInterval = 100 * time.Millisecond
	// schedulingMetric has the times that tasks of the process waited for a processor, and delayQuantile is the
	// part of the tasks that may wait longer than what counts as the delay.
	schedulingMetric = "/sched/latencies:seconds"
	delayQuantile    = 0.1
	bytesPerMbit     = 1e6 / 8
)

// capacityMonitor finds out whether the gateway can take another request. Requests read its published state and
// need neither a lock nor the event loop. The zero value takes all requests.
type capacityMonitor struct {
	g *Gateway
	// full is the state while the gateway is full, nil otherwise.
	full atomic.Pointer[capacity.State]
	// arrivals counts the new requests that arrived while the gateway was full.
	arrivals atomic.Uint64
	// loopDelay is how long the last sample's message waited for the event loop, in ns.
	loopDelay atomic.Int64
	// sentToLoop is when the message was sent that the event loop has not handled yet, in ns since the gateway's
	// start; 0 for none.
	sentToLoop atomic.Int64
	// queueFullSince is when the first message was not sent because the event loop's queue is full, zero if the last
	// one was sent. It belongs to the task that takes samples.
	queueFullSince time.Time
	// boundsWriters is set if clients that accept nothing lose their streams.
	boundsWriters bool
}

// knowsCapacity reports whether the settings say what the gateway may use.
func knowsCapacity(s *settings.Gateway) bool { return s.ProcessorShare > 0 || s.LinkMbps > 0 }

// refuses reports whether a new request is refused because the gateway is full, and the delay to state to its client.
func (c *capacityMonitor) refuses() (retryAfter time.Duration, refused bool) {
	state := c.full.Load()
	if state == nil {
		return 0, false
	}
	if c.arrivals.Add(1)%capacity.AdmitEvery == 0 {
		c.g.metrics.capacityDecisions.WithLabelValues("admitted", state.Reason.String()).Inc()
		return 0, false
	}
	c.g.metrics.capacityDecisions.WithLabelValues("refused", state.Reason.String()).Inc()
	return state.Expected + rand.N(state.Expected), true
}

// run takes samples until ctx is canceled.
func (c *capacityMonitor) run(ctx context.Context, limits capacity.Limits) error {
	monitor := capacity.NewMonitor(time.Now(), limits)
	sampler := capacitySampler{c: c}
	sampler.take(time.Now(), 0)
	for due := time.Now().Add(capacitySampleInterval); ; due = time.Now().Add(capacitySampleInterval) {
		if sleep(ctx, time.Until(due)); ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		sample := sampler.take(now, now.Sub(due))
		c.publish(monitor.Observe(&sample), &sample)
	}
}

// publish puts a state into force.
func (c *capacityMonitor) publish(state capacity.State, sample *capacity.Sample) {
	before := c.full.Load()
	if state.Reason == capacity.None {
		c.full.Store(nil)
	} else {
		c.full.Store(&state)
	}
	if (before != nil) == (state.Reason != capacity.None) {
		return
	}
	event := c.g.log.Warn().Dur("delay", sample.Delay).Dur("processor", sample.Processor).Int64("sent", sample.Sent).
		Int64("held", sample.Held).Int64("active", c.g.activeRequests.Load())
	if before == nil {
		event.Stringer("reason", state.Reason).Msg("gateway is full; refusing most new requests")
	} else {
		event.Stringer("reason", before.Reason).Msg("gateway takes all requests again")
	}
	for _, r := range capacity.Reasons {
		value := 0.0
		if r == state.Reason {
			value = 1
		}
		c.g.metrics.capacityFull.WithLabelValues(r.String()).Set(value)
	}
}

// capacitySampler holds what the samples are compared with.
type capacitySampler struct {
	c         *capacityMonitor
	processor time.Duration
	sent      int64
	// latencies is read into, and counts are the counts of the sample before.
	latencies [1]runtimemetrics.Sample
	counts    []uint64
}

// take returns a sample that came late by a delay.
func (s *capacitySampler) take(now time.Time, late time.Duration) capacity.Sample {
	g := s.c.g
	processor, sent := processorTime(), g.loop.traffic.sent()
	sample := capacity.Sample{
		At: now, Delay: max(late, s.schedulingDelay(), s.c.eventLoopDelay(now)), Processor: processor - s.processor,
		Sent: sent - s.sent, Held: g.heldForClients() + g.heldForTargets(),
	}
	s.processor, s.sent = processor, sent
	return sample
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// schedulingDelay returns how long a tenth of the tasks that ran since the sample before had at least waited for it.
func (s *capacitySampler) schedulingDelay() time.Duration {
	s.latencies[0].Name = schedulingMetric
	runtimemetrics.Read(s.latencies[:])
	if s.latencies[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0
	}
	h := s.latencies[0].Value.Float64Histogram()
	if len(s.counts) != len(h.Counts) {
		s.counts = append([]uint64(nil), h.Counts...)
		return 0
	}
	total := uint64(0)
	for i, n := range h.Counts {
		n, s.counts[i] = n-s.counts[i], n
		h.Counts[i] = n
		total += n
	}
	rest := uint64(delayQuantile * float64(total))
	for i := len(h.Counts) - 1; i > 0; i-- {
		if h.Counts[i] > rest {
			return time.Duration(h.Buckets[i] * float64(time.Second))
		}
		rest -= h.Counts[i]
	}
	return 0
}

// eventLoopDelay returns how late the event loop is, and sends it the message that measures that.
func (c *capacityMonitor) eventLoopDelay(now time.Time) time.Duration {
	at := int64(now.Sub(c.g.startedAt))
	if sent := c.sentToLoop.Load(); sent != 0 {
		return time.Duration(at - sent)
	}
	delay := time.Duration(c.loopDelay.Swap(0))
	c.sentToLoop.Store(at)
	handle := func(*state) {
		c.loopDelay.Store(int64(time.Since(c.g.startedAt)) - at)
		c.sentToLoop.Store(0)
	}
	select {
	case c.g.loop.queue <- handle:
		c.queueFullSince = time.Time{}
	default:
		// The queue is full. The next sample tries again.
		c.sentToLoop.Store(0)
		if c.queueFullSince.IsZero() {
			c.queueFullSince = now
		}
		delay = max(delay, now.Sub(c.queueFullSince))
	}
	return delay
}

// heldForClients and heldForTargets return the bytes of writes that the other side has not accepted yet.
func (g *Gateway) heldForClients() int64 { return g.loop.traffic.clients.writing.Load() }

func (g *Gateway) heldForTargets() int64 { return g.pool.Writing() }

// observeUndelivered counts and logs a request whose target did not take its body before the deadline.
func (c *clientRequest) observeUndelivered(reg membership.Registration, conn *target.Conn) {
	if conn.RequestWritten() || time.Now().Before(c.deadline) {
		return
	}
	c.g.metrics.undeliveredBodies.Inc()
	c.log.Info().Str("target", reg.ID).Int("body", len(c.body)).Msg("target did not take the request's body before the deadline")
}

const (
	// minClientPatience, clientObjectives and clientGaps determine how long a client may accept nothing: the
	// longest of a time, a multiple of the route's objective and one of its longest gap. Clients give up then.
	minClientPatience = 2 * time.Second
	clientObjectives  = 4
	clientGaps        = 8
	// writePart is the number of bytes that a client must accept at a time.
	writePart = 32 << 10
)

// boundedWriter is a response whose client has a limited time to accept each part. It is used by one task.
type boundedWriter struct {
	http.ResponseWriter
	c          *clientRequest
	controller *http.ResponseController
	limit      time.Duration
	deadline   time.Time
}

// newBoundedWriter returns the writer of the response to a request.
func newBoundedWriter(w http.ResponseWriter, c *clientRequest) *boundedWriter {
	limit := max(minClientPatience, clientObjectives*c.route.TargetLatency, clientGaps*c.route.MaxEventGap)
	return &boundedWriter{ResponseWriter: w, c: c, controller: http.NewResponseController(w), limit: limit}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extend sets the time by which the next part must be accepted. It does so seldom, since most events follow within ms.
func (w *boundedWriter) extend() {
	now := time.Now()
	if w.deadline.Sub(now) >= w.limit {
		return
	}
	w.deadline = now.Add(w.limit + w.limit/4)
	if err := w.controller.SetWriteDeadline(w.deadline); err != nil {
		w.c.log.Debug().Err(err).Msg("time limit for the client's reading could not be set")
	}
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (written int, err error) {
	for first := true; first || len(p) > 0; first = false {
		w.extend()
		part := p[:min(len(p), writePart)]
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			w.observe(err)
			return written, err
		}
		p = p[len(part):]
	}
	return written, nil
}

// FlushError implements the flushing of http.ResponseController.
func (w *boundedWriter) FlushError() error {
	w.extend()
	err := w.controller.Flush()
	w.observe(err)
	return err
}

// observe counts and logs a client that did not read in time.
func (w *boundedWriter) observe(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.c.g.metrics.stalledClients.Inc()
	w.c.log.Info().Str("route", w.c.route.Name).Dur("limit", w.limit).Msg("client accepts no data; ending its response")
}
