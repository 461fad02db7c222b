package gatewaydaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	// idlePollInterval is the time between two checks for connections with a request.
	idlePollInterval = 20 * time.Millisecond
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
	cut := d.callerConns.drain(ctx, callers)
	err := callers.Close()
	d.exchanger.Leave(ctx)
	err = errors.Join(err, peers.Shutdown(ctx)) // queries of other VMs end first
	e := d.log.Event("stop").Str("phase", "ended").Dur("took_ms", time.Since(began)).Int64("busy_connections", cut)
	if err != nil {
		e.Str("error", err.Error())
	}
	e.Send()
}

// callerConns counts the callers' connections with a request, or without any yet.
type callerConns struct {
	listener *graceful.Listener
	busy     atomic.Int64
	state    sync.Map // of net.Conn to whether it is counted
}

// onState implements http.Server.ConnState.
func (t *callerConns) onState(c net.Conn, s http.ConnState) {
	t.listener.OnState(c, s)
	isBusy := s == http.StateNew || s == http.StateActive
	was, _ := t.state.Swap(c, isBusy)
	if s == http.StateClosed {
		t.state.Delete(c)
	}
	if was, _ := was.(bool); was != isBusy {
		if isBusy {
			t.busy.Add(1)
		} else {
			t.busy.Add(-1)
		}
	}
}

// logCut logs a caller's connection that was closed while a request was in.
func (d *Daemon) logCut(c graceful.Cut) {
	d.log.Event("connection_cut").Stringer("caller", c.Caller).Dur("age_ms", c.Age).Send()
}

// drain closes the listener and idle connections, and waits until no connection has a request.
// It returns the number of those that have one when ctx ends. http.Server.Shutdown would close
// connections whose first request arrives now without a response to it.
func (t *callerConns) drain(ctx context.Context, s *http.Server) int64 {
	t.listener.Close()
	s.SetKeepAlivesEnabled(false)
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for t.busy.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return t.busy.Load()
		}
	}
	return 0
}
