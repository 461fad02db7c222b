package admission

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// fifo is a scheduler that serves in order of arrival.
type fifo struct {
	limit, running int
	tickets        []*Ticket
}

func newFIFO(limit int) *fifo { return &fifo{limit: limit} }

func (f *fifo) Enqueue(now time.Time, _ Share, deadline time.Time) Decision {
	if len(f.tickets) == 0 && f.running < f.limit {
		f.running++
		return Decision{Admitted: true, Permit: Permit{Start: now}}
	}
	t := &Ticket{startBy: deadline.Add(-simulatedService), ready: make(chan struct{})}
	f.tickets = append(f.tickets, t)
	return Decision{Ticket: t}
}

func (f *fifo) Release(now time.Time, _ Permit, _ Outcome) {
	f.running--
	for len(f.tickets) > 0 && f.running < f.limit {
		t := f.tickets[0]
		f.tickets = f.tickets[1:]
		if !t.done {
			f.running++
			t.grant(Permit{Start: now})
		}
	}
}

func (f *fifo) Withdraw(_ time.Time, t *Ticket) bool {
	if t.done {
		return false
	}
	t.refuse(verdict.Refuse(verdict.CodeOverloaded, time.Second, "late"))
	return true
}

// drr is deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with a
// quantum of weight over the smallest weight.
type drr struct {
	limit, running int
	queues         map[string]*drrQueue
	round          []*drrQueue
}

type drrQueue struct {
	weight, deficit float64
	fresh           bool
	tickets         []*Ticket
}

const (
	smallestRate     = 2
	simulatedService = 20 * time.Millisecond
)

func newDRR(limit int) *drr { return &drr{limit: limit, queues: map[string]*drrQueue{}} }

func (d *drr) Enqueue(now time.Time, share Share, deadline time.Time) Decision {
	if len(d.round) == 0 && d.running < d.limit {
		d.running++
		return Decision{Admitted: true, Permit: Permit{Start: now}}
	}
	q := d.queues[share.Customer]
	if q == nil {
		q = &drrQueue{weight: share.Rate}
		d.queues[share.Customer] = q
	}
	t := &Ticket{startBy: deadline.Add(-simulatedService), ready: make(chan struct{})}
	if len(q.tickets) == 0 {
		q.fresh = true
		d.round = append(d.round, q)
	}
	q.tickets = append(q.tickets, t)
	return Decision{Ticket: t}
}

func (d *drr) Release(now time.Time, _ Permit, _ Outcome) {
	d.running--
	for len(d.round) > 0 && d.running < d.limit {
		d.serve(now, d.round[0])
	}
}

func (d *drr) serve(now time.Time, q *drrQueue) {
	if q.fresh {
		q.deficit += q.weight / smallestRate
		q.fresh = false
	}
	if q.deficit < 1 {
		q.fresh = true
		d.round = append(d.round[1:], q)
		return
	}
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	if !t.done {
		q.deficit--
		d.running++
		t.grant(Permit{Start: now})
	}
	if len(q.tickets) == 0 {
		q.deficit = 0
		d.round = d.round[1:]
	}
}

func (d *drr) Withdraw(_ time.Time, t *Ticket) bool {
	if t.done {
		return false
	}
	t.refuse(verdict.Refuse(verdict.CodeOverloaded, time.Second, "late"))
	return true
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[int(q*float64(len(sorted)-1))]
}
