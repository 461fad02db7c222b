package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// settleTime is how long the fleet runs before the first fault, and checkIntervalSteps
// how often the slow checks run.
const (
	settleTime         = 15 * time.Second
	checkIntervalSteps = 25 // steps
	// In each cycle, faults begin in the first stormSteps only. Bounds on time are
	// checked once nothing has been wrong for that long.
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

// Summary returns the last line of a run. It is a function of the seed and the
// number of steps.
func (r Result) Summary() string {
	return fmt.Sprintf("soak: seed=%d steps=%d queries=%d answers=%d violations=%d", r.Seed, r.Steps, r.Queries, r.Answers, r.Violations)
}

// Run goes through the given number of steps.
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

// sendRandomRequest sends one request. The eager tenant sends half of all.
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
		key = newKey(c.name, c.keyNumber-1) // withdrawn
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
