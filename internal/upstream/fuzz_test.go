package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// FuzzAnswer parses arbitrary bytes as an upstream's response. The outcome is
// "answered" only if the response echoes its attempt and has a valid JSON body.
// The verdict is "not run" only if the response has the header that reports it.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: w-1\r\nX-Service: svc\r\nX-Shard: 2\r\nX-Snapshot: s1\r\nX-Snapshot-Shards: 4\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 409 Conflict\r\nX-Attempt-Id: w-1\r\nX-Not-Run: 1\r\nX-Snapshots: s2:4,s1:4\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nX-Attempt-Id: w-1\r\nRetry-After: 9\r\nContent-Length: 9\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &Call{AttemptID: "w-1", Service: "svc", Attempt: scatter.Attempt{Shard: 2}, host: &host{}}
		var resp fasthttp.Response
		if resp.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), maxResponseBytes) != nil {
			return
		}
		r, matches := parseResponse(c, &resp)
		notRun := len(resp.Header.Peek(headerNotRun)) > 0
		if r.Verdict == verdict.NotRun && !notRun {
			t.Fatalf("verdict not_run without the header: %q", raw)
		}
		if r.Report.Outcome != scatter.OutcomeAnswered {
			return
		}
		echoes := string(resp.Header.Peek(headerAttempt)) == "w-1" && string(resp.Header.Peek(headerService)) == "svc"
		if !matches || !echoes || !json.Valid(r.Body) {
			t.Fatalf("accepted as an answer: %q", raw)
		}
	})
}
