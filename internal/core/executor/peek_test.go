package executor

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestPeekNamesTheNextCandidates checks that the rotation doesn't advance with questions.
func TestPeekNamesTheNextCandidates(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	d := NewDirectory("x", "a", 3)
	d.Update(epoch, VMs{
		Executors: map[string][]string{"a": {"a1", "a2", "a3"}, "b": {"b1", "b2"}}, Helpers: map[string][]string{"a": {"h1", "h2"}, "b": {"h3"}}, OwnZone: 5,
	})
	zones := zonesOf("a", "b")
	now := epoch
	for i := range 200 {
		now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
		if rng.IntN(5) == 0 {
			d.Avoid(now, []string{"a1", "a2", "b1", "h1"}[rng.IntN(4)])
		}
		for range 2 {
			d.PeekHelpers(now)
			d.PeekCandidates(now, zones)
		}
		if said, got := d.PeekCandidates(now, zones), d.Candidates(now, zones); !slices.Equal(said, got) {
			t.Fatalf("request %d: candidates %v, said %v", i, got, said)
		}
		if said, got := d.PeekHelpers(now), d.Helpers(now); !slices.Equal(said, got) {
			t.Fatalf("request %d: helpers %v, said %v", i, got, said)
		}
	}
}
