package customerrate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Policy holds the settings of a Limiter.
type Policy struct {
	// Headroom multiplies rates; it uses a part of the tolerance that the users
	// grant.
	Headroom float64
	// Staleness is how old reports of other VMs usually are.
	Staleness time.Duration
	// Silent is the age from which a VM without a report is assumed to go on
	// using its part.
	Silent time.Duration
	// DemandMemory is the half-life of the measured demand.
	DemandMemory time.Duration
	// FreshVMs divides rates as long as no report has come.
	FreshVMs int
}

// DefaultPolicy suits exchanges every quarter of a second.
func DefaultPolicy() Policy {
	return Policy{
		Headroom: 1.08, Staleness: 600 * time.Millisecond, Silent: 1200 * time.Millisecond,
		DemandMemory: 500 * time.Millisecond, FreshVMs: 16,
	}
}

// Limiter admits customers' requests. A customer has a pool, a replica of the
// bucket of the whole fleet that counts the other VMs' admitted requests as
// their reports come. While it is well filled, requests draw on it; when it runs
// low, each VM keeps to a part of the rate that follows its part of the demand.
//
// It answers two loads: usual ones, spread unevenly over VMs, where no request
// below the rate is to be refused, and a customer at many times its rate, where
// stale reports must not add up to more than the rate. It is safe for
// concurrent use.
type Limiter struct {
	policy Policy

	mu       sync.Mutex
	accounts map[string]*account
	byHash   map[uint32]*account
	silent   map[string]time.Duration // by VM: when its report was written
	ticked   time.Time
}

// use is what another VM has told of a customer.
type use struct {
	boot     uint64
	demand   float64
	admitted uint32
	// assumed is what was taken from the pool for a silent VM.
	assumed float64
}

type account struct {
	rate, burst float64

	offered  float64 // since the last tick
	demand   float64
	told     float64 // the demand as it was last published
	admitted uint32

	pool     float64
	filledAt time.Time
	reserve  float64
	part     float64 // of the rate that is open to this VM
	local    bucket
	others   map[string]*use
}

// Hash returns the key of a customer in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// NewLimiter returns a limiter whose buckets are empty, since the process may
// have restarted right after it had used them up.
func NewLimiter(p Policy) *Limiter {
	return &Limiter{policy: p, accounts: map[string]*account{}, byHash: map[uint32]*account{}, silent: map[string]time.Duration{}}
}

// Update takes in the customers of a new configuration.
func (l *Limiter) Update(now time.Time, customers []routetable.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := map[string]bool{}
	for i := range customers {
		c := &customers[i]
		keep[c.Name] = true
		a := l.accounts[c.Name]
		if a == nil {
			a = &account{filledAt: now, others: map[string]*use{}}
			a.local.filledAt = now
			l.accounts[c.Name], l.byHash[Hash(c.Name)] = a, a
		}
		l.fill(a, now)
		a.rate, a.burst = c.RatePerSecond, c.Burst
		a.pool = min(a.pool, a.burst)
		l.share(a, now)
	}
	for name := range l.accounts {
		if !keep[name] {
			delete(l.accounts, name)
			delete(l.byHash, Hash(name))
		}
	}
}

func (l *Limiter) fill(a *account, now time.Time) {
	if dt := now.Sub(a.filledAt).Seconds(); dt > 0 {
		rate := a.rate * l.policy.Headroom
		if len(l.silent) == 0 {
			rate /= float64(l.policy.FreshVMs)
		}
		a.pool = min(a.pool+dt*rate, a.burst)
		a.filledAt = now
	}
}

// Admit implements gateway.Limiter.
func (l *Limiter) Admit(now time.Time, c *routetable.Customer) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[c.Name]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	a.offered++
	l.fill(a, now)
	if a.pool-a.reserve < 1 {
		if ok, retryAfter := a.local.take(now); !ok {
			return false, retryAfter
		}
	}
	a.pool--
	a.admitted++
	return true, 0
}

// Learn takes in a report of another VM.
func (l *Limiter) Learn(now time.Time, r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[r.Address] = r.At
	for hash, told := range r.Usage {
		a := l.byHash[hash]
		if a == nil {
			continue
		}
		l.fill(a, now)
		u := a.others[r.Address]
		switch {
		case u == nil:
			a.others[r.Address] = &use{boot: r.Boot, demand: told.Demand, admitted: told.Admitted}
			continue
		case u.boot != r.Boot:
			a.charge(u, float64(told.Admitted))
		default:
			a.charge(u, float64(told.Admitted-u.admitted))
		}
		*u = use{boot: r.Boot, demand: told.Demand, admitted: told.Admitted}
	}
}

// charge takes another VM's requests from the pool, less what was assumed.
func (a *account) charge(u *use, n float64) {
	a.pool -= max(n-u.assumed, 0)
}

// Forget drops a VM that has left the fleet.
func (l *Limiter) Forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silent, address)
	for _, a := range l.accounts {
		delete(a.others, address)
	}
}

// maxTickGap is the time between two ticks above which the VM has stood still:
// its pools then don't know what the others have used.
const maxTickGap = time.Second

// Tick works out the parts anew and returns what to tell the other VMs.
// bootNow is the time on the clock of the reports.
func (l *Limiter) Tick(now time.Time, bootNow time.Duration) map[uint32]fleet.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	dt := now.Sub(l.ticked)
	stoodStill := !l.ticked.IsZero() && dt > maxTickGap
	l.ticked = now
	out := map[uint32]fleet.Usage{}
	for hash, a := range l.byHash {
		l.fill(a, now)
		if stoodStill {
			a.pool = min(a.pool, 0)
		}
		l.assumeSilent(a, dt, bootNow)
		l.measure(a, dt)
		l.share(a, now)
		if a.admitted > 0 || a.told > 0 {
			out[hash] = fleet.Usage{Demand: a.told, Admitted: a.admitted}
		}
	}
	return out
}

// assumeSilent charges the parts of VMs that can't be heard.
func (l *Limiter) assumeSilent(a *account, dt, bootNow time.Duration) {
	total := a.totalDemand()
	if total <= 0 {
		return
	}
	for addr, u := range a.others {
		if bootNow-l.silent[addr] > l.policy.Silent {
			n := min(u.demand, a.rate*u.demand/total) * dt.Seconds()
			a.pool -= n
			u.assumed += n
		}
	}
}

// leastDemand is the demand below which a VM tells none.
const leastDemand = 0.05

func (l *Limiter) measure(a *account, dt time.Duration) {
	if dt <= 0 || dt > maxTickGap {
		a.offered = 0
		return
	}
	keep := decay(dt, l.policy.DemandMemory)
	a.demand = a.demand*keep + a.offered/dt.Seconds()*(1-keep)
	a.offered = 0
	if a.demand < leastDemand {
		a.demand = 0
	}
}

func (a *account) totalDemand() float64 {
	total := a.told
	for _, u := range a.others {
		total += u.demand
	}
	return total
}

const (
	// leastPart of a rate, divided by the VMs known, is open to a VM without
	// demand, so that its first callers aren't refused.
	leastPart = 0.1
	// localBurst is how much of its part a VM may use at once.
	localBurst = 400 * time.Millisecond
	// maxPartGrowth limits the growth of a part in one tick.
	maxPartGrowth = 2
	// leastFactor is the least part of the rate that is admitted while the fleet
	// makes up for an excess.
	leastFactor = 0.3
)

// share sets the VM's part of the rate. All VMs count with demands as they were
// published, so that their parts add up also while demand grows quickly.
func (l *Limiter) share(a *account, now time.Time) {
	total := a.totalDemand()
	n := float64(len(l.silent) + 1)
	if len(l.silent) == 0 {
		n = float64(l.policy.FreshVMs)
	}
	part := leastPart / n
	if total > 0 {
		part = max(part, a.told/total)
	}
	// Reports of the others may still be on their way.
	part = min(part, maxPartGrowth*a.part+1/n)
	a.part = part
	rate := a.rate * l.policy.Headroom * part * l.makeUp(a)
	a.local.set(now, rate, max(1, rate*localBurst.Seconds()))
	a.reserve = max(total, a.demand)*l.policy.Staleness.Seconds() + 1
	a.told = a.demand
}

// makeUp is the factor by which rates are lowered while more was admitted than
// the fleet's bucket held.
func (l *Limiter) makeUp(a *account) float64 {
	if a.pool >= 0 || a.rate <= 0 {
		return 1
	}
	return max(1+a.pool/a.rate, leastFactor)
}
