package routing

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// loans are the permits of a cold upstream that this VM lent to others or
// borrowed. Only permits of the first stage are lent, so that a loan stays
// valid when the upstream turns cold again.
//
// The lender gives up a permit before it answers, and takes it back only after
// the term and the time within which the borrower's running requests end. The
// borrower counts the term from when it asked. The sum over all VMs therefore
// never grows, whatever the network does.
type loans struct {
	lent      int
	lentUntil time.Time
	borrowed  int
	// queriedAt is when the borrower asked.
	queriedAt time.Time
	// lastUse is when this VM last reserved a request on its ramp permits.
	lastUse time.Time
}

const (
	// loanTerm is the time for which a permit is lent.
	loanTerm = 500 * time.Millisecond
	// loanSlack is the time for clocks that run at different rates and for a
	// cancel to reach the upstream.
	loanSlack = 250 * time.Millisecond
	// idleBeforeLoan is the time without use after which a permit may be lent.
	idleBeforeLoan = 200 * time.Millisecond
)

// lend gives up the idle permits of the first stage and returns how many. The
// caller holds mu.
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

// loanMargin is the time after the term within which the borrower's running
// requests end: the deadline of the service, with room.
func (u *upstream) loanMargin() time.Duration {
	deadline := time.Duration(u.service.deadline.Load())
	return deadline + deadline/10 + loanSlack
}

// borrow takes over lent permits. The caller holds mu.
func (u *upstream) borrow(now, queriedAt, epoch time.Time, count int) {
	if count <= 0 || u.loans.borrowed > 0 || membership.Elapsed(queriedAt, now) >= loanTerm {
		return
	}
	u.loans.borrowed = count
	u.loans.queriedAt = queriedAt
	u.loanEnds.Store(int64(queriedAt.Sub(epoch) + loanTerm))
	u.refreshLimit()
}

// expireLoans ends what is over. The caller holds mu.
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
