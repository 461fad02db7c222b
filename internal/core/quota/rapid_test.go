package quota_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// TestMain makes the property tests repeat themselves. Flags given on the
// command line, such as -rapid.seed and -rapid.checks, go first.
func TestMain(m *testing.M) {
	defaults := map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "60",
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

func durations(least, most time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(t *rapid.T) time.Duration {
		ms := rapid.Int64Range(least.Milliseconds(), most.Milliseconds()).Draw(t, "ms")
		return time.Duration(ms) * time.Millisecond
	})
}

// TestRapidCurve runs a fleet under random faults and holds all admissions
// against the customers' arrival curves.
func TestRapidCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if w := fuzz(t, nil); w.failure != "" {
			t.Fatal(w.failure)
		}
	})
}

func fuzz(t *rapid.T, build func(*quotasim.Fleet)) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), build)
	w.run(12 * time.Second)
	node := func() *quotasim.Node { return w.node(rapid.IntRange(0, 1000).Draw(t, "vm")) }
	actions := map[string]func(*rapid.T){
		"wait":     func(t *rapid.T) { w.run(durations(0, 4*time.Second).Draw(t, "d")) },
		"waitLong": func(t *rapid.T) { w.run(durations(4*time.Second, 15*time.Second).Draw(t, "d")) },
		"kill":     func(t *rapid.T) { w.kill(node(), durations(0, 8*time.Second).Draw(t, "lag")) },
		"restart":  func(t *rapid.T) { w.restart(node()) },
		"leave":    func(t *rapid.T) { w.leave(node(), durations(0, 5*time.Second).Draw(t, "lag")) },
		"drop":     func(t *rapid.T) { w.drop(node(), durations(0, 40*time.Second).Draw(t, "on")) },
		"freeze": func(t *rapid.T) {
			w.freeze(node(), durations(0, 10*time.Second).Draw(t, "d"), rapid.Bool().Draw(t, "stopped"))
		},
		"freezeLong": func(t *rapid.T) {
			w.freeze(node(), durations(10*time.Second, 50*time.Second).Draw(t, "d"), rapid.Bool().Draw(t, "stopped"))
		},
		"wallJump": func(t *rapid.T) {
			node().JumpWall(durations(-time.Hour, time.Hour).Draw(t, "by"))
		},
		"cutVM":   func(t *rapid.T) { node().Group = rapid.IntRange(0, 3).Draw(t, "side") },
		"cutZone": func(t *rapid.T) { w.cutZone(node().VM.Zone, rapid.IntRange(0, 3).Draw(t, "side")) },
		"platformDown": func(t *rapid.T) {
			node().PlatformDown = rapid.Bool().Draw(t, "down")
		},
		"stale": func(t *rapid.T) { w.pin(node()) },
		"network": func(t *rapid.T) {
			w.fleet.Net.Loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			w.fleet.Net.Repeat = rapid.Float64Range(0, 0.5).Draw(t, "repeat")
			w.fleet.Net.Late = rapid.Float64Range(0, 0.3).Draw(t, "late")
			w.fleet.Net.LateBy = durations(time.Millisecond, 20*time.Second).Draw(t, "by")
		},
		"heal": func(t *rapid.T) { w.heal() },
		"limit": func(t *rapid.T) {
			rate := float64(rapid.IntRange(1, 300).Draw(t, "rate"))
			burst := float64(rapid.IntRange(1, 150).Draw(t, "burst"))
			w.setLimit("middle", rate, burst)
		},
		"settle": func(t *rapid.T) {
			w.heal()
			w.run(lowerGrace)
			w.tighten()
		},
		"": func(t *rapid.T) {
			w.run(durations(0, 300*time.Millisecond).Draw(t, "step"))
			if w.failure != "" {
				t.Fatal(w.failure)
			}
		},
	}
	t.Repeat(actions)
	w.run(5 * time.Second)
	return w
}
