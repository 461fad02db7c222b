// Package telemetry holds the metrics of a daemon.
//
// Every metric is named ryecourse_*. No label carries a key. The invariant
// counters must stay zero.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/invariant"
)

// Metrics is the set of one daemon. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Request counts an answered or refused request of a customer.
func (m *Metrics) Request(service, customer, code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ryecourse_requests_total{service=%q,customer=%q,code=%q}`, service, customer, code)).Inc()
}

// Latency records the duration of a query of a service.
func (m *Metrics) Latency(service string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`ryecourse_query_seconds{service=%q}`, service)).Update(d.Seconds())
}

// Attempts counts the upstream requests of a query and how many were hedges.
func (m *Metrics) Attempts(service string, attempts, hedges int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ryecourse_attempts_total{service=%q}`, service)).Add(attempts)
	m.set.GetOrCreateCounter(fmt.Sprintf(`ryecourse_hedges_total{service=%q}`, service)).Add(hedges)
}

// Missing counts shards without an answer in partial answers.
func (m *Metrics) Missing(service string, shards int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ryecourse_missing_shards_total{service=%q}`, service)).Add(shards)
}

// Count adds to a counter without labels.
func (m *Metrics) Count(name string, n int) {
	m.set.GetOrCreateCounter("ryecourse_" + name).Add(n)
}

// Gauge registers a function that gives a current value.
func (m *Metrics) Gauge(name string, f func() float64) {
	m.set.GetOrCreateGauge("ryecourse_"+name, f)
}

// Write writes the page in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	for name, n := range invariant.Violations() {
		fmt.Fprintf(w, "ryecourse_invariant_violations_total{name=%q} %d\n", name, n)
	}
	metrics.WriteProcessMetrics(w)
}
