package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus metrics of a gateway.
type metrics struct {
	requests       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	firstEvent     prometheus.Histogram
	refusals       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	losses         *prometheus.CounterVec
	retriesRefused *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	peerExchanges  *prometheus.CounterVec
	probes         *prometheus.CounterVec
	copyOrders     *prometheus.CounterVec
	runLookups     *prometheus.CounterVec
	connections    prometheus.Counter
	strayResponses prometheus.Counter
	targetsDown    prometheus.Counter
	lateTicks      prometheus.Counter
	targets        prometheus.Gauge
	configVersion  prometheus.Gauge
	targetCrashes  prometheus.Counter
}

// latencyBuckets, in seconds, range from a response within the zone to the longest stream.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.5, 3, 4.5, 7, 12, 25}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleygap_gateway_" + name, Help: help})
	}
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleygap_gateway_" + name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "bramleygap_gateway_" + name, Help: help})
	}
	m := &metrics{
		requests: counterVec("requests_total", "Requests by route kind and outcome.", "kind", "outcome"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bramleygap_gateway_request_seconds", Help: "Time from the arrival of a request to its completion.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramleygap_gateway_first_event_seconds", Help: "Time from the arrival of a streaming request to its first event.", Buckets: latencyBuckets,
		}),
		refusals:       counterVec("refusals_total", "Requests that the gateway itself answered with an error, by result code.", "code"),
		attempts:       counterVec("call_attempts_total", "Attempts of non-streaming requests by result.", "result"),
		losses:         counterVec("stream_losses_total", "Stream attempts that ended before completion, by cause.", "loss"),
		retriesRefused: counterVec("retries_refused_total", "Retries not made because the retry budget was exhausted.", "service"),
		storeCalls:     counterVec("store_calls_total", "Calls to the store by table and outcome.", "table", "outcome"),
		peerExchanges:  counterVec("peer_exchanges_total", "State exchanges with other gateways by outcome.", "outcome"),
		probes:         counterVec("probes_total", "Target probes by outcome.", "outcome"),
		runLookups:     counterVec("runs_sought_total", "Lookups of the earlier run of a resumed stream, by where its record was found.", "from"),
		copyOrders:     counterVec("copy_orders_total", "Requests to copy or release the KV cache of a run, by outcome.", "outcome"),
		connections:    counter("target_connections_total", "Connections opened to targets."),
		strayResponses: counter("stray_answers_total", "Responses dropped because they answer another request."),
		targetsDown:    counter("targets_down_total", "Times that a target was found unreachable."),
		lateTicks:      counter("late_ticks_total", "Event loop ticks so late that the process must have been suspended."),
		targets:        gauge("targets", "Registered targets."),
		configVersion:  gauge("config_version", "Version of the desired state in use."),
		targetCrashes:  counter("target_crashes_total", "Target crashes attributed to running requests."),
	}
	r.MustRegister(m.requests, m.duration, m.firstEvent, m.refusals, m.attempts, m.losses, m.retriesRefused, m.storeCalls,
		m.peerExchanges, m.probes, m.copyOrders, m.runLookups, m.connections, m.strayResponses, m.targetsDown, m.lateTicks, m.targets, m.configVersion, m.targetCrashes)
	return m
}
