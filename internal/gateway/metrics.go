package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"bramleygap/internal/gateway/target"
)

// metrics holds the Prometheus metrics of a gateway.
type metrics struct {
	requests       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	firstEvent     prometheus.Histogram
	refusals       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	losses         *prometheus.CounterVec
	retriesRefused *prometheus.CounterVec
	retryTransfers *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	peerExchanges  *prometheus.CounterVec
	peerSeconds    *prometheus.HistogramVec
	linkBytes      *prometheus.CounterVec
	peerBytes      *prometheus.CounterVec
	exchangeBytes  *prometheus.CounterVec
	tableFetches   *prometheus.CounterVec
	probes         *prometheus.CounterVec
	copyOrders     *prometheus.CounterVec
	runLookups     *prometheus.CounterVec
	unframedEnds   *prometheus.CounterVec
	connections    prometheus.Counter
	strayResponses prometheus.Counter
	targetsDown    prometheus.Counter
	lateTicks      prometheus.Counter
	targets        prometheus.Gauge
	configVersion  prometheus.Gauge
	storeEra       prometheus.Gauge
	tableAge       *prometheus.GaugeVec
	targetStates   *prometheus.GaugeVec
	storeSeconds   *prometheus.HistogramVec
	targetCrashes  prometheus.Counter
	condemnedParts prometheus.Gauge
	partTrials     prometheus.Counter
	requestTrials  prometheus.Counter
	handlerPanics  prometheus.Counter
	notices        *prometheus.CounterVec
	withheld       *prometheus.CounterVec
	priorities     prometheus.Counter
	streamsWaiting prometheus.Gauge
	queuePlaces    *prometheus.CounterVec
	queueRefusals  *prometheus.CounterVec
	queueHeld      *prometheus.CounterVec
	invalidReports *prometheus.CounterVec
	// capacityDecisions and capacityFull are about what the gateway can carry.
	capacityDecisions *prometheus.CounterVec
	capacityFull      *prometheus.GaugeVec
	stalledClients    prometheus.Counter
	undeliveredBodies prometheus.Counter
	// The metrics of paced calls.
	pacedCalls    *prometheus.CounterVec
	pacedServices prometheus.Gauge
	callsWaiting  prometheus.Gauge
	speedSamples  *prometheus.CounterVec
	speedsInUse   *prometheus.GaugeVec
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
		requests: counterVec("requests_total", "Requests by kind of route and outcome.", "kind", "outcome"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bramleygap_gateway_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramleygap_gateway_first_event_seconds", Help: "Time from a stream's arrival to its first event.", Buckets: latencyBuckets,
		}),
		refusals:          counterVec("refusals_total", "Requests answered with a failure of the gateway's own, by result code.", "code"),
		attempts:          counterVec("call_attempts_total", "Attempts of short calls by result.", "result"),
		losses:            counterVec("stream_losses_total", "Attempts of streams that ended without completing, by loss.", "loss"),
		retriesRefused:    counterVec("retries_refused_total", "Retries not made because the budget was spent.", "service"),
		retryTransfers:    counterVec("retry_tokens_total", "Tokens of the retry budget that gateways gave each other, by direction.", "direction"),
		capacityDecisions: counterVec("capacity_decisions_total", "New requests that arrived while the gateway was full, by what happened to them and by reason.", "decision", "reason"),
		capacityFull: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleygap_gateway_full", Help: "1 while the gateway is full and refuses most new requests, by reason.",
		}, []string{"reason"}),
		stalledClients:    counter("stalled_clients_total", "Responses that ended because their client accepted no data."),
		storeCalls:        counterVec("store_calls_total", "Calls to the platform's store by table and outcome.", "table", "outcome"),
		peerExchanges:     counterVec("peer_exchanges_total", "Exchanges with other gateways by outcome.", "outcome"),
		linkBytes:         counterVec("link_bytes_total", "Bytes exchanged with clients, targets and other gateways, by direction.", "link", "direction"),
		peerBytes:         counterVec("peer_message_bytes_total", "Bytes of messages between gateways, without framing, by call and direction.", "call", "direction"),
		exchangeBytes:     counterVec("exchange_bytes_total", "Bytes of exchanged states that this gateway sent, without framing, by part.", "part"),
		tableFetches:      counterVec("table_fetches_total", "Tables fetched from other gateways, by table and outcome.", "table", "outcome"),
		probes:            counterVec("probes_total", "Probes of targets by outcome.", "outcome"),
		runLookups:        counterVec("runs_sought_total", "Searches for the run of a returning client by their outcome.", "outcome"),
		unframedEnds:      counterVec("unframed_ends_total", "Responses that ended with their connection, by whether their target still ran.", "target"),
		copyOrders:        counterVec("copy_orders_total", "Orders to copy a run's memory by outcome.", "outcome"),
		notices:           counterVec("target_notices_total", "Targets that said that they leave or asked for a pause, by kind of answer.", "notice", "source"),
		withheld:          counterVec("requests_withheld_total", "Requests not sent to the chosen target because it meanwhile left or asked for a pause, or because a part of their prompt crashes targets, by kind of route.", "kind"),
		priorities:        counter("invalid_priorities_total", "Priorities of accounts and routes that were out of range, by version of the desired state."),
		streamsWaiting:    gauge("streams_waiting", "Streams of ranked services that wait for a place."),
		queuePlaces:       counterVec("stream_queue_places_total", "Streams of ranked services that got a place, by when.", "when"),
		queueRefusals:     counterVec("stream_queue_refusals_total", "Streams of ranked services that left the queue without a place, by reason.", "reason"),
		queueHeld:         counterVec("stream_queue_held_total", "Streams of ranked services that engines had no room for when they were offered, by reason; once for each.", "reason"),
		invalidReports:    counterVec("invalid_reports_total", "Impossible values in reports of other gateways, by kind of report.", "report"),
		speedSamples:      counterVec("speed_samples_total", "Samples of the lasting speeds of targets, by kind and by what became of them.", "kind", "outcome"),
		connections:       counter("target_connections_total", "New connections to targets."),
		strayResponses:    counter("stray_answers_total", "Answers of targets that belong to another request."),
		targetsDown:       counter("targets_down_total", "Targets found unreachable."),
		handlerPanics:     counter("handler_panics_total", "Client requests whose handler panicked; their connections were closed."),
		lateTicks:         counter("late_ticks_total", "Ticks so late that the process must have been stopped."),
		targets:           gauge("targets", "Registered targets."),
		condemnedParts:    gauge("condemned_parts", "Prompt parts whose requests are rejected because they crash targets."),
		requestTrials:     counter("request_trials_total", "Rejected requests that were sent to find out whether they still crash targets."),
		partTrials:        counter("part_trials_total", "Requests with a condemned prompt part that were sent to find out whether it still crashes targets."),
		configVersion:     gauge("config_version", "Version of the desired state in force."),
		storeEra:          gauge("store_era", "Era of the store as of the last snapshot of a table. It rises when the store comes back from an older copy."),
		undeliveredBodies: counter("undelivered_bodies_total", "Requests whose target did not take their body before the deadline."),
		tableAge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleygap_gateway_table_age_seconds", Help: "Time since the store last confirmed the local copy of a table.",
		}, []string{"table"}),
		targetStates: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleygap_gateway_targets_by_state", Help: "Registered targets by what this gateway believes of them.",
		}, []string{"state"}),
		storeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bramleygap_gateway_store_call_seconds", Help: "Duration of reads from the store, with the time for which it holds them.", Buckets: latencyBuckets,
		}, []string{"table"}),
		peerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bramleygap_gateway_peer_call_seconds", Help: "Duration of calls to other gateways, also of failed ones.", Buckets: latencyBuckets,
		}, []string{"call"}),
		speedsInUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleygap_gateway_speeds_in_use", Help: "1 while the choice among a service's targets regards their measured speeds.",
		}, []string{"service"}),
		pacedCalls:    counterVec("paced_calls_total", "Attempts of calls at services whose calls wait for this gateway's share, by decision.", "decision"),
		pacedServices: gauge("paced_services", "Plain services whose calls wait for this gateway's share of the targets."),
		callsWaiting:  gauge("calls_waiting", "Calls that wait for this gateway's share of the targets."),
		targetCrashes: counter("target_crashes_total", "Crashes of targets that were attributed to running requests."),
	}
	r.MustRegister(m.requests, m.duration, m.firstEvent, m.refusals, m.attempts, m.losses, m.retriesRefused, m.storeCalls,
		m.peerExchanges, m.peerSeconds, m.linkBytes, m.peerBytes, m.exchangeBytes, m.tableFetches, m.probes, m.copyOrders, m.runLookups, m.unframedEnds, m.connections, m.strayResponses, m.targetsDown, m.lateTicks, m.targets, m.configVersion, m.storeEra, m.tableAge, m.targetStates, m.storeSeconds, m.targetCrashes, m.condemnedParts, m.partTrials, m.requestTrials, m.handlerPanics, m.notices, m.withheld, m.priorities, m.streamsWaiting, m.queuePlaces, m.queueRefusals, m.queueHeld, m.invalidReports,
		m.retryTransfers, m.capacityDecisions, m.capacityFull, m.stalledClients, m.undeliveredBodies,
		m.pacedCalls, m.pacedServices, m.callsWaiting, m.speedSamples, m.speedsInUse)
	return m
}

// observeHeld registers gauges of the bytes held for clients and targets that read slowly.
func (m *metrics) observeHeld(r prometheus.Registerer, clients, targets func() int64) {
	for side, held := range map[string]func() int64{"clients": clients, "targets": targets} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleygap_gateway_held_bytes", Help: "Bytes of writes that the other side has not accepted yet.", ConstLabels: prometheus.Labels{"side": side},
		}, func() float64 { return float64(held()) }))
	}
}

// observeMemory registers gauges of the memory that messages in progress have reserved.
func (m *metrics) observeMemory(r prometheus.Registerer, responses, bodies *target.Memory) {
	for of, memory := range map[string]*target.Memory{"responses": responses, "request_bodies": bodies} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleygap_gateway_reserved_bytes", Help: "Memory reserved for messages in progress.", ConstLabels: prometheus.Labels{"of": of},
		}, func() float64 { return float64(memory.Reserved()) }))
	}
}
