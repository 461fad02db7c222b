package bench

import (
	"strings"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/standin/load"
)

func TestSpreadIsTheMedianWithTheRange(t *testing.T) {
	for _, test := range []struct {
		values []float64
		want   spread
	}{
		{nil, spread{}},
		{[]float64{3}, spread{3, 3, 3}},
		{[]float64{9, 1, 4}, spread{1, 4, 9}},
		{[]float64{4, 2, 8, 6}, spread{2, 5, 8}},
	} {
		if got := spreadOf(test.values); got != test.want {
			t.Errorf("%v: %v, want %v", test.values, got, test.want)
		}
	}
}

// TestWindowCountsRefusalsAsNoCoverage summarizes two answers, one of them partial,
// and a refusal, next to a query of another window.
func TestWindowCountsRefusalsAsNoCoverage(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d := &driver{samples: []sample{
		{start: at(0), end: at(10), kind: load.KindAnswer, coverage: 1},
		{start: at(1), end: at(2), kind: load.KindRefusal},
		{start: at(2), end: at(32), kind: load.KindAnswer, coverage: 0.5},
		{start: at(100), end: at(400), kind: load.KindAnswer, coverage: 1},
	}}
	w := d.window(start, at(100))
	if w.Queries != 3 || w.Answered != 2 || w.Complete != 1 || w.Coverage != 0.5 {
		t.Errorf("%+v", w)
	}
	if w.P50MS < 9.9 || w.P50MS > 10.1 || w.MaxMS < 29.9 || w.MaxMS > 30.1 {
		t.Errorf("quantiles: %+v", w)
	}
}

// TestVerdictCountsTheSeedsThatMeetTheTarget has one seed that meets the target and
// one that misses it.
func TestVerdictCountsTheSeedsThatMeetTheTarget(t *testing.T) {
	s := &Summary{
		Tier:  []Result{{Stragglers: Window{P99MS: 50}}, {Stragglers: Window{P99MS: 51}}},
		Naive: []Result{{Stragglers: Window{P99MS: 100}}, {Stragglers: Window{P99MS: 100}}},
	}
	var out strings.Builder
	s.Print(&out)
	if !strings.Contains(out.String(), "| stragglers: p99, ms | 50.5 (50 to 51) | 100 (100 to 100) | at most half of the naive one | 1 of 2 |") {
		t.Error(out.String())
	}
}
