package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
)

// Summary collects the results of all seeds.
type Summary struct {
	Tier, Naive []Result
	Cost        []Cost
}

// ReadSummary reads result files: for each seed one of the tier and one of the
// naive variant, in the same order, and those of the cost runs.
func ReadSummary(tier, naive, cost []string) (*Summary, error) {
	var s Summary
	var err error
	if s.Tier, err = readAll[Result](tier); err != nil {
		return nil, err
	}
	if s.Naive, err = readAll[Result](naive); err != nil {
		return nil, err
	}
	s.Cost, err = readAll[Cost](cost)
	return &s, err
}

func readAll[T any](files []string) ([]T, error) {
	var out []T
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var v T
		if err := json.Unmarshal(content, &v); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		out = append(out, v)
	}
	return out, nil
}

// spread is the median, minimum and maximum of some values.
type spread struct {
	low, median, high float64
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	n := len(sorted)
	return spread{low: sorted[0], median: (sorted[(n-1)/2] + sorted[n/2]) / 2, high: sorted[n-1]}
}

// String returns the median with the range in brackets.
func (s spread) String() string {
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.median, s.low, s.high)
}

// column returns the spread of one value over all results.
func column[T any](results []T, value func(T) float64) spread {
	var values []float64
	for _, r := range results {
		values = append(values, value(r))
	}
	return spreadOf(values)
}

// row is a line of the table. If it has a target, met reports whether the tier
// meets it for one seed.
type row struct {
	name   string
	value  func(Result) float64
	target string
	met    func(tier, naive Result) bool
}

var rows = []row{
	{"time to full service of new daemons, s", func(r Result) float64 { return r.WarmUpS }, "", nil},
	{"healthy p50, ms", func(r Result) float64 { return r.Healthy.P50MS }, "", nil},
	{"healthy p99, ms", func(r Result) float64 { return r.Healthy.P99MS }, "", nil},
	{"stragglers: p99, ms", func(r Result) float64 { return r.Stragglers.P99MS }, "at most half of the naive one",
		func(t, n Result) bool { return t.Stragglers.P99MS <= 0.5*n.Stragglers.P99MS }},
	{"stragglers: extra upstream requests", func(r Result) float64 { return r.ExtraRequestRatio }, "at most 0.05",
		func(t, _ Result) bool { return t.ExtraRequestRatio <= 0.05 }},
	{"stragglers: coverage", func(r Result) float64 { return r.Stragglers.Coverage }, "at least 0.999",
		func(t, _ Result) bool { return t.Stragglers.Coverage >= 0.999 }},
	{"frozen replica, first 2 s: p99, ms", func(r Result) float64 { return r.FrozenStart.P99MS }, "", nil},
	{"frozen replica, after 2 s: p99, ms", func(r Result) float64 { return r.Frozen.P99MS }, "at most twice the healthy one",
		func(t, _ Result) bool { return t.Frozen.P99MS <= 2*t.Healthy.P99MS }},
	{"frozen replica, after 2 s: coverage", func(r Result) float64 { return r.Frozen.Coverage }, "", nil},
	{"zone: steady p99, ms", func(r Result) float64 { return r.Steady.P99MS }, "", nil},
	{"zone out: p99, ms", func(r Result) float64 { return r.ZoneOut.P99MS }, "at most twice the steady one",
		func(t, _ Result) bool { return t.ZoneOut.P99MS <= 2*t.Steady.P99MS }},
	{"zone back: p99, ms", func(r Result) float64 { return r.ZoneReturn.P99MS }, "at most twice the steady one",
		func(t, _ Result) bool { return t.ZoneReturn.P99MS <= 2*t.Steady.P99MS }},
	{"zone out and back: refused or incomplete queries", Result.zoneIncomplete, "0",
		func(t, _ Result) bool { return t.zoneIncomplete() == 0 }},
	{"zone: its upstreams' requests before", func(r Result) float64 { return float64(r.ZoneRequestsSteady) }, "", nil},
	{"zone: its upstreams' requests from 3 s on", func(r Result) float64 { return float64(r.ZoneRequestsOut) }, "0",
		func(t, _ Result) bool { return t.ZoneRequestsOut == 0 }},
	{"cold: overruns", func(r Result) float64 { return float64(r.Overruns) }, "0",
		func(t, _ Result) bool { return t.Overruns == 0 }},
	{"cold: most running at a time", func(r Result) float64 { return float64(r.MaxRunningCold) }, "", nil},
	{"cold: time to full service, s (-1: not reached)", func(r Result) float64 { return r.FullServiceS }, "", nil},
	{"cold: coverage over the 12 s", func(r Result) float64 { return r.Cold.Coverage }, "", nil},
	{"wrong answers", Result.wrong, "0", func(t, _ Result) bool { return t.wrong() == 0 }},
}

// zoneIncomplete counts the queries that were not answered, or without all shards,
// although another zone had capacity for them.
func (r Result) zoneIncomplete() float64 {
	return float64(r.ZoneOut.Queries - r.ZoneOut.Complete + r.ZoneReturn.Queries - r.ZoneReturn.Complete)
}

func (r Result) wrong() float64 {
	n := 0
	for _, w := range []Window{r.Healthy, r.Stragglers, r.FrozenStart, r.Frozen, r.Steady, r.ZoneOut, r.ZoneReturn, r.Cold} {
		n += w.Wrong
	}
	return float64(n)
}

// Print writes the results as tables in Markdown.
func (s *Summary) Print(w io.Writer) {
	if len(s.Tier) > 0 {
		s.printScenarios(w)
	}
	if len(s.Cost) > 0 {
		fmt.Fprintln(w)
		s.printCost(w)
	}
}

func (s *Summary) printScenarios(w io.Writer) {
	fmt.Fprintf(w, "Median of %d seeds, with the range.\n\n", len(s.Tier))
	fmt.Fprintln(w, "| measure | tier | naive | target | met |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %v | %v | %s | %s |\n", r.name, column(s.Tier, r.value), column(s.Naive, r.value), r.target, s.verdict(r))
	}
}

func (s *Summary) verdict(r row) string {
	if r.met == nil {
		return ""
	}
	met := 0
	for i := range s.Tier {
		if r.met(s.Tier[i], s.Naive[i]) {
			met++
		}
	}
	return fmt.Sprintf("%d of %d", met, len(s.Tier))
}

func (s *Summary) printCost(w io.Writer) {
	fmt.Fprintln(w, "| cost | tier | bare loop | tier / bare loop |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	line := func(name string, tier, bare func(Cost) float64) {
		ratio := func(c Cost) float64 { return tier(c) / bare(c) }
		fmt.Fprintf(w, "| %s | %v | %v | %v |\n", name, column(s.Cost, tier), column(s.Cost, bare), column(s.Cost, ratio))
	}
	line("median with one caller, ms", func(c Cost) float64 { return c.TierP50MS }, func(c Cost) float64 { return c.BareP50MS })
	line("processor time per upstream request, µs", func(c Cost) float64 { return c.TierCPUMicros }, func(c Cost) float64 { return c.BareCPUMicros })
	line("upstream requests per second", func(c Cost) float64 { return c.TierRate }, func(c Cost) float64 { return c.BareRate })
	addedLatency := column(s.Cost, func(c Cost) float64 { return c.TierP50MS - c.BareP50MS })
	fmt.Fprintf(w, "\nAdded latency at the median: %v ms.\n", addedLatency)
	for _, c := range s.Cost {
		fmt.Fprintf(w, "Seed %d: queries without a complete answer: %v; failed requests of the bare loop: %d.\n", c.Seed, c.Failures, c.BareFailed)
	}
}
