package fleetrpc

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/gateway"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
	"ryecourse.example/ryecourse/internal/gen/fleet/v1/fleetv1connect"
	"ryecourse.example/ryecourse/internal/respbody"
)

// QueryRunner runs requests for other VMs, see gateway.Gateway. Its errors are
// gateway.RejectedErrors if the request hasn't run.
type QueryRunner interface {
	// AcceptsQueries reports whether the VM reaches upstreams.
	AcceptsQueries() bool
	// AcceptQuery returns nil if the VM would run the request now. Only its ID, route,
	// versions, customer and lateness are set.
	AcceptQuery(r *executor.Request) error
	RunQuery(ctx context.Context, r *executor.Request) (executor.Result, error)
}

const (
	// executeIdleConns is the number of idle connections that are kept to an executor.
	executeIdleConns = 4
	// resultGrace is how long after a query's timeout its result is waited for.
	resultGrace = 20 * time.Millisecond
)

// executeClient returns the HTTP client of Execute calls, which have deadlines of
// their own.
func executeClient(memory respbody.Account) *http.Client {
	return &http.Client{Transport: respbody.Transport(memory, respbody.DecodeFactor, &http.Transport{
		MaxIdleConnsPerHost: executeIdleConns, IdleConnTimeout: idleTimeout,
	}, callTimeout)}
}

// SetQueryRunner sets what runs the queries of other VMs. It must be called before
// Run.
func (e *Exchanger) SetQueryRunner(r QueryRunner) { e.queries = r }

// Accept implements fleetv1connect.FleetServiceHandler.
func (s server) Accept(_ context.Context, req *fleetv1.AcceptRequest) (*fleetv1.AcceptResponse, error) {
	err := s.exchanger.queries.AcceptQuery(&executor.Request{
		ID: req.RequestId, Route: req.Route, RouteFingerprint: req.RouteFingerprint, ExecutionFingerprint: req.ExecutionFingerprint,
		ConfigVersion: senderVersion(req.SenderConfigVersion, req.ConfigVersion), Customer: req.Customer, KeyDigest: req.KeyDigest,
		Host: req.Host, Path: req.Path, Late: req.Late,
	})
	var rejected *gateway.RejectedError
	if errors.As(err, &rejected) {
		return &fleetv1.AcceptResponse{Rejected: rejected.Reason, RetryAfterUs: rejected.RetryAfter.Microseconds()}, nil
	}
	return &fleetv1.AcceptResponse{}, err
}

// Execute implements fleetv1connect.FleetServiceHandler.
func (s server) Execute(ctx context.Context, req *fleetv1.ExecuteRequest) (*fleetv1.ExecuteResponse, error) {
	res, err := s.exchanger.queries.RunQuery(ctx, decodeQuery(req))
	var rejected *gateway.RejectedError
	switch {
	case errors.As(err, &rejected):
		return &fleetv1.ExecuteResponse{Rejected: rejected.Reason, RetryAfterUs: rejected.RetryAfter.Microseconds()}, nil
	case err != nil:
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return &fleetv1.ExecuteResponse{Result: encodeResult(&res)}, nil
}

func decodeQuery(m *fleetv1.ExecuteRequest) *executor.Request {
	return &executor.Request{
		ID: m.RequestId, Route: m.Route, RouteFingerprint: m.RouteFingerprint, ExecutionFingerprint: m.ExecutionFingerprint,
		Customer: m.Customer, KeyDigest: m.KeyDigest,
		Method: m.Method, Head: m.Head, Body: m.Body, Fingerprint: m.Fingerprint,
		SoftTimeout:   time.Duration(m.SoftTimeoutUs) * time.Microsecond,
		Timeout:       time.Duration(m.TimeoutUs) * time.Microsecond,
		ConfigVersion: senderVersion(m.SenderConfigVersion, m.ConfigVersion), MaxRuns: int(m.MaxRuns), HandedOver: m.HandedOver,
	}
}

// matchByFingerprint is the config_version that all VMs send. Builds that find the route by its
// name compare fingerprints only if their own version is lower, so that they always do.
const matchByFingerprint = math.MaxInt64

// senderVersion returns the version of the sender's configuration; older builds send it as
// config_version.
func senderVersion(version, olderBuildVersion int64) int64 {
	if version == 0 {
		return olderBuildVersion
	}
	return version
}

func encodeQuery(r *executor.Request) *fleetv1.ExecuteRequest {
	return &fleetv1.ExecuteRequest{
		RequestId: r.ID, Route: r.Route, RouteFingerprint: r.RouteFingerprint, ExecutionFingerprint: r.ExecutionFingerprint,
		Customer: r.Customer, KeyDigest: r.KeyDigest,
		Method: r.Method, Head: r.Head, Body: r.Body, Fingerprint: r.Fingerprint,
		SoftTimeoutUs: r.SoftTimeout.Microseconds(), TimeoutUs: r.Timeout.Microseconds(),
		ConfigVersion: matchByFingerprint, SenderConfigVersion: r.ConfigVersion, MaxRuns: uint32(r.MaxRuns), HandedOver: r.HandedOver,
	}
}

func encodeResult(r *executor.Result) *fleetv1.ExecuteResult {
	var headers []*fleetv1.Header
	for _, h := range r.Headers {
		headers = append(headers, &fleetv1.Header{Name: h.Name, Value: h.Value})
	}
	return &fleetv1.ExecuteResult{
		Status: uint32(r.Status), Headers: headers, Upstreams: r.Upstreams,
		Failure: r.Failure, NotRun: r.NotRun, Body: r.Body, Signatures: r.Signatures, Missing: r.Missing,
		Answered: uint32(r.Answered), Attempts: uint32(r.Attempts), Hedges: uint32(r.Hedges),
		DeniedByBudget: uint32(r.DeniedByBudget), WithoutUpstream: uint32(r.WithoutUpstream), AtLimit: uint32(r.AtLimit),
		Error: r.LastError, RetryAfterUs: r.RetryAfter.Microseconds(),
	}
}

func decodeResult(m *fleetv1.ExecuteResult) executor.Result {
	var headers []executor.Header
	for _, h := range m.Headers {
		headers = append(headers, executor.Header{Name: h.Name, Value: h.Value})
	}
	return executor.Result{
		Status: int(m.Status), Headers: headers, Upstreams: m.Upstreams,
		Failure: m.Failure, NotRun: m.NotRun, Body: m.Body, Signatures: m.Signatures, Missing: m.Missing,
		Answered: int(m.Answered), Attempts: int(m.Attempts), Hedges: int(m.Hedges),
		DeniedByBudget: int(m.DeniedByBudget), WithoutUpstream: int(m.WithoutUpstream), AtLimit: int(m.AtLimit),
		LastError: m.Error, RetryAfter: time.Duration(m.RetryAfterUs) * time.Microsecond,
	}
}

// Candidates implements gateway.Executors.
func (e *Exchanger) Candidates(now time.Time, zones map[string]bool) []string {
	return e.executors.Candidates(now, zones)
}

// Helpers implements gateway.Executors.
func (e *Exchanger) Helpers(now time.Time) []string { return e.executors.Helpers(now) }

// Avoid implements gateway.Executors.
func (e *Exchanger) Avoid(now time.Time, address string) { e.executors.Avoid(now, address) }

// Accept implements gateway.Executors.
func (e *Exchanger) Accept(ctx context.Context, address string, r *executor.Request, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := e.executeClientFor(address).Accept(ctx, &fleetv1.AcceptRequest{
		RequestId: r.ID, Route: r.Route, RouteFingerprint: r.RouteFingerprint, ExecutionFingerprint: r.ExecutionFingerprint,
		ConfigVersion: matchByFingerprint, SenderConfigVersion: r.ConfigVersion, Customer: r.Customer, KeyDigest: r.KeyDigest,
		Host: r.Host, Path: r.Path, Late: r.Late,
	})
	if err != nil {
		return err
	}
	if resp.Rejected != "" {
		return rejectedError(resp.Rejected, resp.RetryAfterUs)
	}
	return nil
}

func rejectedError(reason string, retryAfterMicros int64) error {
	return &gateway.RejectedError{Reason: reason, RetryAfter: time.Duration(max(retryAfterMicros, 0)) * time.Microsecond}
}

// isDialError reports whether a call ended before it had a connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errNoResult is the error of a response with neither a result nor a rejection.
var errNoResult = errors.New("the response has no result")

// Execute implements gateway.Executors. A call that ends early closes its connection,
// which makes the executor cancel the query.
func (e *Exchanger) Execute(ctx context.Context, address string, r *executor.Request) (executor.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+resultGrace)
	defer cancel()
	resp, err := e.executeClientFor(address).Execute(ctx, encodeQuery(r))
	switch {
	case err != nil:
		return executor.Result{}, &gateway.ExecuteError{
			NotRun: isDialError(err), Err: errors.Join(err, ctx.Err()),
		}
	case resp.Rejected != "":
		return executor.Result{}, &gateway.ExecuteError{NotRun: true, Err: rejectedError(resp.Rejected, resp.RetryAfterUs)}
	case resp.Result == nil:
		return executor.Result{}, &gateway.ExecuteError{Err: errNoResult}
	}
	return decodeResult(resp.Result), nil
}

func (e *Exchanger) executeClientFor(address string) fleetv1connect.FleetServiceClient {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peer(address)
	if p.queries == nil {
		p.queries = fleetv1connect.NewFleetServiceClient(e.queryClient, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	}
	return p.queries
}
