package routing

import (
	"sync"
	"sync/atomic"
)

// upstream is what this VM knows of one upstream that it has a share of.
//
// Traffic goroutines read the atomics without the lock. The fields below mu are
// written by Done (traffic) and by Update, Tick and the notices (control).
type upstream struct {
	id, address, zone string
	service           *serviceStats

	// running is the number of requests of this VM that are reserved.
	running atomic.Int32
	// limit is the number of requests that this VM may run now.
	limit atomic.Int32
	// latency is a moving average in nanoseconds. Zero means unknown.
	latency atomic.Int64
	// load is the upstream's reported running requests over its slots, in
	// thousandths. It is a hint.
	load atomic.Int32
	// blockedUntil is an offset from the router's epoch in nanoseconds, before
	// which the upstream gets nothing.
	blockedUntil atomic.Int64
	// probeAt is an offset from the router's epoch in nanoseconds, at which a
	// suspected upstream gets one request. Zero means not suspected.
	probeAt atomic.Int64

	mu     sync.Mutex
	shares shares
	// held holds earlier shares that still bind this VM; see holdShares.
	held []heldShares
	// active is false while the upstream drains, its zone is out, or it is not
	// in the catalog.
	active bool
	// inactive says why the catalog keeps work away. Empty: it does not.
	inactive Cause
	ramp     ramp
	health   health
	// spare is the number of requests beyond the owned slots, in units of
	// spareUnit.
	spare int
}

// spareUnit is the resolution of the spare requests.
const spareUnit = 8

// refreshLimit recomputes the number of requests that this VM may run. The
// caller holds mu.
func (u *upstream) refreshLimit() {
	limit := u.allowed()
	if u.health.suspected {
		limit = 0
	}
	u.limit.Store(int32(limit))
}

// allowed returns the number of requests that this VM may run while the
// upstream answers. The caller holds mu.
func (u *upstream) allowed() int {
	if !u.active {
		return 0
	}
	if !u.ramp.warm {
		return min(u.ownPermits(u.ramp.stage), u.ownConnections())
	}
	return min(u.ownSlots()+u.spare/spareUnit, u.ownConnections())
}

// reserve takes one of the running requests that the limit allows.
func (u *upstream) reserve() bool {
	for {
		n := u.running.Load()
		if n >= u.limit.Load() {
			return false
		}
		if u.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// isUsable reports whether a request may go to the upstream at an offset from
// the router's epoch.
func (u *upstream) isUsable(at int64) bool {
	return u.running.Load() < u.limit.Load() && u.blockedUntil.Load() <= at
}

// cost ranks upstreams for a choice: the expected time until one more request
// is answered, in nanoseconds.
func (u *upstream) cost() int64 {
	latency := u.latency.Load()
	if latency == 0 {
		latency = u.service.latency.Load()
	}
	busy := int64(u.running.Load()+1) * 1000
	hint := int64(min(max(u.load.Load(), 0), maxLoadHint))
	return (latency + 1) / 1000 * (busy + hint)
}

// maxLoadHint bounds how much a reported load weighs, in thousandths.
const maxLoadHint = 1000

// serviceStats is what the replicas of a service have in common.
type serviceStats struct {
	// latency is a moving average over all warm replicas in nanoseconds.
	latency atomic.Int64
}

// latencyShift is the weight of a new sample in a moving average, as a power of
// two.
const latencyShift = 3

// average moves a moving average towards a sample. Concurrent updates may lose
// a sample.
func average(a *atomic.Int64, sample int64) {
	old := a.Load()
	if old == 0 {
		a.Store(max(sample, 1))
		return
	}
	a.Store(max(old+(sample-old)>>latencyShift, 1))
}
