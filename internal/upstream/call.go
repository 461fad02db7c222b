package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

type counter struct{ n atomic.Uint64 }

// Inc adds one.
func (c *counter) Inc() { c.n.Add(1) }

// Load returns the count.
func (c *counter) Load() uint64 { return c.n.Load() }

// Sink takes the results of attempts. Deliver is called from reader goroutines
// and must not block.
type Sink interface {
	Deliver(scatter.Result)
}

// Call is one attempt on its way to an upstream. The fields in upper case are
// set before Pool.Start and don't change afterwards.
type Call struct {
	Attempt scatter.Attempt
	// AttemptID is the attempt's ID on the wire, unique over all queries.
	AttemptID string
	// RequestID is shared by the attempts of one query.
	RequestID string
	Service   string
	// Header holds the caller's headers that are passed on.
	Header []HeaderField
	Body   []byte
	Sink   Sink

	host    *host
	started time.Time

	mu       sync.Mutex
	phase    phase
	conn     *conn // set in phaseAttached
	canceled bool
	expiry   *time.Timer  // ends a trial, which its query doesn't cancel
	written  atomic.Int64 // bytes handed to the socket
}

// phase is how far a call has come.
type phase uint8

const (
	phaseWaiting  phase = iota // no connection yet, nothing sent
	phaseAttached              // a connection carries it
	phaseAnswered              // the reader has its answer
	phaseEnded                 // its result is delivered
)

// HeaderField is one header.
type HeaderField struct{ Name, Value string }

// Cancel gives the attempt up. A connection that carries it is closed. The
// result is still delivered.
func (c *Call) Cancel() {
	c.mu.Lock()
	c.canceled = true
	ph, cn := c.phase, c.conn
	c.mu.Unlock()
	switch ph {
	case phaseWaiting:
		c.host.dequeue(c)
		c.fail(scatter.OutcomeCanceled)
	case phaseAttached:
		cn.close()
	}
}

// scheduleExpiry makes a trial end at its deadline.
func (c *Call) scheduleExpiry() {
	if !c.Attempt.Target.Trial {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = time.AfterFunc(time.Until(c.Attempt.Deadline), c.Cancel)
}

// attach binds the call to a connection. It returns false for a call that was
// canceled or has ended.
func (c *Call) attach(cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled || c.phase != phaseWaiting {
		return false
	}
	c.phase, c.conn = phaseAttached, cn
	return true
}

// detach takes the call off a connection on which nothing was sent.
func (c *Call) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.conn = phaseWaiting, nil
}

// markAnswered marks the arrival of the answer. It returns false for a canceled
// call, whose connection must not be used again.
func (c *Call) markAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.conn = phaseAnswered, nil
	return !c.canceled
}

func (c *Call) isCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

// fail ends a call of which no byte was sent.
func (c *Call) fail(o scatter.Outcome) {
	c.finish(scatter.Result{
		Attempt: c.Attempt.ID,
		Report:  scatter.Report{Outcome: o, Load: -1},
		Verdict: verdict.NotRun,
	})
}

// finish delivers the result once.
func (c *Call) finish(r scatter.Result) {
	c.mu.Lock()
	if c.phase == phaseEnded {
		c.mu.Unlock()
		return
	}
	c.phase = phaseEnded
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.mu.Unlock()
	r.Report.Latency = time.Since(c.started)
	c.Sink.Deliver(r)
}
