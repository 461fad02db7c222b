package gateway

import (
	"math/rand/v2"
	"sync"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// weighted shares the requests of a route among its services by smooth weighted
// round robin, which keeps to the weights over short times too. The first
// choice is random, so that VMs don't move in step.
type weighted struct {
	mu     sync.Mutex
	rand   *rand.Rand
	credit map[string][]float64 // by route
}

// keep forgets the routes for which known returns false.
func (w *weighted) keep(known func(route string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for route := range w.credit {
		if !known(route) {
			delete(w.credit, route)
		}
	}
}

func (w *weighted) next(r *routetable.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	credit := w.credit[r.Name]
	if len(credit) != len(r.Targets) {
		credit = make([]float64, len(r.Targets))
		for i, t := range r.Targets {
			credit[i] = w.rand.Float64() * t.Weight
		}
		w.credit[r.Name] = credit
	}
	var total float64
	best := 0
	for i, t := range r.Targets {
		total += t.Weight
		credit[i] += t.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Targets[best].Service
}
