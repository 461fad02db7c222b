package servicemodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/simclock"
)

// Kind is a kind of requests.
type Kind struct {
	Name     string
	Services []string // one for each shard
	// MinShare is the least fraction of shards in a success.
	MinShare float64
	// Work is the mean work of one shard; single works vary by Spread, the standard
	// deviation of their logarithm.
	Work   time.Duration
	Spread float64
	// Objective is the time in which the answer is in time, Timeout when it is given up.
	Objective, Timeout time.Duration
	Attempts, Priority int
}

// Result is the outcome of one request.
type Result struct {
	Kind      *Kind
	ArrivedAt time.Time
	Took      time.Duration
	// Refused is set if the VM ran nothing; RetryAfter is what it answered.
	Refused    bool
	RetryAfter time.Duration
	// Share is the fraction of shards in the answer; 0 if the request failed.
	Share    float64
	Attempts int
}

// InTime reports whether the request was served within its objective.
func (r *Result) InTime() bool { return r.Share > 0 && r.Took <= r.Kind.Objective }

// Decision is what a VM decides before the first attempt of a request.
type Decision struct {
	Refuse     bool
	RetryAfter time.Duration
}

// VM runs requests with the gateway's fan-out and placement.
type VM struct {
	Picker *placement.Picker
	Budget *retrybudget.Budget
	// Admit decides on a request before its first attempt; nil runs each.
	Admit func(now time.Time, k *Kind) Decision
	// AdmitExtra decides on an extra attempt; nil admits each that the budget allows.
	AdmitExtra func(now time.Time, k *Kind, service string, kind fanout.Kind) bool
	// LeaveOut returns the shards that a request does without; nil leaves out none.
	LeaveOut func(k *Kind) []int
	// Ended is called with each result; it may be nil.
	Ended func(now time.Time, r Result)
	// Observe is called at the end of each attempt; it may be nil.
	Observe func(now time.Time, service string, o Outcome, took time.Duration, l placement.Load)
	// Detour is the one-way time to an upstream beyond that to the nearest ones; nil means
	// that all are near.
	Detour func(u *Upstream) time.Duration

	clock     *simclock.Clock
	rng       *rand.Rand
	network   time.Duration // one way, to upstreams
	upstreams map[string]*Upstream
	latencies map[string]*fanout.Latency
}

// NewVM returns a VM of a fleet. upstreams are by instance ID.
func NewVM(clock *simclock.Clock, rng *rand.Rand, p *placement.Picker, b *retrybudget.Budget, upstreams map[string]*Upstream, network time.Duration) *VM {
	return &VM{Picker: p, Budget: b, clock: clock, rng: rng, network: network, upstreams: upstreams, latencies: map[string]*fanout.Latency{}}
}

// modelRequest is a request while a VM runs it.
type modelRequest struct {
	vm      *VM
	kind    *Kind
	query   *fanout.Query
	latency *fanout.Latency
	typical time.Duration
	result  Result
	tried   [][]*placement.Instance
	started [][]*placement.Attempt
	pending map[*placement.Attempt]func() // cancels attempts in flight
	leftOut []int
	ended   bool
	done    func(Result)
}

// maxHedgeFraction and softMargin are those of the gateway.
const (
	maxHedgeFraction = 0.35
	softMargin       = 12 * time.Millisecond
)

// Run runs a request that arrives now and calls done with its result.
func (vm *VM) Run(k *Kind, done func(Result)) {
	now := vm.clock.Now()
	r := &modelRequest{vm: vm, kind: k, done: done, pending: map[*placement.Attempt]func(){}, result: Result{Kind: k, ArrivedAt: now}}
	if vm.Admit != nil {
		if d := vm.Admit(now, k); d.Refuse {
			r.result.Refused, r.result.RetryAfter = true, d.RetryAfter
			r.end()
			return
		}
	}
	if vm.latencies[k.Name] == nil {
		vm.latencies[k.Name] = &fanout.Latency{}
	}
	r.latency = vm.latencies[k.Name]
	r.typical = r.latency.Median()
	r.tried = make([][]*placement.Instance, len(k.Services))
	r.started = make([][]*placement.Attempt, len(k.Services))
	for _, s := range k.Services {
		vm.Budget.AddForRequest(s)
	}
	r.query = fanout.New(fanout.Policy{
		Shards: len(k.Services), MinShare: k.MinShare, MaxRuns: k.Attempts, Idempotent: true,
		HedgeDelay:           r.latency.HedgeDelay(time.Duration(float64(k.Objective) * maxHedgeFraction)),
		SoftDeadline:         now.Add(max(k.Objective-softMargin, k.Objective/2)),
		UpstreamWaitDeadline: now.Add(min(k.Objective, k.Timeout) / 4),
		Deadline:             now.Add(k.Timeout),
	}, r)
	if vm.LeaveOut != nil {
		r.leftOut = vm.LeaveOut(k)
	}
	r.query.Start(now)
	r.check()
}

// Send implements fanout.Sender.
func (r *modelRequest) Send(shard int, kind fanout.Kind) fanout.SendResult {
	vm, now, service := r.vm, r.vm.clock.Now(), r.kind.Services[shard]
	if slices.Contains(r.leftOut, shard) {
		return fanout.NoBudget
	}
	if kind != fanout.First && vm.AdmitExtra != nil && !vm.AdmitExtra(now, r.kind, service, kind) {
		return fanout.NoBudget
	}
	for _, a := range r.started[shard] {
		vm.Picker.MarkSlow(a, now)
	}
	a, shortage := vm.Picker.Pick(now, placement.Request{
		Service: service, TypicalLatency: r.typical, Tried: r.tried[shard], RetryTried: kind == fanout.Retry,
		ExtraAttemptScarcity: vm.Budget.Scarcity(service),
	})
	switch {
	case a == nil && shortage.AtLimit:
		return fanout.AtLimit
	case a == nil:
		return fanout.NoUpstream
	case kind == fanout.Hedge && !vm.Budget.TakeHedge(service), kind != fanout.First && kind != fanout.Hedge && !vm.Budget.Take(service):
		vm.Picker.Done(a, now, placement.Canceled, nil)
		return fanout.NoBudget
	}
	r.tried[shard] = append(r.tried[shard], a.Instance)
	r.started[shard] = append(r.started[shard], a)
	r.result.Attempts++
	r.attempt(shard, kind, a)
	return fanout.Started
}

func (r *modelRequest) attempt(shard int, kind fanout.Kind, a *placement.Attempt) {
	vm := r.vm
	work := time.Duration(float64(r.kind.Work) * math.Exp(r.kind.Spread*vm.rng.NormFloat64()))
	sentAt := vm.clock.Now()
	vm.Picker.MarkSent(a, sentAt)
	r.pending[a] = func() {}
	u, oneWay := vm.upstreams[a.Upstream.ID], vm.network
	if vm.Detour != nil {
		oneWay += vm.Detour(u)
	}
	vm.clock.After(oneWay, func() {
		if _, ok := r.pending[a]; !ok {
			return
		}
		r.pending[a] = u.Send(work, func(o Outcome, l placement.Load) {
			vm.clock.After(oneWay, func() { r.onResult(shard, kind, a, sentAt, o, l) })
		})
	})
}

func (r *modelRequest) onResult(shard int, kind fanout.Kind, a *placement.Attempt, sentAt time.Time, o Outcome, l placement.Load) {
	vm, now := r.vm, r.vm.clock.Now()
	if _, ok := r.pending[a]; !ok {
		return
	}
	delete(r.pending, a)
	outcome, v, load := placement.Answered, verdict.Ran, &l
	switch o {
	case Rejected:
		outcome, v = placement.Rejected, verdict.NotRun
	case Lost:
		outcome, v, load = placement.Failed, verdict.MayHaveRun, nil
	}
	if r.ended {
		outcome = placement.Canceled
	}
	vm.Picker.Done(a, now, outcome, load)
	if vm.Observe != nil {
		vm.Observe(now, r.kind.Services[shard], o, now.Sub(sentAt), l)
	}
	if o == Answered && kind == fanout.First && !r.ended {
		r.latency.Observe(now.Sub(sentAt))
	}
	r.query.OnResult(now, shard, o == Answered, v)
	r.check()
}

// linger is how long attempts go on after their request has ended.
const linger = 250 * time.Millisecond

func (r *modelRequest) check() {
	if r.ended {
		return
	}
	now := r.vm.clock.Now()
	if r.query.Outcome() == fanout.Running {
		r.vm.clock.After(r.query.NextTimer(now).Sub(now), func() {
			if !r.ended {
				r.query.OnTimer(r.vm.clock.Now())
				r.check()
			}
		})
		return
	}
	if r.query.Outcome() == fanout.Success {
		r.result.Share = float64(r.query.Answered()) / float64(len(r.kind.Services))
	}
	r.end()
	r.vm.clock.After(linger, r.cancelPending)
}

// cancelPending cancels the attempts in flight.
func (r *modelRequest) cancelPending() {
	for shard := range r.started {
		for _, a := range r.started[shard] {
			if cancel, ok := r.pending[a]; ok {
				delete(r.pending, a)
				cancel()
				r.vm.Picker.Done(a, r.vm.clock.Now(), placement.Canceled, nil)
			}
		}
	}
}

func (r *modelRequest) end() {
	r.ended = true
	now := r.vm.clock.Now()
	r.result.Took = now.Sub(r.result.ArrivedAt)
	if r.vm.Ended != nil {
		r.vm.Ended(now, r.result)
	}
	r.done(r.result)
}
