package quota_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain makes the property tests reproducible. Flags given on the command
// line, such as -rapid.seed and -rapid.checks, take precedence.
func TestMain(m *testing.M) {
	defaults := map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "24",
		"rapid.steps":      "40",
		"rapid.nofailfile": "true",
	}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRapidCurve runs a fleet under random faults and checks all admissions
// against the customers' arrival curves. Each run uses a random subset of the
// faults, so that each of them occurs often in some runs (Groce et al., Swarm
// Testing, 2012).
func TestRapidCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "world"), nil)
		w.run(warmUp)
		actions := make(map[string]func(*rapid.T))
		all := faults()
		for _, name := range slices.Sorted(maps.Keys(all)) {
			fault := all[name]
			if rapid.IntRange(0, 1).Draw(t, "without "+name) == 1 && name != "wait" {
				continue
			}
			actions[name] = func(t *rapid.T) {
				fault(w, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, name) })
			}
		}
		actions[""] = func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if w.failure != "" {
				t.Fatal(w.failure)
			}
		}
		t.Repeat(actions)
		w.run(5 * time.Second)
		if w.failure != "" {
			t.Fatal(w.failure)
		}
	})
}
