package fanout

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleCount is the number of latest latencies that quantiles are taken of.
	sampleCount = 256
	// refreshInterval is the number of new latencies between two calculations.
	refreshInterval = 32
	// hedgeQuantile is the share of attempts that end before a hedge is due. What
	// lies above it must fit the budget of repeats.
	hedgeQuantile = 0.94
	// hedgeFactor keeps hedges clear of attempts that are about to end.
	hedgeFactor = 1.0
	// minHedgeDelay keeps delays of this VM from being taken for an upstream's.
	minHedgeDelay = 2 * time.Millisecond
)

// Latency estimates what is usual for the attempts of one route. It is safe for
// concurrent use.
type Latency struct {
	mu           sync.Mutex
	ring         [sampleCount]time.Duration
	count        int
	sinceRefresh int
	median       time.Duration
	hedge        time.Duration
}

// Observe takes in the latency of an answered first attempt.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.count%sampleCount] = d
	l.count++
	l.sinceRefresh++
	if l.sinceRefresh >= refreshInterval || l.count <= refreshInterval {
		l.refresh()
	}
}

func (l *Latency) refresh() {
	l.sinceRefresh = 0
	sorted := slices.Clone(l.ring[:min(l.count, sampleCount)])
	slices.Sort(sorted)
	l.median = sorted[len(sorted)/2]
	q := sorted[int(float64(len(sorted)-1)*hedgeQuantile)]
	l.hedge = max(time.Duration(float64(q)*hedgeFactor), minHedgeDelay)
}

// Median returns the median latency; 0 before the first answer.
func (l *Latency) Median() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.median
}

// HedgeDelay returns the wait before a hedge, at most limit, which also applies
// before the first answer.
func (l *Latency) HedgeDelay(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hedge == 0 {
		return limit
	}
	return min(l.hedge, limit)
}
