package customerrate

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// TestPeekSaysWhatAdmitDecides checks that Peek returns the decision on the next request,
// however often it is asked before, and takes no token.
func TestPeekSaysWhatAdmitDecides(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 1))
	customer := routetable.Customer{Name: "shop", RatePerSecond: 20, Burst: 10}
	asked, unasked := NewLimiter(DefaultPolicy()), NewLimiter(DefaultPolicy())
	now := time.Unix(1000, 0)
	for _, l := range []*Limiter{asked, unasked} {
		l.Update(now, []routetable.Customer{customer})
	}
	admitted := 0
	for i := range 4000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		if i%20 == 0 {
			reportNow := time.Duration(now.UnixNano())
			asked.Tick(now, reportNow)
			unasked.Tick(now, reportNow)
		}
		late := rng.IntN(4) == 0
		var said Allowance
		for range 3 {
			said, _ = asked.Peek(now, "shop", late)
		}
		ok, retryAfter := asked.Admit(now, &customer, late)
		if said.Admits != ok || said.RetryAfter != retryAfter {
			t.Fatalf("request %d: Peek said %v, %v; Admit decided %v, %v", i, said.Admits, said.RetryAfter, ok, retryAfter)
		}
		if other, otherAfter := unasked.Admit(now, &customer, late); other != ok || otherAfter != retryAfter {
			t.Fatalf("request %d: %v, %v with Peek, %v, %v without", i, ok, retryAfter, other, otherAfter)
		}
		if ok {
			admitted++
		}
	}
	if admitted == 0 || admitted == 4000 {
		t.Errorf("%d of 4000 requests were admitted", admitted)
	}
	if _, limited := asked.Peek(now, "unknown", false); limited {
		t.Error("a customer without a rate is limited")
	}
}
