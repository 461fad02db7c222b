package gatewaydaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/graceful"
)

const (
	// drainTime is how long a stopping VM accepts connections. The load
	// balancer removes it after two failed checks, one per second.
	drainTime = 3500 * time.Millisecond
	// shutdownMargin is the time reserved before the end of the grace period, and
	// lastResponsesMargin the time before that in which the running requests are ended, for
	// the way of their responses.
	shutdownMargin      = 400 * time.Millisecond
	lastResponsesMargin = 200 * time.Millisecond
	// lastRefusalsMargin is the time before that end in which connections without any request
	// so far are closed. A request that arrives on one just before is refused within it.
	lastRefusalsMargin = 50 * time.Millisecond
)

// shutdown reports that the VM isn't ready, accepts connections for drainTime, and then
// waits for running requests. Those that run until the end of the grace period get an error
// before it.
func (d *Daemon) shutdown(callers, peers *http.Server) {
	began := time.Now()
	d.log.Event("stop").Str("phase", "draining").Send()
	d.stopOnce.Do(func() { close(d.stopping) })
	grace := d.settings.Bounds.ShutdownGrace
	end := began.Add(grace - shutdownMargin)
	d.gateway.StartDraining(end.Add(-lastResponsesMargin))
	d.exchanger.StartDraining()
	time.Sleep(min(drainTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	drained, err := d.callerListener.Drain(ctx, end.Add(-lastRefusalsMargin))
	err = errors.Join(err, callers.Close())
	d.exchanger.Leave(ctx)
	// Queries of other VMs end first.
	_, peersErr := d.peerListener.Drain(ctx, time.Now())
	err = errors.Join(err, peersErr, peers.Close())
	e := d.log.Event("stop").Str("phase", "ended").Dur("took_ms", time.Since(began)).
		Int("busy_connections", drained.Open).Int("late_requests", drained.LateRequests)
	if err != nil {
		e.Str("error", err.Error())
	}
	e.Send()
}

// logCut logs a connection of a caller or of another VM that was closed while a request was in.
func (d *Daemon) logCut(c graceful.Cut) {
	d.log.Event("connection_cut").Stringer("caller", c.Caller).Dur("age_ms", c.Age).Send()
}
