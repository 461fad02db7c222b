// Package graceful wraps the connections that an HTTP server accepts, and tracks which of
// them hold a request that isn't answered.
//
// A server's own states lag behind: net/http reports a connection as active only after it has
// parsed a request's headers. Here a request is in from the first byte that is read of it.
package graceful

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts connections and tracks them.
type Listener struct {
	net.Listener

	onCut func(Cut)
	mu    sync.Mutex
	conns map[*conn]struct{} // guarded by mu; open ones
}

// Cut is a connection that this process closed while a request was in and nothing of its
// response was written.
type Cut struct {
	Caller net.Addr
	// Age is the time since the first byte of the request was read.
	Age time.Duration
}

// NewListener returns a listener that accepts from l. onCut is called for each cut connection.
func NewListener(l net.Listener, onCut func(Cut)) *Listener {
	return &Listener{Listener: l, onCut: onCut, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// OnState implements http.Server.ConnState.
func (l *Listener) OnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateIdle {
		c.onAnswered()
	}
}
