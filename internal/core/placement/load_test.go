package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/simclock"
)

// Simulated load: a shard with one healthy instance and two that reject 40% of
// their requests. The load is two thirds of the healthy instance's capacity.
// Each VM may send extra attempts for one in six of its requests.
const (
	loadVMs       = 8
	loadSlots     = 3
	loadWork      = 15 * time.Millisecond
	loadPerSecond = 130
	loadObjective = 60 * time.Millisecond
	loadRequests  = 8000
	rejectShare   = 0.4
)

// simulation sends the requests of several VMs to one shard.
type simulation struct {
	rng      *rand.Rand
	clock    *simclock.Clock
	pickers  []*Picker
	budgets  []*retrybudget.Budget
	free     map[string][]time.Duration // when each slot of an instance becomes free
	scarcity func(b *retrybudget.Budget) float64
	// omitLoad makes rejections carry no load, so that the instance counts as
	// full.
	omitLoad bool

	inTime, late, failed int
}

func newSimulation(scarcity func(b *retrybudget.Budget) float64) *simulation {
	sim := &simulation{clock: simclock.New(start), rng: rand.New(rand.NewPCG(5, 6)), free: map[string][]time.Duration{}, scarcity: scarcity}
	all := instances("a", "a", "a")
	for i := range all["s"] {
		all["s"][i].Slots = loadSlots
		sim.free[all["s"][i].ID] = make([]time.Duration, loadSlots)
	}
	for range loadVMs {
		p := NewPicker("a", rand.New(rand.NewPCG(sim.rng.Uint64(), 1)), nil)
		p.Update(start, all, nil, nil)
		sim.pickers = append(sim.pickers, p)
		sim.budgets = append(sim.budgets, retrybudget.New(sim.clock.Now, 0.17, retrybudget.Limit{Burst: 4}))
	}
	return sim
}

// now returns the time since the start of the run.
func (sim *simulation) now() time.Duration { return sim.clock.Now().Sub(start) }

func (sim *simulation) run() {
	var at time.Duration
	for range loadRequests {
		at += time.Duration(sim.rng.ExpFloat64() * float64(time.Second) / loadPerSecond)
		sim.clock.After(at, sim.arrive)
	}
	sim.clock.Run(nil)
}

func (sim *simulation) arrive() {
	vm := sim.rng.IntN(loadVMs)
	sim.budgets[vm].AddForRequest("s")
	sim.attempt(vm, sim.now(), nil)
}

func (sim *simulation) attempt(vm int, startedAt time.Duration, tried []*Instance) {
	p := sim.pickers[vm]
	a, _ := p.Pick(sim.clock.Now(), Request{Service: "s", TypicalLatency: loadWork, Tried: tried, ExtraAttemptScarcity: sim.scarcity(sim.budgets[vm])})
	if a == nil {
		sim.failed++
		return
	}
	load := sim.loadOf(a.Upstream.ID)
	if a.Upstream.ID != "u0" && sim.rng.Float64() < rejectShare {
		sim.clock.After(time.Millisecond, func() {
			if sim.omitLoad {
				load = nil
			}
			p.Done(a, sim.clock.Now(), Rejected, load)
			if !sim.budgets[vm].Take("s") {
				sim.failed++
				return
			}
			sim.attempt(vm, startedAt, append(tried, a.Instance))
		})
		return
	}
	sim.clock.After(sim.serve(a.Upstream.ID), func() {
		p.Done(a, sim.clock.Now(), Answered, sim.loadOf(a.Upstream.ID))
		if sim.now()-startedAt <= loadObjective {
			sim.inTime++
		} else {
			sim.late++
		}
	})
}

// serve reserves the slot that is free first and returns the time until the
// answer.
func (sim *simulation) serve(id string) time.Duration {
	slots := sim.free[id]
	first := 0
	for i, at := range slots {
		if at < slots[first] {
			first = i
		}
	}
	work := time.Duration(float64(loadWork) * (0.5 + sim.rng.ExpFloat64()/2))
	slots[first] = max(slots[first], sim.now()) + work
	return slots[first] - sim.now()
}

func (sim *simulation) loadOf(id string) *Load {
	l := &Load{Slots: loadSlots}
	for _, at := range sim.free[id] {
		if at > sim.now() {
			l.Running++
		}
	}
	return l
}

// TestShardWithRejectingInstances compares the penalty scaled by scarcity with
// no penalty, with the full penalty regardless of the retry budget, and with
// the former behavior, which took every rejection as the sign of a full
// instance.
func TestShardWithRejectingInstances(t *testing.T) {
	run := func(silent bool, scarcity func(*retrybudget.Budget) float64) *simulation {
		sim := newSimulation(scarcity)
		sim.omitLoad = silent
		sim.run()
		return sim
	}
	byScarcity := run(false, func(b *retrybudget.Budget) float64 { return b.Scarcity("s") })
	never := run(false, func(*retrybudget.Budget) float64 { return 0 })
	always := run(false, func(*retrybudget.Budget) float64 { return 1 })
	legacy := run(true, func(*retrybudget.Budget) float64 { return 1 })
	for name, sim := range map[string]*simulation{"by scarcity": byScarcity, "no penalty": never, "always": always, "before": legacy} {
		t.Logf("%s: in time %d, late %d, failed %d", name, sim.inTime, sim.late, sim.failed)
	}
	if byScarcity.inTime*100 < loadRequests*95 {
		t.Errorf("%d of %d requests are answered in time, want 95 in 100", byScarcity.inTime, loadRequests)
	}
	if legacy.inTime >= byScarcity.inTime {
		t.Errorf("%d requests in time, %d when every rejection counts as a full instance", byScarcity.inTime, legacy.inTime)
	}
	if byScarcity.inTime <= never.inTime || byScarcity.inTime < always.inTime {
		t.Errorf("%d requests in time, %d without a penalty, %d with the full penalty", byScarcity.inTime, never.inTime, always.inTime)
	}
}
