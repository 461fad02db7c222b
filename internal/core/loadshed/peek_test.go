package loadshed

import (
	"testing"
	"time"
)

// TestPeekSaysWhatDecideDoes compares answers with decisions, calm and short of slots, and
// checks that questions change none of these.
func TestPeekSaysWhatDecideDoes(t *testing.T) {
	loads := &fixedLoads{pressure: idle()}
	s, twin := newShedder(loads), newShedder(loads)
	now := start
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		if i == 1000 {
			loads.pressure = full(60 * time.Millisecond)
		}
		r := request("sweep", 1)
		peeked := s.Peek(now, r)
		if again := s.Peek(now, r); again != peeked {
			t.Fatalf("two answers at one time: %+v and %+v", peeked, again)
		}
		d := s.Decide(now, r)
		if other := twin.Decide(now, r); d != other {
			t.Fatalf("asked %+v, not asked %+v", d, other)
		}
		if peeked.Admit && !d.Admit && peeked.Fraction == d.Fraction {
			t.Fatalf("said to be admitted, and rejected: %+v", d)
		}
	}
	if d := s.Peek(now, request("sweep", 1)); d.Admit || d.Fraction < 0.5 || d.RetryAfter <= 0 || d.Wait != 60*time.Millisecond {
		t.Errorf("after three seconds of overload: %+v", d)
	}
	loads.pressure = idle()
	if d := s.Peek(now, request("sweep", 1)); !d.Admit {
		t.Errorf("rejected with free slots: %+v", d)
	}
}
