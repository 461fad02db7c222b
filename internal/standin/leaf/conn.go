package leaf

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// listener limits and counts the connections of one incarnation. Accept takes
// Policy.ConnectCostMS for each new connection.
type listener struct {
	net.Listener
	inc *incarnation
}

// Accept returns the next connection within the limit. It resets connections
// beyond the limit.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		c, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped, ok := ln.inc.acceptConn(c.(*net.TCPConn))
		if ok {
			return wrapped, nil
		}
	}
}

// conn is an accepted connection. Close is idempotent.
type conn struct {
	*net.TCPConn
	raw  syscall.RawConn
	inc  *incarnation
	once sync.Once
}

// Close closes the connection and removes it from the count.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.inc.releaseConn(c)
	})
	return err
}

// closedByPeer reports whether the peer has closed or reset the connection. It
// consumes no data.
func (c *conn) closedByPeer() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed || err != nil
}

// acceptConn counts a connection and waits for Policy.ConnectCostMS, or resets
// the connection if the limit is reached.
func (inc *incarnation) acceptConn(tcp *net.TCPConn) (*conn, bool) {
	l := inc.leaf
	l.mu.Lock()
	limit := l.policy.Connections
	if limit > 0 && len(inc.conns) >= limit {
		l.counters.ConnectionsRefused++
		l.mu.Unlock()
		reset(tcp)
		return nil, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil || inc.crashed {
		l.mu.Unlock()
		reset(tcp)
		return nil, false
	}
	c := &conn{TCPConn: tcp, raw: raw, inc: inc}
	inc.conns[c] = struct{}{}
	l.counters.ConnectionsOpened++
	l.counters.MaxConnections = max(l.counters.MaxConnections, len(inc.conns))
	cost := milliseconds(l.policy.ConnectCostMS)
	l.mu.Unlock()
	if cost > 0 {
		time.Sleep(cost)
	}
	return c, true
}

func (inc *incarnation) releaseConn(c *conn) {
	inc.leaf.mu.Lock()
	defer inc.leaf.mu.Unlock()
	delete(inc.conns, c)
}

// reset closes the connection with a TCP reset (RST) instead of a FIN.
func reset(tcp *net.TCPConn) {
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}
