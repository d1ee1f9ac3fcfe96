package generations

import (
	"github.com/prometheus/client_golang/prometheus"

	"bramleygap/internal/core/stream"
)

// resumeBuckets cover the range around the resume latency target of 3 s.
var resumeBuckets = []float64{0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5, 10, 30}

type metrics struct {
	resumes            *prometheus.CounterVec
	losses             *prometheus.CounterVec
	speculationWinners *prometheus.CounterVec
	duplicates         prometheus.Counter
	gaps               prometheus.Counter
	speculative        prometheus.Counter
	discarded          prometheus.Counter
	lateTicks          prometheus.Counter
	resumeLatency      prometheus.Histogram
	running            prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleygap_entry_" + name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleygap_entry_" + name, Help: help}, []string{label})
	}
	m := &metrics{
		resumes:            vector("resumes_total", "Generations whose output continued after a loss, by reason.", "reason"),
		losses:             vector("attempt_losses_total", "Attempts that were lost and are retried or replaced, by reason.", "reason"),
		speculationWinners: vector("speculative_winners_total", "Decided races between an inactive and a speculative attempt.", "winner"),
		duplicates:         counter("duplicate_tokens_total", "Tokens dropped because their index was already delivered."),
		gaps:               counter("token_gaps_total", "Attempts ended because a token index was missing."),
		speculative:        counter("speculative_attempts_total", "Speculative attempts started."),
		discarded:          counter("discarded_tokens_total", "Extra tokens that were generated and discarded."),
		lateTicks:          counter("late_ticks_total", "Ticks so late that inactivity timers were restarted."),
		resumeLatency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bramleygap_entry_resume_latency_seconds",
			Help:    "Time from the last sign of life of a lost attempt to the next token.",
			Buckets: resumeBuckets,
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleygap_entry_generations_running",
			Help: "Caller requests of generations in progress.",
		}),
	}
	registerer.MustRegister(m.resumes, m.losses, m.speculationWinners, m.duplicates, m.gaps,
		m.speculative, m.discarded, m.lateTicks, m.resumeLatency, m.running)
	return m
}

func (m *metrics) count(c stream.Count) {
	n := float64(c.N)
	switch c.Counter {
	case stream.CountDuplicates:
		m.duplicates.Add(n)
	case stream.CountGaps:
		m.gaps.Add(n)
	case stream.CountSpeculative:
		m.speculative.Add(n)
	case stream.CountSpeculationWinner:
		m.speculationWinners.WithLabelValues(c.Label).Add(n)
	case stream.CountDiscarded:
		m.discarded.Add(n)
	case stream.CountAttemptLosses:
		m.losses.WithLabelValues(c.Label).Add(n)
	}
}
