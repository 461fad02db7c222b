// Package control owns the control state of a daemon: the configuration, the
// VM list, and the state derived from them. `ryecourse serve` uses it.
//
// A single goroutine, the control goroutine, runs the event loop and owns this
// state; to run on the loop is to run on this goroutine. Other goroutines post
// functions to the loop, which runs them one at a time. I/O runs on worker pools,
// which post the results to the loop. The loop publishes immutable views, each a
// catalog and a VM list, that traffic goroutines read without locks.
//
// The quota manager, the router and the disseminator do no I/O: they return
// actions, which this package executes. Slots are the numbered parts of a zone's
// share of every limit (package lease). A claim is the wire form of a lease.Digest,
// a process's summary of its view of the VM list; the digests that daemons exchange
// are those of package dissemination. A view is stale if the control goroutine
// hasn't confirmed it lately. A router is mature once this VM uses its shares of the
// upstreams. A ramp is the warm-up of a cold upstream; daemons share its progress
// by notices and ramp queries.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// tickInterval is the time between two ticks of the loop.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two loop iterations above which the
	// process is considered to have been paused.
	pauseThreshold = time.Second
	// queueLength is the maximum number of posted functions that wait for the
	// loop.
	queueLength = 1024
)

// Loop runs functions one at a time on one goroutine.
type Loop struct {
	work chan func(now time.Time)
	done chan struct{}
}

// NewLoop returns a loop that is not running yet.
func NewLoop() *Loop {
	return &Loop{work: make(chan func(time.Time), queueLength), done: make(chan struct{})}
}

// Post queues f for the loop and blocks while the queue is full. It returns false
// if the loop has ended.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case l.work <- f:
		return true
	case <-l.done:
		return false
	}
}

// TryPost is like Post but doesn't block. It also returns false if the queue is
// full.
func (l *Loop) TryPost(f func(now time.Time)) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.work <- f:
		return true
	default:
		return false
	}
}

// Call runs f on the loop and waits until it has returned. It returns false if
// the loop or the context ended before f began; f doesn't run in that case.
func (l *Loop) Call(ctx context.Context, f func(now time.Time)) bool {
	var claimed atomic.Bool // set once, by the loop that runs f or by the caller that gives up
	ran := make(chan struct{})
	work := func(now time.Time) {
		if claimed.Swap(true) {
			return
		}
		defer close(ran)
		f(now)
	}
	select {
	case l.work <- work:
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	if claimed.Swap(true) {
		<-ran
		return true
	}
	return false
}

// Ticker receives the ticks of a Loop.
type Ticker interface {
	// Tick is called on the loop once per tickInterval.
	Tick(now time.Time)
	// Paused is called on the loop when the process has been paused, before the
	// next tick or posted function runs.
	Paused(now time.Time, pause time.Duration)
}

// Run runs the loop on the calling goroutine until the context ends.
func (l *Loop) Run(ctx context.Context, t Ticker) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		var f func(time.Time)
		select {
		case <-ctx.Done():
			return
		case f = <-l.work:
		case <-ticker.C:
			f = t.Tick
		}
		now := time.Now()
		if pause := membership.Elapsed(last, now); pause > pauseThreshold {
			t.Paused(now, pause)
		}
		last = now
		f(now)
	}
}
