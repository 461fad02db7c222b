package upstreamlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/upstreamlimit"
)

// TestPeekSaysWhatAdmitDecides checks that a question takes no credit of a stated limit.
func TestPeekSaysWhatAdmitDecides(t *testing.T) {
	l := upstreamlimit.NewTracker(upstreamlimit.DefaultPolicy(), rand.New(rand.NewPCG(6, 1)), func(upstreamlimit.Change) {})
	now := time.Second
	l.Observe(now, "i", 5, true)
	refused := 0
	for n := range 2000 {
		if now += 10 * time.Millisecond; n%25 == 0 {
			l.Tick(now)
		}
		for range 3 {
			l.Peek("i")
		}
		said, saidFraction := l.Peek("i")
		ok, fraction := l.Admit("i")
		if said != ok || saidFraction != fraction {
			t.Fatalf("attempt %d: %v, %v, said %v, %v", n, ok, fraction, said, saidFraction)
		}
		if !ok {
			refused++
		}
	}
	if refused < 500 {
		t.Errorf("only %d of 2000 attempts were refused at a twentieth of the demand", refused)
	}
	if ok, fraction := l.Peek("other"); !ok || fraction != 1 {
		t.Errorf("an instance without a limit: %v, %v", ok, fraction)
	}
}
