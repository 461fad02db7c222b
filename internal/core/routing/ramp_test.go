package routing

import (
	"testing"
	"time"
)

// TestNoiseIsNotCold gives answers that are late by this side's own delays to an
// upstream that usually answers in a tenth of a millisecond, and then late ones
// of the upstream itself.
func TestNoiseIsNotCold(t *testing.T) {
	now := time.Unix(100, 0)
	const usual = 100 * time.Microsecond
	r := ramp{warm: true}
	for range 10 * slowLimit {
		if r.answeredWarm(now, 1500*time.Microsecond, usual) {
			t.Fatal("noise counts as cold")
		}
	}
	cold := false
	for range slowLimit {
		cold = r.answeredWarm(now, 20*time.Millisecond, usual)
	}
	if !cold {
		t.Fatal("slow answers don't count as cold")
	}
}

// TestRefusedRequestIsNotPutOff lets the interval of questions grow while nothing
// is refused. A refusal makes the next question due at once.
func TestRefusedRequestIsNotPutOff(t *testing.T) {
	now := time.Unix(100, 0)
	var r ramp
	r.turnCold(now)
	for r.askAfter < lastAsk {
		now = r.askAt
		r.scheduleAsk(now, false)
	}
	now = now.Add(wantedAsk)
	if r.isAskDue(now, false) {
		t.Fatal("due without a refusal")
	}
	if !r.isAskDue(now, true) {
		t.Fatal("a refused request has to wait")
	}
}
