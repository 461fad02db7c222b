package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/respbody"
)

type counter struct{ n atomic.Uint64 }

// Inc adds one.
func (c *counter) Inc() { c.n.Add(1) }

// Load returns the count.
func (c *counter) Load() uint64 { return c.n.Load() }

// Sink receives the results of attempts. Deliver is called from reader
// goroutines and must not block.
type Sink interface {
	Deliver(scatter.Result)
}

// Call is one attempt at an upstream. The exported fields are set before
// Pool.Start and don't change afterwards.
type Call struct {
	Attempt scatter.Attempt
	// AttemptID is the attempt's ID on the wire, unique across all queries.
	AttemptID string
	// RequestID is shared by the attempts of one query.
	RequestID string
	Service   string
	// Header holds the caller's headers that are forwarded.
	Header []HeaderField
	Body   []byte
	Sink   Sink
	// Hold is charged for the response; nil for no bound.
	Hold *Hold

	host    *host
	started time.Time
	charge  respbody.Charge // of the response, used by the connection's reader

	mu       sync.Mutex
	phase    phase
	conn     *conn // set in phaseAttached
	canceled bool
	expiry   *time.Timer  // cancels a trial request, which its query doesn't cancel
	written  atomic.Int64 // bytes accepted by the socket
}

// phase is the progress of a call.
type phase uint8

const (
	phaseWaiting  phase = iota // no connection yet, nothing sent
	phaseAttached              // assigned to a connection
	phaseAnswered              // the reader has read the response
	phaseEnded                 // the result is delivered
)

// HeaderField is one HTTP header.
type HeaderField struct{ Name, Value string }

// Cancel cancels the attempt. A connection that it is assigned to is closed.
// The result is still delivered.
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

// scheduleExpiry cancels a trial request at its deadline.
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

// detach releases the call from a connection on which nothing was sent.
func (c *Call) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.conn = phaseWaiting, nil
}

// markAnswered records that the response was read. It returns false for a
// canceled call, whose connection must not be reused.
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
