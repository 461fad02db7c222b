// Package retrybudget limits the extra attempts, retries and hedges, that one
// VM sends to a service, so that the sum over all VMs stays within a fraction
// of the requests. `ryecourse gateway` uses it.
//
// Each VM earns a fixed fraction of a token with each request of its own, and in a
// large fleet some with time, and spends a token on each extra attempt. The limit on
// the sum therefore holds without any communication between VMs. The package has no
// I/O.
package retrybudget

import (
	"sync"
	"time"
)

// Budget holds one VM's tokens for all services. It is safe for concurrent use.
type Budget struct {
	now   func() time.Time
	mu    sync.Mutex
	ratio float64
	limit Limit
	// limits are those of the services whose limit differs.
	limits map[string]Limit
	// tokens and earnedAt are by service; earnedAt is when time last earned any.
	tokens   map[string]float64
	earnedAt map[string]time.Time
}

// Limit holds the tokens of one service. In a time t, a VM spends Burst + t x PerSecond
// at most, beside the fraction of its requests.
type Limit struct {
	// Burst is the largest number of tokens.
	Burst float64
	// PerSecond is the number of tokens that are earned each second. A VM with few
	// requests of its own earns little with them.
	PerSecond float64
}

// initialFraction is the fraction of the burst that a service starts with. A
// fleet that restarts as a whole may spend it in addition to what it spent
// before the restart.
const initialFraction = 0.4

// New returns a budget that earns ratio tokens for each request. now is the clock.
func New(now func() time.Time, ratio float64, l Limit) *Budget {
	b := &Budget{now: now, ratio: ratio, tokens: map[string]float64{}, earnedAt: map[string]time.Time{}}
	b.SetLimit(l)
	return b
}

// SetLimit changes the limit. A budget holds one token at least.
func (b *Budget) SetLimit(l Limit) { b.SetLimits(l, nil) }

// SetLimits changes the limit and replaces those of the services whose limit differs.
func (b *Budget) SetLimits(l Limit, services map[string]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.limits = l.atLeastOne(), map[string]Limit{}
	for service, limit := range services {
		b.limits[service] = limit.atLeastOne()
	}
}

func (l Limit) atLeastOne() Limit {
	l.Burst = max(l.Burst, 1)
	return l
}

// limitOf returns the limit of a service. The caller holds mu.
func (b *Budget) limitOf(service string) Limit {
	if l, ok := b.limits[service]; ok {
		return l
	}
	return b.limit
}

// AddForRequest credits a request to the service.
func (b *Budget) AddForRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.available(service)+b.ratio, b.limitOf(service).Burst)
}

// available returns the tokens of a service. The caller holds mu.
func (b *Budget) available(service string) float64 {
	now, limit := b.now(), b.limitOf(service)
	n, ok := b.tokens[service]
	if !ok {
		n = limit.Burst * initialFraction
	} else if dt := now.Sub(b.earnedAt[service]).Seconds(); dt > 0 {
		n = min(n+dt*limit.PerSecond, limit.Burst)
	}
	b.tokens[service], b.earnedAt[service] = n, now
	return n
}

// Left returns the tokens of a service.
func (b *Budget) Left(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(service)
}

// Take spends a token on a retry after a failed attempt. It returns false if
// there is none.
func (b *Budget) Take(service string) bool { return b.take(service, 0) }

// TakeAll spends a token of each service. It spends none and returns false if one has
// none.
func (b *Budget) TakeAll(services []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range services {
		if b.available(s) < 1 {
			return false
		}
	}
	for _, s := range services {
		b.tokens[s]--
	}
	return true
}

// minScarcity is the scarcity while the budget is full. It is above 0 because
// an extra attempt costs the upstreams work in any case.
const minScarcity = 0.15

// Scarcity returns how scarce extra attempts are, from minScarcity to 1. It is
// 1 if no token is left.
func (b *Budget) Scarcity(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(1-b.available(service)/b.limitOf(service).Burst, minScarcity)
}

// TakeHedge spends a token on a hedge that its request can succeed without. It
// leaves up to one token for attempts that their requests need.
func (b *Budget) TakeHedge(service string) bool {
	b.mu.Lock()
	reserved := min(1, (b.limitOf(service).Burst-1)/2)
	b.mu.Unlock()
	return b.take(service, reserved)
}

func (b *Budget) take(service string, reserved float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.available(service)
	if n < 1+reserved {
		return false
	}
	b.tokens[service] = n - 1
	return true
}
