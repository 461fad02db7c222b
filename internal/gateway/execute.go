package gateway

import (
	"context"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// RejectedError is the error of another VM's query that this one has not run and never
// will.
type RejectedError struct{ Reason string }

// Error implements error.
func (e *RejectedError) Error() string { return "rejected: " + e.Reason }

// maxRemoteQueries is the number of other VMs' queries that a VM runs at a time. With
// more, its processor delays all of them.
const maxRemoteQueries = 32

// AcceptQuery returns a RejectedError if this VM wouldn't run another VM's query now.
func (g *Gateway) AcceptQuery(id, route string, routeFingerprint uint64) error {
	r := &executor.Request{ID: id, Route: route, RouteFingerprint: routeFingerprint}
	if g.remoteQueries.Load() >= maxRemoteQueries {
		return g.reject(r, "busy")
	}
	if reason := g.checkRemote(g.remoteIncoming(r), r); reason != "" {
		return g.reject(r, reason)
	}
	return nil
}

// RunQuery runs a query for another VM, which has admitted it. It returns a
// RejectedError if it hasn't run the query, and the error of ctx if that ends first.
func (g *Gateway) RunQuery(ctx context.Context, r *executor.Request) (executor.Result, error) {
	g.remoteQueries.Add(1)
	defer g.remoteQueries.Add(-1)
	in := g.remoteIncoming(r)
	if reason := g.checkRemote(in, r); reason != "" {
		return executor.Result{}, g.reject(r, reason)
	}
	q := g.newProxyRequest(in, r.Method, r.Head)
	defer q.cleanup()
	q.start()
	if q.runUntilDone(ctx) {
		g.recordExecution(in, q.completeResult(requestResult{callerDisconnected: true}))
		return executor.Result{}, ctx.Err()
	}
	return q.remoteResult(), nil
}

func (g *Gateway) remoteIncoming(r *executor.Request) *incoming {
	return &incoming{
		started: time.Now(), view: g.metadata.View(), viewAge: g.metadata.Age(), body: r.Body,
		info:        RequestInfo{ID: r.ID, Timeout: r.Timeout, HasTimeout: true},
		softTimeout: r.SoftTimeout,
		fingerprint: Fingerprint(r.Fingerprint),
	}
}

// checkRemote sets the route and the customer of another VM's query, and returns why
// it is rejected, or "". Both VMs must have the same version of the route, so that a
// caller that has seen the effect of a change isn't served without it.
func (g *Gateway) checkRemote(in *incoming, r *executor.Request) string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case in.view == nil || in.viewAge > g.policy.MaxKeyStaleness:
		return string(ReasonStaleMetadata)
	}
	in.route = in.view.Table.RouteByName(r.Route)
	if in.route == nil || in.route.Sharded == nil {
		return string(ReasonNoRoute)
	}
	if in.route.Fingerprint() != r.RouteFingerprint {
		return "other_version_of_route"
	}
	if _, quarantined := g.quarantine.Quarantined(boottime.Now(), r.Fingerprint); quarantined {
		return string(ReasonQuarantined)
	}
	if r.Customer != "" {
		in.customer = &routetable.Customer{Name: r.Customer}
	}
	return ""
}

func (g *Gateway) reject(r *executor.Request, reason string) error {
	g.log.Event("query_rejected").Str("request", r.ID).Str("route", r.Route).Str("reason", reason).Send()
	return &RejectedError{Reason: reason}
}

func (q *proxyRequest) remoteResult() executor.Result {
	var out executor.Result
	result := requestResult{status: statusOf[ReasonTimedOut]}
	switch q.query.Outcome() {
	case fanout.Success:
		out.Body, out.Signatures = q.merge()
		out.Missing = q.missingServices()
		result = requestResult{status: http.StatusOK, missing: out.Missing}
	case fanout.TimedOut:
		result.reason = q.refineReason(ReasonTimedOut)
	default:
		result.reason = q.refineReason(ReasonUpstreamsFailed)
	}
	if result.reason != "" {
		result.status = statusOf[result.reason]
		out.Failure, out.NotRun = string(result.reason), impliesNotRun(result.status)
		out.RetryAfter = q.refusalRetryAfter(result.reason)
	}
	result = q.completeResult(result)
	out.Answered, out.Attempts, out.Hedges = result.answered, result.attempts, result.hedges
	out.DeniedByBudget, out.WithoutUpstream, out.AtLimit = result.deniedByBudget, result.withoutUpstream, result.atLimit
	if result.err != nil {
		out.LastError = result.err.Error()
	}
	q.g.recordExecution(q.in, result)
	return out
}
