package upstreamhttp

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/respbody"
)

// ErrNoConnection is returned if no connection became available in time.
var ErrNoConnection = errors.New("upstreamhttp: no connection became available in time")

// ErrClosedAtOnce is returned for a connection that was accepted and then closed before it
// carried a request.
var ErrClosedAtOnce = errors.New("upstreamhttp: the connection was closed at once")

// ErrNotWritten is returned for a request that was withdrawn before it was written, by its
// caller or because its pool was closed.
var ErrNotWritten = errors.New("upstreamhttp: the request was withdrawn")

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the connections to one instance of an upstream.
type Pool struct {
	address   string
	dial      Dial
	inspector Inspector
	memory    *respbody.Memory

	mu      sync.Mutex
	limit   int
	open    int // connections that are idle, in use or being opened
	idle    []*conn
	waiters []waiter
	closed  bool
	dials   uint64
}

// waiter is a request that waits for a connection.
type waiter struct {
	// ready receives a connection, or nil if one may be opened. It is closed if the request
	// is withdrawn.
	ready    chan *conn
	isWanted func() bool
}

// NewPool returns a pool without connections.
func NewPool(address string, limit int, dial Dial, inspector Inspector) *Pool {
	return &Pool{address: address, limit: max(limit, 1), dial: dial, inspector: inspector}
}

// ShareMemory bounds the memory of the pool's responses together with those of other pools. It
// must be called before the first request.
func (p *Pool) ShareMemory(m *respbody.Memory) { p.memory = m }

// SetLimit changes the largest number of connections. Those above it are closed
// when they become free.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Stats returns the numbers of open and idle connections and of those opened so
// far.
func (p *Pool) Stats() (open, idle int, dials uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.dials
}

// Waiting returns the number of requests that wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

// Close closes idle connections. Those in use are closed when they become free.
func (p *Pool) Close() {
	p.mu.Lock()
	idle, waiters := p.idle, p.waiters
	p.idle, p.waiters, p.closed = nil, nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
	for _, w := range waiters {
		close(w.ready)
	}
}

// WithdrawWaiting withdraws the requests that wait for a connection and are no longer wanted.
func (p *Pool) WithdrawWaiting() {
	p.mu.Lock()
	waiters := slices.Clone(p.waiters)
	p.mu.Unlock()
	for _, w := range waiters {
		if w.isWanted != nil && !w.isWanted() && p.removeWaiter(w.ready) {
			close(w.ready)
		}
	}
}

// removeWaiter removes a waiter from the queue and returns false if it isn't in it.
func (p *Pool) removeWaiter(ready chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.waiters {
		if p.waiters[i].ready == ready {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			return true
		}
	}
	return false
}

// get returns a free connection that hasn't carried the request. A waiter that receives nil
// instead of a connection tries again, since it may now be able to open one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	id := hashID(r.ID)
	isNew := func(c *conn) bool { return !c.hasCarried(id) }
	for {
		c, wait, err := p.reserve(isNew, r.IsWanted)
		if err != nil {
			return nil, err
		}
		if c != nil {
			if c.usable(time.Now()) {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if wait == nil {
			return p.openConn(ctx)
		}
		// A change before the request was in the queue has withdrawn nothing.
		if r.IsWanted != nil && !r.IsWanted() {
			p.cancelWait(wait)
			return nil, ErrNotWritten
		}
		select {
		case c, ok := <-wait:
			if !ok {
				return nil, ErrNotWritten
			}
			if c == nil {
				continue
			}
			if isNew(c) && c.usable(time.Now()) {
				return c, nil
			}
			c.close()
			return p.openConn(ctx) // in its place
		case <-ctx.Done():
			p.cancelWait(wait)
			return nil, ErrNoConnection
		}
	}
}

// reserve returns an idle connection, a channel to wait on, or neither if the
// pool may open a new connection. suits is nil if any connection does. If no idle one does,
// a new one takes the place of one of them.
func (p *Pool) reserve(suits func(*conn) bool, isWanted func() bool) (*conn, chan *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrNotWritten
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; suits == nil || suits(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil, nil
		}
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	if n := len(p.idle); n > 0 {
		p.idle[n-1].close()
		p.idle = p.idle[:n-1]
		return nil, nil, nil
	}
	w := waiter{ready: make(chan *conn, 1), isWanted: isWanted}
	p.waiters = append(p.waiters, w)
	return nil, w.ready, nil
}

// openConn opens the connection that reserve has counted.
func (p *Pool) openConn(ctx context.Context) (*conn, error) {
	c, err := p.dialConn(ctx)
	if err != nil {
		p.release()
	}
	return c, err
}

func (p *Pool) dialConn(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	nc, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, p.memory), nil
}

// Reconnect opens a connection, in place of an idle one if there is any, and keeps it for
// requests if it is still open after a time. Otherwise the idle one is kept, as it may
// work while new ones don't. It returns ErrNoConnection if all connections are in use, and
// ErrClosedAtOnce if the new one was closed.
func (p *Pool) Reconnect(ctx context.Context, openFor time.Duration) error {
	idle, wait, err := p.reserve(nil, nil)
	switch {
	case err != nil:
		return err
	case wait != nil:
		p.cancelWait(wait)
		return ErrNoConnection
	}
	c, err := p.dialConn(ctx)
	if err == nil {
		time.Sleep(openFor)
		if !c.usable(time.Now()) {
			c.close()
			err = ErrClosedAtOnce
		}
	}
	switch {
	case err == nil && idle != nil: // its place is taken by the new one
		idle.close()
		p.put(c)
	case err == nil:
		p.put(c)
	case idle != nil:
		p.put(idle)
	default:
		p.release()
	}
	return err
}

// cancelWait removes a waiter from the queue. What it has already received goes
// to the next waiter.
func (p *Pool) cancelWait(w chan *conn) {
	if p.removeWaiter(w) {
		return
	}
	if c, ok := <-w; ok {
		if c != nil {
			p.put(c)
		} else {
			p.wakeOne()
		}
	}
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.limit || !c.reusable() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.mu.Unlock()
		w.ready <- c
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	c.close()
	p.release()
}

// release removes a connection from the count and wakes a waiter.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.wakeOne()
}

// wakeOne makes the oldest waiter try again.
func (p *Pool) wakeOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 && p.open < p.limit {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w.ready <- nil
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var stale []*conn
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if c.expired(now) {
			stale = append(stale, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range stale {
		p.discard(c)
	}
}
