package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency and latencyDigits size the histogram, in microseconds.
	maxLatency    = int64(60 * time.Second / time.Microsecond)
	latencyDigits = 3
	// maxPrintedFindings bounds the printed findings of each fault.
	maxPrintedFindings = 5
)

// Report is the result of a run.
type Report struct {
	Requests []*Request
	Findings []Finding
	Events   []Event
	// Valid counts the operations with a valid key, Answered those of them that
	// were answered.
	Valid, Answered    int
	ConnectionsRefused uint64
	// ReceivedByZone counts the attempts that the upstreams of each zone received.
	ReceivedByZone map[string]uint64
	latency        *hdrhistogram.Histogram
}

// Run sends queries until ctx ends, and then checks the responses. An interrupt
// doesn't skip the check.
func Run(ctx context.Context, cfg *Config) (*Report, error) {
	return check(cfg, newGenerator(cfg).run(ctx))
}

// check compares the requests with the events and the attempt logs.
func check(cfg *Config, requests []*Request) (*Report, error) {
	events, err := ReadEvents(cfg.Events)
	if err != nil {
		return nil, err
	}
	logs, err := fetchLogs(cfg.Controls)
	if err != nil {
		return nil, err
	}
	c := &checker{cfg: cfg, history: history{events: events, grace: cfg.grace()}, logs: logs}
	c.checkAll(requests)
	r := &Report{Requests: requests, Findings: c.findings, Events: events}
	r.Valid, r.Answered = countOperations(requests, &c.history)
	r.ReceivedByZone = make(map[string]uint64)
	for _, s := range logs.statuses {
		r.ReceivedByZone[s.Zone] += s.Counters.Received
		r.ConnectionsRefused += s.Counters.ConnectionsRefused
	}
	r.recordLatency(&c.history)
	return r, nil
}

// recordLatency records the latency of answers from daemons that were not paused.
func (r *Report) recordLatency(h *history) {
	r.latency = hdrhistogram.New(1, maxLatency, latencyDigits)
	for _, req := range r.Requests {
		if req.Kind == KindAnswer && !h.paused(req.Daemon, req.Start, req.End) {
			_ = r.latency.RecordValue(req.End.Sub(req.Start).Microseconds())
		}
	}
}

// OK reports whether no fault was found.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Print writes the findings, the requests by outcome and, last, the summary.
func (r *Report) Print(w io.Writer, name string) {
	counts := make(map[Fault]int)
	for _, f := range r.Findings {
		counts[f.Fault]++
		if counts[f.Fault] <= maxPrintedFindings {
			fmt.Fprintf(w, "%s: %s\n", f.Fault, f.Detail)
		}
	}
	fmt.Fprintf(w, "responses: %s\n", r.outcomeCounts())
	fmt.Fprintf(w, "attempts received by zone: %v\n", r.ReceivedByZone)
	parts := []string{fmt.Sprintf("queries=%d", r.lastOperation())}
	for _, f := range faults {
		parts = append(parts, fmt.Sprintf("%s=%d", f, counts[f]))
	}
	parts = append(parts,
		fmt.Sprintf("answered=%d/%d", r.Answered, r.Valid),
		fmt.Sprintf("rate_limited=%d", r.rateLimited()),
		fmt.Sprintf("connections_refused=%d", r.ConnectionsRefused),
		fmt.Sprintf("p50_ms=%.1f", r.quantile(50)),
		fmt.Sprintf("p99_ms=%.1f", r.quantile(99)),
		fmt.Sprintf("max_ms=%.1f", r.quantile(100)))
	fmt.Fprintf(w, "%s: %s\n", name, strings.Join(parts, " "))
}

// rateLimited counts the refusals of customers over their rate.
func (r *Report) rateLimited() int {
	n := 0
	for _, req := range r.Requests {
		if req.Kind == KindRefusal && req.Refusal.Code == codeRateLimited {
			n++
		}
	}
	return n
}

func (r *Report) lastOperation() int {
	last := 0
	for _, req := range r.Requests {
		last = max(last, req.Operation)
	}
	return last
}

func (r *Report) quantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// outcomeCounts lists the number of requests by outcome.
func (r *Report) outcomeCounts() string {
	counts := make(map[string]int)
	for _, req := range r.Requests {
		counts[req.Outcome()]++
	}
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
