// Package upstreamlimit keeps the VMs of a fleet together within the request rates
// that upstreams state in their responses. It is used by `ryecourse gateway`.
//
// An upstream states its limit to the VMs that it answers; the limit holds for the
// requests of all VMs. VMs report to each other the newest statement that they have
// received from each upstream, and their demand: the rate of the attempts for which the
// upstream is their first choice, whether or not the limit admits them. Each VM admits
// the same fraction of its demand, so that the sum stays within the limit wherever the
// demand arises, also where each VM has little of it.
//
// The package has no I/O. Times are readings of a clock that keeps running while the VM
// is suspended.
package upstreamlimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
)

// Policy holds the settings of a Tracker.
type Policy struct {
	// DemandHalfLife is the half-life of the measured demand, and TrendHalfLife that of
	// the average with which the fleet's demand is compared.
	DemandHalfLife, TrendHalfLife time.Duration
	// Retention is the age up to which a VM reports a statement that it has received,
	// and for which a lifted limit is remembered. It exceeds the time that reports take
	// over relays.
	Retention time.Duration
	// MaxTickGap is the time between two ticks above which the VM is taken to have been
	// suspended, and its measured demand is discarded.
	MaxTickGap time.Duration
	// Utilization is the fraction of a limit that the fleet uses; the rest is for demand
	// that isn't reported yet. LargeFleetUtilization applies above LargeFleetVMs, where
	// reports take longer.
	Utilization, LargeFleetUtilization float64
	LargeFleetVMs                      int
	// MinPerSecond is the least rate that the fleet sends to an upstream, so that it
	// notices when a lower limit is lifted.
	MinPerSecond float64
	// IsolatedVMs is the assumed number of VMs while no other VM is known.
	IsolatedVMs int
}

// DefaultPolicy suits a report interval of a quarter of a second.
func DefaultPolicy() Policy {
	return Policy{
		DemandHalfLife: 500 * time.Millisecond, TrendHalfLife: time.Second, Retention: 5 * time.Second, MaxTickGap: time.Second,
		Utilization: 0.9, LargeFleetUtilization: 0.85, LargeFleetVMs: fleet.MeshSize, MinPerSecond: 0.5, IsolatedVMs: 16,
	}
}

// Change is a change of an upstream's limit as a VM knows it, or of the fraction of
// attempts that the VM admits.
type Change struct {
	Instance string
	// Limited is false if the upstream no longer states a limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Age is that of the statement; Peer is the VM that reported it, or empty.
	Age  time.Duration
	Peer string
	// Demand and FleetDemand are this VM's and the fleet's demand, in attempts per
	// second; Fraction is the admitted fraction, from 0 to 1.
	Demand, FleetDemand, Fraction float64
}

// Tracker is one VM's knowledge of upstreams' limits. It is safe for concurrent use.
type Tracker struct {
	policy   Policy
	rand     *rand.Rand
	onChange func(Change)

	mu     sync.Mutex
	limits map[string]*limit // by instance ID
	// count is len(limits), for callers without mu: most VMs know no limit.
	count atomic.Int64
	// reported holds the instances in each VM's last report.
	reported map[string][]string
	vms      map[string]bool // other VMs, by address
	lastTick time.Duration
	interval time.Duration // between the last two ticks
}

// NewTracker returns a tracker without limits. onChange is called with each change; it
// must not block or call the tracker.
func NewTracker(p Policy, r *rand.Rand, onChange func(Change)) *Tracker {
	return &Tracker{policy: p, rand: r, onChange: onChange, limits: map[string]*limit{}, reported: map[string][]string{}, vms: map[string]bool{}}
}

// Observe records what a response of an instance states: limited is false if it states
// no limit.
func (t *Tracker) Observe(now time.Duration, instance string, perSecond float64, limited bool) {
	if !limited && t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[instance]
	if l == nil {
		if !limited {
			return
		}
		l = t.add(instance)
	}
	l.own = statement{limited: limited, perSecond: perSecond, at: now}
	t.update(now, instance, l, l.own, "")
}

func (t *Tracker) add(instance string) *limit {
	// The random credit spreads the admitted attempts of VMs with few attempts each.
	l := &limit{peers: map[string]float64{}, credit: t.rand.Float64()}
	t.limits[instance] = l
	t.count.Store(int64(len(t.limits)))
	return l
}

func (t *Tracker) remove(instance string) {
	delete(t.limits, instance)
	t.count.Store(int64(len(t.limits)))
}

// update applies a statement if it is newer than the known one. The caller holds mu.
func (t *Tracker) update(now time.Duration, instance string, l *limit, s statement, peer string) {
	if s.at < l.newest.at {
		return
	}
	old := l.newest
	l.newest = s
	if old.limited != s.limited || s.limited && old.perSecond != s.perSecond {
		t.notify(now, instance, l, peer)
	}
}

func (t *Tracker) notify(now time.Duration, instance string, l *limit, peer string) {
	l.notified = t.fraction(l)
	t.onChange(Change{
		Instance: instance, Limited: l.newest.limited, PerSecond: l.newest.perSecond, Age: now - l.newest.at, Peer: peer,
		Demand: l.published, FleetDemand: t.fleetDemand(l), Fraction: l.notified,
	})
}

// fleetDemand returns the demand of all VMs. Those that are silent count with their last
// report, since they may be cut off from this VM only. If this VM's demand has just risen,
// that of the others is taken to have risen alike; if the sum of the reports rises, it is
// taken to rise further by as much.
func (t *Tracker) fleetDemand(l *limit) float64 {
	if len(t.vms) == 0 {
		return l.published * float64(t.policy.IsolatedVMs)
	}
	return max(l.published+l.peersDemand*l.currentRise(t.interval), (l.published+l.peersDemand)*l.trend)
}

// fraction returns the fraction of attempts that are admitted.
func (t *Tracker) fraction(l *limit) float64 {
	utilization := t.policy.Utilization
	if len(t.vms)+1 > t.policy.LargeFleetVMs {
		utilization = t.policy.LargeFleetUtilization
	}
	allowed := max(l.newest.perSecond*utilization, t.policy.MinPerSecond)
	demand := t.fleetDemand(l)
	if !l.newest.limited || demand <= allowed {
		return 1
	}
	return allowed / demand
}

// Admit counts an attempt for which an instance is the first choice, and reports whether
// this VM may send it. fraction is the fraction of such attempts that it may send now.
func (t *Tracker) Admit(instance string) (ok bool, fraction float64) {
	if t.count.Load() == 0 {
		return true, 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[instance]
	if l == nil {
		return true, 1
	}
	l.offered++
	fraction = t.fraction(l)
	return l.take(fraction), fraction
}

// take takes the credit of one attempt if a fraction of the attempts is admitted.
func (l *limit) take(fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	if l.credit += fraction; l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Peek returns what Admit would, and counts nothing.
func (t *Tracker) Peek(instance string) (ok bool, fraction float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[instance]
	if l == nil {
		return true, 1
	}
	shadow, fraction := *l, t.fraction(l)
	return shadow.take(fraction), fraction
}

// Cancel returns an admission whose attempt wasn't sent.
func (t *Tracker) Cancel(instance string) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[instance]; l != nil && l.credit < 1 {
		l.credit++
	}
}

// Tick measures the demand since the last tick and returns what to report to the other
// VMs.
func (t *Tracker) Tick(now time.Duration) []fleet.UpstreamLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	dt := now - t.lastTick
	t.lastTick, t.interval = now, dt
	var out []fleet.UpstreamLimit
	for instance, l := range t.limits {
		l.measure(dt, &t.policy)
		if !l.newest.limited && now-l.newest.at > t.policy.Retention {
			t.remove(instance)
			continue
		}
		l.sumPeers()
		l.updateTrend(dt, &t.policy)
		if f := t.fraction(l); f > l.notified*notifyFactor || f < l.notified/notifyFactor {
			t.notify(now, instance, l, "")
		}
		if r, ok := l.report(now, t.policy.Retention); ok {
			r.Instance = instance
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b fleet.UpstreamLimit) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// notifyFactor is the factor by which the admitted fraction changes before it is
// notified again.
const notifyFactor = 2

// ApplyReport applies what another VM reports.
func (t *Tracker) ApplyReport(now time.Duration, r fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeDemand(r.Address)
	t.vms[r.Address] = true
	if len(r.Limits) == 0 {
		return
	}
	names := make([]string, 0, len(r.Limits))
	for _, u := range r.Limits {
		l := t.limits[u.Instance]
		if l == nil {
			if !u.Stated || !u.Limited || now-u.StatedAt > t.policy.Retention {
				continue
			}
			l = t.add(u.Instance)
		}
		l.setPeer(r.Address, u.Demand)
		if u.Stated {
			t.update(now, u.Instance, l, statement{limited: u.Limited, perSecond: u.PerSecond, at: u.StatedAt}, r.Address)
		}
		names = append(names, u.Instance)
	}
	t.reported[r.Address] = names
}

// RemoveVM removes the demand of a VM that has left the fleet.
func (t *Tracker) RemoveVM(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeDemand(address)
	delete(t.vms, address)
}

// removeDemand removes what a VM last reported. The caller holds mu.
func (t *Tracker) removeDemand(address string) {
	for _, instance := range t.reported[address] {
		if l := t.limits[instance]; l != nil {
			l.removePeer(address)
		}
	}
	delete(t.reported, address)
}

// Retain drops the instances that aren't known.
func (t *Tracker) Retain(known map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance := range t.limits {
		if !known[instance] {
			t.remove(instance)
		}
	}
}

// Totals are sums over the instances that state a limit.
type Totals struct {
	Instances int
	// PerSecond is the sum of the limits, Demand that of this VM's demand, in requests
	// per second.
	PerSecond, Demand float64
}

// Totals returns the sums over the instances that state a limit.
func (t *Tracker) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Totals
	for _, l := range t.limits {
		if l.newest.limited {
			out.Instances++
			out.PerSecond += l.newest.perSecond
			out.Demand += l.published
		}
	}
	return out
}
