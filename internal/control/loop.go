// Package control owns the control state of a daemon: the configuration, the
// VM list, and what follows from them.
//
// One goroutine, the loop, owns all of it. Other goroutines post functions that
// run on the loop, one at a time. I/O runs elsewhere and posts its results. The
// loop publishes immutable views that traffic goroutines read without locks.
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
	// pauseThreshold is the time between two ticks from which on the process is
	// taken to have been paused.
	pauseThreshold = time.Second
	// queueLength bounds the functions that wait for the loop.
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

// Post hands f to the loop. It returns false when the loop has ended.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case l.work <- f:
		return true
	case <-l.done:
		return false
	}
}

// TryPost is Post for goroutines that must not wait. It returns false when the
// queue is full, too.
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

// Call runs f on the loop and waits for it. It returns false when the loop or
// the context ended before f began; f never runs then.
func (l *Loop) Call(ctx context.Context, f func(now time.Time)) bool {
	var claimed atomic.Bool // by the loop or by the caller who gives up
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

// Ticker is told of the passing of time.
type Ticker interface {
	// Tick is called on the loop at short intervals.
	Tick(now time.Time)
	// Paused is called before Tick when the process has been paused.
	Paused(now time.Time, pause time.Duration)
}

// Run owns the loop until the context ends.
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
