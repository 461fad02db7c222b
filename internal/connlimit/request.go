package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/core/connbudget"
)

// ErrNoRoom is the error of a body for which there is no room.
var ErrNoRoom = errors.New("connlimit: the connections of this process hold too much memory")

type contextKey struct{}

// ConnContext implements http.Server.ConnContext; see FromContext.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, Of(nc))
}

// FromContext returns the connection of an HTTP request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// OnState implements http.Server.ConnState.
func OnState(nc net.Conn, s http.ConnState) {
	switch s {
	case http.StateActive:
		Of(nc).OnRequest()
	case http.StateIdle:
		Of(nc).OnAnswered()
	}
}

// Run records that the request is complete and its caller waits. It returns false if the request
// must be refused.
func (c *Conn) Run() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.inBody = false
	refused := c.refused
	c.mu.Unlock()
	return c.limiter.budget.Enter(time.Now(), c.entry, connbudget.Running) && !refused
}

// IsRefused reports whether there was no room for the request.
func (c *Conn) IsRefused() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused || c.evictedBody
}

// Charge charges the connection for n bytes of buffers. It returns false if there is no room.
func (c *Conn) Charge(n int64) bool {
	return c == nil || c.limiter.acquire(func(now time.Time) (connbudget.Decision, []connbudget.Victim) {
		return c.limiter.budget.Charge(now, c.entry, n)
	})
}

// Release returns n charged bytes.
func (c *Conn) Release(n int64) {
	if c != nil {
		c.limiter.budget.Release(c.entry, n)
	}
}

// Hold charges the connection for n bytes that it holds already, of an answer. They are returned
// by Release.
func (c *Conn) Hold(n int64) {
	if c != nil {
		c.limiter.budget.Hold(c.entry, n)
	}
}

// ChargeAnswer charges the connection for n bytes until the answer has been written. It returns
// false if there is no room.
func (c *Conn) ChargeAnswer(n int64) bool {
	if c == nil {
		return true
	}
	if !c.Charge(n) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer += n
	return true
}

// HasRoomForResponse reports whether there is room for a response of n bytes.
func (c *Conn) HasRoomForResponse(n int64) bool {
	return c == nil || n == 0 || c.limiter.HasRoomForResponse(n)
}

// Lend records that the connection is about to send n bytes of upstreams' responses, or has sent
// them if n is negative.
func (c *Conn) Lend(n int64) {
	if c != nil {
		c.limiter.budget.Lend(c.entry, n)
	}
}

// Detach makes n charged bytes outlast the connection. They are returned by the function.
func (c *Conn) Detach(n int64) (release func()) {
	if c == nil || n == 0 {
		return func() {}
	}
	c.limiter.budget.Detach(c.entry, n)
	return func() { c.limiter.budget.ReleaseDetached(n) }
}

// Linger makes the connection's Close wait for a peer that may still be sending its request,
// which is being refused.
func (c *Conn) Linger() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody, c.lingers = false, true
	c.limiter.budget.Enter(time.Now(), c.entry, connbudget.Lingering)
}

const (
	// firstBodyBytes is the first size of the buffer of a body, and bodyGrowth the factor by
	// which it grows.
	firstBodyBytes = 16 << 10
	bodyGrowth     = 4
)

// ReadBody reads a body of a length, -1 if it isn't known, and of limit bytes at most. The
// connection is charged for the returned bytes of memory until they are released; nothing is
// charged after an error, which is ErrNoRoom, ErrTooLong or that of the reader.
func (c *Conn) ReadBody(r io.Reader, length, limit int64) (body []byte, charged int64, err error) {
	if length > limit {
		return nil, 0, ErrTooLong
	}
	c.startBody(length)
	b := bodyBuffer{conn: c}
	if err := b.read(r, length, limit); err != nil {
		c.Release(int64(cap(b.bytes)))
		if c.IsRefused() {
			err = ErrNoRoom
		}
		return nil, 0, err
	}
	return b.bytes, int64(cap(b.bytes)), nil
}

// ErrTooLong is the error of a body above its limit.
var ErrTooLong = errors.New("connlimit: the body is too long")

func (c *Conn) startBody(length int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.inBody = true
	c.mu.Unlock()
	c.limiter.budget.Enter(time.Now(), c.entry, connbudget.Body)
	if length > receiveBuffer {
		c.growBuffers(int(min(length, maxBuffer)), 0)
	}
}

// bodyBuffer is a buffer whose connection is charged for its capacity before it is allocated.
type bodyBuffer struct {
	conn  *Conn
	bytes []byte
}

func (b *bodyBuffer) read(r io.Reader, length, limit int64) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if int64(len(b.bytes)) == length {
				return nil
			}
			if err := b.grow(length, limit); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) > limit:
			return ErrTooLong
		case err == io.EOF && length >= 0 && int64(len(b.bytes)) < length:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// grow allocates a larger buffer. Both exist while one is copied to the other.
func (b *bodyBuffer) grow(length, limit int64) error {
	size := max(firstBodyBytes, bodyGrowth*int64(cap(b.bytes)))
	if length >= 0 {
		size = min(size, length)
	} else {
		size = min(size, limit+1) // one more byte shows that the body is too long
	}
	if !b.conn.Charge(size) {
		return ErrNoRoom
	}
	old := int64(cap(b.bytes))
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	b.conn.Release(old)
	return nil
}
