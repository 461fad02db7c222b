package upstream

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

// host is one upstream address with its connections.
type host struct {
	pool *Pool
	addr string
	// instance and snapshot are what the last answer carried.
	instance, snapshot lastString

	mu      sync.Mutex
	idle    []*conn // newest last
	waiting []*Call // calls without a connection, oldest first
	total   int     // open and opening connections
	opening int
	maxOpen int
	minOpen int
	// lostAt is when the upstream last closed the last connection. A call whose
	// replica was picked before is not sent: the picker took the upstream for the
	// one before its restart.
	lostAt time.Time
	// emptySince is when the last connection was closed, by either side. Zero: none
	// has been open yet.
	emptySince time.Time
}

func (h *host) unused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total == 0 && len(h.waiting) == 0
}

// setLimit applies a share, closes surplus idle connections and opens ahead.
func (h *host) setLimit(limit, warm int) {
	h.mu.Lock()
	h.maxOpen, h.minOpen = limit, warm
	var surplus []*conn
	for h.total > h.maxOpen && len(h.idle) > 0 {
		cn := h.idle[0]
		h.idle = h.idle[1:]
		h.uncountLocked(cn)
		surplus = append(surplus, cn)
	}
	var failed []*Call
	if h.maxOpen == 0 {
		failed, h.waiting = h.waiting, nil
	}
	h.openMinLocked()
	h.mu.Unlock()
	for _, c := range surplus {
		c.close()
	}
	for _, c := range failed {
		c.fail(scatter.OutcomeCanceled)
	}
}

// openMinLocked opens one connection if fewer than warm are open. The next
// one follows when it is there, so that an upstream opens one at a time.
func (h *host) openMinLocked() {
	if h.opening > 0 || h.total >= min(h.minOpen, h.maxOpen) {
		return
	}
	h.dialLocked()
}

func (h *host) dialLocked() {
	h.total++
	h.opening++
	if h.pool.dials.Go(h.dial) != nil { // the pool is closed
		h.total--
		h.opening--
	}
}

// uncountLocked stops counting a connection. It may be called twice.
func (h *host) uncountLocked(cn *conn) {
	if !cn.counted {
		return
	}
	cn.counted = false
	h.total--
	if h.total == h.opening {
		h.emptySince = time.Now()
	}
}

// start gives the call an idle connection, or queues it for the next one.
func (h *host) start(c *Call) {
	for {
		cn, ok := h.idleOrQueue(c)
		if !ok {
			c.fail(scatter.OutcomeCanceled) // no fault of the upstream
			return
		}
		if cn == nil || cn.begin(c) != beginClosed {
			return
		}
	}
}

// pickedBeforeLoss tells whether the call's replica was picked before the loss of the
// last connection.
func (h *host) pickedBeforeLoss(c *Call) bool {
	return !h.lostAt.IsZero() && !c.Attempt.PickedAt.After(h.lostAt)
}

// mayHaveRestarted tells whether an upstream may have restarted unseen: without an open
// connection nothing would have told. A call whose replica was picked as warm is
// not sent then, and the picker is told. A trial may open the first connection.
func (h *host) mayHaveRestarted(c *Call) bool {
	if h.pool.onLost == nil || c.Attempt.Target.Trial || h.total > h.opening {
		return false
	}
	if !h.emptySince.IsZero() && time.Since(h.emptySince) < minRestartTime {
		return false
	}
	h.pool.onLost(h.addr)
	h.lostAt = time.Now()
	return true
}

// idleOrQueue returns an idle connection, or queues the call and returns nil. It
// returns false when this VM has no share of the upstream's connections, or when
// the call is outdated.
func (h *host) idleOrQueue(c *Call) (*conn, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.maxOpen == 0 || h.pickedBeforeLoss(c) || h.mayHaveRestarted(c) {
		return nil, false
	}
	if n := len(h.idle); n > 0 {
		cn := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return cn, true
	}
	h.waiting = append(h.waiting, c)
	h.dialForWaitingLocked()
	return nil, true
}

func (h *host) dialForWaitingLocked() {
	if h.total < h.maxOpen && h.opening < len(h.waiting) {
		h.dialLocked()
	}
}

// dial opens one connection on a pool worker.
func (h *host) dial() {
	h.pool.Stats.Dials.Inc()
	nc, err := net.DialTimeout("tcp", h.addr, dialTimeout)
	if err != nil {
		h.dialFailed()
		return
	}
	cn := newConn(h, nc)
	h.mu.Lock()
	h.opening--
	h.mu.Unlock()
	h.release(cn)
	go cn.readLoop()
}

func (h *host) dialFailed() {
	h.pool.Stats.DialErrors.Inc()
	h.mu.Lock()
	h.opening--
	h.total--
	failed := h.waiting
	h.waiting = nil
	h.mu.Unlock()
	for _, c := range failed {
		c.fail(scatter.OutcomeConnectFailed)
	}
}

// release hands a free connection to the oldest waiting call, or keeps it.
func (h *host) release(cn *conn) {
	for {
		c, done := h.nextWaiting(cn)
		if done {
			return
		}
		if cn.begin(c) == beginSent {
			return
		}
	}
}

// nextWaiting returns the oldest waiting call. It returns true when there is none;
// the connection is then idle, or closed because the share has shrunk.
func (h *host) nextWaiting(cn *conn) (*Call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total > h.maxOpen {
		h.uncountLocked(cn)
		cn.close()
		return nil, true
	}
	if len(h.waiting) == 0 {
		h.idle = append(h.idle, cn)
		h.openMinLocked()
		return nil, true
	}
	c := h.waiting[0]
	h.waiting = h.waiting[1:]
	return c, false
}

// connClosed forgets a closed connection and opens another one if calls wait.
func (h *host) connClosed(cn *conn, byUpstream bool) {
	outdated := h.removeConn(cn, byUpstream)
	for _, c := range outdated {
		c.fail(scatter.OutcomeCanceled)
	}
}

// removeConn returns the waiting calls that are outdated. The loss of the last
// connection by the upstream's doing is reported before another one is opened.
func (h *host) removeConn(cn *conn, byUpstream bool) []*Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.idle, cn); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
	}
	counted := cn.counted
	h.uncountLocked(cn)
	var failed []*Call
	if byUpstream && counted && h.total == h.opening {
		if h.pool.onLost != nil {
			h.pool.onLost(h.addr)
		}
		h.lostAt = time.Now()
		failed, h.waiting = h.waiting, nil
	}
	h.dialForWaitingLocked()
	h.openMinLocked()
	return failed
}

// dequeue takes a canceled call out of the queue.
func (h *host) dequeue(c *Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.waiting, c); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
}

// lastString remembers the last text, so that the same bytes need no new string.
type lastString struct{ last atomic.Pointer[string] }

// intern returns b as a string.
func (t *lastString) intern(b []byte) string {
	if s := t.last.Load(); s != nil && *s == string(b) {
		return *s
	}
	s := string(b)
	t.last.Store(&s)
	return s
}
