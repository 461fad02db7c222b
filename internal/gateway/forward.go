package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// maxHedgeFraction is the longest hedge delay as a fraction of a route's
// latency objective.
const maxHedgeFraction = 0.35

// proxyRequest serves one admitted request. A request of an unsharded route has
// one service and counts as a request with one shard, shard 0. The goroutine of
// the handler owns the fields, and after it that of drainAttempts; the goroutines
// of attempts only read the fixed ones and send their results to done.
type proxyRequest struct {
	g                *Gateway
	in               *incoming
	services         []string // by shard
	requestHead      []byte   // request line and the headers that all attempts share
	releaseBody      func()   // called when no attempt uses the body any more; nil without a body
	method           string
	latency          *fanout.Latency // of the route's first attempts
	typicalLatency   time.Duration
	deadline         time.Time
	maxRuns          int // upstreams of each shard that may run the request
	query            *fanout.Query
	ctx              context.Context
	cancel           context.CancelFunc
	done             chan attemptResult
	attemptsInFlight int

	triedInstances  [][]*placement.Instance // by shard, for the picker to avoid
	shardAttempts   [][]*placement.Attempt  // by shard, all that were started
	shardResults    []upstreamhttp.Result   // by shard; Response is nil if the shard has none
	starting        bool                    // the first attempts are being placed
	firstAttempts   []firstAttempt
	attempts        int
	hedges          int
	deniedByBudget  int           // extra attempts that the retry budget didn't allow
	withoutUpstream int           // attempts without an available upstream
	unreachable     int           // attempts whose instances couldn't be connected to
	unreachableOf   []int         // the same by shard
	withdrawnOf     []int         // attempts that were withdrawn unwritten, by shard
	atLimit         int           // attempts that the upstreams' limits didn't admit
	retryAfter      time.Duration // of a refusal because of limits
	lastErr         error
	// lost counts the attempts whose connections their instances closed; responded is
	// set once an upstream has responded. Attempts' goroutines set them.
	lost      atomic.Int64
	responded atomic.Bool
	// earlierCrashes is the number of instances that had ended under such requests
	// before this one.
	earlierCrashes  int
	leftOut         []int // shards that the request does without, as they are short
	deniedByLoad    int   // extra attempts for which no upstream had a free slot under overload
	deniedAsSuspect int   // extra attempts that could have crashed another instance
	// writes counts the written attempts, by shard.
	writes writeCounts
	// elsewhere receives the result of the VM that the request was handed over to; nil if
	// it wasn't. runsElsewhere is set until the result, cancelElsewhere ends that VM's
	// attempts, and remote is the result if it completes the request.
	elsewhere       chan elsewhereResult
	runsElsewhere   bool
	cancelElsewhere context.CancelFunc
	remote          *elsewhereResult

	wasEnded           bool // the VM's own end is near
	rejectedByUpstream bool // an upstream reported that it didn't run an attempt
}

type attemptResult struct {
	shard          int
	kind           fanout.Kind
	attempt        *placement.Attempt
	upstreamResult upstreamhttp.Result
}

// forward serves the request from upstreams. It panics with http.ErrAbortHandler if the caller
// has left: a caller that has closed only its sending side would otherwise get the empty 200 of
// a handler that ends without a response.
func (g *Gateway) forward(in *incoming, w http.ResponseWriter, r *http.Request) {
	if !g.hasRoom(in) {
		g.refuseAndRecord(in, w, refusal{ReasonOverMemory, otherVMRetryAfter})
		return
	}
	if g.forwardElsewhere(in, w, r) {
		return
	}
	if refused := g.shed(in); refused != nil {
		g.refuseAndRecord(in, w, *refused)
		return
	}
	q := g.newProxyRequest(in, r.Method, g.requestHead(in, r))
	defer q.cleanup()
	q.start()
	disconnected := q.runUntilDone(r.Context())
	if disconnected {
		g.record(in, q.completeResult(requestResult{callerDisconnected: true}))
		panic(http.ErrAbortHandler)
	}
	if q.remote != nil {
		g.record(in, q.completeRemote(g.respondRemote(in, w, q.remote.executor, q.remote.result)))
		return
	}
	g.record(in, q.respond(w))
}

func (g *Gateway) refuseAndRecord(in *incoming, w http.ResponseWriter, refused refusal) {
	g.refuse(w, refused.reason, refused.retryAfter)
	g.record(in, requestResult{reason: refused.reason, status: statusOf[refused.reason]})
}

// newProxyRequest returns a request that has no attempts yet. head is the request line
// and the headers that all attempts share.
func (g *Gateway) newProxyRequest(in *incoming, method string, head []byte) *proxyRequest {
	q := &proxyRequest{
		g: g, in: in, method: method, requestHead: head,
		latency: g.latencyFor(in.route.Name), services: g.servicesOf(in), releaseBody: in.takeBody(),
	}
	// Each request adds to the retry budget of its services.
	for _, s := range q.services {
		if !in.wasHandedOver {
			g.retryBudget.AddForRequest(s)
		}
	}
	q.typicalLatency = q.latency.Median()
	q.earlierCrashes = g.quarantine.Crashes(uint64(in.fingerprint))
	n := len(q.services)
	q.triedInstances = make([][]*placement.Instance, n)
	q.shardAttempts = make([][]*placement.Attempt, n)
	q.shardResults = make([]upstreamhttp.Result, n)
	q.writes.count = make([]int, n)
	q.unreachableOf, q.withdrawnOf = make([]int, n), make([]int, n)
	q.done = make(chan attemptResult, n)
	// Attempts may outlive the handler by Policy.Linger, so they don't use its context.
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.query = fanout.New(q.policy(), q)
	return q
}

func (g *Gateway) requestHead(in *incoming, r *http.Request) []byte {
	return g.headers.AppendRequest(make([]byte, 0, 512), r, in.customerName())
}

// policy returns the limits of the request and sets its deadline. The soft deadline
// reserves the caller's overhead, but at most half of the latency objective. A
// shard may wait for an available upstream for a quarter of the objective or of
// the timeout, whichever is shorter. The margin for the response is at most a
// tenth of the timeout. MinShare is a fraction of the shards.
func (q *proxyRequest) policy() fanout.Policy {
	p, route, start := &q.g.policy, q.in.route, q.in.started
	timeout, softTimeout := q.g.timeouts(q.in)
	q.deadline = start.Add(timeout)
	minShare := 1.0
	if route.Sharded != nil {
		minShare = route.Sharded.MinShare
	}
	q.maxRuns = route.Attempts
	if q.in.maxRuns > 0 {
		q.maxRuns = min(q.maxRuns, q.in.maxRuns)
	}
	return fanout.Policy{
		Shards: len(q.services), MinShare: minShare,
		MaxRuns: q.maxRuns, Idempotent: route.Idempotent,
		HedgeDelay:           q.latency.HedgeDelay(time.Duration(float64(route.Objective) * maxHedgeFraction)),
		SoftDeadline:         start.Add(softTimeout),
		UpstreamWaitDeadline: start.Add(min(route.Objective, timeout) / 4),
		Deadline:             start.Add(timeout - min(p.ResponseMargin, timeout/10)),
	}
}

// timeouts returns the time after which the request is given up, and that after which
// a sufficient partial response is returned.
func (g *Gateway) timeouts(in *incoming) (timeout, soft time.Duration) {
	timeout = g.timeout(in)
	if left, draining := g.timeLeft(in.started); draining {
		timeout = min(timeout, left)
	}
	soft = max(in.route.Objective-g.policy.CallerOverhead, in.route.Objective/2)
	if in.softTimeout > 0 {
		soft = in.softTimeout
	}
	return timeout, soft
}

// timeout returns the time after which the request is given up, by its caller's and its route's
// timeout.
func (g *Gateway) timeout(in *incoming) time.Duration {
	timeout := g.policy.DefaultTimeout
	if in.info.HasTimeout {
		timeout = in.info.Timeout
	}
	if in.route.Timeout > 0 {
		timeout = min(timeout, in.route.Timeout)
	}
	return timeout
}

// runUntilDone handles results and timers until the request has an outcome. It
// returns true if the caller disconnected first.
func (q *proxyRequest) runUntilDone(caller context.Context) bool {
	timer := time.NewTimer(time.Until(q.query.NextTimer(time.Now())))
	defer timer.Stop()
	for q.query.Outcome() == fanout.Running {
		select {
		case r := <-q.done:
			q.handleResult(r)
		case r := <-q.elsewhere:
			if q.onElsewhereResult(r) {
				return false
			}
		case <-q.g.drain.ended.Done():
			q.wasEnded = true
			q.query.End()
			return false
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
	q.attemptsInFlight--
	now := time.Now()
	usable := isUsable(q.in.route, &r.upstreamResult)
	q.reportOutcome(r, usable, now)
	if !usable {
		q.lastErr = r.upstreamResult.Err
		q.g.logAttempt(q, r)
	}
	if usable && r.kind == fanout.First {
		q.latency.Observe(now.Sub(r.upstreamResult.SentAt))
	}
	shardWasOpen := q.query.OnResult(now, r.shard, usable, r.upstreamResult.Verdict)
	// With a single shard an error response is kept, too: on an unsharded route
	// respond passes it on if no attempt succeeds.
	if shardWasOpen && (usable || len(q.services) == 1 && r.upstreamResult.Response != nil) {
		q.storeResponse(r.shard, r.upstreamResult)
	} else {
		r.upstreamResult.Release()
	}
}

// storeResponse stores the shard's response, which is passed on to the caller or
// merged, and releases the one it replaces.
func (q *proxyRequest) storeResponse(shard int, a upstreamhttp.Result) {
	q.shardResults[shard].Release()
	q.shardResults[shard] = a
}

// isUsable reports whether a response completes its shard. On a sharded route
// only a signed response with status 200 does, since error responses can't be
// merged. On other routes every response below status 500 does, and a 5xx response
// only if the request isn't idempotent and so can't be retried.
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

// reportOutcome reports the outcome of an attempt to the picker, and records
// whether an upstream has rejected the request.
func (q *proxyRequest) reportOutcome(r attemptResult, usable bool, now time.Time) {
	outcome := placement.Failed
	switch {
	case usable:
		outcome = placement.Answered
	case errors.Is(r.upstreamResult.Err, upstreamhttp.ErrNotWritten):
		outcome = placement.Canceled
		q.withdrawnOf[r.shard]++
	case r.upstreamResult.Info.WrongInstance:
		outcome = placement.WrongInstance
	case r.upstreamResult.Info.NotRun:
		outcome, q.rejectedByUpstream = placement.Rejected, true
	case !r.upstreamResult.AnyBytesSent:
		outcome = placement.Unreachable
		q.unreachable++
		q.unreachableOf[r.shard]++
	}
	q.g.picker.Done(r.attempt, now, outcome, loadOf(&r.upstreamResult))
}

func loadOf(a *upstreamhttp.Result) *placement.Load {
	if !a.Info.HasLoad {
		return nil
	}
	return &placement.Load{Running: a.Info.Load.Running, Queued: a.Info.Load.Queued, Slots: a.Info.Load.Slots, Slowdown: a.Info.Load.Slowdown}
}

// completeResult fills in the counts and the last error of the request. If it has
// a single shard, it also fills in the upstreams of its attempts.
func (q *proxyRequest) completeResult(r requestResult) requestResult {
	r.attempts, r.hedges, r.err = q.attempts, q.hedges, q.lastErr
	r.deniedByBudget, r.withoutUpstream, r.atLimit = q.deniedByBudget, q.withoutUpstream, q.atLimit
	r.deniedAsSuspect, r.deniedByLoad, r.leftOut = q.deniedAsSuspect, q.deniedByLoad, len(q.leftOut)
	r.shards, r.answered = len(q.services), q.query.Answered()
	if len(q.services) == 1 {
		for _, picked := range q.shardAttempts[0] {
			r.upstreams = append(r.upstreams, picked.Upstream.ID)
		}
	}
	return r
}

// cleanup releases the responses. Pending attempts that have been written go on for up to
// Policy.Linger, and their responses are dropped.
func (q *proxyRequest) cleanup() {
	q.writes.withdraw()
	if q.cancelElsewhere != nil {
		q.cancelElsewhere()
	}
	q.releaseResponses()
	if q.attemptsInFlight == 0 {
		q.cancel()
		q.releaseHeldBody()
		return
	}
	go q.drainAttempts()
}

// releaseResponses releases the responses that are kept. It may be called more than once.
func (q *proxyRequest) releaseResponses() {
	for i := range q.shardResults {
		q.shardResults[i].Release()
	}
}

func (q *proxyRequest) releaseHeldBody() {
	if q.releaseBody != nil {
		q.releaseBody()
	}
}

// drainAttempts waits for the pending attempts, which are canceled after
// Policy.Linger. It reports them to the picker as canceled, however they ended.
func (q *proxyRequest) drainAttempts() {
	timer := time.AfterFunc(q.g.policy.Linger, q.cancel)
	defer q.releaseHeldBody()
	defer q.cancel()
	defer timer.Stop()
	for ; q.attemptsInFlight > 0; q.attemptsInFlight-- {
		r := <-q.done
		outcome := placement.Canceled
		r.upstreamResult.Release()
		q.g.picker.Done(r.attempt, time.Now(), outcome, loadOf(&r.upstreamResult))
	}
}
