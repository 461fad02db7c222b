package upstreamhttp

import (
	"testing"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// TestTruncatedResponses guards against a response that an upstream breaks off, in its head or
// its body, and that passes for a complete one with an empty or a shorter body.
func TestTruncatedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\nX-More: y\r\n\r\nhello",
		"empty":         "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"trailer":       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
		"after interim": "HTTP/1.1 100 Continue\r\n\r\n" + response("a", "hello"),
		"rejection":     "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		// Its body ends with the connection, so only its head can be seen to be cut off.
		"no length": "HTTP/1.1 200 OK\r\nId: a\r\nX-More: y\r\n\r\n",
	} {
		for n := range len(text) {
			t.Run(name+" after "+itoa(n), func(t *testing.T) {
				t.Parallel()
				expectFailure(t, do(t, NewPool(answerOnce(t, text[:n]), 1, dial, plainInspector{}), request("a")), verdict.MayHaveRun)
			})
		}
		t.Run(name+" complete", func(t *testing.T) {
			if a := do(t, NewPool(answerOnce(t, text), 1, dial, plainInspector{}), request("a")); a.Err != nil {
				t.Error(a.Err)
			}
		})
	}
}
