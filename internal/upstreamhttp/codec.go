// Package exchange carries requests to upstreams over kept HTTP/1.1
// connections, one request at a time on each, and says of each whether it may
// have run.
package upstreamhttp

import (
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Request is one attempt at one upstream.
type Request struct {
	// ID identifies the request; answers that carry another one are dropped.
	ID string
	// Head holds the request line and all headers, up to but without the empty
	// line and the length of the body.
	Head []byte
	// AppendDeadlineHeaders appends the headers that tell how much time is left when the
	// request is written, which may be long after the attempt began to wait for a
	// connection.
	AppendDeadlineHeaders func(dst []byte, left time.Duration) []byte
	Body                  []byte
	// ForceContentLength is set for methods whose requests tell the length of their body
	// even if there is none.
	ForceContentLength bool
	// NoResponseBody is set for methods whose answers have no body.
	NoResponseBody bool
	// Deadline ends the attempt.
	Deadline time.Time
}

// Result is the outcome of an attempt.
type Result struct {
	// Response is nil if there is no complete answer. The receiver releases it.
	Response *fasthttp.Response
	Info     ResponseInfo
	Verdict  verdict.Verdict
	Err      error
	// AnySent tells that bytes of the request left this VM.
	AnySent bool
	// SentAt is when the request was handed to a connection; zero before that.
	SentAt time.Time
}

// ResponseInfo is what the headers of an answer say.
type ResponseInfo struct {
	// RequestID is the echoed ID; empty if there is none.
	RequestID string
	// NotRun tells that the upstream didn't run the request.
	NotRun bool
	// WrongInstance tells that another instance has the address.
	WrongInstance bool
	// Signature proves that an upstream answered; it is passed on unchanged.
	Signature string
	// Load is valid if HasLoad is set.
	Load    Load
	HasLoad bool
	// IdleTimeout is how long the upstream keeps an idle connection; 0 if it
	// doesn't say.
	IdleTimeout time.Duration
}

// Load is what an upstream says of itself.
type Load struct{ Running, Queued, Slots int }

// Inspector reads the headers of answers.
type Inspector interface {
	Inspect(h *fasthttp.ResponseHeader) ResponseInfo
}
