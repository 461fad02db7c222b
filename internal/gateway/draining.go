package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// drain is the planned stop of a VM.
type drain struct {
	// end is when the requests that still run are ended; nil before the stop.
	end atomic.Pointer[time.Time]
	// ended is canceled at the end.
	ended  context.Context
	cancel context.CancelFunc
}

func newDrain() *drain {
	d := &drain{}
	d.ended, d.cancel = context.WithCancel(context.Background())
	return d
}

// StartDraining makes all further responses close the caller's connection. From now on only
// requests are accepted that are sure to be answered until end; those that still run then get
// an error. It must be called once.
func (g *Gateway) StartDraining(end time.Time) {
	g.drain.end.Store(&end)
	time.AfterFunc(time.Until(end), g.drain.cancel)
}

func (g *Gateway) isDraining() bool { return g.drain.end.Load() != nil }

// timeLeft returns the time from a moment until running requests are ended, and false if the
// VM isn't draining.
func (g *Gateway) timeLeft(from time.Time) (time.Duration, bool) {
	end := g.drain.end.Load()
	if end == nil {
		return 0, false
	}
	return end.Sub(from), true
}

// refuseIfTooLate refuses a request that may outlast the VM: a caller can have another VM run
// what hasn't run, but not what was cut. One that may be repeated is accepted if it can be
// expected to be answered, and any other one if it ends in time even without an answer.
func (g *Gateway) refuseIfTooLate(in *incoming) *refusal {
	left, draining := g.timeLeft(time.Now())
	if !draining {
		return nil
	}
	needed := g.timeout(in)
	if in.route.Idempotent && in.route.Objective > 0 {
		needed = min(needed, in.route.Objective)
	}
	if needed <= left {
		return nil
	}
	return &refusal{ReasonStopping, otherVMRetryAfter}
}

// withDrain returns a context that also ends when running requests are ended.
func (g *Gateway) withDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.drain.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// isEnded reports whether running requests are being ended.
func (g *Gateway) isEnded() bool { return g.drain.ended.Err() != nil }

func (g *Gateway) closeIfDraining(h http.Header) {
	if g.isDraining() {
		h.Set("Connection", "close")
	}
}
