package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Names of the headers of docs/UPSTREAM.md.
const (
	headerAttempt        = "X-Attempt-Id"
	headerRequest        = "X-Request-Id"
	headerService        = "X-Service"
	headerShard          = "X-Shard"
	headerSnapshot       = "X-Snapshot"
	headerSnapshotShards = "X-Snapshot-Shards"
	headerSnapshots      = "X-Snapshots"
	headerDeadline       = "X-Deadline-Ms"
	headerInstance       = "X-Instance"
	headerLoad           = "X-Load"
	headerCold           = "X-Cold"
	headerNotRun         = "X-Not-Run"
	headerDraining       = "X-Draining"
)

// conn is one connection. At most one call owns it.
type conn struct {
	host    *host
	nc      net.Conn
	br      *bufio.Reader
	counted bool // guarded by host.mu
	// closing tells that this side closed the connection.
	closing atomic.Bool

	// sending is held while a request is written.
	sending sync.Mutex

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
	bw.Reset(&countingWriter{nc: cn.nc, n: &c.written})
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
	nc net.Conn
	n  *atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.nc.Write(b)
	w.n.Add(int64(n))
	return n, err
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, inlineWriteBytes+readBufferBytes) }}

func fillRequest(req *fasthttp.Request, c *Call, addr string) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/query")
	req.Header.SetHost(addr)
	req.Header.SetContentType("application/json")
	for _, f := range c.Header {
		req.Header.Set(f.Name, f.Value)
	}
	req.Header.Set(headerAttempt, c.WireID)
	req.Header.Set(headerRequest, c.RequestID)
	req.Header.Set(headerService, c.Service)
	req.Header.Set(headerShard, strconv.Itoa(c.Attempt.Shard))
	if c.Attempt.Snapshot != "" {
		req.Header.Set(headerSnapshot, c.Attempt.Snapshot)
	}
	left := max(time.Until(c.Attempt.Deadline).Milliseconds(), 1)
	req.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	req.SetBodyRaw(c.Body)
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
		cn.host.pool.Stats.Lost.Inc()
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

// parse turns an answer into a result. It returns false for an answer that
// belongs to another attempt.
func parse(c *Call, resp *fasthttp.Response) (scatter.Result, bool) {
	h := &resp.Header
	r := scatter.Result{Attempt: c.Attempt.ID, Verdict: verdict.MayHaveRun}
	r.Report.Load = -1
	if string(h.Peek(headerAttempt)) != c.WireID {
		r.Report.Outcome = scatter.OutcomeMismatch
		return r, false
	}
	if len(h.Peek(headerNotRun)) > 0 {
		r.Verdict = verdict.NotRun
	}
	r.Report.Instance = c.host.instance.text(h.Peek(headerInstance))
	r.Report.Cold = len(h.Peek(headerCold)) > 0
	if load, err := strconv.ParseFloat(string(h.Peek(headerLoad)), 64); err == nil {
		r.Report.Load = load
	}
	if s, err := strconv.Atoi(string(h.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		r.Report.RetryAfter = time.Duration(s) * time.Second
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return parseAnswer(c, resp, r)
	case fasthttp.StatusConflict:
		r.Report.Outcome = scatter.OutcomeSnapshotMissing
		r.Held = parseHeld(string(h.Peek(headerSnapshots)))
	case fasthttp.StatusServiceUnavailable:
		r.Report.Outcome = scatter.OutcomeShed
		if len(h.Peek(headerDraining)) > 0 {
			r.Report.Outcome = scatter.OutcomeDraining
		}
	default:
		r.Report.Outcome = scatter.OutcomeFailed
	}
	return r, true
}

func parseAnswer(c *Call, resp *fasthttp.Response, r scatter.Result) (scatter.Result, bool) {
	h := &resp.Header
	shard, err := strconv.Atoi(string(h.Peek(headerShard)))
	if err != nil || shard != c.Attempt.Shard || string(h.Peek(headerService)) != c.Service {
		r.Report.Outcome = scatter.OutcomeMismatch
		return r, false
	}
	r.Report.Outcome = scatter.OutcomeAnswered
	r.Verdict = verdict.Ran
	r.Snapshot.ID = c.host.snapshot.text(h.Peek(headerSnapshot))
	r.Snapshot.Shards, _ = strconv.Atoi(string(h.Peek(headerSnapshotShards)))
	r.Body = append([]byte(nil), resp.Body()...)
	return r, true
}

// parseHeld reads "ID:SHARDS,ID:SHARDS" and skips what it can't read.
func parseHeld(s string) []scatter.SnapshotInfo {
	var out []scatter.SnapshotInfo
	for part := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(part), ":")
		shards, err := strconv.Atoi(n)
		if !ok || err != nil || shards < 1 {
			continue
		}
		out = append(out, scatter.SnapshotInfo{ID: id, Shards: shards})
	}
	return out
}
