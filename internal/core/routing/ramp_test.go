package routing

import (
	"testing"
	"time"
)

// TestNetworkDelayDoesNotMarkCold gives answers that are late by this side's own delays to an
// upstream that usually answers in a tenth of a millisecond, and then late ones
// of the upstream itself.
func TestNetworkDelayDoesNotMarkCold(t *testing.T) {
	now := time.Unix(100, 0)
	const reference = 100 * time.Microsecond
	r := ramp{warm: true}
	for range 10 * slowLimit {
		if r.recordWarmAnswer(now, 1500*time.Microsecond, reference) {
			t.Fatal("noise counts as cold")
		}
	}
	cold := false
	for range slowLimit {
		cold = r.recordWarmAnswer(now, 20*time.Millisecond, reference)
	}
	if !cold {
		t.Fatal("slow answers don't count as cold")
	}
}

// TestRefusedPickMakesQueryDue lets the interval of questions grow while nothing
// is refused. A refusal makes the next question due at once.
func TestRefusedPickMakesQueryDue(t *testing.T) {
	now := time.Unix(100, 0)
	var r ramp
	r.turnCold(now)
	for r.queryInterval < maxQueryInterval {
		now = r.nextQueryAt
		r.scheduleQuery(now, false)
	}
	now = now.Add(demandQueryInterval)
	if r.isQueryDue(now, false) {
		t.Fatal("due without a refusal")
	}
	if !r.isQueryDue(now, true) {
		t.Fatal("a refused request has to wait")
	}
}
