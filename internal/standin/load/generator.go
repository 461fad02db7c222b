package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

const (
	// maxConcurrentOperations bounds the operations that run at the same time.
	maxConcurrentOperations = 512
	// maxRequestsPerOperation bounds the requests of one operation.
	maxRequestsPerOperation = 4
	// maxBackoff bounds a caller's wait before a retry.
	maxBackoff = 200 * time.Millisecond
)

// generator starts operations at a fixed rate, whatever their outcome (an open
// loop).
type generator struct {
	cfg     *Config
	clients *clients
	started time.Time

	mu            sync.Mutex
	rng           *rand.Rand
	lastOperation int
	requests      []*Request
}

func newGenerator(cfg *Config) *generator {
	return &generator{
		cfg:     cfg,
		clients: newClients(cfg.Daemons),
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// run sends until ctx ends, waits for the running operations and returns all
// requests.
func (g *generator) run(ctx context.Context) []*Request {
	pool := pond.NewPool(maxConcurrentOperations)
	var streams sync.WaitGroup
	for i := range g.cfg.Services {
		streams.Go(func() { g.stream(ctx, &g.cfg.Services[i], pool) })
	}
	streams.Wait()
	pool.StopAndWait()
	return g.requests
}

// stream starts operations for one service at its rate.
func (g *generator) stream(ctx context.Context, s *Service, pool pond.Pool) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			pool.Submit(func() { g.runOperation(s) })
		}
	}
}

// operationPlan is the number of an operation, with its customer and the index of
// its first daemon, both chosen at random.
type operationPlan struct {
	operation int
	first     int
	customer  *Customer
}

func (g *generator) drawPlan() operationPlan {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastOperation++
	p := operationPlan{operation: g.lastOperation, first: g.rng.IntN(len(g.clients.all))}
	weights := 0
	for i := range g.cfg.Customers {
		weights += g.cfg.Customers[i].Weight
	}
	x := g.rng.IntN(max(weights, 1))
	for i := range g.cfg.Customers {
		p.customer = &g.cfg.Customers[i]
		x -= p.customer.Weight
		if x < 0 {
			break
		}
	}
	return p
}

// runOperation sends one operation, and retries it on the next daemon while it is
// certain that nothing has run. Each request has its own query text, so that the
// attempt logs distinguish the requests.
func (g *generator) runOperation(s *Service) {
	p := g.drawPlan()
	order := g.clients.order(p.first, time.Now())
	for n := range maxRequestsPerOperation {
		c := order[n%len(order)]
		text := fmt.Sprintf("%d operation %d try %d", g.started.UnixNano(), p.operation, n)
		req := c.Send(s, p.customer, text)
		req.Operation = p.operation
		g.record(req)
		if !req.retriable() {
			return
		}
		if req.Kind == KindUnreachable {
			g.clients.markUnreachable(c, req.End)
		}
		time.Sleep(min(time.Duration(req.Refusal.RetryAfterMS)*time.Millisecond, maxBackoff))
	}
}

func (g *generator) record(req *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, req)
}
