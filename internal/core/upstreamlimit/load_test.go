package upstreamlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
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

// world plays a load on a virtual clock.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	load     load
	now      time.Duration
	vms      []*vm
	messages map[time.Duration][]message
	// partitioned separates two VMs from each other.
	partitioned        func(a, b *vm) bool
	sent               map[string][]sent // by instance
	requests, rejected int
}

func newWorld(t *testing.T, seed uint64, l load) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 25)), load: l, messages: map[time.Duration][]message{}, sent: map[string][]sent{},
		partitioned: func(*vm, *vm) bool { return false },
	}
	for i := range l.vms {
		w.addVM(fmt.Sprintf("vm-%03d", i))
	}
	return w
}

func (w *world) addVM(address string) *vm {
	v := &vm{address: address, zone: zones[len(w.vms)%len(zones)], phase: time.Duration(w.rng.Int64N(int64(interval/step))) * step}
	w.vms = append(w.vms, v)
	w.start(v)
	return v
}

var zones = []string{"a", "b", "c"}

// start starts a VM without state.
func (w *world) start(v *vm) {
	v.incarnation, v.sequence, v.down = w.rng.Uint64(), 0, false
	v.received, v.knownSince, v.running = map[string]time.Duration{}, map[string]time.Duration{}, nil
	v.tracker = upstreamlimit.NewTracker(upstreamlimit.DefaultPolicy(), rand.New(rand.NewPCG(v.incarnation, 1)), func(c upstreamlimit.Change) {
		v.knownSince[c.Instance] = w.now
	})
	v.picker = placement.NewPicker(v.zone, rand.New(rand.NewPCG(v.incarnation, 2)), v.tracker)
	var list []routetable.Upstream
	for i, zone := range zones {
		list = append(list, routetable.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Zone: zone, Slots: 8, Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	v.picker.Update(w.time(), map[string][]routetable.Upstream{"s": list}, nil, nil)
}

func (w *world) time() time.Time { return time.Unix(1000, 0).Add(w.now) }

// boot is the time on the clock of the reports.
func (w *world) boot() time.Duration { return time.Hour + w.now }

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, m := range w.messages[w.now] {
			w.deliver(m)
		}
		delete(w.messages, w.now)
		for _, v := range w.vms {
			if v.down {
				continue
			}
			if (w.now+v.phase)%w.interval() == 0 {
				w.report(v)
			}
			w.finish(v)
		}
		for p := w.load.demand * step.Seconds(); p > 0; p-- {
			if w.rng.Float64() < p {
				w.request(w.receiver())
			}
		}
	}
}

// receiver returns a VM that is up: callers reach another one if theirs is down.
func (w *world) receiver() *vm {
	for i := w.rng.IntN(w.load.senders); ; i++ {
		if v := w.vms[i%len(w.vms)]; !v.down {
			return v
		}
	}
}

// interval is the time between two reports of a VM.
func (w *world) interval() time.Duration {
	if w.load.relayed {
		return 2 * interval
	}
	return interval
}

func (w *world) report(v *vm) {
	limits := v.tracker.Tick(w.boot())
	v.sequence++
	r := fleet.Report{Address: v.address, Incarnation: v.incarnation, Sequence: v.sequence, At: w.boot(), Limits: limits}
	for _, other := range w.vms {
		if other == v || w.partitioned(v, other) {
			continue
		}
		at := w.now + step
		if w.load.relayed {
			at += interval + time.Duration(w.rng.Int64N(int64(1250*time.Millisecond/step)))*step
		}
		w.messages[at] = append(w.messages[at], message{to: other, report: r})
	}
}

func (w *world) deliver(m message) {
	if m.to.down || m.to.received[m.report.Address] > m.report.At {
		return
	}
	m.to.received[m.report.Address] = m.report.At
	m.to.tracker.ApplyReport(w.boot(), m.report)
}

// finish ends the attempts that have been answered.
func (w *world) finish(v *vm) {
	n := 0
	for _, r := range v.running {
		if r.until > w.now {
			v.running[n] = r
			n++
			continue
		}
		id := r.attempt.Upstream.ID
		limit, limited := w.load.limits[id]
		v.tracker.Observe(w.boot(), id, limit, limited && w.now >= statedAt)
		v.picker.Done(r.attempt, w.time(), placement.Answered, nil)
	}
	v.running = v.running[:n]
}

func (w *world) request(v *vm) {
	w.requests++
	a, _ := v.picker.Pick(w.time(), placement.Request{Service: "s", TypicalLatency: work, ExtraAttemptScarcity: 1})
	if a == nil {
		w.rejected++
		return
	}
	since, known := v.knownSince[a.Upstream.ID]
	w.sent[a.Upstream.ID] = append(w.sent[a.Upstream.ID], sent{at: w.now, counted: known && w.now-since >= toldTime})
	v.picker.MarkSent(a, w.time())
	v.running = append(v.running, running{attempt: a, until: w.now + work})
}

// checkLimits checks each window of each instance against the users' bound.
func (w *world) checkLimits() {
	w.t.Helper()
	for id, limit := range w.load.limits {
		allowed := int(limit*window.Seconds()*windowOverage + windowSlack)
		var at []time.Duration
		worst := 0
		for _, s := range w.sent[id] {
			if !s.counted || s.at < statedAt+noticeTime {
				continue
			}
			at = append(at, s.at)
			for s.at-at[0] >= window {
				at = at[1:]
			}
			worst = max(worst, len(at))
		}
		if worst > allowed {
			w.t.Errorf("%s: %d requests in %v with a limit of %v a second, %d allowed", id, worst, window, limit, allowed)
		}
	}
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
