package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// Send implements fanout.Sender.
func (q *proxyRequest) Send(shard int, kind fanout.Kind) fanout.SendResult {
	if slices.Contains(q.leftOut, shard) {
		return fanout.NoBudget
	}
	if kind != fanout.First && q.maySpreadCrash() {
		q.deniedAsSuspect++
		return fanout.NoBudget
	}
	now := time.Now()
	if kind != fanout.First && q.handOver(now, shard) {
		return fanout.Elsewhere
	}
	if q.awaitsFirstResponse(kind) {
		q.deniedAsSuspect++
		return fanout.NoBudget
	}
	if kind != fanout.First && !q.replacesUnsent(shard, kind) && !q.admitsExtra(now, shard, kind) {
		q.deniedByLoad++
		return fanout.NoBudget
	}
	if q.elsewhere != nil { // this VM adds no attempts to those of the other one
		return fanout.NoBudget
	}
	service := q.services[shard]
	q.markSlow(shard, now)
	picked, shortage := q.g.picker.Pick(now, placement.Request{
		Service: service, TypicalLatency: q.typicalLatency, Tried: q.triedInstances[shard],
		// If all instances have been tried, a second attempt at one is better than none.
		RetryTried:           kind == fanout.Retry,
		ExtraAttemptScarcity: q.g.retryBudget.Scarcity(service),
	})
	switch {
	case picked != nil:
	case shortage.AtLimit:
		q.refusedByLimit(shortage)
		return fanout.AtLimit
	case shortage.OpensIn > 0:
		q.refusedAsClosed(shortage)
		return fanout.AtLimit
	default:
		q.withoutUpstream++
		return fanout.NoUpstream
	}
	if !q.replacesUnsent(shard, kind) && !q.takeBudget(service, kind) {
		q.g.picker.Done(picked, now, placement.Canceled, nil)
		q.deniedByBudget++
		q.g.metrics.extraAttemptsDenied.Inc()
		return fanout.NoBudget
	}
	q.attempts++
	q.attemptsInFlight++
	q.triedInstances[shard] = append(q.triedInstances[shard], picked.Instance)
	q.shardAttempts[shard] = append(q.shardAttempts[shard], picked)
	start := func() { go q.attempt(shard, kind, picked) }
	if q.starting {
		q.firstAttempts = append(q.firstAttempts, firstAttempt{picked, start})
	} else {
		start()
	}
	return fanout.Started
}

// firstAttempt is a first attempt that has been placed and not yet started.
type firstAttempt struct {
	picked *placement.Attempt
	start  func()
}

// start places the first attempts of all shards, and then starts them unless too many
// shards have no upstream for a success.
func (q *proxyRequest) start() {
	now := time.Now()
	r := q.g.shedRequest(q.in)
	q.leftOut = q.g.shedder.LeaveOut(&r)
	q.starting = true
	q.query.Start(now)
	q.starting = false
	running := q.query.Outcome() == fanout.Running
	for _, a := range q.firstAttempts {
		if running {
			a.start()
			continue
		}
		q.g.picker.Done(a.picked, now, placement.Canceled, nil)
		q.attempts--
		q.attemptsInFlight--
	}
	q.firstAttempts = nil
}

const (
	// limitRetryAfter is the Retry-After at limits that admit nearly all attempts; it
	// grows as they admit less, so that callers' retries don't add to the demand, up to
	// maxLimitRetryAfter.
	limitRetryAfter    = 100 * time.Millisecond
	maxLimitRetryAfter = time.Second
)

// refusedByLimit records an attempt that the upstreams' limits don't admit.
func (q *proxyRequest) refusedByLimit(s placement.Shortage) {
	q.atLimit++
	wait := maxLimitRetryAfter
	if s.AdmittedFraction > 0 {
		wait = min(time.Duration(float64(limitRetryAfter)/s.AdmittedFraction), maxLimitRetryAfter)
	}
	q.retryAfter = max(q.retryAfter, wait)
}

// closedSpread is the largest fraction that is added to the Retry-After of requests whose
// upstreams are closed, so that callers don't return together.
const closedSpread = 0.5

// refusedAsClosed records an attempt all of whose instances take no requests of this VM.
func (q *proxyRequest) refusedAsClosed(s placement.Shortage) {
	q.atLimit++
	q.retryAfter = max(q.retryAfter, time.Duration(float64(s.OpensIn)*(1+closedSpread*rand.Float64())))
}

// replacesUnsent reports whether a retry is the first attempt of its shard to be sent to an
// upstream, so that it is no extra attempt at the service.
func (q *proxyRequest) replacesUnsent(shard int, kind fanout.Kind) bool {
	return kind == fanout.Retry && q.unreachableOf[shard]+q.withdrawnOf[shard] == len(q.shardAttempts[shard])
}

// takeBudget takes the cost of an attempt of that kind from the retry budget
// and returns false if there isn't enough. First attempts are free.
func (q *proxyRequest) takeBudget(service string, kind fanout.Kind) bool {
	ok := true
	switch kind {
	case fanout.Hedge:
		ok = q.g.retryBudget.TakeHedge(service)
	case fanout.Retry, fanout.UrgentHedge:
		ok = q.g.retryBudget.Take(service)
	}
	if ok && (kind == fanout.Hedge || kind == fanout.UrgentHedge) {
		q.hedges++
	}
	return ok
}

// markSlow records the latency so far of the shard's earlier attempts, including
// those that have ended, when another attempt is due.
func (q *proxyRequest) markSlow(shard int, now time.Time) {
	for _, picked := range q.shardAttempts[shard] {
		q.g.picker.MarkSlow(picked, now)
	}
}

// maxShardBodyBytes limits the response of one shard, as those of all shards are in
// memory at a time.
const maxShardBodyBytes = 256 << 10

// observeStatements records what an upstream states of itself in its response.
func (q *proxyRequest) observeStatements(picked *placement.Attempt, a *upstreamhttp.Result) {
	if a.Response == nil || a.Info.WrongInstance {
		return
	}
	u, now := picked.Upstream, time.Now()
	if a.Info.Leaving && q.g.picker.MarkLeaving(picked, now) {
		q.g.pools.Get(u).WithdrawWaiting()
		q.g.log.Event("upstream_leaving").Str("service", u.Service).Str("upstream", u.ID).Str("request", q.in.info.ID).Send()
	}
	if a.Info.NotRun && a.Info.RetryAfter > 0 {
		closedFor := q.g.picker.MarkClosed(picked, now, a.Info.RetryAfter)
		q.g.pools.Get(u).WithdrawWaiting()
		q.g.log.Event("upstream_closed").Str("service", u.Service).Str("upstream", u.ID).Str("request", q.in.info.ID).
			Dur("stated_ms", a.Info.RetryAfter).Dur("closed_ms", closedFor).Send()
	}
}

// observe records what the end of an attempt shows of the upstream and the request.
func (q *proxyRequest) observe(u routetable.Upstream, a *upstreamhttp.Result) {
	now := boottime.Now()
	switch {
	case a.Response != nil && a.OnNewConnection:
		q.g.reachable.Opened(time.Now())
		q.g.reachable.Responded(time.Now())
	case a.Response != nil:
		q.g.reachable.Responded(time.Now())
	case a.OnNewConnection && a.ConnectionClosed():
		q.g.reachable.OpenFailed(u.Address)
	}
	if a.Info.MalformedLoad != "" {
		q.g.malformedLoads.add(now, u, a.Info.MalformedLoad)
	}
	if a.Response != nil && !a.Info.WrongInstance {
		q.g.limits.Observe(now, u.ID, a.Info.LimitPerSecond, a.Info.HasLimit)
	}
	switch {
	case a.Response != nil && a.Verdict == verdict.Ran:
		q.responded.Store(true)
		q.g.quarantine.AddResponse(now, uint64(q.in.fingerprint))
	case a.ConnectionLost():
		q.lost.Add(1)
		q.onConnectionLost(u, a)
	}
}

// attempt sends the request to one upstream.
func (q *proxyRequest) attempt(shard int, kind fanout.Kind, picked *placement.Attempt) {
	u := picked.Upstream
	req := &upstreamhttp.Request{
		ID: q.in.info.ID, Head: q.requestHead, Body: q.in.body,
		AppendDeadlineHeaders: func(dst []byte, remaining time.Duration) []byte {
			return q.g.headers.AppendAttempt(dst, remaining, u.ID)
		},
		ForceContentLength: q.method != http.MethodGet && q.method != http.MethodHead,
		NoResponseBody:     q.method == http.MethodHead,
		Deadline:           q.deadline,
	}
	if q.in.route.Sharded != nil {
		req.MaxBodyBytes = maxShardBodyBytes
	}
	begun, reason := time.Now(), Withdrawal("")
	req.IsWanted = func() bool { return q.withdrawal(picked, time.Now()) == "" }
	q.g.reachable.Sent(begun, u.ID)
	a := q.g.pools.Get(u).Do(q.ctx, req, func() bool {
		reason = q.beginWrite(shard, kind, picked, begun)
		return reason == ""
	})
	switch {
	case errors.Is(a.Err, upstreamhttp.ErrNotWritten):
		q.recordWithdrawn(&a, picked, reason, time.Since(begun))
	case !a.SentAt.IsZero() && a.Verdict == verdict.NotRun:
		q.writes.undo(shard)
	}
	dropUnsigned(&a)
	q.observeInvalid(u, &a)
	q.observeStatements(picked, &a)
	q.observe(u, &a)
	q.done <- attemptResult{shard: shard, kind: kind, attempt: picked, upstreamResult: a}
}
