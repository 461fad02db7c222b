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
	// RateFactor multiplies the configured rates. It is above 1, and uses a part of the
	// excess over the rate that the users' bound quota_overage tolerates.
	RateFactor float64
	// Slack is the number of requests, over all VMs, by which the requests that are
	// admitted in any period of time may exceed the rate. Fractions of it are added to
	// the depth of own buckets and pools.
	Slack float64
	// Staleness is the usual age of other VMs' reports. A VM whose last report is older
	// than SilentAfter counts as silent: it is assumed to continue to use its fraction.
	Staleness, SilentAfter time.Duration
	// LargeFleetVMs is the number of VMs above which LargeFleetStaleness and
	// LargeFleetSilentAfter apply.
	LargeFleetVMs                              int
	LargeFleetStaleness, LargeFleetSilentAfter time.Duration
	// DemandHalfLife is the half-life of the measured demand.
	DemandHalfLife time.Duration
	// StartupTime is the time after a start in which a VM doesn't draw on pools, since
	// it doesn't know yet how much the others have used.
	StartupTime time.Duration
	// StartupVMs is the assumed number of VMs during start-up while no other VM is
	// known; IsolatedVMs is the assumed number after that.
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

// Limiter admits customers' requests. While a customer's pool holds more than its
// reserve, requests draw on it. Below that, each VM admits what its own bucket holds.
// Demand below the rate, spread unevenly over VMs, shouldn't be refused. At many times
// the rate, stale reports must not let the VMs together exceed it.
//
// It is safe for concurrent use.
type Limiter struct {
	policy Policy

	mu         sync.Mutex
	accounts   map[string]*account
	byHash     map[uint32]*account
	reportedAt map[string]time.Duration // time of the last report, by the VM's address
	lastTick   time.Time
	// startedAt begins the start-up time: when the first customer was configured, or
	// when the VM was last found to have been suspended.
	startedAt time.Time
}

// peerUsage is what another VM has last reported of a customer, and what this VM has
// derived from its reports.
type peerUsage struct {
	incarnation uint64 // of its last report
	demand      float64
	admitted    uint32
	// fraction is the VM's fraction of the rate at its last report.
	fraction float64
	// assumed is the number of requests that were deducted from the pool while the VM
	// was silent, and that its next report doesn't deduct again.
	assumed float64
}

// account is the state of one customer. Tokens and counts are in requests, demand and
// rates in requests per second.
type account struct {
	rate, burst float64 // as configured

	offered         float64 // since the last tick
	demand          float64
	publishedDemand float64 // demand as last published
	admitted        uint32  // since the start; wraps

	pool       float64 // tokens; negative while the fleet has admitted too much
	refilledAt time.Time
	// reserve is the number of tokens of the pool that this VM doesn't draw on. The
	// other VMs may have used them for requests that they haven't reported yet.
	reserve float64
	// fraction is this VM's fraction of the part of the rate that isn't left to silent
	// VMs.
	fraction float64
	// slackGranted reports whether this VM has received its part of the slack after its
	// start.
	slackGranted bool
	// reachableDemand is the demand of the VMs that aren't silent; silentFraction is
	// the fraction of the rate that is left to the silent ones.
	reachableDemand, silentFraction float64
	ownBucket                       bucket
	// poolDraws limits this VM's draws on the pool in a large fleet.
	poolDraws bucket
	peers     map[string]*peerUsage
}

// CustomerHash returns the key of a customer in reports.
func CustomerHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// NewLimiter returns a limiter whose buckets are empty, since the process may have
// restarted right after it had used them up.
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
			a.ownBucket.refilledAt, a.poolDraws.refilledAt = now, now
			a.poolDraws.tokens = 1
			l.accounts[c.Name], l.byHash[CustomerHash(c.Name)] = a, a
		}
		l.refill(a, now)
		a.rate, a.burst = c.RatePerSecond, c.Burst
		a.pool = min(a.pool, a.burst+poolSlackFraction*l.policy.Slack)
		l.updateFraction(a, now)
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
			// No reports of other VMs are deducted, so the pool receives this VM's part
			// of the rate only.
			rate /= l.fleetSize(now)
		}
		// The pool's depth is reduced by the silent VMs' fraction.
		a.pool = min(a.pool+dt*rate, (a.burst+poolSlackFraction*l.policy.Slack)*(1-a.silentFraction))
		a.refilledAt = now
	}
}

// ApplyReport applies a report of another VM.
func (l *Limiter) ApplyReport(now time.Time, r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.reportedAt[r.Address]; !known {
		defer l.updateStartupFractions(now)
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
			// The first report deducts nothing: its count includes all requests since
			// the VM's start.
			a.peers[r.Address] = &peerUsage{incarnation: r.Incarnation, demand: usage.Demand, admitted: usage.Admitted}
			continue
		case u.incarnation != r.Incarnation:
			// The VM has restarted, and counts from 0 since. What it admitted after its
			// last report is unknown; its demand bounds it.
			a.deduct(u, float64(usage.Admitted)+u.demand*l.staleness().Seconds())
		default:
			a.deduct(u, float64(usage.Admitted-u.admitted))
		}
		*u = peerUsage{incarnation: r.Incarnation, demand: usage.Demand, admitted: usage.Admitted, fraction: u.fraction}
	}
}

// updateStartupFractions recomputes this VM's fractions for a new number of VMs during
// start-up. The caller holds mu.
func (l *Limiter) updateStartupFractions(now time.Time) {
	if now.Sub(l.startedAt) >= l.policy.StartupTime {
		return
	}
	for _, a := range l.accounts {
		l.updateFraction(a, now)
	}
}

// deduct deducts another VM's requests from the pool, less those already assumed.
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

// maxTickGap is the time between two ticks above which this VM is taken to have been
// suspended. Its pools then weren't reduced by the requests that other VMs admitted
// meanwhile.
const maxTickGap = time.Second

// Tick recomputes this VM's fractions and returns the usage to report to the other VMs.
// reportNow is the current time on the clock of Report.At.
func (l *Limiter) Tick(now time.Time, reportNow time.Duration) map[uint32]fleet.Usage {
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
		l.updatePeerFractions(a, dt, reportNow)
		l.updateFraction(a, now)
		a.publishedDemand = a.demand
		if a.admitted > 0 || a.publishedDemand > 0 {
			out[hash] = fleet.Usage{Demand: a.publishedDemand, Admitted: a.admitted}
		}
	}
	return out
}

// updatePeerFractions recomputes the fractions of the other VMs. Silent VMs keep their
// last fraction, and as many requests as that fraction allows are deducted from the
// pool.
func (l *Limiter) updatePeerFractions(a *account, dt, reportNow time.Duration) {
	a.reachableDemand, a.silentFraction = a.publishedDemand, 0
	for addr, u := range a.peers {
		if reportNow-l.reportedAt[addr] <= l.silentAfter() {
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
		if a.reachableDemand > 0 && reportNow-l.reportedAt[addr] <= l.silentAfter() {
			u.fraction = (1 - a.silentFraction) * u.demand / a.reachableDemand
		}
	}
}

// minDemand is the demand, in requests per second, below which a VM reports none.
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
	// minFraction of a rate, divided by the number of known VMs, is available to a VM
	// without demand, so that its first requests aren't refused.
	minFraction = 0.1
	// startupFractionFactor and largeFleetStartupFractionFactor are the multiple of an
	// even part of the rate that a VM admits during start-up, because demand differs
	// between VMs. If all VMs have restarted, nothing was admitted while they were
	// down, which offsets the excess. In a large fleet what restarted VMs admitted
	// before is known less well.
	startupFractionFactor           = 1.6
	largeFleetStartupFractionFactor = 1.2
	// startupSlackFraction is the fraction of the slack that all VMs together receive
	// at their start, so that the first requests of small customers aren't refused. In a
	// large fleet a VM's part is less than a request, which serves none, while the parts
	// of all that restart add to what the others have admitted.
	startupSlackFraction = 0.6
	// maxStartupTokens bounds the slack that one VM receives at its start, in requests.
	maxStartupTokens = 2
	// ownBucketFillTime is the least time that an empty own bucket takes to fill at its
	// rate.
	ownBucketFillTime = 400 * time.Millisecond
	// maxFractionGrowth is the factor by which a VM's fraction may grow in one update,
	// on top of an even part.
	maxFractionGrowth = 2
	// ownBucketSlackFraction is the fraction of the slack that is added to the depth of
	// own buckets, divided among the VMs.
	ownBucketSlackFraction = 0.35
	// poolSlackFraction is the fraction of the slack that is added to the depth of each
	// pool.
	poolSlackFraction = 0.35
	// poolDrawFactor is the multiple of a VM's fraction of a full pool that it may draw
	// within the usual age of reports, because demand is uneven.
	poolDrawFactor = 2
	// minPoolDrawsPerSecond is the least rate of a VM's draws on the pool, as the
	// requests of a small customer reach each VM seldom.
	minPoolDrawsPerSecond = 1
	// minOveruseRateFactor is the least value of overuseRateFactor.
	minOveruseRateFactor = 0.3
)

// updateFraction sets this VM's fraction of the rate, the rate and depth of its own
// bucket, and the reserve. It also adds the tokens that a VM receives at its start. All
// VMs count with the demand that they last published, so that their fractions of the
// demand add up to 1 even while it grows quickly.
func (l *Limiter) updateFraction(a *account, now time.Time) {
	n := l.fleetSize(now)
	fraction := minFraction / n
	if a.reachableDemand > 0 {
		fraction = max(fraction, a.publishedDemand/a.reachableDemand)
	}
	// The growth is limited because the demand of other VMs may have grown as well, in
	// reports that are still in flight. The fraction would then be too large.
	fraction = min(fraction, maxFractionGrowth*a.fraction+1/n)
	startingUp := now.Sub(l.startedAt) < l.policy.StartupTime
	if startingUp {
		fraction = l.startupFractionFactor() / n
	}
	if startingUp && !a.slackGranted && len(l.reportedAt) > 0 && !l.fleetIsLarge() {
		a.slackGranted = true
		a.ownBucket.tokens += min(maxStartupTokens, startupSlackFraction*l.policy.Slack/n)
	}
	a.fraction = fraction
	fraction *= 1 - a.silentFraction
	rate := a.rate * l.policy.RateFactor * fraction * l.overuseRateFactor(a)
	a.ownBucket.setRate(now, rate, max(1+ownBucketSlackFraction*l.policy.Slack/n, rate*ownBucketFillTime.Seconds()))
	draws := max(fraction, 1/n) * (a.burst + poolSlackFraction*l.policy.Slack)
	a.poolDraws.setRate(now, max(draws/l.staleness().Seconds(), minPoolDrawsPerSecond), max(poolDrawFactor*draws, 1))
	// About as many requests as arrive within the usual age of reports aren't deducted
	// yet. While the VM starts, it doesn't know what others have used.
	a.reserve = max(a.totalDemand(), a.demand)*l.staleness().Seconds() + 1
	if startingUp {
		a.reserve = math.Inf(1)
	}
}

// overuseRateFactor returns the factor that multiplies rates. It is below 1 while the
// pool is negative, that is after the fleet has admitted more than the pool held: 1
// less the time in seconds in which the customer's rate makes up for the deficit, but
// at least minOveruseRateFactor.
func (l *Limiter) overuseRateFactor(a *account) float64 {
	if a.pool >= 0 || a.rate <= 0 {
		return 1
	}
	return max(1+a.pool/a.rate, minOveruseRateFactor)
}
