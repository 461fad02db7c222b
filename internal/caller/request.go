package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	pathPrefix = "/v1/services/"
	pathSuffix = "/query"
	// minDeadline is the shortest deadline that a caller can set.
	minDeadline = time.Millisecond
)

// forwardedHeaders lists the request headers that are forwarded to upstreams.
var forwardedHeaders = [...]string{"Accept-Language", "Traceparent", "Tracestate"}

// queryBody is the JSON body of a caller's request.
type queryBody struct {
	// Query is passed to every shard unchanged.
	Query json.RawMessage `json:"query"`
	// MinCoverage is the smallest fraction of shards that must answer. Absent
	// means 1: complete answers only.
	MinCoverage *float64 `json:"min_coverage"`
	// DeadlineMs shortens the service's deadline, in milliseconds.
	DeadlineMs int64 `json:"deadline_ms"`
	// RoutingKey selects the shard of a service that queries a single shard.
	RoutingKey string `json:"routing_key"`
}

// serviceName returns the service name in the path.
func serviceName(path []byte) (string, bool) {
	rest, ok := strings.CutPrefix(string(path), pathPrefix)
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(rest, pathSuffix)
	return name, ok && name != "" && !strings.Contains(name, "/")
}

// rawKey returns the raw key of a request, or "".
func rawKey(h *fasthttp.RequestHeader) string {
	if auth, ok := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), "Bearer "); ok {
		return strings.TrimSpace(auth)
	}
	return string(h.Peek("X-Api-Key"))
}

// parseBody decodes and validates the body of a caller's request.
func parseBody(body []byte) (queryBody, *verdict.Refusal) {
	var q queryBody
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		return q, decodeRefusal(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return q, verdict.Refuse(verdict.CodeBadRequest, 0, "The body must be one JSON object.")
	}
	if len(q.Query) == 0 {
		return q, verdict.Refuse(verdict.CodeBadRequest, 0, "The field query must be set.")
	}
	if q.MinCoverage != nil && (*q.MinCoverage < 0 || *q.MinCoverage > 1) {
		return q, verdict.Refuse(verdict.CodeBadRequest, 0, "The field min_coverage must be between 0 and 1.")
	}
	if q.DeadlineMs < 0 {
		return q, verdict.Refuse(verdict.CodeBadRequest, 0, "The field deadline_ms must not be negative.")
	}
	return q, nil
}

func decodeRefusal(err error) *verdict.Refusal {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return verdict.Refuse(verdict.CodeBadRequest, 0, "The field %s must be of type %s, not %s.", typeErr.Field, typeErr.Type, typeErr.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return verdict.Refuse(verdict.CodeBadRequest, 0, "The field %s is unknown.", name)
	}
	return verdict.Refuse(verdict.CodeBadRequest, 0, "The body isn't valid JSON.")
}

// coverage returns the smallest coverage that the caller accepts.
func (q *queryBody) coverage() float64 {
	if q.MinCoverage == nil {
		return 1
	}
	return *q.MinCoverage
}

// deadline returns the query's deadline as a duration, at most the service's
// limit.
func (q *queryBody) deadline(limit time.Duration) time.Duration {
	if q.DeadlineMs == 0 || q.DeadlineMs > limit.Milliseconds() {
		return limit
	}
	return max(time.Duration(q.DeadlineMs)*time.Millisecond, minDeadline)
}
