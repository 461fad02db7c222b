package gatewaydaemon

import (
	"context"
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/reachability"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// trackReachability updates whether this VM reaches upstreams until ctx ends.
func (d *Daemon) trackReachability(ctx context.Context) {
	t := time.NewTicker(reachability.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if d.reachable.Tick(time.Now()) {
				time.AfterFunc(probeDelay, d.probe)
			}
		case <-ctx.Done():
			return
		}
	}
}

// probeDelay is the time between two probes, beside that of the next tick.
const probeDelay = 150 * time.Millisecond

// probe opens a connection to a random instance, to find out whether an isolated VM
// reaches upstreams again. The connection is kept for requests.
func (d *Daemon) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	accepted := false
	if u, ok := randomInstance(d.follower.View()); ok {
		accepted = d.pools.Get(u).Reconnect(ctx) == nil
	}
	d.reachable.Probed(time.Now(), accepted)
}

// randomInstance returns an instance that may be sent requests.
func randomInstance(v *metadata.View) (routetable.Upstream, bool) {
	if v == nil {
		return routetable.Upstream{}, false
	}
	var out []routetable.Upstream
	for _, list := range v.Upstreams {
		for _, u := range list {
			if !u.Draining && !v.Evacuated[u.Zone] {
				out = append(out, u)
			}
		}
	}
	if len(out) == 0 {
		return routetable.Upstream{}, false
	}
	return out[rand.IntN(len(out))], true
}

// logReachability logs whether this VM reaches upstreams.
func (d *Daemon) logReachability(c reachability.Change) {
	d.log.Event("reachability").Str("state", c.State.String()).
		Int("silent_instances", c.SilentInstances).Dur("silence_ms", c.Silence).Send()
}
