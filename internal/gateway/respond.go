package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/topk"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// respond sends the caller the upstream's response, the merged responses or an
// error. The last response of an unsharded route is passed on even after a failure
// if its upstream ran the request.
func (q *proxyRequest) respond(w http.ResponseWriter) requestResult {
	if q.hasMergedResponse() {
		return q.writeMerged(w)
	}
	if resp := q.upstreamResponse(); resp != nil {
		return q.writeUpstream(w, resp)
	}
	return q.fail(w)
}

// hasMergedResponse reports whether enough shards have responded.
func (q *proxyRequest) hasMergedResponse() bool {
	return q.in.route.Sharded != nil && q.query.Outcome() == fanout.Success
}

// upstreamResponse returns the response of an unsharded route that is passed on, or nil.
// The last one is passed on even after a failure if its upstream ran the request. One
// whose status would guarantee the caller that the request hasn't run isn't: the upstream
// didn't send it as a guarantee.
func (q *proxyRequest) upstreamResponse() *fasthttp.Response {
	if q.in.route.Sharded != nil {
		return nil
	}
	a := &q.shardResults[0]
	switch outcome := q.query.Outcome(); {
	case a.Response == nil || impliesNotRun(a.Response.StatusCode()):
		return nil
	case outcome == fanout.Success, outcome == fanout.Unanswerable && a.Verdict == verdict.Ran:
		return a.Response
	}
	return nil
}

// failureReason ends the request without a response to pass on, and returns why there is
// none. Attempts that still wait for a connection are withdrawn.
func (q *proxyRequest) failureReason() Reason {
	q.writes.withdraw()
	switch {
	case q.wasEnded:
		return q.refineReason(ReasonStopped)
	case q.query.Outcome() == fanout.TimedOut:
		return q.refineReason(ReasonTimedOut)
	}
	q.awaitRejections()
	return q.refineReason(ReasonUpstreamsFailed)
}

// rejectionTime is the time in which an upstream rejects an attempt that it won't run.
const rejectionTime = 5 * time.Millisecond

// awaitRejections waits for the attempts of a query that has failed by a shard, if none may
// have run it so far. If all of them are rejected, the caller knows that it hasn't run.
func (q *proxyRequest) awaitRejections() {
	timer := time.NewTimer(rejectionTime)
	defer timer.Stop()
	for q.attemptsInFlight > 0 && q.writes.any() && q.query.Verdict() == verdict.NotRun {
		select {
		case r := <-q.done:
			q.handleResult(r)
		case <-timer.C:
			return
		}
	}
}

// fail responds without an upstream's response. If no upstream may have run the request,
// the response guarantees that it hasn't run; only such responses carry a Retry-After.
func (q *proxyRequest) fail(w http.ResponseWriter) requestResult {
	reason := q.failureReason()
	q.g.refuse(w, reason, q.refusalRetryAfter(reason))
	return q.completeResult(requestResult{reason: reason, status: statusOf[reason]})
}

// refusalRetryAfter returns the Retry-After of a refusal.
func (q *proxyRequest) refusalRetryAfter(reason Reason) time.Duration {
	if reason == ReasonUpstreamsAtLimit {
		return q.retryAfter
	}
	return otherVMRetryAfter
}

// refineReason replaces the reason of a request that no upstream may have run or will run,
// here or by another VM.
func (q *proxyRequest) refineReason(reason Reason) Reason {
	switch {
	case q.query.Verdict() != verdict.NotRun || q.runsElsewhere || q.writes.any():
		return reason
	case q.wasEnded:
		return ReasonStopping
	case q.rejectedByUpstream:
		return ReasonRejectedByUpstreams
	case q.atLimit > 0:
		return ReasonUpstreamsAtLimit
	}
	return ReasonNoUpstream
}

// impliesNotRun reports whether a status guarantees the caller that its request
// hasn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (q *proxyRequest) writeUpstream(w http.ResponseWriter, resp *fasthttp.Response) requestResult {
	h := w.Header()
	q.g.headers.CopyResponseHeaders(h, &resp.Header)
	body := resp.Body()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.g.closeIfDraining(h)
	q.g.responseSizes.Observe(q.in.route.Name, int64(len(body)))
	q.in.conn.Lend(int64(len(body)))
	defer q.in.conn.Lend(-int64(len(body)))
	w.WriteHeader(resp.StatusCode())
	_, err := w.Write(body)
	return q.completeResult(requestResult{status: resp.StatusCode(), writeErr: err})
}

// merge returns the merged body and the signatures of the responses in it.
func (q *proxyRequest) merge() (body []byte, signatures []string) {
	var parts [][]byte
	var size int64
	for i := range q.shardResults {
		if a := &q.shardResults[i]; a.Response != nil {
			parts = append(parts, a.Response.Body())
			size += int64(len(a.Response.Body()))
			signatures = append(signatures, a.Info.Signature)
		}
	}
	q.g.responseSizes.Observe(q.in.route.Name, size)
	return topk.Merge(parts, q.in.route.Sharded.TopK), signatures
}

func (q *proxyRequest) writeMerged(w http.ResponseWriter) requestResult {
	body, signatures := q.merge()
	missing := q.missingServices()
	q.releaseResponses()
	err := q.g.writeMergedBody(w, q.in, body, signatures, len(missing))
	return q.completeResult(requestResult{status: http.StatusOK, missing: missing, writeErr: err})
}

// writeMergedBody sends a response that was merged from shards.
func (g *Gateway) writeMergedBody(w http.ResponseWriter, in *incoming, body []byte, signatures []string, missing int) error {
	h := w.Header()
	g.headers.WriteMergedHeaders(h, in.info.ID, signatures, missing)
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	g.closeIfDraining(h)
	in.conn.Hold(int64(len(body)))
	defer in.conn.Release(int64(len(body)))
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(body)
	return err
}

// missingServices returns the services of the shards without a response.
func (q *proxyRequest) missingServices() []string {
	var out []string
	for i := range q.shardResults {
		if q.shardResults[i].Response == nil {
			out = append(out, q.services[i])
		}
	}
	return out
}
