package scatter

import (
	"testing"
	"time"
)

// TestBudgetsStopWhenUpstreamsShed tries a hedge and a retry with every
// request, first while 10% of the requests are shed and then without sheds.
func TestBudgetsStopWhenUpstreamsShed(t *testing.T) {
	b := NewBudgets()
	spend(b, 2000, 10)
	hedges, retries := spend(b, 20000, 10)
	if hedges > 0 || retries > 0 {
		t.Errorf("%d hedges and %d retries while upstreams shed, want none", hedges, retries)
	}
	if hedges, retries = spend(b, 2000, 0); hedges == 0 || retries == 0 {
		t.Errorf("%d hedges and %d retries after the sheds, want some", hedges, retries)
	}
	hedges, retries = spend(b, 20000, 0)
	if limit := HedgeBurst + 20000*HedgeRatio; float64(hedges) > limit {
		t.Errorf("%d hedges, want at most %v", hedges, limit)
	}
	if limit := RetryBurst + 20000*RetryRatio; float64(retries) > limit {
		t.Errorf("%d retries, want at most %v", retries, limit)
	}
}

// TestBudgetsFollowTheFanOut checks that a query over many shards can hedge
// half of them at once.
func TestBudgetsFollowTheFanOut(t *testing.T) {
	const shards = 130
	b := NewBudgets()
	for range 100 {
		b.earn(shards)
	}
	b.earn(1) // must not reduce the tokens to the limit
	hedges := 0
	for b.take(kindHedge) {
		hedges++
	}
	if hedges != shards/2 {
		t.Errorf("%d hedges in a row, want %d", hedges, shards/2)
	}
}

func spend(b *Budgets, requests, shedEvery int) (hedges, retries int) {
	for i := range requests {
		b.earn(1)
		if shedEvery > 0 && i%shedEvery == 0 {
			b.chargeShed()
		}
		if b.take(kindHedge) {
			hedges++
		}
		if b.take(kindRetry) {
			retries++
		}
	}
	return hedges, retries
}

// TestLatencyFollowsChanges requires the hedge delay to match the quantile to
// within one bucket, also after the latency rises or falls.
func TestLatencyFollowsChanges(t *testing.T) {
	l := NewLatency(1)
	if _, known := l.HedgeDelay(0); known {
		t.Errorf("a delay is returned without samples")
	}
	for _, slow := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Millisecond} {
		for i := range 20 * decaySamples {
			d := slow / 2
			if i%10 == 0 {
				d = slow
			}
			l.Record(0, d)
		}
		got, known := l.HedgeDelay(0)
		if !known || got < slow || got > slow+slow/subBuckets+latencyUnit {
			t.Errorf("delay %v, want %v to within a bucket", got, slow)
		}
	}
}
