package admission

import (
	"fmt"
	"testing"
	"time"
)

// wantServed is the part of its in-rate requests that every other customer gets
// while one sends five times its rate.
const wantServed = 0.95

var seeds = []uint64{1, 2, 3}

func sampleRates() []float64 {
	return []float64{240, 120, 80, 30, 15, 8, 5, 2}
}

// overload lets the tenant greedy send five times its rate on upstreams whose
// capacity is the sum of the rates, and returns the tenants.
func overload(seed uint64, greedy int, build func(limit int) scheduler) []*tenant {
	const slots = 10
	rates := sampleRates()
	total := 0.0
	var tenants []*tenant
	for i, rate := range rates {
		total += rate
		t := &tenant{name: fmt.Sprintf("t%d", i), rate: rate, demand: rate}
		if i == greedy {
			t.demand = 5 * rate
		}
		tenants = append(tenants, t)
	}
	service := time.Duration(slots / total * float64(time.Second))
	sim := newSimulation(seed, build(slots), &backEnd{slots: slots, service: service})
	sim.run(tenants, 20*time.Second)
	return tenants
}

func fair(limit int) scheduler {
	return NewScheduler(Config{Limit: LimitConfig{Initial: limit, Min: limit, Max: limit}, MaxQueue: 256})
}

// worst returns the smallest served part among the tenants but one.
func worst(tenants []*tenant, except int) float64 {
	least := 1.0
	for i, t := range tenants {
		if i != except && t.sent > 0 {
			least = min(least, float64(t.served)/float64(t.sent))
		}
	}
	return least
}

func TestOthersKeepTheirShare(t *testing.T) {
	for _, seed := range seeds {
		for greedy := range sampleRates() {
			tenants := overload(seed, greedy, fair)
			if got := worst(tenants, greedy); got < wantServed {
				t.Errorf("seed %d: tenant %d is greedy: the worst-served other gets %.3f, want %.2f", seed, greedy, got, wantServed)
			}
		}
	}
}

// TestFirstComeFirstServedFails shows that the check above notices a queue
// without fair sharing.
func TestFirstComeFirstServedFails(t *testing.T) {
	for _, seed := range seeds {
		tenants := overload(seed, 0, func(limit int) scheduler { return newFIFO(limit) })
		if got := worst(tenants, 0); got >= wantServed {
			t.Errorf("seed %d: first come, first served gives the worst-served %.3f, want less than %.2f", seed, got, wantServed)
		}
	}
}

// noCredit takes the credit away.
type noCredit struct{ *Scheduler }

func (n noCredit) Enqueue(now time.Time, share Share, deadline time.Time) Decision {
	share.Burst = 0
	return n.Scheduler.Enqueue(now, share, deadline)
}

// TestNoCreditFails shows that small customers need the credit.
func TestNoCreditFails(t *testing.T) {
	for _, seed := range seeds {
		tenants := overload(seed, 0, func(limit int) scheduler { return noCredit{fair(limit).(*Scheduler)} })
		if got := worst(tenants, 0); got >= wantServed {
			t.Errorf("seed %d: without credit the worst-served gets %.3f, want less than %.2f", seed, got, wantServed)
		}
	}
}

func BenchmarkOverload(b *testing.B) {
	policies := []struct {
		name  string
		build func(int) scheduler
	}{
		{"fair", fair},
		{"no-credit", func(limit int) scheduler { return noCredit{fair(limit).(*Scheduler)} }},
		{"fifo", func(limit int) scheduler { return newFIFO(limit) }},
		{"drr", func(limit int) scheduler { return newDRR(limit) }},
	}
	for _, p := range policies {
		for _, seed := range seeds {
			b.Run(fmt.Sprintf("%s/seed=%d", p.name, seed), func(b *testing.B) {
				for b.Loop() {
					tenants := overload(seed, 0, p.build)
					b.ReportMetric(worst(tenants, 0), "worst-served")
					b.ReportMetric(quantile(tenants[len(tenants)-1].waits, 0.99).Seconds()*1000, "small-p99-ms")
					b.ReportMetric(quantile(tenants[1].waits, 0.99).Seconds()*1000, "large-p99-ms")
				}
			})
		}
	}
}
