package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
)

// Status describes the VM's share for the status page.
func (m *Manager) Status(now time.Time) Status {
	at := m.clock(now)
	s := Status{
		VM:        m.params.Self.ID,
		Zone:      m.params.Self.Zone,
		Settled:   m.owner.Settled(),
		Draining:  m.owner.Draining(),
		Supported: m.owner.Supported(at),
	}
	if list := m.tracker.List(); list != nil {
		s.Revision = list.Revision
		s.ListAge = m.tracker.Age(now)
	}
	for slot := range lease.SlotsPerZone {
		if m.owner.Holds(slot) {
			s.Slots = append(s.Slots, slot)
		}
	}
	var b bucketState
	for _, name := range m.names {
		a := m.accounts[name]
		a.bucket.snapshot(at, *m.ownedUntil.Load(), &b, false)
		s.Customers = append(s.Customers, a.status(&b))
	}
	return s
}

func (a *account) status(b *bucketState) CustomerStatus {
	c := CustomerStatus{
		Customer: a.name,
		Limit:    a.layout.limit,
		Owned:    b.own,
		Lent:     b.lent,
		Tokens:   b.tokens,
		Demand:   int64(a.demand.rate() * micro),
		Admitted: b.admitted,
		Refused:  b.refused,
	}
	for _, l := range b.loans {
		c.Borrowed = c.Borrowed.Plus(l.share)
	}
	return c
}
