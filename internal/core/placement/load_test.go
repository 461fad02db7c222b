package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/simclock"
)

// The load: a shard with one sound instance and two that reject two in five of
// their requests, at two thirds of what the sound one can do. VMs may repeat one in
// six requests.
const (
	loadVMs       = 8
	loadSlots     = 3
	loadWork      = 15 * time.Millisecond
	loadPerSecond = 130
	loadObjective = 60 * time.Millisecond
	loadRequests  = 8000
	rejectShare   = 0.4
)

// simulation plays the requests of several VMs to one shard.
type simulation struct {
	rng      *rand.Rand
	clock    *simclock.Clock
	pickers  []*Picker
	budgets  []*retrybudget.Budget
	free     map[string][]time.Duration // when each slot of an instance is free
	scarcity func(b *retrybudget.Budget) float64
	// omitLoad instances tell no load when they reject, so that they count as full.
	omitLoad bool

	inTime, late, failed int
}

func newSimulation(scarcity func(b *retrybudget.Budget) float64) *simulation {
	w := &simulation{clock: simclock.New(start), rng: rand.New(rand.NewPCG(5, 6)), free: map[string][]time.Duration{}, scarcity: scarcity}
	all := instances("a", "a", "a")
	for i := range all["s"] {
		all["s"][i].Slots = loadSlots
		w.free[all["s"][i].ID] = make([]time.Duration, loadSlots)
	}
	for range loadVMs {
		p := NewPicker("a", rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
		p.Update(start, all, nil, nil)
		w.pickers = append(w.pickers, p)
		w.budgets = append(w.budgets, retrybudget.New(0.17, 4))
	}
	return w
}

// now is the time since the start of the run.
func (w *simulation) now() time.Duration { return w.clock.Now().Sub(start) }

func (w *simulation) run() {
	var at time.Duration
	for range loadRequests {
		at += time.Duration(w.rng.ExpFloat64() * float64(time.Second) / loadPerSecond)
		w.clock.After(at, w.arrive)
	}
	w.clock.Run(nil)
}

func (w *simulation) arrive() {
	vm := w.rng.IntN(loadVMs)
	w.budgets[vm].Earn("s")
	w.attempt(vm, w.now(), nil)
}

func (w *simulation) attempt(vm int, began time.Duration, tried []*Instance) {
	p := w.pickers[vm]
	a := p.Pick(w.clock.Now(), Request{Service: "s", TypicalLatency: loadWork, Tried: tried, Scarcity: w.scarcity(w.budgets[vm])})
	if a == nil {
		w.failed++
		return
	}
	load := w.loadOf(a.Upstream.ID)
	if a.Upstream.ID != "u0" && w.rng.Float64() < rejectShare {
		w.clock.After(time.Millisecond, func() {
			if w.omitLoad {
				load = nil
			}
			p.Done(a, w.clock.Now(), Rejected, load)
			if !w.budgets[vm].Take("s") {
				w.failed++
				return
			}
			w.attempt(vm, began, append(tried, a.Instance))
		})
		return
	}
	w.clock.After(w.serve(a.Upstream.ID), func() {
		p.Done(a, w.clock.Now(), Answered, w.loadOf(a.Upstream.ID))
		if w.now()-began <= loadObjective {
			w.inTime++
		} else {
			w.late++
		}
	})
}

// serve takes the slot that is free first and returns when the answer comes.
func (w *simulation) serve(id string) time.Duration {
	slots := w.free[id]
	first := 0
	for i, at := range slots {
		if at < slots[first] {
			first = i
		}
	}
	work := time.Duration(float64(loadWork) * (0.5 + w.rng.ExpFloat64()/2))
	slots[first] = max(slots[first], w.now()) + work
	return slots[first] - w.now()
}

func (w *simulation) loadOf(id string) *Load {
	l := &Load{Slots: loadSlots}
	for _, at := range w.free[id] {
		if at > w.now() {
			l.Running++
		}
	}
	return l
}

// TestShardWithRejectingInstances compares the penalty by scarcity with none, with one
// that ignores how many repeats are left, and with the decision before, for which each
// rejection was a sign of a full instance.
func TestShardWithRejectingInstances(t *testing.T) {
	play := func(silent bool, scarcity func(*retrybudget.Budget) float64) *simulation {
		w := newSimulation(scarcity)
		w.omitLoad = silent
		w.run()
		return w
	}
	byScarcity := play(false, func(b *retrybudget.Budget) float64 { return b.Scarcity("s") })
	never := play(false, func(*retrybudget.Budget) float64 { return 0 })
	always := play(false, func(*retrybudget.Budget) float64 { return 1 })
	before := play(true, func(*retrybudget.Budget) float64 { return 1 })
	for name, w := range map[string]*simulation{"by scarcity": byScarcity, "no penalty": never, "always": always, "before": before} {
		t.Logf("%s: in time %d, late %d, failed %d", name, w.inTime, w.late, w.failed)
	}
	if byScarcity.inTime*100 < loadRequests*95 {
		t.Errorf("%d of %d requests are answered in time, want 95 in 100", byScarcity.inTime, loadRequests)
	}
	if before.inTime >= byScarcity.inTime {
		t.Errorf("%d requests in time, %d when rejections mean full", byScarcity.inTime, before.inTime)
	}
	if byScarcity.inTime <= never.inTime || byScarcity.inTime < always.inTime {
		t.Errorf("%d requests in time, %d without a penalty, %d with the full one", byScarcity.inTime, never.inTime, always.inTime)
	}
}
