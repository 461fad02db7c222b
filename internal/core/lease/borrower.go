package lease

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// Borrower tracks a process's pending requests, at most one for each lender.
type Borrower struct {
	lastID  uint64
	pending map[string]request
}

type request struct {
	id     uint64
	sentAt membership.ClockReading
}

// NewBorrower returns a Borrower without pending requests.
func NewBorrower() *Borrower {
	return &Borrower{pending: make(map[string]request)}
}

// Pending reports whether a request to the lender is pending and younger than
// the timeout.
func (b *Borrower) Pending(now membership.ClockReading, lender string, timeout time.Duration) bool {
	r, ok := b.pending[lender]
	return ok && now.Mono-r.sentAt.Mono < timeout
}

// NewRequest registers a new request and returns its ID. It cancels an earlier
// request to the same lender, whose answer won't be accepted.
func (b *Borrower) NewRequest(now membership.ClockReading, lender string) uint64 {
	id := b.NextID()
	b.pending[lender] = request{id: id, sentAt: now}
	return id
}

// NextID returns an ID for a message without an answer. It makes the lender
// ignore earlier requests that are still in flight.
func (b *Borrower) NextID() uint64 {
	b.lastID++
	return b.lastID
}

// Cancel cancels the pending request to the lender, if any.
func (b *Borrower) Cancel(lender string) {
	delete(b.pending, lender)
}

// Accept completes the request and returns when the loan's term ends. It
// returns false for a duplicate, outdated or expired answer.
func (b *Borrower) Accept(now membership.ClockReading, lender string, id uint64) (membership.ClockReading, bool) {
	r, ok := b.pending[lender]
	if !ok || r.id != id {
		return membership.ClockReading{}, false
	}
	delete(b.pending, lender)
	until := r.sentAt.Add(LoanTerm)
	return until, !now.Reached(until)
}

// Fail ends a request that got no answer.
func (b *Borrower) Fail(lender string, id uint64) {
	if b.pending[lender].id == id {
		delete(b.pending, lender)
	}
}
