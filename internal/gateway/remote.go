package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Executors sends queries to the VMs that run them for this one.
type Executors interface {
	// Candidates returns the VMs to ask, in order, for a query whose upstreams are in
	// the zones; none if this VM should run it itself.
	Candidates(now time.Time, zones map[string]bool) []string
	// Avoid excludes an executor that didn't accept a query for a while.
	Avoid(now time.Time, address string)
	// Accept asks a VM whether it would run a query now. It returns nil if so. The VM
	// runs nothing for this call.
	Accept(ctx context.Context, address string, r *executor.Request, timeout time.Duration) error
	// Execute has a VM run a query. Its errors are ExecuteErrors.
	Execute(ctx context.Context, address string, r *executor.Request) (executor.Result, error)
}

// ExecuteError is the error of a query that an executor didn't complete.
type ExecuteError struct {
	// NotRun reports whether the executor has not run the query and never will.
	NotRun bool
	Err    error
}

// Error implements error.
func (e *ExecuteError) Error() string { return "execute: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExecuteError) Unwrap() error { return e.Err }

const (
	// acceptFraction and maxAcceptTimeout limit the time in which an executor must
	// accept a query, as a fraction of the latency objective and absolutely. An idle
	// executor accepts within a round trip.
	acceptFraction   = 0.2
	maxAcceptTimeout = 40 * time.Millisecond
	// executorMargin is the part of the time left that is reserved for the way back
	// from the executor.
	executorMargin = 4 * time.Millisecond
	// minShardZoneFraction is the fraction of a route's shards that must have an
	// upstream in a zone for its executors to be chosen. Where the upstreams of each shard
	// are in few of many zones, all zones are alike.
	minShardZoneFraction = 0.25
)

// forwardToExecutor has an executor run the query. It returns false if this VM should
// run it itself.
func (g *Gateway) forwardToExecutor(in *incoming, w http.ResponseWriter, r *http.Request) bool {
	candidates := g.executors.Candidates(in.started, shardZones(in.view, in.route))
	if len(candidates) == 0 {
		return false
	}
	head := g.requestHead(in, r)
	for _, addr := range candidates {
		req := g.executorRequest(in, r.Method, head)
		err := g.executors.Accept(r.Context(), addr, req, g.acceptTimeout(in))
		if err == nil && g.executeRemote(in, w, r, addr, req) {
			return true
		}
		if r.Context().Err() != nil {
			g.record(in, requestResult{callerDisconnected: true, executor: addr, err: err})
			return true
		}
		g.executors.Avoid(time.Now(), addr)
		if err != nil {
			g.logExecutorFailure(in, addr, err)
		}
	}
	return false
}

// executeRemote has an executor that accepted the query run it, and responds to the
// caller. It returns false if the query hasn't run.
func (g *Gateway) executeRemote(in *incoming, w http.ResponseWriter, r *http.Request, addr string, req *executor.Request) bool {
	res, err := g.executors.Execute(r.Context(), addr, req)
	var failure *ExecuteError
	switch {
	case err == nil:
		g.record(in, g.respondRemote(in, w, addr, res))
		return true
	case r.Context().Err() != nil:
		g.record(in, requestResult{callerDisconnected: true, executor: addr, err: err})
		return true
	}
	g.logExecutorFailure(in, addr, err)
	if isQuarantined(err) {
		g.refuse(w, ReasonQuarantined, quarantineRetryAfter)
		g.record(in, requestResult{reason: ReasonQuarantined, status: statusOf[ReasonQuarantined], executor: addr, err: err})
		return true
	}
	if errors.As(err, &failure) && failure.NotRun {
		return false
	}
	// The executor may have sent the request to as many upstreams as the route allows.
	reason := ReasonExecutorLost
	if errors.Is(err, context.DeadlineExceeded) {
		reason = ReasonTimedOut
	}
	g.refuse(w, reason, 0)
	g.record(in, requestResult{reason: reason, status: statusOf[reason], executor: addr, err: err})
	return true
}

// quarantineRetryAfter is the Retry-After of a request that an executor has quarantined and
// this VM hasn't yet.
const quarantineRetryAfter = 10 * time.Second

// isQuarantined reports whether an executor rejected a query because it crashes upstreams.
func isQuarantined(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.Reason == string(ReasonQuarantined)
}

func (g *Gateway) acceptTimeout(in *incoming) time.Duration {
	if in.route.Objective <= 0 {
		return maxAcceptTimeout
	}
	return min(time.Duration(float64(in.route.Objective)*acceptFraction), maxAcceptTimeout)
}

func (g *Gateway) executorRequest(in *incoming, method string, head []byte) *executor.Request {
	timeout, soft := g.timeouts(in)
	used := time.Since(in.started) + executorMargin
	return &executor.Request{
		ID: in.info.ID, Route: in.route.Name, RouteFingerprint: in.route.Fingerprint(), Customer: in.customerName(),
		Method: method, Head: head, Body: in.body, Fingerprint: uint64(in.fingerprint),
		SoftTimeout: max(soft-used, 1), Timeout: max(timeout-used, 1),
	}
}

// respondRemote sends the caller the result of a query that an executor has run.
func (g *Gateway) respondRemote(in *incoming, w http.ResponseWriter, addr string, res executor.Result) requestResult {
	result := requestResult{
		executor: addr, missing: res.Missing, shards: len(in.route.Sharded.Shards), answered: res.Answered,
		attempts: res.Attempts, hedges: res.Hedges, deniedByBudget: res.DeniedByBudget, withoutUpstream: res.WithoutUpstream, atLimit: res.AtLimit,
	}
	if res.LastError != "" {
		result.err = errors.New(res.LastError)
	}
	if res.Failure == "" {
		result.status = http.StatusOK
		result.writeErr = g.writeMergedBody(w, in.info.ID, res.Body, res.Signatures, len(res.Missing))
		return result
	}
	result.missing = nil
	result.reason = Reason(res.Failure)
	if _, known := statusOf[result.reason]; !known || impliesNotRun(statusOf[result.reason]) && !res.NotRun {
		result.reason = ReasonUpstreamsFailed
	}
	result.status = statusOf[result.reason]
	g.refuse(w, result.reason, max(res.RetryAfter, otherVMRetryAfter))
	return result
}

func (g *Gateway) logExecutorFailure(in *incoming, addr string, err error) {
	g.log.Event("executor_failed").Str("request", in.info.ID).Str("executor", addr).
		Dur("after_ms", time.Since(in.started)).Str("error", err.Error()).Send()
}

// shardZones returns the zones with an upstream for most of the route's shards.
func shardZones(v *metadata.View, route *routetable.Route) map[string]bool {
	count := map[string]int{}
	for _, service := range route.Sharded.Shards {
		var last string // upstreams of a shard are seldom in the same zone
		for _, u := range v.Upstreams[service] {
			if u.Zone != last && !u.Draining && !v.Evacuated[u.Zone] {
				count[u.Zone]++
				last = u.Zone
			}
		}
	}
	out := map[string]bool{}
	for zone, n := range count {
		if float64(n) >= minShardZoneFraction*float64(len(route.Sharded.Shards)) {
			out[zone] = true
		}
	}
	return out
}
