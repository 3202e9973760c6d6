package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
}

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
	}
	registry.MustRegister(m.requests, m.duration, m.firstAnswer, m.leavingServers, m.limitChanges, m.pauseRequests, m.brokenExchanges, m.predictionError)
	return m
}

// ObserveRequest records the result code and the duration of a request that has ended.
func (m *Metrics) ObserveRequest(code result.Code, elapsed time.Duration) {
	m.requests.WithLabelValues(strconv.Itoa(int(code))).Inc()
	m.duration.Observe(elapsed.Seconds())
}

// ObserveBroken records an exchange that ended before its answer was complete.
func (m *Metrics) ObserveBroken(end upstream.End, begun bool) {
	m.brokenExchanges.WithLabelValues(string(end), strconv.FormatBool(begun)).Inc()
}
