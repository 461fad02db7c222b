package connlimit

import (
	"sync"
	"sync/atomic"
)

const (
	// longResponseBytes is the size from which responses need room before their request is run.
	longResponseBytes = 64 << 10
	// responseSizeDecay is the weight of a response that is shorter than expected.
	responseSizeDecay = 1.0 / 16
)

// ResponseSizes expects of a route, or of a service, responses as long as its longest recent ones. It is safe for
// concurrent use.
type ResponseSizes struct {
	byRoute sync.Map // *atomic.Int64 by route name
}

// Observe records the size of a route's responses to one request, in bytes.
func (s *ResponseSizes) Observe(route string, n int64) {
	v, ok := s.byRoute.Load(route)
	if !ok {
		if n < longResponseBytes {
			return
		}
		v, _ = s.byRoute.LoadOrStore(route, &atomic.Int64{})
	}
	size := v.(*atomic.Int64)
	// A concurrent observation may be lost, as one of many.
	if old := size.Load(); n < old {
		n = old - int64(float64(old-n)*responseSizeDecay)
	}
	size.Store(n)
}

// Expected returns the size in bytes; 0 if they are short.
func (s *ResponseSizes) Expected(route string) int64 {
	v, ok := s.byRoute.Load(route)
	if !ok {
		return 0
	}
	if n := v.(*atomic.Int64).Load(); n >= longResponseBytes {
		return n
	}
	return 0
}

// Retain drops the sizes of the other routes.
func (s *ResponseSizes) Retain(isKnown func(route string) bool) {
	s.byRoute.Range(func(route, _ any) bool {
		if !isKnown(route.(string)) {
			s.byRoute.Delete(route)
		}
		return true
	})
}
