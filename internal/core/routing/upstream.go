package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// upstream is the state of one upstream that this VM has a share of.
//
// Traffic goroutines read the atomics without the lock. The fields below mu are
// written by Done (on traffic goroutines) and by Update, Tick and the notice
// handlers (on the control goroutine).
type upstream struct {
	id, address, zone string
	service           *serviceStats
	shard             *shardState
	// isFallback reports whether this VM uses the upstream from its fallback
	// zone rather than its home zone.
	isFallback atomic.Bool

	// gate limits this VM's concurrent requests.
	gate gate
	// spareLimit bounds this VM's requests here once the shard's guaranteed
	// concurrency is used up.
	spareLimit atomic.Int32
	// cold reports whether the upstream is on its ramp.
	cold atomic.Bool
	// latency is a moving average in nanoseconds. Zero means unknown.
	latency atomic.Int64
	// load is the ratio of running requests to slots that the upstream reports,
	// in thousandths. It is only a hint.
	load atomic.Int32
	// blockedUntil is an offset from the router's epoch in nanoseconds. The
	// upstream gets no requests before it.
	blockedUntil atomic.Int64
	// loanEnds is an offset from the router's epoch in nanoseconds, at which
	// the loan of the borrowed permits ends. Zero means none.
	loanEnds atomic.Int64
	// trialAt is an offset from the router's epoch in nanoseconds, from which a
	// suspected or cold upstream gets a trial request. Zero means none.
	trialAt atomic.Int64

	mu     sync.Mutex
	shares shares
	// held lists earlier shares that still limit this VM; see holdShares.
	held  []heldShares
	loans loans
	// active is false while the upstream is draining, its zone is out of
	// service, it isn't in the catalog, this VM no longer shares it, or this VM
	// isn't mature.
	active bool
	// inactive is the reason why the upstream gets no requests. It is empty if
	// the catalog permits them, also while this VM isn't mature.
	inactive Cause
	ramp     ramp
	health   health
	// spare is the number of requests beyond the guaranteed ones for which the
	// upstream has reported capacity, in units of 1/spareUnit.
	spare int
	// domain holds the VMs that share the upstream. It is immutable.
	domain *domain
	// topRankedVM is the ID of the VM with rank 0 for this upstream.
	topRankedVM string
}

func newUpstream(replica *catalog.Upstream, stats *serviceStats, shard *shardState, now time.Time) *upstream {
	u := &upstream{
		id:      replica.ID,
		address: replica.Address,
		zone:    replica.Zone,
		service: stats,
		shard:   shard,
		domain:  &domain{},
	}
	u.ramp.turnCold(now)
	u.cold.Store(true)
	u.health.lastAnswer = now
	return u
}

// matches reports whether this state belongs to the given replica of the
// catalog.
func (u *upstream) matches(replica *catalog.Upstream, shard *shardState) bool {
	return u.address == replica.Address && u.zone == replica.Zone && u.shard == shard
}

// spareUnit is the number of answers that add one spare request.
const spareUnit = 8

// refreshLimit recomputes the number of requests that this VM may run at the
// upstream. The caller holds mu.
func (u *upstream) refreshLimit() {
	limit := u.permittedRequests()
	if u.health.suspected {
		limit = 0
	}
	u.gate.setLimit(int32(limit))
	u.spareLimit.Store(int32(min(limit, u.spare/spareUnit)))
	u.cold.Store(!u.ramp.warm)
}

// permittedRequests returns the number of requests that this VM may run at the
// upstream unless it is suspected. The caller holds mu.
func (u *upstream) permittedRequests() int {
	if !u.active {
		return 0
	}
	if u.ramp.warm {
		return u.ownConnections()
	}
	own := u.ownPermits(u.ramp.stage) - u.loans.lent + u.loans.borrowed
	return max(min(own, u.ownConnections()), 0)
}

// reserve reserves one running request and reports whether the limits allow it.
func (u *upstream) reserve(beyondGuaranteed bool) bool {
	if !u.gate.tryAcquire(u.maxRunning(beyondGuaranteed)) {
		return false
	}
	u.shard.running.Add(1)
	return true
}

// maxRunning returns the bound on running requests that applies in addition to
// the gate's limit. On a ramp only the permits apply.
func (u *upstream) maxRunning(beyondGuaranteed bool) int32 {
	if (beyondGuaranteed || u.isFallback.Load()) && !u.cold.Load() {
		return u.spareLimit.Load()
	}
	return math.MaxInt32
}

// isUsable reports whether the upstream can take a request at the given offset
// from the router's epoch.
func (u *upstream) isUsable(at int64, beyondGuaranteed bool) bool {
	running, limit := u.gate.load()
	return running < min(limit, u.maxRunning(beyondGuaranteed)) && u.blockedUntil.Load() <= at
}

// cost estimates the time in nanoseconds until one more request would be
// answered. Lower is better.
func (u *upstream) cost() int64 {
	latency := u.latency.Load()
	if latency == 0 {
		latency = u.service.latency.Load()
	}
	busy := int64(u.gate.running()+1) * loadScale
	hint := int64(min(max(u.load.Load(), 0), maxLoadHint*loadScale))
	return (latency/loadScale + 1) * (busy + hint)
}

const (
	loadScale = 1000
	// maxLoadHint bounds the weight of a reported load to that of one running
	// request.
	maxLoadHint = 1
)

// latencyShift sets the weight of a new sample in a moving average to
// 1/2^latencyShift.
const latencyShift = 3

// updateAverage adds a sample to a moving average. Concurrent updates may lose
// a sample.
func updateAverage(a *atomic.Int64, sample int64) {
	old := a.Load()
	if old == 0 {
		a.Store(max(sample, 1))
		return
	}
	a.Store(max(old+(sample-old)>>latencyShift, 1))
}

// setDomain sets the VMs that share the upstream: the recipients of notices and
// ramp queries.
func (u *upstream) setDomain(d *domain, topRanked *sharer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.domain = d
	u.topRankedVM = ""
	if topRanked != nil {
		u.topRankedVM = topRanked.id
	}
}
