// Package overload models an overloaded service on a virtual clock: customers with
// random arrivals, a scheduler, and an upstream with slots. It compares package
// admission with other scheduling policies. It is not part of the product.
package overload

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
)

// Decision is a scheduler's decision on one query.
type Decision struct {
	// Admitted reports whether the query runs; otherwise it is refused.
	Admitted bool
	// RetryAfter is the time after which a refused customer should retry.
	RetryAfter time.Duration
}

// Scheduler decides which queries run and when.
type Scheduler interface {
	// Submit submits one query. The scheduler calls decide once, now or later.
	Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision))
	// Release ends a query that was admitted at start.
	Release(now, start time.Time, o admission.Outcome)
	// Poll is called after each event.
	Poll(now time.Time)
}

// Admission implements Scheduler with an admission.Scheduler.
type Admission struct {
	*admission.Scheduler
	waiting []waiter
}

type waiter struct {
	ticket *admission.Ticket
	decide func(Decision)
}

// Submit implements Scheduler.
func (a *Admission) Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision)) {
	d := a.Enqueue(now, share, deadline)
	switch {
	case d.Admitted:
		decide(Decision{Admitted: true})
	case d.Ticket != nil:
		a.waiting = append(a.waiting, waiter{ticket: d.Ticket, decide: decide})
	default:
		decide(Decision{RetryAfter: d.Refusal.RetryAfter})
	}
}

// Release implements Scheduler.
func (a *Admission) Release(now, start time.Time, o admission.Outcome) {
	a.Scheduler.Release(now, admission.Permit{Start: start}, o)
}

// Poll implements Scheduler. It does the work of the goroutines that wait for
// tickets.
func (a *Admission) Poll(now time.Time) {
	var decided []waiter
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !now.Before(w.ticket.StartBy()) {
			a.Cancel(now, w.ticket)
		}
		select {
		case <-w.ticket.Ready():
			decided = append(decided, w)
		default:
			kept = append(kept, w)
		}
	}
	a.waiting = kept
	for _, w := range decided {
		w.decide(verdictOf(w.ticket))
	}
}

func verdictOf(t *admission.Ticket) Decision {
	if _, refusal := t.Result(); refusal != nil {
		return Decision{RetryAfter: refusal.RetryAfter}
	}
	return Decision{Admitted: true}
}
