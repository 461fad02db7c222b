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

	mu         sync.Mutex
	accounts   map[string]*account
	byHash     map[uint32]*account
	reportedAt map[string]time.Duration // by VM: when its report was written
	lastTick   time.Time
	startedAt  time.Time // of the process, or of its life after it stood still
}

// peerUsage is what another VM has told of a customer.
type peerUsage struct {
	boot     uint64
	demand   float64
	admitted uint32
	// fraction of the rate that the VM had when it was last heard.
	fraction float64
	// assumed is what was taken from the pool for a silent VM.
	assumed float64
}

type account struct {
	rate, burst float64

	offered         float64 // since the last tick
	demand          float64
	publishedDemand float64 // the demand as it was last published
	admitted        uint32

	pool       float64
	refilledAt time.Time
	reserve    float64
	fraction   float64 // of the rate that is open to this VM
	// slackGranted tells that the VM has had its part of the slack after its start.
	slackGranted bool
	// reachableDemand is the demand of the VMs that can be reachableDemand; silentFraction is the part of
	// the rate that is left to the others.
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

// Update takes in the customers of a new configuration.
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
		rate := a.rate * l.policy.Headroom
		if len(l.reportedAt) == 0 {
			rate /= l.fleetSize(now)
		}
		// What lies in the pool is for the VMs that can't be heard, too.
		a.pool = min(a.pool+dt*rate, (a.burst+poolSlackFraction*l.policy.Slack)*(1-a.silentFraction))
		a.refilledAt = now
	}
}

// ApplyReport takes in a report of another VM.
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

// updateStartupShares works out the parts for a new number of VMs while this one settles.
// The caller holds mu.
func (l *Limiter) updateStartupShares(now time.Time) {
	if now.Sub(l.startedAt) >= l.policy.StartupTime {
		return
	}
	for _, a := range l.accounts {
		l.updateShare(a, now)
	}
}

// deduct takes another VM's requests from the pool, less what was assumed.
func (a *account) deduct(u *peerUsage, n float64) {
	a.pool -= max(n-u.assumed, 0)
}

// RemoveVM drops a VM that has left the fleet.
func (l *Limiter) RemoveVM(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reportedAt, address)
	for _, a := range l.accounts {
		delete(a.peers, address)
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

// updatePeerFractions works out the parts of the other VMs. Those that can't be heard keep
// the part that they had, and are charged for it.
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

// minDemand is the demand below which a VM tells none.
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
	// minFraction of a rate, divided by the VMs known, is open to a VM without
	// demand, so that its first callers aren't refused.
	minFraction = 0.1
	// startupShareFactor is the multiple of an even part that a settling VM admits:
	// demand differs between VMs, and nothing was admitted while they were down.
	startupShareFactor = 1.6
	// startupSlackFraction is the part of the slack that VMs have when they start, so that
	// the first callers of small customers aren't refused.
	startupSlackFraction = 0.6
	// maxStartupTokens bounds that of one VM, in requests.
	maxStartupTokens = 2
	// localBurst is how much of its part a VM may use at once.
	localBurst = 400 * time.Millisecond
	// maxFractionGrowth limits the growth of a part in one tick.
	maxFractionGrowth = 2
	// localSlackFraction is the part of the slack that deepens the VMs' own buckets.
	localSlackFraction = 0.35
	// poolSlackFraction is the part of the slack that deepens pools.
	poolSlackFraction = 0.35
	// minOveruseFactor is the least part of the rate that is admitted while the fleet
	// makes up for an excess.
	minOveruseFactor = 0.3
)

// updateShare sets the VM's part of the rate. All VMs count with demands as they were
// published, so that their parts add up also while demand grows quickly.
func (l *Limiter) updateShare(a *account, now time.Time) {
	n := l.fleetSize(now)
	fraction := minFraction / n
	if a.reachableDemand > 0 {
		fraction = max(fraction, a.publishedDemand/a.reachableDemand)
	}
	// Reports of the others may still be on their way.
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
	rate := a.rate * l.policy.Headroom * fraction * l.overuseFactor(a)
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

// fleetSize is the number of VMs that share a rate.
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

// overuseFactor is the factor by which rates are lowered while more was admitted than
// the fleet's bucket held.
func (l *Limiter) overuseFactor(a *account) float64 {
	if a.pool >= 0 || a.rate <= 0 {
		return 1
	}
	return max(1+a.pool/a.rate, minOveruseFactor)
}
