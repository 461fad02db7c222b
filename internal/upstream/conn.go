package upstream

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// conn is one connection. At most one call owns it.
type conn struct {
	host    *host
	nc      net.Conn
	br      *bufio.Reader
	counted bool // guarded by host.mu
	// closing tells that this side closed the connection.
	closing atomic.Bool

	// sending is held while a request is written, to out.
	sending sync.Mutex
	out     countingWriter

	mu     sync.Mutex
	cur    *Call
	closed bool // the reader has ended
}

// beginResult is what became of a connection that was offered to a call.
type beginResult uint8

const (
	beginSent   beginResult = iota // the connection carries the call
	beginEnded                     // the call had ended; the connection is free
	beginClosed                    // the connection was closed; nothing was sent
)

func newConn(h *host, nc net.Conn) *conn {
	return &conn{host: h, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), counted: true}
}

// close closes the connection from this side.
func (cn *conn) close() {
	cn.closing.Store(true)
	cn.nc.Close()
}

// begin sends the call's request on the connection.
func (cn *conn) begin(c *Call) beginResult {
	if !c.attach(cn) {
		c.fail(scatter.OutcomeCanceled)
		return beginEnded
	}
	cn.sending.Lock()
	if !cn.put(c) {
		cn.sending.Unlock()
		c.detach()
		return beginClosed
	}
	if len(c.Body) <= inlineWriteBytes {
		cn.send(c)
		return beginSent
	}
	if cn.host.pool.sends.Go(func() { cn.send(c) }) != nil { // the pool is closed
		cn.close()
		cn.sending.Unlock()
	}
	return beginSent
}

// put makes the call the connection's current one. It returns false when the
// reader has ended.
func (cn *conn) put(c *Call) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closed {
		return false
	}
	cn.cur = c
	return true
}

// send writes the request and unlocks sending. A write that fails closes the
// connection; the reader then ends the call.
func (cn *conn) send(c *Call) {
	defer cn.sending.Unlock()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, c, cn.host.addr)
	bw := writers.Get().(*bufio.Writer)
	defer writers.Put(bw)
	cn.out = countingWriter{nc: cn.nc, call: c}
	bw.Reset(&cn.out)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err != nil {
		cn.nc.Close()
	}
}

// countingWriter counts the bytes that the socket took.
type countingWriter struct {
	nc   net.Conn
	call *Call
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.nc.Write(b)
	w.call.written.Add(int64(n))
	return n, err
}

// readLoop owns the reading side of the connection until it is closed.
func (cn *conn) readLoop() {
	defer func() { cn.host.remove(cn, !cn.closing.Load()) }()
	defer cn.shut()
	defer cn.nc.Close()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for {
		_, err := cn.br.Peek(1)
		c := cn.take()
		if c == nil {
			if err == nil {
				cn.close() // bytes that belong to no request
			}
			return
		}
		if err == nil {
			resp.Reset()
			err = resp.ReadLimitBody(cn.br, maxAnswerBytes)
		}
		if err != nil {
			cn.lost(c)
			return
		}
		r, matches := parse(c, resp)
		keep := c.answered() && matches && !resp.ConnectionClose()
		if !matches {
			cn.host.pool.Stats.Mismatches.Inc()
		}
		if !keep {
			cn.close()
			c.finish(r)
			return
		}
		cn.host.release(cn)
		c.finish(r)
	}
}

// take returns the call that owns the connection and frees the connection. A
// connection without a call is closed.
func (cn *conn) take() *Call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	c := cn.cur
	cn.cur = nil
	cn.closed = c == nil
	return c
}

// lost ends a call whose connection failed. Once the connection is closed and
// the writer is done, the count of bytes is final.
func (cn *conn) lost(c *Call) {
	cn.nc.Close()
	cn.shut()
	cn.sending.Lock()
	v := verdict.MayHaveRun
	if c.written.Load() == 0 {
		v = verdict.NotRun
	}
	cn.sending.Unlock()
	o := scatter.OutcomeConnectionLost
	if c.isCanceled() {
		o = scatter.OutcomeCanceled
		cn.host.pool.Stats.Canceled.Inc()
	} else {
		cn.host.pool.Stats.ConnectionsLost.Inc()
	}
	c.finish(scatter.Result{
		Attempt: c.Attempt.ID,
		Report:  scatter.Report{Outcome: o, Load: -1},
		Verdict: v,
	})
}

// shut marks the reader as ended.
func (cn *conn) shut() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.closed = true
}
