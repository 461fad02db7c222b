package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// OnLend answers a borrower's request. Granted shares are deducted before the
// answer is sent.
func (m *Manager) OnLend(now time.Time, r LendRequest) (LendResponse, []Action) {
	at := m.clock(now)
	resp := LendResponse{ID: r.ID, Term: lease.LoanTerm}
	borrower := lease.BorrowerID{VM: r.Borrower, Incarnation: r.Incarnation}
	if !m.lender.AdvanceRequestID(borrower, r.ID) {
		return resp, nil
	}
	var out []Action
	for _, w := range r.Requests {
		a := m.accounts[w.Customer]
		if a == nil {
			continue
		}
		grant, grown := m.grant(at, a, borrower, w)
		resp.Grants = append(resp.Grants, grant)
		if !grown.IsZero() {
			out = append(out, Audit{At: now, Event: EventLent, Customer: a.name, Peer: r.Borrower, Slot: -1, Share: grown})
		}
	}
	return resp, out
}

func (m *Manager) grant(at membership.ClockReading, a *account, p lease.BorrowerID, w lease.ShareRequest) (Grant, Share) {
	a.bucket.snapshot(at, *m.ownedUntil.Load(), &m.scratch, false)
	own := m.scratch.own
	committed := m.lender.Lent(a.name).Plus(a.retainedShare(own, w.Requested.Tokens > 0))
	free := own.Minus(committed)
	reclaim := committed.Minus(own)
	if !reclaim.IsZero() {
		reclaim = a.limitReclaim(own, m.lender.Lent(a.name), reclaim)
	}
	if w.Requested.Tokens > 0 && w.Held.Capacity+free.Capacity < min(w.Requested.Capacity, micro) {
		// Capacity for less than one token is of no use.
		free = Share{}
	}
	granted, growth := m.lender.Grant(at, p, w, free, reclaim)
	g := Grant{Customer: a.name, Share: granted, SpareRate: max(free.Rate-growth.Rate, 0)}
	// Tokens for which the borrower has no room would be lost.
	requested := w.Requested.Tokens - max(w.Requested.Capacity-granted.Capacity, 0)
	g.Share.Tokens, g.SpareTokens = a.bucket.lend(at, *m.ownedUntil.Load(), m.lender.Lent(a.name), growth, requested, a.retainedTokens())
	if w.Requested.Tokens > 0 && g.Share.Tokens == 0 {
		// The borrower has no room for the spare tokens.
		g.SpareTokens = 0
	}
	if g.SpareTokens < micro {
		g.LargestBorrower = m.lender.LargestBorrower(a.name, p)
	}
	return g, growth
}

// limitReclaim limits the share that a lender reclaims for its own demand to
// what it has lent beyond half of its owned share. What it has lent beyond the
// owned share is reclaimed in any case.
func (a *account) limitReclaim(own, lent, requested Share) Share {
	half := Share{Rate: own.Rate / 2, Capacity: own.Capacity / 2}
	mandatory := lent.Minus(own)
	allowed := lent.Minus(half)
	return mandatory.Max(requested.Min(allowed))
}

// OnRelease takes back shares that a borrower returns early.
func (m *Manager) OnRelease(now time.Time, r Release) []Action {
	at := m.clock(now)
	borrower := lease.BorrowerID{VM: r.Borrower, Incarnation: r.Incarnation}
	if !m.lender.AdvanceRequestID(borrower, r.ID) {
		return nil
	}
	var out []Action
	for _, g := range r.Returned {
		a := m.accounts[g.Customer]
		before, after := m.lender.Return(borrower, g.Customer, g.Share)
		returned := before.Minus(after)
		if a == nil || returned.IsZero() {
			continue
		}
		ownedUntil := *m.ownedUntil.Load()
		a.bucket.setLent(at, ownedUntil, m.lender.Lent(a.name))
		a.bucket.addTokens(at, ownedUntil, min(g.Share.Tokens, returned.Capacity))
		out = append(out, Audit{At: now, Event: EventLoanEnded, Customer: a.name, Peer: r.Borrower, Slot: -1, Share: returned})
	}
	return out
}

// expireLoans reclaims loans whose wait has passed. They come back without
// tokens.
func (m *Manager) expireLoans(now time.Time, at membership.ClockReading) []Action {
	var out []Action
	for _, l := range m.lender.Expire(at) {
		if a := m.accounts[l.Customer]; a != nil {
			a.bucket.setLent(at, *m.ownedUntil.Load(), m.lender.Lent(l.Customer))
		}
		out = append(out, Audit{At: now, Event: EventLoanEnded, Customer: l.Customer, Peer: l.Borrower.VM, Slot: -1, Share: l.Share})
	}
	return out
}
