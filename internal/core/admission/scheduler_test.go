package admission

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/proptest"
)

var epoch = time.Unix(1_700_000_000, 0)

// model drives a Scheduler and checks its invariants: each query is decided
// once, no more run than the limit allows, none waits while the limit isn't
// reached, and none starts after its StartBy.
type model struct {
	t       *rapid.T
	s       *Scheduler
	now     time.Time
	limit   int
	running []Permit
	waiting map[*Ticket]time.Time // key: ticket; value: its StartBy
}

func TestSchedulerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkScheduler(t, func(*Scheduler) {}) })
}

// checkScheduler runs the model and calls damage before each check.
func checkScheduler(t *rapid.T, damage func(*Scheduler)) {
	limit := rapid.IntRange(1, 4).Draw(t, "limit")
	m := &model{t: t, now: epoch, limit: limit, waiting: map[*Ticket]time.Time{}}
	m.s = NewScheduler(Config{Limit: LimitConfig{Initial: limit, Min: limit, Max: limit}, MaxQueue: 8})
	t.Repeat(map[string]func(*rapid.T){
		"enqueue":  func(*rapid.T) { m.enqueue() },
		"release":  func(*rapid.T) { m.release() },
		"withdraw": func(*rapid.T) { m.withdraw() },
		"expire":   func(*rapid.T) { m.s.Expire(m.now) },
		"advance":  func(*rapid.T) { m.advance() },
		"":         func(*rapid.T) { damage(m.s); m.check() },
	})
	m.stop()
}

// TestModelRejectsDamage breaks one mechanism at a time and requires that the
// model detects it.
func TestModelRejectsDamage(t *testing.T) {
	cases := []struct {
		name, want string
		damage     func(*Scheduler)
	}{
		{"ignores the limit", "running", func(s *Scheduler) { s.limiter.limit = 100 }},
		{"leaves a slot unused", "admitted false", func(s *Scheduler) { s.limiter.limit = 0 }},
		{"loses running queries", "running and", func(s *Scheduler) { s.running = 0 }},
		{"extends start times", "granted at", func(s *Scheduler) { s.eachTicket(func(t *Ticket) { t.startBy = t.startBy.Add(time.Hour) }) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := proptest.FirstFailure(func(t *rapid.T) { checkScheduler(t, c.damage) })
			if !strings.Contains(got, c.want) {
				t.Errorf("the model reports %q, want a failure that contains %q", got, c.want)
			}
		})
	}
}

func (s *Scheduler) eachTicket(do func(*Ticket)) {
	for _, c := range s.byStartTag {
		for _, t := range c.tickets {
			do(t)
		}
	}
}

func (m *model) enqueue() {
	i := rapid.IntRange(1, 4).Draw(m.t, "customer")
	share := Share{Customer: fmt.Sprintf("c%d", i), Rate: float64(i * i), Burst: 2}
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(m.t, "deadline")) * time.Millisecond)
	free := len(m.running) < m.limit && len(m.waiting) == 0
	d := m.s.Enqueue(m.now, share, deadline)
	if free != d.Admitted {
		m.t.Fatalf("admitted %v with %d of %d running and %d waiting", d.Admitted, len(m.running), m.limit, len(m.waiting))
	}
	switch {
	case d.Admitted:
		m.running = append(m.running, d.Permit)
	case d.Ticket != nil:
		m.waiting[d.Ticket] = d.Ticket.StartBy()
	case d.Refusal == nil || d.Refusal.Verdict != verdict.NotRun || d.Refusal.RetryAfter <= 0:
		m.t.Fatalf("unexpected refusal %+v", d.Refusal)
	}
}

func (m *model) release() {
	if len(m.running) == 0 {
		return
	}
	p := m.running[0]
	m.running = m.running[1:]
	m.s.Release(m.now, p, rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeOverloaded, OutcomeDeadlineExceeded, OutcomeCanceled}).Draw(m.t, "outcome"))
}

func (m *model) withdraw() {
	for t, startBy := range m.waiting {
		if !startBy.After(m.now) {
			m.s.Cancel(m.now, t)
		}
	}
}

func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(m.t, "ms")) * time.Millisecond)
}

func (m *model) check() {
	for t, startBy := range m.waiting {
		select {
		case <-t.Ready():
		default:
			continue
		}
		delete(m.waiting, t)
		permit, refusal := t.Result()
		if refusal != nil {
			continue
		}
		if !permit.Start.Before(startBy) {
			m.t.Fatalf("granted at %v, after %v", permit.Start, startBy)
		}
		m.running = append(m.running, permit)
	}
	stats := m.s.Stats()
	if stats.Running != len(m.running) || stats.Waiting != len(m.waiting) {
		m.t.Fatalf("%d running and %d waiting, want %d and %d", stats.Running, stats.Waiting, len(m.running), len(m.waiting))
	}
	if len(m.running) > m.limit {
		m.t.Fatalf("%d running, limit %d", len(m.running), m.limit)
	}
	if len(m.waiting) > 0 && len(m.running) < m.limit {
		m.t.Fatalf("%d wait while %d of %d run", len(m.waiting), len(m.running), m.limit)
	}
}

func (m *model) stop() {
	m.s.RefuseAll(verdict.Refuse(verdict.CodeNotReady, time.Second, "stop"))
	m.check()
	if len(m.waiting) != 0 {
		m.t.Fatalf("%d queries wait after RefuseAll", len(m.waiting))
	}
}

// TestBackloggedCustomersShareByRate keeps customers of different rates
// backlogged and checks that each gets its share of the grants to within one
// query.
func TestBackloggedCustomersShareByRate(t *testing.T) {
	s := NewScheduler(Config{Limit: LimitConfig{Initial: 1, Min: 1, Max: 1}, MaxQueue: 1000})
	rates := map[string]float64{"a": 1, "b": 2, "c": 4, "d": 13}
	deadline := epoch.Add(time.Hour)
	first := s.Enqueue(epoch, Share{Customer: "z", Rate: 1}, deadline)
	queues := map[string][]*Ticket{}
	for name, rate := range rates {
		for range 400 {
			d := s.Enqueue(epoch, Share{Customer: name, Rate: rate}, deadline)
			queues[name] = append(queues[name], d.Ticket)
		}
	}
	permit := first.Permit
	got := map[string]int{}
	for range 400 {
		s.Release(epoch, permit, OutcomeCanceled)
		name := granted(queues)
		permit, _ = queues[name][0].Result()
		queues[name] = queues[name][1:]
		got[name]++
	}
	for name, rate := range rates {
		want := 400 * rate / 20
		if diff := float64(got[name]) - want; diff < -1 || diff > 1 {
			t.Errorf("%s got %d grants, want %v", name, got[name], want)
		}
	}
}

func granted(queues map[string][]*Ticket) string {
	for name, queue := range queues {
		select {
		case <-queue[0].Ready():
			return name
		default:
		}
	}
	return ""
}

// TestRetryAfterFollowsTheQueue checks that RetryAfter grows with the queue.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	s := NewScheduler(Config{Limit: LimitConfig{Initial: 1, Min: 1, Max: 1}, MaxQueue: 1000})
	d := s.Enqueue(epoch, Share{Customer: "a", Rate: 1}, epoch.Add(time.Minute))
	now := epoch.Add(time.Second) // a query takes one second
	s.Release(now, d.Permit, OutcomeDone)
	s.Enqueue(now, Share{Customer: "a", Rate: 1}, now.Add(time.Minute))
	var last time.Duration
	for range 3 {
		refused := s.Enqueue(now, Share{Customer: "a", Rate: 1}, now.Add(time.Second))
		if refused.Refusal == nil {
			t.Fatalf("a query that can't end in time was queued")
		}
		if refused.Refusal.RetryAfter <= last {
			t.Fatalf("retry after %v with a longer queue, was %v", refused.Refusal.RetryAfter, last)
		}
		last = refused.Refusal.RetryAfter
		s.Enqueue(now, Share{Customer: "a", Rate: 1}, now.Add(time.Minute))
	}
}

// TestSchedulerForgetsIdleCustomers checks that idle customers don't accumulate
// in memory.
func TestSchedulerForgetsIdleCustomers(t *testing.T) {
	s := NewScheduler(Config{Limit: LimitConfig{Initial: 1, Min: 1, Max: 1}, MaxQueue: 4})
	now := epoch
	for i := range 20 * purgeEvery {
		share := Share{Customer: fmt.Sprintf("c%d", i), Rate: 1000}
		now = now.Add(time.Millisecond)
		d := s.Enqueue(now, share, now.Add(time.Second))
		s.Release(now, d.Permit, OutcomeDone)
	}
	if n := s.Stats().Customers; n > 2*purgeEvery {
		t.Errorf("%d customers in memory, want at most %d", n, 2*purgeEvery)
	}
}

// TestSchedulerConcurrently exercises the Scheduler concurrently for the race
// detector.
func TestSchedulerConcurrently(t *testing.T) {
	s := NewScheduler(Config{Limit: LimitConfig{Initial: 2, Min: 1, Max: 4}, MaxQueue: 64})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for range 200 {
				d := s.Enqueue(epoch, Share{Customer: fmt.Sprint(g % 3), Rate: 1}, epoch.Add(time.Hour))
				permit := d.Permit
				if d.Ticket != nil {
					<-d.Ticket.Ready()
					permit, _ = d.Ticket.Result()
				}
				s.Release(epoch, permit, OutcomeDone)
			}
		})
	}
	wg.Wait()
	if stats := s.Stats(); stats.Running != 0 || stats.Waiting != 0 {
		t.Errorf("%+v at the end, want none running or waiting", stats)
	}
}

func BenchmarkAdmit(b *testing.B) {
	s := NewScheduler(Config{Limit: LimitConfig{Initial: 100, Min: 1, Max: 100}, MaxQueue: 64})
	share := Share{Customer: "a", Rate: 100, Burst: 10}
	b.ReportAllocs()
	for b.Loop() {
		d := s.Enqueue(epoch, share, epoch.Add(time.Second))
		s.Release(epoch, d.Permit, OutcomeDone)
	}
}

// BenchmarkShortage runs one query after another while each of 5,000 customers
// has a waiting query.
func BenchmarkShortage(b *testing.B) {
	const customers = 5000
	s := NewScheduler(Config{Limit: LimitConfig{Initial: 1, Min: 1, Max: 1}, MaxQueue: 64})
	shares := make([]Share, customers)
	permit := s.Enqueue(epoch, Share{Customer: "first", Rate: 1}, epoch.Add(time.Hour)).Permit
	for i := range shares {
		shares[i] = Share{Customer: fmt.Sprintf("customer-%d", i), Rate: float64(1 + i%100)}
		s.Enqueue(epoch, shares[i], epoch.Add(time.Hour))
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		s.Enqueue(epoch, shares[i%customers], epoch.Add(time.Hour))
		s.Release(epoch, permit, OutcomeCanceled)
		i++
	}
}
