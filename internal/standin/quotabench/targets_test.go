package main

import (
	"strings"
	"testing"
)

// findScenario returns the scenario with the given name.
func findScenario(t *testing.T, name string) scenario {
	t.Helper()
	for _, s := range scenarios() {
		if s.name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

// TestTargets checks the product's scheme against its targets: no admission over
// the arrival curve, and at most a given percentage of wrong refusals.
func TestTargets(t *testing.T) {
	const anyRefusals = 100
	for name, maxRefusedPercent := range map[string]float64{
		"one VM 0.9":                   1,
		"VMs replaced, 0.7":            2,
		"after a zone was cut off":     1,
		"zone cut off 60 s, 0.7":       anyRefusals,
		"jumping 0.9":                  anyRefusals,
		"only the smallest, one VM":    1,
		"one customer x5, others 0.7":  5,
		"crash of one VM, others even": anyRefusals,
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			s := findScenario(t, name)
			for seed := range uint64(3) {
				r := run(seed+1, s, newLeases)
				t.Logf("seed %d: %.2f%% wrongly refused, worst customer served %.2f%%", seed+1, r.wronglyRefused, r.worstServed)
				if r.excess > 0 {
					t.Errorf("seed %d: %.3f admissions over the arrival curve", seed+1, r.excess)
				}
				if r.wronglyRefused > maxRefusedPercent {
					t.Errorf("seed %d: more than %.0f%% wrongly refused", seed+1, maxRefusedPercent)
				}
			}
		})
	}
}

// TestOtherSchemesMissTargets shows that the checks of TestTargets can fail: a
// static split wrongly refuses most requests, and full limits and gossiped counters
// exceed the arrival curve.
func TestOtherSchemesMissTargets(t *testing.T) {
	split := func(sim *simulation) policy { return newLocal(sim, 1/float64(len(sim.positions))) }
	if r := run(1, findScenario(t, "one VM 0.9"), split); r.wronglyRefused < 50 {
		t.Errorf("static split wrongly refused only %.2f%%", r.wronglyRefused)
	}
	full := func(sim *simulation) policy { return newLocal(sim, 1) }
	if r := run(1, findScenario(t, "one customer x5"), full); r.excess == 0 {
		t.Error("full limits stayed within the arrival curve")
	}
	if r := run(1, findScenario(t, "one customer x5"), newGossip); r.excess == 0 {
		t.Error("gossiped counters stayed within the arrival curve")
	}
}
