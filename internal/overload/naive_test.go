package overload

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
)

// ask is a waiting query of a naive scheduler.
type ask struct {
	startBy time.Time
	decide  func(Decision)
}

// fifo serves in order of arrival.
type fifo struct {
	limit, running int
	queue          []ask
}

func (f *fifo) Submit(now time.Time, _ admission.Share, deadline time.Time, decide func(Decision)) {
	f.queue = append(f.queue, ask{startBy: deadline.Add(-service), decide: decide})
	f.Poll(now)
}

func (f *fifo) Release(now, _ time.Time, _ admission.Outcome) { f.running-- }

func (f *fifo) Poll(now time.Time) {
	for len(f.queue) > 0 && f.running < f.limit {
		a := f.queue[0]
		f.queue = f.queue[1:]
		if now.Before(a.startBy) {
			f.running++
			a.decide(Decision{Admitted: true})
		}
	}
}

// drr is deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) with a
// quantum of the rate over the smallest rate.
type drr struct {
	limit, running int
	queues         map[string]*drrQueue
	round          []*drrQueue
}

type drrQueue struct {
	quantum, deficit float64
	fresh            bool
	queue            []ask
}

func (d *drr) Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision)) {
	q := d.queues[share.Customer]
	if q == nil {
		q = &drrQueue{quantum: share.Rate / smallestRate}
		d.queues[share.Customer] = q
	}
	if len(q.queue) == 0 {
		q.fresh = true
		d.round = append(d.round, q)
	}
	q.queue = append(q.queue, ask{startBy: deadline.Add(-service), decide: decide})
	d.Poll(now)
}

func (d *drr) Release(time.Time, time.Time, admission.Outcome) { d.running-- }

func (d *drr) Poll(now time.Time) {
	for len(d.round) > 0 && d.running < d.limit {
		d.serve(now, d.round[0])
	}
}

func (d *drr) serve(now time.Time, q *drrQueue) {
	if q.fresh {
		q.deficit += q.quantum
		q.fresh = false
	}
	if q.deficit < 1 {
		q.fresh = true
		d.round = append(d.round[1:], q)
		return
	}
	a := q.queue[0]
	q.queue = q.queue[1:]
	if len(q.queue) == 0 {
		q.deficit = 0
		d.round = d.round[1:]
	}
	if now.Before(a.startBy) {
		q.deficit = max(q.deficit-1, 0)
		d.running++
		a.decide(Decision{Admitted: true})
	}
}

// noCredit takes the credit of package admission away.
type noCredit struct{ Scheduler }

func (n noCredit) Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision)) {
	share.Burst = 0
	n.Scheduler.Submit(now, share, deadline, decide)
}
