package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/core/topk"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// maxHedgeFraction is the longest hedge delay as a fraction of a route's
// latency objective.
const maxHedgeFraction = 0.35

// proxyRequest serves one admitted request. Only the handler's goroutine
// accesses it; the goroutines of attempts send their results to done.
type proxyRequest struct {
	g              *Gateway
	in             *incoming
	services       []string // by shard
	head           []byte
	method         string
	latency        *fanout.Latency
	typicalLatency time.Duration
	deadline       time.Time
	query          *fanout.Query
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan attemptResult
	pending        int

	triedInstances [][]*placement.Instance // by shard
	shardAttempts  [][]*placement.Attempt
	responses      []upstreamhttp.Result // response of each shard that has one
	attempts       int
	hedges         int
	denied         int
	unplaced       int
	lastErr        error
	rejected       bool
}

type attemptResult struct {
	shard   int
	kind    fanout.Kind
	attempt *placement.Attempt
	answer  upstreamhttp.Result
}

// forward serves the request from upstreams.
func (g *Gateway) forward(in *incoming, w http.ResponseWriter, r *http.Request) {
	q := g.newProxyRequest(in, r)
	defer q.cleanup()
	now := time.Now()
	q.query.Start(now)
	disconnected := q.wait(r.Context())
	if disconnected {
		g.record(in, q.result(result{callerLeft: true}))
		return
	}
	g.record(in, q.respond(w))
}

func (g *Gateway) newProxyRequest(in *incoming, r *http.Request) *proxyRequest {
	q := &proxyRequest{
		g: g, in: in, method: r.Method,
		latency: g.latencyFor(in.route.Name),
	}
	if in.route.Sharded != nil {
		q.services = in.route.Sharded.Shards
	} else {
		q.services = []string{g.weights.next(in.route)}
	}
	for _, s := range q.services {
		g.retryBudget.Earn(s)
	}
	customer := ""
	if in.customer != nil {
		customer = in.customer.Name
	}
	q.head = g.headers.AppendRequest(make([]byte, 0, 512), r, customer)
	q.typicalLatency = q.latency.Median()
	n := len(q.services)
	q.triedInstances = make([][]*placement.Instance, n)
	q.shardAttempts = make([][]*placement.Attempt, n)
	q.responses = make([]upstreamhttp.Result, n)
	q.done = make(chan attemptResult, n)
	// Attempts may outlive the handler by Linger, so they don't use its context.
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.query = fanout.New(q.policy(), q)
	return q
}

// policy returns the time limits of the request.
func (q *proxyRequest) policy() fanout.Policy {
	p, route, start := &q.g.policy, q.in.route, q.in.started
	timeout := p.DefaultTimeout
	if q.in.info.HasTimeout {
		timeout = q.in.info.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	q.deadline = start.Add(timeout)
	softTimeout := max(route.Objective-p.CallerOverhead, route.Objective/2)
	minShare := 1.0
	if route.Sharded != nil {
		minShare = route.Sharded.MinShare
	}
	return fanout.Policy{
		Shards: len(q.services), MinShare: minShare,
		MaxRuns: route.Attempts, Idempotent: route.Idempotent,
		HedgeDelay:           q.latency.HedgeDelay(time.Duration(float64(route.Objective) * maxHedgeFraction)),
		SoftDeadline:         start.Add(softTimeout),
		UpstreamWaitDeadline: start.Add(min(route.Objective, timeout) / 4),
		Deadline:             start.Add(timeout - min(p.ResponseMargin, timeout/10)),
	}
}

// wait runs until the request has an outcome. It returns true if the caller
// disconnected first.
func (q *proxyRequest) wait(caller context.Context) bool {
	timer := time.NewTimer(time.Until(q.query.NextTimer(time.Now())))
	defer timer.Stop()
	for q.query.Outcome() == fanout.Running {
		select {
		case r := <-q.done:
			q.handleResult(r)
		case <-timer.C:
			q.query.OnTimer(time.Now())
		case <-caller.Done():
			return true
		}
		now := time.Now()
		timer.Reset(max(q.query.NextTimer(now).Sub(now), 0))
	}
	return false
}

func (q *proxyRequest) handleResult(r attemptResult) {
	q.pending--
	now := time.Now()
	usable := isUsable(q.in.route, &r.answer)
	q.reportOutcome(r, usable, now)
	if !usable {
		q.lastErr = r.answer.Err
		q.g.logAttempt(q, r)
	}
	if usable && r.kind == fanout.First {
		q.latency.Observe(now.Sub(r.answer.SentAt))
	}
	won := q.query.OnResult(now, r.shard, usable, r.answer.Verdict)
	if won && (usable || len(q.services) == 1 && r.answer.Response != nil) {
		q.storeResponse(r.shard, r.answer)
	} else if r.answer.Response != nil {
		fasthttp.ReleaseResponse(r.answer.Response)
	}
}

// storeResponse stores the response that is passed on for the shard.
func (q *proxyRequest) storeResponse(shard int, a upstreamhttp.Result) {
	if old := q.responses[shard].Response; old != nil {
		fasthttp.ReleaseResponse(old)
	}
	q.responses[shard] = a
}

// isUsable reports whether a response completes its shard. Error responses
// aren't merged. A 5xx response of a single upstream is passed on at once only
// if the request isn't idempotent.
func isUsable(route *routetable.Route, a *upstreamhttp.Result) bool {
	if a.Response == nil || a.Verdict == verdict.NotRun {
		return false
	}
	status := a.Response.StatusCode()
	if route.Sharded != nil {
		return status == http.StatusOK && a.Info.Signature != ""
	}
	return status < http.StatusInternalServerError || !route.Idempotent
}

// reportOutcome reports the outcome of an attempt to the picker.
func (q *proxyRequest) reportOutcome(r attemptResult, usable bool, now time.Time) {
	o := placement.Failed
	switch {
	case usable:
		o = placement.Answered
	case r.answer.Info.WrongInstance:
		o = placement.WrongInstance
	case r.answer.Info.NotRun:
		o, q.rejected = placement.Rejected, true
	case !r.answer.AnySent:
		o = placement.Unreachable
	}
	q.g.picker.Done(r.attempt, now, o, loadOf(&r.answer))
}

func loadOf(a *upstreamhttp.Result) *placement.Load {
	if !a.Info.HasLoad {
		return nil
	}
	return &placement.Load{Running: a.Info.Load.Running, Queued: a.Info.Load.Queued, Slots: a.Info.Load.Slots}
}

// respond sends the final response to the caller.
func (q *proxyRequest) respond(w http.ResponseWriter) result {
	switch q.query.Outcome() {
	case fanout.Success:
		if q.in.route.Sharded != nil {
			return q.writeMerged(w)
		}
		return q.writeUpstream(w)
	case fanout.TimedOut:
		return q.fail(w, ReasonTimedOut)
	default:
		if q.responses[0].Response != nil && len(q.services) == 1 && q.in.route.Sharded == nil &&
			q.responses[0].Verdict == verdict.Ran {
			return q.writeUpstream(w)
		}
		return q.fail(w, ReasonUpstreamsFailed)
	}
}

// fail responds without an upstream's response. If no attempt may have run the
// request and none is pending, the response promises that it hasn't run.
func (q *proxyRequest) fail(w http.ResponseWriter, reason Reason) result {
	if q.query.Verdict() == verdict.NotRun && q.pending == 0 {
		reason = ReasonNoUpstream
		if q.rejected {
			reason = ReasonRejectedByUpstreams
		}
	}
	q.g.refuse(w, reason, otherVMRetryAfter)
	return q.result(result{reason: reason, status: statusOf[reason]})
}

// impliesNotRun reports whether a status promises the caller that its request
// hasn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (q *proxyRequest) writeUpstream(w http.ResponseWriter) result {
	resp := q.responses[0].Response
	if impliesNotRun(resp.StatusCode()) { // the upstream didn't send it as a promise
		return q.fail(w, ReasonUpstreamsFailed)
	}
	h := w.Header()
	q.g.headers.CopyResponseHeaders(h, &resp.Header)
	body := resp.Body()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.g.closeIfStopping(h)
	w.WriteHeader(resp.StatusCode())
	_, err := w.Write(body)
	return q.result(result{status: resp.StatusCode(), writeErr: err})
}

func (q *proxyRequest) writeMerged(w http.ResponseWriter) result {
	var parts [][]byte
	var receipts []string
	for i := range q.responses {
		if a := &q.responses[i]; a.Response != nil {
			parts = append(parts, a.Response.Body())
			receipts = append(receipts, a.Info.Signature)
		}
	}
	body := topk.Merge(parts, q.in.route.Sharded.TopK)
	h := w.Header()
	q.g.headers.WriteMergedHeaders(h, q.in.info.ID, receipts, len(q.services)-len(receipts))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.g.closeIfStopping(h)
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(body)
	return q.result(result{status: http.StatusOK, missing: q.missing(), writeErr: err})
}

// missing returns the services without a response.
func (q *proxyRequest) missing() []string {
	var out []string
	for i := range q.responses {
		if q.responses[i].Response == nil {
			out = append(out, q.services[i])
		}
	}
	return out
}

// result fills in the counts of the request.
func (q *proxyRequest) result(r result) result {
	r.attempts, r.hedges, r.err = q.attempts, q.hedges, q.lastErr
	r.denied, r.unplaced = q.denied, q.unplaced
	r.shards, r.answered = len(q.services), q.query.Answered()
	if len(q.services) == 1 {
		for _, picked := range q.shardAttempts[0] {
			r.upstreams = append(r.upstreams, picked.Upstream.ID)
		}
	}
	return r
}

// cleanup releases the responses. Pending attempts go on for up to Linger, and
// their responses are dropped.
func (q *proxyRequest) cleanup() {
	for i := range q.responses {
		if resp := q.responses[i].Response; resp != nil {
			fasthttp.ReleaseResponse(resp)
		}
	}
	if q.pending == 0 {
		q.cancel()
		return
	}
	go q.drainAttempts()
}

// drainAttempts waits for the pending attempts, which are canceled after Linger,
// and reports them to the picker.
func (q *proxyRequest) drainAttempts() {
	timer := time.AfterFunc(q.g.policy.Linger, q.cancel)
	defer q.cancel()
	defer timer.Stop()
	for ; q.pending > 0; q.pending-- {
		r := <-q.done
		o := placement.Canceled
		if r.answer.Response != nil {
			fasthttp.ReleaseResponse(r.answer.Response)
		}
		q.g.picker.Done(r.attempt, time.Now(), o, loadOf(&r.answer))
	}
}
