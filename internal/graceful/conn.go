package graceful

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is an accepted connection. At most one goroutine reads it at a time.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// requestIn is set from the first byte read of a request to the end of its response.
	requestIn bool
	readAt    time.Time // of that byte
	responded bool      // some of the response has been written
	used      bool      // a request has been in
	left      bool      // the caller has closed or reset the connection
	closed    bool
	// retiring is set once the reader must close the connection when no request is in.
	retiring bool
	deadline time.Time // of reads, as set by the server
}

// requestObserver is a connection below that follows its requests.
type requestObserver interface {
	// OnRequest is called once bytes of a request are in.
	OnRequest()
	// OnAnswered is called once its response has been sent.
	OnAnswered()
}

// expired is a deadline that makes reads return at once.
var expired = time.Unix(1, 0)

// Read implements net.Conn. If a deadline passes without a request, it returns the bytes that
// have arrived all the same, and io.EOF if there are none: the server has nothing to answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0:
		c.addRequest()
	case isTimeout(err) && !c.requestIn:
		if n = c.readArrived(p); n == 0 {
			return 0, io.EOF
		}
		c.deadline = time.Now().Add(c.listener.policy.HeadTimeout)
		c.addRequest()
		c.applyDeadline()
		return n, nil
	case err != nil && !isTimeout(err):
		c.left = true
	}
	return n, err
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// addRequest records that bytes of a request have been read. It must be called with mu held.
func (c *conn) addRequest() {
	if c.requestIn {
		return
	}
	c.requestIn, c.used, c.responded, c.readAt = true, true, false, time.Now()
	if o, ok := c.Conn.(requestObserver); ok {
		o.OnRequest()
	}
	if c.closed {
		c.reportCut()
	}
	if c.retiring {
		c.listener.addLateRequest()
		c.applyDeadline()
	}
}

// readArrived reads what has arrived, whatever the deadline. It must be called with mu held.
func (c *conn) readArrived(p []byte) int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.closed {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// Either error means that nothing can be read; the socket never blocks.
	_ = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), p) })
	return max(n, 0)
}

// onRequest records that the server has read a request, some or all of which had been read
// together with the one before it.
func (c *conn) onRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRequest()
}

// onAnswered records that a response has been sent.
func (c *conn) onAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestIn = false
	if o, ok := c.Conn.(requestObserver); ok {
		o.OnAnswered()
	}
	if c.listener.isDraining() {
		c.retiring = true
	}
	if c.retiring {
		c.applyDeadline()
	}
}

// retire makes the reader close the connection when no request is in. A connection that
// hasn't carried any is only closed if unused is set.
func (c *conn) retire(unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used || unused {
		c.retiring = true
		c.applyDeadline()
	}
}

// applyDeadline must be called with mu held.
func (c *conn) applyDeadline() {
	if c.closed {
		return
	}
	d := c.deadline
	if c.retiring && !c.requestIn {
		d = expired
	}
	_ = c.Conn.SetReadDeadline(d) // fails on a connection that is closed, whose reads fail too
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.retiring && !c.requestIn {
		t = expired
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responded = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose
// request it hasn't read to the end.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	isFirst := !c.closed
	c.closed = true
	if isFirst && c.requestIn && !c.responded && !c.left {
		c.reportCut()
	}
	c.mu.Unlock()
	err := c.Conn.Close()
	if isFirst {
		c.listener.remove(c)
	}
	return err
}

// reportCut must be called with mu held.
func (c *conn) reportCut() {
	if c.listener.policy.OnCut != nil {
		c.listener.policy.OnCut(Cut{Caller: c.RemoteAddr(), Age: time.Since(c.readAt)})
	}
}
