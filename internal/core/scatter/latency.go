package scatter

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// HedgeQuantile is the fraction of a shard's requests that end before a
	// hedge is due.
	HedgeQuantile = 0.96

	subBuckets        = 8 // per octave
	octaves           = 16
	bucketCount       = subBuckets * octaves
	latencyUnit       = 32 * time.Microsecond
	minSamples        = 64
	decaySamples      = 1024
	recomputeInterval = 32
)

// Latency tracks the recent latency of each shard of one service.
//
// Each shard has a histogram with eight buckets per octave. All counts are
// halved after every 1,024 samples. Latency is shared by all queries of the
// service. Recording and reading take a few atomic operations; a race between a
// decay and a record may misplace single samples.
type Latency struct {
	shards []estimator
}

// NewLatency returns a tracker for a service with the given number of shards.
func NewLatency(shards int) *Latency {
	return &Latency{shards: make([]estimator, shards)}
}

// Record adds a request's latency. Shards out of range are ignored.
func (l *Latency) Record(shard int, d time.Duration) {
	if l == nil || shard < 0 || shard >= len(l.shards) {
		return
	}
	l.shards[shard].record(d)
}

// HedgeDelay returns the time after which a request to the shard counts as
// slow. It returns false until enough samples were recorded.
func (l *Latency) HedgeDelay(shard int) (time.Duration, bool) {
	if l == nil || shard < 0 || shard >= len(l.shards) {
		return 0, false
	}
	d := time.Duration(l.shards[shard].quantile.Load())
	return d, d > 0
}

type estimator struct {
	quantile atomic.Int64 // nanoseconds; zero: unknown
	samples  atomic.Uint32
	counts   [bucketCount]atomic.Uint32
}

func (e *estimator) record(d time.Duration) {
	e.counts[bucketOf(d)].Add(1)
	n := e.samples.Add(1)
	if n%decaySamples == 0 {
		e.decay()
	}
	if n >= minSamples && n%recomputeInterval == 0 {
		e.quantile.Store(int64(e.compute()))
	}
}

func (e *estimator) decay() {
	for i := range e.counts {
		n := e.counts[i].Load()
		e.counts[i].CompareAndSwap(n, n-n/2) // a lost race leaves the count unhalved
	}
}

// compute returns the upper bound of the bucket that holds the quantile.
func (e *estimator) compute() time.Duration {
	total := 0
	for i := range e.counts {
		total += int(e.counts[i].Load())
	}
	above := int(float64(total) * (1 - HedgeQuantile))
	for i := bucketCount - 1; i > 0; i-- {
		above -= int(e.counts[i].Load())
		if above < 0 {
			return upperBound(i)
		}
	}
	return upperBound(0)
}

// bucketOf returns the bucket of d. Buckets are linear within each octave.
func bucketOf(d time.Duration) int {
	units := uint64(max(d, 0)/latencyUnit) + subBuckets
	octave := bits.Len64(units) - bits.Len64(subBuckets)
	sub := int(units>>octave) - subBuckets
	return min(octave*subBuckets+sub, bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	octave := bucket / subBuckets
	units := (bucket%subBuckets+subBuckets+1)<<octave - subBuckets
	return time.Duration(units) * latencyUnit
}
