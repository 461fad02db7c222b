package lease

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// BorrowerID identifies a borrowing process.
type BorrowerID struct {
	VM          string
	Incarnation uint64
}

// ShareRequest is a borrower's wish for one limit.
type ShareRequest struct {
	Customer string
	// Requested is the whole curve that the borrower would like to hold from this
	// lender, Have included. Its Tokens are those it would like to get, without
	// regard to what it has.
	Requested Share
	// Held is what the borrower holds. It gives up all above Have before it asks.
	Held Share
}

// Loan is an entry of the lender's book.
type Loan struct {
	Borrower BorrowerID
	Customer string
	Share    Share
}

type loanKey struct {
	party BorrowerID
	limit string
}

type loan struct {
	share Share
	// reclaimAt is when the share comes back, on the monotonic clock, which does
	// not run ahead of the borrower's.
	reclaimAt time.Duration
}

// Lender is the book of what a process has lent.
//
// The invariant: for each borrowing process and limit, the book holds at least
// what that process may act on. An entry shrinks only when the borrower says
// that it holds less, or LoanWait after the last extension, when the borrower's
// term has ended: a borrower counts LoanTerm from before it asked.
type Lender struct {
	loans     map[loanKey]*loan
	totals    map[string]Share
	borrowers map[BorrowerID]*borrowerState
}

// borrowerState is what the book keeps of one borrowing process while it has loans.
type borrowerState struct {
	lastID uint64
	loans  int
}

// NewLender returns an empty book.
func NewLender() *Lender {
	return &Lender{
		loans:     make(map[loanKey]*loan),
		totals:    make(map[string]Share),
		borrowers: make(map[BorrowerID]*borrowerState),
	}
}

// AdvanceRequestID reports whether the request is newer than all others of the party.
// Requests that are late or repeated must not be granted, because the borrower
// may have come to hold more since.
func (l *Lender) AdvanceRequestID(p BorrowerID, id uint64) bool {
	state := l.borrowers[p]
	if state == nil {
		state = &borrowerState{}
		l.borrowers[p] = state
	}
	if id <= state.lastID {
		return false
	}
	state.lastID = id
	return true
}

// Lent returns the sum of what is lent of a limit.
func (l *Lender) Lent(limit string) Share {
	return l.totals[limit]
}

// Grant extends or starts a loan. free is what the lender could lend besides;
// reclaim is what it wants back. It returns what the borrower holds from now on
// and the growth of the entry, which the lender must stop using before it
// answers.
func (l *Lender) Grant(now membership.Reading, p BorrowerID, w ShareRequest, free, reclaim Share) (granted, growth Share) {
	key := loanKey{party: p, limit: w.Customer}
	held := Share{}
	entry := l.loans[key]
	if entry != nil {
		held = w.Held.Min(entry.share)
	}
	offer := held.Plus(free.Curve()).Minus(reclaim)
	granted = w.Requested.Min(offer)
	next := held.Max(granted)
	if next.IsZero() {
		l.drop(key)
		return Share{}, Share{}
	}
	if entry == nil {
		entry = &loan{}
		l.loans[key] = entry
		l.addLoanCount(p, 1)
	}
	growth = next.Minus(entry.share)
	l.resize(key, entry, next)
	if !granted.IsZero() {
		entry.reclaimAt = now.Mono + LoanReclaimWait
	}
	return granted, growth
}

// LargestBorrower returns the VM that has borrowed most of a limit, other than the
// given party, or nothing.
func (l *Lender) LargestBorrower(limit string, except BorrowerID) string {
	var best string
	var most Share
	for key, entry := range l.loans {
		if key.limit != limit || key.party == except {
			continue
		}
		if entry.share.Capacity > most.Capacity || (entry.share.Capacity == most.Capacity && key.party.VM < best) {
			best, most = key.party.VM, entry.share
		}
	}
	return best
}

// Return takes back what a borrower gives up early. It returns the loan's
// former and remaining size.
func (l *Lender) Return(p BorrowerID, limit string, remaining Share) (before, after Share) {
	key := loanKey{party: p, limit: limit}
	entry := l.loans[key]
	if entry == nil {
		return Share{}, Share{}
	}
	before = entry.share
	after = before.Min(remaining)
	if after.IsZero() {
		l.drop(key)
		return before, Share{}
	}
	l.resize(key, entry, after)
	return before, after
}

// Expire drops the loans whose wait is over and returns them.
func (l *Lender) Expire(now membership.Reading) []Loan {
	var out []Loan
	for key, entry := range l.loans {
		if now.Mono < entry.reclaimAt {
			continue
		}
		out = append(out, Loan{Borrower: key.party, Customer: key.limit, Share: entry.share})
		l.drop(key)
	}
	for p, state := range l.borrowers {
		if state.loans == 0 {
			delete(l.borrowers, p)
		}
	}
	return out
}

func (l *Lender) addLoanCount(p BorrowerID, change int) {
	state := l.borrowers[p]
	if state == nil {
		state = &borrowerState{}
		l.borrowers[p] = state
	}
	state.loans += change
}

// Len returns the number of entries, for capacity figures.
func (l *Lender) Len() int { return len(l.loans) }

func (l *Lender) resize(key loanKey, entry *loan, share Share) {
	t := l.totals[key.limit]
	t.Rate += share.Rate - entry.share.Rate
	t.Capacity += share.Capacity - entry.share.Capacity
	l.totals[key.limit] = t
	entry.share = share.Curve()
}

func (l *Lender) drop(key loanKey) {
	entry := l.loans[key]
	if entry == nil {
		return
	}
	l.resize(key, entry, Share{})
	delete(l.loans, key)
	l.addLoanCount(key.party, -1)
	if l.totals[key.limit].IsZero() {
		delete(l.totals, key.limit)
	}
}
