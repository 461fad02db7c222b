package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alitto/pond/v2"

	"ryecourse.example/ryecourse/internal/standin/load"
)

const (
	// maxConcurrentQueries bounds the queries that run at the same time.
	maxConcurrentQueries = 2048
	// maxLatency, in microseconds, and latencyDigits size the histograms.
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

// sample is the outcome of one query.
type sample struct {
	start, end time.Time
	kind       load.Kind
	coverage   float64
	mismatch   string
}

// driver sends queries at a fixed rate until its context ends. It doesn't retry,
// so that each refusal counts.
type driver struct {
	cfg     *Config
	clients []*load.Client
	prefix  int64

	mu      sync.Mutex
	rng     *rand.Rand
	sent    int
	samples []sample
}

func newDriver(cfg *Config) *driver {
	d := &driver{
		cfg:    cfg,
		prefix: time.Now().UnixNano(),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	for _, address := range cfg.Daemons {
		d.clients = append(d.clients, load.NewClient(address))
	}
	return d
}

// run sends queries until ctx ends, and returns after the last one has ended.
func (d *driver) run(ctx context.Context) {
	pool := pond.NewPool(maxConcurrentQueries)
	interval := time.Duration(float64(time.Second) / d.cfg.Service.Rate)
	// Queries start on a fixed schedule. When the driver falls behind, it sends
	// the overdue queries at once and skips none.
	next := time.Now()
	for ctx.Err() == nil {
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		next = next.Add(interval)
		pool.Submit(d.query)
	}
	pool.StopAndWait()
}

func (d *driver) query() {
	d.mu.Lock()
	d.sent++
	text := fmt.Sprintf("%d query %d", d.prefix, d.sent)
	client := d.clients[d.rng.IntN(len(d.clients))]
	d.mu.Unlock()
	req := client.Send(&d.cfg.Service, &d.cfg.Customer, text)
	s := sample{start: req.Start, end: req.End, kind: req.Kind, mismatch: req.Mismatch}
	if req.Kind == load.KindAnswer {
		s.coverage = float64(req.Answer.Coverage.Answered) / float64(req.Answer.Coverage.Total)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, s)
}

// Window summarizes the queries that began in a span of time.
type Window struct {
	Queries  int `json:"queries"`
	Answered int `json:"answered"`
	// Complete counts the answers that cover all shards.
	Complete int     `json:"complete"`
	Wrong    int     `json:"wrong"`
	Coverage float64 `json:"coverage"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"max_ms"`
}

// window summarizes the queries that began at or after from and before to. A
// refused query counts with a coverage of 0; the latencies are those of the
// answered queries.
func (d *driver) window(from, to time.Time) Window {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := hdrhistogram.New(1, maxLatency, latencyDigits)
	var w Window
	for _, s := range d.samples {
		if s.start.Before(from) || !s.start.Before(to) {
			continue
		}
		w.Queries++
		w.Coverage += s.coverage
		if s.mismatch != "" {
			w.Wrong++
		}
		if s.coverage == 1 {
			w.Complete++
		}
		if s.kind == load.KindAnswer {
			w.Answered++
			_ = h.RecordValue(s.end.Sub(s.start).Microseconds())
		}
	}
	w.Coverage /= float64(max(w.Queries, 1))
	w.P50MS = quantile(h, 50)
	w.P99MS = quantile(h, 99)
	w.MaxMS = quantile(h, 100)
	return w
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}
