package quota

import "ryecourse.example/ryecourse/internal/core/lease"

// Interfaces through which tests replace parts of a Manager.
type (
	SlotOwner      = slotOwner
	LoanLedger     = loanLedger
	RequestTracker = requestTracker
)

// Overrides replaces parts of a Manager. Nil functions change nothing.
type Overrides struct {
	Owner    func(o *lease.Owner, p Params) SlotOwner
	Lender   func(l *lease.Lender) LoanLedger
	Borrower func(b *lease.Borrower) RequestTracker
}

// NewWithOverrides returns a Manager with some parts replaced.
func NewWithOverrides(p Params, s Overrides) *Manager {
	m := New(p)
	if s.Owner != nil {
		m.owner = s.Owner(m.owner.(*lease.Owner), p)
	}
	if s.Lender != nil {
		m.lender = s.Lender(m.lender.(*lease.Lender))
	}
	if s.Borrower != nil {
		m.borrower = s.Borrower(m.borrower.(*lease.Borrower))
	}
	return m
}
