// Package telemetry provides the metrics of a daemon of `ryecourse serve`.
//
// Metric names start with ryecourse_, except the process metrics. Labels hold only
// names from the configuration and codes of the program, so that callers can't
// create new label values, and never an API key. ryecourse_invariant_violations
// must stay zero.
package telemetry

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/invariant"
)

// Metrics is the set of metrics of one daemon. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// labelEscaper escapes label values as the Prometheus text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func label(name, value string) string {
	return name + `="` + labelEscaper.Replace(value) + `"`
}

// Request counts a request of a customer by its result code.
func (m *Metrics) Request(service, customer, code string) {
	m.set.GetOrCreateCounter(`ryecourse_requests_total{` + label("service", service) + "," + label("customer", customer) + "," + label("code", code) + "}").Inc()
}

// Latency records the duration of a query of a service.
func (m *Metrics) Latency(service string, d time.Duration) {
	m.set.GetOrCreateHistogram(`ryecourse_query_seconds{` + label("service", service) + "}").Update(d.Seconds())
}

// Attempts counts the upstream requests of a query and how many were hedges.
func (m *Metrics) Attempts(service string, attempts, hedges int) {
	m.set.GetOrCreateCounter(`ryecourse_attempts_total{` + label("service", service) + "}").Add(attempts)
	m.set.GetOrCreateCounter(`ryecourse_hedges_total{` + label("service", service) + "}").Add(hedges)
}

// MissingShards counts the shards that are missing from partial answers.
func (m *Metrics) MissingShards(service string, shards int) {
	m.set.GetOrCreateCounter(`ryecourse_missing_shards_total{` + label("service", service) + "}").Add(shards)
}

// Count adds to a counter without labels.
func (m *Metrics) Count(name string, n int) {
	m.set.GetOrCreateCounter("ryecourse_" + name).Add(n)
}

// Gauge registers a function that gives a current value.
func (m *Metrics) Gauge(name string, f func() float64) {
	m.set.GetOrCreateGauge("ryecourse_"+name, f)
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	writeViolations(w, invariant.Violations())
	metrics.WriteProcessMetrics(w)
}

// writeViolations writes the count of each violated invariant and their sum. The
// sum is always present, so that alerts can rely on it.
func writeViolations(w io.Writer, counts map[string]uint64) {
	var sum uint64
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		sum += counts[name]
		fmt.Fprintf(w, "ryecourse_invariant_violations_total{%s} %d\n", label("name", name), counts[name])
	}
	fmt.Fprintf(w, "ryecourse_invariant_violations %d\n", sum)
}
