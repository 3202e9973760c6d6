// Package metrics holds the Prometheus metrics of a process. The page
// docs/METRICS.md lists them.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/policy/result"
)

const namespace = "persimmonwind"

// latencyBuckets are the upper bounds of the histogram buckets, in seconds.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.83, 1, 2.5, 5, 10, 30, 60}

// Metrics holds the metrics of one process in a registry of their own.
type Metrics struct {
	registry         *prometheus.Registry
	requestsTotal    *prometheus.CounterVec
	requestSeconds   *prometheus.HistogramVec
	firstByteSeconds *prometheus.HistogramVec
}

// New returns the metrics of a process. state returns its current control state.
func New(state func() control.State) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requestsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests answered, by route and numbered result code.",
		}, []string{"route", "code"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Buckets: latencyBuckets,
			Help: "Time from a request to the end of its answer, in seconds.",
		}, []string{"route"}),
		firstByteSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_byte_seconds", Buckets: latencyBuckets,
			Help: "Time from a request to the first byte of its answer, in seconds.",
		}, []string{"route"}),
	}
	m.registry.MustRegister(m.requestsTotal, m.requestSeconds, m.firstByteSeconds)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerStateGauges(state)
	return m
}

// registerStateGauges registers the gauges that are read from the control state.
func (m *Metrics) registerStateGauges(state func() control.State) {
	gauge := func(name, help string, value func(control.State) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return value(state()) },
		))
	}
	gauge("revision", "Configuration revision in force at this process.",
		func(s control.State) float64 { return float64(s.View.Revision()) })
	gauge("leaving", "1 while the process is stopping.",
		func(s control.State) float64 { return boolToFloat(s.Leaving) })
	gauge("admission_limit", "Concurrent requests that the agent admits.",
		func(s control.State) float64 { return float64(s.Admission.Limit) })
	gauge("admission_running", "Requests that the agent has admitted and that have not ended.",
		func(s control.State) float64 { return float64(s.Admission.Running) })
	gauge("admission_queued", "Requests that wait at the agent.",
		func(s control.State) float64 { return float64(s.Admission.Queued) })
	gauge("backend_cold", "1 while the agent considers its backend server to be in cold start.",
		func(s control.State) float64 { return boolToFloat(s.Admission.Cold) })
	gauge("backend_down", "1 while the agent can't reach its backend server.",
		func(s control.State) float64 { return boolToFloat(s.Admission.Down) })
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// RegisterInFlight registers the gauge of requests in flight. count returns their
// number.
func (m *Metrics) RegisterInFlight(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: "in_flight_requests", Help: "Requests that the process is working on."},
		func() float64 { return float64(count()) },
	))
}

// Registry returns the registry, to which callers may add further metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// ObserveFirstByte records the time from a request to the first byte of its
// answer.
func (m *Metrics) ObserveFirstByte(route string, elapsed time.Duration) {
	m.firstByteSeconds.WithLabelValues(route).Observe(elapsed.Seconds())
}

// ObserveRequest records one answered request and the time until the end of its
// answer.
func (m *Metrics) ObserveRequest(route string, code result.Code, elapsed time.Duration) {
	m.requestsTotal.WithLabelValues(route, strconv.Itoa(int(code))).Inc()
	m.requestSeconds.WithLabelValues(route).Observe(elapsed.Seconds())
}

// Handler returns the HTTP handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
