package pace_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/core/pace"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/servicemodel"
	"ryecourse.example/ryecourse/internal/simclock"
)

// The load: one shard with three replicas whose slots are used to a third, as in the
// customers' deployments at their busiest.
const (
	replicas   = 3
	slots      = 4
	work       = 15 * time.Millisecond
	perSecond  = 240
	objective  = 150 * time.Millisecond
	timeout    = 800 * time.Millisecond
	retryRatio = 0.17
	// usualTime is the time before the fault, in which an upstream's part is measured.
	usualTime = 10 * time.Second
	// announceTime is the time until VMs learn of a start from the store.
	announceTime = 500 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// world plays a fleet that sends to a service, with or without a pace.
type world struct {
	clock     *simclock.Clock
	rng       *rand.Rand
	paced     bool
	vms       []*vm
	upstreams []*servicemodel.Upstream
	byID      map[string]*servicemodel.Upstream
	kind      *servicemodel.Kind
	// history holds the total arrivals of each upstream at each tenth of a second.
	history [][]int
	results []servicemodel.Result
}

type vm struct {
	model   *servicemodel.VM
	picker  *placement.Picker
	tracker *pace.Tracker
}

func newWorld(seed uint64, vms int, paced bool) *world {
	w := &world{clock: simclock.New(start), rng: rand.New(rand.NewPCG(seed, 34)), paced: paced, byID: map[string]*servicemodel.Upstream{}}
	w.kind = &servicemodel.Kind{Name: "k", Services: []string{"s"}, MinShare: 1, Work: work, Spread: 0.35, Objective: objective, Timeout: timeout, Attempts: 2}
	for i := range replicas {
		a := routetable.Upstream{ID: fmt.Sprint("u", i), Service: "s", Zone: "a", Slots: slots, Born: 1}
		u := servicemodel.NewUpstream(w.clock, w.rng, a, servicemodel.Behavior{Slots: slots, QueueLimit: 24, PauseEvery: 3600 * time.Millisecond, PauseLength: 150 * time.Millisecond})
		w.upstreams, w.byID[a.ID] = append(w.upstreams, u), u
	}
	w.history = make([][]int, replicas)
	for i := range vms {
		w.addVM(fmt.Sprintf("vm-%03d", i), vms)
	}
	return w
}

func (w *world) addVM(address string, vms int) {
	v := &vm{picker: placement.NewPicker("a", rand.New(rand.NewPCG(w.rng.Uint64(), 1)), nil)}
	if w.paced {
		v.tracker = pace.NewTracker(pace.DefaultPolicy(), rand.New(rand.NewPCG(w.rng.Uint64(), 2)), w.clock.Now(), nil)
		v.tracker.SetVMs(vms)
		v.picker.SetPace(v.tracker)
		w.clock.After(time.Duration(w.rng.Int64N(int64(reportInterval))), func() { w.report(v, address) })
	}
	budget := retrybudget.New(w.clock.Now, retryRatio, retrybudget.Limit{Burst: 160 / float64(vms)})
	v.model = servicemodel.NewVM(w.clock, w.rng, v.picker, budget, w.byID, 500*time.Microsecond)
	w.vms = append(w.vms, v)
	w.update(v)
}

func (w *world) update(v *vm) {
	announced := map[string][]routetable.Upstream{}
	for _, u := range w.upstreams {
		announced["s"] = append(announced["s"], u.Announcement)
	}
	v.picker.Update(w.clock.Now(), announced, nil, nil)
}

const reportInterval = 250 * time.Millisecond

// report sends a VM's report to the others: at once in a small fleet, over relays in a
// large one.
func (w *world) report(v *vm, address string) {
	w.clock.After(reportInterval, func() { w.report(v, address) })
	now := w.clock.Now()
	r := fleet.Report{Address: address, Paces: v.tracker.Tick(now, now.Sub(start))}
	if len(r.Paces) == 0 {
		return
	}
	for _, other := range w.vms {
		if other == v {
			continue
		}
		delay := 2 * time.Millisecond
		if len(w.vms) > fleet.MeshSize {
			delay = reportInterval + time.Duration(w.rng.Int64N(int64(1250*time.Millisecond)))
		}
		w.clock.After(delay, func() {
			now := w.clock.Now()
			other.tracker.ApplyReport(now, now.Sub(start), r)
		})
	}
}

// restart takes an upstream down for d, after which it starts again as an instance that is
// announced, if it is.
func (w *world) restart(u *servicemodel.Upstream, d time.Duration, announced bool) {
	u.Stop(d)
	if !announced {
		return
	}
	w.clock.After(d+announceTime, func() {
		u.Announcement.Born++
		for _, v := range w.vms {
			w.update(v)
		}
	})
}

// run plays the load for d.
func (w *world) run(d time.Duration) {
	end := w.clock.Now().Add(d)
	for at := time.Duration(0); at < d; at += time.Duration(w.rng.ExpFloat64() * float64(time.Second) / perSecond) {
		w.clock.After(at, func() {
			w.vms[w.rng.IntN(len(w.vms))].model.Run(w.kind, func(r servicemodel.Result) { w.results = append(w.results, r) })
		})
	}
	for at := tenth; at <= d; at += tenth {
		w.clock.After(at, func() {
			for i, u := range w.upstreams {
				w.history[i] = append(w.history[i], u.Counts.Arrivals)
			}
		})
	}
	w.clock.RunUntil(end)
}

const tenth = 100 * time.Millisecond

// rate returns an upstream's arrivals per second in the two seconds from the given time
// since the start.
func (w *world) rate(upstream int, from time.Duration) float64 {
	const span = 20
	h, i := w.history[upstream], int(from/tenth)
	if i < 1 || i+span > len(h) {
		return 0
	}
	return float64(h[i+span-1]-h[i-1]) / (span * tenth.Seconds())
}

// outcome is what a play shows.
type outcome struct {
	// toPart is the time from when the upstream is well until it bears nine tenths of its
	// part; -1 if it never does.
	toPart time.Duration
	// suffered is the number of requests since the fault that failed or were late, failed
	// that of those that failed, and failedAfter that of those that did though the first
	// upstream had been well for a second.
	suffered, failed, failedAfter, crashes, requests int
}

func (o outcome) String() string {
	return fmt.Sprintf("nine tenths after %v, %d of %d requests suffered, %d failed (%d after it), %d crashes", o.toPart, o.suffered, o.requests, o.failed, o.failedAfter, o.crashes)
}

// measure returns the outcome for the first upstream, which is well from wellAt on, and of
// the requests that arrive from the given time on.
func (w *world) measure(wellAt, from time.Duration) outcome {
	part := float64(w.history[0][int(usualTime/tenth)-1]) / usualTime.Seconds()
	o := outcome{toPart: -1, crashes: w.upstreams[0].Counts.Crashes}
	for at := wellAt; at < time.Duration(len(w.history[0]))*tenth; at += tenth {
		if w.rate(0, at) >= 0.9*part {
			o.toPart = at - wellAt
			break
		}
	}
	for _, r := range w.results {
		if r.ArrivedAt.Sub(start) < from {
			continue
		}
		o.requests++
		if !r.InTime() {
			o.suffered++
		}
		if r.Share == 0 {
			o.failed++
		}
		if r.Share == 0 && r.ArrivedAt.Sub(start) > wellAt+time.Second {
			o.failedAfter++
		}
	}
	return o
}
