package retrydetect

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// feedRequests plays first attempts with the given budgets, less some milliseconds for new
// connections, and repeats of a part of them.
func feedRequests(t *Tracker, rng *rand.Rand, requests int, repeats float64, first ...time.Duration) {
	for range requests {
		budget := first[rng.IntN(len(first))]
		t.Observe("r", budget-time.Duration(rng.IntN(3))*4*ms)
		if rng.Float64() < repeats {
			t.Observe("r", time.Duration(float64(budget)*(0.5+0.4*rng.Float64())))
		}
	}
}

func TestElapsedTimeOfRetries(t *testing.T) {
	for _, repeats := range []float64{0, 0.3, 1} {
		tr := NewTracker()
		feedRequests(tr, rand.New(rand.NewPCG(1, 1)), 400, repeats, 1200*ms)
		for left, want := range map[time.Duration]time.Duration{1200 * ms: 0, 1192 * ms: 0, 900 * ms: 300 * ms, 400 * ms: 800 * ms} {
			if got := tr.Observe("r", left); got < want-10*ms || got > want+10*ms {
				t.Errorf("with %v of the requests repeated, %v left: %v spent, want %v", repeats, left, got, want)
			}
		}
	}
}

func TestShorterBudgetsOfOtherCallersAreNotRetries(t *testing.T) {
	tr := NewTracker()
	feedRequests(tr, rand.New(rand.NewPCG(1, 1)), 400, 0.3, 1200*ms, 600*ms, 5*time.Second)
	for _, left := range []time.Duration{1200 * ms, 596 * ms, 5 * time.Second} {
		if got := tr.Observe("r", left); got > 10*ms {
			t.Errorf("%v left: %v spent, want none", left, got)
		}
	}
	if got := tr.Observe("r", 500*ms); got < 90*ms || got > 110*ms {
		t.Errorf("500 ms left: %v spent, want 100 ms", got)
	}
}

func TestNoElapsedTimeBeforeMinSamples(t *testing.T) {
	tr := NewTracker()
	for range minSamples - 2 {
		tr.Observe("r", 1200*ms)
	}
	if got := tr.Observe("r", 500*ms); got != 0 {
		t.Errorf("%v spent, want none", got)
	}
	if got := tr.Observe("other", 500*ms); got != 0 {
		t.Errorf("%v spent on a new route, want none", got)
	}
}

func TestChangedBudgetsBecomeTypical(t *testing.T) {
	tr, rng := NewTracker(), rand.New(rand.NewPCG(1, 1))
	feedRequests(tr, rng, 600, 0, 1200*ms)
	feedRequests(tr, rng, 200, 0, 600*ms)
	if got := tr.Observe("r", 600*ms); got != 0 {
		t.Errorf("%v spent, want none", got)
	}
	tr.RetainRoutes(func(string) bool { return false })
	if got := tr.Observe("r", 300*ms); got != 0 || len(tr.routes) != 1 {
		t.Errorf("%v spent on a forgotten route, %d routes", got, len(tr.routes))
	}
}
