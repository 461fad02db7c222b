// Command soak runs the core packages of a fleet on a virtual clock under random
// faults. The last line depends only on the seed and the number of steps. The
// exit code is 1 if an invariant was violated.
package main

import (
	"flag"
	"fmt"
	"os"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/soak"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the run")
	steps := flag.Int("steps", 20_000, "number of 20 ms steps")
	flag.Parse()
	r := soak.Run(*seed, *steps)
	for _, line := range r.Reports {
		fmt.Println(line)
	}
	violations := 0
	for name, n := range invariant.Violations() {
		fmt.Printf("invariant %s violated %d times\n", name, n)
		violations += int(n)
	}
	fmt.Println("refusals:", r.Refusals)
	r.Violations += violations
	fmt.Println(r.Summary())
	if r.Violations > 0 {
		os.Exit(1)
	}
}
