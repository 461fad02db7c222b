package load

import (
	"encoding/json"
	"time"
)

// Kind classifies the outcome of a request.
type Kind string

// The kinds.
const (
	// KindAnswer is a complete HTTP response with an answer.
	KindAnswer Kind = "answer"
	// KindRefusal is a complete HTTP response with a refusal.
	KindRefusal Kind = "refusal"
	// KindUnreachable is a connection that could not be opened.
	KindUnreachable Kind = "unreachable"
	// KindConnectionLost is a connection that was lost before a complete response.
	KindConnectionLost Kind = "cut"
	// KindTimedOut is a request without a response within its deadline and
	// timeoutMargin.
	KindTimedOut Kind = "hung"
	// KindMalformed is a response that is neither an answer nor a refusal.
	KindMalformed Kind = "garbled"
)

// Request is one HTTP request of a caller to one daemon, with its response.
type Request struct {
	// Operation is the same for all requests of one operation.
	Operation int
	Service   *Service
	Customer  *Customer
	Daemon    string
	// Digest identifies the query in the attempt logs.
	Digest     uint64
	Start, End time.Time
	Kind       Kind
	Status     int
	Answer     Answer
	Refusal    Refusal
	// Mismatch describes how an answer differs from the expected one. It is empty
	// if the answer matches.
	Mismatch string
	// Err is the error of the transport or of decoding the response.
	Err error
}

// Answer is a daemon's answer.
type Answer struct {
	RequestID string   `json:"request_id"`
	Verdict   string   `json:"verdict"`
	Snapshot  string   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Results   []Result `json:"results"`
}

// Coverage counts the shards that answered and lists the missing ones.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Result is the result of one shard.
type Result struct {
	Shard int             `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

// Refusal is a daemon's refusal.
type Refusal struct {
	RequestID    string `json:"request_id"`
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// The verdicts of docs/API.md.
const (
	verdictNotRun     = "not_run"
	verdictMayHaveRun = "may_have_run"
	verdictRan        = "ran"
)

// The refusal codes that the checker handles.
const (
	// codeUnknownKey is a missing, unknown or revoked key.
	codeUnknownKey = "unknown_key"
	// codeRateLimited is a customer that exceeded its rate and burst.
	codeRateLimited = "rate_limited"
)

// retriable reports whether a caller may retry the query on another daemon.
func (req *Request) retriable() bool {
	if req.Kind == KindUnreachable {
		return true
	}
	return req.Kind == KindRefusal && req.Refusal.Verdict == verdictNotRun && req.Status >= 500
}
