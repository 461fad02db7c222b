package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

func at(d time.Duration) membership.ClockReading { return membership.ClockReading{Mono: d, Wall: d} }

func TestTimingRelations(t *testing.T) {
	for name, ok := range map[string]bool{
		"hold-down outlasts an answer":              lease.HoldDown > lease.AnswerTerm,
		"lender waits longer than the term":         lease.LoanReclaimWait > lease.LoanTerm,
		"a drain outlasts an answer":                lease.DrainTerm >= lease.AnswerTerm,
		"no-settled-peer wait covers the hold-down": lease.NoSettledPeerWait >= lease.HoldDown,
		"settling covers the loans made before":     lease.SettleWait >= lease.LoanReclaimWait,
		"an answer outlasts two lost probes":        lease.AnswerTerm > 3*lease.ProbeInterval,
		"a handover is used before slots change":    lease.HandoverTerm < lease.DrainTerm,
	} {
		if !ok {
			t.Error(name)
		}
	}
}

// lending is one lender and one borrower whose messages are lost, delayed and
// duplicated.
type lending struct {
	lender   *lease.Lender
	borrower *lease.Borrower
	now      time.Duration
	held     lease.Share
	until    membership.ClockReading
	requests []lendingRequest
	answers  []lendingAnswer
}

type lendingRequest struct {
	id   uint64
	want lease.ShareRequest
}

type lendingAnswer struct {
	id      uint64
	granted lease.Share
}

var borrowerID = lease.BorrowerID{VM: "b", Incarnation: 1}

// TestLenderCoversBorrower checks that the lender's ledger never holds less
// than the borrower uses.
func TestLenderCoversBorrower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &lending{lender: lease.NewLender(), borrower: lease.NewBorrower()}
		amount := func() lease.Share {
			n := rapid.Int64Range(0, 100).Draw(t, "amount")
			return lease.Share{Rate: n, Capacity: n}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				l.shrink(amount())
				want := amount()
				id := l.borrower.NewRequest(at(l.now), "l")
				l.requests = append(l.requests, lendingRequest{id: id, want: lease.ShareRequest{Customer: "x", Requested: want, Held: l.held}})
			},
			"giveBack": func(t *rapid.T) {
				l.shrink(amount())
				l.borrower.Cancel("l")
				if l.lender.AdvanceRequestID(borrowerID, l.borrower.NextID()) {
					l.lender.Return(borrowerID, "x", l.held)
				}
			},
			"handle": func(t *rapid.T) {
				if len(l.requests) == 0 {
					return
				}
				r := rapid.SampledFrom(l.requests).Draw(t, "request")
				if !l.lender.AdvanceRequestID(borrowerID, r.id) {
					return
				}
				free := lease.Share{Rate: 1000, Capacity: 1000}.Minus(l.lender.Lent("x"))
				granted, _ := l.lender.Grant(at(l.now), borrowerID, r.want, free, amount())
				l.answers = append(l.answers, lendingAnswer{id: r.id, granted: granted})
			},
			"accept": func(t *rapid.T) {
				if len(l.answers) == 0 {
					return
				}
				a := rapid.SampledFrom(l.answers).Draw(t, "answer")
				if until, ok := l.borrower.Accept(at(l.now), "l", a.id); ok {
					l.held, l.until = a.granted, until
				}
			},
			"wait": func(t *rapid.T) {
				l.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				if at(l.now).Reached(l.until) {
					l.held = lease.Share{}
				}
				l.lender.Expire(at(l.now))
			},
			"": func(t *rapid.T) {
				lent := l.lender.Lent("x")
				if l.held.Rate > lent.Rate || l.held.Capacity > lent.Capacity {
					t.Fatalf("borrower holds %+v of %+v lent at %v", l.held, lent, l.now)
				}
				if lent.Rate > 1000 {
					t.Fatalf("lent %+v of 1000", lent)
				}
			},
		})
	})
}

// shrink gives up the share above left.
func (l *lending) shrink(left lease.Share) { l.held = l.held.Min(left) }
