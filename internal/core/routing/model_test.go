package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// model simulates queries to fake upstreams on a virtual clock. Its results
// compare policies and don't predict the performance of a deployment.
type model struct {
	setup     setup
	now       time.Time
	rng       *rand.Rand
	events    events
	seq       int
	catalog   *catalog.Catalog
	list      membership.List
	vms       []*modelVM
	upstreams map[string]*modelUpstream
	queries   []*modelQuery
	attempts,
	hedges, sheds int
	overSlots, maxOverCapacity int // samples at arrival; largest excess
	arrivals                   int
	lastTo                     map[string]time.Time // time of the last new request, by zone
}

type setup struct {
	seed       uint64
	vms        int
	perVM      float64 // queries per second
	duration   time.Duration
	stragglers float64
	hedge      bool
	cold       bool
	keepTrials bool // a query doesn't cancel attempts at cold upstreams
	sheds      bool // upstreams shed requests beyond their slots
	policy     func(*Router, *rand.Rand, *catalog.Catalog) scatter.Picker
	at         map[time.Duration]func(*model)
}

const (
	modelMean      = 5 * time.Millisecond
	modelHedge     = 15 * time.Millisecond
	modelRetry     = time.Millisecond
	modelQueryEnd  = time.Second
	modelSlow      = 20 // slowdown of a straggler
	modelColdSlow  = 8  // slowdown of a cold upstream at first
	modelFarDelay  = 500 * time.Microsecond
	modelTickEvery = 50 * time.Millisecond
)

type modelVM struct {
	router        *Router
	picker        scatter.Picker
	zone          string
	tickScheduled bool
}

type modelUpstream struct {
	id, zone string
	frozen   bool
	slots    int
	busy     int
	queue    []*modelAttempt
	inFlight int
	answers  int // since it turned cold
	isCold   bool
	instance string
}

type modelQuery struct {
	vm            *modelVM
	start, end    time.Time
	missing, open int
}

type modelShard struct {
	query    *modelQuery
	shard    int
	tried    []string
	attempts []*modelAttempt
	done     bool
}

type modelAttempt struct {
	shard    *modelShard
	target   scatter.Target
	upstream *modelUpstream
	start    time.Time
	ended    bool
	running  bool
	trial    bool
}

func runModel(s setup) *model {
	m := &model{setup: s, rng: newTestRNG(s.seed), upstreams: map[string]*modelUpstream{}, lastTo: map[string]time.Time{}}
	m.catalog = testCatalog(fourZones, 10, 3)
	m.list = testList(1, fourZones, s.vms)
	for _, shard := range m.catalog.Services["svc"].Shards {
		for _, u := range shard.Replicas {
			m.upstreams[u.ID] = &modelUpstream{id: u.ID, zone: u.Zone, slots: 3, isCold: s.cold, instance: "a"}
		}
	}
	m.now = testStart
	for i := range s.vms {
		m.startVM(i)
	}
	for at, run := range s.at {
		m.after(at, func() { run(m) })
	}
	end := m.now.Add(s.duration)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.After(end) {
			break
		}
		m.now = e.at
		e.run()
	}
	return m
}

func (m *model) startVM(i int) {
	vm := &modelVM{zone: m.list.VMs[i].Zone}
	cfg := Config{Notify: func() { m.scheduleTick(vm) }}
	vm.router = New(m.list.VMs[i], newTestRNG(m.setup.seed*100+uint64(i)), cfg)
	vm.router.Update(m.now.Add(-10*time.Second), m.catalog, m.list)
	vm.router.Tick(m.now)
	vm.router.ConfirmView(m.now)
	if !m.setup.cold {
		for _, u := range vm.router.table.Load().ordered {
			u.mu.Lock()
			vm.router.advance(m.now, u, 10, CauseAnswers)
			u.health.lastAnswer = m.now
			u.mu.Unlock()
		}
	}
	vm.picker = vm.router
	if m.setup.policy != nil {
		vm.picker = m.setup.policy(vm.router, newTestRNG(m.setup.seed+77), m.catalog)
	}
	m.vms = append(m.vms, vm)
	m.after(0, func() { m.tick(vm) })
	m.after(m.interarrivalTime(), func() { m.arrive(vm) })
}

func (m *model) scheduleTick(vm *modelVM) {
	if !vm.tickScheduled {
		vm.tickScheduled = true
		m.after(100*time.Microsecond, func() { m.runActions(vm) })
	}
}

func (m *model) tick(vm *modelVM) {
	vm.router.ConfirmView(m.now)
	m.runActions(vm)
	m.after(modelTickEvery, func() { m.tick(vm) })
}

func (m *model) runActions(vm *modelVM) {
	vm.tickScheduled = false
	for _, a := range vm.router.Tick(m.now) {
		switch a := a.(type) {
		case ColdNotice:
			m.broadcast(vm, func(to *modelVM) { to.router.OnColdNotice(m.now, a) })
		case RampNotice:
			m.broadcast(vm, func(to *modelVM) { to.router.OnRampNotice(m.now, a) })
		case RampQuery:
			i := slices.IndexFunc(m.list.VMs, func(v membership.VM) bool { return v.ID == a.To })
			m.after(modelFarDelay, func() {
				answers := m.vms[i].router.OnRampQuery(m.now, a.Questions)
				m.after(modelFarDelay, func() { vm.router.OnRampAnswers(m.now, a.CreatedAt, answers) })
			})
		}
	}
}

func (m *model) broadcast(from *modelVM, deliver func(*modelVM)) {
	for _, to := range m.vms {
		if to != from {
			m.after(modelFarDelay, func() { deliver(to) })
		}
	}
}

// configure distributes a changed catalog to the VMs, each with its own lag.
func (m *model) configure(change func(*catalog.Catalog)) {
	next := testCatalog(fourZones, 10, 3)
	next.Version = m.catalog.Version + 1
	change(next)
	m.catalog = next
	for _, vm := range m.vms {
		m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() {
			vm.router.Update(m.now, next, m.list)
		})
	}
}

func (m *model) interarrivalTime() time.Duration {
	return time.Duration(m.rng.ExpFloat64() / m.setup.perVM * float64(time.Second))
}

func (m *model) arrive(vm *modelVM) {
	q := &modelQuery{vm: vm, start: m.now, open: 10}
	m.queries = append(m.queries, q)
	for shard := range 10 {
		m.attempt(&modelShard{query: q, shard: shard}, false)
	}
	m.after(m.interarrivalTime(), func() { m.arrive(vm) })
}

// attempt sends a shard's request. If no replica is available, it retries after
// modelRetry.
func (m *model) attempt(s *modelShard, hedge bool) {
	if s.done {
		return
	}
	if m.now.Sub(s.query.start) > modelQueryEnd {
		s.query.missing++
		m.finish(s)
		return
	}
	target, ok := s.query.vm.picker.Pick(m.now, "svc", s.shard, s.tried)
	if !ok {
		if !hedge {
			m.after(modelRetry, func() { m.attempt(s, false) })
		}
		return
	}
	a := &modelAttempt{shard: s, target: target, upstream: m.upstreams[target.Upstream], start: m.now}
	a.trial = m.setup.keepTrials && s.query.vm.router.IsRamping(target.Upstream)
	s.tried = append(s.tried, target.Upstream)
	s.attempts = append(s.attempts, a)
	m.attempts++
	m.receive(a)
	if hedge {
		m.hedges++
	}
	if m.setup.hedge && !hedge {
		m.after(modelHedge, func() { m.attempt(s, true) })
	}
	m.after(modelQueryEnd, func() {
		if !s.done {
			s.query.missing++
			m.finish(s)
		}
	})
}

func (m *model) receive(a *modelAttempt) {
	u := a.upstream
	m.lastTo[u.zone] = m.now
	u.inFlight++
	m.arrivals++
	if u.inFlight > u.slots {
		m.overSlots++
	}
	m.maxOverCapacity = max(m.maxOverCapacity, u.inFlight-u.capacity())
	if m.setup.sheds && u.inFlight > u.slots {
		m.after(modelFarDelay, func() { m.shed(a) })
		return
	}
	u.queue = append(u.queue, a)
	m.serve(u)
}

// shed refuses an attempt. Its query retries at another replica.
func (m *model) shed(a *modelAttempt) {
	if a.ended {
		return
	}
	m.sheds++
	m.release(a)
	m.done(a, scatter.Report{Outcome: scatter.OutcomeShed, Latency: m.now.Sub(a.start), Load: 1})
	a.shard.tried = nil
	m.attempt(a.shard, false)
}

// capacity returns the number of concurrent requests that the upstream can
// serve.
func (u *modelUpstream) capacity() int {
	permits := 1 << min(u.answers/defaultAnswersPerStage, 10)
	if !u.isCold || permits >= u.slots {
		return 1 << 20
	}
	return permits
}

func (m *model) serve(u *modelUpstream) {
	for u.busy < u.slots && len(u.queue) > 0 && !u.frozen {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.ended {
			continue
		}
		u.busy++
		a.running = true
		m.after(m.serviceTime(a), func() { m.served(a) })
	}
}

func (m *model) serviceTime(a *modelAttempt) time.Duration {
	d := time.Duration((0.5 + 0.5*m.rng.ExpFloat64()) * float64(modelMean))
	if m.rng.Float64() < m.setup.stragglers {
		d *= modelSlow
	}
	if capacity := a.upstream.capacity(); capacity < a.upstream.slots {
		d *= modelColdSlow / time.Duration(capacity)
	}
	if a.upstream.zone != a.shard.query.vm.zone {
		d += 2 * modelFarDelay
	}
	return d
}

func (m *model) served(a *modelAttempt) {
	u := a.upstream
	if a.ended {
		return
	}
	if u.frozen {
		m.after(10*time.Millisecond, func() { m.served(a) })
		return
	}
	load := float64(u.busy) / float64(u.slots)
	m.release(a)
	u.answers++
	m.done(a, scatter.Report{Latency: m.now.Sub(a.start), Load: load, Instance: u.instance})
	m.finish(a.shard)
}

// release frees the attempt's slot at its upstream.
func (m *model) release(a *modelAttempt) {
	a.ended = true
	a.upstream.inFlight--
	if a.running {
		a.upstream.busy--
	}
	m.serve(a.upstream)
}

func (m *model) done(a *modelAttempt, rep scatter.Report) {
	a.shard.query.vm.picker.Done(m.now, "svc", a.shard.shard, a.target, rep)
}

func (m *model) finish(s *modelShard) {
	if s.done {
		return
	}
	s.done = true
	for _, a := range s.attempts {
		if !a.ended && !a.trial {
			m.release(a)
			m.done(a, scatter.Report{Outcome: scatter.OutcomeCanceled, Latency: m.now.Sub(a.start), Load: -1})
		}
	}
	s.query.open--
	if s.query.open == 0 {
		s.query.end = m.now
	}
}

// quantile returns a latency quantile of the queries that started between two
// offsets, and the number of them with missing shards.
func (m *model) quantile(q float64, from, to time.Duration) (time.Duration, int) {
	var all []time.Duration
	incomplete := 0
	for _, query := range m.queries {
		began := query.start.Sub(testStart)
		if began < from || began >= to || query.open > 0 {
			continue
		}
		if query.missing > 0 {
			incomplete++
		}
		all = append(all, query.end.Sub(query.start))
	}
	if len(all) == 0 {
		return 0, incomplete
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))], incomplete
}
