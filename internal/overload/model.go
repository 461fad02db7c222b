package overload

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
	"ryecourse.example/ryecourse/internal/simclock"
)

// Deadline is the time from a query's arrival to its deadline.
const Deadline = 500 * time.Millisecond

// minBurst is the smallest burst of a customer, in requests.
const minBurst = 4

// Customer is a customer with Poisson arrivals.
type Customer struct {
	Name string
	// Rate is the rate limit and the weight, Demand the arrival rate, both in
	// requests per second. If Demand isn't larger than Rate, arrivals that exceed
	// the rate and burst are dropped.
	Rate, Demand float64
	// Sent and Served count queries.
	Sent, Served int
	// Waits are the times from arrival to admission of the served queries.
	Waits []time.Duration

	tokens     float64
	refilledAt time.Time
}

// ServedFraction returns the fraction of the sent queries that were served, or 1 if
// none was sent.
func (c *Customer) ServedFraction() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.Served) / float64(c.Sent)
}

// WaitQuantile returns the quantile q of Waits.
func (c *Customer) WaitQuantile(q float64) time.Duration {
	if len(c.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.Waits))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (c *Customer) burst() float64 { return max(c.Rate, minBurst) }

// conforms reports whether a request conforms to the customer's rate and burst. It
// always does for a customer whose demand is larger than its rate.
func (c *Customer) conforms(now time.Time) bool {
	if c.Demand > c.Rate {
		return true
	}
	c.tokens = min(c.burst(), c.tokens+c.Rate*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// Upstream runs queries with a fixed service time. It queues queries while all slots
// are in use, and sheds them while its queue is full.
type Upstream struct {
	Slots, QueueLimit int
	ServiceTime       time.Duration
	// Shed and Done count queries. TotalLatency is the sum of the times from
	// admission to completion.
	Shed, Done   int
	TotalLatency time.Duration

	running int
	waiting []*job
}

// ShedFraction returns the fraction of the admitted queries that were shed.
func (u *Upstream) ShedFraction() float64 {
	return float64(u.Shed) / float64(u.Shed+u.Done)
}

// Slowdown returns the mean time from admission to completion, divided by the
// service time.
func (u *Upstream) Slowdown() float64 {
	return u.TotalLatency.Seconds() / float64(u.Done) / u.ServiceTime.Seconds()
}

// Utilization returns the work done, divided by the capacity in the time d. It may
// exceed 1, because queries that end after d count as well.
func (u *Upstream) Utilization(d time.Duration) float64 {
	return float64(u.Done) * u.ServiceTime.Seconds() / float64(u.Slots) / d.Seconds()
}

type job struct {
	customer     *Customer
	arrival      time.Time
	deadline     time.Time
	dispatchedAt time.Time
}

type model struct {
	*simclock.Clock
	rng       *rand.Rand
	scheduler Scheduler
	upstream  *Upstream
	end       time.Time
}

// Run runs the model: the customers send queries for the time d. It returns when all
// queries have ended.
func Run(seed uint64, s Scheduler, u *Upstream, customers []*Customer, d time.Duration) {
	start := time.Unix(1_700_000_000, 0)
	m := &model{
		Clock:     simclock.New(start),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		scheduler: s,
		upstream:  u,
		end:       start.Add(d),
	}
	for _, c := range customers {
		c.refilledAt = start
		c.tokens = c.burst()
		m.scheduleArrival(c)
	}
	m.Clock.Run(func() { s.Poll(m.Now()) })
}

func (m *model) scheduleArrival(c *Customer) {
	m.After(time.Duration(m.rng.ExpFloat64()/c.Demand*float64(time.Second)), func() {
		if m.Now().After(m.end) {
			return
		}
		m.submit(c)
		m.scheduleArrival(c)
	})
}

func (m *model) submit(c *Customer) {
	if !c.conforms(m.Now()) {
		return
	}
	c.Sent++
	j := &job{customer: c, arrival: m.Now(), deadline: m.Now().Add(Deadline)}
	share := admission.Share{Customer: c.Name, Rate: c.Rate, Burst: c.burst()}
	m.scheduler.Submit(m.Now(), share, j.deadline, func(v Decision) {
		if v.Admitted {
			m.dispatch(j)
		}
	})
}

func (m *model) dispatch(j *job) {
	u := m.upstream
	j.dispatchedAt = m.Now()
	switch {
	case u.running < u.Slots:
		m.startJob(j)
	case len(u.waiting) < u.QueueLimit:
		u.waiting = append(u.waiting, j)
	default:
		u.Shed++
		m.scheduler.Release(m.Now(), j.dispatchedAt, admission.OutcomeOverloaded)
	}
}

func (m *model) startJob(j *job) {
	m.upstream.running++
	m.After(m.upstream.ServiceTime, func() { m.finishJob(j) })
}

func (m *model) finishJob(j *job) {
	u := m.upstream
	u.running--
	u.Done++
	u.TotalLatency += m.Now().Sub(j.dispatchedAt)
	outcome := admission.OutcomeDeadlineExceeded
	if !m.Now().After(j.deadline) {
		outcome = admission.OutcomeDone
		j.customer.Served++
		j.customer.Waits = append(j.customer.Waits, j.dispatchedAt.Sub(j.arrival))
	}
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		m.startJob(next)
	}
	m.scheduler.Release(m.Now(), j.dispatchedAt, outcome)
}
