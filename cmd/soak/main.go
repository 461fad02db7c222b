// Command soak runs the decision code of a fleet on a virtual clock under random
// faults. The last line depends on the seed and the steps alone. It exits with 1
// when something that must hold did not.
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
	steps := flag.Int("steps", 20_000, "steps of 20 ms")
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
