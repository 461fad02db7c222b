// Package loadshed decides which requests to reject before their first attempt while the
// upstreams of a service bear less than is sent to them. `ryecourse gateway` uses it.
//
// Requests that need the same services are a group; requests of one route are a kind.
// What counts is how long a kind waits for slots: at the slowest of the services without
// which it has no answer. The wait follows from the loads that upstreams state, so that
// the VMs of a fleet see the same wait without messages. Each VM rejects a fraction of
// its requests that a proportional-integral controller sets (as PIE does with packets,
// RFC 8033), the least urgent first, so that no kind waits for more than a part of its
// latency objective.
//
// The package has no I/O and reads no clock.
package loadshed

import (
	"math/rand/v2"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/placement"
)

// Group identifies the services that requests need.
type Group struct {
	// First is the first of the services, Count their number.
	First string
	Count int
}

// Request is a request on which to decide.
type Request struct {
	Group    Group
	Services []string
	// Kind is the name of the request's route.
	Kind string
	// MinShare is the least fraction of the services that must answer.
	MinShare float64
	// Objective is the time within which the request should be answered.
	Objective time.Duration
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Late is set if the caller has waited so long in earlier tries that the request can
	// hardly be answered within its objective. Such requests come last of their rank.
	Late     bool
	Customer string
}

// Decision is the result of Decide.
type Decision struct {
	Admit bool
	// RetryAfter is how long the caller of a rejected request should wait.
	RetryAfter time.Duration
	// Fraction is the fraction of requests with this priority and customer that are
	// rejected now, from 0 to 1, and Overall that of all requests of the group.
	Fraction, Overall float64
	// Service is the one with the wait that decided, Load its running and queued requests
	// per slot, Wait the time that a request waits there, and Age that of the report.
	Service string
	Load    float64
	Wait    time.Duration
	Age     time.Duration
}

// Loads returns the loads of services; see placement.Picker.
type Loads interface {
	Pressure(now time.Time, services []string, dst []placement.Pressure) []placement.Pressure
}

const (
	// scanInterval is the least time between two readings of the loads of a group.
	scanInterval = 5 * time.Millisecond
	// idleTimeout is the time without requests after which a group is dropped.
	idleTimeout = time.Minute
)

// Shedder decides on the requests of one VM. It is safe for concurrent use.
type Shedder struct {
	loads Loads

	mu     sync.Mutex
	rand   *rand.Rand
	groups map[Group]*group
}

// New returns a shedder that rejects nothing yet.
func New(loads Loads, r *rand.Rand) *Shedder {
	return &Shedder{loads: loads, rand: r, groups: map[Group]*group{}}
}

// Decide decides on a request before its first attempt.
func (s *Shedder) Decide(now time.Time, r Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[r.Group]
	if g == nil {
		s.dropIdle(now)
		g = newGroup(now)
		s.groups[r.Group] = g
	}
	g.usedAt = now
	g.demand.add(levelOf(&r), r.Customer)
	k := g.kind(now, &r)
	if now.Sub(g.scannedAt) >= scanInterval {
		g.update(now, s.loads.Pressure(now, r.Services, g.pressures))
	}
	d := Decision{Admit: true, Overall: g.fraction}
	if g.fraction <= 0 {
		return d
	}
	d.Fraction = g.fractionFor(levelOf(&r), r.Customer)
	if d.Fraction <= 0 || s.rand.Float64() >= d.Fraction || g.probes(now) {
		g.admittedAt = now
		return d
	}
	// Without a request that waits, a slot may be free or becomes free at once.
	g.read(s.loads.Pressure(now, r.Services, g.pressures))
	slowest := g.slowest(k)
	p := &g.pressures[slowest]
	if loadOf(p) <= 1 {
		g.admittedAt = now
		g.admitLesser(levelOf(&r))
		return d
	}
	d.Admit = false
	d.RetryAfter = retryAfter(d.Fraction, s.rand.Float64())
	d.Service, d.Load, d.Wait, d.Age = r.Services[slowest], p.PerSlot, p.Wait, p.Age
	return d
}

// LeaveOut returns the indices of the services that a request should do without: it leaves
// out as many as it can of those that lack instances and have requests waiting, at random,
// so that these serve more requests.
func (s *Shedder) LeaveOut(r *Request) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[r.Group]
	if g == nil || len(g.waits) != len(r.Services) {
		return nil
	}
	short := g.shortServices()
	s.rand.Shuffle(len(short), func(i, j int) { short[i], short[j] = short[j], short[i] })
	return short[:min(len(short), len(r.Services)-needed(r.MinShare, len(r.Services)))]
}

// AdmitExtra reports whether a request may have another attempt at a service. Under
// pressure, one that replaces a rejected or failed attempt needs a wait that the
// request's kind tolerates. One beside a running attempt, a hedge, needs a free slot if
// requests of this kind are being rejected, and otherwise a tolerated wait.
func (s *Shedder) AdmitExtra(now time.Time, r *Request, service string, hedge bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[r.Group]
	if g == nil || g.fraction <= 0 {
		return true
	}
	p := s.loads.Pressure(now, []string{service}, nil)[0]
	if !isKnown(&p) {
		return true
	}
	if !hedge && levelOf(r) == g.demand.mostUrgent() && g.demand.lesserShare() > 0 {
		return true // while others run, the most urgent rank isn't touched
	}
	if hedge && g.fractionFor(levelOf(r), r.Customer) > 0 {
		return p.PerSlot < 1
	}
	return p.Wait <= toleratedWait(r.Objective)
}

func (s *Shedder) dropIdle(now time.Time) {
	for id, g := range s.groups {
		if now.Sub(g.usedAt) > idleTimeout {
			delete(s.groups, id)
		}
	}
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter returns a time that grows with the rejected fraction, spread over as much
// again by random, from 0 to 1, so that rejected callers don't return together.
func retryAfter(fraction, random float64) time.Duration {
	wait := min(time.Duration(float64(minRetryAfter)/max(1-fraction, 0.01)), maxRetryAfter)
	return wait + time.Duration(random*float64(wait))
}
