package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/reachability"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Executors sends requests to the VMs that run them for this one.
type Executors interface {
	// Candidates returns the VMs to ask, in order, for a query whose upstreams are in
	// the zones; none if this VM should run it itself.
	Candidates(now time.Time, zones map[string]bool) []string
	// Helpers returns the VMs to ask, in order, for a request of a VM that reaches no
	// upstream.
	Helpers(now time.Time) []string
	// Avoid excludes a VM that didn't accept a request for a while.
	Avoid(now time.Time, address string)
	// Accept asks a VM whether it would run a request now. It returns nil if so. The VM
	// runs nothing for this call.
	Accept(ctx context.Context, address string, r *executor.Request, timeout time.Duration) error
	// Execute has a VM run a request. Its errors are ExecuteErrors.
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
	// executor accepts within a round trip. A VM that can't run the request itself waits
	// for maxAcceptTimeout.
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

// forwardElsewhere has another VM run the request. It returns false if this VM should run
// it itself.
func (g *Gateway) forwardElsewhere(in *incoming, w http.ResponseWriter, r *http.Request) bool {
	others := g.otherVMs(in)
	if len(others.addresses) == 0 {
		return false
	}
	in.othersAsked = true
	ctx, cancel := g.withDrain(r.Context())
	defer cancel()
	res := g.runElsewhere(ctx, others, g.executorRequest(in, r.Method, g.requestHead(in, r)), in)
	if res.notRun && res.otherVersion && g.awaitOtherVersion(ctx, in) {
		if refused := g.readmit(in, r); refused != nil {
			g.refuseAndRecord(in, w, *refused)
			return true
		}
		res = g.runElsewhere(ctx, g.helpers(time.Now()), g.executorRequest(in, r.Method, g.requestHead(in, r)), in)
	}
	switch {
	case r.Context().Err() != nil:
		g.record(in, requestResult{callerDisconnected: true, executor: res.executor, err: res.err})
		panic(http.ErrAbortHandler) // see forward
	case res.err == nil:
		g.record(in, g.respondRemote(in, w, res.executor, res.result))
	case isQuarantined(res.err):
		g.refuse(w, ReasonQuarantined, quarantineRetryAfter)
		g.record(in, requestResult{reason: ReasonQuarantined, status: statusOf[ReasonQuarantined], executor: res.executor, err: res.err})
	case isRejectedForLoad(res.err):
		retryAfter := retryAfterOf(res.err)
		g.refuse(w, ReasonOverloaded, retryAfter)
		g.record(in, requestResult{reason: ReasonOverloaded, status: statusOf[ReasonOverloaded], executor: res.executor, err: res.err})
	case res.notRun && res.otherVersion && g.reachable.State() == reachability.Isolated:
		g.refuseAndRecord(in, w, refusal{ReasonNoUpstream, otherVMRetryAfter})
	case res.notRun:
		return false
	default:
		// The other VM may have sent the request to as many upstreams as the route allows.
		reason := ReasonExecutorLost
		switch {
		case g.isEnded():
			reason = ReasonStopped
		case errors.Is(res.err, context.DeadlineExceeded):
			reason = ReasonTimedOut
		}
		g.refuse(w, reason, 0)
		g.record(in, requestResult{reason: reason, status: statusOf[reason], executor: res.executor, err: res.err})
	}
	return true
}

// otherVMs returns the VMs to ask, in order, before this VM runs the request itself. A VM
// that reaches no upstream asks for all requests, one that recovers for a falling fraction.
func (g *Gateway) otherVMs(in *incoming) otherVMs {
	if rand.Float64() >= g.reachable.LocalFraction(in.started) {
		if helpers := g.helpers(in.started); len(helpers.addresses) > 0 {
			return helpers
		}
	}
	if in.route.Sharded == nil {
		return otherVMs{}
	}
	return otherVMs{addresses: g.executors.Candidates(in.started, shardZones(in.view, in.route)), acceptTimeout: g.acceptTimeout(in)}
}

// otherVMs are the VMs to ask to run a request.
type otherVMs struct {
	addresses []string // in order
	// acceptTimeout is the time in which each must accept.
	acceptTimeout time.Duration
	// areHelpers is set if this VM's links may have failed. A VM that has no upstream for
	// the request then isn't the last to be asked, as its links may have failed, too.
	areHelpers bool
}

func (g *Gateway) helpers(now time.Time) otherVMs {
	return otherVMs{addresses: g.executors.Helpers(now), acceptTimeout: maxAcceptTimeout, areHelpers: true}
}

// elsewhereResult is the outcome of a request that other VMs were asked to run.
type elsewhereResult struct {
	executor string // the VM asked last
	result   executor.Result
	// err is nil if there is a result. notRun reports whether no VM has run the request
	// or ever will.
	err    error
	notRun bool
	// otherVersion is set if a helper rejected the request because of its configuration.
	otherVersion bool
}

// runElsewhere asks VMs in order to run the request, until one may have run it.
func (g *Gateway) runElsewhere(ctx context.Context, others otherVMs, req *executor.Request, in *incoming) elsewhereResult {
	res := elsewhereResult{notRun: true}
	for i, addr := range others.addresses {
		g.setTimeouts(req, in)
		res.executor = addr
		if res.err = g.executors.Accept(ctx, addr, req, others.acceptTimeout); res.err == nil {
			res.result, res.err = g.executors.Execute(ctx, addr, req)
			if res.err == nil {
				res.err = g.checkRemoteResult(&res.result)
			}
			if res.err == nil {
				res.notRun = res.result.NotRun
				if others.areHelpers && i+1 < len(others.addresses) && hasNoUpstream(&res.result) {
					g.executors.Avoid(time.Now(), addr)
					continue
				}
				return res
			}
			var failure *ExecuteError
			res.notRun = errors.As(res.err, &failure) && failure.NotRun
		}
		if ctx.Err() != nil {
			return res
		}
		var rejected *RejectedError
		if !errors.As(res.err, &rejected) || !rejected.isShort() {
			g.executors.Avoid(time.Now(), addr)
		}
		if others.areHelpers && rejected != nil && rejected.isOtherVersion() {
			res.otherVersion = true
			g.metadata.Refresh()
		}
		g.logExecutorFailure(in, addr, res.err)
		if !res.notRun || isQuarantined(res.err) || isOverloaded(res.err) {
			return res
		}
	}
	return res
}

// hasNoUpstream reports whether a VM has not run a request as it reached no upstream.
func hasNoUpstream(r *executor.Result) bool {
	return r.NotRun && r.Failure == string(ReasonNoUpstream)
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
	return &executor.Request{
		ID: in.info.ID, Route: in.route.Name, RouteFingerprint: in.route.Fingerprint(), ExecutionFingerprint: in.route.ExecutionFingerprint(),
		ConfigVersion: in.view.Table.Config.Version, Customer: in.customerName(), KeyDigest: in.keyDigest, Late: in.canHardlyBeInTime(),
		Host: in.host, Path: in.path, Method: method, Head: head, Body: in.body, Fingerprint: uint64(in.fingerprint), MaxRuns: in.route.Attempts,
	}
}

// setTimeouts sets the time left for a request.
func (g *Gateway) setTimeouts(req *executor.Request, in *incoming) {
	timeout, soft := g.timeouts(in)
	used := time.Since(in.started) + executorMargin
	req.SoftTimeout, req.Timeout = max(soft-used, 1), max(timeout-used, 1)
}

// respondRemote sends the caller the result of a request that another VM has run.
func (g *Gateway) respondRemote(in *incoming, w http.ResponseWriter, addr string, res executor.Result) requestResult {
	result := requestResult{
		executor: addr, missing: res.Missing, shards: shardCount(in.route), answered: res.Answered,
		attempts: res.Attempts, hedges: res.Hedges, deniedByBudget: res.DeniedByBudget, withoutUpstream: res.WithoutUpstream, atLimit: res.AtLimit,
		upstreams: res.Upstreams,
	}
	if res.LastError != "" {
		result.err = errors.New(res.LastError)
	}
	if res.Failure == "" && res.Status > 0 {
		result.status = res.Status
		result.writeErr = g.writePassedOn(in, w, res)
		return result
	}
	if res.Failure == "" {
		result.status = http.StatusOK
		result.writeErr = g.writeMergedBody(w, in, res.Body, res.Signatures, len(res.Missing))
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

// shardCount returns the number of shards of a request; 1 without shards.
func shardCount(route *routetable.Route) int {
	if route.Sharded == nil {
		return 1
	}
	return len(route.Sharded.Shards)
}

// writePassedOn sends an upstream's response that another VM has received.
func (g *Gateway) writePassedOn(in *incoming, w http.ResponseWriter, res executor.Result) error {
	h := w.Header()
	maps.Copy(h, httpHeader(res.Headers))
	h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	g.closeIfDraining(h)
	g.responseSizes.Observe(in.route.Name, int64(len(res.Body)))
	in.conn.Hold(int64(len(res.Body)))
	defer in.conn.Release(int64(len(res.Body)))
	w.WriteHeader(res.Status)
	_, err := w.Write(res.Body)
	return err
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
