package servedaemon

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryecourse.example/ryecourse/internal/caller"
	"ryecourse.example/ryecourse/internal/control"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/routing"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/upstream"
)

// limitsInterval is the time between two updates of the connection limits.
const limitsInterval = 250 * time.Millisecond

// planner builds queries and holds the state that queries of the same service
// share. It also keeps the connection limits of the upstream pool up to date.
type planner struct {
	policy    settings.Policy
	pool      *upstream.Pool
	router    *routing.Router
	addresses *addressIndex
	baseline  *randomPicker
	picker    scatter.Picker

	mu     sync.RWMutex
	shared map[string]*serviceShared
}

// serviceShared is the state that all queries of one service share. It is replaced
// when the number of shards of the service changes.
type serviceShared struct {
	shards int
	shared scatter.Shared
}

func newPlanner(policy settings.Policy, pool *upstream.Pool, router *routing.Router, addresses *addressIndex) *planner {
	p := &planner{
		policy:    policy,
		pool:      pool,
		router:    router,
		addresses: addresses,
		baseline:  &randomPicker{},
		shared:    make(map[string]*serviceShared),
	}
	p.picker = router
	if policy.RandomReplica {
		p.picker = p.baseline
	}
	return p
}

// update applies a new view. It runs on the control goroutine.
func (p *planner) update(now time.Time, v *control.View) {
	p.baseline.catalog.Store(v.Catalog)
	p.addresses.update(v.Catalog)
	p.pool.SetLimits(p.limits(now))
}

// refreshLimits periodically sets the pool's connection limits from the router
// until the context ends.
func (p *planner) refreshLimits(ctx context.Context) {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if p.baseline.catalog.Load() != nil {
				p.pool.SetLimits(p.limits(now))
			}
		}
	}
}

func (p *planner) limits(now time.Time) []upstream.Limit {
	if p.policy.RandomReplica {
		return p.baseline.limits()
	}
	targets := p.router.Connections(now)
	out := make([]upstream.Limit, 0, len(targets))
	for _, t := range targets {
		out = append(out, upstream.Limit{Address: t.Address, Max: t.Max, MinOpen: t.MinOpen})
	}
	return out
}

// Plan implements caller.Planner.
func (p *planner) Plan(s *catalog.Service, params caller.Params) *scatter.Query {
	return scatter.New(scatter.Spec{
		Service:     s.Name,
		Layout:      s.Shards,
		RequestID:   params.RequestID,
		Deadline:    params.Deadline,
		Idempotent:  s.Idempotent,
		SingleShard: s.SingleShard,
		Shard:       shardFor(params.RoutingKey, len(s.Shards)),
		OneSnapshot: s.Snapshots,
		MinCoverage: params.MinCoverage,
	}, p.sharedFor(s))
}

// shardFor maps a routing key to a shard.
func shardFor(key string, shards int) int {
	if shards == 0 {
		return 0
	}
	return int(xxhash.Sum64String(key) % uint64(shards))
}

func (p *planner) sharedFor(s *catalog.Service) scatter.Shared {
	p.mu.RLock()
	e := p.shared[s.Name]
	p.mu.RUnlock()
	if e != nil && e.shards == len(s.Shards) {
		return e.shared
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e = p.shared[s.Name]; e != nil && e.shards == len(s.Shards) {
		return e.shared
	}
	e = &serviceShared{shards: len(s.Shards), shared: p.newShared(len(s.Shards))}
	p.shared[s.Name] = e
	return e.shared
}

func (p *planner) newShared(shards int) scatter.Shared {
	policy := scatter.DefaultPolicy()
	if !p.policy.HedgeEnabled() {
		policy.MaxHedgesPerShard = 0
	}
	return scatter.Shared{
		Picker:  p.picker,
		Budgets: scatter.NewBudgets(),
		Latency: scatter.NewLatency(shards),
		Recent:  &scatter.RecentSnapshot{},
		Policy:  policy,
	}
}
