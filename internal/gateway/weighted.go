package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// weightedRoundRobin distributes the requests of a route over its services by
// smooth weighted round robin, which keeps to the weights over short intervals,
// too. The start is random, so that VMs don't choose in lockstep.
type weightedRoundRobin struct {
	mu             sync.Mutex
	rand           *rand.Rand
	currentWeights map[string][]float64 // by route
}

// retainRoutes drops the routes for which known returns false.
func (w *weightedRoundRobin) retainRoutes(known func(route string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for route := range w.currentWeights {
		if !known(route) {
			delete(w.currentWeights, route)
		}
	}
}

func (w *weightedRoundRobin) next(r *routetable.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.Targets[advance(r, w.weightsOf(r))].Service
}

// peek returns what next would, and doesn't advance.
func (w *weightedRoundRobin) peek(r *routetable.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.Targets[advance(r, slices.Clone(w.weightsOf(r)))].Service
}

// weightsOf returns the current weights of a route. The caller holds mu.
func (w *weightedRoundRobin) weightsOf(r *routetable.Route) []float64 {
	weights := w.currentWeights[r.Name]
	if len(weights) != len(r.Targets) {
		weights = make([]float64, len(r.Targets))
		for i, t := range r.Targets {
			weights[i] = w.rand.Float64() * t.Weight
		}
		w.currentWeights[r.Name] = weights
	}
	return weights
}

// advance chooses the target of a request and updates the weights.
func advance(r *routetable.Route, weights []float64) int {
	var total float64
	best := 0
	for i, t := range r.Targets {
		total += t.Weight
		weights[i] += t.Weight
		if weights[i] > weights[best] {
			best = i
		}
	}
	weights[best] -= total
	return best
}
