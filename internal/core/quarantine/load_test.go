package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	step = 5 * time.Millisecond
	// work is the time that an instance takes for a request that doesn't crash it.
	work = 20 * time.Millisecond
	// checkDelay is the time from a lost connection to the result of the check of its
	// instance.
	checkDelay = 25 * time.Millisecond
	// restartTime is the time until an instance that has ended is replaced.
	restartTime = 2 * time.Second
	// The users' bound: from noticeTime after the third crash, retriesAllowed requests.
	noticeTime     = 4 * time.Second
	retriesAllowed = 3
	culprit        = 1 // fingerprint of the request that crashes instances
)

// load is a service with replicas of each shard, and a fleet that receives requests for
// it. Each of the popular fingerprints comes again and again, all others once.
type load struct {
	vms              int
	exchangeInterval time.Duration
	// relayed is set if VMs exchange with a random other VM only, in place of all.
	relayed          bool
	shards, replicas int
	perSecond        float64
	popular          int
	culpritInterval  time.Duration // mean time between two requests; 0: none
}

var loads = map[string]load{
	"one upstream a request": {vms: 9, exchangeInterval: 250 * time.Millisecond, shards: 1, replicas: 7,
		perSecond: 60, popular: 5, culpritInterval: 700 * time.Millisecond},
	"ten shards": {vms: 9, exchangeInterval: 250 * time.Millisecond, shards: 10, replicas: 3,
		perSecond: 60, popular: 5, culpritInterval: 700 * time.Millisecond},
	"a storm of retries": {vms: 9, exchangeInterval: 250 * time.Millisecond, shards: 1, replicas: 7,
		perSecond: 60, popular: 5, culpritInterval: 50 * time.Millisecond},
	"295 VMs, one upstream a request": {vms: 295, exchangeInterval: 500 * time.Millisecond, relayed: true, shards: 1, replicas: 6,
		perSecond: 40, popular: 5, culpritInterval: 300 * time.Millisecond},
	"295 VMs, 90 shards": {vms: 295, exchangeInterval: 500 * time.Millisecond, relayed: true, shards: 90, replicas: 3,
		perSecond: 40, popular: 5, culpritInterval: 300 * time.Millisecond},
}

type instance struct {
	id      uint64
	up      bool
	running []*attempt
}

// query is one request; it is answered once all its shards have ended.
type query struct {
	vm          *vm
	fingerprint uint64
	responded   bool
}

type attempt struct {
	query *query
	until time.Duration
}

type vm struct {
	tracker *Tracker
	phase   time.Duration
	down    bool
}

// world plays a load on a virtual clock.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	load      load
	now       time.Duration
	vms       []*vm
	shards    [][]*instance
	nextID    uint64
	timers    map[time.Duration][]func()
	separated func(a, b *vm) bool

	crashes      []time.Duration // of the culprit
	culpritSends []time.Duration // that weren't refused
	requests     int
	refused      map[uint64]int // innocent requests, by fingerprint
}

func newWorld(t *testing.T, seed uint64, l load) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), load: l, now: time.Hour, timers: map[time.Duration][]func(){},
		separated: func(*vm, *vm) bool { return false }, refused: map[uint64]int{},
	}
	for range l.vms {
		v := &vm{phase: time.Duration(w.rng.Int64N(int64(l.exchangeInterval/step))) * step}
		w.vms = append(w.vms, v)
		w.start(v)
	}
	for range l.shards {
		var replicas []*instance
		for range l.replicas {
			inst := &instance{}
			w.restart(inst)
			replicas = append(replicas, inst)
		}
		w.shards = append(w.shards, replicas)
	}
	return w
}

func (w *world) start(v *vm) {
	v.tracker, v.down = NewTracker(DefaultPolicy(), func(Change) {}), false
}

func (w *world) restart(inst *instance) {
	w.nextID++
	inst.id, inst.up = w.nextID<<20, true
}

func (w *world) after(d time.Duration, f func()) {
	at := (w.now + d).Round(step)
	w.timers[at] = append(w.timers[at], f)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, f := range w.timers[w.now] {
			f()
		}
		delete(w.timers, w.now)
		for _, v := range w.vms {
			if !v.down && (w.now+v.phase)%w.load.exchangeInterval == 0 {
				w.exchange(v)
			}
		}
		if w.rng.Float64() < w.load.perSecond*step.Seconds() {
			w.innocent()
		}
		if i := w.load.culpritInterval; i > 0 && w.rng.Float64() < step.Seconds()/i.Seconds() {
			w.send(culprit, true)
		}
	}
}

func (w *world) innocent() {
	w.requests++
	fingerprint := 1000 + uint64(w.requests)
	if w.requests%2 == 0 {
		fingerprint = 10 + w.rng.Uint64N(uint64(w.load.popular))
	}
	if !w.send(fingerprint, false) {
		w.refused[fingerprint]++
	}
}

// exchange merges the suspects of two VMs in both directions.
func (w *world) exchange(v *vm) {
	v.tracker.Tick(w.now)
	others := w.vms
	if w.load.relayed {
		others = []*vm{w.vms[w.rng.IntN(len(w.vms))], w.vms[w.rng.IntN(len(w.vms))]}
	}
	for _, other := range others {
		if other != v && !other.down && !w.separated(v, other) && other.tracker.Digest() != v.tracker.Digest() {
			other.tracker.Merge(w.now, v.tracker.Suspects())
			v.tracker.Merge(w.now, other.tracker.Suspects())
		}
	}
}

// send sends a request to a VM that is up, and returns false if the VM refuses it.
func (w *world) send(fingerprint uint64, crashes bool) bool {
	v := w.vms[w.rng.IntN(len(w.vms))]
	for v.down {
		v = w.vms[w.rng.IntN(len(w.vms))]
	}
	if _, refused := v.tracker.Quarantined(w.now, fingerprint); refused {
		return false
	}
	q := &query{vm: v, fingerprint: fingerprint}
	sent := false
	for _, replicas := range w.shards {
		up := slices.DeleteFunc(slices.Clone(replicas), func(i *instance) bool { return !i.up })
		if len(up) == 0 {
			continue
		}
		sent = true
		inst := up[w.rng.IntN(len(up))]
		a := &attempt{query: q, until: w.now + work}
		inst.running = append(inst.running, a)
		if crashes {
			w.after(step+time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() { w.crash(inst, a) })
		} else {
			w.after(work, func() { w.finish(inst, a) })
		}
	}
	if crashes && sent {
		w.culpritSends = append(w.culpritSends, w.now)
	}
	return true
}

func (w *world) finish(inst *instance, a *attempt) {
	i := slices.Index(inst.running, a)
	if i < 0 {
		return // the instance has ended
	}
	inst.running = slices.Delete(inst.running, i, i+1)
	a.query.responded = true
	a.query.vm.tracker.AddResponse(w.now, a.query.fingerprint)
}

// crash ends an instance if it still runs the attempt; nil ends it in any case.
func (w *world) crash(inst *instance, a *attempt) {
	if !inst.up || a != nil && !slices.Contains(inst.running, a) {
		return
	}
	if a != nil {
		w.crashes = append(w.crashes, w.now)
	}
	id := inst.id
	for _, lost := range inst.running {
		w.after(checkDelay, func() {
			if !lost.query.responded {
				lost.query.vm.tracker.AddCrash(w.now, lost.query.fingerprint, id)
			}
		})
	}
	inst.up, inst.running = false, nil
	w.after(restartTime, func() { w.restart(inst) })
}

// checkCulprit checks the users' bound.
func (w *world) checkCulprit() {
	w.t.Helper()
	if len(w.crashes) < 3 {
		w.t.Fatalf("%d crashes", len(w.crashes))
	}
	late := 0
	for _, at := range w.culpritSends {
		if at > w.crashes[2]+noticeTime {
			late++
		}
	}
	w.t.Logf("%d requests that crash instances sent, %d of them late; %d crashes", len(w.culpritSends), late, len(w.crashes))
	if late > retriesAllowed {
		w.t.Errorf("%d retries were sent later than %v after the third crash, %d allowed", late, noticeTime, retriesAllowed)
	}
}

func (w *world) checkInnocent(maxFingerprints int) {
	w.t.Helper()
	w.t.Logf("innocent requests refused, by fingerprint: %v", w.refused)
	if len(w.refused) > maxFingerprints {
		w.t.Errorf("%d innocent requests that came again were refused, %d allowed", len(w.refused), maxFingerprints)
	}
}

func forEachLoad(t *testing.T, f func(w *world)) {
	for name, l := range loads {
		seeds := uint64(8)
		if l.vms > 100 {
			seeds = 2
		}
		for seed := range seeds {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				f(newWorld(t, seed, l))
			})
		}
	}
}

// TestCulpritIsQuarantined guards against a request that crashes one instance after the
// other, at any VM, and against quarantining requests that ran beside it.
func TestCulpritIsQuarantined(t *testing.T) {
	forEachLoad(t, func(w *world) {
		w.run(30 * time.Second)
		w.checkCulprit()
		w.checkInnocent(0)
	})
}

// TestQuarantineOutlastsItsVMs restarts the VMs in turn, kills most of them, separates a
// third and adds VMs.
func TestQuarantineOutlastsItsVMs(t *testing.T) {
	forEachLoad(t, func(w *world) {
		third := len(w.vms) / 3
		w.run(8 * time.Second)
		for start := 0; start < len(w.vms); start += third {
			group := w.vms[start:min(start+third, len(w.vms))]
			for _, v := range group {
				v.down = true
			}
			w.run(time.Second)
			for _, v := range group {
				w.start(v)
				w.exchange(v) // a VM is ready after its first exchange
			}
			w.run(2 * time.Second)
		}
		cut := map[*vm]bool{}
		for _, v := range w.vms[:third] {
			cut[v] = true
		}
		w.separated = func(a, b *vm) bool { return cut[a] != cut[b] }
		w.run(8 * time.Second)
		w.separated = func(a, b *vm) bool { return false }
		for range third {
			v := &vm{}
			w.vms = append(w.vms, v)
			w.start(v)
			w.exchange(v)
		}
		w.run(8 * time.Second)
		w.checkCulprit()
		w.checkInnocent(0)
	})
}

// TestCrashOfAllInstancesQuarantinesFewRequests ends all instances at once, three times,
// for another reason than a request.
func TestCrashOfAllInstancesQuarantinesFewRequests(t *testing.T) {
	for name, l := range loads {
		l.culpritInterval = 0
		l.perSecond, l.popular = 200, 20
		if l.vms > 100 {
			l.vms = 30
		}
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, l)
			for range 3 {
				w.run(10 * time.Second)
				for _, replicas := range w.shards {
					for _, inst := range replicas {
						w.crash(inst, nil)
					}
				}
			}
			w.run(10 * time.Second)
			w.checkInnocent(2)
		})
	}
}
