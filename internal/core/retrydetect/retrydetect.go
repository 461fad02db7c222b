// Package timeliness tells new requests from repeats of callers that have waited
// for a while already. A caller tells how long it still waits; first attempts of a
// route tell the same few figures over and over, repeats tell any lower one.
//
// It answers the load of a customer above its rate: what its callers repeat is late
// in any case, and each token that a repeat gets is missing for a request that could
// still be answered in time. The package has no I/O.
package retrydetect

import (
	"math"
	"sync"
	"time"
)

const (
	// binsPerOctave makes bins 2.2% wide, which is less than a latency objective
	// for time budgets of up to twenty times the objective.
	binsPerOctave = 32
	// typicalFraction is the part of a route's requests from which a bin holds a usual
	// budget. Repeats spread over many bins.
	typicalFraction = 0.125
	// minSamples is the number below which nothing is known of a route.
	minSamples = 16
	// decaySamples is the number of requests after which counts are halved.
	decaySamples = 512
)

// Tracker learns the usual time budgets of routes. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*histogram
}

// histogram counts the time histogram of one route.
type histogram struct {
	total float64
	bins  map[int]*bin
}

type bin struct {
	count   float64
	longest time.Duration
}

// NewTracker returns a tracker that knows no route.
func NewTracker() *Tracker { return &Tracker{routes: map[string]*histogram{}} }

// RetainRoutes forgets the routes for which known returns false.
func (t *Tracker) RetainRoutes(known func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route := range t.routes {
		if !known(route) {
			delete(t.routes, route)
		}
	}
}

// Observe counts a request whose caller still waits for left, and returns how long
// the caller has waited before: 0 for a first attempt, and while too little is known
// of the route.
func (t *Tracker) Observe(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.routes[route]
	if h == nil {
		h = &histogram{bins: map[int]*bin{}}
		t.routes[route] = h
	}
	own := h.count(remaining)
	if h.total < minSamples || h.isTypical(own) {
		return 0
	}
	typical := time.Duration(math.MaxInt64)
	for _, other := range h.bins {
		if other.longest >= remaining && other.longest < typical && h.isTypical(other) {
			typical = other.longest
		}
	}
	if typical == math.MaxInt64 {
		return 0
	}
	return typical - remaining
}

func (h *histogram) count(remaining time.Duration) *bin {
	if h.total >= decaySamples {
		h.halve()
	}
	key := int(math.Floor(math.Log2(remaining.Seconds()) * binsPerOctave))
	own := h.bins[key]
	if own == nil {
		own = &bin{}
		h.bins[key] = own
	}
	own.count++
	own.longest = max(own.longest, remaining)
	h.total++
	return own
}

func (h *histogram) halve() {
	h.total = 0
	for key, b := range h.bins {
		b.count /= 2
		if b.count < 1 {
			delete(h.bins, key)
			continue
		}
		h.total += b.count
	}
}

func (h *histogram) isTypical(b *bin) bool { return b.count >= typicalFraction*h.total }
