package gatewaydaemon

import (
	"context"
	"net"
	"time"

	"ryecourse.example/ryecourse/internal/core/reachability"
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

// dialUpstream opens a connection to an upstream.
func (d *Daemon) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	nc, err := d.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		d.reachable.Connected(time.Now())
	}
	return nc, err
}

// probeDelay is the time between two probes, beside that of the next tick.
const probeDelay = 150 * time.Millisecond

// probe finds out whether an isolated VM reaches upstreams again.
func (d *Daemon) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	accepted := d.gateway.Probe(ctx)
	d.reachable.Probed(time.Now(), accepted)
}

// logReachability logs whether this VM reaches upstreams.
func (d *Daemon) logReachability(c reachability.Change) {
	d.log.Event("reachability").Str("state", c.State.String()).
		Int("silent_instances", c.SilentInstances).Dur("silence_ms", c.Silence).Send()
}
