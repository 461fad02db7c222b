// Package admission shares a service's upstream capacity among its customers
// while it is short.
//
// A Scheduler admits queries of one service on one daemon. As long as fewer
// queries run than the upstreams bear, it admits at once. Above that it queues
// by customer and grants by start-time fair queueing (Goyal, Vin and Cheng,
// SIGCOMM 1996) with the customers' rates as weights, so that a customer that
// sends more than its share waits behind its own queries only. A query that
// can't end before its deadline is refused at once.
//
// The package has no goroutines and reads no clock.
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
	// maxCredit bounds the queries that a customer may run ahead of its share
	// after a pause.
	maxCredit = 16
	// purgeEvery is the number of grants between two purges of idle customers.
	purgeEvery = 1024
	// minRetryAfter and maxRetryAfter bound the advice to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config holds the limits of a Scheduler.
type Config struct {
	// Limit is the range of queries that run at a time.
	Limit LimitConfig
	// MaxQueue bounds the waiting queries of one customer.
	MaxQueue int
}

// Share is a customer's claim on the service.
type Share struct {
	// Customer is the customer's name.
	Customer string
	// Rate is the weight, in requests per second.
	Rate float64
	// Burst is the number of requests that may come at once. Up to maxCredit of
	// them run ahead of other customers' queries after a pause, so that a small
	// customer doesn't wait a whole period of its rate for its second query.
	Burst float64
}

// Permit allows one query to run. It ends with Release.
type Permit struct {
	// Start is the time of the grant.
	Start time.Time
}

// Decision is the answer to Enqueue. Exactly one of Admitted, Ticket and Refusal
// is set.
type Decision struct {
	Admitted bool
	Permit   Permit
	Ticket   *Ticket
	Refusal  *verdict.Refusal
}

// Scheduler admits the queries of one service. It is shared by traffic
// goroutines under its own lock, which is held for a few steps at a time; memory
// grows with the customers that were active recently and with their waiting
// queries.
type Scheduler struct {
	mu      sync.Mutex
	config  Config
	limiter limiter
	running int
	waiting int
	// virtualTime is the start tag of the last granted query, in seconds of a
	// customer's own rate.
	virtualTime float64
	// activeWeight sums the weights of the customers with waiting queries.
	activeWeight float64
	customers    map[string]*customer
	byStartTag   customerHeap
	grants       int
}

// customer is the state of one customer. It is in the order while it has
// waiting queries.
type customer struct {
	name   string
	weight float64
	// credit is how far the tag may stay behind the virtual time.
	credit float64
	// tag is the start tag of the next query.
	tag     float64
	tickets []*Ticket
	waiting int // tickets that are still wanted
	index   int // in the order
}

// NewScheduler returns a Scheduler without any load. The limit is at least 1.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{
		config:    config,
		limiter:   newLimiter(config.Limit),
		customers: make(map[string]*customer),
	}
}

// Enqueue asks to run a query of a customer.
func (s *Scheduler) Enqueue(now time.Time, share Share, deadline time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customer(share)
	if s.waiting == 0 && s.running < s.limiter.current() {
		s.charge(c)
		s.virtualTime = max(s.virtualTime, c.tag) // while there is room nobody is in debt
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

// Release ends a query that was admitted, and grants waiting ones.
func (s *Scheduler) Release(now time.Time, p Permit, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	invariant.Check(s.running >= 0, "admission_released_once")
	s.limiter.recordEnd(now, now.Sub(p.Start), o, s.running)
	s.grantWaiting(now)
}

// Cancel ends the wait of a ticket whose caller is gone or whose StartBy has
// passed. It returns false when the ticket was decided before.
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

// Expire refuses every waiting query that can't end before its deadline any
// more, and returns how many there were.
func (s *Scheduler) Expire(now time.Time) int {
	return s.refuseWaiting(func(t *Ticket) *verdict.Refusal {
		if now.Before(t.startBy) {
			return nil
		}
		return s.lateRefusal(t.customer)
	})
}

// RefuseAll refuses every waiting query, on shutdown.
func (s *Scheduler) RefuseAll(refusal *verdict.Refusal) int {
	return s.refuseWaiting(func(*Ticket) *verdict.Refusal { return refusal })
}

func (s *Scheduler) refuseWaiting(refusalFor func(*Ticket) *verdict.Refusal) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
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
	// Running and Waiting count queries; Limit bounds Running.
	Running, Waiting, Limit int
	// Customers counts the customers that are kept in memory.
	Customers int
	// ServiceTime is the recent duration of a query.
	ServiceTime time.Duration
}

// Stats returns the current load.
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

func (s *Scheduler) customer(share Share) *customer {
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

// charge accounts a granted query to its customer.
func (s *Scheduler) charge(c *customer) {
	c.tag = s.startTag(c)
	s.virtualTime = max(s.virtualTime, c.tag)
	c.tag += 1 / c.weight
	s.grants++
	if s.grants%purgeEvery == 0 {
		s.purge()
	}
}

// startTag returns the tag of the customer's next query.
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

// grantWaiting starts waiting queries while the limit allows.
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

// removeWaiting counts one waiting query less.
func (s *Scheduler) removeWaiting(c *customer) {
	c.waiting--
	s.waiting--
	if c.waiting == 0 {
		s.activeWeight -= c.weight
	}
}

// trimQueue removes decided tickets from the head of the customer's queue and puts
// the customer into its place in the order.
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
		s.activeWeight = 0 // drops the rounding errors
	}
}

// purge forgets the customers whose account equals that of a new one.
func (s *Scheduler) purge() {
	for name, c := range s.customers {
		if len(c.tickets) == 0 && c.tag <= s.virtualTime-c.credit {
			delete(s.customers, name)
		}
	}
}
