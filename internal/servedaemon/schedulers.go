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
	// maxQueuePerCustomer is the maximum number of queries of one customer that
	// wait for a service.
	maxQueuePerCustomer = 256
	// keylessCallersRate is the combined weight, in requests per second, of all
	// callers without a key.
	keylessCallersRate = 1.0
	// minConcurrent is added to the minimum number of concurrent queries of a
	// service on one daemon.
	minConcurrent = 2
	// queriesPerSlot is the number of concurrent queries of a service per upstream
	// slot.
	queriesPerSlot = 2
)

// serviceSchedulers implements caller.Scheduler. It shares the capacity of each
// service among customers, with one scheduler per service. It is safe for concurrent
// use.
type serviceSchedulers struct {
	state *control.State

	mu         sync.RWMutex
	schedulers map[string]*sizedScheduler
}

// sizedScheduler is a scheduler with the limits it was created for. It is replaced
// when they change.
type sizedScheduler struct {
	config    admission.LimitConfig
	scheduler *admission.Scheduler
}

func newServiceSchedulers(state *control.State) *serviceSchedulers {
	return &serviceSchedulers{state: state, schedulers: make(map[string]*sizedScheduler)}
}

// Acquire implements caller.Scheduler.
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

// waitForPermit blocks until the ticket is granted or refused, or it is too late to
// start the query.
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

// limits returns the limits on concurrent queries of a service. A query lasts as
// long as its slowest shard and occupies a slot of each shard for only part of that
// time, so that more queries than slots can run. The router bounds the load on
// upstreams. The minimum keeps slow shards from starving a service that is not
// overloaded.
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

// minReplicas returns the number of replicas of the smallest shard.
func minReplicas(svc *catalog.Service) int {
	smallest := 0
	for i := range svc.Shards {
		if n := len(svc.Shards[i].Replicas); i == 0 || n < smallest {
			smallest = n
		}
	}
	return smallest
}

// shardFactor returns how many queries can run at a time on one slot in every
// shard: the number of shards if each query uses a single shard, otherwise 1.
func shardFactor(svc *catalog.Service) int {
	if svc.SingleShard {
		return len(svc.Shards)
	}
	return 1
}
