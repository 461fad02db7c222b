package quota

import (
	"slices"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Params are the fixed properties of one process.
type Params struct {
	// Self is the VM that the process runs on.
	Self membership.VM
	// Incarnation is random for each process.
	Incarnation uint64
	// Started is the start of the process.
	Started time.Time
	// Clock reads the monotonic and the wall clock. Nil means
	// membership.NewClock(Started).
	Clock membership.Clock
}

// Manager holds one VM's share of every customer's limit.
type Manager struct {
	params  Params
	clock   membership.Clock
	tracker membership.Tracker

	// buckets is replaced as a whole. Traffic goroutines read it.
	buckets atomic.Pointer[map[string]*bucket]
	// ownedUntil is when the owned shares expire unless peers confirm the view
	// again. Traffic goroutines read it.
	ownedUntil atomic.Pointer[membership.ClockReading]

	// The remaining fields belong to the control goroutine.
	owner    slotOwner
	lender   loanLedger
	borrower requestTracker
	accounts map[string]*account
	// names are the customers in alphabetical order.
	names []string
	// catalogVersion is the version of the applied configuration.
	catalogVersion uint64
	// slotCandidates holds the ranked VMs that may hold each slot, by zone.
	slotCandidates map[string][lease.SlotsPerZone][]membership.VM
	// zones are the list's zones, the VM's own first.
	zones []string
	// lenderCache holds the possible lenders, for one tick.
	lenderCache map[lenderKey][]possibleLender
	// unreachableUntil holds, by lender, until when an unreachable one gets no
	// requests.
	unreachableUntil map[string]time.Duration
	// nextGrowthAt is the next time at which an owned share may grow without an
	// event, on the monotonic clock; 0 is none.
	nextGrowthAt time.Duration
	scratch      bucketState
	// fetchBudget bounds the messages that fetch tokens.
	fetchBudget messageBudget
}

// New returns a Manager that holds no slots.
func New(p Params) *Manager {
	m := &Manager{
		params:           p,
		clock:            p.Clock,
		lender:           lease.NewLender(),
		borrower:         lease.NewBorrower(),
		accounts:         make(map[string]*account),
		lenderCache:      make(map[lenderKey][]possibleLender),
		unreachableUntil: make(map[string]time.Duration),
	}
	if m.clock == nil {
		m.clock = membership.NewClock(p.Started)
	}
	now := m.clock(p.Started)
	m.owner = lease.NewOwner(p.Self, p.Incarnation, now)
	m.ownedUntil.Store(&membership.ClockReading{})
	m.buckets.Store(&map[string]*bucket{})
	return m
}

// Admit spends one request of the customer's limit, if this VM has a token for
// it. now must have been read immediately before. Admit is safe for concurrent
// use and allocates nothing.
func (m *Manager) Admit(now time.Time, customer string) Decision {
	return m.admit(now, customer, false)
}

// RetryAdmit is Admit for a request that has waited FetchRetryInterval after a
// Decision with ShouldFetch set.
func (m *Manager) RetryAdmit(now time.Time, customer string) Decision {
	return m.admit(now, customer, true)
}

func (m *Manager) admit(now time.Time, customer string, retry bool) Decision {
	b := (*m.buckets.Load())[customer]
	if b == nil {
		return Decision{RetryAfter: noRateRetryAfter}
	}
	return b.admit(m.clock(now), *m.ownedUntil.Load(), retry)
}

// OnCatalog applies a new configuration. A lower limit takes effect at once,
// except that lent and borrowed shares stay valid until their term ends. A
// version that is not newer is ignored.
func (m *Manager) OnCatalog(now time.Time, c *catalog.Catalog) []Action {
	if c.Version <= m.catalogVersion {
		return nil
	}
	m.catalogVersion = c.Version
	at := m.clock(now)
	zones := sortedZones(c)
	var out []Action
	buckets := make(map[string]*bucket, len(c.Customers))
	accounts := make(map[string]*account, len(c.Customers))
	for name, customer := range c.Customers {
		a := m.accounts[name]
		next := newLayout(customer, zones)
		if a == nil {
			a = &account{name: name, layout: next, bucket: &bucket{refilledAt: at.Mono, lent: m.lender.Lent(name)}}
		} else {
			out = append(out, a.setLayout(now, at, next)...)
		}
		accounts[name] = a
		buckets[name] = a.bucket
	}
	m.accounts = accounts
	m.names = sortedNames(accounts)
	m.buckets.Store(&buckets)
	m.assignOwnedShares(at)
	return out
}

// setLayout replaces the layout, and keeps the previous one while other VMs may
// use it.
func (a *account) setLayout(now time.Time, at membership.ClockReading, next layout) []Action {
	before := a.layout
	a.layout = next
	a.earlierLayouts = slices.DeleteFunc(a.earlierLayouts, func(g earlierLayout) bool { return at.Mono >= g.inUseUntil })
	if !before.sameSplit(&next) {
		a.earlierLayouts = append(a.earlierLayouts, earlierLayout{layout: before, inUseUntil: at.Mono + LayoutChangeWait})
	}
	event := EventLimitLowered
	switch {
	case before.limit == next.limit:
		return nil
	case next.limit.Rate >= before.limit.Rate && next.limit.Capacity >= before.limit.Capacity:
		event = EventLimitRaised
	}
	return []Action{Audit{At: now, Event: event, Customer: a.name, Slot: -1, Share: next.limit}}
}

func sortedNames(accounts map[string]*account) []string {
	names := make([]string, 0, len(accounts))
	for name := range accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// OnList applies a VM list that was confirmed at the given time.
func (m *Manager) OnList(now time.Time, list *membership.List, confirmedAt time.Time) []Action {
	before := m.tracker.List()
	m.tracker.OnList(list, confirmedAt)
	if m.tracker.List() == before {
		return nil
	}
	at := m.clock(now)
	changes := m.owner.SetList(at, list)
	m.rankSlotCandidates(list)
	clear(m.lenderCache)
	return m.onSlotChanges(now, at, changes)
}

// rankSlotCandidates ranks the VMs that may hold each slot and orders the zones.
func (m *Manager) rankSlotCandidates(list *membership.List) {
	byZone := make(map[string][]membership.VM)
	for _, vm := range list.VMs {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	m.slotCandidates = make(map[string][lease.SlotsPerZone][]membership.VM, len(byZone))
	nodes := make([]membership.VM, 0, len(byZone))
	for zone, vms := range byZone {
		var slots [lease.SlotsPerZone][]membership.VM
		for i := range slots {
			slots[i] = lease.SlotCandidates(zone, i, vms)
		}
		m.slotCandidates[zone] = slots
		nodes = append(nodes, membership.VM{ID: zone})
	}
	m.zones = m.zones[:0]
	if _, ok := m.slotCandidates[m.params.Self.Zone]; ok {
		m.zones = append(m.zones, m.params.Self.Zone)
	}
	for _, node := range membership.RendezvousN(m.params.Self.ID, nodes, len(nodes)) {
		if node.ID != m.params.Self.Zone {
			m.zones = append(m.zones, node.ID)
		}
	}
}

// Tick advances the state to now. Call it every TickInterval.
func (m *Manager) Tick(now time.Time) []Action {
	at := m.clock(now)
	out := m.onSlotChanges(now, at, m.owner.Update(at))
	if m.nextGrowthAt != 0 && at.Mono >= m.nextGrowthAt {
		m.assignOwnedShares(at)
	}
	out = append(out, m.expireLoans(now, at)...)
	for _, vm := range m.owner.Probes(at) {
		out = append(out, SendProbe{To: vm, SentAt: now})
	}
	return append(out, m.borrow(now, at)...)
}

// OnDigest processes a peer's answer to a probe that was sent at sentAt.
func (m *Manager) OnDigest(now, sentAt time.Time, d Digest) []Action {
	m.owner.OnAnswer(m.clock(sentAt), d)
	at := m.clock(now)
	return m.onSlotChanges(now, at, m.owner.Update(at))
}

// OnProbe answers a probe. Slots that the sender's digest invalidates are
// released before the answer is sent, because the sender relies on it.
func (m *Manager) OnProbe(now time.Time, from Digest) (Digest, []Action) {
	at := m.clock(now)
	m.owner.OnPush(at, from)
	actions := m.onSlotChanges(now, at, m.owner.Update(at))
	return m.owner.Digest(), actions
}

// Digest returns the digest that is sent with a probe.
func (m *Manager) Digest() Digest {
	return m.owner.Digest()
}

// List returns the newest VM list that the VM knows, or nil.
func (m *Manager) List() *membership.List {
	return m.tracker.List()
}

// Leave releases every slot permanently and hands it over. The VM continues to
// serve with its borrowed shares until Close.
func (m *Manager) Leave(now time.Time) []Action {
	at := m.clock(now)
	return m.onSlotChanges(now, at, m.owner.Leave(at))
}
