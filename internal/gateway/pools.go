package gateway

import (
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// Pools holds the connections to all instances. It is safe for concurrent use.
type Pools struct {
	dial      upstreamhttp.Dial
	inspector upstreamhttp.Inspector
	memory    *respbody.Memory

	mu    sync.Mutex
	pools map[string]*instancePool // by instance ID
	limit func(u routetable.Upstream) int
}

type instancePool struct {
	upstream routetable.Upstream
	pool     *upstreamhttp.Pool
	// isTemporary is set if this VM has no share of the instance's connections. Idle
	// connections of its extra attempts aren't kept.
	isTemporary bool
}

func (np *instancePool) setLimit(limit int) {
	np.isTemporary = limit == 0
	np.pool.SetLimit(limit)
}

// NewPools returns an empty set of pools. memory bounds that of all responses; nil for no bound.
func NewPools(dial upstreamhttp.Dial, inspector upstreamhttp.Inspector, memory *respbody.Memory) *Pools {
	return &Pools{dial: dial, inspector: inspector, memory: memory, pools: map[string]*instancePool{}, limit: func(routetable.Upstream) int { return 1 }}
}

// Update closes the pools of instances that are no longer listed, sets the
// connection limits of the others, and withdraws the attempts that wait for a connection
// and may no longer be written. A limit of 0 means that connections are closed as soon
// as they are idle.
func (p *Pools) Update(upstreams map[string][]routetable.Upstream, limit func(u routetable.Upstream) int) {
	current := map[string]routetable.Upstream{}
	for _, list := range upstreams {
		for _, u := range list {
			current[u.ID] = u
		}
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for id, np := range p.pools {
		u, ok := current[id]
		if !ok || !u.SameInstance(np.upstream) {
			np.pool.Close()
			delete(p.pools, id)
			continue
		}
		np.setLimit(limit(u))
		np.pool.CloseExpired(now)
		np.pool.WithdrawWaiting()
	}
}

// CloseTemporary closes idle connections to instances of which this VM has no share.
func (p *Pools) CloseTemporary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, np := range p.pools {
		if !np.isTemporary {
			continue
		}
		if open, idle, _ := np.pool.Stats(); open > 0 && open == idle {
			np.pool.Close()
			delete(p.pools, id)
		}
	}
}

// Get returns the pool of an instance, which it creates on first use.
func (p *Pools) Get(u routetable.Upstream) *upstreamhttp.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	np := p.pools[u.ID]
	if np == nil || !np.upstream.SameInstance(u) {
		if np != nil {
			np.pool.Close()
		}
		limit := p.limit(u)
		np = &instancePool{upstream: u, pool: upstreamhttp.NewPool(u.Address, limit, p.dial, p.inspector)}
		np.isTemporary = limit == 0
		np.pool.ShareMemory(p.memory)
		p.pools[u.ID] = np
	}
	return np.pool
}

// Waiting returns the number of attempts that wait for a connection.
func (p *Pools) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, np := range p.pools {
		n += np.pool.Waiting()
	}
	return n
}

// MemoryUsed returns the memory of the responses that haven't been released, in bytes.
func (p *Pools) MemoryUsed() int64 { return p.memory.Used() }

// Stats returns the totals over all pools.
func (p *Pools) Stats() (open, idle int, dials uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, np := range p.pools {
		o, i, d := np.pool.Stats()
		open, idle, dials = open+o, idle+i, dials+d
	}
	return open, idle, dials
}
