package upstreamhttp

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrNoConnection tells that no connection came free in time.
var ErrNoConnection = errors.New("exchange: no connection came free")

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

// SetLimit changes the number of connections. Those above it close when they
// come free.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Stats returns the open and idle connections and the number opened so far.
func (p *Pool) Stats() (open, idle int, dials uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.dials
}

// Close closes idle connections; those in use close when they come free.
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

// get returns a connection that is free. A nil channel result of a waiter tells
// that it may open one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c, wait, err := p.reserve()
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
			if c != nil {
				return c, nil
			}
		case <-ctx.Done():
			p.cancelWait(wait)
			return nil, ErrNoConnection
		}
	}
}

// reserve takes an idle connection, or the right to open one, or a place in the
// queue.
func (p *Pool) reserve() (*conn, chan *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrNoConnection
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil, nil
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	w := make(chan *conn, 1)
	p.waiters = append(p.waiters, w)
	return nil, w, nil
}

func (p *Pool) openConn(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	nc, err := p.dial(ctx, p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	return newConn(nc), nil
}

// cancelWait takes a waiter out of the queue; what it was given goes to the next.
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

// put gives a connection back.
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

// release gives up the right to a connection.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.wakeOne()
}

// wakeOne lets a waiter try again.
func (p *Pool) wakeOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 && p.open < p.limit {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w <- nil
	}
}

// CloseExpired closes idle connections that have been idle for too long.
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
