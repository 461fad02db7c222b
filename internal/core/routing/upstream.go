package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// upstream is what this VM knows of one upstream that it has a share of.
//
// Traffic goroutines read the atomics without the lock. The fields below mu are
// written by Done (traffic) and by Update, Tick and the notices (control).
type upstream struct {
	id, address, zone string
	service           *serviceStats
	shard             *shardState
	// isFallback tells whether this VM's home is elsewhere.
	isFallback atomic.Bool

	// gate admits this VM's requests.
	gate gate
	// spareLimit is the number that it may run beyond what the shard assures.
	spareLimit atomic.Int32
	// cold tells whether the upstream is on its ramp.
	cold atomic.Bool
	// latency is a moving average in nanoseconds. Zero means unknown.
	latency atomic.Int64
	// load is the upstream's reported running requests over its slots, in
	// thousandths. It is a hint.
	load atomic.Int32
	// blockedUntil is an offset from the router's epoch in nanoseconds, before
	// which the upstream gets nothing.
	blockedUntil atomic.Int64
	// loanEnds is an offset from the router's epoch in nanoseconds, at which
	// borrowed permits end. Zero means none.
	loanEnds atomic.Int64
	// trialAt is an offset from the router's epoch in nanoseconds, at which a
	// suspected or cold upstream gets one request out of turn. Zero means none.
	trialAt atomic.Int64

	mu     sync.Mutex
	shares shares
	// held holds earlier shares that still bind this VM; see holdShares.
	held  []heldShares
	loans loans
	// active is false while the upstream drains, its zone is out, or it is not
	// in the catalog, and while this VM is new.
	active bool
	// inactive says why the catalog keeps work away. Empty: it does not.
	inactive Cause
	ramp     ramp
	health   health
	// spare is the number of requests beyond the assured ones that the upstream
	// has shown room for, in units of 1/spareUnit.
	spare int
	// domain holds the VMs that share the upstream. It is immutable.
	domain *domain
	// topRankedVM is the ID of the VM of rank zero.
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

// matches reports whether the state belongs to the replica of the catalog.
func (u *upstream) matches(replica *catalog.Upstream, shard *shardState) bool {
	return u.address == replica.Address && u.zone == replica.Zone && u.shard == shard
}

// spareUnit is the number of answers that make room for one more request.
const spareUnit = 8

// refreshLimit recomputes the number of requests that this VM may run. The
// caller holds mu.
func (u *upstream) refreshLimit() {
	limit := u.permittedRequests()
	if u.health.suspected {
		limit = 0
	}
	u.gate.setLimit(int32(limit))
	u.spareLimit.Store(int32(min(limit, u.spare/spareUnit)))
	u.cold.Store(!u.ramp.warm)
}

// permittedRequests returns the number of requests that this VM may run while the
// upstream answers. The caller holds mu.
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

// reserve takes one of the running requests that the limit allows.
func (u *upstream) reserve(beyondGuaranteed bool) bool {
	if !u.gate.tryAcquire(u.maxRunning(beyondGuaranteed)) {
		return false
	}
	u.shard.running.Add(1)
	return true
}

// maxRunning bounds the running requests besides the limit. On a ramp the permits
// alone decide.
func (u *upstream) maxRunning(beyondGuaranteed bool) int32 {
	if (beyondGuaranteed || u.isFallback.Load()) && !u.cold.Load() {
		return u.spareLimit.Load()
	}
	return math.MaxInt32
}

// isUsable reports whether a request may go to the upstream at an offset from
// the router's epoch.
func (u *upstream) isUsable(at int64, beyondGuaranteed bool) bool {
	running, limit := u.gate.load()
	return running < min(limit, u.maxRunning(beyondGuaranteed)) && u.blockedUntil.Load() <= at
}

// cost ranks upstreams for a choice: the expected time until one more request
// is answered, in nanoseconds.
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
	// maxLoadHint bounds how much a reported load weighs: as one request.
	maxLoadHint = 1
)

// latencyShift is the weight of a new sample in a moving average, as a power of
// two.
const latencyShift = 3

// updateAverage moves a moving average towards a sample. Concurrent updates may lose
// a sample.
func updateAverage(a *atomic.Int64, sample int64) {
	old := a.Load()
	if old == 0 {
		a.Store(max(sample, 1))
		return
	}
	a.Store(max(old+(sample-old)>>latencyShift, 1))
}

// setDomain remembers whom to tell and to ask about the upstream.
func (u *upstream) setDomain(d *domain, topRanked *sharer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.domain = d
	u.topRankedVM = ""
	if topRanked != nil {
		u.topRankedVM = topRanked.id
	}
}
