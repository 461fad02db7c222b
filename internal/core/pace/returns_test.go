package pace_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"
)

// scenario is a way in which upstreams return. play plays it from usualTime on and returns
// when the first upstream is well again, since the start.
type scenario struct {
	play func(w *world) (wellAt time.Duration)
	// maxToPart bounds the time from then until it bears nine tenths of its part.
	maxToPart time.Duration
	// unserved is the time of the fault in which no upstream could answer.
	unserved time.Duration
}

const (
	// slowStart is the time for which the customers' upstreams are slow after a start that
	// they announce. A return that takes longer leaves an upstream idle that is well.
	slowStart = 3 * time.Second
	// recoveryTime is the users' bound for the recovery of a service.
	recoveryTime = 12 * time.Second
	outage       = 3 * time.Second
)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"well at once": {maxToPart: slowStart, play: func(w *world) time.Duration {
			w.restart(w.upstreams[0], outage, true)
			w.run(25 * time.Second)
			return usualTime + outage
		}},
		"slow for 3 s": {maxToPart: slowStart, play: func(w *world) time.Duration {
			u := w.upstreams[0]
			u.Behavior.ColdFor, u.Behavior.ColdFactor = slowStart, 1.6
			w.restart(u, outage, true)
			w.run(25 * time.Second)
			return usualTime + outage + slowStart
		}},
		"slow for 30 s": {maxToPart: recoveryTime, play: func(w *world) time.Duration {
			u := w.upstreams[0]
			u.Behavior.ColdFor, u.Behavior.ColdFactor = 30*time.Second, 6
			w.restart(u, outage, true)
			w.run(50 * time.Second)
			return usualTime + outage + 30*time.Second
		}},
		"crashes above a rate": {maxToPart: recoveryTime, play: func(w *world) time.Duration {
			u := w.upstreams[0]
			u.Behavior.ColdFor, u.Behavior.CrashPerSecond, u.Behavior.CrashLength = 5*time.Second, 25, 2*time.Second
			w.restart(u, outage, true)
			w.run(60 * time.Second)
			return u.WarmAt().Sub(start)
		}},
		"back without a notice": {maxToPart: recoveryTime, play: func(w *world) time.Duration {
			w.restart(w.upstreams[0], outage, false)
			w.run(25 * time.Second)
			return usualTime + outage
		}},
		"flaps": {maxToPart: recoveryTime, play: func(w *world) time.Duration {
			for range 5 {
				w.restart(w.upstreams[0], time.Second, false)
				w.run(2 * time.Second)
			}
			w.run(25 * time.Second)
			return usualTime + 9*time.Second
		}},
		"all replicas": {maxToPart: slowStart, unserved: outage, play: func(w *world) time.Duration {
			for _, u := range w.upstreams {
				u.Behavior.ColdFor, u.Behavior.ColdFactor = slowStart, 1.6
				w.restart(u, outage, true)
			}
			w.run(25 * time.Second)
			return usualTime + outage + announceTime
		}},
	}
}

func play(s scenario, seed uint64, vms int, paced bool) outcome {
	w := newWorld(seed, vms, paced)
	w.run(usualTime)
	return w.measure(s.play(w), usualTime+s.unserved)
}

// played holds the outcomes of all scenarios in a fleet.
type played struct{ with, before map[string][]outcome }

// fleets plays the scenarios once for each size of a fleet, as several tests check them.
var fleets = map[int]func() played{
	8:   sync.OnceValue(func() played { return playAll(8, 3) }),
	74:  sync.OnceValue(func() played { return playAll(74, 3) }),
	295: sync.OnceValue(func() played { return playAll(295, 2) }),
}

func playAll(vms int, seeds uint64) played {
	out := played{map[string][]outcome{}, map[string][]outcome{}}
	for name, s := range scenarios() {
		for seed := range seeds {
			out.with[name] = append(out.with[name], play(s, seed, vms, true))
			out.before[name] = append(out.before[name], play(s, seed, vms, false))
		}
	}
	return out
}

// forEachFleet runs a check of the outcomes of each scenario, and one of their sums, in
// fleets of three sizes.
func forEachFleet(t *testing.T, check func(t *testing.T, name string, with, before []outcome), sums func(t *testing.T, with, before outcome)) {
	for vms, outcomes := range fleets {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			t.Parallel()
			p := outcomes()
			var with, before outcome
			for _, name := range slices.Sorted(maps.Keys(p.with)) {
				for seed := range p.with[name] {
					t.Logf("%s/%d: %v; without a pace: %v", name, seed, p.with[name][seed], p.before[name][seed])
					with.add(p.with[name][seed])
					before.add(p.before[name][seed])
				}
				check(t, name, p.with[name], p.before[name])
			}
			t.Logf("all: %d requests suffered and %d failed; without a pace %d and %d", with.suffered, with.failed, before.suffered, before.failed)
			sums(t, with, before)
		})
	}
}

// TestReturns plays each return with the pace and, for comparison, without one. It guards
// against upstreams that stay idle after their return, that are sent more than they bear,
// and against callers who pay for it.
func TestReturns(t *testing.T) {
	forEachFleet(t, func(t *testing.T, name string, with, before []outcome) {
		crashes, crashesBefore := 0, 0
		for seed, o := range with {
			if limit := scenarios()[name].maxToPart; o.toPart < 0 || o.toPart > limit {
				t.Errorf("%s/%d: nine tenths of its part after %v, %v allowed", name, seed, o.toPart, limit)
			}
			crashes, crashesBefore = crashes+o.crashes, crashesBefore+before[seed].crashes
		}
		if crashes > crashesBefore {
			t.Errorf("%s: %d crashes, %d without a pace", name, crashes, crashesBefore)
		}
	}, func(t *testing.T, with, before outcome) {
		if with.suffered >= before.suffered {
			t.Errorf("%d requests suffered, %d without a pace", with.suffered, before.suffered)
		}
	})
}

// TestReturnsMakeNoRequestFail guards against shards that fail as the pace holds back the
// upstreams that could serve them.
func TestReturnsMakeNoRequestFail(t *testing.T) {
	forEachFleet(t, func(t *testing.T, name string, with, _ []outcome) {
		for seed, o := range with {
			if name == "all replicas" && o.failedAfter > 0 {
				t.Errorf("%s/%d: %d requests failed though all replicas answered", name, seed, o.failedAfter)
			}
		}
	}, func(t *testing.T, with, before outcome) {
		if with.failed > before.failed {
			t.Errorf("%d requests failed, %d without a pace", with.failed, before.failed)
		}
	})
}

func (o *outcome) add(p outcome) {
	o.suffered += p.suffered
	o.failed += p.failed
}
