package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

const (
	// livenessDelay is the time between a lost connection and the check of its instance,
	// in which a process that ends closes its other connections and its listener.
	livenessDelay = 20 * time.Millisecond
	// livenessTimeout limits the check.
	livenessTimeout = 400 * time.Millisecond
)

// lossChecker checks whether instances that have closed a connection with a request on
// it have ended. Losses at one instance share a check.
type lossChecker struct {
	pools *Pools
	// opensConnections reports whether this VM has opened a connection that works since a
	// time, or opens one now. Responses show nothing: they may come over open connections
	// while new ones are refused.
	opensConnections func(ctx context.Context, since time.Time) bool

	// confirming is held while connections are opened, so that losses share them.
	confirming sync.Mutex

	mu      sync.Mutex
	waiting map[string][]func(upstreamhttp.Liveness) // by instance ID
}

// check calls done with the state of the instance.
func (c *lossChecker) check(u routetable.Upstream, done func(upstreamhttp.Liveness)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[u.ID] = append(c.waiting[u.ID], done)
	if len(c.waiting[u.ID]) > 1 {
		return
	}
	lostAt := time.Now()
	time.AfterFunc(livenessDelay, func() {
		state := c.liveness(u, lostAt)
		c.mu.Lock()
		waiting := c.waiting[u.ID]
		delete(c.waiting, u.ID)
		c.mu.Unlock()
		for _, done := range waiting {
			done(state)
		}
	})
}

const (
	// linkCheckInterval is the time between two checks of this VM's own links, and
	// linkChecks their number. While many instances are down, some checks find none else.
	linkCheckInterval = 50 * time.Millisecond
	linkChecks        = 20
	// linkCheckInstances is the number of instances that a check tries.
	linkCheckInstances = 4
)

// liveness returns whether an instance runs that closed a connection at a time. If this
// VM can't open connections to others either, a refused one says nothing about the
// instance. If it couldn't for a while, the instance is checked again, as the refusal may
// come from that time.
func (c *lossChecker) liveness(u routetable.Upstream, lostAt time.Time) upstreamhttp.Liveness {
	check := func() upstreamhttp.Liveness {
		ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
		defer cancel()
		return c.pools.Get(u).CheckLiveness(ctx)
	}
	state := check()
	if state != upstreamhttp.Ended {
		return state
	}
	for i := range linkChecks {
		if !c.confirm(lostAt) {
			time.Sleep(linkCheckInterval)
			continue
		}
		if i == 0 {
			return upstreamhttp.Ended
		}
		return check()
	}
	return upstreamhttp.Unknown
}

// confirm reports whether this VM can open connections.
func (c *lossChecker) confirm(lostAt time.Time) bool {
	c.confirming.Lock()
	defer c.confirming.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	return c.opensConnections(ctx, lostAt)
}

// opensConnections implements lossChecker.opensConnections.
func (g *Gateway) opensConnections(ctx context.Context, since time.Time) bool {
	if g.reachable.OpenedSince(since) {
		return true
	}
	opened := make(chan bool, linkCheckInstances)
	instances := randomInstances(g.metadata.View(), linkCheckInstances)
	for _, u := range instances {
		go func() { opened <- g.open(ctx, u) }()
	}
	for range instances {
		if <-opened {
			return true
		}
	}
	return false
}

// maxLosses is the number of lost connections and earlier crashes from which a request
// without a response isn't retried or hedged.
const maxLosses = 3

// maySpreadCrash reports whether another attempt could crash another instance.
func (q *proxyRequest) maySpreadCrash() bool {
	if q.responded.Load() {
		return false
	}
	if q.earlierCrashes+int(q.lost.Load()) >= maxLosses {
		return true
	}
	_, quarantined := q.g.quarantine.Quarantined(boottime.Now(), uint64(q.in.fingerprint))
	return quarantined
}

// minAwaitingShards is the number of shards from which it is unlikely that all are slow at
// once for reasons of their own.
const minAwaitingShards = 3

// awaitsFirstResponse reports whether a query isn't hedged because none of its shards has
// responded. Such a query may be about to end the upstreams that run it, before the first
// of them is known to be lost; hedges would end a second one of each shard. If the VM's
// links have failed, it is handed over before that.
func (q *proxyRequest) awaitsFirstResponse(kind fanout.Kind) bool {
	isHedge := kind == fanout.Hedge || kind == fanout.UrgentHedge
	return isHedge && len(q.services) >= minAwaitingShards && !q.responded.Load()
}

// onConnectionLost finds out whether an instance that closed a connection with a request
// on it has ended, and if so, records the crash.
func (q *proxyRequest) onConnectionLost(u routetable.Upstream, a *upstreamhttp.Result) {
	ranFor := time.Since(a.SentAt)
	q.g.losses.check(u, func(state upstreamhttp.Liveness) {
		if state == upstreamhttp.Ended && !q.responded.Load() {
			q.g.quarantine.AddCrash(boottime.Now(), uint64(q.in.fingerprint), instanceHash(u))
		}
		q.g.log.Event("upstream_lost").Str("request", q.in.info.ID).Str("fingerprint", q.in.fingerprint.String()).
			Str("service", u.Service).Str("upstream", u.ID).Dur("ran_ms", ranFor).Str("state", state.String()).
			Int("crashes", q.g.quarantine.Crashes(uint64(q.in.fingerprint))).Send()
	})
}

// instanceHash identifies one run of an upstream's process.
func instanceHash(u routetable.Upstream) uint64 {
	return xxhash.Sum64String(u.ID + "/" + strconv.FormatInt(u.Born, 10))
}
