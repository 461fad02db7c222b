// Package graceful wraps the connections that an HTTP server accepts, so that a server that
// stops answers each request that it has read some of. An exception are the first bytes of a
// request that a caller sends before the answer to its previous one: net/http may have read one
// byte of them, and drops it if no more have arrived when that answer has been sent.
//
// Only the goroutine that reads a connection knows whether bytes of a request have arrived;
// the server's own states lag behind, as net/http reports a connection as active only after it
// has parsed a request's headers. So a stop closes no connection that may carry a request: it
// makes the connection's next read return without waiting, and the reader, which finds that no
// byte has arrived, closes it.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Policy holds the bounds of a Listener.
type Policy struct {
	// HeadTimeout is the time for the rest of a request whose first bytes were found when a
	// deadline of the server had passed.
	HeadTimeout time.Duration
	// OnCut is called for each connection that is cut; nil for none.
	OnCut func(Cut)
}

// Cut is a connection that this process closed while a request was in and nothing of its
// response was written.
type Cut struct {
	Caller net.Addr
	// Age is the time since the first byte of the request was read.
	Age time.Duration
}

// Drained is the outcome of Drain.
type Drained struct {
	// Open is the number of connections that are still open.
	Open int
	// LateRequests counts the requests that were read after Drain had begun.
	LateRequests int
}

// Listener accepts connections and tracks them. Its server must call OnState.
type Listener struct {
	net.Listener

	policy Policy
	close  sync.Once
	mu     sync.Mutex
	conns  map[*conn]struct{} // guarded by mu; open ones
	// draining is set once Drain has begun; guarded by mu, as are the fields below.
	draining     bool
	lateRequests int
	// accepted is closed when no connection is accepted any more, empty when none is open
	// after that; also by a listener that fails.
	accepted, empty chan struct{}
}

// NewListener returns a listener that accepts from l.
func NewListener(l net.Listener, p Policy) *Listener {
	return &Listener{
		Listener: l, policy: p, conns: map[*conn]struct{}{},
		accepted: make(chan struct{}), empty: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if (l.draining || !isTemporary(err)) && !isClosed(l.accepted) {
			close(l.accepted)
			l.closeIfEmpty()
		}
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. Further calls, as by a server that closes its listeners after
// Drain, have no effect.
func (l *Listener) Close() error {
	var err error
	l.close.Do(func() { err = l.Listener.Close() })
	return err
}

// isTemporary reports whether a server accepts again after an error, as net/http does.
func isTemporary(err error) bool {
	t, ok := err.(interface{ Temporary() bool })
	return ok && t.Temporary()
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.closeIfEmpty()
}

// closeIfEmpty must be called with mu held.
func (l *Listener) closeIfEmpty() {
	if len(l.conns) == 0 && isClosed(l.accepted) && !isClosed(l.empty) {
		close(l.empty)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (l *Listener) addLateRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateRequests++
}

// OnServed records that the server has stopped accepting connections, which it may do after an
// error that Accept takes for a temporary one.
func (l *Listener) OnServed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isClosed(l.accepted) {
		close(l.accepted)
		l.closeIfEmpty()
	}
}

// OnState implements http.Server.ConnState.
func (l *Listener) OnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.onRequest()
	case http.StateIdle:
		c.onAnswered()
	}
}

// Handler returns a handler whose responses close their connections once Drain has begun.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isDraining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// Drain accepts no more connections, and has each one closed by its reader as soon as no
// request is in. Connections that haven't carried any request are kept until unusedUntil, as
// their callers are about to send one. Drain returns when no connection is open or ctx ends;
// it must be called once.
func (l *Listener) Drain(ctx context.Context, unusedUntil time.Time) (Drained, error) {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	err := l.Close()
	select {
	case <-l.accepted:
	case <-ctx.Done():
	}
	l.retire(false)
	unused := time.NewTimer(time.Until(unusedUntil))
	defer unused.Stop()
	for open := true; open; {
		select {
		case <-l.empty:
			open = false
		case <-ctx.Done():
			open = false
		case <-unused.C:
			l.retire(true)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return Drained{Open: len(l.conns), LateRequests: l.lateRequests}, err
}

// retire asks the readers of all connections to close them when no request is in.
func (l *Listener) retire(unused bool) {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.retire(unused)
	}
}
