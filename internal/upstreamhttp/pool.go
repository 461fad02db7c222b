package upstreamhttp

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// ErrNoConnection is returned if no connection became available in time, or if
// the pool is closed.
var ErrNoConnection = errors.New("upstreamhttp: no connection became available in time")

// ErrClosedAtOnce is returned for a connection that was accepted and then closed before it
// carried a request.
var ErrClosedAtOnce = errors.New("upstreamhttp: the connection was closed at once")

// ErrNotWritten is returned for a request that its caller withdrew before it was written.
var ErrNotWritten = errors.New("upstreamhttp: the request was withdrawn")

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the connections to one instance of an upstream.
type Pool struct {
	address   string
	dial      Dial
	inspector Inspector

	mu      sync.Mutex
	limit   int
	open    int // connections that are idle, in use or being opened
	idle    []*conn
	waiters []chan *conn
	closed  bool
	dials   uint64
}

// NewPool returns a pool without connections.
func NewPool(address string, limit int, dial Dial, inspector Inspector) *Pool {
	return &Pool{address: address, limit: max(limit, 1), dial: dial, inspector: inspector}
}

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
		close(w)
	}
}

// get returns a free connection that hasn't carried the request. A waiter that receives nil
// instead of a connection tries again, since it may now be able to open one.
func (p *Pool) get(ctx context.Context, requestID string) (*conn, error) {
	id := hashID(requestID)
	isNew := func(c *conn) bool { return !c.hasCarried(id) }
	for {
		c, wait, err := p.reserve(isNew)
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
		select {
		case c, ok := <-wait:
			if !ok {
				return nil, ErrNoConnection
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
func (p *Pool) reserve(suits func(*conn) bool) (*conn, chan *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrNoConnection
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
	w := make(chan *conn, 1)
	p.waiters = append(p.waiters, w)
	return nil, w, nil
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
	return newConn(nc), nil
}

// Reconnect opens a connection, in place of an idle one if there is any, and keeps it for
// requests if it is still open after a time. Otherwise the idle one is kept, as it may
// work while new ones don't. It returns ErrNoConnection if all connections are in use, and
// ErrClosedAtOnce if the new one was closed.
func (p *Pool) Reconnect(ctx context.Context, openFor time.Duration) error {
	idle, wait, err := p.reserve(nil)
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
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
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
		w <- c
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
		w <- nil
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
