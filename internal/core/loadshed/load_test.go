package loadshed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// drawnPlay returns a burst of four to ten times the usual rate.
func drawnPlay(seed uint64) play {
	rng := rand.New(rand.NewPCG(seed, 7))
	return play{seed: seed, vms: 6 + rng.IntN(5), sweepPerSecond: usualSweeps * (3 + 6*rng.Float64()), shedding: true, behavior: defaultBehavior()}
}

func (p play) String() string {
	return fmt.Sprintf("seed %d: %.0f a second, %d VMs", p.seed, p.sweepPerSecond, p.vms)
}

// TestBurstIsServedAtASteadyRate plays bursts of four to ten times the usual rate, drawn
// by seed, also with slow upstreams and killed VMs.
func TestBurstIsServedAtASteadyRate(t *testing.T) {
	for seed := range uint64(7) {
		p := drawnPlay(seed)
		t.Run(p.String(), func(t *testing.T) { p.run(t).checkBurst() })
	}
}

// TestBurstBesideFaults plays bursts in which one shard is four times as slow, a replica of
// each fifth shard is twice as slow, and a fifth of the VMs are killed.
func TestBurstBesideFaults(t *testing.T) {
	for seed := range uint64(3) {
		p := drawnPlay(seed)
		p.before = func(w *world) {
			for i, service := range w.sweep.Services {
				for r, a := range w.announced[service] {
					switch {
					case i == 0:
						w.upstreams[a.ID].Behavior.WorkFactor = 4
					case i%5 == 1 && r == 0:
						w.upstreams[a.ID].Behavior.WorkFactor = 2
					}
				}
			}
		}
		p.during = func(w *world) {
			for i := range max(len(w.vms)/5, 1) {
				w.dead[i] = true
			}
		}
		t.Run(p.String(), func(t *testing.T) { p.run(t).checkBurst() })
	}
}

// TestShardsWithOneReplicaLeft plays a usual load of which two shards, one more than a
// query can do without, bear a third. Callers of what they bear are served.
func TestShardsWithOneReplicaLeft(t *testing.T) {
	served := func(shedding bool) (inTime, failed, asked int) {
		p := play{seed: 3, vms: 8, sweepPerSecond: 300, shedding: shedding, behavior: defaultBehavior()}
		p.before = func(w *world) {
			for _, service := range w.sweep.Services[:2] {
				for _, a := range w.announced[service][1:] {
					w.upstreams[a.ID].Stop(playEnd)
				}
				w.announced[service] = w.announced[service][:1]
			}
			for _, vm := range w.vms {
				vm.Picker.Update(w.clock.Now(), w.announced, nil, nil)
			}
		}
		c := sum(p.run(t).burst("sweep"))
		return c.inTime, c.failed, c.asked
	}
	with, failed, asked := served(true)
	without, _, _ := served(false)
	if with < without {
		t.Errorf("%d of %d served in time with shedding, %d without", with, asked, without)
	}
	if float64(failed) > 0.02*float64(asked) {
		t.Errorf("%d of %d failed", failed, asked)
	}
}

// TestManyVMsWithFewRequestsEach plays a fleet in which each VM runs its own queries and
// seldom receives a report. It may know too little to reject, but must not reject without
// a shortage.
func TestManyVMsWithFewRequestsEach(t *testing.T) {
	p := play{seed: 4, vms: 74, sweepPerSecond: 200, shedding: true, behavior: defaultBehavior()}
	w := p.run(t)
	if c := sum(w.burst("sweep")); c.refused > 0 || w.refused > 0 {
		t.Errorf("%d requests were rejected at half of the bearable load", w.refused)
	}
	p.sweepPerSecond = 600
	with := sum(p.run(t).burst("sweep"))
	p.shedding = false
	without := sum(p.run(t).burst("sweep"))
	if with.inTime < without.inTime {
		t.Errorf("%d of %d served in time with shedding, %d without", with.inTime, with.asked, without.inTime)
	}
}

// TestThreeTimesTheBearableLoad compares what is served in time with and without
// shedding. The bearable load is the one of which the code without shedding serves 0.95 in
// time.
func TestThreeTimesTheBearableLoad(t *testing.T) {
	perTwoSeconds := func(w *world) (inTime, asked float64) {
		c := sum(w.burst("sweep"))
		n := float64(len(w.burst("sweep")))
		return float64(c.inTime) / n, float64(c.asked) / n
	}
	p := play{seed: 5, vms: 8, behavior: defaultBehavior()}
	var bearable float64
	for p.sweepPerSecond = 300; ; p.sweepPerSecond += 50 {
		inTime, asked := perTwoSeconds(p.run(t))
		if inTime < 0.95*asked {
			break
		}
		bearable = inTime
	}
	p.sweepPerSecond = 3 * bearable / bucket.Seconds()
	without, _ := perTwoSeconds(p.run(t))
	p.shedding = true
	with, _ := perTwoSeconds(p.run(t))
	t.Logf("in two seconds: bearable %.0f; at three times as many %.0f with and %.0f without shedding", bearable, with, without)
	if with < 0.9*bearable {
		t.Errorf("%.0f served in time, want 0.9 of %.0f", with, bearable)
	}
}
