package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Router chooses replicas and keeps this VM within its shares.
//
// Update, Tick, Confirm and the On methods belong to the control goroutine.
// Pick and Done may be called by any number of traffic goroutines at the same
// time; they read an immutable table and take one upstream's lock at most.
type Router struct {
	cfg  Config
	self membership.VM

	table     atomic.Pointer[table]
	confirmed atomic.Pointer[time.Time]
	ticket    atomic.Uint64
	stale     atomic.Uint64

	// The fields below belong to the control goroutine.
	fleet    *fleet
	catalog  *catalog.Catalog
	mature   bool
	viewAged bool

	pendingMu sync.Mutex
	pending   []pendingAction
}

// pendingAction is an action that waits for the next Tick.
type pendingAction struct {
	at     time.Time
	action Action
}

// New returns a Router that dispatches nothing before its first Update.
func New(self membership.VM, rng *rand.Rand, cfg Config) *Router {
	r := &Router{cfg: cfg.withDefaults(), self: self}
	r.fleet = newFleet(self, r.cfg.HoldDown)
	r.ticket.Store(rng.Uint64())
	return r
}

// Update takes in the newest catalog and VM list and confirms the view. What is
// known of surviving upstreams is kept.
func (r *Router) Update(now time.Time, c *catalog.Catalog, list membership.List) {
	if r.catalog != nil && c.Version < r.catalog.Version {
		c = r.catalog
	}
	r.catalog = c
	r.fleet.update(now, list)
	r.fleet.expire(now)
	r.rebuild(now)
	r.Confirm(now)
}

// Confirm states that the present catalog and list are the newest that can be
// had. Without it Pick refuses after Config.MaxViewAge.
func (r *Router) Confirm(now time.Time) {
	r.confirmed.Store(&now)
	if r.viewAged {
		r.viewAged = false
		r.audit(now, r.self.ID, ChangeViewCurrent, CauseViewAge)
	}
}

func (r *Router) rebuild(now time.Time) {
	old := r.table.Load()
	if old == nil {
		old = &table{epoch: now}
	}
	r.mature = r.fleet.mature(now)
	b := builder{
		now:     now,
		catalog: r.catalog,
		fleet:   r.fleet,
		domains: newDomains(r.fleet),
		self:    sharer{hash: hashOf(r.self.ID), zone: r.self.Zone},
		old:     old,
		router:  r,
	}
	b.out = &table{
		epoch:     old.epoch,
		services:  make(map[string]*serviceTable, len(r.catalog.Services)),
		upstreams: make(map[string]*upstream, len(old.upstreams)),
	}
	r.table.Store(b.build())
}

// setShares applies a rebuilt table to one upstream.
func (r *Router) setShares(now time.Time, u *upstream, next shares, isNew, ruleChanged bool, inactive Cause) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if ruleChanged {
		u.holdShares(next, now.Add(r.cfg.HoldDown))
	} else {
		u.shares = next
	}
	u.releaseHeld(now)
	r.setActive(now, u, isNew, inactive)
	u.refreshLimit()
}

// setActive applies what the catalog says of an upstream. The caller holds mu.
func (r *Router) setActive(now time.Time, u *upstream, isNew bool, inactive Cause) {
	u.active = inactive == "" && r.mature
	if inactive == u.inactive && !isNew {
		return
	}
	u.inactive = inactive
	switch {
	case inactive != "":
		r.audit(now, u.id, ChangeDrained, inactive)
	case isNew:
		r.audit(now, u.id, ChangeCold, CauseFirstSeen)
	default:
		r.audit(now, u.id, ChangeReturned, CauseOperatorReturn)
		r.turnCold(now, u, CauseOperatorReturn)
	}
}

// deactivate stops work to an upstream that left the catalog.
func (r *Router) deactivate(now time.Time, u *upstream, cause Cause) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inactive == cause {
		return
	}
	u.active = false
	u.inactive = cause
	u.refreshLimit()
	r.audit(now, u.id, ChangeDrained, cause)
}

// Tick runs what depends on time and returns the queued actions in order. The
// control goroutine calls it several times a second, and after Config.Notify.
func (r *Router) Tick(now time.Time) []Action {
	t := r.table.Load()
	if t == nil {
		return r.takeActions(now)
	}
	expired := r.fleet.expire(now)
	if expired || r.fleet.mature(now) != r.mature {
		r.rebuild(now)
		r.audit(now, r.self.ID, ChangeShares, CauseHoldDownOver)
	}
	for _, u := range r.table.Load().upstreams {
		r.tickUpstream(now, u)
	}
	r.askPeers(now)
	r.tickView(now)
	return r.takeActions(now)
}

func (r *Router) tickView(now time.Time) {
	if r.viewAged || r.viewCurrent(now) {
		return
	}
	r.viewAged = true
	r.audit(now, r.self.ID, ChangeViewStale, CauseViewAge)
}

func (r *Router) tickUpstream(now time.Time, u *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.active {
		return
	}
	if u.releaseHeld(now) {
		u.refreshLimit()
	}
	if u.ramp.warm && now.Sub(u.health.lastAnswer) > r.cfg.SilenceLimit {
		r.turnCold(now, u, CauseSilence)
		r.announceCold(now, u)
	}
}

func (r *Router) viewCurrent(now time.Time) bool {
	confirmed := r.confirmed.Load()
	return confirmed != nil && elapsed(*confirmed, now) <= r.cfg.MaxViewAge
}

func (r *Router) audit(now time.Time, subject string, change Change, cause Cause) {
	r.queue(now, Audit{At: now, Subject: subject, Change: change, Cause: cause})
}

// queue keeps an action for the next Tick.
func (r *Router) queue(now time.Time, a Action) {
	r.pendingMu.Lock()
	r.pending = append(r.pending, pendingAction{at: now, action: a})
	r.pendingMu.Unlock()
	if r.cfg.Notify != nil {
		r.cfg.Notify()
	}
}

func (r *Router) takeActions(now time.Time) []Action {
	r.pendingMu.Lock()
	defer r.pendingMu.Unlock()
	out := make([]Action, 0, len(r.pending))
	for _, p := range r.pending {
		out = append(out, aged(p.action, now.Sub(p.at)))
	}
	r.pending = nil
	return out
}

// aged adds the time that a notice waited to its age.
func aged(a Action, waited time.Duration) Action {
	switch n := a.(type) {
	case ColdNotice:
		n.Age += waited
		return n
	case RampNotice:
		n.Age += waited
		return n
	}
	return a
}
