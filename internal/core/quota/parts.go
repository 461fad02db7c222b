package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// slotOwner decides which slots the VM holds. The implementation is
// *lease.Owner; tests replace it to disable single rules.
type slotOwner interface {
	SetList(now membership.ClockReading, list *membership.List) []lease.SlotChange
	Update(now membership.ClockReading) []lease.SlotChange
	OnAnswer(sentAt membership.ClockReading, d lease.Digest)
	OnPush(now membership.ClockReading, d lease.Digest)
	OnHandover(now membership.ClockReading, h lease.Handover)
	Leave(now membership.ClockReading) []lease.SlotChange
	Probes(now membership.ClockReading) []membership.VM
	Digest() lease.Digest
	Settled() bool
	Draining() bool
	Supported(now membership.ClockReading) bool
	HoldsNoSlot(now membership.ClockReading, id string) bool
	OlderListsExpired(now membership.ClockReading) bool
	Holds(slot int) bool
	Available(now membership.ClockReading, slot int, customer string, share lease.Share) lease.Share
	HeldUntil(now membership.ClockReading) (membership.ClockReading, bool)
	UntilNextIncrease(now membership.ClockReading) time.Duration
}

// loanLedger records the shares that the VM has lent. The implementation is
// *lease.Lender.
type loanLedger interface {
	AdvanceRequestID(p lease.BorrowerID, id uint64) bool
	Lent(customer string) lease.Share
	Grant(now membership.ClockReading, p lease.BorrowerID, w lease.ShareRequest, free, reclaim lease.Share) (granted, growth lease.Share)
	LargestBorrower(customer string, except lease.BorrowerID) string
	Return(p lease.BorrowerID, customer string, remaining lease.Share) (before, after lease.Share)
	Expire(now membership.ClockReading) []lease.Loan
}

// requestTracker records the pending requests. The implementation is
// *lease.Borrower.
type requestTracker interface {
	Pending(now membership.ClockReading, lender string, timeout time.Duration) bool
	NewRequest(now membership.ClockReading, lender string) uint64
	NextID() uint64
	Cancel(lender string)
	Accept(now membership.ClockReading, lender string, id uint64) (membership.ClockReading, bool)
	Fail(lender string, id uint64)
}
