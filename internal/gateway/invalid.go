package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// UnsignedError reports a response that states that the request has run and isn't signed by
// the upstream.
type UnsignedError struct{ Status int }

// Error implements error.
func (e *UnsignedError) Error() string {
	return fmt.Sprintf("gateway: response with status %d isn't signed", e.Status)
}

// needsSignature reports whether a response with the status must be signed. An upstream
// signs what it has run; its server errors say nothing that a caller could act on.
func needsSignature(status int) bool { return status < http.StatusInternalServerError }

// dropUnsigned turns an unsigned response into a failed attempt, of which it isn't known
// whether the upstream has run it.
func dropUnsigned(a *upstreamhttp.Result) {
	if a.Response == nil || a.Verdict == verdict.NotRun || a.Info.Signature != "" || !needsSignature(a.Response.StatusCode()) {
		return
	}
	a.Err = &UnsignedError{Status: a.Response.StatusCode()}
	a.Release()
	a.Info, a.Verdict = upstreamhttp.ResponseInfo{}, verdict.MayHaveRun
}

// invalidReason returns why the bytes that an upstream sent aren't a response to the
// request; empty if they are, or if it sent none.
func invalidReason(a *upstreamhttp.Result) string {
	var unsigned *UnsignedError
	var malformed *upstreamhttp.MalformedError
	var mismatch *upstreamhttp.MismatchError
	switch {
	case errors.As(a.Err, &unsigned):
		return "unsigned"
	case errors.As(a.Err, &malformed):
		return "malformed"
	case errors.As(a.Err, &mismatch):
		return "other_request"
	case a.AnyBytesSent && errors.Is(a.Err, io.ErrUnexpectedEOF):
		return "incomplete"
	case errors.Is(a.Err, fasthttp.ErrBodyTooLarge):
		return "too_long"
	case errors.Is(a.Err, respbody.ErrOverMemory):
		return "over_memory"
	}
	return ""
}

// observeInvalid counts responses that aren't passed on as they are none to the request, and
// logs those to other requests. The others are in the line of the failed attempt.
func (q *proxyRequest) observeInvalid(u routetable.Upstream, a *upstreamhttp.Result) {
	if reason := invalidReason(a); reason != "" {
		q.g.metrics.invalidResponse(reason).Inc()
	}
	if a.StrayResponses > 0 {
		q.g.metrics.strayResponses.Add(a.StrayResponses)
		q.g.log.Event("stray_response").Str("request", q.in.info.ID).Str("service", u.Service).Str("upstream", u.ID).
			Int("responses", a.StrayResponses).Send()
	}
}

// checkRemoteResult returns an ExecuteError for a result of another VM that isn't passed on.
// That VM may run an older build, which passed unsigned responses on.
func (g *Gateway) checkRemoteResult(res *executor.Result) error {
	if res.Failure != "" {
		return nil
	}
	reason := ""
	switch {
	case res.Status != 0 && (res.Status < http.StatusOK || res.Status > maxStatus || impliesNotRun(res.Status)):
		reason = "malformed"
	case res.Status == 0 && len(res.Signatures) == 0,
		res.Status != 0 && needsSignature(res.Status) && g.headers.Signature(httpHeader(res.Headers)) == "":
		reason = "unsigned"
	default:
		return nil
	}
	g.metrics.invalidResponse(reason).Inc()
	return &ExecuteError{Err: fmt.Errorf("%s response with status %d", reason, res.Status)}
}

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

func httpHeader(headers []executor.Header) http.Header {
	h := http.Header{}
	for _, x := range headers {
		h.Add(x.Name, x.Value)
	}
	return h
}
