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
	// RateFactor multiplies rates; it uses a part of the tolerance that the users
	// allow.
	RateFactor float64
	// Slack is the number of requests, over all VMs, by which a window may
	// exceed the rate. Fractions of it deepen buckets and pools.
	Slack float64
	// Staleness is the usual age of other VMs' reports. SilentAfter is the age
	// of the last report from which a VM counts as silent: it is assumed to
	// continue to use its fraction.
	Staleness, SilentAfter time.Duration
	// LargeFleetVMs is the number of VMs above which LargeFleetStaleness and
	// LargeFleetSilentAfter apply.
	LargeFleetVMs                              int
	LargeFleetStaleness, LargeFleetSilentAfter time.Duration
	// DemandHalfLife is the half-life of the measured demand.
	DemandHalfLife time.Duration
	// StartupTime is the time after a start in which a VM doesn't draw on
	// pools, since it doesn't know yet how much the others have used.
	StartupTime time.Duration
	// StartupVMs is the assumed number of VMs during start-up while no other VM
	// is known; IsolatedVMs is the assumed number after that.
	StartupVMs, IsolatedVMs int
}

// DefaultPolicy suits a report interval of a quarter of a second.
func DefaultPolicy() Policy {
	return Policy{
		RateFactor: 1.08, Slack: 20, Staleness: 400 * time.Millisecond, SilentAfter: 800 * time.Millisecond,
		LargeFleetVMs: fleet.MeshSize, LargeFleetStaleness: 900 * time.Millisecond, LargeFleetSilentAfter: 3 * time.Second,
		DemandHalfLife: 500 * time.Millisecond, StartupTime: time.Second, StartupVMs: 64, IsolatedVMs: 16,
	}
}

// Limiter admits customers' requests. Each customer has a pool, a replica of the
// bucket of the whole fleet, from which the other VMs' admitted requests are
// deducted when their reports arrive. While the pool is well filled, requests
// draw on it. When it runs low, each VM admits a fraction of the rate that
// follows its fraction of the demand.
//
// The limiter is designed for two loads: usual demand, spread unevenly over VMs,
// where no request below the rate should be refused, and a customer at many
// times its rate, where stale reports must not let the VMs together exceed the
// rate. It is safe for concurrent use.
type Limiter struct {
	policy Policy

	mu         sync.Mutex
	accounts   map[string]*account
	byHash     map[uint32]*account
	reportedAt map[string]time.Duration // by VM: time of its last report
	lastTick   time.Time
	startedAt  time.Time // of the process, or of its last resumption
}

// peerUsage is what another VM has reported of a customer.
type peerUsage struct {
	boot     uint64
	demand   float64
	admitted uint32
	// fraction is the VM's fraction of the rate at its last report.
	fraction float64
	// assumed is the number of requests deducted from the pool for a silent VM.
	assumed float64
}

type account struct {
	rate, burst float64

	offered         float64 // since the last tick
	demand          float64
	publishedDemand float64 // demand as last published
	admitted        uint32

	pool       float64
	refilledAt time.Time
	reserve    float64
	fraction   float64 // of the rate that is available to this VM
	// slackGranted reports whether the VM has received its fraction of the
	// slack after its start.
	slackGranted bool
	// reachableDemand is the demand of the VMs that aren't silent;
	// silentFraction is the fraction of the rate that is left to the silent
	// ones.
	reachableDemand, silentFraction float64
	local                           bucket
	peers                           map[string]*peerUsage
}

// CustomerHash returns the key of a customer in reports.
func CustomerHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// NewLimiter returns a limiter whose buckets are empty, since the process may
// have restarted right after it had used them up.
func NewLimiter(p Policy) *Limiter {
	return &Limiter{policy: p, accounts: map[string]*account{}, byHash: map[uint32]*account{}, reportedAt: map[string]time.Duration{}}
}

// Update applies the customers of a new configuration.
func (l *Limiter) Update(now time.Time, customers []routetable.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	configured := map[string]bool{}
	for i := range customers {
		c := &customers[i]
		configured[c.Name] = true
		a := l.accounts[c.Name]
		if a == nil {
			a = &account{refilledAt: now, peers: map[string]*peerUsage{}}
			if l.startedAt.IsZero() {
				l.startedAt = now
			}
			a.local.refilledAt = now
			l.accounts[c.Name], l.byHash[CustomerHash(c.Name)] = a, a
		}
		l.refill(a, now)
		a.rate, a.burst = c.RatePerSecond, c.Burst
		a.pool = min(a.pool, a.burst+poolSlackFraction*l.policy.Slack)
		l.updateShare(a, now)
	}
	for name := range l.accounts {
		if !configured[name] {
			delete(l.accounts, name)
			delete(l.byHash, CustomerHash(name))
		}
	}
}

func (l *Limiter) refill(a *account, now time.Time) {
	if dt := now.Sub(a.refilledAt).Seconds(); dt > 0 {
		rate := a.rate * l.policy.RateFactor
		if len(l.reportedAt) == 0 {
			rate /= l.fleetSize(now)
		}
		// The silent VMs' fraction of the pool is left to them.
		a.pool = min(a.pool+dt*rate, (a.burst+poolSlackFraction*l.policy.Slack)*(1-a.silentFraction))
		a.refilledAt = now
	}
}

// ApplyReport applies a report of another VM.
func (l *Limiter) ApplyReport(now time.Time, r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.reportedAt[r.Address]; !known {
		defer l.updateStartupShares(now)
	}
	l.reportedAt[r.Address] = r.At
	for hash, usage := range r.Usage {
		a := l.byHash[hash]
		if a == nil {
			continue
		}
		l.refill(a, now)
		u := a.peers[r.Address]
		switch {
		case u == nil:
			a.peers[r.Address] = &peerUsage{boot: r.Boot, demand: usage.Demand, admitted: usage.Admitted}
			continue
		case u.boot != r.Boot:
			a.deduct(u, float64(usage.Admitted))
		default:
			a.deduct(u, float64(usage.Admitted-u.admitted))
		}
		*u = peerUsage{boot: r.Boot, demand: usage.Demand, admitted: usage.Admitted, fraction: u.fraction}
	}
}

// updateStartupShares recomputes the VM's shares for a new number of VMs during
// start-up. The caller holds mu.
func (l *Limiter) updateStartupShares(now time.Time) {
	if now.Sub(l.startedAt) >= l.policy.StartupTime {
		return
	}
	for _, a := range l.accounts {
		l.updateShare(a, now)
	}
}

// deduct deducts another VM's requests from the pool, less those already
// assumed.
func (a *account) deduct(u *peerUsage, n float64) {
	a.pool -= max(n-u.assumed, 0)
}

// RemoveVM removes a VM that has left the fleet.
func (l *Limiter) RemoveVM(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reportedAt, address)
	for _, a := range l.accounts {
		delete(a.peers, address)
	}
}

// maxTickGap is the time between two ticks above which the VM is taken to have
// been suspended: its pools then lack the requests of other VMs.
const maxTickGap = time.Second

// Tick recomputes the VM's shares and returns the usage to report to the other
// VMs. bootNow is the time on the clock of the reports.
func (l *Limiter) Tick(now time.Time, bootNow time.Duration) map[uint32]fleet.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	dt := now.Sub(l.lastTick)
	wasSuspended := !l.lastTick.IsZero() && dt > maxTickGap
	l.lastTick = now
	out := map[uint32]fleet.Usage{}
	for hash, a := range l.byHash {
		l.refill(a, now)
		if wasSuspended {
			a.pool, l.startedAt = min(a.pool, 0), now
		}
		l.updateDemand(a, dt)
		l.updatePeerFractions(a, dt, bootNow)
		l.updateShare(a, now)
		a.publishedDemand = a.demand
		if a.admitted > 0 || a.publishedDemand > 0 {
			out[hash] = fleet.Usage{Demand: a.publishedDemand, Admitted: a.admitted}
		}
	}
	return out
}

// updatePeerFractions recomputes the fractions of the other VMs. Silent VMs
// keep their last fraction, and the requests that it allows are deducted from
// the pool.
func (l *Limiter) updatePeerFractions(a *account, dt, bootNow time.Duration) {
	a.reachableDemand, a.silentFraction = a.publishedDemand, 0
	for addr, u := range a.peers {
		if bootNow-l.reportedAt[addr] <= l.silentAge() {
			a.reachableDemand += u.demand
			continue
		}
		a.silentFraction += u.fraction
		n := a.rate * u.fraction * dt.Seconds()
		a.pool -= n
		u.assumed += n
	}
	a.silentFraction = min(a.silentFraction, 1)
	for addr, u := range a.peers {
		if a.reachableDemand > 0 && bootNow-l.reportedAt[addr] <= l.silentAge() {
			u.fraction = (1 - a.silentFraction) * u.demand / a.reachableDemand
		}
	}
}

// minDemand is the demand, in requests per second, below which a VM reports
// none.
const minDemand = 0.05

func (l *Limiter) updateDemand(a *account, dt time.Duration) {
	if dt <= 0 || dt > maxTickGap {
		a.offered = 0
		return
	}
	retained := decay(dt, l.policy.DemandHalfLife)
	a.demand = a.demand*retained + a.offered/dt.Seconds()*(1-retained)
	a.offered = 0
	if a.demand < minDemand {
		a.demand = 0
	}
}

func (a *account) totalDemand() float64 {
	total := a.publishedDemand
	for _, u := range a.peers {
		total += u.demand
	}
	return total
}

const (
	// minFraction of a rate, divided by the number of known VMs, is available
	// to a VM without demand, so that its first requests aren't refused.
	minFraction = 0.1
	// startupShareFactor is the multiple of an even share that a VM admits
	// during start-up: demand differs between VMs, and nothing was admitted
	// while they were down.
	startupShareFactor = 1.6
	// startupSlackFraction is the fraction of the slack that VMs receive at
	// their start, so that the first requests of small customers aren't
	// refused.
	startupSlackFraction = 0.6
	// maxStartupTokens bounds the slack that one VM receives at its start, in
	// requests.
	maxStartupTokens = 2
	// localBurst is the time in which a VM's share of the rate accrues as many
	// tokens as the VM may use at once.
	localBurst = 400 * time.Millisecond
	// maxFractionGrowth is the factor by which a VM's fraction may grow in one
	// tick, on top of an even share.
	maxFractionGrowth = 2
	// localSlackFraction is the fraction of the slack that deepens the VMs' own
	// buckets.
	localSlackFraction = 0.35
	// poolSlackFraction is the fraction of the slack that deepens pools.
	poolSlackFraction = 0.35
	// minOveruseFactor is the least fraction of the rate that is admitted while
	// the fleet compensates for an excess.
	minOveruseFactor = 0.3
)

// updateShare sets the VM's fraction of the rate and the rate of its bucket.
// All VMs count with the demand that they last published, so that their
// fractions add up even while demand grows quickly.
func (l *Limiter) updateShare(a *account, now time.Time) {
	n := l.fleetSize(now)
	fraction := minFraction / n
	if a.reachableDemand > 0 {
		fraction = max(fraction, a.publishedDemand/a.reachableDemand)
	}
	// Reports of the other VMs may still be in flight.
	fraction = min(fraction, maxFractionGrowth*a.fraction+1/n)
	startingUp := now.Sub(l.startedAt) < l.policy.StartupTime
	if startingUp {
		fraction = startupShareFactor / n
	}
	if startingUp && !a.slackGranted && len(l.reportedAt) > 0 {
		a.slackGranted = true
		a.local.tokens += min(maxStartupTokens, startupSlackFraction*l.policy.Slack/n)
	}
	a.fraction = fraction
	fraction *= 1 - a.silentFraction
	rate := a.rate * l.policy.RateFactor * fraction * l.overuseFactor(a)
	a.local.setRate(now, rate, max(1+localSlackFraction*l.policy.Slack/n, rate*localBurst.Seconds()))
	a.reserve = max(a.totalDemand(), a.demand)*l.staleness().Seconds() + 1
	if startingUp {
		a.reserve = math.Inf(1)
	}
}

func (l *Limiter) isLarge() bool { return len(l.reportedAt)+1 > l.policy.LargeFleetVMs }

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

// fleetSize is the number of VMs that share a rate, or an assumed number while
// no other VM is known.
func (l *Limiter) fleetSize(now time.Time) float64 {
	n := len(l.reportedAt) + 1
	if n > 1 {
		return float64(n)
	}
	if now.Sub(l.startedAt) < l.policy.StartupTime {
		return float64(l.policy.StartupVMs)
	}
	return float64(l.policy.IsolatedVMs)
}

// overuseFactor is the factor by which rates are lowered while more was
// admitted than the fleet's bucket held.
func (l *Limiter) overuseFactor(a *account) float64 {
	if a.pool >= 0 || a.rate <= 0 {
		return 1
	}
	return max(1+a.pool/a.rate, minOveruseFactor)
}
