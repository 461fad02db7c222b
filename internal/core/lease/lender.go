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

// ShareRequest is a borrower's request for one customer's limit.
type ShareRequest struct {
	Customer string
	// Requested is the whole curve that the borrower requests from this lender,
	// Held included. Its Tokens are requested in addition to those that the
	// borrower has.
	Requested Share
	// Held is the share that the borrower holds. It stops using all above Held
	// before it sends the request.
	Held Share
}

// Loan is an entry of the lender's ledger.
type Loan struct {
	Borrower BorrowerID
	Customer string
	Share    Share
}

type loanKey struct {
	borrower BorrowerID
	customer string
}

type loan struct {
	share Share
	// reclaimAt is when the share is reclaimed, on the monotonic clock, which
	// does not run ahead of the borrower's.
	reclaimAt time.Duration
}

// Lender is the ledger of the shares that a process has lent.
//
// The invariant: for each borrowing process and customer, the ledger holds at
// least the share that the process may use. An entry shrinks only when the
// borrower reports that it holds less, or LoanReclaimWait after the last
// extension. The borrower's term has ended by then, because it counts LoanTerm
// from before it sent the request.
type Lender struct {
	loans     map[loanKey]*loan
	totals    map[string]Share
	borrowers map[BorrowerID]*borrowerState
}

// borrowerState is the ledger's state of one borrowing process while it has
// loans.
type borrowerState struct {
	lastID uint64
	loans  int
}

// NewLender returns an empty ledger.
func NewLender() *Lender {
	return &Lender{
		loans:     make(map[loanKey]*loan),
		totals:    make(map[string]Share),
		borrowers: make(map[BorrowerID]*borrowerState),
	}
}

// AdvanceRequestID records the request's ID and reports whether it is newer
// than all others of the borrower. Late and duplicate requests must not be
// granted, because the borrower may hold more by now.
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

// Lent returns the sum of the customer's loans.
func (l *Lender) Lent(customer string) Share {
	return l.totals[customer]
}

// Grant extends or starts a loan. free is the further share that the lender can
// lend; reclaim is the share that it reclaims. Grant returns the share that the
// borrower holds from now on and the growth of the entry, which the lender must
// stop using before it answers.
func (l *Lender) Grant(now membership.ClockReading, p BorrowerID, w ShareRequest, free, reclaim Share) (granted, growth Share) {
	key := loanKey{borrower: p, customer: w.Customer}
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

// LargestBorrower returns the VM that has borrowed most of a customer's limit,
// except the given borrower, or "".
func (l *Lender) LargestBorrower(customer string, except BorrowerID) string {
	var best string
	var most Share
	for key, entry := range l.loans {
		if key.customer != customer || key.borrower == except {
			continue
		}
		if entry.share.Capacity > most.Capacity || (entry.share.Capacity == most.Capacity && key.borrower.VM < best) {
			best, most = key.borrower.VM, entry.share
		}
	}
	return best
}

// Return takes back a share that a borrower returns early. It returns the
// loan's previous and remaining size.
func (l *Lender) Return(p BorrowerID, customer string, remaining Share) (before, after Share) {
	key := loanKey{borrower: p, customer: customer}
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

// Expire drops and returns the loans that have reached the end of
// LoanReclaimWait.
func (l *Lender) Expire(now membership.ClockReading) []Loan {
	var out []Loan
	for key, entry := range l.loans {
		if now.Mono < entry.reclaimAt {
			continue
		}
		out = append(out, Loan{Borrower: key.borrower, Customer: key.customer, Share: entry.share})
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

// Len returns the number of entries, for capacity measurements.
func (l *Lender) Len() int { return len(l.loans) }

func (l *Lender) resize(key loanKey, entry *loan, share Share) {
	t := l.totals[key.customer]
	t.Rate += share.Rate - entry.share.Rate
	t.Capacity += share.Capacity - entry.share.Capacity
	l.totals[key.customer] = t
	entry.share = share.Curve()
}

func (l *Lender) drop(key loanKey) {
	entry := l.loans[key]
	if entry == nil {
		return
	}
	l.resize(key, entry, Share{})
	delete(l.loans, key)
	l.addLoanCount(key.borrower, -1)
	if l.totals[key.customer].IsZero() {
		delete(l.totals, key.customer)
	}
}
