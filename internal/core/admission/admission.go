// Package admission divides a service's upstream capacity among its customers
// when there isn't enough for all of them. It is used by `ryecourse serve`.
//
// A Scheduler admits the queries of one service on one daemon. While fewer
// queries run than its adaptive limit, it admits immediately. Above that limit
// it queues queries by customer and grants them by start-time fair queueing
// (Goyal, Vin and Cheng, SIGCOMM 1996) with the customers' rates as weights, so
// that a customer that exceeds its share only delays its own queries. A query
// that isn't expected to end before its deadline, by the average duration of
// queries, is refused immediately.
//
// Start-time fair queueing gives each query a start tag and a finish tag. The
// finish tag is the start tag plus 1/weight. The weight is the customer's rate in
// queries per second, so tags are in seconds. The start tag of the customer's next
// query is that finish tag, unless it lies too far behind the virtual time, which is
// the progress of the service on the same scale. Waiting queries are granted in the
// order of their start tags.
//
// The package starts no goroutines and doesn't read the clock.
package admission

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	// minWeight is the weight of a customer without a rate, in requests per
	// second.
	minWeight = 0.01
	// maxCredit bounds the number of queries that a customer may run ahead of
	// its share after an idle period. The credit of a customer is in units of
	// tags, so it is at most maxCredit divided by the weight.
	maxCredit = 16
	// purgeEvery is the number of grants between two purges of idle customers.
	purgeEvery = 1024
	// minRetryAfter and maxRetryAfter bound the retry time sent to a refused
	// caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config holds the limits of a Scheduler.
type Config struct {
	// Limit is the range of the concurrency limit.
	Limit LimitConfig
	// MaxQueue bounds the number of waiting queries of one customer.
	MaxQueue int
}

// Share describes a customer's share of the service.
type Share struct {
	Customer string
	// Rate is the weight, in queries per second.
	Rate float64
	// Burst is the number of queries that may arrive at once. After an idle
	// period, a bounded number of them is granted ahead of other customers'
	// queries, so that a customer with a low rate doesn't wait 1/Rate for its
	// second query.
	Burst float64
}

// Permit allows one query to run until the permit is passed to Release.
type Permit struct {
	// Start is the time of the grant.
	Start time.Time
}

// Decision is the result of Enqueue. Exactly one of Admitted, Ticket and
// Refusal is set.
type Decision struct {
	Admitted bool
	Permit   Permit
	Ticket   *Ticket
	Refusal  *verdict.Refusal
}

// Scheduler admits the queries of one service. It is safe for concurrent use;
// its lock is held only briefly. Memory use grows with the number of recently
// active customers and their waiting queries.
type Scheduler struct {
	mu      sync.Mutex
	config  Config
	limiter limiter
	running int
	waiting int
	// virtualTime is the highest tag reached by the queries that have been granted:
	// the start tag of one that waited, the finish tag of one that didn't.
	virtualTime float64
	// activeWeight is the sum of the weights of the customers with waiting
	// queries.
	activeWeight float64
	customers    map[string]*customer
	byStartTag   customerHeap
	grants       int
}

// customer is the state of one customer. It is in the heap while it has tickets
// in its queue.
type customer struct {
	name   string
	weight float64
	// credit bounds how far the tag may lag behind the virtual time, in units of
	// tags.
	credit float64
	// tag is the start tag of the query at the head of the queue. While the queue is
	// empty, it is the finish tag of the customer's last query.
	tag     float64
	tickets []*Ticket
	waiting int // undecided tickets
	index   int // in the heap
}

// NewScheduler returns an idle Scheduler. Its limit is at least 1.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{
		config:    config,
		limiter:   newLimiter(config.Limit),
		customers: make(map[string]*customer),
	}
}

// Enqueue admits, queues or refuses a query of a customer.
func (s *Scheduler) Enqueue(now time.Time, share Share, deadline time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.updateCustomer(share)
	if s.waiting == 0 && s.running < s.limiter.current() {
		s.charge(c)
		// Below the limit there is no shortage to divide: the customer's next query
		// must not be ranked behind those of others because of this one. With the
		// virtual time at the finish tag, it isn't.
		s.virtualTime = max(s.virtualTime, c.tag)
		return Decision{Admitted: true, Permit: s.start(now)}
	}
	startBy := deadline.Add(-s.limiter.serviceTime())
	if refusal := s.queueRefusal(now, c, startBy); refusal != nil {
		return Decision{Refusal: refusal}
	}
	t := &Ticket{customer: c, startBy: startBy, ready: make(chan struct{})}
	s.add(c, t)
	return Decision{Ticket: t}
}

// Release ends an admitted query and grants waiting ones.
func (s *Scheduler) Release(now time.Time, p Permit, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	invariant.Check(s.running >= 0, "admission_released_once")
	s.limiter.recordEnd(now, now.Sub(p.Start), o, s.running)
	s.grantWaiting(now)
}

// Cancel refuses a waiting ticket whose caller has disconnected or whose
// StartBy has passed. It returns false if the ticket was already granted or
// refused.
func (s *Scheduler) Cancel(now time.Time, t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.decided() {
		return false
	}
	s.refuseTicket(t, s.lateRefusal(t.customer))
	s.trimQueue(t.customer)
	return true
}

// Expire refuses every waiting query whose StartBy has passed, as it is no longer
// expected to end before its deadline. It returns their number.
func (s *Scheduler) Expire(now time.Time) int {
	return s.refuseWaiting(func(t *Ticket) *verdict.Refusal {
		if now.Before(t.startBy) {
			return nil
		}
		return s.lateRefusal(t.customer)
	})
}

// RefuseAll refuses every waiting query, for use on shutdown, and returns their
// number.
func (s *Scheduler) RefuseAll(refusal *verdict.Refusal) int {
	return s.refuseWaiting(func(*Ticket) *verdict.Refusal { return refusal })
}

func (s *Scheduler) refuseWaiting(refusalFor func(*Ticket) *verdict.Refusal) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	// A copy, since trimQueue changes the heap.
	for _, c := range append([]*customer(nil), s.byStartTag...) {
		for _, t := range c.tickets {
			if t.decided() {
				continue
			}
			if refusal := refusalFor(t); refusal != nil {
				s.refuseTicket(t, refusal)
				n++
			}
		}
		s.trimQueue(c)
	}
	return n
}

// Stats is a snapshot of a Scheduler for metrics.
type Stats struct {
	// Running and Waiting count queries. Limit is the present bound on Running.
	Running, Waiting, Limit int
	// Customers is the number of customers held in memory.
	Customers int
	// ServiceTime is the moving average of the duration of a query.
	ServiceTime time.Duration
}

// Stats returns a snapshot of the current load.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Running:     s.running,
		Waiting:     s.waiting,
		Limit:       s.limiter.current(),
		Customers:   len(s.customers),
		ServiceTime: s.limiter.serviceTime(),
	}
}

// updateCustomer returns the customer's state with the weight and credit of the
// share. It creates the state if there is none.
func (s *Scheduler) updateCustomer(share Share) *customer {
	weight := max(share.Rate, minWeight)
	c, ok := s.customers[share.Customer]
	if !ok {
		c = &customer{name: share.Customer, weight: weight, tag: math.Inf(-1)}
		s.customers[share.Customer] = c
	}
	c.credit = min(max(share.Burst-1, 0), maxCredit) / weight
	if c.weight != weight {
		if c.waiting > 0 {
			s.activeWeight += weight - c.weight
		}
		c.weight = weight
	}
	return c
}

// charge advances the customer's tag and the virtual time by one granted query. It
// purges idle customers from time to time.
func (s *Scheduler) charge(c *customer) {
	c.tag = s.startTag(c)
	s.virtualTime = max(s.virtualTime, c.tag)
	c.tag += 1 / c.weight
	s.grants++
	if s.grants%purgeEvery == 0 {
		s.purge()
	}
}

// startTag returns the start tag of the customer's next query, were it granted now:
// the customer's tag, but no further behind the virtual time than its credit.
func (s *Scheduler) startTag(c *customer) float64 {
	return max(c.tag, s.virtualTime-c.credit)
}

func (s *Scheduler) start(now time.Time) Permit {
	s.running++
	return Permit{Start: now}
}

func (s *Scheduler) add(c *customer, t *Ticket) {
	c.tickets = append(c.tickets, t)
	c.waiting++
	s.waiting++
	if c.waiting == 1 {
		s.activeWeight += c.weight
	}
	if len(c.tickets) == 1 {
		c.tag = s.startTag(c)
		heap.Push(&s.byStartTag, c)
	}
}

// grantWaiting grants waiting queries while the limit allows it.
func (s *Scheduler) grantWaiting(now time.Time) {
	for s.waiting > 0 && s.running < s.limiter.current() {
		c := s.byStartTag[0]
		t := c.tickets[0]
		switch {
		case t.decided():
		case !now.Before(t.startBy):
			s.refuseTicket(t, s.lateRefusal(c))
		default:
			s.charge(c)
			s.removeWaiting(c)
			t.grant(s.start(now))
		}
		s.trimQueue(c)
	}
}

// refuseTicket refuses a waiting ticket.
func (s *Scheduler) refuseTicket(t *Ticket, refusal *verdict.Refusal) {
	s.removeWaiting(t.customer)
	t.refuse(refusal)
}

// removeWaiting updates the counts for one query that no longer waits.
func (s *Scheduler) removeWaiting(c *customer) {
	c.waiting--
	s.waiting--
	if c.waiting == 0 {
		s.activeWeight -= c.weight
	}
}

// trimQueue removes decided tickets from the head of the customer's queue and
// restores the customer's position in the heap.
func (s *Scheduler) trimQueue(c *customer) {
	if len(c.tickets) == 0 {
		return
	}
	n := 0
	for n < len(c.tickets) && c.tickets[n].decided() {
		c.tickets[n] = nil
		n++
	}
	c.tickets = c.tickets[n:]
	if len(c.tickets) > 0 {
		heap.Fix(&s.byStartTag, c.index)
		return
	}
	c.tickets = nil
	heap.Remove(&s.byStartTag, c.index)
	if len(s.byStartTag) == 0 {
		s.activeWeight = 0 // removes accumulated rounding errors
	}
}

// purge removes customers whose state is equivalent to that of a new one.
func (s *Scheduler) purge() {
	for name, c := range s.customers {
		if len(c.tickets) == 0 && c.tag <= s.virtualTime-c.credit {
			delete(s.customers, name)
		}
	}
}
