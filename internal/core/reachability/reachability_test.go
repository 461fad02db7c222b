package reachability

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// vm drives a tracker over a virtual clock.
type vm struct {
	*Tracker
	now    time.Time
	states []State // in order of the changes
	probes int
	rng    *rand.Rand
}

func newVM(instances int) *vm {
	v := &vm{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1))}
	v.Tracker = NewTracker(DefaultPolicy(), v.now, func(c Change) { v.states = append(v.states, c.State) })
	v.SetInstances(instances)
	return v
}

// run passes ticks, and calls before each of them with the number of the tick.
func (v *vm) run(ticks int, before func(i int)) {
	for i := range ticks {
		v.now = v.now.Add(TickInterval / 2)
		before(i)
		v.now = v.now.Add(TickInterval / 2)
		if v.Tick(v.now) {
			v.probes++
		}
	}
}

// sendToAll sends requests to instances that don't respond.
func (v *vm) sendToAll(n int) {
	for i := range n {
		v.Sent(v.now, fmt.Sprint("i-", i))
	}
}

func (v *vm) expect(t *testing.T, want ...State) {
	t.Helper()
	if !slices.Equal(v.states, want) {
		t.Errorf("the states are %v, want %v", v.states, want)
	}
}

func TestVMWithoutAnyResponseIsIsolated(t *testing.T) {
	v := newVM(30)
	v.run(4, func(int) { v.sendToAll(30) })
	v.expect(t, Isolated)
	if v.LocalFraction(v.now) != 0 {
		t.Error("an isolated VM runs requests")
	}
}

// TestVMThatLostSomeUpstreamsIsNotIsolated guards against a VM that gives its requests
// away although one upstream still responds.
func TestVMThatLostSomeUpstreamsIsNotIsolated(t *testing.T) {
	v := newVM(30)
	v.run(100, func(int) {
		v.sendToAll(29)
		v.Responded(v.now)
		v.sendToAll(29)
	})
	v.expect(t)
}

func TestSilentInstancesOfOneRequestDoNotIsolate(t *testing.T) {
	v := newVM(30)
	v.run(100, func(int) { v.sendToAll(3) })
	v.expect(t)
}

func TestVMWithFewInstancesIsIsolated(t *testing.T) {
	v := newVM(2)
	v.run(4, func(int) { v.sendToAll(2) })
	v.expect(t, Isolated)
}

func TestIdleVMIsNotIsolated(t *testing.T) {
	v := newVM(30)
	v.run(100, func(int) {})
	v.expect(t)
}

// TestPauseOfTheVMDoesNotIsolate guards against a VM that takes the time in which it was
// suspended for silence of its upstreams.
func TestPauseOfTheVMDoesNotIsolate(t *testing.T) {
	v := newVM(30)
	for range 20 {
		v.sendToAll(30)
		v.now = v.now.Add(10 * time.Second)
		v.Tick(v.now)
		v.Responded(v.now.Add(time.Millisecond))
		v.run(5, func(int) { v.Responded(v.now) })
	}
	v.expect(t)
}

func TestIsolatedVMProbesOnceATime(t *testing.T) {
	v := newVM(30)
	v.run(20, func(int) { v.sendToAll(30) })
	if v.probes != 1 {
		t.Errorf("%d probes run at a time", v.probes)
	}
	v.run(4, func(int) { v.Probed(v.now, false) })
	if v.probes != 5 {
		t.Errorf("%d probes after four failed", v.probes)
	}
	v.expect(t, Isolated)
}

// TestRequestsComeBackOverARamp checks that a VM takes back its requests step by step, and
// that it isn't connected before it has all of them.
func TestRequestsComeBackOverARamp(t *testing.T) {
	v := newVM(30)
	v.run(4, func(int) { v.sendToAll(30) })
	v.Probed(v.now, true)
	last := 0.0
	for v.LocalFraction(v.now) < 1 {
		f := v.LocalFraction(v.now)
		if f < last || f > last+0.1 && last > 0 {
			t.Errorf("the fraction goes from %.2f to %.2f in a tick", last, f)
		}
		if v.State() == Connected {
			t.Errorf("connected with a fraction of %.2f", f)
		}
		last = f
		v.run(1, func(int) { v.Responded(v.now) })
	}
	v.expect(t, Isolated, Recovering, Connected)
}

func TestCutDuringTheRampIsolatesAgain(t *testing.T) {
	v := newVM(30)
	v.run(4, func(int) { v.sendToAll(30) })
	v.Probed(v.now, true)
	v.run(4, func(int) { v.sendToAll(30) })
	v.expect(t, Isolated, Recovering, Isolated)
}

// TestIsolationAgreesWithTheResponses checks over random runs that a VM with a response
// since the tick before the last isn't isolated, and that one without is as soon as enough
// instances have been silent for three ticks.
func TestIsolationAgreesWithTheResponses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(rt, "instances")
		v := newVM(instances)
		silentTicks, silentFrom := 0, map[int]int{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "ticks") {
			sent := rapid.SliceOfN(rapid.IntRange(0, instances-1), 0, 6).Draw(rt, "sent")
			responded := rapid.IntRange(0, 3).Draw(rt, "responded") == 0
			v.run(1, func(int) {
				if responded {
					v.Responded(v.now)
				}
				for _, n := range sent {
					v.Sent(v.now, fmt.Sprint("i-", n))
				}
			})
			if responded {
				silentTicks, silentFrom = 0, map[int]int{}
			}
			silentTicks++
			old := 0
			for _, n := range sent {
				if _, ok := silentFrom[n]; !ok {
					silentFrom[n] = i
				}
			}
			for _, from := range silentFrom {
				if i-from >= 3 {
					old++
				}
			}
			isolated := len(v.states) > 0 && v.states[len(v.states)-1] == Isolated
			if isolated && silentTicks <= 1 {
				rt.Fatalf("tick %d: isolated with a response in the last tick", i)
			}
			if !isolated && old >= min(DefaultPolicy().MinInstances, instances) {
				rt.Fatalf("tick %d: not isolated with %d instances silent for three ticks", i, old)
			}
		}
	})
}

// TestVMThatMayBeIsolatedIsSuspect guards against a helper that accepts requests
// in the time until it knows that it is isolated.
func TestVMThatMayBeIsolatedIsSuspect(t *testing.T) {
	v := newVM(30)
	v.sendToAll(10)
	v.now = v.now.Add(40 * time.Millisecond)
	if v.IsSuspect(v.now) {
		t.Error("suspect after a usual latency")
	}
	v.now = v.now.Add(20 * time.Millisecond)
	if !v.IsSuspect(v.now) {
		t.Error("not suspect while ten instances are silent")
	}
	v.Responded(v.now)
	if v.IsSuspect(v.now) {
		t.Error("suspect after a response")
	}
	v.expect(t)
}

// TestInstancesThatAcceptConnectionsAreNotSilent checks that probes isolate a VM with few
// requests only if they fail.
func TestInstancesThatAcceptConnectionsAreNotSilent(t *testing.T) {
	v := newVM(30)
	v.sendToAll(4)
	v.Withdraw("i-3")
	v.run(4, func(int) {})
	v.expect(t)
	v.Sent(v.now, "i-3")
	v.run(4, func(int) {})
	v.expect(t, Isolated)
}
