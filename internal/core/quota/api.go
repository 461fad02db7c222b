// Package quota keeps every customer within its rate and burst over all VMs
// together. `ryecourse serve` uses it; `ryecourse gateway` doesn't.
//
// A limit is an arrival curve (rate, burst). Curves add, so the limit holds
// over the fleet as long as the curves that VMs apply sum to at most the limit
// at any moment, and no token is counted twice. Manager holds one VM's share:
// the slots that it holds, less what it has lent, plus what it has borrowed.
//
// Terms:
//   - A slot is a numbered part of an availability zone's part of every limit;
//     see package lease, which decides which VM holds it. The owned share is
//     the sum of the shares of the held slots; an owner is a VM that has one.
//   - A layout divides one customer's limit into slots.
//   - A loan is a share that a lender has given to a borrower for a term. A
//     request for a loan may fetch tokens too, or tokens alone.
//   - A customer's need is the share that the VM aims to hold.
//
// Admit and RetryAdmit are safe for concurrent use by traffic goroutines. The
// other methods belong to the control goroutine. In the code, now is the time
// that the caller read, and at is the membership.ClockReading of the monotonic and
// the wall clock for that time.
package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Decision is the result of one admission.
type Decision struct {
	// OK reports whether the request is within the customer's limit. If so, its
	// token is spent.
	OK bool
	// RetryAfter is the wait after which this VM expects to have a token.
	RetryAfter time.Duration
	// ShouldFetch reports whether other VMs may have a token to spare. The
	// caller should make the control goroutine call Manager.Fetch, and call
	// RetryAdmit every FetchRetryInterval for up to FetchTimeout before it
	// refuses.
	ShouldFetch bool
}

// Share is an arrival curve and the tokens that go with it.
type Share = lease.Share

// Digest summarizes, for peers, a process's view of the VM list.
type Digest = lease.Digest

// LendRequest requests shares from one lender.
type LendRequest struct {
	// Borrower and Incarnation identify the requesting process.
	Borrower    string
	Incarnation uint64
	// ID increases with each request of the process.
	ID uint64
	// Requests holds one request for each customer.
	Requests []lease.ShareRequest
}

const (
	// FetchRetryInterval is the time between two tries while tokens are fetched.
	FetchRetryInterval = 3 * time.Millisecond
	// FetchTimeout is the longest time that a request waits for a fetched
	// token.
	FetchTimeout = 30 * time.Millisecond
)

// Grant is a lender's answer for one customer. In a Release it is a borrower's
// return instead, with Customer and Share set alone.
type Grant struct {
	Customer string
	// Share replaces what the borrower held from the lender, except for its
	// Tokens, which are added to the borrower's.
	Share Share
	// SpareRate is the rate that the lender could still lend, in micro-requests
	// per second.
	SpareRate int64
	// SpareTokens is the number of tokens that the lender could still give, in
	// micro-requests.
	SpareTokens int64
	// LargestBorrower names the VM that has borrowed most from the lender.
	LargestBorrower string
}

// LendResponse answers a LendRequest.
type LendResponse struct {
	// ID repeats the request's.
	ID uint64
	// Term starts when the borrower sent the request.
	Term   time.Duration
	Grants []Grant
}

// Release returns borrowed shares before their term ends.
type Release struct {
	Borrower    string
	Incarnation uint64
	// ID increases with each request of the process, in one sequence with the
	// IDs of LendRequest.
	ID uint64
	// Returned holds, by customer, the share that the borrower keeps from this
	// lender and, in Tokens, the tokens that it returns.
	Returned []Grant
}

// Action is an operation for the control goroutine to carry out.
type Action interface{ action() }

// SendLend sends a LendRequest to a peer. The result goes to OnLendResponse or
// OnLendFailed.
type SendLend struct {
	To      membership.VM
	Request LendRequest
}

// SendHandover passes slots on. If it is lost, the successor takes them over
// later.
type SendHandover struct {
	To       membership.VM
	Handover lease.Handover
}

// SendRelease returns shares to a peer. If it is lost, the loans end with their
// term.
type SendRelease struct {
	To      membership.VM
	Release Release
}

// SendProbe requests a peer's Digest. The answer goes to OnDigest.
type SendProbe struct {
	To membership.VM
	// SentAt must be passed to OnDigest.
	SentAt time.Time
}

// Audit reports a change of the shares that VMs hold.
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
	// EventLoanChanged reports the present size of a loan, when it starts and
	// whenever the lender's answer changes it, also to a smaller one.
	EventLoanChanged  Event = "quota_borrowed"
	EventBorrowEnded  Event = "quota_borrow_ended"
	EventLimitRaised  Event = "quota_limit_raised"
	EventLimitLowered Event = "quota_limit_lowered"
)

// Status is one VM's share of every limit, for the status page.
type Status struct {
	VM       string
	Zone     string
	Revision uint64
	// ListAge is the time since the list was last confirmed.
	ListAge  time.Duration
	Settled  bool
	Draining bool
	// Supported reports whether enough peers confirm the view of the list.
	Supported bool
	// Slots lists the numbers of the zone's slots that the VM holds.
	Slots     []int
	Customers []CustomerStatus
}

// CustomerStatus is one VM's share of one customer's limit, in micro-requests.
type CustomerStatus struct {
	Customer string
	// Limit is the whole limit over all VMs.
	Limit Share
	// Owned, Lent and Borrowed make up the VM's share.
	Owned    Share
	Lent     Share
	Borrowed Share
	// Tokens can be spent immediately.
	Tokens int64
	// Demand is the recent arrival rate in micro-requests per second.
	Demand int64
	// Admitted and Refused are counts since the start.
	Admitted uint64
	Refused  uint64
}
