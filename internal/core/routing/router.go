package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Router chooses replicas and limits this VM to its shares.
//
// Update, Tick, ConfirmView, Connections, Status and the methods for peers'
// messages must be called from the control goroutine. Pick, Done, IsRamping and
// OnConnectionsLost are safe for concurrent use by traffic goroutines: they
// read an immutable table and hold at most one upstream's lock at a time.
type Router struct {
	cfg  Config
	self membership.VM

	table         atomic.Pointer[table]
	confirmed     atomic.Pointer[time.Time]
	randomState   atomic.Uint64
	staleRefusals atomic.Uint64

	// The control goroutine owns fleet, catalog, mature and viewStale. mature
	// is the result of fleet.mature for the present table.
	fleet     *fleet
	catalog   *catalog.Catalog
	mature    bool
	viewStale bool

	pendingMu sync.Mutex
	pending   []pendingAction
}

// New returns a Router that refuses every request before its first Update. The
// random numbers select the candidates among the replicas and break ties
// between them.
func New(self membership.VM, rng *rand.Rand, cfg Config) *Router {
	r := &Router{cfg: cfg.withDefaults(), self: self}
	r.fleet = newFleet(self, r.cfg.HoldDown)
	r.randomState.Store(rng.Uint64())
	return r
}

// Update applies a catalog and a VM list and confirms the control view. The
// state of upstreams that remain in the catalog is kept. A catalog or list
// older than the present one is ignored.
func (r *Router) Update(now time.Time, c *catalog.Catalog, list membership.List) {
	if r.catalog != nil && c.Version < r.catalog.Version {
		c = r.catalog
	}
	listed := r.fleet.update(now, list)
	expired := r.fleet.expire(now)
	if listed || expired || c != r.catalog || r.fleet.mature(now) != r.mature {
		r.rebuild(now, c)
	}
	r.ConfirmView(now)
}

// ConfirmView records that no catalog or list newer than the present ones is
// available. Pick refuses requests when the last confirmation is older than
// Config.MaxViewAge.
func (r *Router) ConfirmView(now time.Time) {
	if !r.viewCurrent(now) {
		r.expireLoans(now)
	}
	r.confirmed.Store(&now)
	if r.viewStale {
		r.viewStale = false
		r.audit(now, r.self.ID, ChangeViewCurrent, CauseViewAge)
	}
}

// expireLoans ends the loans whose term passed while the process was paused.
func (r *Router) expireLoans(now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	for _, u := range t.ordered {
		u.mu.Lock()
		u.expireLoans(now)
		u.mu.Unlock()
	}
}

func (r *Router) rebuild(now time.Time, c *catalog.Catalog) {
	old := r.table.Load()
	if old == nil {
		old = &table{epoch: now}
	}
	mature := r.fleet.mature(now)
	self := sharer{id: r.self.ID, zone: r.self.Zone, hash: hashOf(r.self.ID)}
	b := builder{
		now:            now,
		catalog:        c,
		oldCatalog:     r.catalog,
		domains:        newDomains(self, r.fleet, c),
		self:           self,
		sameMaturity:   mature == r.mature,
		sameZoneStates: areZoneStatesEqual(r.catalog, c),
		oldTable:       old,
		router:         r,
	}
	r.mature = mature
	b.newTable = &table{
		epoch:     old.epoch,
		services:  make(map[string]*serviceTable, len(c.Services)),
		upstreams: make(map[string]*upstream, len(old.upstreams)),
	}
	r.catalog = c
	r.table.Store(b.build())
}

// setShares applies new shares to one upstream. With delayGrowth set, any
// increase takes effect only after a hold-down.
func (r *Router) setShares(now time.Time, u *upstream, next shares, isNew, delayGrowth bool, inactive Cause) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if delayGrowth {
		u.holdShares(next, now.Add(r.cfg.HoldDown))
	} else {
		u.shares = next
	}
	u.expireHeldShares(now)
	u.isFallback.Store(next.isFallback)
	u.active = inactive == "" && r.mature
	if isNew || inactive != u.inactive {
		r.setInactive(now, u, isNew, inactive)
	}
	u.refreshLimit()
}

// setInactive records whether the catalog permits requests to an upstream. The
// initial state in the first table isn't audited. The caller holds mu.
func (r *Router) setInactive(now time.Time, u *upstream, isNew bool, cause Cause) {
	returnCause := CauseOperatorReturn
	if u.inactive == CauseVMList {
		returnCause = CauseVMList
	}
	u.inactive = cause
	switch {
	case r.table.Load() == nil:
	case cause != "":
		r.audit(now, u.id, ChangeDrained, cause)
	case isNew:
		r.audit(now, u.id, ChangeCold, CauseFirstSeen)
	default:
		r.audit(now, u.id, ChangeReturned, returnCause)
		r.turnCold(now, u, returnCause)
	}
}

// deactivate stops requests to an upstream that is no longer in the table or
// that this VM no longer shares. It does nothing if the upstream is already
// inactive.
func (r *Router) deactivate(now time.Time, u *upstream, cause Cause) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inactive != "" {
		return
	}
	u.active = false
	u.inactive = cause
	u.refreshLimit()
	r.audit(now, u.id, ChangeDrained, cause)
}

// Tick performs the time-based updates and returns the queued actions in order.
// The control goroutine calls it several times a second, and after
// Config.Notify.
func (r *Router) Tick(now time.Time) []Action {
	if r.table.Load() == nil {
		return r.drainActions(now)
	}
	expired := r.fleet.expire(now)
	if expired || r.fleet.mature(now) != r.mature {
		r.rebuild(now, r.catalog)
		r.audit(now, r.self.ID, ChangeShares, CauseHoldDownOver)
	}
	for _, u := range r.table.Load().ordered {
		r.tickUpstream(now, u)
	}
	r.queryPeers(now)
	r.tickView(now)
	return r.drainActions(now)
}

func (r *Router) tickView(now time.Time) {
	if r.viewStale || r.viewCurrent(now) {
		return
	}
	r.viewStale = true
	r.audit(now, r.self.ID, ChangeViewStale, CauseViewAge)
}

func (r *Router) tickUpstream(now time.Time, u *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.active {
		return
	}
	if u.expireHeldShares(now) {
		u.refreshLimit()
	}
	u.expireLoans(now)
	if u.ramp.warm && now.Sub(u.health.lastAnswer) > r.cfg.IdleLimit {
		r.turnCold(now, u, CauseSilence)
	}
	u.decayLatency()
}

// decayLatency moves a latency above the service's average towards it. An
// upstream that is avoided for its latency would otherwise get no new samples.
func (u *upstream) decayLatency() {
	latency, serviceLatency := u.latency.Load(), u.service.latency.Load()
	if serviceLatency > 0 && latency > serviceLatency {
		u.latency.Store(latency - (latency-serviceLatency)>>latencyShift)
	}
}

func (r *Router) viewCurrent(now time.Time) bool {
	confirmed := r.confirmed.Load()
	return confirmed != nil && membership.Elapsed(*confirmed, now) <= r.cfg.MaxViewAge
}

func (r *Router) lookup(id string) *upstream {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	return t.upstreams[id]
}
