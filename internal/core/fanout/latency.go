package fanout

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleCount is the number of most recent latencies from which the
	// quantiles are computed.
	sampleCount = 256
	// refreshInterval is the number of new latencies between two computations.
	refreshInterval = 32
	// hedgeQuantile is the fraction of attempts that end before a hedge is due.
	// The hedges of the slower ones must fit the retry budget.
	hedgeQuantile = 0.94
	// hedgeFactor scales the quantile so that attempts about to end are not
	// hedged.
	hedgeFactor = 1.0
	// minHedgeDelay avoids hedges caused by delays on this VM instead of the
	// upstream's.
	minHedgeDelay = 2 * time.Millisecond
)

// Latency tracks the latency of the attempts of one route. It is safe for
// concurrent use.
type Latency struct {
	mu           sync.Mutex
	ring         [sampleCount]time.Duration
	count        int
	sinceRefresh int
	median       time.Duration
	hedge        time.Duration
}

// Observe records the latency of an answered first attempt.
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

// HedgeDelay returns the wait before a hedge, at most limit. It returns limit
// before the first answer.
func (l *Latency) HedgeDelay(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hedge == 0 {
		return limit
	}
	return min(l.hedge, limit)
}
