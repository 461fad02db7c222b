package loadshed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPeekAgreesWithDecide plays rising and falling load. A request of which Peek says that
// none is rejected isn't, each rejected one was said to be possible, and questions change no
// decision. It includes priorities beyond the number of ranks.
func TestPeekAgreesWithDecide(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 1))
	loads := &fixedLoads{pressure: idle()}
	asked, unasked := newShedder(loads), newShedder(loads)
	rejected, possible := 0, 0.0
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		switch i % 1000 {
		case 200:
			loads.pressure = full(40 * time.Millisecond)
		case 700:
			loads.pressure = idle()
		}
		priority := rng.IntN(40)
		r := request([]string{"a", "b"}[priority%2], priority)
		var said Decision
		for range 2 {
			said = asked.Peek(now, r)
		}
		d, other := asked.Decide(now, r), unasked.Decide(now, r)
		if d.Admit != other.Admit || d.RetryAfter != other.RetryAfter {
			t.Fatalf("request %d: %+v with questions, %+v without", i, d, other)
		}
		if said.Admit != (said.Fraction == 0) || said.Admit && !d.Admit {
			t.Fatalf("request %d: said %+v, decided %+v", i, said, d)
		}
		possible += said.Fraction
		if !d.Admit {
			rejected++
		}
	}
	if rejected < 500 || float64(rejected) < 0.9*possible || float64(rejected) > 1.1*possible {
		t.Errorf("%d requests were rejected, %.0f by what was said", rejected, possible)
	}
}
