package routing

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// loans records the permits of a cold upstream that this VM has lent to other
// VMs or borrowed from them. Only permits of the first stage are lent, so that
// a loan stays valid when the upstream turns cold again.
//
// The lender stops using a permit before it answers, and uses it again only
// after the loan term plus the time within which the borrower's running
// requests end. The borrower counts the term from when it created the query.
// The sum over all VMs therefore never exceeds the limit, whatever delays or
// losses the network causes.
type loans struct {
	lent      int
	lentUntil time.Time
	borrowed  int
	// queriedAt is the time when the borrower created its query.
	queriedAt time.Time
	// lastUse is the time when a request of this VM to the upstream last ended.
	lastUse time.Time
}

const (
	// loanTerm is the duration of a loan.
	loanTerm = 500 * time.Millisecond
	// loanSlack allows for clocks that run at different rates and for the time
	// that a cancellation takes to reach the upstream.
	loanSlack = 250 * time.Millisecond
	// idleBeforeLoan is the time without use after which a permit may be lent.
	idleBeforeLoan = 200 * time.Millisecond
)

// lend stops this VM's use of its idle first-stage permits and returns their
// number. The caller holds mu.
func (u *upstream) lend(now time.Time) int {
	if !u.active || u.ramp.warm || u.loans.lent > 0 || u.loans.borrowed > 0 {
		return 0
	}
	if now.Sub(u.loans.lastUse) < idleBeforeLoan {
		return 0
	}
	count := u.ownPermits(0)
	if count == 0 {
		return 0
	}
	u.loans.lent = count
	if !u.gate.setLimitIfIdle(int32(u.permittedRequests())) {
		u.loans.lent = 0
		return 0
	}
	u.loans.lentUntil = now.Add(loanTerm + u.loanMargin())
	return count
}

// loanMargin returns the time after the term within which the borrower's
// running requests end: the deadline of the service plus a margin.
func (u *upstream) loanMargin() time.Duration {
	deadline := time.Duration(u.service.deadline.Load())
	return deadline + deadline/10 + loanSlack
}

// borrow adds permits lent by a peer. The caller holds mu.
func (u *upstream) borrow(now, queriedAt, epoch time.Time, count int) {
	if count <= 0 || u.loans.borrowed > 0 || membership.Elapsed(queriedAt, now) >= loanTerm {
		return
	}
	u.loans.borrowed = count
	u.loans.queriedAt = queriedAt
	u.loanEnds.Store(int64(queriedAt.Sub(epoch) + loanTerm))
	u.refreshLimit()
}

// expireLoans ends loans whose time is over and updates the limit. The caller
// holds mu.
func (u *upstream) expireLoans(now time.Time) {
	if !u.loans.expire(now) {
		return
	}
	if u.loans.borrowed == 0 {
		u.loanEnds.Store(0)
	}
	u.refreshLimit()
}

// expire ends loans whose time is over and reports whether there were any. The
// caller holds the upstream's mu.
func (l *loans) expire(now time.Time) bool {
	ended := false
	if l.lent > 0 && !now.Before(l.lentUntil) {
		l.lent = 0
		ended = true
	}
	if l.borrowed > 0 && membership.Elapsed(l.queriedAt, now) >= loanTerm {
		l.borrowed = 0
		ended = true
	}
	return ended
}
