package gateway

import (
	"context"
	"sync"
	"time"

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
	time.AfterFunc(livenessDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
		defer cancel()
		state := c.pools.Get(u).CheckLiveness(ctx)
		c.mu.Lock()
		waiting := c.waiting[u.ID]
		delete(c.waiting, u.ID)
		c.mu.Unlock()
		for _, done := range waiting {
			done(state)
		}
	})
}

// onConnectionLost logs a connection that its instance closed with a request on it, and
// whether the instance has ended.
func (g *Gateway) onConnectionLost(in *incoming, u routetable.Upstream, a *upstreamhttp.Result) {
	ranFor := time.Since(a.SentAt)
	g.losses.check(u, func(state upstreamhttp.Liveness) {
		g.log.Event("upstream_lost").Str("request", in.info.ID).Str("fingerprint", in.fingerprint.String()).
			Str("service", u.Service).Str("upstream", u.ID).Dur("ran_ms", ranFor).Str("state", state.String()).Send()
	})
}
