package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
)

// TestMalformedLoadsAreLoggedBoundedly guards against an upstream that fills the log: each
// report counts, and one line in a period says how many there were.
func TestMalformedLoadsAreLoggedBoundedly(t *testing.T) {
	var out bytes.Buffer
	log := eventlog.New(&out, "vm")
	m := malformedLoads{log: log, metrics: NewMetrics(metrics.NewSet())}
	at := time.Hour
	const reports = 5000
	for range reports {
		m.add(at, routetable.Upstream{ID: "u", Service: "s"}, strings.Repeat("9", 5000))
		at += time.Millisecond
	}
	m.add(at+malformedLoadLogPeriod, routetable.Upstream{ID: "u", Service: "s"}, "x")
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if n := m.metrics.malformedLoads.Get(); n != reports+1 {
		t.Errorf("%d of %d reports are counted", n, reports+1)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 2 || out.Len() > 1000 {
		t.Errorf("%d lines of %d bytes are logged, want 2", lines, out.Len())
	}
	if !strings.Contains(out.String(), "4999") {
		t.Errorf("the log doesn't say how many reports it left out: %s", out.String())
	}
}
