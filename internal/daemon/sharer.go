package daemon

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
	// openRouteRate is the weight, in requests per second, of all callers without
	// a key together.
	openRouteRate = 1.0
	// minConcurrent is the least number of queries of a service that run at a
	// time on one daemon.
	minConcurrent = 2
)

// sharer shares each service's capacity among customers. It is safe for
// concurrent use.
type sharer struct {
	state *control.State

	mu         sync.RWMutex
	schedulers map[string]*sizedScheduler
}

// sizedScheduler is replaced when the capacity that it was made for changes.
type sizedScheduler struct {
	config    admission.LimitConfig
	scheduler *admission.Scheduler
}

func newSharer(state *control.State) *sharer {
	return &sharer{state: state, schedulers: make(map[string]*sizedScheduler)}
}

// Enter implements caller.Sharer.
func (s *sharer) Enter(svc *catalog.Service, customer *catalog.Customer, deadline time.Time) (caller.Leave, *verdict.Refusal) {
	sched := s.scheduler(svc)
	share := admission.Share{Rate: openRouteRate, Burst: 1}
	if customer != nil {
		share = admission.Share{Customer: customer.Name, Rate: customer.Rate, Burst: customer.Burst}
	}
	d := sched.Enqueue(time.Now(), share, deadline)
	permit, refusal := d.Permit, d.Refusal
	if d.Ticket != nil {
		permit, refusal = wait(sched, d.Ticket)
	}
	if refusal != nil {
		return nil, refusal
	}
	return func(r *verdict.Refusal) { sched.Release(time.Now(), permit, admission.OutcomeOf(r)) }, nil
}

// wait blocks until the ticket is granted or refused, or can't be met.
func wait(sched *admission.Scheduler, t *admission.Ticket) (admission.Permit, *verdict.Refusal) {
	timer := time.NewTimer(time.Until(t.StartBy()))
	defer timer.Stop()
	select {
	case <-t.Ready():
	case <-timer.C:
		sched.Withdraw(time.Now(), t)
	}
	return t.Result()
}

func (s *sharer) scheduler(svc *catalog.Service) *admission.Scheduler {
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

// limits bounds the queries that run at a time: at first this VM's even part of
// the slots of the smallest shard, at most all of them.
func (s *sharer) limits(svc *catalog.Service) admission.LimitConfig {
	vms := 1
	if v := s.state.View(); v != nil {
		vms = max(len(v.List.VMs), 1)
	}
	smallest := 0
	for i := range svc.Shards {
		if n := len(svc.Shards[i].Replicas); i == 0 || n < smallest {
			smallest = n
		}
	}
	slots := smallest * svc.Slots * shardFactor(svc)
	return admission.LimitConfig{
		Initial: max(slots/vms, minConcurrent),
		Min:     minConcurrent,
		Max:     max(slots, minConcurrent),
	}
}

// shardFactor is the number of queries that each slot of a shard stands for: a
// service that asks one shard for each query runs as many as it has shards.
func shardFactor(svc *catalog.Service) int {
	if svc.SingleShard {
		return len(svc.Shards)
	}
	return 1
}
