package retrybudget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestExtraAttemptsStayWithinRatioAndBurst checks the bound over any span of a VM's
// requests: the sum over VMs follows.
func TestExtraAttemptsStayWithinRatioAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, reserve = 0.17, 4.0
		b := New(ratio, reserve)
		type event struct{ requests, repeats float64 }
		var sums []event
		var now event
		for _, take := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "takes") {
			if take {
				if b.Take("s") {
					now.repeats++
				}
			} else {
				b.Earn("s")
				now.requests++
			}
			for _, from := range append(sums, event{}) {
				if repeats, requests := now.repeats-from.repeats, now.requests-from.requests; repeats > ratio*requests+reserve+1e-6 {
					t.Fatalf("%v repeats beside %v requests", repeats, requests)
				}
			}
			sums = append(sums, now)
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(1, 2)
	b.Earn("a")
	if b.Take("b") {
		t.Error("a repeat at one service was earned at another")
	}
	if !b.Take("a") {
		t.Error("an earned repeat was denied")
	}
}

func TestHedgesLeaveTokensForRetries(t *testing.T) {
	b := New(0.4, 4)
	if b.TakeHedge("a") {
		t.Error("a hedge took the last repeat")
	}
	if !b.Take("a") {
		t.Error("a retry was denied")
	}
}

func TestSmallBurstsAllowHedges(t *testing.T) {
	b := New(0.17, 1.7)
	for range 10 {
		b.Earn("a")
	}
	if !b.TakeHedge("a") {
		t.Error("a hedge was denied with a full reserve")
	}
}
