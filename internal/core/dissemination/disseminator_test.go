package dissemination

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/invariant"
)

const (
	// convergenceTarget is the time within which an accepted change must be active
	// on all daemons of a fleet of the present size.
	convergenceTarget = 5 * time.Second
	// settleTime is how long the fleet runs before a measurement starts.
	settleTime = 10 * time.Second
)

func smallFleet(seed uint64) *fleet {
	f := newFleet(seed, 4, 9)
	f.platform.publish("10-a.json", customerFile("a", 1))
	return f
}

func TestConvergesInHealthyFleet(t *testing.T) {
	f := smallFleet(1)
	if !f.clock.run(settleTime, f.agree) {
		t.Fatal("a new fleet doesn't agree")
	}
	for i := range 20 {
		f.clock.run(time.Second, nil)
		f.platform.publish("20-b.json", customerFile("b", i+1))
		if !f.clock.run(convergenceTarget, f.agree) {
			t.Fatalf("change %d isn't active on all daemons", i)
		}
	}
}

// TestConvergesUnderFaults injects random faults of network, platform and daemons,
// ends them except for some message loss and lag, and requires agreement within
// convergenceTarget.
func TestConvergesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(rapid.Uint64().Draw(t, "seed"))
		f.latency = time.Duration(rapid.IntRange(1, 30).Draw(t, "latency")) * time.Millisecond
		f.repeats = rapid.Float64Range(0, 0.3).Draw(t, "repeats")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			injectFault(t, f)
			f.clock.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause"))*time.Millisecond, nil)
		}
		f.loss = 0.1
		f.platform.lags = []time.Duration{0, 300 * time.Millisecond, time.Hour}
		f.endFaults()
		f.clock.run(settleTime, nil)
		f.platform.publish("30-c.json", customerFile("c", 1))
		if !f.clock.run(convergenceTarget, f.agree) {
			t.Fatalf("no agreement: %s", f.describe())
		}
		if f.versionError != nil {
			t.Fatal(f.versionError)
		}
		if v := invariant.Violations(); len(v) > 0 {
			t.Fatalf("violated: %v", v)
		}
	})
}

func injectFault(t *rapid.T, f *fleet) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	rate := rapid.IntRange(1, 9).Draw(t, "rate")
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	case 1:
		f.platform.down = !f.platform.down
	case 2:
		f.stop(n)
	case 3:
		f.start(n)
	case 4:
		n.paused = !n.paused
	case 5:
		zone := n.vm.Zone
		f.cut = func(a, b string) bool { return (a == zone) != (b == zone) }
	case 6:
		f.platform.lags = []time.Duration{0, time.Duration(rate) * time.Second, time.Hour}
	case 7:
		f.platform.publish(fmt.Sprintf("2%d-b.json", rate), customerFile("b", rate))
	case 8:
		f.platform.publish(fmt.Sprintf("2%d-b.json", rate), `{"customers":`)
	case 9:
		for _, n := range f.nodes {
			f.start(n)
		}
	}
}

// endFaults ends the faults of the platform, the daemons and the network partition.
func (f *fleet) endFaults() {
	f.platform.down = false
	f.cut = func(string, string) bool { return false }
	for _, n := range f.nodes {
		n.paused = false
		if !n.up {
			f.start(n)
		}
	}
}

func (f *fleet) describe() string {
	out := fmt.Sprintf("platform %d;", f.platform.version())
	for _, n := range f.nodes {
		d := n.disseminator.Digest(f.clock.now)
		out += fmt.Sprintf(" %s version %d digest %.4s ready %v;", n.vm.ID, d.ConfigVersion, d.ConfigDigest, n.ready)
	}
	return out
}
