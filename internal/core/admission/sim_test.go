package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

// scheduler is what the simulation drives: a Scheduler or a naive one.
type scheduler interface {
	Enqueue(now time.Time, share Share, deadline time.Time) Decision
	Release(now time.Time, p Permit, o Outcome)
	Withdraw(now time.Time, t *Ticket) bool
}

// tenant is a simulated customer with Poisson arrivals.
type tenant struct {
	name   string
	rate   float64 // its limit and weight, in requests per second
	demand float64 // what it sends, in requests per second

	tokens float64
	filled time.Time

	sent, served, refused int
	waits                 []time.Duration
	retryAfters           []time.Duration
}

func (t *tenant) burst() float64 { return max(t.rate, 4) }

// inRate tells whether a request is within the tenant's rate and burst. A tenant
// that sends more than its rate isn't held back here.
func (t *tenant) inRate(now time.Time) bool {
	if t.demand > t.rate {
		return true
	}
	if t.filled.IsZero() {
		t.tokens = t.burst()
	} else {
		t.tokens = min(t.burst(), t.tokens+t.rate*now.Sub(t.filled).Seconds())
	}
	t.filled = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// backEnd runs queries for a fixed time each on a number of slots. It queues
// those above its slots, and sheds those above slots and queue.
type backEnd struct {
	slots, queue int
	service      time.Duration
	running      int
	waiting      []*job
	shed, done   int
	busy         time.Duration // summed from dispatch to end
}

type job struct {
	tenant   *tenant
	arrival  time.Time
	deadline time.Time
	permit   Permit
	ticket   *Ticket
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simulation is a discrete-event run of tenants, a scheduler and a back end.
type simulation struct {
	now       time.Time
	rng       *rand.Rand
	events    events
	seq       int
	scheduler scheduler
	backEnd   *backEnd
	deadline  time.Duration
	queued    []*job
}

func newSimulation(seed uint64, s scheduler, b *backEnd) *simulation {
	return &simulation{
		now:       epoch,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		scheduler: s,
		backEnd:   b,
		deadline:  500 * time.Millisecond,
	}
}

func (s *simulation) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, do: do})
}

// run lets the tenants send for a time.
func (s *simulation) run(tenants []*tenant, d time.Duration) {
	end := s.now.Add(d)
	for _, t := range tenants {
		s.arrive(t, end)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.wake()
	}
}

func (s *simulation) arrive(t *tenant, end time.Time) {
	next := s.now.Add(time.Duration(s.rng.ExpFloat64() / t.demand * float64(time.Second)))
	if next.After(end) {
		return
	}
	s.at(next, func() {
		s.enqueue(t)
		s.arrive(t, end)
	})
}

func (s *simulation) enqueue(t *tenant) {
	if !t.inRate(s.now) {
		return
	}
	t.sent++
	j := &job{tenant: t, arrival: s.now, deadline: s.now.Add(s.deadline)}
	d := s.scheduler.Enqueue(s.now, Share{Customer: t.name, Rate: t.rate, Burst: t.burst()}, j.deadline)
	switch {
	case d.Admitted:
		j.permit = d.Permit
		s.dispatch(j)
	case d.Ticket != nil:
		j.ticket = d.Ticket
		s.queued = append(s.queued, j)
		s.at(d.Ticket.StartBy(), func() { s.scheduler.Withdraw(s.now, j.ticket) })
	default:
		s.refuse(t, d.Refusal)
	}
}

func (s *simulation) refuse(t *tenant, r *verdict.Refusal) {
	t.refused++
	t.retryAfters = append(t.retryAfters, r.RetryAfter)
}

// wake goes on with the jobs whose tickets were decided.
func (s *simulation) wake() {
	if len(s.queued) == 0 {
		return
	}
	kept := s.queued[:0]
	var granted []*job
	for _, j := range s.queued {
		select {
		case <-j.ticket.Ready():
			granted = append(granted, j)
		default:
			kept = append(kept, j)
		}
	}
	s.queued = kept
	for _, j := range granted {
		permit, refusal := j.ticket.Result()
		if refusal != nil {
			s.refuse(j.tenant, refusal)
			continue
		}
		j.permit = permit
		s.dispatch(j)
	}
}

func (s *simulation) dispatch(j *job) {
	b := s.backEnd
	switch {
	case b.running < b.slots:
		s.serve(j)
	case len(b.waiting) < b.queue:
		b.waiting = append(b.waiting, j)
	default:
		b.shed++
		s.refuse(j.tenant, verdict.Refuse(verdict.CodeOverloaded, time.Second, "shed"))
		s.scheduler.Release(s.now, j.permit, OutcomeOverloaded)
	}
}

func (s *simulation) serve(j *job) {
	b := s.backEnd
	b.running++
	s.at(s.now.Add(b.service), func() { s.finish(j) })
}

func (s *simulation) finish(j *job) {
	b := s.backEnd
	b.running--
	b.done++
	b.busy += s.now.Sub(j.permit.Start)
	outcome := OutcomeDone
	if s.now.After(j.deadline) {
		outcome = OutcomeLate
		j.tenant.refused++
	} else {
		j.tenant.served++
		j.tenant.waits = append(j.tenant.waits, s.now.Sub(j.arrival)-b.service)
	}
	if len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.serve(next)
	}
	s.scheduler.Release(s.now, j.permit, outcome)
}
