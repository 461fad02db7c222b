package gatewaydaemon

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
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
			if n := d.reachable.TakeOpenProbes(); n > 0 {
				go d.probeOpening(n)
			}
		case <-ctx.Done():
			return
		}
	}
}

// dialUpstream opens a connection to an upstream.
func (d *Daemon) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	began := time.Now()
	nc, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil && isLinkFailure(err, time.Since(began)) {
		d.reachable.OpenFailed(address)
	}
	return nc, err
}

// minDialTime is the time from which a connection that isn't accepted has failed, even if
// the dial was given up before its timeout.
const minDialTime = 120 * time.Millisecond

// isLinkFailure reports whether the instance, or the link to it, made a dial fail.
func isLinkFailure(err error, took time.Duration) bool {
	for _, e := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, e) {
			return true
		}
	}
	return errors.Is(err, os.ErrDeadlineExceeded) && took >= minDialTime
}

// probeOpening finds out whether connections to instances other than those that have
// failed can be opened.
func (d *Daemon) probeOpening(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d.gateway.ProbeOthers(ctx, n)
	d.reachable.OpenProbed()
}

// probeDelay is the time between two probes, beside that of the next tick.
const probeDelay = 150 * time.Millisecond

// probe finds out whether an isolated VM reaches upstreams again.
func (d *Daemon) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	opened := d.gateway.Probe(ctx)
	d.reachable.Probed(time.Now(), opened)
}

// logReachability logs whether this VM reaches upstreams.
func (d *Daemon) logReachability(c reachability.Change) {
	d.log.Event("reachability").Str("state", c.State.String()).
		Int("silent_instances", c.SilentInstances).Dur("silence_ms", c.Silence).
		Int("unopened_instances", c.UnopenedInstances).Send()
}
