package retrydetect

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// feedRequests observes first attempts with the given timeouts, less a few
// milliseconds for new connections, and retries of a fraction of them.
func feedRequests(t *Tracker, rng *rand.Rand, requests int, retryRatio float64, first ...time.Duration) {
	for range requests {
		timeout := first[rng.IntN(len(first))]
		t.Observe("r", timeout-time.Duration(rng.IntN(3))*4*ms)
		if rng.Float64() < retryRatio {
			t.Observe("r", time.Duration(float64(timeout)*(0.5+0.4*rng.Float64())))
		}
	}
}

func TestElapsedTimeOfRetries(t *testing.T) {
	for _, retryRatio := range []float64{0, 0.3, 1} {
		tr := NewTracker()
		feedRequests(tr, rand.New(rand.NewPCG(1, 1)), 400, retryRatio, 1200*ms)
		for remaining, want := range map[time.Duration]time.Duration{1200 * ms: 0, 1192 * ms: 0, 900 * ms: 300 * ms, 400 * ms: 800 * ms} {
			if got := tr.Observe("r", remaining); got < want-10*ms || got > want+10*ms {
				t.Errorf("with %v of the requests retried, %v remaining: %v elapsed, want %v", retryRatio, remaining, got, want)
			}
		}
	}
}

func TestShorterTimeoutsOfOtherCallersAreNotRetries(t *testing.T) {
	tr := NewTracker()
	feedRequests(tr, rand.New(rand.NewPCG(1, 1)), 400, 0.3, 1200*ms, 600*ms, 5*time.Second)
	for _, remaining := range []time.Duration{1200 * ms, 596 * ms, 5 * time.Second} {
		if got := tr.Observe("r", remaining); got > 10*ms {
			t.Errorf("%v remaining: %v elapsed, want none", remaining, got)
		}
	}
	if got := tr.Observe("r", 500*ms); got < 90*ms || got > 110*ms {
		t.Errorf("500 ms remaining: %v elapsed, want 100 ms", got)
	}
}

func TestNoElapsedTimeBeforeMinSamples(t *testing.T) {
	tr := NewTracker()
	for range minSamples - 2 {
		tr.Observe("r", 1200*ms)
	}
	if got := tr.Observe("r", 500*ms); got != 0 {
		t.Errorf("%v elapsed, want none", got)
	}
	if got := tr.Observe("other", 500*ms); got != 0 {
		t.Errorf("%v elapsed on a new route, want none", got)
	}
}

func TestChangedTimeoutsBecomeTypical(t *testing.T) {
	tr, rng := NewTracker(), rand.New(rand.NewPCG(1, 1))
	feedRequests(tr, rng, 600, 0, 1200*ms)
	feedRequests(tr, rng, 200, 0, 600*ms)
	if got := tr.Observe("r", 600*ms); got != 0 {
		t.Errorf("%v elapsed, want none", got)
	}
	tr.RetainRoutes(func(string) bool { return false })
	if got := tr.Observe("r", 300*ms); got != 0 || len(tr.routes) != 1 {
		t.Errorf("%v elapsed on a deleted route, %d routes", got, len(tr.routes))
	}
}
