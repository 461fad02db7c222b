package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// settleTime is how long the fleet runs before the first fault, and checkEvery
// how often the slow checks run.
const (
	settleTime = 15 * time.Second
	checkEvery = 25 // steps
	// In each cycle, faults begin in the first stormSteps only. Bounds on time are
	// checked once nothing has been wrong for that long.
	cycleSteps = 1500
	stormSteps = 500
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
		Refusals: w.refusals(), Violations: w.check.total(), ViolationsByCheck: w.check.Violations, Reports: w.check.Reports,
	}
}

func (w *world) step(n int) {
	if n%cycleSteps < stormSteps && w.rng.IntN(faultOneIn) == 0 {
		w.fault()
	}
	if w.rng.IntN(changeOneIn) == 0 {
		w.change()
	}
	for range w.rng.IntN(requestsPerStep + 1) {
		w.traffic()
	}
	w.clock.RunUntil(w.clock.Now().Add(stepTime))
	if n%checkEvery == 0 {
		w.check.converged()
	}
}

// traffic sends one request. The eager tenant sends half of all.
func (w *world) traffic() {
	v := w.anyVM()
	if v == nil {
		return
	}
	t := w.tenants[w.rng.IntN(len(w.tenants))]
	if w.rng.IntN(2) == 0 {
		t = w.tenants[1]
	}
	service := searchName
	if w.rng.IntN(3) == 0 {
		service = orderName
	}
	key := t.key
	if w.rng.IntN(20) == 0 && t.keyNumber > 0 {
		key = newKey(t.name, t.keyNumber-1) // withdrawn
	}
	w.request(v, t.name, key, service)
}

func (w *world) refusals() string {
	var out []string
	for code, n := range w.check.Refusals {
		out = append(out, fmt.Sprintf("%s=%d", code, n))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
