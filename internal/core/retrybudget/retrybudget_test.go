package retrybudget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestExtraAttemptsStayWithinRatioAndBurst checks the bound over every span of
// a VM's requests. The bound on the sum over VMs follows from it.
func TestExtraAttemptsStayWithinRatioAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, burst = 0.17, 4.0
		b := New(ratio, burst)
		type totals struct{ requests, extra float64 }
		var history []totals
		var now totals
		for _, take := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "takes") {
			if take {
				if b.Take("s") {
					now.extra++
				}
			} else {
				b.AddForRequest("s")
				now.requests++
			}
			for _, start := range append(history, totals{}) {
				if extra, requests := now.extra-start.extra, now.requests-start.requests; extra > ratio*requests+burst+1e-6 {
					t.Fatalf("%v extra attempts for %v requests", extra, requests)
				}
			}
			history = append(history, now)
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(1, 2)
	b.AddForRequest("a")
	if b.Take("b") {
		t.Error("a service spent a token that another one earned")
	}
	if !b.Take("a") {
		t.Error("a retry was denied although a token was earned")
	}
}

func TestHedgesLeaveTokensForRetries(t *testing.T) {
	b := New(0.4, 4)
	if b.TakeHedge("a") {
		t.Error("a hedge took the last token")
	}
	if !b.Take("a") {
		t.Error("a retry was denied")
	}
}

func TestSmallBurstsAllowHedges(t *testing.T) {
	b := New(0.17, 1.7)
	for range 10 {
		b.AddForRequest("a")
	}
	if !b.TakeHedge("a") {
		t.Error("a hedge was denied with a full budget")
	}
}
