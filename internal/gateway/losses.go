package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryecourse.example/ryecourse/internal/boottime"
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
	// linksWork reports whether this VM has opened a connection that works since a time,
	// or opens one now.
	linksWork func(ctx context.Context, since time.Time) bool

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
		ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
		defer cancel()
		state := c.pools.Get(u).CheckLiveness(ctx)
		if state == upstreamhttp.Ended && !c.confirm(lostAt) {
			state = upstreamhttp.Unknown
		}
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
	// linkChecks their number. While many instances are down, most checks find one of
	// them.
	linkCheckInterval = 100 * time.Millisecond
	linkChecks        = 10
)

// confirm reports whether this VM's links have worked since a connection was lost. If
// they haven't, a refused connection says nothing about the instance.
func (c *lossChecker) confirm(lostAt time.Time) bool {
	for range linkChecks {
		ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
		works := c.linksWork(ctx, lostAt)
		cancel()
		if works {
			return true
		}
		time.Sleep(linkCheckInterval)
	}
	return false
}

// linksWork implements lossChecker.linksWork.
func (g *Gateway) linksWork(ctx context.Context, since time.Time) bool {
	return g.reachable.OpenedSince(since) || g.Probe(ctx)
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
