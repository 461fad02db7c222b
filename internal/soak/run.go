package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

const (
	// settleTime is how long the fleet runs before the first step.
	settleTime = 15 * time.Second
	// checkIntervalSteps is the number of steps between two convergence checks.
	checkIntervalSteps = 25
	// In each cycle, faults begin in the first faultSteps steps only. Time bounds
	// are checked only after a fault-free period of the bound's length.
	cycleSteps = 1500
	faultSteps = 500
)

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Steps      int
	Queries    int
	Answers    int
	Refusals   string
	Violations int
	// ViolationsByCheck counts the violations of each check.
	ViolationsByCheck map[string]int
	Reports           []string
}

// Summary returns the summary line of a run. It depends only on the seed and the
// number of steps.
func (r Result) Summary() string {
	return fmt.Sprintf("soak: seed=%d steps=%d queries=%d answers=%d violations=%d", r.Seed, r.Steps, r.Queries, r.Answers, r.Violations)
}

// Run runs the simulation for the given number of steps.
func Run(seed uint64, steps int) Result {
	return runWith(seed, steps, hooks{})
}

func runWith(seed uint64, steps int, h hooks) Result {
	w := newWorld(seed, h)
	w.clock.RunUntil(w.started.Add(settleTime))
	for step := range steps {
		w.step(step)
	}
	return Result{
		Seed: seed, Steps: steps, Queries: w.queries, Answers: w.check.Answers,
		Refusals: w.formatRefusals(), Violations: w.check.totalViolations(), ViolationsByCheck: w.check.Violations, Reports: w.check.Reports,
	}
}

func (w *world) step(n int) {
	if n%cycleSteps < faultSteps && w.rng.IntN(faultOneIn) == 0 {
		w.injectRandomFault()
	}
	if w.rng.IntN(changeOneIn) == 0 {
		w.makeRandomChange()
	}
	for range w.rng.IntN(requestsPerStep + 1) {
		w.sendRandomRequest()
	}
	w.clock.RunUntil(w.clock.Now().Add(stepTime))
	if n%checkIntervalSteps == 0 {
		w.check.checkConvergence()
	}
}

// sendRandomRequest sends one request. More than half of all requests come from
// customers[1], so that it exceeds its limit.
func (w *world) sendRandomRequest() {
	v := w.anyVM()
	if v == nil {
		return
	}
	c := w.customers[w.rng.IntN(len(w.customers))]
	if w.rng.IntN(2) == 0 {
		c = w.customers[1]
	}
	service := searchService
	if w.rng.IntN(3) == 0 {
		service = orderService
	}
	key := c.key
	if w.rng.IntN(20) == 0 && c.keyNumber > 0 {
		key = newKey(c.name, c.keyNumber-1) // revoked
	}
	w.sendQuery(v, c.name, key, service)
}

func (w *world) formatRefusals() string {
	var out []string
	for code, n := range w.check.Refusals {
		out = append(out, fmt.Sprintf("%s=%d", code, n))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
