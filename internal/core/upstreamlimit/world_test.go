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
