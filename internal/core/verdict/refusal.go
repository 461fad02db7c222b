package verdict

import (
	"fmt"
	"time"
)

// Code is the stable machine-readable reason of a refusal.
type Code string

// The refusal codes. The HTTP status of each is fixed by Status.
const (
	// CodeBadRequest marks a request that can't be parsed.
	CodeBadRequest Code = "bad_request"
	// CodeTooLarge marks a body or header block over its limit.
	CodeTooLarge Code = "too_large"
	// CodeUnknownKey marks a missing, unknown or revoked key.
	CodeUnknownKey Code = "unknown_key"
	// CodeKeyExposed marks a request whose path, query or body carries the key.
	CodeKeyExposed Code = "key_exposed"
	// CodeForbidden marks a customer without access to the service.
	CodeForbidden Code = "forbidden"
	// CodeUnknownService marks a service that isn't in the configuration.
	CodeUnknownService Code = "unknown_service"
	// CodeRateLimited marks a customer over its rate and burst.
	CodeRateLimited Code = "rate_limited"
	// CodeOverloaded marks a lack of upstream capacity.
	CodeOverloaded Code = "overloaded"
	// CodeUnavailable marks a service without a reachable upstream.
	CodeUnavailable Code = "unavailable"
	// CodeDeadline marks a request whose deadline has passed.
	CodeDeadline Code = "deadline_exceeded"
	// CodeIncomplete marks coverage below the minimum that the caller set.
	CodeIncomplete Code = "incomplete"
	// CodeConnectionLost marks an attempt whose connection failed during the
	// request.
	CodeConnectionLost Code = "connection_lost"
	// CodeNotReady marks a daemon that is starting, is stopping, or has a stale
	// control view.
	CodeNotReady Code = "not_ready"
)

var statuses = map[Code]int{
	CodeBadRequest:     400,
	CodeTooLarge:       413,
	CodeUnknownKey:     401,
	CodeKeyExposed:     400,
	CodeForbidden:      403,
	CodeUnknownService: 404,
	CodeRateLimited:    429,
	CodeOverloaded:     503,
	CodeUnavailable:    503,
	CodeDeadline:       504,
	CodeIncomplete:     503,
	CodeConnectionLost: 502,
	CodeNotReady:       503,
}

// Status returns the HTTP status of the code (RFC 9110, section 15; RFC 6585
// for 429).
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return 500
}

// Refusal is the final answer to a request without a complete result.
type Refusal struct {
	// Code is the stable machine-readable reason.
	Code Code
	// Verdict reports whether the request may have run.
	Verdict Verdict
	// Message is one sentence for a human reader. It never contains a key.
	Message string
	// RetryAfter is the time after which a retry can succeed. Zero means that
	// retrying the same request doesn't help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Verdict, r.Message)
}

// Refuse builds a refusal of a request that no upstream has started.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// WithVerdict returns a copy of the refusal with another verdict.
func (r *Refusal) WithVerdict(v Verdict) *Refusal {
	c := *r
	c.Verdict = v
	return &c
}
