package customerrate

import (
	"math"
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
	// Slack is the number of requests, over all VMs, by which a window may exceed
	// the rate; parts of it deepen buckets and pools.
	Slack float64
	// Staleness is how old reports of other VMs usually are. SilentAfter is the age from
	// which a VM without a report is assumed to go on using its part.
	Staleness, SilentAfter time.Duration
	// LargeFleetVMs is the size above which StalenessLarge and SilentLarge apply.
	LargeFleetVMs                              int
	LargeFleetStaleness, LargeFleetSilentAfter time.Duration
	// DemandHalfLife is the half-life of the measured demand.
	DemandHalfLife time.Duration
	// StartupTime is the time after a start in which a VM doesn't draw on pools, since
	// it can't know yet what the others have used.
	StartupTime time.Duration
	// StartupVMs divides rates while a VM settles and knows no other VM; IsolatedVMs
	// does so later.
	StartupVMs, IsolatedVMs int
}

// DefaultPolicy suits exchanges every quarter of a second.
func DefaultPolicy() Policy {
	return Policy{
		Headroom: 1.08, Slack: 20, Staleness: 400 * time.Millisecond, SilentAfter: 800 * time.Millisecond,
		LargeFleetVMs: fleet.MeshSize, LargeFleetStaleness: 900 * time.Millisecond, LargeFleetSilentAfter: 3 * time.Second,
		DemandHalfLife: 500 * time.Millisecond, StartupTime: time.Second, StartupVMs: 64, IsolatedVMs: 16,
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
	heardAt  map[string]time.Duration // by VM: when its report was written
	ticked   time.Time
	started  time.Time // of the process, or of its life after it stood still
}

// use is what another VM has told of a customer.
type use struct {
	boot     uint64
	demand   float64
	admitted uint32
	// part of the rate that the VM had when it was last heard.
	part float64
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
	// granted tells that the VM has had its part of the slack after its start.
	granted bool
	// heard is the demand of the VMs that can be heard; silentPart is the part of
	// the rate that is left to the others.
	heard, silentPart float64
	local             bucket
	others            map[string]*use
}

// CustomerHash returns the key of a customer in reports.
func CustomerHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// NewLimiter returns a limiter whose buckets are empty, since the process may
// have restarted right after it had used them up.
func NewLimiter(p Policy) *Limiter {
	return &Limiter{policy: p, accounts: map[string]*account{}, byHash: map[uint32]*account{}, heardAt: map[string]time.Duration{}}
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
			if l.started.IsZero() {
				l.started = now
			}
			a.local.filledAt = now
			l.accounts[c.Name], l.byHash[CustomerHash(c.Name)] = a, a
		}
		l.fill(a, now)
		a.rate, a.burst = c.RatePerSecond, c.Burst
		a.pool = min(a.pool, a.burst+poolSlack*l.policy.Slack)
		l.share(a, now)
	}
	for name := range l.accounts {
		if !keep[name] {
			delete(l.accounts, name)
			delete(l.byHash, CustomerHash(name))
		}
	}
}

func (l *Limiter) fill(a *account, now time.Time) {
	if dt := now.Sub(a.filledAt).Seconds(); dt > 0 {
		rate := a.rate * l.policy.Headroom
		if len(l.heardAt) == 0 {
			rate /= l.fleetSize(now)
		}
		// What lies in the pool is for the VMs that can't be heard, too.
		a.pool = min(a.pool+dt*rate, (a.burst+poolSlack*l.policy.Slack)*(1-a.silentPart))
		a.filledAt = now
	}
}

// ApplyReport takes in a report of another VM.
func (l *Limiter) ApplyReport(now time.Time, r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.heardAt[r.Address]; !known {
		defer l.shareAnew(now)
	}
	l.heardAt[r.Address] = r.At
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
		*u = use{boot: r.Boot, demand: told.Demand, admitted: told.Admitted, part: u.part}
	}
}

// shareAnew works out the parts for a new number of VMs while this one settles.
// The caller holds mu.
func (l *Limiter) shareAnew(now time.Time) {
	if now.Sub(l.started) >= l.policy.StartupTime {
		return
	}
	for _, a := range l.accounts {
		l.share(a, now)
	}
}

// charge takes another VM's requests from the pool, less what was assumed.
func (a *account) charge(u *use, n float64) {
	a.pool -= max(n-u.assumed, 0)
}

// RemoveVM drops a VM that has left the fleet.
func (l *Limiter) RemoveVM(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.heardAt, address)
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
			a.pool, l.started = min(a.pool, 0), now
		}
		l.measure(a, dt)
		l.divide(a, dt, bootNow)
		l.share(a, now)
		a.told = a.demand
		if a.admitted > 0 || a.told > 0 {
			out[hash] = fleet.Usage{Demand: a.told, Admitted: a.admitted}
		}
	}
	return out
}

// divide works out the parts of the other VMs. Those that can't be heard keep
// the part that they had, and are charged for it.
func (l *Limiter) divide(a *account, dt, bootNow time.Duration) {
	a.heard, a.silentPart = a.told, 0
	for addr, u := range a.others {
		if bootNow-l.heardAt[addr] <= l.silentAge() {
			a.heard += u.demand
			continue
		}
		a.silentPart += u.part
		n := a.rate * u.part * dt.Seconds()
		a.pool -= n
		u.assumed += n
	}
	a.silentPart = min(a.silentPart, 1)
	for addr, u := range a.others {
		if a.heard > 0 && bootNow-l.heardAt[addr] <= l.silentAge() {
			u.part = (1 - a.silentPart) * u.demand / a.heard
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
	keep := decay(dt, l.policy.DemandHalfLife)
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
	// settlingShare is the multiple of an even part that a settling VM admits:
	// demand differs between VMs, and nothing was admitted while they were down.
	settlingShare = 1.6
	// settlingSlack is the part of the slack that VMs have when they start, so that
	// the first callers of small customers aren't refused.
	settlingSlack = 0.6
	// maxGrant bounds that of one VM, in requests.
	maxGrant = 2
	// localBurst is how much of its part a VM may use at once.
	localBurst = 400 * time.Millisecond
	// maxPartGrowth limits the growth of a part in one tick.
	maxPartGrowth = 2
	// localSlack is the part of the slack that deepens the VMs' own buckets.
	localSlack = 0.35
	// poolSlack is the part of the slack that deepens pools.
	poolSlack = 0.35
	// leastFactor is the least part of the rate that is admitted while the fleet
	// makes up for an excess.
	leastFactor = 0.3
)

// share sets the VM's part of the rate. All VMs count with demands as they were
// published, so that their parts add up also while demand grows quickly.
func (l *Limiter) share(a *account, now time.Time) {
	n := l.fleetSize(now)
	part := leastPart / n
	if a.heard > 0 {
		part = max(part, a.told/a.heard)
	}
	// Reports of the others may still be on their way.
	part = min(part, maxPartGrowth*a.part+1/n)
	settling := now.Sub(l.started) < l.policy.StartupTime
	if settling {
		part = settlingShare / n
	}
	if settling && !a.granted && len(l.heardAt) > 0 {
		a.granted = true
		a.local.tokens += min(maxGrant, settlingSlack*l.policy.Slack/n)
	}
	a.part = part
	part *= 1 - a.silentPart
	rate := a.rate * l.policy.Headroom * part * l.makeUp(a)
	a.local.set(now, rate, max(1+localSlack*l.policy.Slack/n, rate*localBurst.Seconds()))
	a.reserve = max(a.totalDemand(), a.demand)*l.staleness().Seconds() + 1
	if settling {
		a.reserve = math.Inf(1)
	}
}

func (l *Limiter) isLarge() bool { return len(l.heardAt)+1 > l.policy.LargeFleetVMs }

func (l *Limiter) staleness() time.Duration {
	if l.isLarge() {
		return l.policy.LargeFleetStaleness
	}
	return l.policy.Staleness
}

func (l *Limiter) silentAge() time.Duration {
	if l.isLarge() {
		return l.policy.LargeFleetSilentAfter
	}
	return l.policy.SilentAfter
}

// fleetSize is the number of VMs that share a rate.
func (l *Limiter) fleetSize(now time.Time) float64 {
	n := len(l.heardAt) + 1
	if n > 1 {
		return float64(n)
	}
	if now.Sub(l.started) < l.policy.StartupTime {
		return float64(l.policy.StartupVMs)
	}
	return float64(l.policy.IsolatedVMs)
}

// makeUp is the factor by which rates are lowered while more was admitted than
// the fleet's bucket held.
func (l *Limiter) makeUp(a *account) float64 {
	if a.pool >= 0 || a.rate <= 0 {
		return 1
	}
	return max(1+a.pool/a.rate, leastFactor)
}
