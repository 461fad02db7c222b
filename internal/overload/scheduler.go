// Package overload models a service that is short of capacity: tenants with
// random arrivals, a scheduler and a back end with slots, on a virtual clock. It
// measures package admission against other policies.
package overload

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
)

// Decision is a scheduler's decision on one query.
type Decision struct {
	// Admitted tells whether the query runs; otherwise it is refused.
	Admitted bool
	// RetryAfter is the advice to a refused tenant.
	RetryAfter time.Duration
}

// Scheduler decides which queries run and when.
type Scheduler interface {
	// Submit asks for one query. The scheduler calls decide once, now or later.
	Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision))
	// Release ends a query that was granted at start.
	Release(now, start time.Time, o admission.Outcome)
	// Poll is called after each event.
	Poll(now time.Time)
}

// Admission adapts an admission.Scheduler.
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

// Poll implements Scheduler. It does what the goroutines that wait do.
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
