package overload

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
)

// waitingQuery is a queued query of a naive scheduler.
type waitingQuery struct {
	startBy time.Time
	decide  func(Decision)
}

// fifo admits queries in order of arrival.
type fifo struct {
	limit, running int
	queue          []waitingQuery
}

func (f *fifo) Submit(now time.Time, _ admission.Share, deadline time.Time, decide func(Decision)) {
	f.queue = append(f.queue, waitingQuery{startBy: deadline.Add(-serviceTime), decide: decide})
	f.Poll(now)
}

func (f *fifo) Release(now, _ time.Time, _ admission.Outcome) { f.running-- }

func (f *fifo) Poll(now time.Time) {
	for len(f.queue) > 0 && f.running < f.limit {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if now.Before(next.startBy) {
			f.running++
			next.decide(Decision{Admitted: true})
		}
	}
}

// drr is deficit round robin (Shreedhar and Varghese, SIGCOMM 1995). The quantum is
// the customer's rate divided by the smallest rate.
type drr struct {
	limit, running int
	queues         map[string]*drrQueue
	activeList     []*drrQueue
}

type drrQueue struct {
	quantum, deficit float64
	quantumDue       bool
	queue            []waitingQuery
}

func (d *drr) Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision)) {
	q := d.queues[share.Customer]
	if q == nil {
		q = &drrQueue{quantum: share.Rate / smallestRate}
		d.queues[share.Customer] = q
	}
	if len(q.queue) == 0 {
		q.quantumDue = true
		d.activeList = append(d.activeList, q)
	}
	q.queue = append(q.queue, waitingQuery{startBy: deadline.Add(-serviceTime), decide: decide})
	d.Poll(now)
}

func (d *drr) Release(time.Time, time.Time, admission.Outcome) { d.running-- }

func (d *drr) Poll(now time.Time) {
	for len(d.activeList) > 0 && d.running < d.limit {
		d.serve(now, d.activeList[0])
	}
}

func (d *drr) serve(now time.Time, q *drrQueue) {
	if q.quantumDue {
		q.deficit += q.quantum
		q.quantumDue = false
	}
	if q.deficit < 1 {
		q.quantumDue = true
		d.activeList = append(d.activeList[1:], q)
		return
	}
	next := q.queue[0]
	q.queue = q.queue[1:]
	if len(q.queue) == 0 {
		q.deficit = 0
		d.activeList = d.activeList[1:]
	}
	if now.Before(next.startBy) {
		q.deficit = max(q.deficit-1, 0)
		d.running++
		next.decide(Decision{Admitted: true})
	}
}

// noBurstCredit disables the credit that package admission derives from the burst.
type noBurstCredit struct{ Scheduler }

func (n noBurstCredit) Submit(now time.Time, share admission.Share, deadline time.Time, decide func(Decision)) {
	share.Burst = 0
	n.Scheduler.Submit(now, share, deadline, decide)
}
