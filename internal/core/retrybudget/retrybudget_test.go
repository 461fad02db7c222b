package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newBudget returns a budget that earns nothing with time.
func newBudget(ratio, burst float64) *Budget {
	return New(func() time.Time { return time.Time{} }, ratio, Limit{Burst: burst})
}

// TestExtraAttemptsStayWithinTheLimit checks the bound over every span of a VM's
// requests while tokens are earned with time.
func TestExtraAttemptsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio = 0.17
		limit := Limit{Burst: 4, PerSecond: 0.8}
		clock := time.Unix(1000, 0)
		b := New(func() time.Time { return clock }, ratio, limit)
		type totals struct {
			requests, extra float64
			at              time.Time
		}
		now := totals{at: clock}
		history := []totals{now}
		for _, ms := range rapid.SliceOfN(rapid.IntRange(-1, 900), 1, 300).Draw(t, "steps") {
			if ms < 0 {
				b.AddForRequest("s")
				now.requests++
			} else {
				clock = clock.Add(time.Duration(ms) * time.Millisecond)
				if b.Take("s") {
					now.extra++
				}
			}
			now.at = clock
			for _, start := range history {
				allowed := ratio*(now.requests-start.requests) + limit.Burst + limit.PerSecond*now.at.Sub(start.at).Seconds()
				if extra := now.extra - start.extra; extra > allowed+1e-6 {
					t.Fatalf("%v extra attempts, allowed %v", extra, allowed)
				}
			}
			history = append(history, now)
		}
	})
}

// takeAll returns how many tokens a service has.
func takeAll(b *Budget) int {
	n := 0
	for b.Take("a") {
		n++
	}
	return n
}

func TestTokensAreEarnedWithTime(t *testing.T) {
	clock := time.Unix(1000, 0)
	b := New(func() time.Time { return clock }, 0, Limit{Burst: 2, PerSecond: 0.5})
	if b.Take("a") {
		t.Error("a token at the start, with 0.8 of one")
	}
	clock = clock.Add(time.Second)
	if n := takeAll(b); n != 1 {
		t.Errorf("%d tokens after 1 s at 0.5 a second, want 1", n)
	}
	clock = clock.Add(time.Minute)
	if n := takeAll(b); n != 2 {
		t.Errorf("%d tokens after a minute, want the burst of 2", n)
	}
}

// TestExtraAttemptsStayWithinRatioAndBurst checks the bound over every span of
// a VM's requests. The bound on the sum over VMs follows from it.
func TestExtraAttemptsStayWithinRatioAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, burst = 0.17, 4.0
		b := newBudget(ratio, burst)
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
	b := newBudget(1, 2)
	b.AddForRequest("a")
	if b.Take("b") {
		t.Error("a service spent a token that another one earned")
	}
	if !b.Take("a") {
		t.Error("a retry was denied although a token was earned")
	}
}

func TestHedgesLeaveTokensForRetries(t *testing.T) {
	b := newBudget(0.4, 4)
	if b.TakeHedge("a") {
		t.Error("a hedge took the last token")
	}
	if !b.Take("a") {
		t.Error("a retry was denied")
	}
}

func TestSmallBurstsAllowHedges(t *testing.T) {
	b := newBudget(0.17, 1.7)
	for range 10 {
		b.AddForRequest("a")
	}
	if !b.TakeHedge("a") {
		t.Error("a hedge was denied with a full budget")
	}
}

// TestTakeAllTakesFromAllOrNone checks that a request over shards that lacks the budget of
// one service spends that of none.
func TestTakeAllTakesFromAllOrNone(t *testing.T) {
	b := newBudget(1, 2)
	b.AddForRequest("a")
	if b.TakeAll([]string{"a", "b"}) {
		t.Error("a service without a token allowed an attempt")
	}
	b.AddForRequest("b")
	if !b.TakeAll([]string{"a", "b"}) {
		t.Error("the tokens of the other service were spent")
	}
	if b.Take("a") || b.Take("b") {
		t.Error("a token was spent twice")
	}
}

// TestServicesMayHaveLimitsOfTheirOwn checks that a limit of one service leaves the others
// alone, and that it ends when the limits are replaced.
func TestServicesMayHaveLimitsOfTheirOwn(t *testing.T) {
	clock := time.Unix(1000, 0)
	b := New(func() time.Time { return clock }, 1, Limit{Burst: 2})
	b.SetLimits(Limit{Burst: 2}, map[string]Limit{"own": {Burst: 5}})
	spend := func(service string) int {
		for range 20 {
			b.AddForRequest(service)
		}
		n := 0
		for b.Take(service) {
			n++
		}
		return n
	}
	if own, other := spend("own"), spend("other"); own != 5 || other != 2 {
		t.Errorf("%d and %d extra attempts, want 5 and 2", own, other)
	}
	b.SetLimits(Limit{Burst: 3}, nil)
	if n := spend("own"); n != 3 {
		t.Errorf("%d extra attempts without a limit of its own, want 3", n)
	}
}
