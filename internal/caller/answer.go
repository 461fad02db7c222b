package caller

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// refusalBody is the JSON document of a refusal.
type refusalBody struct {
	RequestID    string       `json:"request_id"`
	Code         verdict.Code `json:"code"`
	Verdict      string       `json:"verdict"`
	Message      string       `json:"message"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

// writeRefusal answers with a refusal. Retry-After is in whole seconds,
// rounded up (RFC 9110, section 10.2.3).
func writeRefusal(ctx *fasthttp.RequestCtx, id string, r *verdict.Refusal) {
	ctx.ResetBody()
	ctx.SetStatusCode(r.Code.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set("X-Request-Id", id)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusalBody{
		RequestID:    id,
		Code:         r.Code,
		Verdict:      r.Verdict.String(),
		Message:      r.Message,
		RetryAfterMs: int64(math.Ceil(float64(r.RetryAfter) / float64(time.Millisecond))),
	})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(append(body, '\n'))
}

// writeAnswer encodes the answer to a query. Parts are JSON documents from
// upstreams and are copied unchanged.
func writeAnswer(ctx *fasthttp.RequestCtx, id string, a *scatter.Answer) {
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set("X-Request-Id", id)
	b := make([]byte, 0, answerSize(a))
	b = append(b, `{"request_id":`...)
	b = strconv.AppendQuote(b, id)
	b = append(b, `,"verdict":"`...)
	b = append(b, verdict.Ran.String()...)
	b = append(b, `","snapshot":`...)
	b = appendString(b, a.Snapshot.ID)
	b = append(b, `,"coverage":`...)
	b = appendCoverage(b, a)
	b = append(b, `,"results":[`...)
	for i, p := range a.Parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"shard":`...)
		b = strconv.AppendInt(b, int64(p.Shard), 10)
		b = append(b, `,"body":`...)
		b = append(b, p.Body...)
		b = append(b, '}')
	}
	b = append(b, "]}\n"...)
	ctx.Response.SetBodyRaw(b)
}

func appendCoverage(b []byte, a *scatter.Answer) []byte {
	b = append(b, `{"answered":`...)
	b = strconv.AppendInt(b, int64(len(a.Parts)), 10)
	b = append(b, `,"total":`...)
	b = strconv.AppendInt(b, int64(len(a.Parts)+len(a.Missing)), 10)
	b = append(b, `,"missing":[`...)
	for i, s := range a.Missing {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(s), 10)
	}
	return append(b, "]}"...)
}

// appendString appends s as a JSON string. It comes from an upstream, so it may
// contain any byte.
func appendString(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(b, `""`...)
	}
	return append(b, quoted...)
}

// answerSize estimates the encoded size of an answer in bytes.
func answerSize(a *scatter.Answer) int {
	const fixed, perPart = 256, 40
	n := fixed + 8*len(a.Missing)
	for _, p := range a.Parts {
		n += len(p.Body) + perPart
	}
	return n
}
