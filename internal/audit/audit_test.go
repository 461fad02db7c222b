package audit

import (
	"testing"

	"github.com/rs/zerolog"
)

func TestTrailKeepsTheNewest(t *testing.T) {
	trail := New(zerolog.Nop())
	for range Capacity + 10 {
		trail.Add(Entry{Kind: "test"})
	}
	all := trail.Since(0)
	if len(all) != Capacity || all[0].Seq != 11 || all[Capacity-1].Seq != Capacity+10 {
		t.Fatalf("kept %d entries from %d to %d", len(all), all[0].Seq, all[len(all)-1].Seq)
	}
	if got := trail.Since(Capacity + 8); len(got) != 2 {
		t.Fatalf("%d entries since the last but two", len(got))
	}
}
