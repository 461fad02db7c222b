// Package upstreamhttp sends requests to upstreams over reused HTTP/1.1
// connections, one request at a time on each connection, and reports whether
// each request may have run. `ryecourse gateway` uses it.
package upstreamhttp

import (
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/respbody"
)

// Request is one attempt at one upstream.
type Request struct {
	// ID identifies the request. Responses that don't echo it are dropped.
	ID string
	// Head holds the request line and the headers, without Content-Length and
	// the final empty line.
	Head []byte
	// AppendDeadlineHeaders appends the headers with the remaining time. It is
	// called when the request is written, which may be long after the attempt
	// began to wait for a connection.
	AppendDeadlineHeaders func(dst []byte, left time.Duration) []byte
	Body                  []byte
	// ForceContentLength is set for methods whose requests carry a
	// Content-Length even without a body.
	ForceContentLength bool
	// NoResponseBody is set for methods whose responses have no body.
	NoResponseBody bool
	// MaxBodyBytes limits the body of the response; 0 means a default. An attempt with
	// a longer one fails.
	MaxBodyBytes int
	// IsWanted reports whether the request may still be written. It is called while the
	// request waits for a connection, also by other goroutines; nil means that it may.
	IsWanted func() bool
	// Deadline ends the attempt.
	Deadline time.Time
}

// Result is the outcome of an attempt.
type Result struct {
	// Response is nil if there is no complete response. Whoever receives the
	// Result must call Release.
	Response *fasthttp.Response
	Info     ResponseInfo
	Verdict  verdict.Verdict
	Err      error
	// AnyBytesSent is false only if no byte of the request left this VM.
	AnyBytesSent bool
	// OnNewConnection is set if the request was the first on its connection.
	OnNewConnection bool
	// StrayResponses is the number of responses to other requests that came first.
	StrayResponses int
	// SentAt is when the request was handed to a connection; zero before that.
	SentAt time.Time

	charge respbody.Charge
}

// Release releases the response, if there is one, and its memory.
func (r *Result) Release() {
	if r.Response == nil {
		return
	}
	releaseResponse(r.Response)
	r.Response = nil
	r.charge.Release()
}

// maxPooledBytes is the size up to which the buffers of bodies are reused.
const maxPooledBytes = 64 << 10

func releaseResponse(resp *fasthttp.Response) {
	if len(resp.Body()) > maxPooledBytes {
		resp.SwapBody(nil)
	}
	fasthttp.ReleaseResponse(resp)
}

// ResponseInfo holds what the headers of a response report.
type ResponseInfo struct {
	// RequestID is the echoed ID; empty if there is none.
	RequestID string
	// NotRun is set if the upstream reports that it didn't run the request.
	NotRun bool
	// WrongInstance is set if another instance has the address.
	WrongInstance bool
	// Signature is the upstream's signature on its response. It is forwarded
	// unchanged.
	Signature string
	// Load is valid if HasLoad is set.
	Load    Load
	HasLoad bool
	// MalformedLoad is a load report that can't be read; empty if there is none.
	MalformedLoad string
	// LimitPerSecond is the limit on the requests of all VMs together that the upstream
	// states; valid if HasLimit is set.
	LimitPerSecond float64
	HasLimit       bool
	// Leaving is set if the upstream states that it is leaving.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests of this VM; 0 if it doesn't
	// say so.
	RetryAfter time.Duration
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if
	// it doesn't report it.
	IdleTimeout time.Duration
}

// Load is the load that an upstream reports.
type Load struct {
	Running, Queued, Slots int
	// Slowdown is how long work takes now, in multiples of the usual time; 0 if the upstream
	// doesn't report it.
	Slowdown float64
}

// Inspector reads the headers of responses.
type Inspector interface {
	Inspect(h *fasthttp.ResponseHeader) ResponseInfo
}
