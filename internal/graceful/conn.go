package graceful

import (
	"net"
	"sync"
	"time"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// requestIn is set from the first byte read of a request to the end of its response.
	requestIn bool
	readAt    time.Time // of that byte
	responded bool      // some of the response has been written
	left      bool      // the caller has closed or reset the connection
	closed    bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.requestIn {
		c.requestIn, c.responded, c.readAt = true, false, time.Now()
		if c.closed {
			c.reportCut()
		}
	}
	if err != nil && !isTimeout(err) {
		c.left = true
	}
	return n, err
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responded = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// onAnswered records that a response has been sent.
func (c *conn) onAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestIn = false
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose
// request it hasn't read to the end.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.listener.remove(c)
		if c.requestIn && !c.responded && !c.left {
			c.reportCut()
		}
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// reportCut must be called with mu held.
func (c *conn) reportCut() {
	if c.listener.onCut != nil {
		c.listener.onCut(Cut{Caller: c.RemoteAddr(), Age: time.Since(c.readAt)})
	}
}
