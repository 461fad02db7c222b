package peer

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// call has the proof of the fleet, so that its answer keeps the connection.
var call = "POST /x HTTP/1.1\r\nHost: h\r\n" + proofHeader + ": " + server.proof() + "\r\nContent-Length: 0\r\n\r\n"

// lateConn is a peer's connection whose last call has been read by the time at which the server closes it.
type lateConn struct {
	net.Conn // of the local end of a pipe; only its addresses are used
	calls    chan string
	idle     chan struct{} // closed when the server waits for the last call
	closing  chan struct{} // closed when the server closes the connection, or asks its reader to
	once     sync.Once
	waited   bool
	expired  chan struct{} // gets a value when a deadline that has passed is set

	mu      sync.Mutex
	written int // guarded by mu; bytes
}

func (c *lateConn) Read(p []byte) (int, error) {
	if len(p) == 1 { // net/http reads one byte while it answers
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	select {
	case text := <-c.calls:
		return copy(p, text), nil
	default:
	}
	if c.waited {
		return 0, io.EOF
	}
	c.waited = true
	close(c.idle)
	<-c.closing
	return copy(p, call), nil
}

func (c *lateConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += len(p)
	return len(p), nil
}

func (c *lateConn) sent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *lateConn) close() { c.once.Do(func() { close(c.closing) }) }

func (c *lateConn) Close() error {
	c.close()
	return nil
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) > 0 {
		return nil
	}
	select {
	case <-c.idle:
		c.close()
	default:
	}
	select {
	case c.expired <- struct{}{}:
	default:
	}
	return nil
}

func (c *lateConn) SetWriteDeadline(time.Time) error { return nil }

// oneConnListener accepts one connection.
type oneConnListener struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *oneConnListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestShutdownAnswersCallThatHasBeenRead guards against a call on a kept connection that the stop closes as idle although it has been read.
func TestShutdownAnswersCallThatHasBeenRead(t *testing.T) {
	local, _ := net.Pipe()
	c := &lateConn{Conn: local, calls: make(chan string, 1), idle: make(chan struct{}), closing: make(chan struct{}), expired: make(chan struct{}, 1)}
	c.calls <- call
	l := &oneConnListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	l.conns <- c
	s := NewServer(server, &fixture{}, func(r Refusal) { t.Errorf("refused: %+v", r) })
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	<-c.idle
	before := c.sent()
	if before == 0 {
		t.Fatal("the first call got no answer")
	}
	if err := s.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-served
	if c.sent() == before {
		t.Error("the second call got no answer")
	}
}
