package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/respbody"
)

// conn is one connection. At most one call owns it.
type conn struct {
	host    *host
	nc      net.Conn
	br      *bufio.Reader
	counted bool // whether host.total includes the connection; guarded by host.mu
	// closedLocally is set when this side closes the connection.
	closedLocally atomic.Bool

	// writeMu is held while a request is written to out.
	writeMu sync.Mutex
	out     countingWriter

	mu         sync.Mutex
	current    *Call
	readerDone bool
}

// beginResult is the outcome of begin.
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
	cn.closedLocally.Store(true)
	cn.nc.Close()
}

// begin sends the call's request on the connection.
func (cn *conn) begin(c *Call) beginResult {
	if !c.attach(cn) {
		c.fail(scatter.OutcomeCanceled)
		return beginEnded
	}
	cn.writeMu.Lock()
	if !cn.assign(c) {
		cn.writeMu.Unlock()
		c.detach()
		return beginClosed
	}
	if len(c.Body) <= inlineWriteBytes {
		cn.send(c)
		return beginSent
	}
	if cn.host.pool.sends.Go(func() { cn.send(c) }) != nil { // the pool is closed
		cn.close()
		cn.writeMu.Unlock()
	}
	return beginSent
}

// assign makes the call the connection's current one. It returns false if the
// reader has ended.
func (cn *conn) assign(c *Call) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.readerDone {
		return false
	}
	cn.current = c
	return true
}

// send writes the request and unlocks writeMu. A write that fails closes the
// connection; the reader then ends the call.
func (cn *conn) send(c *Call) {
	defer cn.writeMu.Unlock()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, c, cn.host.addr)
	bw := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(bw)
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

// countingWriter counts the bytes that the socket accepted.
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

// readLoop reads the responses until the connection is closed.
func (cn *conn) readLoop() {
	defer func() { cn.host.connClosed(cn, !cn.closedLocally.Load()) }()
	defer cn.markReaderDone()
	defer cn.nc.Close()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for {
		_, err := cn.br.Peek(1)
		c := cn.takeCall()
		if c == nil {
			if err == nil {
				cn.close() // bytes that belong to no request
			}
			return
		}
		if err == nil {
			resp.Reset()
			c.charge = c.newCharge()
			err = cn.readResponse(c, resp)
		}
		if errors.Is(err, respbody.ErrOverMemory) {
			cn.host.pool.Stats.OverMemory.Inc()
			cn.close() // by this side: the upstream may be sound
		}
		if err != nil {
			cn.connectionLost(c)
			return
		}
		r, matches := parseResponse(c, resp)
		if r.Body == nil {
			c.charge.Release()
		}
		reusable := c.markAnswered() && matches && !resp.ConnectionClose()
		if !matches {
			cn.host.pool.Stats.Mismatches.Inc()
		}
		if !reusable {
			cn.close()
			c.finish(r)
			return
		}
		if cap(resp.Body()) > respbody.FreeBytes {
			resp.SwapBody(nil) // not kept with an idle connection
		}
		cn.host.release(cn)
		c.finish(r)
	}
}

// takeCall returns the current call and frees the connection. If there is no
// current call, no further one can be assigned.
func (cn *conn) takeCall() *Call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	c := cn.current
	cn.current = nil
	cn.readerDone = c == nil
	return c
}

// connectionLost ends a call whose connection failed. The count of written
// bytes is final once the connection is closed and the writer has finished.
func (cn *conn) connectionLost(c *Call) {
	cn.nc.Close()
	cn.markReaderDone()
	cn.writeMu.Lock()
	v := verdict.MayHaveRun
	if c.written.Load() == 0 {
		v = verdict.NotRun
	}
	cn.writeMu.Unlock()
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

// markReaderDone records that the reader has ended, so that no further call is
// assigned.
func (cn *conn) markReaderDone() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readerDone = true
}
