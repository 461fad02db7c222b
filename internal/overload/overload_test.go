package overload

import (
	"fmt"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
)

const (
	// minServedFraction is the fraction of its requests that each other customer must
	// get served while one customer sends five times its rate.
	minServedFraction = 0.95
	// The adaptive limit must use most of the capacity while upstreams shed and queue
	// little.
	minUtilization  = 0.8
	maxShedFraction = 0.1
	maxSlowdown     = 3.0

	serviceTime  = 20 * time.Millisecond
	smallestRate = 2
	fairRunTime  = 20 * time.Second
	limitRunTime = 10 * time.Second
)

var (
	seeds = []uint64{1, 2, 3}
	rates = []float64{240, 120, 80, 30, 15, 8, 5, smallestRate}
)

// policies are the schedulers with a fixed limit.
var policies = []struct {
	name  string
	meets bool // whether it meets minServedFraction
	build func(limit int) Scheduler
}{
	{"fair", true, fair},
	{"no-credit", false, func(limit int) Scheduler { return noBurstCredit{fair(limit)} }},
	{"drr", false, func(limit int) Scheduler { return &drr{limit: limit, queues: map[string]*drrQueue{}} }},
	{"fifo", false, func(limit int) Scheduler { return &fifo{limit: limit} }},
}

func fair(limit int) Scheduler { return newScheduler(limit, limit, limit) }

func newScheduler(initial, least, most int) Scheduler {
	config := admission.Config{MaxQueue: 256, Limit: admission.LimitConfig{Initial: initial, Min: least, Max: most}}
	return &Admission{Scheduler: admission.NewScheduler(config)}
}

// runOverloaded runs a model in which one customer sends five times its rate and the
// capacity is the sum of the rates. It returns the customers.
func runOverloaded(seed uint64, overLimit int, build func(limit int) Scheduler) []*Customer {
	const slots = 10 // 500 queries per second
	var customers []*Customer
	for i, rate := range rates {
		customers = append(customers, &Customer{Name: fmt.Sprintf("t%d", i), Rate: rate, Demand: rate})
	}
	customers[overLimit].Demand *= 5
	Run(seed, build(slots), &Upstream{Slots: slots, ServiceTime: serviceTime}, customers, fairRunTime)
	return customers
}

// worstServed returns the smallest served fraction among all customers but one.
func worstServed(customers []*Customer, except int) float64 {
	least := 1.0
	for i, c := range customers {
		if i != except {
			least = min(least, c.ServedFraction())
		}
	}
	return least
}

// TestOthersKeepTheirShare makes each customer in turn send more than its rate.
func TestOthersKeepTheirShare(t *testing.T) {
	for _, seed := range seeds {
		for overLimit := range rates {
			if got := worstServed(runOverloaded(seed, overLimit, fair), overLimit); got < minServedFraction {
				t.Errorf("seed %d, customer %d exceeds its rate: smallest served fraction of the others is %.3f, want %.2f", seed, overLimit, got, minServedFraction)
			}
		}
	}
}

// TestNaivePoliciesFail shows that the check above detects unfair policies.
func TestNaivePoliciesFail(t *testing.T) {
	for _, p := range policies {
		for _, seed := range seeds {
			if got := worstServed(runOverloaded(seed, 0, p.build), 0); (got >= minServedFraction) != p.meets {
				t.Errorf("%s, seed %d: smallest served fraction of the others is %.3f", p.name, seed, got)
			}
		}
	}
}

// runLimit runs a model in which one customer sends twice the upstream's capacity.
func runLimit(seed uint64, s Scheduler, slots, queue int) *Upstream {
	u := &Upstream{Slots: slots, QueueLimit: queue, ServiceTime: serviceTime}
	demand := 2 * float64(slots) / serviceTime.Seconds()
	Run(seed, s, u, []*Customer{{Name: "t", Rate: demand, Demand: demand}}, limitRunTime)
	return u
}

// TestLimitFollowsUpstreams checks the adaptive limit with upstreams that shed excess
// queries and upstreams that queue them.
func TestLimitFollowsUpstreams(t *testing.T) {
	for _, seed := range seeds {
		for _, slots := range []int{3, 10, 30} {
			for _, queue := range []int{0, 1000} {
				u := runLimit(seed, newScheduler(2, 1, 64), slots, queue)
				if u.Utilization(limitRunTime) < minUtilization || u.ShedFraction() > maxShedFraction || u.Slowdown() > maxSlowdown {
					t.Errorf("seed %d, %d slots, queue %d: utilization %.3f, shed fraction %.3f, slowdown %.2f", seed, slots, queue, u.Utilization(limitRunTime), u.ShedFraction(), u.Slowdown())
				}
			}
		}
	}
}

// TestFixedLimitFails shows that the check above detects a limit that doesn't adapt to
// the upstreams.
func TestFixedLimitFails(t *testing.T) {
	if u := runLimit(1, fair(64), 10, 0); u.ShedFraction() <= maxShedFraction {
		t.Errorf("shed fraction with a fixed limit is %.3f, want more than %v", u.ShedFraction(), maxShedFraction)
	}
	if u := runLimit(1, fair(64), 10, 1000); u.Slowdown() <= maxSlowdown {
		t.Errorf("slowdown with a fixed limit is %.2f, want more than %v", u.Slowdown(), maxSlowdown)
	}
}

func BenchmarkPolicy(b *testing.B) {
	for _, p := range policies {
		for _, seed := range seeds {
			b.Run(fmt.Sprintf("%s/seed=%d", p.name, seed), func(b *testing.B) {
				for b.Loop() {
					customers := runOverloaded(seed, 0, p.build)
					b.ReportMetric(worstServed(customers, 0), "worst-served")
					b.ReportMetric(customers[len(customers)-1].WaitQuantile(0.99).Seconds()*1000, "smallest-p99-ms")
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
					u := runLimit(seed, newScheduler(2, 1, 64), 10, queue)
					b.ReportMetric(u.Utilization(limitRunTime), "throughput")
					b.ReportMetric(u.ShedFraction(), "shed")
					b.ReportMetric(u.Slowdown(), "stretch")
				}
			})
		}
	}
}
