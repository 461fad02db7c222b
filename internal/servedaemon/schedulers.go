package servedaemon

import (
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/caller"
	"ryecourse.example/ryecourse/internal/control"
	"ryecourse.example/ryecourse/internal/core/admission"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	// maxQueuePerCustomer bounds the queries of one customer that wait for a
	// service.
	maxQueuePerCustomer = 256
	// keylessCallersRate is the weight, in requests per second, of all callers without
	// a key together.
	keylessCallersRate = 1.0
	// minConcurrent is added to the least number of queries of a service that run
	// at a time on one daemon.
	minConcurrent = 2
	// queriesPerSlot is the number of queries of a service that run for each slot
	// of this VM's part.
	queriesPerSlot = 2
)

// serviceSchedulers shares each service's capacity among customers. It is safe for
// concurrent use.
type serviceSchedulers struct {
	state *control.State

	mu         sync.RWMutex
	schedulers map[string]*sizedScheduler
}

// sizedScheduler is replaced when the capacity that it was made for changes.
type sizedScheduler struct {
	config    admission.LimitConfig
	scheduler *admission.Scheduler
}

func newServiceSchedulers(state *control.State) *serviceSchedulers {
	return &serviceSchedulers{state: state, schedulers: make(map[string]*sizedScheduler)}
}

// Acquire implements caller.Sharer.
func (s *serviceSchedulers) Acquire(svc *catalog.Service, customer *catalog.Customer, deadline time.Time) (caller.ReleaseFunc, *verdict.Refusal) {
	sched := s.scheduler(svc)
	share := admission.Share{Rate: keylessCallersRate, Burst: 1}
	if customer != nil {
		share = admission.Share{Customer: customer.Name, Rate: customer.Rate, Burst: customer.Burst}
	}
	d := sched.Enqueue(time.Now(), share, deadline)
	permit, refusal := d.Permit, d.Refusal
	if d.Ticket != nil {
		permit, refusal = waitForPermit(sched, d.Ticket)
	}
	if refusal != nil {
		return nil, refusal
	}
	return func(r *verdict.Refusal) { sched.Release(time.Now(), permit, admission.OutcomeOf(r)) }, nil
}

// waitForPermit blocks until the ticket is granted or refused, or can't be met.
func waitForPermit(sched *admission.Scheduler, t *admission.Ticket) (admission.Permit, *verdict.Refusal) {
	timer := time.NewTimer(time.Until(t.StartBy()))
	defer timer.Stop()
	select {
	case <-t.Ready():
	case <-timer.C:
		sched.Cancel(time.Now(), t)
	}
	return t.Result()
}

func (s *serviceSchedulers) scheduler(svc *catalog.Service) *admission.Scheduler {
	config := s.limits(svc)
	s.mu.RLock()
	e := s.schedulers[svc.Name]
	s.mu.RUnlock()
	if e != nil && e.config == config {
		return e.scheduler
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e = s.schedulers[svc.Name]; e != nil && e.config == config {
		return e.scheduler
	}
	e = &sizedScheduler{
		config:    config,
		scheduler: admission.NewScheduler(admission.Config{Limit: config, MaxQueue: maxQueuePerCustomer}),
	}
	s.schedulers[svc.Name] = e
	return e.scheduler
}

// limits bounds the queries that run at a time. A query lasts as long as its
// slowest shard and uses a slot of each shard for a part of that, so that more
// queries than slots can run. What upstreams run is bounded by the router; the
// least limit keeps stragglers from starving a service that is not overloaded.
func (s *serviceSchedulers) limits(svc *catalog.Service) admission.LimitConfig {
	slots := minReplicas(svc) * svc.Slots * shardFactor(svc)
	ownSlots := max(slots/s.vmCount(), 1)
	minRunning := ownSlots*queriesPerSlot + minConcurrent
	return admission.LimitConfig{
		Initial: 2 * minRunning,
		Min:     minRunning,
		Max:     max(queriesPerSlot*slots, 2*minRunning),
	}
}

// vmCount returns the number of VMs that share the upstreams.
func (s *serviceSchedulers) vmCount() int {
	if v := s.state.View(); v != nil {
		return max(len(v.List.VMs), 1)
	}
	return 1
}

// minReplicas returns the least number of replicas of a shard.
func minReplicas(svc *catalog.Service) int {
	smallest := 0
	for i := range svc.Shards {
		if n := len(svc.Shards[i].Replicas); i == 0 || n < smallest {
			smallest = n
		}
	}
	return smallest
}

// shardFactor is the number of queries that each slot of a shard stands for: a
// service that asks one shard for each query runs as many as it has shards.
func shardFactor(svc *catalog.Service) int {
	if svc.SingleShard {
		return len(svc.Shards)
	}
	return 1
}
