package overload

import (
	"fmt"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
)

const (
	// wantServed is the part of its in-rate requests that every other customer
	// gets while one sends five times its rate.
	wantServed = 0.95
	// The adaptive limit uses most of the capacity, and upstreams refuse or delay
	// little.
	wantThroughput = 0.8
	wantShed       = 0.1
	wantStretch    = 3.0

	service      = 20 * time.Millisecond
	smallestRate = 2
	fairTime     = 20 * time.Second
	limitTime    = 10 * time.Second
)

var (
	seeds = []uint64{1, 2, 3}
	rates = []float64{240, 120, 80, 30, 15, 8, 5, smallestRate}
)

// policies are the schedulers with a fixed limit.
var policies = []struct {
	name  string
	meets bool // the target
	build func(limit int) Scheduler
}{
	{"fair", true, fair},
	{"no-credit", false, func(limit int) Scheduler { return noCredit{fair(limit)} }},
	{"drr", false, func(limit int) Scheduler { return &drr{limit: limit, queues: map[string]*drrQueue{}} }},
	{"fifo", false, func(limit int) Scheduler { return &fifo{limit: limit} }},
}

func fair(limit int) Scheduler { return schedulerOf(limit, limit, limit) }

func schedulerOf(initial, least, most int) Scheduler {
	config := admission.Config{MaxQueue: 256, Limit: admission.LimitConfig{Initial: initial, Min: least, Max: most}}
	return &Admission{Scheduler: admission.NewScheduler(config)}
}

// overloaded lets one tenant send five times its rate on upstreams whose capacity
// is the sum of the rates, and returns the tenants.
func overloaded(seed uint64, greedy int, build func(limit int) Scheduler) []*Customer {
	const slots = 10 // 500 a second
	var tenants []*Customer
	for i, rate := range rates {
		tenants = append(tenants, &Customer{Name: fmt.Sprintf("t%d", i), Rate: rate, Demand: rate})
	}
	tenants[greedy].Demand *= 5
	Run(seed, build(slots), &Upstream{Slots: slots, ServiceTime: service}, tenants, fairTime)
	return tenants
}

// worst returns the smallest served part among the tenants but one.
func worst(tenants []*Customer, except int) float64 {
	least := 1.0
	for i, t := range tenants {
		if i != except {
			least = min(least, t.ServedFraction())
		}
	}
	return least
}

// TestOthersKeepTheirShare makes each customer greedy in turn.
func TestOthersKeepTheirShare(t *testing.T) {
	for _, seed := range seeds {
		for greedy := range rates {
			if got := worst(overloaded(seed, greedy, fair), greedy); got < wantServed {
				t.Errorf("seed %d, tenant %d is greedy: the worst-served other gets %.3f, want %.2f", seed, greedy, got, wantServed)
			}
		}
	}
}

// TestNaivePoliciesFail shows that the check above notices a policy that doesn't
// share well.
func TestNaivePoliciesFail(t *testing.T) {
	for _, p := range policies {
		for _, seed := range seeds {
			if got := worst(overloaded(seed, 0, p.build), 0); (got >= wantServed) != p.meets {
				t.Errorf("%s, seed %d: the worst-served other gets %.3f", p.name, seed, got)
			}
		}
	}
}

// limitRun sends twice what the back end bears.
func limitRun(seed uint64, s Scheduler, slots, queue int) *Upstream {
	b := &Upstream{Slots: slots, QueueLimit: queue, ServiceTime: service}
	demand := 2 * float64(slots) / service.Seconds()
	Run(seed, s, b, []*Customer{{Name: "t", Rate: demand, Demand: demand}}, limitTime)
	return b
}

// TestLimitFollowsUpstreams has back ends that shed and back ends that queue.
func TestLimitFollowsUpstreams(t *testing.T) {
	for _, seed := range seeds {
		for _, slots := range []int{3, 10, 30} {
			for _, queue := range []int{0, 1000} {
				b := limitRun(seed, schedulerOf(2, 1, 64), slots, queue)
				if b.Utilization(limitTime) < wantThroughput || b.ShedFraction() > wantShed || b.Slowdown() > wantStretch {
					t.Errorf("seed %d, %d slots, queue %d: throughput %.3f, shed %.3f, stretch %.2f", seed, slots, queue, b.Utilization(limitTime), b.ShedFraction(), b.Slowdown())
				}
			}
		}
	}
}

// TestFixedLimitFails shows that the check above notices a limit that doesn't
// follow the upstreams.
func TestFixedLimitFails(t *testing.T) {
	if b := limitRun(1, fair(64), 10, 0); b.ShedFraction() <= wantShed {
		t.Errorf("a fixed limit sheds %.3f, want more than %v", b.ShedFraction(), wantShed)
	}
	if b := limitRun(1, fair(64), 10, 1000); b.Slowdown() <= wantStretch {
		t.Errorf("a fixed limit stretches by %.2f, want more than %v", b.Slowdown(), wantStretch)
	}
}

func BenchmarkPolicy(b *testing.B) {
	for _, p := range policies {
		for _, seed := range seeds {
			b.Run(fmt.Sprintf("%s/seed=%d", p.name, seed), func(b *testing.B) {
				for b.Loop() {
					tenants := overloaded(seed, 0, p.build)
					b.ReportMetric(worst(tenants, 0), "worst-served")
					b.ReportMetric(tenants[len(tenants)-1].WaitQuantile(0.99).Seconds()*1000, "smallest-p99-ms")
				}
			})
		}
	}
}

func BenchmarkLimit(b *testing.B) {
	for _, queue := range []int{0, 1000} {
		for _, seed := range seeds {
			b.Run(fmt.Sprintf("queue=%d/seed=%d", queue, seed), func(b *testing.B) {
				for b.Loop() {
					e := limitRun(seed, schedulerOf(2, 1, 64), 10, queue)
					b.ReportMetric(e.Utilization(limitTime), "throughput")
					b.ReportMetric(e.ShedFraction(), "shed")
					b.ReportMetric(e.Slowdown(), "stretch")
				}
			})
		}
	}
}
