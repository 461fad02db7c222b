// Package connlimit keeps the connections that a process has accepted within one budget: it
// wraps listeners and connections, charges what they hold, bounds their socket buffers, and
// carries out the evictions that package connbudget decides on. `ryecourse serve` and
// `ryecourse gateway` use it for all their listeners.
package connlimit

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ryecourse.example/ryecourse/internal/core/connbudget"
)

const (
	// receiveBuffer and sendBuffer are the sizes of a connection's socket buffers. Those of a
	// connection with a long body or answer are larger, up to maxBuffer, while there is room.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
	maxBuffer     = 256 << 10
	// kernelFactor is the memory of a socket buffer as a multiple of its size: the kernel
	// doubles the size, for its own structures.
	kernelFactor = 2

	// openBytes is the memory of an open connection: the stack of its goroutine and the
	// server's buffers. requestBytes is that of one with a request in, beyond it.
	openBytes    = 24 << 10
	requestBytes = kernelFactor*(receiveBuffer+sendBuffer) + 16<<10

	// reserveFraction is the part of all bytes that is left to requests that hold little, and
	// responseFraction the part that upstreams' responses may take.
	reserveFraction  = 0.125
	responseFraction = 0.375
	// controlFraction is the part of all bytes that the connections of each class but
	// callers may take.
	controlFraction = 0.125

	// roomTimeout is how long a charge waits for evicted connections to give up what they
	// hold, and roomInterval the time between two tries.
	roomTimeout  = 300 * time.Millisecond
	roomInterval = 5 * time.Millisecond
	// pressureInterval is the least time between two reports of pressure.
	pressureInterval = time.Second
)

// Limits returns the limits of a budget of a number of bytes. conns limits the connections of
// each class.
func Limits(bytes int64, conns [connbudget.Classes]int) connbudget.Limits {
	l := connbudget.Limits{
		Bytes: bytes, Reserve: int64(float64(bytes) * reserveFraction), Responses: int64(float64(bytes) * responseFraction),
		OpenBytes: openBytes, RequestBytes: requestBytes,
	}
	for class, n := range conns {
		l.Classes[class] = connbudget.ClassLimit{Conns: n, Bytes: int64(float64(bytes) * controlFraction)}
	}
	l.Classes[connbudget.Callers].Bytes = bytes
	return l
}

// Limiter is the budget of a process's connections. It is safe for concurrent use.
type Limiter struct {
	budget     *connbudget.Budget
	onPressure func(connbudget.Usage)
	reportedAt atomic.Int64 // of the last pressure, in nanoseconds since started
	started    time.Time
}

// New returns a limiter. onPressure is called at most once a second when connections are
// evicted or refused; nil for none.
func New(limits connbudget.Limits, onPressure func(connbudget.Usage)) *Limiter {
	return &Limiter{budget: connbudget.New(limits), onPressure: onPressure, started: time.Now()}
}

// Usage returns what is held now.
func (l *Limiter) Usage() connbudget.Usage { return l.budget.Usage() }

// evict carries out evictions, and reports pressure if there are any, or if something was
// refused.
func (l *Limiter) evict(victims []connbudget.Victim, refused bool) {
	for _, v := range victims {
		v.Evict(v.Phase)
	}
	if len(victims) == 0 && !refused || l.onPressure == nil {
		return
	}
	now, last := int64(time.Since(l.started)), l.reportedAt.Load()
	if (last == 0 || now-last >= int64(pressureInterval)) && l.reportedAt.CompareAndSwap(last, now) {
		l.onPressure(l.Usage())
	}
}

// acquire repeats a charge while connections are being evicted for it.
func (l *Limiter) acquire(charge func(now time.Time) (connbudget.Decision, []connbudget.Victim)) bool {
	for end := time.Now().Add(roomTimeout); ; time.Sleep(roomInterval) {
		now := time.Now()
		decision, victims := charge(now)
		l.evict(victims, decision == connbudget.Denied)
		if decision != connbudget.Retry || now.After(end) {
			return decision == connbudget.Granted
		}
	}
}

// AcquireResponse charges for n bytes of an upstream's response. It returns false if there is
// no room, also after connections were evicted.
func (l *Limiter) AcquireResponse(n int64) bool {
	return l.acquire(func(now time.Time) (connbudget.Decision, []connbudget.Victim) {
		return l.budget.ChargeResponse(now, n)
	})
}

// ReleaseResponse returns n bytes of AcquireResponse.
func (l *Limiter) ReleaseResponse(n int64) { l.budget.ReleaseResponse(n) }

// HasRoomForResponse reports whether there is room for a response of n bytes. It evicts
// connections for it, but doesn't wait for them.
func (l *Limiter) HasRoomForResponse(n int64) bool {
	ok, victims := l.budget.HasRoomForResponse(time.Now(), n)
	l.evict(victims, !ok)
	return ok
}

// Listener accepts connections of one class.
type Listener struct {
	net.Listener
	limiter *Limiter
	class   connbudget.Class
}

// Listen wraps a listener and sets the sizes of its connections' socket buffers, which they
// inherit.
func (l *Limiter) Listen(ln net.Listener, class connbudget.Class) *Listener {
	if sc, ok := ln.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			// Without these sizes the kernel chooses its own; the limits on bytes then hold for
			// the process only.
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			})
		}
	}
	return &Listener{Listener: ln, limiter: l, class: class}
}

// Accept implements net.Listener. A connection for which there is no room is closed, and the
// next one is accepted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, limiter: l.limiter}
		entry, victims := l.limiter.budget.Open(time.Now(), l.class, c)
		l.limiter.evict(victims, entry == nil)
		if entry != nil {
			c.entry = entry
			return c, nil
		}
		_ = nc.Close() // nothing of a request has been read
	}
}
