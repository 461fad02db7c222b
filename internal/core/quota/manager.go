package quota

import (
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
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
	// Clock reads both clocks. Nil means membership.NewClock(Started).
	Clock membership.Clock
}

// Manager holds one VM's part of every customer's limit.
type Manager struct {
	params  Params
	clock   membership.Clock
	tracker membership.Tracker
	catalog *catalog.Catalog
	buckets atomic.Pointer[map[string]*bucket]
}

// New returns a Manager that owns nothing.
func New(p Params) *Manager {
	m := &Manager{params: p, clock: p.Clock}
	if m.clock == nil {
		m.clock = membership.NewClock(p.Started)
	}
	m.buckets.Store(&map[string]*bucket{})
	return m
}

// Admit spends one request of the customer's limit, if this VM holds one. It
// is safe for concurrent use.
func (m *Manager) Admit(now time.Time, customer string) Decision {
	b := (*m.buckets.Load())[customer]
	if b == nil {
		return Decision{RetryAfter: time.Second}
	}
	return b.admit(m.clock(now))
}

// OnCatalog takes a new configuration.
func (m *Manager) OnCatalog(now time.Time, c *catalog.Catalog) []Action {
	m.catalog = c
	m.rebuild(m.clock(now))
	return nil
}

// OnList takes a list of VMs that was confirmed at the given time.
func (m *Manager) OnList(now time.Time, list *membership.List, confirmedAt time.Time) []Action {
	m.tracker.OnList(list, confirmedAt)
	m.rebuild(m.clock(now))
	return nil
}

// Tick moves time on. It is due every TickInterval.
func (m *Manager) Tick(now time.Time) []Action { return nil }

// OnDigest takes a peer's answer to a probe that was sent at askedAt.
func (m *Manager) OnDigest(now, askedAt time.Time, d Digest) []Action { return nil }

// Digest returns what a probe by a peer is answered with.
func (m *Manager) Digest(now time.Time) Digest {
	return Digest{VM: m.params.Self.ID, Incarnation: m.params.Incarnation}
}

// OnLend answers a peer that asks to borrow.
func (m *Manager) OnLend(now time.Time, r LendRequest) (LendResponse, []Action) {
	return LendResponse{ID: r.ID}, nil
}

// OnGranted takes the answer of the lender with the given VM ID.
func (m *Manager) OnGranted(now time.Time, lender string, r LendResponse) []Action { return nil }

// OnLendFailed reports that a request to the lender got no answer.
func (m *Manager) OnLendFailed(now time.Time, lender string, id uint64) {}

// OnRelease takes back what a borrower no longer needs.
func (m *Manager) OnRelease(now time.Time, r Release) []Action { return nil }

// Leave gives up every slot and returns what was borrowed. Requests that are
// admitted already are not affected; no others are admitted.
func (m *Manager) Leave(now time.Time) []Action { return nil }

// Status describes the VM's part for the operators' page.
func (m *Manager) Status(now time.Time) Status {
	return Status{VM: m.params.Self.ID, Zone: m.params.Self.Zone}
}

func (m *Manager) rebuild(now membership.Reading) {
	list := m.tracker.List()
	if m.catalog == nil || list == nil {
		return
	}
	n := int64(max(len(list.VMs), 1))
	next := make(map[string]*bucket)
	for name, c := range m.catalog.Customers {
		next[name] = newBucket(now, int64(c.Rate*micro)/n, int64(c.Burst*micro)/n)
	}
	m.buckets.Store(&next)
}
