package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/respbody"
)

const (
	// readBufferBytes fits the headers and body of most responses.
	readBufferBytes = 4096
	// inlineWriteBytes is the largest body that is written before the response
	// is read. It fits the socket buffers.
	inlineWriteBytes = 4096
	// defaultMaxBodyBytes bounds the body of a response to a request without
	// MaxBodyBytes. A faulty upstream may send for as long as it is read.
	defaultMaxBodyBytes = 16 << 20
	// defaultIdleTimeout applies to upstreams that don't report theirs.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin is subtracted from the upstream's idle timeout, so that a
	// request is not sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection. One goroutine owns it at a time.
type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	memory  *respbody.Memory // nil: no bound
	charge  respbody.Charge  // for the response that is being read
	expires time.Time
	broken  bool
	used    bool // a request has been written
	// carried holds the hashes of the IDs of the last requests.
	carried [carriedRequests]uint64
	next    int // index into carried
}

// carriedRequests is the number of requests that a connection remembers.
const carriedRequests = 16

func hashID(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// hasCarried reports whether one of the last requests had the ID. A response to it may still
// arrive twice, and would pass for the response to another attempt of that request.
func (c *conn) hasCarried(id uint64) bool { return slices.Contains(c.carried[:], id) }

// carry records a request that is about to be written.
func (c *conn) carry(id uint64) {
	c.used = true
	c.carried[c.next] = id
	c.next = (c.next + 1) % len(c.carried)
}

func newConn(nc net.Conn, memory *respbody.Memory) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), memory: memory, expires: time.Now().Add(defaultIdleTimeout)}
}

// account returns what responses are charged to; nil for no bound.
func (c *conn) account() respbody.Account {
	if c.memory == nil {
		return nil
	}
	return c.memory
}

// close closes the connection. A broken one is reset, which discards the data
// still queued for the upstream and lets the upstream cancel its work.
func (c *conn) close() {
	if t, ok := c.nc.(*net.TCPConn); ok && c.broken {
		_ = t.SetLinger(0) // the close below works without it, too
	}
	c.nc.Close()
}

func (c *conn) expired(now time.Time) bool { return now.After(c.expires) }

func (c *conn) reusable() bool { return !c.broken && c.br.Buffered() == 0 }

// usable reports whether the connection is idle and open. Bytes that arrived
// while it was idle belong to no request.
func (c *conn) usable(now time.Time) bool {
	if c.expired(now) || !c.reusable() {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(e, unix.EAGAIN)
	})
	return err == nil && noData
}

// Do sends a request over one of the pool's connections. The connection is
// closed if ctx ends before the response is complete. mayWrite is called when the
// request is about to be written; if it returns false, the request isn't, and the error is
// ErrNotWritten.
func (p *Pool) Do(ctx context.Context, r *Request, mayWrite func() bool) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	c, err := p.get(ctx, r)
	if err != nil {
		return Result{Verdict: verdict.NotRun, Err: err}
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return Result{Verdict: verdict.NotRun, Err: err}
	}
	if !mayWrite() {
		p.put(c)
		return Result{Verdict: verdict.NotRun, Err: ErrNotWritten}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	isNew := !c.used
	c.carry(hashID(r.ID))
	a := c.doRecovering(p.inspector, r)
	a.OnNewConnection = isNew
	if !stop() {
		c.broken = true
	}
	if a.Err != nil || a.Response.ConnectionClose() {
		c.broken = true
	}
	p.put(c)
	return a
}

// PanicError is the error of an attempt whose response made a parser panic.
type PanicError struct{ Value any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("upstreamhttp: panic: %v", e.Value) }

// doRecovering is do, but turns a panic into a failed attempt: a response must not end
// the process.
func (c *conn) doRecovering(inspector Inspector, r *Request) (a Result) {
	defer func() {
		if v := recover(); v != nil {
			c.broken = true
			c.charge.Release()
			a = Result{Verdict: verdict.MayHaveRun, AnyBytesSent: true, SentAt: a.SentAt, Err: &PanicError{Value: v}}
		}
	}()
	return c.do(inspector, r)
}

func (c *conn) do(inspector Inspector, r *Request) Result {
	a := Result{SentAt: time.Now()}
	written := make(chan writeResult, 1)
	head := appendHead(r)
	if len(r.Body) <= inlineWriteBytes {
		written <- c.write(append(head, r.Body...))
	} else {
		go func() { written <- c.writeHeadAndBody(head, r.Body) }()
	}
	if len(r.Body) <= inlineWriteBytes {
		w := <-written
		if w.n == 0 && w.err != nil {
			a.Verdict, a.Err = verdict.NotRun, w.err
			return a
		}
		written <- w
	}
	a.AnyBytesSent, a.Verdict = true, verdict.MayHaveRun
	resp, info, strays, err := c.read(inspector, r)
	a.StrayResponses = strays
	if err != nil {
		a.Err, c.broken = err, true
		c.close()
		if w := <-written; w.n == 0 && w.err != nil {
			a.AnyBytesSent, a.Verdict = false, verdict.NotRun
		}
		return a
	}
	a.Response, a.Info, a.Verdict = resp, info, verdict.Ran
	a.charge, c.charge = c.charge, respbody.Charge{}
	if info.NotRun || info.WrongInstance {
		a.Verdict = verdict.NotRun
	}
	select {
	case w := <-written:
		c.broken = c.broken || w.err != nil
	default: // answered before the body was sent: the connection can't be reused
		c.broken = true
		c.close()
	}
	return a
}

type writeResult struct {
	n   int
	err error
}

func (c *conn) write(b []byte) writeResult {
	n, err := c.nc.Write(b)
	return writeResult{n, err}
}

func (c *conn) writeHeadAndBody(head, body []byte) writeResult {
	w := c.write(head)
	if w.err != nil {
		return w
	}
	b := c.write(body)
	return writeResult{w.n + b.n, b.err}
}

// deadlineHeaderBytes is the space reserved for the headers of
// AppendDeadlineHeaders and for Content-Length.
const deadlineHeaderBytes = 192

// appendHead returns the head of a request that is written now.
func appendHead(r *Request) []byte {
	head := make([]byte, 0, len(r.Head)+deadlineHeaderBytes+min(len(r.Body), inlineWriteBytes))
	head = append(head, r.Head...)
	if r.AppendDeadlineHeaders != nil {
		head = r.AppendDeadlineHeaders(head, time.Until(r.Deadline))
	}
	if len(r.Body) > 0 || r.ForceContentLength {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

func (c *conn) setIdleTimeout(idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.expires = time.Now().Add(max(idle-idleMargin, idle/2))
}
