package admission

import (
	"fmt"
	"testing"
	"time"
)

// Bounds of the adaptive limit: it uses most of the capacity, and upstreams
// refuse or delay little.
const (
	limitTime = 10 * time.Second

	wantThroughput = 0.8
	wantShed       = 0.1
	wantDuration   = 3.0 // times the unloaded duration
)

// limitRun is twice the demand that the back end bears, for limitTime.
func limitRun(seed uint64, c LimitConfig, b *backEnd) *tenant {
	t := &tenant{name: "t", rate: 1000, demand: 2 * float64(b.slots) / b.service.Seconds()}
	t.rate = t.demand
	sim := newSimulation(seed, NewScheduler(Config{Limit: c, MaxQueue: 256}), b)
	sim.run([]*tenant{t}, limitTime)
	return t
}

func throughput(b *backEnd) float64 {
	return float64(b.done) * b.service.Seconds() / float64(b.slots) / limitTime.Seconds()
}

func adaptive() LimitConfig { return LimitConfig{Initial: 2, Min: 1, Max: 64} }

func fixed() LimitConfig { return LimitConfig{Initial: 64, Min: 64, Max: 64} }

func TestLimitFollowsSheds(t *testing.T) {
	for _, seed := range seeds {
		for _, slots := range []int{3, 10, 30} {
			b := &backEnd{slots: slots, service: 20 * time.Millisecond}
			limitRun(seed, adaptive(), b)
			shed := float64(b.shed) / float64(b.shed+b.done)
			if got := throughput(b); got < wantThroughput || shed > wantShed {
				t.Errorf("seed %d, %d slots: throughput %.3f, shed %.3f; want at least %v and at most %v", seed, slots, got, shed, wantThroughput, wantShed)
			}
		}
	}
}

func TestLimitFollowsDurations(t *testing.T) {
	for _, seed := range seeds {
		for _, slots := range []int{3, 10, 30} {
			b := &backEnd{slots: slots, queue: 1000, service: 20 * time.Millisecond}
			delay := meanBackEndDelay(seed, adaptive(), b)
			if got := throughput(b); got < wantThroughput || delay > wantDuration {
				t.Errorf("seed %d, %d slots: throughput %.3f, duration %.2f of the unloaded one; want at least %v and at most %v", seed, slots, got, delay, wantThroughput, wantDuration)
			}
		}
	}
}

// TestFixedLimitFails shows that the checks above notice a limit that doesn't
// follow the upstreams.
func TestFixedLimitFails(t *testing.T) {
	b := &backEnd{slots: 10, service: 20 * time.Millisecond}
	limitRun(1, fixed(), b)
	if shed := float64(b.shed) / float64(b.shed+b.done); shed <= wantShed {
		t.Errorf("a fixed limit sheds %.3f, want more than %v", shed, wantShed)
	}
	queueing := &backEnd{slots: 10, queue: 1000, service: 20 * time.Millisecond}
	if delay := meanBackEndDelay(1, fixed(), queueing); delay <= wantDuration {
		t.Errorf("a fixed limit gives durations of %.2f, want more than %v", delay, wantDuration)
	}
}

// meanBackEndDelay returns the mean duration in the back end over the unloaded
// one.
func meanBackEndDelay(seed uint64, c LimitConfig, b *backEnd) float64 {
	limitRun(seed, c, b)
	return b.busy.Seconds() / float64(b.done) / b.service.Seconds()
}

func BenchmarkLimit(b *testing.B) {
	for _, queue := range []int{0, 1000} {
		for _, seed := range seeds {
			b.Run(fmt.Sprintf("queue=%d/seed=%d", queue, seed), func(b *testing.B) {
				for b.Loop() {
					e := &backEnd{slots: 10, queue: queue, service: 20 * time.Millisecond}
					delay := meanBackEndDelay(seed, adaptive(), e)
					b.ReportMetric(throughput(e), "throughput")
					b.ReportMetric(float64(e.shed)/float64(e.shed+e.done), "shed")
					b.ReportMetric(delay, "duration-ratio")
				}
			})
		}
	}
}
