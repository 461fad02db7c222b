package upstreamlimit_test

import (
	"fmt"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/upstreamlimit"
)

const (
	step     = 5 * time.Millisecond
	interval = 250 * time.Millisecond
	work     = 10 * time.Millisecond
	// The users' bound: in any window, windowOverage times the limit and windowSlack
	// requests, from noticeTime after the limit was first stated, by VMs that have
	// known it for toldTime.
	window        = 4 * time.Second
	windowOverage = 1.5
	windowSlack   = 5
	noticeTime    = 4 * time.Second
	toldTime      = 500 * time.Millisecond
)

// load is a service with three instances, the demand of a fleet for it, and the limits
// that the instances state from statedAt on.
type load struct {
	vms int
	// relayed is set if reports take 250 to 1,500 ms over relays.
	relayed bool
	// demand is the rate of requests of the fleet; senders the number of VMs that
	// receive them.
	demand  float64
	senders int
	limits  map[string]float64
}

const statedAt = 3 * time.Second

type vm struct {
	address     string
	zone        string
	incarnation uint64
	phase       time.Duration
	tracker     *upstreamlimit.Tracker
	picker      *placement.Picker
	down        bool // killed, or suspended with its state
	sequence    uint64
	received    map[string]time.Duration // time of the newest report by VM
	knownSince  map[string]time.Duration
	running     []running
}

type running struct {
	attempt *placement.Attempt
	until   time.Duration
}

type sent struct {
	at time.Duration
	// counted is set if the VM has known the limit for toldTime.
	counted bool
}

type message struct {
	to     *vm
	report fleet.Report
}

// loads are fleets in which one or all instances of a service state a limit. In the last
// two, each VM receives a request in seconds only, or a few VMs receive those of all.
var loads = map[string]load{
	"nine VMs, one instance":   {vms: 9, senders: 9, demand: 180, limits: map[string]float64{"i-0": 33}},
	"nine VMs, all instances":  {vms: 9, senders: 9, demand: 180, limits: map[string]float64{"i-0": 33, "i-1": 20, "i-2": 4}},
	"80 VMs, all instances":    {vms: 80, relayed: true, senders: 80, demand: 60, limits: map[string]float64{"i-0": 10, "i-1": 4, "i-2": 1}},
	"295 VMs, few requests":    {vms: 295, relayed: true, senders: 295, demand: 40, limits: map[string]float64{"i-0": 4}},
	"295 VMs, eighteen send":   {vms: 295, relayed: true, senders: 18, demand: 90, limits: map[string]float64{"i-0": 15, "i-1": 15, "i-2": 15}},
	"seven VMs, one instance":  {vms: 7, senders: 7, demand: 100, limits: map[string]float64{"i-0": 21.5}},
	"nine VMs, a limit of 0":   {vms: 9, senders: 9, demand: 180, limits: map[string]float64{"i-0": 0}},
	"nine VMs, limit not used": {vms: 9, senders: 9, demand: 30, limits: map[string]float64{"i-0": 33}},
}

// forEachLoad runs a test on each load with several seeds.
func forEachLoad(t *testing.T, f func(w *world)) {
	for name, l := range loads {
		for seed := range uint64(3) {
			if l.vms > 100 && seed > 0 {
				continue
			}
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				f(newWorld(t, seed, l))
			})
		}
	}
}

// TestFleetKeepsWithinAStatedLimit guards against VMs that together send an upstream more
// than the limit that it states.
func TestFleetKeepsWithinAStatedLimit(t *testing.T) {
	forEachLoad(t, func(w *world) {
		w.run(20 * time.Second)
		w.checkLimits()
	})
}

// TestFleetKeepsWithinAStatedLimitThroughFaults kills most VMs, suspends others, separates
// a third of them from the rest, and adds VMs.
func TestFleetKeepsWithinAStatedLimitThroughFaults(t *testing.T) {
	forEachLoad(t, func(w *world) {
		third := len(w.vms) / 3
		w.run(8 * time.Second)
		for _, v := range w.vms[:2*third] {
			v.down = true
		}
		w.run(time.Second)
		for _, v := range w.vms[:2*third] {
			w.start(v)
		}
		w.run(5 * time.Second)
		for _, v := range w.vms[third : 2*third] { // suspended, with their state
			v.down = true
		}
		w.run(3 * time.Second)
		for _, v := range w.vms[third : 2*third] {
			v.down = false
		}
		w.run(5 * time.Second)
		cut := map[*vm]bool{}
		for _, v := range w.vms[:third] {
			cut[v] = true
		}
		w.partitioned = func(a, b *vm) bool { return cut[a] != cut[b] }
		w.run(6 * time.Second)
		w.partitioned = func(a, b *vm) bool { return false }
		w.run(2 * time.Second)
		for i := range 2 {
			w.addVM(fmt.Sprint("added-", i))
		}
		w.run(6 * time.Second)
		w.checkLimits()
	})
}

// TestFleetKeepsWithinAStatedLimitInABurst raises the demand on all VMs at once, as when
// many callers come and then repeat and hedge: each VM sees its own rise before those of
// the others are reported.
func TestFleetKeepsWithinAStatedLimitInABurst(t *testing.T) {
	forEachLoad(t, func(w *world) {
		w.burst()
		w.checkLimits()
	})
}

// burst raises the demand four times, each time within the age of a few reports, and
// lowers it after 5 s.
func (w *world) burst() {
	usual, steps, factor := w.load.demand, 5, 1.8
	if w.load.relayed {
		steps, factor = 2, 1.6
	}
	w.run(10 * time.Second)
	for range 4 {
		for range steps {
			w.load.demand *= factor
			w.run(interval)
		}
		w.run(5 * time.Second)
		w.load.demand = usual
		w.run(5 * time.Second)
	}
}

// TestLowLimitsInABurstOverRelays is TestFleetKeepsWithinAStatedLimitInABurst with many
// seeds, for limits of a few requests among VMs that receive one every few seconds.
func TestLowLimitsInABurstOverRelays(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, loads["80 VMs, all instances"])
			w.burst()
			w.checkLimits()
		})
	}
}

// TestLimitIsUsedAndTheRestGoesElsewhere checks what callers get: the limits are used, an
// instance without a limit takes the requests that they leave, and nothing is rejected
// that fits.
func TestLimitIsUsedAndTheRestGoesElsewhere(t *testing.T) {
	forEachLoad(t, func(w *world) {
		w.run(10 * time.Second)
		from := w.now
		requestsBefore, rejectedBefore := w.requests, w.rejected
		w.run(30 * time.Second)
		requests, rejected := w.requests-requestsBefore, w.rejected-rejectedBefore
		var allowed float64
		used := 0
		for id, limit := range w.load.limits {
			n := w.sentSince(id, from)
			allowed += limit * 30
			used += n
			t.Logf("%s: %d of %.0f", id, n, limit*30)
		}
		t.Logf("%d of %d requests rejected", rejected, requests)
		demand := w.load.demand * 30
		if len(w.load.limits) < len(zones) {
			if rejected > 0 {
				t.Errorf("%d of %d requests were rejected, with an instance that has no limit", rejected, requests)
			}
			demand /= float64(len(zones)) // that of the zone of the limited instance
		}
		if want := min(allowed, demand); float64(used) < 0.8*want {
			t.Errorf("%d requests were sent to the limited instances, want %.0f", used, want)
		}
	})
}

// sentSince returns the number of requests that an instance received since a time.
func (w *world) sentSince(id string, from time.Duration) int {
	n := 0
	for _, s := range w.sent[id] {
		if s.at >= from {
			n++
		}
	}
	return n
}
