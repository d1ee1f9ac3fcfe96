package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	attempts        *prometheus.CounterVec
	refused         *prometheus.CounterVec
	orders          *prometheus.CounterVec
	preempted       *prometheus.CounterVec
	tokens          prometheus.Counter
	deaths          prometheus.Counter
	orphans         prometheus.Counter
	replicated      prometheus.Counter
	replicaFailures prometheus.Counter
	cacheGaps       prometheus.Counter
	rejectedConfigs prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, a *Agent) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: "bramleygap_agent_" + name, Help: help})
	}
	counterVec := func(name, label, help string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: "bramleygap_agent_" + name, Help: help}, []string{label})
	}
	gauge := func(name, help string, read func() float64) {
		factory.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleygap_agent_" + name, Help: help}, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return read()
		})
	}
	gauge("log_bytes", "Estimated memory of the token logs.", func() float64 { return float64(a.store.Bytes()) })
	gauge("running_attempts", "Attempts and calls that run or wait.", func() float64 { return float64(a.running) })
	gauge("waiting_attempts", "Attempts that wait for admission.", func() float64 { return float64(a.scheduler.Waiting()) })
	gauge("config_revision", "Adopted revision of the operator configuration.", func() float64 { return float64(a.adopted.Revision) })
	gauge("target_ready", "1 while the target runs and answers.", func() float64 {
		if a.target.ready() {
			return 1
		}
		return 0
	})
	return &metrics{
		attempts:        counterVec("attempts_total", "code", "Ended attempts by result code."),
		refused:         counterVec("refused_total", "code", "Refused Generate, Attach and Call requests by result code."),
		orders:          counterVec("orders_total", "code", "Orders by result code."),
		preempted:       counterVec("preempted_total", "member", "Attempts preempted by member."),
		tokens:          counter("tokens_total", "Tokens received from the engine."),
		deaths:          counter("target_deaths_total", "Deaths of the target."),
		orphans:         counter("orphans_cancelled_total", "Attempts cancelled because no entry followed them."),
		replicated:      counter("replicated_records_total", "Log records acknowledged by second agents."),
		replicaFailures: counter("replication_failures_total", "Failed batches of log records."),
		cacheGaps:       counter("cache_event_gaps_total", "Gaps in the engine's cache events."),
		rejectedConfigs: counter("rejected_configs_total", "Operator configurations that could not be parsed."),
	}
}
