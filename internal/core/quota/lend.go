package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// OnLend answers a peer that asks to borrow. What is granted is deducted
// before the answer goes out.
func (m *Manager) OnLend(now time.Time, r LendRequest) (LendResponse, []Action) {
	at := m.clock(now)
	resp := LendResponse{ID: r.ID, Term: lease.LoanTerm}
	party := lease.BorrowerID{VM: r.Borrower, Incarnation: r.Incarnation}
	if !m.lender.AdvanceRequestID(party, r.ID) {
		return resp, nil
	}
	var out []Action
	for _, w := range r.Wants {
		a := m.accounts[w.Customer]
		if a == nil {
			continue
		}
		grant, grown := m.grant(at, a, party, w)
		resp.Grants = append(resp.Grants, grant)
		if !grown.IsZero() {
			out = append(out, Audit{At: now, Event: EventLent, Customer: a.name, Peer: r.Borrower, Slot: -1, Share: grown})
		}
	}
	return resp, out
}

func (m *Manager) grant(at membership.Reading, a *account, p lease.BorrowerID, w lease.ShareRequest) (Grant, Share) {
	a.bucket.read(at, *m.rights.Load(), &m.scratch, false)
	own := m.scratch.own
	committed := m.lender.Lent(a.name).Plus(a.keep(own, w.Requested.Tokens > 0))
	free := own.Minus(committed)
	reclaim := committed.Minus(own)
	if !reclaim.IsZero() {
		reclaim = a.fairReclaim(own, m.lender.Lent(a.name), reclaim)
	}
	if w.Requested.Tokens > 0 && w.Held.Capacity+free.Capacity < min(w.Requested.Capacity, micro) {
		// Room for less than one token is of no use.
		free = Share{}
	}
	granted, growth := m.lender.Grant(at, p, w, free, reclaim)
	g := Grant{Customer: a.name, Share: granted, SpareRate: max(free.Rate-growth.Rate, 0)}
	// Tokens without room at the borrower would be lost.
	wish := w.Requested.Tokens - max(w.Requested.Capacity-granted.Capacity, 0)
	g.Share.Tokens, g.SpareTokens = a.bucket.lend(at, *m.rights.Load(), m.lender.Lent(a.name), growth, wish, a.keepTokens())
	if w.Requested.Tokens > 0 && g.Share.Tokens == 0 {
		// There is no room for what could be spared.
		g.SpareTokens = 0
	}
	if g.SpareTokens < micro {
		g.LargestBorrower = m.lender.LargestBorrower(a.name, p)
	}
	return g, growth
}

// fairReclaim limits what a lender takes back for its own demand to half of
// what it owns. What was lent beyond what it owns must come back in any case.
func (a *account) fairReclaim(own, lent, wanted Share) Share {
	half := Share{Rate: own.Rate / 2, Capacity: own.Capacity / 2}
	must := lent.Minus(own)
	may := lent.Minus(half)
	return must.Max(wanted.Min(may))
}

// OnRelease takes back what a borrower no longer needs.
func (m *Manager) OnRelease(now time.Time, r Release) []Action {
	at := m.clock(now)
	party := lease.BorrowerID{VM: r.Borrower, Incarnation: r.Incarnation}
	if !m.lender.AdvanceRequestID(party, r.ID) {
		return nil
	}
	var out []Action
	for _, g := range r.Returned {
		a := m.accounts[g.Customer]
		before, after := m.lender.Return(party, g.Customer, g.Share)
		given := before.Minus(after)
		if a == nil || given.IsZero() {
			continue
		}
		rights := *m.rights.Load()
		a.bucket.setLent(at, rights, m.lender.Lent(a.name))
		a.bucket.addTokens(at, rights, min(g.Share.Tokens, given.Capacity))
		out = append(out, Audit{At: now, Event: EventLoanEnded, Customer: a.name, Peer: r.Borrower, Slot: -1, Share: given})
	}
	return out
}

// expireLent takes back loans whose wait is over. They come back empty.
func (m *Manager) expireLent(now time.Time, at membership.Reading) []Action {
	var out []Action
	for _, l := range m.lender.Expire(at) {
		if a := m.accounts[l.Customer]; a != nil {
			a.bucket.setLent(at, *m.rights.Load(), m.lender.Lent(l.Customer))
		}
		out = append(out, Audit{At: now, Event: EventLoanEnded, Customer: l.Customer, Peer: l.Borrower.VM, Slot: -1, Share: l.Share})
	}
	return out
}
