package load

import (
	"encoding/json"
	"time"
)

// Kind is what became of one try.
type Kind string

// The kinds.
const (
	// KindAnswer is a complete HTTP response with an answer.
	KindAnswer Kind = "answer"
	// KindRefusal is a complete HTTP response with a refusal.
	KindRefusal Kind = "refusal"
	// KindUnreachable is a connection that could not be opened.
	KindUnreachable Kind = "unreachable"
	// KindConnectionLost is a connection that ended before a complete response.
	KindConnectionLost Kind = "cut"
	// KindTimedOut is a response that didn't come long after the deadline.
	KindTimedOut Kind = "hung"
	// KindMalformed is a response that is neither an answer nor a refusal.
	KindMalformed Kind = "garbled"
)

// Request is one request of a caller to one daemon.
type Request struct {
	// Operation is shared by the tries of one operation.
	Operation int
	Service   *Service
	Customer  *Customer
	Daemon    string
	// Digest identifies the try's query in the upstreams' logs.
	Digest     uint64
	Start, End time.Time
	Kind       Kind
	Status     int
	Answer     Answer
	Refusal    Refusal
	// Mismatch tells what is wrong with an answer. Empty means nothing.
	Mismatch string
	// Err is the transport's error.
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

// Coverage is the part of the shards that answered.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Result is one shard's part of an answer.
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

// The refusal codes that the checker tells apart.
const (
	// codeUnknownKey is a missing, unknown or withdrawn key.
	codeUnknownKey = "unknown_key"
	// codeRateLimited is a customer over its rate and burst.
	codeRateLimited = "rate_limited"
)

// retriable tells whether a caller may send the query again elsewhere.
func (req *Request) retriable() bool {
	if req.Kind == KindUnreachable {
		return true
	}
	return req.Kind == KindRefusal && req.Refusal.Verdict == verdictNotRun && req.Status >= 500
}
