package leaf

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// retryAfterSeconds is the Retry-After header of a request that was shed or
// expired in the queue.
const retryAfterSeconds = "1"

// serve handles one request of the protocol in docs/UPSTREAM.md.
func (inc *incarnation) serve(ctx *fasthttp.RequestCtx) {
	inc.waitUntilThawed()
	switch string(ctx.Path()) {
	case "/v1/query":
		inc.serveQuery(ctx)
	case "/health":
		inc.serveHealth(ctx)
	case "/load":
		inc.serveLoad(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (inc *incarnation) serveQuery(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("a query is a POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	now := time.Now()
	a := inc.parseAttempt(ctx, now)
	d := a.receive(now)
	work := d.work
	switch d.outcome {
	case OutcomeRunning:
	case OutcomeQueued:
		var granted bool
		work, granted = a.waitForSlot(d.waiter)
		if !granted {
			return
		}
	default:
		a.reject(d.outcome)
		return
	}
	outcome := OutcomeAnswered
	if work > 0 {
		outcome = a.runWork(work)
	}
	// The response is built before the slot is released, so that the reported load
	// includes this request.
	a.respond(outcome)
	a.finish(outcome)
}

// reject sets the response of an attempt that did not start.
func (a *attempt) reject(o Outcome) {
	r := &a.ctx.Response
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("X-Not-Run", "1")
	switch o {
	case OutcomeSnapshotMissing:
		r.SetStatusCode(fasthttp.StatusConflict)
		r.Header.Set("X-Snapshots", formatSnapshots(a.heldSnapshots))
	case OutcomeMisrouted:
		r.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	case OutcomeCanceledQueued:
		a.ctx.SetConnectionClose()
	case OutcomeDraining:
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
		r.Header.Set("X-Draining", "1")
	default:
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
		r.Header.Set("Retry-After", retryAfterSeconds)
	}
}

func formatSnapshots(held []Snapshot) string {
	var out []byte
	for i, s := range held {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, s.ID...)
		out = append(out, ':')
		out = strconv.AppendInt(out, int64(s.Shards), 10)
	}
	return string(out)
}

// respond sets the response of an attempt that started.
func (a *attempt) respond(o Outcome) {
	switch o {
	case OutcomeAnswered:
		a.writeAnswer()
	case OutcomeTimedOut:
		a.ctx.Response.Header.Set("X-Attempt-Id", a.id)
		a.ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		a.ctx.SetConnectionClose()
		a.ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func (a *attempt) writeAnswer() {
	l := a.inc.leaf
	h := &a.ctx.Response.Header
	s := a.responseInfo()
	h.Set("X-Attempt-Id", a.id)
	h.Set("X-Service", a.service)
	h.Set("X-Shard", strconv.Itoa(a.shard))
	h.Set("X-Instance", a.inc.id)
	h.Set("X-Load", strconv.FormatFloat(s.load, 'f', 2, 64))
	if a.snapshot.ID != "" {
		h.Set("X-Snapshot", a.snapshot.ID)
		h.Set("X-Snapshot-Shards", strconv.Itoa(a.snapshot.Shards))
	}
	if s.cold {
		h.Set("X-Cold", "1")
	}
	a.ctx.SetContentType("application/json")
	buffer := a.ctx.Response.SwapBody(nil)
	body := AppendAnswer(buffer[:0], l.cfg.Service, a.shard, a.snapshot.ID, a.digest, s.size)
	a.ctx.Response.SwapBody(body)
	a.applyFault(s.previousAttempt, s.fault)
}

// responseInfo is the leaf's state to report in a response, and the response's
// size and fault.
type responseInfo struct {
	load            float64
	cold            bool
	size            int
	fault           responseFault
	previousAttempt string
}

func (a *attempt) responseInfo() responseInfo {
	l := a.inc.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.policy
	s := responseInfo{size: p.AnswerBytes, fault: a.inc.drawFault(), previousAttempt: a.inc.lastAttempt}
	a.inc.lastAttempt = a.id
	if p.ReportIdle {
		return s
	}
	s.load = float64(a.inc.running) / float64(max(p.Slots, 1))
	s.cold = a.inc.isCold(time.Now()) && !p.HideCold
	return s
}
