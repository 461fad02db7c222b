// Command scattermodel measures the decisions of package scatter on a virtual
// clock. It models shards of replicas with slots and queues. Depending on the
// scenario, replicas are slow, freeze or switch to a new snapshot. For each policy
// and scenario it prints one line with the median and the range over the seeds. The
// results don't include the cost of sockets and scheduling.
package main

import (
	"flag"
	"fmt"
	"slices"
	"time"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	var c config
	flag.IntVar(&c.shards, "groups", 10, "number of shards with three replicas each; each query covers all shards")
	flag.Float64Var(&c.rate, "rate", 400, "queries per second")
	flag.DurationVar(&c.duration, "length", 40*time.Second, "virtual duration of each run")
	only := flag.String("scenario", "", "run only this scenario")
	flag.Parse()
	fmt.Printf("%-9s %-22s %-26s %-26s %-24s %-24s %s\n", "scenario", "policy", "p50 ms", "p99 ms", "extra requests", "rejected requests", "coverage")
	for _, scenario := range []scenario{healthy, slow, frozen, overlap, longOverlap, exchange} {
		if *only != "" && *only != scenario.String() {
			continue
		}
		for _, p := range policies() {
			report(scenario, p, *seeds, c)
		}
	}
}

// config holds the parameters of a run.
type config struct {
	shards   int
	rate     float64 // queries per second
	duration time.Duration
}

// report runs one policy over all seeds and prints its line.
func report(s scenario, p policy, seeds int, c config) {
	var p50, p99, extra, rejected, coverage []float64
	for seed := range seeds {
		r := run(uint64(seed+1), s, p, c)
		p50 = append(p50, r.quantile(0.50))
		p99 = append(p99, r.quantile(0.99))
		extra = append(extra, r.extraFraction())
		rejected = append(rejected, float64(r.rejected)/float64(r.firstAttempts))
		coverage = append(coverage, r.coverage/float64(r.queries))
	}
	fmt.Printf("%-9s %-22s %-26s %-26s %-24s %-24s %s\n", s, p.name,
		medianAndRange(p50, "%.2f"), medianAndRange(p99, "%.2f"), medianAndRange(extra, "%.4f"), medianAndRange(rejected, "%.4f"), medianAndRange(coverage, "%.5f"))
}

// medianAndRange formats the median and the range of the values.
func medianAndRange(values []float64, format string) string {
	slices.Sort(values)
	f := format + " (" + format + ".." + format + ")"
	return fmt.Sprintf(f, values[len(values)/2], values[0], values[len(values)-1])
}

// result holds the measurements of one run.
type result struct {
	queries       int
	firstAttempts int // one per query and shard
	attempts      int
	rejected      int     // attempts at upstreams without the required snapshot
	coverage      float64 // sum over the queries; a refused query counts as zero
	durations     []float64
}

// quantile returns a quantile of the queries' durations in milliseconds.
func (r *result) quantile(q float64) float64 {
	slices.Sort(r.durations)
	return r.durations[int(q*float64(len(r.durations)-1))]
}

// extraFraction returns the number of extra attempts divided by that of first
// attempts.
func (r *result) extraFraction() float64 {
	return float64(r.attempts-r.firstAttempts) / float64(r.firstAttempts)
}
