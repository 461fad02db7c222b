package audit

import (
	"testing"

	"github.com/rs/zerolog"
)

func TestTrailKeepsTheNewest(t *testing.T) {
	const kept = Capacity / 2
	trail := New(zerolog.Nop())
	for range kept + 10 {
		trail.Add(Entry{Kind: "test"})
	}
	all := trail.Since(0)
	if len(all) != kept || all[0].Seq != 11 || all[kept-1].Seq != kept+10 {
		t.Fatalf("kept %d entries from %d to %d", len(all), all[0].Seq, all[len(all)-1].Seq)
	}
	if got := trail.Since(kept + 8); len(got) != 2 {
		t.Fatalf("%d entries since the last but two", len(got))
	}
}

// TestFrequentEntriesDoNotEvictOthers adds many lease entries after one
// configuration change.
func TestFrequentEntriesDoNotEvictOthers(t *testing.T) {
	trail := New(zerolog.Nop())
	trail.Add(Entry{Kind: "config_accepted"})
	for range 3 * Capacity {
		trail.AddFrequent(Entry{Kind: "quota_lent"})
	}
	all := trail.Since(0)
	if all[0].Kind != "config_accepted" || len(all) != Capacity/2+1 {
		t.Fatalf("first %q of %d entries", all[0].Kind, len(all))
	}
	for i := 1; i < len(all); i++ {
		if all[i].Seq <= all[i-1].Seq {
			t.Fatal("not in order")
		}
	}
}
