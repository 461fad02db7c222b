// Package quota keeps every customer within its rate and burst over all VMs
// together.
//
// A limit is an arrival curve (rate, burst). Curves add, so the limit holds
// over the fleet as long as the curves that VMs act on sum to at most the
// limit at any moment, and no token is counted twice. Manager holds one VM's
// part: slots that it owns, what it has lent and what it has borrowed.
//
// Admit is safe for concurrent use by traffic goroutines. The other
// methods belong to the control goroutine.
package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Decision is the answer to one admission.
type Decision struct {
	// OK tells whether the request is within the customer's limit. Its token is
	// spent then.
	OK bool
	// RetryAfter is the wait after which this VM expects to have a token.
	RetryAfter time.Duration
	// ShouldFetch tells that other VMs may have a token to spare. The caller should
	// make the control goroutine call Manager.ShouldFetch, and call AdmitAgain every
	// FetchPause for up to FetchPatience before it refuses.
	ShouldFetch bool
}

// Share is an arrival curve and the tokens that go with it.
type Share = lease.Share

// Digest is what a VM tells its peers about its view of the list.
type Digest = lease.Digest

// LendRequest asks one lender for shares.
type LendRequest struct {
	// Borrower and Incarnation identify the asking process.
	Borrower    string
	Incarnation uint64
	// ID grows with each request of the process.
	ID uint64
	// Wants name customers as limits.
	Wants []lease.ShareRequest
}

const (
	// FetchRetryInterval is the time between two tries while tokens are fetched.
	FetchRetryInterval = 3 * time.Millisecond
	// FetchTimeout is the longest time that a request waits for a token.
	FetchTimeout = 30 * time.Millisecond
)

// Grant is what a lender gives for one customer.
type Grant struct {
	Customer string
	// Share replaces what the borrower held from the lender. Only its Tokens
	// add to what the borrower has.
	Share Share
	// SpareRate tells how much rate the lender could still give.
	SpareRate int64
	// SpareTokens tells how many tokens the lender could still give.
	SpareTokens int64
	// LargestBorrower names the VM that has borrowed most from the lender.
	LargestBorrower string
}

// LendResponse answers a LendRequest.
type LendResponse struct {
	// ID repeats the request's.
	ID uint64
	// Term is counted by the borrower from when it sent the request.
	Term   time.Duration
	Grants []Grant
}

// Release gives borrowed shares back before their term ends.
type Release struct {
	Borrower    string
	Incarnation uint64
	// ID grows with each request of the process, in one sequence with Lend.
	ID uint64
	// Returned holds what is left to the borrower from this lender, by customer,
	// and in Tokens what comes back.
	Returned []Grant
}

// Action is what the control goroutine carries out.
type Action interface{ action() }

// SendLend asks a peer to lend. The result goes to OnGranted or OnLendFailed.
type SendLend struct {
	To      membership.VM
	Request LendRequest
}

// SendHandover passes slots on. Its loss delays the next holder.
type SendHandover struct {
	To       membership.VM
	Handover lease.Handover
}

// SendRelease gives shares back to a peer. Its loss is harmless.
type SendRelease struct {
	To      membership.VM
	Release Release
}

// SendProbe asks a peer for its Digest. The answer goes to OnDigest.
type SendProbe struct {
	To membership.VM
	// SentAt must be handed back to OnDigest.
	SentAt time.Time
}

// Audit reports a change of who holds what.
type Audit struct {
	At    time.Time
	Event Event
	// Customer is empty for changes of slots.
	Customer string
	// Peer is the other VM, if any.
	Peer string
	// Slot is the slot's number in this VM's zone, or -1.
	Slot  int
	Share Share
}

func (SendLend) action()     {}
func (SendRelease) action()  {}
func (SendHandover) action() {}
func (SendProbe) action()    {}
func (Audit) action()        {}

// Event names a change for the audit trail.
type Event string

// The events of the audit trail.
const (
	EventSlotAcquired Event = "quota_slot_acquired"
	EventSlotLost     Event = "quota_slot_lost"
	EventLent         Event = "quota_lent"
	EventLoanEnded    Event = "quota_loan_ended"
	EventBorrowed     Event = "quota_borrowed"
	EventBorrowEnded  Event = "quota_borrow_ended"
	EventLimitRaised  Event = "quota_limit_raised"
	EventLimitLowered Event = "quota_limit_lowered"
)

// Status is one VM's part of every limit, for the operators' page.
type Status struct {
	VM       string
	Zone     string
	Revision uint64
	// ListAge is the time since the list was last confirmed.
	ListAge  time.Duration
	Settled  bool
	Draining bool
	// Supported tells whether enough peers confirm the view of the list.
	Supported bool
	// Slots lists the numbers of the zone's slots that the VM owns.
	Slots     []int
	Customers []CustomerStatus
}

// CustomerStatus is one VM's part of one customer's limit, in micro-requests.
type CustomerStatus struct {
	Customer string
	// Limit is the whole limit over all VMs.
	Limit Share
	// Owned, Lent and Borrowed make up the VM's part.
	Owned    Share
	Lent     Share
	Borrowed Share
	// Tokens may be spent at once.
	Tokens int64
	// Demand is the recent arrival rate in micro-requests per second.
	Demand int64
	// Admitted and Refused count since the start.
	Admitted uint64
	Refused  uint64
}
