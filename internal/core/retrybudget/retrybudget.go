// Package retrybudget limits the repeats that one VM adds to the load of a
// service, so that the sum over all VMs stays within a share of the requests.
//
// Each VM earns a fixed part of a repeat with each request of its own, so the
// sum over VMs holds without any exchange. The package has no I/O.
package retrybudget

import "sync"

// Budget holds one VM's repeats for all services. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	tokens  map[string]float64
}

// New returns a budget that earns ratio for each request and holds at most
// reserve repeats. A service starts with none.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: max(reserve, 1), tokens: map[string]float64{}}
}

// SetReserve changes the number of repeats that may be saved up.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = max(reserve, 1)
}

// Earn counts a request for the service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.tokens[service]+b.ratio, b.reserve)
}

// Take takes the right to one repeat. A hedge leaves keep repeats for requests
// whose attempt has failed.
func (b *Budget) Take(service string, keep float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1+keep {
		return false
	}
	b.tokens[service]--
	return true
}

// Forget drops services that are no longer in use.
func (b *Budget) Forget(known func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.tokens {
		if !known(s) {
			delete(b.tokens, s)
		}
	}
}
