package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/reachability"
)

// RejectedError is the error of another VM's request that this one has not run and never
// will.
type RejectedError struct {
	Reason string
	// RetryAfter is how long the caller should wait; 0 if the rejection says nothing about
	// it.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RejectedError) Error() string { return "rejected: " + e.Reason }

// maxRemoteQueries is the number of other VMs' requests that a VM runs at a time. With
// more, its processor delays all of them.
const maxRemoteQueries = 32

// Reasons of RejectedErrors that are no Reasons of responses.
const (
	rejectedBusy     = "busy"
	rejectedIsolated = "isolated"
	// rejectedSuspect means that this VM may be isolated.
	rejectedSuspect  = "suspect"
	rejectedStopping = "stopping"
	// rejectedOtherVersion means that this VM's configuration handles the request otherwise
	// than the sender's.
	rejectedOtherVersion = "other_version_of_route"
)

// isOverload reports whether the VM rejected the request because of load, so that it, or
// another VM, may accept it later.
func (e *RejectedError) isOverload() bool {
	return e.Reason == rejectedBusy || e.Reason == string(ReasonOverloaded)
}

// isShort reports whether the VM may accept another request now or very soon.
func (e *RejectedError) isShort() bool {
	return e.isOverload() || e.isOtherVersion() || e.Reason == rejectedSuspect || e.Reason == string(ReasonQuarantined)
}

// isOtherVersion reports whether the VMs handle the request by different versions of the
// configuration. A VM with an older build that has no route of the name says so.
func (e *RejectedError) isOtherVersion() bool {
	return e.Reason == rejectedOtherVersion || e.Reason == string(ReasonNoRoute)
}

// AcceptsQueries reports whether this VM runs requests of other VMs: it doesn't while it
// reaches no upstream, or has only just reached one again.
func (g *Gateway) AcceptsQueries() bool { return g.reachable.State() == reachability.Connected }

// AcceptQuery returns a RejectedError if this VM wouldn't run another VM's request now.
func (g *Gateway) AcceptQuery(r *executor.Request) error {
	if !g.AcceptsQueries() {
		return g.reject(r, rejectedIsolated)
	}
	if g.reachable.IsSuspect(time.Now()) {
		return g.reject(r, rejectedSuspect)
	}
	if g.remoteQueries.Load() >= maxRemoteQueries {
		return g.reject(r, rejectedBusy)
	}
	in := g.remoteIncoming(r)
	if err := g.checkRemote(in, r); err != nil {
		return err
	}
	if !g.hasRoom(in) {
		return g.reject(r, rejectedBusy)
	}
	if refused := g.shed(in); refused != nil {
		return &RejectedError{Reason: string(refused.reason), RetryAfter: refused.retryAfter}
	}
	return nil
}

// RunQuery runs a request for another VM, which has admitted it. It returns a
// RejectedError if it hasn't run the request, and the error of ctx if that ends first.
func (g *Gateway) RunQuery(ctx context.Context, r *executor.Request) (executor.Result, error) {
	g.remoteQueries.Add(1)
	defer g.remoteQueries.Add(-1)
	var err error
	if r.Host, r.Path, err = targetOf(r.Head); err != nil {
		return executor.Result{}, g.reject(r, string(ReasonBadRequest))
	}
	in := g.remoteIncoming(r)
	if err := g.checkRemote(in, r); err != nil {
		return executor.Result{}, err
	}
	q := g.newProxyRequest(in, r.Method, r.Head)
	defer q.cleanup()
	q.start()
	if q.runUntilDone(ctx) {
		g.recordExecution(in, q.completeResult(requestResult{callerDisconnected: true}))
		return executor.Result{}, ctx.Err()
	}
	if q.remote != nil {
		return q.passOnRemote(), nil
	}
	return q.remoteResult(), nil
}

func (g *Gateway) remoteIncoming(r *executor.Request) *incoming {
	return &incoming{
		started: time.Now(), view: g.metadata.View(), viewAge: g.metadata.Age(), body: r.Body,
		info:        RequestInfo{ID: r.ID, Timeout: r.Timeout, HasTimeout: true},
		wasLate:     r.Late,
		softTimeout: r.SoftTimeout, maxRuns: r.MaxRuns, wasHandedOver: r.HandedOver,
		fingerprint: Fingerprint(r.Fingerprint), keyDigest: r.KeyDigest,
	}
}

// checkRemote sets the route and the customer of another VM's request. It returns a
// RejectedError if this VM doesn't run the request.
func (g *Gateway) checkRemote(in *incoming, r *executor.Request) error {
	switch {
	case g.isDraining():
		return g.reject(r, rejectedStopping)
	case in.view == nil || in.viewAge > g.policy.MaxKeyStaleness:
		return g.reject(r, string(ReasonStaleMetadata))
	}
	if d := findRemoteRoute(in, r); d != "" {
		return g.rejectVersion(in, r, d)
	}
	if _, quarantined := g.quarantine.Quarantined(boottime.Now(), r.Fingerprint); quarantined {
		return g.reject(r, string(ReasonQuarantined))
	}
	return nil
}

func (g *Gateway) reject(r *executor.Request, reason string) error {
	g.metrics.rejectedExecutions(reason).Inc()
	g.log.Event("query_rejected").Str("request", r.ID).Str("route", r.Route).Str("reason", reason).Send()
	return &RejectedError{Reason: reason}
}

func (q *proxyRequest) remoteResult() executor.Result {
	var out executor.Result
	var result requestResult
	if resp := q.upstreamResponse(); resp != nil {
		out.Status, out.Headers, out.Body = resp.StatusCode(), q.g.encodeHeaders(resp), bytes.Clone(resp.Body())
		result = requestResult{status: out.Status}
	} else if q.hasMergedResponse() {
		out.Body, out.Signatures = q.merge()
		out.Missing = q.missingServices()
		result = requestResult{status: http.StatusOK, missing: out.Missing}
	} else {
		result.reason = q.failureReason()
		result.status = statusOf[result.reason]
		out.Failure, out.NotRun = string(result.reason), impliesNotRun(result.status)
		out.RetryAfter = q.refusalRetryAfter(result.reason)
	}
	result = q.completeResult(result)
	out.Upstreams = result.upstreams
	out.Answered, out.Attempts, out.Hedges = result.answered, result.attempts, result.hedges
	out.DeniedByBudget, out.WithoutUpstream, out.AtLimit = result.deniedByBudget, result.withoutUpstream, result.atLimit
	if result.err != nil {
		out.LastError = result.err.Error()
	}
	q.g.recordExecution(q.in, result)
	return out
}

// encodeHeaders returns the headers of an upstream's response that are passed on.
func (g *Gateway) encodeHeaders(resp *fasthttp.Response) []executor.Header {
	h := http.Header{}
	g.headers.CopyResponseHeaders(h, &resp.Header)
	var out []executor.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, executor.Header{Name: name, Value: v})
		}
	}
	return out
}
