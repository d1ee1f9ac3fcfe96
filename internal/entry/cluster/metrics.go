package cluster

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"bramleygap/internal/result"
)

type metrics struct {
	revision         prometheus.Gauge
	rejectedConfigs  prometheus.Counter
	platformRequests *prometheus.CounterVec
	exchanges        *prometheus.CounterVec
	heartbeats       *prometheus.CounterVec
	watchReconnects  prometheus.Counter
	lateTicks        prometheus.Counter
	targets          *prometheus.GaugeVec
	withdrawn        prometheus.Gauge
	operatorResults  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: "bramleygap", Subsystem: "cluster", Name: name, Help: help})
	}
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Namespace: "bramleygap", Subsystem: "cluster", Name: name, Help: help}, labels)
	}
	gauge := prometheus.GaugeOpts{Namespace: "bramleygap", Subsystem: "cluster"}
	revision, withdrawn, targets := gauge, gauge, gauge
	revision.Name, revision.Help = "config_revision", "Revision of the operator configuration in force; 0 until one is adopted."
	withdrawn.Name, withdrawn.Help = "withdrawn_versions", "Versions withdrawn for good."
	targets.Name, targets.Help = "targets", "Targets by state: usable, leaving, suspected, not_ready."
	return &metrics{
		revision:         factory.NewGauge(revision),
		withdrawn:        factory.NewGauge(withdrawn),
		targets:          factory.NewGaugeVec(targets, []string{"state"}),
		rejectedConfigs:  counter("config_rejected_total", "Higher revisions that were not adopted because their text is invalid."),
		platformRequests: counterVec("platform_requests_total", "Requests to the platform by operation and outcome.", "operation", "outcome"),
		exchanges:        counterVec("peer_exchanges_total", "Exchanges started with other entries by outcome.", "outcome"),
		heartbeats:       counterVec("heartbeats_total", "Agent states received, by whether they were stale.", "outcome"),
		watchReconnects:  counter("watch_reconnects_total", "Watch streams that ended and were opened again."),
		lateTicks:        counter("late_ticks_total", "Own ticks that were so late that all agents got a new period of grace."),
		operatorResults:  counterVec("operator_results_total", "Operator requests by method and result code.", "method", "code"),
	}
}

func outcome(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

func (m *metrics) countPlatformRequest(operation string, err error) {
	m.platformRequests.WithLabelValues(operation, outcome(err)).Inc()
}

func (m *metrics) countOperator(method string, code result.Code) {
	m.operatorResults.WithLabelValues(method, code.String()).Inc()
}
