package loadshed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/loadshed"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/servicemodel"
	"ryecourse.example/ryecourse/internal/simclock"
)

// The load that this package answers: queries over all shards of a service, of which a
// burst asks for more than the shards bear. A second, urgent kind needs the same shards.
// Rejected callers return once.
type world struct {
	t         *testing.T
	seed      uint64
	clock     *simclock.Clock
	rng       *rand.Rand
	vms       []*servicemodel.VM
	shedders  []*loadshed.Shedder
	dead      []bool
	upstreams map[string]*servicemodel.Upstream
	announced map[string][]routetable.Upstream
	sweep     *servicemodel.Kind
	urgent    *servicemodel.Kind
	// outcomes are by two seconds of the arrival at the system.
	outcomes map[string][]counts
	shedding bool
	// refusedWithRoom counts the refusals of requests whose services had free slots for
	// longer than a report takes to become old, but for the second after the burst.
	refused, refusedWithRoom int
	late                     map[*servicemodel.Kind]bool // kinds of returning requests
	roomSince                map[string]time.Time        // by kind; zero without room
}

// counts are those of callers' requests. A request that is rejected and served after its
// return, later than its objective, counts as returned.
type counts struct{ asked, inTime, late, returned, refused, failed int }

const (
	bucket   = 2 * time.Second
	shards   = 36
	replicas = 3
	slots    = 4
	work     = 15 * time.Millisecond
	network  = 500 * time.Microsecond
)

var (
	start = time.Unix(1_700_000_000, 0)
	zones = []string{"a", "b", "c"}
)

type options struct {
	seed     uint64
	vms      int
	shedding bool
	behavior servicemodel.Behavior
}

func defaultBehavior() servicemodel.Behavior {
	return servicemodel.Behavior{Slots: slots, QueueLimit: 24, PauseEvery: 3600 * time.Millisecond, PauseLength: 150 * time.Millisecond}
}

func newWorld(t *testing.T, o options) *world {
	w := &world{
		t: t, seed: o.seed, clock: simclock.New(start), rng: rand.New(rand.NewPCG(o.seed, 1)), shedding: o.shedding,
		upstreams: map[string]*servicemodel.Upstream{}, announced: map[string][]routetable.Upstream{}, outcomes: map[string][]counts{}, roomSince: map[string]time.Time{}, late: map[*servicemodel.Kind]bool{},
		sweep:  &servicemodel.Kind{Name: "sweep", MinShare: 0.95, Work: work, Spread: 0.35, Objective: 150 * time.Millisecond, Timeout: 800 * time.Millisecond, Attempts: 2, Priority: 1},
		urgent: &servicemodel.Kind{Name: "urgent", MinShare: 0.85, Work: work / 3, Spread: 0.35, Objective: 50 * time.Millisecond, Timeout: 300 * time.Millisecond, Attempts: 2},
	}
	for s := range shards {
		service := fmt.Sprint("s", s)
		w.sweep.Services = append(w.sweep.Services, service)
		for r := range replicas {
			a := routetable.Upstream{ID: fmt.Sprintf("%s-%d", service, r), Service: service, Zone: zones[r], Slots: slots, Born: 1}
			w.announced[service] = append(w.announced[service], a)
			w.upstreams[a.ID] = servicemodel.NewUpstream(w.clock, w.rng, a, o.behavior)
		}
	}
	w.urgent.Services = w.sweep.Services
	for i := range o.vms {
		w.addVM(i, o.vms)
	}
	return w
}

func (w *world) addVM(i, fleet int) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(100+i)))
	p := placement.NewPicker(zones[i%len(zones)], rng, nil)
	p.Update(w.clock.Now(), w.announced, nil, nil)
	vm := servicemodel.NewVM(w.clock, rng, p, retrybudget.New(w.clock.Now, 0.17, retrybudget.Limit{Burst: 60 / float64(fleet)}), w.upstreams, network)
	if w.shedding {
		s := loadshed.New(p, rng)
		w.shedders = append(w.shedders, s)
		vm.Admit = func(now time.Time, k *servicemodel.Kind) servicemodel.Decision { return w.decide(s, now, k) }
		vm.LeaveOut = func(k *servicemodel.Kind) []int {
			r := w.requestOf(k)
			return s.LeaveOut(&r)
		}
		vm.AdmitExtra = func(now time.Time, k *servicemodel.Kind, service string, kind fanout.Kind) bool {
			r := w.requestOf(k)
			return s.AdmitExtra(now, &r, service, kind != fanout.Retry)
		}
	}
	w.vms, w.dead = append(w.vms, vm), append(w.dead, false)
}

func (w *world) requestOf(k *servicemodel.Kind) loadshed.Request {
	return loadshed.Request{
		Group: loadshed.Group{First: k.Services[0], Count: len(k.Services)}, Services: k.Services,
		Kind: k.Name, MinShare: k.MinShare, Objective: k.Objective, Priority: k.Priority, Late: w.late[k],
	}
}

func (w *world) decide(s *loadshed.Shedder, now time.Time, k *servicemodel.Kind) servicemodel.Decision {
	d := s.Decide(now, w.requestOf(k))
	if !d.Admit {
		w.refused++
		if since := w.roomSince[k.Name]; !since.IsZero() && now.Sub(since) > reportAge && !w.isLettingGo(now) {
			w.refusedWithRoom++
		}
	}
	return servicemodel.Decision{Refuse: !d.Admit, RetryAfter: d.RetryAfter}
}

// isLettingGo reports whether the burst has ended less than a second ago.
func (w *world) isLettingGo(now time.Time) bool {
	since := now.Sub(start.Add(burstTo))
	return since >= 0 && since < time.Second
}

// hasRoom reports whether enough services have a free slot for a request.
func (w *world) hasRoom(k *servicemodel.Kind) bool {
	free := 0
	for _, service := range k.Services {
		for _, a := range w.announced[service] {
			if l := w.upstreams[a.ID].Load(); l.Running < l.Slots {
				free++
				break
			}
		}
	}
	return float64(free) >= k.MinShare*float64(len(k.Services))
}

// reportAge is the time between two reports of an upstream to a VM with a tenth of its
// requests, at the load at which it has free slots.
const reportAge = 100 * time.Millisecond

// watchRoom records each millisecond since when the services have room for a kind.
func (w *world) watchRoom() {
	for _, k := range []*servicemodel.Kind{w.sweep, w.urgent} {
		if !w.hasRoom(k) {
			delete(w.roomSince, k.Name)
		} else if w.roomSince[k.Name].IsZero() {
			w.roomSince[k.Name] = w.clock.Now()
		}
	}
	w.clock.After(time.Millisecond, w.watchRoom)
}

// offer makes requests arrive at a rate, at random times, at random VMs.
func (w *world) offer(k *servicemodel.Kind, perSecond float64, from, to time.Duration) {
	at := from
	for {
		at += time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		w.clock.After(at, func() { w.arrive(k, w.clock.Now(), 0) })
	}
}

func (w *world) vm() *servicemodel.VM {
	for {
		if i := w.rng.IntN(len(w.vms)); !w.dead[i] {
			return w.vms[i]
		}
	}
}

func (w *world) arrive(k *servicemodel.Kind, firstAt time.Time, waited time.Duration) {
	sent := *k
	w.late[&sent] = waited > k.Objective/2
	w.vm().Run(&sent, func(r servicemodel.Result) {
		delete(w.late, &sent)
		if r.Refused && waited == 0 {
			// Callers wait for a third of their time at most.
			wait := max(min(r.RetryAfter, k.Timeout/3), time.Millisecond)
			w.clock.After(wait, func() { w.arrive(k, firstAt, wait) })
			return
		}
		w.count(k, firstAt, waited > 0, r)
	})
}

func (w *world) count(k *servicemodel.Kind, firstAt time.Time, returned bool, r servicemodel.Result) {
	i := int(firstAt.Sub(start) / bucket)
	for len(w.outcomes[k.Name]) <= i {
		w.outcomes[k.Name] = append(w.outcomes[k.Name], counts{})
	}
	c := &w.outcomes[k.Name][i]
	c.asked++
	switch {
	case r.Refused:
		c.refused++
	case r.Share == 0:
		c.failed++
	case returned:
		c.returned++
	case !r.InTime():
		c.late++
	default:
		c.inTime++
	}
}

func (w *world) run(d time.Duration) { w.clock.RunUntil(start.Add(d)) }

func (w *world) log() {
	for _, kind := range []string{"sweep", "urgent"} {
		for i, c := range w.outcomes[kind] {
			w.t.Logf("%-6s %2d s: %+v", kind, i*2, c)
		}
	}
	w.t.Logf("%d refusals, %d with room", w.refused, w.refusedWithRoom)
}

// play is one drawn burst: sweepPerSecond queries beside the usual ones.
type play struct {
	seed           uint64
	vms            int
	sweepPerSecond float64
	shedding       bool
	behavior       servicemodel.Behavior
	// before is called when the burst begins, during in its middle; both may be nil.
	before, during func(w *world)
}

const (
	usualSweeps, usualUrgent = 90, 30 // a second
	burstFrom, burstTo       = 4 * time.Second, 12 * time.Second
	playEnd                  = 16 * time.Second
)

func (p play) run(t *testing.T) *world {
	w := newWorld(t, options{seed: p.seed, vms: p.vms, shedding: p.shedding, behavior: p.behavior})
	w.offer(w.sweep, usualSweeps, 0, playEnd)
	w.offer(w.urgent, usualUrgent, 0, playEnd)
	w.offer(w.sweep, p.sweepPerSecond, burstFrom, burstTo)
	w.watchRoom()
	if p.before != nil {
		w.clock.After(burstFrom, func() { p.before(w) })
	}
	if p.during != nil {
		w.clock.After((burstFrom+burstTo)/2, func() { p.during(w) })
	}
	w.run(playEnd + time.Second)
	w.log()
	return w
}

// burst returns the counts of a kind's two seconds within the burst.
func (w *world) burst(kind string) []counts {
	return w.outcomes[kind][burstFrom/bucket : burstTo/bucket]
}

func sum(list []counts) counts {
	var out counts
	for _, c := range list {
		out.asked += c.asked
		out.inTime += c.inTime
		out.late += c.late
		out.returned += c.returned
		out.refused += c.refused
		out.failed += c.failed
	}
	return out
}

// checkBurst checks what callers get during and after a burst.
func (w *world) checkBurst() {
	sweeps := w.burst("sweep")
	best := 0
	for _, c := range sweeps {
		best = max(best, c.inTime)
	}
	for i, c := range sweeps {
		if got := c.inTime; float64(got) < 0.9*float64(best) {
			w.t.Errorf("two seconds %d of the burst: %d served in time, %d in the best two", i, got, best)
		}
	}
	all := sum(sweeps)
	if float64(all.failed) > 0.02*float64(all.asked) {
		w.t.Errorf("%d of %d sweeps failed", all.failed, all.asked)
	}
	if unserved := all.refused + all.failed; 2*all.refused < unserved {
		w.t.Errorf("%d of %d sweeps that weren't served were refused", all.refused, unserved)
	}
	if urgent := sum(w.burst("urgent")); float64(urgent.inTime) < 0.95*float64(urgent.asked) {
		w.t.Errorf("%d of %d urgent requests were served in time", urgent.inTime, urgent.asked)
	}
	for _, kind := range []string{"sweep", "urgent"} {
		before, after := w.outcomes[kind][0], w.outcomes[kind][(burstTo+bucket)/bucket]
		if float64(after.inTime)*float64(before.asked) < 0.98*float64(before.inTime)*float64(after.asked) {
			w.t.Errorf("%s: %d of %d in time two seconds after the burst, %d of %d before it", kind, after.inTime, after.asked, before.inTime, before.asked)
		}
	}
	if w.refusedWithRoom > 0 {
		w.t.Errorf("%d of %d refusals while the services had free slots", w.refusedWithRoom, w.refused)
	}
}
