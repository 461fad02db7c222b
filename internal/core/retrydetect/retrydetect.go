// Package retrydetect detects retried requests of callers by the remaining time
// that a request carries as its timeout. First attempts on a route carry one of
// a few typical timeouts; a caller's retries carry any lower value. `ryecourse
// gateway` uses it.
//
// It is used for customers above their rate. The retries of their callers are
// late in any case, and each token spent on one is missing for a request that
// could still be answered in time. The package has no I/O.
package retrydetect

import (
	"math"
	"sync"
	"time"
)

const (
	// binsPerOctave gives bins that are 2.2% wide, which is less than the
	// latency objective for timeouts of up to twenty times the objective.
	binsPerOctave = 32
	// typicalFraction is the fraction of a route's requests from which a bin
	// counts as a typical timeout. Retries spread over many bins.
	typicalFraction = 0.125
	// minSamples is the number of requests below which no retry is detected on
	// a route.
	minSamples = 16
	// decaySamples is the number of requests after which counts are halved.
	decaySamples = 512
)

// Tracker learns the typical timeouts of routes. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*histogram
}

// histogram counts the timeouts of the requests on one route.
type histogram struct {
	total float64
	bins  map[int]*bin
}

type bin struct {
	count   float64
	longest time.Duration
}

// NewTracker returns a tracker without any routes.
func NewTracker() *Tracker { return &Tracker{routes: map[string]*histogram{}} }

// RetainRoutes deletes the routes for which known returns false.
func (t *Tracker) RetainRoutes(known func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route := range t.routes {
		if !known(route) {
			delete(t.routes, route)
		}
	}
}

// Observe counts a request with the remaining time of its caller and returns
// how long the caller has already waited. It returns 0 for a first attempt and
// until the route has enough samples.
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
