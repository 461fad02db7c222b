package routing

import (
	"testing"
	"time"
)

// TestNetworkDelayDoesNotMarkCold guards against treating delays of the network
// or of this process as a cold upstream. The upstream usually answers within
// 0.1 ms, so that such a delay exceeds the relative limit on its own. Answers
// that are slower than that must still count as cold.
func TestNetworkDelayDoesNotMarkCold(t *testing.T) {
	now := time.Unix(100, 0)
	const reference = 100 * time.Microsecond
	r := ramp{warm: true}
	for range 10 * slowLimit {
		if r.recordWarmAnswer(now, 1500*time.Microsecond, reference) {
			t.Fatal("answers within the noise limit marked the upstream cold")
		}
	}
	cold := false
	for range slowLimit {
		cold = r.recordWarmAnswer(now, 20*time.Millisecond, reference)
	}
	if !cold {
		t.Fatal("slow answers did not mark the upstream cold")
	}
}

// TestRefusedPickMakesQueryDue lets the query interval grow while no request is
// refused. A refused request must then make the next query due without waiting
// for the long interval to end.
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
		t.Fatal("query is due without a refused request")
	}
	if !r.isQueryDue(now, true) {
		t.Fatal("query is not due after a refused request")
	}
}
