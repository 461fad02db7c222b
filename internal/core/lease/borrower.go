package lease

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// Borrower keeps the requests that a process has under way, one for each
// lender.
type Borrower struct {
	lastID  uint64
	pending map[string]request
}

type request struct {
	id     uint64
	sentAt membership.Reading
}

// NewBorrower returns a Borrower without requests.
func NewBorrower() *Borrower {
	return &Borrower{pending: make(map[string]request)}
}

// Pending reports whether a request to the lender is under way and younger than
// the timeout.
func (b *Borrower) Pending(now membership.Reading, lender string, timeout time.Duration) bool {
	r, ok := b.pending[lender]
	return ok && now.Mono-r.sentAt.Mono < timeout
}

// NewRequest starts a request and returns its ID. An earlier one to the same lender
// is given up: its answer won't be accepted.
func (b *Borrower) NewRequest(now membership.Reading, lender string) uint64 {
	id := b.NextID()
	b.pending[lender] = request{id: id, sentAt: now}
	return id
}

// NextID returns an ID for a message that has no answer. It makes the lender
// ignore earlier requests that are still on their way.
func (b *Borrower) NextID() uint64 {
	b.lastID++
	return b.lastID
}

// Cancel gives up the request to the lender, if there is one.
func (b *Borrower) Cancel(lender string) {
	delete(b.pending, lender)
}

// Accept ends the request and returns when the loan's term ends. It returns
// false for an answer that is repeated, outdated or past its term.
func (b *Borrower) Accept(now membership.Reading, lender string, id uint64) (membership.Reading, bool) {
	r, ok := b.pending[lender]
	if !ok || r.id != id {
		return membership.Reading{}, false
	}
	delete(b.pending, lender)
	until := r.sentAt.Add(LoanTerm)
	return until, !now.Reached(until)
}

// Fail ends the request without an answer.
func (b *Borrower) Fail(lender string, id uint64) {
	if b.pending[lender].id == id {
		delete(b.pending, lender)
	}
}
