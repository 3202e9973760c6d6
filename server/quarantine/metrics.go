package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a quarantine.
type Metrics struct {
	crashes         prometheus.Counter // Crashes that this entry has observed.
	accusedParts    prometheus.Gauge   // Parts of prompts that are accused.
	accusedRequests prometheus.Gauge   // Requests that are accused by themselves.
}

// NewMetrics registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "quarantine_crashes_total",
			Help: "Backend servers that ended while they had unanswered requests of this entry.",
		}),
		accusedParts: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "persimmonwind", Name: "quarantine_accused_parts",
			Help: "Parts of prompts that crash backend servers, by the evidence of all entries.",
		}),
		accusedRequests: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "persimmonwind", Name: "quarantine_accused_requests",
			Help: "Requests that crash backend servers and come again, by the evidence of all entries.",
		}),
	}
	registry.MustRegister(m.crashes, m.accusedParts, m.accusedRequests)
	return m
}
