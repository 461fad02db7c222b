package soak

import (
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	tickInterval = 50 * time.Millisecond
	// maxViewAge is how long queries use a control view that no tick has confirmed.
	maxViewAge = time.Second
)

// vm is one VM that runs the real decision code of a daemon.
type vm struct {
	world *world
	self  membership.VM
	rng   *rand.Rand

	up          bool
	frozenUntil time.Time
	lastEvent   time.Time

	disseminator *dissemination.Disseminator
	quota        *quota.Manager
	router       *routing.Router

	serving     bool
	confirmedAt time.Time
	version     uint64
	shared      map[string]scatter.Shared
	schedulers  map[string]*admission.Scheduler
	// connectedInstance is the instance of each upstream that the connections lead
	// to; zero or absent without a connection.
	connectedInstance map[string]int
	// connectionsLostAt is when the connections to each upstream were last lost.
	connectionsLostAt map[string]time.Time
	startedAt         time.Time
	// slowTickAt is the time of the last tick of quota and disseminator.
	slowTickAt time.Time
	fetchedAt  time.Time
}

func newVM(w *world, self membership.VM) *vm {
	v := &vm{
		world: w, self: self, up: true,
		rng:               rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())),
		shared:            make(map[string]scatter.Shared),
		schedulers:        make(map[string]*admission.Scheduler),
		connectedInstance: make(map[string]int),
		connectionsLostAt: make(map[string]time.Time),
		startedAt:         w.clock.Now(),
		lastEvent:         w.clock.Now(),
	}
	v.disseminator = dissemination.New(dissemination.Settings{Self: self, Seeds: w.seeds()}, v.rng)
	v.quota = quota.New(quota.Params{Self: self, Incarnation: w.rng.Uint64(), Started: w.clock.Now()})
	v.router = routing.New(self, v.rng, routing.Config{})
	w.clock.After(0, v.tick)
	return v
}

// run runs f on the VM, delayed while the VM is frozen. It does nothing if the VM
// is down.
func (v *vm) run(f func()) {
	if !v.up {
		return
	}
	if wait := v.frozenUntil.Sub(v.world.clock.Now()); wait > 0 {
		v.world.clock.After(wait, func() { v.run(f) })
		return
	}
	f()
}

func (v *vm) tick() {
	v.run(func() {
		now := v.world.clock.Now()
		v.detectPause(now)
		if now.Sub(v.slowTickAt) >= quota.TickInterval {
			v.slowTickAt = now
			v.runDisseminatorActions(v.disseminator.Tick(now))
			v.runQuotaActions(v.quota.Tick(now))
		}
		if v.serving {
			v.router.ConfirmView(now)
			v.confirmedAt = now
		}
		v.runRouterActions(v.router.Tick(now))
		for _, s := range v.schedulers {
			s.Expire(now)
		}
		v.world.clock.After(tickInterval, v.tick)
	})
}

// runControl runs f as the daemon's control goroutine does.
func (v *vm) runControl(f func(now time.Time)) {
	v.run(func() {
		v.detectPause(v.world.clock.Now())
		f(v.world.clock.Now())
	})
}

func (v *vm) detectPause(now time.Time) {
	paused := now.Sub(v.lastEvent) > maxViewAge
	v.lastEvent = now
	if paused {
		v.confirmedAt = time.Time{}
		v.runDisseminatorActions(v.disseminator.Tick(now))
	}
}

// catalog returns the catalog for queries, or nil if the control view is stale.
func (v *vm) catalog() *catalog.Catalog {
	if !v.up || v.world.clock.Now().Sub(v.confirmedAt) > maxViewAge && !v.world.hooks.allowStaleView {
		return nil
	}
	return v.disseminator.Catalog()
}

// admit takes one token of the customer's limit.
func (v *vm) admit(customer string) quota.Decision {
	if h := v.world.hooks.admit; h != nil {
		return quota.Decision{OK: h(v, customer)}
	}
	return v.quota.Admit(v.world.clock.Now(), customer)
}

func (v *vm) retryAdmit(customer string) quota.Decision {
	return v.quota.RetryAdmit(v.world.clock.Now(), customer)
}

// fetchTokens requests tokens from other VMs, at most once in
// quota.FetchRetryInterval.
func (v *vm) fetchTokens() {
	now := v.world.clock.Now()
	if now.Sub(v.fetchedAt) < quota.FetchRetryInterval {
		return
	}
	v.fetchedAt = now
	v.runControl(func(now time.Time) { v.runQuotaActions(v.quota.Fetch(now)) })
}

func (v *vm) picker() scatter.Picker {
	if h := v.world.hooks.picker; h != nil {
		return h(v)
	}
	return v.router
}

func (v *vm) updateRouter(now time.Time) {
	cat, list := v.disseminator.Catalog(), v.disseminator.List()
	if cat != nil && list != nil {
		v.router.Update(now, cat, *list)
	}
}

func (v *vm) sharedFor(s *catalog.Service) scatter.Shared {
	e, ok := v.shared[s.Name]
	if !ok {
		e = scatter.Shared{
			Picker:  v.picker(),
			Budgets: scatter.NewBudgets(),
			Latency: scatter.NewLatency(len(s.Shards)),
			Recent:  &scatter.RecentSnapshot{},
			Policy:  scatter.DefaultPolicy(),
		}
		v.shared[s.Name] = e
	}
	return e
}

func (v *vm) scheduler(s *catalog.Service) *admission.Scheduler {
	e, ok := v.schedulers[s.Name]
	if !ok {
		const most = 18
		e = admission.NewScheduler(admission.Config{Limit: admission.LimitConfig{Initial: 2, Min: 2, Max: most}, MaxQueue: 64})
		v.schedulers[s.Name] = e
	}
	return e
}
