package upstream

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/respbody"
)

// host is one upstream address with its connections.
type host struct {
	pool *Pool
	addr string
	// instance and snapshot cache the values of the last response's headers.
	instance, snapshot lastString

	mu      sync.Mutex
	idle    []*conn // newest last
	waiting []*Call // calls without a connection, oldest first
	total   int     // connections that are open or being opened
	opening int
	maxOpen int
	minOpen int
	// lostAt is the most recent time at which the upstream closed the last open
	// connection, or may have restarted while none was open. A call whose
	// replica was picked before that is not sent, because the picker didn't
	// know of the possible restart.
	lostAt time.Time
	// emptySince is when the last open connection was closed, by either side.
	// Zero means that none has been open yet.
	emptySince time.Time
}

func (h *host) unused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total == 0 && len(h.waiting) == 0
}

// setLimit applies new limits, closes surplus idle connections and opens
// connections in advance.
func (h *host) setLimit(maxOpen, minOpen int) {
	h.mu.Lock()
	h.maxOpen, h.minOpen = maxOpen, minOpen
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

// openMinLocked opens one connection if fewer than minOpen are open. The next
// one is opened once it is established, so that an upstream gets one new
// connection at a time.
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

// uncountLocked removes a connection from the count. It may be called twice.
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

// start sends the call on an idle connection, or queues it for the next free
// one.
func (h *host) start(c *Call) {
	for {
		cn, ok := h.idleOrQueue(c)
		if !ok {
			c.fail(scatter.OutcomeCanceled) // not a failure of the upstream
			return
		}
		if cn == nil || cn.begin(c) != beginClosed {
			return
		}
	}
}

// pickedBeforeLoss reports whether the call's replica was picked at lostAt or
// before.
func (h *host) pickedBeforeLoss(c *Call) bool {
	return !h.lostAt.IsZero() && !c.Attempt.PickedAt.After(h.lostAt)
}

// mayHaveRestarted reports whether the upstream may have restarted unnoticed,
// which is possible while no connection to it is open. A call whose replica was
// picked as warm is then not sent, and the loss is reported to the picker. A
// trial request may open the first connection.
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

// idleOrQueue returns an idle connection, or queues the call and returns nil.
// It returns false if this VM may hold no connection to the upstream, or if the
// upstream may have restarted since the replica was picked.
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
	dialer := net.Dialer{Timeout: dialTimeout, Control: respbody.LimitReceiveBuffer}
	nc, err := dialer.Dial("tcp", h.addr)
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

// release gives a free connection to the oldest waiting call, or makes it idle.
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

// nextWaiting returns the oldest waiting call. It returns true if the
// connection is not needed: it is then idle, or closed because the limit is
// exceeded.
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

// connClosed removes a closed connection, cancels the waiting calls that must
// not be sent and opens another connection if calls wait.
func (h *host) connClosed(cn *conn, byUpstream bool) {
	outdated := h.removeConn(cn, byUpstream)
	for _, c := range outdated {
		c.fail(scatter.OutcomeCanceled)
	}
}

// removeConn removes a connection and returns the waiting calls that must not
// be sent. If the upstream closed the last connection, that is reported before
// another one is opened.
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

// dequeue removes a canceled call from the queue.
func (h *host) dequeue(c *Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.waiting, c); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
}

// lastString caches the last string, so that equal bytes need no new
// allocation.
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
