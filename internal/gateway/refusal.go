package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// Reason is why a request ends without an upstream's response. Its text is used
// in logs, metrics and the response body.
type Reason string

// Reasons. Those with status 408, 429 and 503 guarantee that the request hasn't run
// and never will.
const (
	ReasonNoConfig      Reason = "no_configuration"
	ReasonStaleMetadata Reason = "knowledge_too_old"
	ReasonNoRoute       Reason = "no_route"
	ReasonUnknownKey    Reason = "unknown_key"
	ReasonRateLimited   Reason = "over_rate"
	ReasonBodyTooLong   Reason = "body_too_long"
	ReasonBadRequest    Reason = "bad_request"
	// ReasonBodyTimedOut means that the body didn't end within the request's timeout.
	ReasonBodyTimedOut Reason = "body_timed_out"
	// ReasonOverMemory means that callers' connections hold too much memory for the request.
	ReasonOverMemory          Reason = "over_connection_memory"
	ReasonNoUpstream          Reason = "no_upstream"
	ReasonRejectedByUpstreams Reason = "rejected_by_upstreams"
	// ReasonUpstreamsAtLimit means that the limits that the upstreams state on the
	// requests of all VMs didn't admit the request.
	ReasonUpstreamsAtLimit Reason = "upstreams_at_limit"
	// ReasonOverloaded means that the request was rejected before its first attempt, as the
	// upstreams bear less than is sent to them.
	ReasonOverloaded Reason = "overloaded"
	// ReasonQuarantined means that upstreams have ended while they ran such requests.
	ReasonQuarantined     Reason = "quarantined"
	ReasonUpstreamsFailed Reason = "upstreams_failed"
	ReasonTimedOut        Reason = "timed_out"
	// ReasonStopping means that the VM is stopping and may end before the request would.
	ReasonStopping Reason = "stopping"
	// ReasonStopped means that the VM has ended the request, which may have run, because the
	// VM's own end is near.
	ReasonStopped Reason = "stopped"
	// ReasonExecutorLost means that the VM that ran the query was lost.
	ReasonExecutorLost Reason = "executor_lost"
)

var statusOf = map[Reason]int{
	ReasonNoConfig:            http.StatusServiceUnavailable,
	ReasonStaleMetadata:       http.StatusServiceUnavailable,
	ReasonNoRoute:             http.StatusNotFound,
	ReasonUnknownKey:          http.StatusUnauthorized,
	ReasonRateLimited:         http.StatusTooManyRequests,
	ReasonBodyTooLong:         http.StatusRequestEntityTooLarge,
	ReasonBadRequest:          http.StatusBadRequest,
	ReasonBodyTimedOut:        http.StatusRequestTimeout,
	ReasonOverMemory:          http.StatusServiceUnavailable,
	ReasonNoUpstream:          http.StatusServiceUnavailable,
	ReasonRejectedByUpstreams: http.StatusServiceUnavailable,
	ReasonUpstreamsAtLimit:    http.StatusServiceUnavailable,
	ReasonOverloaded:          http.StatusServiceUnavailable,
	ReasonQuarantined:         http.StatusServiceUnavailable,
	ReasonUpstreamsFailed:     http.StatusBadGateway,
	ReasonTimedOut:            http.StatusGatewayTimeout,
	ReasonStopping:            http.StatusServiceUnavailable,
	ReasonStopped:             http.StatusGatewayTimeout,
	ReasonExecutorLost:        http.StatusBadGateway,
}

// otherVMRetryAfter is the Retry-After of refusals with status 503. It is short,
// since another VM may be able to serve the request right away.
const otherVMRetryAfter = 20 * time.Millisecond

// refuse responds to a request without an upstream's response.
func (g *Gateway) refuse(w http.ResponseWriter, reason Reason, retryAfter time.Duration) {
	status := statusOf[reason]
	h := w.Header()
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		g.headers.WriteRetryAfter(h, retryAfter)
	}
	body := string(reason) + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	g.closeIfDraining(h)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body)) // the caller may have disconnected
}
