// Package retrybudget limits the extra attempts, retries and hedges, that one
// VM sends to a service, so that the sum over all VMs stays within a fraction
// of the requests. `ryecourse gateway` uses it.
//
// Each VM earns a fixed fraction of a token with each request of its own and
// spends a token on each extra attempt. The limit on the sum therefore holds
// without any communication between VMs. The package has no I/O.
package retrybudget

import "sync"

// Budget holds one VM's tokens for all services. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens map[string]float64
}

// initialFraction is the fraction of the burst that a service starts with. A
// fleet that restarts as a whole may spend it in addition to what it spent
// before the restart.
const initialFraction = 0.4

// New returns a budget that earns ratio tokens for each request and holds at
// most burst tokens per service.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: max(burst, 1), tokens: map[string]float64{}}
}

// SetBurst changes the maximum number of tokens per service.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = max(burst, 1)
}

// AddForRequest credits a request to the service.
func (b *Budget) AddForRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.available(service)+b.ratio, b.burst)
}

func (b *Budget) available(service string) float64 {
	if n, ok := b.tokens[service]; ok {
		return n
	}
	return b.burst * initialFraction
}

// Take spends a token on a retry after a failed attempt. It returns false if
// there is none.
func (b *Budget) Take(service string) bool { return b.take(service, 0) }

// minScarcity is the scarcity while the budget is full. It is above 0 because
// an extra attempt costs the upstreams work in any case.
const minScarcity = 0.15

// Scarcity returns how scarce extra attempts are, from minScarcity to 1. It is
// 1 if no token is left.
func (b *Budget) Scarcity(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(1-b.available(service)/b.burst, minScarcity)
}

// TakeHedge spends a token on a hedge that its request can succeed without. It
// leaves up to one token for attempts that their requests need.
func (b *Budget) TakeHedge(service string) bool {
	b.mu.Lock()
	reserved := min(1, (b.burst-1)/2)
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
