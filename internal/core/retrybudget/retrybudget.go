// Package retrybudget limits the repeats that one VM adds to the load of a
// service, so that the sum over all VMs stays within a share of the requests.
//
// Each VM earns a fixed part of a repeat with each request of its own, so the
// sum over VMs holds without any exchange. The package has no I/O.
package retrybudget

import "sync"

// Budget holds one VM's repeats for all services. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens map[string]float64
}

// initialFraction is the part of the reserve that a service starts with. A fleet
// that restarts as a whole may spend it on top of what it spent before.
const initialFraction = 0.4

// New returns a budget that earns ratio for each request and holds at most
// reserve repeats.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: max(burst, 1), tokens: map[string]float64{}}
}

// SetBurst changes the number of repeats that may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = max(burst, 1)
}

// Earn counts a request for the service.
func (b *Budget) Earn(service string) {
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

// Take takes the right to one repeat after a failed attempt.
func (b *Budget) Take(service string) bool { return b.take(service, 0) }

// minScarcity is the scarcity while the reserve is full: a repeat costs the
// upstreams an attempt in any case.
const minScarcity = 0.15

// Scarcity tells how much a request should avoid to need a repeat: 1 if there is
// none left.
func (b *Budget) Scarcity(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(1-b.available(service)/b.burst, minScarcity)
}

// TakeHedge takes the right to one repeat that its request can do without. It
// leaves a part of the reserve, of one repeat at most, for those that can't.
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
