package connlimit

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ryecourse.example/ryecourse/internal/core/connbudget"
)

const (
	// pieceBytes is the size of the pieces in which an answer is written, so that its progress
	// is known.
	pieceBytes = 64 << 10
	// lingerTimeout is how long a connection whose answer has been written is kept for its peer
	// to read it, refusalLingerTimeout the same if the peer may still be sending its request, and
	// lingerBytes what is read of that request. To close it with bytes unread would reset it,
	// and the peer might never read the answer.
	lingerTimeout        = 30 * time.Second
	refusalLingerTimeout = 2 * time.Second
	lingerBytes          = 1 << 20
	// briefUnsentBytes is what a connection may have unsent to be closed without lingering, and
	// briefUnsentTimeout how long the kernel tries to deliver it.
	briefUnsentBytes   = 4 << 10
	briefUnsentTimeout = 10 * time.Second
	// maxUnscaledWindow is the largest receive window without window scaling.
	maxUnscaledWindow = 1<<16 - 1
	// deliveryInterval and maxDeliveryInterval are the first and the longest time between two
	// checks whether the peer has read an answer.
	deliveryInterval    = 50 * time.Millisecond
	maxDeliveryInterval = time.Second
)

// expired is a deadline that makes reads return at once.
var expired = time.Unix(1, 0)

// Conn is an accepted connection. A nil Conn, as of a request that came by no limited listener,
// holds nothing and is granted everything.
type Conn struct {
	net.Conn
	limiter *Limiter
	entry   *connbudget.Conn

	mu           sync.Mutex
	readDeadline time.Time // as set by the server
	requestIn    bool      // some of a request has been read, and its answer hasn't been written
	inBody       bool      // what is written belongs to no answer
	sending      bool
	refused      bool // there was no room for the request
	evictedIdle  bool
	evictedBody  bool
	lingers      bool // the peer may still be sending its request
	closed       bool
	extra        int64 // charged for larger socket buffers
	answer       int64 // charged for the answer that is being written
	written      int   // bytes of the answer
}

// Of returns the Conn that a connection wraps, or nil.
func Of(nc net.Conn) *Conn {
	for {
		switch c := nc.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.OnRequest()
		c.limiter.budget.Move(time.Now(), c.entry, n)
	}
	return n, err
}

// OnRequest records that bytes of a request are in.
func (c *Conn) OnRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	if c.requestIn {
		c.mu.Unlock()
		return
	}
	c.requestIn, c.refused = true, false
	if c.evictedIdle {
		c.evictedIdle = false
		c.applyDeadline()
	}
	c.mu.Unlock()
	ok, victims := c.limiter.budget.Begin(time.Now(), c.entry)
	c.limiter.evict(victims, !ok)
	if !ok {
		c.mu.Lock()
		c.refused = true
		c.mu.Unlock()
	}
}

// OnAnswered records that an answer has been written. The connection still holds what its peer
// hasn't read of it.
func (c *Conn) OnAnswered() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestIn, c.sending, c.inBody = false, false, false
	if c.answer > 0 {
		c.limiter.budget.Release(c.entry, c.answer)
		c.answer = 0
	}
	written := c.written
	c.written = 0
	if written > briefUnsentBytes && c.unsent() > briefUnsentBytes {
		time.AfterFunc(deliveryInterval, func() { c.checkDelivery(deliveryInterval) })
		return
	}
	c.endRequest()
}

// checkDelivery ends a request once its peer has read the answer, unless another request is in.
func (c *Conn) checkDelivery(interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.requestIn:
	case c.unsent() > briefUnsentBytes:
		interval = min(2*interval, maxDeliveryInterval)
		time.AfterFunc(interval, func() { c.checkDelivery(interval) })
	default:
		c.endRequest()
	}
}

// endRequest must be called with mu held.
func (c *Conn) endRequest() {
	if c.extra > 0 {
		c.setBuffers(receiveBuffer, sendBuffer)
		c.limiter.budget.Release(c.entry, c.extra)
		c.extra = 0
	}
	c.limiter.budget.End(time.Now(), c.entry)
}

// setBuffers sets the sizes of the socket buffers, unless they are 0.
func (c *Conn) setBuffers(receive, send int) {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	// The sizes stay as they were on a connection that is closed.
	if receive > 0 {
		_ = t.SetReadBuffer(receive)
		// The window was bound to the size at the handshake, without scaling.
		c.control(func(fd int) {
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, min(receive, maxUnscaledWindow))
		})
	}
	if send > 0 {
		_ = t.SetWriteBuffer(send)
	}
}

// growBuffers enlarges a socket buffer to n bytes if there is room.
func (c *Conn) growBuffers(receive, send int) {
	n := int64(kernelFactor * min(max(receive, send), maxBuffer))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.extra >= n || !c.limiter.budget.ChargeExtra(c.entry, n) {
		return
	}
	c.extra += n
	c.setBuffers(min(receive, maxBuffer), min(send, maxBuffer))
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.inBody && !c.sending && !c.lingers {
		c.sending = true
		c.limiter.budget.Enter(time.Now(), c.entry, connbudget.Sending)
	}
	c.written += len(p)
	c.mu.Unlock()
	if len(p) > sendBuffer {
		c.growBuffers(0, len(p))
	}
	written := 0
	for {
		piece := p[written:min(written+pieceBytes, len(p))]
		n, err := c.Conn.Write(piece)
		written += n
		c.limiter.budget.Move(time.Now(), c.entry, n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// applyDeadline must be called with mu held.
func (c *Conn) applyDeadline() error {
	if c.evictedIdle || c.evictedBody {
		return c.Conn.SetReadDeadline(expired)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// Evict implements connbudget.Evictor. An idle connection is closed by its reader, unless that
// finds a request; the reader of a body refuses the request.
func (c *Conn) Evict(p connbudget.Phase) {
	switch p {
	case connbudget.Idle:
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.requestIn {
			c.evictedIdle = true
			_ = c.applyDeadline() // fails on a connection that is closed
		}
	case connbudget.Body:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.evictedBody = true
		_ = c.applyDeadline() // fails on a connection that is closed
	default:
		c.reset()
	}
}

// CloseAll closes all connections of a class, whatever they do, as a server does that has
// stopped waiting for them.
func (l *Limiter) CloseAll(class connbudget.Class) {
	for _, v := range l.budget.EvictAll(class) {
		v.Evict(connbudget.Lingering)
	}
}

// reset closes the connection and drops what is queued in its socket, which the kernel would
// keep until the peer reads it.
func (c *Conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a connection that is closed
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn. If the peer may not have read the answer, the connection lingers
// after Close has returned.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	lingers := c.lingers
	c.mu.Unlock()
	if lingers {
		go c.linger(refusalLingerTimeout)
		return nil
	}
	switch unsent := c.unsent(); {
	case unsent > briefUnsentBytes:
		go c.linger(lingerTimeout)
		return nil
	case unsent > 0:
		c.limitDelivery()
	}
	err := c.Conn.Close()
	c.limiter.budget.Close(c.entry)
	return err
}

// linger waits until the peer has closed the connection, and closes it.
func (c *Conn) linger(timeout time.Duration) {
	defer c.limiter.budget.Close(c.entry)
	if !c.limiter.budget.Enter(time.Now(), c.entry, connbudget.Lingering) { // evicted
		c.reset()
		return
	}
	end := time.Now().Add(timeout)
	// Errors end the wait, as on a connection that is evicted meanwhile.
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(end) != nil {
		c.reset()
		return
	}
	if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err != io.EOF {
		c.reset()
		return
	}
	// A peer that has closed only its sending side may still read.
	for c.unsent() > 0 && time.Now().Before(end) {
		time.Sleep(deliveryInterval)
	}
	if c.unsent() > 0 {
		c.reset()
		return
	}
	_ = c.Conn.Close() // fails if it was evicted meanwhile
}

// unsent returns the bytes that the peer hasn't acknowledged; 0 if they aren't known.
func (c *Conn) unsent() int {
	n := 0
	c.control(func(fd int) {
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// limitDelivery bounds the time for which the kernel keeps what is unsent after a close.
func (c *Conn) limitDelivery() {
	c.control(func(fd int) {
		// Without it the kernel uses its own bound, which is some minutes.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(briefUnsentTimeout.Milliseconds()))
	})
}

func (c *Conn) control(f func(fd int)) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails on a connection that is closed
	}
}
