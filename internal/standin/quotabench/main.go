// Command quotabench compares schemes that enforce a rate limit over many VMs, in
// a simulation with a virtual clock. Its seeds are fixed, so that every run prints
// the same table.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	only := flag.String("scheme", "", "run only this scheme")
	demand := flag.String("demand", "", "run only the demands whose names contain this")
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "demand\tscheme\texcess\twrongly refused, %%\tworst customer served, %%\twaited, %%\twait, ms\tmessages/s/VM\tbytes/s/VM\n")
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *demand) {
			continue
		}
		for _, p := range policies() {
			if *only != "" && *only != p.name {
				continue
			}
			var runs []result
			for seed := range *seeds {
				runs = append(runs, run(uint64(seed+1), s, p.build))
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.name, p.name,
				spread(runs, "%.1f", func(r result) float64 { return r.excess }),
				spread(runs, "%.2f", func(r result) float64 { return r.wronglyRefused }),
				spread(runs, "%.2f", func(r result) float64 { return r.worstServed }),
				spread(runs, "%.1f", func(r result) float64 { return r.waited }),
				spread(runs, "%.1f", func(r result) float64 { return r.meanWaitMS }),
				spread(runs, "%.0f", func(r result) float64 { return r.messages }),
				spread(runs, "%.0f", func(r result) float64 { return r.bytes }))
		}
	}
	_ = w.Flush()
}

// spread formats the median with the minimum and the maximum.
func spread(runs []result, format string, value func(result) float64) string {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = value(r)
	}
	slices.Sort(values)
	f := format + " (" + format + " to " + format + ")"
	return fmt.Sprintf(f, values[len(values)/2], values[0], values[len(values)-1])
}
