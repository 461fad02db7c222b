package overload

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
	"ryecourse.example/ryecourse/internal/simclock"
)

// Deadline is the time that each query has.
const Deadline = 500 * time.Millisecond

// minBurst is the smallest burst of a tenant, in requests.
const minBurst = 4

// Customer is a customer with Poisson arrivals.
type Customer struct {
	Name string
	// Rate is the limit and weight, and Demand what the tenant sends, in
	// requests per second. A tenant whose demand isn't larger than its rate
	// sends only what is within its rate and burst.
	Rate, Demand float64
	// Sent and Served count queries.
	Sent, Served int
	// Waits are the times from arrival to grant of the served queries.
	Waits []time.Duration

	tokens float64
	filled time.Time
}

// ServedFraction returns the served part of what was sent.
func (t *Customer) ServedFraction() float64 {
	if t.Sent == 0 {
		return 1
	}
	return float64(t.Served) / float64(t.Sent)
}

// WaitQuantile returns a quantile of the waits.
func (t *Customer) WaitQuantile(q float64) time.Duration {
	if len(t.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Waits))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (t *Customer) burst() float64 { return max(t.Rate, minBurst) }

// inRate tells whether a request is within the tenant's rate and burst. A tenant
// that sends more than its rate isn't held back.
func (t *Customer) inRate(now time.Time) bool {
	if t.Demand > t.Rate {
		return true
	}
	t.tokens = min(t.burst(), t.tokens+t.Rate*now.Sub(t.filled).Seconds())
	t.filled = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Upstream runs queries for a fixed time on a number of slots. It queues those
// above its slots, and sheds those above slots and queue.
type Upstream struct {
	Slots, QueueLimit int
	ServiceTime       time.Duration
	// Shed and Done count queries; Busy sums the times from grant to end.
	Shed, Done   int
	TotalLatency time.Duration

	running int
	waiting []*job
}

// ShedFraction returns the shed part of the granted queries.
func (b *Upstream) ShedFraction() float64 {
	return float64(b.Shed) / float64(b.Shed+b.Done)
}

// Slowdown returns the mean time from grant to end over the unloaded one.
func (b *Upstream) Slowdown() float64 {
	return b.TotalLatency.Seconds() / float64(b.Done) / b.ServiceTime.Seconds()
}

// Utilization returns the used part of the capacity over a time.
func (b *Upstream) Utilization(d time.Duration) float64 {
	return float64(b.Done) * b.ServiceTime.Seconds() / float64(b.Slots) / d.Seconds()
}

type job struct {
	tenant   *Customer
	arrival  time.Time
	deadline time.Time
	start    time.Time
}

type model struct {
	*simclock.Clock
	rng       *rand.Rand
	scheduler Scheduler
	backEnd   *Upstream
	end       time.Time
}

// Run lets the tenants send for a time and returns when all queries have ended.
func Run(seed uint64, s Scheduler, b *Upstream, tenants []*Customer, d time.Duration) {
	start := time.Unix(1_700_000_000, 0)
	m := &model{
		Clock:     simclock.New(start),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		scheduler: s,
		backEnd:   b,
		end:       start.Add(d),
	}
	for _, t := range tenants {
		t.filled = start
		t.tokens = t.burst()
		m.arrive(t)
	}
	m.Clock.Run(func() { s.Poll(m.Now()) })
}

func (m *model) arrive(t *Customer) {
	m.After(time.Duration(m.rng.ExpFloat64()/t.Demand*float64(time.Second)), func() {
		if m.Now().After(m.end) {
			return
		}
		m.submit(t)
		m.arrive(t)
	})
}

func (m *model) submit(t *Customer) {
	if !t.inRate(m.Now()) {
		return
	}
	t.Sent++
	j := &job{tenant: t, arrival: m.Now(), deadline: m.Now().Add(Deadline)}
	share := admission.Share{Customer: t.Name, Rate: t.Rate, Burst: t.burst()}
	m.scheduler.Submit(m.Now(), share, j.deadline, func(v Decision) {
		if v.Admitted {
			m.dispatch(j)
		}
	})
}

func (m *model) dispatch(j *job) {
	b := m.backEnd
	j.start = m.Now()
	switch {
	case b.running < b.Slots:
		m.serve(j)
	case len(b.waiting) < b.QueueLimit:
		b.waiting = append(b.waiting, j)
	default:
		b.Shed++
		m.scheduler.Release(m.Now(), j.start, admission.OutcomeOverloaded)
	}
}

func (m *model) serve(j *job) {
	m.backEnd.running++
	m.After(m.backEnd.ServiceTime, func() { m.finish(j) })
}

func (m *model) finish(j *job) {
	b := m.backEnd
	b.running--
	b.Done++
	b.TotalLatency += m.Now().Sub(j.start)
	outcome := admission.OutcomeDeadlineExceeded
	if !m.Now().After(j.deadline) {
		outcome = admission.OutcomeDone
		j.tenant.Served++
		j.tenant.Waits = append(j.tenant.Waits, j.start.Sub(j.arrival))
	}
	if len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		m.serve(next)
	}
	m.scheduler.Release(m.Now(), j.start, outcome)
}
