package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/upstream"
)

// latencyBuckets are histogram bucket bounds in seconds, placed around the users'
// latency objectives.
var latencyBuckets = []float64{0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8}

// Metrics holds the gateway's request metrics.
type Metrics struct {
	requests    *prometheus.CounterVec // Ended requests, by result code.
	duration    prometheus.Histogram   // Time to the end of the answer.
	firstAnswer prometheus.Histogram   // Time to the first byte of the answer.

	leavingServers prometheus.Counter // Servers that have said in an answer that they stop soon.
	limitChanges   prometheus.Counter // Limits that servers have named or ended.
	pauseRequests  prometheus.Counter // Refusals by which servers asked for a pause.

	brokenExchanges *prometheus.CounterVec // Exchanges that servers ended before the answer was complete.

	predictionError prometheus.Histogram // Difference between the predicted and the actual time of a stream's first event.

	// Of services whose requests are scheduled by class. Levels are labelled by levelLabel.
	decisions    *prometheus.CounterVec // Decisions of dispatchers, by verdict, reason and level.
	refusals     *prometheus.CounterVec // Requests that were answered with a refusal, by reason and level.
	inFlight     *prometheus.GaugeVec   // Requests sent and not ended, by level.
	waiting      *prometheus.GaugeVec   // Requests that wait for a slot, by level.
	unreadTokens prometheus.Gauge       // Stated prompt tokens of requests in flight without a first event.
}

// maxLevelLabel is the last level with a label of its own; those after it share the label.
// The users' services have three levels, and a configuration may not add series at will.
const maxLevelLabel = 9

func levelLabel(level int) string { return strconv.Itoa(max(0, min(level, maxLevelLabel))) }

// NewMetrics registers the gateway's metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_requests_total",
			Help: "Requests that have ended, by numeric result code.",
		}, []string{"code"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "persimmonwind", Name: "gateway_request_seconds", Buckets: latencyBuckets,
			Help: "Time from a request to the end of its answer, in seconds.",
		}),
		firstAnswer: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "persimmonwind", Name: "gateway_first_answer_seconds", Buckets: latencyBuckets,
			Help: "Time from a request to the first byte of its answer, in seconds.",
		}),
		leavingServers: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_leaving_servers_total",
			Help: "Backend servers that have said in an answer that they stop soon.",
		}),
		limitChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_limit_changes_total",
			Help: "Times that backend servers have named a limit of requests a second, changed it, or no longer named one.",
		}),
		pauseRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_pause_requests_total",
			Help: "Refusals by which backend servers asked to get no requests for a while.",
		}),
		brokenExchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_broken_exchanges_total",
			Help: "Exchanges with backend servers that ended before the answer was complete, by how they ended and whether events had arrived.",
		}, []string{"end", "begun"}),
		predictionError: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "persimmonwind", Name: "gateway_first_event_error_seconds", Buckets: latencyBuckets,
			Help: "Difference between the predicted and the actual time of a stream's first event, in seconds.",
		}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_class_decisions_total",
			Help: "Decisions about requests of services that are scheduled by class, by verdict, reason and level; 0 is the most urgent level, 9 stands for all from the tenth on.",
		}, []string{"verdict", "reason", "level"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "gateway_class_refusals_total",
			Help: "Requests of services that are scheduled by class that were answered with a refusal, by the dispatcher's reason or the result code's name, and by level.",
		}, []string{"reason", "level"}),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "persimmonwind", Name: "gateway_class_in_flight_requests",
			Help: "Requests of this entry in flight at services that are scheduled by class, by level.",
		}, []string{"level"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "persimmonwind", Name: "gateway_class_waiting_requests",
			Help: "Requests that wait at this entry for a slot at services that are scheduled by class, by level.",
		}, []string{"level"}),
		unreadTokens: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "persimmonwind", Name: "gateway_class_unread_prompt_tokens",
			Help: "Prompt tokens, as callers state them, of requests of this entry that are in flight at services that are scheduled by class and have had no event yet.",
		}),
	}
	for _, byLevel := range []*prometheus.GaugeVec{m.inFlight, m.waiting} {
		byLevel.WithLabelValues(levelLabel(0))
	}
	registry.MustRegister(m.decisions, m.refusals, m.inFlight, m.waiting, m.unreadTokens)
	registry.MustRegister(m.requests, m.duration, m.firstAnswer, m.leavingServers, m.limitChanges, m.pauseRequests, m.brokenExchanges, m.predictionError)
	return m
}

// ObserveRequest records the result code and the duration of a request that has ended.
func (m *Metrics) ObserveRequest(code result.Code, elapsed time.Duration) {
	m.requests.WithLabelValues(strconv.Itoa(int(code))).Inc()
	m.duration.Observe(elapsed.Seconds())
}

// ObserveDecision records a dispatcher's decision about a request that is scheduled by class.
func (m *Metrics) ObserveDecision(decision dispatch.Decision) {
	m.decisions.WithLabelValues(verdictNames[decision.Verdict], decision.Reason, levelLabel(decision.Level)).Inc()
}

// ObserveRefusal records the refusal of a request that is scheduled by class.
func (m *Metrics) ObserveRefusal(reason string, level int) {
	m.refusals.WithLabelValues(reason, levelLabel(level)).Inc()
}

// ObserveBroken records an exchange that ended before its answer was complete.
func (m *Metrics) ObserveBroken(end upstream.End, begun bool) {
	m.brokenExchanges.WithLabelValues(string(end), strconv.FormatBool(begun)).Inc()
}
