package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// slotOwner decides which slots the VM holds. The implementation is
// *lease.Owner; tests replace it to disable single rules.
type slotOwner interface {
	SetList(now membership.Reading, list *membership.List) []lease.SlotChange
	Update(now membership.Reading) []lease.SlotChange
	OnAnswer(sentAt membership.Reading, d lease.Digest)
	OnPush(now membership.Reading, d lease.Digest)
	OnHandover(now membership.Reading, h lease.Handover)
	Leave(now membership.Reading) []lease.SlotChange
	Probes(now membership.Reading) []membership.VM
	Digest() lease.Digest
	Settled() bool
	Draining() bool
	Supported(now membership.Reading) bool
	HoldsNoSlot(now membership.Reading, id string) bool
	ListSettled(now membership.Reading) bool
	Holds(slot int) bool
	Available(now membership.Reading, slot int, customer string, share lease.Share) lease.Share
	HeldUntil(now membership.Reading) (membership.Reading, bool)
	UntilNextIncrease(now membership.Reading) time.Duration
}

// loanLedger records the shares that the VM has lent. The implementation is
// *lease.Lender.
type loanLedger interface {
	AdvanceRequestID(p lease.BorrowerID, id uint64) bool
	Lent(customer string) lease.Share
	Grant(now membership.Reading, p lease.BorrowerID, w lease.ShareRequest, free, reclaim lease.Share) (granted, growth lease.Share)
	LargestBorrower(customer string, except lease.BorrowerID) string
	Return(p lease.BorrowerID, customer string, remaining lease.Share) (before, after lease.Share)
	Expire(now membership.Reading) []lease.Loan
}

// requestTracker records the pending requests. The implementation is
// *lease.Borrower.
type requestTracker interface {
	Pending(now membership.Reading, lender string, timeout time.Duration) bool
	NewRequest(now membership.Reading, lender string) uint64
	NextID() uint64
	Cancel(lender string)
	Accept(now membership.Reading, lender string, id uint64) (membership.Reading, bool)
	Fail(lender string, id uint64)
}
